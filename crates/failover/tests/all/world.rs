//! A small world: zones that really take so much, balancers that see it, a leader, and time.

use maplehook_failover::{Bounds, Decider, Demand, Document, FULL_SHARE, Report, ZoneObservation, ZoneState};
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::VecDeque;
use std::time::Duration;

/// A step of the world.
pub const STEP: Duration = Duration::from_millis(250);

/// How a zone really is.
#[derive(Clone, Debug)]
pub struct Truth {
    pub room: f64,
    /// Share of its upstreams that can be used.
    pub up: f64,
    pub warming: f64,
    /// Share of requests that fail, whoever sends them.
    pub failing: f64,
    /// Whether its balancers run.
    pub balancers: bool,
    pub demand: f64,
    /// Zones that do not reach it.
    pub unreachable_from: Vec<usize>,
}

/// The world.
pub struct World {
    pub now: Duration,
    pub topology: Topology,
    pub zones: Vec<Truth>,
    pub per_zone: usize,
    pub decider: Decider,
    pub force: Document,
    pub late: Duration,
    pub number: u64,
    /// Whether rooms are told in requests a second.
    pub stated: bool,
    /// Rates that were sent to each zone in the last step, by source.
    pub sent: Vec<Vec<f64>>,
    pub rejected: Vec<f64>,
    pub on_the_way: VecDeque<(Duration, String, Report)>,
    pub documents: Vec<(Duration, Document)>,
    /// Changes a report before it goes out, given the balancer's zone and number; `None` keeps it back.
    pub twist: fn(Duration, usize, usize, Report) -> Option<Report>,
    /// The worst load over what a zone bears, and how many requests were served of how many.
    pub worst: f64,
    pub served: f64,
    pub asked: f64,
}

pub fn topology() -> Topology {
    Topology::new([("north", vec!["a", "b"]), ("south", vec!["c", "d"])]).unwrap()
}

pub fn calm() -> Truth {
    Truth {
        room: 1000.0,
        up: 1.0,
        warming: 0.0,
        failing: 0.0,
        balancers: true,
        demand: 470.0,
        unreachable_from: vec![],
    }
}

impl World {
    pub fn new() -> Self {
        Self::with(topology(), Rules::near_first(1, 1), Bounds::default())
    }

    pub fn with(topology: Topology, rules: Rules, bounds: Bounds) -> Self {
        let zones: Vec<Truth> = topology.zones().map(|_| calm()).collect();
        let count = zones.len();
        let decider = Decider::new(topology.clone(), rules, bounds, None, Duration::ZERO);
        let mut world = Self {
            now: Duration::ZERO,
            topology,
            zones,
            per_zone: 3,
            force: decider.document().clone(),
            decider,
            late: Duration::ZERO,
            number: 0,
            stated: true,
            sent: vec![vec![0.0; count]; count],
            rejected: vec![0.0; count],
            on_the_way: VecDeque::new(),
            documents: Vec::new(),
            twist: |_, _, _, report| Some(report),
            worst: 0.0,
            served: 0.0,
            asked: 0.0,
        };
        world.set_members(0);
        world
    }

    pub fn set_members(&mut self, without: usize) {
        let name = |zone: usize, n: usize| (format!("{zone}-{n}"), Zone(zone as u16));
        let all: Vec<(String, Zone)> =
            (0..self.zones.len()).flat_map(|zone| (0..self.per_zone).map(move |n| name(zone, n))).collect();
        self.decider.set_members(&all, without);
    }

    pub fn lose(&mut self, zone: usize) {
        (self.zones[zone].up, self.zones[zone].balancers, self.zones[zone].demand) = (0.0, false, 0.0);
    }

    pub fn back(&mut self, zone: usize) {
        (self.zones[zone].up, self.zones[zone].balancers) = (1.0, true);
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        !self.zones[to].unreachable_from.contains(&from)
    }

    /// Sends the requests of one step by what is in force.
    fn send(&mut self) {
        let count = self.zones.len();
        self.sent = vec![vec![0.0; count]; count];
        for from in 0..count {
            let demand = self.zones[from].demand;
            let row = self.force.plan.row(0, Zone(from as u16)).cloned();
            let parts: Vec<(usize, f64)> = match row {
                Some(row) => row
                    .to
                    .iter()
                    .map(|share| (usize::from(share.zone.0), f64::from(share.part) / f64::from(FULL_SHARE)))
                    .collect(),
                None => vec![(from, 1.0)],
            };
            let sum: f64 = parts.iter().map(|(_, part)| part).sum();
            assert!(sum <= 1.0 + 1e-9);
            self.rejected[from] = demand * (1.0 - sum);
            for (to, part) in parts {
                self.sent[from][to] = demand * part;
            }
        }
        let step = STEP.as_secs_f64();
        for to in 0..count {
            let zone = &self.zones[to];
            let load: f64 = (0..count).map(|from| self.sent[from][to]).sum();
            let bears = zone.room * zone.up * (1.0 - zone.warming);
            if load > 0.0 && bears > 0.0 {
                self.worst = self.worst.max(load / bears);
            }
            let part = if load > bears { bears / load } else { 1.0 } * (1.0 - zone.failing);
            let reaching = (0..count).filter(|from| self.reaches(*from, to));
            let arrives: f64 = reaching.map(|from| self.sent[from][to]).sum();
            self.served += arrives * part * step;
        }
        self.asked += self.zones.iter().map(|zone| zone.demand).sum::<f64>() * step;
    }

    pub fn report(&self, from: usize) -> Report {
        let each = self.per_zone as f64;
        let count = self.zones.len();
        let sight = |to: usize| {
            let zone = &self.zones[to];
            let reached = self.reaches(from, to);
            let sent = self.sent[from][to] / each;
            let up = if reached { zone.up } else { 0.0 };
            let bears = zone.room * zone.up * (1.0 - zone.warming);
            let load: f64 = (0..count).map(|from| self.sent[from][to]).sum::<f64>() / bears.max(1e-9);
            let fail = if up > 0.0 { sent * zone.failing } else { 0.0 };
            let late = if load > 1.0 && up > 0.0 { sent * (1.0 - 1.0 / load) } else { 0.0 };
            let unit = if self.stated { 1.0 } else { 0.01 };
            ZoneObservation {
                zone: Zone(to as u16),
                stated: self.stated,
                listed: (zone.room * unit) as f32,
                usable: (zone.room * up * (1.0 - zone.warming) * unit) as f32,
                warming: (zone.room * up * zone.warming * unit) as f32,
                sent: sent as f32,
                ok: if up > 0.0 { (sent - fail - late) as f32 } else { 0.0 },
                slow: late as f32,
                failed: fail as f32,
                unreached: if up > 0.0 { 0.0 } else { sent as f32 },
                connect_ms: 1.0,
                load: if sent > 0.0 { load.min(10.0) as f32 } else { 0.0 },
                ..ZoneObservation::default()
            }
        };
        Report {
            number: self.number,
            start: 1,
            zone: Zone(from as u16),
            digest: self.decider.digest(),
            epoch: self.force.plan.epoch,
            ready: true,
            observations: (0..count).map(sight).collect(),
            demand: vec![Demand {
                rule: 0,
                asked: (self.zones[from].demand / each) as f32,
                rejected: (self.rejected[from] / each) as f32,
            }],
            ..Report::default()
        }
    }

    /// Requests, and reports every half second.
    fn pass(&mut self) {
        self.now += STEP;
        self.send();
        if self.now.as_millis().is_multiple_of(500) {
            self.number += 1;
            for zone in (0..self.zones.len()).filter(|zone| self.zones[*zone].balancers) {
                for n in 0..self.per_zone {
                    if let Some(report) = (self.twist)(self.now, zone, n, self.report(zone)) {
                        self.on_the_way.push_back((self.now + self.late, format!("{zone}-{n}"), report));
                    }
                }
            }
        }
        while self.on_the_way.front().is_some_and(|(at, _, _)| *at <= self.now) {
            let (_, name, report) = self.on_the_way.pop_front().unwrap();
            self.decider.record_report(self.now, &name, report);
        }
    }

    /// One step: requests, reports every half second, the leader's look, and what it says in force.
    pub fn step(&mut self) {
        self.pass();
        if let Some(document) = self.decider.tick(self.now) {
            self.take(document);
        }
    }

    /// A step in which nothing that the leader says is agreed on.
    pub fn step_silently(&mut self, said: &mut Vec<Document>) {
        self.pass();
        said.extend(self.decider.tick(self.now));
    }

    /// A report with another digest.
    pub fn report_as(&self, zone: usize, digest: u64) -> Report {
        Report { digest, number: u64::MAX, ..self.report(zone) }
    }

    pub fn take(&mut self, document: Document) {
        assert_eq!(Document::decode(&document.encode()).as_ref(), Some(&document));
        self.decider.accepted(&document);
        assert!(document.plan.epoch >= self.force.plan.epoch);
        self.documents.push((self.now, document.clone()));
        self.force = document;
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            self.step();
        }
    }

    /// Forgets what was counted.
    pub fn count_anew(&mut self) {
        (self.worst, self.served, self.asked) = (0.0, 0.0, 0.0);
        self.documents.clear();
    }

    pub fn state(&self, zone: usize) -> ZoneState {
        self.force.zone_statuses[zone].state
    }

    pub fn part(&self, from: usize, to: usize) -> f64 {
        let own = if from == to { 1.0 } else { 0.0 };
        let row = self.force.plan.row(0, Zone(from as u16));
        row.map_or(own, |row| f64::from(row.part(Zone(to as u16))) / f64::from(FULL_SHARE))
    }

    pub fn share_served(&self) -> f64 {
        self.served / self.asked
    }
}
