/// Measurements from which the forecast is used.
const MIN_SAMPLES: u32 = 3;

/// The mean moves towards each measurement by the difference divided by this, and the deviation by
/// its own difference divided by the second one, as in the usual estimate of round-trip times.
const MEAN_DIVISOR: i64 = 8;
const DEVIATION_DIVISOR: i64 = 4;

/// Largest difference from the expected time that is counted, in milliseconds: one outlier shifts
/// the mean by at most an eighth of it.
const MAX_DIFFERENCE_MS: i64 = 1_000;

/// How much later or sooner than expected the first events of an endpoint come, in milliseconds.
/// The expected time depends on unread prompt tokens and on running requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StartForecast {
    mean: i64,
    deviation: i64,
    samples: u32,
}

impl StartForecast {
    /// Learns from a first event that came after `took` milliseconds where `expected` were
    /// expected.
    pub fn learn(&mut self, took: u64, expected: u64) {
        let difference = i64::try_from(took)
            .unwrap_or(i64::MAX)
            .saturating_sub(i64::try_from(expected).unwrap_or(i64::MAX))
            .clamp(-MAX_DIFFERENCE_MS, MAX_DIFFERENCE_MS);
        if self.samples == 0 {
            self.mean = difference;
            self.deviation = difference.abs() / 2;
        } else {
            let error = difference - self.mean;
            self.mean += error / MEAN_DIVISOR;
            self.deviation += (error.abs() - self.deviation) / DEVIATION_DIVISOR;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Time until the first event where `expected` milliseconds are expected: the mean and one
    /// deviation; none before enough was measured.
    pub fn forecast(&self, expected: u64) -> Option<u64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let expected = i64::try_from(expected).unwrap_or(i64::MAX);
        let total = expected.saturating_add(self.mean + self.deviation);
        Some(total.max(0) as u64)
    }
}
