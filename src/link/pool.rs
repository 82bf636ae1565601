//! Pool of connections to endpoints and to the store.
//!
//! An endpoint at fault may give an answer a second time, in place of the next one that is due on
//! its connection. All sends of a request have the same label, so that the label alone doesn't show
//! which of them is answered: a connection that has carried a label carries no other request with
//! it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::client::conn::TrySendError;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::answer_head;
use super::call_fault::CallFault;
use super::call_use::CallUse;
use super::carried::Carried;
use super::endpoint_calls::log_invalid;
use super::limited_stream::{HeadLimit, LimitedStream};
use super::reuse::Reuse;
use crate::host::Clock;
use crate::types::Millis;

/// Keep-alive time that is assumed for a peer that names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Idle time from which a connection isn't used for requests that may not be sent twice.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(1_500);

/// Longest keep-alive time that is assumed, whatever the peer names.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Size of a connection's read buffer, which bounds each head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// How a request is sent.
#[derive(Clone, Copy, Default)]
pub(super) struct SendOptions<'a> {
    /// What the call is for.
    pub call_use: CallUse,
    /// Idle connections that it may be sent on.
    pub reuse: Reuse,
    /// Label of the request, which its answer names; it isn't sent on a connection that has carried
    /// another request with this label.
    pub label: Option<&'a str>,
    /// Longest time for opening a new connection.
    pub connect_time: Duration,
    /// Time after which the request is no longer written; none for no bound.
    pub send_by: Option<Millis>,
}

/// Idle connections by address.
pub(super) struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Number of calls by use and by whether they were sent on a new connection.
    calls: RefCell<BTreeMap<(CallUse, &'static str), u64>>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Millis,
    /// Idle time from which it isn't used again: three quarters of the keep-alive time.
    max_idle: Duration,
}

impl IdleConnection {
    fn idle_time(&self, now: Millis) -> Duration {
        Duration::from_millis(now.saturating_sub(self.idle_since))
    }
}

/// The head of an answer, or an error, with the request if it wasn't sent.
type SendResult = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

/// An open connection; dropping it closes it.
pub(super) struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    carried: Carried,
    head: HeadLimit,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    async fn send(&mut self, request: Request<Full<Bytes>>) -> SendResult {
        self.head.begin();
        let result = self.sender.try_send_request(request).await;
        self.head.end();
        result
    }

    /// Whether its last answer may be one to an earlier request, if nothing in it shows to which.
    pub fn has_earlier(&self) -> bool {
        self.carried.has_several()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
            calls: RefCell::default(),
        }
    }

    /// Number of calls by the label of their use, and by whether a connection was `opened` or `reused`
    /// for them.
    pub fn counts(&self) -> Vec<((&'static str, &'static str), u64)> {
        let calls = self.calls.borrow();
        let counts = calls.iter();
        counts
            .map(|((of, how), n)| ((of.name(), *how), *n))
            .collect()
    }

    fn count(&self, of: CallUse, how: &'static str) {
        *self.calls.borrow_mut().entry((of, how)).or_default() += 1;
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Returns a [`CallFault`], which tells whether the request may have been sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        options: SendOptions<'_>,
    ) -> Result<(Response<Incoming>, Connection), CallFault> {
        let mut request = request;
        while let Some(mut connection) = self.take(addr, &options) {
            self.check_time(options.send_by)?;
            connection.carried.add(options.label);
            match connection.send(request).await {
                Ok(response) => {
                    self.count(options.call_use, "reused");
                    return usable(response, connection, options.label);
                }
                // Nothing was sent if the request comes back: another connection can send it.
                Err(mut error) => match error.take_message() {
                    Some(back) => request = back,
                    None => return Err(CallFault::Broken),
                },
            }
        }
        let mut connection = connect(addr, options.connect_time).await?;
        self.count(options.call_use, "opened");
        connection.carried.add(options.label);
        self.check_time(options.send_by)?;
        match connection.send(request).await {
            Ok(response) => usable(response, connection, options.label),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(CallFault::NotSent),
                None => Err(CallFault::Broken),
            },
        }
    }

    /// Checks whether a request may still be written.
    fn check_time(&self, send_by: Option<Millis>) -> Result<(), CallFault> {
        let is_late = send_by.is_some_and(|time| self.clock.now() > time);
        if is_late {
            return Err(CallFault::NotSent);
        }
        Ok(())
    }

    /// Returns a connection to the pool; its last answer must have been read to the end.
    pub fn give_back(&self, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() || connection.carried.is_full() {
            return;
        }
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
        let idle = IdleConnection {
            idle_since: self.clock.now(),
            max_idle: keep_alive * 3 / 4,
            connection,
        };
        let mut all = self.idle.borrow_mut();
        all.entry(idle.connection.addr).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long or were closed by the peer.
    pub fn reap(&self) {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        for idle in all.values_mut() {
            idle.retain(|i| !i.connection.sender.is_closed() && i.idle_time(now) < i.max_idle);
        }
        all.retain(|_, idle| !idle.is_empty());
    }

    /// Takes the connection that was used last of those that a call may be sent on. Closes those that
    /// can't be used any more.
    fn take(&self, addr: SocketAddr, options: &SendOptions<'_>) -> Option<Connection> {
        if options.reuse == Reuse::Never {
            return None;
        }
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&addr)?;
        idle.retain(|i| i.connection.sender.is_ready() && i.idle_time(now) < i.max_idle);
        let may_carry = |i: &IdleConnection| {
            let is_recent = options.reuse != Reuse::Recent || i.idle_time(now) < MAX_FRESH_IDLE;
            is_recent && !options.label.is_some_and(|l| i.connection.carried.has(l))
        };
        let at = idle.iter().rposition(may_carry)?;
        Some(idle.remove(at).connection)
    }
}

/// The head of an answer with its connection, which is closed if the head can't be used.
fn usable(
    response: Response<Incoming>,
    connection: Connection,
    label: Option<&str>,
) -> Result<(Response<Incoming>, Connection), CallFault> {
    match answer_head::find_fault(&response, label) {
        Some(why) => {
            log_invalid("a head", &connection.addr.to_string(), why);
            Err(CallFault::Broken)
        }
        None => Ok((response, connection)),
    }
}

async fn connect(addr: SocketAddr, connect_time: Duration) -> Result<Connection, CallFault> {
    let stream = match timeout(connect_time, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(CallFault::Refused),
        _ => return Err(CallFault::NotSent),
    };
    // An error is ignored: without TCP_NODELAY answers are only delayed.
    let _ = stream.set_nodelay(true);
    let head = HeadLimit::default();
    let io = TokioIo::new(LimitedStream::new(stream, head.clone()));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(io)
        .await;
    let (sender, driver) = handshake.map_err(|_| CallFault::NotSent)?;
    let driver = tokio::task::spawn_local(async move {
        // An error of the connection is reported to the request that awaits its answer.
        let _ = driver.await;
    });
    Ok(Connection {
        addr,
        sender,
        driver: driver.abort_handle(),
        carried: Carried::default(),
        head,
    })
}
