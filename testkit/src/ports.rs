//! Loopback addresses for the processes of tests.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is handed out. The range lies below the system's ephemeral ports, so that no
/// outgoing connection takes a port before its process listens there.
const FIRST_PORT: u16 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 20_000;

/// Distance between the ports with which test processes of consecutive process ids begin.
const PROCESS_STRIDE: u32 = 97;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that is free for TCP and UDP. A process hands out each address once until all
/// ports of the range have been tried.
///
/// # Panics
/// When no port of the range is free.
pub fn free_addr() -> SocketAddr {
    let start = (std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + step % PORT_COUNT) % PORT_COUNT;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
    panic!("no port from {FIRST_PORT} on is free");
}
