//! Runs of requests at endpoints.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{response, HeaderMap};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::fault::Fault;
use super::link_event::CallerCall;
use super::looks;
use super::pool::Connection;
use super::shared::{RunSlot, Shared};
use super::EventSplitter;
use crate::logic::direct::{DirectEvent, RunPart, RunRequest};

/// Longest time for a connection to an endpoint to come up.
const CONNECT: Duration = Duration::from_millis(400);

/// Longest answer that is read whole, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Starts a run.
pub(super) fn start(shared: &Rc<Shared>, run: RunRequest, call: Rc<CallerCall>) {
    let number = run.run;
    let slot = RunSlot {
        task: None,
        head: None,
        body: Bytes::new(),
    };
    shared.runs.borrow_mut().insert(number, slot);
    let inside = shared.clone();
    let task = tokio::task::spawn_local(async move {
        let last = carry_out(&inside, &run, &call).await;
        if let Some(part) = last {
            tell(&inside, number, part);
        }
        inside.runs.borrow_mut().remove(&number);
    });
    if let Some(slot) = shared.runs.borrow_mut().get_mut(&number) {
        slot.task = Some(task.abort_handle());
    }
}

/// Ends a run; its connection closes.
pub(super) fn cancel(shared: &Shared, run: u64) {
    let slot = shared.runs.borrow_mut().remove(&run);
    if let Some(task) = slot.and_then(|s| s.task) {
        task.abort();
    }
}

fn tell(shared: &Shared, run: u64, part: RunPart) {
    shared.tell(DirectEvent::Part { run, part });
}

/// Sends the request and reads the answer; returns its last part.
async fn carry_out(shared: &Shared, run: &RunRequest, call: &CallerCall) -> Option<RunPart> {
    let request = (shared.dialect.run)(run, &call.head, call.body.clone());
    let sent = shared
        .pool
        .send(run.addr, request, run.careful, CONNECT)
        .await;
    let (response, connection) = match sent {
        Ok(answer) => answer,
        Err(Fault::Refused) => return Some(RunPart::NotSent { refused: true }),
        Err(Fault::NotSent) => return Some(RunPart::NotSent { refused: false }),
        Err(Fault::Broken) => return Some(RunPart::Broken),
    };
    let (head, body) = response.into_parts();
    looks::rated(shared, &run.to, Some(run.run), &head.headers);
    let reply = (shared.dialect.reply)(&head, &call.label);
    if reply.foreign {
        return Some(RunPart::Broken);
    }
    let kept = kept(&head.headers);
    if run.stream && reply.stream && !reply.not_run {
        keep_head(shared, run.run, head);
        tell(shared, run.run, RunPart::Head);
        return Some(events(shared, run.run, body, connection, kept).await);
    }
    let Ok(whole) = Limited::new(body, ANSWER_LIMIT).collect().await else {
        return Some(RunPart::Broken);
    };
    shared.pool.give_back(connection, kept);
    let status = head.status.as_u16();
    keep_head(shared, run.run, head);
    if let Some(slot) = shared.runs.borrow_mut().get_mut(&run.run) {
        slot.body = whole.to_bytes();
    }
    Some(RunPart::Whole {
        status,
        not_run: reply.not_run,
    })
}

fn keep_head(shared: &Shared, run: u64, head: response::Parts) {
    if let Some(slot) = shared.runs.borrow_mut().get_mut(&run) {
        slot.head = Some(head);
    }
}

/// Reads a stream of events to its end.
async fn events(
    shared: &Shared,
    run: u64,
    mut body: Incoming,
    connection: Connection,
    kept: Option<Duration>,
) -> RunPart {
    let mut splitter = EventSplitter::default();
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
            let part = RunPart::Piece {
                id: event.id,
                bytes: event.bytes,
            };
            tell(shared, run, part);
        }
    }
    if splitter.is_torn() {
        return RunPart::Broken;
    }
    shared.pool.give_back(connection, kept);
    RunPart::End
}

/// How long the endpoint says that it keeps an idle connection.
fn kept(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
