use crate::host::{HostEvent, Inbox};
use crate::logic::router::Problem;
use crate::logic::Event;
use crate::types::RequestId;

/// Tells the actor that a caller has disconnected, when it is dropped before the answer was complete.
pub(super) struct CallerGuard {
    inbox: Option<Inbox>,
    request: RequestId,
}

impl CallerGuard {
    /// A guard of a request.
    pub fn new(inbox: Inbox, request: RequestId) -> Self {
        Self {
            inbox: Some(inbox),
            request,
        }
    }

    /// Nothing is told, as the answer is complete.
    pub fn disarm(&mut self) {
        self.inbox = None;
    }

    /// Problem of a request that is open when the router stops.
    pub fn router_stopped() -> Problem {
        Problem::unknown(502, "the router stopped before the request was answered")
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(inbox) = &self.inbox {
            inbox.send(HostEvent::Step(Event::CallerGone(self.request)));
        }
    }
}
