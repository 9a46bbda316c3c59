//! The planner: computes shares by rule and source zone, and decides when a new plan takes effect.

use crate::assignment;
use crate::bounds::Bounds;
use crate::document::{FULL_SHARE, MAX_ROWS, Plan, Row, Share};
use crate::flow::{FlowProblem, Flows, ZoneRates};
use crate::priorities::{PriorityLists, ZoneSet, zones_in};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which the gain required of a new plan decreases.
const GAIN_DECAY_TIME: Duration = Duration::from_secs(30);
/// Factor on the configured gain at which the decrease ends.
const MIN_GAIN_FACTOR: f64 = 0.1;
/// Weight of the number of balancers, relative to their demand, in sharing spare capacity.
const COUNT_WEIGHT: f64 = 0.1;

/// Input of the planner.
#[derive(Clone, Debug)]
pub struct PlannerInput<'a> {
    /// Priority lists of all rules and source zones.
    pub priorities: &'a PriorityLists,
    /// Capacity of each zone, in requests per second.
    pub capacity: &'a [f64],
    /// Additional capacity of unhealthy zones, used when nothing else is left, in requests per second.
    pub fallback: &'a [f64],
    /// Listed capacity of each zone, in requests per second.
    pub listed: &'a [f64],
    /// Set of reachable zones, by source zone.
    pub reach: &'a [ZoneSet],
    /// Zones that are not fully in service.
    pub impaired: ZoneSet,
    /// Number of balancers in each zone.
    pub balancer_counts: &'a [usize],
    /// Demand in requests per second as a table of rules and source zones, built by [`demand_table`].
    pub demand: &'a [f64],
}

impl PlannerInput<'_> {
    fn rate(&self, rule: u16, from: Zone) -> f64 {
        let index = usize::from(rule) * self.capacity.len() + usize::from(from.0);
        self.demand.get(index).copied().unwrap_or(0.0)
    }
}

/// Builds a table of demand with one row per rule and one column per source zone.
pub fn demand_table(demand: &BTreeMap<(u16, Zone), f64>, zones: usize) -> Vec<f64> {
    let rules = demand.keys().map(|(rule, _)| usize::from(*rule) + 1).max().unwrap_or(0);
    let mut table = vec![0.0; rules * zones];
    for ((rule, from), rate) in demand.iter().filter(|((_, from), _)| usize::from(from.0) < zones) {
        table[usize::from(*rule) * zones + usize::from(from.0)] = *rate;
    }
    table
}

/// Spillover state of one priority list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct SpilloverState {
    spill_open: bool,
    since: Option<Duration>,
}

/// State that the planner carries from one plan to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Planner {
    spillover: Vec<SpilloverState>,
    /// Share of all traffic that may be moved now, 0 to 1.
    move_budget: f64,
    updated_at: Duration,
    rows_changed_at: Duration,
}

impl Planner {
    /// Creates the planner. With a `move_budget` of 0, it waits before it moves traffic of an earlier plan.
    pub fn new(now: Duration, move_budget: f64) -> Self {
        Self { spillover: Vec::new(), move_budget, updated_at: now, rows_changed_at: now }
    }

    /// Returns a plan to replace `current`, if needed; with `refresh_spare`, also for more spare capacity.
    pub fn plan(
        &mut self,
        now: Duration,
        input: &PlannerInput<'_>,
        current: &Plan,
        refresh_spare: bool,
        bounds: &Bounds,
    ) -> Option<Plan> {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.move_budget = (self.move_budget + bounds.max_moved_per_s * elapsed).min(bounds.max_moved_per_s);
        self.updated_at = self.updated_at.max(now);
        let demand = demand_by_list(input);
        self.update_spillover(now, input, &demand);
        let open: Vec<bool> = self.spillover.iter().map(|state| state.spill_open).collect();
        let PlannerInput { priorities, capacity, fallback, reach, .. } = *input;
        let problem =
            FlowProblem { priorities, capacity, fallback, reach, spill_open: &open, demand: &demand };
        let mut flows = assignment::assign_waterfall(&problem);
        let old_flows = flows_from_plan(current, input, &demand);
        let mut plan = current.clone();
        // A small gain is accepted after a while.
        let decay = now.saturating_sub(self.rows_changed_at).as_secs_f64() / GAIN_DECAY_TIME.as_secs_f64();
        let gain = bounds.min_gain * (1.0 - decay).max(MIN_GAIN_FACTOR);
        if is_better(&problem, &flows, &old_flows, gain) {
            let total: f64 = demand.iter().sum();
            let moved = moved(&flows, &old_flows) / total.max(1e-12);
            let fraction = if moved > self.move_budget { self.move_budget / moved } else { 1.0 };
            self.move_budget = (self.move_budget - moved * fraction).max(0.0);
            if fraction < 1.0 {
                flows = interpolate(&old_flows, &flows, fraction);
                assignment::remove_opposite_flows(&problem, &mut flows);
            }
            plan.rows = build_rows(input, &flows, &demand);
        } else {
            flows = old_flows;
        }
        let changed = plan.rows != current.rows;
        let zones = capacity.len();
        let lending = Plan { spare: spare(&problem, &flows, input, bounds), ..Plan::default() };
        // Outdated: the plan lends more than is free (section 0), or more balancers share it (section 2).
        let free_capacity = |zone: usize| (capacity[zone] - flows.load[zone]).max(0.0) as f32;
        let is_over = |(zone, lendable): (usize, &f32)| *lendable > free_capacity(zone) * 1.001 + 0.001;
        let pairs = |n: usize| current.spare_section(n, zones).iter().zip(lending.spare_section(n, zones));
        let is_over = current.spare_section(0, zones).iter().enumerate().any(is_over)
            || pairs(2).any(|(current, balancers)| balancers > current);
        let grown = pairs(0).chain(pairs(1)).any(|(current, lendable)| *current < lendable * 0.7);
        if changed {
            self.rows_changed_at = self.rows_changed_at.max(now);
        }
        if changed || is_over || current.spare.len() != lending.spare.len() || refresh_spare && grown {
            plan.spare = lending.spare;
            plan.epoch = current.epoch.saturating_add(1);
            return Some(plan);
        }
        None
    }

    /// Opens and closes spillover from the first step, with the delays that the rules state.
    fn update_spillover(&mut self, now: Duration, input: &PlannerInput<'_>, demand: &[f64]) {
        let lists = &input.priorities.lists;
        self.spillover.resize(lists.len(), SpilloverState::default());
        let zones = input.capacity.len();
        let first_step = |n: usize| {
            lists[n].steps.first().map_or(0, |step| step & input.reach[usize::from(lists[n].from.0)])
        };
        let mut loads = vec![0.0; zones];
        for (n, rate) in demand.iter().enumerate() {
            let step = first_step(n);
            let total: f64 = zones_in(step).map(|zone| input.capacity[zone]).sum();
            zones_in(step).filter(|_| total > 0.0).for_each(|z| loads[z] += rate * input.capacity[z] / total);
        }
        for (n, state) in self.spillover.iter_mut().enumerate() {
            let (list, step) = (&lists[n], first_step(n));
            let sum = |of: &[f64], zones: ZoneSet| zones_in(zones).map(|zone| of[zone]).sum::<f64>();
            let capacity = sum(input.capacity, step);
            let load = if capacity > 0.0 { sum(&loads, step) / capacity } else { f64::INFINITY };
            let listed = sum(input.listed, list.steps.first().copied().unwrap_or(0));
            if capacity < list.min_usable_share * listed {
                *state = SpilloverState { spill_open: true, since: None };
                continue;
            }
            let (toggles, delay) = if state.spill_open {
                (load < list.return_load.min(list.spill_load), list.return_after_s)
            } else {
                (load > list.spill_load, list.spill_after_s)
            };
            if !toggles {
                state.since = None;
            } else if now.saturating_sub(*state.since.get_or_insert(now)).as_secs_f64() >= delay {
                *state = SpilloverState { spill_open: !state.spill_open, since: None };
            }
        }
    }
}

/// Returns the demand by list; at least a little if the first step is impaired, so that the list is planned.
fn demand_by_list(input: &PlannerInput<'_>) -> Vec<f64> {
    let lists = &input.priorities.lists;
    let mut demand = vec![0.0; lists.len()];
    for (rule, from, n) in input.priorities.entries() {
        demand[n] += input.rate(rule, from);
    }
    let negligible = 1e-6 * (1.0 + demand.iter().sum::<f64>());
    for (demand, list) in demand.iter_mut().zip(lists) {
        if is_impaired(input, list.from, list.steps.first()) {
            *demand = demand.max(negligible);
        }
    }
    demand
}

fn is_impaired(input: &PlannerInput<'_>, from: Zone, first_step: Option<&ZoneSet>) -> bool {
    let reach = input.reach[usize::from(from.0)];
    first_step.is_none_or(|step| step & (input.impaired | !reach) != 0)
}

/// Returns the flows of a plan. A rule and zone without a row use their first step by capacity; rules with
/// the same list are averaged.
fn flows_from_plan(plan: &Plan, input: &PlannerInput<'_>, demand: &[f64]) -> Flows {
    let zones = input.capacity.len();
    let lists = &input.priorities.lists;
    let rate = |rule: u16, from: Zone| input.rate(rule, from) + 1e-9;
    let mut default_weight = vec![0.0; lists.len()];
    let mut total_weight = vec![0.0; lists.len()];
    for (n, weight) in input.priorities.entries().map(|(rule, from, n)| (n, rate(rule, from))) {
        default_weight[n] += weight;
        total_weight[n] += weight;
    }
    let mut flows = Flows::unassigned(demand, zones);
    let mut send = |n: usize, zone: usize, fraction: f64| {
        if fraction > 0.0 {
            flows.add(n, zone, fraction * demand[n]);
            flows.unserved[n] = (flows.unserved[n] - fraction * demand[n]).max(0.0);
        }
    };
    for row in &plan.rows {
        let Some(n) = input.priorities.list_index(row.rule, row.from) else { continue };
        let weight = rate(row.rule, row.from);
        default_weight[n] -= weight;
        for share in row.to.iter().filter(|share| usize::from(share.zone.0) < zones) {
            let fraction = f64::from(share.part) / f64::from(FULL_SHARE);
            send(n, usize::from(share.zone.0), fraction * weight / total_weight[n]);
        }
    }
    for (n, list) in lists.iter().enumerate().filter(|(n, _)| default_weight[*n] > 1e-12) {
        let step = list.steps.first().copied().unwrap_or(0);
        let capacity: f64 = zones_in(step).map(|zone| input.capacity[zone]).sum();
        let even = 1.0 / f64::from(step.count_ones().max(1));
        for zone in zones_in(step) {
            let fraction = if capacity > 0.0 { input.capacity[zone] / capacity } else { even };
            send(n, zone, fraction * default_weight[n] / total_weight[n]);
        }
    }
    flows
}

/// Returns the total rate that goes to another zone than before.
fn moved(new: &Flows, old: &Flows) -> f64 {
    let increase = |(n, to): (usize, &ZoneRates)| {
        to.iter().map(|(zone, sent)| (sent - old.sent(n, zone)).max(0.0)).sum::<f64>()
    };
    new.to.iter().enumerate().map(increase).sum()
}

/// Interpolates linearly between two assignments; `t` is the weight of the new one, 0 to 1.
fn interpolate(old: &Flows, new: &Flows, t: f64) -> Flows {
    let mut flows = Flows {
        to: vec![ZoneRates::default(); old.to.len()],
        unserved: Vec::new(),
        load: vec![0.0; old.load.len()],
    };
    for (of, t) in [(old, 1.0 - t), (new, t)] {
        for (n, to) in of.to.iter().enumerate() {
            to.iter().for_each(|(zone, sent)| flows.add(n, zone, sent * t));
        }
    }
    flows.unserved = old.unserved.iter().zip(&new.unserved).map(|(a, b)| a * (1.0 - t) + b * t).collect();
    flows
}

/// Returns true if the new assignment gains enough, or the old one uses unavailable or overloaded zones.
fn is_better(problem: &FlowProblem<'_>, new: &Flows, old: &Flows, gain: f64) -> bool {
    let total: f64 = problem.demand.iter().sum();
    let (served, near) = served_rates(problem, new);
    let (served_old, near_old) = served_rates(problem, old);
    // Requests rejected without need count more than requests sent far.
    if served - served_old > gain * 0.25 * total || near - near_old > gain * total {
        return true;
    }
    let epsilon = problem.epsilon();
    let is_over =
        |z: usize, flows: &Flows| flows.load[z] > problem.total_capacity(z) * (1.0 + gain) + epsilon;
    if (0..new.load.len()).any(|zone| is_over(zone, old) && old.load[zone] > new.load[zone] + epsilon) {
        return true;
    }
    // Load above the thresholds at which the rules spill over, while spillover is open.
    let mut limits: Vec<f64> = problem.capacity.to_vec();
    for (n, to) in old.to.iter().enumerate().filter(|(n, _)| problem.spill_open[*n]) {
        for (zone, _) in to.iter().filter(|(_, sent)| *sent > epsilon) {
            limits[zone] = limits[zone].min(problem.priorities.lists[n].spill_load * problem.capacity[zone]);
        }
    }
    let is_relieved =
        |z: usize| old.load[z] - new.load[z].max(limits[z]) > gain * problem.capacity[z] + epsilon;
    if (0..new.load.len()).any(is_relieved) {
        return true;
    }
    // Traffic to unavailable zones that the new assignment avoids.
    let is_closed = |n: usize, zone: usize| {
        let list = &problem.priorities.lists[n];
        problem.total_capacity(zone) <= 0.0 || problem.usable(list) >> zone & 1 == 0
    };
    old.to.iter().enumerate().any(|(n, to)| {
        to.iter().any(|(zone, sent)| sent > epsilon && is_closed(n, zone) && new.sent(n, zone) < sent * 0.5)
    })
}

/// Returns the rate that an assignment serves within the capacities, and the part of it in first steps.
fn served_rates(problem: &FlowProblem<'_>, flows: &Flows) -> (f64, f64) {
    let fraction: Vec<f64> = (0..flows.load.len())
        .map(|zone| {
            let (load, capacity) = (flows.load[zone], problem.total_capacity(zone));
            if load > capacity { capacity / load } else { 1.0 }
        })
        .collect();
    let (mut served, mut near) = (0.0, 0.0);
    for (n, to) in flows.to.iter().enumerate() {
        let list = &problem.priorities.lists[n];
        let usable = problem.usable(list);
        for (zone, sent) in to.iter().filter(|(zone, _)| usable >> zone & 1 == 1) {
            served += sent * fraction[zone];
            if list.steps[0] >> zone & 1 == 1 {
                near += sent * fraction[zone];
            }
        }
    }
    (served, near)
}

/// Computes [`Plan::spare`]: a share of each zone's free capacity; weights by arriving demand and slightly by
/// number of balancers, so that balancers without demand get some; and these numbers.
fn spare(problem: &FlowProblem<'_>, flows: &Flows, input: &PlannerInput<'_>, bounds: &Bounds) -> Vec<f32> {
    let zones = problem.capacity.len();
    let free = |z: usize| {
        ((problem.capacity[z] - flows.load[z]) * bounds.spare_share.clamp(0.0, 1.0)).max(0.0) as f32
    };
    let count = |zone: usize| input.balancer_counts.get(zone).copied().unwrap_or(0) as f64;
    let mut arriving = vec![0.0; zones];
    for (list, demand) in problem.priorities.lists.iter().zip(problem.demand) {
        arriving[usize::from(list.from.0)] += demand;
    }
    let (demand, all): (f64, f64) = (arriving.iter().sum(), (0..zones).map(count).sum());
    let fraction = |of: f64, total: f64| if total > 0.0 { of / total } else { 0.0 };
    let weight = |zone: usize| {
        let share = fraction(count(zone), all);
        if share > 0.0 { (fraction(arriving[zone], demand) + COUNT_WEIGHT * share) as f32 } else { 0.0 }
    };
    (0..zones).map(free).chain((0..zones).map(weight)).chain((0..zones).map(|z| count(z) as f32)).collect()
}

/// Builds the rows of lists whose flows differ from their first step.
fn build_rows(input: &PlannerInput<'_>, flows: &Flows, demand: &[f64]) -> Vec<Row> {
    let lists = &input.priorities.lists;
    let needs_row = |n: usize| {
        let (list, negligible) = (&lists[n], demand[n] * 1e-6);
        let first_step = list.steps.first().copied().unwrap_or(0);
        let is_near = |(zone, sent): (usize, f64)| sent <= negligible || first_step >> zone & 1 == 1;
        let uses_first_step = flows.unserved[n] <= negligible && flows.to[n].iter().all(is_near);
        demand[n] > 0.0 && (!uses_first_step || is_impaired(input, list.from, list.steps.first()))
    };
    let needs_row: Vec<bool> = (0..lists.len()).map(needs_row).collect();
    // If there are too many rows, those with the most requests are kept.
    let mut candidates: Vec<(f64, u16, Zone, usize)> = Vec::new();
    for (rule, from, n) in input.priorities.entries().filter(|(.., n)| needs_row[*n]) {
        let rate = input.rate(rule, from);
        if rate > 0.0 || is_impaired(input, from, lists[n].steps.first()) {
            candidates.push((rate, rule, from, n));
        }
    }
    if candidates.len() > MAX_ROWS {
        candidates.select_nth_unstable_by(MAX_ROWS, |a, b| {
            b.0.total_cmp(&a.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
        });
        candidates.truncate(MAX_ROWS);
        candidates.sort_unstable_by_key(|(_, rule, from, _)| (*rule, *from));
    }
    let mut shares: Vec<Option<Vec<Share>>> = vec![None; lists.len()];
    let mut build_row = |(_, rule, from, n): (f64, u16, Zone, usize)| {
        let to =
            shares[n].get_or_insert_with(|| to_shares(&flows.to[n], flows.unserved[n], demand[n])).clone();
        Row { rule, from, to }
    };
    candidates.into_iter().map(&mut build_row).collect()
}

/// Converts rates to shares of [`FULL_SHARE`], rounded down. If nothing is rejected, the remainder goes to
/// the shares that rounding reduced most.
fn to_shares(to: &ZoneRates, unserved: f64, demand: f64) -> Vec<Share> {
    if demand <= 0.0 {
        return Vec::new();
    }
    let full_share = f64::from(FULL_SHARE);
    let exact = |sent: f64| (sent / demand * full_share + 1e-6).clamp(0.0, full_share);
    let mut shares: Vec<(f64, Share)> = to
        .iter()
        .map(|(zone, sent)| {
            let fraction = exact(sent).floor();
            (exact(sent) - fraction, Share { zone: Zone(zone as u16), part: fraction as u16 })
        })
        .collect();
    let sum: u16 = shares.iter().map(|(_, share)| share.part).fold(0, u16::saturating_add);
    if unserved <= demand * 1e-6 && !shares.is_empty() {
        shares.sort_by(|a, b| b.0.total_cmp(&a.0));
        let count = shares.len();
        (0..usize::from(FULL_SHARE.saturating_sub(sum))).for_each(|n| shares[n % count].1.part += 1);
    }
    let mut shares: Vec<Share> = shares.into_iter().map(|(_, share)| share).filter(|s| s.part > 0).collect();
    shares.sort_by_key(|share| share.zone);
    shares
}
