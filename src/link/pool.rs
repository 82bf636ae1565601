//! Connections to endpoints and to the store, kept and used again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::fault::Fault;
use crate::host::Clock;
use crate::types::Millis;

/// Time that an endpoint is assumed to keep an idle connection, unless it says.
const KEPT: Duration = Duration::from_secs(4);

/// Idle time after which a connection isn't used for what may not be repeated.
const FRESH: Duration = Duration::from_millis(1_500);

/// Longest time that an idle connection is kept at all.
const LONGEST: Duration = Duration::from_secs(30);

/// Idle connections to any address.
pub(super) struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    /// Since when it is idle.
    since: Millis,
    kept: Duration,
}

impl Idle {
    /// How long it has been idle.
    fn rested(&self, now: Millis) -> Duration {
        Duration::from_millis(now.saturating_sub(self.since))
    }
}

/// A connection in use. Dropping it closes it.
pub(super) struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// `careful` leaves aside connections that the other end may be closing.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        careful: bool,
        connect: Duration,
    ) -> Result<(Response<Incoming>, Connection), Fault> {
        let mut request = request;
        while let Some(mut connection) = self.take(addr, careful) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                // Nothing of it was sent: another connection may take it.
                Err(mut error) => match error.take_message() {
                    Some(back) => request = back,
                    None => return Err(Fault::Broken),
                },
            }
        }
        let mut connection = open(addr, connect).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Fault::NotSent),
                None => Err(Fault::Broken),
            },
        }
    }

    /// Takes a connection back whose last answer has been read whole.
    pub fn give_back(&self, connection: Connection, kept: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let kept = kept.unwrap_or(KEPT).min(LONGEST);
        let idle = Idle {
            since: self.clock.now(),
            kept: kept * 3 / 4,
            connection,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(idle.connection.addr).or_default().push(idle);
    }

    /// Closes what has been idle for too long.
    pub fn reap(&self) {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        for idle in all.values_mut() {
            idle.retain(|i| !i.connection.sender.is_closed() && i.rested(now) < i.kept);
        }
        all.retain(|_, idle| !idle.is_empty());
    }

    fn take(&self, addr: SocketAddr, careful: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&addr)?;
        while let Some(found) = idle.pop() {
            let rested = found.rested(now);
            let fresh = rested < found.kept && (!careful || rested < FRESH);
            if fresh && found.connection.sender.is_ready() {
                return Some(found.connection);
            }
        }
        None
    }
}

async fn open(addr: SocketAddr, connect: Duration) -> Result<Connection, Fault> {
    let stream = match timeout(connect, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(Fault::Refused),
        _ => return Err(Fault::NotSent),
    };
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let (sender, driver) = http1::handshake(io).await.map_err(|_| Fault::NotSent)?;
    let driver = tokio::task::spawn_local(async move {
        // How a connection ended shows in the answer that was awaited on it.
        let _ = driver.await;
    });
    Ok(Connection {
        addr,
        sender,
        driver: driver.abort_handle(),
    })
}
