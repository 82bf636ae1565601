use std::sync::Arc;

use super::RateShare;
use crate::types::{EndpointEntry, Millis};

/// One endpoint as this router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointView {
    /// Its entry in the list.
    pub entry: EndpointEntry,
    /// Model of its last group in this life of it, which it takes up again at once.
    pub last: Option<Arc<str>>,
    /// Whether it started while this router knew the list, so that this router knows
    /// what it holds.
    pub new: bool,
    /// Whether the list names it now.
    pub listed: bool,
    /// When the entry last beat, or left the list.
    pub beat_at: Millis,
    /// When the endpoint last sent anything here.
    pub heard: Millis,
    /// When it last sent anything here, or when a run there last ended in order; 0
    /// before that.
    pub spoke: Millis,
    /// When a run of this router last broke off there; 0 before that.
    pub broke: Millis,
    /// Runs of this router that it works on.
    pub running: u32,
    /// Tokens of prompts that it has yet to read for this router.
    pub unread: u64,
    /// Most runs of this router that it gets at once, in thousandths.
    pub limit: u64,
    /// Shortest time until a request began there lately, in milliseconds; 0 before that.
    pub quick: Millis,
    /// Requests a second that the endpoint takes from all routers, where it names a limit.
    pub rate: Option<RateShare>,
    /// When the limit was last lowered.
    pub lowered: Millis,
    /// Until when it gets nothing new, after failures.
    pub shunned: Millis,
    /// Failures in a row.
    pub failures: u32,
    /// When it was first missed, while it is.
    pub silent: Option<Millis>,
    /// When the planner was last told of its silence.
    pub warned: Millis,
    /// Usual longest pause of its answers while it works, in milliseconds.
    pub pause: Millis,
}

impl EndpointView {
    /// A view of an endpoint that has just been listed.
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

    /// Epoch of its group; 0 without one.
    pub fn epoch(&self) -> u64 {
        self.entry.seat.as_ref().map_or(0, |s| s.epoch)
    }

    /// Whether it heads a group that takes requests.
    pub fn heads(&self) -> bool {
        self.entry.open_epoch().is_some()
    }
}
