//! What the operator sets.

use crate::address::Network;
use std::fmt;
use std::time::Duration;

/// The rules of a door. Shares are of the clients' places.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Share of the places that only known clients may take. 0 to 0.9.
    pub reserve: f64,
    /// Networks whose clients are known.
    pub known: Vec<Network>,
    /// Share of the reserve that one known address, or one known tenant, may hold of it. 0.01 to 1; beyond
    /// it, its connections count as unknown ones.
    pub known_most: f64,
    /// Networks of fronts that bring many clients under one address: caps and rates leave them out.
    pub fronts: Vec<Network>,
    /// Share of the places that one address may hold with connections that have not yet asked for anything
    /// fit. 0.01 to 1; four at the least.
    pub unproven: f64,
    /// Connections that one address may hold altogether, if any limit is set. 1 or more.
    pub per_address: Option<u32>,
    /// New connections a second from one address that may come to nothing; one that asks for something fit
    /// gives its part back. `None`: any number.
    pub rate: Option<f64>,
    /// How many of them may come at once. 1 or more.
    pub burst: f64,
    /// Leading bits of an IPv4 address that make a prefix. 8 to 32.
    pub prefix_v4: u8,
    /// Leading bits of an IPv6 address that make a prefix. 16 to 64.
    pub prefix_v6: u8,
    /// What a prefix may do, as a multiple of what an address may. 1 to 1,000; `None`: no caps for prefixes.
    pub prefix_times: Option<f64>,
    /// Share of the places up to which connections between two requests are kept. 0 to 1; beyond it, the one
    /// idle longest ends.
    pub keep_alive: f64,
    /// How many times its share of the guarantees a tenant may hold in places once three quarters of them
    /// are taken; beyond that, its connections end with their answers. 1 to 100.
    pub tenant_times: f64,
    /// How many addresses are remembered that have no connection any more. 16 to 1,048,576.
    pub remembered: usize,
    /// When a client that is refused at the door may come back. Up to an hour.
    pub retry_after: Duration,
    /// Time in which the first bytes of a connection usually come.
    pub prompt: Duration,
    /// Time without a byte after which a request that was begun counts as left half way.
    pub slow: Duration,
    /// A connection idle for longer is spare. Up to an hour.
    pub spare: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            reserve: 0.0,
            known: Vec::new(),
            known_most: 0.5,
            fronts: Vec::new(),
            unproven: 0.25,
            per_address: None,
            rate: None,
            burst: 64.0,
            prefix_v4: 24,
            prefix_v6: 48,
            prefix_times: None,
            keep_alive: 0.25,
            tenant_times: 2.0,
            remembered: 4096,
            retry_after: Duration::from_secs(1),
            prompt: Duration::from_millis(250),
            slow: Duration::from_millis(1000),
            spare: Duration::from_secs(2),
        }
    }
}

/// A value that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    /// The field's name.
    pub field: &'static str,
    /// What it has to be.
    pub range: &'static str,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} has to be {}", self.field, self.range)
    }
}

impl std::error::Error for PolicyError {}

impl Policy {
    /// All that is out of its range.
    pub fn check(&self) -> Vec<PolicyError> {
        let hour = Duration::from_secs(3600);
        let within = |value: f64, least: f64, most: f64| (least..=most).contains(&value);
        let checks = [
            (within(self.reserve, 0.0, 0.9), "reserve", "0 to 0.9"),
            (within(self.known_most, 0.01, 1.0), "known_most", "0.01 to 1"),
            (within(self.unproven, 0.01, 1.0), "unproven", "0.01 to 1"),
            (self.per_address != Some(0), "per_address", "1 or more"),
            (self.rate.is_none_or(|r| within(r, 0.1, 1e6)), "rate", "0.1 to 1000000 a second"),
            (within(self.burst, 1.0, 1e6), "burst", "1 to 1000000"),
            ((8..=32).contains(&self.prefix_v4), "prefix_v4", "8 to 32 bits"),
            ((16..=64).contains(&self.prefix_v6), "prefix_v6", "16 to 64 bits"),
            (self.prefix_times.is_none_or(|t| within(t, 1.0, 1e3)), "prefix_times", "1 to 1000"),
            (within(self.keep_alive, 0.0, 1.0), "keep_alive", "0 to 1"),
            (within(self.tenant_times, 1.0, 100.0), "tenant_times", "1 to 100"),
            ((16..=1 << 20).contains(&self.remembered), "remembered", "16 to 1048576"),
            (self.retry_after <= hour, "retry_after", "an hour at most"),
            (self.prompt <= hour, "prompt", "an hour at most"),
            (self.slow <= hour, "slow", "an hour at most"),
            (self.spare <= hour, "spare", "an hour at most"),
        ];
        let wrong = checks.into_iter().filter(|(fits, ..)| !fits);
        wrong.map(|(_, field, range)| PolicyError { field, range }).collect()
    }

    /// Places of `places` that one address may hold with what has not proved itself.
    pub(crate) fn unproven_of(&self, places: usize) -> u32 {
        ((places as f64 * self.unproven) as u32).max(4)
    }

    /// Places of `places` that only known clients may take.
    pub(crate) fn reserve_of(&self, places: usize) -> usize {
        (places as f64 * self.reserve) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_that_is_wrong_is_named_at_once() {
        assert_eq!(Policy::default().check(), []);
        let wrong = Policy {
            reserve: 0.95,
            known_most: f64::NAN,
            rate: Some(0.0),
            prefix_v4: 33,
            remembered: 3,
            spare: Duration::from_secs(3601),
            ..Policy::default()
        };
        let fields: Vec<_> = wrong.check().iter().map(|e| e.field).collect();
        assert_eq!(fields, ["reserve", "known_most", "rate", "prefix_v4", "remembered", "spare"]);
    }
}
