//! Replicated state and its use by leaders.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{AddressState, Announce, Decider, Order, State};
use maplehook_locality::Region;

fn settled_run(announce: Announce) -> Run {
    let mut run = Run::new(address(announce, 2, 1));
    run.run(s(5));
    run
}

fn move_address(run: &mut Run, to: &str) {
    let order = Order::Move { name: "front".into(), site: to.into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
}

#[test]
fn inconsistent_or_oversized_states_are_not_sound() {
    let valid_state = settled_run(Announce::One).decider.state().clone();
    let is_invalid_after = |corrupt: fn(&mut AddressState)| {
        let mut state = valid_state.clone();
        corrupt(state.addresses.get_mut("front").unwrap());
        !state.is_sound()
    };
    assert!(valid_state.is_sound() && State::default().is_sound());
    assert!(
        is_invalid_after(|state| state.announcing.extend([("b".into(), 300)])),
        "two sites announce the address"
    );
    assert!(
        is_invalid_after(|state| state.next = Some("b".into())),
        "an address with a holder has no next holder"
    );
    assert!(
        is_invalid_after(|state| state.holder = None),
        "a site announces the address without being the holder"
    );
    assert!(is_invalid_after(|state| state.pinned = Some("x".repeat(65))));
    assert!(is_invalid_after(|state| state.sites.get_mut("a").unwrap().penalty = f64::INFINITY));
    assert!(is_invalid_after(
        |state| state.withdrawn = (0..33).map(|n| (n.to_string(), "ops".into())).collect()
    ));
    let mut many = valid_state.clone();
    many.addresses = (0..65).map(|n| (n.to_string(), AddressState::new(Announce::Many))).collect();
    assert!(!many.is_sound());
}

#[test]
fn an_epoch_rises_only_with_changes_of_its_address() {
    let mut other_address = address(Announce::Many, 2, 1);
    other_address.name = "other".into();
    let mut run = settled_run(Announce::Many);
    run.decider.reconfigure(
        vec![address(Announce::Many, 2, 1), other_address.clone()],
        names(&["a", "b"]),
        run.now,
    );
    run.run(s(1));
    let epochs = |run: &Run| ["front", "other"].map(|name| run.decider.state().addresses[name].epoch);
    assert_eq!(epochs(&run), [1, 1]);
    let (name, site, by) = ("other".into(), "a".into(), "ops".into());
    let state = run.decider.order(&Order::Withdraw { name, site, by, anyway: false }).unwrap();
    run.accept(state);
    run.run(s(3));
    // The epoch rises with the order, the raised preferences and the withdrawal.
    assert_eq!(epochs(&run), [1, 4]);
    assert_eq!(run.decider.state().number, run.log.len() as u64);
}

#[test]
fn a_handover_whose_start_the_leader_missed_waits_again() {
    // The address moves to `b`, back and to `b` again, but the leader sees only the first and the last state.
    let mut run = settled_run(Announce::One);
    move_address(&mut run, "b");
    run.run(ms(200));
    let mut last = run.decider.state().clone();
    last.number += 4;
    run.decider.accepted(&last);
    run.run(ms(1000));
    assert_eq!(run.address_state().holder, None, "the previous holder's answers may still be valid");
    run.run(ms(300));
    assert_eq!(run.address_state().holder.as_deref(), Some("b"));
}

#[test]
fn new_region_positions_restart_the_wait_of_a_handover() {
    let mut run = settled_run(Announce::One);
    move_address(&mut run, "b");
    run.run(ms(900));
    run.decider.reconfigure(vec![address(Announce::One, 2, 1)], names(&["b", "a"]), run.now);
    run.behind.insert(Region(1), s(4));
    run.run(s(2));
    assert_eq!(run.address_state().holder, None);
}

#[test]
fn a_new_leader_keeps_the_agreed_state() {
    for announce in [Announce::One, Announce::Many] {
        let run = settled_run(announce);
        let before = run.decider.state().clone();
        let addresses = vec![address(announce, 2, 1)];
        let mut next = Decider::new(addresses, names(&["a", "b"]), Some(&before), ms(0));
        for n in 0..100 {
            let state = next.tick(ms(100 * n), &run.sites, &run.behind);
            assert_eq!(state, None, "{announce:?}");
        }
        assert_eq!(*next.state(), before);
    }
}

#[test]
fn extreme_values_and_unnamed_sites_are_tolerated() {
    let mut run = settled_run(Announce::Many);
    for served in [f64::NAN, f64::INFINITY, -1.0] {
        run.set_served(1, served);
        run.run(s(1));
    }
    run.sites.push(common::healthy_site(77));
    run.behind.insert(Region(9), std::time::Duration::MAX);
    let mut extreme = address(Announce::One, 2, usize::MAX);
    extreme.sites.push(Region(500));
    (extreme.withdraw_after, extreme.return_after) = (std::time::Duration::MAX, std::time::Duration::MAX);
    run.decider.reconfigure(vec![extreme], names(&["a", "b"]), run.now);
    run.decider.set_max_lease(std::time::Duration::MAX);
    run.behind.insert(Region(0), std::time::Duration::MAX);
    run.run(s(5));
    assert_eq!(run.address_state().holder, None);
    let mut state = run.decider.state().clone();
    state.number = u64::MAX - 1;
    for site in state.addresses.get_mut("front").unwrap().sites.values_mut() {
        (site.for_ms, site.ill_for_ms, site.penalty) = (u64::MAX, u64::MAX, f64::MAX);
    }
    run.decider =
        Decider::new(vec![address(Announce::Many, 2, 1)], names(&["a", "b"]), Some(&state), run.now);
    run.behind.clear();
    run.set_served(1, 1.0);
    run.run(s(600));
    assert_eq!(run.decider.state().number, u64::MAX);
}

#[test]
fn a_new_leader_times_a_recorded_failure_from_its_start() {
    let mut run = settled_run(Announce::One);
    (0..2).for_each(|site| run.set_served(site, 0.0));
    run.run(s(60));
    let before = run.decider.state().clone();
    assert!(before.addresses["front"].sites["a"].ill);
    run.decider =
        Decider::new(vec![address(Announce::One, 2, 1)], names(&["a", "b"]), Some(&before), run.now);
    // The leader receives reports of the other site first.
    run.set_served(1, 1.0);
    run.sites.remove(0);
    run.run(s(3));
    assert_eq!(run.address_state().holder.as_deref(), Some("a"));
    run.run(s(4));
    assert_eq!(run.address_state().holder.as_deref(), Some("b"));
}

#[test]
fn penalties_and_operator_names_are_bounded() {
    let mut run = settled_run(Announce::Many);
    let slow_return =
        maplehook_address_announcement::Address { return_after: s(10_000), ..address(Announce::Many, 2, 1) };
    run.decider.reconfigure(vec![slow_return], names(&["a", "b"]), run.now);
    for _ in 0..100 {
        run.set_served(0, 0.0);
        run.run(s(6));
        run.set_served(0, 1.0);
        run.run(ms(200));
    }
    let (name, site, by) = ("front".into(), "a".into(), "x".repeat(300));
    let state = run.decider.order(&Order::Withdraw { name, site, by, anyway: false }).unwrap();
    let penalty = state.addresses["front"].sites["a"].penalty;
    assert!((11.0..=12.0).contains(&penalty), "{penalty}");
    assert_eq!(state.addresses["front"].withdrawn["a"].len(), 64);
    assert!(state.is_sound());
}
