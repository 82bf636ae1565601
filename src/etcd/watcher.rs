use std::io::{BufRead, BufReader, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::{kv_json, PlatformSettings};
use crate::logic::router::StoreChange;

/// Maximum age of a connection; it is then replaced, so that a dead connection can't stall
/// a watch for longer.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);
/// Maximum length of a line of a watch; a longer one ends the watch as lost.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Watches the keys with a prefix in the key-value service; one watch at a time.
#[derive(Clone)]
pub struct Watcher {
    settings: PlatformSettings,
    prefix: String,
    /// Number of the watch in use; earlier ones stop.
    current: Arc<AtomicU64>,
    changes: Arc<dyn Fn(Option<Vec<StoreChange>>) + Send + Sync>,
}

impl Watcher {
    /// A watcher that calls `changes` on the thread of its watch: with `None` if the watch
    /// was lost and must be started again.
    pub fn new(
        settings: &PlatformSettings,
        prefix: &str,
        changes: impl Fn(Option<Vec<StoreChange>>) + Send + Sync + 'static,
    ) -> Self {
        Self {
            settings: settings.clone(),
            prefix: prefix.to_string(),
            current: Arc::new(AtomicU64::new(0)),
            changes: Arc::new(changes),
        }
    }

    /// Starts a watch at a revision; it replaces an earlier one.
    pub fn start(&self, from: i64) {
        let number = self.current.fetch_add(1, Ordering::SeqCst) + 1;
        let watcher = self.clone();
        let spawned = std::thread::Builder::new()
            .name("watch".into())
            .spawn(move || watcher.run(number, from));
        if spawned.is_err() {
            (self.changes)(None);
        }
    }

    fn is_current(&self, number: u64) -> bool {
        self.current.load(Ordering::SeqCst) == number
    }

    fn run(&self, number: u64, from: i64) {
        let mut next = from;
        while self.is_current(number) {
            if self.read_changes(number, &mut next) == ConnectionEnd::Lost {
                if self.is_current(number) {
                    (self.changes)(None);
                }
                return;
            }
        }
    }

    /// Reads changes from one connection; `next` is set to the revision at which the next
    /// connection has to start.
    fn read_changes(&self, number: u64, next: &mut i64) -> ConnectionEnd {
        let Some(mut lines) = self.connect(number, *next) else {
            return ConnectionEnd::Lost;
        };
        let mut line = String::new();
        while self.is_current(number) {
            line.clear();
            match lines.read_line(&mut line) {
                Ok(read) if read > 0 && read <= MAX_LINE_BYTES => {}
                Err(e) if e.kind() == ErrorKind::TimedOut && line.is_empty() => {
                    return ConnectionEnd::Expired
                }
                _ => return ConnectionEnd::Lost,
            }
            let value: Option<Value> = serde_json::from_str(&line).ok();
            let Some(changes) = value.as_ref().and_then(kv_json::changes) else {
                return ConnectionEnd::Lost;
            };
            if let Some(last) = changes.iter().map(|c| c.revision).max() {
                *next = last + 1;
                if self.is_current(number) {
                    (self.changes)(Some(changes));
                }
            }
        }
        ConnectionEnd::Expired
    }

    fn connect(&self, number: u64, from: i64) -> Option<impl BufRead> {
        let count = self.settings.kv_addrs.len().max(1);
        let addr = self.settings.kv_addrs.get(number as usize % count)?;
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(self.settings.call_timeout))
            .timeout_send_request(Some(self.settings.call_timeout))
            .timeout_recv_response(Some(self.settings.call_timeout))
            .timeout_recv_body(Some(MAX_CONNECTION_AGE))
            .http_status_as_error(false)
            .build()
            .into();
        let body = kv_json::watch(&self.prefix, from).to_string();
        let url = format!("http://{addr}/v3/watch");
        let response = agent.post(&url).send(body).ok()?;
        (response.status() == 200).then(|| BufReader::new(response.into_body().into_reader()))
    }
}

/// Why a connection of a watch ended.
#[derive(PartialEq, Eq)]
enum ConnectionEnd {
    /// Its maximum age was reached or the watch was replaced; no change was missed.
    Expired,
    /// It failed, or changes may have been missed.
    Lost,
}
