use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two checks whether a relay is still silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A TCP relay that can be cut: open connections are shut down, and new ones are closed as soon as
/// they are accepted. It can also delay bytes, or hold them back for a while.
#[derive(Clone)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    target: SocketAddr,
    cut: bool,
    silent: bool,
    one_way: bool,
    /// Number of times that all open connections have fallen silent.
    silenced: u64,
    delay: Duration,
    open: Vec<TcpStream>,
}

impl Relay {
    /// Starts a relay to a target.
    ///
    /// # Panics
    /// When no port is free.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            target,
            cut: false,
            silent: false,
            one_way: false,
            silenced: 0,
            delay: Duration::ZERO,
            open: Vec::new(),
        }));
        let relay = Self { addr, state };
        let serving = relay.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.accept(stream);
            }
        });
        relay
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.lock().target = target;
    }

    /// Cuts the relay or ends the cut.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.lock();
        state.cut = cut;
        if cut {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Holds back all bytes, or ends that; connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Holds back the bytes of all open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.lock().silenced += 1;
    }

    /// Holds back the bytes from the target, or ends that; those to it are passed on.
    pub fn set_one_way(&self, one_way: bool) {
        self.lock().one_way = one_way;
    }

    /// Delays all bytes by this time before they are passed on.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Waits for the delay, and then for as long as a connection is silent in this direction that was
    /// opened after so many times.
    fn hold(&self, from_target: bool, opened_after: u64) {
        let delay = self.lock().delay;
        std::thread::sleep(delay);
        let is_silent = || {
            let state = self.lock();
            state.silent || (state.one_way && from_target) || state.silenced > opened_after
        };
        while is_silent() {
            std::thread::sleep(SILENCE_CHECK_INTERVAL);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn accept(&self, from: TcpStream) {
        let mut state = self.lock();
        if state.cut {
            return;
        }
        let Ok(to) = TcpStream::connect(state.target) else {
            return;
        };
        let opened_after = state.silenced;
        let _ = from.set_nodelay(true);
        let _ = to.set_nodelay(true);
        for (a, b, from_target) in [(&from, &to, false), (&to, &from, true)] {
            if let (Ok(read), Ok(write)) = (a.try_clone(), b.try_clone()) {
                let relay = self.clone();
                std::thread::spawn(move || pump(&relay, read, write, from_target, opened_after));
            }
        }
        state.open.push(from);
        state.open.push(to);
    }
}

fn pump(
    relay: &Relay,
    mut from: TcpStream,
    mut to: TcpStream,
    from_target: bool,
    opened_after: u64,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(n) = from.read(&mut buffer) {
        relay.hold(from_target, opened_after);
        if n == 0 || to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
