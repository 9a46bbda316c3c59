//! Tests the leader without its thread: agreed states, one proposal at a time, and operators' requests.

use maplehook_failover::{Demand, Report, ZoneObservation, ZoneState};
use maplehook_failover_agent::Config;
use maplehook_failover_agent::leader::LeaderState;
use maplehook_failover_agent::messages::{AgreedState, OperatorRequest, Reply};
use maplehook_locality::Zone;
use std::time::Duration;

fn config() -> Config {
    ruled("")
}

fn ruled(locality: &str) -> Config {
    of(&text(locality))
}

fn of(text: &str) -> Config {
    Config::from_proxy(&maplehook_config::parse(text).unwrap().proxy.unwrap()).unwrap()
}

fn text(locality: &str) -> String {
    let mut text =
        "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nzone = 'a'\n[[class]]\nname = 'all'\npath = '/**'\n\
        [[region]]\nname = 'n'\nzones = ['a', 'b']\n[[region]]\nname = 's'\nzones = ['c', 'd']\n[locality]\n"
            .to_owned();
    text += locality;
    text += "[[address]]\nname = 'book'\naddress = '203.0.113.10:443'\nannounce = 'one'\n";
    for (n, zone) in ["a", "b", "c", "d"].iter().enumerate() {
        text += &format!(
            "[[upstream]]\nname = 'u{n}'\naddress = '127.0.0.1:{}'\nzone = '{zone}'\nroom_per_s = 100.0\n",
            9000 + n
        );
    }
    text
}

/// Leader that receives reports from all zones.
struct Led {
    leading: LeaderState,
    config: Config,
    now: Duration,
    number: u64,
    agreed: AgreedState,
}

impl Led {
    fn new() -> Self {
        Self::of(config())
    }

    fn of(config: Config) -> Self {
        let now = Duration::from_secs(100);
        let leading = LeaderState::new(config.clone(), AgreedState::default(), now);
        let mut led = Self { leading, config, now, number: 0, agreed: AgreedState::default() };
        led.run(20);
        led
    }

    /// Advances the given number of 400 ms steps, each with a report of every balancer.
    fn run(&mut self, looks: u32) {
        for _ in 0..looks {
            self.now += Duration::from_millis(400);
            self.number += 1;
            for zone in 0..4u16 {
                for n in 0..2 {
                    let report = self.report(Zone(zone));
                    self.leading.record_report(self.now, &format!("b{zone}{n}"), report);
                }
            }
            let in_touch: Vec<(String, bool)> =
                (0..4).flat_map(|zone| (0..2).map(move |n| (format!("b{zone}{n}"), true))).collect();
            if let Some(body) = self.leading.tick(self.now, &[], &in_touch) {
                self.agreed = AgreedState::decode(&body).unwrap();
                assert_eq!(self.leading.finish_proposal(true), Some(&self.agreed));
            }
        }
    }

    fn report(&self, zone: Zone) -> Report {
        let sight = |to: u16| ZoneObservation {
            zone: Zone(to),
            stated: true,
            listed: 100.0,
            usable: 100.0,
            sent: if Zone(to) == zone { 20.0 } else { 0.0 },
            ok: if Zone(to) == zone { 20.0 } else { 0.0 },
            probes: if Zone(to) == zone { 0.0 } else { 3.0 },
            ..ZoneObservation::default()
        };
        Report {
            number: self.number,
            start: 1,
            zone,
            digest: self.config.digest,
            ready: true,
            observations: (0..4).map(sight).collect(),
            demand: vec![Demand { rule: 0, asked: 20.0, rejected: 0.0 }],
            ..Report::default()
        }
    }

    fn wish(&mut self, wish: &OperatorRequest) -> Result<AgreedState, Reply> {
        self.leading.handle_request(self.now, "b00", wish).map(|body| AgreedState::decode(&body).unwrap())
    }
}

fn evacuate(place: &str) -> OperatorRequest {
    OperatorRequest::Evacuate { place: place.into(), for_ms: None, anyway: false }
}

#[test]
fn calm_is_agreed_on_and_one_site_announces() {
    let led = Led::new();
    assert!(led.agreed.places.zone_statuses.iter().all(|place| place.state == ZoneState::Serving));
    assert!(led.agreed.places.plan.rows.is_empty());
    assert_eq!(led.agreed.addresses.addresses["book"].holder.as_deref(), Some("n"));
}

/// After a rename, balancers that still know the old site name may announce it until their leases end.
#[test]
fn a_site_that_is_named_no_more_is_waited_for_by_the_leases_of_this_agreement() {
    let mut led = Led::new();
    led.leading.set_max_lease(Duration::from_secs(30));
    led.config = of(&text("").replace("name = 'n'", "name = 'm'"));
    led.leading.reconfigure(led.config.clone(), led.now);
    led.run(60);
    assert_eq!(led.agreed.addresses.addresses["book"].holder, None, "24 s after it was renamed");
    led.run(40);
    assert!(led.agreed.addresses.addresses["book"].holder.is_some());
}

#[test]
fn wishes_go_by_names_and_one_at_a_time() {
    let mut led = Led::new();
    for unknown in
        [evacuate("x"), OperatorRequest::Move { name: "book".into(), site: "x".into(), anyway: false }]
    {
        assert!(matches!(led.wish(&unknown), Err(Reply::Refused(_))), "{unknown:?}");
    }
    let agreed = led.wish(&evacuate("b")).unwrap();
    assert_eq!(agreed.places.evacuations[0].zones, [Zone(1)]);
    assert!(matches!(led.wish(&OperatorRequest::Hold), Err(Reply::Unavailable(_))), "one is on its way");
    assert!(led.leading.tick(led.now, &[], &[]).is_none());
    led.agreed = led.leading.finish_proposal(true).cloned().unwrap();
    led.run(10);
    assert_eq!(led.agreed.places.zone_statuses[1].state, ZoneState::Evacuated);
    let row = led.agreed.places.plan.row(0, Zone(1)).unwrap();
    assert_eq!((row.part(Zone(0)), row.part(Zone(1))), (10_000, 0), "the neighbour has room");
    let other = led.wish(&OperatorRequest::Release { place: Some("a".into()) });
    assert!(matches!(other, Err(Reply::Refused(_))), "{other:?}");
    assert!(
        led.wish(&OperatorRequest::Release { place: Some("n".into()) })
            .unwrap()
            .places
            .evacuations
            .is_empty()
    );
}

#[test]
fn what_is_not_known_yet_may_be_asked_for_again() {
    let mut leading = LeaderState::new(config(), AgreedState::default(), Duration::from_secs(1));
    let early = leading.handle_request(Duration::from_secs(1), "b00", &evacuate("b"));
    assert!(matches!(early, Err(Reply::Unavailable(_))), "{early:?}");
}

#[test]
fn a_body_of_another_kind_is_none() {
    assert!(AgreedState::decode(b"\xff\xff\xff").is_none());
    let led = Led::new();
    assert_eq!(AgreedState::decode(&led.agreed.encode()).as_ref(), Some(&led.agreed));
}

/// Round-trip times measured in one zone: 2 ms within the region, `far_ms` to the other region.
fn ways(own: usize, far_ms: f32) -> Vec<maplehook_failover::rtt::PeerRtt> {
    let way = |zone: usize| maplehook_failover::rtt::PeerRtt {
        peer: maplehook_cluster::hash::fnv1a(format!("b{zone}0").as_bytes()),
        ms: if zone / 2 == own / 2 { 2.0 } else { far_ms },
    };
    (0..4).map(way).collect()
}

/// Reports round-trip times in each step; returns the step at which the agreed table changes.
fn measured(led: &mut Led, looks: u32, far_ms: f32) -> Option<u32> {
    let before = led.agreed.rtts.clone();
    (1..=looks).find(|_| {
        for zone in 0..4 {
            led.leading.record_rtts(led.now, &format!("b{zone}0"), &ways(zone, far_ms));
        }
        led.run(1);
        led.agreed.rtts != before
    })
}

#[test]
fn ways_are_agreed_on_after_a_time_and_stay_with_whoever_leads_next() {
    let mut led = Led::new();
    // Reports of a balancer in an unknown zone are ignored.
    led.leading.record_rtts(led.now, "stranger", &ways(0, 9.0));
    let took = measured(&mut led, 30, 12.0).expect("a table");
    assert!((12..=15).contains(&took), "5 s of 400 ms each, and not {took}");
    let (epoch, of) = (led.agreed.places.plan.epoch, |trips: &maplehook_failover::rtt::RttTable, a, b| {
        trips.rtts.iter().find(|trip| (trip.a, trip.b) == (a, b)).map(|trip| trip.us)
    });
    assert_eq!(led.agreed.rtts.rtts.len(), 6);
    assert_eq!(of(&led.agreed.rtts, 0, 1), Some(2000));
    assert_eq!(of(&led.agreed.rtts, 0, 2), Some(12_000));
    assert_eq!(measured(&mut led, 10, 12.9), None, "no more than a jitter");
    let next = LeaderState::new(led.config.clone(), led.agreed.clone(), led.now);
    led.leading = next;
    assert!(measured(&mut led, 10, 40.0).is_none(), "it begins to wait anew");
    let kept = led.agreed.rtts.clone();
    assert_eq!(of(&kept, 0, 2), Some(12_000));
    assert!(measured(&mut led, 10, 40.0).is_some());
    assert_eq!(of(&led.agreed.rtts, 0, 2), Some(40_000));
    assert_eq!(led.agreed.places.plan.epoch, epoch, "near first is the same rule however long a way is");
}

/// Older programs decode the fields before the table and encode no table.
#[test]
fn a_body_without_ways_is_read_and_one_with_them_is_read_by_programs_without() {
    let mut led = Led::new();
    measured(&mut led, 30, 12.0).expect("a table");
    let body = led.agreed.encode();
    let before: (maplehook_failover::Document, maplehook_address_announcement::State) =
        postcard::from_bytes(&body).unwrap();
    assert_eq!((&before.0, &before.1), (&led.agreed.places, &led.agreed.addresses));
    let old = postcard::to_allocvec(&before).unwrap();
    let read = AgreedState::decode(&old).unwrap();
    assert_eq!(read, AgreedState { rtts: Default::default(), ..led.agreed.clone() });
    assert!(AgreedState::decode(&body[..body.len() - 1]).is_none(), "cut short");
    let mut wild = led.agreed;
    wild.rtts.rtts.reverse();
    assert!(AgreedState::decode(&wild.encode()).is_none());
}

/// A `within` step must exclude a zone of unknown round-trip time, and the next leader must use the agreed
/// table.
#[test]
fn a_plan_goes_by_the_ways_that_are_agreed_on() {
    let rules = "rules = 'rule all { prefer own zone > own region within 5ms; when lost refuse; }'\n";
    let mut led = Led::of(ruled(rules));
    let wish = OperatorRequest::Evacuate { place: "a".into(), for_ms: None, anyway: true };
    led.leading.handle_request(led.now, "b00", &wish).unwrap();
    led.agreed = led.leading.finish_proposal(true).unwrap().clone();
    led.run(20);
    let to_b = |led: &Led| led.agreed.places.plan.row(0, Zone(0)).map(|row| row.part(Zone(1)));
    assert_eq!(to_b(&led), Some(0), "nobody knows how far it is");
    measured(&mut led, 30, 12.0).expect("a table");
    led.run(20);
    assert!(to_b(&led).is_some_and(|part| part > 9000), "{:?}", led.agreed.places.plan);
    led.leading = LeaderState::new(led.config.clone(), led.agreed.clone(), led.now);
    for _ in 0..40 {
        led.run(1);
        assert!(to_b(&led).is_some_and(|part| part > 9000), "{:?}", led.agreed.places.plan);
    }
}
