use std::io;

use super::node_actor::{self, Environment, Platform};
use super::{Addresses, Clock, HostEvent, Inbox, ProcessHandle};
use crate::etcd::{KvClient, ListClient, PlatformSettings, Watcher};
use crate::http::{CallerApi, OperatorApi, ServerLimits};
use crate::logic::intake::IntakeLimits;
use crate::logic::router::{Keys, RouterState};
use crate::logic::{Event, Node, PeerRole};
use crate::observe::Metrics;
use crate::settings::RouterSettings;
use crate::types::InstanceId;
use crate::wire::{Identity, Net, NetEvent};

/// Most calls of operators in flight.
const MAX_OPERATOR_CALLS: usize = 32;

/// Memory for the bundles that operators send at the same time.
const MAX_OPERATOR_BYTES: usize = 4 * 1024 * 1024;

/// Starts a router on threads of this process.
///
/// # Errors
/// Returns the error if a socket can't be opened or a thread can't be started.
pub fn run_router(settings: RouterSettings) -> io::Result<ProcessHandle> {
    let (inbox, events) = Inbox::new();
    let identity = Identity {
        id: InstanceId::new(&settings.id),
        incarnation: fastrand::u64(1..),
        role: PeerRole::Router,
        key: settings.key.clone(),
    };
    let net = start_net(&identity, settings.net.clone(), &inbox)?;
    let platform = start_platform(&settings.platform, &settings.hall, &inbox)?;
    let state = RouterState::new(
        identity.id.clone(),
        net.addr(),
        &settings.hall,
        identity.incarnation,
        settings.params.clone(),
    );
    let limits_met = net.limits_met();
    let callers = CallerApi::new(inbox.clone(), identity.incarnation).serve(
        settings.callers,
        caller_limits(&settings),
        limits_met.clone(),
    )?;
    let operators = OperatorApi::new(inbox.clone(), &settings.operators).serve(
        settings.operator_listen,
        operator_limits(&settings),
        limits_met.clone(),
    )?;
    let addresses = Addresses {
        peers: net.addr(),
        callers: Some(callers.addr()),
        operators: Some(operators.addr()),
    };
    let running_net = net.clone();
    let environment = Environment {
        clock: Clock::start(),
        net,
        platform: Some(platform),
        endpoint: None,
        metrics: Metrics::new(settings.statsd)?,
        limits_met,
    };
    let thread = node_actor::spawn(Node::Router(Box::new(state)), environment, events)?;
    Ok(ProcessHandle {
        addresses,
        inbox,
        thread,
        net: running_net,
        servers: vec![callers, operators],
    })
}

/// Limits on callers. The memory of a request counts once and is in use twice: as it was received, and for the
/// agent.
fn caller_limits(settings: &RouterSettings) -> ServerLimits {
    let intake = settings.intake.callers();
    ServerLimits {
        listener: "callers",
        open_requests: settings.caller_limit,
        body_bytes: settings.body_limit,
        intake: IntakeLimits {
            request_bytes: (intake.request_bytes / 2).max(2 * settings.body_limit),
            ..intake
        },
    }
}

fn operator_limits(settings: &RouterSettings) -> ServerLimits {
    let intake = settings.intake.others();
    ServerLimits {
        listener: "operators",
        open_requests: MAX_OPERATOR_CALLS,
        intake: IntakeLimits {
            request_bytes: MAX_OPERATOR_BYTES,
            ..intake
        },
        ..ServerLimits::default()
    }
}

/// Starts the sessions of a process with others; their events go to its inbox.
///
/// # Errors
/// Returns the error if the listener can't be opened or a thread can't be started.
pub(super) fn start_net(
    identity: &Identity,
    settings: crate::wire::NetSettings,
    inbox: &Inbox,
) -> io::Result<Net> {
    let inbox = inbox.clone();
    Net::start(identity.clone(), settings, move |event| {
        inbox.send(match event {
            NetEvent::Connected(peer) => HostEvent::Step(Event::SessionOpened(peer)),
            NetEvent::Disconnected(id) => HostEvent::Step(Event::SessionClosed(id)),
            NetEvent::Message { from, message } => {
                HostEvent::Step(Event::Message { from, message })
            }
            NetEvent::SessionRefused { peer, reason } => HostEvent::SessionRefused { peer, reason },
        });
    })
}

fn start_platform(settings: &PlatformSettings, hall: &str, inbox: &Inbox) -> io::Result<Platform> {
    let kv_inbox = inbox.clone();
    let kv = KvClient::start(settings, move |call, result| {
        kv_inbox.send(HostEvent::Step(Event::Store { call, result }));
    })?;
    let watch_inbox = inbox.clone();
    let watcher = Watcher::new(settings, Keys::FLEET, move |change| {
        watch_inbox.send(HostEvent::Step(match change {
            Some(changes) => Event::Watch(changes),
            None => Event::WatchInterrupted,
        }));
    });
    let list_inbox = inbox.clone();
    let list = ListClient::start(settings, hall, move |list| {
        list_inbox.send(HostEvent::Step(Event::Instances(list)));
    })?;
    Ok(Platform { kv, watcher, list })
}
