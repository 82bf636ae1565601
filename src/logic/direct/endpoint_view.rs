use std::sync::Arc;

use super::admission::StartForecast;
use super::{ColdPhase, HoldOffPhase, LifeSign, NamedBefore, PacedShare, RateShare, RestartClaim};
use crate::types::{EndpointEntry, Millis, StorePosition};

/// What this router knows about one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointView {
    /// Its entry in the list.
    pub entry: EndpointEntry,
    /// Position of the store as of which its entry was last known.
    pub known_at: StorePosition,
    /// The last entry that was taken for outdated, if none was applied since.
    pub outdated: Option<LifeSign>,
    /// An entry that shows a restart, until the endpoint confirms or denies it.
    pub claim: Option<RestartClaim>,
    /// Number of its next entries that are sent to the other routers whether they have changed or not.
    pub retells: u32,
    /// Model of its last group since it last started, which it can serve again without
    /// loading it.
    pub last_model: Option<Arc<str>>,
    /// Whether it was listed or restarted after this router first knew the list, so
    /// that this router knows which models it has held.
    pub seen_start: bool,
    /// Whether its process has announced that it is leaving. The list may show that later or never.
    pub leaving: bool,
    /// Whether the list names it now.
    pub listed: bool,
    /// When this router first knew of it, or of its last start.
    pub known_since: Millis,
    /// When the entry's last heartbeat was seen, or when it left the list.
    pub heartbeat_at: Millis,
    /// When the endpoint last sent something here, or got its first run after having none;
    /// when it was listed before that.
    pub active_at: Millis,
    /// When it last sent something here, the end of an answer included; 0 before that.
    pub responded_at: Millis,
    /// When the answer to a run of this router last broke off there; 0 before that.
    pub broken_at: Millis,
    /// Runs of this router at it.
    pub running: u32,
    /// Tokens of prompts that it has yet to read for this router.
    pub unread_tokens: u64,
    /// Most runs of this router at a time, in thousandths; 0 before it was first adapted.
    pub limit: u64,
    /// Shortest recent time from sending a request there to the beginning of its answer, in
    /// milliseconds; 0 before the first one.
    pub quickest_start: Millis,
    /// How much later or sooner than expected its first events come.
    pub start: StartForecast,
    /// Requests a second that the endpoint takes from all routers, if it sets a limit.
    pub rate: Option<RateShare>,
    /// While it is cold: how long, and this router's share of what it bears.
    pub cold: Option<ColdPhase>,
    /// While it has asked this router to send nothing, and while requests come back afterwards.
    pub hold_off: Option<HoldOffPhase>,
    /// What of that, and of its leaving, was named before its entry showed a restart.
    pub named_before: Option<NamedBefore>,
    /// When the limit was last lowered.
    pub lowered_at: Millis,
    /// Until when this router backs off from it: it gets no new requests.
    pub backoff_until: Millis,
    /// Failures in a row.
    pub failures: u32,
    /// Since when it has been silent, while it is.
    pub silent_since: Option<Millis>,
    /// When it was last reported to the planner as suspected, or examined by this router as the
    /// planner.
    pub reported_at: Millis,
    /// Usual longest pause between parts of its answers while it has work, in milliseconds.
    pub longest_pause: Millis,
}

impl EndpointView {
    /// The view of an endpoint that has just been listed.
    pub fn new(entry: EndpointEntry, now: Millis) -> Self {
        Self {
            known_at: StorePosition::default(),
            outdated: None,
            claim: None,
            retells: 0,
            last_model: entry.model.clone(),
            entry,
            seen_start: false,
            leaving: false,
            listed: true,
            known_since: now,
            heartbeat_at: now,
            active_at: now,
            responded_at: 0,
            broken_at: 0,
            running: 0,
            unread_tokens: 0,
            limit: 0,
            quickest_start: 0,
            start: StartForecast::default(),
            rate: None,
            cold: None,
            hold_off: None,
            named_before: None,
            lowered_at: 0,
            backoff_until: 0,
            failures: 0,
            silent_since: None,
            reported_at: 0,
            longest_pause: 0,
        }
    }

    /// This router's shares of what it takes from all routers.
    pub(super) fn shares_mut(&mut self) -> impl Iterator<Item = &mut PacedShare> {
        let limit = self.rate.iter_mut().map(|limit| &mut limit.share);
        limit.chain(self.cold.iter_mut().map(|cold| &mut cold.share))
    }

    /// Whether it is leaving, by its own announcement or by the list.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.entry.leaving
    }

    /// Epoch of its group; 0 if it is in none.
    pub fn epoch(&self) -> u64 {
        self.entry.seat.as_ref().map_or(0, |s| s.epoch)
    }

    /// Whether it is the head of an open group.
    pub fn is_open_head(&self) -> bool {
        self.entry.open_epoch().is_some()
    }
}
