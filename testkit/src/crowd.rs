use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time limit of a single read or write, after which a client looks whether it is to stop.
const STEP_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause before a client whose connection was closed or refused connects again.
const REOPEN_PAUSE: Duration = Duration::from_millis(20);

/// Time without any progress after which the clients that still send count as held up.
const STALL_TIME: Duration = Duration::from_secs(2);

/// Time limit for sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// A client that sends bytes and then keeps its connection open.
#[derive(Clone)]
pub struct CrowdClient {
    /// What it sends first.
    pub head: String,
    /// Whether it waits for an answer to the head before it sends the body.
    pub awaits_answer: bool,
    /// What it sends next.
    pub body: Arc<[u8]>,
    /// Bytes that it sends at a time.
    pub step: usize,
}

/// Clients that send all at once and stay, each on a thread of its own. They disconnect when the crowd is
/// dropped.
pub struct Crowd {
    state: Arc<State>,
    threads: Vec<JoinHandle<()>>,
}

struct State {
    addr: SocketAddr,
    reopens: bool,
    stop: AtomicBool,
    /// Number of clients that haven't sent everything for the first time.
    sending: AtomicUsize,
    /// Bytes that were sent.
    sent: AtomicU64,
}

impl Crowd {
    /// Starts the clients. With `reopens` a client whose connection ends opens another one and sends again.
    pub fn start(addr: SocketAddr, clients: Vec<CrowdClient>, reopens: bool) -> Self {
        let state = Arc::new(State {
            addr,
            reopens,
            stop: AtomicBool::new(false),
            sending: AtomicUsize::new(clients.len()),
            sent: AtomicU64::new(0),
        });
        let start = |client: CrowdClient| {
            let state = state.clone();
            std::thread::spawn(move || state.run(&client))
        };
        let threads = clients.into_iter().map(start).collect();
        Self { state, threads }
    }

    /// Waits until each client has sent everything, was disconnected, or is held up.
    ///
    /// # Panics
    /// When that takes longer than a minute.
    pub fn wait_sent(&self) {
        let begin = Instant::now();
        let (mut sent, mut since) = (0, Instant::now());
        while self.state.sending.load(Ordering::SeqCst) > 0 && since.elapsed() < STALL_TIME {
            assert!(begin.elapsed() < SEND_TIMEOUT, "the crowd is still sending");
            std::thread::sleep(Duration::from_millis(20));
            let now = self.state.sent.load(Ordering::SeqCst);
            if now != sent {
                (sent, since) = (now, Instant::now());
            }
        }
    }

    /// Bytes that the clients have sent.
    pub fn sent(&self) -> u64 {
        self.state.sent.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A client that has failed is reported by its own panic.
            let _ = thread.join();
        }
    }
}

impl State {
    fn run(&self, client: &CrowdClient) {
        let mut is_first = true;
        while !self.is_stopped() {
            let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
            let open = stream.ok().filter(|s| self.send(s, client));
            if std::mem::take(&mut is_first) {
                self.sending.fetch_sub(1, Ordering::SeqCst);
            }
            if let Some(mut stream) = open {
                self.stay(&mut stream);
            }
            if !self.reopens {
                return;
            }
            std::thread::sleep(REOPEN_PAUSE);
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Sends everything; false if the connection was closed before.
    fn send(&self, stream: &TcpStream, client: &CrowdClient) -> bool {
        let set = stream
            .set_write_timeout(Some(STEP_TIMEOUT))
            .and_then(|()| stream.set_read_timeout(Some(STEP_TIMEOUT)));
        if set.is_err() || !self.write(stream, client.head.as_bytes()) {
            return false;
        }
        if client.awaits_answer && !self.await_answer(stream) {
            return false;
        }
        client
            .body
            .chunks(client.step)
            .all(|b| self.write(stream, b))
    }

    /// Waits for the first bytes of an answer; false if the connection was closed before.
    fn await_answer(&self, mut stream: &TcpStream) -> bool {
        let mut answer = [0; 4096];
        while !self.is_stopped() {
            match stream.read(&mut answer) {
                Err(e) if is_timeout(&e) => {}
                read => return read.is_ok_and(|n| n > 0),
            }
        }
        false
    }

    fn write(&self, mut stream: &TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match stream.write(bytes) {
                Ok(n) if n > 0 => {
                    self.sent.fetch_add(n as u64, Ordering::SeqCst);
                    bytes = &bytes[n..];
                }
                Err(e) if is_timeout(&e) && !self.is_stopped() => {}
                _ => return false,
            }
        }
        true
    }

    /// Keeps a connection open until it is closed by the other side.
    fn stay(&self, stream: &mut TcpStream) {
        let mut answer = [0; 4096];
        while !self.is_stopped() {
            match stream.read(&mut answer) {
                Ok(n) if n > 0 => {}
                Err(e) if is_timeout(&e) => {}
                _ => return,
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
