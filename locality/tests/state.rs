//! What one rule and zone stand at, under any order of evidence.

use maplehook_locality::state::{GAP_MOST, ramp};
use maplehook_locality::{Keeper, Phase, Rule, Seen};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const WELL: Seen = Seen { load: 0.3, usable: 1.0 };
const FULL: Seen = Seen { load: 0.95, usable: 1.0 };
const LOST: Seen = Seen { load: 0.0, usable: 0.0 };

/// Ticks ten times a second for some seconds; the keeper, the time, and at which tenths something opened or closed.
struct Play {
    keeper: Keeper,
    rule: Rule,
    tenths: u64,
}

impl Play {
    fn new() -> Self {
        let mut play = Self { keeper: Keeper::default(), rule: Rule::near_first(), tenths: 0 };
        play.tick(&[WELL; 3]);
        play
    }

    fn tick(&mut self, steps: &[Seen]) -> usize {
        self.tenths += 1;
        self.keeper.tick(Duration::from_millis(self.tenths * 100), &self.rule, steps)
    }

    /// In how many tenths of a second it comes to so many open steps; none if not within the time.
    fn until(&mut self, steps: &[Seen], open: usize, most: u64) -> Option<u64> {
        (1..=most).find(|_| self.tick(steps) == open)
    }
}

#[test]
fn a_full_step_is_left_after_its_dwell_and_taken_again_after_the_other() {
    let mut play = Play::new();
    assert_eq!(play.until(&[FULL, WELL, WELL], 2, 100), Some(11));
    assert_eq!((play.keeper.phase(), play.keeper.given()), (Phase::Spilling, 1.0));
    // Between the thresholds nothing changes.
    let between = Seen { load: 0.7, usable: 1.0 };
    assert_eq!(play.until(&[between, WELL, WELL], 1, 300), None);
    assert_eq!(play.until(&[WELL, WELL, WELL], 1, 100), Some(51));
    assert_eq!(play.keeper.phase(), Phase::Near);
    assert_eq!(play.keeper.since(), Duration::from_millis(play.tenths * 100));
}

#[test]
fn a_gap_in_the_evidence_begins_the_dwell_anew() {
    let mut play = Play::new();
    for _ in 0..20 {
        assert_eq!(play.until(&[FULL, WELL, WELL], 2, 9), None);
        play.tick(&[WELL; 3]);
    }
    assert_eq!(play.keeper.open(), 1);
}

#[test]
fn what_is_full_or_lost_itself_is_passed_over() {
    let mut play = Play::new();
    assert_eq!(play.until(&[FULL, FULL, WELL], 3, 100), Some(11));
    let mut play = Play::new();
    assert_eq!(play.until(&[FULL, LOST, WELL], 3, 100), Some(11));
    let mut play = Play::new();
    assert_eq!(play.until(&[FULL, FULL, LOST], 2, 100), None);
    assert!(play.keeper.no_step_left());
    play.tick(&[FULL, WELL, LOST]);
    assert!(!play.keeper.no_step_left());
}

#[test]
fn too_little_that_is_usable_opens_the_next_step_with_no_load_at_all() {
    let mut play = Play::new();
    let half = |usable| [Seen { load: 0.1, usable }, WELL, WELL];
    assert_eq!(play.until(&half(0.49), 2, 100), Some(11));
    // It has to be some more than that before it counts as well again.
    assert_eq!(play.until(&half(0.52), 1, 200), None);
    assert_eq!(play.until(&half(0.56), 1, 200), Some(51));
}

#[test]
fn a_lost_step_is_left_at_once_and_given_back_slowly() {
    let mut play = Play::new();
    assert_eq!(play.until(&[LOST, WELL, WELL], 2, 100), Some(1));
    assert_eq!((play.keeper.phase(), play.keeper.given()), (Phase::Lost, 0.0));
    for _ in 0..50 {
        play.tick(&[WELL; 3]);
        assert_eq!((play.keeper.phase(), play.keeper.given()), (Phase::Lost, 0.0));
    }
    play.tick(&[WELL; 3]);
    assert_eq!((play.keeper.phase(), play.keeper.open()), (Phase::Returning, 2));
    let whole = ramp(&play.rule);
    assert_eq!(whole, Duration::from_secs(20));
    for _ in 0..100 {
        play.tick(&[WELL; 3]);
    }
    assert!((play.keeper.given() - 0.5).abs() < 1e-9, "{}", play.keeper.given());
    // Full with what it has: no more for now, and the rest stays open.
    for _ in 0..100 {
        play.tick(&[FULL, WELL, WELL]);
    }
    assert!((play.keeper.given() - 0.5).abs() < 1e-9, "{}", play.keeper.given());
    assert_eq!(play.keeper.open(), 2);
    for _ in 0..101 {
        play.tick(&[WELL; 3]);
    }
    assert_eq!((play.keeper.given(), play.keeper.phase()), (1.0, Phase::Spilling));
    assert_eq!(play.until(&[WELL; 3], 1, 100), Some(49));
    assert_eq!(play.keeper.phase(), Phase::Near);
}

#[test]
fn a_step_that_flaps_is_not_given_back() {
    let mut play = Play::new();
    for n in 0..600 {
        let first = if n / 20 % 2 == 0 { LOST } else { WELL };
        play.tick(&[first, WELL, WELL]);
        assert_eq!((play.keeper.phase(), play.keeper.open(), play.keeper.given()), (Phase::Lost, 2, 0.0));
    }
}

#[test]
fn the_receiver_is_lost_too_and_the_next_keeps_its_distance() {
    let mut play = Play::new();
    assert_eq!(play.until(&[LOST, WELL, WELL], 2, 100), Some(1));
    assert_eq!(play.until(&[LOST, LOST, WELL], 3, 100), Some(10));
    assert_eq!(play.until(&[LOST, LOST, LOST], 2, 300), None);
    assert!(play.keeper.no_step_left());
}

#[test]
fn a_process_that_was_stopped_has_seen_nothing_meanwhile() {
    let mut play = Play::new();
    play.tick(&[LOST, WELL, WELL]);
    play.tick(&[WELL; 3]);
    play.tenths += 3000;
    play.tick(&[WELL; 3]);
    assert_eq!((play.keeper.phase(), play.keeper.given()), (Phase::Lost, 0.0));
    // A clock that goes back is no time at all, and time goes on from there.
    play.tenths = 100;
    play.tick(&[WELL; 3]);
    assert_eq!(play.keeper.phase(), Phase::Lost);
    assert_eq!(play.until(&[WELL; 3], 2, 1), Some(1));
    for _ in 0..50 {
        play.tick(&[WELL; 3]);
    }
    assert_eq!(play.keeper.phase(), Phase::Returning);
    play.tenths += 100_000;
    play.tick(&[WELL; 3]);
    assert!(play.keeper.given() <= 0.2, "{}", play.keeper.given());
}

#[test]
fn a_ladder_may_be_empty_shrink_and_grow() {
    let mut play = Play::new();
    assert_eq!(play.tick(&[]), 0);
    assert_eq!((play.keeper.phase(), play.keeper.no_step_left()), (Phase::Lost, true));
    assert_eq!(play.tick(&[WELL]), 1);
    let mut play = Play::new();
    play.until(&[FULL, WELL, WELL], 2, 100);
    assert_eq!((play.tick(&[FULL]), play.keeper.phase()), (1, Phase::Near));
}

fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        4 => 0.0..1.3f64,
        1 => Just(0.0),
        1 => Just(0.95),
        1 => Just(0.3),
        1 => prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(f64::MAX)],
    ]
}

fn evidence() -> impl Strategy<Value = Vec<(u64, [Seen; 4])>> {
    let seen = || (figure(), figure()).prop_map(|(load, usable)| Seen { load, usable });
    let tick = (1u64..700, [seen(), seen(), seen(), seen()], 1usize..12);
    let runs = prop::collection::vec(tick, 1..40);
    // Runs of the same evidence, so that dwell times do end.
    runs.prop_map(|runs| runs.into_iter().flat_map(|(ms, seen, times)| vec![(ms, seen); times]).collect())
}

fn rule() -> impl Strategy<Value = Rule> {
    (0.05..1.0f64, 0.0..1.0f64, 1u64..4000, 1u64..6000, prop_oneof![Just(0.0), 0.0..1.0f64]).prop_map(
        |(over, back, over_for, back_for, least)| {
            let mut rule = Rule::near_first();
            rule.spill.over = over;
            rule.spill.back = over * back;
            rule.spill.over_for = Duration::from_millis(over_for);
            rule.spill.back_for = Duration::from_millis(back_for);
            rule.usable_least = least;
            rule
        },
    )
}

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(512))]

    #[test]
    fn dwell_and_damping_hold_under_any_order_of_evidence(rule in rule(), ticks in evidence()) {
        let (mut keeper, mut now, mut open) = (Keeper::default(), Duration::ZERO, 1);
        let (mut opened, mut closed, mut unpressed) = (None::<Duration>, None::<Duration>, Duration::ZERO);
        let mut lost_at = None;
        let mut given = 1.0;
        for (n, (ms, steps)) in ticks.iter().enumerate() {
            let between = Duration::from_millis(*ms);
            now += if n == 0 { Duration::ZERO } else { between };
            let before = open;
            if !steps[..before].iter().all(|step| step.is_pressed(&rule)) {
                unpressed = now;
            }
            open = keeper.tick(now, &rule, steps);
            prop_assert!((1..=4).contains(&open));
            prop_assert_eq!(open, keeper.open());
            if open > before {
                prop_assert!(opened.is_none_or(|at| now - at >= rule.spill.over_for), "opened too soon");
                let lost = steps[..before].iter().all(Seen::is_lost);
                prop_assert!(lost || now - unpressed >= rule.spill.over_for, "evidence did not stand");
                prop_assert!(steps[open - 1].takes_more(&rule), "opened into what is full");
                prop_assert!(!steps[before..open - 1].iter().any(|step| step.takes_more(&rule)));
                (opened, unpressed) = (Some(now), now);
            }
            if open < before {
                prop_assert_eq!(open, before - 1);
                prop_assert!(closed.is_none_or(|at| now - at >= rule.spill.back_for), "closed too soon");
                prop_assert!(opened.is_none_or(|at| now - at >= rule.spill.back_for), "closed right after");
                prop_assert!(steps[..open].iter().any(|step| step.load < rule.spill.back && !step.is_lost()));
                (closed, unpressed) = (Some(now), now);
            }
            let most = between.min(GAP_MOST).as_secs_f64() / ramp(&rule).as_secs_f64();
            prop_assert!((0.0..=1.0).contains(&keeper.given()) && keeper.given() <= given + most + 1e-9);
            given = keeper.given();
            if steps[0].is_lost() {
                lost_at = Some(now);
                prop_assert_eq!((keeper.phase(), given), (Phase::Lost, 0.0));
            }
            if let Some(lost_at) = lost_at && given > 0.0 {
                prop_assert!(now - lost_at >= rule.spill.back_for, "given back too soon");
            }
            prop_assert!(keeper.since() <= now);
        }
    }
}
