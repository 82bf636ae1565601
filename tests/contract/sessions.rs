//! Sessions: key, version, instance, replacement.

use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use runrail::logic::PeerRole;
use runrail::message::Message;
use runrail::types::InstanceId;
use runrail::wire::{Identity, Net, NetEvent, NetSettings};

const LONG: Duration = Duration::from_secs(20);

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

fn refused(events: &Receiver<NetEvent>) -> String {
    loop {
        match events.recv_timeout(LONG).expect("an event") {
            NetEvent::Refused { why, .. } => return why,
            NetEvent::Up(peer) => panic!("{peer:?} was let in"),
            _ => {}
        }
    }
}

#[test]
fn messages_pass_between_processes_with_one_key() {
    let (a, own) = start("a", "the fleet's key");
    let (b, events) = start("b", "the fleet's key");
    a.dial(&InstanceId::new("b"), b.addr());
    // Before its own side is up, what it sends is dropped.
    let up = own.recv_timeout(LONG).expect("an event");
    assert!(matches!(up, NetEvent::Up(p) if p.id.as_str() == "b"));
    let up = events.recv_timeout(LONG).expect("an event");
    assert!(matches!(up, NetEvent::Up(p) if p.id.as_str() == "a"));
    a.send(&InstanceId::new("b"), Message::Leave);
    let heard = events.recv_timeout(LONG).expect("an event");
    assert!(matches!(
        heard,
        NetEvent::Message {
            message: Message::Leave,
            ..
        }
    ));
    a.hangup(&InstanceId::new("b"));
    let down = events.recv_timeout(LONG).expect("an event");
    assert!(matches!(down, NetEvent::Down(_)));
}

#[test]
fn another_key_is_refused() {
    let (a, _) = start("a", "the fleet's key");
    let (b, events) = start("b", "another key");
    a.dial(&InstanceId::new("b"), b.addr());
    assert!(refused(&events).contains("key"));
}

#[test]
fn a_session_meant_for_another_instance_is_refused() {
    let (a, _) = start("a", "the fleet's key");
    let (b, events) = start("b", "the fleet's key");
    a.dial(&InstanceId::new("c"), b.addr());
    assert!(refused(&events).contains("meant for c"));
}

#[test]
fn a_process_that_ends_in_order_sends_what_waits() {
    let (a, own) = start("a", "the fleet's key");
    let (b, events) = start("b", "the fleet's key");
    a.dial(&InstanceId::new("b"), b.addr());
    own.recv_timeout(LONG).expect("an event");
    for _ in 0..500 {
        a.send(&InstanceId::new("b"), Message::Leave);
    }
    a.finish(LONG);
    let mut heard = 0;
    loop {
        match events.recv_timeout(LONG).expect("an event") {
            NetEvent::Message { .. } => heard += 1,
            NetEvent::Down(_) => break,
            _ => {}
        }
    }
    assert_eq!(heard, 500);
}
