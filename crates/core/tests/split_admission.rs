//! Admission where shares stand: it counts on what they reach, no more and no less. Upstreams are queues with one server.

mod common;

use common::{class, listed, ms};
use maplehook_core::*;
use std::collections::BTreeMap;
use std::time::Duration;

const ME: ZoneId = ZoneId(1);

#[derive(Default)]
struct Told {
    asked: f64,
    good: f64,
    late: f64,
    by_zone: BTreeMap<u8, f64>,
}

struct World {
    balancer: Balancer,
    now: Duration,
    timer: Duration,
    /// When each upstream has done what it holds.
    free_at: BTreeMap<u64, Duration>,
    due: BTreeMap<(Duration, u32, u8), (UpstreamId, Duration)>,
    sent: BTreeMap<u32, u8>,
    over: BTreeMap<u32, bool>,
    next: u32,
}

/// Work of a request at an upstream.
const WORK: Duration = Duration::from_millis(10);

impl World {
    /// `each` upstreams in each of these zones.
    fn new(zones: &[u8], each: u64) -> Self {
        let settings = Settings {
            zone: ME,
            classes: vec![class(200, 1000, Effect::Idempotent)],
            tenants: vec![Tenant { allowance_per_s: 20.0 }],
            ..Settings::default()
        };
        let ids = zones.iter().flat_map(|z| (0..each).map(move |n| u64::from(*z) * 100 + n));
        let list: Vec<Endpoint> =
            ids.map(|id| Endpoint { zone: ZoneId((id / 100) as u8), ..listed(id) }).collect();
        let mut world = Self {
            balancer: Balancer::new(settings, 7).expect("settings permit decisions"),
            now: ms(0),
            timer: ms(0),
            free_at: list.iter().map(|l| (l.id.0, ms(0))).collect(),
            due: BTreeMap::new(),
            sent: BTreeMap::new(),
            over: BTreeMap::new(),
            next: 0,
        };
        world.tell(
            Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &list },
            &mut Told::default(),
        );
        world
    }

    fn tell(&mut self, event: Event<'_>, told: &mut Told) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, .. } => self.timer = self.now + after,
                Action::Attempt { id, upstream, .. } => {
                    let no = self.sent.entry(id.0).or_default();
                    *told.by_zone.entry((upstream.0 / 100) as u8).or_default() += 1.0;
                    let free = self.free_at.get_mut(&upstream.0).expect("a listed upstream");
                    *free = (*free).max(self.now) + WORK;
                    self.due.insert((*free, id.0, *no), (upstream, self.now));
                    *no += 1;
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.over.insert(id.0, false)),
                _ => {}
            }
        }
    }

    /// So many requests a second for so many seconds.
    fn run(&mut self, rate: f64, seconds: u64) -> Told {
        let (mut told, end) = (Told::default(), self.now + Duration::from_secs(seconds));
        let gap = Duration::from_secs_f64(1.0 / rate);
        let mut next = self.now + gap;
        while self.now < end {
            let first = self.due.first_key_value().map_or(Duration::MAX, |(k, _)| k.0);
            self.now = next.min(self.timer).min(first);
            if self.now == first {
                let ((_, id, no), (upstream, sent)) = self.due.pop_first().expect("one is due");
                let first = self.over.insert(id, true).is_none();
                let latency = self.now - sent;
                if first {
                    *(if latency <= ms(200) { &mut told.good } else { &mut told.late }) += 1.0;
                }
                let event = Event::AttemptEnded {
                    id: RequestId(id),
                    attempt: AttemptNo(no),
                    upstream,
                    outcome: Outcome::Ok,
                    latency,
                    is_finished: true,
                    report: &[],
                };
                self.tell(event, &mut told);
            } else if self.now == next {
                next += gap;
                self.next += 1;
                told.asked += 1.0;
                let event = Event::Request {
                    id: RequestId(self.next),
                    class: ClassId(0),
                    tenant: TenantId(0),
                    time_left: ms(1000),
                    work_ms: None,
                    is_repeat: false,
                };
                self.tell(event, &mut told);
            } else {
                self.tell(Event::Timer { timer: TimerId(0) }, &mut told);
            }
        }
        told
    }

    fn share(&mut self, to: &[(u8, f64)]) {
        let row = GroupSplit {
            zone_shares: to.iter().map(|(z, s)| (ZoneId(*z), *s)).collect(),
            region: vec![ME],
            forbidden: Vec::new(),
            max_cross_region: 1.0,
        };
        let shares = TrafficSplit { groups: vec![0], tenants: 1, rows: vec![row] };
        self.tell(Event::TrafficSplit { split: Some(&shares) }, &mut Told::default());
    }
}

#[test]
fn all_near_is_admitted_as_by_the_near_zone_alone() {
    for rate in [100.0, 200.0, 280.0, 330.0, 450.0, 900.0] {
        let mut alone = World::new(&[1], 3);
        let mut with = World::new(&[1, 2, 3, 4], 3);
        with.share(&[(1, 1.0)]);
        alone.run(rate, 15);
        with.run(rate, 15);
        let (a, b) = (alone.run(rate, 20), with.run(rate, 20));
        assert_eq!(b.by_zone.keys().copied().collect::<Vec<_>>(), [1]);
        assert!((b.good / a.good - 1.0).abs() < 0.03, "{rate}: {} and {}", a.good, b.good);
        // And the zone is used: 300 a second is what it can do.
        assert!(b.good / 20.0 > 0.85 * rate.min(300.0), "{rate}: {}", b.good / 20.0);
    }
}

#[test]
fn what_a_share_reaches_is_room_and_no_more_is() {
    // 0.7 of 400 a second is 280 near, and 120 far: all fits.
    let mut world = World::new(&[1, 2], 3);
    world.share(&[(1, 0.7), (2, 0.3)]);
    world.run(400.0, 15);
    let told = world.run(400.0, 20);
    assert!(told.good > 0.95 * told.asked, "{} of {}", told.good, told.asked);
    let sent: f64 = told.by_zone.values().sum();
    assert!((told.by_zone[&1] / sent - 0.7).abs() < 0.01, "{:?}", told.by_zone);
    // At 800 the near zone sets what is admitted: 300 of 0.7. More than that must not be promised for the room far off.
    world.run(800.0, 15);
    let told = world.run(800.0, 20);
    assert!(told.good / 20.0 > 0.8 * 300.0 / 0.7, "{}", told.good / 20.0);
    assert!(told.late < 0.05 * told.good, "{} late, {} good", told.late, told.good);
}

#[test]
fn shares_that_move_take_their_room_along() {
    let mut world = World::new(&[1, 2, 3], 3);
    world.share(&[(1, 1.0)]);
    world.run(250.0, 15);
    world.share(&[(2, 1.0)]);
    let told = world.run(250.0, 5);
    assert!(told.good > 0.95 * told.asked, "{} of {}", told.good, told.asked);
    // To a third of it: W must not be what three zones' completions were.
    world.share(&[(1, 0.34), (2, 0.33), (3, 0.33)]);
    world.run(750.0, 15);
    world.share(&[(3, 1.0)]);
    let told = world.run(750.0, 10);
    assert!(told.good / 10.0 > 0.8 * 300.0, "{}", told.good / 10.0);
    assert!(told.late < 0.15 * told.good, "{} late, {} good", told.late, told.good);
    // To nothing and back.
    world.share(&[]);
    let told = world.run(250.0, 5);
    // But for further attempts of what was under way.
    assert!(told.by_zone.values().sum::<f64>() < 5.0, "{:?}", told.by_zone);
    world.share(&[(1, 1.0)]);
    let told = world.run(500.0, 10);
    assert!(told.late < 0.15 * told.good, "{} late, {} good", told.late, told.good);
    assert!(told.good / 10.0 > 0.7 * 300.0, "{}", told.good / 10.0);
}

#[test]
fn load_and_counters_are_seen_by_zone() {
    let mut world = World::new(&[1, 2], 3);
    world.share(&[(1, 0.9), (2, 0.1)]);
    world.run(450.0, 20);
    let sights = world.balancer.zone_observations(world.now);
    let [near, far] = &sights[..] else { panic!("two zones: {sights:?}") };
    assert_eq!(
        (near.zone, far.zone, near.listed_weight, far.listed_weight),
        (ZoneId(1), ZoneId(2), 3.0, 3.0)
    );
    assert_eq!((near.usable_weight, far.warming_weight), (3.0, 0.0));
    assert!(near.load > 2.0 * far.load && far.load > 0.0, "{near:?} {far:?}");
    assert_eq!(near.sent, near.succeeded + near.slow + near.failed + near.unreachable + near.in_flight);
    assert!(near.sent > 8 * far.sent && near.in_flight > 0);
    assert!(near.lagging >= near.slow, "what is slow has lagged: {near:?}");
    // Nothing sent any more: no load.
    world.share(&[(2, 1.0)]);
    world.run(100.0, 60);
    assert!(world.balancer.zone_observations(world.now)[0].load < 0.001);
}

/// Guards against a zone that hangs and is seen only when the deadlines of what it holds have passed.
#[test]
fn what_hangs_lags_long_before_it_ends() {
    let mut world = World::new(&[1, 2], 3);
    world.share(&[(1, 1.0)]);
    world.run(100.0, 5);
    let before = world.balancer.zone_observations(world.now)[0].clone();
    // Nothing comes back any more.
    world.free_at.values_mut().for_each(|free| *free += Duration::from_secs(3600));
    world.run(100.0, 1);
    let after = world.balancer.zone_observations(world.now)[0].clone();
    assert!(after.slow - before.slow <= 1, "none has ended: {after:?}");
    assert!(after.lagging - before.lagging >= 10, "{before:?} {after:?}");
}
