//! Round-trip times between zones, as measured by balancers, and the agreed table.
//!
//! Each balancer reports its round-trip times to some of its peers. The value of a balancer for another zone
//! is the median over its peers there, so that one bad link does not matter; the value of a zone is the
//! median over its balancers. Both ends of a path measure the same round trip. The table changes only as far
//! as **both** zones agree, so that neither a balancer nor a complete zone can change it alone. A change must
//! exceed both [`MIN_DIFFERENCE`] and [`MIN_RELATIVE_DIFFERENCE`] for [`HOLD_TIME`], so that jitter doesn't
//! reorder the steps of rules. Without measurements from both ends, an entry stays unchanged.

use maplehook_locality::{Topology, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of peers in one balancer's measurements.
pub const MAX_PEERS: usize = 16;
/// Minimum difference from the table that counts as a change.
pub const MIN_DIFFERENCE: Duration = Duration::from_millis(1);
/// Minimum difference relative to the table entry that counts as a change.
pub const MIN_RELATIVE_DIFFERENCE: f64 = 0.25;
/// Time for which a difference has to last before the table changes.
pub const HOLD_TIME: Duration = Duration::from_secs(5);
/// Longest round-trip time that is accepted.
pub const MAX_RTT: Duration = Duration::from_secs(10);
/// Age from which the measurements of a balancer are ignored.
const MEASUREMENT_EXPIRY: Duration = Duration::from_secs(15);
/// Maximum number of balancers whose measurements are stored.
const MAX_BALANCERS: usize = 4096;
/// Minimum time between two evaluations, and the longest pause after which pending changes continue.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_TICK_GAP: Duration = Duration::from_secs(3);

/// Round-trip time from one balancer to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerRtt {
    /// FNV-1a hash of the peer's name.
    pub peer: u64,
    /// Round-trip time in milliseconds.
    pub ms: f32,
}

/// Round-trip time between two zones, given as indexes into [`RttTable::zones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRtt {
    /// Index of the first zone; less than `b`.
    pub a: u16,
    /// Index of the second zone.
    pub b: u16,
    /// Round-trip time in microseconds.
    pub us: u32,
}

/// Agreed round-trip times; about 10 KiB at most for 64 zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RttTable {
    /// Zone names that the indexes refer to.
    pub zones: Vec<String>,
    /// Entries sorted by `a` and `b`, at most one per pair.
    #[serde(rename = "trips")]
    pub rtts: Vec<ZoneRtt>,
}

impl RttTable {
    /// Returns true if the entries are sorted, refer to known zones and do not exceed [`MAX_RTT`].
    pub fn is_sound(&self) -> bool {
        let is_plausible = |entry: &ZoneRtt| {
            entry.a < entry.b
                && usize::from(entry.b) < self.zones.len()
                && u128::from(entry.us) <= MAX_RTT.as_micros()
        };
        self.rtts.iter().all(is_plausible) && self.rtts.is_sorted_by(|x, y| (x.a, x.b) < (y.a, y.b))
    }

    /// Maps the entries to the zones of this topology; unknown zones are skipped.
    pub fn resolve<'a>(
        &'a self,
        topology: &'a Topology,
    ) -> impl Iterator<Item = (Zone, Zone, Duration)> + 'a {
        let zone = |n: u16| self.zones.get(usize::from(n)).and_then(|name| topology.zone(name));
        self.rtts.iter().filter_map(move |entry| {
            let (a, b) = (zone(entry.a)?, zone(entry.b)?);
            Some((a.min(b), a.max(b), Duration::from_micros(entry.us.into())))
        })
    }
}

/// A change of a table entry that has not lasted for [`HOLD_TIME`] yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingChange {
    since: Duration,
    is_increase: bool,
    /// Value nearest to the current entry since the change began.
    value: Duration,
}

/// The leader's state: collects measurements and maintains the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RttEstimator {
    measurements: BTreeMap<String, (Duration, Vec<PeerRtt>)>,
    table: BTreeMap<(Zone, Zone), Duration>,
    pending: BTreeMap<(Zone, Zone), PendingChange>,
    last_tick: Duration,
}

/// Returns the median; the lower of the two middle values, since measurements err towards long times.
fn median(mut values: Vec<Duration>) -> Option<Duration> {
    values.sort_unstable();
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// Returns true if a value differs enough from the table entry, or if there is no entry.
fn differs(current: Option<Duration>, value: Duration) -> bool {
    current.is_none_or(|current| {
        value.abs_diff(current) > MIN_DIFFERENCE.max(current.mul_f64(MIN_RELATIVE_DIFFERENCE))
    })
}

impl RttEstimator {
    /// Creates the state from the agreed table.
    pub fn new(previous: &RttTable, topology: &Topology) -> Self {
        let table = previous.resolve(topology).map(|(a, b, rtt)| ((a, b), rtt)).collect();
        Self { table, ..Self::default() }
    }

    /// Replaces the measurements of a balancer. Implausible times are skipped.
    pub fn record(&mut self, now: Duration, from: &str, measurements: &[PeerRtt]) {
        if self.measurements.len() >= MAX_BALANCERS && !self.measurements.contains_key(from) {
            return;
        }
        let is_plausible = |measurement: &&PeerRtt| {
            measurement.ms.is_finite()
                && measurement.ms >= 0.0
                && f64::from(measurement.ms) <= MAX_RTT.as_secs_f64() * 1e3
        };
        let measurements = measurements.iter().take(MAX_PEERS).filter(is_plausible).copied().collect();
        self.measurements.insert(from.to_owned(), (now, measurements));
    }

    /// Returns the round-trip time from each zone to each other zone: the median over the zone's balancers.
    fn zone_medians(
        &self,
        zone_of: impl Fn(&str) -> Option<Zone>,
        by_digest: &BTreeMap<u64, Zone>,
    ) -> BTreeMap<(Zone, Zone), Duration> {
        let mut zone_medians: BTreeMap<(Zone, Zone), Vec<Duration>> = BTreeMap::new();
        for (from, (_, measurements)) in &self.measurements {
            let Some(own_zone) = zone_of(from) else { continue };
            let mut by_zone: BTreeMap<Zone, Vec<Duration>> = BTreeMap::new();
            for measurement in measurements {
                if let Some(zone) = by_digest.get(&measurement.peer).filter(|zone| **zone != own_zone) {
                    by_zone
                        .entry(*zone)
                        .or_default()
                        .push(Duration::from_micros((f64::from(measurement.ms) * 1e3).round() as u64));
                }
            }
            for (zone, rtt) in by_zone {
                zone_medians.entry((own_zone, zone)).or_default().extend(median(rtt));
            }
        }
        zone_medians.into_iter().filter_map(|(pair, rtt)| Some((pair, median(rtt)?))).collect()
    }

    /// Evaluates the measurements. Returns true if the table changed. `zone_of` maps balancer names to zones,
    /// `by_digest` the hashes of names.
    pub fn tick(
        &mut self,
        now: Duration,
        zone_of: impl Fn(&str) -> Option<Zone>,
        by_digest: &BTreeMap<u64, Zone>,
    ) -> bool {
        let elapsed = now.saturating_sub(self.last_tick);
        if elapsed < TICK_INTERVAL {
            return false;
        }
        self.last_tick = now;
        if elapsed > MAX_TICK_GAP {
            // After a pause of the process, the time in between is unknown.
            self.pending.clear();
        }
        self.measurements.retain(|_, (at, _)| now.saturating_sub(*at) < MEASUREMENT_EXPIRY);
        let zone_medians = self.zone_medians(zone_of, by_digest);
        let previous = std::mem::take(&mut self.pending);
        let mut changed = false;
        for ((a, b), forward) in zone_medians.iter().filter(|((a, b), _)| a < b) {
            let Some(backward) = zone_medians.get(&(*b, *a)) else { continue };
            let current = self.table.get(&(*a, *b)).copied();
            // Uses the end whose value changes the entry least. A missing entry counts as infinitely long.
            let is_increase = current.is_some_and(|current| *forward.min(backward) > current);
            let value = if is_increase { *forward.min(backward) } else { *forward.max(backward) };
            if !differs(current, value) || (!is_increase && current.is_some_and(|current| value > current)) {
                continue;
            }
            let pending = match previous.get(&(*a, *b)).filter(|pending| pending.is_increase == is_increase) {
                Some(pending) => {
                    let value = if is_increase { value.min(pending.value) } else { value.max(pending.value) };
                    PendingChange { value, ..*pending }
                }
                None => PendingChange { since: now, is_increase, value },
            };
            if now.saturating_sub(pending.since) >= HOLD_TIME {
                self.table.insert((*a, *b), pending.value);
                changed = true;
            } else {
                self.pending.insert((*a, *b), pending);
            }
        }
        changed
    }

    /// Returns the table to agree on.
    pub fn table(&self, topology: &Topology) -> RttTable {
        if self.table.is_empty() {
            return RttTable::default();
        }
        let entry = |((a, b), rtt): (&(Zone, Zone), &Duration)| ZoneRtt {
            a: a.0,
            b: b.0,
            us: rtt.min(&MAX_RTT).as_micros() as u32,
        };
        let zones = topology.zones().map(|zone| topology.zone_name(zone).to_owned());
        RttTable { zones: zones.collect(), rtts: self.table.iter().map(entry).collect() }
    }
}
