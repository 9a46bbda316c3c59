//! Where everything stands, and what files say of it.

use crate::world::Setup;
use maplehook_history_checker::record::{Address, Bounds, Upstream as Stated};
use maplehook_history_checker::{Header, SCHEMA};
use maplehook_test_servers::room::Room;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The longest that a request waits at an upstream.
const QUEUE: Duration = Duration::from_millis(500);
/// All told, until a site that is ill has withdrawn, and until another one announces what one site alone may.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(15);
const GAP: Duration = Duration::from_secs(15);

/// The first so many vote.
const VOTERS: usize = 3;

/// By what balancers decide between zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Conduct {
    /// In common: rules and an agreement.
    #[default]
    Common,
    /// Rules, and each for itself: fixed priorities and thresholds.
    Textbook,
    /// Neither: what any program has done before there were rules.
    Alone,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its name: no balancer bears one like it.
    pub name: String,
    /// Its zone, by position.
    pub zone: usize,
    /// Requests a second that it can take.
    pub room_per_s: f64,
}

/// A shared service address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// What is announced.
    pub address: String,
    /// Whether one site alone may announce it.
    pub one: bool,
    /// Its sites, the preferred one first; empty: all regions as they stand.
    pub sites: Vec<String>,
}

/// Zones, regions, rooms, rules and addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Map {
    /// Zones by region.
    pub regions: Vec<(String, Vec<String>)>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// How balancers decide.
    pub conduct: Conduct,
    /// The text of the rules.
    pub rules: String,
    /// Lines of `[places]`.
    pub places: String,
    /// Service addresses.
    pub services: Vec<Service>,
    /// How long after a change of a place's health its histories are not judged for nearness and load: not so long that nothing is.
    pub settle: Duration,
    /// Upstreams stand in a registry, which knows their zones and no rooms, instead of the files. All balancers share one way to each.
    pub registry: bool,
}

/// In which a zone that is well again is given back whole: 12 s until it is believed, 12 s for its share, 2 s for plans.
const RETURN: Duration = Duration::from_secs(26);

impl Map {
    /// Zones `a` and `b` of `north`, `c` and `d` of `south`, each with so many upstreams of this room.
    pub fn new(upstreams: usize, room_per_s: f64) -> Self {
        let region = |name: &str, zones: [&str; 2]| (name.to_owned(), zones.map(str::to_owned).to_vec());
        let regions = vec![region("north", ["a", "b"]), region("south", ["c", "d"])];
        let zones = ["a", "b", "c", "d"].iter().enumerate();
        let upstreams = zones
            .flat_map(|(zone, of)| {
                (1..=upstreams).map(move |n| Upstream { name: format!("{of}-{n}"), zone, room_per_s })
            })
            .collect();
        Self {
            regions,
            upstreams,
            conduct: Conduct::Common,
            rules: "rule all {\n  prefer own zone > own region > anywhere;\n  spill over 80% for 1s, back under 60% for 5s;\n  \
                    spill below 50% usable;\n}\n"
                .to_owned(),
            places: String::new(),
            services: vec![Service { name: "book".into(), address: "203.0.113.10:443".into(), one: false, sites: Vec::new() }],
            settle: Duration::from_secs(5),
            registry: false,
        }
    }

    /// All zones, by position.
    pub fn zones(&self) -> Vec<&str> {
        self.regions.iter().flat_map(|(_, zones)| zones).map(String::as_str).collect()
    }

    /// A zone's position.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones().iter().position(|zone| *zone == name)
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: usize) -> &str {
        let name = self.zones()[zone];
        let region = self.regions.iter().find(|(_, zones)| zones.iter().any(|z| z == name));
        region.map_or("", |(region, _)| region)
    }

    /// The zone of a balancer: in turn, so that those who vote stand in zones of their own.
    pub fn zone_of(&self, balancer: usize) -> usize {
        balancer % self.zones().len()
    }

    /// The room of a zone.
    pub fn room_of(&self, zone: usize) -> f64 {
        self.upstreams.iter().filter(|up| up.zone == zone).map(|up| up.room_per_s).sum()
    }

    /// The upstreams of a zone, by position.
    pub fn upstreams_of(&self, zone: usize) -> Vec<usize> {
        (0..self.upstreams.len()).filter(|n| self.upstreams[*n].zone == zone).collect()
    }

    /// The room of an upstream, as its application really has it.
    pub(crate) fn room(&self, upstream: usize) -> Room {
        Room::new(self.upstreams[upstream].room_per_s, QUEUE)
    }

    /// Where a balancer writes its history, in a directory of its own.
    pub(crate) fn history(place: &Path) -> PathBuf {
        place.join("history.jsonl")
    }

    /// Lines of `[operator]`.
    pub(crate) fn in_operator(&self, place: &Path) -> String {
        match self.conduct {
            Conduct::Alone => String::new(),
            _ => format!("history = \"{}\"\n", Self::history(place).display()),
        }
    }

    /// Lines of `[balancer]`.
    pub(crate) fn in_balancer(&self, balancer: usize) -> String {
        format!("zone = \"{}\"\n", self.zones()[self.zone_of(balancer)])
    }

    /// Its upstreams, as one balancer reaches them.
    pub(crate) fn lists(&self, addresses: &[SocketAddr]) -> String {
        let zones = self.zones();
        let mut text = String::new();
        for (Upstream { name, zone, room_per_s }, address) in self.upstreams.iter().zip(addresses) {
            let zone = zones[*zone];
            text += &format!("[[upstream]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"{zone}\"\n");
            if self.conduct != Conduct::Alone {
                text += &format!("room_per_s = {room_per_s:?}\n");
            }
        }
        text
    }

    /// Regions, rules, bounds and addresses.
    pub(crate) fn states(&self) -> String {
        let mut text = String::new();
        if self.conduct == Conduct::Alone {
            return text;
        }
        for (name, zones) in &self.regions {
            text += &format!("[[region]]\nname = \"{name}\"\nzones = {zones:?}\n");
        }
        text += &format!("[locality]\nrules = \"\"\"\n{}\"\"\"\n", self.rules);
        if self.conduct == Conduct::Common {
            text += &format!("[places]\n{}", self.places);
            for Service { name, address, one, sites } in &self.services {
                let announce = if *one { "one" } else { "many" };
                text += &format!(
                    "[[address]]\nname = \"{name}\"\naddress = \"{address}\"\nannounce = \"{announce}\"\n"
                );
                if !sites.is_empty() {
                    text += &format!("sites = {sites:?}\n");
                }
            }
        }
        text
    }

    /// A world of so many balancers over it; they vote in the first three zones.
    pub fn setup(&self, program: &Path, balancers: usize) -> Setup {
        let agreement = (self.conduct == Conduct::Common).then(|| "contradiction_ms = 2000\n".to_owned());
        Setup {
            balancers,
            upstreams: self.upstreams.len(),
            listed: !self.registry,
            agreement,
            map: Some(self.clone()),
            ..Setup::new(program)
        }
    }

    /// The first line of its histories.
    pub fn header(&self, balancers: usize, seed: u64, program: &str, contradiction: Duration) -> Header {
        let zones = self.zones();
        let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let sites: Vec<String> = self.regions.iter().map(|(name, _)| name.clone()).collect();
        let announced = self.services.iter().filter(|_| self.conduct == Conduct::Common);
        Header {
            schema: SCHEMA,
            seed,
            program: program.to_owned(),
            regions: self.regions.iter().cloned().collect(),
            balancers: (0..balancers)
                .map(|n| (crate::check::name(n), zones[self.zone_of(n)].to_owned()))
                .collect(),
            upstreams: self
                .upstreams
                .iter()
                .map(|up| {
                    let (zone, room_per_s) = (zones[up.zone].to_owned(), up.room_per_s);
                    (up.name.clone(), Stated { zone, room_per_s })
                })
                .collect(),
            addresses: announced
                .map(|service| {
                    let address = Address {
                        one: service.one,
                        sites: if service.sites.is_empty() { sites.clone() } else { service.sites.clone() },
                        keep_at_least: 1,
                        withdrawn_within_us: us(WITHDRAWN_WITHIN),
                        gap_us: us(GAP),
                    };
                    (service.name.clone(), address)
                })
                .collect::<BTreeMap<_, _>>(),
            contradiction_us: us(contradiction),
            voters: (0..VOTERS.min(balancers))
                .filter(|_| self.conduct == Conduct::Common)
                .map(crate::check::name)
                .collect(),
            expect: None,
            bounds: Bounds { settle_us: us(self.settle), return_us: us(RETURN), ..Bounds::default() },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn files_say_what_the_conduct_allows() {
        let mut map = Map::new(3, 40.0);
        let addresses: Vec<SocketAddr> =
            (0..12).map(|n| SocketAddr::from(([127, 0, 0, 1], 1000 + n))).collect();
        let whole = |map: &Map| {
            format!(
                "[operator]\n{}[balancer]\n{}{}{}",
                map.in_operator(Path::new("/x")),
                map.in_balancer(5),
                map.lists(&addresses),
                map.states()
            )
        };
        let read = |text: &str| toml::from_str::<toml::Table>(text).unwrap();
        let common = read(&whole(&map));
        assert_eq!(common["balancer"]["zone"].as_str(), Some("b"));
        assert_eq!(common["upstream"].as_array().map(Vec::len), Some(12));
        assert_eq!(common["upstream"][11]["zone"].as_str(), Some("d"));
        assert_eq!(common["upstream"][0]["room_per_s"].as_float(), Some(40.0));
        assert_eq!(common["region"][1]["zones"][0].as_str(), Some("c"));
        assert_eq!(common["address"][0]["announce"].as_str(), Some("many"));
        assert_eq!(common["locality"]["rules"].as_str(), Some(map.rules.as_str()));
        map.conduct = Conduct::Textbook;
        let textbook = read(&whole(&map));
        assert!(textbook.contains_key("locality") && !textbook.contains_key("address"));
        map.conduct = Conduct::Alone;
        let alone = whole(&map);
        let news = ["region", "locality", "places", "address]", "room_per_s", "history"];
        assert!(news.iter().all(|word| !alone.contains(word)), "what no earlier program reads: {alone}");
    }

    #[test]
    fn voters_stand_in_zones_of_their_own() {
        let map = Map::new(3, 40.0);
        let zones: Vec<usize> = (0..9).map(|n| map.zone_of(n)).collect();
        assert_eq!(zones, [0, 1, 2, 3, 0, 1, 2, 3, 0]);
        assert_eq!((map.region_of(1), map.region_of(2)), ("north", "south"));
        assert_eq!((map.room_of(3), map.upstreams_of(1)), (120.0, vec![3, 4, 5]));
    }
}
