//! How many requests a second each zone can take, and how many are asked for: of figures that may be wrong or made up.
//!
//! A room is the median over zones of the medians over their balancers, so that whoever lies has one voice among its zone's, and a
//! zone one among zones. What adds up over balancers (sent, asked) is capped by balancer.

use crate::evidence::{Verdict, Views};
use crate::report::{Report, ZoneObservation};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time over which what is learned of a room follows.
const FOLLOWS: Duration = Duration::from_secs(20);
/// What is learned and not seen again is no longer known after this.
const FORGOTTEN: Duration = Duration::from_secs(900);
/// Load under which too little is held to learn from.
const LOAD_LEAST: f64 = 0.15;
/// Where no room is known, it is taken to be this times what is asked for altogether.
const CAUTIOUS: f64 = 1.25;
/// Times the median that one balancer's figures may count.
const TIMES_MEDIAN: f64 = 4.0;
/// Answers a second beyond that, of what a zone has room for: rates are of short times.
const ANSWERS: f64 = 10.0;
/// Times its even part of all room that one balancer's figures may always count.
const TIMES_EVEN: f64 = 2.0;

/// A zone's room, in requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// What it can take now.
    pub usable: f64,
    /// What it could if all of it were well and warm.
    pub listed: f64,
    /// Its load over `usable`, as it is seen.
    pub load: f64,
}

/// What has been learned of rooms so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityEstimator {
    /// Requests a second for one of weight, when it was learned last, and when it was last seen.
    learned: BTreeMap<Zone, (f64, Duration, Duration)>,
}

/// Attempts a second of a balancer that knows what of a zone can be used.
const SENDS: f32 = 0.5;

/// Figures of one zone before they are rooms.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    stated: bool,
    listed: f64,
    usable: f64,
    load: f64,
    sent: f64,
}

impl CapacityEstimator {
    /// Rooms by zone, of the reports that are counted. `asked` is what is asked for altogether.
    pub fn of(
        &mut self,
        now: Duration,
        zones: usize,
        views: &Views,
        reports: &[&Report],
        asked: f64,
    ) -> Vec<Room> {
        let figures: Vec<Figures> =
            (0..zones as u16).map(|zone| figures(Zone(zone), zones, views, reports)).collect();
        for (n, f) in figures.iter().enumerate().filter(|(_, f)| !f.stated) {
            self.learn(now, Zone(n as u16), f);
        }
        let known = |n: usize| self.learned.get(&Zone(n as u16)).map(|(each, _, _)| *each);
        let all: Vec<f64> = (0..zones).filter_map(known).collect();
        let weights: f64 = figures.iter().filter(|f| !f.stated).map(|f| f.usable).sum();
        // Of nothing known, all unknown zones together are a little more than what is asked for.
        let unknown = match median(all) {
            Some(each) => each * 0.5,
            None if weights > 0.0 => asked.max(1.0) * CAUTIOUS / weights,
            None => 0.0,
        };
        let room = |(n, f): (usize, &Figures)| {
            let each = if f.stated { 1.0 } else { known(n).unwrap_or(unknown) };
            let usable = f.usable * each;
            let load = if f.load > 0.0 {
                f.load
            } else if usable > 0.0 {
                f.sent / usable
            } else {
                0.0
            };
            Room { usable, listed: f.listed.max(f.usable) * each, load }
        };
        figures.iter().enumerate().map(room).collect()
    }

    fn learn(&mut self, now: Duration, zone: Zone, f: &Figures) {
        self.learned.retain(|_, (_, _, seen)| now.saturating_sub(*seen) < FORGOTTEN);
        if f.load < LOAD_LEAST || f.usable <= 0.0 || f.sent < 1.0 {
            return;
        }
        let each = f.sent / (f.load * f.usable);
        let entry = self.learned.entry(zone).or_insert((each, now, now));
        let passed = now.saturating_sub(entry.1).as_secs_f64() / FOLLOWS.as_secs_f64();
        entry.0 += (each - entry.0) * (1.0 - (-passed).exp());
        (entry.1, entry.2) = (now, now);
    }
}

/// The middle one; the lesser of two.
fn median(mut all: Vec<f64>) -> Option<f64> {
    let middle = all.len().checked_sub(1)? / 2;
    Some(*all.select_nth_unstable_by(middle, f64::total_cmp).1)
}

fn figures(zone: Zone, zones: usize, views: &Views, reports: &[&Report]) -> Figures {
    let observations: Vec<(Zone, &ZoneObservation)> =
        reports.iter().filter_map(|report| Some((report.zone, report.sight(zone)?))).collect();
    let stated = observations.iter().filter(|(_, sight)| sight.stated).count() * 2 > observations.len();
    let (mut listed, mut usable, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    let reached = |from: Zone| views.verdict(from, zone) != Verdict::Out;
    let any = observations.iter().any(|(from, _)| reached(*from));
    let mut by_zone: Vec<Vec<&ZoneObservation>> = vec![Vec::new(); zones];
    for (from, sight) in observations.iter().filter(|(_, sight)| sight.stated == stated) {
        by_zone[usize::from(from.0)].push(sight);
    }
    // Who sends nothing there has not heard of what is ejected or gone: it lists what there should be.
    let sends = |from: usize| by_zone[from].iter().any(|sight| sight.sent >= SENDS);
    let any_sends = (0..zones).any(|from| sends(from) && reached(Zone(from as u16)));
    // All have the same list: one zone's word on it is one among all, or a lone balancer could make its zone as large as it likes.
    for here in &by_zone {
        listed.extend(median(here.iter().map(|s| f64::from(s.listed)).collect()));
    }
    let listed = median(listed).unwrap_or(0.0);
    for (from, here) in by_zone.iter().enumerate().filter(|(from, _)| !any_sends || sends(*from)) {
        // Whoever does not reach it can't say how much of it is usable.
        if here.is_empty() || any && !reached(Zone(from as u16)) {
            continue;
        }
        let of =
            |figure: fn(&ZoneObservation) -> f32| median(here.iter().map(|s| f64::from(figure(s))).collect());
        usable.extend(of(|s| s.usable.min(s.listed)));
        let used = here.iter().filter(|s| s.load > 0.0 && s.sent > 0.0).map(|s| f64::from(s.load)).collect();
        loads.extend(median(used));
    }
    let sent = capped(reports, 0.0, |report| report.sight(zone).map_or(0.0, |s| f64::from(s.sent)));
    Figures {
        stated,
        listed,
        usable: median(usable).unwrap_or(0.0).min(listed),
        load: median(loads).unwrap_or(0.0),
        sent: sent.iter().sum(),
    }
}

/// A figure of each balancer, none more than some times the median of its zone's (of all, where its zone has too few).
fn capped(reports: &[&Report], floor: f64, figure: impl Fn(&Report) -> f64) -> Vec<f64> {
    let all: Vec<f64> = reports.iter().map(|report| figure(report)).collect();
    let Some(fleet) = median(all.iter().copied().filter(|figure| *figure > 0.0).collect()) else {
        return all;
    };
    let mut by_zone: BTreeMap<Zone, Vec<f64>> = BTreeMap::new();
    for (report, figure) in reports.iter().zip(&all) {
        by_zone.entry(report.zone).or_default().push(*figure);
    }
    let caps: BTreeMap<Zone, f64> = by_zone
        .into_iter()
        .map(|(zone, here)| {
            let few = here.len() < 3;
            let median = median(here).unwrap_or(0.0);
            let of_zone = if few || median <= 0.0 { 2.0 * fleet } else { median };
            (zone, (TIMES_MEDIAN * of_zone).max(floor))
        })
        .collect();
    // Two voices have no median that says who lies.
    if reports.len() < 3 {
        return all;
    }
    reports.iter().zip(all).map(|(report, figure)| figure.min(caps[&report.zone])).collect()
}

/// Reports that can be, and those that can't: many more upstreams than most know of, or many more answers in time than a zone has
/// room for. Of what such a one says nothing is counted. Two have no median that says which of them it is; and what half of all
/// say can be, whatever is stated.
pub fn credible<'a>(zones: usize, fresh: &[&'a Report]) -> (Vec<&'a Report>, Vec<&'a Report>) {
    if fresh.len() < 3 {
        return (fresh.to_vec(), Vec::new());
    }
    // Rooms and weights are no figures of one kind.
    let listed = |zone: Zone, stated: bool| {
        let observations = fresh.iter().filter_map(|report| report.sight(zone));
        let of_kind = observations.filter(|sight| sight.stated == stated && sight.listed > 0.0);
        median(of_kind.map(|sight| f64::from(sight.listed)).collect())
    };
    let listed: Vec<[Option<f64>; 2]> =
        (0..zones as u16).map(|zone| [false, true].map(|stated| listed(Zone(zone), stated))).collect();
    let can_be = |report: &&&Report| {
        let sight_can = |sight: &ZoneObservation| {
            let of_zone = listed.get(usize::from(sight.zone.0));
            let Some(listed) = of_zone.and_then(|of| of[usize::from(sight.stated)]) else { return true };
            let answers = !sight.stated || f64::from(sight.ok) <= TIMES_MEDIAN * listed + ANSWERS;
            f64::from(sight.listed) <= TIMES_MEDIAN * listed && answers
        };
        report.observations.iter().all(sight_can)
    };
    let (can_be, wild): (Vec<&Report>, Vec<&Report>) = fresh.iter().partition(can_be);
    if 2 * wild.len() >= fresh.len() { (fresh.to_vec(), Vec::new()) } else { (can_be, wild) }
}

/// What is asked for by rule and zone, of the reports that are counted; `room` is that of all zones. Who says what can't be has
/// clients all the same: it counts as the middle one.
pub fn demand(reports: &[&Report], wild: &[&Report], room: f64) -> BTreeMap<(u16, Zone), f64> {
    let floor = TIMES_EVEN * room / reports.len().max(1) as f64;
    let total = |report: &Report| report.demand.iter().map(|d| f64::from(d.asked)).sum();
    let mut capped = capped(reports, floor, total);
    let middle = median(capped.clone()).unwrap_or(0.0);
    capped.resize(reports.len() + wild.len(), middle);
    let reports: Vec<&Report> = reports.iter().chain(wild).copied().collect();
    let rules = reports.iter().flat_map(|report| &report.demand).map(|d| usize::from(d.rule) + 1).max();
    let zones = reports.iter().map(|report| usize::from(report.zone.0) + 1).max().unwrap_or(0);
    let mut table = vec![0.0; rules.unwrap_or(0) * zones];
    for (report, capped) in reports.iter().zip(capped) {
        let total = total(report);
        if total > 0.0 {
            for d in &report.demand {
                let at = usize::from(d.rule) * zones + usize::from(report.zone.0);
                table[at] += f64::from(d.asked) * capped / total;
            }
        }
    }
    let cell = |(n, rate): (usize, f64)| (((n / zones) as u16, Zone((n % zones) as u16)), rate);
    table.into_iter().enumerate().filter(|(_, rate)| *rate > 0.0).map(cell).collect()
}
