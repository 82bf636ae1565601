//! Checks of what must hold in every soak.

use super::received::{broken_hold_offs, sent_to_leaving};
use super::{Finding, Limited, Outcome, Record, Sample, Span};

/// Time in which all routers learn of the last crash that they need to know of, or of an endpoint's
/// rate limit.
const PROPAGATION_MS: u64 = 3_000;

/// Runs of the fatal request, and of requests with the fatal segment, after which routers have to
/// know it.
const FATAL_RUNS: usize = 3;
const SEGMENT_RUNS: usize = 5;

/// Maximum number of such runs that begin more than [`PROPAGATION_MS`] after that.
const MAX_LATE_RUNS: usize = 3;

/// Requests before and in a concentration of callers from which it is judged.
const MIN_CONCENTRATION_SAMPLES: usize = 20;

/// Time in which a configuration has to be in force at routers without a recent fault.
const APPLY_MS: u64 = 2_000;

/// Longest time that a reading of the version in force takes.
const READING_MS: u64 = 500;

/// Time without a fault after which a router counts as being without one.
const CONTACT_MS: u64 = 3_000;

/// Window over which requests at an endpoint with a rate limit are counted.
const RATE_WINDOW_MS: u64 = 4_000;

/// Requests of other callers from which a flood is judged, and the margin: three standard errors of
/// the share of 25 requests.
const MIN_FLOOD_SAMPLES: usize = 20;
const FLOOD_MARGIN_PERCENT: usize = 30;

/// Time after a fault of an endpoint for which a request may be cut by it.
const ENDPOINT_FAULT_MS: u64 = 500;

/// Limits of the resource usage of each router: resident memory, open descriptors and the mean
/// rate at which its log grows.
const MAX_MEMORY_KB: u64 = 200 * 1_024;

pub(super) const MAX_DESCRIPTORS: u64 = 1_000;

const MAX_LOG_BYTES_PER_S: u64 = 1_000_000;

/// A third of the time that the routes give a request.
const MAX_RETURN_MS: u64 = 2_000;

/// Fresh requests sent within this time of a returned one are compared with it.
const BESIDE_MS: u64 = 500;

/// Requests that may be refused again beyond what is expected and three deviations of that.
const MAX_CHANCE_REFUSALS: f64 = 3.0;

/// Runs all checks on a record; returns the violations found.
pub fn judge(record: &Record) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut add = |check: &'static str, seen: Vec<String>| {
        found.extend(seen.into_iter().map(|seen| Finding { check, seen }));
    };
    add(
        "a request that may not be repeated runs once",
        repeated_runs(record),
    );
    add(
        "what is said not to have run has not run",
        not_run_but_ran(record),
    );
    add(
        "an answer is the whole one to its request",
        wrong_answers(record),
    );
    add("groups keep apart", record.audit.clone());
    add(
        "a configuration never goes back",
        decreasing_versions(record),
    );
    add(
        "a configuration is in force in time",
        late_configurations(record),
    );
    add("a stop cuts nothing", cut_requests(record));
    add(
        "harmless requests are not refused for good",
        refused_harmless(record),
    );
    add(
        "a request that crashes endpoints is stopped",
        late_fatal_runs(record),
    );
    add(
        "a segment that crashes endpoints is stopped",
        late_segment_runs(record),
    );
    add(
        "a router that gets all new connections serves them",
        unserved_concentrations(record),
    );
    add("the limit of an endpoint is kept", exceeded_limits(record));
    add(
        "an endpoint that holds off gets nothing",
        broken_hold_offs(&record.received, &record.interruptions),
    );
    add(
        "an endpoint that is leaving gets nothing new",
        sent_to_leaving(&record.received, &record.interruptions),
    );
    add(
        "memory, descriptors and logs are bounded",
        excessive_usage(record),
    );
    add(
        "a flood by one account doesn't shut the others out",
        crowded_out(record),
    );
    add(
        "a refused caller is told a time that it has",
        late_returns(record),
    );
    add(
        "a caller that returns in time is not worse off than a fresh one",
        returns_refused_again(record),
    );
    add("the fleet recovers", missing_recovery(record));
    found
}

fn repeated_runs(record: &Record) -> Vec<String> {
    let repeated = record.once.iter().filter(|(_, runs)| **runs > 1);
    repeated
        .map(|(id, runs)| format!("{id}: {runs} runs"))
        .collect()
}

fn not_run_but_ran(record: &Record) -> Vec<String> {
    let not_run = record
        .samples
        .iter()
        .filter(|s| s.outcome == Outcome::NotRun);
    let ran = not_run.filter(|s| record.ran.contains_key(&s.attempt));
    ran.map(describe).collect()
}

fn wrong_answers(record: &Record) -> Vec<String> {
    let wrong = record
        .samples
        .iter()
        .filter(|s| s.outcome == Outcome::Wrong);
    wrong.map(describe).collect()
}

fn decreasing_versions(record: &Record) -> Vec<String> {
    let decreasing = record
        .versions
        .iter()
        .filter(|(_, versions)| !versions.is_sorted());
    decreasing
        .map(|((router, restarts), versions)| {
            format!("router {router}, restart {restarts}: {versions:?}")
        })
        .collect()
}

/// Older routing versions that routers reported though a newer one had been written long enough
/// before and they had had no fault for a while.
fn late_configurations(record: &Record) -> Vec<String> {
    let mut seen = Vec::new();
    for (at_ms, router, version) in &record.readings {
        let before = Span {
            from_ms: at_ms.saturating_sub(CONTACT_MS),
            to_ms: *at_ms,
        };
        let is_fault = |(at, fault): &(usize, Span)| at == router && fault.overlaps(&before);
        if record.router_faults.iter().any(is_fault) {
            continue;
        }
        let due = record.configured.iter();
        let due = due.filter(|(written, _)| written + APPLY_MS + READING_MS < *at_ms);
        if let Some((written, newer)) = due.max_by_key(|(_, v)| *v).filter(|(_, v)| v > version) {
            seen.push(format!(
                "router {router} has {version} at {at_ms} ms, {newer} was written at {written} ms"
            ));
        }
    }
    seen
}

/// Requests that ran at an endpoint and whose connection was closed without a complete answer while
/// their router was shutting down, though no endpoint had a fault.
fn cut_requests(record: &Record) -> Vec<String> {
    let mut seen = Vec::new();
    for (router, stop) in undisturbed_shutdowns(record) {
        let is_cut = |s: &&Sample| {
            let is_during = s.router == router && span_of(s).overlaps(&stop);
            is_during && s.outcome == Outcome::Closed && !has_endpoint_fault(record, s)
        };
        let closed = record.samples.iter().filter(is_cut);
        let lost = closed.filter(|s| record.ran.contains_key(&s.attempt));
        seen.extend(lost.map(describe));
    }
    seen
}

fn span_of(sample: &Sample) -> Span {
    Span {
        from_ms: sample.at_ms,
        to_ms: sample.at_ms + sample.took_ms,
    }
}

/// Whether an endpoint had a fault during a request or shortly before.
fn has_endpoint_fault(record: &Record, sample: &Sample) -> bool {
    let during = span_of(sample);
    let around = Span {
        from_ms: during.from_ms.saturating_sub(ENDPOINT_FAULT_MS),
        ..during
    };
    record.endpoint_faults.iter().any(|f| f.overlaps(&around))
}

/// Shutdowns during which the router was neither killed nor frozen, with the index of the router.
pub fn undisturbed_shutdowns(record: &Record) -> Vec<(usize, Span)> {
    let is_disturbed = |(router, stop): &(usize, Span)| {
        let mut all = record.interruptions.iter();
        all.any(|(at, span)| at == router && span.overlaps(stop))
    };
    let shutdowns = record.shutdowns.iter().copied();
    shutdowns.filter(|stop| !is_disturbed(stop)).collect()
}

fn refused_harmless(record: &Record) -> Vec<String> {
    let is_harmless = |s: &&Sample| s.kind != "fatal" && s.kind != "segment";
    let harmless = record.samples.iter().filter(is_harmless);
    let refused = harmless.filter(|s| s.outcome == Outcome::Refused);
    refused.map(describe).collect()
}

fn late_fatal_runs(record: &Record) -> Vec<String> {
    late_runs(&record.fatal_ms, FATAL_RUNS)
}

fn late_segment_runs(record: &Record) -> Vec<String> {
    late_runs(&record.segment_ms, SEGMENT_RUNS)
}

/// Whether more than [`MAX_LATE_RUNS`] runs that crashed endpoints began later than
/// [`PROPAGATION_MS`] after the one with the number `decisive`.
fn late_runs(runs_ms: &[u64], decisive: usize) -> Vec<String> {
    let Some(known) = runs_ms.get(decisive - 1) else {
        return Vec::new();
    };
    let later = runs_ms.iter().filter(|at| **at > known + PROPAGATION_MS);
    let (later, all) = (later.count(), runs_ms.len());
    let seen =
        format!("{later} runs later than {PROPAGATION_MS} ms after run {decisive}, {all} in all");
    Vec::from_iter((later > MAX_LATE_RUNS).then_some(seen))
}

/// Concentrations of callers at a router in which it served requests less than three quarters as
/// often as all routers did before, though neither it nor an endpoint had a fault.
fn unserved_concentrations(record: &Record) -> Vec<String> {
    let mut seen = Vec::new();
    for (router, span) in &record.concentrations {
        let before = Span {
            from_ms: span.from_ms.saturating_sub(CONTACT_MS),
            to_ms: span.from_ms,
        };
        let during = Span {
            from_ms: span.from_ms + CONTACT_MS,
            to_ms: span.to_ms,
        };
        let around = Span {
            from_ms: before.from_ms,
            to_ms: span.to_ms,
        };
        let of_router = |(at, fault): &(usize, Span)| at == router && fault.overlaps(&around);
        let is_disturbed = record.router_faults.iter().any(of_router)
            || record.endpoint_faults.iter().any(|f| f.overlaps(&around))
            || record.limited.iter().any(|l| l.span.overlaps(&around))
            || record.floods.iter().any(|f| f.overlaps(&around));
        if is_disturbed || during.from_ms >= during.to_ms {
            continue;
        }
        let served = |span: &Span, at: Option<usize>| {
            let is_in = |s: &&Sample| {
                let is_at = at.is_none_or(|at| at == s.router);
                is_at && s.at_ms >= span.from_ms && s.at_ms <= span.to_ms
            };
            let all: Vec<_> = record.samples.iter().filter(is_in).collect();
            let whole = all.iter().filter(|s| s.outcome == Outcome::Whole);
            (whole.count(), all.len())
        };
        let (usual, all) = served(&before, None);
        let (whole, sent) = served(&during, Some(*router));
        let is_less = whole * all * 4 < usual * sent * 3;
        if all >= MIN_CONCENTRATION_SAMPLES && sent >= MIN_CONCENTRATION_SAMPLES && is_less {
            seen.push(format!(
                "router {router}, {span:?}: {whole} of {sent} whole, {usual} of {all} before"
            ));
        }
    }
    seen
}

fn exceeded_limits(record: &Record) -> Vec<String> {
    record
        .limited
        .iter()
        .filter_map(|l| exceeded_limit(record, l))
        .collect()
}

/// The most requests in one window, where they are more than the limit allows.
fn exceeded_limit(record: &Record, limited: &Limited) -> Option<String> {
    let rate = limited.rate;
    let allowed = 1.5 * rate * RATE_WINDOW_MS as f64 / 1_000.0 + 5.0;
    let most = limit_window_counts(record, limited).into_iter().max()?;
    let seen = format!("{most} requests in 4 s at {rate} a second, {allowed} allowed");
    (most as f64 > allowed).then_some(seen)
}

/// Counts the requests in each window of `RATE_WINDOW_MS` that begins with a request, at least
/// `PROPAGATION_MS` after the limit was first named, and ends before the limit does. Requests of
/// routers that were restarted or frozen less than `PROPAGATION_MS` before, or meanwhile, don't
/// count: these don't know the limit.
pub fn limit_window_counts(record: &Record, limited: &Limited) -> Vec<usize> {
    let Span { from_ms, to_ms } = limited.span;
    let all = record.received.iter();
    let all: Vec<_> = all.filter(|r| r.endpoint == limited.endpoint).collect();
    let starts = all
        .iter()
        .map(|r| r.at_ms)
        .filter(|at| *at >= from_ms + PROPAGATION_MS && *at + RATE_WINDOW_MS <= to_ms);
    let count = |from: u64| {
        let known = Span {
            from_ms: from - PROPAGATION_MS,
            to_ms: from + RATE_WINDOW_MS,
        };
        let is_bound = |router: usize| {
            let mut all = record.interruptions.iter();
            !all.any(|(at, span)| *at == router && span.overlaps(&known))
        };
        let inside = all
            .iter()
            .filter(|r| (from..from + RATE_WINDOW_MS).contains(&r.at_ms));
        inside.filter(|r| is_bound(r.router)).count()
    };
    starts.map(count).filter(|count| *count > 0).collect()
}

fn excessive_usage(record: &Record) -> Vec<String> {
    let max_log_bytes = MAX_LOG_BYTES_PER_S * record.seconds.max(1);
    let over = |f: &&super::ProcessFigures| {
        f.memory_kb > MAX_MEMORY_KB
            || f.descriptors > MAX_DESCRIPTORS
            || f.log_bytes > max_log_bytes
    };
    let over = record.usages.iter().filter(over);
    over.map(|f| format!("{f:?}")).collect()
}

/// Floods in which other callers of streams got complete answers less often than the account that
/// floods, though admission was on and they asked for less. Both are subject to the same faults, unless
/// the others are all at one router that was killed or frozen.
fn crowded_out(record: &Record) -> Vec<String> {
    if !record.features.contains(&"admission") {
        return Vec::new();
    }
    let mut seen = Vec::new();
    for flood in &record.floods {
        if is_alone_interrupted(record, flood) {
            continue;
        }
        let served = |kind: &str| {
            let of_kind = |s: &&Sample| s.kind == kind && span_of(s).overlaps(flood);
            let of_kind: Vec<_> = record.samples.iter().filter(of_kind).collect();
            let whole = of_kind.iter().filter(|s| s.outcome == Outcome::Whole);
            (whole.count(), of_kind.len())
        };
        let ((whole, all), (crowd_whole, crowd)) = (served("stream"), served("flood"));
        let percent = |whole: usize, all: usize| whole * 100 / all.max(1);
        let is_less = percent(whole, all) + FLOOD_MARGIN_PERCENT < percent(crowd_whole, crowd);
        if all >= MIN_FLOOD_SAMPLES && is_less {
            seen.push(format!(
                "{flood:?}: {whole} of {all} whole, of the flood {crowd_whole} of {crowd}"
            ));
        }
    }
    seen
}

/// Whether all new connections went to one router in a span, and that router was killed or frozen then
/// or shortly before.
fn is_alone_interrupted(record: &Record, span: &Span) -> bool {
    let around = Span {
        from_ms: span.from_ms.saturating_sub(CONTACT_MS),
        ..*span
    };
    let concentrations = record.concentrations.iter();
    let mut routers = concentrations
        .filter(|(_, c)| c.overlaps(span))
        .map(|(at, _)| at);
    routers.any(|router| {
        let mut all = record.interruptions.iter();
        all.any(|(at, interruption)| at == router && interruption.overlaps(&around))
    })
}

fn missing_recovery(record: &Record) -> Vec<String> {
    let missing = record.recovered_ms.is_none();
    Vec::from_iter(missing.then(|| "not within the time limit".to_string()))
}

/// Refusals that ask the caller to come back after more than a third of its time.
fn late_returns(record: &Record) -> Vec<String> {
    let refused = record.samples.iter().filter(|_| has_returns(record));
    let late = refused.filter(|s| s.retry_after_ms.is_some_and(|ms| ms > MAX_RETURN_MS));
    late.map(describe).collect()
}

/// Whether more of the requests that returned in time were refused again than of the fresh ones that
/// came to the same router at about the same time.
fn returns_refused_again(record: &Record) -> Vec<String> {
    let is_refused = |s: &&Sample| s.outcome == Outcome::NotRun;
    let (mut expected, mut refused) = (0.0, 0);
    let returned = record.samples.iter().filter(|_| has_returns(record));
    for sample in returned.filter(|s| s.returned) {
        let is_beside = |s: &&Sample| {
            let is_like = s.router == sample.router && s.kind == sample.kind && !s.returned;
            is_like && s.at_ms.abs_diff(sample.at_ms) <= BESIDE_MS
        };
        let beside: Vec<_> = record.samples.iter().filter(is_beside).collect();
        if beside.is_empty() {
            continue;
        }
        let count = beside.iter().copied().filter(is_refused).count();
        expected += count as f64 / beside.len() as f64;
        refused += u64::from(is_refused(&sample));
    }
    let allowed = expected + 3.0 * expected.sqrt() + MAX_CHANCE_REFUSALS;
    let seen = format!("{refused} refused again, {expected:.1} expected of fresh ones");
    Vec::from_iter((refused as f64 > allowed).then_some(seen))
}

fn has_returns(record: &Record) -> bool {
    record.features.contains(&"returns")
}

fn describe(sample: &Sample) -> String {
    format!("{sample:?}")
}
