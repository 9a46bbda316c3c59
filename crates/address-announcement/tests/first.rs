//! First holder of an address: sites come up one after the other when a fleet starts.

mod common;

use common::{Run, address, ms, s};
use maplehook_address_announcement::{Announce, Order};

/// Returns a run with three sites, of which the given ones are silent.
fn run_with_silent_sites(silent: &[usize]) -> Run {
    let mut run = Run::new(address(Announce::One, 3, 1));
    silent.iter().for_each(|site| run.sites[*site].cut_off = true);
    run
}

fn holder(run: &Run) -> &str {
    run.address_state().holder.as_deref().unwrap_or("-")
}

#[test]
fn the_preferred_site_becomes_first_holder_even_if_another_reports_first() {
    let mut run = run_with_silent_sites(&[0, 1, 2]);
    run.tick();
    run.sites[2].cut_off = false;
    run.run(s(1));
    run.sites[1].cut_off = false;
    run.run(s(1));
    run.sites[0].cut_off = false;
    run.run(s(3));
    assert_eq!(holder(&run), "a");
    run.run(s(60));
    assert_eq!(holder(&run), "a", "the first holder must not change");
}

#[test]
fn the_first_holder_waits_for_a_silent_preferred_site_up_to_withdraw_after() {
    let mut run = run_with_silent_sites(&[0]);
    // All answers based on an earlier state have expired by now.
    run.run(ms(3900));
    assert_eq!(holder(&run), "-");
    run.sites[0].cut_off = false;
    run.run(ms(200));
    assert_eq!(holder(&run), "a");
}

#[test]
fn a_preferred_site_that_stays_silent_is_skipped() {
    let mut run = run_with_silent_sites(&[0]);
    run.run(ms(4200));
    assert_eq!(holder(&run), "b");
    run.sites[0].cut_off = false;
    run.run(s(60));
    assert_eq!(holder(&run), "b", "the address must not move back automatically");
}

#[test]
fn without_healthy_sites_the_preferred_one_holds_until_another_recovers() {
    let mut run = run_with_silent_sites(&[0, 1, 2]);
    run.run(ms(4200));
    assert_eq!(holder(&run), "a");
    assert!(run.address_state().all_stay.is_some());
    run.sites[2].cut_off = false;
    run.run(s(3));
    assert_eq!(holder(&run), "c");
}

#[test]
fn a_move_before_the_first_holder_selects_the_first_holder() {
    let mut run = run_with_silent_sites(&[]);
    run.run(s(1));
    let order = Order::Move { name: "front".into(), site: "c".into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
    run.run(s(4));
    assert_eq!(holder(&run), "c");
}

#[test]
fn the_first_holder_does_not_wait_for_a_withdrawn_site() {
    let mut run = run_with_silent_sites(&[0]);
    run.run(s(1));
    let (name, site, by) = ("front".to_owned(), "a".to_owned(), "ops".to_owned());
    let state = run.decider.order(&Order::Withdraw { name, site, by, anyway: false }).unwrap();
    run.accept(state);
    run.run(ms(2300));
    assert_eq!(holder(&run), "b");
}
