//! Simulation of zones with given capacities and faults, their balancers, a leader, and a clock.

use maplehook_failover::{Bounds, Decider, Demand, Document, FULL_SHARE, Report, ZoneObservation, ZoneState};
use maplehook_locality::{Rules, Topology, Zone};
use std::collections::VecDeque;
use std::time::Duration;

/// Simulated time per step.
pub const STEP_DURATION: Duration = Duration::from_millis(250);

/// Actual conditions in a zone, which balancers observe.
#[derive(Clone, Debug)]
pub struct ZoneConditions {
    /// Requests per second that all upstreams of the zone serve together.
    pub capacity: f64,
    /// Share of the upstreams that are usable, 0 to 1.
    pub usable_share: f64,
    /// Share of the usable capacity that is missing because of slow start, 0 to 1.
    pub warming_share: f64,
    /// Share of the requests to the zone that fail, 0 to 1.
    pub failing_share: f64,
    /// Set while the balancers of the zone run and report.
    pub has_running_balancers: bool,
    /// Requests per second that clients send to the balancers of the zone.
    pub demand: f64,
    /// Source zones that cannot connect to this zone.
    pub unreachable_from: Vec<usize>,
}

/// Zones, balancers and leader, with counters of the requests.
pub struct Simulation {
    pub now: Duration,
    pub topology: Topology,
    pub zones: Vec<ZoneConditions>,
    pub balancers_per_zone: usize,
    pub decider: Decider,
    /// Document that all balancers apply.
    pub document: Document,
    /// Time that reports take to reach the leader.
    pub report_delay: Duration,
    /// Sequence number of the latest reports.
    pub report_number: u64,
    /// Set if reports give capacities in requests per second; otherwise they give weights.
    pub states_capacity: bool,
    /// Requests per second in the last step, by source and destination zone.
    pub sent_rates: Vec<Vec<f64>>,
    /// Requests per second rejected in the last step, by source zone.
    pub rejected_rates: Vec<f64>,
    /// Arrival times, balancer names and reports, in order of arrival.
    pub reports_in_transit: VecDeque<(Duration, String, Report)>,
    /// Documents applied since the last reset of the counters, with their times.
    pub agreed_documents: Vec<(Duration, Document)>,
    /// Alters a report before it is sent, given the time and the balancer's zone and number. `None` drops the
    /// report.
    pub alter_report: fn(Duration, usize, usize, Report) -> Option<Report>,
    /// Highest load of any zone relative to its usable capacity; 1 is full.
    pub max_load: f64,
    /// Number of requests that were served.
    pub served_requests: f64,
    /// Number of requests that clients sent.
    pub total_requests: f64,
}

pub fn topology() -> Topology {
    Topology::new([("north", vec!["a", "b"]), ("south", vec!["c", "d"])]).unwrap()
}

pub fn healthy_zone() -> ZoneConditions {
    ZoneConditions {
        capacity: 1000.0,
        usable_share: 1.0,
        warming_share: 0.0,
        failing_share: 0.0,
        has_running_balancers: true,
        demand: 470.0,
        unreachable_from: vec![],
    }
}

impl Simulation {
    pub fn new() -> Self {
        Self::with_config(topology(), Rules::near_first(1, 1), Bounds::default())
    }

    pub fn with_config(topology: Topology, rules: Rules, bounds: Bounds) -> Self {
        let zones: Vec<ZoneConditions> = topology.zones().map(|_| healthy_zone()).collect();
        let count = zones.len();
        let decider = Decider::new(topology.clone(), rules, bounds, None, Duration::ZERO);
        let mut sim = Self {
            now: Duration::ZERO,
            topology,
            zones,
            balancers_per_zone: 3,
            document: decider.document().clone(),
            decider,
            report_delay: Duration::ZERO,
            report_number: 0,
            states_capacity: true,
            sent_rates: vec![vec![0.0; count]; count],
            rejected_rates: vec![0.0; count],
            reports_in_transit: VecDeque::new(),
            agreed_documents: Vec::new(),
            alter_report: |_, _, _, report| Some(report),
            max_load: 0.0,
            served_requests: 0.0,
            total_requests: 0.0,
        };
        sim.set_members(0);
        sim
    }

    /// Registers all balancers with the leader, and `unlocated` further balancers without a zone.
    pub fn set_members(&mut self, unlocated: usize) {
        let member = |zone: usize, n: usize| (format!("{zone}-{n}"), Zone(zone as u16));
        let members: Vec<(String, Zone)> = (0..self.zones.len())
            .flat_map(|zone| (0..self.balancers_per_zone).map(move |n| member(zone, n)))
            .collect();
        self.decider.set_members(&members, unlocated);
    }

    /// Stops the upstreams, balancers and clients of a zone.
    pub fn fail_with_balancers(&mut self, zone: usize) {
        (self.zones[zone].usable_share, self.zones[zone].has_running_balancers, self.zones[zone].demand) =
            (0.0, false, 0.0);
    }

    /// Restarts the upstreams and balancers of a zone; its demand stays unchanged.
    pub fn recover(&mut self, zone: usize) {
        (self.zones[zone].usable_share, self.zones[zone].has_running_balancers) = (1.0, true);
    }

    pub fn can_reach(&self, from: usize, to: usize) -> bool {
        !self.zones[to].unreachable_from.contains(&from)
    }

    /// Sends the requests of one step as the document directs.
    fn send_requests(&mut self) {
        let count = self.zones.len();
        self.sent_rates = vec![vec![0.0; count]; count];
        for from in 0..count {
            let demand = self.zones[from].demand;
            let row = self.document.plan.row(0, Zone(from as u16)).cloned();
            let shares: Vec<(usize, f64)> = match row {
                Some(row) => row
                    .to
                    .iter()
                    .map(|share| (usize::from(share.zone.0), f64::from(share.part) / f64::from(FULL_SHARE)))
                    .collect(),
                None => vec![(from, 1.0)],
            };
            let total_share: f64 = shares.iter().map(|(_, share)| share).sum();
            assert!(total_share <= 1.0 + 1e-9);
            self.rejected_rates[from] = demand * (1.0 - total_share);
            for (to, share) in shares {
                self.sent_rates[from][to] = demand * share;
            }
        }
        let step_s = STEP_DURATION.as_secs_f64();
        for to in 0..count {
            let zone = &self.zones[to];
            let load: f64 = (0..count).map(|from| self.sent_rates[from][to]).sum();
            let usable_capacity = zone.capacity * zone.usable_share * (1.0 - zone.warming_share);
            if load > 0.0 && usable_capacity > 0.0 {
                self.max_load = self.max_load.max(load / usable_capacity);
            }
            let served_ratio = if load > usable_capacity { usable_capacity / load } else { 1.0 }
                * (1.0 - zone.failing_share);
            let connected_sources = (0..count).filter(|from| self.can_reach(*from, to));
            let arriving_rate: f64 = connected_sources.map(|from| self.sent_rates[from][to]).sum();
            self.served_requests += arriving_rate * served_ratio * step_s;
        }
        self.total_requests += self.zones.iter().map(|zone| zone.demand).sum::<f64>() * step_s;
    }

    /// Returns the report of each balancer in zone `from`.
    pub fn report(&self, from: usize) -> Report {
        let balancers = self.balancers_per_zone as f64;
        let count = self.zones.len();
        let observation = |to: usize| {
            let zone = &self.zones[to];
            let is_reachable = self.can_reach(from, to);
            let sent = self.sent_rates[from][to] / balancers;
            let usable_share = if is_reachable { zone.usable_share } else { 0.0 };
            let usable_capacity = zone.capacity * zone.usable_share * (1.0 - zone.warming_share);
            let load: f64 =
                (0..count).map(|from| self.sent_rates[from][to]).sum::<f64>() / usable_capacity.max(1e-9);
            let failed = if usable_share > 0.0 { sent * zone.failing_share } else { 0.0 };
            let slow = if load > 1.0 && usable_share > 0.0 { sent * (1.0 - 1.0 / load) } else { 0.0 };
            let capacity_unit = if self.states_capacity { 1.0 } else { 0.01 };
            ZoneObservation {
                zone: Zone(to as u16),
                stated: self.states_capacity,
                listed: (zone.capacity * capacity_unit) as f32,
                usable: (zone.capacity * usable_share * (1.0 - zone.warming_share) * capacity_unit) as f32,
                warming: (zone.capacity * usable_share * zone.warming_share * capacity_unit) as f32,
                sent: sent as f32,
                ok: if usable_share > 0.0 { (sent - failed - slow) as f32 } else { 0.0 },
                slow: slow as f32,
                failed: failed as f32,
                unreached: if usable_share > 0.0 { 0.0 } else { sent as f32 },
                connect_ms: 1.0,
                load: if sent > 0.0 { load.min(10.0) as f32 } else { 0.0 },
                ..ZoneObservation::default()
            }
        };
        Report {
            number: self.report_number,
            start: 1,
            zone: Zone(from as u16),
            digest: self.decider.digest(),
            epoch: self.document.plan.epoch,
            ready: true,
            observations: (0..count).map(observation).collect(),
            demand: vec![Demand {
                rule: 0,
                asked: (self.zones[from].demand / balancers) as f32,
                rejected: (self.rejected_rates[from] / balancers) as f32,
            }],
            ..Report::default()
        }
    }

    /// Advances the time by one step: sends requests, and a report per balancer every half second.
    fn advance(&mut self) {
        self.now += STEP_DURATION;
        self.send_requests();
        if self.now.as_millis().is_multiple_of(500) {
            self.report_number += 1;
            for zone in (0..self.zones.len()).filter(|zone| self.zones[*zone].has_running_balancers) {
                for n in 0..self.balancers_per_zone {
                    if let Some(report) = (self.alter_report)(self.now, zone, n, self.report(zone)) {
                        self.reports_in_transit.push_back((
                            self.now + self.report_delay,
                            format!("{zone}-{n}"),
                            report,
                        ));
                    }
                }
            }
        }
        while self.reports_in_transit.front().is_some_and(|(arrival, _, _)| *arrival <= self.now) {
            let (_, name, report) = self.reports_in_transit.pop_front().unwrap();
            self.decider.record_report(self.now, &name, report);
        }
    }

    /// Runs one step and applies the document that the leader proposes, if any.
    pub fn step(&mut self) {
        self.advance();
        if let Some(document) = self.decider.tick(self.now) {
            self.apply_document(document);
        }
    }

    /// Runs one step in which no proposal of the leader is agreed on, and adds it to `proposals`.
    pub fn step_without_agreement(&mut self, proposals: &mut Vec<Document>) {
        self.advance();
        proposals.extend(self.decider.tick(self.now));
    }

    /// Returns a report of zone `zone` with the given digest.
    pub fn report_with_digest(&self, zone: usize, digest: u64) -> Report {
        Report { digest, number: u64::MAX, ..self.report(zone) }
    }

    /// Applies a document that was agreed on.
    pub fn apply_document(&mut self, document: Document) {
        assert_eq!(Document::decode(&document.encode()).as_ref(), Some(&document));
        self.decider.accepted(&document);
        assert!(document.plan.epoch >= self.document.plan.epoch);
        self.agreed_documents.push((self.now, document.clone()));
        self.document = document;
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + Duration::from_secs_f64(seconds);
        while self.now < until {
            self.step();
        }
    }

    /// Resets the load and request counters and forgets the recorded documents.
    pub fn reset_counters(&mut self) {
        (self.max_load, self.served_requests, self.total_requests) = (0.0, 0.0, 0.0);
        self.agreed_documents.clear();
    }

    pub fn zone_state(&self, zone: usize) -> ZoneState {
        self.document.zone_statuses[zone].state
    }

    /// Returns the share of the requests in zone `from` that the document sends to zone `to`, 0 to 1.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        let default_share = if from == to { 1.0 } else { 0.0 };
        let row = self.document.plan.row(0, Zone(from as u16));
        row.map_or(default_share, |row| f64::from(row.part(Zone(to as u16))) / f64::from(FULL_SHARE))
    }

    /// Returns the share of all requests that were served, 0 to 1.
    pub fn served(&self) -> f64 {
        self.served_requests / self.total_requests
    }
}
