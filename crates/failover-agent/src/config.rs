//! What a balancer's part rests on, as the version in force has it.

use maplehook_address_announcement::Address;
use maplehook_config::{Places, Proxy, Upstream};
use maplehook_failover::{Bounds, digest};
use maplehook_locality::{Rules, Topology, Zone};

/// Zones, rules, bounds and addresses, with the digest by which balancers tell whether they count alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Zones and regions.
    pub topology: Topology,
    /// The rules, by this process's numbers of classes and tenants.
    pub rules: Rules,
    /// The own zone.
    pub own_zone: Zone,
    /// Bounds that no evidence moves.
    pub bounds: Bounds,
    /// Service addresses.
    pub addresses: Vec<Address>,
    /// Names of classes and tenants, by the numbers that the rules count them by.
    pub classes: Vec<String>,
    /// Where no tenant has a name there is one that has none.
    pub tenants: Vec<String>,
    /// Requests a second for one of weight, by zone; `None` where that is not stated for all upstreams of a zone.
    pub capacity_per_weight: Vec<Option<f64>>,
    /// Of the topology and the rules, whatever the numbers of classes and tenants are.
    pub digest: u64,
}

impl Config {
    /// Of a file's or a version's places; `None` where it has none.
    pub fn from_proxy(proxy: &Proxy) -> Option<Self> {
        let places = proxy.places.as_ref()?;
        let Places { topology, own, rules, bounds, addresses, .. } = places;
        let room = |zone: Zone| {
            let of_it = || proxy.upstreams.iter().filter(|of| self::zone(proxy, places, of) == Some(zone));
            let room: Option<f64> = of_it().map(|of| of.room).sum();
            let weight: f64 = of_it().map(|of| of.weight).sum();
            room.filter(|_| weight > 0.0).map(|room| room / weight)
        };
        let capacity_per_weight = topology.zones().map(room).collect();
        Some(Self {
            topology: topology.clone(),
            rules: rules.clone(),
            own_zone: *own,
            bounds: *bounds,
            addresses: addresses.clone(),
            classes: proxy.classes.clone(),
            tenants: if proxy.tenants.is_empty() { vec![String::new()] } else { proxy.tenants.clone() },
            capacity_per_weight,
            digest: digest(topology, rules),
        })
    }

    /// The names of the sites, in the order of the regions.
    pub fn sites(&self) -> Vec<String> {
        self.topology.regions().map(|region| self.topology.region_name(region).to_owned()).collect()
    }
}

fn zone(proxy: &Proxy, places: &Places, of: &Upstream) -> Option<Zone> {
    places.topology.zone(proxy.zones.get(usize::from(of.zone.0))?)
}
