//! Loopback addresses for the processes of tests.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::Mutex;

/// First port that is handed out. The range lies below the system's ephemeral ports, so that no
/// outgoing connection takes a port before its process listens there.
const FIRST_PORT: u16 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 20_000;

/// Number of ports that a test process claims at a time.
const BLOCK_PORTS: u16 = 50;

/// Number of blocks in the range.
const BLOCK_COUNT: u16 = PORT_COUNT / BLOCK_PORTS;

/// Ports that this process has claimed.
struct Claimed {
    /// Listeners at the first port of each block, which keep other test processes out of it. They are
    /// closed only with the process.
    guards: Vec<TcpListener>,
    /// The next port of the newest block.
    next: u16,
    /// Number of ports left in it.
    left: u16,
}

static CLAIMED: Mutex<Claimed> = Mutex::new(Claimed {
    guards: Vec::new(),
    next: 0,
    left: 0,
});

/// A loopback address that is free for TCP and UDP. It is handed out once, and to no other test
/// process: an address that two of them find free would be lost to the one that listens later.
///
/// # Panics
/// When no block of ports is free.
pub fn free_addr() -> SocketAddr {
    let mut claimed = CLAIMED.lock().expect("no test panics meanwhile");
    loop {
        if claimed.left == 0 {
            claimed.claim_block();
        }
        let addr = loopback(claimed.next);
        claimed.next += 1;
        claimed.left -= 1;
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts a process while no port is tried out: until it runs its own program it has all open sockets of
/// this one, so that a port which was free would be in use for its first user.
///
/// # Errors
/// When the process can't be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _claimed = CLAIMED.lock().expect("no test panics meanwhile");
    command.spawn()
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Claimed {
    fn claim_block(&mut self) {
        let blocks = (0..BLOCK_COUNT).map(|n| FIRST_PORT + n * BLOCK_PORTS);
        let claim = |first: u16| Some((first, TcpListener::bind(loopback(first)).ok()?));
        let claimed = blocks.into_iter().find_map(claim);
        let (first, guard) = claimed.unwrap_or_else(|| {
            panic!("no block of {BLOCK_PORTS} ports from {FIRST_PORT} on is free")
        });
        self.guards.push(guard);
        self.next = first + 1;
        self.left = BLOCK_PORTS - 1;
    }
}
