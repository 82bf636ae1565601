use super::{
    duty, fill, fleet_view, form, idle, inspect, look, retire, stage, survey, value, LoadBudget,
};
use crate::logic::direct::{DirectEffect, DirectState};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::Millis;

/// Endpoints that a look may cover for each millisecond until the next one.
const LOOKED_IN_A_MS: Millis = 10;

/// Time between two readings of the whole list for one duty.
const READ_MS: Millis = 1_500;

/// Looks after the duty and, where it is held, after the groups.
pub(in crate::logic::direct) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    duty::tend(state, now, out);
    let holds = state.plan.duty.holds(now) && state.stopping.is_none();
    if holds != state.plan.held {
        state.plan.held = holds;
        forget(state);
        if holds {
            state.plan.read_at = now;
            state.plan.budget = LoadBudget::empty(now);
            look::all(state, now, out);
        }
        if !holds {
            let note = Note::new(NoteCode::DutyLost).with("why", "not renewed in time");
            out.push(Effect::Note(note));
        }
    }
    if holds {
        read_anew(state, now, out);
    }
    if !holds || !is_read(state) || state.routing.is_none() || now < state.plan.look_at {
        return;
    }
    // A look costs time by endpoint: large fleets are looked at less often.
    let rest = state.endpoints.len() as Millis / LOOKED_IN_A_MS;
    state.plan.look_at = now + state.knobs.plan_ms.max(rest);
    count(state, now);
    look::tend(state, now, out);
    form::tend(state, now, out);
    retire::tend(state, now, out);
    inspect::tend(state, now, out);
    fill::tend(state, now, out);
    stage::tend(state, now, out);
    idle::tend(state, now, out);
    needs(state, now, out);
    clean(state);
}

/// Whether the list is as new as the duty: what earlier planners did is in it then.
fn is_read(state: &DirectState) -> bool {
    let whole = state.listed && !state.digests.skipped;
    whole && state.listed_at >= state.plan.duty.taken
}

/// Has the list read whole where its changes lag behind the duty: in a large fleet
/// that takes far less time than to catch up.
fn read_anew(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if is_read(state) || now < state.plan.read_at {
        return;
    }
    state.plan.read_at = now + READ_MS;
    out.push(Effect::Direct(DirectEffect::ReadList));
}

/// Forgets what an earlier term of the duty was about.
fn forget(state: &mut DirectState) {
    let plan = &mut state.plan;
    plan.forming.clear();
    plan.ending.clear();
    plan.ended.clear();
    plan.partial.clear();
    plan.staging.clear();
    plan.orders.clear();
    plan.seats.clear();
    plan.lost.clear();
    plan.looks.clear();
    plan.idle.clear();
}

/// Time between two events on what models need: a few lines for a repair to be read by.
const NEEDS_MS: Millis = 5_000;

/// Logs what each model needs and has.
fn needs(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.plan.needs_at {
        return;
    }
    state.plan.needs_at = now + NEEDS_MS;
    let Some(routing) = state.routing.clone() else {
        return;
    };
    for (service, spec) in &routing.services {
        let Some(engine) = &spec.engine else {
            continue;
        };
        let needs = value::needs(state, now, engine);
        let counts = fleet_view::counts(state, service, engine);
        for ((model, need), stand) in engine.models.iter().zip(needs).zip(counts) {
            let note = Note::new(NoteCode::NeedsReckoned)
                .with("model", &model.name)
                .with("stand", stand)
                .with("needed", format!("{:.2}", need.groups))
                .with("weight", format!("{:.2}", need.weight));
            out.push(Effect::Note(note));
        }
    }
}

fn count(state: &mut DirectState, now: Millis) {
    let engines = state
        .endpoints
        .values()
        .filter(|v| v.listed && survey::planned(state, v));
    let count = engines.count();
    state.plan.most = state.plan.most.max(count);
    if count != state.plan.count.0 {
        state.plan.count = (count, now);
    }
}

/// Forgets groups that are over once nobody has a place in them.
fn clean(state: &mut DirectState) {
    let endpoints = &state.endpoints;
    let seated = |name: &std::sync::Arc<str>| {
        let mut seats = endpoints.values().filter_map(|v| v.entry.seat.as_ref());
        seats.any(|s| s.group == *name)
    };
    state.plan.ended.retain(|name| seated(name));
}
