//! Zones, the regions that they lie in, and how long the way between two of them takes.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The most zones and regions.
pub const ZONES_MOST: usize = 64;
/// The most regions.
pub const REGIONS_MOST: usize = 32;

/// Position of a zone in its [`Topology`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Zone(pub u16);

/// Position of a region in its [`Topology`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Region(pub u16);

/// What is wrong with a topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// No zone at all.
    Empty,
    /// A region without a zone.
    NoZones(String),
    /// A region's name stands twice.
    RegionTwice(String),
    /// A zone's name stands twice, in one region or in two.
    ZoneTwice(String),
    /// More than [`ZONES_MOST`] zones or [`REGIONS_MOST`] regions.
    TooMany,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("there is no zone"),
            Self::NoZones(region) => write!(f, "region {region:?} has no zone"),
            Self::RegionTwice(name) => write!(f, "region {name:?} is named twice"),
            Self::ZoneTwice(name) => write!(f, "zone {name:?} is named twice"),
            Self::TooMany => write!(f, "{ZONES_MOST} zones and {REGIONS_MOST} regions at most"),
        }
    }
}

impl std::error::Error for Wrong {}

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
    trips: BTreeMap<(Zone, Zone), Duration>,
    /// What was measured of ways that nobody has stated.
    measured: BTreeMap<(Zone, Zone), Duration>,
}

impl Topology {
    /// Regions by name, each with the names of its zones.
    pub fn new<'a>(regions: impl IntoIterator<Item = (&'a str, Vec<&'a str>)>) -> Result<Self, Wrong> {
        let mut topology = Self::default();
        let mut seen = BTreeSet::new();
        for (name, zones) in regions {
            if topology.region(name).is_some() {
                return Err(Wrong::RegionTwice(name.into()));
            }
            if zones.is_empty() {
                return Err(Wrong::NoZones(name.into()));
            }
            let region = Region(topology.regions.len() as u16);
            let mut entry = RegionEntry { name: name.into(), zones: Vec::new() };
            for zone in zones {
                if !seen.insert(zone.to_owned()) {
                    return Err(Wrong::ZoneTwice(zone.into()));
                }
                entry.zones.push(Zone(topology.zones.len() as u16));
                topology.zones.push(ZoneEntry { name: zone.into(), region });
                if topology.zones.len() > ZONES_MOST {
                    return Err(Wrong::TooMany);
                }
            }
            topology.regions.push(entry);
            if topology.regions.len() > REGIONS_MOST {
                return Err(Wrong::TooMany);
            }
        }
        if topology.zones.is_empty() { Err(Wrong::Empty) } else { Ok(topology) }
    }

    /// States the time of the way between two zones, there and back.
    pub fn set_trip(&mut self, a: Zone, b: Zone, time: Duration) {
        self.trips.insert((a.min(b), a.max(b)), time);
    }

    /// What was measured of ways, there and back, instead of what was before. It stands only where nothing is stated.
    pub fn set_measured(&mut self, trips: impl IntoIterator<Item = (Zone, Zone, Duration)>) {
        self.measured = trips.into_iter().map(|(a, b, time)| ((a.min(b), a.max(b)), time)).collect();
    }

    /// The time of the way between two zones, there and back, stated or else measured; nothing within one zone, `None` if it is
    /// not known.
    pub fn trip(&self, a: Zone, b: Zone) -> Option<Duration> {
        if a == b {
            return Some(Duration::ZERO);
        }
        self.stated(a, b).or_else(|| self.measured.get(&(a.min(b), a.max(b))).copied())
    }

    /// What is stated of that, if anything is.
    pub fn stated(&self, a: Zone, b: Zone) -> Option<Duration> {
        self.trips.get(&(a.min(b), a.max(b))).copied()
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
        assert_eq!((topology.trip(a, c), topology.trip(a, a)), (None, Some(Duration::ZERO)));
        topology.set_trip(c, a, Duration::from_millis(9));
        assert_eq!(topology.trip(a, c), Some(Duration::from_millis(9)));
        let (b, ms) = (topology.zone("b").unwrap(), Duration::from_millis);
        topology.set_measured([(a, c, ms(2)), (b, a, ms(1))]);
        assert_eq!(topology.trip(a, c), Some(ms(9)), "what is stated stands");
        assert_eq!((topology.trip(a, b), topology.trip(b, a)), (Some(ms(1)), Some(ms(1))));
        topology.set_measured([]);
        assert_eq!((topology.trip(a, c), topology.trip(a, b)), (Some(ms(9)), None));
        assert_eq!(topology.zone_name(Zone(9)), "");
    }

    #[test]
    fn what_is_wrong_is_named() {
        assert_eq!(Topology::new([]), Err(Wrong::Empty));
        assert_eq!(Topology::new([("n", vec![])]), Err(Wrong::NoZones("n".into())));
        assert_eq!(Topology::new([("n", vec!["a"]), ("n", vec!["b"])]), Err(Wrong::RegionTwice("n".into())));
        assert_eq!(Topology::new([("n", vec!["a"]), ("s", vec!["a"])]), Err(Wrong::ZoneTwice("a".into())));
    }
}
