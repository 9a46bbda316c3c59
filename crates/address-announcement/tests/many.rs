//! Addresses that many sites announce.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Decider, Order, OrderError, Phase};
use maplehook_locality::Region;

fn three_sites(keep_at_least: usize) -> Run {
    let mut run = Run::new(address(Announce::Many, 3, keep_at_least));
    run.run(s(1));
    assert_eq!(run.announcing(), "a300 b300 c300");
    run
}

#[test]
fn no_change_while_spillover_serves_the_demand() {
    let mut run = three_sites(1);
    run.sites[0].near = 0.0;
    run.set_served(0, 0.95);
    run.run(s(600));
    assert_eq!((run.announcing().as_str(), run.log.len()), ("a300 b300 c300", 1));
}

#[test]
fn an_unhealthy_site_lowers_its_preference_then_withdraws_after_the_takeover_time() {
    let mut run = three_sites(1);
    run.set_served(0, 0.5);
    run.run(ms(1900));
    assert_eq!(run.announcing(), "a300 b300 c300", "a short failure must not change the preferences");
    run.run(ms(300));
    assert_eq!(run.announcing(), "a100 b400 c400");
    run.run(ms(1700));
    assert_eq!(run.announcing(), "a100 b400 c400");
    run.run(ms(300));
    assert_eq!(run.announcing(), "b400 c400");
    // Even with a shorter `withdraw_after` the raised preferences are in force for a second before the
    // withdrawal.
    let mut short_time = address(Announce::Many, 3, 1);
    short_time.withdraw_after = ms(200);
    let mut run = Run::new(short_time);
    run.run(s(1));
    run.set_served(0, 0.0);
    run.run(s(5));
    let [.., (lowered_at, before), (withdrawn_at, after)] = run.log.as_slice() else {
        panic!("{:?}", run.log)
    };
    assert_eq!(before.addresses["front"].announcing.values().copied().collect::<Vec<_>>(), [100, 400, 400]);
    assert!(!after.addresses["front"].announcing.contains_key("a") && *withdrawn_at >= *lowered_at + s(1));
}

#[test]
fn no_site_withdraws_before_another_received_its_raised_preference() {
    let mut run = three_sites(1);
    run.set_served(0, 0.0);
    run.behind.extend([(Region(1), s(4)), (Region(2), s(4))]);
    run.run(s(60));
    assert_eq!(
        run.announcing(),
        "a100 b400 c400",
        "no withdrawal before another site has received its preference"
    );
    run.behind.remove(&Region(2));
    run.run(ms(200));
    assert_eq!(run.announcing(), "b400 c400");
}

#[test]
fn keep_at_least_sites_announce_even_if_unhealthy() {
    let mut run = three_sites(2);
    run.set_served(0, 0.0);
    run.set_served(1, 0.0);
    run.run(s(60));
    assert_eq!(run.address_state().announcing.len(), 2, "{}", run.announcing());
    assert_eq!(run.address_state().announcing["c"], 400);
    // A withdrawn site returns if more sites are required.
    let mut run = three_sites(1);
    run.set_served(0, 0.0);
    run.run(s(10));
    assert_eq!(run.announcing(), "b400 c400");
    let three_required = address(Announce::Many, 3, 3);
    run.decider.reconfigure(vec![three_required], names(&["a", "b", "c"]), run.now);
    run.run(s(10));
    assert_eq!(run.announcing(), "a100 b400 c400");
}

#[test]
fn all_sites_announce_with_a_reason_when_none_is_healthy() {
    let mut run = three_sites(1);
    for site in 0..3 {
        run.set_served(site, 0.0);
    }
    run.run(s(60));
    assert_eq!(run.announcing(), "a300 b300 c300");
    assert!(run.address_state().all_stay.is_some());
    // The sites become unhealthy one after the other; the withdrawn ones return.
    let mut run = three_sites(1);
    run.set_served(0, 0.0);
    run.run(s(10));
    run.set_served(1, 0.0);
    run.run(s(10));
    assert_eq!(run.announcing(), "c400");
    run.sites[2].ready = 0;
    run.run(ms(200));
    assert_eq!(run.announcing(), "a300 b300 c300");
    // The first site that recovers need not wait for others.
    run.set_served(0, 1.0);
    run.run(s(1));
    assert!(run.address_state().all_stay.is_none() && run.address_state().announcing.contains_key("a"));
}

#[test]
fn a_healthy_withdrawn_site_returns_at_once_when_no_other_is_healthy() {
    let mut run = three_sites(1);
    run.set_served(0, 0.0);
    run.set_served(1, 0.0);
    run.run(s(10));
    run.set_served(1, 1.0);
    run.run(s(1));
    assert_eq!(run.announcing(), "c400", "a site must be healthy for a while before it returns");
    run.set_served(2, 0.0);
    run.run(ms(200));
    assert_eq!(run.address_state().announcing.get("b"), Some(&200), "{}", run.announcing());
}

#[test]
fn a_recovered_site_returns_after_a_delay_with_a_lower_preference() {
    let mut run = three_sites(1);
    run.set_served(0, 0.0);
    run.run(s(10));
    run.set_served(0, 1.0);
    run.run(ms(9900));
    assert_eq!(run.announcing(), "b400 c400");
    run.run(ms(300));
    assert_eq!(run.announcing(), "a200 b300 c300");
    run.run(ms(9500));
    assert_eq!(run.announcing(), "a200 b300 c300");
    run.run(ms(800));
    assert_eq!(run.announcing(), "a300 b300 c300");
}

/// Lets site `a` alternate between unhealthy and healthy, and returns the number of states agreed meanwhile.
fn flap(run: &mut Run, half_period: std::time::Duration, rounds: u32) -> usize {
    let before = run.log.len();
    for _ in 0..rounds {
        run.set_served(0, 0.0);
        run.run(half_period);
        run.set_served(0, 1.0);
        run.run(half_period);
    }
    run.log.len() - before
}

#[test]
fn a_flapping_site_is_suppressed() {
    let mut run = three_sites(1);
    let early_changes = flap(&mut run, s(21), 5);
    let late_changes = flap(&mut run, s(21), 10);
    assert!(early_changes >= 4 && late_changes == 0, "{early_changes} states at first, then {late_changes}");
    assert_eq!(run.announcing(), "b400 c400");
    assert!(run.address_state().sites["a"].suppressed);
    // A short failure every few seconds changes nothing.
    let mut run = three_sites(1);
    assert_eq!(flap(&mut run, ms(1500), 100), 0);
    // The site returns at last: after at most four half-lives of 80 s and the dwell time.
    let mut run = three_sites(1);
    flap(&mut run, s(21), 40);
    run.run(s(4 * 80 + 11));
    assert!(run.address_state().announcing.contains_key("a"), "{}", run.announcing());
}

#[test]
fn a_new_leader_keeps_a_flapping_site_suppressed() {
    let mut run = three_sites(1);
    flap(&mut run, s(21), 5);
    let before = run.decider.state().clone();
    assert!(before.addresses["front"].sites["a"].suppressed);
    // The new leader's clock starts near zero.
    run.decider =
        Decider::new(vec![address(Announce::Many, 3, 1)], names(&["a", "b", "c"]), Some(&before), ms(1));
    (run.now, run.log) = (ms(1), Vec::new());
    run.run(s(20));
    assert_eq!(run.announcing(), "b400 c400");
    assert!(run.log.is_empty(), "a new leader must not change the agreed state: {:?}", run.log);
}

#[test]
fn a_cut_off_site_is_not_withdrawn_by_the_leader() {
    let mut run = three_sites(1);
    run.sites[0].cut_off = true;
    run.set_served(0, 0.0);
    run.run(s(120));
    assert_eq!(run.announcing(), "a300 b300 c300");
    // A site that is cut off does not count as healthy either, so the other sites keep announcing.
    run.set_served(1, 0.0);
    run.set_served(2, 0.0);
    run.run(s(20));
    assert_eq!(run.announcing(), "a300 b300 c300");
    // A site without any health report counts as cut off.
    let mut run = three_sites(1);
    run.sites.remove(0);
    run.run(s(120));
    assert_eq!(run.announcing(), "a300 b300 c300");
}

#[test]
fn withdraw_orders_wait_for_raised_preferences_and_invalid_orders_are_rejected() {
    let mut run = three_sites(2);
    let withdraw = |site: &str, anyway| Order::Withdraw {
        name: "front".into(),
        site: site.into(),
        by: "ops".into(),
        anyway,
    };
    let state = run.decider.order(&withdraw("a", false)).unwrap();
    assert!(
        run.decider.state().addresses["front"].withdrawn.is_empty(),
        "a proposed state must not take effect before it is agreed"
    );
    run.accept(state);
    run.run(ms(200));
    assert_eq!(run.announcing(), "a100 b400 c400");
    run.run(s(2));
    assert_eq!(run.announcing(), "b400 c400");
    assert_eq!(run.address_state().sites["a"].penalty, 0.0, "a withdrawal by order must not add a penalty");
    let rejection = |run: &Run, order: Order| run.decider.order(&order).unwrap_err();
    assert_eq!(rejection(&run, withdraw("b", false)), OrderError::TooFew { remaining: 1, required: 2 });
    assert_eq!(rejection(&run, withdraw("a", false)), OrderError::NoChange("a".into()));
    assert_eq!(rejection(&run, withdraw("x", false)), OrderError::NoSite("x".into()));
    let move_order =
        |name: &str| Order::Move { name: name.into(), site: "a".into(), by: "ops".into(), anyway: false };
    assert_eq!(rejection(&run, move_order("front")), OrderError::NotMovable("front".into()));
    assert_eq!(rejection(&run, move_order("back")), OrderError::NoAddress("back".into()));
    let state = run.decider.order(&withdraw("b", true)).unwrap();
    run.accept(state);
    run.run(s(2));
    assert_eq!(run.announcing(), "c400", "`anyway` must override the minimum of sites");
    assert_eq!(rejection(&run, withdraw("c", true)), OrderError::LastSite("c".into()));
    // The last remaining site becomes unhealthy; the withdrawn sites stay withdrawn.
    run.set_served(2, 0.0);
    run.run(s(20));
    assert_eq!(run.announcing(), "c300");
    run.set_served(2, 1.0);
    let restore = Order::Restore { name: "front".into(), site: "a".into(), by: "ops".into() };
    let state = run.decider.order(&restore).unwrap();
    run.accept(state);
    run.run(s(30));
    assert_eq!(run.address_state().sites["a"].phase, Phase::Well);
    assert_eq!(rejection(&run, restore), OrderError::NoChange("a".into()));
}

#[test]
fn reconfiguration_keeps_a_withdrawn_site_withdrawn() {
    let mut run = three_sites(1);
    run.set_served(1, 0.0);
    run.run(s(10));
    assert_eq!(run.announcing(), "a400 c400");
    // The regions get other positions, and a new one is placed before them.
    let mut reordered = address(Announce::Many, 4, 1);
    reordered.sites = vec![Region(3), Region(2), Region(1), Region(0)];
    run.decider.reconfigure(vec![reordered], names(&["d", "c", "b", "a"]), run.now);
    run.sites = (0..4).map(common::healthy_site).collect();
    run.set_served(2, 0.0);
    run.run(s(5));
    assert_eq!(
        run.announcing(),
        "a400 c400 d200",
        "b must stay withdrawn and the new site must start with a lower preference"
    );
    run.run(s(6));
    assert_eq!(run.announcing(), "a400 c400 d400");
    // An address that is removed from the configuration is no longer announced.
    run.decider.reconfigure(Vec::new(), names(&["d", "c", "b", "a"]), run.now);
    run.run(s(1));
    assert!(run.decider.state().addresses.is_empty());
}
