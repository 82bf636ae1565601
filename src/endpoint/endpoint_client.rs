use std::io::BufReader;
use std::sync::Arc;

use serde_json::{json, Value};
use ureq::http::Response;
use ureq::Body;

use super::{EndpointSettings, SseItem, SseReader};
use crate::host::Clock;
use crate::logic::{EndpointCall, EndpointEvent, LoadOrder, RunResult, StartOrder};
use crate::message::RunId;
use crate::types::{is_final_status, ModelKind};

/// Stack size of a thread that executes one order.
const STACK_BYTES: usize = 256 * 1024;
/// Size of each buffer of a connection; the library's default is 128 KiB.
const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum length of a response of a plain service.
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;
/// HTTP status with which an endpoint refuses an order with an old fence.
const FENCED_STATUS: u16 = 412;

type Events = Arc<dyn Fn(EndpointEvent) + Send + Sync>;

/// Sends orders to the endpoint, each on its own thread.
#[derive(Clone)]
pub struct EndpointClient {
    settings: EndpointSettings,
    clock: Clock,
    agent: ureq::Agent,
    events: Events,
}

impl EndpointClient {
    /// A client that calls `events` on the threads of its orders.
    pub fn new(
        settings: EndpointSettings,
        clock: Clock,
        events: impl Fn(EndpointEvent) + Send + Sync + 'static,
    ) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .timeout_connect(Some(std::time::Duration::from_secs(2)))
            .timeout_recv_response(Some(settings.head_timeout))
            .build()
            .into();
        Self {
            settings,
            clock,
            agent,
            events: Arc::new(events),
        }
    }

    /// Starts an order and returns; its result is passed to the callback.
    ///
    /// If no thread can be started, the callback gets the failure on the caller's thread.
    pub fn call(&self, call: EndpointCall) {
        let client = self.clone();
        let failed = failure_event(&call);
        let spawned = std::thread::Builder::new()
            .name("endpoint".into())
            .stack_size(STACK_BYTES)
            .spawn(move || client.execute(call));
        if spawned.is_err() {
            if let Some(event) = failed {
                (self.events)(event);
            }
        }
    }

    /// Starts a thread that requests the engine's status at the set interval.
    pub fn poll_status(&self) {
        if !self.settings.is_engine {
            return;
        }
        let client = self.clone();
        let spawned = std::thread::Builder::new()
            .name("status".into())
            .stack_size(STACK_BYTES)
            .spawn(move || loop {
                client.request_status();
                std::thread::sleep(client.settings.status_interval);
            });
        if let Err(e) = spawned {
            log::warn!(target: "runrail", "the endpoint's status is not polled: {e}");
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.addr)
    }

    fn execute(&self, call: EndpointCall) {
        match call {
            EndpointCall::Load(order) => self.load(&order),
            EndpointCall::Start(order) => self.start(&order),
            EndpointCall::Cancel { run, epoch } => self.cancel(run, epoch),
        }
    }

    fn load(&self, order: &LoadOrder) {
        let ok = match order.kind {
            // A plain service has no model to load.
            ModelKind::Service => true,
            ModelKind::Engine => self.clock.now() < order.valid_until && self.send_load(order),
        };
        (self.events)(EndpointEvent::Loaded {
            epoch: order.epoch,
            ok,
        });
    }

    fn send_load(&self, order: &LoadOrder) -> bool {
        let body = json!({
            "fence": order.epoch,
            "model": &*order.model,
            "version": &*order.version,
            "role": order.role,
            "adapters": order.adapters,
            "rank": order.rank,
            "size": order.size,
        });
        let request = self
            .agent
            .post(self.url("/runrail/v1/load"))
            .config()
            .timeout_recv_response(Some(self.settings.load_timeout))
            .build();
        request
            .send(body.to_string())
            .is_ok_and(|r| r.status() == 200)
    }

    fn cancel(&self, run: RunId, epoch: u64) {
        let body = json!({ "fence": epoch, "run": run.to_string() });
        // The result of the run itself tells how it ended.
        let _ = self
            .agent
            .post(self.url("/runrail/v1/cancel"))
            .send(body.to_string());
    }

    fn request_status(&self) {
        let answer = self.agent.get(self.url("/runrail/v1/status")).call();
        let text = answer
            .ok()
            .and_then(|mut r| r.body_mut().read_to_string().ok());
        let value: Option<Value> = text.and_then(|t| serde_json::from_str(&t).ok());
        let slots = value.and_then(|v| v["slots"].as_u64());
        if let Some(slots) = slots.and_then(|s| u32::try_from(s).ok()) {
            (self.events)(EndpointEvent::Status { slots });
        }
    }

    fn start(&self, order: &StartOrder) {
        let result = self.run(order);
        (self.events)(EndpointEvent::Ended {
            run: order.run,
            result,
        });
    }

    fn run(&self, order: &StartOrder) -> RunResult {
        let body = match order.kind {
            ModelKind::Engine => engine_body(order),
            ModelKind::Service => order.body.to_string(),
        };
        let request = self
            .agent
            .post(self.url(&order.path))
            .header("Content-Type", "application/json")
            .header("Runrail-Fence", order.epoch.to_string())
            .header("Runrail-Run", order.run.to_string())
            .header("Runrail-Priority", order.priority.to_string());
        // Checked right before the request is sent: the process may have been paused
        // since the order was issued.
        if self.clock.now() >= order.valid_until {
            return RunResult::NotRun;
        }
        match request.send(body) {
            Ok(response) => self.answer(order, response),
            Err(error) => error_result(&error),
        }
    }

    fn answer(&self, order: &StartOrder, mut response: Response<Body>) -> RunResult {
        let status = response.status().as_u16();
        if status == FENCED_STATUS {
            return RunResult::NotRun;
        }
        if !is_final_status(status) {
            log::warn!(target: "runrail", "the endpoint answered with status {status}: expected 200 to 599");
            return RunResult::Broken;
        }
        if order.kind == ModelKind::Engine {
            if status != 200 {
                return RunResult::Complete(status);
            }
            return self.stream(order.run, response);
        }
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        match body.read_to_string() {
            Ok(text) => {
                (self.events)(EndpointEvent::Piece {
                    run: order.run,
                    text,
                });
                RunResult::Complete(status)
            }
            Err(_) => RunResult::Broken,
        }
    }

    fn stream(&self, run: RunId, response: Response<Body>) -> RunResult {
        let reader = BufReader::new(response.into_body().into_reader());
        let mut items = SseReader::new(reader);
        loop {
            match items.next_item() {
                Some(SseItem::Text(text)) => (self.events)(EndpointEvent::Piece { run, text }),
                Some(SseItem::Cancelled) => return RunResult::Cancelled,
                Some(SseItem::Done) => return RunResult::Complete(200),
                None => return RunResult::Broken,
            }
        }
    }
}

/// The event that reports an order that could not be started, if it has one.
fn failure_event(call: &EndpointCall) -> Option<EndpointEvent> {
    match call {
        EndpointCall::Load(order) => Some(EndpointEvent::Loaded {
            epoch: order.epoch,
            ok: false,
        }),
        EndpointCall::Start(order) => Some(EndpointEvent::Ended {
            run: order.run,
            result: RunResult::NotRun,
        }),
        EndpointCall::Cancel { .. } => None,
    }
}

/// Result of a run whose request failed; only a connection that was never established
/// proves that nothing ran.
fn error_result(error: &ureq::Error) -> RunResult {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => RunResult::NotRun,
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            RunResult::NotRun
        }
        ureq::Error::Timeout(ureq::Timeout::Connect) => RunResult::NotRun,
        _ => RunResult::Broken,
    }
}

/// The caller's body with streaming switched on, and with the text already delivered if
/// the engine has to resume the answer.
fn engine_body(order: &StartOrder) -> String {
    let mut body: Value = serde_json::from_str(&order.body).unwrap_or_default();
    body["stream"] = Value::Bool(true);
    if order.offset > 0 {
        body["resume"] = json!({ "offset": order.offset, "text": order.prefix });
    }
    body.to_string()
}
