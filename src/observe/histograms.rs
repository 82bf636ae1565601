use std::collections::BTreeMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::logic::router::Metric;

/// Longest duration that a histogram tells apart, in milliseconds.
const HIGHEST_MS: u64 = 3_600_000;
/// Significant digits.
const DIGITS: u8 = 2;
/// Most pairs of client account and class; further ones share one row.
const ROW_LIMIT: usize = 256;
/// Name of the row that further pairs share.
const OTHER: &str = "other";

type RowKey = (Metric, Arc<str>, Arc<str>);

/// Histograms and counts per client account and class, bounded in number.
#[derive(Debug, Default)]
pub struct Histograms {
    durations: BTreeMap<RowKey, Histogram<u64>>,
    counts: BTreeMap<RowKey, u64>,
}

/// One row as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// Metric.
    pub metric: String,
    /// Client account.
    pub account: String,
    /// Class.
    pub class: String,
    /// Number of values.
    pub count: u64,
    /// Median in milliseconds; 0 for a count.
    pub p50: u64,
    /// 95 of 100 values are at most this.
    pub p95: u64,
    /// 99 of 100 values are at most this.
    pub p99: u64,
}

impl HistogramRow {
    /// Whether it holds durations; else it counts.
    pub fn is_duration(&self) -> bool {
        let durations = [Metric::FirstPiece, Metric::Total];
        durations.iter().any(|m| m.name() == self.metric)
    }
}

impl Histograms {
    /// Records a value.
    pub fn record(&mut self, metric: Metric, account: &Arc<str>, class: &Arc<str>, value: u64) {
        let mut key = (metric, account.clone(), class.clone());
        let rows = self.durations.len() + self.counts.len();
        let known = self.durations.contains_key(&key) || self.counts.contains_key(&key);
        if !known && rows >= ROW_LIMIT {
            key = (metric, Arc::from(OTHER), Arc::from(OTHER));
        }
        if !metric.is_duration() {
            *self.counts.entry(key).or_insert(0) += value;
            return;
        }
        let histogram = self.durations.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(value);
    }

    /// All rows in order of metric, account and class.
    pub fn rows(&self) -> Vec<HistogramRow> {
        let durations = self.durations.iter().map(|(key, h)| {
            let quantile = |q| h.value_at_quantile(q);
            row(
                key,
                h.len(),
                [quantile(0.5), quantile(0.95), quantile(0.99)],
            )
        });
        let counts = self.counts.iter().map(|(key, n)| row(key, *n, [0; 3]));
        durations.chain(counts).collect()
    }
}

fn new_histogram() -> Histogram<u64> {
    // Invariant: the constants above form a valid range.
    Histogram::new_with_bounds(1, HIGHEST_MS, DIGITS).expect("histogram bounds are constants")
}

fn row(key: &RowKey, count: u64, quantiles: [u64; 3]) -> HistogramRow {
    let (metric, account, class) = key;
    HistogramRow {
        metric: metric.name().to_string(),
        account: account.to_string(),
        class: class.to_string(),
        count,
        p50: quantiles[0],
        p95: quantiles[1],
        p99: quantiles[2],
    }
}
