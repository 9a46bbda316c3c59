//! Storage of the newest report of each balancer, and the list of balancers.

use crate::report::Report;
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of balancers whose reports are stored.
pub const MAX_BALANCERS: usize = 1024;
/// Age of the stored report after which an older start number is accepted: the balancer's clock was set back.
const START_ORDER_EXPIRY: Duration = Duration::from_secs(60);

/// Returns the digest of zone names, region names and rules (FNV-1a). Indexes are only comparable between
/// equal digests.
pub fn digest(topology: &Topology, rules: &Rules) -> u64 {
    let zones: Vec<(&str, &str)> = topology
        .zones()
        .map(|zone| (topology.zone_name(zone), topology.region_name(topology.region_of(zone))))
        .collect();
    let bytes = postcard::to_allocvec(&(zones, rules)).unwrap_or_default();
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    received_at: Duration,
    report: Report,
}

/// Newest report of each balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportStore {
    newest: BTreeMap<String, Entry>,
    members: BTreeMap<String, Zone>,
    unlocated: usize,
}

impl ReportStore {
    /// Sets the balancers with a zone, and the number of balancers without one. Until the first call, reports
    /// of all senders are accepted.
    pub fn set_members(&mut self, located: &[(String, Zone)], unlocated: usize) {
        self.members = located.iter().take(MAX_BALANCERS).cloned().collect();
        self.unlocated = unlocated;
        let members = &self.members;
        self.newest.retain(|name, entry| members.get(name) == Some(&entry.report.zone));
    }

    /// Returns the number of balancers with a zone and without one.
    pub fn counts(&self) -> (usize, usize) {
        (self.members.len().max(self.newest.len()), self.unlocated)
    }

    /// Returns the number of balancers in each zone: those of the member list, or without a list those that
    /// reported.
    pub fn balancer_counts(&self, zones: usize) -> Vec<usize> {
        let mut balancer_counts = vec![0; zones];
        let reporting_zones = || self.newest.values().map(|entry| entry.report.zone);
        let mut add = |zone: Zone| {
            balancer_counts.get_mut(usize::from(zone.0)).into_iter().for_each(|count| *count += 1)
        };
        if self.members.is_empty() {
            reporting_zones().for_each(&mut add);
        } else {
            self.members.values().copied().for_each(&mut add);
        }
        balancer_counts
    }

    /// Stores a report. Returns false, without storing, if the report refers to another topology or other
    /// rules, is not newer than the stored one, has implausible values, or comes from a sender that is not a
    /// member of the zone it states.
    pub fn record_report(
        &mut self,
        now: Duration,
        from: &str,
        mut report: Report,
        expected: (u64, usize, usize),
    ) -> bool {
        let (digest, zones, rules) = expected;
        if report.digest != digest || usize::from(report.zone.0) >= zones || !report.is_plausible() {
            return false;
        }
        if !self.members.is_empty() && self.members.get(from) != Some(&report.zone) {
            return false;
        }
        if let Some(stored) = self.newest.get(from) {
            let newer = (report.start, report.number) > (stored.report.start, stored.report.number);
            if !newer && now.saturating_sub(stored.received_at) < START_ORDER_EXPIRY {
                return false;
            }
        } else if self.newest.len() >= MAX_BALANCERS {
            self.newest.retain(|_, entry| now.saturating_sub(entry.received_at) < START_ORDER_EXPIRY);
            if self.newest.len() >= MAX_BALANCERS {
                return false;
            }
        }
        report.observations.retain(|observation| usize::from(observation.zone.0) < zones);
        report.demand.retain(|demand| usize::from(demand.rule) < rules);
        report.normalize();
        self.newest.insert(from.to_owned(), Entry { received_at: now, report });
        true
    }

    /// Returns the reports that are not older than `max_age`.
    pub fn fresh_reports(&self, now: Duration, max_age: Duration) -> Vec<&Report> {
        let is_fresh = |entry: &&Entry| now.saturating_sub(entry.received_at) <= max_age;
        self.newest.values().filter(is_fresh).map(|entry| &entry.report).collect()
    }

    /// Returns true if the zone has balancers and none of them has a fresh report.
    pub fn is_silent(&self, zone: Zone, fresh_reports: &[&Report]) -> bool {
        self.members.values().any(|member_zone| *member_zone == zone)
            && !fresh_reports.iter().any(|report| report.zone == zone)
    }

    /// Removes all reports and members, after a change of the topology or rules.
    pub fn clear(&mut self) {
        self.newest.clear();
        self.members.clear();
    }
}
