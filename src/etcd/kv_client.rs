use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

use serde_json::Value;

use super::{kv_json, PlatformSettings};
use crate::logic::router::{CallId, StoreCall, StoreFault, StoreResult};

/// Maximum length of a response of the service.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;
/// Stack size of a worker thread.
const STACK_BYTES: usize = 512 * 1024;

/// Calls the key-value service on a fixed number of worker threads.
#[derive(Clone)]
pub struct KvClient {
    jobs: Sender<(CallId, StoreCall)>,
}

struct Worker {
    settings: PlatformSettings,
    agent: ureq::Agent,
    /// Failed calls of all workers; each one moves the next calls to the next address.
    failures: Arc<AtomicUsize>,
}

impl KvClient {
    /// Starts the worker threads; `results` is called on them.
    ///
    /// # Errors
    /// Returns an error if a thread can't be started.
    pub fn start(
        settings: &PlatformSettings,
        results: impl Fn(CallId, StoreResult) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let (jobs, queue) = channel();
        let queue = Arc::new(Mutex::new(queue));
        let results = Arc::new(results);
        let failures = Arc::new(AtomicUsize::new(0));
        let agent = http_agent(settings);
        for i in 0..settings.workers.max(1) {
            let worker = Worker {
                settings: settings.clone(),
                agent: agent.clone(),
                failures: failures.clone(),
            };
            let queue = queue.clone();
            let results = results.clone();
            std::thread::Builder::new()
                .name(format!("kv-{i}"))
                .stack_size(STACK_BYTES)
                .spawn(move || run_worker(&worker, &queue, results.as_ref()))?;
        }
        Ok(Self { jobs })
    }

    /// Queues a call; its result is passed to the callback.
    pub fn call(&self, id: CallId, call: StoreCall) {
        // The workers receive as long as a client exists.
        let _ = self.jobs.send((id, call));
    }
}

pub(super) fn http_agent(settings: &PlatformSettings) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(settings.call_timeout))
        .http_status_as_error(false)
        .build()
        .into()
}

fn run_worker(
    worker: &Worker,
    queue: &Mutex<Receiver<(CallId, StoreCall)>>,
    results: &(impl Fn(CallId, StoreResult) + ?Sized),
) {
    loop {
        let job = {
            let queue = queue.lock().unwrap_or_else(|e| e.into_inner());
            queue.recv()
        };
        let Ok((id, call)) = job else {
            return;
        };
        results(id, worker.call(&call));
    }
}

impl Worker {
    fn call(&self, call: &StoreCall) -> StoreResult {
        let (path, body) = kv_json::request(call);
        let failures = self.failures.load(Ordering::Relaxed);
        let addr = self
            .settings
            .kv_addrs
            .get(failures % self.settings.kv_addrs.len().max(1));
        let Some(addr) = addr else {
            return Err(StoreFault);
        };
        let answer = self.post(&format!("http://{addr}{path}"), &body);
        let reply = answer.and_then(|body| kv_json::reply(call, &body));
        if reply.is_none() {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        reply.ok_or(StoreFault)
    }

    fn post(&self, url: &str, body: &Value) -> Option<Value> {
        let mut response = self.agent.post(url).send(body.to_string()).ok()?;
        if response.status() != 200 {
            return None;
        }
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        serde_json::from_str(&body.read_to_string().ok()?).ok()
    }
}
