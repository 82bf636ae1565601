//! Figures as text that an ordinary scraper reads.

use std::fmt::Write;

use super::{HistogramRow, LabelledCount};

/// What comes before each name.
const PREFIX: &str = "runrail_";

/// Histograms and counters by client account and class, then figures of the process, then its
/// counters.
///
/// A duration has a summary of three quantiles in milliseconds; a counter ends in
/// `_total`.
pub fn exposition(
    rows: &[HistogramRow],
    figures: &[(&str, u64)],
    counts: &[LabelledCount],
) -> String {
    let mut text = String::new();
    let mut last = "";
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
        if row.metric != last {
            line(&mut text, format_args!("# TYPE {name} {kind}"));
            last = &row.metric;
        }
        let labels = format!("account={:?},class={:?}", row.account, row.class);
        if !row.is_duration() {
            line(&mut text, format_args!("{name}{{{labels}}} {}", row.count));
            continue;
        }
        for (quantile, value) in [("0.5", row.p50), ("0.95", row.p95), ("0.99", row.p99)] {
            let labels = format!("{labels},quantile={quantile:?}");
            line(&mut text, format_args!("{name}{{{labels}}} {value}"));
        }
        line(
            &mut text,
            format_args!("{name}_count{{{labels}}} {}", row.count),
        );
    }
    for (name, value) in figures {
        line(&mut text, format_args!("# TYPE {PREFIX}{name} gauge"));
        line(&mut text, format_args!("{PREFIX}{name} {value}"));
    }
    let mut last = "";
    for count in counts {
        let name = count.name;
        if name != last {
            line(
                &mut text,
                format_args!("# TYPE {PREFIX}{name}_total counter"),
            );
            last = name;
        }
        let [(a, x), (b, y)] = count.labels;
        let labels = format!("{a}={x:?},{b}={y:?}");
        line(
            &mut text,
            format_args!("{PREFIX}{name}_total{{{labels}}} {}", count.count),
        );
    }
    text
}

fn line(text: &mut String, words: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{words}");
}
