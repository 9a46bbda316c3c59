//! What many sites announce.

mod common;

use common::{Run, address, ms, names, s};
use maplehook_address_announcement::{Announce, Decider, Order, Phase, Refusal};
use maplehook_locality::Region;

fn three(keep: usize) -> Run {
    let mut run = Run::new(address(Announce::Many, 3, keep));
    run.run(s(1));
    assert_eq!(run.announcing(), "a300 b300 c300");
    run
}

#[test]
fn nothing_is_done_while_spill_serves_the_demand() {
    let mut run = three(1);
    run.sites[0].near = 0.0;
    run.serves(0, 0.95);
    run.run(s(600));
    assert_eq!((run.announcing().as_str(), run.log.len()), ("a300 b300 c300", 1));
}

#[test]
fn first_a_worse_preference_then_withdrawal_once_the_takers_have_stood() {
    let mut run = three(1);
    run.serves(0, 0.5);
    run.run(ms(1900));
    assert_eq!(run.announcing(), "a300 b300 c300", "it has to be ill for a while");
    run.run(ms(300));
    assert_eq!(run.announcing(), "a100 b400 c400");
    run.run(ms(1700));
    assert_eq!(run.announcing(), "a100 b400 c400");
    run.run(ms(300));
    assert_eq!(run.announcing(), "b400 c400");
    // However short the time that the file states: the takers stand for a second.
    let mut hasty = address(Announce::Many, 3, 1);
    hasty.withdraw_after = ms(200);
    let mut run = Run::new(hasty);
    run.run(s(1));
    run.serves(0, 0.0);
    run.run(s(5));
    let [.., (worse, before), (gone, after)] = run.log.as_slice() else { panic!("{:?}", run.log) };
    assert_eq!(before.addresses["front"].announcing.values().copied().collect::<Vec<_>>(), [100, 400, 400]);
    assert!(!after.addresses["front"].announcing.contains_key("a") && *gone >= *worse + s(1));
}

#[test]
fn nobody_withdraws_before_a_taker_acts_on_its_new_preference() {
    let mut run = three(1);
    run.serves(0, 0.0);
    run.behind.extend([(Region(1), s(4)), (Region(2), s(4))]);
    run.run(s(60));
    assert_eq!(run.announcing(), "a100 b400 c400", "none of the takers is known to have it");
    run.behind.remove(&Region(2));
    run.run(ms(200));
    assert_eq!(run.announcing(), "b400 c400");
}

#[test]
fn as_many_as_are_to_be_kept_go_on_however_ill_they_seem() {
    let mut run = three(2);
    run.serves(0, 0.0);
    run.serves(1, 0.0);
    run.run(s(60));
    assert_eq!(run.standing().announcing.len(), 2, "{}", run.announcing());
    assert_eq!(run.standing().announcing["c"], 400);
    // And one that is withdrawn comes back for that.
    let mut run = three(1);
    run.serves(0, 0.0);
    run.run(s(10));
    assert_eq!(run.announcing(), "b400 c400");
    let three = address(Announce::Many, 3, 3);
    run.decider.reconfigure(vec![three], names(&["a", "b", "c"]), run.now);
    run.run(s(10));
    assert_eq!(run.announcing(), "a100 b400 c400");
}

#[test]
fn where_all_seem_ill_all_stay_and_it_is_said() {
    let mut run = three(1);
    for site in 0..3 {
        run.serves(site, 0.0);
    }
    run.run(s(60));
    assert_eq!(run.announcing(), "a300 b300 c300");
    assert!(run.standing().all_stay.is_some());
    // One after the other: whoever had withdrawn is back.
    let mut run = three(1);
    run.serves(0, 0.0);
    run.run(s(10));
    run.serves(1, 0.0);
    run.run(s(10));
    assert_eq!(run.announcing(), "c400");
    run.sites[2].ready = 0;
    run.run(ms(200));
    assert_eq!(run.announcing(), "a300 b300 c300");
    // The first that is well again is one that nobody has to wait for.
    run.serves(0, 1.0);
    run.run(s(1));
    assert!(run.standing().all_stay.is_none() && run.standing().announcing.contains_key("a"));
}

#[test]
fn one_that_is_well_and_withdrawn_comes_back_at_once_where_it_is_needed() {
    let mut run = three(1);
    run.serves(0, 0.0);
    run.serves(1, 0.0);
    run.run(s(10));
    run.serves(1, 1.0);
    run.run(s(1));
    assert_eq!(run.announcing(), "c400", "it has to be well for a while");
    run.serves(2, 0.0);
    run.run(ms(200));
    assert_eq!(run.standing().announcing.get("b"), Some(&200), "{}", run.announcing());
}

#[test]
fn it_comes_back_slowly_and_after_the_others() {
    let mut run = three(1);
    run.serves(0, 0.0);
    run.run(s(10));
    run.serves(0, 1.0);
    run.run(ms(9900));
    assert_eq!(run.announcing(), "b400 c400");
    run.run(ms(300));
    assert_eq!(run.announcing(), "a200 b300 c300");
    run.run(ms(9500));
    assert_eq!(run.announcing(), "a200 b300 c300");
    run.run(ms(800));
    assert_eq!(run.announcing(), "a300 b300 c300");
}

/// A site that is ill and well in turns.
fn flaps(run: &mut Run, half: std::time::Duration, times: u32) -> usize {
    let before = run.log.len();
    for _ in 0..times {
        run.serves(0, 0.0);
        run.run(half);
        run.serves(0, 1.0);
        run.run(half);
    }
    run.log.len() - before
}

#[test]
fn a_site_that_flaps_is_kept_back() {
    let mut run = three(1);
    let first = flaps(&mut run, s(21), 5);
    let later = flaps(&mut run, s(21), 10);
    assert!(first >= 4 && later == 0, "{first} changes, then {later}");
    assert_eq!(run.announcing(), "b400 c400");
    assert!(run.standing().sites["a"].suppressed);
    // A short illness every few seconds changes nothing at all.
    let mut run = three(1);
    assert_eq!(flaps(&mut run, ms(1500), 100), 0);
    // It comes back in the end: four half-lives of 80 s at the most, and its dwell.
    let mut run = three(1);
    flaps(&mut run, s(21), 40);
    run.run(s(4 * 80 + 11));
    assert!(run.standing().announcing.contains_key("a"), "{}", run.announcing());
}

#[test]
fn the_next_leader_knows_of_the_flapping() {
    let mut run = three(1);
    flaps(&mut run, s(21), 5);
    let before = run.decider.state().clone();
    assert!(before.addresses["front"].sites["a"].suppressed);
    // Its clock has begun a moment ago.
    run.decider =
        Decider::new(vec![address(Announce::Many, 3, 1)], names(&["a", "b", "c"]), Some(&before), ms(1));
    (run.now, run.log) = (ms(1), Vec::new());
    run.run(s(20));
    assert_eq!(run.announcing(), "b400 c400");
    assert!(run.log.is_empty(), "a new leader changes nothing that stands: {:?}", run.log);
}

#[test]
fn a_site_that_is_cut_off_is_not_withdrawn_by_the_leaders_word() {
    let mut run = three(1);
    run.sites[0].cut_off = true;
    run.serves(0, 0.0);
    run.run(s(120));
    assert_eq!(run.announcing(), "a300 b300 c300");
    // Nor does it count as one that is well: the others stay.
    run.serves(1, 0.0);
    run.serves(2, 0.0);
    run.run(s(20));
    assert_eq!(run.announcing(), "a300 b300 c300");
    // One of which nothing is said at all is cut off.
    let mut run = three(1);
    run.sites.remove(0);
    run.run(s(120));
    assert_eq!(run.announcing(), "a300 b300 c300");
}

#[test]
fn orders_withdraw_after_the_takers_have_risen_and_are_refused_with_reasons() {
    let mut run = three(2);
    let withdraw = |site: &str, anyway| Order::Withdraw {
        name: "front".into(),
        site: site.into(),
        by: "ops".into(),
        anyway,
    };
    let state = run.decider.order(&withdraw("a", false)).unwrap();
    assert!(run.decider.state().addresses["front"].withdrawn.is_empty(), "nothing holds that is not agreed");
    run.accept(state);
    run.run(ms(200));
    assert_eq!(run.announcing(), "a100 b400 c400");
    run.run(s(2));
    assert_eq!(run.announcing(), "b400 c400");
    assert_eq!(run.standing().sites["a"].penalty, 0.0, "an order is no illness");
    let refused = |run: &Run, order: Order| run.decider.order(&order).unwrap_err();
    assert_eq!(refused(&run, withdraw("b", false)), Refusal::TooFew { left: 1, keep: 2 });
    assert_eq!(refused(&run, withdraw("a", false)), Refusal::AlreadySo("a".into()));
    assert_eq!(refused(&run, withdraw("x", false)), Refusal::NoSite("x".into()));
    let to =
        |name: &str| Order::Move { name: name.into(), site: "a".into(), by: "ops".into(), anyway: false };
    assert_eq!(refused(&run, to("front")), Refusal::ManyAnnounce("front".into()));
    assert_eq!(refused(&run, to("back")), Refusal::NoAddress("back".into()));
    let state = run.decider.order(&withdraw("b", true)).unwrap();
    run.accept(state);
    run.run(s(2));
    assert_eq!(run.announcing(), "c400", "ordered with `anyway`");
    assert_eq!(refused(&run, withdraw("c", true)), Refusal::Last("c".into()));
    // An illness of the one that is left changes no order.
    run.serves(2, 0.0);
    run.run(s(20));
    assert_eq!(run.announcing(), "c300");
    run.serves(2, 1.0);
    let restore = Order::Restore { name: "front".into(), site: "a".into(), by: "ops".into() };
    let state = run.decider.order(&restore).unwrap();
    run.accept(state);
    run.run(s(30));
    assert_eq!(run.standing().sites["a"].phase, Phase::Well);
    assert_eq!(refused(&run, restore), Refusal::AlreadySo("a".into()));
}

#[test]
fn settings_change_while_a_site_is_withdrawn() {
    let mut run = three(1);
    run.serves(1, 0.0);
    run.run(s(10));
    assert_eq!(run.announcing(), "a400 c400");
    // The regions are counted otherwise, and one is added before them.
    let mut other = address(Announce::Many, 4, 1);
    other.sites = vec![Region(3), Region(2), Region(1), Region(0)];
    run.decider.reconfigure(vec![other], names(&["d", "c", "b", "a"]), run.now);
    run.sites = (0..4).map(common::well).collect();
    run.serves(2, 0.0);
    run.run(s(5));
    assert_eq!(run.announcing(), "a400 c400 d200", "b is away still, and the new one comes slowly");
    run.run(s(6));
    assert_eq!(run.announcing(), "a400 c400 d400");
    // An address that is taken away is announced no more.
    run.decider.reconfigure(Vec::new(), names(&["d", "c", "b", "a"]), run.now);
    run.run(s(1));
    assert!(run.decider.state().addresses.is_empty());
}
