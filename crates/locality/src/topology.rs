//! Zones, the regions that they lie in, and how long the way between two of them takes.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The most zones and regions.
pub const MAX_ZONES: usize = 64;
/// The most regions.
pub const MAX_REGIONS: usize = 32;

/// Position of a zone in its [`Topology`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

/// Position of a region in its [`Topology`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub u16);

/// What is wrong with a topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyError {
    /// No zone at all.
    Empty,
    /// A region without a zone.
    RegionWithoutZones(String),
    /// A region's name stands twice.
    DuplicateRegion(String),
    /// A zone's name stands twice, in one region or in two.
    DuplicateZone(String),
    /// More than [`MAX_ZONES`] zones or [`MAX_REGIONS`] regions.
    TooMany,
}

impl fmt::Display for TopologyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("there is no zone"),
            Self::RegionWithoutZones(region) => write!(f, "region {region:?} has no zone"),
            Self::DuplicateRegion(name) => write!(f, "region {name:?} is named twice"),
            Self::DuplicateZone(name) => write!(f, "zone {name:?} is named twice"),
            Self::TooMany => write!(f, "{MAX_ZONES} zones and {MAX_REGIONS} regions at most"),
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

/// The places of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    zones: Vec<ZoneEntry>,
    regions: Vec<RegionEntry>,
    rtts: BTreeMap<(Zone, Zone), Duration>,
    /// What was measured of ways that nobody has stated.
    measured: BTreeMap<(Zone, Zone), Duration>,
}

impl Topology {
    /// Regions by name, each with the names of its zones.
    pub fn new<'a>(
        regions: impl IntoIterator<Item = (&'a str, Vec<&'a str>)>,
    ) -> Result<Self, TopologyError> {
        let mut topology = Self::default();
        let mut seen = BTreeSet::new();
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
                if !seen.insert(zone.to_owned()) {
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

    /// States the time of the way between two zones, there and back.
    pub fn set_rtt(&mut self, a: Zone, b: Zone, time: Duration) {
        self.rtts.insert((a.min(b), a.max(b)), time);
    }

    /// What was measured of ways, there and back, instead of what was before. It stands only where nothing is stated.
    pub fn set_measured_rtts(&mut self, rtts: impl IntoIterator<Item = (Zone, Zone, Duration)>) {
        self.measured = rtts.into_iter().map(|(a, b, time)| ((a.min(b), a.max(b)), time)).collect();
    }

    /// The time of the way between two zones, there and back, stated or else measured; nothing within one zone, `None` if it is
    /// not known.
    pub fn rtt(&self, a: Zone, b: Zone) -> Option<Duration> {
        if a == b {
            return Some(Duration::ZERO);
        }
        self.configured_rtt(a, b).or_else(|| self.measured.get(&(a.min(b), a.max(b))).copied())
    }

    /// What is stated of that, if anything is.
    pub fn configured_rtt(&self, a: Zone, b: Zone) -> Option<Duration> {
        self.rtts.get(&(a.min(b), a.max(b))).copied()
    }

    /// All zones.
    pub fn zones(&self) -> impl DoubleEndedIterator<Item = Zone> + use<> {
        (0..self.zones.len() as u16).map(Zone)
    }

    /// All regions.
    pub fn regions(&self) -> impl DoubleEndedIterator<Item = Region> + use<> {
        (0..self.regions.len() as u16).map(Region)
    }

    /// The zone of a name.
    pub fn zone(&self, name: &str) -> Option<Zone> {
        self.zones.iter().position(|zone| zone.name == name).map(|n| Zone(n as u16))
    }

    /// The region of a name.
    pub fn region(&self, name: &str) -> Option<Region> {
        self.regions.iter().position(|region| region.name == name).map(|n| Region(n as u16))
    }

    /// A zone's name; empty if there is no such zone.
    pub fn zone_name(&self, zone: Zone) -> &str {
        self.zones.get(usize::from(zone.0)).map_or("", |zone| &zone.name)
    }

    /// A region's name; empty if there is no such region.
    pub fn region_name(&self, region: Region) -> &str {
        self.regions.get(usize::from(region.0)).map_or("", |region| &region.name)
    }

    /// The region that a zone lies in.
    pub fn region_of(&self, zone: Zone) -> Region {
        self.zones.get(usize::from(zone.0)).map_or(Region(u16::MAX), |zone| zone.region)
    }

    /// The zones of a region.
    pub fn zones_of(&self, region: Region) -> &[Zone] {
        self.regions.get(usize::from(region.0)).map_or(&[], |region| &region.zones)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_have_names_and_lie_in_one_region() {
        let mut topology = Topology::new([("north", vec!["a", "b"]), ("south", vec!["c"])]).unwrap();
        let (a, c) = (topology.zone("a").unwrap(), topology.zone("c").unwrap());
        assert_eq!(topology.region_name(topology.region_of(c)), "south");
        assert_eq!(topology.zones_of(topology.region("north").unwrap()), [a, topology.zone("b").unwrap()]);
        assert_eq!((topology.rtt(a, c), topology.rtt(a, a)), (None, Some(Duration::ZERO)));
        topology.set_rtt(c, a, Duration::from_millis(9));
        assert_eq!(topology.rtt(a, c), Some(Duration::from_millis(9)));
        let (b, ms) = (topology.zone("b").unwrap(), Duration::from_millis);
        topology.set_measured_rtts([(a, c, ms(2)), (b, a, ms(1))]);
        assert_eq!(topology.rtt(a, c), Some(ms(9)), "what is configured_rtt stands");
        assert_eq!((topology.rtt(a, b), topology.rtt(b, a)), (Some(ms(1)), Some(ms(1))));
        topology.set_measured_rtts([]);
        assert_eq!((topology.rtt(a, c), topology.rtt(a, b)), (Some(ms(9)), None));
        assert_eq!(topology.zone_name(Zone(9)), "");
    }

    #[test]
    fn what_is_wrong_is_named() {
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
