//! What must hold in every soak.

use super::{Finding, Limited, Outcome, Record, Sample, Span};

/// Time after its third crash from which on the fatal request is hardly sent any more.
const CONTACT_MS: u64 = 3_000;

/// Runs of the fatal request after that.
const FATAL_LATER: usize = 3;

/// Span over which requests at an endpoint with a limit are counted.
const SPAN_MS: u64 = 4_000;

/// Time before and after a stop in which no other fault may be for it to count.
const CALM_MS: u64 = 3_000;

/// Most memory of a router, in kilobytes.
const MEMORY_KB: u64 = 200 * 1_024;

/// Most descriptors of a router.
const DESCRIPTORS: u64 = 1_000;

/// Most bytes that a router logs in a second.
const LOG_BYTES_S: u64 = 1_000_000;

/// Checks a record; returns what must not be.
pub fn judge(record: &Record) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut add = |check: &'static str, seen: Vec<String>| {
        found.extend(seen.into_iter().map(|seen| Finding { check, seen }));
    };
    add(
        "a request that may not be repeated runs once",
        twice(record),
    );
    add("what is said not to have run has not run", untrue(record));
    add("an answer is the whole one to its request", wrong(record));
    add("groups keep apart", record.audit.clone());
    add("a configuration never goes back", went_back(record));
    add("a stop cuts nothing", cut(record));
    add(
        "harmless requests are not refused for good",
        convicted(record),
    );
    add("a request that crashes endpoints is stopped", fatal(record));
    add("the limit of an endpoint is kept", limits(record));
    add(
        "memory, descriptors and logs are bounded",
        unbounded(record),
    );
    add("the fleet recovers", recovery(record));
    found
}

fn twice(record: &Record) -> Vec<String> {
    let twice = record.once.iter().filter(|(_, runs)| **runs > 1);
    twice
        .map(|(id, runs)| format!("{id}: {runs} runs"))
        .collect()
}

fn untrue(record: &Record) -> Vec<String> {
    let told = record
        .samples
        .iter()
        .filter(|s| s.outcome == Outcome::NotRun);
    let ran = told.filter(|s| record.ran.contains_key(&s.attempt));
    ran.map(describe).collect()
}

fn wrong(record: &Record) -> Vec<String> {
    let wrong = record
        .samples
        .iter()
        .filter(|s| s.outcome == Outcome::Wrong);
    wrong.map(describe).collect()
}

fn went_back(record: &Record) -> Vec<String> {
    let back = record.versions.iter().filter(|(_, told)| !told.is_sorted());
    back.map(|((router, life), told)| format!("router {router}, life {life}: {told:?}"))
        .collect()
}

/// Requests that were at work at an endpoint when their router was told to stop, and whose
/// connection was closed, though nothing else was wrong.
fn cut(record: &Record) -> Vec<String> {
    let mut seen = Vec::new();
    for (router, stop) in calm_stops(record) {
        let during = |s: &&Sample| {
            let span = Span {
                from_ms: s.at_ms,
                to_ms: s.at_ms + s.took_ms,
            };
            s.router == router && span.meets(&stop) && s.outcome == Outcome::Closed
        };
        let closed = record.samples.iter().filter(during);
        let lost = closed.filter(|s| record.ran.contains_key(&s.attempt));
        seen.extend(lost.map(describe));
    }
    seen
}

/// Orderly stops around which nothing else was wrong, with the router.
pub fn calm_stops(record: &Record) -> Vec<(usize, Span)> {
    let calm = |stop: &Span| {
        let around = Span {
            from_ms: stop.from_ms.saturating_sub(CALM_MS),
            to_ms: stop.to_ms,
        };
        let others = record.router_faults.iter().map(|(_, span)| span);
        let mut others = others.chain(&record.endpoint_faults);
        !others.any(|fault| fault != stop && fault.meets(&around))
    };
    let stops = record.stops.iter().copied();
    stops.filter(|(_, stop)| calm(stop)).collect()
}

fn convicted(record: &Record) -> Vec<String> {
    let harmless = record.samples.iter().filter(|s| s.kind != "fatal");
    let refused = harmless.filter(|s| s.outcome == Outcome::Refused);
    refused.map(describe).collect()
}

fn fatal(record: &Record) -> Vec<String> {
    let Some(third) = record.fatal_ms.get(2) else {
        return Vec::new();
    };
    let later = record
        .fatal_ms
        .iter()
        .filter(|at| **at > third + CONTACT_MS);
    let later = later.count();
    let all = record.fatal_ms.len();
    let seen = format!("{later} runs later than {CONTACT_MS} ms after the third, {all} in all");
    Vec::from_iter((later > FATAL_LATER).then_some(seen))
}

fn limits(record: &Record) -> Vec<String> {
    record
        .limited
        .iter()
        .filter_map(|l| over(record, l))
        .collect()
}

/// The most requests of one span, where it is more than the limit allows.
fn over(record: &Record, limited: &Limited) -> Option<String> {
    let rate = limited.rate;
    let allowed = 1.5 * rate * SPAN_MS as f64 / 1_000.0 + 5.0;
    let most = limited_spans(record, limited).into_iter().max()?;
    let told = format!("{most} requests in 4 s at {rate} a second, {allowed} allowed");
    (most as f64 > allowed).then_some(told)
}

/// Requests in each span in which routers had no fault since the limit was first named: one
/// that has just started doesn't know it.
pub fn limited_spans(record: &Record, limited: &Limited) -> Vec<usize> {
    let arrivals = &limited.arrivals_ms;
    let inside = arrivals.iter().copied().filter(|at| {
        *at >= limited.span.from_ms + CONTACT_MS && *at + SPAN_MS <= limited.span.to_ms
    });
    let calm = |from: &u64| {
        let known = Span {
            from_ms: limited.span.from_ms,
            to_ms: from + SPAN_MS,
        };
        !record.router_faults.iter().any(|(_, f)| f.meets(&known))
    };
    let count = |from: u64| {
        let arrived = arrivals
            .iter()
            .filter(|at| (from..from + SPAN_MS).contains(at));
        arrived.count()
    };
    inside.filter(calm).map(count).collect()
}

fn unbounded(record: &Record) -> Vec<String> {
    let most = LOG_BYTES_S * record.seconds.max(1);
    let over = |f: &&super::ProcessFigures| {
        f.memory_kb > MEMORY_KB || f.descriptors > DESCRIPTORS || f.log_bytes > most
    };
    let over = record.figures.iter().filter(over);
    over.map(|f| format!("{f:?}")).collect()
}

fn recovery(record: &Record) -> Vec<String> {
    let missing = record.recovered_ms.is_none();
    Vec::from_iter(missing.then(|| "not within the time for it".to_string()))
}

fn describe(sample: &Sample) -> String {
    format!("{sample:?}")
}
