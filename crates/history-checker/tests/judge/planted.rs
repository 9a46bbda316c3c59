//! Planted histories of plans and places: what must be found and what must pass.

use crate::draw::{
    BEGIN, MS, S, acts, agreed, announces, did, ended, header, health, history, ran, rec, rows, sent,
};
use maplehook_history_checker::file::History;
use maplehook_history_checker::judge::named;
use maplehook_history_checker::record::{Outcome, Record, What};

/// Breaches of a rule, each by its text.
pub fn found(rule: &str, history: &History) -> Vec<String> {
    let rule = named(rule).unwrap();
    let breaches = (rule.judge)(history).breaches;
    assert!(breaches.iter().all(|breach| breach.rule == rule.name && breach.at_us <= breach.until_us));
    assert!(breaches.iter().flat_map(|breach| &breach.records).all(|n| *n < history.records.len()));
    breaches.into_iter().map(|breach| breach.what).collect()
}

/// The rule finds one thing, and says this of it.
#[track_caller]
pub fn one(rule: &str, records: Vec<Record>, says: &str) {
    let found = found(rule, &history(records));
    assert!(found.len() == 1 && found[0].contains(says), "{found:?}");
}

/// The rule finds nothing, and judged something.
#[track_caller]
pub fn none(rule: &str, records: Vec<Record>) {
    let history = history(records);
    assert_eq!(found(rule, &history), Vec::<String>::new());
    assert!((named(rule).unwrap().judge)(&history).judged > 0, "nothing was judged");
}

fn calm() -> Vec<maplehook_history_checker::record::ActedRow> {
    rows(&[("a", &[("a", 10_000)]), ("b", &[("b", 10_000)])])
}

/// Two plans agreed on at 1 s and 5 s; one acts on both.
fn two() -> Vec<Record> {
    vec![
        rec(S, "b-a1", agreed(1)),
        rec(S + MS, "b-a1", acts(1, calm())),
        rec(5 * S, "b-a1", agreed(2)),
        rec(5 * S + MS, "b-a1", acts(2, calm())),
    ]
}

#[test]
fn epochs_in_order_pass() {
    none("epochs", two());
    // Another member says the same; and two that write of one moment do so in any order.
    let mut again = two();
    again.extend([rec(5 * S + 9, "b-b1", agreed(2)), rec(5 * S - 10 * MS, "b-b1", acts(2, calm()))]);
    none("epochs", again);
    // A start forgets.
    let mut started = two();
    started.extend([rec(6 * S, "rig", did("kill", "b-a1")), rec(7 * S, "rig", did("start", "b-a1"))]);
    started.push(rec(8 * S, "b-a1", acts(1, calm())));
    none("epochs", started);
    // So does one of its zone.
    let mut group = two();
    group.extend([rec(6 * S, "rig", did("kill", "a")), rec(7 * S, "rig", did("start", "a"))]);
    group.push(rec(8 * S, "b-a1", acts(1, calm())));
    none("epochs", group);
    // Addresses are agreed on, and there is no plan yet, or none at all.
    let mut early = vec![rec(S / 2, "b-a1", acts(0, calm())), rec(S / 2 + MS, "b-b1", acts(0, calm()))];
    none("epochs", early.clone());
    early.extend(two());
    none("epochs", early);
    // A leader was killed before it could say that 2 stands.
    let mut mute = two();
    mute.remove(2);
    mute.extend([rec(4 * S, "rig", did("kill", "b-b1")), rec(9 * S, "b-a1", agreed(3))]);
    none("epochs", mute);
    // One that was stopped says it late.
    let late = vec![
        rec(S, "rig", did("stop", "b-b1")),
        rec(2 * S, "b-a1", acts(1, calm())),
        rec(3 * S, "rig", did("wake", "b-b1")),
        rec(3 * S + MS, "b-b1", agreed(1)),
    ];
    none("epochs", late);
}

#[test]
fn epochs_out_of_order_are_found() {
    let with = |more: Vec<Record>| {
        let mut records = two();
        records.extend(more);
        records
    };
    one("epochs", with(vec![rec(9 * S, "b-b1", agreed(4))]), "epoch 4 follows on epoch 2");
    let other = What::Agreed { epoch: 2, digest: "other".into() };
    one("epochs", with(vec![rec(9 * S, "b-b1", other)]), "agreed on as plan 2 and as other");
    one("epochs", with(vec![rec(9 * S, "b-a1", acts(1, calm()))]), "b-a1 goes back from epoch 2 to 1");
    one("epochs", with(vec![rec(9 * S, "b-a1", acts(0, calm()))]), "b-a1 goes back from epoch 2 to 0");
    one(
        "epochs",
        with(vec![rec(9 * S, "b-b1", acts(3, calm()))]),
        "acts on epoch 3, that was never agreed on",
    );
    one(
        "epochs",
        with(vec![rec(4 * S, "b-b1", acts(2, calm()))]),
        "b-b1 acts on epoch 2 before it is agreed on",
    );
    one("epochs", with(vec![rec(S / 2, "b-b1", agreed(3))]), "epoch 3 is agreed on before epoch 2");
    let moved = rows(&[("a", &[("b", 10_000)])]);
    one("epochs", with(vec![rec(9 * S, "b-b1", acts(2, moved))]), "epoch 2 has two rows for default from a");
    let only = vec![rec(S, "b-a1", acts(1, calm()))];
    one("epochs", only, "never agreed on");
}

/// At 1 s both act on a plan that sends `a` into `b`; from 5 s on one acts on the opposite; the other until `until`.
pub fn opposite(until: u64, to: [(&str, &str); 2]) -> Vec<Record> {
    let plan = |(from, to): (&str, &str)| rows(&[(from, &[(to, 10_000)])]);
    vec![
        rec(S, "b-a1", acts(1, plan(to[0]))),
        rec(S, "b-b1", acts(1, plan(to[0]))),
        rec(5 * S, "b-b1", acts(2, plan(to[1]))),
        rec(until, "b-a1", acts(2, plan(to[1]))),
        rec(20 * S, "client", What::Note { text: "end".into() }),
    ]
}

#[test]
fn plans_that_contradict_are_found() {
    one(
        "contradict",
        opposite(8 * S, [("a", "b"), ("b", "a")]),
        "the one sends a into b, the other b into a",
    );
    one("contradict", opposite(8 * S, [("a", "c"), ("d", "b")]), "sends north into south");
    // Woken with a plan that is long past.
    let mut woken = opposite(12 * S, [("a", "b"), ("b", "a")]);
    woken.extend([rec(4 * S, "rig", did("stop", "b-a1")), rec(9 * S, "rig", did("wake", "b-a1"))]);
    one("contradict", woken, "both acted on for 3000000 us");
}

#[test]
fn plans_that_agree_or_are_short_together_pass() {
    none("contradict", opposite(6 * S, [("a", "b"), ("b", "a")]));
    none("contradict", opposite(9 * S, [("a", "b"), ("c", "b")]));
    // Each plan by itself goes both ways: a rule wants that.
    let both = rows(&[("a", &[("b", 5_000)]), ("b", &[("a", 5_000)])]);
    let mut wanted = opposite(9 * S, [("a", "b"), ("b", "a")]);
    for record in &mut wanted {
        if let What::Acts { rows, .. } = &mut record.what {
            rows.clone_from(&both);
        }
    }
    none("contradict", wanted.clone());
    // So does one of them, and the other only goes one of these ways.
    if let What::Acts { rows, .. } = &mut wanted[2].what {
        rows.remove(0);
    }
    let What::Acts { rows, .. } = wanted[2].what.clone() else { return };
    if let What::Acts { rows: last, .. } = &mut wanted[3].what {
        *last = rows;
    }
    none("contradict", wanted);
    for end in [did("kill", "b-a1"), did("stop", "b-a1")] {
        let mut ended = opposite(12 * S, [("a", "b"), ("b", "a")]);
        ended.push(rec(6 * S, "rig", end));
        none("contradict", ended);
    }
    let mut ceased = opposite(12 * S, [("a", "b"), ("b", "a")]);
    ceased.push(rec(6 * S, "b-a1", What::Ceases { epoch: 1 }));
    none("contradict", ceased);
    let mut alone = opposite(12 * S, [("a", "b"), ("b", "a")]);
    let own = What::Acts { epoch: 1, rows: calm(), in_common: false };
    alone.push(rec(6 * S, "b-a1", own));
    none("contradict", alone);
}

/// `b-a1` acts on a plan that gives `a` half of `c`, `b-b1` on the next, that gives it half of `d`; each has `rate` requests a second.
fn sums(rate: u64) -> Vec<Record> {
    let first = rows(&[("c", &[("a", 10_000)]), ("d", &[("d", 10_000)])]);
    let second = rows(&[("c", &[("c", 10_000)]), ("d", &[("a", 10_000)])]);
    let mut records = vec![rec(S, "b-c1", acts(1, first)), rec(5 * S, "b-d1", acts(2, second))];
    for n in 0..rate * 8 {
        for (k, balancer) in [(1, "b-c1"), (2, "b-d1")] {
            records.push(rec(2 * S + n * S / rate, "client", sent(2 * n + k, balancer, false)));
        }
    }
    records
}

#[test]
fn plans_that_are_too_much_together_are_found() {
    one("contradict", sums(30), "together they send 60 a second into a, that has room for 50");
    one("contradict", sums(45), "together they send 90 a second into a");
    none("contradict", sums(20));
    // One alone is too much: not a matter of two plans.
    none("contradict", sums(60));
}

/// `rate` requests a second of zone `a` for ten seconds; `far` of a hundred run in `b`.
fn served(rate: u64, far: u64) -> Vec<Record> {
    let one = |n: u64| {
        let at = S + n * S / rate;
        let upstream = if n % 100 < far { "u-b1" } else { "u-a1" };
        [
            rec(at, "client", sent(n, "b-a1", false)),
            rec(at + 5, upstream, ran(n, "b-a1")),
            rec(at + 9, "client", ended(n, Outcome::Ok)),
        ]
    };
    (0..rate * 10).flat_map(one).collect()
}

#[test]
fn what_leaves_without_need_is_found() {
    let breaches = found("near", &history(served(20, 10)));
    assert!(
        !breaches.is_empty() && breaches[0].contains("leave a, which is well and has room"),
        "{breaches:?}"
    );
    assert!(!found("near", &history(served(20, 100))).is_empty());
    // It was ill, and the time to settle is over.
    let mut back = served(20, 100);
    back.extend([rec(0, "rig", health("a", 0.5)), rec(2 * S, "rig", health("a", 1.0))]);
    assert!(!found("near", &history(back)).is_empty());
}

#[test]
fn what_stays_or_has_to_leave_passes() {
    none("near", served(20, 0));
    none("near", served(20, 1));
    // Too full for the rules to keep it.
    let full = history(served(45, 30));
    assert_eq!(found("near", &full), Vec::<String>::new());
    let ill = |what: What, until: Option<What>| {
        let mut records = served(20, 100);
        records.push(rec(0, "rig", what));
        records.extend(until.map(|what| rec(8 * S, "rig", what)));
        assert_eq!(found("near", &history(records)), Vec::<String>::new());
    };
    ill(health("a", 0.5), None);
    ill(health("a", 0.0), Some(health("a", 1.0)));
    ill(health("d", 0.0), None);
    ill(What::Health { zone: "a".into(), share: 0.0, from: Some(vec!["a".into()]) }, None);
    ill(did("cut", "b-a2"), Some(did("heal", "b-a2")));
    ill(did("evacuate", "a"), None);
}

/// `a` is half gone until 2 s and given back until 8 s; in some of the ten seconds all requests leave it.
fn given_back(leave: std::ops::Range<u64>) -> History {
    let leaves = |record: &Record| leave.contains(&((record.at_us - BEGIN) / S));
    let mut records: Vec<Record> = served(20, 0).into_iter().filter(|record| !leaves(record)).collect();
    records.extend(served(20, 100).into_iter().filter(leaves));
    records.extend([rec(0, "rig", health("a", 0.5)), rec(2 * S, "rig", health("a", 1.0))]);
    let mut history = history(records);
    history.header.bounds.return_us = 6 * S;
    history
}

#[test]
fn what_is_given_back_slowly_may_leave_until_it_is_all_back() {
    let found = |history: &History| (named("near").unwrap().judge)(history).breaches;
    let returning = given_back(5..8);
    assert_eq!(found(&returning), []);
    let mut at_once = returning;
    at_once.header.bounds.return_us = 0;
    assert_eq!(found(&at_once).len(), 1);
    // All of it is back at 8 s: after the second in which that is, what leaves is found, and nothing before.
    let later = found(&given_back(5..11));
    assert!(!later.is_empty() && later[0].at_us == BEGIN + 9 * S, "{later:?}");
    // A time that is shorter than the one to settle takes nothing from that.
    let mut shorter = given_back(3..5);
    shorter.header.bounds.return_us = S;
    assert_eq!(found(&shorter), []);
}

/// After ten quiet seconds: each second so many requests of `a` and of `b` run in `a`.
fn together(own: u64, guests: u64) -> Vec<Record> {
    let mut records = Vec::new();
    for second in 0..8 {
        for (from, count) in [("b-a1", own), ("b-b1", guests)] {
            for n in 0..count {
                let at = second * S + n * S / count.max(1);
                let id = records.len() as u64;
                records.extend([rec(at, "client", sent(id, from, false)), rec(at, "u-a1", ran(id, from))]);
            }
        }
    }
    records
}

#[test]
fn a_zone_that_is_over_by_spill_is_found() {
    let breaches = found("load", &history(together(40, 20)));
    assert!(
        breaches.len() >= 3 && breaches[0].contains("a has room for 50 and bears 40 of its own and 20"),
        "{breaches:?}"
    );
    assert!(!found("load", &history(together(0, 70))).is_empty());
    // Half of it drains: there is less room than the upstreams' sum.
    let mut drained = together(20, 20);
    drained.push(rec(0, "rig", What::Drains { upstream: "u-a2".into(), drains: true }));
    assert!(!found("load", &history(drained)).is_empty());
    let mut half = together(20, 20);
    half.push(rec(0, "rig", health("a", 0.5)));
    assert!(!found("load", &history(half)).is_empty());
}

#[test]
fn a_zone_that_is_lost_has_no_surges_of_its_own() {
    let mut records = together(40, 20);
    records.push(rec(0, "rig", health("b", 0.0)));
    for second in 0..8 {
        let more =
            (0..second).map(|n| rec(second * S + n, "client", sent(90_000 + second * 10 + n, "b-b1", false)));
        records.extend(more);
    }
    assert!(!found("load", &history(records)).is_empty());
}

#[test]
fn a_zone_within_its_room_or_over_by_its_own_passes() {
    none("load", together(30, 20));
    none("load", together(60, 5));
    // Something changes all the time.
    let mut flaps = together(40, 20);
    for second in 0..4 {
        flaps.push(rec(second * 2 * S, "rig", health("c", (second % 2) as f64)));
    }
    assert_eq!(found("load", &history(flaps)), Vec::<String>::new());
    // Demand has just come.
    let mut surge = together(5, 5);
    surge.retain(|record| record.at_us < header_begin() + 6 * S);
    let more: Vec<Record> =
        together(45, 40).into_iter().filter(|record| record.at_us >= header_begin() + 6 * S).collect();
    surge.extend(more);
    none("load", surge);
}

fn header_begin() -> u64 {
    crate::draw::BEGIN
}

/// Plans in which zone `a` keeps so much of its own, one each five seconds.
fn shares(parts: &[u16]) -> Vec<Record> {
    let plan = |n: usize, parts: u16| {
        let rows = rows(&[("a", &[("a", parts), ("b", 10_000 - parts)])]);
        rec(n as u64 * 5 * S, "b-a1", acts(n as u64 + 1, rows))
    };
    parts.iter().enumerate().map(|(n, parts)| plan(n, *parts)).collect()
}

#[test]
fn swings_are_found() {
    let breaches = found("swings", &history(shares(&[10_000, 0, 10_000, 0, 10_000])));
    assert!(breaches.len() == 2 && breaches[0].contains("turns 3 times within a minute"), "{breaches:?}");
    let slow = [10_000, 5_000, 0, 3_000, 6_000, 2_000, 0, 7_000];
    assert_eq!(found("swings", &history(shares(&slow))).len(), 2);
}

#[test]
fn a_way_there_and_back_is_no_swing() {
    none("swings", shares(&[10_000, 0, 2_000, 4_000, 8_000, 10_000]));
    none("swings", shares(&[10_000, 0, 10_000, 0]));
    // Less than what counts.
    none("swings", shares(&[10_000, 9_800, 10_000, 9_800, 10_000, 9_800, 10_000]));
    // The same, but spread over more than a minute.
    let mut wide = shares(&[10_000, 0, 10_000, 0, 10_000]);
    for (n, record) in wide.iter_mut().enumerate() {
        record.at_us += n as u64 * 30 * S;
    }
    none("swings", wide);
}

#[test]
fn an_address_that_nobody_knows_is_no_matter() {
    let mut records = vec![rec(0, "b-a1", announces("other", "north", 9 * S))];
    records.push(rec(S, "b-c1", announces("other", "south", 9 * S)));
    assert_eq!(found("one", &history(records)), Vec::<String>::new());
    assert!(header().expect.is_none());
}
