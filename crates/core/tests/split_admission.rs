//! Admission with a traffic split counts on the capacity of the zones that the split reaches, and on nothing
//! else. Each upstream is a queue with one server.

mod common;

use common::{class, endpoint, ms};
use maplehook_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

const LOCAL_ZONE: ZoneId = ZoneId(1);

#[derive(Default)]
struct Counts {
    requests: f64,
    in_time: f64,
    late: f64,
    by_zone: BTreeMap<u8, f64>,
}

struct Simulation {
    balancer: Balancer,
    now: Duration,
    timer_due: Duration,
    /// Time at which each upstream has finished its queue.
    free_at: BTreeMap<u64, Duration>,
    pending: BTreeMap<(Duration, u32, u8), (UpstreamId, Duration)>,
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
            pending: BTreeMap::new(),
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
                    *counts.by_zone.entry((upstream.0 / 100) as u8).or_default() += 1.0;
                    let free_at = self.free_at.get_mut(&upstream.0).expect("the upstream is listed");
                    *free_at = (*free_at).max(self.now) + SERVICE_TIME;
                    self.pending.insert((*free_at, id.0, *attempt_number), (upstream, self.now));
                    *attempt_number += 1;
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.answered.insert(id.0, false)),
                _ => {}
            }
        }
    }

    /// Sends requests at a rate per second for some seconds, and counts the results.
    fn run_load(&mut self, rate: f64, seconds: u64) -> Counts {
        let (mut counts, end) = (Counts::default(), self.now + Duration::from_secs(seconds));
        let interval = Duration::from_secs_f64(1.0 / rate);
        let mut next_at = self.now + interval;
        while self.now < end {
            let next_end = self.pending.first_key_value().map_or(Duration::MAX, |(k, _)| k.0);
            self.now = next_at.min(self.timer_due).min(next_end);
            if self.now == next_end {
                let ((_, id, attempt_number), (upstream, sent_at)) =
                    self.pending.pop_first().expect("an attempt is pending");
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
        let shares = TrafficSplit { groups: vec![0], tenants: 1, rows: vec![row] };
        self.handle(Event::TrafficSplit { split: Some(&shares) }, &mut Counts::default());
    }
}

#[test]
fn a_split_to_one_zone_admits_as_much_as_without_other_zones() {
    for rate in [100.0, 200.0, 280.0, 330.0, 450.0, 900.0] {
        let mut local_only = Simulation::new(&[1], 3);
        let mut with_others = Simulation::new(&[1, 2, 3, 4], 3);
        with_others.set_split(&[(1, 1.0)]);
        local_only.run_load(rate, 15);
        with_others.run_load(rate, 15);
        let (a, b) = (local_only.run_load(rate, 20), with_others.run_load(rate, 20));
        assert_eq!(b.by_zone.keys().copied().collect::<Vec<_>>(), [1]);
        assert!(
            (b.in_time / a.in_time - 1.0).abs() < 0.03,
            "at {rate} a second: {} in time without other zones, {} with them",
            a.in_time,
            b.in_time
        );
        // The zone's capacity of 300 requests a second is used.
        assert!(
            b.in_time / 20.0 > 0.85 * rate.min(300.0),
            "at {rate} a second: {} a second in time",
            b.in_time / 20.0
        );
    }
}

#[test]
fn admission_counts_only_capacity_within_the_split() {
    // Of 400 requests a second, 0.7 or 280 go to the local zone and 120 to the remote zone; both can serve
    // them.
    let mut simulation = Simulation::new(&[1, 2], 3);
    simulation.set_split(&[(1, 0.7), (2, 0.3)]);
    simulation.run_load(400.0, 15);
    let counts = simulation.run_load(400.0, 20);
    assert!(
        counts.in_time > 0.95 * counts.requests,
        "{} of {} requests in time",
        counts.in_time,
        counts.requests
    );
    let sent: f64 = counts.by_zone.values().sum();
    assert!((counts.by_zone[&1] / sent - 0.7).abs() < 0.01, "{:?}", counts.by_zone);
    // At 800 requests a second, the local zone limits admission: it serves 300 requests, which are 0.7 of the
    // total. Spare capacity in the remote zone must not raise the limit.
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
        "{} of {} requests in time",
        counts.in_time,
        counts.requests
    );
    // From three zones down to one: the expected throughput must not stay at the completions of three zones.
    simulation.set_split(&[(1, 0.34), (2, 0.33), (3, 0.33)]);
    simulation.run_load(750.0, 15);
    simulation.set_split(&[(3, 1.0)]);
    let counts = simulation.run_load(750.0, 10);
    assert!(counts.in_time / 10.0 > 0.8 * 300.0, "{}", counts.in_time / 10.0);
    assert!(counts.late < 0.15 * counts.in_time, "{} answered late, {} in time", counts.late, counts.in_time);
    // To no zone at all, and back.
    simulation.set_split(&[]);
    let counts = simulation.run_load(250.0, 5);
    // Only retries and hedges of requests in flight are left.
    assert!(counts.by_zone.values().sum::<f64>() < 5.0, "{:?}", counts.by_zone);
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
    let [near, far] = &observations[..] else { panic!("two zones are observed: {observations:?}") };
    assert_eq!(
        (near.zone, far.zone, near.listed_weight, far.listed_weight),
        (ZoneId(1), ZoneId(2), 3.0, 3.0)
    );
    assert_eq!((near.usable_weight, far.warming_weight), (3.0, 0.0));
    assert!(
        near.load > 2.0 * far.load && far.load > 0.0,
        "the near zone has more than twice the load: {near:?} {far:?}"
    );
    assert_eq!(near.sent, near.succeeded + near.slow + near.failed + near.unreachable + near.in_flight);
    assert!(near.sent > 8 * far.sent && near.in_flight > 0);
    assert!(near.lagging >= near.slow, "every slow attempt counts as lagging: {near:?}");
    // The load drops to zero once no requests are sent to the zone.
    simulation.set_split(&[(2, 1.0)]);
    simulation.run_load(100.0, 60);
    assert!(simulation.balancer.zone_observations(simulation.now)[0].load < 0.001);
}

/// A zone that hangs must be detected before the deadlines of the requests in flight there pass.
#[test]
fn hanging_attempts_count_as_lagging_before_they_end() {
    let mut simulation = Simulation::new(&[1, 2], 3);
    simulation.set_split(&[(1, 1.0)]);
    simulation.run_load(100.0, 5);
    let before = simulation.balancer.zone_observations(simulation.now)[0].clone();
    // No upstream answers any more.
    simulation.free_at.values_mut().for_each(|free_at| *free_at += Duration::from_secs(3600));
    simulation.run_load(100.0, 1);
    let after = simulation.balancer.zone_observations(simulation.now)[0].clone();
    assert!(after.slow - before.slow <= 1, "no attempt has ended: {after:?}");
    assert!(
        after.lagging - before.lagging >= 10,
        "attempts in flight count as lagging: {before:?} {after:?}"
    );
}
