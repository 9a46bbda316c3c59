//! What reports say of zones, by the zone that they come from: each zone has one word on another, however many balancers it has.

use crate::document::ZoneState;
use crate::heard::Heard;
use crate::report::{Report, ZoneObservation};
use maplehook_locality::Zone;
use std::time::Duration;

/// Part of what is listed that counts as nothing.
const NOTHING: f32 = 0.02;
/// Part of attempts that are not reached, from which a zone is out of reach.
const UNREACHED: f32 = 0.6;
/// Part of attempts that are slow, failed or not reached, from which a zone is ill.
const BAD: f32 = 0.3;
/// Attempts a second that say anything.
const ATTEMPTS: f32 = 1.0;

/// What one balancer, or one zone's balancers together, say of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It lists nothing there, or nobody speaks.
    #[default]
    None,
    /// It has upstreams there, and sends nothing.
    Quiet,
    /// Connections to it are made; how requests fare there is not known.
    Reached,
    /// It is served well.
    Well,
    /// Slow or failing.
    Unhealthy,
    /// Nothing usable, or not reached.
    Out,
}

impl Verdict {
    /// Ill or out.
    pub fn is_bad(self) -> bool {
        self >= Self::Unhealthy
    }

    /// What a sight comes to.
    pub fn of(sight: &ZoneObservation) -> Self {
        if sight.listed <= 0.0 {
            return Self::None;
        }
        if sight.usable + sight.warming <= NOTHING * sight.listed {
            return Self::Out;
        }
        // Whoever says that more failed than it sent is taken at what it sent.
        let sent = sight.sent.max(sight.ok);
        // Probes are worth as much as attempts for whether it is there: zones that serve only their own have no other observers.
        if sent + sight.probes < ATTEMPTS {
            return Self::Quiet;
        }
        if sight.unreached + sight.failed_probes >= UNREACHED * (sent + sight.probes) {
            Self::Out
        } else if sent < ATTEMPTS {
            // A connection says nothing of what is answered on it.
            Self::Reached
        } else if sight.slow + sight.failed + sight.unreached >= BAD * sent {
            Self::Unhealthy
        } else {
            Self::Well
        }
    }
}

/// What is seen of a zone at one instant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Serving, ill, lost or cut.
    pub state: ZoneState,
    /// Why, in words; empty while it serves.
    pub reason: String,
    /// Zones whose balancers do not reach it, one bit each.
    pub out_of: u64,
    /// Zones that stand behind the state.
    pub observers: u16,
    /// For how long it has been out of reach already for two zones at least, by their own words.
    pub out_for: Duration,
}

/// One zone's balancers' words, one by one.
#[derive(Clone, Copy, Debug, Default)]
struct Votes {
    quiet: u16,
    reached: u16,
    well: u16,
    ill: u16,
    out: u16,
}

impl Votes {
    fn add(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::None => {}
            Verdict::Quiet => self.quiet += 1,
            Verdict::Reached => self.reached += 1,
            Verdict::Well => self.well += 1,
            Verdict::Unhealthy => self.ill += 1,
            Verdict::Out => self.out += 1,
        }
    }

    /// What more than half of those say who say anything, if these are not too few; the milder where they are halves.
    fn verdict(self) -> Verdict {
        let served = self.well + self.ill + self.out;
        let said = served + self.reached;
        let all = said + self.quiet;
        if all == 0 {
            Verdict::None
        } else if said * 4 < all || said == 0 {
            Verdict::Quiet
        } else if self.out * 2 > said {
            Verdict::Out
        } else if self.well + self.ill == 0 || served * 4 < all {
            Verdict::Reached
        } else if (self.out + self.ill) * 2 > served {
            Verdict::Unhealthy
        } else {
            Verdict::Well
        }
    }
}

/// All words, by the zone that speaks and the zone that is spoken of.
#[derive(Clone, Debug, PartialEq)]
pub struct Views {
    zones: usize,
    verdicts: Vec<Verdict>,
    /// By zone: for how many milliseconds two zones have not reached it.
    out_ms: Vec<u16>,
    /// Balancers that are left out, for all that they see is bad and others see it well.
    pub left_out: usize,
}

impl Views {
    /// Counts the words of these reports; the second value holds those that are counted.
    pub fn of<'a>(zones: usize, reports: &[&'a Report]) -> (Self, Vec<&'a Report>) {
        let said: Vec<Vec<(usize, Verdict)>> = reports
            .iter()
            .map(|report| {
                report.observations.iter().map(|s| (usize::from(s.zone.0), Verdict::of(s))).collect()
            })
            .collect();
        let mut all = vec![Votes::default(); zones * zones];
        for (report, verdicts) in reports.iter().zip(&said) {
            let at = usize::from(report.zone.0) * zones;
            verdicts.iter().for_each(|(zone, verdict)| all[at + zone].add(*verdict));
        }
        let first: Vec<Verdict> = all.iter().map(|votes| votes.verdict()).collect();
        let mut votes = vec![Votes::default(); zones * zones];
        let mut counted = Vec::with_capacity(reports.len());
        for (report, verdicts) in reports.iter().zip(&said) {
            if is_ill_itself(zones, report.zone, verdicts, &first) {
                continue;
            }
            counted.push(*report);
            let at = usize::from(report.zone.0) * zones;
            verdicts.iter().for_each(|(zone, verdict)| votes[at + zone].add(*verdict));
        }
        let verdicts = votes.into_iter().map(Votes::verdict).collect();
        let left_out = reports.len() - counted.len();
        let mut views = Self { zones, verdicts, out_ms: Vec::new(), left_out };
        views.out_ms = (0..zones as u16).map(|zone| views.second(Zone(zone), &counted)).collect();
        (views, counted)
    }

    /// For how long a zone is out of reach for two: the second longest of the medians of those that do not reach it.
    fn second(&self, zone: Zone, counted: &[&Report]) -> u16 {
        let mut by_zone: Vec<Vec<u16>> = vec![Vec::new(); self.zones];
        for report in counted.iter().filter(|report| self.verdict(report.zone, zone) == Verdict::Out) {
            let found = report.out_ms.binary_search_by_key(&zone, |(zone, _)| *zone);
            by_zone[usize::from(report.zone.0)].push(found.map_or(0, |n| report.out_ms[n].1));
        }
        let median = |mut all: Vec<u16>| {
            all.sort_unstable();
            all.get(all.len().checked_sub(1)? / 2).copied()
        };
        let mut all: Vec<u16> = by_zone.into_iter().filter_map(median).collect();
        all.sort_unstable();
        all.len().checked_sub(2).map_or(0, |second| all[second])
    }

    /// What the balancers of one zone say of another.
    pub fn verdict(&self, from: Zone, of: Zone) -> Verdict {
        self.verdicts.get(usize::from(from.0) * self.zones + usize::from(of.0)).copied().unwrap_or_default()
    }

    /// What is seen of each zone.
    pub fn seen(&self, heard: &Heard, fresh: &[&Report]) -> Vec<Seen> {
        let all = || (0..self.zones as u16).map(Zone);
        all().map(|zone| self.seen_of(zone, heard.is_silent(zone, fresh))).collect()
    }

    fn seen_of(&self, zone: Zone, silent: bool) -> Seen {
        let all = || (0..self.zones as u16).map(Zone);
        let own = self.verdict(zone, zone);
        let count = |what: fn(Verdict) -> bool| all().filter(|from| what(self.verdict(*from, zone))).count();
        let (out, bad) = (count(|verdict| verdict == Verdict::Out), count(Verdict::is_bad));
        let well = count(|verdict| verdict == Verdict::Well);
        let there = well + count(|verdict| verdict == Verdict::Reached);
        let out_of =
            all().filter(|from| self.verdict(*from, zone) == Verdict::Out).map(|from| 1 << from.0).sum();
        let behind = out + usize::from(silent);
        // Whose own balancers say nothing of it, or nothing at all, may be well and out of touch: whoever finds it there is right.
        let gone = match own {
            Verdict::Out => there * 2 <= behind,
            Verdict::None | Verdict::Quiet => there == 0,
            _ => false,
        };
        // What is out of reach for some and there for others is ill only for those that reached it.
        let failing = bad > out || own == Verdict::Out;
        let (state, observers, reason) = if gone && behind >= 2 && out > 0 {
            let silent = if silent { ", its own balancers are silent" } else { "" };
            (ZoneState::Unreachable, behind, format!("out of reach from {out} zones{silent}"))
        } else if bad > well && failing && (bad >= 2 && own != Verdict::Well || own.is_bad()) {
            (ZoneState::Unhealthy, bad, format!("slow or failing for {bad} zones, well for {well}"))
        } else if out > 0 {
            (ZoneState::Partitioned, out, format!("out of reach from {out} zones, well in itself"))
        } else {
            (ZoneState::Serving, there, String::new())
        };
        let out_ms = self.out_ms.get(usize::from(zone.0)).copied().unwrap_or(0);
        let out_for = Duration::from_millis(u64::from(out_ms));
        Seen { state, reason, out_of, observers: observers as u16, out_for }
    }
}

/// Whether all that a balancer sees is bad, while most of it is not to all others.
fn is_ill_itself(zones: usize, own: Zone, verdicts: &[(usize, Verdict)], all: &[Verdict]) -> bool {
    let said = verdicts.iter().filter(|(_, verdict)| *verdict > Verdict::Quiet).count();
    let bad: Vec<&(usize, Verdict)> = verdicts.iter().filter(|(_, verdict)| verdict.is_bad()).collect();
    if bad.len() < 2 || bad.len() * 5 < said * 4 {
        return false;
    }
    let others_well = |(zone, said): &&&(usize, Verdict)| {
        let of = |from: usize| all[from * zones + zone];
        let from = (0..zones).filter(|from| *from != usize::from(own.0));
        let (mut well, mut worse) = (0, 0);
        for verdict in from.map(of) {
            // What this one does not reach is well if others do; what fails for it is well if others are served.
            well +=
                usize::from(verdict == Verdict::Well || verdict == Verdict::Reached && *said == Verdict::Out);
            worse += usize::from(verdict.is_bad());
        }
        well > worse
    };
    bad.iter().filter(others_well).count() * 2 > bad.len()
}
