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
use crate::logic::Peer;
use crate::message::Message;
use crate::types::InstanceId;

/// Messages that may wait on one session; one more ends it.
const QUEUE: usize = 4_096;
/// Wait before a session is dialled again: the first and the longest.
const REDIAL: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// How sessions are opened and watched.
#[derive(Clone, Debug)]
pub struct NetSettings {
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// Time without a frame after which a ping goes out.
    pub idle: Duration,
    /// Most sessions that others may open.
    pub sessions: usize,
}

impl Default for NetSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            idle: Duration::from_secs(4),
            sessions: 4_096,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Direction {
    Dialled,
    Accepted,
}

type SessionKey = (InstanceId, Direction);

/// An open session as the table holds it.
struct Open {
    serial: u64,
    sender: mpsc::Sender<Message>,
}

struct Shared {
    me: Identity,
    settings: NetSettings,
    open: Mutex<Table>,
    /// Sessions whose tasks run.
    running: AtomicUsize,
    /// Whether nothing is dialled any more.
    closing: AtomicBool,
    events: Box<dyn Fn(NetEvent) + Send + Sync>,
}

#[derive(Default)]
struct Table {
    serial: u64,
    sessions: HashMap<SessionKey, Open>,
    diallers: HashMap<InstanceId, JoinHandle<()>>,
}

/// All sessions of a process. Its tasks run on a thread of their own.
#[derive(Clone)]
pub struct Net {
    shared: Arc<Shared>,
    runtime: tokio::runtime::Handle,
    addr: SocketAddr,
}

impl Net {
    /// Listens and starts the thread; `events` is called on it.
    ///
    /// # Errors
    /// Returns the error of the listening socket.
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
            open: Mutex::default(),
            running: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            events: Box::new(events),
        });
        let handle = runtime.handle().clone();
        let accepting = shared.clone();
        std::thread::Builder::new()
            .name("net".into())
            .spawn(move || runtime.block_on(accept_all(accepting, listener)))?;
        Ok(Net {
            shared,
            runtime: handle,
            addr,
        })
    }

    /// Address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a message; it is dropped where there is no session.
    pub fn send(&self, to: &InstanceId, message: Message) {
        let mut table = lock(&self.shared);
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
            // Dropping the sender ends the session, so that nothing is lost unseen.
            table.sessions.remove(&key);
            let gone = !has_session(&table, to);
            drop(table);
            if gone {
                (self.shared.events)(NetEvent::Down(to.clone()));
            }
        }
    }

    /// Keeps a session with a peer open until [`Net::hangup`].
    pub fn dial(&self, to: &InstanceId, addr: SocketAddr) {
        let shared = self.shared.clone();
        let target = to.clone();
        let mut table = lock(&self.shared);
        if let Some(old) = table.diallers.remove(to) {
            old.abort();
        }
        let task = self.runtime.spawn(dial_forever(shared, target, addr));
        table.diallers.insert(to.clone(), task);
    }

    /// Sends what waits, closes every session, and waits for that a bounded time.
    pub fn finish(&self, limit: Duration) {
        self.shared.closing.store(true, Ordering::SeqCst);
        // A session whose sender is gone ends once its queue is sent.
        lock(&self.shared).sessions.clear();
        let start = Instant::now();
        while self.shared.running.load(Ordering::SeqCst) > 0 && start.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Closes the session that was dialled and stops dialling.
    pub fn hangup(&self, to: &InstanceId) {
        let mut table = lock(&self.shared);
        if let Some(task) = table.diallers.remove(to) {
            task.abort();
        }
        let removed = table.sessions.remove(&(to.clone(), Direction::Dialled));
        let gone = removed.is_some() && !has_session(&table, to);
        drop(table);
        if gone {
            (self.shared.events)(NetEvent::Down(to.clone()));
        }
    }
}

fn lock(shared: &Shared) -> std::sync::MutexGuard<'_, Table> {
    // A panic while the table is held would be a broken invariant already.
    shared.open.lock().unwrap_or_else(|e| e.into_inner())
}

fn has_session(table: &Table, id: &InstanceId) -> bool {
    let held = |d| table.sessions.contains_key(&(id.clone(), d));
    held(Direction::Dialled) || held(Direction::Accepted)
}

async fn accept_all(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(shared.settings.sessions));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(REDIAL[0]).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            refused(&shared, from.to_string(), "too many sessions".into());
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            if let Err(why) = accept_one(&shared, stream).await {
                refused(&shared, from.to_string(), why);
            }
            drop(permit);
        });
    }
}

fn refused(shared: &Shared, peer: String, why: String) {
    (shared.events)(NetEvent::Refused { peer, why });
}

async fn accept_one(shared: &Arc<Shared>, stream: TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(session::config()));
    let mut socket = tokio::time::timeout(session::HANDSHAKE_TIME, upgrade)
        .await
        .map_err(|_| "no handshake in time".to_string())?
        .map_err(|e| e.to_string())?;
    let challenge = handshake::challenge();
    session::put(&mut socket, &challenge).await?;
    let hello: Hello = session::get(&mut socket).await?;
    let (peer, welcome) =
        handshake::accept(&shared.me, &challenge, &hello).map_err(|e| e.to_string())?;
    session::put(&mut socket, &welcome).await?;
    run(shared, socket, peer, Direction::Accepted).await;
    Ok(())
}

async fn dial_forever(shared: Arc<Shared>, to: InstanceId, addr: SocketAddr) {
    let mut wait = REDIAL[0];
    let mut last = String::new();
    while !shared.closing.load(Ordering::SeqCst) {
        match dial_one(&shared, &to, addr).await {
            Ok(()) => wait = REDIAL[0],
            Err(why) => {
                if why != last {
                    refused(&shared, to.to_string(), why.clone());
                    last = why;
                }
                wait = (wait * 2).min(REDIAL[1]);
            }
        }
        let jitter = Duration::from_millis(fastrand::u64(0..50));
        tokio::time::sleep(wait + jitter).await;
    }
}

async fn dial_one(shared: &Arc<Shared>, to: &InstanceId, addr: SocketAddr) -> Result<(), String> {
    let connect = tokio::time::timeout(session::HANDSHAKE_TIME, TcpStream::connect(addr));
    let stream = connect
        .await
        .map_err(|_| "no connection in time".to_string())?
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{addr}/");
    let upgrade = tokio_tungstenite::client_async_with_config(url, stream, Some(session::config()));
    let (mut socket, _) = tokio::time::timeout(session::HANDSHAKE_TIME, upgrade)
        .await
        .map_err(|_| "no handshake in time".to_string())?
        .map_err(|e| e.to_string())?;
    let challenge: Challenge = session::get(&mut socket).await?;
    handshake::check_version(challenge.version).map_err(|e| e.to_string())?;
    let hello = handshake::hello(&shared.me, to, &challenge);
    session::put(&mut socket, &hello).await?;
    let welcome: Welcome = session::get(&mut socket).await?;
    let peer = handshake::welcomed(&shared.me, to, &challenge, &hello, &welcome)
        .map_err(|e| e.to_string())?;
    run(shared, socket, peer, Direction::Dialled).await;
    Ok(())
}

/// Takes the session out of the table when its task ends or is aborted.
struct Registered<'a> {
    shared: &'a Shared,
    key: SessionKey,
    serial: u64,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
        let mut table = lock(self.shared);
        let own = table
            .sessions
            .get(&self.key)
            .is_some_and(|o| o.serial == self.serial);
        if !own {
            return;
        }
        table.sessions.remove(&self.key);
        let gone = !has_session(&table, &self.key.0);
        drop(table);
        if gone {
            (self.shared.events)(NetEvent::Down(self.key.0.clone()));
        }
    }
}

async fn run(shared: &Arc<Shared>, socket: Socket, peer: Peer, direction: Direction) {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let key = (peer.id.clone(), direction);
    let serial = {
        let mut table = lock(shared);
        table.serial += 1;
        let serial = table.serial;
        table.sessions.insert(key.clone(), Open { serial, sender });
        serial
    };
    shared.running.fetch_add(1, Ordering::SeqCst);
    let _registered = Registered {
        shared,
        key,
        serial,
    };
    (shared.events)(NetEvent::Up(peer.clone()));
    let from = peer.clone();
    session::carry(socket, receiver, shared.settings.idle, |message| {
        (shared.events)(NetEvent::Message {
            from: from.clone(),
            message,
        });
    })
    .await;
}
