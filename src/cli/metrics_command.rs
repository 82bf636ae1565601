use std::fmt::Write;

use pico_args::Arguments;

use super::command::reject_rest;
use super::operator_client::OperatorClient;
use super::{CliError, CliErrorKind};
use crate::observe::HistogramRow;

/// Width of the longest bar, in characters.
const BAR_WIDTH: u64 = 40;

/// Runs `metrics`: prints durations and counts.
pub(super) fn metrics(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    let bars = args.contains("--bars");
    let client = OperatorClient::from_args(&mut args, "metrics")?;
    reject_rest(args, "metrics")?;
    let answer = client.get("metrics")?;
    if json {
        println!("{answer}");
        return Ok(());
    }
    let rows: Vec<HistogramRow> = serde_json::from_value(answer)
        .map_err(|e| CliError::new(CliErrorKind::Refused, e.to_string()))?;
    if bars {
        print!("{}", metrics_bars(&rows));
    } else {
        print!("{}", metrics_table(&rows));
    }
    Ok(())
}

/// Formats rows as a table for a terminal.
pub fn metrics_table(rows: &[HistogramRow]) -> String {
    let mut text = format!(
        "{:<16} {:<16} {:<12} {:>8} {:>8} {:>8} {:>8}\n",
        "metric", "account", "class", "count", "p50", "p95", "p99"
    );
    for r in rows {
        let _ = writeln!(
            text,
            "{:<16} {:<16} {:<12} {:>8} {:>8} {:>8} {:>8}",
            r.metric, r.account, r.class, r.count, r.p50, r.p95, r.p99
        );
    }
    text
}

/// Formats durations as bars: `#` up to the median, `+` up to p95, `-` up to p99.
pub fn metrics_bars(rows: &[HistogramRow]) -> String {
    let longest = rows.iter().map(|r| r.p99).max().unwrap_or(0).max(1);
    let width = |ms: u64| (ms * BAR_WIDTH).div_ceil(longest) as usize;
    let mut text = String::new();
    for r in rows.iter().filter(|r| r.p99 > 0) {
        let p50 = width(r.p50);
        let p95 = width(r.p95).max(p50);
        let p99 = width(r.p99).max(p95);
        let bar = "#".repeat(p50) + &"+".repeat(p95 - p50) + &"-".repeat(p99 - p95);
        let name = format!("{} {}/{}", r.metric, r.account, r.class);
        let _ = writeln!(text, "{name:<40} {bar:<40} {} ms", r.p99);
    }
    text
}
