//! When an answer is due whose request is not seen to its last byte.

use maplehook_core::exchange_time::{
    AnswerDue, LATE_BEGIN_GRACE, LATE_END_GRACE, LATE_HELD_GRACE, MAX_HOLD_UP, SenderClock,
};
use std::time::Duration;

const MIB: usize = 1 << 20;
const WAIT: Duration = Duration::from_millis(400);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A sender that is waited for has not finished, however slow it is.
#[test]
fn a_drained_sender_has_not_written_its_last_byte() {
    let mut clock = SenderClock::new(ms(5));
    assert_eq!(clock.incomplete_at(ms(100)), ms(5));
    clock.on_drained(ms(100));
    assert_eq!(clock.incomplete_at(ms(3000)), ms(3000));
    clock.on_received(ms(3100), 2000, None);
    assert_eq!(clock.incomplete_at(ms(9000)), ms(3100));
    clock.on_drained(ms(9000));
    clock.on_unread(ms(9500));
    assert_eq!(clock.incomplete_at(ms(9900)), ms(9500));
}

/// Guards the time of a client whose body lies unread behind a slow upstream: it may have written all of it at once.
#[test]
fn a_body_that_fits_into_the_kernels_may_be_complete_from_the_start() {
    let mut clock = SenderClock::new(ms(0));
    for step in 1..=100 {
        clock.on_received(ms(100 * step), 10_000, Some(990_000 - 10_000 * step.min(99)));
    }
    assert_eq!(clock.incomplete_at(ms(10_000)), ms(0));
}

/// Guards long bodies whose upstream keeps up: what the kernels can't hold has not been written.
#[test]
fn a_body_that_exceeds_the_kernels_is_incomplete_until_its_rest_fits() {
    for remaining in [Some(30 * MIB as u64), None] {
        let mut clock = SenderClock::new(ms(0));
        for step in 1..=64 {
            clock.on_received(ms(20 * step), MIB / 2, remaining);
        }
        let incomplete_at = clock.incomplete_at(ms(20 * 64));
        match remaining {
            Some(_) => assert_eq!(incomplete_at, ms(20 * 64)),
            // The last 4.25 MiB may have been hidden: up to ten steps of half a MiB.
            None => assert!((ms(20 * 54)..ms(20 * 57)).contains(&incomplete_at), "{incomplete_at:?}"),
        }
    }
}

#[test]
fn an_answer_is_due_by_the_earliest_time_and_the_grace() {
    let complete = AnswerDue::new(ms(1000), Some(ms(1000)), WAIT);
    assert_eq!((complete.begin_by(), complete.end_by()), (ms(1400), ms(1400) + LATE_END_GRACE));
    let hidden = AnswerDue::new(ms(1000), Some(ms(5000)), WAIT);
    assert_eq!(hidden.begin_by(), ms(1400) + LATE_BEGIN_GRACE);
    let short_time = AnswerDue::new(ms(1000), Some(ms(1100)), WAIT);
    assert_eq!((short_time.earliest, short_time.begin_by()), (ms(1400), ms(1500)));
    let incomplete = AnswerDue::new(ms(1000), None, WAIT);
    assert_eq!(incomplete.begin_by(), ms(1400) + LATE_BEGIN_GRACE);
}

/// Guards the room for a hold-up: what must have begun may be written so much later, and still counts.
#[test]
fn a_hold_up_fits_before_the_limit_of_an_answer_that_has_not_begun() {
    let counted = ms(500);
    let due = AnswerDue::new(ms(1000), Some(ms(1000)), WAIT);
    assert!(due.begin_held_by() + MAX_HOLD_UP < ms(1400) + counted);
    assert!(ms(1400) + LATE_HELD_GRACE + 2 * MAX_HOLD_UP < ms(1400) + counted);
    assert!(due.begin_by() <= due.begin_held_by() && due.begin_held_by() < due.end_by());
}
