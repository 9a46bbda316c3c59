//! Estimates the capacity of each zone and the demand from reports that may be wrong or forged.
//!
//! A capacity is the median over zones of the medians over their balancers. A faulty balancer thus has one
//! vote within its zone, and a zone one vote among zones. Values that add up over balancers (attempts,
//! demand) are capped for each balancer.

use crate::report::{Report, ZoneObservation};
use crate::verdict::{Verdict, VerdictMatrix};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant with which a learned capacity follows new measurements.
const LEARNING_TIME: Duration = Duration::from_secs(20);
/// Time after which a learned capacity without new measurements is dropped.
const LEARNED_EXPIRY: Duration = Duration::from_secs(900);
/// Minimum load of a zone to learn its capacity from.
const MIN_LEARNING_LOAD: f64 = 0.15;
/// Factor on the total demand that gives the total capacity if no capacity is known.
const UNKNOWN_CAPACITY_FACTOR: f64 = 1.25;
/// Multiple of the median up to which the values of one balancer count.
const MAX_MEDIAN_MULTIPLE: f64 = 4.0;
/// Answers per second allowed above this multiple of a zone's capacity, since rates are averaged over a short
/// time.
const ANSWER_RATE_ALLOWANCE: f64 = 10.0;
/// Multiple of an even share of the total capacity up to which the demand of one balancer always counts.
const MAX_EVEN_MULTIPLE: f64 = 2.0;

/// Capacity of one zone, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Capacity of the usable upstreams.
    pub usable: f64,
    /// Capacity if all listed upstreams were healthy and past slow start.
    pub listed: f64,
    /// Observed load relative to `usable`; 1 is full.
    pub load: f64,
}

/// Capacities learned so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityEstimator {
    /// Requests per second for an upstream weight of 1, the time of the last update, and the time of the last
    /// measurement.
    learned: BTreeMap<Zone, (f64, Duration, Duration)>,
}

/// Minimum attempts per second for a balancer to know which upstreams of a zone are usable.
const MIN_SENDING_RATE: f32 = 0.5;

/// Medians of the reports on one zone, before conversion to a capacity.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneMedians {
    stated: bool,
    listed: f64,
    usable: f64,
    load: f64,
    sent: f64,
}

impl CapacityEstimator {
    /// Returns the capacity of each zone from the accepted reports; `total_demand` is in requests per
    /// second.
    pub fn of(
        &mut self,
        now: Duration,
        zones: usize,
        verdicts: &VerdictMatrix,
        reports: &[&Report],
        total_demand: f64,
    ) -> Vec<ZoneCapacity> {
        let zone_medians: Vec<ZoneMedians> =
            (0..zones as u16).map(|zone| zone_medians(Zone(zone), zones, verdicts, reports)).collect();
        for (n, medians) in zone_medians.iter().enumerate().filter(|(_, medians)| !medians.stated) {
            self.learn(now, Zone(n as u16), medians);
        }
        let learned_rate =
            |n: usize| self.learned.get(&Zone(n as u16)).map(|(rate_per_weight, _, _)| *rate_per_weight);
        let values: Vec<f64> = (0..zones).filter_map(learned_rate).collect();
        let unknown_weight: f64 =
            zone_medians.iter().filter(|medians| !medians.stated).map(|medians| medians.usable).sum();
        // If no capacity is known, all unknown zones together get a little more than the total demand.
        let default_rate = match median(values) {
            Some(rate_per_weight) => rate_per_weight * 0.5,
            None if unknown_weight > 0.0 => total_demand.max(1.0) * UNKNOWN_CAPACITY_FACTOR / unknown_weight,
            None => 0.0,
        };
        let capacity = |(n, medians): (usize, &ZoneMedians)| {
            let rate_per_weight = if medians.stated { 1.0 } else { learned_rate(n).unwrap_or(default_rate) };
            let usable = medians.usable * rate_per_weight;
            let load = if medians.load > 0.0 {
                medians.load
            } else if usable > 0.0 {
                medians.sent / usable
            } else {
                0.0
            };
            ZoneCapacity { usable, listed: medians.listed.max(medians.usable) * rate_per_weight, load }
        };
        zone_medians.iter().enumerate().map(capacity).collect()
    }

    fn learn(&mut self, now: Duration, zone: Zone, medians: &ZoneMedians) {
        self.learned.retain(|_, (_, _, seen)| now.saturating_sub(*seen) < LEARNED_EXPIRY);
        if medians.load < MIN_LEARNING_LOAD || medians.usable <= 0.0 || medians.sent < 1.0 {
            return;
        }
        let rate_per_weight = medians.sent / (medians.load * medians.usable);
        let entry = self.learned.entry(zone).or_insert((rate_per_weight, now, now));
        let elapsed = now.saturating_sub(entry.1).as_secs_f64() / LEARNING_TIME.as_secs_f64();
        entry.0 += (rate_per_weight - entry.0) * (1.0 - (-elapsed).exp());
        (entry.1, entry.2) = (now, now);
    }
}

/// Returns the median; the lower of the two middle values for an even count.
fn median(mut values: Vec<f64>) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

fn zone_medians(zone: Zone, zones: usize, verdicts: &VerdictMatrix, reports: &[&Report]) -> ZoneMedians {
    let observations: Vec<(Zone, &ZoneObservation)> =
        reports.iter().filter_map(|report| Some((report.zone, report.observation(zone)?))).collect();
    let stated =
        observations.iter().filter(|(_, observation)| observation.stated).count() * 2 > observations.len();
    let (mut listed, mut usable, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    let reaches = |from: Zone| verdicts.verdict(from, zone) != Verdict::Unreachable;
    let any_reaches = observations.iter().any(|(from, _)| reaches(*from));
    let mut by_zone: Vec<Vec<&ZoneObservation>> = vec![Vec::new(); zones];
    for (from, observation) in observations.iter().filter(|(_, observation)| observation.stated == stated) {
        by_zone[usize::from(from.0)].push(observation);
    }
    // A balancer that sends nothing to a zone doesn't learn of ejected or failed upstreams and reports the
    // full list as usable.
    let is_sending =
        |from: usize| by_zone[from].iter().any(|observation| observation.sent >= MIN_SENDING_RATE);
    let any_sending = (0..zones).any(|from| is_sending(from) && reaches(Zone(from as u16)));
    // All balancers have the same list, so each zone has one vote on it. Otherwise a single balancer could
    // inflate the capacity of its own zone.
    for in_zone in &by_zone {
        listed.extend(median(in_zone.iter().map(|s| f64::from(s.listed)).collect()));
    }
    let listed = median(listed).unwrap_or(0.0);
    for (from, in_zone) in by_zone.iter().enumerate().filter(|(from, _)| !any_sending || is_sending(*from)) {
        // A balancer that can't reach the zone doesn't know how much of it is usable.
        if in_zone.is_empty() || any_reaches && !reaches(Zone(from as u16)) {
            continue;
        }
        let of = |value: fn(&ZoneObservation) -> f32| {
            median(in_zone.iter().map(|s| f64::from(value(s))).collect())
        };
        usable.extend(of(|s| s.usable.min(s.listed)));
        let used_loads =
            in_zone.iter().filter(|s| s.load > 0.0 && s.sent > 0.0).map(|s| f64::from(s.load)).collect();
        loads.extend(median(used_loads));
    }
    let sent =
        capped_values(reports, 0.0, |report| report.observation(zone).map_or(0.0, |s| f64::from(s.sent)));
    ZoneMedians {
        stated,
        listed,
        usable: median(usable).unwrap_or(0.0).min(listed),
        load: median(loads).unwrap_or(0.0),
        sent: sent.iter().sum(),
    }
}

/// Returns one value per balancer, capped at a multiple of the median of its zone, or of twice the overall
/// median if the zone has fewer than three balancers.
fn capped_values(reports: &[&Report], floor: f64, value: impl Fn(&Report) -> f64) -> Vec<f64> {
    let values: Vec<f64> = reports.iter().map(|report| value(report)).collect();
    let Some(overall_median) = median(values.iter().copied().filter(|value| *value > 0.0).collect()) else {
        return values;
    };
    let mut by_zone: BTreeMap<Zone, Vec<f64>> = BTreeMap::new();
    for (report, value) in reports.iter().zip(&values) {
        by_zone.entry(report.zone).or_default().push(*value);
    }
    let cap_by_zone: BTreeMap<Zone, f64> = by_zone
        .into_iter()
        .map(|(zone, in_zone)| {
            let is_small = in_zone.len() < 3;
            let median = median(in_zone).unwrap_or(0.0);
            let typical = if is_small || median <= 0.0 { 2.0 * overall_median } else { median };
            (zone, (MAX_MEDIAN_MULTIPLE * typical).max(floor))
        })
        .collect();
    // With two balancers, the median does not tell which one is wrong.
    if reports.len() < 3 {
        return values;
    }
    reports.iter().zip(values).map(|(report, value)| value.min(cap_by_zone[&report.zone])).collect()
}

/// Separates plausible from implausible reports: those that list far more upstreams than the median or far
/// more timely answers than a zone has capacity for. With fewer than three reports, the median does not tell
/// which one is wrong. Values that half of all balancers report count as plausible.
pub fn partition_reports<'a>(
    zones: usize,
    fresh_reports: &[&'a Report],
) -> (Vec<&'a Report>, Vec<&'a Report>) {
    if fresh_reports.len() < 3 {
        return (fresh_reports.to_vec(), Vec::new());
    }
    // Stated capacities and weights have different units.
    let listed = |zone: Zone, stated: bool| {
        let observations = fresh_reports.iter().filter_map(|report| report.observation(zone));
        let comparable =
            observations.filter(|observation| observation.stated == stated && observation.listed > 0.0);
        median(comparable.map(|observation| f64::from(observation.listed)).collect())
    };
    let listed: Vec<[Option<f64>; 2]> =
        (0..zones as u16).map(|zone| [false, true].map(|stated| listed(Zone(zone), stated))).collect();
    let plausible = |report: &&&Report| {
        let is_plausible = |observation: &ZoneObservation| {
            let typical = listed.get(usize::from(observation.zone.0));
            let Some(listed) = typical.and_then(|of| of[usize::from(observation.stated)]) else {
                return true;
            };
            let answers_plausible = !observation.stated
                || f64::from(observation.ok) <= MAX_MEDIAN_MULTIPLE * listed + ANSWER_RATE_ALLOWANCE;
            f64::from(observation.listed) <= MAX_MEDIAN_MULTIPLE * listed && answers_plausible
        };
        report.observations.iter().all(is_plausible)
    };
    let (plausible, implausible): (Vec<&Report>, Vec<&Report>) = fresh_reports.iter().partition(plausible);
    if 2 * implausible.len() >= fresh_reports.len() {
        (fresh_reports.to_vec(), Vec::new())
    } else {
        (plausible, implausible)
    }
}

/// Returns the demand by rule and source zone; `capacity` is the total of all zones. Balancers with
/// implausible reports still have clients, so that their demand counts as the median.
pub fn aggregate_demand(
    reports: &[&Report],
    implausible: &[&Report],
    capacity: f64,
) -> BTreeMap<(u16, Zone), f64> {
    let floor = MAX_EVEN_MULTIPLE * capacity / reports.len().max(1) as f64;
    let total_demand = |report: &Report| report.demand.iter().map(|d| f64::from(d.asked)).sum();
    let mut capped_values = capped_values(reports, floor, total_demand);
    let median_demand = median(capped_values.clone()).unwrap_or(0.0);
    capped_values.resize(reports.len() + implausible.len(), median_demand);
    let reports: Vec<&Report> = reports.iter().chain(implausible).copied().collect();
    let rules = reports.iter().flat_map(|report| &report.demand).map(|d| usize::from(d.rule) + 1).max();
    let zones = reports.iter().map(|report| usize::from(report.zone.0) + 1).max().unwrap_or(0);
    let mut table = vec![0.0; rules.unwrap_or(0) * zones];
    for (report, capped) in reports.iter().zip(capped_values) {
        let total_demand = total_demand(report);
        if total_demand > 0.0 {
            for d in &report.demand {
                let at = usize::from(d.rule) * zones + usize::from(report.zone.0);
                table[at] += f64::from(d.asked) * capped / total_demand;
            }
        }
    }
    let cell = |(n, rate): (usize, f64)| (((n / zones) as u16, Zone((n % zones) as u16)), rate);
    table.into_iter().enumerate().filter(|(_, rate)| *rate > 0.0).map(cell).collect()
}
