use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{
    Counted, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

use super::{HistogramRow, Histograms};
use crate::logic::router::Metric;

/// Values that may wait for the metrics socket.
const QUEUE: usize = 4_096;

/// Metrics of a process: sent by statsd where a receiver is set, kept as histograms.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    histograms: Histograms,
}

impl Metrics {
    /// Metrics that go to `receiver`, or are only kept where there is none.
    ///
    /// # Errors
    /// Returns the error of the socket.
    pub fn new(receiver: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match receiver {
            None => StatsdClient::from_sink("runrail", NopMetricSink),
            Some(addr) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
                StatsdClient::from_sink("runrail", sink)
            }
        };
        Ok(Self {
            client,
            histograms: Histograms::default(),
        })
    }

    /// Records a value of a request.
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

    /// Counts an event of the process itself.
    pub fn count(&self, name: &str) {
        // A metric that can't be sent is not worth an error.
        let _ = self.client.incr(name);
    }

    /// Rows of the histograms.
    pub fn rows(&self) -> Vec<HistogramRow> {
        self.histograms.rows()
    }
}
