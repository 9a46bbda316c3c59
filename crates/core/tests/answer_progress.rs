//! Attempts whose answer has begun to arrive and is held, since nobody knows how long it is.

mod common;
use common::*;
use maplehook_core::*;

fn settings(can_hedge: bool) -> Settings {
    Settings { classes: vec![class(1500, 4000, Effect::Idempotent)], can_hedge, ..Settings::default() }
}

/// Sends a request whose answer progresses every 100 ms until `until_ms`, and returns how many attempts or
/// cancellations follow the first attempt until `end_ms`.
fn reactions(can_hedge: bool, until_ms: u64, end_ms: u64) -> usize {
    let fleet: Vec<Endpoint> = (1..=3).map(endpoint).collect();
    let mut harness = Harness::new(settings(can_hedge), &fleet);
    let id = harness.send_request(0, 0, ms(4000));
    let attempt = AttemptNo(0);
    let mut reactions = 0;
    for step in 1..=end_ms / 5 {
        harness.actions.clear();
        harness.advance(ms(5));
        let is_reaction = |a: &&Action| matches!(a, Action::Attempt { .. } | Action::Cancel { .. });
        reactions += harness.actions.iter().filter(is_reaction).count();
        if step * 5 <= until_ms && step % 20 == 4 {
            harness.handle(Event::AnswerProgress { id, attempt });
        }
    }
    reactions
}

/// Guards long answers against being retried over while they arrive, in lumps too.
#[test]
fn an_attempt_whose_answer_arrives_is_neither_hedged_nor_cancelled() {
    for can_hedge in [true, false] {
        assert!(reactions(can_hedge, 0, 1000) > 0, "an attempt without an answer is overdue");
        assert_eq!(reactions(can_hedge, 3900, 3900), 0);
        assert_eq!(reactions(can_hedge, 100, 1000), 0, "a pause is no silence");
    }
}

/// Guards requests from answers that never end: another upstream can still answer.
#[test]
fn an_attempt_whose_answer_has_stopped_is_overdue() {
    for can_hedge in [true, false] {
        assert!(reactions(can_hedge, 100, 1400) > 0);
    }
}
