//! Contradictions: two plans that are acted on at a time, and of which one undoes the other.

use super::facts::Facts;
use super::spans::Spans;
use super::{Breach, Finding};
use crate::file::History;
use crate::record::What;
use std::collections::{BTreeMap, BTreeSet};

/// A balancer acts by a plan.
struct Held<'h> {
    by: &'h str,
    epoch: u64,
    record: usize,
    from: u64,
    until: u64,
}

/// The rows of a plan, as all who act by it state them.
#[derive(Default)]
struct Plan<'h> {
    rows: BTreeMap<(&'h str, &'h str), &'h BTreeMap<String, u16>>,
    /// Zones, and with `true` regions, that are sent into another.
    flows: BTreeSet<(bool, &'h str, &'h str)>,
}

impl Plan<'_> {
    /// The least of what comes into a zone that this plan sends on to another, over all rules.
    fn share(&self, from: &str, to: &str) -> f64 {
        let rows = self.rows.iter().filter(|((_, zone), _)| *zone == from);
        let parts = rows.map(|(_, row)| row.get(to).copied().unwrap_or(0)).min();
        f64::from(parts.unwrap_or(0)) / 10_000.0
    }
}

/// A pair of epochs that are acted on at a time, and the records that began it.
type Overlap = ((u64, u64), u64, u64, [usize; 2]);

/// Two plans that contradict are not acted on together for longer than the header allows.
pub(super) fn judge(history: &History) -> Finding {
    let facts = Facts::of(history);
    let mut finding = Finding::default();
    let (held, plans) = (held(&facts), plans(&facts));
    finding.judged = held.len() as u64;
    let mut demand: Option<BTreeMap<&str, Vec<u64>>> = None;
    for ((first, second), from, until, records) in overlaps(&held) {
        if until.saturating_sub(from) <= history.header.contradiction_us {
            continue;
        }
        let (Some(p), Some(q)) = (plans.get(&first), plans.get(&second)) else { continue };
        let demand = demand.get_or_insert_with(|| self::demand(history));
        let Some(why) =
            opposed(p, q).or_else(|| over(&facts, &held, demand, (first, p), (second, q), (from, until)))
        else {
            continue;
        };
        let what = format!("plans {first} and {second} are both acted on for {} us: {why}", until - from);
        let records = records.to_vec();
        finding.breaches.push(Breach { rule: "contradict", at_us: from, until_us: until, what, records });
    }
    finding.breaches.sort_by_key(|breach| breach.at_us);
    finding
}

/// Who acted by what, and when. A process that is stopped acts by nothing.
fn held<'h>(facts: &Facts<'h>) -> Vec<Held<'h>> {
    let mut open: BTreeMap<&str, Held<'h>> = BTreeMap::new();
    let mut all = Vec::new();
    let mut close = |held: Option<Held<'h>>, at: u64| {
        let Some(held) = held else { return };
        // Whoever dies does not go on after its next start.
        let down = facts.lives.down.get(held.by).map_or(&[][..], Spans::list);
        let next = down.get(down.partition_point(|span| span.0 < held.from));
        let until = next.map_or(at, |span| span.0.min(at));
        let own = Spans::of(vec![(held.from, until)]);
        let stopped = facts.lives.stopped.get(held.by).filter(|stopped| stopped.meets(held.from, until));
        let own = stopped.map_or(own.clone(), |stopped| own.but(stopped));
        all.extend(own.list().iter().map(|(from, until)| Held { from: *from, until: *until, ..held }));
    };
    for (n, record) in facts.history.records.iter().enumerate() {
        let (by, at) = (record.by.as_str(), record.at_us);
        match &record.what {
            What::Acts { epoch, in_common, .. } => {
                // Who says again what it does goes on with it, but not over a death.
                let goes_on = |held: &Held<'_>| held.epoch == *epoch && !facts.dead(by, held.from, at);
                if *in_common && open.get(by).is_some_and(goes_on) {
                    continue;
                }
                close(open.remove(by), at);
                if *in_common {
                    open.insert(by, Held { by, epoch: *epoch, record: n, from: at, until: at });
                }
            }
            What::Ceases { epoch } if open.get(by).is_some_and(|held| held.epoch == *epoch) => {
                close(open.remove(by), at)
            }
            _ => {}
        }
    }
    for held in open.into_values() {
        close(Some(held), facts.end);
    }
    all
}

fn plans<'h>(facts: &Facts<'h>) -> BTreeMap<u64, Plan<'h>> {
    let mut plans: BTreeMap<u64, Plan<'h>> = BTreeMap::new();
    for record in &facts.history.records {
        let What::Acts { epoch, rows, in_common: true } = &record.what else { continue };
        let plan = plans.entry(*epoch).or_default();
        for row in rows {
            if plan.rows.insert((&row.rule, &row.from), &row.to).is_some() {
                continue;
            }
            for zone in
                row.to.iter().filter(|(zone, parts)| **parts > 0 && **zone != row.from).map(|(zone, _)| zone)
            {
                plan.flows.insert((false, &row.from, zone));
                let regions = (facts.region_of(&row.from), facts.region_of(zone));
                if let (Some(from), Some(to)) = regions
                    && from != to
                {
                    plan.flows.insert((true, from, to));
                }
            }
        }
    }
    plans
}

/// All times at which two epochs were both acted on by somebody.
fn overlaps(held: &[Held<'_>]) -> Vec<Overlap> {
    let mut edges: Vec<(u64, bool, usize)> = Vec::with_capacity(held.len() * 2);
    for (n, held) in held.iter().enumerate() {
        edges.extend([(held.from, true, n), (held.until, false, n)]);
    }
    // What ends at one moment and goes on with another balancer has not ended.
    edges.sort_by_key(|(at, begins, n)| (*at, !begins, *n));
    // By epoch: who acts on it now.
    let mut active: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    let mut open: BTreeMap<(u64, u64), (u64, [usize; 2])> = BTreeMap::new();
    let mut found = Vec::new();
    for (at, begins, n) in edges {
        let (epoch, record) = (held[n].epoch, held[n].record);
        if begins {
            if let Some(holders) = active.get_mut(&epoch) {
                holders.insert(n);
                continue;
            }
            for (other, holders) in &active {
                // Of those who act on the other, whoever goes on the longest shows it best.
                let longest = holders.iter().max_by_key(|holder| held[**holder].until);
                let longest = longest.map_or(record, |holder| held[*holder].record);
                open.insert((epoch.min(*other), epoch.max(*other)), (at, [longest, record]));
            }
            active.insert(epoch, BTreeSet::from([n]));
        } else if let Some(holders) = active.get_mut(&epoch) {
            holders.remove(&n);
            if !holders.is_empty() {
                continue;
            }
            active.remove(&epoch);
            for other in active.keys() {
                let pair = (epoch.min(*other), epoch.max(*other));
                if let Some((from, records)) = open.remove(&pair) {
                    found.push((pair, from, at, records));
                }
            }
        }
    }
    found
}

/// Two places that these plans send into each other, though neither plan does so by itself.
fn opposed(p: &Plan<'_>, q: &Plan<'_>) -> Option<String> {
    let against = |(regions, from, to): &&(bool, &str, &str)| {
        let (forth, back) = ((*regions, *from, *to), (*regions, *to, *from));
        q.flows.contains(&back) && !p.flows.contains(&back) && !q.flows.contains(&forth)
    };
    let (_, from, to) = p.flows.iter().find(against)?;
    Some(format!("the one sends {from} into {to}, the other {to} into {from}"))
}

/// When requests were sent, by balancer.
fn demand(history: &History) -> BTreeMap<&str, Vec<u64>> {
    let mut demand: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in &history.records {
        if let What::Sent { to, .. } = &record.what {
            demand.entry(to).or_default().push(record.at_us);
        }
    }
    demand
}

/// A zone that is over its room by both plans together, and by neither if all acted by it.
fn over(
    facts: &Facts<'_>,
    held: &[Held<'_>],
    demand: &BTreeMap<&str, Vec<u64>>,
    (first, p): (u64, &Plan<'_>),
    (second, q): (u64, &Plan<'_>),
    (from, until): (u64, u64),
) -> Option<String> {
    let header = &facts.history.header;
    let seconds = (until - from) as f64 / 1e6;
    // By balancer: its requests a second, its zone, and whether it acted by the second plan for longer.
    let acting = |(balancer, zone): (&String, &String)| {
        let times = demand.get(balancer.as_str())?;
        let count = times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from);
        let time = |epoch: u64| {
            let own = held.iter().filter(|held| held.by == balancer && held.epoch == epoch);
            own.map(|held| held.until.min(until).saturating_sub(held.from.max(from))).sum::<u64>()
        };
        let (by_p, by_q) = (time(first), time(second));
        let second = if by_p.max(by_q) == 0 { None } else { Some(by_q > by_p) };
        Some((count as f64 / seconds, zone.clone(), second))
    };
    let acting: Vec<(f64, String, Option<bool>)> = header.balancers.iter().filter_map(acting).collect();
    let zones: BTreeSet<&str> = header.upstreams.values().map(|upstream| upstream.zone.as_str()).collect();
    for zone in zones {
        let room = facts.room_at(zone, from).min(facts.room_at(zone, until));
        let most = header.bounds.load_most * room;
        let sum = |of: &dyn Fn(&str, Option<bool>) -> f64| {
            acting.iter().map(|(rate, from, second)| rate * of(from, *second)).sum::<f64>()
        };
        let by_p = sum(&|from, _| p.share(from, zone));
        let by_q = sum(&|from, _| q.share(from, zone));
        let both = sum(&|from, second| match second {
            Some(true) => q.share(from, zone),
            Some(false) => p.share(from, zone),
            None => 0.0,
        });
        if room > 0.0 && both > most && by_p <= most && by_q <= most {
            return Some(format!(
                "together they send {both:.0} a second into {zone}, that has room for {room:.0}"
            ));
        }
    }
    None
}
