//! The plan: shares by rule and source, and when a new one takes the place of the one before.

use crate::assignment;
use crate::bounds::Bounds;
use crate::document::{FULL_SHARE, Plan, ROWS_MOST, Row, Share};
use crate::flow::{Flows, Ground, Split};
use crate::priorities::{PriorityLists, Zones, each};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time over which the gain that is asked of a new plan falls.
const SETTLES: Duration = Duration::from_secs(30);
/// Part of the stated gain that it never falls under.
const LEAST_GAIN: f64 = 0.1;

/// Weight of the number of balancers beside that of what is asked of them, in what is lent.
const BY_HEADS: f64 = 0.1;

/// What the planner is told.
#[derive(Clone, Debug)]
pub struct Setting<'a> {
    /// Rules and places.
    pub priorities: &'a PriorityLists,
    /// What each zone can be given.
    pub room: &'a [f64],
    /// What each zone that is ill can be given when nothing else is left.
    pub last: &'a [f64],
    /// What each zone lists.
    pub listed: &'a [f64],
    /// Zones that are reached, by the zone that reaches them.
    pub reach: &'a [Zones],
    /// Zones that are not simply serving.
    pub troubled: Zones,
    /// How many balancers each zone has.
    pub crews: &'a [usize],
    /// What is asked for: all zones of the first rule, of the second, and so on, as [`by_rule`] has it.
    pub demand: &'a [f64],
}

impl Setting<'_> {
    fn rate(&self, rule: u16, from: Zone) -> f64 {
        let at = usize::from(rule) * self.room.len() + usize::from(from.0);
        self.demand.get(at).copied().unwrap_or(0.0)
    }
}

/// What is asked for by rule and source, as a table.
pub fn by_rule(demand: &BTreeMap<(u16, Zone), f64>, zones: usize) -> Vec<f64> {
    let rules = demand.keys().map(|(rule, _)| usize::from(*rule) + 1).max().unwrap_or(0);
    let mut table = vec![0.0; rules * zones];
    for ((rule, from), rate) in demand.iter().filter(|((_, from), _)| usize::from(from.0) < zones) {
        table[usize::from(*rule) * zones + usize::from(from.0)] = *rate;
    }
    table
}

/// Whether the next step is open for want of room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Gate {
    open: bool,
    since: Option<Duration>,
}

/// What the planner keeps between two plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Planner {
    gates: Vec<Gate>,
    /// Share of all traffic that may be moved now.
    may_move: f64,
    at: Duration,
    /// When rows changed last.
    changed: Duration,
}

impl Planner {
    /// Begins; whoever goes on from another's plan has to wait until it may move anything.
    pub fn new(now: Duration, may_move: f64) -> Self {
        Self { gates: Vec::new(), may_move, at: now, changed: now }
    }

    /// The plan that takes the place of this one, if one does. `fresh_spare`: also for no more than a larger spare.
    pub fn plan(
        &mut self,
        now: Duration,
        setting: &Setting<'_>,
        before: &Plan,
        fresh_spare: bool,
        bounds: &Bounds,
    ) -> Option<Plan> {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.may_move = (self.may_move + bounds.max_moved_per_s * passed).min(bounds.max_moved_per_s);
        self.at = self.at.max(now);
        let asked = asked(setting);
        self.turn_gates(now, setting, &asked);
        let open: Vec<bool> = self.gates.iter().map(|gate| gate.open).collect();
        let Setting { priorities, room, last, reach, .. } = *setting;
        let ground = Ground { priorities, room, last, reach, open: &open, asked: &asked };
        let mut flows = assignment::best(&ground);
        let old_flows = flows_of(before, setting, &asked);
        let mut plan = before.clone();
        // A gain that is small is waited for, and taken in the end.
        let waited = now.saturating_sub(self.changed).as_secs_f64() / SETTLES.as_secs_f64();
        let gain = bounds.gain * (1.0 - waited).max(LEAST_GAIN);
        if is_better(&ground, &flows, &old_flows, gain) {
            let total: f64 = asked.iter().sum();
            let moved = moved(&flows, &old_flows) / total.max(1e-12);
            let part = if moved > self.may_move { self.may_move / moved } else { 1.0 };
            self.may_move = (self.may_move - moved * part).max(0.0);
            if part < 1.0 {
                flows = between(&old_flows, &flows, part);
                assignment::undo(&ground, &mut flows);
            }
            plan.rows = rows(setting, &flows, &asked);
        } else {
            flows = old_flows;
        }
        let changed = plan.rows != before.rows;
        let zones = room.len();
        let lends = Plan { spare: spare(&ground, &flows, setting, bounds), ..Plan::default() };
        // Part 0: more may be lent than there is by now; part 2: more balancers share in it.
        let free = |zone: usize| (room[zone] - flows.load[zone]).max(0.0) as f32;
        let over = |(zone, lent): (usize, &f32)| *lent > free(zone) * 1.001 + 0.001;
        let pairs = |part: usize| before.spare_part(part, zones).iter().zip(lends.spare_part(part, zones));
        let over = before.spare_part(0, zones).iter().enumerate().any(over)
            || pairs(2).any(|(before, crew)| crew > before);
        let less = pairs(0).chain(pairs(1)).any(|(before, lent)| *before < lent * 0.7);
        if changed {
            self.changed = self.changed.max(now);
        }
        if changed || over || before.spare.len() != lends.spare.len() || fresh_spare && less {
            plan.spare = lends.spare;
            plan.epoch = before.epoch.saturating_add(1);
            return Some(plan);
        }
        None
    }

    /// Opens and closes the step after the first, with the times that the rules state.
    fn turn_gates(&mut self, now: Duration, setting: &Setting<'_>, asked: &[f64]) {
        let lists = &setting.priorities.lists;
        self.gates.resize(lists.len(), Gate::default());
        let zones = setting.room.len();
        let first = |n: usize| {
            lists[n].steps.first().map_or(0, |step| step & setting.reach[usize::from(lists[n].from.0)])
        };
        let mut pressure = vec![0.0; zones];
        for (n, asked) in asked.iter().enumerate() {
            let step = first(n);
            let room: f64 = each(step).map(|zone| setting.room[zone]).sum();
            each(step).filter(|_| room > 0.0).for_each(|z| pressure[z] += asked * setting.room[z] / room);
        }
        for (n, gate) in self.gates.iter_mut().enumerate() {
            let (shape, step) = (&lists[n], first(n));
            let sum = |of: &[f64], zones: Zones| each(zones).map(|zone| of[zone]).sum::<f64>();
            let room = sum(setting.room, step);
            let load = if room > 0.0 { sum(&pressure, step) / room } else { f64::INFINITY };
            let listed = sum(setting.listed, shape.steps.first().copied().unwrap_or(0));
            if room < shape.usable_least * listed {
                *gate = Gate { open: true, since: None };
                continue;
            }
            let (over, time) = if gate.open {
                (load < shape.back.min(shape.over), shape.back_for)
            } else {
                (load > shape.over, shape.over_for)
            };
            if !over {
                gate.since = None;
            } else if now.saturating_sub(*gate.since.get_or_insert(now)).as_secs_f64() >= time {
                *gate = Gate { open: !gate.open, since: None };
            }
        }
    }
}

/// What is asked for by shape. Who asks for nothing and would be sent into trouble is planned for with next to nothing.
fn asked(setting: &Setting<'_>) -> Vec<f64> {
    let lists = &setting.priorities.lists;
    let mut asked = vec![0.0; lists.len()];
    for (rule, from, n) in setting.priorities.all() {
        asked[n] += setting.rate(rule, from);
    }
    let little = 1e-6 * (1.0 + asked.iter().sum::<f64>());
    for (asked, shape) in asked.iter_mut().zip(lists) {
        if is_troubled(setting, shape.from, shape.steps.first()) {
            *asked = asked.max(little);
        }
    }
    asked
}

fn is_troubled(setting: &Setting<'_>, from: Zone, first: Option<&Zones>) -> bool {
    let reach = setting.reach[usize::from(from.0)];
    first.is_none_or(|step| step & (setting.troubled | !reach) != 0)
}

/// What a plan comes to. Who has no row is in the first step, by its rooms; rules of one shape count as their mean.
fn flows_of(plan: &Plan, setting: &Setting<'_>, asked: &[f64]) -> Flows {
    let zones = setting.room.len();
    let lists = &setting.priorities.lists;
    let rate = |rule: u16, from: Zone| setting.rate(rule, from) + 1e-9;
    let mut plain = vec![0.0; lists.len()];
    let mut all = vec![0.0; lists.len()];
    for (n, weight) in setting.priorities.all().map(|(rule, from, n)| (n, rate(rule, from))) {
        plain[n] += weight;
        all[n] += weight;
    }
    let mut flows = Flows::none(asked, zones);
    let mut send = |n: usize, zone: usize, part: f64| {
        if part > 0.0 {
            flows.add(n, zone, part * asked[n]);
            flows.left[n] = (flows.left[n] - part * asked[n]).max(0.0);
        }
    };
    for row in &plan.rows {
        let Some(n) = setting.priorities.list_index(row.rule, row.from) else { continue };
        let weight = rate(row.rule, row.from);
        plain[n] -= weight;
        for share in row.to.iter().filter(|share| usize::from(share.zone.0) < zones) {
            let part = f64::from(share.part) / f64::from(FULL_SHARE);
            send(n, usize::from(share.zone.0), part * weight / all[n]);
        }
    }
    for (n, shape) in lists.iter().enumerate().filter(|(n, _)| plain[*n] > 1e-12) {
        let step = shape.steps.first().copied().unwrap_or(0);
        let room: f64 = each(step).map(|zone| setting.room[zone]).sum();
        let even = 1.0 / f64::from(step.count_ones().max(1));
        for zone in each(step) {
            let part = if room > 0.0 { setting.room[zone] / room } else { even };
            send(n, zone, part * plain[n] / all[n]);
        }
    }
    flows
}

/// What is sent elsewhere than before.
fn moved(new: &Flows, old: &Flows) -> f64 {
    let more = |(n, to): (usize, &Split)| {
        to.iter().map(|(zone, sent)| (sent - old.sent(n, zone)).max(0.0)).sum::<f64>()
    };
    new.to.iter().enumerate().map(more).sum()
}

/// A part of the way from one to the other.
fn between(old: &Flows, new: &Flows, part: f64) -> Flows {
    let mut flows =
        Flows { to: vec![Split::default(); old.to.len()], left: Vec::new(), load: vec![0.0; old.load.len()] };
    for (of, part) in [(old, 1.0 - part), (new, part)] {
        for (n, to) in of.to.iter().enumerate() {
            to.iter().for_each(|(zone, sent)| flows.add(n, zone, sent * part));
        }
    }
    flows.left = old.left.iter().zip(&new.left).map(|(old, new)| old * (1.0 - part) + new * part).collect();
    flows
}

/// Whether a plan gains enough over the one before, or that one sends where nothing can be or more than there is room for.
fn is_better(ground: &Ground<'_>, new: &Flows, old: &Flows, gain: f64) -> bool {
    let total: f64 = ground.asked.iter().sum();
    let (served, near) = worth(ground, new);
    let (served_old, near_old) = worth(ground, old);
    // Who is refused without need counts for more than who is sent far.
    if served - served_old > gain * 0.25 * total || near - near_old > gain * total {
        return true;
    }
    let nothing = ground.nothing();
    let over = |zone: usize, flows: &Flows| flows.load[zone] > ground.cap(zone) * (1.0 + gain) + nothing;
    if (0..new.load.len()).any(|zone| over(zone, old) && old.load[zone] > new.load[zone] + nothing) {
        return true;
    }
    // Over what a rule would have no more of in a zone, while its next step is open.
    let mut limits: Vec<f64> = ground.room.to_vec();
    for (n, to) in old.to.iter().enumerate().filter(|(n, _)| ground.open[*n]) {
        for (zone, _) in to.iter().filter(|(_, sent)| *sent > nothing) {
            limits[zone] = limits[zone].min(ground.priorities.lists[n].over * ground.room[zone]);
        }
    }
    let relieved =
        |zone: usize| old.load[zone] - new.load[zone].max(limits[zone]) > gain * ground.room[zone] + nothing;
    if (0..new.load.len()).any(relieved) {
        return true;
    }
    // Into what is closed, and would not be any more.
    let closed = |n: usize, zone: usize| {
        let shape = &ground.priorities.lists[n];
        ground.cap(zone) <= 0.0 || ground.usable(shape) >> zone & 1 == 0
    };
    old.to.iter().enumerate().any(|(n, to)| {
        to.iter().any(|(zone, sent)| sent > nothing && closed(n, zone) && new.sent(n, zone) < sent * 0.5)
    })
}

/// What is served of a split as rooms are, and what of it in the first step.
fn worth(ground: &Ground<'_>, flows: &Flows) -> (f64, f64) {
    let part: Vec<f64> = (0..flows.load.len())
        .map(|zone| {
            let (load, cap) = (flows.load[zone], ground.cap(zone));
            if load > cap { cap / load } else { 1.0 }
        })
        .collect();
    let (mut served, mut near) = (0.0, 0.0);
    for (n, to) in flows.to.iter().enumerate() {
        let shape = &ground.priorities.lists[n];
        let usable = ground.usable(shape);
        for (zone, sent) in to.iter().filter(|(zone, _)| usable >> zone & 1 == 1) {
            served += sent * part[zone];
            if shape.steps[0] >> zone & 1 == 1 {
                near += sent * part[zone];
            }
        }
    }
    (served, near)
}

/// What may be lent beside the plan: a part of what is free, of zones that are given all of their room; weights, by what comes into
/// a zone and a little by how many balancers it has, so that whoever was asked for nothing is not left with nothing; and these.
fn spare(ground: &Ground<'_>, flows: &Flows, setting: &Setting<'_>, bounds: &Bounds) -> Vec<f32> {
    let zones = ground.room.len();
    let lent =
        |zone: usize| ((ground.room[zone] - flows.load[zone]) * bounds.spare.clamp(0.0, 1.0)).max(0.0) as f32;
    let crew = |zone: usize| setting.crews.get(zone).copied().unwrap_or(0) as f64;
    let mut comes = vec![0.0; zones];
    for (shape, asked) in ground.priorities.lists.iter().zip(ground.asked) {
        comes[usize::from(shape.from.0)] += asked;
    }
    let (asked, crews): (f64, f64) = (comes.iter().sum(), (0..zones).map(crew).sum());
    let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
    let weight = |zone: usize| {
        let heads = part(crew(zone), crews);
        if heads > 0.0 { (part(comes[zone], asked) + BY_HEADS * heads) as f32 } else { 0.0 }
    };
    (0..zones).map(lent).chain((0..zones).map(weight)).chain((0..zones).map(|z| crew(z) as f32)).collect()
}

/// Rows of what does not simply keep to its first step.
fn rows(setting: &Setting<'_>, flows: &Flows, asked: &[f64]) -> Vec<Row> {
    let lists = &setting.priorities.lists;
    let differs = |n: usize| {
        let (shape, little) = (&lists[n], asked[n] * 1e-6);
        let first = shape.steps.first().copied().unwrap_or(0);
        let near = |(zone, sent): (usize, f64)| sent <= little || first >> zone & 1 == 1;
        let plain = flows.left[n] <= little && flows.to[n].iter().all(near);
        asked[n] > 0.0 && (!plain || is_troubled(setting, shape.from, shape.steps.first()))
    };
    let differs: Vec<bool> = (0..lists.len()).map(differs).collect();
    // Those with most of the requests, where there are too many.
    let mut chosen: Vec<(f64, u16, Zone, usize)> = Vec::new();
    for (rule, from, n) in setting.priorities.all().filter(|(.., n)| differs[*n]) {
        let rate = setting.rate(rule, from);
        if rate > 0.0 || is_troubled(setting, from, lists[n].steps.first()) {
            chosen.push((rate, rule, from, n));
        }
    }
    if chosen.len() > ROWS_MOST {
        chosen.select_nth_unstable_by(ROWS_MOST, |a, b| {
            b.0.total_cmp(&a.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
        });
        chosen.truncate(ROWS_MOST);
        chosen.sort_unstable_by_key(|(_, rule, from, _)| (*rule, *from));
    }
    let mut known: Vec<Option<Vec<Share>>> = vec![None; lists.len()];
    let mut row = |(_, rule, from, n): (f64, u16, Zone, usize)| {
        let to = known[n].get_or_insert_with(|| parts(&flows.to[n], flows.left[n], asked[n])).clone();
        Row { rule, from, to }
    };
    chosen.into_iter().map(&mut row).collect()
}

/// A split in parts of [`WHOLE`]: rounded down, and if nothing is refused, what that leaves to those that lost most by it.
fn parts(to: &Split, left: f64, asked: f64) -> Vec<Share> {
    if asked <= 0.0 {
        return Vec::new();
    }
    let whole = f64::from(FULL_SHARE);
    let exact = |sent: f64| (sent / asked * whole + 1e-6).clamp(0.0, whole);
    let mut shares: Vec<(f64, Share)> = to
        .iter()
        .map(|(zone, sent)| {
            let part = exact(sent).floor();
            (exact(sent) - part, Share { zone: Zone(zone as u16), part: part as u16 })
        })
        .collect();
    let sum: u16 = shares.iter().map(|(_, share)| share.part).fold(0, u16::saturating_add);
    if left <= asked * 1e-6 && !shares.is_empty() {
        shares.sort_by(|a, b| b.0.total_cmp(&a.0));
        let count = shares.len();
        (0..usize::from(FULL_SHARE.saturating_sub(sum))).for_each(|n| shares[n % count].1.part += 1);
    }
    let mut shares: Vec<Share> = shares.into_iter().map(|(_, share)| share).filter(|s| s.part > 0).collect();
    shares.sort_by_key(|share| share.zone);
    shares
}
