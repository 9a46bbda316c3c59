//! Assignments without opposite flows between two zones or regions. Opposite flows are exchanged; where a
//! rule forbids the exchange, the smaller flow is removed.

use crate::flow::{FlowProblem, Flows, waterfall};
use crate::priorities::{PriorityLists, ZoneSet};
use maplehook_locality::Zone;

/// A flow that crosses between groups: list index and destination zone.
type Crossing = (usize, usize);

/// Capacities and reachability of all zones.
#[derive(Clone, Copy, Debug)]
pub struct AvailableCapacity<'a> {
    /// See [`FlowProblem::capacity`].
    pub capacity: &'a [f64],
    /// See [`FlowProblem::fallback`].
    pub fallback: &'a [f64],
    /// See [`FlowProblem::reach`].
    pub reach: &'a [ZoneSet],
}

/// Assigns the demand by rule and source zone, independent of any earlier plan. Returns the assignment and
/// the demand of each list. With `spill_open`, first steps spill over at their thresholds, else when they are
/// full.
pub fn assign(
    priorities: &PriorityLists,
    available: AvailableCapacity<'_>,
    spill_open: bool,
    demand: impl IntoIterator<Item = ((u16, Zone), f64)>,
) -> (Flows, Vec<f64>) {
    let mut list_demand = vec![0.0; priorities.lists.len()];
    for ((rule, from), rate) in demand {
        if let Some(n) = priorities.list_index(rule, from) {
            list_demand[n] += rate;
        }
    }
    let spill_open = vec![spill_open; list_demand.len()];
    let AvailableCapacity { capacity, fallback, reach } = available;
    let problem =
        FlowProblem { priorities, capacity, fallback, reach, spill_open: &spill_open, demand: &list_demand };
    (assign_waterfall(&problem), list_demand)
}

/// Computes the waterfall assignment and removes opposite flows.
pub fn assign_waterfall(problem: &FlowProblem<'_>) -> Flows {
    let mut flows = waterfall(problem);
    remove_opposite_flows(problem, &mut flows);
    flows
}

/// Removes opposite flows, first between regions and then between zones. Flows to first steps stay, since the
/// rule prefers them.
pub fn remove_opposite_flows(problem: &FlowProblem<'_>, flows: &mut Flows) {
    let regions = &problem.priorities.region_of;
    remove_between_groups(problem, flows, regions, problem.priorities.regions.len());
    let zones: Vec<usize> = (0..problem.capacity.len()).collect();
    remove_between_groups(problem, flows, &zones, zones.len());
}

fn remove_between_groups(problem: &FlowProblem<'_>, flows: &mut Flows, group_of: &[usize], groups: usize) {
    let epsilon = problem.epsilon();
    let mut crossings_by_pair: Vec<Vec<Crossing>> = vec![Vec::new(); groups * groups];
    for (n, to) in flows.to.iter().enumerate() {
        let list = &problem.priorities.lists[n];
        let source_group = group_of[usize::from(list.from.0)];
        let first = list.steps.first().copied().unwrap_or(0);
        if to.zones() & !first == 0 {
            continue;
        }
        for (zone, sent) in to.iter() {
            let is_preferred = first >> zone & 1 == 1;
            if sent > epsilon && !is_preferred && group_of[zone] != source_group {
                crossings_by_pair[source_group * groups + group_of[zone]].push((n, zone));
            }
        }
    }
    for a in 0..groups {
        for b in a + 1..groups {
            let (forward, backward) =
                (&crossings_by_pair[a * groups + b], &crossings_by_pair[b * groups + a]);
            if forward.is_empty() || backward.is_empty() {
                continue;
            }
            exchange_flows(problem, flows, forward, backward);
            let rate = |flows: &Flows, crossings: &[Crossing]| {
                crossings.iter().map(|(n, z)| flows.sent(*n, *z)).sum::<f64>()
            };
            let (forward_rate, backward_rate) = (rate(flows, forward), rate(flows, backward));
            if forward_rate > epsilon && backward_rate > epsilon {
                for (n, zone) in if forward_rate < backward_rate { forward } else { backward } {
                    let sent = flows.sent(*n, *zone);
                    flows.add(*n, *zone, -sent);
                    flows.unserved[*n] += sent;
                }
            }
        }
    }
}

/// Exchanges opposite flows so that the load of the zones does not change. The first pass exchanges in
/// proportion to the rates, to treat all lists alike; the second pass exchanges the rest.
fn exchange_flows(problem: &FlowProblem<'_>, flows: &mut Flows, forward: &[Crossing], backward: &[Crossing]) {
    let usable = |n: usize, zone: usize| problem.usable(&problem.priorities.lists[n]) >> zone & 1 == 1;
    let rates = |flows: &Flows, crossings: &[Crossing]| {
        crossings.iter().map(|(n, z)| flows.sent(*n, *z)).collect::<Vec<_>>()
    };
    let (forward_rates, backward_rates) = (rates(flows, forward), rates(flows, backward));
    let max_rate = forward_rates.iter().sum::<f64>().max(backward_rates.iter().sum());
    for proportional in [true, false] {
        for ((n, forward_zone), forward_rate) in forward.iter().zip(&forward_rates) {
            for ((m, backward_zone), backward_rate) in backward.iter().zip(&backward_rates) {
                let max_rate =
                    if proportional { forward_rate * backward_rate / max_rate } else { f64::INFINITY };
                let rate = flows.sent(*n, *forward_zone).min(flows.sent(*m, *backward_zone)).min(max_rate);
                if rate > 0.0 && usable(*n, *backward_zone) && usable(*m, *forward_zone) {
                    flows.add(*n, *forward_zone, -rate);
                    flows.add(*n, *backward_zone, rate);
                    flows.add(*m, *backward_zone, -rate);
                    flows.add(*m, *forward_zone, rate);
                }
            }
        }
    }
}
