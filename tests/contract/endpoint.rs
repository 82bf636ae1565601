//! Behaviour that an agent expects of every endpoint.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use runrail::endpoint::{EndpointClient, EndpointSettings};
use runrail::host::Clock;
use runrail::logic::{EndpointCall, EndpointEvent, LoadOrder, RunResult, StartOrder};
use runrail::message::RunId;
use runrail::types::{GroupRole, ModelKind, RequestId};
use testkit::{Engine, EngineParams, Fabric, Service};

const TIMEOUT: Duration = Duration::from_secs(20);

fn client(addr: SocketAddr) -> (EndpointClient, Receiver<EndpointEvent>) {
    let (sender, events) = channel();
    let settings = EndpointSettings {
        addr,
        ..EndpointSettings::default()
    };
    let client = EndpointClient::new(settings, Clock::start(), move |e| {
        let _ = sender.send(e);
    });
    (client, events)
}

fn engine(params: EngineParams) -> (Fabric, Engine) {
    let fabric = Fabric::new();
    let engine = Engine::start("x", &fabric, params);
    (fabric, engine)
}

fn load(epoch: u64) -> EndpointCall {
    EndpointCall::Load(Box::new(LoadOrder {
        epoch,
        model: Arc::from("m"),
        version: Arc::from("1"),
        kind: ModelKind::Engine,
        role: GroupRole::Mixed,
        adapters: Vec::new(),
        rank: 0,
        size: 1,
        valid_until: u64::MAX,
    }))
}

fn run(number: u64) -> RunId {
    RunId {
        request: RequestId { node: 1, number },
        attempt: 1,
    }
}

fn start(number: u64, change: impl FnOnce(&mut StartOrder)) -> EndpointCall {
    let mut order = StartOrder {
        run: run(number),
        epoch: 5,
        kind: ModelKind::Engine,
        path: Arc::from("/v1/chat/completions"),
        body: Arc::from(
            r#"{"model":"m","messages":[{"role":"user","content":"a b"}],"max_tokens":4}"#,
        ),
        offset: 0,
        prefix: String::new(),
        priority: 0,
        valid_until: u64::MAX,
    };
    change(&mut order);
    EndpointCall::Start(Box::new(order))
}

/// Collects the text and the result of a run.
fn outcome(events: &Receiver<EndpointEvent>) -> (String, RunResult) {
    let mut answer = String::new();
    loop {
        match events.recv_timeout(TIMEOUT).expect("an event") {
            EndpointEvent::Piece { text, .. } => answer.push_str(&text),
            EndpointEvent::Ended { result, .. } => return (answer, result),
            _ => {}
        }
    }
}

#[test]
fn an_engine_loads_answers_and_resumes_at_an_offset() {
    let (_, engine) = engine(EngineParams::default());
    let (client, events) = client(engine.addr());
    client.call(load(5));
    let loaded = events.recv_timeout(TIMEOUT).expect("an event");
    assert_eq!(loaded, EndpointEvent::Loaded { epoch: 5, ok: true });
    client.call(start(1, |_| {}));
    assert_eq!(
        outcome(&events),
        ("a0 b1 a2 b3 ".into(), RunResult::Complete(200))
    );
    client.call(start(2, |o| {
        o.offset = 2;
        o.prefix = "a0 b1 ".into();
    }));
    assert_eq!(
        outcome(&events),
        ("a2 b3 ".into(), RunResult::Complete(200))
    );
}

#[test]
fn an_order_with_an_old_fence_is_refused_and_not_run() {
    let (fabric, engine) = engine(EngineParams::default());
    let (client, events) = client(engine.addr());
    client.call(load(6));
    events.recv_timeout(TIMEOUT).expect("an event");
    client.call(start(1, |_| {}));
    assert_eq!(outcome(&events).1, RunResult::NotRun);
    assert!(fabric.runs().is_empty());
}

#[test]
fn an_order_that_has_expired_or_finds_no_endpoint_is_not_run() {
    let (fabric, engine) = engine(EngineParams::default());
    let (connected, events) = client(engine.addr());
    connected.call(start(1, |o| o.valid_until = 0));
    assert_eq!(outcome(&events).1, RunResult::NotRun);
    assert!(fabric.runs().is_empty());
    let (unconnected, events) = client(SocketAddr::from(([127, 0, 0, 1], 1)));
    unconnected.call(start(2, |_| {}));
    assert_eq!(outcome(&events).1, RunResult::NotRun);
}

#[test]
fn a_cancelled_run_ends_as_cancelled_and_one_on_a_group_that_lost_a_member_as_broken() {
    let (fabric, engine) = engine(EngineParams {
        piece: Duration::from_millis(50),
        pieces: 200,
        ..EngineParams::default()
    });
    let (client, events) = client(engine.addr());
    client.call(load(5));
    events.recv_timeout(TIMEOUT).expect("an event");
    let long = r#"{"model":"m","messages":[{"role":"user","content":"a"}]}"#;
    client.call(start(1, |o| o.body = Arc::from(long)));
    events.recv_timeout(TIMEOUT).expect("a piece");
    client.call(EndpointCall::Cancel {
        run: run(1),
        epoch: 5,
    });
    assert_eq!(outcome(&events).1, RunResult::Cancelled);
    client.call(start(2, |o| o.body = Arc::from(long)));
    events.recv_timeout(TIMEOUT).expect("a piece");
    fabric.set_down("x", true);
    assert_eq!(outcome(&events).1, RunResult::Broken);
}

#[test]
fn a_plain_service_is_called_with_path_and_body() {
    let service = Service::start();
    let (client, events) = client(service.addr());
    client.call(start(1, |o| {
        o.kind = ModelKind::Service;
        o.path = Arc::from("/renew");
        o.body = Arc::from(r#"{"seat":7}"#);
    }));
    let (text, result) = outcome(&events);
    assert_eq!(result, RunResult::Complete(200));
    assert!(text.contains("licence"), "{text}");
    assert_eq!(service.runs()[0].path, "/renew");
}

/// A server that gives every call an answer with a status.
fn serve_status(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 8192];
            // A call comes in one piece; its client may have disconnected.
            let _ = stream.read(&mut request);
            let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\n{{}}");
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    addr
}

/// Guards against a status that no HTTP answer has, which was passed on to the caller.
#[test]
fn an_answer_with_a_status_that_is_none_counts_as_broken_off() {
    for status in ["000", "099", "600", "999", "1000", "20", "2x0"] {
        for kind in [ModelKind::Engine, ModelKind::Service] {
            let (client, events) = client(serve_status(status));
            client.call(start(1, |order| order.kind = kind));
            let got = outcome(&events);
            assert_eq!(got, (String::new(), RunResult::Broken), "{status} {kind:?}");
        }
    }
}
