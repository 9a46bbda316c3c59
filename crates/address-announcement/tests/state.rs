//! What is agreed on, and how it comes to a leader.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Decider, Order, Standing, State};
use maplehook_locality::Region;

fn run(announce: Announce) -> Run {
    let mut run = Run::new(address(announce, 2, 1));
    run.run(s(5));
    run
}

fn moved(run: &mut Run, to: &str) {
    let order = Order::Move { name: "front".into(), site: to.into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
}

#[test]
fn what_cannot_be_is_not_sound() {
    let sound = run(Announce::One).decider.state().clone();
    let broken = |breaks: fn(&mut Standing)| {
        let mut state = sound.clone();
        breaks(state.addresses.get_mut("front").unwrap());
        !state.is_sound()
    };
    assert!(sound.is_sound() && State::default().is_sound());
    assert!(broken(|one| one.announcing.extend([("b".into(), 300)])), "two announce");
    assert!(broken(|one| one.next = Some("b".into())), "held, and handed over");
    assert!(broken(|one| one.holder = None), "announced by one that does not hold it");
    assert!(broken(|one| one.pinned = Some("x".repeat(65))));
    assert!(broken(|one| one.sites.get_mut("a").unwrap().penalty = f64::INFINITY));
    assert!(broken(|one| one.withdrawn = (0..33).map(|n| (n.to_string(), "ops".into())).collect()));
    let mut many = sound.clone();
    many.addresses = (0..65).map(|n| (n.to_string(), Standing::new(Announce::Many))).collect();
    assert!(!many.is_sound());
}

#[test]
fn epochs_rise_with_each_change_of_the_address_and_of_no_other() {
    let mut other = address(Announce::Many, 2, 1);
    other.name = "other".into();
    let mut run = run(Announce::Many);
    run.decider.reconfigure(vec![address(Announce::Many, 2, 1), other.clone()], names(&["a", "b"]), run.now);
    run.run(s(1));
    let epochs = |run: &Run| ["front", "other"].map(|name| run.decider.state().addresses[name].epoch);
    assert_eq!(epochs(&run), [1, 1]);
    let (name, site, by) = ("other".into(), "a".into(), "ops".into());
    let state = run.decider.order(&Order::Withdraw { name, site, by, anyway: false }).unwrap();
    run.accept(state);
    run.run(s(3));
    // The order, the takers, the withdrawal.
    assert_eq!(epochs(&run), [1, 4]);
    assert_eq!(run.decider.state().number, run.log.len() as u64);
}

#[test]
fn a_hand_over_that_the_leader_has_not_seen_begin_is_waited_for_anew() {
    // Away and back and away, of which it hears only the first and the last.
    let mut run = run(Announce::One);
    moved(&mut run, "b");
    run.run(ms(200));
    let mut last = run.decider.state().clone();
    last.number += 4;
    run.decider.accepted(&last);
    run.run(ms(1000));
    assert_eq!(run.standing().holder, None, "the site may have held it a moment ago");
    run.run(ms(300));
    assert_eq!(run.standing().holder.as_deref(), Some("b"));
}

#[test]
fn other_positions_are_other_sites_and_what_was_waited_for_counts_no_more() {
    let mut run = run(Announce::One);
    moved(&mut run, "b");
    run.run(ms(900));
    run.decider.reconfigure(vec![address(Announce::One, 2, 1)], names(&["b", "a"]), run.now);
    run.behind.insert(Region(1), s(4));
    run.run(s(2));
    assert_eq!(run.standing().holder, None);
}

#[test]
fn a_new_leader_begins_with_what_was_agreed_and_changes_nothing() {
    for announce in [Announce::One, Announce::Many] {
        let run = run(announce);
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
fn wild_figures_and_sites_without_a_name_do_no_harm() {
    let mut run = run(Announce::Many);
    for served in [f64::NAN, f64::INFINITY, -1.0] {
        run.serves(1, served);
        run.run(s(1));
    }
    run.sites.push(common::well(77));
    run.behind.insert(Region(9), std::time::Duration::MAX);
    let mut wild = address(Announce::One, 2, usize::MAX);
    wild.sites.push(Region(500));
    (wild.withdraw_after, wild.return_after) = (std::time::Duration::MAX, std::time::Duration::MAX);
    run.decider.reconfigure(vec![wild], names(&["a", "b"]), run.now);
    run.decider.set_max_lease(std::time::Duration::MAX);
    run.behind.insert(Region(0), std::time::Duration::MAX);
    run.run(s(5));
    assert_eq!(run.standing().holder, None);
    let mut state = run.decider.state().clone();
    state.number = u64::MAX - 1;
    for site in state.addresses.get_mut("front").unwrap().sites.values_mut() {
        (site.for_ms, site.ill_for_ms, site.penalty) = (u64::MAX, u64::MAX, f64::MAX);
    }
    run.decider =
        Decider::new(vec![address(Announce::Many, 2, 1)], names(&["a", "b"]), Some(&state), run.now);
    run.behind.clear();
    run.serves(1, 1.0);
    run.run(s(600));
    assert_eq!(run.decider.state().number, u64::MAX);
}

#[test]
fn an_illness_that_was_written_down_has_to_be_seen_again() {
    let mut run = run(Announce::One);
    (0..2).for_each(|site| run.serves(site, 0.0));
    run.run(s(60));
    let before = run.decider.state().clone();
    assert!(before.addresses["front"].sites["a"].ill);
    run.decider =
        Decider::new(vec![address(Announce::One, 2, 1)], names(&["a", "b"]), Some(&before), run.now);
    // The other one is heard of first.
    run.serves(1, 1.0);
    run.sites.remove(0);
    run.run(s(3));
    assert_eq!(run.standing().holder.as_deref(), Some("a"));
    run.run(s(4));
    assert_eq!(run.standing().holder.as_deref(), Some("b"));
}

#[test]
fn a_penalty_has_a_ceiling_and_a_name_has_an_end() {
    let mut run = run(Announce::Many);
    let slow =
        maplehook_address_announcement::Address { return_after: s(10_000), ..address(Announce::Many, 2, 1) };
    run.decider.reconfigure(vec![slow], names(&["a", "b"]), run.now);
    for _ in 0..100 {
        run.serves(0, 0.0);
        run.run(s(6));
        run.serves(0, 1.0);
        run.run(ms(200));
    }
    let (name, site, by) = ("front".into(), "a".into(), "x".repeat(300));
    let state = run.decider.order(&Order::Withdraw { name, site, by, anyway: false }).unwrap();
    let penalty = state.addresses["front"].sites["a"].penalty;
    assert!((11.0..=12.0).contains(&penalty), "{penalty}");
    assert_eq!(state.addresses["front"].withdrawn["a"].len(), 64);
    assert!(state.is_sound());
}
