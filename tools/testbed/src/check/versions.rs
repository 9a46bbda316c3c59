//! What has to hold of versions: no contradictions for long, and one order.

use super::{Breach, name};
use crate::history::{Entry, What};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The versions within whose rules whoever bears this label stays; `None`: it is careful, and within all.
fn keeps(label: &str) -> Option<Vec<u64>> {
    let (numbers, careful) = label.split_once(';').map_or((label, false), |(numbers, _)| (numbers, true));
    (!careful && numbers != "0")
        .then(|| numbers.split('-').filter_map(|number| number.parse().ok()).collect())
}

/// The longest time for which two balancers acted on rules that contradict each other, as upstreams saw it from first
/// attempts; a request's later ones are bound by what came meanwhile, whatever it is labelled.
pub fn longest_contradiction(history: &[Entry]) -> (Duration, String) {
    let mut first: BTreeSet<&str> = BTreeSet::new();
    // Spans in which a balancer bore a label, the last of each still open.
    let mut spans: BTreeMap<usize, Vec<(Duration, Duration, &str)>> = BTreeMap::new();
    for Entry { at, what } in history {
        let What::Attempt { id, balancer: Some(balancer), version: Some(version), .. } = what else {
            continue;
        };
        if !first.insert(id) {
            continue;
        }
        let of = spans.entry(*balancer).or_default();
        match of.last_mut() {
            Some((_, until, label)) if label == version => *until = *at,
            _ => of.push((*at, *at, version)),
        }
    }
    let mut longest = (Duration::ZERO, String::new());
    for (a, of_a) in &spans {
        for (b, of_b) in spans.range(a + 1..) {
            for (from, until, label) in of_a {
                for (from_b, until_b, label_b) in of_b {
                    let (Some(ours), Some(theirs)) = (keeps(label), keeps(label_b)) else { continue };
                    if ours.iter().any(|number| theirs.contains(number)) {
                        continue;
                    }
                    let both = (*until.min(until_b)).saturating_sub(*from.max(from_b));
                    if both > longest.0 {
                        let from = (*from).max(*from_b);
                        longest = (
                            both,
                            format!("{} on {label} and {} on {label_b} from {from:?}", name(*a), name(*b)),
                        );
                    }
                }
            }
        }
    }
    longest
}

/// A call that somebody made of the agreement, and what came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// When it was made.
    pub from: Duration,
    /// When its answer came.
    pub to: Duration,
    /// What it came to.
    pub did: Did,
}

/// What a call of the agreement came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Did {
    /// This text became this version.
    Proposed {
        /// The version.
        version: u64,
        /// The text, by its mark.
        mark: String,
    },
    /// The answer is not known: it became a version, or will, or not.
    Unknown {
        /// The text, by its mark.
        mark: String,
    },
    /// The epoch that was agreed, and the newest version of its step.
    Saw {
        /// The epoch.
        epoch: u64,
        /// The newest version.
        newest: u64,
    },
}

/// Whether calls took effect one after the other, each at a moment between its beginning and its end (linearizability, Herlihy
/// and Wing 1990). Versions and epochs only rise, so that it is enough to look at each pair of which one had ended when the
/// other began, and at where each version that was seen came from.
pub fn linearizable(calls: &[Call]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut over =
        |at: Duration, seen: String| breaches.push(Breach { at, rule: "one order of versions", seen });
    let mut marks: BTreeMap<u64, &str> = BTreeMap::new();
    for call in calls {
        if let Did::Proposed { version, mark } = &call.did
            && marks.insert(*version, mark).is_some_and(|before| before != mark)
        {
            over(call.to, format!("version {version} is two texts, {mark} among them"));
        }
    }
    // By their ends: what is the most that has been seen when another one begins?
    let mut ends: Vec<&Call> = calls.iter().collect();
    ends.sort_by_key(|call| call.to);
    let mut begins = ends.clone();
    begins.sort_by_key(|call| call.from);
    let mut ended = ends.iter().peekable();
    let (mut epoch_seen, mut version_seen) = (0, 0);
    for call in begins {
        while let Some(before) = ended.next_if(|before| before.to < call.from) {
            match &before.did {
                Did::Proposed { version, .. } => version_seen = version_seen.max(*version),
                Did::Saw { epoch, newest } => {
                    (epoch_seen, version_seen) = (epoch_seen.max(*epoch), version_seen.max(*newest));
                }
                Did::Unknown { .. } => {}
            }
        }
        match &call.did {
            Did::Proposed { version, mark } if *version <= version_seen => {
                over(
                    call.to,
                    format!("{mark} became version {version} after version {version_seen} was seen"),
                );
            }
            Did::Saw { epoch, newest } if *epoch < epoch_seen || *newest < version_seen => over(
                call.to,
                format!("epoch {epoch}, version {newest} after epoch {epoch_seen}, version {version_seen}"),
            ),
            _ => {}
        }
    }
    for call in calls {
        let Did::Saw { newest, .. } = call.did else { continue };
        // The first one is nobody's proposal.
        let possible = newest <= 1
            || calls.iter().any(|other| match &other.did {
                Did::Proposed { version, .. } => *version == newest && other.from <= call.to,
                Did::Unknown { .. } => other.from <= call.to,
                Did::Saw { .. } => false,
            });
        if !possible {
            over(call.to, format!("version {newest} was seen before anybody proposed it"));
        }
    }
    breaches
}
