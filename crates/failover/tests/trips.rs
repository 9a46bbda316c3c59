//! Round trips between zones: what moves the table, and what does not.

use maplehook_failover::rtt::{
    HOLD_TIME, MAX_PEERS, MAX_RTT, MIN_DIFFERENCE, PeerRtt, RttEstimator, RttTable, ZoneRtt,
};
use maplehook_locality::{Topology, Zone};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(500);

fn topology() -> Topology {
    Topology::new([("north", vec!["a", "b"]), ("south", vec!["c"])]).unwrap()
}

/// Three balancers in each zone: `a0` to `c2`.
fn zone_of(name: &str) -> Option<Zone> {
    topology().zone(name.get(..1)?)
}

fn peers() -> Vec<String> {
    ["a", "b", "c"].iter().flat_map(|zone| (0..3).map(move |n| format!("{zone}{n}"))).collect()
}

fn digest(name: &str) -> u64 {
    name.bytes().fold(7, |sum, byte| sum * 256 + u64::from(byte))
}

fn digests() -> BTreeMap<u64, Zone> {
    peers().iter().filter_map(|name| Some((digest(name), zone_of(name)?))).collect()
}

/// What one says whose ways take so long, by the peer.
fn word(from: &str, took: impl Fn(&str) -> f32) -> Vec<PeerRtt> {
    let others = peers().into_iter().filter(|peer| *peer != from);
    others.map(|peer| PeerRtt { peer: digest(&peer), ms: took(&peer) }).collect()
}

struct Play {
    measuring: RttEstimator,
    now: Duration,
    moves: usize,
}

impl Play {
    fn new(before: &RttTable) -> Self {
        Self { measuring: RttEstimator::new(before, &topology()), now: Duration::ZERO, moves: 0 }
    }

    /// All speak, and it is looked at.
    fn step(&mut self, took: impl Fn(&str, &str) -> f32) {
        self.now += LOOK;
        for from in peers() {
            self.measuring.record(self.now, &from, &word(&from, |peer| took(&from, peer)));
        }
        self.look();
    }

    fn look(&mut self) {
        self.moves += usize::from(self.measuring.tick(self.now, zone_of, &digests()));
    }

    fn steps(&mut self, lasts: Duration, took: impl Fn(&str, &str) -> f32) {
        let until = self.now + lasts;
        while self.now < until {
            self.step(&took);
        }
    }

    /// What the table has for two zones, in milliseconds.
    fn way(&self, a: &str, b: &str) -> Option<f64> {
        let topology = topology();
        let (a, b) = (topology.zone(a).unwrap(), topology.zone(b).unwrap());
        let table = self.measuring.table(&topology);
        assert!(table.is_sound());
        table
            .resolve(&topology)
            .find(|(x, y, _)| (*x, *y) == (a.min(b), a.max(b)))
            .map(|(.., took)| took.as_secs_f64() * 1e3)
    }
}

fn near(one: Option<f64>, ms: f64) -> bool {
    one.is_some_and(|one| (one - ms).abs() < 0.01)
}

#[test]
fn a_way_is_known_once_it_was_seen_from_both_ends_for_long_enough() {
    let mut play = Play::new(&RttTable::default());
    let only_a = |from: &str, _: &str| if from.starts_with('a') { 2.0 } else { f32::NAN };
    play.steps(2 * HOLD_TIME, only_a);
    assert_eq!(play.way("a", "b"), None, "one end alone tells nothing");
    play.steps(HOLD_TIME, |_, _| 2.0);
    assert_eq!(play.way("a", "b"), None, "not yet");
    play.step(|_, _| 2.0);
    assert!(near(play.way("a", "b"), 2.0) && near(play.way("b", "c"), 2.0));
}

#[test]
fn it_moves_after_the_time_and_back_and_no_jitter_moves_it() {
    let mut play = Play::new(&RttTable::default());
    play.steps(HOLD_TIME + LOOK, |_, _| 2.0);
    assert_eq!(play.moves, 1);
    for n in 0..100 {
        // Long ones, again and again, each for less than the time.
        play.steps(HOLD_TIME - LOOK, |_, _| 40.0);
        play.step(|_, _| 2.0 + (n % 3) as f32 * 0.4);
    }
    assert_eq!(play.moves, 1);
    // Ever so little for ever so long.
    let little = 2.0 + MIN_DIFFERENCE.as_secs_f32() * 1e3;
    play.steps(10 * HOLD_TIME, |_, _| little);
    assert_eq!(play.moves, 1);
    // What was least during the time is what it moves to.
    play.steps(HOLD_TIME, |_, _| 40.0);
    assert!(near(play.way("a", "b"), 2.0));
    play.step(|_, _| 60.0);
    assert!(near(play.way("a", "b"), 40.0));
    play.steps(HOLD_TIME + LOOK, |_, _| 2.0);
    assert!(near(play.way("a", "b"), 2.0));
    assert_eq!(play.moves, 3);
}

#[test]
fn what_nobody_says_any_more_stays() {
    let mut play = Play::new(&RttTable::default());
    play.steps(HOLD_TIME + LOOK, |_, _| 2.0);
    for _ in 0..100 {
        play.now += LOOK;
        play.look();
    }
    assert!(near(play.way("a", "b"), 2.0));
    // One end is gone, the other one sees something else.
    play.steps(3 * HOLD_TIME, |from, _| if from.starts_with('a') { f32::NAN } else { 90.0 });
    assert!(near(play.way("a", "b"), 2.0) && near(play.way("b", "c"), 90.0));
    // Whoever leads next goes on from there, by names, however its zones are counted.
    let other = Topology::new([("south", vec!["c", "b"]), ("east", vec!["e"])]).unwrap();
    let table = play.measuring.table(&topology());
    let carried: Vec<_> = RttEstimator::new(&table, &other).table(&other).rtts;
    assert_eq!(carried, [ZoneRtt { a: 0, b: 1, us: 90_000 }]);
}

#[test]
fn whoever_was_stopped_begins_to_wait_anew() {
    let mut play = Play::new(&RttTable::default());
    play.steps(HOLD_TIME, |_, _| 2.0);
    play.now += Duration::from_secs(30);
    play.step(|_, _| 2.0);
    assert_eq!(play.moves, 0, "30 s of which nobody knows");
    play.steps(HOLD_TIME, |_, _| 2.0);
    assert_eq!(play.moves, 1);
}

#[test]
fn one_bad_link_and_one_liar_in_each_zone_move_nothing() {
    let mut play = Play::new(&RttTable::default());
    play.steps(HOLD_TIME + LOOK, |_, _| 2.0);
    let bad =
        |from: &str, to: &str| if [(from, to), (to, from)].contains(&("a0", "b0")) { 300.0 } else { 2.0 };
    play.steps(4 * HOLD_TIME, bad);
    for lie in [0.0, 500.0, 9_999.0] {
        play.steps(4 * HOLD_TIME, |from, _| if from.ends_with('1') { lie } else { 2.0 });
    }
    // All of a zone, to either side.
    for lie in [0.0, 9_999.0] {
        play.steps(4 * HOLD_TIME, |from, _| if from.starts_with('c') { lie } else { 2.0 });
    }
    assert_eq!(play.moves, 1);
    assert!(near(play.way("a", "b"), 2.0) && near(play.way("b", "c"), 2.0));
    // Nobody has seen a way yet that one of its ends makes short.
    let mut play = Play::new(&RttTable::default());
    play.steps(HOLD_TIME + LOOK, |from, _| if from.starts_with('c') { 0.0 } else { 7.0 });
    assert!(near(play.way("a", "c"), 7.0));
}

#[test]
fn a_table_that_none_can_be_is_none() {
    let good = RttTable { zones: vec!["a".into(), "b".into()], rtts: vec![ZoneRtt { a: 0, b: 1, us: 7 }] };
    assert!(good.is_sound() && RttTable::default().is_sound());
    let bad = |rtts: Vec<ZoneRtt>| !RttTable { rtts, ..good.clone() }.is_sound();
    assert!(bad(vec![ZoneRtt { a: 1, b: 0, us: 7 }]));
    assert!(bad(vec![ZoneRtt { a: 0, b: 2, us: 7 }]));
    assert!(bad(vec![ZoneRtt { a: 0, b: 1, us: MAX_RTT.as_micros() as u32 + 1 }]));
    assert!(bad(vec![ZoneRtt { a: 0, b: 1, us: 7 }; 2]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// In whatever order they speak, and however often within a moment, the table is the same.
    #[test]
    fn the_order_of_words_does_not_count(
        took in prop::collection::vec(0.0f32..80.0, 81),
        seed in any::<u64>(),
    ) {
        let all = peers();
        let at = |from: &str, to: &str| {
            let n = |name: &str| all.iter().position(|peer| peer == name).unwrap();
            took[n(from) * 9 + n(to)]
        };
        let mut straight = Play::new(&RttTable::default());
        straight.steps(HOLD_TIME + LOOK, at);
        let mut other = Play::new(&RttTable::default());
        let mut state = seed;
        for _ in 0..=(HOLD_TIME.as_millis() / LOOK.as_millis()) {
            other.now += LOOK;
            let mut order: Vec<String> = all.iter().chain(&all).cloned().collect();
            for n in (1..order.len()).rev() {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                order.swap(n, (state >> 33) as usize % (n + 1));
            }
            for from in order {
                let mut ways = word(&from, |peer| at(&from, peer));
                let turn = (state >> 7) as usize % ways.len();
                ways.rotate_left(turn);
                other.measuring.record(other.now, &from, &ways);
            }
            other.look();
        }
        prop_assert_eq!(straight.measuring.table(&topology()), other.measuring.table(&topology()));
        prop_assert_eq!(straight.measuring.table(&topology()).rtts.len(), 3);
    }

    /// A zone whose balancers all lie, each as it likes, moves no way of its own against the other end.
    #[test]
    fn a_zone_of_liars_moves_nothing_alone(lies in prop::collection::vec(0.0f32..9000.0, 60), true_ms in 0.1f32..50.0) {
        let mut play = Play::new(&RttTable::default());
        play.steps(HOLD_TIME + LOOK, |_, _| true_ms);
        for lie in lies {
            play.steps(3 * LOOK, |from, _| if from.starts_with('c') { lie } else { true_ms });
        }
        prop_assert_eq!(play.moves, 1);
        prop_assert!(near(play.way("a", "c"), f64::from(true_ms)));
    }

    /// Whatever is said, the table is sound, small, and moves no more often than its time allows.
    #[test]
    fn it_stays_bounded(
        words in prop::collection::vec((0usize..14, prop::collection::vec((any::<u64>(), any::<f32>()), 0..40), 0u64..900), 0..120),
    ) {
        let mut play = Play::new(&RttTable::default());
        for (from, ways, later) in words {
            play.now += Duration::from_millis(later);
            let known = peers();
            let of = |(n, ms): (u64, f32)| PeerRtt { peer: digest(&known[n as usize % 9]), ms };
            let from = known.get(from).cloned().unwrap_or_else(|| format!("stranger{from}"));
            play.measuring.record(play.now, &from, &ways.into_iter().map(of).collect::<Vec<_>>());
            play.look();
        }
        let table = play.measuring.table(&topology());
        prop_assert!(table.is_sound() && table.rtts.len() <= 3);
        prop_assert!(play.moves as u128 <= 3 * (play.now.as_millis() / HOLD_TIME.as_millis() + 1));
        prop_assert!(MAX_PEERS <= 16);
    }
}
