use crate::types::Millis;

/// This router's share of the requests that an endpoint takes from all routers: requests with an
/// even gap between them. Unused ones aren't saved up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PacedShare {
    /// Milliseconds between two requests of this router; none if it holds no share.
    pub gap: Option<Millis>,
    /// Time from which this router may send the next request.
    pub next_at: Millis,
    /// The routers known when the gap was computed: changes of them so far, and the most at a
    /// time.
    pub routers_seen: (u64, u64),
}

impl PacedShare {
    /// Whether this router may send a request by a time.
    pub fn can_send_by(&self, time: Millis) -> bool {
        self.gap.is_some() && self.next_at <= time
    }

    /// Schedules the next request after one is sent at `now`.
    pub fn on_sent(&mut self, now: Millis) {
        if let Some(gap) = self.gap {
            self.next_at = now + gap;
        }
    }
}
