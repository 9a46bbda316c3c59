//! Settings that change while requests are in flight, and learned state that one process hands over to the
//! next.

mod common;
use common::*;
use maplehook_core::*;
use proptest::prelude::*;

const DEDUPLICATED: Effect =
    Effect::Deduplicated { group: DedupGroup::Zone, ttl: std::time::Duration::from_secs(5) };
const EFFECTS: [Effect; 3] = [Effect::Idempotent, DEDUPLICATED, Effect::AtMostOnce];

fn settings(effects: &[Effect], attempt_limit: u8) -> Settings {
    Settings {
        classes: effects.iter().map(|effect| class(400, 4000, *effect)).collect(),
        tenants: vec![Tenant { allowance_per_s: 500.0 }; 2],
        max_attempts: attempt_limit,
        ..Settings::default()
    }
}

fn fleet(n: u64) -> Vec<Endpoint> {
    (1..=n).map(|id| Endpoint { zone: ZoneId((id % 2) as u8), ..endpoint(id) }).collect()
}

#[test]
fn stricter_combines_the_restrictions_of_two_effects() {
    let cell = |ttl| Effect::Deduplicated { group: DedupGroup::Cell, ttl: ms(ttl) };
    let all = |ttl| Effect::Deduplicated { group: DedupGroup::All, ttl: ms(ttl) };
    assert_eq!(Effect::Idempotent.stricter(Effect::Idempotent), Effect::Idempotent);
    assert_eq!(Effect::Idempotent.stricter(cell(3)), cell(3));
    assert_eq!(all(3).stricter(cell(9)), cell(3));
    assert_eq!(cell(3).stricter(DEDUPLICATED), Effect::AtMostOnce);
    assert_eq!(DEDUPLICATED.stricter(Effect::AtMostOnce), Effect::AtMostOnce);
}

proptest! {
    /// When settings change while a request is in flight, its attempts obey both the old and the new
    /// settings, and the request still gets a single answer.
    #[test]
    fn attempts_obey_old_and_new_settings(
        initial in (0..3_usize, 1..6_u8),
        changes in prop::collection::vec((0..3_usize, 1..6_u8, 0..4_usize), 1..6),
    ) {
        let (mut effect, max_attempts) = (EFFECTS[initial.0], initial.1);
        let mut harness = Harness::new(settings(&[effect, Effect::Idempotent], max_attempts), &fleet(8));
        harness.advance(ms(100));
        let id = harness.send_request(0, 0, ms(4000));
        prop_assert!(harness.upstream_of(id, 0).is_some());
        let (mut lowest_limit, mut ended_count, mut may_have_run) = (max_attempts, 0, false);
        let outcomes = [Outcome::Reset, Outcome::ConnectFailed, Outcome::Error, Outcome::TimedOut];
        for (next_effect, max_attempts, outcome) in changes {
            let settings =
                settings(&[EFFECTS[next_effect], Effect::Idempotent, Effect::AtMostOnce], max_attempts);
            harness.handle(Event::SettingsChanged { settings: &settings, removed_tenants: &[TenantId(1)] });
            (effect, lowest_limit) = (effect.stricter(EFFECTS[next_effect]), lowest_limit.min(max_attempts));
            let sent = harness.attempts[&id].len();
            if harness.results.contains_key(&id) || ended_count == sent {
                break;
            }
            harness.end_attempt(id, ended_count, outcomes[outcome]);
            ended_count += 1;
            may_have_run |= !outcomes[outcome].never_ran();
            let new_attempts = &harness.attempts[&id][sent..];
            prop_assert!(
                new_attempts.is_empty() || sent < usize::from(lowest_limit),
                "an attempt was sent after {sent} others, at most {lowest_limit} are allowed in all"
            );
            if may_have_run && effect == Effect::AtMostOnce {
                prop_assert!(new_attempts.is_empty());
                prop_assert!(
                    harness.results.get(&id) != Some(&"rejected"),
                    "an at-most-once request that may have run is not rejected"
                );
            }
            if let (true, Effect::Deduplicated { .. }) = (may_have_run, effect) {
                let zones: Vec<u64> = harness.attempts[&id].iter().map(|(_, u)| u.0 % 2).collect();
                prop_assert!(
                    new_attempts.is_empty() || zones.last() == zones.iter().rev().nth(1),
                    "a repeat goes to the zone of the preceding attempt; zones of all attempts: {zones:?}"
                );
            }
        }
        harness.advance(ms(5000));
        // Requests of a class that the new settings added are handled as well.
        let added_id = harness.send_request(2, 0, ms(1000));
        prop_assert!(harness.upstream_of(added_id, 0).is_some() || harness.results.contains_key(&added_id));
    }
}

/// Settings that are invalid, or that drop classes which may have requests in flight, must not replace the
/// settings in use.
#[test]
fn invalid_settings_are_ignored() {
    let mut harness = Harness::new(settings(&EFFECTS, 5), &fleet(4));
    for invalid_settings in [settings(&[], 5), settings(&EFFECTS[..1], 5), settings(&EFFECTS, 0)] {
        harness.handle(Event::SettingsChanged { settings: &invalid_settings, removed_tenants: &[] });
        let id = harness.send_request(2, 0, ms(1000));
        assert!(harness.upstream_of(id, 0).is_some());
    }
}

/// A new process that restores the learned state of the old one must continue slow starts and ejections, and
/// must not refill spent tokens.
#[test]
fn learned_state_keeps_slow_starts_and_ejections() {
    let settings = Settings { slow_start_window: ms(20_000), ..settings(&[Effect::Idempotent], 5) };
    let mut old_process = Harness::new(settings.clone(), &fleet(4));
    old_process.advance(ms(1000));
    // A new upstream counts as just started even if the endpoint update contains no start time.
    old_process.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[endpoint(9)] });
    let ejected = UpstreamId(2);
    old_process
        .run_traffic(600, ms(5), |u| Some(if u == ejected { Outcome::ConnectFailed } else { Outcome::Ok }));
    let learned_state = old_process.balancer.learned_state();
    let learned = |id: u64| learned_state.upstreams.iter().find(|u| u.id == UpstreamId(id)).unwrap();
    assert!(
        learned(2).ejected_for > 0.0 && learned(9).in_slow_start_for.is_some_and(|c| (2.0..4.0).contains(&c)),
        "upstream 2 is ejected and upstream 9 is in slow start: {learned_state:?}"
    );

    let attempts_with = |learned_state: Option<&LearnedState>| {
        let mut new_process = Harness::new(settings.clone(), &[fleet(4), vec![endpoint(9)]].concat());
        if let Some(learned_state) = learned_state {
            new_process.handle(Event::LearnedStateRestored { learned: learned_state });
        }
        new_process.run_traffic(100, ms(5), |_| Some(Outcome::Ok));
        (
            new_process.attempts_to(ejected),
            new_process.attempts_to(UpstreamId(9)),
            new_process.attempts_to(UpstreamId(1)),
        )
    };
    let attempts_before = old_process.attempts_to(UpstreamId(9));
    old_process
        .run_traffic(100, ms(5), |u| Some(if u == ejected { Outcome::ConnectFailed } else { Outcome::Ok }));
    let by_old_process = old_process.attempts_to(UpstreamId(9)) - attempts_before;
    let (to_ejected, to_starting, _) = attempts_with(Some(&learned_state));
    assert!(
        to_ejected == 0 && to_starting <= by_old_process + 1,
        "attempts: {to_ejected} at upstream 2, {to_starting} at upstream 9 (old process: {by_old_process})"
    );
    // To a process without learned state, all five upstreams look alike.
    let (to_ejected, to_starting, to_other) = attempts_with(None);
    assert!(
        to_ejected > 10 && to_starting + 2 > to_other,
        "attempts: {to_ejected} at upstream 2, {to_starting} at upstream 9, {to_other} at upstream 1"
    );
}
