//! Settings that change under requests, and what one process leaves to the next.

mod common;
use common::*;
use maplehook_core::*;
use proptest::prelude::*;

const KEYED: Effect =
    Effect::Deduplicated { group: DedupGroup::Zone, ttl: std::time::Duration::from_secs(5) };
const EFFECTS: [Effect; 3] = [Effect::Idempotent, KEYED, Effect::AtMostOnce];

fn settings(effects: &[Effect], attempts: u8) -> Settings {
    Settings {
        classes: effects.iter().map(|effect| class(400, 4000, *effect)).collect(),
        tenants: vec![Tenant { allowance_per_s: 500.0 }; 2],
        max_attempts: attempts,
        ..Settings::default()
    }
}

fn fleet(n: u64) -> Vec<Endpoint> {
    (1..=n).map(|id| Endpoint { zone: ZoneId((id % 2) as u8), ..listed(id) }).collect()
}

#[test]
fn the_stricter_effect_satisfies_both() {
    let cell = |ttl| Effect::Deduplicated { group: DedupGroup::Cell, ttl: ms(ttl) };
    let all = |ttl| Effect::Deduplicated { group: DedupGroup::All, ttl: ms(ttl) };
    assert_eq!(Effect::Idempotent.stricter(Effect::Idempotent), Effect::Idempotent);
    assert_eq!(Effect::Idempotent.stricter(cell(3)), cell(3));
    assert_eq!(all(3).stricter(cell(9)), cell(3));
    assert_eq!(cell(3).stricter(KEYED), Effect::AtMostOnce);
    assert_eq!(KEYED.stricter(Effect::AtMostOnce), Effect::AtMostOnce);
}

proptest! {
    /// Guards effects and attempts across retunings at any moment: whatever the settings were and are, nothing is sent that
    /// either forbids, and each request has exactly one answer.
    #[test]
    fn what_either_reading_forbids_is_not_sent(
        first in (0..3_usize, 1..6_u8),
        then in prop::collection::vec((0..3_usize, 1..6_u8, 0..4_usize), 1..6),
    ) {
        let (mut effect, attempts) = (EFFECTS[first.0], first.1);
        let mut bench = Bench::new(settings(&[effect, Effect::Idempotent], attempts), &fleet(8));
        bench.run(ms(100));
        let id = bench.request(0, 0, ms(4000));
        prop_assert!(bench.at(id, 0).is_some());
        let (mut most, mut ended, mut may_have_run) = (attempts, 0, false);
        let outcomes = [Outcome::Reset, Outcome::ConnectFailed, Outcome::Error, Outcome::TimedOut];
        for (next, attempts, outcome) in then {
            let set = settings(&[EFFECTS[next], Effect::Idempotent, Effect::AtMostOnce], attempts);
            bench.tell(Event::SettingsChanged { settings: &set, removed_tenants: &[TenantId(1)] });
            (effect, most) = (effect.stricter(EFFECTS[next]), most.min(attempts));
            let sent = bench.sent[&id].len();
            if bench.answers.contains_key(&id) || ended == sent {
                break;
            }
            bench.ended(id, ended, outcomes[outcome]);
            ended += 1;
            may_have_run |= !outcomes[outcome].never_ran();
            let more = &bench.sent[&id][sent..];
            prop_assert!(more.is_empty() || sent < usize::from(most), "{sent} of {most}");
            if may_have_run && effect == Effect::AtMostOnce {
                prop_assert!(more.is_empty());
                prop_assert!(bench.answers.get(&id) != Some(&"refused"), "it may have run");
            }
            if let (true, Effect::Deduplicated { .. }) = (may_have_run, effect) {
                let zones: Vec<u64> = bench.sent[&id].iter().map(|(_, u)| u.0 % 2).collect();
                prop_assert!(more.is_empty() || zones.last() == zones.iter().rev().nth(1), "{zones:?}");
            }
        }
        bench.run(ms(5000));
        // A class that came later is served as any other.
        let new = bench.request(2, 0, ms(1000));
        prop_assert!(bench.at(new, 0).is_some() || bench.answers.contains_key(&new));
    }
}

/// Guards a fleet from a retuning that permits no decision, or that takes classes away from under their requests.
#[test]
fn settings_that_permit_no_decision_change_nothing() {
    let mut bench = Bench::new(settings(&EFFECTS, 5), &fleet(4));
    for set in [settings(&[], 5), settings(&EFFECTS[..1], 5), settings(&EFFECTS, 0)] {
        bench.tell(Event::SettingsChanged { settings: &set, removed_tenants: &[] });
        let id = bench.request(2, 0, ms(1000));
        assert!(bench.at(id, 0).is_some());
    }
}

/// Guards a cold upstream, an ejected one and a spent bucket across a replacement.
#[test]
fn the_next_process_goes_on_where_this_one_stands() {
    let cold = Settings { slow_start_window: ms(20_000), ..settings(&[Effect::Idempotent], 5) };
    let mut old = Bench::new(cold.clone(), &fleet(4));
    old.run(ms(1000));
    // A newcomer: it has just started, whatever the list says.
    old.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[listed(9)] });
    let dead = UpstreamId(2);
    old.traffic(600, ms(5), |u| Some(if u == dead { Outcome::ConnectFailed } else { Outcome::Ok }));
    let heritage = old.balancer.learned_state();
    let of = |id: u64| heritage.upstreams.iter().find(|u| u.id == UpstreamId(id)).unwrap();
    assert!(
        of(2).ejected_for > 0.0 && of(9).in_slow_start_for.is_some_and(|c| (2.0..4.0).contains(&c)),
        "{heritage:?}"
    );

    let play = |heritage: Option<&LearnedState>| {
        let mut new = Bench::new(cold.clone(), &[fleet(4), vec![listed(9)]].concat());
        if let Some(heritage) = heritage {
            new.tell(Event::LearnedStateRestored { learned: heritage });
        }
        new.traffic(100, ms(5), |_| Some(Outcome::Ok));
        (new.attempts_at(dead), new.attempts_at(UpstreamId(9)), new.attempts_at(UpstreamId(1)))
    };
    let before = old.attempts_at(UpstreamId(9));
    old.traffic(100, ms(5), |u| Some(if u == dead { Outcome::ConnectFailed } else { Outcome::Ok }));
    let by_the_old = old.attempts_at(UpstreamId(9)) - before;
    let (to_dead, to_cold, _) = play(Some(&heritage));
    assert!(to_dead == 0 && to_cold <= by_the_old + 1, "{to_dead} {to_cold} {by_the_old}");
    // Without it all five are alike.
    let (to_dead, to_cold, to_warm) = play(None);
    assert!(to_dead > 10 && to_cold + 2 > to_warm, "{to_dead} {to_cold} {to_warm}");
}
