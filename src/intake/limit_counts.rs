use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::logic::{LogCode, LogEvent};
use crate::observe::LabelledCount;

/// Shortest time between two lines of the log about one limit at one listener.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How often each limit on clients was met at each listener. The first time is logged at once, and the others
/// at intervals, together.
#[derive(Default)]
pub(crate) struct LimitCounts {
    counts: Mutex<BTreeMap<Labels, Count>>,
}

/// Name of the limit and of the listener.
type Labels = (&'static str, &'static str);

#[derive(Default)]
struct Count {
    total: u64,
    unlogged: u64,
    logged_at: Option<Instant>,
}

impl LimitCounts {
    /// Counts that a limit was met.
    pub fn record(&self, limit: &'static str, listener: &'static str) {
        let mut counts = self.lock();
        let count = counts.entry((limit, listener)).or_default();
        count.total += 1;
        count.unlogged += 1;
        let is_recent = |at: Instant| at.elapsed() < LOG_INTERVAL;
        if count.logged_at.is_some_and(is_recent) {
            return;
        }
        count.logged_at = Some(Instant::now());
        let event = LogEvent::new(LogCode::ClientLimited)
            .with("limit", limit)
            .with("listener", listener)
            .with("count", std::mem::take(&mut count.unlogged));
        log::log!(target: "runrail", event.code.level(), "{event}");
    }

    /// The counters for the metrics.
    pub fn counts(&self) -> Vec<LabelledCount> {
        let row = |(labels, count): (&Labels, &Count)| LabelledCount {
            name: "clients_limited",
            labels: [("limit", labels.0), ("listener", labels.1)],
            count: count.total,
        };
        self.lock().iter().map(row).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Labels, Count>> {
        // Nothing panics while it is held.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
