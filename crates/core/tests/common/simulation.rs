//! Simulates balancers and queueing upstreams, and measures the load on upstreams that have just started.
#![allow(dead_code)]

use super::scenario::{START_TIME_S, Scenario, StartKind};
use maplehook_core::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Seconds until a balancer is notified of a rejection, a failed connection or a cancelled attempt.
const FAILURE_DELAY_S: f64 = 0.001;
/// Fewest requests without progress that count as a stall, if they span `MIN_STALL_S`.
const MIN_STALL_REQUESTS: u32 = 15;
/// Shortest time without progress that counts as a stall, in seconds.
const MIN_STALL_S: f64 = 4.0;

enum SimEvent {
    Arrival,
    /// The upstreams that restart in this scenario go down.
    Stop,
    /// The starting upstreams become ready.
    Start,
    /// The balancer with this index is notified that upstreams have started.
    StartNotification(usize),
    Timer(usize, TimerId),
    /// Index of the balancer, request, index of the attempt, and outcome.
    AttemptEnd(usize, RequestId, usize, Outcome),
}

/// A request that a balancer has in flight.
struct RequestState {
    deadline: f64,
    class: usize,
    is_answered: bool,
    attempts: Vec<(usize, f64, bool)>, // upstream index, send time, has ended
}

/// Counts the requests of a balancer since its last progress: an attempt, or a served request.
#[derive(Default)]
struct StallDetector {
    requests: u32,
    counting_since: f64,
}

impl StallDetector {
    /// Counts a request received after `count_from`. Returns true and restarts the count in case of a stall.
    fn record_request(&mut self, now: f64, count_from: f64) -> bool {
        if self.requests == 0 || self.counting_since < count_from {
            (self.requests, self.counting_since) = (0, now);
        }
        self.requests += 1;
        let is_stalled = self.requests >= MIN_STALL_REQUESTS && now - self.counting_since >= MIN_STALL_S;
        if is_stalled {
            self.requests = 0;
        }
        is_stalled
    }
}

/// A balancer, its requests in flight, and the number of its restarts (`generation`).
struct SimulatedBalancer {
    balancer: Balancer,
    generation: u32,
    is_notified: bool,
    requests: HashMap<RequestId, RequestState>,
    attempt_stall: StallDetector,
    service_stall: StallDetector,
}

/// An upstream that serves the requests of its queue in order.
struct SimulatedUpstream {
    free_at: f64,        // time at which the queue is empty
    utilization: f64,    // exponential average with a time constant of 1 s
    utilization_at: f64, // time of the last update of `utilization`
}

/// Results of one simulation: attempts at starting upstreams, and stalls of balancers.
#[derive(Default)]
pub struct Measurements {
    /// For each starting upstream, the times of attempts by balancers that were notified of the start.
    pub notified_attempts: Vec<Vec<f64>>,
    /// Number of attempts at starting upstreams by balancers that were not yet notified.
    pub unnotified_attempts: usize,
    pub requests_after_start: usize,
    pub served_after_start: usize,
    /// Number of stalls without an attempt; counting begins after the start and after any outage.
    pub attempt_stalls: usize,
    /// Number of stalls without a served request, counted in the same time.
    pub service_stalls: usize,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    now: f64,
    next_id: u64,
    events: BTreeMap<(u64, u64), (u32, SimEvent)>,
    balancers: Vec<SimulatedBalancer>,
    upstreams: Vec<SimulatedUpstream>,
    rng: fastrand::Rng,
    measurements: Measurements,
    actions: Vec<Action>,
}

pub fn simulate(scenario: &Scenario) -> Measurements {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.measurements
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let upstream = |_| SimulatedUpstream { free_at: 0.0, utilization: 0.0, utilization_at: 0.0 };
        let mut simulation = Self {
            scenario,
            now: 0.0,
            next_id: 0,
            events: BTreeMap::new(),
            balancers: Vec::new(),
            upstreams: (0..scenario.upstreams).map(upstream).collect(),
            rng: fastrand::Rng::with_seed(scenario.seed),
            measurements: Measurements {
                notified_attempts: vec![Vec::new(); scenario.starting_count],
                ..Measurements::default()
            },
            actions: Vec::new(),
        };
        for index in 0..scenario.balancers {
            let balancer = simulation.new_balancer(index);
            let requests = HashMap::new();
            let (attempt_stall, service_stall) = (StallDetector::default(), StallDetector::default());
            simulation.balancers.push(SimulatedBalancer {
                balancer,
                generation: 0,
                is_notified: false,
                requests,
                attempt_stall,
                service_stall,
            });
            let known = simulation.known_endpoints(index);
            simulation.handle(index, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &known });
        }
        simulation.schedule(0.0, 0, SimEvent::Arrival);
        if scenario.start_kind == StartKind::Restarted {
            simulation.schedule(START_TIME_S - scenario.downtime_s, 0, SimEvent::Stop);
        }
        simulation.schedule(START_TIME_S, 0, SimEvent::Start);
        simulation
    }

    fn new_balancer(&mut self, index: usize) -> Balancer {
        let settings = self.scenario.balancer_settings(index);
        Balancer::new(settings, self.rng.u64(..)).expect("the settings are valid")
    }

    fn schedule(&mut self, when: f64, generation: u32, event: SimEvent) {
        self.next_id += 1;
        self.events.insert(((when.max(self.now) * 1e9) as u64, self.next_id), (generation, event));
    }

    fn run(&mut self) {
        while let Some(((when, _), (generation, event))) = self.events.pop_first() {
            self.now = when as f64 / 1e9;
            if self.now > self.scenario.duration_s {
                return;
            }
            match event {
                SimEvent::Arrival => self.receive_request(),
                SimEvent::Stop => self.stop_upstreams(),
                SimEvent::Start => self.start_upstreams(),
                SimEvent::StartNotification(b) => self.notify_balancer(b, generation),
                SimEvent::Timer(b, timer) if self.balancers[b].generation == generation => {
                    self.handle(b, Event::Timer { timer });
                }
                SimEvent::AttemptEnd(b, id, k, outcome) if self.balancers[b].generation == generation => {
                    self.end_attempt(b, id, k, outcome);
                }
                _ => {}
            }
        }
    }

    /// Returns the endpoints that a balancer currently knows.
    fn known_endpoints(&self, index: usize) -> Vec<Endpoint> {
        let is_notified = self.balancers[index].is_notified;
        let known = |j: &usize| {
            is_notified
                || self.scenario.start_kind == StartKind::Restarted
                || *j >= self.scenario.starting_count
        };
        (0..self.scenario.upstreams).filter(known).map(|j| self.scenario.endpoint(j, is_notified)).collect()
    }

    fn receive_request(&mut self) {
        let rate_per_s = self.scenario.rate_at(self.now);
        let gap = -self.rng.f64().max(1e-12).ln() / rate_per_s;
        self.schedule(self.now + gap, 0, SimEvent::Arrival);
        let b = self.scenario.pick_balancer(self.rng.f64());
        let tenant = self.scenario.pick_tenant(self.rng.f64());
        let class = self.rng.usize(..self.scenario.settings.classes.len());
        let time_left = self.scenario.settings.classes[class].deadline;
        self.next_id += 1;
        let id = RequestId(self.next_id as u32);
        let request = RequestState {
            deadline: self.now + time_left.as_secs_f64(),
            class,
            is_answered: false,
            attempts: Vec::new(),
        };
        let state = &mut self.balancers[b];
        state.requests.insert(id, request);
        let from = START_TIME_S.max(self.scenario.outage.end_s());
        self.measurements.attempt_stalls += usize::from(state.attempt_stall.record_request(self.now, from));
        self.measurements.service_stalls += usize::from(state.service_stall.record_request(self.now, from));
        self.measurements.requests_after_start += usize::from(self.now >= START_TIME_S);
        let (class, tenant) = (ClassId(class as u16), TenantId(tenant as u32));
        self.handle(b, Event::Request { id, class, tenant, time_left, work_ms: None, is_repeat: false });
    }

    fn stop_upstreams(&mut self) {
        for b in 0..self.balancers.len() {
            let mut interrupted = Vec::new();
            for (id, request) in &self.balancers[b].requests {
                let open_attempts = request
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, a)| a.0 < self.scenario.starting_count && !a.2);
                interrupted.extend(open_attempts.map(|(k, _)| (*id, k)));
            }
            interrupted.sort();
            for (id, k) in interrupted {
                self.schedule(
                    self.now,
                    self.balancers[b].generation,
                    SimEvent::AttemptEnd(b, id, k, Outcome::Reset),
                );
            }
        }
    }

    /// Starts the upstreams, and restarts some balancers with or without the state of their predecessors.
    fn start_upstreams(&mut self) {
        self.upstreams[..self.scenario.starting_count].iter_mut().for_each(|s| s.free_at = self.now);
        for b in 0..self.balancers.len() {
            let draw = self.rng.f64();
            if draw < self.scenario.restart_share + self.scenario.handover_share {
                let learned_state =
                    (draw >= self.scenario.restart_share).then(|| self.balancers[b].balancer.learned_state());
                let previous_endpoints = self.known_endpoints(b);
                let balancer = self.new_balancer(b);
                let state = &mut self.balancers[b];
                state.balancer = balancer;
                state.generation += 1;
                state.requests.clear();
                if let Some(learned_state) = &learned_state {
                    self.handle(
                        b,
                        Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &previous_endpoints },
                    );
                    self.handle(b, Event::LearnedStateRestored { learned: learned_state });
                } else {
                    self.balancers[b].is_notified = true;
                    let known = self.known_endpoints(b);
                    self.handle(b, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &known });
                }
            }
            let (generation, delay_s) =
                (self.balancers[b].generation, self.scenario.max_notification_delay_s * self.rng.f64());
            self.schedule(self.now + delay_s, generation, SimEvent::StartNotification(b));
        }
    }

    fn notify_balancer(&mut self, b: usize, generation: u32) {
        if self.balancers[b].generation != generation || self.balancers[b].is_notified {
            return;
        }
        self.balancers[b].is_notified = true;
        let known = self.known_endpoints(b);
        if self.scenario.uses_full_updates {
            self.handle(b, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &known });
        } else {
            let changed = &known[..self.scenario.starting_count];
            self.handle(b, Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: changed });
        }
    }

    fn handle(&mut self, b: usize, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancers[b].balancer.handle(Duration::from_secs_f64(self.now), event, &mut actions);
        let generation = self.balancers[b].generation;
        for action in actions.drain(..) {
            match action {
                Action::Timer { after, timer } => {
                    self.schedule(self.now + after.as_secs_f64(), generation, SimEvent::Timer(b, timer));
                }
                Action::Attempt { id, upstream, timeout } => self.record_attempt(b, id, upstream, timeout),
                Action::Cancel { id, attempt } => {
                    let ended = SimEvent::AttemptEnd(b, id, usize::from(attempt.0), Outcome::Cancelled);
                    self.schedule(self.now + FAILURE_DELAY_S, generation, ended);
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    if let Some(request) = self.balancers[b].requests.get_mut(&id) {
                        request.is_answered = true;
                    }
                    self.remove_finished(b, id);
                }
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn record_attempt(&mut self, b: usize, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let j = self.scenario.index_of(upstream);
        let state = &mut self.balancers[b];
        state.attempt_stall.requests = 0;
        let (generation, is_notified) = (state.generation, state.is_notified);
        let Some(request) = state.requests.get_mut(&id) else { return };
        request.attempts.push((j, self.now, false));
        let (k, class) = (request.attempts.len() - 1, request.class);
        let end = timeout.map_or(f64::INFINITY, |t| self.now + t.as_secs_f64()).min(request.deadline);
        let is_starting = j < self.scenario.starting_count;
        if is_starting && self.now >= START_TIME_S {
            if is_notified {
                self.measurements.notified_attempts[j].push(self.now);
            } else {
                self.measurements.unnotified_attempts += 1;
            }
        }
        let (when, outcome) = self.serve(j, class, is_starting);
        let (when, outcome) = if when > end { (end, Outcome::TimedOut) } else { (when, outcome) };
        self.schedule(when, generation, SimEvent::AttemptEnd(b, id, k, outcome));
    }

    /// Returns the end time and the outcome of an attempt at upstream `j`.
    fn serve(&mut self, j: usize, class: usize, is_starting: bool) -> (f64, Outcome) {
        let scenario = self.scenario;
        let is_down = scenario.start_kind == StartKind::Restarted
            && (START_TIME_S - scenario.downtime_s..START_TIME_S).contains(&self.now);
        if is_starting && is_down {
            return (self.now + FAILURE_DELAY_S, Outcome::ConnectFailed);
        }
        if is_starting && self.now >= START_TIME_S && scenario.unanswered_class == Some(class) {
            return (f64::INFINITY, Outcome::TimedOut);
        }
        if scenario.outage.is_active(self.now) {
            return match scenario.outage.outcome {
                Outcome::TimedOut => (f64::INFINITY, Outcome::TimedOut),
                outcome => (self.now + FAILURE_DELAY_S, outcome),
            };
        }
        let capacity_share = if is_starting { scenario.capacity_share(self.now - START_TIME_S) } else { 1.0 };
        let rate_per_s = scenario.upstream_size(j) * scenario.capacity_per_s * capacity_share;
        let upstream = &mut self.upstreams[j];
        upstream.utilization *= (upstream.utilization_at - self.now).exp();
        upstream.utilization_at = self.now;
        if upstream.free_at - self.now > scenario.queue_limit_s {
            return (self.now + FAILURE_DELAY_S, Outcome::Rejected);
        }
        upstream.utilization += 1.0 / rate_per_s;
        upstream.free_at = upstream.free_at.max(self.now) + 1.0 / rate_per_s;
        let service_time_s = scenario.service_time_s * (0.5 + self.rng.f64())
            / if scenario.has_longer_latency_in_slow_start { capacity_share } else { 1.0 };
        ((self.now + service_time_s).max(upstream.free_at), Outcome::Ok)
    }

    fn end_attempt(&mut self, b: usize, id: RequestId, k: usize, outcome: Outcome) {
        let state = &mut self.balancers[b];
        let Some(request) = state.requests.get_mut(&id).filter(|o| !o.attempts[k].2) else { return };
        let (j, sent_at, _) = request.attempts[k];
        request.attempts[k].2 = true;
        let served = outcome == Outcome::Ok && !request.is_answered;
        request.is_answered |= served;
        if outcome == Outcome::Ok {
            state.service_stall.requests = 0;
        }
        self.measurements.served_after_start += usize::from(served && self.now >= START_TIME_S);
        let report = [self.upstreams[j].utilization.min(1.0) as f32];
        let report =
            if outcome == Outcome::Ok { &report[..self.scenario.settings.report_fields.len()] } else { &[] };
        let finished = request.is_answered;
        let ended = Event::AttemptEnded {
            id,
            attempt: AttemptNo(k as u8),
            upstream: self.scenario.upstream_id(j),
            outcome,
            latency: Duration::from_secs_f64(self.now - sent_at),
            is_finished: finished,
            report,
        };
        self.handle(b, ended);
        self.remove_finished(b, id);
    }

    fn remove_finished(&mut self, b: usize, id: RequestId) {
        let requests = &mut self.balancers[b].requests;
        if requests.get(&id).is_some_and(|o| o.is_answered && o.attempts.iter().all(|a| a.2)) {
            requests.remove(&id);
        }
    }
}
