//! Runs: sends requests to endpoints and reads their answers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{response, HeaderMap};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::answer_body::StreamSender;
use super::answer_head::is_framed;
use super::call_fault::CallFault;
use super::call_use::CallUse;
use super::endpoint_calls;
use super::link_event::ReceivedRequest;
use super::pool::SendOptions;
use super::reuse::Reuse;
use super::shared::{ActiveRun, Shared};
use super::EventSplitter;
use crate::logic::direct::{DirectEvent, RunPart, RunRequest};
use crate::logic::{LogCode, LogEvent};
use crate::types::is_final_status;

/// Longest time for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest answer that isn't streamed.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Events in a row without an id above the last one, after which a stream isn't read on: the ids of a
/// stream that goes on rise.
const MAX_UNNUMBERED_EVENTS: usize = 64;

/// Bytes of a stream that its caller may leave unread: far more than whole answers have.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;

/// Starts a run.
pub(super) fn start(shared: &Rc<Shared>, run: RunRequest, received: Rc<ReceivedRequest>) {
    let number = run.run;
    let active = ActiveRun {
        task: None,
        head: None,
        body: Bytes::new(),
    };
    shared.runs.borrow_mut().insert(number, active);
    let task_shared = shared.clone();
    let task = tokio::task::spawn_local(async move {
        let last = carry_out(&task_shared, &run, &received).await;
        if let Some(part) = last {
            send_part(&task_shared, number, part);
        }
        task_shared.runs.borrow_mut().remove(&number);
    });
    if let Some(active) = shared.runs.borrow_mut().get_mut(&number) {
        active.task = Some(task.abort_handle());
    }
}

/// Cancels a run, which closes its connection.
pub(super) fn cancel(shared: &Shared, run: u64) {
    let active = shared.runs.borrow_mut().remove(&run);
    if let Some(task) = active.and_then(|s| s.task) {
        task.abort();
    }
}

fn send_part(shared: &Shared, run: u64, part: RunPart) {
    shared.send_direct(DirectEvent::RunPart { run, part });
}

/// Sends the request and reads the answer; returns the last part of it.
async fn carry_out(
    shared: &Shared,
    run: &RunRequest,
    received: &ReceivedRequest,
) -> Option<RunPart> {
    let request = (shared.adapter.build_run)(run, &received.head, received.body.clone());
    let options = SendOptions {
        call_use: CallUse::Run,
        reuse: if run.avoid_stale {
            Reuse::Recent
        } else {
            Reuse::Any
        },
        label: Some(&received.label),
        connect_time: CONNECT_TIMEOUT,
        send_by: Some(run.send_by),
    };
    let sent = shared.pool.send(run.addr, request, options).await;
    let (response, connection) = match sent {
        Ok(answer) => answer,
        Err(CallFault::Refused) => return Some(RunPart::NotSent { refused: true }),
        Err(CallFault::NotSent) => return Some(RunPart::NotSent { refused: false }),
        Err(CallFault::Broken) => return Some(RunPart::Broken),
    };
    let (head, body) = response.into_parts();
    let reply = (shared.adapter.parse_reply)(&head, &received.label);
    let is_unbound = !reply.is_labelled && connection.has_earlier();
    if reply.is_foreign || is_unbound {
        let event = LogEvent::new(LogCode::AnswerForeign)
            .with("endpoint", &run.to)
            .with("request", &received.label)
            .with("status", head.status.as_u16())
            .with("reused", connection.has_earlier());
        log::log!(target: "runrail", event.code.level(), "{event}");
        return Some(RunPart::Broken);
    }
    if reply.is_unsigned {
        let why = "a success without the endpoint's signature";
        endpoint_calls::log_invalid("an answer", run.to.as_str(), why);
        return Some(RunPart::Broken);
    }
    let status = head.status.as_u16();
    if !is_final_status(status) {
        let why = format!("status {status}: expected 200 to 599");
        endpoint_calls::log_invalid("an answer", run.to.as_str(), &why);
        return Some(RunPart::Broken);
    }
    endpoint_calls::send_notices(shared, &run.to, Some(run.run), head.status, &head.headers);
    let keep_alive = keep_alive(&head.headers);
    // An endpoint that crashes after the head may close the connection as if the answer had ended. Without
    // framing only a byte of the body, or an event of a stream, shows that it had begun.
    let is_framed = is_framed(&received.head.method, head.status, &head.headers);
    let needs_body = !is_framed && head.status.is_success();
    if run.stream && reply.stream && !reply.not_run {
        store_head(shared, run.run, head);
        send_part(shared, run.run, RunPart::Head);
        let events = read_events(shared, run, body, needs_body).await;
        if matches!(events, RunPart::End) {
            shared.pool.give_back(connection, keep_alive);
        }
        return Some(events);
    }
    let room = shared.room(CallUse::Run);
    let Ok(whole) = room.read(body, MAX_ANSWER_BYTES).await else {
        return Some(RunPart::Broken);
    };
    if needs_body && whole.is_empty() {
        return Some(RunPart::Broken);
    }
    shared.pool.give_back(connection, keep_alive);
    store_head(shared, run.run, head);
    if let Some(active) = shared.runs.borrow_mut().get_mut(&run.run) {
        active.body = whole;
    }
    Some(RunPart::Complete {
        status,
        not_run: reply.not_run,
    })
}

fn store_head(shared: &Shared, run: u64, head: response::Parts) {
    if let Some(active) = shared.runs.borrow_mut().get_mut(&run) {
        active.head = Some(head);
    }
}

/// Reads a stream of events to its end and passes each event on; where `needs_event` is true, a
/// stream without any event is broken off. So is one whose events don't go on.
async fn read_events(
    shared: &Shared,
    run: &RunRequest,
    mut body: Incoming,
    needs_event: bool,
) -> RunPart {
    let mut splitter = EventSplitter::default();
    let mut has_event = false;
    let (mut last_id, mut unnumbered) = (None, 0);
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return RunPart::Broken,
            None => break,
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !splitter.push(data) {
            return RunPart::Broken;
        }
        while let Some(event) = splitter.next_event() {
            unnumbered = if event.id > last_id {
                0
            } else {
                unnumbered + 1
            };
            last_id = last_id.max(event.id);
            if unnumbered > MAX_UNNUMBERED_EVENTS {
                return RunPart::Broken;
            }
            has_event = true;
            let part = RunPart::Event {
                id: event.id,
                bytes: event.bytes,
            };
            send_part(shared, run.run, part);
        }
        disconnect_slow_caller(shared, run.request);
    }
    if splitter.has_partial() || (needs_event && !has_event) {
        return RunPart::Broken;
    }
    RunPart::End
}

/// Disconnects a caller that has left too much of its stream unread, which ends the run.
fn disconnect_slow_caller(shared: &Shared, request: u64) {
    let unread = {
        let callers = shared.callers.borrow();
        let stream = callers.get(&request).and_then(|c| c.stream.as_ref());
        stream.map_or(0, StreamSender::unread)
    };
    if unread > MAX_UNREAD_BYTES {
        shared.callers.borrow_mut().remove(&request);
        shared.send_direct(DirectEvent::CallerGone(request));
    }
}

/// How long the endpoint keeps an idle connection open, if its `keep-alive` header has it.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
