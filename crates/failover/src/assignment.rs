//! Two places never pour into each other: what would cross is swapped back, and where a rule forbids that, the lesser way is closed.

use crate::flow::{Flows, Ground, waterfall};
use crate::priorities::{PriorityLists, Zones};
use maplehook_locality::Zone;

/// A flow that crosses: shape and zone.
type Crossing = (usize, usize);

/// Rooms as a question takes them: what each zone can be given, what at last, and who reaches whom.
#[derive(Clone, Copy, Debug)]
pub struct AvailableCapacity<'a> {
    /// See [`Ground::room`].
    pub room: &'a [f64],
    /// See [`Ground::last`].
    pub last: &'a [f64],
    /// See [`Ground::reach`].
    pub reach: &'a [Zones],
}

/// The best split of what is asked for by rule and source, and what that comes to by shape: no plan before it binds it. `open`:
/// whether full first steps spill at their thresholds.
pub fn assign(
    priorities: &PriorityLists,
    rooms: AvailableCapacity<'_>,
    open: bool,
    demand: impl IntoIterator<Item = ((u16, Zone), f64)>,
) -> (Flows, Vec<f64>) {
    let mut asked = vec![0.0; priorities.lists.len()];
    for ((rule, from), rate) in demand {
        if let Some(n) = priorities.list_index(rule, from) {
            asked[n] += rate;
        }
    }
    let open = vec![open; asked.len()];
    let AvailableCapacity { room, last, reach } = rooms;
    let ground = Ground { priorities, room, last, reach, open: &open, asked: &asked };
    (best(&ground), asked)
}

/// The waterfall, without what would pour both ways.
pub fn best(ground: &Ground<'_>) -> Flows {
    let mut flows = waterfall(ground);
    undo(ground, &mut flows);
    flows
}

/// Takes out what regions, and then zones, would send each other both ways. What a rule names first is its wish and no spill.
pub fn undo(ground: &Ground<'_>, flows: &mut Flows) {
    let regions = &ground.priorities.region_of;
    undo_between(ground, flows, regions, ground.priorities.regions.len());
    let zones: Vec<usize> = (0..ground.room.len()).collect();
    undo_between(ground, flows, &zones, zones.len());
}

fn undo_between(ground: &Ground<'_>, flows: &mut Flows, group_of: &[usize], groups: usize) {
    let nothing = ground.nothing();
    let mut crossing: Vec<Vec<Crossing>> = vec![Vec::new(); groups * groups];
    for (n, to) in flows.to.iter().enumerate() {
        let shape = &ground.priorities.lists[n];
        let here = group_of[usize::from(shape.from.0)];
        let first = shape.steps.first().copied().unwrap_or(0);
        if to.zones() & !first == 0 {
            continue;
        }
        for (zone, sent) in to.iter() {
            let wished = first >> zone & 1 == 1;
            if sent > nothing && !wished && group_of[zone] != here {
                crossing[here * groups + group_of[zone]].push((n, zone));
            }
        }
    }
    for a in 0..groups {
        for b in a + 1..groups {
            let (there, back) = (&crossing[a * groups + b], &crossing[b * groups + a]);
            if there.is_empty() || back.is_empty() {
                continue;
            }
            swap(ground, flows, there, back);
            let rate =
                |flows: &Flows, way: &[Crossing]| way.iter().map(|(n, z)| flows.sent(*n, *z)).sum::<f64>();
            let (out, home) = (rate(flows, there), rate(flows, back));
            if out > nothing && home > nothing {
                for (n, zone) in if out < home { there } else { back } {
                    let sent = flows.sent(*n, *zone);
                    flows.add(*n, *zone, -sent);
                    flows.left[*n] += sent;
                }
            }
        }
    }
}

/// Who crosses one way takes the place of who crosses the other: loads stay as they are. First each in proportion, so that none
/// is put before another, then what is left of those that can.
fn swap(ground: &Ground<'_>, flows: &mut Flows, there: &[Crossing], back: &[Crossing]) {
    let usable = |n: usize, zone: usize| ground.usable(&ground.priorities.lists[n]) >> zone & 1 == 1;
    let rates =
        |flows: &Flows, way: &[Crossing]| way.iter().map(|(n, z)| flows.sent(*n, *z)).collect::<Vec<_>>();
    let (out, home) = (rates(flows, there), rates(flows, back));
    let most = out.iter().sum::<f64>().max(home.iter().sum());
    for in_proportion in [true, false] {
        for ((n, far), out) in there.iter().zip(&out) {
            for ((m, near), home) in back.iter().zip(&home) {
                let most = if in_proportion { out * home / most } else { f64::INFINITY };
                let rate = flows.sent(*n, *far).min(flows.sent(*m, *near)).min(most);
                if rate > 0.0 && usable(*n, *near) && usable(*m, *far) {
                    flows.add(*n, *far, -rate);
                    flows.add(*n, *near, rate);
                    flows.add(*m, *near, -rate);
                    flows.add(*m, *far, rate);
                }
            }
        }
    }
}
