//! A harness that drives one balancer in emulated time and records the attempts and results of requests.
#![allow(dead_code)]

use maplehook_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn class(objective_ms: u64, deadline_ms: u64, effect: Effect) -> Class {
    Class { latency_objective: ms(objective_ms), deadline: ms(deadline_ms), effect, ..Class::default() }
}

pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: UpstreamId(id),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        availability: Availability::Ready,
        weight: 1.0,
        started: None,
    }
}

/// Returns settings with a class for each effect and deduplication group, and a class with streamed answers.
pub fn settings_with_all_effects(
    hedging: bool,
    many_balancers: bool,
    cancelling: bool,
    max_attempts: u8,
) -> Settings {
    let deduplicated = |group, ttl| Effect::Deduplicated { group, ttl: ms(ttl) };
    let streamed = Class { is_streamed: true, ..class(300, 900, Effect::Idempotent) };
    Settings {
        balancers: if many_balancers { 500 } else { 1 },
        classes: vec![
            class(200, 600, Effect::Idempotent),
            class(300, 1200, Effect::AtMostOnce),
            class(150, 1500, deduplicated(DedupGroup::Cell, 700)),
            class(150, 1500, deduplicated(DedupGroup::Zone, 360)),
            class(150, 1500, deduplicated(DedupGroup::All, 60)),
            streamed,
        ],
        tenants: [900.0, 2000.0, 0.0].map(|allowance| Tenant { allowance_per_s: allowance }).to_vec(),
        has_endpoint_discovery: many_balancers,
        can_hedge: hedging,
        can_cancel: cancelling,
        max_attempts,
        can_probe: many_balancers,
        reports: if many_balancers { Reports::OnProbe } else { Reports::Inline },
        report_fields: vec![LoadField::InFlight],
        ..Settings::default()
    }
}

/// A balancer with an emulated clock, its pending timers, and a record of its attempts and their results.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Duration,
    pub actions: Vec<Action>,
    pub timers: Vec<(Duration, TimerId)>,
    pub attempts: BTreeMap<RequestId, Vec<(Duration, UpstreamId)>>,
    pub results: BTreeMap<RequestId, &'static str>,
    pub probes: Vec<UpstreamId>,
    pub discovery_calls: Vec<Duration>,
    next_id: u32,
}

impl Harness {
    pub fn new(settings: Settings, fleet: &[Endpoint]) -> Self {
        let mut harness = Self {
            balancer: Balancer::new(settings, 7).expect("the settings are valid"),
            now: Duration::ZERO,
            actions: Vec::new(),
            timers: Vec::new(),
            attempts: BTreeMap::new(),
            results: BTreeMap::new(),
            probes: Vec::new(),
            discovery_calls: Vec::new(),
            next_id: 0,
        };
        harness.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: fleet });
        harness
    }

    /// Passes one event to the balancer and records the resulting actions. Afterwards, `actions` holds only
    /// the actions that this event caused.
    pub fn handle(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            match action {
                Action::Timer { after, timer } => self.timers.push((self.now + *after, *timer)),
                Action::Attempt { id, upstream, .. } => {
                    self.attempts.entry(*id).or_default().push((self.now, *upstream));
                }
                Action::Reject { id, .. } => assert_eq!(self.results.insert(*id, "rejected"), None),
                Action::Fail { id } => assert_eq!(self.results.insert(*id, "failed"), None),
                Action::Probe { upstream } => self.probes.push(*upstream),
                Action::WatchEndpoints | Action::FetchEndpoints => self.discovery_calls.push(self.now),
                Action::Cancel { .. } | Action::CloseIdle { .. } | Action::Log { .. } => {}
            }
        }
    }

    /// Advances the clock by `span` and fires the timers that become due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            self.timers.sort_by_key(|(due, _)| *due);
            match self.timers.first().copied() {
                Some((due, timer)) if due <= end => {
                    self.timers.remove(0);
                    self.now = due;
                    self.handle(Event::Timer { timer });
                }
                _ => break,
            }
        }
        self.now = end;
    }

    pub fn send_request(&mut self, class: u16, tenant: u32, remaining: Duration) -> RequestId {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let (class, tenant) = (ClassId(class), TenantId(tenant));
        self.handle(Event::Request {
            id,
            class,
            tenant,
            time_left: remaining,
            work_ms: None,
            is_repeat: false,
        });
        id
    }

    /// Returns the upstream that the attempt with this index was sent to, or `None` if there is no such
    /// attempt.
    pub fn upstream_of(&self, id: RequestId, attempt: usize) -> Option<UpstreamId> {
        self.attempts.get(&id).and_then(|s| s.get(attempt)).map(|s| s.1)
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let (sent_at, upstream) = self.attempts[&id][attempt];
        let finished = outcome == Outcome::Ok || self.results.contains_key(&id);
        if outcome == Outcome::Ok {
            self.results.entry(id).or_insert("served");
        }
        self.handle(Event::AttemptEnded {
            id,
            attempt: AttemptNo(attempt as u8),
            upstream,
            outcome,
            latency: self.now - sent_at,
            is_finished: finished,
            report: &[],
        });
    }

    /// Sends `count` requests, one every `gap`. `outcome_of` returns the outcome of attempts at an upstream,
    /// or `None` if they stay in flight.
    pub fn run_traffic(
        &mut self,
        count: usize,
        gap: Duration,
        outcome_of: impl Fn(UpstreamId) -> Option<Outcome>,
    ) {
        for _ in 0..count {
            let id = self.send_request(0, 0, ms(1000));
            let mut attempt = 0;
            while let Some(upstream) = self.upstream_of(id, attempt) {
                if let Some(outcome) = outcome_of(upstream) {
                    self.end_attempt(id, attempt, outcome);
                }
                attempt += 1;
            }
            self.advance(gap);
        }
    }

    pub fn attempts_to(&self, upstream: UpstreamId) -> usize {
        self.attempts.values().flatten().filter(|s| s.1 == upstream).count()
    }
}
