use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode};
use serde_json::Value;

use super::cut::Cut;
use super::replica::{Arrival, Replica, Seat, HEARTBEAT_MS};
use super::serve::ConnectionNumber;

/// State of the stand-in platform: its store, its replicas, and the audit of what they did.
#[derive(Default)]
pub struct World {
    /// How often the store was restored from a backup.
    pub(super) era: u64,
    pub(super) revision: i64,
    /// By key: value, revision and lease (0 for none).
    pub(super) items: BTreeMap<String, (String, i64, i64)>,
    /// Every change after `history_from`: revision, key, and value unless the key was removed.
    pub(super) history: Vec<(i64, String, Option<String>)>,
    /// Revision up to which the changes are forgotten.
    pub(super) history_from: i64,
    /// By lease: its end and its time to live.
    pub(super) leases: HashMap<i64, (Instant, Duration)>,
    /// Whether the store answers every new call with 503.
    pub store_down: bool,
    /// Whether the store carries out every third write without an answer.
    pub loses_answers: bool,
    /// Delay with which the store carries out writes, without an answer.
    pub write_delay: Option<Duration>,
    /// Router whose renewals of leases the store carries out at once but answers late, and by how much.
    pub late_renewals: Option<(String, Duration)>,
    /// Time by which entries of the endpoint list are late.
    pub entry_delay: Duration,
    /// Entries that are late: when they are written, the key, and the entry unless it is removed.
    pub(super) late_entries: VecDeque<(Instant, String, Option<String>)>,
    /// Whether the entry of a replica that is frozen lapses after three heartbeats.
    pub lapses: bool,
    /// Whether orders that reach a frozen replica are carried out afterwards even if their callers have
    /// given up; otherwise these are lost.
    pub keeps_orders: bool,
    /// Number of fabric domains of the engines.
    pub(super) domains: usize,
    /// Number of writes since the last one whose answer may be lost.
    pub(super) writes: u64,
    pub(super) replicas: BTreeMap<String, Replica>,
    /// Answers of replicas that repeat them, by the connection on which each comes once more.
    pub(super) surplus: HashMap<ConnectionNumber, (StatusCode, HeaderMap)>,
    /// Connections on which replicas got something.
    pub(super) used: HashSet<ConnectionNumber>,
    /// Number of orders that came on a connection of their own, and of those that didn't.
    pub orders: (u32, u32),
    /// Number of answers that were given once more.
    pub repeated: u32,
    /// Bytes by which the answers of the plain service are longer.
    pub padding: usize,
    /// Whether answers to requests have neither a length nor chunks, and end with their connections.
    pub unframed: bool,
    /// Streams that are cut, the next one last.
    pub cuts: Vec<Cut>,
    /// Number of runs by attempt id, of requests that may not be repeated.
    pub once: HashMap<String, u32>,
    /// Number of runs by attempt id, of all requests.
    pub ran: HashMap<String, u32>,
    /// Times at which a run of a request with the fatal body began.
    pub fatal: Vec<Instant>,
    /// Prefix of attempt ids: the replica that runs the next such request crashes, by chance.
    pub crash_under: Option<&'static str>,
    /// Times at which a run of a request with the fatal segment began.
    pub fatal_segment: Vec<Instant>,
    /// Violations that the audit has found.
    pub broken: Vec<String>,
}

/// A backup of the store, for [`World::restore`].
pub struct Backup {
    pub(super) revision: i64,
    /// By key: value, revision and lease (0 for none).
    pub(super) items: BTreeMap<String, (String, i64, i64)>,
    /// Every change: revision, key, and value unless the key was removed.
    pub(super) history: Vec<(i64, String, Option<String>)>,
    pub(super) history_from: i64,
    pub(super) leases: HashMap<i64, (Instant, Duration)>,
}

impl World {
    /// Writes the configuration document.
    pub fn configure(&mut self, text: &str) {
        self.put("op/config", text);
    }

    /// Makes a backup of the store.
    pub fn backup(&self) -> Backup {
        Backup {
            revision: self.revision,
            items: self.items.clone(),
            history: self.history.clone(),
            history_from: self.history_from,
            leases: self.leases.clone(),
        }
    }

    /// Restores the store from a backup: later writes are lost, their revisions are given out
    /// again, and the era goes up by one.
    pub fn restore(&mut self, backup: Backup) {
        self.era += 1;
        self.revision = backup.revision;
        self.items = backup.items;
        self.history = backup.history;
        self.history_from = backup.history_from;
        self.leases = backup.leases;
    }

    /// Makes the store forget all changes so far: watches from earlier revisions get 410.
    pub fn forget_history(&mut self) {
        self.history.clear();
        self.history_from = self.revision;
    }

    /// Makes a replica stop updating its entry of the endpoint list; it goes on serving.
    pub fn silence(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.silent = true;
        }
    }

    /// Makes a replica's entry of the endpoint list name another address, at which a relay listens.
    pub fn list_at(&mut self, id: &str, addr: SocketAddr) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.listed_addr = Some(addr);
        }
    }

    /// Address at which a replica listens.
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        self.replicas.get(id).map(|r| r.addr)
    }

    /// Writes a value under a key, as another writer would.
    pub fn configure_key(&mut self, key: &str, value: &str) {
        self.put(key, value);
    }

    /// The entry that a replica writes of itself.
    pub fn own_entry(&self, id: &str) -> Option<String> {
        self.replicas.get(id).map(Replica::entry)
    }

    /// Removes a key, as another writer would.
    pub fn remove_key(&mut self, key: &str) {
        self.remove(key);
    }

    /// Sets how many requests each replica takes at a time, by its entry of the endpoint list.
    pub fn set_slots(&mut self, slots: u32) {
        self.replicas.values_mut().for_each(|r| r.slots = slots);
    }

    /// Sets the rate limit, in requests a second, that a replica names in its answers; `None` for
    /// no limit.
    pub fn limit(&mut self, id: &str, limit: Option<f64>) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.limit = limit;
        }
    }

    /// Whether a replica names a rate limit in its answers.
    pub fn has_limit(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| r.limit.is_some())
    }

    /// Makes a replica turn all requests away and ask their routers to send nothing for a time;
    /// `None` ends that.
    pub fn hold_off(&mut self, id: &str, time: Option<Duration>) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.hold_off = time;
        }
    }

    /// Whether a replica turns all requests away.
    pub fn is_holding_off(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| r.hold_off.is_some())
    }

    /// Makes a replica say in all its answers that it is leaving.
    pub fn leave(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.leaving = true;
        }
    }

    /// Forgets what a replica would have asked for in its answer to an attempt, as the router has got
    /// another answer in its place.
    pub(super) fn forget_notices(&mut self, id: &str, attempt: &str) {
        let arrivals = self.replicas.get_mut(id).map(|r| r.arrivals.iter_mut());
        let mut latest = arrivals.into_iter().flatten().rev();
        if let Some(arrival) = latest.find(|a| a.attempt == attempt) {
            arrival.hold_off = None;
            arrival.leaving = false;
        }
    }

    /// Makes a replica refuse its next requests, as it has no room.
    pub fn refuse(&mut self, id: &str, count: u32) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.refusals = count;
        }
    }

    /// Makes a replica give each answer without a body once more, in place of the next answer that is
    /// due on the connection, or ends that.
    pub fn repeat_answers(&mut self, id: &str, repeats: bool) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.repeats = repeats;
        }
    }

    /// Cuts a replica off from all routers, or ends that: it gets and sends nothing.
    pub fn set_cut(&mut self, id: &str, cut: bool) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.cut = cut;
        }
    }

    /// Whether a replica is cut off from all routers.
    pub(super) fn is_cut(&self, id: &str) -> bool {
        self.replicas.get(id).is_some_and(|r| r.cut)
    }

    /// Freezes a replica, as a process that is stopped, or lets it go on: while it is frozen it answers
    /// and carries out nothing, writes no entry, and its timers stand still. Calls whose callers still
    /// wait are carried out afterwards.
    pub fn set_frozen(&mut self, id: &str, frozen: bool) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.set_frozen(frozen);
        }
    }

    /// Whether a replica is frozen.
    pub fn is_frozen(&self, id: &str) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|r| r.frozen_since.is_some())
    }

    /// The fabric domain with the fewest engines that run.
    pub(super) fn smallest_domain(&self) -> String {
        let names = (1..=self.domains).map(|n| format!("d{n}"));
        let count = |name: &String| {
            let engines = self.replicas.values();
            let engines = engines.filter(|r| r.alive && r.service == "pool");
            engines.filter(|r| r.domain == *name).count()
        };
        names.min_by_key(count).unwrap_or_default()
    }

    /// Whether a key that a router has written depends on a lease.
    pub(super) fn is_lease_of(&self, lease: i64, router: &str) -> bool {
        let own = format!("runrail/router/{router}");
        let mut keys = self.items.iter().filter(|(_, item)| item.2 == lease);
        keys.any(|(key, item)| *key == own || item.0 == router)
    }

    /// Time by which the answer to a call is late, as the call renews a lease.
    pub(super) fn renewal_delay(&self, path: &str) -> Duration {
        let Some((router, delay)) = &self.late_renewals else {
            return Duration::ZERO;
        };
        let lease = path
            .split_once("kv-keep/")
            .and_then(|(_, n)| n.parse().ok());
        match lease.is_some_and(|lease| self.is_lease_of(lease, router)) {
            true => *delay,
            false => Duration::ZERO,
        }
    }

    /// Router that holds the planner lease.
    pub fn planner(&self) -> Option<String> {
        let holder = self.items.get("runrail/planner/fleet");
        holder.map(|item| item.0.clone())
    }

    /// Whether the endpoint list has an entry of a replica.
    pub fn is_listed(&self, id: &str) -> bool {
        self.items.contains_key(&format!("servers/{id}"))
    }

    /// State of a replica's seat in a group, with the name of the group.
    pub fn seat(&self, id: &str) -> Option<(String, &'static str)> {
        let replica = self.replicas.get(id)?;
        Some((replica.seat.as_ref()?.group.clone(), replica.seat_state()?))
    }

    /// Makes a replica's answers have a further header.
    pub fn add_header(&mut self, id: &str, name: &'static str, value: &'static str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.header = Some((name, value));
        }
    }

    /// Times at which requests arrived at a replica since a time.
    pub fn arrivals(&self, id: &str, since: Instant) -> Vec<Instant> {
        let times = self.requests(id).iter().map(|a| a.at);
        times.filter(|at| *at >= since).collect()
    }

    /// All requests that arrived at a replica, in the order of their arrival.
    pub fn requests(&self, id: &str) -> &[Arrival] {
        self.replicas.get(id).map_or(&[], |r| &r.arrivals)
    }

    /// All requests that arrived at replicas, each with the replica's id.
    pub fn all_requests(&self) -> impl Iterator<Item = (&str, &Arrival)> {
        let replicas = self.replicas.iter();
        replicas.flat_map(|(id, r)| r.arrivals.iter().map(move |a| (id.as_str(), a)))
    }

    /// Writes an unrelated key `count` times, which only raises the revision.
    pub fn write_unrelated(&mut self, count: usize) {
        for n in 0..count {
            self.put("other/key", &n.to_string());
        }
    }

    /// Kills a replica: its open connections are dropped, and its entry is removed when the list is
    /// next updated, unless it is silent.
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
        self.history
            .push((self.revision, key.to_string(), Some(value.to_string())));
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    /// Ends the leases whose time is over.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| now >= l.0)
            .map(|(n, _)| *n)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends a lease and removes its keys.
    pub(super) fn end_lease(&mut self, lease: i64) {
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

    /// Updates the entries of all replicas that aren't silent in the endpoint list, and removes
    /// those of replicas that have ended.
    pub(super) fn update_list(&mut self) {
        self.update_heads();
        let entries: Vec<_> = self
            .replicas
            .iter()
            .filter(|(_, r)| !r.silent && (!r.alive || !self.keeps_entry(r)))
            .map(|(id, r)| {
                let writes = r.alive && r.frozen_since.is_none();
                (format!("servers/{id}"), writes.then(|| r.entry()))
            })
            .collect();
        let now = Instant::now();
        for (key, entry) in entries {
            let late = self.late_entries.iter().rev().find(|late| late.1 == key);
            let known = late.map_or_else(
                || self.items.get(&key).map(|i| i.0.clone()),
                |late| late.2.clone(),
            );
            if known != entry {
                let due = now + self.entry_delay;
                self.late_entries.push_back((due, key, entry));
            }
        }
        while self.late_entries.front().is_some_and(|late| late.0 <= now) {
            if let Some((_, key, entry)) = self.late_entries.pop_front() {
                match entry {
                    Some(entry) => self.put(&key, &entry),
                    None => self.remove(&key),
                }
            }
        }
    }

    /// Whether the entry of a replica stays as it is, since the replica is frozen.
    fn keeps_entry(&self, replica: &Replica) -> bool {
        let lapse = Duration::from_millis(3 * HEARTBEAT_MS);
        let since = replica.frozen_since;
        since.is_some_and(|at| !self.lapses || at.elapsed() < lapse)
    }

    /// Records which open heads lack a member, and breaks those that have for the stall time. A head that
    /// is frozen notices nothing.
    fn update_heads(&mut self) {
        let heads = self.replicas.keys().filter(|id| self.is_open_head(id));
        let heads = heads.filter(|id| !self.is_frozen(id));
        let heads: Vec<_> = heads.cloned().collect();
        for id in heads {
            let Some(seat) = self.replicas.get(&id).and_then(|r| r.seat.clone()) else {
                continue;
            };
            let is_whole = seat.members.iter().all(|m| self.has_joined(m, &seat));
            let Some(head) = self.replicas.get_mut(&id) else {
                continue;
            };
            if is_whole {
                head.stalled_since = None;
                continue;
            }
            head.stalled_since.get_or_insert_with(Instant::now);
            let has_broken = head.has_broken();
            if let Some(seat) = head.seat.as_mut() {
                seat.broken = has_broken;
            }
        }
    }

    /// Whether a replica heads an open group.
    pub(super) fn is_open_head(&self, id: &str) -> bool {
        let Some(replica) = self.replicas.get(id) else {
            return false;
        };
        let is_head = replica.seat.as_ref().is_some_and(|s| s.rank == 0);
        is_head && replica.seat_state() == Some("open")
    }

    /// Whether a member runs and has completed its join to a seat's group and epoch. One that is frozen
    /// is missing to the others.
    pub(super) fn has_joined(&self, member: &str, seat: &Seat) -> bool {
        let replica = self.replicas.get(member);
        replica.is_some_and(|r| {
            let own = r.seat.as_ref();
            let is_same = own.is_some_and(|s| s.group == seat.group && s.epoch == seat.epoch);
            let runs = r.alive && r.frozen_since.is_none();
            runs && is_same && r.seat_state() != Some("joining")
        })
    }

    /// Checks and audits an order, passes it on to its replica and returns the status of the
    /// answer.
    pub fn on_order(&mut self, id: &str, body: &Value) -> StatusCode {
        let members = body["Members"].as_array().into_iter().flatten();
        let rank = members.into_iter().position(|m| m == id).unwrap_or(0);
        let text = |name: &str| body[name].as_str().unwrap_or("").to_string();
        let (operation, group, epoch) = (
            text("Operation"),
            text("group"),
            body["epoch"].as_u64().unwrap_or(0),
        );
        let fence = body["Fence"].as_u64().unwrap_or(0);
        if operation == "join" {
            self.audit_join(id, &group);
        }
        let Some(replica) = self.replicas.get_mut(id) else {
            return StatusCode::MISDIRECTED_REQUEST;
        };
        if fence < replica.fence || (operation == "join" && epoch < replica.epoch) {
            return StatusCode::PRECONDITION_FAILED;
        }
        let is_expected = |n: u64| n == replica.orders;
        if !body["ExpectedRev"].as_u64().is_none_or(is_expected) {
            return StatusCode::CONFLICT;
        }
        replica.fence = fence;
        let before = replica.seat.as_ref().map(|s| (s.group.clone(), s.open_at));
        let status = replica.on_order(&operation, group, epoch, rank, body);
        let after = replica.seat.as_ref().map(|s| (s.group.clone(), s.open_at));
        replica.orders += u64::from(before != after || status == StatusCode::ACCEPTED);
        status
    }

    /// Audits rule TWO: a member doesn't join another group while the head of its own is open or closing,
    /// or stands still and hasn't broken by its own clock.
    pub(super) fn audit_join(&mut self, id: &str, group: &str) {
        let Some(seat) = self.replicas.get(id).and_then(|r| r.seat.clone()) else {
            return;
        };
        let Some(head) = self.replicas.get(&seat.members[0]).filter(|h| h.alive) else {
            return;
        };
        let own = head.seat.as_ref().filter(|s| s.group == seat.group);
        let state = own.and(head.seat_state());
        let can_continue = !head.has_broken() && matches!(state, Some("open" | "closing"));
        if seat.group != group && can_continue {
            let violation = format!("TWO: {id} joins {group} while {} is open", seat.group);
            self.broken.push(violation);
        }
    }
}
