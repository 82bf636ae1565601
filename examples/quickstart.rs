//! Starts a small fleet in one process and serves a request.
//!
//! The platform and the engines are stand-ins from `testkit`. The router and the four agents
//! are the real ones, on threads of this process. The fleet runs until it is stopped.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use runrail::etcd::PlatformSettings;
use runrail::host::{run_agent, run_router, HostEvent, ProcessHandle};
use runrail::logic::agent::AgentParams;
use runrail::logic::router::{OperatorCall, OperatorReply, RouterParams};
use runrail::settings::{AgentSettings, RouterSettings};
use runrail::types::BundleBody;
use testkit::{post, Call, Engine, EngineParams, Fabric, ListedInstance, Platform};

/// SHA-256 of the API key `desk-key`.
const KEY_SHA256: &str = "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28";
const FLEET_KEY: &[u8] = b"quickstart-key-of-at-least-32-bytes";

fn main() -> Result<(), Box<dyn Error>> {
    println!("1. starting stand-ins for the platform and four engines");
    let platform = Platform::start();
    let fabric = Fabric::new();
    let mut instances = Vec::new();
    let mut agents = Vec::new();
    println!("2. starting an agent for each engine");
    for i in 1..=4 {
        let id = format!("brno1-r1-i{i}");
        let params = EngineParams {
            piece: Duration::from_millis(60),
            ..EngineParams::default()
        };
        let engine = Engine::start(&id, &fabric, params);
        let agent = start_agent(&id, &engine)?;
        instances.push(ListedInstance {
            id,
            hall: "brno1".into(),
            domain: "brno1-r1".into(),
            kind: "engine".into(),
            state: "live".into(),
            addr: agent.addresses().peers,
        });
        agents.push(agent);
    }
    println!("3. starting a router");
    let router = start_router(&platform)?;
    instances.push(ListedInstance {
        id: "brno1-e1".into(),
        hall: "brno1".into(),
        domain: String::new(),
        kind: "router".into(),
        state: "live".into(),
        addr: router.addresses().peers,
    });
    platform.set_instances(instances);
    println!("4. submitting a bundle as anna, approving it as ben, putting it in force");
    roll_bundle(&router)?;
    println!("5. waiting for the group: its members grant presence leases, the engines load");
    let callers = router
        .addresses()
        .callers
        .ok_or("the router has no listener for callers")?;
    let start = Instant::now();
    let mut answer = post(callers, &chat_call());
    while !answer.is_answered() {
        if start.elapsed() > Duration::from_secs(30) {
            return Err(format!("no complete answer within 30 s: {answer:?}").into());
        }
        std::thread::sleep(Duration::from_millis(100));
        answer = post(callers, &chat_call());
    }
    println!("6. answered in {} pieces: {}", answer.pieces, answer.text);
    println!("\nTry it (Ctrl-C stops the fleet):\n");
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer desk-key' \\\n  \
         -d '{{\"model\":\"desk\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"check this payee\"}}]}}'"
    );
    router.wait();
    Ok(())
}

fn start_agent(id: &str, engine: &Engine) -> Result<ProcessHandle, Box<dyn Error>> {
    let mut settings = AgentSettings {
        id: id.into(),
        key: Arc::from(FLEET_KEY),
        params: AgentParams {
            lease_ms: 1_000,
            margin_ms: 100,
            ask_ms: 300,
            ..AgentParams::default()
        },
        ..AgentSettings::default()
    };
    settings.endpoint.addr = engine.addr();
    Ok(run_agent(settings)?)
}

fn start_router(platform: &Platform) -> Result<ProcessHandle, Box<dyn Error>> {
    Ok(run_router(RouterSettings {
        id: "brno1-e1".into(),
        hall: "brno1".into(),
        key: Arc::from(FLEET_KEY),
        platform: PlatformSettings {
            kv_addrs: vec![platform.addr()],
            list_addr: platform.addr(),
            ..PlatformSettings::default()
        },
        params: RouterParams {
            list_ms: 200,
            plan_ms: 100,
            ..RouterParams::default()
        },
        ..RouterSettings::default()
    })?)
}

fn roll_bundle(router: &ProcessHandle) -> Result<(), Box<dyn Error>> {
    let body: BundleBody = serde_json::from_value(serde_json::json!({
        "title": "quickstart",
        "models": [{ "name": "desk", "version": "1", "instances": 4, "per_hall": 1 }],
        "classes": [{ "name": "urgent", "priority": 0 }],
        "accounts": [{ "name": "desk", "key_sha256": KEY_SHA256, "classes": ["urgent"] }],
    }))?;
    let submit = || OperatorCall::Submit {
        by: "anna".into(),
        body: Box::new(body.clone()),
    };
    let start = Instant::now();
    let number = loop {
        // The router may not have read the platform's key-value service yet.
        match send_operator_call(router, submit())? {
            OperatorReply::Submitted(number) => break number,
            other if start.elapsed() > Duration::from_secs(10) => {
                return Err(format!("bundle not submitted within 10 s: {other:?}").into());
            }
            _ => std::thread::sleep(Duration::from_millis(50)),
        }
    };
    let steps = [
        OperatorCall::Approve {
            by: "ben".into(),
            number,
        },
        OperatorCall::Roll {
            by: "anna".into(),
            number,
        },
    ];
    for step in steps {
        let start = Instant::now();
        loop {
            match send_operator_call(router, step.clone())? {
                OperatorReply::Problem(p) if start.elapsed() > Duration::from_secs(10) => {
                    return Err(format!("operator call failed for 10 s: {p:?}").into());
                }
                OperatorReply::Problem(_) => std::thread::sleep(Duration::from_millis(50)),
                _ => break,
            }
        }
    }
    Ok(())
}

/// Sends an operator's call to the router and waits for the reply.
fn send_operator_call(
    router: &ProcessHandle,
    call: OperatorCall,
) -> Result<OperatorReply, Box<dyn Error>> {
    let (reply, answer) = tokio::sync::oneshot::channel();
    router.inbox().send(HostEvent::Operator { call, reply });
    Ok(answer.blocking_recv()?)
}

fn chat_call() -> Call {
    let body = serde_json::json!({
        "model": "desk",
        "stream": true,
        "messages": [{ "role": "user", "content": "check this payee" }],
    });
    Call {
        path: "/v1/chat/completions".into(),
        body: body.to_string(),
        headers: vec![("Authorization".into(), "Bearer desk-key".into())],
    }
}
