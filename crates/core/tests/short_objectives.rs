//! Classes with short latency objectives and deadlines.

mod common;
use common::*;
use maplehook_core::*;

/// With a latency objective shorter than two ticks, the balancer must learn from answers and must not panic.
#[test]
fn serves_requests_with_an_objective_shorter_than_a_tick() {
    let settings = Settings { classes: vec![class(6, 20, Effect::Idempotent)], ..Settings::default() };
    let mut harness = Harness::new(settings, &[endpoint(1), endpoint(2)]);
    let mut answered = 0;
    for _ in 0..50 {
        let id = harness.send_request(0, 0, ms(20));
        if harness.upstream_of(id, 0).is_some() {
            harness.advance(ms(3));
            harness.end_attempt(id, 0, Outcome::Ok);
            answered += 1;
        }
        harness.advance(ms(20));
    }
    assert!(answered > 0);
}
