//! A balancer's side.

mod common;

use common::{Run, address, ms, s};
use maplehook_address_announcement::answer::{ALONE_FOR, FLOOR};
use maplehook_address_announcement::{Announce, Answer, LocalBalancer, Order, State};

fn state(announce: Announce) -> State {
    let mut run = Run::new(address(announce, 2, 1));
    run.run(s(5));
    run.decider.state().clone()
}

fn own(site: &str, state: State, until: u64) -> LocalBalancer {
    LocalBalancer {
        site: site.into(),
        ready: true,
        served: 1.0,
        lease_until: Some(s(until)),
        state: Some(state),
    }
}

fn good_for(answer: &Answer) -> std::time::Duration {
    match answer {
        Answer::Announces { good_for, .. } => *good_for,
        Answer::Withdrawn { .. } => std::time::Duration::ZERO,
    }
}

#[test]
fn an_answer_reaches_no_further_than_the_lease() {
    let own = own("a", state(Announce::One), 100);
    for now in (90_000..101_000).step_by(7).map(ms) {
        let good_for = good_for(&own.answer("front", now));
        let left = s(100).saturating_sub(now);
        // By a clock that goes slow, of whoever counts it; while this one goes fast.
        assert!(good_for.mul_f64(1.01 / 0.99) <= left + ms(1) / 1000, "{now:?} {good_for:?}");
        assert!(good_for.is_zero() || good_for >= FLOOR);
        assert_eq!(good_for.is_zero(), left < FLOOR.mul_f64(1.01 / 0.99), "{now:?}");
        assert!(good_for <= s(1));
    }
}

#[test]
fn a_holder_that_was_stopped_has_withdrawn_before_its_next_word() {
    let own = own("a", state(Announce::One), 100);
    assert_eq!(good_for(&own.answer("front", s(96))), s(1));
    // The same balancer, 10 s later, with nothing done in between.
    assert_eq!(own.answer("front", s(106)), Answer::Withdrawn { why: "the lease has run out".into() });
    // It asks no memory: an earlier moment is answered as before.
    assert_eq!(good_for(&own.answer("front", s(96))), s(1));
}

#[test]
fn only_the_holder_announces_and_nobody_during_a_hand_over() {
    let mut run = Run::new(address(Announce::One, 2, 1));
    run.run(s(5));
    let answer =
        |run: &Run, site: &str| own(site, run.decider.state().clone(), 1000).answer("front", run.now);
    assert!(!good_for(&answer(&run, "a")).is_zero());
    assert_eq!(answer(&run, "b"), Answer::Withdrawn { why: "a announces it".into() });
    let order = Order::Move { name: "front".into(), site: "b".into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
    for site in ["a", "b"] {
        assert_eq!(answer(&run, site), Answer::Withdrawn { why: "it is handed over".into() });
    }
    run.run(s(3));
    assert!(good_for(&answer(&run, "a")).is_zero() && !good_for(&answer(&run, "b")).is_zero());
}

#[test]
fn who_is_not_ready_or_knows_nothing_does_not_announce() {
    for announce in [Announce::One, Announce::Many] {
        let ready = own("a", state(announce), 100);
        assert!(!good_for(&ready.answer("front", s(50))).is_zero());
        assert!(good_for(&ready.answer("back", s(50))).is_zero());
        let not = LocalBalancer { ready: false, ..ready.clone() };
        assert!(good_for(&not.answer("front", s(50))).is_zero());
        let new = LocalBalancer { state: None, ..ready.clone() };
        assert!(good_for(&new.answer("front", s(50))).is_zero());
        let never = LocalBalancer { lease_until: None, ..ready.clone() };
        assert_eq!(good_for(&never.answer("front", s(50))).is_zero(), announce == Announce::One);
        let elsewhere = LocalBalancer { site: "x".into(), ..ready };
        assert!(good_for(&elsewhere.answer("front", s(500))).is_zero());
    }
}

#[test]
fn what_many_announce_goes_on_without_a_lease_while_its_own_clients_are_served() {
    let cut = own("a", state(Announce::Many), 100);
    assert_eq!(good_for(&cut.answer("front", s(50))), s(3));
    assert_eq!(good_for(&cut.answer("front", s(5000))), ALONE_FOR);
    for served in [0.89, 0.0, f64::NAN] {
        let ill = LocalBalancer { served, ..cut.clone() };
        assert!(good_for(&ill.answer("front", s(5000))).is_zero(), "{served}");
        assert!(!good_for(&ill.answer("front", s(50))).is_zero(), "with a lease the common word holds");
    }
    // One that the others had withdrawn, and that is well now: nobody knows whether they are still there.
    let mut away = cut.clone();
    let standing = away.state.as_mut().unwrap().addresses.get_mut("front").unwrap();
    standing.announcing.remove("a");
    assert!(good_for(&away.answer("front", s(50))).is_zero());
    assert_eq!(good_for(&away.answer("front", s(5000))), ALONE_FOR);
    // But not against an order.
    let standing = away.state.as_mut().unwrap().addresses.get_mut("front").unwrap();
    standing.withdrawn.insert("a".into(), "ops".into());
    let mut leaving = cut.clone();
    let standing = leaving.state.as_mut().unwrap().addresses.get_mut("front").unwrap();
    standing.withdrawn.insert("a".into(), "ops".into());
    assert!(!good_for(&leaving.answer("front", s(50))).is_zero(), "it goes once the takers have risen");
    assert!(good_for(&leaving.answer("front", s(5000))).is_zero());
    for now in [50, 5000] {
        let withdrawn = Answer::Withdrawn { why: "withdrawn by ops".into() };
        assert_eq!(away.answer("front", s(now)), withdrawn);
    }
}
