//! Tests of the life cycle of a request.

use maplehook_core::request_lifecycle::{BrokenAnswer, RequestLifecycle};

/// Guards against attempts for a request that has its answer or has lost its client.
#[test]
fn no_attempt_begins_after_the_answer_or_the_client() {
    let request = RequestLifecycle::default();
    assert!(request.may_begin_attempt());
    request.on_flushed();
    assert!(request.may_begin_attempt(), "an earlier answer on the connection has left");
    request.on_answered();
    assert!(!request.may_begin_attempt());
    let abandoned = RequestLifecycle::default();
    abandoned.on_ended();
    abandoned.on_answered();
    assert!(!abandoned.may_begin_attempt());
}

/// Guards the head of a broken answer: it is replaced, or it leaves before the connection ends.
#[test]
fn a_broken_answer_is_replaced_until_its_head_is_queued_and_ends_after_its_head_has_left() {
    let request = RequestLifecycle::default();
    request.on_answered();
    assert_eq!(request.broken_answer(), BrokenAnswer::Replaced);
    request.on_flushed();
    assert_eq!(
        request.broken_answer(),
        BrokenAnswer::Replaced,
        "an earlier answer on the connection has left"
    );
    request.on_head_queued();
    assert_eq!(request.broken_answer(), BrokenAnswer::AwaitsHead);
    request.on_answered();
    assert_eq!(request.broken_answer(), BrokenAnswer::AwaitsHead);
    request.on_flushed();
    assert_eq!(request.broken_answer(), BrokenAnswer::BrokenOff);
    request.on_ended();
    assert_eq!(request.broken_answer(), BrokenAnswer::BrokenOff);
}
