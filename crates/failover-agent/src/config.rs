//! Settings of the agent, taken from the version in force.

use maplehook_address_announcement::Address;
use maplehook_config::{Places, Proxy, Upstream};
use maplehook_failover::{Bounds, digest};
use maplehook_locality::{Rules, Topology, Zone};

/// Zones, rules, bounds and addresses. Balancers compare the digest to detect different zone or rule
/// numbering.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Zones, regions and configured round-trip times.
    pub topology: Topology,
    /// Locality rules, with this process's numbers of classes and tenants.
    pub rules: Rules,
    /// Zone of this balancer.
    pub own_zone: Zone,
    /// Limits of the failover decisions, independent of the evidence.
    pub bounds: Bounds,
    /// Service addresses.
    pub addresses: Vec<Address>,
    /// Class names, indexed by the class numbers of the rules.
    pub classes: Vec<String>,
    /// Tenant names, indexed by the tenant numbers of the rules; one empty name if no tenant is configured.
    pub tenants: Vec<String>,
    /// Capacity in requests per second and unit of weight, by zone; `None` unless it is configured for every
    /// upstream of the zone.
    pub capacity_per_weight: Vec<Option<f64>>,
    /// Digest of the topology and the rules, independent of the numbers of classes and tenants.
    pub digest: u64,
}

impl Config {
    /// Builds the configuration from the zones of a file or a version; `None` if it configures no zones.
    pub fn from_proxy(proxy: &Proxy) -> Option<Self> {
        let places = proxy.places.as_ref()?;
        let Places { topology, own, rules, bounds, addresses, .. } = places;
        let zone_capacity = |zone: Zone| {
            let zone_upstreams = || {
                proxy.upstreams.iter().filter(|upstream| self::zone(proxy, places, upstream) == Some(zone))
            };
            let capacity: Option<f64> = zone_upstreams().map(|upstream| upstream.room).sum();
            let weight: f64 = zone_upstreams().map(|upstream| upstream.weight).sum();
            capacity.filter(|_| weight > 0.0).map(|capacity| capacity / weight)
        };
        let capacity_per_weight = topology.zones().map(zone_capacity).collect();
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

    /// Returns the site names in the order of the regions.
    pub fn sites(&self) -> Vec<String> {
        self.topology.regions().map(|region| self.topology.region_name(region).to_owned()).collect()
    }
}

fn zone(proxy: &Proxy, places: &Places, upstream: &Upstream) -> Option<Zone> {
    places.topology.zone(proxy.zones.get(usize::from(upstream.zone.0))?)
}
