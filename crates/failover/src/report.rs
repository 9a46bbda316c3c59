//! What one balancer says of zones as seen from its own: by zone, not by upstream, and bounded.
//!
//! All rates are a second, over the last [`OVER`]. Rooms are requests a second where the operator has stated them for the upstreams,
//! else sums of upstreams' weights.

use maplehook_locality::Zone;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bytes of a report at the most, encoded.
pub const BYTES_MOST: usize = 2048;
/// The time over which rates are counted.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A zone as a balancer sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Which.
    pub zone: Zone,
    /// Whether rooms are requests a second; else they are weights.
    pub stated: bool,
    /// What the zone's listed upstreams could take if all were well and warm.
    pub listed: f32,
    /// What those can take now that can be used: ready, not ejected, and as warm as they are.
    pub usable: f32,
    /// Part of `listed` that is missing since upstreams are cold.
    #[serde(rename = "cold")]
    pub warming: f32,
    /// Attempts that this balancer sent there.
    pub sent: f32,
    /// Of these, answered in time.
    pub ok: f32,
    /// Answered late, or given up late while the upstream was reached.
    pub slow: f32,
    /// Answered with an error.
    pub failed: f32,
    /// Not reached: no connection, reset before an answer, silence.
    pub unreached: f32,
    /// Mean time of a new connection, in milliseconds; 0 if none was made.
    pub connect_ms: f32,
    /// Of the last connections made for no other end than to see whether it is there: how many.
    #[serde(rename = "probed")]
    pub probes: f32,
    /// How many of these came to nothing.
    #[serde(rename = "unprobed")]
    pub failed_probes: f32,
    /// What it holds there against what could be held in good time: 1 is full. 0 if nothing was sent.
    pub load: f32,
}

/// What a balancer is asked for by one rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Position of the rule.
    pub rule: u16,
    /// Requests that came.
    pub asked: f32,
    /// Of these, refused here for want of room.
    #[serde(rename = "refused")]
    pub rejected: f32,
}

/// What one balancer says.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rises with each report of one start of a balancer.
    pub number: u64,
    /// Its start, which rises with each.
    pub start: u64,
    /// Its own zone.
    pub zone: Zone,
    /// A digest of the topology and rules by which zones and rules are counted: those of another are not taken.
    pub digest: u64,
    /// The epoch of the plan that it acts on.
    pub epoch: u64,
    /// Whether it is ready for clients.
    pub ready: bool,
    /// Zones, each once.
    #[serde(rename = "sights")]
    pub observations: Vec<ZoneObservation>,
    /// Rules with any demand.
    pub demand: Vec<Demand>,
    /// Zones that it has not reached for a while without a break, and for how long, in milliseconds: whoever leads next need not
    /// wait for what has stood already. It goes behind the rest, where a program that knows nothing of it does not read.
    #[serde(skip)]
    pub out_ms: Vec<(Zone, u16)>,
}

impl Report {
    /// For the way. What does not fit in [`BYTES_MOST`] is left out: first the rules with the least demand, then the zones with
    /// the least sent to.
    pub fn encode(&self) -> Vec<u8> {
        let mut report = self.clone();
        loop {
            let mut bytes = postcard::to_allocvec(&report).unwrap_or_default();
            bytes.extend(postcard::to_allocvec(&report.out_ms).unwrap_or_default());
            if bytes.len() <= BYTES_MOST {
                return bytes;
            }
            let weakest = |rates: &mut dyn Iterator<Item = f32>| {
                rates.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(n, _)| n)
            };
            match weakest(&mut report.demand.iter().map(|d| d.asked)) {
                Some(n) => drop(report.demand.swap_remove(n)),
                None => match weakest(&mut report.observations.iter().map(|s| s.sent)) {
                    Some(n) => drop(report.observations.swap_remove(n)),
                    None => return bytes,
                },
            }
        }
    }

    /// From the way; `None` for what is no report, or bears a figure that none can have.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > BYTES_MOST {
            return None;
        }
        let (mut report, rest): (Self, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        report.out_ms = postcard::from_bytes(rest).unwrap_or_default();
        report.tidy();
        report.is_fine().then_some(report)
    }

    /// Zones and rules in order, each once.
    pub(crate) fn tidy(&mut self) {
        self.observations.sort_by_key(|sight| sight.zone);
        self.observations.dedup_by_key(|sight| sight.zone);
        self.demand.sort_by_key(|demand| demand.rule);
        self.demand.dedup_by_key(|demand| demand.rule);
        self.out_ms.sort();
        self.out_ms.dedup_by_key(|(zone, _)| *zone);
    }

    /// What it sees of a zone.
    pub fn sight(&self, zone: Zone) -> Option<&ZoneObservation> {
        let found = self.observations.binary_search_by_key(&zone, |sight| sight.zone);
        found.ok().map(|n| &self.observations[n])
    }

    /// Whether all its figures are such as can be.
    pub(crate) fn is_fine(&self) -> bool {
        let fine = |rate: f32| rate.is_finite() && (0.0..=1e9).contains(&rate);
        let sight = |s: &ZoneObservation| {
            let rooms = [s.listed, s.usable, s.warming, s.load];
            let rates =
                [s.sent, s.ok, s.slow, s.failed, s.unreached, s.connect_ms, s.probes, s.failed_probes];
            rooms.into_iter().chain(rates).all(fine)
        };
        self.observations.iter().all(sight) && self.demand.iter().all(|d| fine(d.asked) && fine(d.rejected))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_least_is_left_out_of_what_is_too_long() {
        let sight = |n: u16| ZoneObservation {
            zone: Zone(n),
            sent: f32::from(n),
            usable: 3.7,
            ..ZoneObservation::default()
        };
        let demand = |n: u16| Demand { rule: n, asked: f32::from(n), rejected: 0.0 };
        let report = Report {
            observations: (0..64).map(sight).collect(),
            demand: (0..256).map(demand).collect(),
            ..Report::default()
        };
        let bytes = report.encode();
        assert!(bytes.len() <= BYTES_MOST);
        let read = Report::decode(&bytes).unwrap();
        assert!(read.observations.iter().any(|sight| sight.zone == Zone(63)));
        assert!(!read.observations.iter().any(|sight| sight.zone == Zone(0)), "the least sent to");
    }

    #[test]
    fn programs_before_and_after_read_each_other() {
        let report = Report {
            observations: vec![ZoneObservation { zone: Zone(1), sent: 3.0, ..ZoneObservation::default() }],
            out_ms: vec![(Zone(1), 700), (Zone(2), 9000)],
            ..Report::default()
        };
        assert_eq!(Report::decode(&report.encode()).as_ref(), Some(&report));
        let before = Report { out_ms: Vec::new(), ..report.clone() };
        // As it is read by who stops after what it knows, and as that one writes.
        assert_eq!(postcard::from_bytes::<Report>(&report.encode()).ok(), Some(before.clone()));
        assert_eq!(Report::decode(&postcard::to_allocvec(&report).unwrap()), Some(before));
    }

    #[test]
    fn a_figure_that_none_can_have_is_no_report() {
        let wild = |rate: f32| Report {
            observations: vec![ZoneObservation { sent: rate, ..ZoneObservation::default() }],
            ..Report::default()
        };
        assert!(Report::decode(&wild(1.0).encode()).is_some());
        for rate in [f32::NAN, f32::INFINITY, -1.0, 1e12] {
            assert!(Report::decode(&wild(rate).encode()).is_none());
        }
    }

    proptest! {
        #[test]
        fn any_bytes_are_looked_at_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = Report::decode(&bytes);
        }
    }
}
