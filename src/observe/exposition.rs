//! Metrics in the text format that Prometheus scrapes.

use std::fmt::Write;

use super::{HistogramRow, LabelledCount};

/// Prefix of all metrics.
const PREFIX: &str = "runrail_";

/// Returns the text of the metrics page: durations and counters by client account and class,
/// then gauges of the process, then its counters.
///
/// A duration is a summary with three quantiles in milliseconds. Names of counters end in
/// `_total`.
pub fn exposition(
    rows: &[HistogramRow],
    gauges: &[(&str, u64)],
    counters: &[LabelledCount],
) -> String {
    let mut text = String::new();
    let mut previous = "";
    for row in rows {
        let kind = if row.is_duration() {
            "summary"
        } else {
            "counter"
        };
        let name = match row.is_duration() {
            true => format!("{PREFIX}{}", row.metric),
            false => format!("{PREFIX}{}_total", row.metric),
        };
        if row.metric != previous {
            write_line(&mut text, format_args!("# TYPE {name} {kind}"));
            previous = &row.metric;
        }
        let labels = format!("account={:?},class={:?}", row.account, row.class);
        if !row.is_duration() {
            write_line(&mut text, format_args!("{name}{{{labels}}} {}", row.count));
            continue;
        }
        for (quantile, value) in [("0.5", row.p50), ("0.95", row.p95), ("0.99", row.p99)] {
            let labels = format!("{labels},quantile={quantile:?}");
            write_line(&mut text, format_args!("{name}{{{labels}}} {value}"));
        }
        write_line(
            &mut text,
            format_args!("{name}_count{{{labels}}} {}", row.count),
        );
    }
    for (name, value) in gauges {
        write_line(&mut text, format_args!("# TYPE {PREFIX}{name} gauge"));
        write_line(&mut text, format_args!("{PREFIX}{name} {value}"));
    }
    let mut previous = "";
    for counter in counters {
        let name = counter.name;
        if name != previous {
            write_line(
                &mut text,
                format_args!("# TYPE {PREFIX}{name}_total counter"),
            );
            previous = name;
        }
        let [(name_a, a), (name_b, b)] = counter.labels;
        let labels = format!("{name_a}={a:?},{name_b}={b:?}");
        write_line(
            &mut text,
            format_args!("{PREFIX}{name}_total{{{labels}}} {}", counter.count),
        );
    }
    text
}

fn write_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{line}");
}
