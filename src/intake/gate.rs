use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{LimitCounts, Place};
use crate::logic::intake::{Admission, IntakeLimits, IntakeState, Room};
use crate::types::Millis;

/// Pause after a connection couldn't be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Admits the connections of one listener and the bytes of their requests.
#[derive(Clone)]
pub(crate) struct Gate {
    shared: Arc<Shared>,
}

struct Shared {
    listener: &'static str,
    begin: Instant,
    counts: Arc<LimitCounts>,
    state: Mutex<GateState>,
}

struct GateState {
    intake: IntakeState,
    /// Tells each connection that it has been displaced.
    signals: HashMap<u64, watch::Sender<bool>>,
}

impl Gate {
    /// A gate for a listener; `counts` are told when a limit is met.
    pub fn new(listener: &'static str, limits: IntakeLimits, counts: Arc<LimitCounts>) -> Self {
        let state = GateState {
            intake: IntakeState::new(limits),
            signals: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                listener,
                begin: Instant::now(),
                counts,
                state: Mutex::new(state),
            }),
        }
    }

    /// Accepts the next connection that finds a place.
    pub async fn accept(&self, listener: &TcpListener) -> (TcpStream, Place) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(place) = self.admit().await {
                        return (stream, place);
                    }
                }
                Err(_) => {
                    self.count("accept");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits for the place of a new connection; none if it is to be closed.
    async fn admit(&self) -> Option<Place> {
        loop {
            let admission = self.lock().intake.admit(self.now());
            match admission {
                Admission::Taken { id, displaced } => {
                    let (sender, receiver) = watch::channel(false);
                    self.displace("connections", displaced);
                    self.lock().signals.insert(id, sender);
                    return Some(Place::new(self.clone(), id, receiver));
                }
                Admission::Wait(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Admission::Full => {
                    self.count("connections");
                    return None;
                }
            }
        }
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.lock().intake.connections()
    }

    /// Memory that requests take, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.lock().intake.used_bytes()
    }

    /// Takes memory for more bytes of a request; false if there is none.
    pub(super) fn take(&self, id: u64, more: usize) -> bool {
        let room = self.lock().intake.take(id, more, self.now());
        match room {
            Room::Taken(displaced) => {
                self.displace("request_bytes", displaced);
                true
            }
            Room::Full => {
                self.count("request_bytes");
                false
            }
        }
    }

    /// Counts that a limit was met.
    pub(super) fn count(&self, limit: &'static str) {
        self.shared.counts.record(limit, self.shared.listener);
    }

    /// Changes the state at the present time.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut IntakeState, Millis) -> T) -> T {
        let now = self.now();
        change(&mut self.lock().intake, now)
    }

    pub(super) fn close(&self, id: u64) {
        let mut state = self.lock();
        state.signals.remove(&id);
        state.intake.close(id);
    }

    fn displace(&self, limit: &'static str, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            let signal = self.lock().signals.remove(&id);
            if let Some(signal) = signal {
                // The connection may have ended meanwhile.
                let _ = signal.send(true);
            }
            self.count(limit);
        }
    }

    fn now(&self) -> Millis {
        self.shared.begin.elapsed().as_millis() as Millis
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        // Nothing panics while it is held.
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
