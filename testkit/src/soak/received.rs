use super::Span;

/// Time from a request for a hold-off after which it binds, in milliseconds.
const HOLD_OFF_NOTICE_MS: u64 = 500;

/// Most requests that may still reach an endpoint within a hold-off.
const MAX_IN_HOLD_OFF: usize = 2;

/// Time from an answer that says that its endpoint is leaving after which callers' requests may no
/// longer be sent there, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// A request as an endpoint received it; times are in milliseconds from the beginning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The endpoint.
    pub endpoint: String,
    /// When its process started.
    pub life: u64,
    /// Index of the router that sent it.
    pub router: usize,
    /// When the caller sent the request.
    pub sent_ms: u64,
    /// When it arrived.
    pub at_ms: u64,
    /// When the caller had its answer.
    pub done_ms: u64,
    /// Time for which the endpoint asked the router to send nothing, if it turned the request away.
    pub hold_off_ms: Option<u64>,
    /// Whether the answer said that the endpoint is leaving.
    pub leaving: bool,
}

impl Received {
    /// Whether a later request came from the same router to the same process of an endpoint, without
    /// a restart or freeze of the router in between.
    fn binds(&self, later: &Received, interruptions: &[(usize, Span)]) -> bool {
        let between = Span {
            from_ms: self.at_ms,
            to_ms: later.at_ms,
        };
        let is_excused = interruptions
            .iter()
            .any(|(router, span)| *router == self.router && span.overlaps(&between));
        let is_same = later.endpoint == self.endpoint && later.life == self.life;
        is_same && later.router == self.router && !is_excused
    }
}

/// Hold-offs during which more than two requests of the router that was asked reached the endpoint.
pub fn broken_hold_offs(received: &[Received], interruptions: &[(usize, Span)]) -> Vec<String> {
    let mut seen = Vec::new();
    for (asked, ms) in received.iter().filter_map(|r| Some((r, r.hold_off_ms?))) {
        let during = asked.at_ms + HOLD_OFF_NOTICE_MS..asked.at_ms + ms;
        let later = received.iter().filter(|r| during.contains(&r.at_ms));
        let count = later.filter(|r| asked.binds(r, interruptions)).count();
        if count > MAX_IN_HOLD_OFF {
            seen.push(format!(
                "{count} requests of router {} to {} in the {ms} ms after {} ms",
                asked.router, asked.endpoint, asked.at_ms
            ));
        }
    }
    seen
}

/// Requests that callers sent after an endpoint had told the router for long enough that it is
/// leaving.
pub fn sent_to_leaving(received: &[Received], interruptions: &[(usize, Span)]) -> Vec<String> {
    let mut seen = Vec::new();
    for later in received {
        let told = received.iter().find(|r| {
            let in_time = r.done_ms + DRAIN_MS < later.sent_ms;
            r.leaving && in_time && r.binds(later, interruptions)
        });
        if let Some(told) = told {
            seen.push(format!("{later:?}, told at {} ms", told.at_ms));
        }
    }
    seen
}
