//! What one balancer reports of one interval: counts by class and tenant, and what its process used.

pub use crate::request_counts::{RequestCounts, TIME_UNIT_US};

use maplehook_cluster::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pairs of class and tenant that are counted separately; all others of a class are counted together.
pub const MAX_GROUPS: usize = 48;

/// The side of a change that a balancer is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// Unchanged.
    Old,
    /// Changed.
    New,
}

/// A class and a tenant, by name. An empty tenant stands for all that are not counted separately.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestGroup {
    /// The class.
    pub class: String,
    /// The tenant.
    pub tenant: String,
}

/// What one balancer reports of one interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntervalReport {
    /// Number of the interval, counted from the beginning of the change.
    pub interval: u64,
    /// Zone of the balancer; empty for reports merged over several zones.
    pub zone: String,
    /// What became of requests.
    pub groups: BTreeMap<RequestGroup, RequestCounts>,
    /// Processor time, in microseconds.
    pub cpu_us: u64,
    /// Memory, in KiB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Times that the process crashed in the interval, or was killed since it hung.
    pub crashes: u32,
    /// Attempts that it sent to draining upstreams.
    pub drain_violations: u32,
}

impl IntervalReport {
    /// The report of an interval in which nothing has been counted yet.
    pub fn new(interval: u64, zone: &str) -> Self {
        Self {
            interval,
            zone: zone.to_owned(),
            groups: BTreeMap::new(),
            cpu_us: 0,
            memory_kb: 0,
            descriptors: 0,
            crashes: 0,
            drain_violations: 0,
        }
    }

    /// The counts of a class and a tenant; beyond [`MAX_GROUPS`] those of the class without a tenant.
    pub fn counts_mut(&mut self, class: &str, tenant: &str) -> &mut RequestCounts {
        let group = RequestGroup { class: class.to_owned(), tenant: tenant.to_owned() };
        let is_full = self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group);
        let group = if is_full { RequestGroup { tenant: String::new(), ..group } } else { group };
        self.groups.entry(group).or_default()
    }

    /// Several reports as one: the sum of what was counted, the mean of what was measured. `None` if there are none.
    pub fn merged<'a>(reports: impl IntoIterator<Item = &'a Self>) -> Option<Self> {
        let mut reports = reports.into_iter();
        let mut merged = reports.next()?.clone();
        let mut count = 1u64;
        for report in reports {
            count += 1;
            if merged.zone != report.zone {
                merged.zone.clear();
            }
            for (group, counts) in &report.groups {
                merged.counts_mut(&group.class, &group.tenant).add(counts);
            }
            merged.cpu_us = merged.cpu_us.saturating_add(report.cpu_us);
            merged.memory_kb = merged.memory_kb.saturating_add(report.memory_kb);
            merged.descriptors = merged.descriptors.saturating_add(report.descriptors);
            merged.crashes = merged.crashes.saturating_add(report.crashes);
            merged.drain_violations = merged.drain_violations.saturating_add(report.drain_violations);
        }
        merged.memory_kb /= count;
        merged.descriptors /= count;
        Some(merged)
    }

    /// Number of requests.
    pub fn total(&self) -> u64 {
        self.groups.values().fold(0, |sum, counts| sum.saturating_add(counts.total()))
    }
}

/// The reports of one interval, by balancer.
pub type Reports = BTreeMap<Name, IntervalReport>;

#[cfg(test)]
mod tests;
