//! With a traffic split, admission counts only the capacity of the zones that have a share in the split. Each
//! simulated upstream serves one request at a time.

mod common;

use common::{class, endpoint, ms};
use maplehook_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

const LOCAL_ZONE: ZoneId = ZoneId(1);

/// Numbers of requests, of answers within the latency objective and after it, and of attempts by zone.
#[derive(Default)]
struct Counts {
    requests: f64,
    in_time: f64,
    late: f64,
    attempts_by_zone: BTreeMap<u8, f64>,
}

struct Simulation {
    balancer: Balancer,
    now: Duration,
    timer_due: Duration,
    /// Time at which each upstream has served all requests in its queue.
    free_at: BTreeMap<u64, Duration>,
    /// Upstream and send time of each attempt, by end time, request and attempt number.
    pending_attempts: BTreeMap<(Duration, u32, u8), (UpstreamId, Duration)>,
    attempt_counts: BTreeMap<u32, u8>,
    answered: BTreeMap<u32, bool>,
    next_id: u32,
}

/// Time that an upstream takes to serve one request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

impl Simulation {
    /// Creates a simulation with the same number of upstreams in each zone.
    fn new(zones: &[u8], upstreams_per_zone: u64) -> Self {
        let settings = Settings {
            zone: LOCAL_ZONE,
            classes: vec![class(200, 1000, Effect::Idempotent)],
            tenants: vec![Tenant { allowance_per_s: 20.0 }],
            ..Settings::default()
        };
        let ids = zones.iter().flat_map(|z| (0..upstreams_per_zone).map(move |n| u64::from(*z) * 100 + n));
        let list: Vec<Endpoint> =
            ids.map(|id| Endpoint { zone: ZoneId((id / 100) as u8), ..endpoint(id) }).collect();
        let mut simulation = Self {
            balancer: Balancer::new(settings, 7).expect("the settings are valid"),
            now: ms(0),
            timer_due: ms(0),
            free_at: list.iter().map(|l| (l.id.0, ms(0))).collect(),
            pending_attempts: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            answered: BTreeMap::new(),
            next_id: 0,
        };
        simulation.handle(
            Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &list },
            &mut Counts::default(),
        );
        simulation
    }

    fn handle(&mut self, event: Event<'_>, counts: &mut Counts) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, .. } => self.timer_due = self.now + after,
                Action::Attempt { id, upstream, .. } => {
                    let attempt_number = self.attempt_counts.entry(id.0).or_default();
                    *counts.attempts_by_zone.entry((upstream.0 / 100) as u8).or_default() += 1.0;
                    let free_at = self.free_at.get_mut(&upstream.0).expect("the upstream is listed");
                    *free_at = (*free_at).max(self.now) + SERVICE_TIME;
                    self.pending_attempts.insert((*free_at, id.0, *attempt_number), (upstream, self.now));
                    *attempt_number += 1;
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.answered.insert(id.0, false)),
                _ => {}
            }
        }
    }

    /// Sends `rate_per_s` requests per second for `seconds`. Returns the counts of this time.
    fn run_load(&mut self, rate_per_s: f64, seconds: u64) -> Counts {
        let (mut counts, end) = (Counts::default(), self.now + Duration::from_secs(seconds));
        let interval = Duration::from_secs_f64(1.0 / rate_per_s);
        let mut next_at = self.now + interval;
        while self.now < end {
            let next_end = self.pending_attempts.first_key_value().map_or(Duration::MAX, |(k, _)| k.0);
            self.now = next_at.min(self.timer_due).min(next_end);
            if self.now == next_end {
                let ((_, id, attempt_number), (upstream, sent_at)) =
                    self.pending_attempts.pop_first().expect("an attempt is pending");
                let is_first = self.answered.insert(id, true).is_none();
                let latency = self.now - sent_at;
                if is_first {
                    *(if latency <= ms(200) { &mut counts.in_time } else { &mut counts.late }) += 1.0;
                }
                let event = Event::AttemptEnded {
                    id: RequestId(id),
                    attempt: AttemptNo(attempt_number),
                    upstream,
                    outcome: Outcome::Ok,
                    latency,
                    is_finished: true,
                    report: &[],
                };
                self.handle(event, &mut counts);
            } else if self.now == next_at {
                next_at += interval;
                self.next_id += 1;
                counts.requests += 1.0;
                let event = Event::Request {
                    id: RequestId(self.next_id),
                    class: ClassId(0),
                    tenant: TenantId(0),
                    time_left: ms(1000),
                    work_ms: None,
                    is_repeat: false,
                };
                self.handle(event, &mut counts);
            } else {
                self.handle(Event::Timer { timer: TimerId(0) }, &mut counts);
            }
        }
        counts
    }

    fn set_split(&mut self, zone_shares: &[(u8, f64)]) {
        let row = GroupSplit {
            zone_shares: zone_shares.iter().map(|(z, s)| (ZoneId(*z), *s)).collect(),
            region: vec![LOCAL_ZONE],
            forbidden: Vec::new(),
            max_cross_region: 1.0,
        };
        let split = TrafficSplit { groups: vec![0], tenants: 1, rows: vec![row] };
        self.handle(Event::TrafficSplit { split: Some(&split) }, &mut Counts::default());
    }
}

#[test]
fn a_split_to_one_zone_admits_as_much_as_a_fleet_with_only_that_zone() {
    for rate in [100.0, 200.0, 280.0, 330.0, 450.0, 900.0] {
        let mut local_only = Simulation::new(&[1], 3);
        let mut with_others = Simulation::new(&[1, 2, 3, 4], 3);
        with_others.set_split(&[(1, 1.0)]);
        local_only.run_load(rate, 15);
        with_others.run_load(rate, 15);
        let (one_zone_counts, split_counts) = (local_only.run_load(rate, 20), with_others.run_load(rate, 20));
        assert_eq!(split_counts.attempts_by_zone.keys().copied().collect::<Vec<_>>(), [1]);
        assert!(
            (split_counts.in_time / one_zone_counts.in_time - 1.0).abs() < 0.03,
            "answers in time at {rate} requests per second: {} in a fleet of one zone, {} with a split to it",
            one_zone_counts.in_time,
            split_counts.in_time
        );
        // The zone has a capacity of 300 requests per second, and most of it must be used.
        assert!(
            split_counts.in_time / 20.0 > 0.85 * rate.min(300.0),
            "answers in time per second at {rate} requests per second: {}",
            split_counts.in_time / 20.0
        );
    }
}

#[test]
fn admission_counts_only_capacity_within_the_split() {
    // Of 400 requests per second, 280 go to the local zone and 120 to the remote zone. Each zone can serve
    // 300.
    let mut simulation = Simulation::new(&[1, 2], 3);
    simulation.set_split(&[(1, 0.7), (2, 0.3)]);
    simulation.run_load(400.0, 15);
    let counts = simulation.run_load(400.0, 20);
    assert!(
        counts.in_time > 0.95 * counts.requests,
        "{} of {} requests were answered in time",
        counts.in_time,
        counts.requests
    );
    let sent: f64 = counts.attempts_by_zone.values().sum();
    assert!((counts.attempts_by_zone[&1] / sent - 0.7).abs() < 0.01, "{:?}", counts.attempts_by_zone);
    // At 800 requests per second, the local zone limits admission: its 300 requests per second must be 0.7 of
    // all admitted requests. Unused capacity of the remote zone must not raise this limit.
    simulation.run_load(800.0, 15);
    let counts = simulation.run_load(800.0, 20);
    assert!(counts.in_time / 20.0 > 0.8 * 300.0 / 0.7, "{}", counts.in_time / 20.0);
    assert!(counts.late < 0.05 * counts.in_time, "{} answered late, {} in time", counts.late, counts.in_time);
}

#[test]
fn admission_follows_a_changed_split() {
    let mut simulation = Simulation::new(&[1, 2, 3], 3);
    simulation.set_split(&[(1, 1.0)]);
    simulation.run_load(250.0, 15);
    simulation.set_split(&[(2, 1.0)]);
    let counts = simulation.run_load(250.0, 5);
    assert!(
        counts.in_time > 0.95 * counts.requests,
        "{} of {} requests were answered in time",
        counts.in_time,
        counts.requests
    );
    // After a change from three zones to one, the expected throughput must not stay at that of three zones.
    simulation.set_split(&[(1, 0.34), (2, 0.33), (3, 0.33)]);
    simulation.run_load(750.0, 15);
    simulation.set_split(&[(3, 1.0)]);
    let counts = simulation.run_load(750.0, 10);
    assert!(counts.in_time / 10.0 > 0.8 * 300.0, "{}", counts.in_time / 10.0);
    assert!(counts.late < 0.15 * counts.in_time, "{} answered late, {} in time", counts.late, counts.in_time);
    // A split without any zone rejects all requests, and a split with a zone admits requests again.
    simulation.set_split(&[]);
    let counts = simulation.run_load(250.0, 5);
    // The few attempts are retries and hedges of requests that were already in flight.
    assert!(counts.attempts_by_zone.values().sum::<f64>() < 5.0, "{:?}", counts.attempts_by_zone);
    simulation.set_split(&[(1, 1.0)]);
    let counts = simulation.run_load(500.0, 10);
    assert!(counts.late < 0.15 * counts.in_time, "{} answered late, {} in time", counts.late, counts.in_time);
    assert!(counts.in_time / 10.0 > 0.7 * 300.0, "{}", counts.in_time / 10.0);
}

#[test]
fn observations_report_load_and_counters_by_zone() {
    let mut simulation = Simulation::new(&[1, 2], 3);
    simulation.set_split(&[(1, 0.9), (2, 0.1)]);
    simulation.run_load(450.0, 20);
    let observations = simulation.balancer.zone_observations(simulation.now);
    let [local, remote] = &observations[..] else { panic!("two zones are observed: {observations:?}") };
    assert_eq!(
        (local.zone, remote.zone, local.listed_weight, remote.listed_weight),
        (ZoneId(1), ZoneId(2), 3.0, 3.0)
    );
    assert_eq!((local.usable_weight, remote.warming_weight), (3.0, 0.0));
    assert!(
        local.load > 2.0 * remote.load && remote.load > 0.0,
        "the local zone has more than twice the load of the remote zone: {local:?} {remote:?}"
    );
    assert_eq!(local.sent, local.succeeded + local.slow + local.failed + local.unreachable + local.in_flight);
    assert!(local.sent > 8 * remote.sent && local.in_flight > 0);
    assert!(local.lagging >= local.slow, "every slow attempt counts as lagging: {local:?}");
    // The load of a zone drops to almost zero when no more requests are sent to the zone.
    simulation.set_split(&[(2, 1.0)]);
    simulation.run_load(100.0, 60);
    assert!(simulation.balancer.zone_observations(simulation.now)[0].load < 0.001);
}

/// A zone that hangs must be detected before the deadlines of its requests in flight pass.
#[test]
fn hanging_attempts_count_as_lagging_before_they_end() {
    let mut simulation = Simulation::new(&[1, 2], 3);
    simulation.set_split(&[(1, 1.0)]);
    simulation.run_load(100.0, 5);
    let before = simulation.balancer.zone_observations(simulation.now)[0].clone();
    // From now on, no upstream answers.
    simulation.free_at.values_mut().for_each(|free_at| *free_at += Duration::from_secs(3600));
    simulation.run_load(100.0, 1);
    let after = simulation.balancer.zone_observations(simulation.now)[0].clone();
    assert!(after.slow - before.slow <= 1, "at most one attempt has ended late: {after:?}");
    assert!(
        after.lagging - before.lagging >= 10,
        "attempts in flight count as lagging: {before:?} {after:?}"
    );
}
