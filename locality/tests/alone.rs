//! Shares that a balancer takes of itself.

use maplehook_locality::alone::shares;
use maplehook_locality::{Keeper, Place, Region, Rule, Seen, Step, Topology, WhenLost, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

fn topology() -> Topology {
    let mut topology =
        Topology::new([("north", vec!["a", "b"]), ("south", vec!["c", "d"]), ("west", vec!["e"])]).unwrap();
    topology.set_trip(Zone(0), Zone(2), Duration::from_millis(5));
    topology
}

/// A keeper to which so many steps of four are open.
fn open(rule: &Rule, steps: usize) -> Keeper {
    let (mut keeper, well) = (Keeper::default(), Seen { load: 0.0, usable: 1.0 });
    let full = Seen { load: 1.0, usable: 1.0 };
    for n in 0..100 {
        let seen: Vec<Seen> = (1..=4).map(|n| if n < steps { full } else { well }).collect();
        keeper.tick(Duration::from_millis(n * 500), rule, &seen);
    }
    keeper
}

/// A keeper that has found all its steps lost or full.
fn none_left(rule: &Rule, first: Seen) -> Keeper {
    let mut keeper = Keeper::default();
    keeper.tick(Duration::ZERO, rule, &[first, Seen { load: 1.0, usable: 1.0 }]);
    keeper
}

fn close(found: &[(Zone, f64)], want: &[(u16, f64)]) {
    let same = found.len() == want.len()
        && found.iter().zip(want).all(|(a, b)| a.0.0 == b.0 && (a.1 - b.1).abs() < 1e-6);
    assert!(same, "{found:?} is not {want:?}");
}

#[test]
fn near_is_filled_first_then_reserves() {
    let (topology, rule) = (topology(), Rule::near_first());
    let rooms = [100.0, 50.0, 100.0, 50.0, 0.0];
    let shares =
        |steps: usize, demand: f64| shares(&rule, &topology, Zone(0), &open(&rule, steps), demand, &rooms);
    close(&shares(1, 50.0), &[(0, 1.0)]);
    close(&shares(1, 90.0), &[(0, 1.0)]);
    close(&shares(1, 200.0), &[(0, 0.5)]);
    close(&shares(2, 100.0), &[(0, 0.8), (1, 0.2)]);
    close(&shares(2, 120.0), &[(0, 80.0 / 120.0), (1, 40.0 / 120.0)]);
    close(&shares(2, 130.0), &[(0, 90.0 / 130.0), (1, 40.0 / 130.0)]);
    close(&shares(3, 150.0), &[(0, 80.0 / 150.0), (1, 40.0 / 150.0), (2, 20.0 / 150.0), (3, 10.0 / 150.0)]);
    close(&shares(3, 600.0), &[(0, 1.0 / 6.0), (1, 0.5 / 6.0), (2, 1.0 / 6.0), (3, 0.5 / 6.0)]);
    close(&shares(2, 0.0), &[(0, 1.0)]);
}

#[test]
fn what_goes_beyond_the_region_is_bounded_and_what_is_forbidden_gets_nothing() {
    let topology = topology();
    let mut rule = Rule::near_first();
    rule.beyond_region_most = 0.1;
    let rooms = [50.0, 0.0, 100.0, 100.0, 100.0];
    let found = shares(&rule, &topology, Zone(0), &open(&rule, 3), 100.0, &rooms);
    close(&found, &[(0, 0.5), (2, 0.1 / 3.0), (3, 0.1 / 3.0), (4, 0.1 / 3.0)]);
    rule.never = vec![Zone(0), Zone(2)];
    let found = shares(&rule, &topology, Zone(0), &open(&rule, 4), 100.0, &rooms);
    close(&found, &[(3, 0.05), (4, 0.05)]);
}

#[test]
fn with_no_step_left_it_is_refused_or_goes_anywhere() {
    let topology = topology();
    let mut rule = Rule::near_first();
    rule.steps =
        vec![Step { place: Place::OwnZone, within: None }, Step { place: Place::OwnRegion, within: None }];
    rule.never = vec![Zone(4)];
    rule.when_lost = WhenLost::Refuse;
    let rooms = [0.0, 20.0, 30.0, 30.0, 100.0];
    let lost = Seen { load: 0.0, usable: 0.0 };
    let keeper = none_left(&rule, lost);
    close(&shares(&rule, &topology, Zone(0), &keeper, 100.0, &rooms), &[]);
    rule.when_lost = WhenLost::Anywhere;
    close(&shares(&rule, &topology, Zone(0), &keeper, 100.0, &rooms), &[(1, 0.2), (2, 0.3), (3, 0.3)]);
    // While a step may still be opened, nothing goes past it.
    let waiting = open(&rule, 1);
    close(&shares(&rule, &topology, Zone(0), &waiting, 100.0, &rooms), &[]);
}

#[test]
fn a_zone_that_there_is_not_gets_nothing() {
    let (topology, mut rule) = (topology(), Rule::near_first());
    rule.steps.insert(0, Step { place: Place::Zone(Zone(77)), within: None });
    let found = shares(&rule, &topology, Zone(99), &open(&rule, 4), 100.0, &[100.0; 200]);
    assert!(found.iter().all(|(zone, _)| zone.0 < 5), "{found:?}");
}

#[test]
fn a_step_that_returns_is_filled_by_what_is_given_back() {
    let (topology, rule) = (topology(), Rule::near_first());
    let well = Seen { load: 0.1, usable: 1.0 };
    let mut keeper = Keeper::default();
    keeper.tick(Duration::ZERO, &rule, &[Seen { load: 0.0, usable: 0.0 }, well, well]);
    for n in 1..=20 {
        keeper.tick(Duration::from_millis(n * 500), &rule, &[well; 3]);
    }
    let given = keeper.given();
    assert!((0.1..0.4).contains(&given), "{given}");
    let found = shares(&rule, &topology, Zone(0), &keeper, 100.0, &[100.0, 200.0, 0.0, 0.0, 0.0]);
    close(&found, &[(0, given * 0.8), (1, 1.0 - given * 0.8)]);
}

fn place() -> impl Strategy<Value = Step> {
    let place = prop_oneof![
        Just(Place::OwnZone),
        Just(Place::OwnRegion),
        Just(Place::Anywhere),
        (0u16..5).prop_map(|n| Place::Zone(Zone(n))),
        (0u16..3).prop_map(|n| Place::Region(Region(n))),
    ];
    let within = prop_oneof![3 => Just(None), 1 => Just(Some(Duration::from_millis(5)))];
    (place, within).prop_map(|(place, within)| Step { place, within })
}

fn rule() -> impl Strategy<Value = Rule> {
    let steps = prop::collection::vec(place(), 0..5);
    let never = prop::collection::btree_set(0u16..5, 0..4);
    let most = prop_oneof![Just(0.0), Just(1.0), 0.0..1.0f64];
    (steps, never, most, 0.1..1.0f64, any::<bool>()).prop_map(|(steps, never, most, over, refuse)| {
        let mut rule = Rule { steps, beyond_region_most: most, ..Rule::near_first() };
        rule.never = never.into_iter().map(Zone).collect();
        rule.spill.over = over;
        rule.spill.back = over / 2.0;
        rule.when_lost = if refuse { WhenLost::Refuse } else { WhenLost::Anywhere };
        rule
    })
}

fn room() -> impl Strategy<Value = f64> {
    prop_oneof![1 => Just(0.0), 1 => Just(f64::NAN), 1 => Just(-5.0), 1 => Just(1e300), 6 => 0.0..200.0f64]
}

fn keeper() -> impl Strategy<Value = Vec<Vec<Seen>>> {
    let seen =
        (0.0..1.2f64, prop_oneof![Just(0.0), 0.0..1.0f64]).prop_map(|(load, usable)| Seen { load, usable });
    prop::collection::vec(prop::collection::vec(seen, 5), 0..30)
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
    #![proptest_config(fixed(1024))]

    #[test]
    fn no_share_breaks_its_rule_and_more_room_never_serves_less(
        (rule, from, ticks) in (rule(), 0u16..5, keeper()),
        demand in room(),
        rooms in prop::collection::vec(room(), 0..7),
        (which, more) in (0usize..5, 0.0..100.0f64),
    ) {
        let (topology, from) = (topology(), Zone(from));
        let steps = rule.ladder(&topology, from).len();
        let mut keeper = Keeper::default();
        for (n, seen) in ticks.iter().enumerate() {
            keeper.tick(Duration::from_millis(n as u64 * 700), &rule, &seen[..steps.min(5)]);
        }
        let found = shares(&rule, &topology, from, &keeper, demand, &rooms);
        let sum: f64 = found.iter().map(|(_, share)| share).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
        prop_assert!(found.is_sorted_by(|a, b| a.0 < b.0));
        let home = topology.region_of(from);
        let beyond: f64 = found.iter().filter(|(z, _)| topology.region_of(*z) != home).map(|(_, s)| s).sum();
        prop_assert!(beyond <= rule.beyond_region_most + 1e-9);
        for (zone, share) in &found {
            prop_assert!(rule.never.binary_search(zone).is_err(), "forbidden");
            prop_assert!(*share > 0.0);
            let room = rooms.get(usize::from(zone.0)).copied().unwrap_or(0.0);
            if demand >= 1.0 {
                prop_assert!(share * demand.min(1e12) <= room.min(1e12) * (1.0 + 1e-9) + 1e-6, "over its room");
            }
        }
        let mut wider = rooms.clone();
        if let Some(room) = wider.get_mut(which) {
            *room = if room.is_nan() { more } else { room.max(0.0) + more };
        }
        let served: f64 = shares(&rule, &topology, from, &keeper, demand, &wider).iter().map(|(_, s)| s).sum();
        prop_assert!(served >= sum - 1e-6, "{} after {}", served, sum);
    }

    #[test]
    fn what_is_left_over_had_no_room(rule in rule(), rooms in prop::collection::vec(0.0..200.0f64, 5), demand in 1.0..900.0f64) {
        let topology = topology();
        let ladder = rule.ladder(&topology, Zone(0));
        let keeper = open(&rule, 5);
        let steps = ladder.len().min(keeper.open());
        let found = shares(&rule, &topology, Zone(0), &keeper, demand, &rooms);
        let sum: f64 = found.iter().map(|(_, share)| share).sum();
        let part = |outside: bool| -> f64 {
            let zones = ladder[..steps].iter().flatten().filter(|zone| (zone.0 > 1) == outside);
            zones.map(|zone| rooms[usize::from(zone.0)]).sum()
        };
        let could = (part(false) + part(true).min(rule.beyond_region_most * demand)).min(demand) / demand;
        prop_assert!(sum >= could - 1e-6, "{} of {}", sum, could);
    }
}
