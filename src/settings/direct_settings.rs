use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::ini_reader::IniReader;
use super::SettingsError;
use crate::link::{Watch, WatchPace};
use crate::logic::direct::{DirectKnobs, Mechanism};
use crate::types::FigureGap;

/// Settings of a router that reaches endpoints by direct links.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Own instance.
    pub id: String,
    /// Own data hall.
    pub hall: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks.
    pub ready: SocketAddr,
    /// Address for scrapers beside the balancer's, which tells the figures too.
    pub metrics: Option<SocketAddr>,
    /// Address for other routers; without it none is asked.
    pub peers: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Longest wait of a watch, in milliseconds.
    pub watch_ms: u64,
    /// Pause between two readings of the list's changes, in milliseconds.
    pub list_ms: u64,
    /// Time within which an endpoint that leaves gets nothing new, in milliseconds.
    pub drain_ms: u64,
    /// Reading calls that the store takes in a second; 0 where that isn't known.
    pub reads: u64,
    /// Numbers that decisions are made by.
    pub knobs: DirectKnobs,
    /// Figures that the file leaves empty, and what stands in for them.
    pub gaps: Vec<FigureGap>,
}

/// Times the wait of other watches that the one of own keys has.
const OWN_WAIT: u64 = 3;

/// Shortest wait of a watch, in milliseconds: ten calls a second of each router.
const SHORTEST_WAIT: u64 = 100;

/// Pause after a change of the routers' own keys: routers that start together write
/// theirs within it. A planner's end that falls into it is seen so much later.
const OWN_PAUSE: Duration = Duration::from_millis(300);

/// Longest wait of a watch, in milliseconds.
const LONGEST_WAIT: u64 = 30_000;

/// Part of the time to drain that a router may rest between two readings of the list.
const REST_PART: u64 = 3;

/// Longest rest between two readings of the list.
const LONGEST_REST: Duration = Duration::from_secs(2);

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
            reads: 0,
            knobs: DirectKnobs::default(),
            gaps: Vec::new(),
        }
    }
}

impl DirectSettings {
    /// Whether a file holds settings of this kind: it has a section `[direct]`.
    pub fn is_meant(path: &Path) -> bool {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.lines().any(|line| line.trim() == "[direct]")
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// Returns every fault of the file at once.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut ini = IniReader::open(path)?;
        let d = Self::default();
        let address = "an IP address and a port";
        let settings = Self {
            id: ini.text("instance", "id", "the instance's name"),
            hall: ini.text("instance", "hall", "the name of the data hall"),
            callers: ini.parsed("listen", "callers", d.callers, address),
            ready: ini.parsed("listen", "ready", d.ready, address),
            metrics: ini.optional("listen", "metrics", address),
            peers: ini.optional("listen", "peers", address),
            store: ini.parsed("direct", "store", d.store, address),
            first_start: ini.parsed("direct", "first_start", false, "true or false"),
            watch_ms: ini
                .figure("direct", "watch_ms", d.watch_ms, 1, "milliseconds")
                .clamp(SHORTEST_WAIT, LONGEST_WAIT),
            list_ms: ini.number("direct", "list_ms", d.list_ms, 0..=10_000, "milliseconds"),
            drain_ms: ini.figure("direct", "drain_ms", d.drain_ms, 1, "milliseconds"),
            reads: ini.figure("direct", "reads_per_s", d.reads, 1, "calls"),
            knobs: read_knobs(&mut ini),
            gaps: ini.gaps().to_vec(),
        };
        ini.finish()?;
        Ok(settings)
    }

    /// How the operators' routing is watched.
    pub(crate) fn routing_pace(&self) -> WatchPace {
        WatchPace {
            wait_ms: self.watch_ms,
            pause: Duration::from_millis(50),
            what: Watch::Routing,
        }
    }

    /// How the routers' own keys are watched: the store holds the call for longer,
    /// as nothing that they tell has to be in force within a bound.
    pub(crate) fn own_pace(&self) -> WatchPace {
        WatchPace {
            wait_ms: (self.watch_ms * OWN_WAIT).min(LONGEST_WAIT),
            pause: OWN_PAUSE,
            what: Watch::Own,
        }
    }

    /// How the list is watched.
    pub(crate) fn list_pace(&self) -> WatchPace {
        WatchPace {
            wait_ms: self.watch_ms,
            pause: Duration::from_millis(self.list_ms),
            what: Watch::List(Duration::from_millis(self.drain_ms / REST_PART).min(LONGEST_REST)),
        }
    }
}

fn read_knobs(ini: &mut IniReader) -> DirectKnobs {
    let d = DirectKnobs::default();
    let ms = "milliseconds";
    let window_ms = ini.figure("retries", "window_s", d.retry_window, 1_000, "seconds");
    let given = |value: u64, usual| if value > 0 { value } else { usual };
    DirectKnobs {
        lease_ms: ini.number("planner", "lease_ms", d.lease_ms, 1_000..=60_000, ms),
        plan_ms: ini.number("planner", "plan_ms", d.plan_ms, 1..=10_000, ms),
        silence_ms: ini.number("planner", "silence_ms", d.silence_ms, 20..=60_000, ms),
        stall_ms: ini.figure("planner", "stall_ms", d.stall_ms, 1, ms),
        order_ms: ini.number("planner", "order_ms", d.order_ms, 50..=60_000, ms),
        shun_ms: ini.number("routing", "shun_ms", d.shun_ms, 0..=600_000, ms),
        again_ms: ini.number("routing", "again_ms", d.again_ms, 0..=600_000, ms),
        retry_ratio: ini.figure(
            "retries",
            "ratio",
            d.retry_ratio,
            1_000,
            "retries a request",
        ),
        retry_extra: ini.figure("retries", "extra", d.retry_extra, 1_000, "retries"),
        // A window of no length would hold no retry; the usual one stands in.
        retry_window: given(window_ms, d.retry_window),
        grace_ms: ini.figure("stop", "grace_s", d.grace_ms, 1_000, "seconds"),
        off: read_off(ini),
    }
}

/// Mechanisms that are switched off: names with commas between them.
fn read_off(ini: &mut IniReader) -> BTreeSet<Mechanism> {
    let text: String = ini.parsed("policy", "off", String::new(), "names of mechanisms");
    let mut off = BTreeSet::new();
    for name in text.split(',').map(str::trim).filter(|n| !n.is_empty()) {
        match name.parse() {
            Ok(mechanism) => {
                off.insert(mechanism);
            }
            Err(why) => ini.fault("policy", "off", why, "names with commas between them"),
        }
    }
    off
}
