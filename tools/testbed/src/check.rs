//! Checkers: what has to hold of a history, whatever the faults. Pure functions; each is shown to find a planted breach.

mod versions;

pub use versions::{Call, Did, linearizable, longest_contradiction};

use crate::history::{Entry, Got, Kind, What};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The times that are promised.
#[derive(Clone, Copy, Debug)]
pub struct Promised {
    /// A request's deadline, with what a client allows beside it.
    pub answer: Duration,
    /// From the end of all faults until all see one another.
    pub converge: Duration,
    /// For how long somebody who serves undisturbed may be believed dead by somebody who does so too.
    pub believed_dead: Duration,
    /// From discovery's word until nothing new is sent to a drained upstream, while no fault lasts.
    pub drain: Duration,
}

/// Something that was promised and not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// When it was seen.
    pub at: Duration,
    /// Which promise.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.at.as_secs_f64(), self.rule, self.seen)
    }
}

/// Everything that does not hold.
pub fn check(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let mut breaches = one_answer(history, promised);
    breaches.extend(no_effect_twice(history));
    breaches.extend(drains_kept(history, promised));
    breaches.extend(views_converge(history, promised));
    breaches.extend(nobody_alive_dead(history, promised));
    breaches.extend(incarnations_rise(history));
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

/// The spans in which each balancer did not serve.
fn downs(history: &[Entry]) -> BTreeMap<usize, Vec<(Duration, Duration)>> {
    let mut downs: BTreeMap<usize, Vec<(Duration, Duration)>> = BTreeMap::new();
    for Entry { at, what } in history {
        match what {
            What::Down { balancer } => {
                let spans = downs.entry(*balancer).or_default();
                if spans.last().is_none_or(|(_, until)| *until != Duration::MAX) {
                    spans.push((*at, Duration::MAX));
                }
            }
            What::Serves { balancer } => {
                if let Some((_, until)) = downs.entry(*balancer).or_default().last_mut()
                    && *until == Duration::MAX
                {
                    *until = *at;
                }
            }
            _ => {}
        }
    }
    downs
}

/// Every request ends with one answer, unless its balancer was taken down meanwhile.
pub fn one_answer(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let downs = downs(history);
    let mut open: BTreeMap<&str, (Duration, usize)> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut over = |at: Duration, seen: String| breaches.push(Breach { at, rule: "one final answer", seen });
    let disturbed = |balancer: usize, from: Duration, until: Duration| {
        downs.get(&balancer).is_some_and(|spans| spans.iter().any(|(a, b)| *a <= until && *b >= from))
    };
    let end = history.last().map_or(Duration::ZERO, |entry| entry.at);
    for Entry { at, what } in history {
        match what {
            What::Asked { id, balancer, .. } if open.insert(id, (*at, *balancer)).is_some() => {
                over(*at, format!("{id} was asked twice"));
            }
            What::Got { id, got } => {
                let Some((asked, balancer)) = open.remove(id.as_str()) else {
                    over(*at, format!("{id} got a second answer, {got:?}"));
                    continue;
                };
                let lost = match got {
                    Got::Status(_) => *at - asked > promised.answer,
                    Got::Twice => true,
                    Got::Broken | Got::Nothing => true,
                };
                if lost && (*got == Got::Twice || !disturbed(balancer, asked, *at)) {
                    over(*at, format!("{id} at balancer {balancer} got {got:?} after {:?}", *at - asked));
                }
            }
            _ => {}
        }
    }
    for (id, (asked, balancer)) in open {
        if end - asked > promised.answer && !disturbed(balancer, asked, end) {
            over(asked, format!("{id} at balancer {balancer} got nothing"));
        }
    }
    breaches
}

/// What must not run twice does not.
pub fn no_effect_twice(history: &[Entry]) -> Vec<Breach> {
    let kinds: BTreeMap<&str, Kind> = history
        .iter()
        .filter_map(|entry| match &entry.what {
            What::Asked { id, kind, .. } => Some((id.as_str(), *kind)),
            _ => None,
        })
        .collect();
    let twice = history.iter().filter_map(|Entry { at, what }| match what {
        What::Ran { id, times } if *times > 1 && kinds.get(id.as_str()) != Some(&Kind::Look) => {
            Some(Breach { at: *at, rule: "no effect twice", seen: format!("{id} ran {times} times") })
        }
        _ => None,
    });
    twice.collect()
}

/// Nothing new to an upstream that drains, once the word has had its time and faults are over.
pub fn drains_kept(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let mut drained: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut healed = None;
    let mut breaches = Vec::new();
    for Entry { at, what } in history {
        match what {
            What::Drains { upstream } => drop(drained.entry(*upstream).or_insert(*at)),
            What::Healed => healed = Some(*at),
            What::Attempt { id, upstream, balancer, .. } => {
                if let (Some(since), Some(healed)) = (drained.get(upstream), healed)
                    && *at > (*since).max(healed) + promised.drain
                {
                    let seen = format!("{id} came to upstream {upstream} from balancer {balancer:?}");
                    breaches.push(Breach { at: *at, rule: "drains kept", seen });
                }
            }
            _ => {}
        }
    }
    breaches
}

fn alive(view: &crate::balancer::View) -> BTreeMap<&str, u64> {
    let alive = view.members.iter().filter(|member| member.state == "alive" || member.state == "suspect");
    alive.map(|member| (member.name.as_str(), member.incarnation)).collect()
}

/// After the end of all faults, all see one another, each under its present start.
pub fn views_converge(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let Some(healed) = history.iter().find(|e| e.what == What::Healed).map(|e| e.at) else {
        return Vec::new();
    };
    let end = history.last().map_or(healed, |entry| entry.at);
    let early =
        if end < healed + promised.converge { ", and the history ends before the promised time" } else { "" };
    let mut last: BTreeMap<usize, &crate::balancer::View> = BTreeMap::new();
    for Entry { at, what } in history {
        if let What::Shows { balancer, view } = what
            && *at >= healed
        {
            last.insert(*balancer, view);
        }
    }
    let own: BTreeMap<String, u64> = last.iter().map(|(n, view)| (name(*n), view.incarnation)).collect();
    let serving: BTreeSet<usize> = history
        .iter()
        .filter_map(|entry| match entry.what {
            What::Serves { balancer } => Some(balancer),
            _ => None,
        })
        .collect();
    let mut breaches = Vec::new();
    for n in &serving {
        let Some(view) = last.get(n) else {
            let seen = format!("{} shows nothing", name(*n));
            breaches.push(Breach { at: end, rule: "views converge", seen });
            continue;
        };
        let sees = alive(view);
        let right: BTreeMap<&str, u64> = own.iter().map(|(name, start)| (name.as_str(), *start)).collect();
        if sees != right {
            let seen = format!("{} sees {sees:?}, there are {right:?}{early}", name(*n));
            breaches.push(Breach { at: end, rule: "views converge", seen });
        }
    }
    breaches
}

/// What the rig calls a balancer.
pub fn name(n: usize) -> String {
    format!("b{}", n + 1)
}

/// Nobody who serves undisturbed is believed dead for longer than is promised, by anybody who does so too.
pub fn nobody_alive_dead(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let Some(healed) = history.iter().find(|e| e.what == What::Healed).map(|e| e.at) else {
        return Vec::new();
    };
    let mut since: BTreeMap<(usize, String), Duration> = BTreeMap::new();
    let mut told = BTreeSet::new();
    let mut breaches = Vec::new();
    for Entry { at, what } in history.iter().filter(|entry| entry.at >= healed) {
        let What::Shows { balancer, view } = what else { continue };
        for member in &view.members {
            let key = (*balancer, member.name.clone());
            if member.state != "dead" && member.state != "left" {
                since.remove(&key);
                continue;
            }
            let first = *since.entry(key.clone()).or_insert(*at);
            if *at - first > promised.believed_dead && told.insert(key) {
                let seen = format!("{} holds {} to be {}", name(*balancer), member.name, member.state);
                breaches.push(Breach { at: *at, rule: "nobody alive is dead", seen });
            }
        }
    }
    breaches
}

/// A name's start only rises, in what one process shows.
pub fn incarnations_rise(history: &[Entry]) -> Vec<Breach> {
    let mut seen: BTreeMap<(usize, String), u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for Entry { at, what } in history {
        match what {
            // A new process knows nothing of what the one before it saw.
            What::Serves { balancer } => {
                seen.retain(|(of, name), _| of != balancer || *name == self::name(*of))
            }
            What::Shows { balancer, view } => {
                for member in &view.members {
                    let before = seen.entry((*balancer, member.name.clone())).or_default();
                    if member.incarnation < *before {
                        let seen = format!(
                            "{} showed {} at {} after {before}",
                            name(*balancer),
                            member.name,
                            member.incarnation
                        );
                        breaches.push(Breach { at: *at, rule: "incarnations rise", seen });
                    }
                    *before = member.incarnation;
                }
            }
            _ => {}
        }
    }
    breaches
}

#[cfg(test)]
mod tests;
