use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;

use super::{
    limit_window_counts, plot, undisturbed_shutdowns, Finding, Outcome, Plan, Record, Sample,
    SoakSettings,
};

/// Requests that the timeline shows before, and after, the one that a finding names.
const CONTEXT_REQUESTS: usize = 3;

/// Writes the plan, the report, the requests and the plots into the folder of the settings; returns
/// the text of the report.
///
/// # Errors
/// When a file can't be written.
pub fn write_report(
    settings: &SoakSettings,
    plan: &Plan,
    record: &Record,
    findings: &[Finding],
) -> io::Result<String> {
    let text = report_text(settings, plan, record, findings);
    std::fs::write(settings.dir.join("plan.txt"), plan.to_string())?;
    std::fs::write(settings.dir.join("report.txt"), &text)?;
    std::fs::write(settings.dir.join("requests.csv"), requests_csv(record))?;
    plot::write(&settings.dir.join("plot.svg"), plan, record)?;
    Ok(text)
}

fn report_text(settings: &SoakSettings, plan: &Plan, record: &Record, found: &[Finding]) -> String {
    let mut out = format!(
        "seed {}, {} s, {} routers, {} engines in {} domains\n",
        settings.seed, settings.seconds, settings.routers, settings.engines, settings.domains
    );
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    for planned in &plan.faults {
        *faults.entry(planned.fault.name()).or_default() += 1;
    }
    // Writing to a `String` doesn't fail.
    let _ = writeln!(out, "faults: {faults:?}");
    for outcome in Outcome::ALL {
        let count = record.samples.iter().filter(|s| s.outcome == outcome);
        let _ = writeln!(out, "{outcome:?}: {}", count.count());
    }
    let _ = writeln!(out, "fatal request: {} runs", record.fatal_ms.len());
    let runs = record.segment_ms.len();
    let _ = writeln!(out, "requests with the fatal segment: {runs} runs");
    let beside = Outcome::ALL.map(|outcome| {
        let is_such = |s: &&Sample| s.kind == "beside" && s.outcome == outcome;
        (outcome, record.samples.iter().filter(is_such).count())
    });
    let _ = writeln!(out, "sound requests beside it: {beside:?}");
    let _ = writeln!(out, "processes: {:?}", record.usages);
    let _ = writeln!(out, "recovered after: {:?} ms", record.recovered_ms);
    let windows = record
        .limited
        .iter()
        .map(|l| limit_window_counts(record, l).len());
    let _ = writeln!(
        out,
        "judged: {} requests, {} runs that may not be repeated, {} of {} stops, {} spans of limits",
        record.samples.len(),
        record.once.len(),
        undisturbed_shutdowns(record).len(),
        record.shutdowns.len(),
        windows.sum::<usize>()
    );
    let held = record.received.iter().filter(|r| r.hold_off_ms.is_some());
    let told = record.received.iter().filter(|r| r.leaving);
    let _ = writeln!(
        out,
        "judged of {} requests at endpoints: {} hold-offs, {} announcements of leaving",
        record.received.len(),
        held.count(),
        told.count()
    );
    let returned: Vec<_> = record.samples.iter().filter(|s| s.returned).collect();
    let again = returned.iter().filter(|s| s.outcome == Outcome::NotRun);
    let _ = writeln!(
        out,
        "switched on: {:?}; {} requests returned when asked, {} of them were refused again",
        record.features,
        returned.len(),
        again.count()
    );
    let _ = writeln!(out, "findings: {}", found.len());
    for finding in found {
        let _ = writeln!(out, "- {finding}");
    }
    if let Some(first) = found.first() {
        let _ = write!(out, "\n{}", timeline(record, first));
    }
    out
}

/// The request that a finding names and those around it; empty where it names none.
fn timeline(record: &Record, finding: &Finding) -> String {
    let is_named = |s: &&super::Sample| finding.seen.contains(&format!("{:?}", s.attempt));
    let Some(at) = record.samples.iter().position(|s| is_named(&s)) else {
        return String::new();
    };
    let from = at.saturating_sub(CONTEXT_REQUESTS);
    let around = record.samples[from..].iter().take(2 * CONTEXT_REQUESTS + 1);
    around.map(|s| format!("{s:?}\n")).collect()
}

fn requests_csv(record: &Record) -> String {
    let mut out = String::from("at_ms,took_ms,kind,router,outcome,attempt\n");
    for s in &record.samples {
        let _ = writeln!(
            out,
            "{},{},{},{},{:?},{}",
            s.at_ms, s.took_ms, s.kind, s.router, s.outcome, s.attempt
        );
    }
    out
}
