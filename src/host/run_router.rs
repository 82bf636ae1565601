use std::io;

use super::node_actor::{self, Outside, Platform};
use super::{Addresses, Clock, HostEvent, Inbox, Running};
use crate::etcd::{KvClient, ListClient, PlatformSettings, Watcher};
use crate::http::{CallerApi, HttpServer, OperatorApi};
use crate::logic::router::{Keys, RouterState};
use crate::logic::{Event, Node, PeerRole};
use crate::observe::Metrics;
use crate::settings::RouterSettings;
use crate::types::InstanceId;
use crate::wire::{Identity, Net, NetEvent};

/// Operators' calls at once.
const OPERATOR_LIMIT: usize = 32;

/// Starts a router on threads of this process.
///
/// # Errors
/// Returns the error of a socket or a thread that can't be had.
pub fn run_router(settings: RouterSettings) -> io::Result<Running> {
    let (inbox, events) = Inbox::new();
    let me = Identity {
        id: InstanceId::new(&settings.id),
        incarnation: fastrand::u64(1..),
        role: PeerRole::Router,
        key: settings.key.clone(),
    };
    let net = start_net(&me, settings.net.clone(), &inbox)?;
    let platform = start_platform(&settings.platform, &settings.hall, &inbox)?;
    let state = RouterState::new(
        me.id.clone(),
        net.addr(),
        &settings.hall,
        me.incarnation,
        settings.knobs.clone(),
    );
    let api = CallerApi::new(inbox.clone(), me.incarnation, settings.body_limit);
    let callers = HttpServer::start(settings.callers, settings.caller_limit, move |r| {
        api.serve(r)
    })?;
    let api = OperatorApi::new(inbox.clone(), &settings.operators);
    let operators = HttpServer::start(settings.operator_listen, OPERATOR_LIMIT, move |r| {
        api.serve(r)
    })?;
    let addresses = Addresses {
        peers: net.addr(),
        callers: Some(callers.addr()),
        operators: Some(operators.addr()),
    };
    let sessions = net.clone();
    let outside = Outside {
        clock: Clock::start(),
        net,
        platform: Some(platform),
        endpoint: None,
        metrics: Metrics::new(settings.statsd)?,
    };
    let thread = node_actor::spawn(Node::Router(Box::new(state)), outside, events)?;
    Ok(Running {
        addresses,
        inbox,
        thread,
        net: sessions,
        servers: vec![callers, operators],
    })
}

/// Starts the sessions of a process; what they bring goes to its inbox.
pub(super) fn start_net(
    me: &Identity,
    settings: crate::wire::NetSettings,
    inbox: &Inbox,
) -> io::Result<Net> {
    let inbox = inbox.clone();
    Net::start(me.clone(), settings, move |event| {
        inbox.send(match event {
            NetEvent::Up(peer) => HostEvent::Step(Event::Up(peer)),
            NetEvent::Down(id) => HostEvent::Step(Event::Down(id)),
            NetEvent::Message { from, message } => {
                HostEvent::Step(Event::Message { from, message })
            }
            NetEvent::Refused { peer, why } => HostEvent::Refused { peer, why },
        });
    })
}

fn start_platform(settings: &PlatformSettings, hall: &str, inbox: &Inbox) -> io::Result<Platform> {
    let results = inbox.clone();
    let kv = KvClient::start(settings, move |call, result| {
        results.send(HostEvent::Step(Event::Store { call, result }));
    })?;
    let changes = inbox.clone();
    let watcher = Watcher::new(settings, Keys::FLEET, move |change| {
        changes.send(HostEvent::Step(match change {
            Some(changes) => Event::Watch(changes),
            None => Event::WatchLost,
        }));
    });
    let lists = inbox.clone();
    let list = ListClient::start(settings, hall, move |list| {
        lists.send(HostEvent::Step(Event::List(list)));
    })?;
    Ok(Platform { kv, watcher, list })
}
