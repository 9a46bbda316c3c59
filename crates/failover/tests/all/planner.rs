//! The planner compared with brute force, and invariants of its plans for arbitrary input.

use maplehook_failover::assignment;
use maplehook_failover::flow::{FlowProblem, Flows, waterfall};
use maplehook_failover::plan::{Planner, PlannerInput, demand_table};
use maplehook_failover::priorities::{PriorityLists, zones_in};
use maplehook_failover::{Bounds, FULL_SHARE, Plan, Row};
use maplehook_locality::{Region, Rule, Rules, Step, StepTarget, Topology, WhenLost, Zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const ZONES: usize = 4;

fn topology() -> Topology {
    Topology::new([("north", vec!["a", "b"]), ("south", vec!["c", "d"])]).unwrap()
}

fn rules(all: Vec<Rule>) -> Rules {
    Rules::new(all, 1, 1, |_, _| 0)
}

/// Input of one assignment; see [`FlowProblem`] for the fields.
#[derive(Debug)]
struct FlowCase {
    priorities: PriorityLists,
    capacity: Vec<f64>,
    fallback: Vec<f64>,
    reach: Vec<u64>,
    spill_open: Vec<bool>,
    demand: Vec<f64>,
}

impl FlowCase {
    fn new(rules: &Rules, capacity: Vec<f64>, demand: &[f64]) -> Self {
        let priorities = PriorityLists::new(&topology(), rules);
        let rates = priorities.lists.iter().enumerate().map(|(n, _)| demand[n % demand.len()]).collect();
        let spill_open = vec![true; priorities.lists.len()];
        Self {
            priorities,
            capacity,
            fallback: vec![0.0; ZONES],
            reach: vec![0b1111; ZONES],
            spill_open,
            demand: rates,
        }
    }

    fn problem(&self) -> FlowProblem<'_> {
        FlowProblem {
            priorities: &self.priorities,
            capacity: &self.capacity,
            fallback: &self.fallback,
            reach: &self.reach,
            spill_open: &self.spill_open,
            demand: &self.demand,
        }
    }

    fn served_rate(flows: &Flows) -> f64 {
        flows.load.iter().sum()
    }

    /// Returns the highest rate that any assignment can serve: the minimum cut over all sets of zones.
    fn max_servable_rate(&self) -> f64 {
        let (lists, problem) = (&self.priorities.lists, self.problem());
        let mut min_cut = f64::INFINITY;
        for zones in 0u64..1 << ZONES {
            let set_capacity: f64 = zones_in(zones).map(|zone| problem.total_capacity(zone)).sum();
            // Rate that a list can send outside the set: only the remote share if only other regions remain.
            let rate_outside = |(n, list): (usize, &maplehook_failover::priorities::PriorityList)| {
                let remaining_zones = problem.usable(list) & !zones;
                if remaining_zones & !list.remote_zones != 0 {
                    self.demand[n]
                } else if remaining_zones != 0 {
                    self.demand[n] * list.max_remote_share
                } else {
                    0.0
                }
            };
            min_cut = min_cut.min(set_capacity + lists.iter().enumerate().map(rate_outside).sum::<f64>());
        }
        min_cut
    }

    /// Asserts that an assignment respects capacities, demand, allowed zones and remote shares.
    fn assert_valid(&self, flows: &Flows) {
        let problem = self.problem();
        for zone in 0..ZONES {
            assert!(flows.load[zone] <= problem.total_capacity(zone) + 1e-6, "overloaded: {flows:?}");
            let zone_total: f64 = (0..flows.to.len()).map(|n| flows.sent(n, zone)).sum();
            assert!((zone_total - flows.load[zone]).abs() < 1e-6);
        }
        for (n, list) in self.priorities.lists.iter().enumerate() {
            let sent: f64 = flows.to[n].iter().map(|(_, sent)| sent).sum();
            assert!(
                (sent + flows.unserved[n] - self.demand[n]).abs() < 1e-6,
                "sent and unserved rates of list {n} must add up to its demand: {flows:?}"
            );
            let allowed = problem.usable(list);
            assert!(
                flows.to[n]
                    .iter()
                    .all(|(zone, sent)| sent >= -1e-9 && (sent < 1e-9 || allowed >> zone & 1 == 1))
            );
            let remote: f64 = flows.to[n]
                .iter()
                .filter(|(zone, _)| list.remote_zones >> zone & 1 == 1)
                .map(|(_, sent)| sent)
                .sum();
            assert!(remote <= list.max_remote_share * self.demand[n] + 1e-6);
        }
    }

    /// Returns true if two groups of zones send each other requests beyond the first step of their lists.
    fn has_opposite_flows(&self, flows: &Flows, group_of: &[usize]) -> bool {
        let mut rates = BTreeMap::new();
        for (n, list) in self.priorities.lists.iter().enumerate() {
            for (zone, sent) in flows.to[n].iter() {
                let source_group = group_of[usize::from(list.from.0)];
                if list.step_of(zone) > 0 && source_group != group_of[zone] {
                    *rates.entry((source_group, group_of[zone])).or_insert(0.0) += sent;
                }
            }
        }
        rates.iter().any(|((a, b), out)| *out > 1e-6 && rates.get(&(*b, *a)).is_some_and(|back| *back > 1e-6))
    }
}

/// Iterates over all assignments of the three values to the zones.
fn all_combinations(values: [f64; 3]) -> impl Iterator<Item = Vec<f64>> {
    (0..3usize.pow(ZONES as u32))
        .map(move |n| (0..ZONES).map(|z| values[n / 3usize.pow(z as u32) % 3]).collect())
}

/// Returns near-first rules: plain, with an excluded zone, region only, and with a limited remote share.
fn tested_rules() -> Vec<Rule> {
    let near = Rule::near_first();
    let excluding = Rule { never: vec![Zone(2)], ..near.clone() };
    let region_only = Rule { steps: near.steps[..2].to_vec(), when_lost: WhenLost::Refuse, ..near.clone() };
    let limited_remote = Rule { beyond_region_most: 0.25, ..near.clone() };
    vec![near, excluding, region_only, limited_remote]
}

#[test]
fn waterfall_serves_the_maximum_in_all_small_cases() {
    for rule in tested_rules() {
        for capacity in all_combinations([0.0, 2.0, 5.0]) {
            for demand in all_combinations([0.0, 1.0, 4.0]) {
                let case = FlowCase::new(&rules(vec![rule.clone()]), capacity.clone(), &demand);
                let mut flows = waterfall(&case.problem());
                case.assert_valid(&flows);
                let (served, maximum) = (FlowCase::served_rate(&flows), case.max_servable_rate());
                assert!(
                    (served - maximum).abs() < 1e-6,
                    "{rule:?}, capacity {capacity:?}, demand {demand:?}: served {served}, maximum {maximum}"
                );
                assignment::remove_opposite_flows(&case.problem(), &mut flows);
                case.assert_valid(&flows);
                assert!(
                    (FlowCase::served_rate(&flows) - maximum).abs() < 1e-6,
                    "removing opposite flows must not lose demand: capacity {capacity:?}, demand {demand:?}"
                );
                assert!(
                    !case.has_opposite_flows(&flows, &[0, 0, 1, 1])
                        && !case.has_opposite_flows(&flows, &[0, 1, 2, 3]),
                    "opposite flows: {flows:?}"
                );
            }
        }
    }
}

fn any_rule() -> impl Strategy<Value = Rule> {
    let place = prop_oneof![
        Just(StepTarget::OwnZone),
        Just(StepTarget::OwnRegion),
        Just(StepTarget::Anywhere),
        (0u16..4).prop_map(|zone| StepTarget::Zone(Zone(zone))),
        (0u16..2).prop_map(|region| StepTarget::Region(Region(region))),
    ];
    let steps = prop::collection::vec(place, 1..4);
    let max_remote_share = prop_oneof![Just(1.0), Just(0.0), Just(0.3)];
    (steps, prop::collection::btree_set(0u16..4, 0..3), 1u32..11, max_remote_share, any::<bool>()).prop_map(
        |(steps, never, spill_tenths, max_remote_share, may_go_anywhere)| {
            let mut rule = Rule::near_first();
            rule.steps = steps.into_iter().map(|place| Step { target: place, within: None }).collect();
            rule.never = never.into_iter().map(Zone).collect();
            rule.spill.over = f64::from(spill_tenths) / 10.0;
            rule.beyond_region_most = max_remote_share;
            rule.when_lost = if may_go_anywhere { WhenLost::Anywhere } else { WhenLost::Refuse };
            rule
        },
    )
}

fn any_input() -> impl Strategy<Value = FlowCase> {
    let integer_below = |limit: u32| (0..limit).prop_map(f64::from);
    let rule_list = prop::collection::vec(any_rule(), 1..4);
    let capacities = prop::collection::vec(integer_below(8), ZONES);
    let fallback = prop::collection::vec(prop_oneof![3 => Just(0.0), 1 => integer_below(4)], ZONES);
    let demand = prop::collection::vec(integer_below(7), 12);
    let reach = prop::collection::vec(prop_oneof![3 => Just(0b1111u64), 1 => 0u64..16], ZONES);
    (rule_list, capacities, fallback, demand, reach, any::<bool>()).prop_map(
        |(rule_list, capacity, fallback, demand, reach, spill_open)| {
            let mut case = FlowCase::new(&rules(rule_list), capacity, &demand);
            (case.fallback, case.reach) = (fallback, reach);
            case.spill_open.iter_mut().for_each(|o| *o = spill_open);
            case
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 700, failure_persistence: None, rng_seed: RngSeed::Fixed(34), ..ProptestConfig::default()
    })]

    #[test]
    fn assignments_are_valid_and_serve_the_maximum(case in any_input()) {
        let mut flows = waterfall(&case.problem());
        case.assert_valid(&flows);
        let maximum = case.max_servable_rate();
        prop_assert!(FlowCase::served_rate(&flows) <= maximum + 1e-6);
        // With a limited remote share, augmenting paths through two flows of one rule are not searched.
        if case.priorities.lists.iter().all(|list| list.max_remote_share >= 1.0) {
            prop_assert!(
                (FlowCase::served_rate(&flows) - maximum).abs() < 1e-6,
                "served {}, maximum {}", FlowCase::served_rate(&flows), maximum
            );
        }
        let served_before = FlowCase::served_rate(&flows);
        assignment::remove_opposite_flows(&case.problem(), &mut flows);
        case.assert_valid(&flows);
        prop_assert!(FlowCase::served_rate(&flows) <= served_before + 1e-6);
        prop_assert!(!case.has_opposite_flows(&flows, &[0, 0, 1, 1]), "opposite regional flows: {:?}", flows);
        prop_assert!(!case.has_opposite_flows(&flows, &[0, 1, 2, 3]), "opposite flows of zones: {:?}", flows);
    }

    #[test]
    fn more_capacity_never_serves_less(case in any_input(), zone in 0..ZONES, increase in 1u32..5) {
        let mut case = case;
        case.priorities.lists.iter_mut().for_each(|list| list.max_remote_share = 1.0);
        let served_before = FlowCase::served_rate(&waterfall(&case.problem()));
        let mut larger = case;
        larger.capacity[zone] += f64::from(increase);
        let served_after = FlowCase::served_rate(&waterfall(&larger.problem()));
        prop_assert!(served_after >= served_before - 1e-6, "served {served_before}, later {served_after}");
    }

    #[test]
    fn plans_respect_capacities_from_any_previous_plan(
        case in any_input(),
        shares in prop::collection::vec(0u16..2500, ZONES * ZONES),
        demand in prop::collection::vec(0u32..100, 12),
    ) {
        let capacity: Vec<f64> = case.capacity.iter().map(|capacity| capacity * 20.0).collect();
        let fallback: Vec<f64> = case.fallback.iter().map(|capacity| capacity * 20.0).collect();
        let of_rule = |n: usize| ((n / ZONES) as u16, Zone((n % ZONES) as u16));
        let demand: BTreeMap<(u16, Zone), f64> =
            demand.iter().enumerate().map(|(n, rate)| (of_rule(n), f64::from(*rate))).collect();
        let table = demand_table(&demand, capacity.len());
        let input = PlannerInput {
            priorities: &case.priorities, capacity: &capacity, fallback: &fallback, listed: &capacity,
            reach: &case.reach, impaired: 0, balancer_counts: &[1; ZONES], demand: &table,
        };
        let row = |n: usize| Row {
            rule: 0,
            from: Zone(n as u16),
            to: (0..ZONES)
                .map(|z| maplehook_failover::Share { zone: Zone(z as u16), part: shares[n * ZONES + z] })
                .collect(),
        };
        let previous_plan = Plan { epoch: 7, rows: (0..ZONES).map(row).collect(), spare: vec![0.0; ZONES] };
        let bounds = Bounds::default();
        let mut planner = Planner::new(Duration::ZERO, bounds.max_moved_per_s);
        let (mut plan, mut now) = (previous_plan, Duration::ZERO);
        for _ in 0..8 {
            let next = planner.plan(now, &input, &plan, true, &bounds);
            if let Some(next) = next {
                prop_assert_eq!(next.epoch, plan.epoch + 1);
                plan = next;
            }
            for row in &plan.rows {
                prop_assert!(row.is_sound(), "invalid row: {:?}", row);
            }
            now += Duration::from_millis(1000);
        }
        // The load of the last plan exceeds a capacity by no more than the minimum gain and rounding.
        let mut load = [0.0; ZONES];
        for ((rule, from), rate) in &demand {
            if let Some(row) = plan.row(*rule, *from) {
                row.to.iter().for_each(
                    |s| load[usize::from(s.zone.0)] += rate * f64::from(s.part) / f64::from(FULL_SHARE)
                );
            }
        }
        for zone in 0..ZONES {
            let limit = (capacity[zone] + fallback[zone]) * (1.0 + bounds.min_gain) + 0.1;
            prop_assert!(load[zone] <= limit, "load {} exceeds the limit {}: {:?}", load[zone], limit, plan);
            prop_assert!(
                f64::from(plan.spare[zone]) <= (capacity[zone] - load[zone]).max(0.0) + 0.2,
                "spare capacity exceeds the unused capacity: plan {:?}, load {:?}", plan, load
            );
        }
    }
}

#[test]
fn rows_with_the_highest_demand_are_kept_when_there_are_too_many() {
    let zones: Vec<String> = (0..64).map(|n| format!("z{n}")).collect();
    let topology = Topology::new([("all", zones.iter().map(String::as_str).collect::<Vec<_>>())]).unwrap();
    let rule = |n: usize| Rule { name: format!("r{n}"), ..Rule::near_first() };
    let rules = Rules::new((0..200).map(rule).collect(), 1, 1, |_, _| 0);
    let priorities = PriorityLists::new(&topology, &rules);
    let rate = |rule: u16, zone: u16| f64::from((u32::from(rule) * 64 + u32::from(zone)) * 7919 % 12_800 + 1);
    let sources = || (0..200u16).flat_map(|rule| (0..64u16).map(move |zone| (rule, zone)));
    let demand: BTreeMap<(u16, Zone), f64> = sources().map(|(r, z)| ((r, Zone(z)), rate(r, z))).collect();
    let (capacity, fallback, reach) = (vec![1e9; 64], vec![0.0; 64], vec![u64::MAX; 64]);
    let table = demand_table(&demand, 64);
    let input = PlannerInput {
        priorities: &priorities,
        capacity: &capacity,
        fallback: &fallback,
        listed: &capacity,
        reach: &reach,
        impaired: u64::MAX,
        balancer_counts: &[1; 64],
        demand: &table,
    };
    let previous_plan = Plan { rows: vec![Row { rule: 0, from: Zone(0), to: vec![] }], ..Plan::default() };
    let bounds = Bounds { max_moved_per_s: 1e9, min_gain: 0.0, ..Bounds::default() };
    let mut planner = Planner::new(Duration::ZERO, 1e9);
    let plan = planner.plan(Duration::ZERO, &input, &previous_plan, true, &bounds).unwrap();
    assert_eq!(plan.rows.len(), maplehook_failover::document::MAX_ROWS);
    assert!(plan.rows.is_sorted_by(|a, b| (a.rule, a.from) < (b.rule, b.from)));
    // The rates are distinct, from 1 to 12800. The plan keeps the largest 4096.
    assert!(plan.rows.iter().all(|row| rate(row.rule, row.from.0) > 12_800.0 - 4096.0));
}

#[test]
fn plan_for_320_balancers_64_zones_and_256_rules_is_computed_in_time() {
    let zone_names: Vec<String> = (0..64).map(|n| format!("z{n}")).collect();
    let region_names: Vec<String> = (0..8).map(|n| format!("r{n}")).collect();
    let regions_with_zones = region_names.iter().enumerate().map(|(n, region)| {
        (region.as_str(), zone_names[n * 8..n * 8 + 8].iter().map(String::as_str).collect::<Vec<_>>())
    });
    let topology = Topology::new(regions_with_zones).unwrap();
    for kinds in [1, 16, 256] {
        let rule = |n: usize| {
            let mut rule = Rule::near_first();
            rule.name = format!("r{n}");
            rule.spill.over = 0.5 + 0.4 * (n % kinds) as f64 / kinds as f64;
            rule
        };
        let rules = Rules::new((0..256).map(rule).collect(), 1, 1, |_, _| 0);
        let priorities = PriorityLists::new(&topology, &rules);
        // One region has no capacity, the others are nearly full.
        let capacity: Vec<f64> =
            (0..64).map(|zone| if zone < 8 { 0.0 } else { 1000.0 + zone as f64 }).collect();
        let listed = vec![1000.0; 64];
        let demand: BTreeMap<(u16, Zone), f64> = (0..256u16)
            .flat_map(|rule| {
                (0..64u16).map(move |zone| ((rule, Zone(zone)), 2.0 + f64::from((rule + zone) % 5) * 0.6))
            })
            .collect();
        let reach = vec![u64::MAX; 64];
        let fallback = vec![0.0; 64];
        let table = demand_table(&demand, capacity.len());
        let input = PlannerInput {
            priorities: &priorities,
            capacity: &capacity,
            fallback: &fallback,
            listed: &listed,
            reach: &reach,
            impaired: 0xff,
            balancer_counts: &[5; 64],
            demand: &table,
        };
        let bounds = Bounds { max_moved_per_s: 1e9, ..Bounds::default() };
        // Takes the fastest of five runs, since other processes can slow a run down.
        let mut runs = (0..5).map(|_| {
            let mut planner = Planner::new(Duration::ZERO, 1e9);
            let start = std::time::Instant::now();
            let plan = planner.plan(Duration::ZERO, &input, &Plan::default(), true, &bounds).unwrap();
            (start.elapsed(), plan)
        });
        let (mut time, plan) = runs.next().unwrap();
        for (elapsed, repeated_plan) in runs {
            assert_eq!(repeated_plan, plan, "equal input must give equal plans");
            time = time.min(elapsed);
        }
        println!("{kinds} rule kinds, {} lists: {time:?}, {} rows", priorities.lists.len(), plan.rows.len());
        assert!(!plan.rows.is_empty());
        let max_ms = if cfg!(debug_assertions) { 8000 } else { 1000 };
        assert!(time < Duration::from_millis(max_ms), "planning took {time:?}, limit {max_ms} ms");
    }
}
