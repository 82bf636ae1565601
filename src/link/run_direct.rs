use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stakker::{actor, call, ret_nop, ActorOwn, Stakker};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep, MissedTickBehavior};

use super::answer_room::AnswerRoom;
use super::direct_actor::DirectActor;
use super::excerpt::excerpt;
use super::link_event::LinkEvent;
use super::pool::Pool;
use super::refused_entries::RefusedEntries;
use super::shared::Shared;
use super::store::PrefixEntries;
use super::store_gate::StoreGate;
use super::unknown_names::UnknownNames;
use super::watches::{self, WatchPace};
use super::{callers, operator_watch, peers, ready, snapshots, PlatformAdapter};
use crate::host::Clock;
use crate::intake::{Gate, LimitCounts};
use crate::logic::direct::{DirectEvent, DirectState, ListChange, ListPace};
use crate::logic::router::StoreChange;
use crate::logic::{Event, LogCode, LogEvent, Node};
use crate::observe::Metrics;
use crate::settings::DirectSettings;
use crate::types::{CallerLimits, InstanceId, MissingValue, StorePosition};

/// Time between two ticks. Less than the interval that the reducer requires, so that waiting
/// requests are sent without much delay.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Memory for all answers of endpoints that are read whole.
const ENDPOINT_ROOM_BYTES: usize = 32 * 1024 * 1024;

/// Memory for all answers of the store and of other routers.
const STORE_ROOM_BYTES: usize = 24 * 1024 * 1024;

/// Interval at which idle connections are checked for expiry.
const REAP_INTERVAL: Duration = Duration::from_secs(1);

/// Time that the shutdown waits for callers' connections to close if the grace time is nearly over.
const MIN_FLUSH_TIME: Duration = Duration::from_millis(400);

/// Runs a router with direct links on this thread until it has shut down.
///
/// # Errors
/// Returns the error if the async runtime, a listener, a socket or a signal handler can't be set
/// up.
pub fn run_direct(settings: &DirectSettings, adapter: PlatformAdapter) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, adapter))
}

async fn serve(settings: &DirectSettings, adapter: PlatformAdapter) -> io::Result<()> {
    let clock = Clock::start();
    let limits_met = Arc::<LimitCounts>::default();
    let limits = settings.intake.callers();
    let callers_gate = Gate::new("callers", limits, limits_met.clone());
    let others = |listener| Gate::new(listener, settings.intake.others(), limits_met.clone());
    let (ready_gate, metrics_gate, peers_gate) =
        (others("ready"), others("metrics"), others("peers"));
    let shared = Rc::new(Shared {
        adapter,
        clock,
        watch_restart: Notify::new(),
        routing_reads: Cell::new(0),
        store: settings.store,
        pool: Pool::new(clock),
        endpoint_room: AnswerRoom::new(ENDPOINT_ROOM_BYTES),
        store_room: AnswerRoom::new(STORE_ROOM_BYTES),
        callers_gate,
        hold_ms: limits.hold_ms,
        limits_met,
        callers: RefCell::new(HashMap::new()),
        runs: RefCell::new(HashMap::new()),
        limits: Cell::new(CallerLimits::default()),
        routers: Cell::new(1),
        reads_per_s: settings.reads_per_s,
        gate: StoreGate::default(),
        calls: RefCell::new(BTreeMap::new()),
        unknown: UnknownNames::default(),
        refused: RefusedEntries::default(),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        closed: Cell::new(false),
        close_listener: Notify::new(),
        list_source: Cell::new(None),
        list_restart: Notify::new(),
        list_pace: Cell::new(ListPace::Slow),
        era: Cell::new(None),
        era_changed: Notify::new(),
        known_upto: Cell::new(StorePosition::default()),
        routing_held: Cell::new(false),
        operator_keys: RefCell::new(None),
        keys_source: Cell::new(None),
        pace_changed: Notify::new(),
        own_watch: (Cell::new(StorePosition::default()), Notify::new()),
        exit_by: Cell::new(0),
        exit: Notify::new(),
        open_connections: Rc::new(()),
        peers: RefCell::new(None),
        sink: RefCell::new(None),
    });
    let callers = TcpListener::bind(settings.callers).await?;
    let readiness = TcpListener::bind(settings.ready).await?;
    start_actor(settings, &shared)?;
    settings.missing_values.iter().for_each(log_missing_value);
    if let Some(listen) = settings.peers {
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        *shared.peers.borrow_mut() = Some(socket.clone());
        tokio::task::spawn_local(peers::receive(shared.clone(), socket));
        let listener = TcpListener::bind(listen).await?;
        tokio::task::spawn_local(snapshots::serve(shared.clone(), listener, peers_gate));
    }
    tokio::task::spawn_local(ready::serve(shared.clone(), readiness, ready_gate));
    if let Some(listen) = settings.metrics {
        let listener = TcpListener::bind(listen).await?;
        tokio::task::spawn_local(ready::serve(shared.clone(), listener, metrics_gate));
    }
    tokio::task::spawn_local(callers::serve(shared.clone(), callers));
    tokio::task::spawn_local(send_ticks(shared.clone()));
    tokio::task::spawn_local(reap_idle(shared.clone()));
    tokio::task::spawn_local(operator_watch::follow(
        shared.clone(),
        settings.routing_pace(),
    ));
    tokio::task::spawn_local(follow_list(shared.clone(), settings.list_pace()));
    tokio::task::spawn_local(follow_own(shared.clone(), settings.own_pace()));
    tokio::task::spawn_local(signal_handler(shared.clone())?);
    shared.exit.notified().await;
    flush_answers(&shared).await;
    Ok(())
}

/// Creates the actor and sets the sink that hands events to it.
fn start_actor(settings: &DirectSettings, shared: &Rc<Shared>) -> io::Result<()> {
    let mut state = DirectState::new(
        InstanceId::new(&settings.id),
        &settings.hall,
        fastrand::u64(1..),
        settings.params.clone(),
    );
    state.plan.first_start = settings.first_start;
    state.plan.has_predecessor = !settings.first_start;
    state.own_addr = settings.peers;
    let node = Node::Direct(Box::new(state));
    let metrics = Metrics::new(None)?;
    let mut stakker = Stakker::new(Instant::now());
    let owner: ActorOwn<DirectActor> = actor!(
        stakker,
        DirectActor::init(node, shared.clone(), metrics),
        ret_nop!()
    );
    stakker.run(Instant::now(), false);
    let stakker = RefCell::new(stakker);
    let sink = move |event: LinkEvent| {
        call!([owner], handle(event));
        stakker.borrow_mut().run(Instant::now(), false);
    };
    *shared.sink.borrow_mut() = Some(Box::new(sink));
    Ok(())
}

async fn send_ticks(shared: Rc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.send(LinkEvent::Step(Event::Tick));
    }
}

async fn reap_idle(shared: Rc<Shared>) {
    loop {
        sleep(REAP_INTERVAL).await;
        shared.pool.reap();
    }
}

/// Passes the endpoint list and its changes to the reducer; invalid entries are logged.
async fn follow_list(shared: Rc<Shared>, pace: WatchPace) {
    let read = |entry: &crate::logic::router::StoreEntry| match (shared.adapter.parse_entry)(entry)
    {
        Ok(read) => {
            shared.refused.clear(&entry.key);
            let from = read.id.as_str();
            shared
                .unknown
                .record("field of an endpoint's entry", &read.unknown, from);
            Some((read.id, read.entry))
        }
        Err(why) => {
            shared.refused.record(&entry.key, &why);
            None
        }
    };
    let on_entries = |list: PrefixEntries, _| {
        let at = list.position;
        let entries = list.entries.iter().filter_map(read).collect();
        shared.send_direct(DirectEvent::ListRead { at, entries });
    };
    let on_changes = |at, mut changes: Vec<StoreChange>| {
        changes.sort_by_key(|c| c.revision);
        // An invalid entry counts as removed, as its endpoint can't be used.
        let changes = changes.iter().filter_map(|c| {
            let id = c.key.strip_prefix(shared.adapter.list_prefix)?;
            if c.value.is_none() {
                shared.refused.clear(&c.key);
            }
            let entry = watches::as_entry(c).and_then(|entry| read(&entry));
            Some(ListChange {
                id: InstanceId::new(id),
                revision: c.revision,
                entry: entry.map(|(_, entry)| entry),
            })
        });
        let changes = changes.collect();
        shared.send_direct(DirectEvent::ListChanges { at, changes });
    };
    watches::follow(
        shared.clone(),
        shared.adapter.list_prefix,
        pace,
        on_entries,
        on_changes,
    )
    .await;
}

/// Watches the routers' own keys from the position that the reducer gives, each time it requests
/// a watch; reports when the watch has ended.
async fn follow_own(shared: Rc<Shared>, pace: WatchPace) {
    let (at, begin) = &shared.own_watch;
    loop {
        begin.notified().await;
        let mut on_changes = |_, changes: Vec<StoreChange>| {
            if !changes.is_empty() {
                shared.send(LinkEvent::Step(Event::Watch(changes)));
            }
        };
        let prefix = shared.adapter.own_prefix;
        watches::follow_changes(&shared, prefix, pace, at.get(), &mut on_changes).await;
        shared.send(LinkEvent::Step(Event::WatchInterrupted));
    }
}

/// Handles signals: SIGTERM and SIGINT shut the router down, SIGHUP logs that changed settings
/// take effect at the next start.
fn signal_handler(shared: Rc<Shared>) -> io::Result<impl std::future::Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = term.recv() => send_stop(&shared),
                _ = interrupt.recv() => send_stop(&shared),
                _ = hup.recv() => {
                    log_event(LogCode::SettingsChanged, "SIGHUP");
                }
            }
        }
    })
}

/// Logs a value that is missing in the operators' document and the default used for it.
fn log_missing_value(missing: &MissingValue) {
    let event = LogEvent::new(LogCode::ValueMissing)
        .with("place", &missing.place)
        .with("found", &missing.found)
        .with("used", &missing.used);
    log::log!(target: "runrail", event.code.level(), "{event}");
}

/// Logs an event of the host, which the reducer doesn't see.
pub(super) fn log_event(code: LogCode, why: &str) {
    let event = LogEvent::new(code).with("why", excerpt(why));
    log::log!(target: "runrail", code.level(), "{event}");
}

fn send_stop(shared: &Rc<Shared>) {
    shared.send(LinkEvent::Step(Event::Stop));
}

/// Waits until callers' connections have closed, for a bounded time, so that answers which are
/// being written are delivered before the process ends.
async fn flush_answers(shared: &Rc<Shared>) {
    let start = Instant::now();
    let has_time = || shared.clock.now() < shared.exit_by.get() || start.elapsed() < MIN_FLUSH_TIME;
    while Rc::strong_count(&shared.open_connections) > 1 && has_time() {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(20)).await;
}
