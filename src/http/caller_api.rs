use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Response};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use super::problem_json::{self, reply, with_request};
use super::sse_body::SseBody;
use super::{body, CallerGuard, Checked, HttpServer, ReplyBody, ServerLimits};
use crate::host::{HostEvent, Inbox};
use crate::intake::LimitCounts;
use crate::logic::router::{AnswerPart, CallerRequest, Problem};
use crate::types::{Millis, ModelKind, RequestId};

/// Path of chat completions, at this router and at engines.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of calls to plain services.
const SERVICES_PREFIX: &str = "/v1/services/";
/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 256;

/// The API for callers: chat completions and calls to plain services.
pub(crate) struct CallerApi {
    inbox: Inbox,
    incarnation: u64,
    counter: AtomicU64,
}

/// What the head of a request says.
struct CallerHead {
    id: RequestId,
    key_sha256: String,
    /// Path below the prefix of services; none for chat completions.
    service: Option<String>,
    class: Option<Arc<str>>,
    deadline_ms: Option<Millis>,
    idempotency_key: Option<String>,
}

/// A valid request.
struct ParsedRequest {
    call: CallerRequest,
    stream: bool,
}

impl CallerApi {
    /// An API that passes requests to a router's inbox.
    pub fn new(inbox: Inbox, incarnation: u64) -> Self {
        Self {
            inbox,
            incarnation,
            counter: AtomicU64::new(0),
        }
    }

    /// Listens for callers.
    ///
    /// # Errors
    /// Returns the error of the listening socket or of the thread that serves requests.
    pub fn serve(
        self,
        listen: SocketAddr,
        limits: ServerLimits,
        counts: Arc<LimitCounts>,
    ) -> std::io::Result<HttpServer> {
        let api = Arc::new(self);
        let checking = api.clone();
        let check = move |head: &Parts| checking.check(head);
        let answer = move |head, body| {
            let api = api.clone();
            async move { api.answer(head, body).await }
        };
        HttpServer::start(listen, limits, counts, check, answer)
    }

    fn check(&self, head: &Parts) -> Result<Checked<CallerHead>, Box<Response<ReplyBody>>> {
        let id = RequestId {
            node: self.incarnation,
            number: self.counter.fetch_add(1, Ordering::Relaxed) + 1,
        };
        let checked = parse_head(head, id);
        checked.map_err(|p| Box::new(problem_json::response(&p, Some(&id.to_string()))))
    }

    async fn answer(&self, head: CallerHead, body: Result<Bytes, Problem>) -> Response<ReplyBody> {
        let id = head.id;
        let parsed = body.and_then(|bytes| parse(head, &bytes));
        match parsed {
            Ok(parsed) => self.submit(parsed).await,
            Err(problem) => problem_json::response(&problem, Some(&id.to_string())),
        }
    }

    async fn submit(&self, parsed: ParsedRequest) -> Response<ReplyBody> {
        let (id, kind) = (parsed.call.id, parsed.call.kind);
        let model = parsed.call.model.clone();
        let (reply, parts) = unbounded_channel();
        let guard = CallerGuard::new(self.inbox.clone(), id);
        self.inbox.send(HostEvent::Request {
            call: Box::new(parsed.call),
            reply,
        });
        let text = id.to_string();
        match kind {
            ModelKind::Engine if parsed.stream => stream_answer(&text, &model, parts, guard).await,
            ModelKind::Engine => chat_answer(&text, &model, parts, guard).await,
            ModelKind::Service => service_answer(&text, parts, guard).await,
        }
    }
}

fn parse_head(head: &Parts, id: RequestId) -> Result<Checked<CallerHead>, Problem> {
    let path = head.uri.path();
    let service = path.strip_prefix(SERVICES_PREFIX).map(str::to_string);
    if path != CHAT_PATH && service.is_none() {
        let detail =
            format!("found {path}, expected {CHAT_PATH} or {SERVICES_PREFIX}<name>/<path>");
        return Err(Problem::not_run(404, detail));
    }
    if head.method != Method::POST {
        let detail = format!("found {}, expected POST", head.method);
        return Err(Problem::not_run(405, detail));
    }
    let key_sha256 = match body::bearer_token(&head.headers) {
        Some(key) => body::sha256_hex(key),
        None => {
            let detail = "the header `Authorization: Bearer <key>` is missing";
            return Err(Problem::not_run(401, detail));
        }
    };
    let deadline_ms = parse_deadline(&head.headers)?;
    Ok(Checked {
        wait: deadline_ms.map(Duration::from_millis),
        head: CallerHead {
            id,
            key_sha256,
            service,
            class: body::header(&head.headers, "Runrail-Class").map(Arc::from),
            deadline_ms,
            idempotency_key: idempotency_key(&head.headers)?,
        },
    })
}

fn parse(head: CallerHead, bytes: &[u8]) -> Result<ParsedRequest, Problem> {
    let text = body::text(bytes)?;
    let target = match &head.service {
        Some(rest) => service_target(rest)?,
        None => chat_target(text)?,
    };
    Ok(ParsedRequest {
        stream: target.stream,
        call: CallerRequest {
            id: head.id,
            key_sha256: head.key_sha256,
            model: Arc::from(target.model),
            kind: target.kind,
            class: head.class,
            path: Arc::from(target.path),
            body: Arc::from(text),
            deadline_ms: head.deadline_ms,
            idempotency_key: head.idempotency_key,
        },
    })
}

struct Target {
    model: String,
    kind: ModelKind,
    path: String,
    stream: bool,
}

/// The fields of a chat request that a router reads; the engine reads the others.
#[derive(Deserialize)]
struct ChatFields<'a> {
    #[serde(borrow)]
    model: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    stream: Option<&'a RawValue>,
}

fn chat_target(text: &str) -> Result<Target, Problem> {
    let value: &RawValue = serde_json::from_str(text)
        .map_err(|e| Problem::not_run(400, format!("the body isn't JSON: {e}")))?;
    let fields: ChatFields = serde_json::from_str(value.get())
        .map_err(|e| Problem::not_run(400, format!("the body isn't a chat request: {e}")))?;
    let model = fields.model.map(RawValue::get).map(serde_json::from_str);
    let Some(Ok(model)) = model else {
        return Err(Problem::not_run(400, "`model`: expected a string"));
    };
    if !fields.messages.is_some_and(|m| m.get().starts_with('[')) {
        return Err(Problem::not_run(400, "`messages`: expected an array"));
    }
    Ok(Target {
        model,
        kind: ModelKind::Engine,
        path: CHAT_PATH.to_string(),
        stream: fields.stream.is_some_and(|s| s.get() == "true"),
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

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Millis>, Problem> {
    let Some(text) = body::header(headers, "Runrail-Deadline-Ms") else {
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

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let key = body::header(headers, "Idempotency-Key");
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

async fn stream_answer(
    id: &str,
    model: &str,
    mut parts: UnboundedReceiver<AnswerPart>,
    mut guard: CallerGuard,
) -> Response<ReplyBody> {
    let first = parts.recv().await;
    let first = first.unwrap_or_else(|| AnswerPart::Problem(CallerGuard::router_stopped()));
    if let AnswerPart::Problem(problem) = &first {
        guard.disarm();
        return problem_json::response(problem, Some(id));
    }
    let events = SseBody::new(id, model, first, parts, guard);
    let mut response = Response::new(ReplyBody::stream(events));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    with_request(response, id)
}

/// Collects a whole answer: its status and text, or the problem that ended it.
async fn collect_answer(
    mut parts: UnboundedReceiver<AnswerPart>,
    mut guard: CallerGuard,
) -> Result<(u16, String), Problem> {
    let mut text = String::new();
    let answer = loop {
        match parts.recv().await {
            Some(AnswerPart::Piece(piece)) => text.push_str(&piece),
            Some(AnswerPart::End { status }) => break Ok((status, text)),
            Some(AnswerPart::Problem(problem)) => break Err(problem),
            None => break Err(CallerGuard::router_stopped()),
        }
    };
    guard.disarm();
    answer
}

async fn chat_answer(
    id: &str,
    model: &str,
    parts: UnboundedReceiver<AnswerPart>,
    guard: CallerGuard,
) -> Response<ReplyBody> {
    match collect_answer(parts, guard).await {
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
            json_answer(id, status, body.to_string())
        }
        Err(problem) => problem_json::response(&problem, Some(id)),
    }
}

async fn service_answer(
    id: &str,
    parts: UnboundedReceiver<AnswerPart>,
    guard: CallerGuard,
) -> Response<ReplyBody> {
    match collect_answer(parts, guard).await {
        Ok((status, text)) => json_answer(id, status, text),
        Err(problem) => problem_json::response(&problem, Some(id)),
    }
}

fn json_answer(id: &str, status: u16, body: String) -> Response<ReplyBody> {
    with_request(reply(status, "application/json", body), id)
}
