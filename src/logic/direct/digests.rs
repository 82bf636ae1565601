//! Digests: the router that plans reads the store for all others.
//!
//! It tells them what changes in the list, which routing is in force and what all are
//! asked for, along two trees. Whoever has heard everything up to a moment ago doesn't
//! read the store; whoever misses something, or hears nothing for a while, does.
//! Without them 52 routers made 10,166 calls to the store on a calm day of 34 s, with them
//! 2,474.

use super::digest_part::parts;
use super::{demand, endpoints, tree, DirectEffect, DirectState, EntryNews, ListPace};
use super::{Digest, Mechanism, NewsBatch, PeerMessage};
use crate::logic::Effect;
use crate::types::{InstanceId, Millis, StorePosition};

/// Longest time between two digests: a third of the time for which one holds.
const BEAT_MS: Millis = 400;

/// Shortest time between two digests, so that what changes together goes together.
const PAUSE_MS: Millis = 40;

/// Time for which news are told again: a lost datagram is made up for by the next two.
const REPEAT_MS: Millis = 1_200;

/// Time for which a router need not read what the planner had read at the beginning of
/// it. The shortest bound that operators publish for a new routing or an endpoint that
/// leaves is 2 s, within which one more reading has to come after it. A slow answer of
/// the store makes what was read look younger than it is; how much of the rest that takes
/// was not measured.
const HOLDS_MS: Millis = 1_200;

/// Remembers a change of the list that decides where requests go.
pub(super) fn note(state: &mut DirectState, news: EntryNews) {
    // What the first reading shows is no change.
    if state.listed_once {
        state.digests.pending.push(news);
    }
}

/// Remembers an endpoint that heads a group by its own word, before the list shows it.
pub(super) fn opened(state: &mut DirectState, now: Millis, id: &InstanceId) {
    let Some(view) = state.endpoints.get(id) else {
        return;
    };
    let news = EntryNews::changed(id, &view.entry);
    note(state, news);
    let known = state.listed_at;
    close(state, now, known, known);
}

/// The list was read, or told, up to a position: what was noted since came with that.
pub(super) fn close(
    state: &mut DirectState,
    now: Millis,
    before: StorePosition,
    after: StorePosition,
) {
    let digests = &mut state.digests;
    let batch = NewsBatch {
        at: now,
        before,
        after,
        news: std::mem::take(&mut digests.pending),
    };
    digests.changed |= !batch.news.is_empty();
    digests.recent.push_back(batch);
    let old = |b: &NewsBatch| now > b.at + REPEAT_MS;
    while digests.recent.front().is_some_and(old) {
        digests.recent.pop_front();
    }
}

/// The list was read from the store, up to a position.
pub(super) fn list_read(
    state: &mut DirectState,
    now: Millis,
    before: StorePosition,
    at: StorePosition,
) {
    close(state, now, before, at);
    let digests = &mut state.digests;
    digests.list_at = state.drained_at;
    if at < digests.upto {
        // An answer that was overtaken: what it undid is read again.
        digests.upto = StorePosition::default();
        digests.list_until = 0;
    }
    digests.upto = digests.upto.max(at);
}

/// Tells other routers, while this one plans, and the host how often to read.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let plans = state.plan.duty.holds(now) && state.stopping.is_none();
    let digests = &state.digests;
    let since = now.saturating_sub(digests.sent);
    let due = since >= BEAT_MS || (digests.changed && since >= PAUSE_MS);
    if plans && due && state.knobs.on(Mechanism::News) && !state.peers.is_empty() {
        send(state, now, out);
    }
    pace(state, now, out);
}

fn send(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    state.digests.sent = now;
    state.digests.changed = false;
    let (told, demand) = demand::sum(state, now);
    for part in parts(&state.digests.recent, state.listed_at) {
        state.digests.number += 1;
        let digests = &state.digests;
        let digest = Digest {
            root: state.me.clone(),
            fence: state.plan.duty.fence,
            number: digests.number,
            tree: 0,
            from: part.from,
            upto: part.upto,
            whole: part.whole,
            list_age: now.saturating_sub(digests.list_at),
            routing: version(state),
            routing_age: now.saturating_sub(digests.routing_at),
            told,
            demand: demand.clone(),
            news: part.news,
        };
        for tree in 0..tree::TREES {
            let digest = Digest {
                tree,
                ..digest.clone()
            };
            pass_on(state, &digest, out);
        }
    }
}

fn version(state: &DirectState) -> u64 {
    state.routing.as_ref().map_or(0, |r| r.version)
}

fn pass_on(state: &DirectState, digest: &Digest, out: &mut Vec<Effect>) {
    for to in tree::children(state, &digest.root, digest.tree) {
        let message = PeerMessage::Digest(Box::new(digest.clone()));
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
    }
}

/// A digest has come. It may have waited for this process, which counts as age here and
/// wherever it goes next.
pub(super) fn received(
    state: &mut DirectState,
    now: Millis,
    mut digest: Digest,
    out: &mut Vec<Effect>,
) {
    let waited = now.saturating_sub(state.drained_at);
    digest.list_age += waited;
    digest.routing_age += waited;
    if Some(digest.upto.era) < state.store_era {
        // Its sender hasn't noticed yet that the store has gone back.
        return;
    }
    let known = &mut state.digests;
    let tree = usize::from(digest.tree);
    if digest.root == state.me || digest.fence < known.fence || tree >= known.heard.len() {
        return;
    }
    if digest.fence > known.fence {
        known.fence = digest.fence;
        known.heard = Default::default();
        known.taken = 0;
    }
    if digest.number <= known.heard[tree] {
        return;
    }
    known.heard[tree] = digest.number;
    let new = digest.number > known.taken;
    pass_on(state, &digest, out);
    if new && state.listed {
        take_in(state, now, digest, out);
    }
}

fn take_in(state: &mut DirectState, now: Millis, digest: Digest, out: &mut Vec<Effect>) {
    state.digests.taken = digest.number;
    demand::told_all(state, now, digest.told, digest.demand);
    if digest.upto.era != state.listed_at.era {
        // The store has gone back, which its next answer here shows as well.
        state.digests.list_until = 0;
        state.digests.routing_until = 0;
        return;
    }
    let known = state.digests.upto;
    let mut whole = digest.whole && digest.from <= known;
    for (at, news) in digest.news {
        whole &= endpoints::told(state, now, news, at > known, out);
    }
    if whole {
        close(state, now, known, known.max(digest.upto));
        state.digests.upto = known.max(digest.upto);
        state.digests.list_until = (now + HOLDS_MS).saturating_sub(digest.list_age);
    }
    state.digests.routing_until = if version(state) >= digest.routing {
        (now + HOLDS_MS).saturating_sub(digest.routing_age)
    } else {
        0
    };
}

/// Tells the host how often the list is read, and whether the routing is.
fn pace(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let plans = state.plan.duty.fence > 0;
    let pace = if plans || !state.knobs.on(Mechanism::News) {
        ListPace::Often
    } else if now < state.digests.list_until {
        ListPace::Told
    } else {
        ListPace::Rest
    };
    let hold = !plans && now < state.digests.routing_until;
    if state.digests.pace != Some(pace) || state.digests.hold != hold {
        if state.digests.pace == Some(ListPace::Told) {
            // What decides nothing was not told: members' places, what hosts keep.
            state.digests.skipped = true;
        }
        state.digests.pace = Some(pace);
        state.digests.hold = hold;
        let upto = state.digests.upto;
        out.push(Effect::Direct(DirectEffect::Read {
            list: pace,
            hold,
            upto,
        }));
    }
}
