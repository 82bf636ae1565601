use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::JoinHandle;

use super::session::{self, Socket};
use super::{handshake, Challenge, Hello, Identity, NetEvent, Welcome};
use crate::intake::{Gate, LimitCounts, Place};
use crate::logic::intake::IntakeLimits;
use crate::logic::Peer;
use crate::message::Message;
use crate::types::InstanceId;

/// Maximum number of messages queued on a session; one more ends the session.
const MAX_QUEUED: usize = 4_096;
/// Wait before a session is dialled again: the first value after a session that was open,
/// doubled with each failed attempt up to the second. Up to 50 ms are added at random. After a
/// failed `accept`, the first value is the wait before the next one.
const REDIAL_WAITS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// Shortest time between two reports of refused sessions that others have dialled.
const REFUSED_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the sessions of a process.
#[derive(Clone, Debug)]
pub struct NetSettings {
    /// Address to listen on; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// Interval of pings; a session ends at the first ping time at which no frame came for more
    /// than three times this long.
    pub ping_interval: Duration,
    /// Maximum number of open sessions that were dialled by other processes.
    pub max_sessions: usize,
    /// Limits on connections that haven't shown that they hold the fleet's key.
    pub strangers: IntakeLimits,
}

impl Default for NetSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            ping_interval: Duration::from_secs(4),
            max_sessions: 4_096,
            strangers: IntakeLimits::default(),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Direction {
    Dialled,
    Accepted,
}

type SessionKey = (InstanceId, Direction);

/// An open session in the table.
struct OpenSession {
    /// Distinguishes the session from a later one with the same key.
    serial: u64,
    sender: mpsc::Sender<Message>,
}

struct Shared {
    me: Identity,
    settings: NetSettings,
    table: Mutex<SessionTable>,
    /// Number of sessions whose tasks are running.
    running: AtomicUsize,
    /// Whether the process is shutting down and dials no more sessions.
    closing: AtomicBool,
    limits_met: Arc<LimitCounts>,
    /// When a session of a stranger was last reported as refused.
    refused_at: Mutex<Option<Instant>>,
    events: Box<dyn Fn(NetEvent) + Send + Sync>,
}

#[derive(Default)]
struct SessionTable {
    serial: u64,
    sessions: HashMap<SessionKey, OpenSession>,
    diallers: HashMap<InstanceId, JoinHandle<()>>,
}

/// All sessions of a process; their tasks run on a dedicated thread.
#[derive(Clone)]
pub struct Net {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
    addr: SocketAddr,
}

impl Net {
    /// Starts listening and the thread of the sessions. `events` is called on that thread,
    /// and by [`Net::send`] and [`Net::disconnect`] on the thread that calls them.
    ///
    /// # Errors
    /// Returns the error of the runtime, the listening socket or the thread.
    pub fn start(
        me: Identity,
        settings: NetSettings,
        events: impl Fn(NetEvent) + Send + Sync + 'static,
    ) -> std::io::Result<Net> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind(settings.listen))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            me,
            settings,
            table: Mutex::default(),
            running: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            limits_met: Arc::default(),
            refused_at: Mutex::new(None),
            events: Box::new(events),
        });
        let handle = runtime.handle().clone();
        let accepting = shared.clone();
        std::thread::Builder::new()
            .name("net".into())
            .spawn(move || runtime.block_on(accept_sessions(accepting, listener)))?;
        Ok(Net {
            shared,
            runtime: handle,
            addr,
        })
    }

    /// Listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How often clients met limits; other listeners of the process count there too.
    pub(crate) fn limits_met(&self) -> Arc<LimitCounts> {
        self.shared.limits_met.clone()
    }

    /// Queues a message for a peer; it is dropped if there is no session with it.
    ///
    /// If the queue is full, the session is closed.
    pub fn send(&self, to: &InstanceId, message: Message) {
        let mut table = lock_table(&self.shared);
        let dialled = (to.clone(), Direction::Dialled);
        let accepted = (to.clone(), Direction::Accepted);
        let key = if table.sessions.contains_key(&dialled) {
            dialled
        } else {
            accepted
        };
        let full = match table.sessions.get(&key) {
            Some(open) => open.sender.try_send(message).is_err(),
            None => false,
        };
        if full {
            // Dropping the sender ends the session, so that the loss of the message is seen.
            table.sessions.remove(&key);
            let gone = !has_session(&table, to);
            drop(table);
            if gone {
                (self.shared.events)(NetEvent::Disconnected(to.clone()));
            }
        }
    }

    /// Opens a session with a peer, and opens it again whenever it ends, until
    /// [`Net::disconnect`] or [`Net::shutdown`].
    pub fn dial(&self, to: &InstanceId, addr: SocketAddr) {
        let shared = self.shared.clone();
        let target = to.clone();
        let mut table = lock_table(&self.shared);
        if let Some(old) = table.diallers.remove(to) {
            old.abort();
        }
        let task = self.runtime.spawn(keep_session(shared, target, addr));
        table.diallers.insert(to.clone(), task);
    }

    /// Sends the queued messages and closes every session; waits at most `limit` for that.
    pub fn shutdown(&self, limit: Duration) {
        self.shared.closing.store(true, Ordering::SeqCst);
        // A session whose sender was dropped ends once its queue is sent.
        lock_table(&self.shared).sessions.clear();
        let start = Instant::now();
        while self.shared.running.load(Ordering::SeqCst) > 0 && start.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Closes the session with a peer that this process dialled, and stops dialling it.
    pub fn disconnect(&self, to: &InstanceId) {
        let mut table = lock_table(&self.shared);
        if let Some(task) = table.diallers.remove(to) {
            task.abort();
        }
        let removed = table.sessions.remove(&(to.clone(), Direction::Dialled));
        let gone = removed.is_some() && !has_session(&table, to);
        drop(table);
        if gone {
            (self.shared.events)(NetEvent::Disconnected(to.clone()));
        }
    }
}

fn lock_table(shared: &Shared) -> std::sync::MutexGuard<'_, SessionTable> {
    // A poisoned lock is ignored: a panic while it is held already means a broken invariant.
    shared.table.lock().unwrap_or_else(|e| e.into_inner())
}

fn has_session(table: &SessionTable, id: &InstanceId) -> bool {
    let has = |d| table.sessions.contains_key(&(id.clone(), d));
    has(Direction::Dialled) || has(Direction::Accepted)
}

async fn accept_sessions(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(shared.settings.max_sessions));
    let strangers = shared.settings.strangers;
    let gate = Gate::new("peers", strangers, shared.limits_met.clone());
    loop {
        let (stream, place) = gate.accept(&listener).await;
        let (shared, permits) = (shared.clone(), permits.clone());
        tokio::spawn(async move {
            let from = stream.peer_addr();
            if let Err(reason) = accept_session(&shared, stream, place, &permits).await {
                let from = from.map_or_else(|_| "unknown".to_string(), |a| a.to_string());
                notify_stranger_refused(&shared, from, reason);
            }
        });
    }
}

fn notify_refused(shared: &Shared, peer: String, reason: String) {
    (shared.events)(NetEvent::SessionRefused { peer, reason });
}

/// Reports a refused session that another process has dialled, unless one was reported just before.
fn notify_stranger_refused(shared: &Shared, peer: String, reason: String) {
    shared.limits_met.record("handshake", "peers");
    // Nothing panics while it is held.
    let mut refused_at = shared.refused_at.lock().unwrap_or_else(|e| e.into_inner());
    if refused_at.is_none_or(|at| at.elapsed() >= REFUSED_INTERVAL) {
        *refused_at = Some(Instant::now());
        drop(refused_at);
        notify_refused(shared, peer, reason);
    }
}

async fn accept_session(
    shared: &Arc<Shared>,
    stream: TcpStream,
    place: Place,
    permits: &Arc<Semaphore>,
) -> Result<(), String> {
    let accepted = tokio::select! {
        accepted = authenticate(shared, stream) => accepted,
        () = place.displaced() => Err("the connection gave way to another one".to_string()),
    };
    let (mut socket, peer, welcome) = accepted?;
    // A stranger takes no session.
    let _permit = permits
        .try_acquire()
        .map_err(|_| "too many sessions".to_string())?;
    drop(place);
    session::send_value(&mut socket, &welcome).await?;
    run_session(shared, socket, peer, Direction::Accepted).await;
    Ok(())
}

/// Opens a session up to its last frame, which is to be sent: the other process holds the fleet's key.
async fn authenticate(
    shared: &Shared,
    stream: TcpStream,
) -> Result<(Socket, Peer, Welcome), String> {
    let _ = stream.set_nodelay(true);
    let config = session::handshake_config();
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(config));
    let mut socket = tokio::time::timeout(session::HANDSHAKE_TIMEOUT, upgrade)
        .await
        .map_err(|_| "the handshake timed out".to_string())?
        .map_err(|e| e.to_string())?;
    let challenge = handshake::new_challenge();
    session::send_value(&mut socket, &challenge).await?;
    let hello: Hello = session::receive_value(&mut socket).await?;
    let (peer, welcome) =
        handshake::check_hello(&shared.me, &challenge, &hello).map_err(|e| e.to_string())?;
    Ok((session::allow_messages(socket).await, peer, welcome))
}

async fn keep_session(shared: Arc<Shared>, to: InstanceId, addr: SocketAddr) {
    let mut wait = REDIAL_WAITS[0];
    let mut last = String::new();
    while !shared.closing.load(Ordering::SeqCst) {
        match dial_session(&shared, &to, addr).await {
            Ok(()) => wait = REDIAL_WAITS[0],
            Err(reason) => {
                if reason != last {
                    notify_refused(&shared, to.to_string(), reason.clone());
                    last = reason;
                }
                wait = (wait * 2).min(REDIAL_WAITS[1]);
            }
        }
        let jitter = Duration::from_millis(fastrand::u64(0..50));
        tokio::time::sleep(wait + jitter).await;
    }
}

async fn dial_session(
    shared: &Arc<Shared>,
    to: &InstanceId,
    addr: SocketAddr,
) -> Result<(), String> {
    let connect = tokio::time::timeout(session::HANDSHAKE_TIMEOUT, TcpStream::connect(addr));
    let stream = connect
        .await
        .map_err(|_| "the connection timed out".to_string())?
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{addr}/");
    let upgrade =
        tokio_tungstenite::client_async_with_config(url, stream, Some(session::websocket_config()));
    let (mut socket, _) = tokio::time::timeout(session::HANDSHAKE_TIMEOUT, upgrade)
        .await
        .map_err(|_| "the handshake timed out".to_string())?
        .map_err(|e| e.to_string())?;
    let challenge: Challenge = session::receive_value(&mut socket).await?;
    handshake::check_version(challenge.version).map_err(|e| e.to_string())?;
    let hello = handshake::build_hello(&shared.me, to, &challenge);
    session::send_value(&mut socket, &hello).await?;
    let welcome: Welcome = session::receive_value(&mut socket).await?;
    let peer = handshake::check_welcome(&shared.me, to, &challenge, &hello, &welcome)
        .map_err(|e| e.to_string())?;
    run_session(shared, socket, peer, Direction::Dialled).await;
    Ok(())
}

/// Removes the session from the table when its task ends or is aborted.
struct SessionGuard<'a> {
    shared: &'a Shared,
    key: SessionKey,
    serial: u64,
}

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        let mut table = lock_table(self.shared);
        let is_current = table
            .sessions
            .get(&self.key)
            .is_some_and(|o| o.serial == self.serial);
        if !is_current {
            return;
        }
        table.sessions.remove(&self.key);
        let gone = !has_session(&table, &self.key.0);
        drop(table);
        if gone {
            (self.shared.events)(NetEvent::Disconnected(self.key.0.clone()));
        }
    }
}

async fn run_session(shared: &Arc<Shared>, socket: Socket, peer: Peer, direction: Direction) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED);
    let key = (peer.id.clone(), direction);
    let serial = {
        let mut table = lock_table(shared);
        table.serial += 1;
        let serial = table.serial;
        table
            .sessions
            .insert(key.clone(), OpenSession { serial, sender });
        serial
    };
    shared.running.fetch_add(1, Ordering::SeqCst);
    let _guard = SessionGuard {
        shared,
        key,
        serial,
    };
    (shared.events)(NetEvent::Connected(peer.clone()));
    let from = peer.clone();
    session::run(socket, receiver, shared.settings.ping_interval, |message| {
        (shared.events)(NetEvent::Message {
            from: from.clone(),
            message,
        });
    })
    .await;
}
