use std::sync::Arc;

use super::RateShare;
use crate::types::{EndpointEntry, Millis};

/// What this router knows about one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointView {
    /// Its entry in the list.
    pub entry: EndpointEntry,
    /// Model of its last group since it last started, which it can serve again without
    /// loading it.
    pub last: Option<Arc<str>>,
    /// Whether it was listed or restarted after this router's first reading of the list, so
    /// that this router knows which models it has held.
    pub new: bool,
    /// Whether the list names it now.
    pub listed: bool,
    /// When the entry's last heartbeat was seen, or when it left the list.
    pub beat_at: Millis,
    /// When the endpoint last sent something here, or got its first run after having none;
    /// when it was listed before that.
    pub heard: Millis,
    /// When it last sent something here, the end of an answer included; 0 before that.
    pub spoke: Millis,
    /// When the answer to a run of this router last broke off there; 0 before that.
    pub broke: Millis,
    /// Runs of this router at it.
    pub running: u32,
    /// Tokens of prompts that it has yet to read for this router.
    pub unread: u64,
    /// Most runs of this router at a time, in thousandths; 0 before it was first adapted.
    pub limit: u64,
    /// Shortest recent time from sending a request there to the beginning of its answer, in
    /// milliseconds; 0 before the first one.
    pub quick: Millis,
    /// Requests a second that the endpoint takes from all routers, if it sets a limit.
    pub rate: Option<RateShare>,
    /// When the limit was last lowered.
    pub lowered: Millis,
    /// Until when this router backs off from it: it gets no new requests.
    pub shunned: Millis,
    /// Failures in a row.
    pub failures: u32,
    /// Since when it has been silent, while it is.
    pub silent: Option<Millis>,
    /// When its silence was last reported to the planner, or examined by this router as the
    /// planner.
    pub warned: Millis,
    /// Usual longest pause between parts of its answers while it has work, in milliseconds.
    pub pause: Millis,
}

impl EndpointView {
    /// The view of an endpoint that has just been listed.
    pub fn new(entry: EndpointEntry, now: Millis) -> Self {
        Self {
            last: entry.model.clone(),
            entry,
            new: false,
            listed: true,
            beat_at: now,
            heard: now,
            spoke: 0,
            broke: 0,
            running: 0,
            unread: 0,
            limit: 0,
            quick: 0,
            rate: None,
            lowered: 0,
            shunned: 0,
            failures: 0,
            silent: None,
            warned: 0,
            pause: 0,
        }
    }

    /// Epoch of its group; 0 if it is in none.
    pub fn epoch(&self) -> u64 {
        self.entry.seat.as_ref().map_or(0, |s| s.epoch)
    }

    /// Whether it is the head of an open group.
    pub fn heads(&self) -> bool {
        self.entry.open_epoch().is_some()
    }
}
