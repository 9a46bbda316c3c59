//! What one site announces.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Decider, Order, Refusal};
use maplehook_locality::Region;

/// Three sites, of which the first holds it.
fn three() -> Run {
    let mut run = Run::new(address(Announce::One, 3, 1));
    run.run(s(5));
    assert_eq!(run.announcing(), "a300");
    run
}

fn to(site: &str, anyway: bool) -> Order {
    Order::Move { name: "front".into(), site: site.into(), by: "ops".into(), anyway }
}

/// Who holds it, held it last and is to hold it.
fn stands(run: &Run) -> [&str; 3] {
    let standing = run.standing();
    [&standing.holder, &standing.last, &standing.next].map(|site| site.as_deref().unwrap_or("-"))
}

#[test]
fn at_first_everybody_is_waited_for() {
    let mut run = Run::new(address(Announce::One, 3, 1));
    // Somebody may act on a state in which an address of that name stood otherwise.
    run.behind.insert(Region(2), s(60));
    run.run(s(30));
    assert_eq!(stands(&run), ["-", "-", "-"]);
    run.behind.clear();
    run.run(s(4));
    assert_eq!(stands(&run), ["a", "a", "-"]);
}

#[test]
fn a_lost_holder_is_waited_for_until_its_lease_has_run_out() {
    let mut run = three();
    run.sites[0].cut_off = true;
    run.behind.insert(Region(0), s(2));
    run.run(ms(3900));
    assert_eq!(stands(&run)[0], "a");
    run.run(ms(300));
    assert_eq!(stands(&run), ["-", "a", "b"]);
    // Others that are behind are none of its business.
    run.behind.insert(Region(2), s(100));
    for left in (0..20).rev() {
        run.behind.insert(Region(0), ms(100 * left));
        run.tick();
        assert_eq!(stands(&run), ["-", "a", "b"], "{left}");
    }
    run.behind.remove(&Region(0));
    run.tick();
    assert_eq!(stands(&run), ["b", "b", "-"], "not a moment longer than the lease");
    // It does not go back by itself.
    run.sites[0].cut_off = false;
    run.run(s(600));
    assert_eq!(stands(&run)[0], "b");
}

#[test]
fn a_move_waits_for_the_holder_to_hear_and_for_what_it_has_answered() {
    let mut run = three();
    run.behind.insert(Region(0), s(4));
    let state = run.decider.order(&to("c", false)).unwrap();
    assert_eq!(stands(&run)[0], "a", "nothing holds that is not agreed");
    run.accept(state);
    run.run(s(3));
    assert_eq!(stands(&run), ["-", "a", "c"]);
    run.behind.clear();
    // What it answered a moment before it heard is good for a second, by a clock that goes slow.
    run.run(ms(1000));
    assert_eq!(stands(&run), ["-", "a", "c"]);
    run.run(ms(200));
    assert_eq!(stands(&run), ["c", "c", "-"]);
    assert_eq!(run.decider.order(&to("c", false)), Err(Refusal::AlreadySo("c".into())));
}

#[test]
fn a_holder_that_heard_at_once_is_waited_for_as_long() {
    let mut run = three();
    let state = run.decider.order(&to("b", false)).unwrap();
    run.accept(state);
    run.run(ms(1000));
    assert_eq!(stands(&run), ["-", "a", "b"]);
    run.run(ms(200));
    assert_eq!(stands(&run)[0], "b");
}

#[test]
fn the_next_leader_waits_again() {
    let mut run = three();
    let state = run.decider.order(&to("b", false)).unwrap();
    run.accept(state);
    run.run(ms(500));
    let before = run.decider.state().clone();
    let addresses = vec![address(Announce::One, 3, 1)];
    run.decider = Decider::new(addresses, names(&["a", "b", "c"]), Some(&before), ms(3));
    run.now = ms(3);
    run.behind.extend([(Region(0), s(4)), (Region(1), s(4)), (Region(2), s(4))]);
    run.run(s(3));
    assert_eq!(stands(&run), ["-", "a", "b"]);
    run.behind.remove(&Region(0));
    run.run(ms(1200));
    assert_eq!(stands(&run), ["b", "b", "-"]);
}

#[test]
fn it_stays_where_it_is_if_no_other_is_well_and_goes_to_one_that_is() {
    let mut run = three();
    for site in 0..3 {
        run.serves(site, 0.2);
    }
    run.run(s(60));
    assert_eq!(stands(&run)[0], "a");
    assert!(run.standing().all_stay.is_some());
    run.serves(2, 1.0);
    run.run(ms(200));
    assert_eq!(stands(&run), ["-", "a", "c"]);
    assert!(run.standing().all_stay.is_none());
    // The next one falls ill before it holds it, and the last one is well again: it never was anybody else's.
    run.serves(2, 0.0);
    run.serves(0, 1.0);
    run.behind.insert(Region(0), s(4));
    run.run(ms(300));
    assert_eq!(stands(&run), ["a", "a", "-"]);
}

#[test]
fn a_site_that_was_ill_lately_is_chosen_after_one_that_was_not() {
    let mut run = three();
    run.serves(1, 0.0);
    run.run(s(1));
    run.serves(1, 1.0);
    run.serves(0, 0.0);
    run.run(ms(4300));
    assert_eq!(stands(&run), ["-", "a", "c"]);
}

#[test]
fn a_change_of_settings_under_way_loses_neither_the_move_nor_the_wait() {
    let mut run = three();
    let state = run.decider.order(&to("b", false)).unwrap();
    run.accept(state);
    run.behind.insert(Region(0), s(4));
    run.run(s(1));
    // Regions are counted otherwise: the holder is the third now.
    run.decider.reconfigure(vec![address(Announce::One, 3, 1)], names(&["c", "b", "a"]), run.now);
    run.behind.clear();
    run.behind.insert(Region(2), s(3));
    run.run(s(2));
    assert_eq!(stands(&run), ["-", "a", "b"]);
    run.behind.clear();
    run.run(ms(1200));
    assert_eq!(stands(&run), ["b", "b", "-"]);
}

#[test]
fn a_holder_that_is_named_no_more_is_waited_for_by_the_longest_lease() {
    let mut run = three();
    run.decider.set_max_lease(s(6));
    run.decider.reconfigure(vec![address(Announce::One, 2, 1)], names(&["b", "c"]), run.now);
    run.sites.truncate(2);
    run.run(ms(200));
    assert_eq!(stands(&run), ["-", "a", "b"]);
    run.run(ms(5800));
    assert_eq!(stands(&run), ["-", "a", "b"]);
    run.run(s(4));
    assert_eq!(stands(&run), ["b", "b", "-"]);
}

#[test]
fn what_many_announced_goes_to_one_when_each_has_heard() {
    let mut run = Run::new(address(Announce::Many, 3, 1));
    run.run(s(1));
    run.sites[2].cut_off = true;
    run.decider.reconfigure(vec![address(Announce::One, 3, 1)], names(&["a", "b", "c"]), run.now);
    run.run(s(60));
    assert_eq!(stands(&run), ["-", "-", "-"], "the third may announce it without a lease");
    assert!(run.announcing().is_empty() && run.standing().unheard.contains("c"));
    run.sites[2].cut_off = false;
    run.run(s(5));
    assert_eq!(stands(&run), ["a", "a", "-"]);
    // And back: all may, the holder at once.
    run.decider.reconfigure(vec![address(Announce::Many, 3, 1)], names(&["a", "b", "c"]), run.now);
    run.run(ms(200));
    assert_eq!(run.announcing(), "a300 b200 c200");
}

#[test]
fn an_ill_site_is_moved_to_only_if_that_is_said_and_then_keeps_it() {
    let mut run = three();
    run.serves(1, 0.0);
    run.run(s(1));
    assert_eq!(run.decider.order(&to("b", false)), Err(Refusal::Ill("b".into())));
    let state = run.decider.order(&to("b", true)).unwrap();
    run.accept(state);
    run.run(s(60));
    assert_eq!(stands(&run)[0], "b");
    assert_eq!(run.standing().pinned.as_deref(), Some("ops"));
    // Once it has been well its illness counts again.
    run.serves(1, 1.0);
    run.run(s(1));
    run.serves(1, 0.0);
    run.run(s(10));
    assert_eq!(stands(&run)[0], "a");
}

#[test]
fn a_holder_that_is_withdrawn_hands_over_and_does_not_get_it_back() {
    let mut run = three();
    let withdraw = |site: &str| Order::Withdraw {
        name: "front".into(),
        site: site.into(),
        by: "ops".into(),
        anyway: false,
    };
    let state = run.decider.order(&withdraw("a")).unwrap();
    run.accept(state);
    run.run(s(3));
    assert_eq!(stands(&run), ["b", "b", "-"]);
    let by = Refusal::IsWithdrawn { site: "a".into(), by: "ops".into() };
    assert_eq!(run.decider.order(&to("a", true)), Err(by));
    run.serves(1, 0.0);
    run.run(s(10));
    assert_eq!(stands(&run)[0], "c");
    run.serves(2, 0.0);
    run.run(s(10));
    assert_eq!(stands(&run)[0], "c");
    // The order holds for whoever asks a balancer there, too.
    let x = "x".repeat(300);
    let restore = Order::Restore { name: "front".into(), site: "a".into(), by: x };
    let state = run.decider.order(&restore).unwrap();
    run.accept(state);
    run.run(s(3));
    assert_eq!(stands(&run)[0], "a");
}

#[test]
fn states_that_were_overtaken_change_nothing() {
    let mut run = three();
    let early = run.decider.order(&to("b", false)).unwrap();
    let other = run.decider.order(&to("c", false)).unwrap();
    assert!(early.follows(Some(run.decider.state())) && other.follows(Some(run.decider.state())));
    run.accept(other);
    assert!(!early.follows(Some(run.decider.state())), "it was made of the state before");
    run.run(s(3));
    assert_eq!(stands(&run)[0], "c");
    let now = run.decider.state().clone();
    run.decider.accepted(&early);
    assert_eq!(*run.decider.state(), now);
}

#[test]
fn what_was_not_agreed_is_offered_again_and_not_acted_on() {
    let mut run = three();
    run.sites[0].cut_off = true;
    let mut offers = Vec::new();
    for _ in 0..100 {
        offers.extend(run.decider.tick(run.now, &run.sites, &run.behind));
        run.now += ms(100);
    }
    assert!((8..=13).contains(&offers.len()), "{}", offers.len());
    let next = |state: &maplehook_address_announcement::State| {
        let front = &state.addresses["front"];
        front.holder.is_none() && front.next.as_deref() == Some("b")
    };
    assert!(
        offers.iter().all(next),
        "the second half of a hand-over is not begun before the first is agreed"
    );
}

#[test]
fn one_hand_over_right_after_another_is_waited_for_anew() {
    let mut run = three();
    let state = run.decider.order(&to("b", false)).unwrap();
    run.accept(state);
    while stands(&run)[0] != "b" {
        run.tick();
    }
    // Agreed a moment ago, and some may have been answered by it already.
    let state = run.decider.order(&to("a", false)).unwrap();
    run.accept(state);
    run.run(ms(1000));
    assert_eq!(stands(&run), ["-", "b", "a"]);
    run.run(ms(200));
    assert_eq!(stands(&run), ["a", "a", "-"]);
}
