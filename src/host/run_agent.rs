use std::io;

use super::node_actor::{self, Environment};
use super::run_router::start_net;
use super::{Addresses, Clock, HostEvent, Inbox, ProcessHandle};
use crate::endpoint::EndpointClient;
use crate::logic::agent::AgentState;
use crate::logic::{Event, Node, PeerRole};
use crate::observe::Metrics;
use crate::settings::AgentSettings;
use crate::types::InstanceId;
use crate::wire::Identity;

/// Starts an agent on threads of this process.
///
/// # Errors
/// Returns the error if a socket can't be opened or a thread can't be started.
pub fn run_agent(settings: AgentSettings) -> io::Result<ProcessHandle> {
    let (inbox, events) = Inbox::new();
    let identity = Identity {
        id: InstanceId::new(&settings.id),
        incarnation: fastrand::u64(1..),
        role: PeerRole::Agent,
        key: settings.key.clone(),
    };
    let net = start_net(&identity, settings.net.clone(), &inbox)?;
    let clock = Clock::start();
    let state = AgentState::new(
        identity.id.clone(),
        identity.incarnation,
        clock.now(),
        settings.params.clone(),
    );
    let endpoint_inbox = inbox.clone();
    let endpoint = EndpointClient::new(settings.endpoint.clone(), clock, move |event| {
        endpoint_inbox.send(HostEvent::Step(Event::Endpoint(event)));
    });
    endpoint.poll_status();
    let addresses = Addresses {
        peers: net.addr(),
        callers: None,
        operators: None,
    };
    let running_net = net.clone();
    let environment = Environment {
        clock,
        limits_met: net.limits_met(),
        net,
        platform: None,
        endpoint: Some(endpoint),
        metrics: Metrics::new(settings.statsd)?,
    };
    let thread = node_actor::spawn(Node::Agent(Box::new(state)), environment, events)?;
    Ok(ProcessHandle {
        addresses,
        inbox,
        thread,
        net: running_net,
        servers: Vec::new(),
    })
}
