//! The newest report of each balancer, and which balancers there are.

use crate::report::Report;
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most balancers whose reports are kept.
pub const HEARD_MOST: usize = 1024;
/// After this a balancer may begin anew with an older start: its clock was set back.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// By which zones and rules are counted: FNV-1a over their names and texts.
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
    at: Duration,
    report: Report,
}

/// Reports as they came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heard {
    newest: BTreeMap<String, Entry>,
    members: BTreeMap<String, Zone>,
    without: usize,
}

impl Heard {
    /// Which balancers there are, and how many besides have no places yet. Until it is told, whoever speaks is heard.
    pub fn set_members(&mut self, all: &[(String, Zone)], without: usize) {
        self.members = all.iter().take(HEARD_MOST).cloned().collect();
        self.without = without;
        let members = &self.members;
        self.newest.retain(|name, entry| members.get(name) == Some(&entry.report.zone));
    }

    /// Balancers with places, and those without.
    pub fn counts(&self) -> (usize, usize) {
        (self.members.len().max(self.newest.len()), self.without)
    }

    /// How many balancers with places each zone has: those that are known, or else those that have spoken.
    pub fn crews(&self, zones: usize) -> Vec<usize> {
        let mut crews = vec![0; zones];
        let heard = || self.newest.values().map(|entry| entry.report.zone);
        let mut add = |zone: Zone| crews.get_mut(usize::from(zone.0)).into_iter().for_each(|crew| *crew += 1);
        if self.members.is_empty() {
            heard().for_each(&mut add);
        } else {
            self.members.values().copied().for_each(&mut add);
        }
        crews
    }

    /// Takes a report, unless it counts by other places or rules, is older than the one there, bears a figure that none can
    /// have, or comes from nobody that is known to be where it says. Says whether it was taken.
    pub fn record_report(
        &mut self,
        now: Duration,
        from: &str,
        mut report: Report,
        by: (u64, usize, usize),
    ) -> bool {
        let (digest, zones, rules) = by;
        if report.digest != digest || usize::from(report.zone.0) >= zones || !report.is_fine() {
            return false;
        }
        if !self.members.is_empty() && self.members.get(from) != Some(&report.zone) {
            return false;
        }
        if let Some(known) = self.newest.get(from) {
            let newer = (report.start, report.number) > (known.report.start, known.report.number);
            if !newer && now.saturating_sub(known.at) < FORGOTTEN {
                return false;
            }
        } else if self.newest.len() >= HEARD_MOST {
            self.newest.retain(|_, entry| now.saturating_sub(entry.at) < FORGOTTEN);
            if self.newest.len() >= HEARD_MOST {
                return false;
            }
        }
        report.observations.retain(|sight| usize::from(sight.zone.0) < zones);
        report.demand.retain(|demand| usize::from(demand.rule) < rules);
        report.tidy();
        self.newest.insert(from.to_owned(), Entry { at: now, report });
        true
    }

    /// Reports that are no older than this.
    pub fn fresh(&self, now: Duration, stale: Duration) -> Vec<&Report> {
        let young = |entry: &&Entry| now.saturating_sub(entry.at) <= stale;
        self.newest.values().filter(young).map(|entry| &entry.report).collect()
    }

    /// Whether a zone has balancers and none of them is heard of.
    pub fn is_silent(&self, zone: Zone, fresh: &[&Report]) -> bool {
        self.members.values().any(|at| *at == zone) && !fresh.iter().any(|report| report.zone == zone)
    }

    /// Forgets all reports: they count by other places or rules.
    pub fn forget(&mut self) {
        self.newest.clear();
        self.members.clear();
    }
}
