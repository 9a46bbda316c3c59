//! The waterfall: who is sent where, the near first, and no zone over its room.
//!
//! What is promised: as much is served as can be by any split that keeps to the rooms and to what each rule may use (a maximum
//! flow, found by augmenting paths: Edmonds and Karp 1972), but where [`crate::pouring`] takes away what two regions would pour
//! into each other; with `beyond region` under the whole, at least no single change serves more. Of such splits the near one is
//! taken: each step is filled for all before the next begins. Where a zone is short, all that ask for it at the same step get the
//! same part, rules and sources alike: guarantees among classes and tenants are kept at the door, by admission, for what the plan
//! leaves in.

use crate::priorities::{PriorityList, PriorityLists, Zones, each, zone_bit};
use smallvec::SmallVec;

/// Rounds in which a step's zones are shared out.
const ROUNDS: usize = 4;
/// Zones that most shapes are sent to at the most.
const FEW: usize = 4;
/// Paths sought at the most; what is left is refused.
const PATHS: usize = 64;

/// What a plan is made for.
#[derive(Clone, Debug)]
pub struct Ground<'a> {
    /// Rules and places.
    pub priorities: &'a PriorityLists,
    /// What each zone can be given, in requests a second.
    pub room: &'a [f64],
    /// What each can be given when nothing else is left: zones that are ill.
    pub last: &'a [f64],
    /// Zones that are reached, by the zone that reaches them.
    pub reach: &'a [Zones],
    /// Whether a shape spills already under a full step.
    pub open: &'a [bool],
    /// What is asked for, by shape.
    pub asked: &'a [f64],
}

impl Ground<'_> {
    /// Room of a zone, whichever.
    pub fn cap(&self, zone: usize) -> f64 {
        self.room[zone] + self.last[zone]
    }

    /// Zones that a shape may be sent to as things are.
    pub fn usable(&self, shape: &PriorityList) -> Zones {
        shape.allowed() & self.reach[usize::from(shape.from.0)]
    }

    /// Rates under this are nothing.
    pub fn nothing(&self) -> f64 {
        1e-9 * (1.0 + self.asked.iter().sum::<f64>())
    }
}

/// What one shape sends, by zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    zones: Zones,
    /// In the order of the zones.
    rates: SmallVec<[f64; FEW]>,
}

impl Split {
    /// Zones that something was sent to.
    pub fn zones(&self) -> Zones {
        self.zones
    }

    /// What is sent to a zone.
    pub fn get(&self, zone: usize) -> f64 {
        if self.zones >> zone & 1 == 0 { 0.0 } else { self.rates[self.before(zone)] }
    }

    /// Sends more, or less.
    pub fn add(&mut self, zone: usize, rate: f64) {
        let n = self.before(zone);
        if self.zones >> zone & 1 == 1 {
            self.rates[n] += rate;
        } else {
            self.zones |= 1 << zone;
            self.rates.insert(n, rate);
        }
    }

    /// Zones and what is sent there, in order.
    pub fn iter(&self) -> impl Iterator<Item = (usize, f64)> + '_ {
        each(self.zones).zip(self.rates.iter().copied())
    }

    /// What is sent to zones of a set.
    pub fn sum(&self, zones: Zones) -> f64 {
        each(self.zones & zones).map(|zone| self.get(zone)).sum()
    }

    fn before(&self, zone: usize) -> usize {
        (self.zones & ((1 << zone) - 1)).count_ones() as usize
    }
}

/// Who is sent where, in requests a second, by shape.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Flows {
    /// By shape.
    pub to: Vec<Split>,
    /// What is refused, by shape.
    pub left: Vec<f64>,
    /// What each zone is sent.
    pub load: Vec<f64>,
}

impl Flows {
    /// Nothing is sent anywhere.
    pub fn none(asked: &[f64], zones: usize) -> Self {
        Self { to: vec![Split::default(); asked.len()], left: asked.to_vec(), load: vec![0.0; zones] }
    }

    /// Sends more (or, with less than nothing, less) of a shape to a zone.
    pub fn add(&mut self, shape: usize, zone: usize, rate: f64) {
        self.load[zone] += rate;
        self.to[shape].add(zone, rate);
    }

    /// What of a shape is sent to a zone.
    pub fn sent(&self, shape: usize, zone: usize) -> f64 {
        self.to[shape].get(zone)
    }

    /// What of a shape leaves its region.
    fn beyond(&self, n: usize, shape: &PriorityList) -> f64 {
        self.to[n].sum(shape.beyond)
    }
}

/// The best split there is.
pub fn waterfall(ground: &Ground<'_>) -> Flows {
    let zones = ground.room.len();
    let mut flows = Flows::none(ground.asked, zones);
    let (over, full): (Vec<f64>, Vec<f64>) =
        ground.priorities.lists.iter().map(|shape| (shape.over, 1.0)).unzip();
    let deepest = ground.priorities.lists.iter().map(|shape| shape.steps.len()).max().unwrap_or(0);
    let none = vec![0.0; zones];
    for level in 0..deepest {
        let first: Vec<f64> = if level == 0 {
            over.iter().zip(ground.open).map(|(over, open)| if *open { *over } else { 1.0 }).collect()
        } else {
            over.clone()
        };
        fill(ground, &mut flows, level, &first, &none, true);
    }
    for level in 0..deepest {
        fill(ground, &mut flows, level, &full, &none, false);
    }
    for level in 0..deepest {
        fill(ground, &mut flows, level, &full, ground.last, false);
    }
    augment(ground, &mut flows);
    flows
}

/// Shares one step's zones out among all who ask for it, up to a part of the room.
fn fill(ground: &Ground<'_>, flows: &mut Flows, level: usize, up_to: &[f64], last: &[f64], own: bool) {
    let (nothing, zones) = (ground.nothing(), ground.room.len());
    let cap: Vec<f64> = ground.room.iter().zip(last).map(|(room, last)| room + last).collect();
    let (mut claims, mut free): (Vec<(usize, usize, f64)>, Vec<f64>) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        claims.clear();
        let (mut claimed, mut highest) = (vec![0.0; zones], vec![0.0f64; zones]);
        for (n, shape) in ground.priorities.lists.iter().enumerate() {
            if flows.left[n] <= nothing || level >= shape.steps.len() || own && level >= shape.own {
                continue;
            }
            let step = shape.steps[level] & ground.reach[usize::from(shape.from.0)];
            let mut beyond = shape.beyond_most * ground.asked[n];
            if shape.beyond_most < 1.0 && step & shape.beyond != 0 {
                beyond -= flows.beyond(n, shape);
            }
            let step = if beyond <= nothing { step & !shape.beyond } else { step };
            free.clear();
            free.extend(each(step).map(|zone| (up_to[n] * cap[zone] - flows.load[zone]).max(0.0)));
            let total: f64 = free.iter().sum();
            if total <= nothing {
                continue;
            }
            let mut part = flows.left[n].min(total) / total;
            if shape.beyond_most < 1.0 {
                let far = each(step).zip(&free).filter(|(zone, _)| shape.beyond >> zone & 1 == 1);
                let outside: f64 = far.map(|(_, free)| free).sum();
                part = if outside > 0.0 { part.min(beyond / outside) } else { part };
            }
            for (zone, free) in each(step).zip(&free) {
                let claim = free * part;
                if claim > 0.0 {
                    claims.push((n, zone, claim));
                    claimed[zone] += claim;
                    highest[zone] = highest[zone].max(up_to[n]);
                }
            }
        }
        if claims.is_empty() {
            return;
        }
        let scale: Vec<f64> = (0..zones)
            .map(|zone| {
                let free = (highest[zone] * cap[zone] - flows.load[zone]).max(0.0);
                if claimed[zone] > free { free / claimed[zone] } else { 1.0 }
            })
            .collect();
        let mut given = 0.0;
        for (n, zone, claim) in claims.drain(..) {
            let rate = claim * scale[zone];
            flows.add(n, zone, rate);
            flows.left[n] = (flows.left[n] - rate).max(0.0);
            given += rate;
        }
        if given <= nothing {
            return;
        }
    }
}

/// Serves what is left by sending others on, as long as there is a way.
fn augment(ground: &Ground<'_>, flows: &mut Flows) {
    let (nothing, zones) = (ground.nothing(), ground.room.len());
    let lists = &ground.priorities.lists;
    let usable: Vec<Zones> = lists.iter().map(|shape| ground.usable(shape)).collect();
    // How much of a shape can go to a zone, from another or (`None`) from what is left.
    let movable = |flows: &Flows, n: usize, from: Option<usize>, to: usize| {
        let shape = &lists[n];
        let rate = from.map_or(flows.left[n], |zone| flows.sent(n, zone));
        let within = shape.beyond >> to & 1 == 0 || from.is_some_and(|zone| shape.beyond >> zone & 1 == 1);
        if usable[n] >> to & 1 == 0 {
            0.0
        } else if within || shape.beyond_most >= 1.0 {
            rate
        } else {
            rate.min((shape.beyond_most * ground.asked[n] - flows.beyond(n, shape)).max(0.0))
        }
    };
    for _ in 0..PATHS {
        let waiting: Vec<usize> = (0..lists.len()).filter(|n| flows.left[*n] > nothing).collect();
        if waiting.is_empty() {
            return;
        }
        let mut at: Vec<Vec<usize>> = vec![Vec::new(); zones];
        for (n, to) in flows.to.iter().enumerate() {
            to.iter().filter(|(_, sent)| *sent > nothing).for_each(|(zone, _)| at[zone].push(n));
        }
        let free = |flows: &Flows, zone: usize| ground.cap(zone) - flows.load[zone];
        // Breadth first over zones; `None` is what is left.
        let mut from: Vec<Option<Option<usize>>> = vec![None; zones];
        let mut queue = std::collections::VecDeque::from([None]);
        let mut end = None;
        while let Some(zone) = queue.pop_front() {
            if let Some(zone) = zone
                && free(flows, zone) > nothing
            {
                end = Some(zone);
                break;
            }
            let who = zone.map_or(&waiting, |zone| &at[zone]);
            let wanted = (0..zones).fold(0, |all, z| if from[z].is_none() { all | 1 << z } else { all });
            let mut found: Zones = 0;
            for n in who {
                for to in each(usable[*n] & wanted & !found) {
                    if movable(flows, *n, zone, to) > nothing {
                        found |= 1 << to;
                    }
                }
            }
            for to in each(found) {
                from[to] = Some(zone);
                queue.push_back(Some(to));
            }
        }
        let Some(mut to) = end else { return };
        // From the end of the way, so that each zone gives away before it takes.
        let mut rate = free(flows, to);
        while let Some(Some(zone)) = from.get(to).copied() {
            rate = shift(flows, zone, to, rate, zone.map_or(&waiting, |zone| &at[zone]), &movable);
            let Some(next) = zone else { break };
            to = next;
        }
    }
}

/// Sends up to this rate from one zone to another, and says how much it was.
fn shift(
    flows: &mut Flows,
    from: Option<usize>,
    to: usize,
    rate: f64,
    who: &[usize],
    movable: &impl Fn(&Flows, usize, Option<usize>, usize) -> f64,
) -> f64 {
    let mut moved = 0.0;
    for n in who {
        let part = movable(flows, *n, from, to).min(rate - moved);
        if part <= 0.0 {
            continue;
        }
        match from {
            Some(zone) => flows.add(*n, zone, -part),
            None => flows.left[*n] -= part,
        }
        flows.add(*n, to, part);
        moved += part;
    }
    moved
}

/// Zones as a set, where a test holds for them.
pub fn zones_where(zones: usize, holds: impl Fn(usize) -> bool) -> Zones {
    (0..zones)
        .filter(|zone| holds(*zone))
        .fold(0, |all, zone| all | zone_bit(maplehook_locality::Zone(zone as u16)))
}
