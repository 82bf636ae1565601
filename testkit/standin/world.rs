use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::Value;

use super::replica::{Replica, Seat};
use super::replica_calls::STALL;

/// What the platform knows and what its replicas have done.
#[derive(Default)]
pub struct World {
    /// How often the store has come back from a copy.
    pub(super) era: u64,
    pub(super) revision: i64,
    pub(super) items: BTreeMap<String, (String, i64, i64)>,
    pub(super) log: Vec<(i64, String, Option<String>)>,
    pub(super) leases: HashMap<i64, (Instant, Duration)>,
    /// Whether the store turns all calls away.
    pub store_down: bool,
    pub(super) replicas: BTreeMap<String, Replica>,
    /// Runs by attempt, of requests that may not be repeated.
    pub once: HashMap<String, u32>,
    /// Runs by attempt, of all requests.
    pub ran: HashMap<String, u32>,
    /// When a request with the fatal body began to run.
    pub fatal: Vec<Instant>,
    /// What must not happen and did.
    pub broken: Vec<String>,
}

/// What a store holds, kept to come back to.
pub struct Copy {
    pub(super) revision: i64,
    pub(super) items: BTreeMap<String, (String, i64, i64)>,
    pub(super) log: Vec<(i64, String, Option<String>)>,
    pub(super) leases: HashMap<i64, (Instant, Duration)>,
}

impl World {
    /// Puts a configuration in force.
    pub fn configure(&mut self, text: &str) {
        self.put("op/config", text);
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> Copy {
        Copy {
            revision: self.revision,
            items: self.items.clone(),
            log: self.log.clone(),
            leases: self.leases.clone(),
        }
    }

    /// The store comes back as it was: what was written since is gone, and its revisions are
    /// given out again.
    pub fn restore(&mut self, copy: Copy) {
        self.era += 1;
        self.revision = copy.revision;
        self.items = copy.items;
        self.log = copy.log;
        self.leases = copy.leases;
    }

    /// A replica that writes no entry of its own any more, but works on.
    pub fn silence(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.silent = true;
        }
    }

    /// Another writer's value under a key.
    pub fn configure_key(&mut self, key: &str, value: &str) {
        self.put(key, value);
    }

    /// A replica names a limit in its answers from now on, or none any more.
    pub fn limit(&mut self, id: &str, limit: Option<f64>) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.limit = limit;
        }
    }

    /// Whether a replica names a limit.
    pub fn limited(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| r.limit.is_some())
    }

    /// Requests that have arrived at a replica since a time, and when.
    pub fn arrivals(&self, id: &str, since: Instant) -> Vec<Instant> {
        let all = self.replicas.get(id).map_or(&[][..], |r| &r.arrivals);
        all.iter().copied().filter(|at| *at >= since).collect()
    }

    /// Writes of others that only make the revision rise.
    pub fn write_unrelated(&mut self, count: usize) {
        for n in 0..count {
            self.put("other/key", &n.to_string());
        }
    }

    /// Ends a replica for good, without a word.
    pub(super) fn kill(&mut self, id: &str) {
        let runtime = self.replicas.get_mut(id).and_then(|r| {
            r.alive = false;
            r.runtime.take()
        });
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }

    pub(super) fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let old = self.items.get(key).map_or(0, |i| i.2);
        self.items
            .insert(key.to_string(), (value.to_string(), self.revision, old));
        self.log
            .push((self.revision, key.to_string(), Some(value.to_string())));
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_string(), None));
        }
    }

    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| now >= l.0)
            .map(|(n, _)| *n)
            .collect();
        for lease in over {
            self.end(lease);
        }
    }

    pub(super) fn end(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, i)| i.2 == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Brings the list up to date.
    pub(super) fn list(&mut self) {
        let entries: Vec<_> = self
            .replicas
            .iter()
            .filter(|(_, r)| !r.silent)
            .map(|(id, r)| (format!("servers/{id}"), r.alive.then(|| r.entry())))
            .collect();
        for (key, entry) in entries {
            let known = self.items.get(&key).map(|i| i.0.clone());
            match entry {
                Some(entry) if known.as_ref() != Some(&entry) => self.put(&key, &entry),
                None => self.remove(&key),
                Some(_) => {}
            }
        }
    }

    /// Whether a replica heads an open group.
    pub(super) fn heads(&self, id: &str) -> bool {
        let seat = self.replicas.get(id).and_then(|r| r.seat.as_ref());
        seat.is_some_and(|s| s.rank == 0 && s.state() == "open")
    }

    /// Whether a member stands in a seat's group.
    pub(super) fn holds(&self, member: &str, seat: &Seat) -> bool {
        let there = self.replicas.get(member).filter(|r| r.alive);
        let other = there.and_then(|r| r.seat.as_ref());
        other.is_some_and(|s| {
            s.group == seat.group && s.epoch == seat.epoch && s.state() != "joining"
        })
    }

    pub(super) fn order(&mut self, id: &str, body: &Value) -> StatusCode {
        let text = |name: &str| body[name].as_str().unwrap_or("").to_string();
        let (what, group, epoch) = (
            text("Operation"),
            text("group"),
            body["epoch"].as_u64().unwrap_or(0),
        );
        let fence = body["Fence"].as_u64().unwrap_or(0);
        if what == "join" {
            self.audit_join(id, &group);
        }
        let Some(replica) = self.replicas.get_mut(id) else {
            return StatusCode::MISDIRECTED_REQUEST;
        };
        if fence < replica.fence || (what == "join" && epoch < replica.epoch) {
            return StatusCode::PRECONDITION_FAILED;
        }
        replica.fence = fence;
        replica.order(&what, group, epoch, body)
    }

    /// Rule TWO: nobody joins another group while the head of its own is open.
    pub(super) fn audit_join(&mut self, id: &str, group: &str) {
        let Some(seat) = self.replicas.get(id).and_then(|r| r.seat.clone()) else {
            return;
        };
        let Some(head) = self.replicas.get(&seat.members[0]).filter(|h| h.alive) else {
            return;
        };
        let own = head.seat.as_ref().filter(|s| s.group == seat.group);
        let stalls = head.stalled.is_none_or(|at| at.elapsed() < STALL);
        if seat.group != group && stalls && own.is_some_and(|s| s.state() == "open") {
            let told = format!("TWO: {id} joins {group} while {} is open", seat.group);
            self.broken.push(told);
        }
    }
}
