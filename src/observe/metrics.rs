use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{
    Counted, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

use super::{HistogramRow, Histograms, LabelledCount};
use crate::logic::router::Metric;

/// Maximum number of values that wait to be sent to the statsd receiver.
const MAX_QUEUED: usize = 4_096;

/// Metrics of a process: kept as histograms and counters, and sent to a statsd receiver where
/// one is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    histograms: Histograms,
    /// Values of the counters that were published last, by name and labels.
    published: BTreeMap<(&'static str, Labels), u64>,
}

/// Names and values of a counter's labels.
type Labels = [(&'static str, &'static str); 2];

impl Metrics {
    /// Creates metrics that are sent to `receiver`, or only kept where there is none.
    ///
    /// # Errors
    /// Returns the error where the socket can't be opened.
    pub fn new(receiver: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match receiver {
            None => StatsdClient::from_sink("runrail", NopMetricSink),
            Some(addr) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
                let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED);
                StatsdClient::from_sink("runrail", sink)
            }
        };
        Ok(Self {
            client,
            histograms: Histograms::default(),
            published: BTreeMap::new(),
        })
    }

    /// Records a value of a request: a duration in milliseconds, or an addition to a counter.
    pub fn record(&mut self, metric: Metric, account: &Arc<str>, class: &Arc<str>, value: u64) {
        self.histograms.record(metric, account, class, value);
        let name = metric.name();
        if metric.is_duration() {
            let timer = self.client.time_with_tags(name, value);
            timer
                .with_tag("account", account)
                .with_tag("class", class)
                .send();
        } else {
            let count = self.client.count_with_tags(name, value as i64);
            count
                .with_tag("account", account)
                .with_tag("class", class)
                .send();
        }
    }

    /// Sends an event of the process itself as a count of 1; it isn't kept.
    pub fn count(&self, name: &str) {
        // Errors are ignored: a lost metric does no harm.
        let _ = self.client.incr(name);
    }

    /// Sends by how much counters have risen since they were published last.
    pub fn publish(&mut self, counters: &[LabelledCount]) {
        for counter in counters {
            let key = (counter.name, counter.labels);
            let before = self.published.insert(key, counter.count).unwrap_or(0);
            if counter.count > before {
                let rise = (counter.count - before) as i64;
                let [(name_a, a), (name_b, b)] = counter.labels;
                let count = self.client.count_with_tags(counter.name, rise);
                count.with_tag(name_a, a).with_tag(name_b, b).send();
            }
        }
    }

    /// Rows of the histograms and counters.
    pub fn rows(&self) -> Vec<HistogramRow> {
        self.histograms.rows()
    }
}
