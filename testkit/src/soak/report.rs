use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;

use super::{calm_stops, limited_spans, plot, Finding, Outcome, Plan, Record, SoakSettings};

/// Lines of the timeline around a finding's request.
const AROUND: usize = 3;

/// Writes plan, report, requests and plots into the folder; returns the report.
///
/// # Errors
/// When the folder can't be written to.
pub fn write_report(
    settings: &SoakSettings,
    plan: &Plan,
    record: &Record,
    findings: &[Finding],
) -> io::Result<String> {
    let text = text(settings, plan, record, findings);
    std::fs::write(settings.dir.join("plan.txt"), plan.to_string())?;
    std::fs::write(settings.dir.join("report.txt"), &text)?;
    std::fs::write(settings.dir.join("requests.csv"), requests(record))?;
    plot::write(&settings.dir.join("plot.svg"), plan, record)?;
    Ok(text)
}

fn text(settings: &SoakSettings, plan: &Plan, record: &Record, found: &[Finding]) -> String {
    let mut out = format!(
        "seed {}, {} s, {} routers, {} engines\n",
        settings.seed, settings.seconds, settings.routers, settings.engines
    );
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    for planned in &plan.faults {
        *faults.entry(planned.fault.name()).or_default() += 1;
    }
    // Writing to a text doesn't fail.
    let _ = writeln!(out, "faults: {faults:?}");
    for outcome in Outcome::ALL {
        let count = record.samples.iter().filter(|s| s.outcome == outcome);
        let _ = writeln!(out, "{outcome:?}: {}", count.count());
    }
    let _ = writeln!(out, "fatal request: {} runs", record.fatal_ms.len());
    let _ = writeln!(out, "processes: {:?}", record.figures);
    let _ = writeln!(out, "recovered after: {:?} ms", record.recovered_ms);
    let spans = record
        .limited
        .iter()
        .map(|l| limited_spans(record, l).len());
    let _ = writeln!(
        out,
        "judged: {} requests, {} runs that may not be repeated, {} of {} stops, {} spans of limits",
        record.samples.len(),
        record.once.len(),
        calm_stops(record).len(),
        record.stops.len(),
        spans.sum::<usize>()
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

/// Requests around the one that a finding names.
fn timeline(record: &Record, finding: &Finding) -> String {
    let named = |s: &&super::Sample| finding.seen.contains(&format!("{:?}", s.attempt));
    let Some(at) = record.samples.iter().position(|s| named(&s)) else {
        return String::new();
    };
    let from = at.saturating_sub(AROUND);
    let around = record.samples[from..].iter().take(2 * AROUND + 1);
    around.map(|s| format!("{s:?}\n")).collect()
}

fn requests(record: &Record) -> String {
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
