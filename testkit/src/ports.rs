//! Addresses on loopback that nothing else takes.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is handed out: below the range from which the system takes ports of
/// outgoing connections, so that none of these takes one before its process listens.
const FIRST: u16 = 10_000;

/// Ports that are handed out from the first one on.
const COUNT: u16 = 20_000;

/// Ports between those that two processes of tests begin with.
const APART: u32 = 97;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address that was free just now and that this process hands out once.
///
/// # Panics
/// Panics where no port of the range is free.
pub fn free_addr() -> SocketAddr {
    let start = (std::process::id().wrapping_mul(APART) % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start + step % COUNT) % COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
    panic!("no port from {FIRST} on is free");
}
