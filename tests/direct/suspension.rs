//! Detection of a suspended machine.

use runrail::host::{Clock, SuspensionDetector};

/// Guards against taking values read before a suspension for recent: the timers' clock doesn't
/// count the time for which the machine was suspended.
#[test]
fn a_suspension_is_reported_once_with_its_length() {
    let mut suspension = SuspensionDetector::new(Clock::start());
    assert_eq!(suspension.detect_at(1_000, 1_000), None);
    assert_eq!(suspension.detect_at(7_000, 2_000), Some(5_000));
    assert_eq!(suspension.detect_at(7_020, 2_020), None);
    assert_eq!(suspension.detect_at(9_500, 2_500), Some(2_000));
}

/// A process that is paused while the machine runs isn't suspended, as the timers' clock goes on.
#[test]
fn a_pause_of_the_process_is_no_suspension() {
    let mut suspension = SuspensionDetector::new(Clock::start());
    assert_eq!(suspension.detect_at(5_000, 5_000), None);
    assert_eq!(suspension.detect_at(5_050, 5_000), None);
    assert_eq!(suspension.detect(), None);
}
