use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use tempfile::TempDir;

use crate::{
    post, until, Answer, Call, Engine, EngineParams, Fabric, ListedInstance, Platform, Process,
    Relay, Service,
};

/// Timeout for events that must happen.
pub const LONG: Duration = Duration::from_secs(40);
/// Bearer key of the client account `desk`.
pub const DESK_KEY: &str = "desk-key";
/// Bearer key of the client account `branch`.
pub const BRANCH_KEY: &str = "branch-key";

/// A fleet of real processes that run against stand-ins of the platform, the engines and a service.
///
/// Every process is reached through a relay of its own, and each router
/// reaches the platform through another one, so that any of these paths can be cut.
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Fabric between the engines.
    pub fabric: Fabric,
    /// Engines, by instance id.
    pub engines: BTreeMap<String, Engine>,
    /// The plain service `checkout`.
    pub service: Service,
    /// Routers, by instance id.
    pub routers: BTreeMap<String, Process>,
    /// Agents, by instance id.
    pub agents: BTreeMap<String, Process>,
    /// Relay in front of each process, by instance id.
    pub relays: BTreeMap<String, Relay>,
    /// Relay between each router and the platform, by the router's instance id.
    pub platform_relays: BTreeMap<String, Relay>,
    binary: String,
    dir: TempDir,
    lease_ms: u64,
    limits: ProcessLimits,
}

/// Size and parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of routers.
    pub routers: usize,
    /// Number of engine instances, all in one fabric domain.
    pub engines: usize,
    /// Whether the plain service has an instance.
    pub service: bool,
    /// Length of the presence leases that members grant their leader, in milliseconds.
    pub lease_ms: u64,
    /// Parameters of the engines.
    pub engine: EngineParams,
    /// Limits of the processes.
    pub limits: ProcessLimits,
}

/// Limits of the processes of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessLimits {
    /// Most files and sockets that a process has open; the system's own limit if none is given.
    pub descriptors: Option<usize>,
    /// Most requests of callers that a router has open; its default if none is given.
    pub callers: Option<usize>,
    /// Most sessions that other processes open with a process; its default if none is given.
    pub sessions: Option<usize>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            routers: 1,
            engines: 4,
            service: false,
            lease_ms: 600,
            engine: EngineParams::default(),
            limits: ProcessLimits::default(),
        }
    }
}

/// A bundle for tests: a model with groups of four instances, `groups` of them in each hall, and
/// a plain service.
pub fn test_bundle(groups: u32) -> Value {
    let key = |key: &str| {
        let digest = Sha256::digest(key.as_bytes());
        digest
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect::<String>()
    };
    json!({
        "title": "test",
        "models": [
            { "name": "desk", "version": "1", "instances": 4, "per_hall": groups, "load_ms": 2000 },
            { "name": "checkout", "version": "1", "kind": "service", "instances": 1, "per_hall": 1, "load_ms": 1000 },
        ],
        "classes": [
            { "name": "urgent", "priority": 0, "reserved": 2, "deadline_ms": 20000 },
            { "name": "drafting", "priority": 5, "preempt": true, "deadline_ms": 20000 },
            { "name": "letter", "priority": 3, "repeat": false, "deadline_ms": 20000 },
        ],
        "accounts": [
            { "name": "desk", "key_sha256": key(DESK_KEY), "classes": ["urgent", "drafting", "letter"] },
            { "name": "branch", "key_sha256": key(BRANCH_KEY), "classes": ["drafting"], "limit": 4 },
        ],
    })
}

impl Fleet {
    /// Starts the processes; no bundle is in force yet.
    ///
    /// # Panics
    /// When a process can't be started.
    pub fn start(binary: &str, plan: &FleetPlan) -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        std::fs::write(dir.path().join("fleet.key"), "k".repeat(40)).expect("a file");
        for name in ["anna", "ben"] {
            std::fs::write(dir.path().join(format!("{name}.token")), name).expect("a file");
        }
        let mut fleet = Self {
            platform: Platform::start(),
            fabric: Fabric::new(),
            engines: BTreeMap::new(),
            service: Service::start(),
            routers: BTreeMap::new(),
            agents: BTreeMap::new(),
            relays: BTreeMap::new(),
            platform_relays: BTreeMap::new(),
            binary: binary.to_string(),
            dir,
            lease_ms: plan.lease_ms,
            limits: plan.limits,
        };
        for i in 1..=plan.engines {
            let id = format!("i{i}");
            let engine = Engine::start(&id, &fleet.fabric, plan.engine.clone());
            fleet.engines.insert(id.clone(), engine);
            fleet.start_agent(&id);
        }
        if plan.service {
            fleet.start_agent("s1");
        }
        for i in 1..=plan.routers {
            fleet.start_router(&format!("e{i}"));
        }
        fleet.list_all();
        fleet
    }

    /// Starts a fleet, puts the test bundle in force and waits until its groups are open.
    ///
    /// # Panics
    /// When a step takes longer than [`LONG`].
    pub fn serving(binary: &str, plan: &FleetPlan) -> Self {
        let fleet = Self::start(binary, plan);
        let groups = (plan.engines / 4).max(1);
        fleet.roll(&test_bundle(groups as u32));
        fleet.wait_open(groups);
        fleet
    }

    /// Starts or restarts an agent; its address in the instance list stays the same.
    pub fn start_agent(&mut self, id: &str) {
        let (endpoint, kind) = match self.engines.get(id) {
            Some(engine) => (engine.addr(), "engine"),
            None => (self.service.addr(), "service"),
        };
        let lease = self.lease_ms;
        let text = format!(
            "[instance]\nid = {id}\n[fleet]\nkey_file = {}\n[listen]\npeers = 127.0.0.1:0\n\
             [sessions]\nidle_ms = 300\nreport_ms = 50\n{}\
             [endpoint]\naddr = {endpoint}\nkind = {kind}\nstatus_ms = 200\n\
             [group]\nlease_ms = {lease}\nmargin_ms = {}\nask_ms = {}\nleave_ms = 1500\nload_retry_ms = 200\n",
            self.dir.path().join("fleet.key").display(),
            line("limit", self.limits.sessions),
            lease / 10,
            lease / 4,
        );
        let process = self.start_process("agent", id, &text);
        self.agents.insert(id.to_string(), process);
    }

    /// Starts or restarts a router; its address in the instance list stays the same.
    pub fn start_router(&mut self, id: &str) {
        let platform = self.platform.addr();
        let relay = self
            .platform_relays
            .entry(id.to_string())
            .or_insert_with(|| Relay::start(platform));
        let platform = relay.addr();
        let token = |name: &str| {
            let digest = Sha256::digest(name.as_bytes());
            digest
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect::<String>()
        };
        let text = format!(
            "[instance]\nid = {id}\nhall = brno1\n[fleet]\nkey_file = {}\n\
             [listen]\npeers = 127.0.0.1:0\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
             [operators]\nanna = {}\nben = {}\n\
             [sessions]\nidle_ms = 300\n{}\
             [limits]\n{}\
             [platform]\nkv = {platform}\nlist = {platform}\nlist_ms = 100\ncall_ms = 500\n\
             [bundles]\nproof_ms = 2000\nprove_ms = 300\nask_ms = 400\n\
             [planner]\nlease_ms = 2000\nplan_ms = 50\npatience_ms = 1200\nwrites_per_min = 600\n\
             [claims]\nkeep_ms = 60000\n[requests]\nhint_ms = 200\n",
            self.dir.path().join("fleet.key").display(),
            token("anna"),
            token("ben"),
            line("limit", self.limits.sessions),
            line("callers", self.limits.callers),
        );
        let process = self.start_process("router", id, &text);
        self.routers.insert(id.to_string(), process);
    }

    fn start_process(&mut self, role: &str, id: &str, text: &str) -> Process {
        let settings = self.dir.path().join(format!("{id}.ini"));
        std::fs::write(&settings, text).expect("a settings file");
        let process = Process::start(
            &self.binary,
            role,
            id,
            &settings,
            &self.log(id),
            self.limits.descriptors,
        );
        match self.relays.get(id) {
            Some(relay) => relay.set_target(process.peers),
            None => {
                let relay = Relay::start(process.peers);
                self.relays.insert(id.to_string(), relay);
            }
        }
        process
    }

    /// Path of a process's log.
    pub fn log(&self, id: &str) -> PathBuf {
        self.dir.path().join(format!("{id}.log"))
    }

    /// Lines of a process's log that contain a text.
    pub fn logged(&self, id: &str, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.log(id)).unwrap_or_default();
        log.lines()
            .filter(|l| l.contains(text))
            .map(str::to_string)
            .collect()
    }

    /// Path of a file in the fleet's folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Replaces the instance list by one that has every process as live.
    pub fn list_all(&self) {
        let entry = |id: &String, kind: &str, domain: &str| ListedInstance {
            id: id.clone(),
            hall: "brno1".into(),
            domain: domain.into(),
            kind: kind.into(),
            state: "live".into(),
            addr: self.relays[id].addr(),
        };
        let mut rows = Vec::new();
        for id in self.agents.keys() {
            let engine = self.engines.contains_key(id);
            let kind = if engine { "engine" } else { "service:checkout" };
            rows.push(entry(id, kind, "d1"));
        }
        rows.extend(self.routers.keys().map(|id| entry(id, "router", "")));
        self.platform.set_instances(rows);
    }

    /// Runs an operator's command against a router.
    pub fn operate(&self, operator: &str, router: &str, args: &[&str]) -> Output {
        let addr = self.routers[router].operators.expect("an address");
        Command::new(&self.binary)
            .args(args)
            .arg("--router")
            .arg(addr.to_string())
            .arg("--token-file")
            .arg(self.file(&format!("{operator}.token")))
            .output()
            .expect("the binary starts")
    }

    /// Submits and approves a bundle and puts it in force (`roll`); returns its number.
    ///
    /// # Panics
    /// When a step doesn't succeed within [`LONG`].
    pub fn roll(&self, bundle: &Value) -> u64 {
        let router = self.routers.keys().next().expect("a router").clone();
        let number = self.submit(&router, bundle);
        let text = number.to_string();
        for (operator, verb) in [("ben", "approve"), ("anna", "roll")] {
            let done = until(LONG, || {
                self.operate(operator, &router, &["bundle", verb, &text])
                    .status
                    .success()
            });
            assert!(done, "bundle {number}: {verb} did not succeed in time");
        }
        number
    }

    /// Submits a bundle; returns its number.
    ///
    /// # Panics
    /// When a step doesn't succeed within [`LONG`].
    pub fn submit(&self, router: &str, bundle: &Value) -> u64 {
        let file = self.file("bundle.json");
        std::fs::write(&file, bundle.to_string()).expect("a file");
        let file = file.display().to_string();
        let mut number = None;
        let done = until(LONG, || {
            let output = self.operate("anna", router, &["bundle", "submit", &file]);
            let text = String::from_utf8_lossy(&output.stdout).to_string();
            number = text
                .split_whitespace()
                .find_map(|w| w.trim_end_matches(';').parse().ok());
            output.status.success()
        });
        assert!(done, "the bundle was not submitted in time");
        number.expect("the number of the bundle")
    }

    /// Status of the fleet as a router reports it; null when it reports none.
    pub fn status(&self, router: &str) -> Value {
        let output = self.operate("anna", router, &["status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// Open groups of model `desk` that a router reports.
    pub fn open_groups(&self, router: &str) -> Vec<Value> {
        let status = self.status(router);
        let groups = status["groups"].as_array().cloned().unwrap_or_default();
        groups
            .into_iter()
            .filter(|g| g["state"] == "open" && g["model"] == "desk")
            .collect()
    }

    /// Waits until every router reports at least this many open groups of model `desk`.
    ///
    /// # Panics
    /// When a step takes longer than [`LONG`].
    pub fn wait_open(&self, count: usize) {
        for router in self.routers.keys() {
            let open = until(LONG, || self.open_groups(router).len() >= count);
            assert!(
                open,
                "{router} reports fewer than {count} open groups: {}",
                self.status(router)
            );
        }
    }

    /// A router's address for callers.
    pub fn callers(&self, router: &str) -> SocketAddr {
        self.routers[router].callers.expect("an address")
    }

    /// Sends a chat request to a router.
    pub fn chat(&self, router: &str, call: &Chat) -> Answer {
        post(self.callers(router), &call.to_call())
    }

    /// Instance ids of the members of the first group of model `desk` that a router reports, its
    /// leader first.
    pub fn members(&self, router: &str) -> Vec<String> {
        let groups = self.status(router)["groups"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let group = groups.iter().find(|g| g["model"] == "desk");
        let members = group
            .and_then(|g| g["members"].as_array().cloned())
            .unwrap_or_default();
        members
            .iter()
            .filter_map(|m| m.as_str().map(str::to_string))
            .collect()
    }
}

/// A line of a settings file; empty if there is no value.
fn line(key: &str, value: Option<usize>) -> String {
    value.map_or(String::new(), |v| format!("{key} = {v}\n"))
}

/// A chat request of a test.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Bearer key.
    pub key: String,
    /// Request class.
    pub class: String,
    /// Prompt.
    pub prompt: String,
    /// Number of pieces of the answer.
    pub pieces: u64,
    /// Value of the header `Idempotency-Key`.
    pub once: Option<String>,
    /// Value of the header `Runrail-Deadline-Ms`.
    pub deadline_ms: Option<u64>,
}

impl Default for Chat {
    fn default() -> Self {
        Self {
            key: DESK_KEY.into(),
            class: "urgent".into(),
            prompt: "check this payee".into(),
            pieces: 8,
            once: None,
            deadline_ms: None,
        }
    }
}

impl Chat {
    /// The HTTP request for it.
    pub fn to_call(&self) -> Call {
        let body = json!({
            "model": "desk",
            "stream": true,
            "max_tokens": self.pieces,
            "messages": [{ "role": "user", "content": self.prompt }],
        });
        let mut headers = vec![
            ("Authorization".to_string(), format!("Bearer {}", self.key)),
            ("Runrail-Class".to_string(), self.class.clone()),
        ];
        if let Some(key) = &self.once {
            headers.push(("Idempotency-Key".into(), key.clone()));
        }
        if let Some(ms) = self.deadline_ms {
            headers.push(("Runrail-Deadline-Ms".into(), ms.to_string()));
        }
        Call {
            path: "/v1/chat/completions".into(),
            body: body.to_string(),
            headers,
        }
    }
}
