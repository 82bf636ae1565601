use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::ini_reader::IniReader;
use super::{IntakeSettings, SettingsError};
use crate::link::{WatchPace, WatchTarget};
use crate::logic::direct::{DirectParams, Features, Mechanism};
use crate::types::MissingValue;

/// Settings of a router that reaches endpoints by direct HTTP links.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Id of the own instance.
    pub id: String,
    /// Data hall of the own instance.
    pub hall: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks; serves the metrics too.
    pub ready: SocketAddr,
    /// Further address that serves the same as `ready`, for scrapers of metrics.
    pub metrics: Option<SocketAddr>,
    /// Address for datagrams of other routers; none where routers exchange no messages.
    pub peers: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Longest wait of a watch, in milliseconds.
    pub watch_ms: u64,
    /// Shortest pause after changes of the endpoint list before it is read again, in
    /// milliseconds.
    pub list_ms: u64,
    /// Time after which an endpoint that leaves must get no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Read calls that the store takes in a second from all routers; 0 where it isn't known.
    pub reads_per_s: u64,
    /// Limits on callers and other clients.
    pub intake: IntakeSettings,
    /// Parameters of the router's decisions.
    pub params: DirectParams,
    /// Values that the file leaves empty, with the defaults that are used in their place.
    pub missing_values: Vec<MissingValue>,
}

/// Factor between the wait of the watch of the routers' own keys and that of the other watches.
const OWN_WAIT_FACTOR: u64 = 3;

/// Lower bound of the wait of a watch: while nothing changes, each watch of a router makes at
/// most ten calls a second.
const MIN_WATCH_MS: u64 = 100;

/// Pause after changes of the routers' own keys, so that one call reads the keys of all routers
/// that start together. If a planner ends during the pause, that is noticed only after it.
const OWN_PAUSE: Duration = Duration::from_millis(300);

/// Upper bound of the wait of a watch.
const MAX_WATCH_MS: u64 = 30_000;

/// Divisor of the drain time. The result is the longest pause between two reads of the endpoint
/// list, unless `list_ms` or the store's read rate requires a longer one. Without these, the list
/// is read at least twice within the drain time.
const LIST_PAUSE_DIVISOR: u64 = 3;

/// Upper bound of the longest pause between two reads of the endpoint list; `list_ms` and the
/// store's read rate may require a longer one.
const MAX_LIST_PAUSE: Duration = Duration::from_secs(2);

impl Default for DirectSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: String::new(),
            hall: String::new(),
            callers: any,
            ready: any,
            metrics: None,
            peers: None,
            store: any,
            first_start: false,
            watch_ms: 2_000,
            list_ms: 150,
            drain_ms: 2_000,
            reads_per_s: 0,
            intake: IntakeSettings::default(),
            params: DirectParams::default(),
            missing_values: Vec::new(),
        }
    }
}

impl DirectSettings {
    /// Whether a file holds settings of a direct router, that is, has a section `[direct]`.
    pub fn is_meant(path: &Path) -> bool {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.lines().any(|line| line.trim() == "[direct]")
    }

    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns all faults of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut ini = IniReader::open(path)?;
        let d = Self::default();
        let address = "an IP address and a port";
        let watch_ms = ini
            .scaled_number("direct", "watch_ms", d.watch_ms, 1, "milliseconds")
            .clamp(MIN_WATCH_MS, MAX_WATCH_MS);
        let settings = Self {
            id: ini.required("instance", "id", "the instance's name"),
            hall: ini.required("instance", "hall", "the name of the data hall"),
            callers: ini.parsed("listen", "callers", d.callers, address),
            ready: ini.parsed("listen", "ready", d.ready, address),
            metrics: ini.optional("listen", "metrics", address),
            peers: ini.optional("listen", "peers", address),
            store: ini.parsed("direct", "store", d.store, address),
            first_start: ini.parsed("direct", "first_start", false, "true or false"),
            watch_ms,
            list_ms: ini.number("direct", "list_ms", d.list_ms, 0..=10_000, "milliseconds"),
            drain_ms: ini.scaled_number("direct", "drain_ms", d.drain_ms, 1, "milliseconds"),
            reads_per_s: ini.scaled_number("direct", "reads_per_s", d.reads_per_s, 1, "calls"),
            intake: IntakeSettings::read(&mut ini),
            params: DirectParams {
                routing_ms: watch_ms,
                ..read_params(&mut ini)
            },
            missing_values: ini.missing_values().to_vec(),
        };
        ini.finish()?;
        Ok(settings)
    }

    /// Timing of the watch of the operators' routing.
    pub(crate) fn routing_pace(&self) -> WatchPace {
        WatchPace {
            wait_ms: self.watch_ms,
            min_pause: Duration::from_millis(50),
            target: WatchTarget::Routing,
        }
    }

    /// Timing of the watch of the routers' own keys. The store may hold the call for longer, as
    /// no bound is set on the time within which changes of these keys take effect.
    pub(crate) fn own_pace(&self) -> WatchPace {
        WatchPace {
            wait_ms: (self.watch_ms * OWN_WAIT_FACTOR).min(MAX_WATCH_MS),
            min_pause: OWN_PAUSE,
            target: WatchTarget::Own,
        }
    }

    /// Timing of the watch of the endpoint list.
    pub(crate) fn list_pace(&self) -> WatchPace {
        WatchPace {
            wait_ms: self.watch_ms,
            min_pause: Duration::from_millis(self.list_ms),
            target: WatchTarget::List(
                Duration::from_millis(self.drain_ms / LIST_PAUSE_DIVISOR).min(MAX_LIST_PAUSE),
            ),
        }
    }
}

fn read_params(ini: &mut IniReader) -> DirectParams {
    let d = DirectParams::default();
    let ms = "milliseconds";
    let window_ms = ini.scaled_number("retries", "window_s", d.retry_window, 1_000, "seconds");
    let positive_or = |value: u64, default| if value > 0 { value } else { default };
    // Settings files of earlier versions have it; nothing depends on it any more.
    ini.scaled_number("planner", "stall_ms", 4_000, 1, ms);
    DirectParams {
        lease_ms: ini.number("planner", "lease_ms", d.lease_ms, 1_000..=60_000, ms),
        planning_ms: ini.number("planner", "plan_ms", d.planning_ms, 1..=10_000, ms),
        silence_ms: ini.number("planner", "silence_ms", d.silence_ms, 20..=60_000, ms),
        reorder_ms: ini.number("planner", "order_ms", d.reorder_ms, 50..=60_000, ms),
        backoff_ms: ini.number("routing", "shun_ms", d.backoff_ms, 0..=600_000, ms),
        again_ms: ini.number("routing", "again_ms", d.again_ms, 0..=600_000, ms),
        retry_ratio: ini.scaled_number(
            "retries",
            "ratio",
            d.retry_ratio,
            1_000,
            "retries a request",
        ),
        retry_extra: ini.scaled_number("retries", "extra", d.retry_extra, 1_000, "retries"),
        cold_overage: ini.scaled_number(
            "cold",
            "overage",
            d.cold_overage,
            1_000,
            "times the rate of a cold endpoint",
        ),
        cold_slack: ini.scaled_number("cold", "slack", d.cold_slack, 1_000, "requests a second"),
        // A window of length 0 would count no earlier retries: the default is used instead.
        retry_window: positive_or(window_ms, d.retry_window),
        grace_ms: ini.scaled_number("stop", "grace_s", d.grace_ms, 1_000, "seconds"),
        features: read_features(ini),
        disabled: read_disabled(ini),
        ..d
    }
}

/// Reads when each optional part of the policy takes effect.
fn read_features(ini: &mut IniReader) -> Features {
    let d = Features::default();
    let mut mode = |key, default| ini.parsed("features", key, default, "off, auto or on");
    Features {
        admission: mode("admission", d.admission),
        capacity: mode("capacity", d.capacity),
        trend: mode("trend", d.trend),
        returns: mode("returns", d.returns),
    }
}

/// Reads the mechanisms that are switched off: names separated by commas.
fn read_disabled(ini: &mut IniReader) -> BTreeSet<Mechanism> {
    let text: String = ini.parsed("policy", "off", String::new(), "names of mechanisms");
    let mut off = BTreeSet::new();
    for name in text.split(',').map(str::trim).filter(|n| !n.is_empty()) {
        match name.parse() {
            Ok(mechanism) => {
                off.insert(mechanism);
            }
            Err(why) => ini.add_fault("policy", "off", why, "names separated by commas"),
        }
    }
    off
}
