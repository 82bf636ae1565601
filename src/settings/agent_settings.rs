use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use super::ini_reader::IniReader;
use super::router_settings::read_net;
use super::{IntakeSettings, SettingsError};
use crate::endpoint::EndpointSettings;
use crate::logic::agent::AgentParams;
use crate::wire::NetSettings;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Id of the own instance.
    pub id: String,
    /// The fleet's key.
    pub key: Arc<[u8]>,
    /// Settings of the sessions with other processes.
    pub net: NetSettings,
    /// The endpoint that the agent runs beside.
    pub endpoint: EndpointSettings,
    /// Address of the statsd receiver; none where metrics are only kept.
    pub statsd: Option<SocketAddr>,
    /// Parameters of the agent's decisions.
    pub params: AgentParams,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            id: String::new(),
            key: Arc::from([]),
            net: NetSettings::default(),
            endpoint: EndpointSettings::default(),
            statsd: None,
            params: AgentParams::default(),
        }
    }
}

impl AgentSettings {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns all faults of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut ini = IniReader::open(path)?;
        let intake = IntakeSettings::read(&mut ini);
        let settings = Self {
            id: ini.required("instance", "id", "the instance's name in the instance list"),
            key: ini.fleet_key(),
            net: read_net(&mut ini, &intake),
            endpoint: read_endpoint(&mut ini),
            statsd: ini.optional("metrics", "statsd", "an IP address and a port"),
            params: read_params(&mut ini),
        };
        ini.finish()?;
        Ok(settings)
    }
}

fn read_endpoint(ini: &mut IniReader) -> EndpointSettings {
    let d = EndpointSettings::default();
    let expected = "the IP address and port of the endpoint";
    let addr = ini.required("endpoint", "addr", expected);
    let parsed = addr.parse();
    if !addr.is_empty() && parsed.is_err() {
        ini.add_fault("endpoint", "addr", format!("{addr:?}"), expected);
    }
    let kind = ini.parsed(
        "endpoint",
        "kind",
        "engine".to_string(),
        "engine or service",
    );
    if kind != "engine" && kind != "service" {
        ini.add_fault("endpoint", "kind", format!("{kind:?}"), "engine or service");
    }
    let mut ms = |key: &str, default: Duration, max: u64| {
        let default = default.as_millis() as u64;
        let number = ini.number("endpoint", key, default, 10..=max, "milliseconds");
        Duration::from_millis(number)
    };
    EndpointSettings {
        addr: parsed.unwrap_or(d.addr),
        load_timeout: ms("load_ms", d.load_timeout, 7_200_000),
        head_timeout: ms("silence_ms", d.head_timeout, 3_600_000),
        status_interval: ms("status_ms", d.status_interval, 60_000),
        is_engine: kind == "engine",
    }
}

fn read_params(ini: &mut IniReader) -> AgentParams {
    let d = AgentParams::default();
    let lease_ms = ini.number(
        "group",
        "lease_ms",
        d.lease_ms,
        100..=30_000,
        "milliseconds",
    );
    // A margin of a tenth of the lease covers clocks that drift apart by a tenth.
    let margin = (lease_ms / 10).max(1);
    let ask = (lease_ms / 3).max(1);
    AgentParams {
        lease_ms,
        margin_ms: ini.number("group", "margin_ms", margin, 1..=30_000, "milliseconds"),
        ask_ms: ini.number(
            "group",
            "ask_ms",
            ask,
            10..=lease_ms.max(10),
            "milliseconds, at most the lease",
        ),
        slots: ini.number("endpoint", "slots", d.slots, 1..=65_536, "requests at once"),
        queue_limit: ini.number("queue", "limit", d.queue_limit, 0..=1_000_000, "requests"),
        queue_bytes: ini.number(
            "queue",
            "request_bytes",
            d.queue_bytes,
            65_536..=1_073_741_824,
            "bytes",
        ),
        leave_ms: ini.number("group", "leave_ms", d.leave_ms, 0..=5_000, "milliseconds"),
        load_retry_ms: ini.number(
            "group",
            "load_retry_ms",
            d.load_retry_ms,
            10..=600_000,
            "milliseconds",
        ),
        report_ms: ini.number(
            "sessions",
            "report_ms",
            d.report_ms,
            10..=60_000,
            "milliseconds",
        ),
        answer_bytes: ini.number(
            "queue",
            "answer_bytes",
            d.answer_bytes,
            0..=1_048_576,
            "bytes",
        ),
        answers_bytes: ini.number(
            "queue",
            "answers_bytes",
            d.answers_bytes,
            0..=1_073_741_824,
            "bytes",
        ),
        by_class: true,
    }
}
