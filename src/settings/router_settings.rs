use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use super::ini_reader::IniReader;
use super::{IntakeSettings, SettingsError};
use crate::etcd::PlatformSettings;
use crate::logic::router::RouterParams;
use crate::wire::NetSettings;

/// Hexadecimal digits of a SHA-256 hash.
const SHA256_DIGITS: usize = 64;

/// Settings of a router that reaches endpoints through agents.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Id of the own instance.
    pub id: String,
    /// Data hall of the own instance.
    pub hall: String,
    /// The fleet's key.
    pub key: Arc<[u8]>,
    /// Settings of the sessions with other processes.
    pub net: NetSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Operators' names with the SHA-256 hashes of their tokens.
    pub operators: Vec<(String, String)>,
    /// The platform's key-value service and instance list.
    pub platform: PlatformSettings,
    /// Maximum size of the body of a caller's request, in bytes.
    pub body_limit: usize,
    /// Maximum number of callers' requests at the same time.
    pub caller_limit: usize,
    /// Limits on connections and on the memory of requests.
    pub intake: IntakeSettings,
    /// Address of the statsd receiver; none where metrics are only kept.
    pub statsd: Option<SocketAddr>,
    /// Parameters of the router's decisions.
    pub params: RouterParams,
}

impl Default for RouterSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: String::new(),
            hall: String::new(),
            key: Arc::from([]),
            net: NetSettings::default(),
            callers: any,
            operator_listen: any,
            operators: Vec::new(),
            platform: PlatformSettings::default(),
            body_limit: 1024 * 1024,
            caller_limit: 1_024,
            intake: IntakeSettings::default(),
            statsd: None,
            params: RouterParams::default(),
        }
    }
}

impl RouterSettings {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns all faults of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut ini = IniReader::open(path)?;
        let default = Self::default();
        let intake = IntakeSettings::read(&mut ini);
        let settings = Self {
            id: ini.required("instance", "id", "the instance's name in the instance list"),
            hall: ini.required("instance", "hall", "the name of the data hall"),
            key: ini.fleet_key(),
            net: read_net(&mut ini, &intake),
            callers: ini.parsed(
                "listen",
                "callers",
                default.callers,
                "an IP address and a port",
            ),
            operator_listen: ini.parsed(
                "listen",
                "operators",
                default.operator_listen,
                "an IP address and a port",
            ),
            operators: read_operators(&mut ini),
            platform: read_platform(&mut ini),
            body_limit: ini.number(
                "limits",
                "body_bytes",
                default.body_limit,
                1_024..=16_777_216,
                "bytes",
            ),
            caller_limit: ini.number(
                "limits",
                "callers",
                default.caller_limit,
                1..=65_536,
                "requests",
            ),
            intake,
            statsd: ini.optional("metrics", "statsd", "an IP address and a port"),
            params: read_params(&mut ini),
        };
        ini.finish()?;
        Ok(settings)
    }
}

/// Reads the settings of sessions, which routers and agents share.
pub(super) fn read_net(ini: &mut IniReader, intake: &IntakeSettings) -> NetSettings {
    let default = NetSettings::default();
    let ping_ms = default.ping_interval.as_millis() as u64;
    NetSettings {
        listen: ini.parsed(
            "listen",
            "peers",
            default.listen,
            "an IP address and a port",
        ),
        ping_interval: Duration::from_millis(ini.number(
            "sessions",
            "idle_ms",
            ping_ms,
            50..=60_000,
            "milliseconds",
        )),
        max_sessions: ini.number(
            "sessions",
            "limit",
            default.max_sessions,
            1..=65_536,
            "sessions",
        ),
        strangers: intake.strangers(),
    }
}

fn read_operators(ini: &mut IniReader) -> Vec<(String, String)> {
    let operators = ini.entries("operators");
    for (name, token) in &operators {
        let is_hash = token.len() == SHA256_DIGITS && token.chars().all(|c| c.is_ascii_hexdigit());
        if !is_hash {
            let found = format!("{} characters", token.len());
            ini.add_fault(
                "operators",
                name,
                found,
                "the SHA-256 of the token, 64 hexadecimal digits",
            );
        }
    }
    let lower_case = |(n, t): (String, String)| (n, t.to_ascii_lowercase());
    operators.into_iter().map(lower_case).collect()
}

fn read_platform(ini: &mut IniReader) -> PlatformSettings {
    let default = PlatformSettings::default();
    let timeout_ms = default.call_timeout.as_millis() as u64;
    let list = ini.required(
        "platform",
        "list",
        "the IP address and port of the instance list",
    );
    let list_addr = list.parse();
    if !list.is_empty() && list_addr.is_err() {
        ini.add_fault(
            "platform",
            "list",
            format!("{list:?}"),
            "an IP address and a port",
        );
    }
    PlatformSettings {
        kv_addrs: ini.list(
            "platform",
            "kv",
            "IP addresses and ports, separated by commas",
        ),
        list_addr: list_addr.unwrap_or(default.list_addr),
        call_timeout: Duration::from_millis(ini.number(
            "platform",
            "call_ms",
            timeout_ms,
            10..=60_000,
            "milliseconds",
        )),
        workers: ini.number(
            "platform",
            "workers",
            default.workers,
            1..=64,
            "calls at once",
        ),
    }
}

fn read_params(ini: &mut IniReader) -> RouterParams {
    let d = RouterParams::default();
    let mut ms = |section: &str, key: &str, default: u64, min: u64, max: u64| {
        ini.number(section, key, default, min..=max, "milliseconds")
    };
    let mut params = RouterParams {
        proof_ms: ms("bundles", "proof_ms", d.proof_ms, 200, 60_000),
        prove_ms: ms("bundles", "prove_ms", d.prove_ms, 50, 30_000),
        ask_ms: ms("bundles", "ask_ms", d.ask_ms, 50, 30_000),
        list_ms: ms("platform", "list_ms", d.list_ms, 50, 60_000),
        planner_ms: ms("planner", "lease_ms", d.planner_ms, 1_000, 60_000),
        plan_ms: ms("planner", "plan_ms", d.plan_ms, 20, 60_000),
        patience_ms: ms("planner", "patience_ms", d.patience_ms, 100, 3_600_000),
        claim_ms: ms("claims", "batch_ms", d.claim_ms, 1, 1_000),
        claim_keep_ms: ms("claims", "keep_ms", d.claim_keep_ms, 10_000, 86_400_000),
        park_ms: ms("requests", "park_ms", d.park_ms, 10, 10_000),
        grace_ms: ms("requests", "grace_ms", d.grace_ms, 0, 10_000),
        hint_ms: ms("requests", "hint_ms", d.hint_ms, 10, 600_000),
        far_ms: ms("routing", "far_ms", d.far_ms, 0, 10_000),
        ramp_ms: ms("routing", "ramp_ms", d.ramp_ms, 0, 600_000),
        prefix_ms: ms("routing", "prefix_ms", d.prefix_ms, 0, 10_000),
        ..d.clone()
    };
    params.plan_rate = ini.number(
        "planner",
        "writes_per_min",
        d.plan_rate,
        1..=6_000,
        "writes a minute",
    );
    params.claim_batch = ini.number("claims", "batch", d.claim_batch, 1..=120, "claims");
    params.claim_writers = ini.number("claims", "writers", d.claim_writers, 1..=64, "routers");
    params.attempts = ini.number("requests", "attempts", d.attempts, 1..=20, "attempts");
    params.request_limit = ini.number(
        "limits",
        "requests",
        d.request_limit,
        1..=1_000_000,
        "requests",
    );
    params.far_groups = ini.number("routing", "far_groups", d.far_groups, 0..=10_000, "groups");
    if params.ask_ms >= params.proof_ms {
        let expected = format!("less than [bundles] proof_ms, which is {}", params.proof_ms);
        ini.add_fault("bundles", "ask_ms", params.ask_ms, expected);
    }
    if params.prove_ms >= params.proof_ms {
        let expected = format!("less than [bundles] proof_ms, which is {}", params.proof_ms);
        ini.add_fault("bundles", "prove_ms", params.prove_ms, expected);
    }
    params
}
