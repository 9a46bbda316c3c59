//! Round trips between zones as their balancers measure them, and the table that all go by.
//!
//! Each balancer says what the way to some of its peers took; whoever leads knows where each of them stands. The word of one is,
//! for each zone that it sees, the median over its peers there, so that one bad link does not count; the word of a zone the median
//! over its balancers. A way has two ends, and both measure all of it: the figure moves only as far as **both** zones say, so that no
//! balancer, and no zone whole, can move it alone. And it moves only by what is more than [`DIFFERENCE`] and [`PART`] of it, for
//! [`KEPT`]: steps of rules do not follow a jitter. Without word from both ends it stays as it is.

use maplehook_locality::{Topology, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most peers in one balancer's word.
pub const MAX_PEERS: usize = 16;
/// By how much, and by what part of it, a way has to differ from the table.
pub const MIN_DIFFERENCE: Duration = Duration::from_millis(1);
/// See [`DIFFERENCE`].
pub const MIN_RELATIVE_DIFFERENCE: f64 = 0.25;
/// For how long it has to.
pub const HOLD_TIME: Duration = Duration::from_secs(5);
/// The longest way that is taken for one.
pub const MAX_RTT: Duration = Duration::from_secs(10);
/// After this a balancer's word is no longer counted.
const FRESH: Duration = Duration::from_secs(15);
/// Balancers whose word is kept.
const HEARD_MOST: usize = 4096;
/// The least time between two looks, and the longest after which what has lasted goes on lasting.
const LOOK: Duration = Duration::from_millis(500);
const LOOK_MOST: Duration = Duration::from_secs(3);

/// What a balancer measured of the way to another one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerRtt {
    /// FNV-1a of the other one's name.
    pub peer: u64,
    /// There and back, in milliseconds.
    pub ms: f32,
}

/// The way between two zones, by their places in [`Measured::zones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRtt {
    /// The one that stands first.
    pub a: u16,
    /// The other one.
    pub b: u16,
    /// There and back, in microseconds.
    pub us: u32,
}

/// What is agreed on of ways: no more than some 10 KiB for 64 zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RttTable {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Ways, each once, in order.
    #[serde(rename = "trips")]
    pub rtts: Vec<ZoneRtt>,
}

impl RttTable {
    /// Whether it is one: ways in order, between two zones that it names, none longer than [`LONGEST`].
    pub fn is_sound(&self) -> bool {
        let fine = |trip: &ZoneRtt| {
            trip.a < trip.b
                && usize::from(trip.b) < self.zones.len()
                && u128::from(trip.us) <= MAX_RTT.as_micros()
        };
        self.rtts.iter().all(fine) && self.rtts.is_sorted_by(|x, y| (x.a, x.b) < (y.a, y.b))
    }

    /// As this topology counts; what it does not know is left out.
    pub fn resolve<'a>(
        &'a self,
        topology: &'a Topology,
    ) -> impl Iterator<Item = (Zone, Zone, Duration)> + 'a {
        let zone = |n: u16| self.zones.get(usize::from(n)).and_then(|name| topology.zone(name));
        self.rtts.iter().filter_map(move |trip| {
            let (a, b) = (zone(trip.a)?, zone(trip.b)?);
            Some((a.min(b), a.max(b), Duration::from_micros(trip.us.into())))
        })
    }
}

/// A difference that is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Moving {
    since: Duration,
    longer: bool,
    /// Of all that was said since, what is nearest to the table.
    to: Duration,
}

/// The leader's part: words in, tables out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RttEstimator {
    heard: BTreeMap<String, (Duration, Vec<PeerRtt>)>,
    table: BTreeMap<(Zone, Zone), Duration>,
    moving: BTreeMap<(Zone, Zone), Moving>,
    looked: Duration,
}

/// The lower one of two in the middle: what is too long is more often wrong than what is too short.
fn median(mut of: Vec<Duration>) -> Option<Duration> {
    of.sort_unstable();
    of.get(of.len().saturating_sub(1) / 2).copied()
}

/// Whether a way differs from the table; one that it lacks differs from all.
fn differs(stands: Option<Duration>, said: Duration) -> bool {
    stands.is_none_or(|stands| {
        said.abs_diff(stands) > MIN_DIFFERENCE.max(stands.mul_f64(MIN_RELATIVE_DIFFERENCE))
    })
}

impl RttEstimator {
    /// Goes on from what was agreed.
    pub fn new(before: &RttTable, topology: &Topology) -> Self {
        let table = before.resolve(topology).map(|(a, b, took)| ((a, b), took)).collect();
        Self { table, ..Self::default() }
    }

    /// What a balancer measured; what is no time is left out. Its word before is forgotten.
    pub fn record(&mut self, now: Duration, from: &str, ways: &[PeerRtt]) {
        if self.heard.len() >= HEARD_MOST && !self.heard.contains_key(from) {
            return;
        }
        let fine = |way: &&PeerRtt| {
            way.ms.is_finite() && way.ms >= 0.0 && f64::from(way.ms) <= MAX_RTT.as_secs_f64() * 1e3
        };
        let ways = ways.iter().take(MAX_PEERS).filter(fine).copied().collect();
        self.heard.insert(from.to_owned(), (now, ways));
    }

    /// What each zone says of its way to each other one: the median over its balancers.
    fn said(
        &self,
        zone_of: impl Fn(&str) -> Option<Zone>,
        by_digest: &BTreeMap<u64, Zone>,
    ) -> BTreeMap<(Zone, Zone), Duration> {
        let mut said: BTreeMap<(Zone, Zone), Vec<Duration>> = BTreeMap::new();
        for (from, (_, ways)) in &self.heard {
            let Some(own) = zone_of(from) else { continue };
            let mut seen: BTreeMap<Zone, Vec<Duration>> = BTreeMap::new();
            for way in ways {
                if let Some(zone) = by_digest.get(&way.peer).filter(|zone| **zone != own) {
                    seen.entry(*zone)
                        .or_default()
                        .push(Duration::from_micros((f64::from(way.ms) * 1e3).round() as u64));
                }
            }
            for (zone, took) in seen {
                said.entry((own, zone)).or_default().extend(median(took));
            }
        }
        said.into_iter().filter_map(|(way, took)| Some((way, median(took)?))).collect()
    }

    /// Looks at what was said; says whether the table has moved. `zone_of`: where balancers stand, by name and by the digest of it.
    pub fn tick(
        &mut self,
        now: Duration,
        zone_of: impl Fn(&str) -> Option<Zone>,
        by_digest: &BTreeMap<u64, Zone>,
    ) -> bool {
        let passed = now.saturating_sub(self.looked);
        if passed < LOOK {
            return false;
        }
        self.looked = now;
        if passed > LOOK_MOST {
            // Stopped and woken: nobody knows what was between.
            self.moving.clear();
        }
        self.heard.retain(|_, (at, _)| now.saturating_sub(*at) < FRESH);
        let said = self.said(zone_of, by_digest);
        let before = std::mem::take(&mut self.moving);
        let mut moved = false;
        for ((a, b), there) in said.iter().filter(|((a, b), _)| a < b) {
            let Some(back) = said.get(&(*b, *a)) else { continue };
            let stands = self.table.get(&(*a, *b)).copied();
            // Of both ends' words that which moves it least; a way that is not known is as one without an end.
            let longer = stands.is_some_and(|stands| *there.min(back) > stands);
            let to = if longer { *there.min(back) } else { *there.max(back) };
            if !differs(stands, to) || (!longer && stands.is_some_and(|stands| to > stands)) {
                continue;
            }
            let moving = match before.get(&(*a, *b)).filter(|moving| moving.longer == longer) {
                Some(moving) => {
                    let to = if longer { to.min(moving.to) } else { to.max(moving.to) };
                    Moving { to, ..*moving }
                }
                None => Moving { since: now, longer, to },
            };
            if now.saturating_sub(moving.since) >= HOLD_TIME {
                self.table.insert((*a, *b), moving.to);
                moved = true;
            } else {
                self.moving.insert((*a, *b), moving);
            }
        }
        moved
    }

    /// The table, as it is agreed on.
    pub fn table(&self, topology: &Topology) -> RttTable {
        if self.table.is_empty() {
            return RttTable::default();
        }
        let trip = |((a, b), took): (&(Zone, Zone), &Duration)| ZoneRtt {
            a: a.0,
            b: b.0,
            us: took.min(&MAX_RTT).as_micros() as u32,
        };
        let zones = topology.zones().map(|zone| topology.zone_name(zone).to_owned());
        RttTable { zones: zones.collect(), rtts: self.table.iter().map(trip).collect() }
    }
}
