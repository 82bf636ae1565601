use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Flood;

/// Time after which a flood ends if its caller hasn't closed the connection.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Size of a read or write.
const BLOCK_BYTES: usize = 64 * 1024;

/// A TCP relay to an HTTP server that answers calls of one path with a flood in the server's place.
pub struct Flooder {
    addr: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    paused: AtomicBool,
    floods: AtomicU64,
    bytes: AtomicU64,
    open: AtomicU64,
}

impl Flooder {
    /// Starts a relay to a target that floods calls whose path begins with `path`.
    ///
    /// # Panics
    /// When no port is free.
    pub fn start(target: SocketAddr, path: &'static str, flood: Flood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let counts = shared.clone();
                std::thread::spawn(move || relay(caller, target, path, flood, &counts));
            }
        });
        Self { addr, counts }
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Passes all calls on, or ends that.
    pub fn set_paused(&self, paused: bool) {
        self.counts.paused.store(paused, Ordering::Relaxed);
    }

    /// Number of floods so far.
    pub fn floods(&self) -> u64 {
        self.counts.floods.load(Ordering::Relaxed)
    }

    /// Number of bytes of floods that were sent.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Number of floods whose caller hasn't closed the connection.
    pub fn open(&self) -> u64 {
        self.counts.open.load(Ordering::Relaxed)
    }
}

/// Passes bytes on in both directions until a call is to be flooded. Errors end the relay, as they would
/// end the connection.
fn relay(
    mut caller: TcpStream,
    target: SocketAddr,
    path: &str,
    flood: Flood,
    counts: &Counts,
) -> Option<()> {
    let mut server: Option<TcpStream> = None;
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        let length = caller.read(&mut block).ok().filter(|length| *length > 0)?;
        let request = String::from_utf8_lossy(&block[..length]);
        let mut words = request.split(' ').skip(1);
        let is_flooded = words.next().is_some_and(|p| p.starts_with(path));
        if is_flooded && !counts.paused.load(Ordering::Relaxed) {
            counts.floods.fetch_add(1, Ordering::Relaxed);
            counts.open.fetch_add(1, Ordering::Relaxed);
            send(&mut caller, flood, &request, counts);
            counts.open.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let server = match &mut server {
            Some(server) => server,
            None => {
                let stream = TcpStream::connect(target).ok()?;
                let (from, to) = (stream.try_clone().ok()?, caller.try_clone().ok()?);
                std::thread::spawn(move || copy(from, to));
                server.insert(stream)
            }
        };
        server.write_all(&block[..length]).ok()?;
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    // Either end may close the connection.
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Sends a flood until the caller closes the connection.
fn send(caller: &mut TcpStream, flood: Flood, request: &str, counts: &Counts) -> Option<()> {
    let begin = Instant::now();
    let (start, repeated) = flood.bytes(request);
    caller.write_all(start.as_bytes()).ok()?;
    let mut number = 1;
    while begin.elapsed() < MAX_TIME {
        let block = flood.block(repeated, BLOCK_BYTES, &mut number);
        caller.write_all(block.as_bytes()).ok()?;
        let sent = block.len() as u64;
        counts.bytes.fetch_add(sent, Ordering::Relaxed);
        std::thread::sleep(flood.pause());
    }
    None
}
