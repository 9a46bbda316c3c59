//! Zones, their regions, and the round-trip times between zones.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Maximum number of zones.
pub const MAX_ZONES: usize = 64;
/// Maximum number of regions.
pub const MAX_REGIONS: usize = 32;

/// Index of a zone in its [`Topology`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

/// Index of a region in its [`Topology`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub u16);

/// Error in the description of a topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyError {
    /// The topology has no zones.
    Empty,
    /// The named region has no zones.
    RegionWithoutZones(String),
    /// Two regions have this name.
    DuplicateRegion(String),
    /// Two zones have this name, in the same region or in different ones.
    DuplicateZone(String),
    /// The topology exceeds [`MAX_ZONES`] or [`MAX_REGIONS`].
    TooMany,
}

impl fmt::Display for TopologyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the topology has no zones"),
            Self::RegionWithoutZones(region) => write!(f, "region {region:?} has no zones"),
            Self::DuplicateRegion(name) => write!(f, "region {name:?} is defined twice"),
            Self::DuplicateZone(name) => write!(f, "zone {name:?} is defined twice"),
            Self::TooMany => write!(f, "the topology exceeds {MAX_ZONES} zones or {MAX_REGIONS} regions"),
        }
    }
}

impl std::error::Error for TopologyError {}

#[derive(Clone, Debug, PartialEq)]
struct ZoneEntry {
    name: String,
    region: Region,
}

#[derive(Clone, Debug, PartialEq)]
struct RegionEntry {
    name: String,
    zones: Vec<Zone>,
}

/// Zones and regions of a deployment, with round-trip times between zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    zones: Vec<ZoneEntry>,
    regions: Vec<RegionEntry>,
    configured_rtts: BTreeMap<(Zone, Zone), Duration>,
    /// Measured round-trip times, which apply to pairs without a configured one.
    measured_rtts: BTreeMap<(Zone, Zone), Duration>,
}

impl Topology {
    /// Creates a topology from the names of its regions and of the zones in each region.
    pub fn new<'a>(
        regions: impl IntoIterator<Item = (&'a str, Vec<&'a str>)>,
    ) -> Result<Self, TopologyError> {
        let mut topology = Self::default();
        let mut zone_names = BTreeSet::new();
        for (name, zones) in regions {
            if topology.region(name).is_some() {
                return Err(TopologyError::DuplicateRegion(name.into()));
            }
            if zones.is_empty() {
                return Err(TopologyError::RegionWithoutZones(name.into()));
            }
            let region = Region(topology.regions.len() as u16);
            let mut entry = RegionEntry { name: name.into(), zones: Vec::new() };
            for zone in zones {
                if !zone_names.insert(zone.to_owned()) {
                    return Err(TopologyError::DuplicateZone(zone.into()));
                }
                entry.zones.push(Zone(topology.zones.len() as u16));
                topology.zones.push(ZoneEntry { name: zone.into(), region });
                if topology.zones.len() > MAX_ZONES {
                    return Err(TopologyError::TooMany);
                }
            }
            topology.regions.push(entry);
            if topology.regions.len() > MAX_REGIONS {
                return Err(TopologyError::TooMany);
            }
        }
        if topology.zones.is_empty() { Err(TopologyError::Empty) } else { Ok(topology) }
    }

    /// Sets the configured round-trip time between two zones.
    pub fn set_rtt(&mut self, a: Zone, b: Zone, time: Duration) {
        self.configured_rtts.insert((a.min(b), a.max(b)), time);
    }

    /// Replaces all measured round-trip times. A measured time applies only to a pair without a configured
    /// one.
    pub fn set_measured_rtts(&mut self, rtts: impl IntoIterator<Item = (Zone, Zone, Duration)>) {
        self.measured_rtts = rtts.into_iter().map(|(a, b, time)| ((a.min(b), a.max(b)), time)).collect();
    }

    /// Returns the round-trip time between two zones: zero within a zone, else the configured or the measured
    /// time. `None` if the time is unknown.
    pub fn rtt(&self, a: Zone, b: Zone) -> Option<Duration> {
        if a == b {
            return Some(Duration::ZERO);
        }
        self.configured_rtt(a, b).or_else(|| self.measured_rtts.get(&(a.min(b), a.max(b))).copied())
    }

    /// Returns the configured round-trip time between two zones, if there is one.
    pub fn configured_rtt(&self, a: Zone, b: Zone) -> Option<Duration> {
        self.configured_rtts.get(&(a.min(b), a.max(b))).copied()
    }

    /// Returns all zones in order of their index.
    pub fn zones(&self) -> impl DoubleEndedIterator<Item = Zone> + use<> {
        (0..self.zones.len() as u16).map(Zone)
    }

    /// Returns all regions in order of their index.
    pub fn regions(&self) -> impl DoubleEndedIterator<Item = Region> + use<> {
        (0..self.regions.len() as u16).map(Region)
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &str) -> Option<Zone> {
        self.zones.iter().position(|zone| zone.name == name).map(|n| Zone(n as u16))
    }

    /// Finds a region by name.
    pub fn region(&self, name: &str) -> Option<Region> {
        self.regions.iter().position(|region| region.name == name).map(|n| Region(n as u16))
    }

    /// Returns the name of a zone, or an empty string for an unknown zone.
    pub fn zone_name(&self, zone: Zone) -> &str {
        self.zones.get(usize::from(zone.0)).map_or("", |zone| &zone.name)
    }

    /// Returns the name of a region, or an empty string for an unknown region.
    pub fn region_name(&self, region: Region) -> &str {
        self.regions.get(usize::from(region.0)).map_or("", |region| &region.name)
    }

    /// Returns the region of a zone, or an index without a region for an unknown zone.
    pub fn region_of(&self, zone: Zone) -> Region {
        self.zones.get(usize::from(zone.0)).map_or(Region(u16::MAX), |zone| zone.region)
    }

    /// Returns the zones of a region; none for an unknown region.
    pub fn zones_of(&self, region: Region) -> &[Zone] {
        self.regions.get(usize::from(region.0)).map_or(&[], |region| &region.zones)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resolves_names_regions_and_round_trip_times() {
        let mut topology = Topology::new([("north", vec!["a", "b"]), ("south", vec!["c"])]).unwrap();
        let (a, c) = (topology.zone("a").unwrap(), topology.zone("c").unwrap());
        assert_eq!(topology.region_name(topology.region_of(c)), "south");
        assert_eq!(topology.zones_of(topology.region("north").unwrap()), [a, topology.zone("b").unwrap()]);
        assert_eq!((topology.rtt(a, c), topology.rtt(a, a)), (None, Some(Duration::ZERO)));
        topology.set_rtt(c, a, Duration::from_millis(9));
        assert_eq!(topology.rtt(a, c), Some(Duration::from_millis(9)));
        let (b, ms) = (topology.zone("b").unwrap(), Duration::from_millis);
        topology.set_measured_rtts([(a, c, ms(2)), (b, a, ms(1))]);
        assert_eq!(
            topology.rtt(a, c),
            Some(ms(9)),
            "a configured time should take precedence over a measured one"
        );
        assert_eq!((topology.rtt(a, b), topology.rtt(b, a)), (Some(ms(1)), Some(ms(1))));
        topology.set_measured_rtts([]);
        assert_eq!((topology.rtt(a, c), topology.rtt(a, b)), (Some(ms(9)), None));
        assert_eq!(topology.zone_name(Zone(9)), "");
    }

    #[test]
    fn rejects_empty_and_duplicate_zones_and_regions() {
        assert_eq!(Topology::new([]), Err(TopologyError::Empty));
        assert_eq!(Topology::new([("n", vec![])]), Err(TopologyError::RegionWithoutZones("n".into())));
        assert_eq!(
            Topology::new([("n", vec!["a"]), ("n", vec!["b"])]),
            Err(TopologyError::DuplicateRegion("n".into()))
        );
        assert_eq!(
            Topology::new([("n", vec!["a"]), ("s", vec!["a"])]),
            Err(TopologyError::DuplicateZone("a".into()))
        );
    }
}
