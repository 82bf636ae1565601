//! Who gives way when a process takes in as much as it can.

use proptest::prelude::*;
use runrail::logic::intake::{Admission, IntakeLimits, IntakeState, Room};

const LIMITS: IntakeLimits = IntakeLimits {
    connections: 4,
    request_bytes: 1_000,
    free_bytes: 100,
    hold_ms: 500,
};

fn admit(state: &mut IntakeState, now: u64) -> u64 {
    match state.admit(now) {
        Admission::Taken { id, .. } => id,
        other => panic!("{other:?}"),
    }
}

/// A connection whose request takes so many bytes.
fn receiving(state: &mut IntakeState, bytes: usize, now: u64) -> u64 {
    let id = admit(state, now);
    state.begin_request(id, now);
    assert_eq!(state.take(id, bytes, now), Room::Taken(Vec::new()));
    id
}

#[test]
fn at_the_limit_the_connection_that_has_rested_longest_gives_way() {
    let mut state = IntakeState::new(LIMITS);
    let ids: Vec<_> = (0..4).map(|n| admit(&mut state, n)).collect();
    state.complete(ids[0]);
    state.complete(ids[1]);
    state.answered(ids[1], 300);
    assert_eq!(state.admit(400), Admission::Wait(102));
    let taken = Admission::Taken {
        id: 5,
        displaced: Some(ids[2]),
    };
    assert_eq!(state.admit(502), taken);
    assert_eq!(state.connections(), 4);
}

#[test]
fn connections_whose_requests_are_answered_do_not_give_way() {
    let mut state = IntakeState::new(LIMITS);
    for n in 0..4 {
        let id = admit(&mut state, n);
        state.complete(id);
    }
    assert_eq!(state.admit(60_000), Admission::Full);
}

#[test]
fn a_request_that_sends_nothing_gives_way_to_one_that_does() {
    let mut state = IntakeState::new(LIMITS);
    let stuck = receiving(&mut state, 600, 0);
    let other = receiving(&mut state, 600, 100);
    let new = admit(&mut state, 200);
    assert_eq!(state.take(new, 600, 499), Room::Full);
    assert_eq!(state.take(new, 600, 500), Room::Taken(vec![stuck]));
    assert_eq!(state.used_bytes(), 1_000);
    state.close(other);
    assert_eq!(state.used_bytes(), 500);
}

/// Guards against clients that hold memory by a byte now and then.
#[test]
fn a_request_that_comes_in_slowly_gives_way_in_the_end() {
    let mut state = IntakeState::new(LIMITS);
    let slow = receiving(&mut state, 1_000, 0);
    let new = admit(&mut state, 0);
    for now in (100..5_000).step_by(100) {
        assert_eq!(state.take(slow, 1, now), Room::Taken(Vec::new()));
        assert_eq!(state.take(new, 500, now), Room::Full);
    }
    assert_eq!(state.take(slow, 1, 5_000), Room::Taken(Vec::new()));
    assert_eq!(state.take(new, 500, 5_000), Room::Taken(vec![slow]));
}

#[test]
fn a_small_request_finds_memory_whatever_the_others_take() {
    let mut state = IntakeState::new(LIMITS);
    let large = receiving(&mut state, 1_100, 0);
    let bytes = state.complete(large);
    receiving(&mut state, 100, 0);
    let refused = admit(&mut state, 0);
    assert_eq!(state.take(refused, 101, 60_000), Room::Full);
    state.release(bytes);
    assert_eq!(state.take(refused, 101, 60_000), Room::Taken(Vec::new()));
}

proptest! {
    /// Guards against memory that is never given back, or given back twice.
    #[test]
    fn all_memory_is_free_once_all_connections_have_ended(
        steps in prop::collection::vec((0_u64..6, 0_u8..5, 0_usize..700), 1..200),
    ) {
        let mut state = IntakeState::new(LIMITS);
        let mut held = Vec::new();
        for (now, (pick, step, bytes)) in (0..).step_by(200).zip(steps) {
            let id = pick + 1;
            match step {
                0 => { state.admit(now); }
                1 => { state.take(id, bytes, now); }
                2 => held.push(state.complete(id)),
                3 => state.answered(id, now),
                _ => state.close(id),
            }
            prop_assert!(state.used_bytes() <= LIMITS.request_bytes);
            prop_assert!(state.connections() <= LIMITS.connections);
        }
        (0..300).for_each(|id| state.close(id));
        held.into_iter().for_each(|bytes| state.release(bytes));
        prop_assert_eq!(state.used_bytes(), 0);
        prop_assert_eq!(state.connections(), 0);
    }
}
