//! Classes of little time.

mod common;
use common::*;
use maplehook_core::*;

/// Guards aims shorter than two ticks: an answer is learned from, and nothing panics.
#[test]
fn an_aim_shorter_than_a_tick_is_learned_from() {
    let settings = Settings { classes: vec![class(6, 20, Effect::Idempotent)], ..Settings::default() };
    let mut bench = Bench::new(settings, &[listed(1), listed(2)]);
    let mut answered = 0;
    for _ in 0..50 {
        let id = bench.request(0, 0, ms(20));
        if bench.at(id, 0).is_some() {
            bench.run(ms(3));
            bench.ended(id, 0, Outcome::Ok);
            answered += 1;
        }
        bench.run(ms(20));
    }
    assert!(answered > 0);
}
