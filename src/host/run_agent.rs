use std::io;

use super::node_actor::{self, Outside};
use super::run_router::start_net;
use super::{Addresses, Clock, HostEvent, Inbox, Running};
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
/// Returns the error of a socket or a thread that can't be had.
pub fn run_agent(settings: AgentSettings) -> io::Result<Running> {
    let (inbox, events) = Inbox::new();
    let me = Identity {
        id: InstanceId::new(&settings.id),
        incarnation: fastrand::u64(1..),
        role: PeerRole::Agent,
        key: settings.key.clone(),
    };
    let net = start_net(&me, settings.net.clone(), &inbox)?;
    let clock = Clock::start();
    let state = AgentState::new(
        me.id.clone(),
        me.incarnation,
        clock.now(),
        settings.knobs.clone(),
    );
    let answers = inbox.clone();
    let endpoint = EndpointClient::new(settings.endpoint.clone(), clock, move |event| {
        answers.send(HostEvent::Step(Event::Endpoint(event)));
    });
    endpoint.watch_status();
    let addresses = Addresses {
        peers: net.addr(),
        callers: None,
        operators: None,
    };
    let sessions = net.clone();
    let outside = Outside {
        clock,
        net,
        platform: None,
        endpoint: Some(endpoint),
        metrics: Metrics::new(settings.statsd)?,
    };
    let thread = node_actor::spawn(Node::Agent(Box::new(state)), outside, events)?;
    Ok(Running {
        addresses,
        inbox,
        thread,
        net: sessions,
        servers: Vec::new(),
    })
}
