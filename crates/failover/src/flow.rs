//! The waterfall: assigns demand to zones, nearest steps first, without exceeding any zone's capacity.
//!
//! The assignment serves as much as any assignment within the capacities and the rules can. It is a maximum
//! flow, found with augmenting paths (Edmonds and Karp 1972). There are two exceptions: [`crate::assignment`]
//! removes flows that two regions would send each other, and with a `beyond region` limit below 1 the only
//! guarantee is that no single move serves more. Among such assignments it prefers near ones: each step is
//! filled for all lists before the next step starts. If a zone is short of capacity, all lists that request
//! it in the same step get the same fraction of their claims, whatever the rule or source zone. Guarantees
//! among classes and tenants are enforced later, by admission, on the traffic that the plan admits.

use crate::priorities::{PriorityList, PriorityLists, ZoneSet, zone_bit, zones_in};
use smallvec::SmallVec;

/// Number of rounds in which the capacity of one step is shared out.
const FILL_ROUNDS: usize = 4;
/// Number of destinations stored without an allocation; most lists have no more.
const INLINE_ZONES: usize = 4;
/// Maximum number of augmenting paths; demand left after them is rejected.
const MAX_AUGMENTING_PATHS: usize = 64;

/// Input of an assignment.
#[derive(Clone, Debug)]
pub struct FlowProblem<'a> {
    /// Priority lists of all rules and source zones.
    pub priorities: &'a PriorityLists,
    /// Capacity of each zone, in requests per second.
    pub capacity: &'a [f64],
    /// Additional capacity of unhealthy zones, used when nothing else is left, in requests per second.
    pub fallback: &'a [f64],
    /// Set of reachable zones, by source zone.
    pub reach: &'a [ZoneSet],
    /// Tells for each list if its first step spills over at its threshold, before it is full.
    pub spill_open: &'a [bool],
    /// Demand of each list, in requests per second.
    pub demand: &'a [f64],
}

impl FlowProblem<'_> {
    /// Returns the capacity of a zone including its fallback capacity.
    pub fn total_capacity(&self, zone: usize) -> f64 {
        self.capacity[zone] + self.fallback[zone]
    }

    /// Returns the zones that a list allows and its source zone can reach.
    pub fn usable(&self, list: &PriorityList) -> ZoneSet {
        list.allowed_zones() & self.reach[usize::from(list.from.0)]
    }

    /// Returns the rate below which flows are treated as zero.
    pub fn epsilon(&self) -> f64 {
        1e-9 * (1.0 + self.demand.iter().sum::<f64>())
    }
}

/// Rates of one list by destination zone, in requests per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneRates {
    zones: ZoneSet,
    /// Rates in zone order, one for each member of `zones`.
    rates: SmallVec<[f64; INLINE_ZONES]>,
}

impl ZoneRates {
    /// Returns the set of destinations, including those whose rate fell back to 0.
    pub fn zones(&self) -> ZoneSet {
        self.zones
    }

    /// Returns the rate to a zone.
    pub fn get(&self, zone: usize) -> f64 {
        if self.zones >> zone & 1 == 0 { 0.0 } else { self.rates[self.rank(zone)] }
    }

    /// Adds to the rate to a zone; `rate` may be negative.
    pub fn add(&mut self, zone: usize, rate: f64) {
        let n = self.rank(zone);
        if self.zones >> zone & 1 == 1 {
            self.rates[n] += rate;
        } else {
            self.zones |= 1 << zone;
            self.rates.insert(n, rate);
        }
    }

    /// Iterates over the destinations and their rates in zone order.
    pub fn iter(&self) -> impl Iterator<Item = (usize, f64)> + '_ {
        zones_in(self.zones).zip(self.rates.iter().copied())
    }

    /// Returns the total rate to a set of zones.
    pub fn sum(&self, zones: ZoneSet) -> f64 {
        zones_in(self.zones & zones).map(|zone| self.get(zone)).sum()
    }

    fn rank(&self, zone: usize) -> usize {
        (self.zones & ((1 << zone) - 1)).count_ones() as usize
    }
}

/// An assignment of all lists to zones, in requests per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Flows {
    /// Rates by destination, for each list.
    pub to: Vec<ZoneRates>,
    /// Demand of each list that is not assigned and will be rejected.
    pub unserved: Vec<f64>,
    /// Total rate assigned to each zone.
    pub load: Vec<f64>,
}

impl Flows {
    /// Creates an assignment in which all demand is unserved.
    pub fn unassigned(demand: &[f64], zones: usize) -> Self {
        Self {
            to: vec![ZoneRates::default(); demand.len()],
            unserved: demand.to_vec(),
            load: vec![0.0; zones],
        }
    }

    /// Adds to the rate of a list to a zone; `rate` may be negative. The unserved demand is not updated.
    pub fn add(&mut self, list: usize, zone: usize, rate: f64) {
        self.load[zone] += rate;
        self.to[list].add(zone, rate);
    }

    /// Returns the rate of a list to a zone.
    pub fn sent(&self, list: usize, zone: usize) -> f64 {
        self.to[list].get(zone)
    }

    /// Returns the rate of a list that leaves its region.
    fn remote_rate(&self, n: usize, list: &PriorityList) -> f64 {
        self.to[n].sum(list.remote_zones)
    }
}

/// Computes the assignment that serves the most demand, near zones first.
pub fn waterfall(problem: &FlowProblem<'_>) -> Flows {
    let zones = problem.capacity.len();
    let mut flows = Flows::unassigned(problem.demand, zones);
    let (spill_load, full_load): (Vec<f64>, Vec<f64>) =
        problem.priorities.lists.iter().map(|list| (list.spill_load, 1.0)).unzip();
    let max_steps = problem.priorities.lists.iter().map(|list| list.steps.len()).max().unwrap_or(0);
    let no_fallback = vec![0.0; zones];
    for step in 0..max_steps {
        let first_load: Vec<f64> = if step == 0 {
            spill_load
                .iter()
                .zip(problem.spill_open)
                .map(|(spill_load, spill_open)| if *spill_open { *spill_load } else { 1.0 })
                .collect()
        } else {
            spill_load.clone()
        };
        fill(problem, &mut flows, step, &first_load, &no_fallback, true);
    }
    for step in 0..max_steps {
        fill(problem, &mut flows, step, &full_load, &no_fallback, false);
    }
    for step in 0..max_steps {
        fill(problem, &mut flows, step, &full_load, problem.fallback, false);
    }
    augment(problem, &mut flows);
    flows
}

/// Shares the zones of one step among all lists that need them, up to `max_load` of their capacity.
fn fill(
    problem: &FlowProblem<'_>,
    flows: &mut Flows,
    step: usize,
    max_load: &[f64],
    fallback: &[f64],
    explicit_only: bool,
) {
    let (epsilon, zones) = (problem.epsilon(), problem.capacity.len());
    let capacities: Vec<f64> =
        problem.capacity.iter().zip(fallback).map(|(capacity, fallback)| capacity + fallback).collect();
    let (mut claims, mut free): (Vec<(usize, usize, f64)>, Vec<f64>) = (Vec::new(), Vec::new());
    for _ in 0..FILL_ROUNDS {
        claims.clear();
        let (mut claimed_rate, mut highest_load) = (vec![0.0; zones], vec![0.0f64; zones]);
        for (n, list) in problem.priorities.lists.iter().enumerate() {
            if flows.unserved[n] <= epsilon
                || step >= list.steps.len()
                || explicit_only && step >= list.explicit_steps
            {
                continue;
            }
            let zones_of_step = list.steps[step] & problem.reach[usize::from(list.from.0)];
            let mut remote_budget = list.max_remote_share * problem.demand[n];
            if list.max_remote_share < 1.0 && zones_of_step & list.remote_zones != 0 {
                remote_budget -= flows.remote_rate(n, list);
            }
            let zones_of_step =
                if remote_budget <= epsilon { zones_of_step & !list.remote_zones } else { zones_of_step };
            free.clear();
            free.extend(
                zones_in(zones_of_step)
                    .map(|zone| (max_load[n] * capacities[zone] - flows.load[zone]).max(0.0)),
            );
            let total: f64 = free.iter().sum();
            if total <= epsilon {
                continue;
            }
            let mut fraction = flows.unserved[n].min(total) / total;
            if list.max_remote_share < 1.0 {
                let remote =
                    zones_in(zones_of_step).zip(&free).filter(|(zone, _)| list.remote_zones >> zone & 1 == 1);
                let remote_free: f64 = remote.map(|(_, free)| free).sum();
                fraction =
                    if remote_free > 0.0 { fraction.min(remote_budget / remote_free) } else { fraction };
            }
            for (zone, free) in zones_in(zones_of_step).zip(&free) {
                let claim = free * fraction;
                if claim > 0.0 {
                    claims.push((n, zone, claim));
                    claimed_rate[zone] += claim;
                    highest_load[zone] = highest_load[zone].max(max_load[n]);
                }
            }
        }
        if claims.is_empty() {
            return;
        }
        let scale: Vec<f64> = (0..zones)
            .map(|zone| {
                let free = (highest_load[zone] * capacities[zone] - flows.load[zone]).max(0.0);
                if claimed_rate[zone] > free { free / claimed_rate[zone] } else { 1.0 }
            })
            .collect();
        let mut assigned = 0.0;
        for (n, zone, claim) in claims.drain(..) {
            let rate = claim * scale[zone];
            flows.add(n, zone, rate);
            flows.unserved[n] = (flows.unserved[n] - rate).max(0.0);
            assigned += rate;
        }
        if assigned <= epsilon {
            return;
        }
    }
}

/// Serves remaining demand by moving other flows, as long as augmenting paths exist.
fn augment(problem: &FlowProblem<'_>, flows: &mut Flows) {
    let (epsilon, zones) = (problem.epsilon(), problem.capacity.len());
    let lists = &problem.priorities.lists;
    let usable: Vec<ZoneSet> = lists.iter().map(|list| problem.usable(list)).collect();
    // Rate of a list that can move to zone `to`, from another zone or (`None`) from the unserved demand.
    let movable = |flows: &Flows, n: usize, from: Option<usize>, to: usize| {
        let list = &lists[n];
        let rate = from.map_or(flows.unserved[n], |zone| flows.sent(n, zone));
        let stays_within_limit =
            list.remote_zones >> to & 1 == 0 || from.is_some_and(|zone| list.remote_zones >> zone & 1 == 1);
        if usable[n] >> to & 1 == 0 {
            0.0
        } else if stays_within_limit || list.max_remote_share >= 1.0 {
            rate
        } else {
            rate.min((list.max_remote_share * problem.demand[n] - flows.remote_rate(n, list)).max(0.0))
        }
    };
    for _ in 0..MAX_AUGMENTING_PATHS {
        let unserved_lists: Vec<usize> = (0..lists.len()).filter(|n| flows.unserved[*n] > epsilon).collect();
        if unserved_lists.is_empty() {
            return;
        }
        let mut lists_at: Vec<Vec<usize>> = vec![Vec::new(); zones];
        for (n, to) in flows.to.iter().enumerate() {
            to.iter().filter(|(_, sent)| *sent > epsilon).for_each(|(zone, _)| lists_at[zone].push(n));
        }
        let free = |flows: &Flows, zone: usize| problem.total_capacity(zone) - flows.load[zone];
        // Breadth-first search over zones; `None` is the unserved demand.
        let mut from: Vec<Option<Option<usize>>> = vec![None; zones];
        let mut queue = std::collections::VecDeque::from([None]);
        let mut target = None;
        while let Some(zone) = queue.pop_front() {
            if let Some(zone) = zone
                && free(flows, zone) > epsilon
            {
                target = Some(zone);
                break;
            }
            let movable_lists = zone.map_or(&unserved_lists, |zone| &lists_at[zone]);
            let unvisited = (0..zones).fold(0, |all, z| if from[z].is_none() { all | 1 << z } else { all });
            let mut reached: ZoneSet = 0;
            for n in movable_lists {
                for to in zones_in(usable[*n] & unvisited & !reached) {
                    if movable(flows, *n, zone, to) > epsilon {
                        reached |= 1 << to;
                    }
                }
            }
            for to in zones_in(reached) {
                from[to] = Some(zone);
                queue.push_back(Some(to));
            }
        }
        let Some(mut to) = target else { return };
        // Shifts flows from the end of the path backwards, so that each zone frees capacity before it
        // receives more.
        let mut rate = free(flows, to);
        while let Some(Some(zone)) = from.get(to).copied() {
            rate =
                shift(flows, zone, to, rate, zone.map_or(&unserved_lists, |zone| &lists_at[zone]), &movable);
            let Some(next) = zone else { break };
            to = next;
        }
    }
}

/// Moves up to `rate` from one zone to another and returns the moved rate.
fn shift(
    flows: &mut Flows,
    from: Option<usize>,
    to: usize,
    rate: f64,
    movable_lists: &[usize],
    movable: &impl Fn(&Flows, usize, Option<usize>, usize) -> f64,
) -> f64 {
    let mut moved = 0.0;
    for n in movable_lists {
        let amount = movable(flows, *n, from, to).min(rate - moved);
        if amount <= 0.0 {
            continue;
        }
        match from {
            Some(zone) => flows.add(*n, zone, -amount),
            None => flows.unserved[*n] -= amount,
        }
        flows.add(*n, to, amount);
        moved += amount;
    }
    moved
}

/// Returns the set of zones that satisfy the predicate.
pub fn zone_set(zones: usize, predicate: impl Fn(usize) -> bool) -> ZoneSet {
    (0..zones)
        .filter(|zone| predicate(*zone))
        .fold(0, |all, zone| all | zone_bit(maplehook_locality::Zone(zone as u16)))
}
