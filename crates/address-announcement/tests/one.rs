//! Addresses that one site announces.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Decider, Order, OrderError};
use maplehook_locality::Region;

/// Runs three sites until the first one holds the address.
fn three_sites() -> Run {
    let mut run = Run::new(address(Announce::One, 3, 1));
    run.run(s(5));
    assert_eq!(run.announcing(), "a300");
    run
}

fn move_order(site: &str, anyway: bool) -> Order {
    Order::Move { name: "front".into(), site: site.into(), by: "ops".into(), anyway }
}

/// Returns the holder, the previous holder and the next holder, with `-` for none.
fn handover_state(run: &Run) -> [&str; 3] {
    let address_state = run.address_state();
    [&address_state.holder, &address_state.last, &address_state.next]
        .map(|site| site.as_deref().unwrap_or("-"))
}

#[test]
fn the_first_holder_waits_for_all_balancers_that_are_behind() {
    let mut run = Run::new(address(Announce::One, 3, 1));
    // A balancer may still act on the state of an earlier address of the same name.
    run.behind.insert(Region(2), s(60));
    run.run(s(30));
    assert_eq!(handover_state(&run), ["-", "-", "-"]);
    run.behind.clear();
    run.run(s(4));
    assert_eq!(handover_state(&run), ["a", "a", "-"]);
}

#[test]
fn the_handover_from_an_unreachable_holder_waits_for_its_lease() {
    let mut run = three_sites();
    run.sites[0].cut_off = true;
    run.behind.insert(Region(0), s(2));
    run.run(ms(3900));
    assert_eq!(handover_state(&run)[0], "a");
    run.run(ms(300));
    assert_eq!(handover_state(&run), ["-", "a", "b"]);
    // Sites that are behind but never held the address do not delay the handover.
    run.behind.insert(Region(2), s(100));
    for remaining in (0..20).rev() {
        run.behind.insert(Region(0), ms(100 * remaining));
        run.tick();
        assert_eq!(handover_state(&run), ["-", "a", "b"], "{remaining}");
    }
    run.behind.remove(&Region(0));
    run.tick();
    assert_eq!(handover_state(&run), ["b", "b", "-"], "the handover must end together with the lease");
    // The address does not move back automatically.
    run.sites[0].cut_off = false;
    run.run(s(600));
    assert_eq!(handover_state(&run)[0], "b");
}

#[test]
fn a_move_waits_until_the_holder_is_notified_and_its_answers_expire() {
    let mut run = three_sites();
    run.behind.insert(Region(0), s(4));
    let state = run.decider.order(&move_order("c", false)).unwrap();
    assert_eq!(handover_state(&run)[0], "a", "a proposed state must not take effect before it is agreed");
    run.accept(state);
    run.run(s(3));
    assert_eq!(handover_state(&run), ["-", "a", "c"]);
    run.behind.clear();
    // An answer given just before the new state was received is valid for a second on a slow clock.
    run.run(ms(1000));
    assert_eq!(handover_state(&run), ["-", "a", "c"]);
    run.run(ms(200));
    assert_eq!(handover_state(&run), ["c", "c", "-"]);
    assert_eq!(run.decider.order(&move_order("c", false)), Err(OrderError::NoChange("c".into())));
}

#[test]
fn a_move_waits_for_answers_of_a_holder_that_was_notified_at_once() {
    let mut run = three_sites();
    let state = run.decider.order(&move_order("b", false)).unwrap();
    run.accept(state);
    run.run(ms(1000));
    assert_eq!(handover_state(&run), ["-", "a", "b"]);
    run.run(ms(200));
    assert_eq!(handover_state(&run)[0], "b");
}

#[test]
fn a_new_leader_restarts_the_wait_of_a_handover() {
    let mut run = three_sites();
    let state = run.decider.order(&move_order("b", false)).unwrap();
    run.accept(state);
    run.run(ms(500));
    let before = run.decider.state().clone();
    let addresses = vec![address(Announce::One, 3, 1)];
    run.decider = Decider::new(addresses, names(&["a", "b", "c"]), Some(&before), ms(3));
    run.now = ms(3);
    run.behind.extend([(Region(0), s(4)), (Region(1), s(4)), (Region(2), s(4))]);
    run.run(s(3));
    assert_eq!(handover_state(&run), ["-", "a", "b"]);
    run.behind.remove(&Region(0));
    run.run(ms(1200));
    assert_eq!(handover_state(&run), ["b", "b", "-"]);
}

#[test]
fn an_unhealthy_holder_keeps_the_address_until_another_site_is_healthy() {
    let mut run = three_sites();
    for site in 0..3 {
        run.set_served(site, 0.2);
    }
    run.run(s(60));
    assert_eq!(handover_state(&run)[0], "a");
    assert!(run.address_state().all_stay.is_some());
    run.set_served(2, 1.0);
    run.run(ms(200));
    assert_eq!(handover_state(&run), ["-", "a", "c"]);
    assert!(run.address_state().all_stay.is_none());
    // The next holder becomes unhealthy before it holds the address, and the previous holder recovers. No
    // other site has held the address meanwhile, so the previous holder gets it back without waiting.
    run.set_served(2, 0.0);
    run.set_served(0, 1.0);
    run.behind.insert(Region(0), s(4));
    run.run(ms(300));
    assert_eq!(handover_state(&run), ["a", "a", "-"]);
}

#[test]
fn a_recently_unhealthy_site_is_chosen_last() {
    let mut run = three_sites();
    run.set_served(1, 0.0);
    run.run(s(1));
    run.set_served(1, 1.0);
    run.set_served(0, 0.0);
    run.run(ms(4300));
    assert_eq!(handover_state(&run), ["-", "a", "c"]);
}

#[test]
fn reconfiguration_during_a_handover_keeps_the_move_and_still_waits() {
    let mut run = three_sites();
    let state = run.decider.order(&move_order("b", false)).unwrap();
    run.accept(state);
    run.behind.insert(Region(0), s(4));
    run.run(s(1));
    // The regions get other positions: the holder is now the third one.
    run.decider.reconfigure(vec![address(Announce::One, 3, 1)], names(&["c", "b", "a"]), run.now);
    run.behind.clear();
    run.behind.insert(Region(2), s(3));
    run.run(s(2));
    assert_eq!(handover_state(&run), ["-", "a", "b"]);
    run.behind.clear();
    run.run(ms(1200));
    assert_eq!(handover_state(&run), ["b", "b", "-"]);
}

#[test]
fn the_handover_from_a_removed_site_waits_for_the_longest_lease() {
    let mut run = three_sites();
    run.decider.set_max_lease(s(6));
    run.decider.reconfigure(vec![address(Announce::One, 2, 1)], names(&["b", "c"]), run.now);
    run.sites.truncate(2);
    run.run(ms(200));
    assert_eq!(handover_state(&run), ["-", "a", "b"]);
    run.run(ms(5800));
    assert_eq!(handover_state(&run), ["-", "a", "b"]);
    run.run(s(4));
    assert_eq!(handover_state(&run), ["b", "b", "-"]);
}

#[test]
fn a_change_from_many_to_one_waits_until_every_site_is_notified() {
    let mut run = Run::new(address(Announce::Many, 3, 1));
    run.run(s(1));
    run.sites[2].cut_off = true;
    run.decider.reconfigure(vec![address(Announce::One, 3, 1)], names(&["a", "b", "c"]), run.now);
    run.run(s(60));
    assert_eq!(
        handover_state(&run),
        ["-", "-", "-"],
        "site c may still announce the address without a lease"
    );
    assert!(run.announcing().is_empty() && run.address_state().unheard.contains("c"));
    run.sites[2].cut_off = false;
    run.run(s(5));
    assert_eq!(handover_state(&run), ["a", "a", "-"]);
    // With `Many` again, all sites announce the address, and the holder at full preference at once.
    run.decider.reconfigure(vec![address(Announce::Many, 3, 1)], names(&["a", "b", "c"]), run.now);
    run.run(ms(200));
    assert_eq!(run.announcing(), "a300 b200 c200");
}

#[test]
fn a_move_to_an_unhealthy_site_needs_anyway_and_pins_the_address() {
    let mut run = three_sites();
    run.set_served(1, 0.0);
    run.run(s(1));
    assert_eq!(run.decider.order(&move_order("b", false)), Err(OrderError::Unhealthy("b".into())));
    let state = run.decider.order(&move_order("b", true)).unwrap();
    run.accept(state);
    run.run(s(60));
    assert_eq!(handover_state(&run)[0], "b");
    assert_eq!(run.address_state().pinned.as_deref(), Some("ops"));
    // After a recovery the site's health counts again.
    run.set_served(1, 1.0);
    run.run(s(1));
    run.set_served(1, 0.0);
    run.run(s(10));
    assert_eq!(handover_state(&run)[0], "a");
}

#[test]
fn a_withdrawn_holder_hands_over_and_gets_the_address_back_only_when_restored() {
    let mut run = three_sites();
    let withdraw = |site: &str| Order::Withdraw {
        name: "front".into(),
        site: site.into(),
        by: "ops".into(),
        anyway: false,
    };
    let state = run.decider.order(&withdraw("a")).unwrap();
    run.accept(state);
    run.run(s(3));
    assert_eq!(handover_state(&run), ["b", "b", "-"]);
    let rejection = OrderError::Withdrawn { site: "a".into(), by: "ops".into() };
    assert_eq!(run.decider.order(&move_order("a", true)), Err(rejection));
    run.set_served(1, 0.0);
    run.run(s(10));
    assert_eq!(handover_state(&run)[0], "c");
    run.set_served(2, 0.0);
    run.run(s(10));
    assert_eq!(handover_state(&run)[0], "c");
    // An order with an operator's name that is too long is accepted as well.
    let long_name = "x".repeat(300);
    let restore = Order::Restore { name: "front".into(), site: "a".into(), by: long_name };
    let state = run.decider.order(&restore).unwrap();
    run.accept(state);
    run.run(s(3));
    assert_eq!(handover_state(&run)[0], "a");
}

#[test]
fn a_proposal_based_on_an_outdated_state_is_ignored() {
    let mut run = three_sites();
    let first_proposal = run.decider.order(&move_order("b", false)).unwrap();
    let second_proposal = run.decider.order(&move_order("c", false)).unwrap();
    assert!(
        first_proposal.follows(Some(run.decider.state()))
            && second_proposal.follows(Some(run.decider.state()))
    );
    run.accept(second_proposal);
    assert!(
        !first_proposal.follows(Some(run.decider.state())),
        "a proposal based on the previous state must not follow the new one"
    );
    run.run(s(3));
    assert_eq!(handover_state(&run)[0], "c");
    let agreed = run.decider.state().clone();
    run.decider.accepted(&first_proposal);
    assert_eq!(*run.decider.state(), agreed);
}

#[test]
fn a_state_that_is_not_agreed_is_proposed_again_and_not_acted_on() {
    let mut run = three_sites();
    run.sites[0].cut_off = true;
    let mut proposals = Vec::new();
    for _ in 0..100 {
        proposals.extend(run.decider.tick(run.now, &run.sites, &run.behind));
        run.now += ms(100);
    }
    assert!((8..=13).contains(&proposals.len()), "{} proposals in 10 s", proposals.len());
    let starts_handover = |state: &maplehook_address_announcement::State| {
        let front = &state.addresses["front"];
        front.holder.is_none() && front.next.as_deref() == Some("b")
    };
    assert!(
        proposals.iter().all(starts_handover),
        "the next holder must not be set before the state without a holder is agreed"
    );
}

#[test]
fn a_handover_right_after_another_waits_again() {
    let mut run = three_sites();
    let state = run.decider.order(&move_order("b", false)).unwrap();
    run.accept(state);
    while handover_state(&run)[0] != "b" {
        run.tick();
    }
    // The state was agreed just now, but balancers may already have sent answers based on it.
    let state = run.decider.order(&move_order("a", false)).unwrap();
    run.accept(state);
    run.run(ms(1000));
    assert_eq!(handover_state(&run), ["-", "b", "a"]);
    run.run(ms(200));
    assert_eq!(handover_state(&run), ["a", "a", "-"]);
}
