//! The merge policy: what a balancer makes of the announcements of others. It is never less careful than by its own
//! discovery.
//!
//! An upstream that others announce to drain drains here too, even while the local list has it as ready. It is ready
//! again only on the word of the local discovery: once no announcement of its drain is valid any more, *and* the local
//! source has been read since. A source that can't be reached lifts no drain. The effect of announcements is bounded:
//! drains known by gossip only take at most a configured share of the upstreams that the local list has as ready, the
//! earliest announced first, so that one balancer with a wrong list can't empty the fleet of all.

use crate::endpoint_gossip::GossipedEndpoint;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Keeps a share of a whole number of upstreams from being rounded down to one less.
const ROUNDING: f64 = 1e-9;

/// An upstream as the local discovery has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalEndpoint {
    /// Whether the upstream is ready; otherwise it drains.
    pub is_ready: bool,
    /// When the upstream started, in Unix milliseconds; 0 if unknown.
    pub boot_ms: u64,
}

/// An upstream as merged from the local discovery and the gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergedEndpoint {
    /// Whether the upstream drains and gets no new requests.
    pub is_draining: bool,
    /// When the upstream started, in Unix milliseconds: slow start counts from then on.
    pub boot_ms: u64,
}

/// A drain that is known by gossip.
#[derive(Clone, Copy, Debug)]
struct GossipDrain {
    /// Until when an announcement of the drain is valid.
    until: Duration,
    /// The start of the upstream that drains, in Unix milliseconds; 0 for any.
    boot_ms: u64,
    /// The order in which drains were announced.
    order: u64,
}

/// How many drains are known by gossip only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipDrainCounts {
    /// All of them.
    pub known: usize,
    /// Those that have no effect since they would exceed the share.
    pub suppressed: usize,
}

/// Merges the local list with the gossip.
#[derive(Clone, Debug)]
pub struct MergePolicy {
    max_gossip_drain_share: f64,
    local: BTreeMap<u64, LocalEndpoint>,
    gossip_drains: BTreeMap<u64, GossipDrain>,
    /// The latest announced start of each upstream, in Unix milliseconds.
    gossiped_boot_ms: BTreeMap<u64, u64>,
    published: BTreeMap<u64, MergedEndpoint>,
    last_order: u64,
}

impl MergePolicy {
    /// Returns a policy by which drains known by gossip only take at most this share of the upstreams that the local
    /// list has as ready.
    pub fn new(max_gossip_drain_share: f64) -> Self {
        Self {
            max_gossip_drain_share,
            local: BTreeMap::new(),
            gossip_drains: BTreeMap::new(),
            gossiped_boot_ms: BTreeMap::new(),
            published: BTreeMap::new(),
            last_order: 0,
        }
    }

    /// Updates the local list; `None` removes an upstream. Where `is_complete` all others are removed.
    pub fn update_local(
        &mut self,
        is_complete: bool,
        entries: impl IntoIterator<Item = (u64, Option<LocalEndpoint>)>,
    ) {
        if is_complete {
            self.local.clear();
        }
        for (upstream, endpoint) in entries {
            match endpoint {
                Some(endpoint) => self.local.insert(upstream, endpoint),
                None => self.local.remove(&upstream),
            };
        }
        if is_complete {
            let local = &self.local;
            self.gossiped_boot_ms.retain(|upstream, _| local.contains_key(upstream));
        }
    }

    /// Merges what the valid announcements come to. A start that lies after `unix_ms` is in the future and not believed.
    pub fn merge_gossip(&mut self, endpoints: &[GossipedEndpoint], unix_ms: u64) {
        for endpoint in endpoints {
            if let Some((until, boot_ms)) = endpoint.drained_until {
                self.merge_drain(endpoint.upstream, until, boot_ms);
            }
            if self.local.contains_key(&endpoint.upstream) && endpoint.boot_ms <= unix_ms {
                let boot_ms = self.gossiped_boot_ms.entry(endpoint.upstream).or_default();
                *boot_ms = (*boot_ms).max(endpoint.boot_ms);
            }
        }
    }

    fn merge_drain(&mut self, upstream: u64, until: Duration, boot_ms: u64) {
        self.last_order += 1;
        let new = GossipDrain { until, boot_ms, order: self.last_order };
        let drain = self.gossip_drains.entry(upstream).or_insert(new);
        drain.until = drain.until.max(until);
        drain.boot_ms = if boot_ms == 0 { 0 } else { drain.boot_ms.max(boot_ms) };
    }

    /// Takes note that the local source was read with success at this time, and that [`Self::update_local`] was called
    /// with what it returned.
    pub fn confirm_local(&mut self, at: Duration) {
        self.gossip_drains.retain(|_, drain| drain.until > at);
    }

    /// Returns whether a drain known by gossip concerns an upstream that is ready by the local list.
    fn is_effective(&self, upstream: u64, drain: &GossipDrain) -> bool {
        self.local.get(&upstream).is_some_and(|local| {
            let is_same_start = drain.boot_ms == 0 || local.boot_ms == 0 || local.boot_ms <= drain.boot_ms;
            local.is_ready && is_same_start
        })
    }

    /// Returns the upstreams that drain by gossip only, within the share.
    fn gossip_only_drains(&self) -> BTreeSet<u64> {
        let ready = self.local.values().filter(|local| local.is_ready).count();
        let max = (self.max_gossip_drain_share * ready as f64 + ROUNDING) as usize;
        let mut drains: Vec<(u64, u64)> = self
            .gossip_drains
            .iter()
            .filter(|(upstream, drain)| self.is_effective(**upstream, drain))
            .map(|(upstream, drain)| (drain.order, *upstream))
            .collect();
        drains.sort_unstable();
        drains.truncate(max);
        drains.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// Returns how many drains are known by gossip only.
    pub fn gossip_drain_counts(&self) -> GossipDrainCounts {
        let known = self
            .gossip_drains
            .iter()
            .filter(|(upstream, drain)| self.is_effective(**upstream, drain))
            .count();
        GossipDrainCounts { known, suppressed: known - self.gossip_only_drains().len() }
    }

    /// Returns the upstreams whose merged state has changed since the last call; `None` for one that was removed.
    pub fn take_changes(&mut self) -> Vec<(u64, Option<MergedEndpoint>)> {
        let gossip_only = self.gossip_only_drains();
        let merge = |upstream: &u64, local: &LocalEndpoint| MergedEndpoint {
            is_draining: !local.is_ready || gossip_only.contains(upstream),
            boot_ms: local.boot_ms.max(self.gossiped_boot_ms.get(upstream).copied().unwrap_or(0)),
        };
        let merged: BTreeMap<u64, MergedEndpoint> =
            self.local.iter().map(|(upstream, local)| (*upstream, merge(upstream, local))).collect();
        let removed =
            self.published.keys().filter(|id| !merged.contains_key(id)).map(|upstream| (*upstream, None));
        let changed = merged
            .iter()
            .filter(|(upstream, endpoint)| self.published.get(upstream) != Some(endpoint))
            .map(|(upstream, endpoint)| (*upstream, Some(*endpoint)));
        let changes = removed.chain(changed).collect();
        self.published = merged;
        changes
    }

    /// Returns the merged state of an upstream as of the last call of [`Self::take_changes`].
    pub fn published(&self, upstream: u64) -> Option<MergedEndpoint> {
        self.published.get(&upstream).copied()
    }
}

#[cfg(test)]
mod tests;
