//! A machine that is suspended for a while.

use runrail::host::{Clock, Suspension};

/// A process took what it had read before a suspension for as young as timers said.
#[test]
fn a_suspension_is_told_once_with_its_length() {
    let mut suspension = Suspension::of(Clock::start());
    assert_eq!(suspension.passed_at(1_000, 1_000), None);
    assert_eq!(suspension.passed_at(7_000, 2_000), Some(5_000));
    assert_eq!(suspension.passed_at(7_020, 2_020), None);
    assert_eq!(suspension.passed_at(9_500, 2_500), Some(2_000));
}

/// Timers that fire late, or a process that is paused, are no suspension.
#[test]
fn a_pause_that_timers_count_is_no_suspension() {
    let mut suspension = Suspension::of(Clock::start());
    assert_eq!(suspension.passed_at(5_000, 5_000), None);
    assert_eq!(suspension.passed_at(5_050, 5_000), None);
    assert_eq!(suspension.passed(), None);
}
