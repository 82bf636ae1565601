//! Where a router gets the endpoint list from that has just started, or whose watch has lost its
//! place as the store has forgotten its history.
//!
//! The routers stand in a tree, ordered by a hash of their ids. The few at its top read the list
//! from the store; each other one gets a snapshot of it from its parent and goes on from its
//! position. So the pages that are read don't grow with the number of routers, also where all of
//! them start at once. A router that gets no snapshot in time reads the store.

use std::net::SocketAddr;

use super::{digests, endpoints, peers, tree, DirectEffect, DirectState, ListSnapshot};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Root of the tree. No router has this name, so that its children are the readers.
const ROOT: &str = "list";

/// Time within which a router that has just started knows the other routers.
const PEERS_WAIT_MS: Millis = 300;

/// Time for which a router asks others before it reads the store: several times what the readers
/// take for the list.
const ASK_LIMIT_MS: Millis = 1_000;

/// The same for a router that has callers and whose watch has lost its place: it has to know in time
/// of endpoints that leave.
const LOST_ASK_LIMIT_MS: Millis = 300;

/// Longest random time beyond that, so that routers which got nothing don't read together.
const READ_SPREAD_MS: Millis = 1_000;

/// Pause after an answer without a snapshot: the router asked may be about to get one.
const ASK_PAUSE_MS: Millis = 30;

/// Age from which a snapshot is too old: the receiver couldn't catch up within the time in which an
/// endpoint's leaving has to be known.
const MAX_AGE_MS: Millis = 1_500;

/// State of a router that needs the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ListStart {
    /// Whether the list is being read from the store, or is known.
    pub decided: bool,
    /// Since when it needs the list, if not since its start.
    pub since: Option<Millis>,
    /// Whether an answer of another router is awaited.
    pub pending: bool,
    /// Number of answers without a snapshot.
    pub failures: u32,
    /// When the next router may be asked.
    pub ask_at: Millis,
    /// Random part of the time for which others are asked, once drawn.
    pub spread: Option<Millis>,
}

/// Asks another router for the list, or reads it.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if state.list_start.decided {
        return;
    }
    let waited = match state.list_start.since {
        Some(since) => now.saturating_sub(since),
        None => state.age(now),
    };
    if !peers::are_known(state) {
        if waited >= PEERS_WAIT_MS {
            read(state, out);
        }
        return;
    }
    if peers::registration_left(state, now) > 0 {
        return;
    }
    let spread = match state.list_start.spread {
        Some(spread) => spread,
        None => state.random_below(READ_SPREAD_MS),
    };
    state.list_start.spread = Some(spread);
    let limit = match state.list_start.since {
        Some(_) => LOST_ASK_LIMIT_MS + spread / 4,
        None => ASK_LIMIT_MS + spread,
    };
    if waited >= limit {
        return read(state, out);
    }
    if state.list_start.pending || now < state.list_start.ask_at {
        return;
    }
    match router_to_ask(state) {
        Some(from) => {
            state.list_start.pending = true;
            out.push(Effect::Direct(DirectEffect::FetchList { from }));
        }
        None => read(state, out),
    }
}

/// The watch of the list has lost its place. What is known stays in use meanwhile.
pub(super) fn on_list_lost(state: &mut DirectState, now: Millis) {
    state.list_start = ListStart {
        since: Some(now),
        ..ListStart::default()
    };
}

/// The router that this one asks first; none for those at the top of the tree, which read the store.
pub(super) fn parent(state: &DirectState) -> Option<SocketAddr> {
    tree::parent(state, &InstanceId::new(ROOT))
}

/// The parent, and in turn with it any other router, as the parent may be gone; none for a router at
/// the top of the tree.
fn router_to_ask(state: &mut DirectState) -> Option<SocketAddr> {
    let parent = parent(state)?;
    if state.list_start.failures % 2 == 1 {
        return peers::pick_peers(state, 1).pop();
    }
    Some(parent)
}

fn read(state: &mut DirectState, out: &mut Vec<Effect>) {
    state.list_start.decided = true;
    if state.list_start.failures > 0 {
        let event = LogEvent::new(LogCode::ListNotFetched).with("asked", state.list_start.failures);
        out.push(Effect::Log(event));
    }
    out.push(Effect::Direct(DirectEffect::ReadList));
}

/// Handles the answer of a router that was asked; none if it had no snapshot or can't be reached.
pub(super) fn on_fetched(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    snapshot: Option<ListSnapshot>,
    out: &mut Vec<Effect>,
) {
    state.list_start.pending = false;
    if state.list_start.decided {
        return;
    }
    let Some(snapshot) = snapshot else {
        state.list_start.failures += 1;
        state.list_start.ask_at = now + ASK_PAUSE_MS;
        return;
    };
    match check(state, &snapshot) {
        Ok(entries) => {
            let event = LogEvent::new(LogCode::ListFetched)
                .with("from", from)
                .with("revision", snapshot.at.revision)
                .with("endpoints", entries.len())
                .with("age", snapshot.age);
            out.push(Effect::Log(event));
            state.list_start.decided = true;
            endpoints::apply_list(state, now, snapshot.at, entries, out);
            for id in snapshot.announced() {
                let view = state.endpoints.get_mut(id);
                if let Some(view) = view.filter(|v| v.entry.leaving) {
                    view.leaving = true;
                }
            }
            state.listed = true;
            state.list_applied = true;
            state.listed_at = snapshot.at;
            digests::on_list_read(state, now, snapshot.at, snapshot.at);
            state.digests.list_at = now.saturating_sub(snapshot.age);
            // It lacks changes that don't affect where requests go.
            state.digests.list_incomplete = true;
            let at = snapshot.at;
            out.push(Effect::Direct(DirectEffect::FollowList { at }));
        }
        Err(why) => {
            let event = LogEvent::new(LogCode::ListRefused)
                .with("from", from)
                .with("why", why);
            out.push(Effect::Log(event));
            state.list_start.failures += 1;
            state.list_start.ask_at = now + ASK_PAUSE_MS;
        }
    }
}

type Entries = Vec<(InstanceId, crate::types::EndpointEntry)>;

/// The entries of a snapshot that can be used.
fn check(state: &DirectState, snapshot: &ListSnapshot) -> Result<Entries, String> {
    if snapshot.age > MAX_AGE_MS {
        let age = snapshot.age;
        return Err(format!(
            "age: found {age} ms, expected {MAX_AGE_MS} or less"
        ));
    }
    if snapshot.at < state.digests.known_upto {
        let (found, known) = (snapshot.at.revision, state.digests.known_upto.revision);
        return Err(format!(
            "revision: found {found}, expected {known} or later"
        ));
    }
    if let Some(era) = state.store_era.filter(|era| *era != snapshot.at.era) {
        let found = snapshot.at.era;
        return Err(format!("era of the store: found {found}, expected {era}"));
    }
    snapshot.entries()
}

/// The snapshot for a router that asks; none while this router doesn't know that its list is
/// current.
pub fn snapshot(state: &DirectState, now: Millis) -> Option<ListSnapshot> {
    if !state.listed || state.digests.known_upto.revision == 0 {
        return None;
    }
    let is_current = now < state.digests.list_until;
    let age = if is_current {
        0
    } else {
        now.saturating_sub(state.digests.list_at)
    };
    (age <= MAX_AGE_MS).then(|| ListSnapshot::of(state, now, age))
}
