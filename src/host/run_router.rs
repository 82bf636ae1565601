use std::io;

use super::node_actor::{self, Environment, Platform};
use super::{Addresses, Clock, HostEvent, Inbox, ProcessHandle};
use crate::etcd::{KvClient, ListClient, PlatformSettings, Watcher};
use crate::http::{CallerApi, HttpServer, OperatorApi};
use crate::logic::router::{Keys, RouterState};
use crate::logic::{Event, Node, PeerRole};
use crate::observe::Metrics;
use crate::settings::RouterSettings;
use crate::types::InstanceId;
use crate::wire::{Identity, Net, NetEvent};

/// Most calls of operators in flight.
const MAX_OPERATOR_CALLS: usize = 32;

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
    let api = CallerApi::new(inbox.clone(), identity.incarnation, settings.body_limit);
    let callers = HttpServer::start(settings.callers, settings.caller_limit, move |r| {
        api.serve(r)
    })?;
    let api = OperatorApi::new(inbox.clone(), &settings.operators);
    let operators = HttpServer::start(settings.operator_listen, MAX_OPERATOR_CALLS, move |r| {
        api.serve(r)
    })?;
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
