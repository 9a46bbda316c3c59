//! Faults by zone, and storms of them drawn from a seed.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// One fault. Zones go by their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ZoneFault {
    /// The upstreams of zones refuse, and their connections are reset.
    Lost {
        /// Which.
        zones: Vec<String>,
    },
    /// They take requests and answer nothing.
    Hanging {
        /// Which.
        zones: Vec<String>,
    },
    /// All their work takes so many times as long.
    Slow {
        /// Which.
        zones: Vec<String>,
        /// How many times.
        times: f64,
    },
    /// So large a share of what they take ends in an error.
    Failing {
        /// Which.
        zones: Vec<String>,
        /// The share.
        share: f64,
    },
    /// Nothing passes between some zones and others; each is fine in itself. With `both` false only what the first say is lost.
    Cut {
        /// Some.
        from: Vec<String>,
        /// Others.
        to: Vec<String>,
        /// And back.
        both: bool,
    },
    /// Two sides see one another only through one zone, which sees both.
    Bridge {
        /// That zone.
        through: String,
        /// One side; the other is all the rest.
        side: Vec<String>,
    },
    /// Lost and back, each for half of a period.
    Flapping {
        /// Which.
        zones: Vec<String>,
        /// The period.
        period_ms: u64,
    },
    /// All zones are slow at once: a shared cause.
    AllAtOnce {
        /// How many times.
        times: f64,
    },
    /// The balancers of zones get kill -9, and are back at the end.
    Killed {
        /// Which.
        zones: Vec<String>,
    },
    /// The balancers of zones get SIGSTOP, and SIGCONT at the end.
    Stopped {
        /// Which.
        zones: Vec<String>,
    },
    /// Zones are lost, and whoever leads is killed a moment later; back at the end.
    LeaderKilled {
        /// Which zones.
        zones: Vec<String>,
        /// How long after.
        after_ms: u64,
    },
    /// One balancer reaches no upstream outside of its zone, nor does it speak with others; all is well but its own network.
    Blind {
        /// Which, from 1.
        balancer: usize,
    },
    /// What balancers say to one another comes late.
    Late {
        /// By how much at the most.
        most_ms: u64,
    },
    /// Routers lose polls, and answers are held back from them.
    Routers {
        /// Share of polls.
        lost: f64,
        /// For how long.
        held_back_ms: u64,
    },
}

impl ZoneFault {
    /// Its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Lost { .. } => "zone lost",
            Self::Hanging { .. } => "zone hanging",
            Self::Slow { .. } => "zone slow",
            Self::Failing { .. } => "zone failing",
            Self::Cut { both: true, .. } => "zone cut",
            Self::Cut { .. } => "one-way cut",
            Self::Bridge { .. } => "bridge",
            Self::Flapping { .. } => "zone flapping",
            Self::AllAtOnce { .. } => "all at once",
            Self::Killed { .. } => "balancers killed",
            Self::Stopped { .. } => "balancers stopped",
            Self::LeaderKilled { .. } => "lost, leader killed",
            Self::Blind { .. } => "balancer blind",
            Self::Late { .. } => "late words",
            Self::Routers { .. } => "routers ill",
        }
    }

    /// The zones that nothing should go into while it lasts, seen from everywhere.
    pub fn gone(&self) -> &[String] {
        match self {
            Self::Lost { zones } | Self::Hanging { zones } | Self::LeaderKilled { zones, .. } => zones,
            _ => &[],
        }
    }

    /// The zones whose balancers are out of touch with some while it lasts.
    pub fn out_of_touch(&self) -> Vec<String> {
        match self {
            Self::Cut { from, to, .. } if from.len() <= to.len() => from.clone(),
            Self::Cut { to, .. } => to.clone(),
            Self::Bridge { side, .. } => side.clone(),
            Self::Killed { zones } | Self::Stopped { zones } => zones.clone(),
            _ => Vec::new(),
        }
    }
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneTimed {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What.
    #[serde(flatten)]
    pub fault: ZoneFault,
}

/// From when on zones ask for how much: shares of their rooms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// By zone.
    pub shares: Vec<f64>,
}

/// A storm over zones: when what is asked for, and what fails.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneLine {
    /// How long it is.
    pub span_ms: u64,
    /// What zones ask for.
    #[serde(default)]
    pub demand: Vec<Demand>,
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<ZoneTimed>,
}

/// How long all is calm at first, and between two faults.
const CALM_MS: u64 = 8_000;

impl ZoneLine {
    /// Draws so many faults, one after the other, over zones by region. The same seed draws the same.
    pub fn draw(seed: u64, regions: &BTreeMap<String, Vec<String>>, faults: usize) -> Self {
        let mut draw = fastrand::Rng::with_seed(seed);
        let zones: Vec<String> = regions.values().flatten().cloned().collect();
        let mut line = Self::default();
        let mut shares: Vec<f64> = zones.iter().map(|_| 0.3 + 0.3 * draw.f64()).collect();
        line.demand.push(Demand { at_ms: 0, shares: shares.clone() });
        let mut at = CALM_MS;
        for _ in 0..faults {
            let for_ms = draw.u64(8_000..14_000);
            let fault = Self::one(&mut draw, regions, &zones);
            line.faults.push(ZoneTimed { at_ms: at, for_ms, fault });
            // A step of one zone's demand, in the midst of a fault as often as not.
            let step = at + draw.u64(0..for_ms * 2);
            let zone = draw.usize(..zones.len());
            shares[zone] = 0.3 + 0.4 * draw.f64();
            line.demand.push(Demand { at_ms: step, shares: shares.clone() });
            at += for_ms + CALM_MS;
        }
        line.demand.sort_by_key(|demand| demand.at_ms);
        line.span_ms = at;
        line
    }

    fn one(draw: &mut fastrand::Rng, regions: &BTreeMap<String, Vec<String>>, zones: &[String]) -> ZoneFault {
        let zone = |draw: &mut fastrand::Rng| vec![zones[draw.usize(..zones.len())].clone()];
        let region = |draw: &mut fastrand::Rng| {
            let of: Vec<&Vec<String>> = regions.values().collect();
            of[draw.usize(..of.len())].clone()
        };
        let rest = |of: &[String]| zones.iter().filter(|z| !of.contains(z)).cloned().collect::<Vec<_>>();
        match draw.usize(..16) {
            0 => ZoneFault::Lost { zones: zone(draw) },
            1 => ZoneFault::Lost { zones: region(draw) },
            2 => ZoneFault::Hanging { zones: zone(draw) },
            3 => ZoneFault::Slow { zones: zone(draw), times: 2.0 + 8.0 * draw.f64() },
            4 => ZoneFault::Failing { zones: zone(draw), share: 0.3 + 0.7 * draw.f64() },
            5 => {
                let from = zone(draw);
                let to = rest(&from);
                ZoneFault::Cut { from, to, both: true }
            }
            6 => {
                // Fine in itself, out of reach from another region alone.
                let from = zone(draw);
                let other = regions.values().find(|of| !of.contains(&from[0])).cloned();
                ZoneFault::Cut { to: other.unwrap_or_else(|| rest(&from)), from, both: true }
            }
            7 => {
                let from = zone(draw);
                let to = rest(&from);
                ZoneFault::Cut { from, to, both: false }
            }
            8 => {
                let through = zone(draw).remove(0);
                let others = rest(std::slice::from_ref(&through));
                let side = others[..others.len().div_ceil(2)].to_vec();
                ZoneFault::Bridge { through, side }
            }
            9 => ZoneFault::Flapping { zones: zone(draw), period_ms: [2_000, 10_000][draw.usize(..2)] },
            10 => ZoneFault::AllAtOnce { times: 3.0 + 5.0 * draw.f64() },
            13 => ZoneFault::Blind { balancer: draw.usize(1..=zones.len()) },
            14 => ZoneFault::Late { most_ms: draw.u64(500..5_000) },
            15 => ZoneFault::Routers { lost: 0.2 + 0.6 * draw.f64(), held_back_ms: draw.u64(0..3_000) },
            11 if draw.bool() => ZoneFault::Killed { zones: zone(draw) },
            11 => ZoneFault::Stopped { zones: zone(draw) },
            _ => ZoneFault::LeaderKilled { zones: zone(draw), after_ms: draw.u64(0..3_000) },
        }
    }

    /// How long it is.
    pub fn span(&self) -> Duration {
        Duration::from_millis(self.span_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn regions() -> BTreeMap<String, Vec<String>> {
        let zones = |names: [&str; 2]| names.map(str::to_owned).to_vec();
        [("north".into(), zones(["a", "b"])), ("south".into(), zones(["c", "d"]))].into()
    }

    #[test]
    fn the_same_seed_draws_the_same_and_all_kinds_are_drawn() {
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let line = ZoneLine::draw(seed, &regions(), 3);
            assert_eq!(line, ZoneLine::draw(seed, &regions(), 3));
            kinds.extend(line.faults.iter().map(|timed| timed.fault.kind()));
            let text = toml::to_string(&line).unwrap();
            assert_eq!(toml::from_str::<ZoneLine>(&text).as_ref(), Ok(&line), "it can be kept as a file");
            assert!(line.faults.windows(2).all(|two| two[0].at_ms + two[0].for_ms < two[1].at_ms));
            assert!(line.faults.iter().all(|timed| timed.at_ms + timed.for_ms < line.span_ms));
            for ZoneTimed { fault, .. } in &line.faults {
                if let ZoneFault::Cut { from, to, .. } = fault {
                    assert!(!to.is_empty() && from.iter().all(|zone| !to.contains(zone)), "{fault:?}");
                }
            }
        }
        assert_eq!(kinds.len(), 15, "{kinds:?}");
    }
}
