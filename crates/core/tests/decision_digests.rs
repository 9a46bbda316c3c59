//! Guards against changed decisions in balancers without a traffic split. Digests of all actions in long
//! random runs are compared with digests that were recorded before traffic splits existed.

mod common;

use common::{class, endpoint, ms};
use maplehook_core::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Generator of a fixed random sequence, independent of the generator in the crate.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn next_below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

/// Returns the text of an action for the digest. Three actions have been renamed since the digests were
/// recorded; their text uses the old names.
fn recorded_text(action: &Action) -> String {
    let text = format!("{action:?}");
    match action {
        Action::Reject { .. } => text.replacen("Reject", "Refuse", 1),
        Action::WatchEndpoints => "WatchFleet".to_owned(),
        Action::FetchEndpoints => "FetchFleet".to_owned(),
        _ => text,
    }
}

enum PendingEvent {
    Timer(TimerId),
    AttemptEnded(RequestId, AttemptNo, UpstreamId, Outcome),
}

/// One balancer with slow, failing and changing upstreams, and a digest and the number of its actions.
struct Simulation {
    balancer: Balancer,
    rng: SplitMix64,
    now: Duration,
    pending: BTreeMap<(Duration, u64), PendingEvent>,
    /// Number of attempts of each request, and whether it has been answered.
    requests: BTreeMap<RequestId, (u8, bool)>,
    /// Key in `pending`, send time and upstream of each attempt in flight.
    in_flight: BTreeMap<(RequestId, u8), (u64, Duration, UpstreamId)>,
    next_key: u64,
    digest: u64,
    action_count: u64,
}

impl Simulation {
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let mut text = String::new();
        for action in actions {
            write!(text, "{:?}{}", self.now, recorded_text(&action)).unwrap();
            self.action_count += 1;
            match action {
                Action::Timer { after, timer } => {
                    self.schedule(after, PendingEvent::Timer(timer));
                }
                Action::Attempt { id, upstream, timeout } => self.send_attempt(id, upstream, timeout),
                Action::Cancel { id, attempt } => {
                    if let Some((pending_key, sent_at, upstream)) = self.in_flight.remove(&(id, attempt.0)) {
                        self.pending.retain(|(_, n), _| *n != pending_key);
                        let key = self.schedule(
                            ms(0),
                            PendingEvent::AttemptEnded(id, attempt, upstream, Outcome::Cancelled),
                        );
                        self.in_flight.insert((id, attempt.0), (key, sent_at, upstream));
                    }
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    if let Some(request) = self.requests.get_mut(&id) {
                        request.1 = true;
                    }
                }
                _ => {}
            }
        }
        for byte in text.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn schedule(&mut self, after: Duration, event: PendingEvent) -> u64 {
        self.next_key += 1;
        self.pending.insert((self.now + after, self.next_key), event);
        self.next_key
    }

    fn send_attempt(&mut self, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let request = self.requests.entry(id).or_default();
        let attempt_number = AttemptNo(request.0);
        request.0 += 1;
        // Upstream 3 hangs at times, 5 is slow, 7 is unreachable at times, and 9 rejects 40 % of its
        // attempts. The other upstreams answer most attempts after 5 to 44 ms.
        let now_s = self.now.as_secs();
        let latency_ms = 5 + self.rng.next_below(40);
        let (latency_ms, outcome) = match (upstream.0, self.rng.next_below(100)) {
            (3, _) if now_s % 20 > 10 => (100_000, Outcome::TimedOut),
            (5, _) => (latency_ms * 6, Outcome::Ok),
            (7, _) if now_s % 15 > 11 => (1, Outcome::ConnectFailed),
            (9, n) if n < 40 => (1, Outcome::Rejected),
            (_, 0) => (latency_ms, Outcome::Error),
            (_, 1) => (latency_ms, Outcome::Reset),
            (_, 2) => (latency_ms, Outcome::Overloaded),
            (_, 3) => (100_000, Outcome::TimedOut),
            _ => (latency_ms, Outcome::Ok),
        };
        let max_latency = timeout.unwrap_or(ms(900)).min(ms(900));
        let (after, outcome) = if ms(latency_ms) < max_latency {
            (ms(latency_ms), outcome)
        } else {
            (max_latency, Outcome::TimedOut)
        };
        let key = self.schedule(after, PendingEvent::AttemptEnded(id, attempt_number, upstream, outcome));
        self.in_flight.insert((id, attempt_number.0), (key, self.now, upstream));
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                PendingEvent::Timer(timer) => self.handle(Event::Timer { timer }),
                PendingEvent::AttemptEnded(id, attempt, upstream, outcome) => {
                    let Some((_, sent_at, _)) = self.in_flight.remove(&(id, attempt.0)) else { continue };
                    let request = self.requests.entry(id).or_default();
                    request.1 |= outcome == Outcome::Ok;
                    let (finished, latency) = (request.1, self.now - sent_at);
                    let report = [self.rng.next_below(30) as f32, self.rng.next_below(100) as f32 / 100.0];
                    let report = &report[..];
                    self.handle(Event::AttemptEnded {
                        id,
                        attempt,
                        upstream,
                        outcome,
                        latency,
                        is_finished: finished,
                        report,
                    });
                }
            }
        }
        self.now = end;
    }
}

fn fleet(upstreams: u64, zones: u64) -> Vec<Endpoint> {
    let entry = |id| Endpoint {
        zone: ZoneId((id % zones) as u8),
        cell: CellId((id % 5) as u16),
        weight: 1.0 + (id % 3) as f64,
        ..endpoint(id)
    };
    (0..upstreams).map(entry).collect()
}

/// Sends `requests` requests, on average one every `gap_us`, and updates endpoints, settings and learned
/// state meanwhile. Returns the digest and the number of actions.
fn run_and_digest(settings: Settings, upstreams: u64, zones: u64, requests: u32, gap_us: u64) -> (u64, u64) {
    let mut simulation = Simulation {
        balancer: Balancer::new(settings.clone(), 42).expect("the settings are valid"),
        rng: SplitMix64(upstreams * 1000 + zones),
        now: ms(0),
        pending: BTreeMap::new(),
        requests: BTreeMap::new(),
        in_flight: BTreeMap::new(),
        next_key: 0,
        digest: 0xcbf2_9ce4_8422_2325,
        action_count: 0,
    };
    let mut list = fleet(upstreams, zones);
    simulation.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &list });
    for n in 0..requests {
        let wait_us = simulation.rng.next_below(2 * gap_us);
        let end = simulation.now + Duration::from_micros(wait_us);
        simulation.run_until(end);
        let id = RequestId(n);
        simulation.requests.insert(id, (0, false));
        let class = ClassId(simulation.rng.next_below(settings.classes.len() as u64) as u16);
        let tenant = TenantId(simulation.rng.next_below(settings.tenants.len().max(1) as u64) as u32);
        simulation.handle(Event::Request {
            id,
            class,
            tenant,
            time_left: ms(900),
            work_ms: None,
            is_repeat: false,
        });
        if simulation.rng.next_below(200) == 0 {
            simulation.requests.insert(id, (simulation.requests[&id].0, true));
            simulation.handle(Event::RequestCancelled { id });
        }
        if n % 1500 == 700 {
            // One upstream becomes ready, drains or is removed, and gets a new start time.
            let pick = simulation.rng.next_below(list.len() as u64) as usize;
            list[pick].availability = [Availability::Ready, Availability::Draining, Availability::Removed]
                [simulation.rng.next_below(3) as usize];
            list[pick].started = Some(simulation.now);
            let changed = [list[pick].clone()];
            simulation.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &changed });
        }
        if n % 6000 == 5000 {
            simulation.handle(Event::SettingsChanged { settings: &settings, removed_tenants: &[] });
            simulation.handle(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &list });
        }
        if n % 9000 == 8000 {
            let learned_state = simulation.balancer.learned_state();
            simulation.handle(Event::LearnedStateRestored { learned: &learned_state });
        }
    }
    (simulation.digest, simulation.action_count)
}

fn settings() -> Settings {
    let deduplicated = Effect::Deduplicated { group: DedupGroup::Zone, ttl: ms(500) };
    Settings {
        balancers: 2,
        zone: ZoneId(1),
        classes: vec![
            class(200, 1000, Effect::Idempotent),
            class(400, 1000, Effect::AtMostOnce),
            class(300, 900, deduplicated),
        ],
        tenants: vec![Tenant { allowance_per_s: 300.0 }, Tenant { allowance_per_s: 100.0 }],
        ..Settings::default()
    }
}

#[test]
fn decisions_without_a_split_match_the_recorded_digests() {
    let cross_zone_price =
        Settings { prices: Prices { cross_zone: 0.06, ..Prices::default() }, ..settings() };
    let with_reports = Settings {
        report_fields: vec![LoadField::InFlight, LoadField::Utilization],
        reports: Reports::Inline,
        weights: Weights::Live,
        can_hedge: false,
        ..settings()
    };
    let without_discovery =
        Settings { can_hedge: false, can_cancel: false, has_endpoint_discovery: true, ..settings() };
    let many_balancers = Settings { balancers: 50, index: 7, ..settings() };
    let actual = [
        run_and_digest(settings(), 12, 4, 40_000, 4000),
        run_and_digest(cross_zone_price, 16, 4, 40_000, 2000),
        run_and_digest(with_reports, 12, 3, 30_000, 3000),
        run_and_digest(without_discovery, 10, 2, 30_000, 3000),
        run_and_digest(many_balancers, 900, 6, 20_000, 1000),
    ];
    let recorded = [
        (10234765094239738318, 48722),
        (10208166774339993688, 45241),
        (5599744171225106718, 35543),
        (12298316760487481809, 36463),
        (17319744429798948768, 21903),
    ];
    assert_eq!(actual, recorded);
}
