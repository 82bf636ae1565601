use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{json, Value};
use tiny_http::{Request, Server};

use crate::respond;

/// Parameters of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineParams {
    /// Number of requests that it reports as its concurrency limit; it doesn't enforce it.
    pub slots: u32,
    /// Time that each piece of an answer takes.
    pub piece: Duration,
    /// Number of pieces of an answer whose request has no `max_tokens`.
    pub pieces: u64,
    /// Time that a load takes.
    pub load: Duration,
    /// Whether it refuses loads and requests whose fence is lower than the highest one received.
    pub fenced: bool,
    /// Versions that fail to load.
    pub broken_versions: Vec<String>,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            slots: 8,
            piece: Duration::from_millis(2),
            pieces: 8,
            load: Duration::from_millis(5),
            fenced: true,
            broken_versions: Vec::new(),
        }
    }
}

/// One request that an engine started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Engine that ran it.
    pub engine: String,
    /// Run id from the header `Runrail-Run`.
    pub run: String,
    /// Fence from the header `Runrail-Fence`.
    pub fence: u64,
    /// Text of the last message of the request.
    pub prompt: String,
    /// Index of the first piece to send: the caller has those before it.
    pub offset: u64,
    /// Engines that the group lacked when the run started; `unloaded` for each one not loaded.
    pub missing: Vec<String>,
}

/// The fabric between engines: which of them are down, which group each is loaded for, and all
/// runs.
#[derive(Clone, Default)]
pub struct Fabric {
    state: Arc<Mutex<FabricState>>,
}

#[derive(Default)]
struct FabricState {
    /// By engine: fence and size of the group that it is loaded for.
    loaded: BTreeMap<String, (u64, u64)>,
    down: BTreeSet<String>,
    runs: Vec<EngineRun>,
}

/// A stand-in of a model engine.
#[derive(Clone)]
pub struct Engine {
    name: String,
    addr: SocketAddr,
    fabric: Fabric,
    state: Arc<Mutex<State>>,
}

struct State {
    params: EngineParams,
    fence: u64,
    cancelled: BTreeSet<String>,
    running: u32,
}

impl Fabric {
    /// A fabric without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks an engine as down or up. Answers of a group that lacks an engine are aborted.
    pub fn set_down(&self, engine: &str, down: bool) {
        let mut state = self.lock();
        if down {
            state.down.insert(engine.to_string());
        } else {
            state.down.remove(engine);
        }
    }

    /// All requests that engines have started.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, FabricState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Engines that the group with this fence lacks: names of those that are down, and `unloaded`
    /// for each one that isn't loaded.
    fn missing(&self, fence: u64) -> Vec<String> {
        let state = self.lock();
        let members = state.loaded.iter().filter(|(_, (f, _))| *f == fence);
        let down = members.clone().filter(|(e, _)| state.down.contains(*e));
        let mut missing: Vec<_> = down.map(|(e, _)| e.clone()).collect();
        let size = members.clone().map(|(_, (_, s))| *s).max().unwrap_or(0);
        let present = members.count() as u64;
        missing.extend((present..size).map(|_| "unloaded".to_string()));
        missing
    }
}

impl Engine {
    /// Starts an engine on a free port.
    ///
    /// # Panics
    /// When no port is free.
    pub fn start(name: &str, fabric: &Fabric, params: EngineParams) -> Self {
        let server = Server::http("127.0.0.1:0").expect("a port");
        let addr = server.server_addr().to_ip().expect("an IP address");
        let engine = Self {
            name: name.to_string(),
            addr,
            fabric: fabric.clone(),
            state: Arc::new(Mutex::new(State {
                params,
                fence: 0,
                cancelled: BTreeSet::new(),
                running: 0,
            })),
        };
        let serving = engine.clone();
        std::thread::spawn(move || {
            for request in server.incoming_requests() {
                let engine = serving.clone();
                std::thread::spawn(move || engine.serve(request));
            }
        });
        engine
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes its parameters.
    pub fn set_params(&self, change: impl FnOnce(&mut EngineParams)) {
        change(&mut self.lock().params);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, mut request: Request) {
        let url = request.url().to_string();
        let body = respond::read_json(&mut request);
        match url.as_str() {
            "/runrail/v1/load" => self.load(request, &body),
            "/runrail/v1/cancel" => {
                let run = body["run"].as_str().unwrap_or_default().to_string();
                self.lock().cancelled.insert(run);
                respond::json(request, 200, &json!({}));
            }
            "/runrail/v1/status" => {
                let state = self.lock();
                let answer = json!({ "slots": state.params.slots, "running": state.running });
                drop(state);
                respond::json(request, 200, &answer);
            }
            "/v1/chat/completions" => self.chat(request, &body),
            _ => respond::json(request, 404, &json!({})),
        }
    }

    /// Whether a fence is accepted. Where the engine is fenced, it accepts none that is lower than
    /// the highest one accepted before.
    fn accept_fence(&self, fence: u64) -> bool {
        let mut state = self.lock();
        if state.params.fenced && fence < state.fence {
            return false;
        }
        state.fence = state.fence.max(fence);
        true
    }

    fn load(&self, request: Request, body: &Value) {
        let fence = body["fence"].as_u64().unwrap_or(0);
        if !self.accept_fence(fence) {
            return respond::json(request, 412, &json!({ "fence": self.lock().fence }));
        }
        let params = self.lock().params.clone();
        std::thread::sleep(params.load);
        let version = body["version"].as_str().unwrap_or_default().to_string();
        if params.broken_versions.contains(&version) {
            return respond::json(request, 500, &json!({ "error": "weights are damaged" }));
        }
        let size = body["size"].as_u64().unwrap_or(1);
        let mut fabric = self.fabric.lock();
        fabric.loaded.insert(self.name.clone(), (fence, size));
        drop(fabric);
        respond::json(request, 200, &json!({}));
    }

    fn chat(&self, request: Request, body: &Value) {
        let header = |name| respond::header(&request, name).unwrap_or_default();
        let fence = header("Runrail-Fence").parse().unwrap_or(0);
        let run = header("Runrail-Run");
        if !self.accept_fence(fence) {
            return respond::json(request, 412, &json!({ "fence": self.lock().fence }));
        }
        let messages = body["messages"].as_array();
        let last = messages.and_then(|m| m.last());
        let prompt = last.and_then(|m| m["content"].as_str()).unwrap_or_default();
        let offset = body["resume"]["offset"].as_u64().unwrap_or(0);
        let missing = self.fabric.missing(fence);
        self.fabric.lock().runs.push(EngineRun {
            engine: self.name.clone(),
            run: run.clone(),
            fence,
            prompt: prompt.to_string(),
            offset,
            missing,
        });
        self.lock().running += 1;
        let mut writer = request.into_writer();
        // An error means that the caller has hung up or the answer was aborted; the run ends.
        let _ = self.answer(&mut *writer, body, &run, fence, prompt, offset);
        self.lock().running -= 1;
    }

    fn answer(
        &self,
        writer: &mut dyn Write,
        body: &Value,
        run: &str,
        fence: u64,
        prompt: &str,
        offset: u64,
    ) -> std::io::Result<()> {
        let params = self.lock().params.clone();
        let pieces = body["max_tokens"].as_u64().unwrap_or(params.pieces);
        respond::stream_head(writer, "text/event-stream")?;
        for i in offset..pieces {
            std::thread::sleep(params.piece);
            if self.lock().cancelled.remove(run) {
                write_event(writer, &chunk_json("", Some("cancelled")))?;
                return respond::chunk(writer, "");
            }
            if !self.fabric.missing(fence).is_empty() {
                // The group has lost a member. Bytes that aren't a chunk abort the answer.
                writer.write_all(b"broken\r\n")?;
                return writer.flush();
            }
            write_event(writer, &chunk_json(&piece_text(prompt, i), None))?;
        }
        write_event(writer, &chunk_json("", Some("stop")))?;
        respond::chunk(writer, "data: [DONE]\n\n")?;
        respond::chunk(writer, "")
    }
}

/// Text of a piece; it depends only on the prompt and the index.
fn piece_text(prompt: &str, index: u64) -> String {
    let words: Vec<_> = prompt.split_whitespace().collect();
    let word = words.get(index as usize % words.len().max(1));
    format!("{}{index} ", word.unwrap_or(&"word"))
}

fn chunk_json(text: &str, finish: Option<&str>) -> Value {
    json!({ "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": finish }] })
}

fn write_event(writer: &mut dyn Write, value: &Value) -> std::io::Result<()> {
    respond::chunk(writer, &format!("data: {value}\n\n"))
}
