//! What is done to a tier, and when: a time line, from a file or drawn from a seed.

pub mod zones;

pub use zones::{ZoneFault, ZoneLine, ZoneTimed};

use crate::balancer::Keeps;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a balancer has of its directory when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum After {
    /// All of it.
    #[default]
    State,
    /// An older copy.
    Old,
    /// Nothing.
    Nothing,
}

impl From<After> for Keeps {
    fn from(after: After) -> Self {
        match after {
            After::State => Self::State,
            After::Old => Self::OldState,
            After::Nothing => Self::Nothing,
        }
    }
}

/// One fault. Balancers are numbered from 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// kill -9; back at the end of its time.
    Kill {
        /// Whom.
        balancers: Vec<usize>,
        /// With what they come back.
        #[serde(default)]
        after: After,
    },
    /// SIGTERM; back at the end of its time.
    Term {
        /// Whom.
        balancers: Vec<usize>,
        /// With what they come back.
        #[serde(default)]
        after: After,
    },
    /// SIGSTOP, and SIGCONT at the end.
    Stop {
        /// Whom.
        balancers: Vec<usize>,
    },
    /// Nothing passes from some to some.
    Cut {
        /// Whose words are lost.
        from: Vec<usize>,
        /// For whom.
        to: Vec<usize>,
        /// And back.
        #[serde(default)]
        both: bool,
    },
    /// All ways between balancers lose a share, and double a share.
    Loss {
        /// Lost.
        share: f64,
        /// Doubled.
        #[serde(default)]
        twice: f64,
    },
    /// All ways between balancers delay, each datagram by itself: they change their order.
    Delay {
        /// At least.
        least_ms: u64,
        /// At the most.
        most_ms: u64,
    },
    /// Connections between balancers pass so many bytes a second.
    Slow {
        /// How many.
        bytes_per_s: u64,
    },
    /// Connections from some to some are refused.
    Refuse {
        /// Who calls.
        from: Vec<usize>,
        /// Who is called.
        to: Vec<usize>,
    },
    /// All connections between balancers are reset, once.
    Reset,
    /// Some can't reach discovery.
    Undiscovered {
        /// Who.
        balancers: Vec<usize>,
    },
    /// The ways to an upstream are slow, and reset once.
    Upstream {
        /// Which, from 1.
        upstream: usize,
        /// How slow.
        delay_ms: u64,
    },
    /// The state directories of some can't be written, from their next start on.
    Unwritable {
        /// Whose.
        balancers: Vec<usize>,
    },
    /// The disks of some are full for what their state directories are to hold, from their next start on.
    Full {
        /// Whose.
        balancers: Vec<usize>,
    },
    /// Discovery says that an upstream drains, for good.
    Drain {
        /// Which, from 1.
        upstream: usize,
    },
}

impl Fault {
    /// Its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Kill { .. } => "kill -9",
            Self::Term { .. } => "SIGTERM",
            Self::Stop { .. } => "SIGSTOP",
            Self::Cut { both: true, .. } => "cut",
            Self::Cut { .. } => "one-way cut",
            Self::Loss { .. } => "loss",
            Self::Delay { .. } => "delay",
            Self::Slow { .. } => "slow links",
            Self::Refuse { .. } => "refusals",
            Self::Reset => "resets",
            Self::Undiscovered { .. } => "no discovery",
            Self::Upstream { .. } => "slow upstream",
            Self::Unwritable { .. } => "unwritable state",
            Self::Full { .. } => "full disk",
            Self::Drain { .. } => "drain",
        }
    }
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Timed {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A file with `[[fault]]`s.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Timed>,
}

impl Line {
    /// Reads one, for so many balancers and upstreams.
    pub fn read(text: &str, balancers: usize, upstreams: usize) -> Result<Self, String> {
        let line: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        for (n, timed) in line.faults.iter().enumerate() {
            let (some, upstream): (Vec<usize>, Option<usize>) = match &timed.fault {
                Fault::Kill { balancers, .. }
                | Fault::Term { balancers, .. }
                | Fault::Stop { balancers }
                | Fault::Undiscovered { balancers }
                | Fault::Unwritable { balancers }
                | Fault::Full { balancers } => (balancers.clone(), None),
                Fault::Cut { from, to, .. } | Fault::Refuse { from, to } => ([&from[..], to].concat(), None),
                Fault::Upstream { upstream, .. } | Fault::Drain { upstream } => (Vec::new(), Some(*upstream)),
                _ => (Vec::new(), None),
            };
            if let Some(wrong) = some.iter().find(|n| !(1..=balancers).contains(*n)) {
                return Err(format!("fault[{}]: there is no balancer {wrong}", n + 1));
            }
            if let Some(wrong) = upstream.filter(|n| !(1..=upstreams).contains(n)) {
                return Err(format!("fault[{}]: there is no upstream {wrong}", n + 1));
            }
        }
        Ok(line)
    }

    /// Draws one that ends within this time. The same seed draws the same.
    pub fn draw(seed: u64, balancers: usize, upstreams: usize, span: Duration) -> Self {
        let mut draw = fastrand::Rng::with_seed(seed);
        let end = span.as_millis() as u64;
        let mut at = 200;
        let mut faults = Vec::new();
        // Nobody is taken down twice at a time.
        let mut down_until = vec![0u64; balancers];
        let drain_at = draw.u64(end / 4..end * 3 / 4);
        faults.push(Timed {
            at_ms: drain_at,
            for_ms: 0,
            fault: Fault::Drain { upstream: draw.usize(1..=upstreams) },
        });
        while at + 600 < end {
            let for_ms = draw.u64(500..(end - at).clamp(501, 12_000));
            let all: Vec<usize> = (1..=balancers).collect();
            let some = |draw: &mut fastrand::Rng, most: f64| -> Vec<usize> {
                let share = draw.f64() * most;
                let chosen: Vec<usize> = all.iter().copied().filter(|_| draw.f64() < share).collect();
                if chosen.is_empty() { vec![draw.usize(1..=balancers)] } else { chosen }
            };
            let mut takes_down = |draw: &mut fastrand::Rng, most: f64| -> Vec<usize> {
                let mut chosen = some(draw, most);
                chosen.retain(|n| down_until[*n - 1] < at);
                chosen.iter().for_each(|n| down_until[*n - 1] = at + for_ms + 500);
                chosen
            };
            let after = [After::State, After::State, After::Old, After::Nothing][draw.usize(..4)];
            let fault = match draw.usize(..13) {
                0 | 1 => Fault::Kill { balancers: takes_down(&mut draw, 0.6), after },
                2 => Fault::Term { balancers: takes_down(&mut draw, 0.3), after },
                3 => Fault::Stop { balancers: takes_down(&mut draw, 0.4) },
                4 => {
                    let from = some(&mut draw, 0.8);
                    let to = all.iter().copied().filter(|n| !from.contains(n)).collect();
                    Fault::Cut { from, to, both: true }
                }
                5 => Fault::Cut { from: some(&mut draw, 0.6), to: some(&mut draw, 0.6), both: false },
                6 => Fault::Loss { share: draw.f64() * 0.3, twice: draw.f64() * 0.3 },
                7 => Fault::Delay { least_ms: 0, most_ms: draw.u64(5..300) },
                8 => Fault::Slow { bytes_per_s: draw.u64(500..20_000) },
                9 => Fault::Reset,
                10 => Fault::Undiscovered { balancers: some(&mut draw, 0.8) },
                11 => Fault::Full { balancers: some(&mut draw, 0.5) },
                _ if draw.bool() => {
                    Fault::Upstream { upstream: draw.usize(1..=upstreams), delay_ms: draw.u64(5..150) }
                }
                _ => Fault::Unwritable { balancers: some(&mut draw, 0.3) },
            };
            let nobody = match &fault {
                Fault::Kill { balancers, .. } | Fault::Term { balancers, .. } | Fault::Stop { balancers } => {
                    balancers.is_empty()
                }
                Fault::Cut { to, .. } => to.is_empty(),
                _ => false,
            };
            if !nobody {
                faults.push(Timed { at_ms: at, for_ms, fault });
            }
            at += draw.u64(300..3000);
        }
        faults.sort_by_key(|timed| timed.at_ms);
        Self { faults }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_draws_the_same_and_all_ends_in_time() {
        let span = Duration::from_secs(30);
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let line = Line::draw(seed, 8, 4, span);
            assert_eq!(line, Line::draw(seed, 8, 4, span));
            assert!(line.faults.iter().all(|timed| timed.at_ms + timed.for_ms <= 30_000));
            kinds.extend(line.faults.iter().map(|timed| timed.fault.kind()));
            let text = toml::to_string(&line).unwrap();
            assert_eq!(Line::read(&text, 8, 4), Ok(line), "a drawn one can be kept as a file");
        }
        assert_eq!(kinds.len(), 14, "{kinds:?}");
    }

    #[test]
    fn faults_of_nobody_are_named() {
        let text = "[[fault]]\nat_ms = 5\nkind = 'kill'\nbalancers = [3]\n";
        assert!(Line::read(text, 3, 1).is_ok());
        assert_eq!(Line::read(text, 2, 1), Err("fault[1]: there is no balancer 3".into()));
        assert!(Line::read("[[fault]]\nat_ms = 5\nkind = 'flood'\n", 2, 1).is_err());
    }
}
