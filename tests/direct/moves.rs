//! Streams that are moved from a silent head.

use runrail::logic::direct::{DirectEffect, DirectEvent, RunPart, RunRequest};

use crate::fixture::{begin_stream, is_cut, open_group, piece, run, Router};

/// Silence after which a head's streams are moved.
const MOVE_MS: u64 = 1_100;

const PUT_OFF: RunPart = RunPart::Complete {
    status: 503,
    not_run: true,
};

/// A router with three open groups.
fn three_groups() -> Router {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend(open_group("h", [4, 5, 6]));
    entries.extend(open_group("i", [7, 8, 9]));
    Router::new(entries)
}

/// Begins a stream and moves it from its head, which is silent; no further retry is left.
fn begin_and_move(router: &mut Router) -> (RunRequest, RunRequest) {
    let first = begin_stream(router);
    router.advance_ms(MOVE_MS);
    let second = run(&router.take_effects());
    router.state().retries_from = None;
    (first, second)
}

fn runs(effects: &[DirectEffect]) -> Vec<RunRequest> {
    let runs = effects.iter().filter_map(|e| match e {
        DirectEffect::Run(run) => Some((**run).clone()),
        _ => None,
    });
    runs.collect()
}

fn passes_event(effects: &[DirectEffect]) -> bool {
    let is_event = |e: &DirectEffect| matches!(e, DirectEffect::PassEvent { request: 1, .. });
    effects.iter().filter(|e| is_event(e)).count() == 1
}

/// Guards against a stream that is cut although its first head would have gone on: that run was
/// cancelled as soon as another head was chosen, which then didn't serve it.
#[test]
fn a_moved_stream_goes_on_at_its_first_head_if_the_second_does_not_serve_it() {
    let failures: [&[RunPart]; 6] = [
        &[PUT_OFF],
        &[RunPart::NotSent { refused: true }],
        &[RunPart::NotSent { refused: false }],
        &[RunPart::Broken],
        &[RunPart::Head, RunPart::Broken],
        &[RunPart::Complete {
            status: 500,
            not_run: false,
        }],
    ];
    for parts in failures {
        let mut router = three_groups();
        let (first, second) = begin_and_move(&mut router);
        assert_ne!(second.to, first.to);
        for part in parts {
            let effects = router.part(second.run, part.clone());
            assert!(!is_cut(&effects), "{parts:?}");
        }
        router.advance_ms(500);
        let effects = router.take_effects();
        assert!(!is_cut(&effects), "{parts:?}");
        assert!(passes_event(&router.part(first.run, piece(2))), "{parts:?}");
        let end = router.part(first.run, RunPart::End);
        assert_eq!(end, [DirectEffect::EndStream(1)], "{parts:?}");
    }
}

/// Guards against two runs of one stream that both go on: the first one to send a new event keeps it.
#[test]
fn of_the_two_runs_of_a_moved_stream_the_first_to_go_on_keeps_it() {
    for first_goes_on in [true, false] {
        let mut router = three_groups();
        let (first, second) = begin_and_move(&mut router);
        let (kept, left) = match first_goes_on {
            true => (first, second),
            false => (second, first),
        };
        router.part(kept.run, RunPart::Head);
        assert!(router.part(kept.run, piece(1)).is_empty(), "it comes twice");
        let effects = router.part(kept.run, piece(2));
        assert!(passes_event(&effects));
        assert!(effects.contains(&DirectEffect::Cancel(left.run)));
        assert!(router.part(left.run, piece(3)).is_empty());
        assert!(passes_event(&router.part(kept.run, piece(3))));
    }
}

/// Guards against an answer that lacks its head or has two: a stream may be moved before its first event.
#[test]
fn a_stream_moved_before_its_first_event_gets_one_head() {
    let mut router = three_groups();
    let first = run(&router.ask(1, "/stream/x"));
    router.advance_ms(MOVE_MS);
    let second = run(&router.take_effects());
    let heads = |effects: &[DirectEffect]| {
        let is_head = |e: &&DirectEffect| matches!(e, DirectEffect::PassHead { .. });
        effects.iter().filter(is_head).count()
    };
    assert_eq!(heads(&router.part(second.run, RunPart::Head)), 1);
    assert_eq!(heads(&router.part(first.run, RunPart::Head)), 0);
    assert!(passes_event(&router.part(first.run, piece(1))));
}

#[test]
fn a_caller_that_leaves_ends_all_runs_of_its_moved_stream() {
    let mut router = three_groups();
    let (first, second) = begin_and_move(&mut router);
    router.tell(DirectEvent::CallerGone(1));
    let effects = router.take_effects();
    assert!(effects.contains(&DirectEffect::Cancel(first.run)));
    assert!(effects.contains(&DirectEffect::Cancel(second.run)));
    assert!(router.state().endpoints.values().all(|v| v.running == 0));
}

/// Guards against a stream that is cut as the heads that it is moved to put it off, with time left:
/// each of these sends counted as if it had run.
#[test]
fn a_stream_that_every_other_head_puts_off_stays_and_is_moved_later() {
    let mut router = three_groups();
    let first = begin_stream(&mut router);
    let mut sends = 0;
    router.advance_ms(MOVE_MS);
    for _ in 0..100 {
        let effects = router.take_effects();
        assert!(!is_cut(&effects), "cut after {sends} sends");
        for sent in runs(&effects) {
            sends += 1;
            let effects = router.part(sent.run, PUT_OFF);
            assert!(!is_cut(&effects), "cut after {sends} sends");
        }
        router.advance_ms(20);
    }
    assert!((3..=8).contains(&sends), "{sends} sends in two seconds");
    assert!(passes_event(&router.part(first.run, piece(2))));
}
