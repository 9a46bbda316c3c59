//! What a balancer's part rests on, as the version in force has it.

use maplehook_addresses::Address;
use maplehook_config::{Places, Proxy, Upstream};
use maplehook_failover::{Bounds, digest};
use maplehook_locality::{Rules, Topology, Zone};
use std::net::SocketAddr;

/// Zones, rules, bounds and addresses, with the digest by which balancers tell whether they count alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Zones and regions.
    pub topology: Topology,
    /// The rules, by this process's numbers of classes and tenants.
    pub rules: Rules,
    /// The own zone.
    pub own: Zone,
    /// Bounds that no evidence moves.
    pub bounds: Bounds,
    /// Service addresses.
    pub addresses: Vec<Address>,
    /// Where upstreams listen, by zone.
    pub upstreams: Vec<(Zone, SocketAddr)>,
    /// Of the topology and the rules, whatever the numbers of classes and tenants are.
    pub digest: u64,
}

impl Config {
    /// Of a file's or a version's places; `None` where it has none.
    pub fn of(proxy: &Proxy) -> Option<Self> {
        let places = proxy.places.as_ref()?;
        let Places { topology, own, rules, bounds, addresses, .. } = places;
        let zone = |of: &Upstream| topology.zone(proxy.zones.get(usize::from(of.zone.0))?);
        let upstreams = proxy.upstreams.iter().filter_map(|of| Some((zone(of)?, of.address))).collect();
        Some(Self {
            topology: topology.clone(),
            rules: rules.clone(),
            own: *own,
            bounds: *bounds,
            addresses: addresses.clone(),
            upstreams,
            digest: digest(topology, rules),
        })
    }

    /// The names of the sites, in the order of the regions.
    pub fn sites(&self) -> Vec<String> {
        self.topology.regions().map(|region| self.topology.region_name(region).to_owned()).collect()
    }
}
