//! Round-trip times between zones: which measurements change the agreed table and which do not.

use maplehook_failover::rtt::{
    HOLD_TIME, MAX_PEERS, MAX_RTT, MIN_DIFFERENCE, PeerRtt, RttEstimator, RttTable, ZoneRtt,
};
use maplehook_locality::{Topology, Zone};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(500);

fn topology() -> Topology {
    Topology::new([("north", vec!["a", "b"]), ("south", vec!["c"])]).unwrap()
}

/// Returns the zone of a balancer, which is the first letter of the balancer's name.
fn zone_of_balancer(name: &str) -> Option<Zone> {
    topology().zone(name.get(..1)?)
}

/// Returns the names `a0` to `c2`: three balancers in each of three zones.
fn balancer_names() -> Vec<String> {
    ["a", "b", "c"].iter().flat_map(|zone| (0..3).map(move |n| format!("{zone}{n}"))).collect()
}

fn name_hash(name: &str) -> u64 {
    name.bytes().fold(7, |sum, byte| sum * 256 + u64::from(byte))
}

fn zones_by_hash() -> BTreeMap<u64, Zone> {
    balancer_names().iter().filter_map(|name| Some((name_hash(name), zone_of_balancer(name)?))).collect()
}

/// Returns the measurements of balancer `from`. `rtt_ms` gives the round-trip time to a peer in milliseconds.
fn measurements_of(from: &str, rtt_ms: impl Fn(&str) -> f32) -> Vec<PeerRtt> {
    let others = balancer_names().into_iter().filter(|peer| *peer != from);
    others.map(|peer| PeerRtt { peer: name_hash(&peer), ms: rtt_ms(&peer) }).collect()
}

struct EstimatorRun {
    estimator: RttEstimator,
    now: Duration,
    table_changes: usize,
}

impl EstimatorRun {
    fn new(previous: &RttTable) -> Self {
        Self { estimator: RttEstimator::new(previous, &topology()), now: Duration::ZERO, table_changes: 0 }
    }

    /// Advances the time by one tick. All balancers report before the estimator evaluates the measurements.
    fn step(&mut self, rtt_ms: impl Fn(&str, &str) -> f32) {
        self.now += TICK_INTERVAL;
        for from in balancer_names() {
            self.estimator.record(self.now, &from, &measurements_of(&from, |peer| rtt_ms(&from, peer)));
        }
        self.tick();
    }

    fn tick(&mut self) {
        self.table_changes += usize::from(self.estimator.tick(self.now, zone_of_balancer, &zones_by_hash()));
    }

    fn run_for(&mut self, duration: Duration, rtt_ms: impl Fn(&str, &str) -> f32) {
        let until = self.now + duration;
        while self.now < until {
            self.step(&rtt_ms);
        }
    }

    /// Returns the table entry for two zones, in milliseconds.
    fn entry_ms(&self, a: &str, b: &str) -> Option<f64> {
        let topology = topology();
        let (a, b) = (topology.zone(a).unwrap(), topology.zone(b).unwrap());
        let table = self.estimator.table(&topology);
        assert!(table.is_sound());
        table
            .resolve(&topology)
            .find(|(x, y, _)| (*x, *y) == (a.min(b), a.max(b)))
            .map(|(.., rtt)| rtt.as_secs_f64() * 1e3)
    }
}

fn is_close(actual_ms: Option<f64>, expected_ms: f64) -> bool {
    actual_ms.is_some_and(|actual_ms| (actual_ms - expected_ms).abs() < 0.01)
}

#[test]
fn entry_appears_after_both_zones_report_it_for_the_hold_time() {
    let mut run = EstimatorRun::new(&RttTable::default());
    let only_zone_a = |from: &str, _: &str| if from.starts_with('a') { 2.0 } else { f32::NAN };
    run.run_for(2 * HOLD_TIME, only_zone_a);
    assert_eq!(run.entry_ms("a", "b"), None, "measurements of one zone alone must not create an entry");
    run.run_for(HOLD_TIME, |_, _| 2.0);
    assert_eq!(run.entry_ms("a", "b"), None, "the hold time has not passed yet");
    run.step(|_, _| 2.0);
    assert!(is_close(run.entry_ms("a", "b"), 2.0) && is_close(run.entry_ms("b", "c"), 2.0));
}

#[test]
fn entry_changes_only_after_a_difference_lasts_for_the_hold_time() {
    let mut run = EstimatorRun::new(&RttTable::default());
    run.run_for(HOLD_TIME + TICK_INTERVAL, |_, _| 2.0);
    assert_eq!(run.table_changes, 1);
    for n in 0..100 {
        // Long round-trip times, repeatedly, but each time for less than the hold time.
        run.run_for(HOLD_TIME - TICK_INTERVAL, |_, _| 40.0);
        run.step(|_, _| 2.0 + (n % 3) as f32 * 0.4);
    }
    assert_eq!(run.table_changes, 1);
    // A difference that does not exceed the minimum, for a long time.
    let at_threshold_ms = 2.0 + MIN_DIFFERENCE.as_secs_f32() * 1e3;
    run.run_for(10 * HOLD_TIME, |_, _| at_threshold_ms);
    assert_eq!(run.table_changes, 1);
    // The new entry is the smallest round-trip time during the hold time.
    run.run_for(HOLD_TIME, |_, _| 40.0);
    assert!(is_close(run.entry_ms("a", "b"), 2.0));
    run.step(|_, _| 60.0);
    assert!(is_close(run.entry_ms("a", "b"), 40.0));
    run.run_for(HOLD_TIME + TICK_INTERVAL, |_, _| 2.0);
    assert!(is_close(run.entry_ms("a", "b"), 2.0));
    assert_eq!(run.table_changes, 3);
}

#[test]
fn entry_without_measurements_from_both_zones_stays_unchanged() {
    let mut run = EstimatorRun::new(&RttTable::default());
    run.run_for(HOLD_TIME + TICK_INTERVAL, |_, _| 2.0);
    for _ in 0..100 {
        run.now += TICK_INTERVAL;
        run.tick();
    }
    assert!(is_close(run.entry_ms("a", "b"), 2.0));
    // Zone a stops reporting, and the other zones measure longer times.
    run.run_for(3 * HOLD_TIME, |from, _| if from.starts_with('a') { f32::NAN } else { 90.0 });
    assert!(is_close(run.entry_ms("a", "b"), 2.0) && is_close(run.entry_ms("b", "c"), 90.0));
    // The next leader keeps the entries by zone name, even if its topology has another zone order.
    let other_topology = Topology::new([("south", vec!["c", "b"]), ("east", vec!["e"])]).unwrap();
    let table = run.estimator.table(&topology());
    let carried_over: Vec<_> = RttEstimator::new(&table, &other_topology).table(&other_topology).rtts;
    assert_eq!(carried_over, [ZoneRtt { a: 0, b: 1, us: 90_000 }]);
}

#[test]
fn hold_time_restarts_after_a_pause_of_the_leader() {
    let mut run = EstimatorRun::new(&RttTable::default());
    run.run_for(HOLD_TIME, |_, _| 2.0);
    run.now += Duration::from_secs(30);
    run.step(|_, _| 2.0);
    assert_eq!(run.table_changes, 0, "the pause of 30 s must not count towards the hold time");
    run.run_for(HOLD_TIME, |_, _| 2.0);
    assert_eq!(run.table_changes, 1);
}

#[test]
fn one_bad_link_or_one_faulty_balancer_per_zone_changes_no_entry() {
    let mut run = EstimatorRun::new(&RttTable::default());
    run.run_for(HOLD_TIME + TICK_INTERVAL, |_, _| 2.0);
    let with_bad_link =
        |from: &str, to: &str| if [(from, to), (to, from)].contains(&("a0", "b0")) { 300.0 } else { 2.0 };
    run.run_for(4 * HOLD_TIME, with_bad_link);
    for wrong_ms in [0.0, 500.0, 9_999.0] {
        run.run_for(4 * HOLD_TIME, |from, _| if from.ends_with('1') { wrong_ms } else { 2.0 });
    }
    // All balancers of zone c report times that are too short, then too long.
    for wrong_ms in [0.0, 9_999.0] {
        run.run_for(4 * HOLD_TIME, |from, _| if from.starts_with('c') { wrong_ms } else { 2.0 });
    }
    assert_eq!(run.table_changes, 1);
    assert!(is_close(run.entry_ms("a", "b"), 2.0) && is_close(run.entry_ms("b", "c"), 2.0));
    // A new entry takes the longer of the times that the two zones report.
    let mut run = EstimatorRun::new(&RttTable::default());
    run.run_for(HOLD_TIME + TICK_INTERVAL, |from, _| if from.starts_with('c') { 0.0 } else { 7.0 });
    assert!(is_close(run.entry_ms("a", "c"), 7.0));
}

#[test]
fn is_sound_rejects_invalid_tables() {
    let valid_table =
        RttTable { zones: vec!["a".into(), "b".into()], rtts: vec![ZoneRtt { a: 0, b: 1, us: 7 }] };
    assert!(valid_table.is_sound() && RttTable::default().is_sound());
    let is_rejected = |rtts: Vec<ZoneRtt>| !RttTable { rtts, ..valid_table.clone() }.is_sound();
    assert!(is_rejected(vec![ZoneRtt { a: 1, b: 0, us: 7 }]));
    assert!(is_rejected(vec![ZoneRtt { a: 0, b: 2, us: 7 }]));
    assert!(is_rejected(vec![ZoneRtt { a: 0, b: 1, us: MAX_RTT.as_micros() as u32 + 1 }]));
    assert!(is_rejected(vec![ZoneRtt { a: 0, b: 1, us: 7 }; 2]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The table depends neither on the order of the reports within a tick nor on repeated reports.
    #[test]
    fn order_of_reports_does_not_affect_the_table(
        rtt_ms in prop::collection::vec(0.0f32..80.0, 81),
        seed in any::<u64>(),
    ) {
        let names = balancer_names();
        let rtt_between = |from: &str, to: &str| {
            let n = |name: &str| names.iter().position(|peer| peer == name).unwrap();
            rtt_ms[n(from) * 9 + n(to)]
        };
        let mut in_order = EstimatorRun::new(&RttTable::default());
        in_order.run_for(HOLD_TIME + TICK_INTERVAL, rtt_between);
        let mut shuffled = EstimatorRun::new(&RttTable::default());
        let mut random_state = seed;
        for _ in 0..=(HOLD_TIME.as_millis() / TICK_INTERVAL.as_millis()) {
            shuffled.now += TICK_INTERVAL;
            let mut order: Vec<String> = names.iter().chain(&names).cloned().collect();
            for n in (1..order.len()).rev() {
                random_state = random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                order.swap(n, (random_state >> 33) as usize % (n + 1));
            }
            for from in order {
                let mut measurements = measurements_of(&from, |peer| rtt_between(&from, peer));
                let turn = (random_state >> 7) as usize % measurements.len();
                measurements.rotate_left(turn);
                shuffled.estimator.record(shuffled.now, &from, &measurements);
            }
            shuffled.tick();
        }
        prop_assert_eq!(in_order.estimator.table(&topology()), shuffled.estimator.table(&topology()));
        prop_assert_eq!(in_order.estimator.table(&topology()).rtts.len(), 3);
    }

    /// Wrong times from all balancers of one zone change no entry if the other zone reports the true time.
    #[test]
    fn zone_with_only_faulty_balancers_changes_no_entry(
        wrong_times_ms in prop::collection::vec(0.0f32..9000.0, 60),
        true_ms in 0.1f32..50.0,
    ) {
        let mut run = EstimatorRun::new(&RttTable::default());
        run.run_for(HOLD_TIME + TICK_INTERVAL, |_, _| true_ms);
        for wrong_ms in wrong_times_ms {
            run.run_for(3 * TICK_INTERVAL, |from, _| if from.starts_with('c') { wrong_ms } else { true_ms });
        }
        prop_assert_eq!(run.table_changes, 1);
        prop_assert!(is_close(run.entry_ms("a", "c"), f64::from(true_ms)));
    }

    /// Arbitrary reports leave the table valid and small, and change each entry at most once per hold time.
    #[test]
    fn table_stays_valid_and_bounded_for_arbitrary_reports(
        reports in prop::collection::vec(
            (0usize..14, prop::collection::vec((any::<u64>(), any::<f32>()), 0..40), 0u64..900),
            0..120,
        ),
    ) {
        let mut run = EstimatorRun::new(&RttTable::default());
        for (from, entries, delay_ms) in reports {
            run.now += Duration::from_millis(delay_ms);
            let names = balancer_names();
            let to_peer_rtt = |(n, ms): (u64, f32)| PeerRtt { peer: name_hash(&names[n as usize % 9]), ms };
            let from = names.get(from).cloned().unwrap_or_else(|| format!("unknown{from}"));
            run.estimator.record(run.now, &from, &entries.into_iter().map(to_peer_rtt).collect::<Vec<_>>());
            run.tick();
        }
        let table = run.estimator.table(&topology());
        prop_assert!(table.is_sound() && table.rtts.len() <= 3);
        prop_assert!(run.table_changes as u128 <= 3 * (run.now.as_millis() / HOLD_TIME.as_millis() + 1));
        prop_assert!(MAX_PEERS <= 16);
    }
}
