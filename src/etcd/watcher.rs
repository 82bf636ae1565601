use std::io::{BufRead, BufReader, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::{kv_json, PlatformSettings};
use crate::logic::router::StoreChange;

/// Time after which a connection is renewed, so that a dead one can't hold a watch.
const RENEW: Duration = Duration::from_secs(60);
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
        let mut next = from;
        while self.is_current(turn) {
            if self.follow(turn, &mut next) == End::Lost {
                if self.is_current(turn) {
                    (self.changes)(None);
                }
                return;
            }
        }
    }

    /// Follows one connection; `next` is the revision that the next one starts at.
    fn follow(&self, turn: u64, next: &mut i64) -> End {
        let Some(mut lines) = self.open(turn, *next) else {
            return End::Lost;
        };
        let mut line = String::new();
        while self.is_current(turn) {
            line.clear();
            match lines.read_line(&mut line) {
                Ok(read) if read > 0 && read <= LINE_LIMIT => {}
                Err(e) if e.kind() == ErrorKind::TimedOut && line.is_empty() => return End::Quiet,
                _ => return End::Lost,
            }
            let value: Option<Value> = serde_json::from_str(&line).ok();
            let Some(changes) = value.as_ref().and_then(kv_json::changes) else {
                return End::Lost;
            };
            if let Some(last) = changes.iter().map(|c| c.revision).max() {
                *next = last + 1;
                if self.is_current(turn) {
                    (self.changes)(Some(changes));
                }
            }
        }
        End::Quiet
    }

    fn open(&self, turn: u64, from: i64) -> Option<impl BufRead> {
        let count = self.settings.kv.len().max(1);
        let addr = self.settings.kv.get(turn as usize % count)?;
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_connect(Some(self.settings.call))
            .timeout_send_request(Some(self.settings.call))
            .timeout_recv_response(Some(self.settings.call))
            .timeout_recv_body(Some(RENEW))
            .http_status_as_error(false)
            .build()
            .into();
        let body = kv_json::watch(&self.prefix, from).to_string();
        let url = format!("http://{addr}/v3/watch");
        let response = agent.post(&url).send(body).ok()?;
        (response.status() == 200).then(|| BufReader::new(response.into_body().into_reader()))
    }
}

/// How a connection of a watch ended.
#[derive(PartialEq, Eq)]
enum End {
    /// Its time was over; the next connection goes on behind it.
    Quiet,
    /// It broke, or changes may have been missed.
    Lost,
}
