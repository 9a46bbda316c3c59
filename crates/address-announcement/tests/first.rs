//! Who holds what nobody has held yet: a fleet that starts comes together piece by piece.

mod common;

use common::{Run, address, ms, s};
use maplehook_address_announcement::{Announce, Order};

/// Three sites, of which those that are named are silent as yet.
fn without(silent: &[usize]) -> Run {
    let mut run = Run::new(address(Announce::One, 3, 1));
    silent.iter().for_each(|site| run.sites[*site].cut_off = true);
    run
}

fn holder(run: &Run) -> &str {
    run.standing().holder.as_deref().unwrap_or("-")
}

#[test]
fn the_preferred_site_holds_it_though_another_was_heard_of_first() {
    let mut run = without(&[0, 1, 2]);
    run.tick();
    run.sites[2].cut_off = false;
    run.run(s(1));
    run.sites[1].cut_off = false;
    run.run(s(1));
    run.sites[0].cut_off = false;
    run.run(s(3));
    assert_eq!(holder(&run), "a");
    run.run(s(60));
    assert_eq!(holder(&run), "a", "and goes on");
}

#[test]
fn the_preferred_site_is_awaited_as_long_as_a_holder_may_be_ill() {
    let mut run = without(&[0]);
    // What anybody may have answered before is over by now.
    run.run(ms(3900));
    assert_eq!(holder(&run), "-");
    run.sites[0].cut_off = false;
    run.run(ms(200));
    assert_eq!(holder(&run), "a");
}

#[test]
fn a_preferred_site_that_does_not_come_is_passed_over() {
    let mut run = without(&[0]);
    run.run(ms(4200));
    assert_eq!(holder(&run), "b");
    run.sites[0].cut_off = false;
    run.run(s(60));
    assert_eq!(holder(&run), "b", "it does not go back by itself");
}

#[test]
fn if_none_comes_it_is_the_preferred_one_and_then_whoever_is_well() {
    let mut run = without(&[0, 1, 2]);
    run.run(ms(4200));
    assert_eq!(holder(&run), "a");
    assert!(run.standing().all_stay.is_some());
    run.sites[2].cut_off = false;
    run.run(s(3));
    assert_eq!(holder(&run), "c");
}

#[test]
fn an_order_before_anybody_has_held_it_stands() {
    let mut run = without(&[]);
    run.run(s(1));
    let order = Order::Move { name: "front".into(), site: "c".into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
    run.run(s(4));
    assert_eq!(holder(&run), "c");
}

#[test]
fn a_site_that_is_withdrawn_before_anybody_has_held_it_is_not_awaited() {
    let mut run = without(&[0]);
    run.run(s(1));
    let (name, site, by) = ("front".to_owned(), "a".to_owned(), "ops".to_owned());
    let state = run.decider.order(&Order::Withdraw { name, site, by, anyway: false }).unwrap();
    run.accept(state);
    run.run(ms(2300));
    assert_eq!(holder(&run), "b");
}
