use std::collections::BTreeMap;

use super::Precedence;

/// Requests by which an account that has used little may be ahead of the level of service. Without
/// a bound, one that was idle would get all room until its use is that of the others.
const MAX_AHEAD: u64 = 4;

/// A waiting request, as far as its place in the order depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueuedRequest<'a> {
    /// Its id; ids follow the order of arrival.
    pub id: u64,
    /// Its precedence.
    pub precedence: Precedence,
    /// Whether it can't begin within its objective any more.
    pub late: bool,
    /// Whether an endpoint may have begun to run it.
    pub has_run: bool,
    /// Its priority; 0 goes first.
    pub priority: u8,
    /// Whether it has come back at the time that it was told.
    pub kept_appointment: bool,
    /// Account that it counts for.
    pub account: &'a str,
    /// Its cost, in the unit of the account's use.
    pub cost: u64,
}

impl QueuedRequest<'_> {
    /// What orders it before fairness does.
    fn rank(&self) -> (Precedence, bool, bool, u8, bool) {
        (
            self.precedence,
            self.late,
            // Its caller can't be told that it has not run, so it would end as unknown.
            self.late && !self.has_run,
            self.priority,
            !self.kept_appointment,
        )
    }
}

/// Orders waiting requests: resumed streams, then requests in time by priority, then late ones,
/// of these first the ones that may have run.
/// Within one priority those that kept an appointment go first. Among equals start-time fair
/// queueing decides: each account's requests are tagged with its use so far and the cost of its
/// requests before them, and the lowest tag goes first; then arrival decides. `level` is the
/// highest use of an account that was served; the first tag of an account is at most a few requests below.
pub fn fair_order<'a>(
    mut requests: Vec<QueuedRequest<'a>>,
    level: u64,
    used: impl Fn(&str) -> u64,
) -> Vec<QueuedRequest<'a>> {
    if requests.len() < 2 {
        return requests;
    }
    requests.sort_unstable_by_key(|r| (r.rank(), r.id));
    let mut tags: BTreeMap<&str, u64> = BTreeMap::new();
    let tagged = requests.into_iter().map(|request| {
        let next = tags
            .entry(request.account)
            .or_insert_with(|| used(request.account).max(lowest_tag(level, request.cost)));
        let start = *next;
        *next = start.saturating_add(request.cost);
        (start, request)
    });
    let mut tagged: Vec<_> = tagged.collect();
    tagged.sort_unstable_by_key(|(start, r)| (r.rank(), *start, r.id));
    tagged.into_iter().map(|(_, request)| request).collect()
}

/// Lowest first tag of an account whose next request has this cost.
pub(super) fn lowest_tag(level: u64, cost: u64) -> u64 {
    level.saturating_sub(MAX_AHEAD * cost)
}
