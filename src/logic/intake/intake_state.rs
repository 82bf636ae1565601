use std::collections::{BTreeMap, BTreeSet};

use super::{Admission, IntakeLimits, Room};
use crate::types::Millis;

/// Multiple of the hold time after which a request that still comes in gives way, however steadily it does: a
/// client may send a byte now and then.
const SLOW_FACTOR: Millis = 10;

/// Most connections that are looked at for one that can give way.
const MAX_CANDIDATES: usize = 64;

/// The connections of a listener and the memory that their requests take.
#[derive(Clone, Debug)]
pub struct IntakeState {
    limits: IntakeLimits,
    connections: BTreeMap<u64, Connection>,
    /// Connections without a complete request, by the time since which they have none.
    waiting: BTreeSet<(Millis, u64)>,
    /// Those of them whose requests take memory.
    holders: BTreeSet<(Millis, u64)>,
    used_bytes: usize,
    last_id: u64,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Time since which no complete request has been read; none while one is answered.
    since: Option<Millis>,
    /// Time of the last bytes of the request that comes in.
    progress: Millis,
    /// Bytes of that request, and those of them that count.
    bytes: usize,
    counted: usize,
}

impl IntakeState {
    /// A listener without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            waiting: BTreeSet::new(),
            holders: BTreeSet::new(),
            used_bytes: 0,
            last_id: 0,
        }
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Memory that requests take, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Decides about a new connection. At the limit, the one that has been without a complete request for
    /// longest is closed in its favour, if that is at least the hold time.
    pub fn admit(&mut self, now: Millis) -> Admission {
        let mut displaced = None;
        if self.connections.len() >= self.limits.connections {
            let Some(&(since, oldest)) = self.waiting.first() else {
                return Admission::Full;
            };
            let held = now.saturating_sub(since);
            if held < self.limits.hold_ms {
                return Admission::Wait(self.limits.hold_ms - held);
            }
            self.close(oldest);
            displaced = Some(oldest);
        }
        self.last_id += 1;
        let connection = Connection {
            since: Some(now),
            progress: now,
            bytes: 0,
            counted: 0,
        };
        self.connections.insert(self.last_id, connection);
        self.waiting.insert((now, self.last_id));
        Admission::Taken {
            id: self.last_id,
            displaced,
        }
    }

    /// The head of a request was read: its body comes in from now on.
    pub fn begin_request(&mut self, id: u64, now: Millis) {
        self.wait_since(id, now);
    }

    /// Takes memory for `more` bytes of the request that comes in. If there isn't enough, requests that send
    /// nothing are given up in its favour, the oldest first.
    pub fn take(&mut self, id: u64, more: usize, now: Millis) -> Room {
        let Some(connection) = self.connections.get(&id).copied() else {
            return Room::Full;
        };
        let bytes = connection.bytes + more;
        let counted = bytes.saturating_sub(self.limits.free_bytes);
        let needed = counted - connection.counted;
        let Some(displaced) = self.find_displaced(id, needed, now) else {
            return Room::Full;
        };
        for holder in &displaced {
            self.close(*holder);
        }
        self.used_bytes += needed;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.bytes = bytes;
            connection.counted = counted;
            connection.progress = now;
            if let Some(since) = connection.since.filter(|_| counted > 0) {
                self.holders.insert((since, id));
            }
        }
        Room::Taken(displaced)
    }

    /// The requests to give up so that there are `needed` more bytes; none if that isn't possible.
    fn find_displaced(&self, id: u64, needed: usize, now: Millis) -> Option<Vec<u64>> {
        let mut free = self.limits.request_bytes.saturating_sub(self.used_bytes);
        let mut displaced = Vec::new();
        let mut holders = self.holders.iter().take(MAX_CANDIDATES);
        while free < needed {
            let (since, holder) = holders.next()?;
            let connection = self.connections.get(holder)?;
            let stalled = now.saturating_sub(connection.progress) >= self.limits.hold_ms;
            let slow = now.saturating_sub(*since) >= SLOW_FACTOR * self.limits.hold_ms;
            if *holder != id && (stalled || slow) {
                free += connection.counted;
                displaced.push(*holder);
            }
        }
        Some(displaced)
    }

    /// The request has been read. The connection no longer gives way until [`IntakeState::answered`]; the
    /// memory, whose bytes are returned, is in use until [`IntakeState::release`].
    pub fn complete(&mut self, id: u64) -> usize {
        let Some(connection) = self.connections.get_mut(&id) else {
            return 0;
        };
        if let Some(since) = connection.since.take() {
            self.waiting.remove(&(since, id));
            self.holders.remove(&(since, id));
        }
        connection.bytes = 0;
        std::mem::take(&mut connection.counted)
    }

    /// The request was answered: the connection waits for the next one.
    pub fn answered(&mut self, id: u64, now: Millis) {
        self.wait_since(id, now);
    }

    /// Gives back memory of a request that was complete.
    pub fn release(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }

    /// A connection has ended; one that gave way has been removed already.
    pub fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(since) = connection.since {
            self.waiting.remove(&(since, id));
            self.holders.remove(&(since, id));
        }
        self.release(connection.counted);
    }

    fn wait_since(&mut self, id: u64, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(since) = connection.since.replace(now) {
            self.waiting.remove(&(since, id));
            self.holders.remove(&(since, id));
        }
        let counted = std::mem::take(&mut connection.counted);
        connection.bytes = 0;
        connection.progress = now;
        self.waiting.insert((now, id));
        self.release(counted);
    }
}
