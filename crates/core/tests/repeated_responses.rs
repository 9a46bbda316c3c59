//! Which repeated responses are held, and for how long.

use maplehook_core::repeated_responses::{ConnectionResponses, RecentResponses, RepeatPolicy};
use std::time::Duration;

const DIGEST: u64 = 77;
const OTHER_DIGEST: u64 = 78;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_repeat_on_one_connection_is_suspicious_until_another_connection_has_it() {
    let (policy, mut recent) = (RepeatPolicy::default(), RecentResponses::default());
    recent.record(DIGEST, 1);
    recent.record(DIGEST, 1);
    assert!(policy.is_suspicious(DIGEST, &mut recent, false));
    recent.record(DIGEST, 2);
    assert!(!policy.is_suspicious(DIGEST, &mut recent, false));
    assert!(policy.is_suspicious(OTHER_DIGEST, &mut recent, false));
}

#[test]
fn an_upstream_with_three_true_repeats_is_not_suspected_any_more() {
    let (mut policy, mut recent) = (RepeatPolicy::default(), RecentResponses::default());
    for digest in 0..3 {
        assert!(policy.is_suspicious(digest, &mut recent, false));
        policy.record_false_suspicion();
    }
    assert!(!policy.is_suspicious(DIGEST, &mut recent, false));
    // One that has sent data that no request asked for stays under suspicion, and silence proves nothing.
    assert!(policy.is_suspicious(DIGEST, &mut recent, true));
    assert!(RepeatPolicy::is_served_after_silence(false, &recent));
    assert!(!RepeatPolicy::is_served_after_silence(true, &recent));
}

#[test]
fn the_table_forgets_the_response_whose_place_is_taken() {
    let (policy, mut recent) = (RepeatPolicy::default(), RecentResponses::default());
    recent.record_common(DIGEST, 1);
    assert!(!policy.is_suspicious(DIGEST, &mut recent, false));
    for digest in 0..1000 {
        recent.record(digest << 8 | DIGEST, 1);
    }
    assert!(policy.is_suspicious(DIGEST, &mut recent, false));
}

#[test]
fn a_response_is_held_for_as_long_as_the_true_one_may_take_but_half_the_time_left_at_most() {
    let mut policy = RepeatPolicy::default();
    assert_eq!(policy.hold_time(ms(10_000)), ms(100));
    policy.record_response_time(ms(40));
    policy.record_response_time(ms(5));
    assert_eq!(policy.hold_time(ms(10_000)), ms(160));
    assert_eq!(policy.hold_time(ms(300)), ms(150));
    policy.record_response_time(ms(3000));
    assert_eq!(policy.hold_time(ms(10_000)), ms(2000));
    assert_eq!(policy.hold_time(Duration::ZERO), Duration::ZERO);
}

/// Guards against a late copy that is no copy of the last response: others were answered meanwhile.
#[test]
fn a_copy_of_any_of_the_last_responses_on_a_connection_is_a_repeat() {
    let mut responses = ConnectionResponses::default();
    assert!((0..32).all(|digest| !responses.record(digest)));
    assert!(responses.record(0) && responses.record(31));
    for digest in 100..200 {
        assert!(!responses.record(digest));
        assert!(responses.record(digest));
    }
    assert!(!responses.record(0), "it was forgotten");
}

/// Guards against serving a copy whose true response never comes, and applications whose responses are often equal.
#[test]
fn silence_proves_nothing_where_nearly_all_responses_differ() {
    let mut recent = RecentResponses::default();
    for digest in 0..8 {
        assert!(RepeatPolicy::is_served_after_silence(false, &recent));
        recent.record(digest, 1);
    }
    assert!(!RepeatPolicy::is_served_after_silence(false, &recent));
    recent.record(0, 2);
    assert!(RepeatPolicy::is_served_after_silence(false, &recent));
    (8..17).for_each(|digest| recent.record(digest, 1));
    assert!(!RepeatPolicy::is_served_after_silence(false, &recent), "one request may be answered twice");
    recent.record_common(1, 1);
    assert!(RepeatPolicy::is_served_after_silence(false, &recent));
}
