use std::collections::BTreeMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::LabelledCount;
use crate::logic::router::Metric;

/// Upper bound of a histogram; longer durations are recorded as this one.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Significant decimal digits of the values in a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of rows, each of a metric, client account and class. Further ones share one
/// row for each metric.
const MAX_ROWS: usize = 256;
/// Account and class of a shared row.
const OTHER: &str = "other";

type RowKey = (Metric, Arc<str>, Arc<str>);

/// Histograms of durations, and counters, by metric, client account and class; bounded in
/// number.
#[derive(Debug, Default)]
pub struct Histograms {
    durations: BTreeMap<RowKey, Histogram<u64>>,
    counters: BTreeMap<RowKey, u64>,
}

/// One row of the metrics that operators read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistogramRow {
    /// Metric.
    pub metric: String,
    /// Client account.
    pub account: String,
    /// Class.
    pub class: String,
    /// Number of durations, or the value of a counter.
    pub count: u64,
    /// Median in milliseconds; 0 for a counter.
    pub p50: u64,
    /// 95th percentile in milliseconds; 0 for a counter.
    pub p95: u64,
    /// 99th percentile in milliseconds; 0 for a counter.
    pub p99: u64,
}

impl From<&LabelledCount> for HistogramRow {
    /// A counter whose labels stand in place of the client account and the class.
    fn from(counter: &LabelledCount) -> Self {
        let [(_, account), (_, class)] = counter.labels;
        Self {
            metric: counter.name.to_string(),
            account: account.to_string(),
            class: class.to_string(),
            count: counter.count,
            p50: 0,
            p95: 0,
            p99: 0,
        }
    }
}

impl HistogramRow {
    /// Whether the row is of durations rather than a counter.
    pub fn is_duration(&self) -> bool {
        let durations = [Metric::FirstPiece, Metric::Total];
        durations.iter().any(|m| m.name() == self.metric)
    }
}

impl Histograms {
    /// Records a duration in milliseconds, or adds a value to a counter.
    pub fn record(&mut self, metric: Metric, account: &Arc<str>, class: &Arc<str>, value: u64) {
        let mut key = (metric, account.clone(), class.clone());
        let rows = self.durations.len() + self.counters.len();
        let known = self.durations.contains_key(&key) || self.counters.contains_key(&key);
        if !known && rows >= MAX_ROWS {
            key = (metric, Arc::from(OTHER), Arc::from(OTHER));
        }
        if !metric.is_duration() {
            *self.counters.entry(key).or_insert(0) += value;
            return;
        }
        let histogram = self.durations.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(value);
    }

    /// All rows: durations first, then counters, both in order of metric, account and class.
    pub fn rows(&self) -> Vec<HistogramRow> {
        let durations = self.durations.iter().map(|(key, h)| {
            let quantile = |q| h.value_at_quantile(q);
            row(
                key,
                h.len(),
                [quantile(0.5), quantile(0.95), quantile(0.99)],
            )
        });
        let counters = self.counters.iter().map(|(key, n)| row(key, *n, [0; 3]));
        durations.chain(counters).collect()
    }
}

fn new_histogram() -> Histogram<u64> {
    // Invariant: the constants above form a valid range.
    Histogram::new_with_bounds(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)
        .expect("histogram bounds are constants")
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
