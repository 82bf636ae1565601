//! Sessions between processes: key, instance, delivery of messages.

use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use runrail::logic::PeerRole;
use runrail::message::Message;
use runrail::types::InstanceId;
use runrail::wire::{Identity, Net, NetEvent, NetSettings};

const TIMEOUT: Duration = Duration::from_secs(20);

fn start(name: &str, key: &str) -> (Net, Receiver<NetEvent>) {
    let (sender, events) = channel();
    let me = Identity {
        id: InstanceId::new(name),
        incarnation: 1,
        role: PeerRole::Agent,
        key: Arc::from(key.as_bytes()),
    };
    let net = Net::start(me, NetSettings::default(), move |e| {
        let _ = sender.send(e);
    });
    (net.expect("a port"), events)
}

fn refusal_reason(events: &Receiver<NetEvent>) -> String {
    loop {
        match events.recv_timeout(TIMEOUT).expect("an event") {
            NetEvent::SessionRefused { reason, .. } => return reason,
            NetEvent::Connected(peer) => panic!("a session with {peer:?} was opened"),
            _ => {}
        }
    }
}

#[test]
fn processes_with_the_same_key_exchange_messages() {
    let (a, own_events) = start("a", "the fleet's key");
    let (b, events) = start("b", "the fleet's key");
    a.dial(&InstanceId::new("b"), b.addr());
    // A message sent before the session is open on this side would be dropped.
    let up = own_events.recv_timeout(TIMEOUT).expect("an event");
    assert!(matches!(up, NetEvent::Connected(p) if p.id.as_str() == "b"));
    let up = events.recv_timeout(TIMEOUT).expect("an event");
    assert!(matches!(up, NetEvent::Connected(p) if p.id.as_str() == "a"));
    a.send(&InstanceId::new("b"), Message::Leave);
    let received = events.recv_timeout(TIMEOUT).expect("an event");
    assert!(matches!(
        received,
        NetEvent::Message {
            message: Message::Leave,
            ..
        }
    ));
    a.disconnect(&InstanceId::new("b"));
    let down = events.recv_timeout(TIMEOUT).expect("an event");
    assert!(matches!(down, NetEvent::Disconnected(_)));
}

#[test]
fn another_key_is_refused() {
    let (a, _) = start("a", "the fleet's key");
    let (b, events) = start("b", "another key");
    a.dial(&InstanceId::new("b"), b.addr());
    assert!(refusal_reason(&events).contains("key"));
}

#[test]
fn a_session_meant_for_another_instance_is_refused() {
    let (a, _) = start("a", "the fleet's key");
    let (b, events) = start("b", "the fleet's key");
    a.dial(&InstanceId::new("c"), b.addr());
    assert!(refusal_reason(&events).contains("meant for c"));
}

#[test]
fn a_process_that_shuts_down_sends_its_queued_messages() {
    let (a, own_events) = start("a", "the fleet's key");
    let (b, events) = start("b", "the fleet's key");
    a.dial(&InstanceId::new("b"), b.addr());
    own_events.recv_timeout(TIMEOUT).expect("an event");
    for _ in 0..500 {
        a.send(&InstanceId::new("b"), Message::Leave);
    }
    a.shutdown(TIMEOUT);
    let mut received = 0;
    loop {
        match events.recv_timeout(TIMEOUT).expect("an event") {
            NetEvent::Message { .. } => received += 1,
            NetEvent::Disconnected(_) => break,
            _ => {}
        }
    }
    assert_eq!(received, 500);
}
