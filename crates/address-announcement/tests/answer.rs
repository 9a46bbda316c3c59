//! Answers of a balancer to routers.

mod common;

use common::{Run, address, ms, s};
use maplehook_address_announcement::answer::{MIN_VALIDITY, VALIDITY_WITHOUT_LEASE};
use maplehook_address_announcement::{Announce, Answer, LocalBalancer, Order, State};

fn agreed_state(announce: Announce) -> State {
    let mut run = Run::new(address(announce, 2, 1));
    run.run(s(5));
    run.decider.state().clone()
}

fn balancer(site: &str, state: State, lease_end: u64) -> LocalBalancer {
    LocalBalancer {
        site: site.into(),
        ready: true,
        served: 1.0,
        lease_until: Some(s(lease_end)),
        state: Some(state),
    }
}

fn validity(answer: &Answer) -> std::time::Duration {
    match answer {
        Answer::Announces { good_for, .. } => *good_for,
        Answer::Withdrawn { .. } => std::time::Duration::ZERO,
    }
}

#[test]
fn an_answer_never_outlasts_the_lease() {
    let balancer = balancer("a", agreed_state(Announce::One), 100);
    for now in (90_000..101_000).step_by(7).map(ms) {
        let validity = validity(&balancer.answer("front", now));
        let remaining = s(100).saturating_sub(now);
        // The router's clock runs 1 % slow and the balancer's clock 1 % fast.
        assert!(validity.mul_f64(1.01 / 0.99) <= remaining + ms(1) / 1000, "{now:?} {validity:?}");
        assert!(validity.is_zero() || validity >= MIN_VALIDITY);
        assert_eq!(validity.is_zero(), remaining < MIN_VALIDITY.mul_f64(1.01 / 0.99), "{now:?}");
        assert!(validity <= s(1));
    }
}

#[test]
fn a_holder_stopped_past_its_lease_answers_withdrawn_when_it_resumes() {
    let balancer = balancer("a", agreed_state(Announce::One), 100);
    assert_eq!(validity(&balancer.answer("front", s(96))), s(1));
    // 10 s later the same balancer answers without having processed anything in between.
    assert_eq!(balancer.answer("front", s(106)), Answer::Withdrawn { why: "the lease has run out".into() });
    // Answers depend on the given time only: an earlier time still gives the earlier answer.
    assert_eq!(validity(&balancer.answer("front", s(96))), s(1));
}

#[test]
fn only_the_holder_announces_and_no_site_during_a_handover() {
    let mut run = Run::new(address(Announce::One, 2, 1));
    run.run(s(5));
    let answer =
        |run: &Run, site: &str| balancer(site, run.decider.state().clone(), 1000).answer("front", run.now);
    assert!(!validity(&answer(&run, "a")).is_zero());
    assert_eq!(answer(&run, "b"), Answer::Withdrawn { why: "a announces it".into() });
    let order = Order::Move { name: "front".into(), site: "b".into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
    for site in ["a", "b"] {
        assert_eq!(answer(&run, site), Answer::Withdrawn { why: "it is handed over".into() });
    }
    run.run(s(3));
    assert!(validity(&answer(&run, "a")).is_zero() && !validity(&answer(&run, "b")).is_zero());
}

#[test]
fn a_balancer_without_readiness_state_or_lease_does_not_announce() {
    for announce in [Announce::One, Announce::Many] {
        let ready = balancer("a", agreed_state(announce), 100);
        assert!(!validity(&ready.answer("front", s(50))).is_zero());
        assert!(validity(&ready.answer("back", s(50))).is_zero());
        let not_ready = LocalBalancer { ready: false, ..ready.clone() };
        assert!(validity(&not_ready.answer("front", s(50))).is_zero());
        let without_state = LocalBalancer { state: None, ..ready.clone() };
        assert!(validity(&without_state.answer("front", s(50))).is_zero());
        let without_any_lease = LocalBalancer { lease_until: None, ..ready.clone() };
        assert_eq!(validity(&without_any_lease.answer("front", s(50))).is_zero(), announce == Announce::One);
        let at_other_site = LocalBalancer { site: "x".into(), ..ready };
        assert!(validity(&at_other_site.answer("front", s(500))).is_zero());
    }
}

#[test]
fn a_many_address_is_announced_without_a_lease_while_local_clients_are_served() {
    let balancer = balancer("a", agreed_state(Announce::Many), 100);
    assert_eq!(validity(&balancer.answer("front", s(50))), s(3));
    assert_eq!(validity(&balancer.answer("front", s(5000))), VALIDITY_WITHOUT_LEASE);
    for served in [0.89, 0.0, f64::NAN] {
        let unhealthy = LocalBalancer { served, ..balancer.clone() };
        assert!(validity(&unhealthy.answer("front", s(5000))).is_zero(), "{served}");
        assert!(
            !validity(&unhealthy.answer("front", s(50))).is_zero(),
            "with a lease the agreed state applies"
        );
    }
    // Site `a` was withdrawn as unhealthy and is healthy now. Without a lease it cannot know whether another
    // site still announces the address, so it announces too.
    let mut withdrawn_site = balancer.clone();
    let address_state = withdrawn_site.state.as_mut().unwrap().addresses.get_mut("front").unwrap();
    address_state.announcing.remove("a");
    assert!(validity(&withdrawn_site.answer("front", s(50))).is_zero());
    assert_eq!(validity(&withdrawn_site.answer("front", s(5000))), VALIDITY_WITHOUT_LEASE);
    // A withdrawal by an operator stays in force without a lease.
    let address_state = withdrawn_site.state.as_mut().unwrap().addresses.get_mut("front").unwrap();
    address_state.withdrawn.insert("a".into(), "ops".into());
    let mut withdrawing = balancer.clone();
    let address_state = withdrawing.state.as_mut().unwrap().addresses.get_mut("front").unwrap();
    address_state.withdrawn.insert("a".into(), "ops".into());
    assert!(
        !validity(&withdrawing.answer("front", s(50))).is_zero(),
        "the site announces until the agreed state drops it"
    );
    assert!(validity(&withdrawing.answer("front", s(5000))).is_zero());
    for now in [50, 5000] {
        let withdrawn = Answer::Withdrawn { why: "withdrawn by ops".into() };
        assert_eq!(withdrawn_site.answer("front", s(now)), withdrawn);
    }
}
