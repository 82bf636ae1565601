use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

use serde_json::{json, Value};
use tiny_http::{Method, Request, Response};

use super::body;
use super::problem_json::{self, header};
use super::sse_writer::SseWriter;
use crate::host::{HostEvent, Inbox};
use crate::logic::router::{AnswerPart, CallerRequest, Problem};
use crate::logic::Event;
use crate::types::{Millis, ModelKind, RequestId};

/// Path of chat completions, at this router and at engines.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of calls to plain services.
const SERVICES_PREFIX: &str = "/v1/services/";
/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 256;

/// The API for callers: chat completions and calls to plain services.
pub struct CallerApi {
    inbox: Inbox,
    incarnation: u64,
    counter: AtomicU64,
    body_limit: usize,
}

/// A valid request.
struct ParsedRequest {
    call: CallerRequest,
    stream: bool,
}

impl CallerApi {
    /// An API that passes requests to a router's inbox; `body_limit` is in bytes.
    pub fn new(inbox: Inbox, incarnation: u64, body_limit: usize) -> Self {
        Self {
            inbox,
            incarnation,
            counter: AtomicU64::new(0),
            body_limit,
        }
    }

    /// Serves one HTTP request and returns when it is answered.
    pub fn serve(&self, mut request: Request) {
        let id = RequestId {
            node: self.incarnation,
            number: self.counter.fetch_add(1, Ordering::Relaxed) + 1,
        };
        match self.parse(&mut request, id) {
            Ok(parsed) => self.answer(request, parsed),
            Err(problem) => {
                let response = problem_json::response(&problem, Some(&id.to_string()));
                // If the caller has disconnected, nobody needs the response.
                let _ = request.respond(response);
            }
        }
    }

    fn parse(&self, request: &mut Request, id: RequestId) -> Result<ParsedRequest, Problem> {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_string();
        let chat = path == CHAT_PATH;
        let service = path.strip_prefix(SERVICES_PREFIX).map(str::to_string);
        if !chat && service.is_none() {
            let detail =
                format!("found {path}, expected {CHAT_PATH} or {SERVICES_PREFIX}<name>/<path>");
            return Err(Problem::not_run(404, detail));
        }
        if *request.method() != Method::Post {
            let detail = format!("found {}, expected POST", request.method());
            return Err(Problem::not_run(405, detail));
        }
        let key_sha256 = match body::bearer_token(request) {
            Some(key) => body::sha256_hex(key),
            None => {
                let detail = "the header `Authorization: Bearer <key>` is missing";
                return Err(Problem::not_run(401, detail));
            }
        };
        let class = body::header(request, "Runrail-Class").map(Arc::from);
        let deadline_ms = parse_deadline(request)?;
        let idempotency_key = idempotency_key(request)?;
        let text = body::read(request, self.body_limit)?;
        let target = match service {
            Some(rest) => service_target(&rest)?,
            None => chat_target(&text)?,
        };
        Ok(ParsedRequest {
            stream: target.stream,
            call: CallerRequest {
                id,
                key_sha256,
                model: Arc::from(target.model),
                kind: target.kind,
                class,
                path: Arc::from(target.path),
                body: Arc::from(text),
                deadline_ms,
                idempotency_key,
            },
        })
    }

    fn answer(&self, request: Request, parsed: ParsedRequest) {
        let id = parsed.call.id;
        let model = parsed.call.model.clone();
        let kind = parsed.call.kind;
        let (reply, parts) = channel();
        self.inbox.send(HostEvent::Request {
            call: Box::new(parsed.call),
            reply,
        });
        let sent = match kind {
            ModelKind::Engine if parsed.stream => stream_answer(request, id, &model, &parts),
            ModelKind::Engine => respond_chat(request, id, &model, &parts),
            ModelKind::Service => respond_service(request, id, &parts),
        };
        if sent.is_err() {
            self.inbox.send(HostEvent::Step(Event::CallerGone(id)));
        }
    }
}

struct Target {
    model: String,
    kind: ModelKind,
    path: String,
    stream: bool,
}

fn chat_target(text: &str) -> Result<Target, Problem> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| Problem::not_run(400, format!("the body isn't JSON: {e}")))?;
    let Some(model) = value["model"].as_str() else {
        return Err(Problem::not_run(400, "`model`: expected a string"));
    };
    if !value["messages"].is_array() {
        return Err(Problem::not_run(400, "`messages`: expected an array"));
    }
    Ok(Target {
        model: model.to_string(),
        kind: ModelKind::Engine,
        path: CHAT_PATH.to_string(),
        stream: value["stream"].as_bool().unwrap_or(false),
    })
}

fn service_target(rest: &str) -> Result<Target, Problem> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        let detail =
            format!("the name of the service is missing, expected {SERVICES_PREFIX}<name>/<path>");
        return Err(Problem::not_run(404, detail));
    }
    Ok(Target {
        model: name.to_string(),
        kind: ModelKind::Service,
        path: format!("/{path}"),
        stream: false,
    })
}

fn parse_deadline(request: &Request) -> Result<Option<Millis>, Problem> {
    let Some(text) = body::header(request, "Runrail-Deadline-Ms") else {
        return Ok(None);
    };
    match text.parse::<Millis>() {
        Ok(ms) if ms > 0 && ms <= 86_400_000 => Ok(Some(ms)),
        _ => {
            let detail =
                format!("Runrail-Deadline-Ms: found {text:?}, expected 1 to 86400000 milliseconds");
            Err(Problem::not_run(400, detail))
        }
    }
}

fn idempotency_key(request: &Request) -> Result<Option<String>, Problem> {
    let key = body::header(request, "Idempotency-Key");
    match key {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            let detail = format!(
                "Idempotency-Key: found {} bytes, expected 1 to {MAX_KEY_BYTES}",
                key.len()
            );
            Err(Problem::not_run(400, detail))
        }
        key => Ok(key.map(str::to_string)),
    }
}

/// Problem of a request that is open when the router stops.
fn router_stopped() -> Problem {
    Problem::unknown(502, "the router stopped before the request was answered")
}

fn stream_answer(
    request: Request,
    id: RequestId,
    model: &str,
    parts: &Receiver<AnswerPart>,
) -> std::io::Result<()> {
    let id = id.to_string();
    let first = parts
        .recv()
        .unwrap_or(AnswerPart::Problem(router_stopped()));
    if let AnswerPart::Problem(problem) = &first {
        return request.respond(problem_json::response(problem, Some(&id)));
    }
    let mut writer = SseWriter::begin(request.into_writer(), &id, model)?;
    let mut part = first;
    loop {
        match part {
            AnswerPart::Piece(text) => writer.write_piece(&text)?,
            AnswerPart::End { .. } => return writer.write_end(),
            AnswerPart::Problem(problem) => return writer.write_problem(&problem),
        }
        part = parts
            .recv()
            .unwrap_or(AnswerPart::Problem(router_stopped()));
    }
}

/// Collects a whole answer: its status and text, or the problem that ended it.
fn collect_answer(parts: &Receiver<AnswerPart>) -> Result<(u16, String), Problem> {
    let mut text = String::new();
    loop {
        match parts.recv() {
            Ok(AnswerPart::Piece(piece)) => text.push_str(&piece),
            Ok(AnswerPart::End { status }) => return Ok((status, text)),
            Ok(AnswerPart::Problem(problem)) => return Err(problem),
            Err(_) => return Err(router_stopped()),
        }
    }
}

fn respond_chat(
    request: Request,
    id: RequestId,
    model: &str,
    parts: &Receiver<AnswerPart>,
) -> std::io::Result<()> {
    let id = id.to_string();
    match collect_answer(parts) {
        Ok((status, text)) => {
            let body = json!({
                "id": id,
                "object": "chat.completion",
                "model": model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": "stop",
                }],
            });
            respond_json(request, &id, status, body.to_string())
        }
        Err(problem) => request.respond(problem_json::response(&problem, Some(&id))),
    }
}

fn respond_service(
    request: Request,
    id: RequestId,
    parts: &Receiver<AnswerPart>,
) -> std::io::Result<()> {
    let id = id.to_string();
    match collect_answer(parts) {
        Ok((status, text)) => respond_json(request, &id, status, text),
        Err(problem) => request.respond(problem_json::response(&problem, Some(&id))),
    }
}

fn respond_json(request: Request, id: &str, status: u16, body: String) -> std::io::Result<()> {
    let response = Response::from_data(body)
        .with_status_code(status)
        .with_header(header("Content-Type", "application/json"))
        .with_header(header("Runrail-Request", id));
    request.respond(response)
}
