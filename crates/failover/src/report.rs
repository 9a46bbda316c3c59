//! The report of one balancer on all zones: aggregated by zone rather than by upstream, and of bounded size.
//!
//! All rates are per second, averaged over the last [`RATE_WINDOW`]. Capacities are in requests per second if
//! the operator stated them for the upstreams, otherwise sums of upstream weights.

use maplehook_locality::Zone;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum size of an encoded report, in bytes.
pub const MAX_BYTES: usize = 2048;
/// Time over which rates are averaged.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Observation of one zone by one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Observed zone.
    pub zone: Zone,
    /// Set if capacities are in requests per second; otherwise they are weights.
    pub stated: bool,
    /// Capacity of all listed upstreams, if all were healthy and past slow start.
    pub listed: f32,
    /// Capacity of the usable upstreams: those that are ready and not ejected, scaled down during slow start.
    pub usable: f32,
    /// Part of `listed` that is missing because of slow start.
    #[serde(rename = "cold")]
    pub warming: f32,
    /// Attempts per second sent by this balancer.
    pub sent: f32,
    /// Attempts per second answered in time.
    pub ok: f32,
    /// Attempts per second answered late, or abandoned late although the upstream was reached.
    pub slow: f32,
    /// Attempts per second answered with an error.
    pub failed: f32,
    /// Attempts per second without a connection, reset before an answer, or without any response.
    pub unreached: f32,
    /// Mean time to open a connection, in milliseconds; 0 if none was opened.
    pub connect_ms: f32,
    /// Number of recent probe connections.
    #[serde(rename = "probed")]
    pub probes: f32,
    /// Number of recent probe connections that failed.
    #[serde(rename = "unprobed")]
    pub failed_probes: f32,
    /// Requests in flight relative to the number that can be served in time; 1 is full, 0 if nothing was
    /// sent.
    pub load: f32,
}

/// Demand of one rule at one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Index of the rule.
    pub rule: u16,
    /// Requests received per second.
    pub asked: f32,
    /// Part of `asked` that was rejected locally for lack of capacity.
    #[serde(rename = "refused")]
    pub rejected: f32,
}

/// Report of one balancer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number of the report since the start of the balancer.
    pub number: u64,
    /// Start number of the balancer, which increases with each restart.
    pub start: u64,
    /// Zone of the balancer.
    pub zone: Zone,
    /// Digest of the topology and rules that the indexes refer to. Reports with another digest are rejected.
    pub digest: u64,
    /// Epoch of the plan that the balancer applies.
    pub epoch: u64,
    /// Set if the balancer is ready for clients.
    pub ready: bool,
    /// Observations, at most one per zone.
    #[serde(rename = "sights")]
    pub observations: Vec<ZoneObservation>,
    /// Demand of the rules that received requests.
    pub demand: Vec<Demand>,
    /// Zones that are unreachable without interruption, and for how many milliseconds, so that a new leader
    /// counts an outage from its start. It is encoded after the other fields, where older versions ignore it.
    #[serde(skip)]
    pub out_ms: Vec<(Zone, u16)>,
}

impl Report {
    /// Encodes the report. If it exceeds [`MAX_BYTES`], the rules with the least demand are dropped first,
    /// then the zones with the fewest attempts.
    pub fn encode(&self) -> Vec<u8> {
        let mut report = self.clone();
        loop {
            let mut bytes = postcard::to_allocvec(&report).unwrap_or_default();
            bytes.extend(postcard::to_allocvec(&report.out_ms).unwrap_or_default());
            if bytes.len() <= MAX_BYTES {
                return bytes;
            }
            let smallest = |rates: &mut dyn Iterator<Item = f32>| {
                rates.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(n, _)| n)
            };
            match smallest(&mut report.demand.iter().map(|d| d.asked)) {
                Some(n) => drop(report.demand.swap_remove(n)),
                None => match smallest(&mut report.observations.iter().map(|s| s.sent)) {
                    Some(n) => drop(report.observations.swap_remove(n)),
                    None => return bytes,
                },
            }
        }
    }

    /// Decodes a report. Returns `None` if it is malformed, too large or has implausible values.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_BYTES {
            return None;
        }
        let (mut report, rest): (Self, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        report.out_ms = postcard::from_bytes(rest).unwrap_or_default();
        report.normalize();
        report.is_plausible().then_some(report)
    }

    /// Sorts all lists and removes duplicate zones and rules.
    pub(crate) fn normalize(&mut self) {
        self.observations.sort_by_key(|observation| observation.zone);
        self.observations.dedup_by_key(|observation| observation.zone);
        self.demand.sort_by_key(|demand| demand.rule);
        self.demand.dedup_by_key(|demand| demand.rule);
        self.out_ms.sort();
        self.out_ms.dedup_by_key(|(zone, _)| *zone);
    }

    /// Returns the observation of a zone.
    pub fn observation(&self, zone: Zone) -> Option<&ZoneObservation> {
        let found = self.observations.binary_search_by_key(&zone, |observation| observation.zone);
        found.ok().map(|n| &self.observations[n])
    }

    /// Returns true if all values are finite, not negative and at most 1e9.
    pub(crate) fn is_plausible(&self) -> bool {
        let is_plausible_value = |rate: f32| rate.is_finite() && (0.0..=1e9).contains(&rate);
        let observation = |s: &ZoneObservation| {
            let capacities = [s.listed, s.usable, s.warming, s.load];
            let rates =
                [s.sent, s.ok, s.slow, s.failed, s.unreached, s.connect_ms, s.probes, s.failed_probes];
            capacities.into_iter().chain(rates).all(is_plausible_value)
        };
        self.observations.iter().all(observation)
            && self.demand.iter().all(|d| is_plausible_value(d.asked) && is_plausible_value(d.rejected))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn encode_drops_the_smallest_entries_of_an_oversized_report() {
        let observation = |n: u16| ZoneObservation {
            zone: Zone(n),
            sent: f32::from(n),
            usable: 3.7,
            ..ZoneObservation::default()
        };
        let demand = |n: u16| Demand { rule: n, asked: f32::from(n), rejected: 0.0 };
        let report = Report {
            observations: (0..64).map(observation).collect(),
            demand: (0..256).map(demand).collect(),
            ..Report::default()
        };
        let bytes = report.encode();
        assert!(bytes.len() <= MAX_BYTES);
        let decoded = Report::decode(&bytes).unwrap();
        assert!(decoded.observations.iter().any(|observation| observation.zone == Zone(63)));
        assert!(
            !decoded.observations.iter().any(|observation| observation.zone == Zone(0)),
            "the zone with the fewest attempts is dropped"
        );
    }

    #[test]
    fn older_and_newer_versions_decode_each_others_reports() {
        let report = Report {
            observations: vec![ZoneObservation { zone: Zone(1), sent: 3.0, ..ZoneObservation::default() }],
            out_ms: vec![(Zone(1), 700), (Zone(2), 9000)],
            ..Report::default()
        };
        assert_eq!(Report::decode(&report.encode()).as_ref(), Some(&report));
        let without_trailer = Report { out_ms: Vec::new(), ..report.clone() };
        // An older version reads the report without the trailing field, and writes it so.
        assert_eq!(postcard::from_bytes::<Report>(&report.encode()).ok(), Some(without_trailer.clone()));
        assert_eq!(Report::decode(&postcard::to_allocvec(&report).unwrap()), Some(without_trailer));
    }

    #[test]
    fn decode_rejects_implausible_values() {
        let with_sent = |rate: f32| Report {
            observations: vec![ZoneObservation { sent: rate, ..ZoneObservation::default() }],
            ..Report::default()
        };
        assert!(Report::decode(&with_sent(1.0).encode()).is_some());
        for rate in [f32::NAN, f32::INFINITY, -1.0, 1e12] {
            assert!(Report::decode(&with_sent(rate).encode()).is_none());
        }
    }

    proptest! {
        #[test]
        fn decode_does_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = Report::decode(&bytes);
        }
    }
}
