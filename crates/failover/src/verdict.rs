//! Verdicts on zones derived from reports. The balancers of each zone together have one verdict on every
//! other zone, however many balancers there are.

use crate::document::ZoneState;
use crate::report::{Report, ZoneObservation};
use crate::report_store::ReportStore;
use maplehook_locality::Zone;
use std::time::Duration;

/// Share of the listed capacity below which a zone counts as unusable.
const NEGLIGIBLE_SHARE: f32 = 0.02;
/// Share of attempts and probes without a connection from which a zone counts as unreachable.
const UNREACHABLE_RATIO: f32 = 0.6;
/// Share of slow, failed or unreachable attempts from which a zone counts as unhealthy.
const UNHEALTHY_RATIO: f32 = 0.3;
/// Minimum attempts per second for a verdict.
const MIN_ATTEMPT_RATE: f32 = 1.0;

/// Verdict on a zone by one balancer, or by all balancers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No upstreams are listed in the zone, or there are no reports.
    #[default]
    NoData,
    /// Upstreams are listed, but too few requests or probes are sent.
    Idle,
    /// Connections succeed, but the outcome of requests is unknown.
    Reachable,
    /// Requests are served in time.
    Healthy,
    /// Requests are slow or fail.
    Unhealthy,
    /// Nothing is usable, or connections fail.
    Unreachable,
}

impl Verdict {
    /// Returns true for [`Verdict::Unhealthy`] and [`Verdict::Unreachable`].
    pub fn is_failing(self) -> bool {
        self >= Self::Unhealthy
    }

    /// Derives the verdict from one balancer's observation.
    pub fn of(observation: &ZoneObservation) -> Self {
        if observation.listed <= 0.0 {
            return Self::NoData;
        }
        if observation.usable + observation.warming <= NEGLIGIBLE_SHARE * observation.listed {
            return Self::Unreachable;
        }
        // A balancer can't have more successful answers than attempts.
        let sent = observation.sent.max(observation.ok);
        // For reachability, probes count as much as requests: zones that serve only their own clients have no
        // other observers.
        if sent + observation.probes < MIN_ATTEMPT_RATE {
            return Self::Idle;
        }
        if observation.unreached + observation.failed_probes
            >= UNREACHABLE_RATIO * (sent + observation.probes)
        {
            Self::Unreachable
        } else if sent < MIN_ATTEMPT_RATE {
            // A successful connection doesn't show that requests succeed.
            Self::Reachable
        } else if observation.slow + observation.failed + observation.unreached >= UNHEALTHY_RATIO * sent {
            Self::Unhealthy
        } else {
            Self::Healthy
        }
    }
}

/// Assessment of a zone at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneAssessment {
    /// Serving, unhealthy, unreachable or partitioned.
    pub state: ZoneState,
    /// Reason for the state; empty while the zone is in service.
    pub reason: String,
    /// Zones whose balancers can't reach this zone, as a bit set.
    pub unreachable_from: u64,
    /// Number of zones that support the state.
    pub observers: u16,
    /// Time for which at least two zones have reported this zone as unreachable.
    pub unreachable_for: Duration,
}

/// Number of balancers of one zone per verdict.
#[derive(Clone, Copy, Debug, Default)]
struct VerdictCounts {
    idle: u16,
    reachable: u16,
    healthy: u16,
    unhealthy: u16,
    unreachable: u16,
}

impl VerdictCounts {
    fn add(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::NoData => {}
            Verdict::Idle => self.idle += 1,
            Verdict::Reachable => self.reachable += 1,
            Verdict::Healthy => self.healthy += 1,
            Verdict::Unhealthy => self.unhealthy += 1,
            Verdict::Unreachable => self.unreachable += 1,
        }
    }

    /// Returns the verdict of more than half of the balancers that have one, if these are not too few. The
    /// milder verdict wins a tie.
    fn verdict(self) -> Verdict {
        let served = self.healthy + self.unhealthy + self.unreachable;
        let reported = served + self.reachable;
        let all = reported + self.idle;
        if all == 0 {
            Verdict::NoData
        } else if reported * 4 < all || reported == 0 {
            Verdict::Idle
        } else if self.unreachable * 2 > reported {
            Verdict::Unreachable
        } else if self.healthy + self.unhealthy == 0 || served * 4 < all {
            Verdict::Reachable
        } else if (self.unreachable + self.unhealthy) * 2 > served {
            Verdict::Unhealthy
        } else {
            Verdict::Healthy
        }
    }
}

/// Verdicts of all zones on each other.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictMatrix {
    zones: usize,
    verdicts: Vec<Verdict>,
    /// Time in milliseconds for which at least two zones can't reach the zone, by zone.
    unreachable_ms: Vec<u16>,
    /// Number of ignored balancers: those that see failures where other zones see none.
    pub ignored_balancers: usize,
}

impl VerdictMatrix {
    /// Computes the verdicts. The second value holds the reports that were counted.
    pub fn of<'a>(zones: usize, reports: &[&'a Report]) -> (Self, Vec<&'a Report>) {
        let reported: Vec<Vec<(usize, Verdict)>> = reports
            .iter()
            .map(|report| {
                report.observations.iter().map(|s| (usize::from(s.zone.0), Verdict::of(s))).collect()
            })
            .collect();
        let mut all = vec![VerdictCounts::default(); zones * zones];
        for (report, verdicts) in reports.iter().zip(&reported) {
            let at = usize::from(report.zone.0) * zones;
            verdicts.iter().for_each(|(zone, verdict)| all[at + zone].add(*verdict));
        }
        let preliminary: Vec<Verdict> = all.iter().map(|counts| counts.verdict()).collect();
        let mut counts = vec![VerdictCounts::default(); zones * zones];
        let mut accepted_reports = Vec::with_capacity(reports.len());
        for (report, verdicts) in reports.iter().zip(&reported) {
            if is_faulty_observer(zones, report.zone, verdicts, &preliminary) {
                continue;
            }
            accepted_reports.push(*report);
            let at = usize::from(report.zone.0) * zones;
            verdicts.iter().for_each(|(zone, verdict)| counts[at + zone].add(*verdict));
        }
        let verdicts = counts.into_iter().map(VerdictCounts::verdict).collect();
        let ignored_balancers = reports.len() - accepted_reports.len();
        let mut matrix = Self { zones, verdicts, unreachable_ms: Vec::new(), ignored_balancers };
        matrix.unreachable_ms =
            (0..zones as u16).map(|zone| matrix.second_longest_ms(Zone(zone), &accepted_reports)).collect();
        (matrix, accepted_reports)
    }

    /// Returns for how long two zones can't reach a zone, in milliseconds: the second-longest of the per-zone
    /// medians.
    fn second_longest_ms(&self, zone: Zone, accepted_reports: &[&Report]) -> u16 {
        let mut by_zone: Vec<Vec<u16>> = vec![Vec::new(); self.zones];
        for report in
            accepted_reports.iter().filter(|report| self.verdict(report.zone, zone) == Verdict::Unreachable)
        {
            let found = report.out_ms.binary_search_by_key(&zone, |(zone, _)| *zone);
            by_zone[usize::from(report.zone.0)].push(found.map_or(0, |n| report.out_ms[n].1));
        }
        let median = |mut all: Vec<u16>| {
            all.sort_unstable();
            all.get(all.len().checked_sub(1)? / 2).copied()
        };
        let mut all: Vec<u16> = by_zone.into_iter().filter_map(median).collect();
        all.sort_unstable();
        all.len().checked_sub(2).map_or(0, |index| all[index])
    }

    /// Returns the verdict of zone `from` on zone `of`.
    pub fn verdict(&self, from: Zone, of: Zone) -> Verdict {
        self.verdicts.get(usize::from(from.0) * self.zones + usize::from(of.0)).copied().unwrap_or_default()
    }

    /// Assesses all zones.
    pub fn assess(&self, report_store: &ReportStore, fresh_reports: &[&Report]) -> Vec<ZoneAssessment> {
        let all = || (0..self.zones as u16).map(Zone);
        all().map(|zone| self.assess_zone(zone, report_store.is_silent(zone, fresh_reports))).collect()
    }

    fn assess_zone(&self, zone: Zone, silent: bool) -> ZoneAssessment {
        let all = || (0..self.zones as u16).map(Zone);
        let local_verdict = self.verdict(zone, zone);
        let count = |predicate: fn(Verdict) -> bool| {
            all().filter(|from| predicate(self.verdict(*from, zone))).count()
        };
        let (unreachable, failing) =
            (count(|verdict| verdict == Verdict::Unreachable), count(Verdict::is_failing));
        let healthy = count(|verdict| verdict == Verdict::Healthy);
        let reaching = healthy + count(|verdict| verdict == Verdict::Reachable);
        let unreachable_from = all()
            .filter(|from| self.verdict(*from, zone) == Verdict::Unreachable)
            .map(|from| 1 << from.0)
            .sum();
        let supporting = unreachable + usize::from(silent);
        // Balancers of the zone that report nothing may be healthy but disconnected: any zone that reaches
        // the zone is right.
        let is_unreachable = match local_verdict {
            Verdict::Unreachable => reaching * 2 <= supporting,
            Verdict::NoData | Verdict::Idle => reaching == 0,
            _ => false,
        };
        // If some zones can't reach the zone and others can, only those that reach it decide if it is
        // unhealthy.
        let failing_when_reached = failing > unreachable || local_verdict == Verdict::Unreachable;
        let (state, observers, reason) = if is_unreachable && supporting >= 2 && unreachable > 0 {
            let silence = if silent { ", its own balancers are silent" } else { "" };
            (ZoneState::Unreachable, supporting, format!("out of reach from {unreachable} zones{silence}"))
        } else if failing > healthy
            && failing_when_reached
            && (failing >= 2 && local_verdict != Verdict::Healthy || local_verdict.is_failing())
        {
            (
                ZoneState::Unhealthy,
                failing,
                format!("slow or failing for {failing} zones, well for {healthy}"),
            )
        } else if unreachable > 0 {
            (
                ZoneState::Partitioned,
                unreachable,
                format!("out of reach from {unreachable} zones, well in itself"),
            )
        } else {
            (ZoneState::Serving, reaching, String::new())
        };
        let unreachable_ms = self.unreachable_ms.get(usize::from(zone.0)).copied().unwrap_or(0);
        let unreachable_for = Duration::from_millis(u64::from(unreachable_ms));
        ZoneAssessment { state, reason, unreachable_from, observers: observers as u16, unreachable_for }
    }
}

/// Returns true if nearly everything that a balancer sees fails while other zones see most of it as healthy.
fn is_faulty_observer(zones: usize, observer: Zone, verdicts: &[(usize, Verdict)], all: &[Verdict]) -> bool {
    let reported = verdicts.iter().filter(|(_, verdict)| *verdict > Verdict::Idle).count();
    let failing: Vec<&(usize, Verdict)> =
        verdicts.iter().filter(|(_, verdict)| verdict.is_failing()).collect();
    if failing.len() < 2 || failing.len() * 5 < reported * 4 {
        return false;
    }
    let healthy_elsewhere = |(zone, local_verdict): &&&(usize, Verdict)| {
        let of = |from: usize| all[from * zones + zone];
        let from = (0..zones).filter(|from| *from != usize::from(observer.0));
        let (mut healthy, mut failing_elsewhere) = (0, 0);
        for verdict in from.map(of) {
            // Another zone's verdict counts as healthy if its requests are served, or if it reaches a zone
            // that this balancer can't reach.
            healthy += usize::from(
                verdict == Verdict::Healthy
                    || verdict == Verdict::Reachable && *local_verdict == Verdict::Unreachable,
            );
            failing_elsewhere += usize::from(verdict.is_failing());
        }
        healthy > failing_elsewhere
    };
    failing.iter().filter(healthy_elsewhere).count() * 2 > failing.len()
}
