use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{json, Value};
use tokio::runtime::Runtime;

use super::replica_calls::STALL_TIMEOUT;

/// Time of a join whose model the replica loaded last, and of opening.
const RELOAD_TIME: Duration = Duration::from_millis(60);

/// Time of a join whose model is staged on the host.
const HOST_LOAD_TIME: Duration = Duration::from_millis(150);

/// Time of a join that loads its model from the weight store.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time between two heartbeats of a replica, in milliseconds.
pub(super) const HEARTBEAT_MS: u64 = 400;

/// A single stand-in endpoint, which this module calls a replica.
pub(super) struct Replica {
    pub(super) addr: SocketAddr,
    /// Address in its entry of the endpoint list, if that isn't its own: that of a relay before it.
    pub(super) listed_addr: Option<SocketAddr>,
    pub(super) service: &'static str,
    /// Fabric domain of an engine.
    pub(super) domain: String,
    /// When it last started, in Unix milliseconds.
    pub(super) started_ms: u64,
    pub(super) alive: bool,
    /// Requests that it takes at a time, by its entry of the endpoint list; it doesn't enforce it.
    pub(super) slots: u32,
    /// Whether it no longer updates its entry of the endpoint list.
    pub(super) silent: bool,
    /// Model that is staged on its host.
    pub(super) staged: Option<String>,
    /// Model that it loaded last since it started.
    pub(super) last_model: Option<String>,
    pub(super) seat: Option<Seat>,
    /// Epoch of the last join.
    pub(super) epoch: u64,
    /// Highest fence of an order.
    pub(super) fence: u64,
    /// Number of orders that it has begun since it last started.
    pub(super) orders: u64,
    /// Since when its open group has lacked a member. The times for which it was frozen meanwhile are
    /// added, as its own clock stood still.
    pub(super) stalled_since: Option<Instant>,
    /// Since when it has been frozen: it carries out nothing, and its clock stands still.
    pub(super) frozen_since: Option<Instant>,
    /// Time for which it was frozen since it last started, in milliseconds.
    pub(super) frozen_ms: u64,
    /// Rate limit that its answers name, in requests a second.
    pub(super) limit: Option<f64>,
    /// Time for which it asks each router that it turns away to send nothing; `None` while it
    /// turns nothing away.
    pub(super) hold_off: Option<Duration>,
    /// Whether its answers say that it is leaving.
    pub(super) leaving: bool,
    /// Number of its next requests that it refuses as it has no room.
    pub(super) refusals: u32,
    /// Whether it is cut off from all routers.
    pub(super) cut: bool,
    /// Whether it is faulty: an answer without a body comes once more on its connection, in place of
    /// the next one.
    pub(super) repeats: bool,
    /// Further header of its answers.
    pub(super) header: Option<(&'static str, &'static str)>,
    /// Requests that arrived.
    pub(super) arrivals: Vec<Arrival>,
    pub(super) runtime: Option<Runtime>,
}

/// A request that arrived at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of its arrival.
    pub at: Instant,
    /// Attempt id.
    pub attempt: String,
    /// When the replica's process started, in Unix milliseconds.
    pub life: u64,
    /// Time for which the replica asked the router to send nothing, if it turned the request away.
    pub hold_off: Option<Duration>,
    /// Whether the answer said that the replica is leaving.
    pub leaving: bool,
}

#[derive(Clone)]
pub(super) struct Seat {
    pub(super) group: String,
    pub(super) epoch: u64,
    pub(super) rank: usize,
    pub(super) members: Vec<String>,
    pub(super) model: String,
    pub(super) ready_at: Instant,
    pub(super) open_at: Option<Instant>,
    pub(super) closing: bool,
    /// Whether its group stood still for so long that it ended.
    pub(super) broken: bool,
}

impl Seat {
    /// Its state by the clock of its replica.
    pub(super) fn state(&self, now: Instant) -> &'static str {
        match self.open_at {
            _ if self.broken => "broken",
            _ if now < self.ready_at => "joining",
            Some(_) if self.closing => "closing",
            Some(at) if now >= at => "open",
            _ => "ready",
        }
    }
}

impl Replica {
    /// Number of heartbeats since it last started.
    pub(super) fn heartbeats(&self) -> u64 {
        1 + unix_ms().saturating_sub(self.started_ms + self.frozen_ms) / HEARTBEAT_MS
    }

    /// The time by its own clock, which stands still while it is frozen.
    pub(super) fn clock(&self) -> Instant {
        self.frozen_since.unwrap_or_else(Instant::now)
    }

    /// State of its seat.
    pub(super) fn seat_state(&self) -> Option<&'static str> {
        self.seat.as_ref().map(|s| s.state(self.clock()))
    }

    /// Whether its group has lacked a member for [`STALL_TIMEOUT`] of its own clock.
    pub(super) fn has_broken(&self) -> bool {
        let since = self.stalled_since;
        since.is_some_and(|at| self.clock().saturating_duration_since(at) > STALL_TIMEOUT)
    }

    /// Stops its clock, or lets it go on from the time at which it stopped.
    pub(super) fn set_frozen(&mut self, frozen: bool) {
        if frozen {
            self.frozen_since.get_or_insert_with(Instant::now);
            return;
        }
        let Some(since) = self.frozen_since.take() else {
            return;
        };
        let time = since.elapsed();
        self.frozen_ms += time.as_millis() as u64;
        self.stalled_since = self.stalled_since.map(|at| at + time);
        if let Some(seat) = &mut self.seat {
            for at in std::iter::once(&mut seat.ready_at).chain(&mut seat.open_at) {
                if *at > since {
                    *at += time;
                }
            }
        }
    }

    /// Its report.
    pub(super) fn report(&self) -> Value {
        json!({"pace": 1.0, "Seq": self.orders, "Models": self.models(), "group": self.group()})
    }

    fn models(&self) -> Vec<Value> {
        let models = self.last_model.iter();
        models.map(|m| json!({"Name": m, "Version": 1})).collect()
    }

    fn group(&self) -> Value {
        let describe = |s: &Seat| json!({"Name": s.group, "epoch": s.epoch, "rank": s.rank, "State": s.state(self.clock())});
        self.seat.as_ref().map_or(Value::Null, describe)
    }

    /// Its entry of the endpoint list, as JSON.
    pub(super) fn entry(&self) -> String {
        let mut entry = json!({"Service": self.service, "Address": self.listed_addr.unwrap_or(self.addr).to_string(),
            "Zone": "h1", "Slots": self.slots, "State": "ready", "Seq": self.heartbeats(), "born": self.started_ms,
            "Version": "v1", "ColdLeftMs": 0});
        if self.service == "pool" {
            entry["Domain"] = json!(self.domain);
            entry["Staged"] = json!(self.staged.iter().collect::<Vec<_>>());
            entry["Models"] = self.models().into();
            entry["group"] = self.group();
        }
        entry.to_string()
    }

    /// Carries out an order and returns the status of the answer.
    pub(super) fn on_order(
        &mut self,
        operation: &str,
        group: String,
        epoch: u64,
        rank: usize,
        body: &Value,
    ) -> StatusCode {
        let in_group = self
            .seat
            .as_ref()
            .is_some_and(|s| s.group == group && s.epoch == epoch);
        match operation {
            "join" if in_group => StatusCode::OK,
            "join" => {
                let model = body["Model"].as_str().unwrap_or("").to_string();
                let members: Vec<String> = body["Members"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|m| Some(m.as_str()?.to_string()))
                    .collect();
                let join_time = if self.last_model.as_ref() == Some(&model) {
                    RELOAD_TIME
                } else if self.staged.as_ref() == Some(&model) {
                    HOST_LOAD_TIME
                } else {
                    LOAD_TIME
                };
                self.epoch = epoch;
                self.staged = Some(model.clone());
                self.last_model = Some(model.clone());
                self.stalled_since = None;
                self.seat = Some(Seat {
                    group,
                    epoch,
                    rank,
                    members,
                    model,
                    ready_at: Instant::now() + join_time,
                    open_at: None,
                    closing: false,
                    broken: false,
                });
                StatusCode::ACCEPTED
            }
            "Stage" => {
                self.staged = body["Model"].as_str().map(str::to_string);
                StatusCode::ACCEPTED
            }
            "open" if in_group => match self
                .seat
                .as_mut()
                .filter(|s| s.state(Instant::now()) != "joining")
            {
                Some(seat) => {
                    seat.open_at.get_or_insert(Instant::now() + RELOAD_TIME);
                    StatusCode::ACCEPTED
                }
                None => StatusCode::CONFLICT,
            },
            "close" if in_group => {
                if let Some(seat) = &mut self.seat {
                    seat.open_at = None;
                }
                StatusCode::OK
            }
            "leave" if in_group => {
                self.seat = None;
                StatusCode::OK
            }
            _ => StatusCode::CONFLICT,
        }
    }
}

pub(super) fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("the clock is after 1970").as_millis() as u64
}
