use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::{json, Value};
use tokio::runtime::Runtime;

/// Time of a join where the model was held just before, and of opening.
const QUICK: Duration = Duration::from_millis(60);

/// Time of a join from the host.
const WARM: Duration = Duration::from_millis(150);

/// Time of a load.
const LOAD: Duration = Duration::from_millis(300);

/// Time between two heartbeats of a replica, in milliseconds.
const BEAT_MS: u64 = 400;

pub(super) struct Replica {
    pub(super) addr: SocketAddr,
    pub(super) service: &'static str,
    /// When this life began, in Unix milliseconds.
    pub(super) born: u64,
    pub(super) alive: bool,
    pub(super) silent: bool,
    pub(super) staged: Option<String>,
    pub(super) last: Option<String>,
    pub(super) seat: Option<Seat>,
    pub(super) epoch: u64,
    pub(super) fence: u64,
    pub(super) stalled: Option<Instant>,
    /// Requests a second that its answers name as its limit.
    pub(super) limit: Option<f64>,
    /// When requests arrived.
    pub(super) arrivals: Vec<Instant>,
    pub(super) runtime: Option<Runtime>,
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
}

impl Seat {
    pub(super) fn state(&self) -> &'static str {
        let now = Instant::now();
        match self.open_at {
            _ if now < self.ready_at => "joining",
            Some(_) if self.closing => "closing",
            Some(at) if now >= at => "open",
            _ => "ready",
        }
    }
}

impl Replica {
    /// Heartbeats in this life so far.
    pub(super) fn beats(&self) -> u64 {
        1 + unix_ms().saturating_sub(self.born) / BEAT_MS
    }

    pub(super) fn entry(&self) -> String {
        let mut entry = json!({"Service": self.service, "Address": self.addr.to_string(),
            "Zone": "h1", "Slots": 8, "State": "ready", "Seq": self.beats(), "born": self.born,
            "Version": "v1", "ColdLeftMs": 0});
        if self.service == "pool" {
            entry["Domain"] = json!("d1");
            entry["Staged"] = json!(self.staged.iter().collect::<Vec<_>>());
            let models = self.last.iter().map(|m| json!({"Name": m, "Version": 1}));
            entry["Models"] = models.collect::<Vec<_>>().into();
            entry["group"] = self.seat.as_ref().map_or(
                Value::Null,
                |s| json!({"Name": s.group, "epoch": s.epoch, "rank": s.rank, "State": s.state()}),
            );
        }
        entry.to_string()
    }

    pub(super) fn order(
        &mut self,
        what: &str,
        group: String,
        epoch: u64,
        body: &Value,
    ) -> StatusCode {
        let here = self
            .seat
            .as_ref()
            .is_some_and(|s| s.group == group && s.epoch == epoch);
        match what {
            "join" if here => StatusCode::OK,
            "join" => {
                let model = body["Model"].as_str().unwrap_or("").to_string();
                let members: Vec<String> = body["Members"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|m| Some(m.as_str()?.to_string()))
                    .collect();
                let port = self.addr;
                let takes = if self.last.as_ref() == Some(&model) {
                    QUICK
                } else if self.staged.as_ref() == Some(&model) {
                    WARM
                } else {
                    LOAD
                };
                self.epoch = epoch;
                self.staged = Some(model.clone());
                self.last = Some(model.clone());
                self.stalled = None;
                let rank = body["rank_of"][port.to_string()].as_u64().unwrap_or(0) as usize;
                self.seat = Some(Seat {
                    group,
                    epoch,
                    rank,
                    members,
                    model,
                    ready_at: Instant::now() + takes,
                    open_at: None,
                    closing: false,
                });
                StatusCode::ACCEPTED
            }
            "Stage" => {
                self.staged = body["Model"].as_str().map(str::to_string);
                StatusCode::ACCEPTED
            }
            "open" if here => match self.seat.as_mut().filter(|s| s.state() != "joining") {
                Some(seat) => {
                    seat.open_at.get_or_insert(Instant::now() + QUICK);
                    StatusCode::ACCEPTED
                }
                None => StatusCode::CONFLICT,
            },
            "close" if here => {
                if let Some(seat) = &mut self.seat {
                    seat.open_at = None;
                }
                StatusCode::OK
            }
            "leave" if here => {
                self.seat = None;
                StatusCode::OK
            }
            _ => StatusCode::CONFLICT,
        }
    }
}

pub(super) fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a time after 1970").as_millis() as u64
}
