//! The operator's settings of admission.

use crate::address::Network;
use std::time::Duration;
use thiserror::Error;

/// The unproven connections that an address may have in any case.
const MIN_UNPROVEN: u32 = 4;

/// The settings of admission, by the keys of the operator's file. Shares are of the capacity: the connections that clients may have.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// The share of the capacity that only known clients may use. 0 to 0.9.
    pub reserve: f64,
    /// Networks whose clients are known.
    pub known: Vec<Network>,
    /// The share of the reserve that one known address, or one known tenant, may use. 0.01 to 1; beyond it, its connections count
    /// as those of an unknown client.
    pub known_most: f64,
    /// Networks of front proxies, which bring many clients under one address: limits and rates do not apply to them.
    pub fronts: Vec<Network>,
    /// The share of the capacity that one address may use with unproven connections, which have not sent a valid request yet. 0.01
    /// to 1; at least four connections.
    pub unproven: f64,
    /// The connections that one address may have altogether. 1 or more; `None`: any number.
    pub per_address: Option<u32>,
    /// New connections a second from one address; one that sends a valid request does not count. `None`: any number.
    pub rate: Option<f64>,
    /// The new connections from one address that may come at once. 1 or more.
    pub burst: f64,
    /// Leading bits of an IPv4 address that make a prefix. 8 to 32.
    pub prefix_v4: u8,
    /// Leading bits of an IPv6 address that make a prefix. 16 to 64.
    pub prefix_v6: u8,
    /// The limits of a prefix, as a multiple of those of an address. 1 to 1,000; `None`: prefixes have no limits.
    pub prefix_times: Option<f64>,
    /// The share of the capacity up to which idle connections are kept alive. 0 to 1; beyond it, the one that has been idle for
    /// longest is evicted.
    pub keep_alive: f64,
    /// The multiple of its share of the guarantees that a tenant may use of the capacity once three quarters of it are in use; beyond
    /// that, its connections close with their responses. 1 to 100.
    pub tenant_times: f64,
    /// The number of addresses without a connection that are remembered. 16 to 1,048,576.
    pub remembered: usize,
    /// The time after which a rejected client may connect again, on average. Up to an hour.
    pub retry_after: Duration,
    /// The time within which the first bytes of a connection usually come. Up to an hour.
    pub prompt: Duration,
    /// The time without a byte after which a partial request counts as abandoned. Up to an hour.
    pub slow: Duration,
    /// The time after which an idle connection may be evicted before younger ones. Up to an hour.
    pub spare: Duration,
}

impl Default for AdmissionPolicy {
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
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field} has to be {range}")]
pub struct PolicyError {
    /// The name of the field.
    pub field: &'static str,
    /// The range that it has to be in.
    pub range: &'static str,
}

impl AdmissionPolicy {
    /// All values that are out of their ranges.
    pub fn check(&self) -> Vec<PolicyError> {
        let hour = Duration::from_secs(3600);
        let within = |value: f64, min: f64, max: f64| (min..=max).contains(&value);
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
        let failed = checks.into_iter().filter(|(is_valid, ..)| !is_valid);
        failed.map(|(_, field, range)| PolicyError { field, range }).collect()
    }

    /// The unproven connections that one address may have.
    pub(crate) fn max_unproven(&self, capacity: usize) -> u32 {
        ((capacity as f64 * self.unproven) as u32).max(MIN_UNPROVEN)
    }

    /// The part of the capacity that only known clients may use.
    pub(crate) fn reserved(&self, capacity: usize) -> usize {
        (capacity as f64 * self.reserve) as usize
    }
}

#[cfg(test)]
mod tests;
