use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use tokio::net::TcpSocket;

use super::CutEnd;

/// Size of a read.
const BLOCK_BYTES: usize = 64 * 1024;

/// Bytes in place of an answer, and what becomes of the connection.
type CutAnswer = (Vec<u8>, CutEnd);

/// A TCP relay to an HTTP server that answers some calls with bytes of a test in the server's place.
pub struct Cutter {
    addr: SocketAddr,
}

impl Cutter {
    /// Starts a relay to a target. `answer` gets each call as it was received, and returns the bytes to send
    /// in place of its answer; `None` passes the call on.
    ///
    /// # Panics
    /// When no port is free.
    pub fn start<F>(target: SocketAddr, answer: F) -> Self
    where
        F: Fn(&str) -> Option<CutAnswer> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let answer = Arc::new(answer);
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let answer = answer.clone();
                std::thread::spawn(move || relay(caller, target, &*answer));
            }
        });
        Self { addr }
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Passes bytes on in both directions until a connection is to end. Errors end the relay, as they would
/// end the connection.
fn relay(
    mut caller: TcpStream,
    target: SocketAddr,
    answer: &dyn Fn(&str) -> Option<CutAnswer>,
) -> Option<()> {
    caller.set_nodelay(true).ok()?;
    let mut server: Option<TcpStream> = None;
    let is_reset = Arc::new(AtomicBool::new(false));
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        let length = caller.read(&mut block).ok().filter(|length| *length > 0);
        let Some(length) = length else {
            return close(server);
        };
        let call = String::from_utf8_lossy(&block[..length]);
        if let Some((bytes, end)) = answer(&call) {
            caller.write_all(&bytes).ok()?;
            match end {
                CutEnd::Open => continue,
                CutEnd::Close => caller.shutdown(Shutdown::Both).ok()?,
                CutEnd::Reset => {
                    is_reset.store(true, Ordering::SeqCst);
                    let socket = TcpSocket::from_std_stream(caller.try_clone().ok()?);
                    socket.set_zero_linger().ok()?;
                }
            }
            return close(server);
        }
        let server = match &mut server {
            Some(server) => server,
            None => {
                let stream = TcpStream::connect(target).ok()?;
                let (from, to) = (stream.try_clone().ok()?, caller.try_clone().ok()?);
                let is_reset = is_reset.clone();
                std::thread::spawn(move || copy(from, to, &is_reset));
                server.insert(stream)
            }
        };
        server.write_all(&block[..length]).ok()?;
    }
}

fn close(server: Option<TcpStream>) -> Option<()> {
    server?.shutdown(Shutdown::Both).ok()
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_reset: &AtomicBool) {
    // Either end may close the connection.
    let _ = std::io::copy(&mut from, &mut to);
    if !is_reset.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
