//! What goes wrong, and when: a time line, made from faults that are stated, drawn at random, or follow from others.

use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Faults of one name and kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Its name, by which others may follow it.
    pub name: String,
    /// When.
    pub when: When,
    /// How long it lasts.
    pub lasts: Duration,
    /// Over how long those that it hits are hit, one after another.
    pub spread: Duration,
    /// Whom it hits, of the upstreams (or of the balancers, where it hits those).
    pub whom: Whom,
    /// What it does.
    pub what: Harm,
}

/// When a fault happens.
#[derive(Clone, Debug, PartialEq)]
pub enum When {
    /// Once.
    At(Duration),
    /// Again and again, at random, so far apart on average.
    Every(Duration),
    /// So long after each fault of that name, with that probability.
    After(String, Duration, f64),
}

/// Whom a fault hits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Whom {
    /// Only those of this zone.
    pub zone: Option<u8>,
    /// Only those of this kind.
    pub kind: Option<u16>,
    /// Of these a share, drawn anew each time, one at least.
    pub share: Option<f64>,
    /// Of these so many at the most.
    pub count: Option<usize>,
    /// This one alone.
    pub number: Option<usize>,
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum Harm {
    /// The process ends, and is back cold when it is over.
    Crash,
    /// The machine vanishes without a word, and is back cold when it is over.
    Vanish,
    /// It stands still: nothing is done, nothing is refused.
    Pause,
    /// Work takes so many times as long.
    Slow(f64),
    /// This share of requests is answered with an error, at once.
    Errors(f64),
    /// It drains, then ends; a cold successor takes its place when it is over.
    Deploy,
    /// It is pushed to fail for a while, listed as drained, though it is well.
    Flap,
    /// No way from one zone to another; the way back may stand.
    Cut {
        /// From the balancers of this zone ...
        from: u8,
        /// ... to the upstreams of this one.
        to: u8,
        /// Only requests are lost (`false`: answers too).
        one_way: bool,
    },
    /// This share of messages has to be sent again by TCP.
    Loss(f64),
    /// Ways take so many times as long.
    Delay(f64),
    /// Nothing is heard of the list.
    DiscoveryOut,
    /// The list is empty: a registry that has forgotten all.
    DiscoveryEmpty,
    /// News of the list is later by so much.
    DiscoveryStale(Duration),
    /// Balancers die and are back with the list that they knew last.
    Restart,
}

impl Harm {
    /// Whether it hits each of some upstreams.
    pub fn is_upstreams(&self) -> bool {
        matches!(
            self,
            Self::Crash
                | Self::Vanish
                | Self::Pause
                | Self::Slow(_)
                | Self::Errors(_)
                | Self::Deploy
                | Self::Flap
        )
    }
}

/// One thing on the time line.
#[derive(Clone, Debug, PartialEq)]
pub struct Hit {
    /// When.
    pub at: Duration,
    /// Until.
    pub until: Duration,
    /// Which fault.
    pub fault: usize,
    /// The upstreams or balancers that it hits; empty for what has none.
    pub targets: Vec<usize>,
}

/// The most hits of one run.
const HITS_MOST: usize = 100_000;

/// Who may be hit: zone and kind of each.
pub(crate) type Candidates = [(u8, u16)];

/// Makes the time line of a run that lasts so long.
pub(crate) fn time_line(
    faults: &[Fault],
    lasts: Duration,
    upstreams: &Candidates,
    balancers: &Candidates,
    chance: &mut ChaCha8Rng,
) -> Vec<Hit> {
    let mut hits: Vec<Hit> = Vec::new();
    // Times of each fault, in order; those that follow others come after them in the file.
    let mut times: Vec<Vec<Duration>> = Vec::new();
    for (n, fault) in faults.iter().enumerate() {
        let mut at_times = Vec::new();
        match &fault.when {
            When::At(at) => at_times.push(*at),
            When::Every(mean) => {
                let mut at = Duration::ZERO;
                while hits.len() + at_times.len() < HITS_MOST {
                    at += crate::time::Time::Exponential(*mean).draw(chance).max(Duration::from_millis(1));
                    if at >= lasts {
                        break;
                    }
                    at_times.push(at);
                }
            }
            When::After(name, wait, probability) => {
                let earlier = faults[..n].iter().position(|f| f.name == *name);
                for at in earlier.map(|e| times[e].clone()).unwrap_or_default() {
                    if chance.random::<f64>() < *probability {
                        at_times.push(at + *wait);
                    }
                }
            }
        }
        for at in &at_times {
            let candidates = if fault.what == Harm::Restart { balancers } else { upstreams };
            let mut targets = Vec::new();
            if fault.what.is_upstreams() || fault.what == Harm::Restart {
                targets = fault.whom.of(candidates, chance);
            }
            if fault.spread.is_zero() || targets.len() < 2 {
                hits.push(Hit { at: *at, until: *at + fault.lasts, fault: n, targets });
                continue;
            }
            let step = fault.spread / (targets.len() - 1) as u32;
            for (k, target) in targets.into_iter().enumerate() {
                let at = *at + step * k as u32;
                hits.push(Hit { at, until: at + fault.lasts, fault: n, targets: vec![target] });
            }
        }
        times.push(at_times);
    }
    hits.truncate(HITS_MOST);
    hits.sort_by_key(|hit| (hit.at, hit.fault));
    hits
}

impl Whom {
    fn of(&self, candidates: &Candidates, chance: &mut ChaCha8Rng) -> Vec<usize> {
        if let Some(number) = self.number {
            return if number < candidates.len() { vec![number] } else { Vec::new() };
        }
        let fits = |(zone, kind): &(u8, u16)| {
            self.zone.is_none_or(|z| z == *zone) && self.kind.is_none_or(|k| k == *kind)
        };
        let all = candidates.iter().enumerate().filter(|(_, c)| fits(c));
        let mut all: Vec<usize> = all.map(|(n, _)| n).collect();
        if self.share.is_some() || self.count.is_some() {
            all.shuffle(chance);
            let share = self.share.map_or(all.len(), |s| ((all.len() as f64 * s).round() as usize).max(1));
            all.truncate(share.min(self.count.unwrap_or(usize::MAX)));
        }
        all
    }
}
