//! What a balancer's part rests on, as the version in force has it.

use maplehook_addresses::Address;
use maplehook_config::Places;
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
    pub own: Zone,
    /// Bounds that no evidence moves.
    pub bounds: Bounds,
    /// Service addresses.
    pub addresses: Vec<Address>,
    /// Of the topology and the rules, whatever the numbers of classes and tenants are.
    pub digest: u64,
}

impl Config {
    /// Of a file's or a version's places.
    pub fn of(places: &Places) -> Self {
        let Places { topology, own, rules, bounds, addresses, .. } = places;
        Self {
            topology: topology.clone(),
            rules: rules.clone(),
            own: *own,
            bounds: *bounds,
            addresses: addresses.clone(),
            digest: digest(topology, rules),
        }
    }

    /// The names of the sites, in the order of the regions.
    pub fn sites(&self) -> Vec<String> {
        self.topology.regions().map(|region| self.topology.region_name(region).to_owned()).collect()
    }
}
