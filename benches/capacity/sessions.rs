//! Measures the memory of sessions between processes; both ends are in this process.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use runrail::logic::PeerRole;
use runrail::types::InstanceId;
use runrail::wire::{Identity, Net, NetEvent, NetSettings};

use crate::resident_kib;

pub fn run() {
    println!("| sessions | KiB for both ends | KiB per end |\n|---|---|---|");
    for count in [100, 200, 400] {
        let before = resident_kib();
        let connected = Arc::new(AtomicUsize::new(0));
        let server = start_net("server", connected.clone());
        let clients: Vec<_> = (0..count)
            .map(|i| {
                let client = start_net(&format!("c{i}"), connected.clone());
                client.dial(&InstanceId::new("server"), server.addr());
                client
            })
            .collect();
        while connected.load(Ordering::SeqCst) < 2 * count {
            std::thread::sleep(Duration::from_millis(10));
        }
        let used = resident_kib().saturating_sub(before);
        println!(
            "| {count} | {used} | {:.1} |",
            used as f64 / (2 * count) as f64
        );
        drop(clients);
    }
}

fn start_net(name: &str, connected: Arc<AtomicUsize>) -> Net {
    let me = Identity {
        id: InstanceId::new(name),
        incarnation: 1,
        role: PeerRole::Agent,
        key: Arc::from(&b"a key of at least thirty-two bytes"[..]),
    };
    let net = Net::start(me, NetSettings::default(), move |event| {
        if matches!(event, NetEvent::Connected(_)) {
            connected.fetch_add(1, Ordering::SeqCst);
        }
    });
    net.expect("a free port to listen on")
}
