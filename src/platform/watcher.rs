use std::io::{BufRead, BufReader};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use serde_json::Value;

use super::{kv_json, PlatformSettings};
use crate::logic::router::StoreChange;

/// Longest line of a watch, in bytes.
const LINE_LIMIT: usize = 16 * 1024 * 1024;

/// Watches a prefix of the key-value service; one watch at a time.
#[derive(Clone)]
pub struct Watcher {
    settings: PlatformSettings,
    prefix: String,
    current: Arc<AtomicU64>,
    changes: Arc<dyn Fn(Option<Vec<StoreChange>>) + Send + Sync>,
}

impl Watcher {
    /// A watcher that calls `changes` on its own thread: with `None` when the
    /// watch was lost and must be started again.
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

    /// Starts the watch at a revision, in place of an earlier one.
    pub fn start(&self, from: i64) {
        let turn = self.current.fetch_add(1, Ordering::SeqCst) + 1;
        let watcher = self.clone();
        let spawned = std::thread::Builder::new()
            .name("watch".into())
            .spawn(move || watcher.run(turn, from));
        if spawned.is_err() {
            (self.changes)(None);
        }
    }

    fn is_current(&self, turn: u64) -> bool {
        self.current.load(Ordering::SeqCst) == turn
    }

    fn run(&self, turn: u64, from: i64) {
        self.follow(turn, from);
        if self.is_current(turn) {
            (self.changes)(None);
        }
    }

    fn follow(&self, turn: u64, from: i64) -> Option<()> {
        let addr = self
            .settings
            .kv
            .get(turn as usize % self.settings.kv.len().max(1))?;
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(self.settings.call))
            .timeout_send_request(Some(self.settings.call))
            .timeout_recv_response(Some(self.settings.call))
            .http_status_as_error(false)
            .build()
            .into();
        let body = kv_json::watch(&self.prefix, from).to_string();
        let url = format!("http://{addr}/v3/watch");
        let response = agent.post(&url).send(body).ok()?;
        if response.status() != 200 {
            return None;
        }
        let mut lines = BufReader::new(response.into_body().into_reader());
        let mut line = String::new();
        while self.is_current(turn) {
            line.clear();
            let read = lines.read_line(&mut line).ok()?;
            if read == 0 || read > LINE_LIMIT {
                return None;
            }
            let value: Value = serde_json::from_str(&line).ok()?;
            let changes = kv_json::changes(&value)?;
            if !changes.is_empty() && self.is_current(turn) {
                (self.changes)(Some(changes));
            }
        }
        Some(())
    }
}
