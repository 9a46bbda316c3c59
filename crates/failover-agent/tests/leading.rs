//! Tests the leader without its thread: agreed states, one proposal at a time, and operators' requests.

use maplehook_failover::{Demand, Report, ZoneObservation, ZoneState};
use maplehook_failover_agent::Config;
use maplehook_failover_agent::leader::LeaderState;
use maplehook_failover_agent::messages::{AgreedState, OperatorRequest, Reply};
use maplehook_locality::Zone;
use std::time::Duration;

fn config() -> Config {
    config_with_locality("")
}

fn config_with_locality(locality: &str) -> Config {
    parse_config(&config_text(locality))
}

fn parse_config(text: &str) -> Config {
    Config::from_proxy(&maplehook_config::parse(text).unwrap().proxy.unwrap()).unwrap()
}

fn config_text(locality: &str) -> String {
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
struct LeaderFixture {
    leader_state: LeaderState,
    config: Config,
    now: Duration,
    number: u64,
    agreed: AgreedState,
}

impl LeaderFixture {
    fn new() -> Self {
        Self::of(config())
    }

    fn of(config: Config) -> Self {
        let now = Duration::from_secs(100);
        let leader_state = LeaderState::new(config.clone(), AgreedState::default(), now);
        let mut fixture = Self { leader_state, config, now, number: 0, agreed: AgreedState::default() };
        fixture.advance(20);
        fixture
    }

    /// Advances the given number of 400 ms steps, each with a report of every balancer.
    fn advance(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += Duration::from_millis(400);
            self.number += 1;
            for zone in 0..4u16 {
                for n in 0..2 {
                    let report = self.report(Zone(zone));
                    self.leader_state.record_report(self.now, &format!("b{zone}{n}"), report);
                }
            }
            let in_touch: Vec<(String, bool)> =
                (0..4).flat_map(|zone| (0..2).map(move |n| (format!("b{zone}{n}"), true))).collect();
            if let Some(body) = self.leader_state.tick(self.now, &[], &in_touch) {
                self.agreed = AgreedState::decode(&body).unwrap();
                assert_eq!(self.leader_state.finish_proposal(true), Some(&self.agreed));
            }
        }
    }

    fn report(&self, zone: Zone) -> Report {
        let observation = |to: u16| ZoneObservation {
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
            observations: (0..4).map(observation).collect(),
            demand: vec![Demand { rule: 0, asked: 20.0, rejected: 0.0 }],
            ..Report::default()
        }
    }

    fn request(&mut self, request: &OperatorRequest) -> Result<AgreedState, Reply> {
        self.leader_state
            .handle_request(self.now, "b00", request)
            .map(|body| AgreedState::decode(&body).unwrap())
    }
}

fn evacuate(zone: &str) -> OperatorRequest {
    OperatorRequest::Evacuate { place: zone.into(), for_ms: None, anyway: false }
}

#[test]
fn healthy_zones_need_no_plan_rows_and_one_site_announces() {
    let fixture = LeaderFixture::new();
    assert!(fixture.agreed.places.zone_statuses.iter().all(|zone| zone.state == ZoneState::Serving));
    assert!(fixture.agreed.places.plan.rows.is_empty());
    assert_eq!(fixture.agreed.addresses.addresses["book"].holder.as_deref(), Some("n"));
}

/// After a rename, balancers that still know the old site name may announce it until their leases end.
#[test]
fn a_renamed_site_delays_the_next_holder_by_the_maximum_lease() {
    let mut fixture = LeaderFixture::new();
    fixture.leader_state.set_max_lease(Duration::from_secs(30));
    fixture.config = parse_config(&config_text("").replace("name = 'n'", "name = 'm'"));
    fixture.leader_state.reconfigure(fixture.config.clone(), fixture.now);
    fixture.advance(60);
    assert_eq!(fixture.agreed.addresses.addresses["book"].holder, None, "no holder 24 s after the rename");
    fixture.advance(40);
    assert!(fixture.agreed.addresses.addresses["book"].holder.is_some());
}

#[test]
fn requests_are_resolved_by_name_and_limited_to_one_proposal() {
    let mut fixture = LeaderFixture::new();
    for request in
        [evacuate("x"), OperatorRequest::Move { name: "book".into(), site: "x".into(), anyway: false }]
    {
        assert!(matches!(fixture.request(&request), Err(Reply::Refused(_))), "{request:?}");
    }
    let agreed = fixture.request(&evacuate("b")).unwrap();
    assert_eq!(agreed.places.evacuations[0].zones, [Zone(1)]);
    assert!(
        matches!(fixture.request(&OperatorRequest::Hold), Err(Reply::Unavailable(_))),
        "a proposal is in flight"
    );
    assert!(fixture.leader_state.tick(fixture.now, &[], &[]).is_none());
    fixture.agreed = fixture.leader_state.finish_proposal(true).cloned().unwrap();
    fixture.advance(10);
    assert_eq!(fixture.agreed.places.zone_statuses[1].state, ZoneState::Evacuated);
    let row = fixture.agreed.places.plan.row(0, Zone(1)).unwrap();
    assert_eq!((row.part(Zone(0)), row.part(Zone(1))), (10_000, 0), "zone a has headroom");
    let reply = fixture.request(&OperatorRequest::Release { place: Some("a".into()) });
    assert!(matches!(reply, Err(Reply::Refused(_))), "{reply:?}");
    assert!(
        fixture
            .request(&OperatorRequest::Release { place: Some("n".into()) })
            .unwrap()
            .places
            .evacuations
            .is_empty()
    );
}

#[test]
fn a_request_before_any_report_gets_a_retryable_reply() {
    let mut leader_state = LeaderState::new(config(), AgreedState::default(), Duration::from_secs(1));
    let reply = leader_state.handle_request(Duration::from_secs(1), "b00", &evacuate("b"));
    assert!(matches!(reply, Err(Reply::Unavailable(_))), "{reply:?}");
}

#[test]
fn decoding_rejects_a_malformed_body() {
    assert!(AgreedState::decode(b"\xff\xff\xff").is_none());
    let fixture = LeaderFixture::new();
    assert_eq!(AgreedState::decode(&fixture.agreed.encode()).as_ref(), Some(&fixture.agreed));
}

/// Round-trip times measured in one zone: 2 ms within the region, `far_ms` to the other region.
fn zone_rtts(own: usize, far_ms: f32) -> Vec<maplehook_failover::rtt::PeerRtt> {
    let rtt = |zone: usize| maplehook_failover::rtt::PeerRtt {
        peer: maplehook_cluster::hash::fnv1a(format!("b{zone}0").as_bytes()),
        ms: if zone / 2 == own / 2 { 2.0 } else { far_ms },
    };
    (0..4).map(rtt).collect()
}

/// Reports round-trip times in each step; returns the step at which the agreed table changes.
fn steps_until_table_changes(fixture: &mut LeaderFixture, steps: u32, far_ms: f32) -> Option<u32> {
    let previous = fixture.agreed.rtts.clone();
    (1..=steps).find(|_| {
        for zone in 0..4 {
            fixture.leader_state.record_rtts(fixture.now, &format!("b{zone}0"), &zone_rtts(zone, far_ms));
        }
        fixture.advance(1);
        fixture.agreed.rtts != previous
    })
}

#[test]
fn rtts_are_agreed_on_after_five_seconds_and_survive_a_leader_change() {
    let mut fixture = LeaderFixture::new();
    // Reports of a balancer in an unknown zone are ignored.
    fixture.leader_state.record_rtts(fixture.now, "stranger", &zone_rtts(0, 9.0));
    let steps = steps_until_table_changes(&mut fixture, 30, 12.0).expect("an agreed table");
    assert!((12..=15).contains(&steps), "expected 5 s in steps of 400 ms, got {steps} steps");
    let (epoch, rtt_us) =
        (fixture.agreed.places.plan.epoch, |table: &maplehook_failover::rtt::RttTable, a, b| {
            table.rtts.iter().find(|rtt| (rtt.a, rtt.b) == (a, b)).map(|rtt| rtt.us)
        });
    assert_eq!(fixture.agreed.rtts.rtts.len(), 6);
    assert_eq!(rtt_us(&fixture.agreed.rtts, 0, 1), Some(2000));
    assert_eq!(rtt_us(&fixture.agreed.rtts, 0, 2), Some(12_000));
    assert_eq!(steps_until_table_changes(&mut fixture, 10, 12.9), None, "a small change is jitter");
    let next_leader = LeaderState::new(fixture.config.clone(), fixture.agreed.clone(), fixture.now);
    fixture.leader_state = next_leader;
    assert!(
        steps_until_table_changes(&mut fixture, 10, 40.0).is_none(),
        "a new leader waits five seconds again"
    );
    let agreed_table = fixture.agreed.rtts.clone();
    assert_eq!(rtt_us(&agreed_table, 0, 2), Some(12_000));
    assert!(steps_until_table_changes(&mut fixture, 10, 40.0).is_some());
    assert_eq!(rtt_us(&fixture.agreed.rtts, 0, 2), Some(40_000));
    assert_eq!(
        fixture.agreed.places.plan.epoch, epoch,
        "round-trip times do not change the plan of a nearest-first rule"
    );
}

/// Older programs decode the fields before the table and encode no table.
#[test]
fn bodies_with_and_without_rtts_decode_in_old_and_new_programs() {
    let mut fixture = LeaderFixture::new();
    steps_until_table_changes(&mut fixture, 30, 12.0).expect("an agreed table");
    let body = fixture.agreed.encode();
    let old_fields: (maplehook_failover::Document, maplehook_address_announcement::State) =
        postcard::from_bytes(&body).unwrap();
    assert_eq!((&old_fields.0, &old_fields.1), (&fixture.agreed.places, &fixture.agreed.addresses));
    let old_body = postcard::to_allocvec(&old_fields).unwrap();
    let decoded = AgreedState::decode(&old_body).unwrap();
    assert_eq!(decoded, AgreedState { rtts: Default::default(), ..fixture.agreed.clone() });
    assert!(AgreedState::decode(&body[..body.len() - 1]).is_none(), "a truncated body is rejected");
    let mut unsorted = fixture.agreed;
    unsorted.rtts.rtts.reverse();
    assert!(AgreedState::decode(&unsorted.encode()).is_none());
}

/// A `within` step must exclude a zone of unknown round-trip time, and the next leader must use the agreed
/// table.
#[test]
fn a_plan_uses_the_agreed_rtts() {
    let rules = "rules = 'rule all { prefer own zone > own region within 5ms; when lost refuse; }'\n";
    let mut fixture = LeaderFixture::of(config_with_locality(rules));
    let request = OperatorRequest::Evacuate { place: "a".into(), for_ms: None, anyway: true };
    fixture.leader_state.handle_request(fixture.now, "b00", &request).unwrap();
    fixture.agreed = fixture.leader_state.finish_proposal(true).unwrap().clone();
    fixture.advance(20);
    let to_b =
        |fixture: &LeaderFixture| fixture.agreed.places.plan.row(0, Zone(0)).map(|row| row.part(Zone(1)));
    assert_eq!(to_b(&fixture), Some(0), "zone b has no known round-trip time");
    steps_until_table_changes(&mut fixture, 30, 12.0).expect("an agreed table");
    fixture.advance(20);
    assert!(to_b(&fixture).is_some_and(|part| part > 9000), "{:?}", fixture.agreed.places.plan);
    fixture.leader_state = LeaderState::new(fixture.config.clone(), fixture.agreed.clone(), fixture.now);
    for _ in 0..40 {
        fixture.advance(1);
        assert!(to_b(&fixture).is_some_and(|part| part > 9000), "{:?}", fixture.agreed.places.plan);
    }
}
