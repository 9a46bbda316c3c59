use super::*;
use crate::balancer::{Member, View};

const PROMISED: Promised = Promised {
    answer: Duration::from_secs(3),
    converge: Duration::from_secs(10),
    believed_dead: Duration::from_secs(5),
    drain: Duration::from_secs(1),
};

fn entry(ms: u64, what: What) -> Entry {
    Entry { at: Duration::from_millis(ms), what }
}

fn asked(ms: u64, id: &str, kind: Kind) -> Entry {
    entry(ms, What::Asked { id: id.into(), kind, balancer: 0 })
}

fn got(ms: u64, id: &str, got: Got) -> Entry {
    entry(ms, What::Got { id: id.into(), got })
}

fn shows(ms: u64, balancer: usize, own: u64, members: &[(&str, u64, &str)]) -> Entry {
    let member = |(name, incarnation, state): &(&str, u64, &str)| Member {
        name: (*name).into(),
        incarnation: *incarnation,
        state: (*state).into(),
    };
    let view = View { incarnation: own, speaks: true, members: members.iter().map(member).collect() };
    entry(ms, What::Shows { balancer, view })
}

fn rules(history: &[Entry]) -> Vec<&'static str> {
    check(history, &PROMISED).into_iter().map(|breach| breach.rule).collect()
}

#[test]
fn one_answer_each() {
    let fine = [asked(0, "a", Kind::Look), got(5, "a", Got::Status(200)), entry(9000, What::End)];
    assert!(rules(&fine).is_empty());
    for planted in [
        vec![asked(0, "a", Kind::Look), entry(9000, What::End)],
        vec![asked(0, "a", Kind::Look), got(5, "a", Got::Status(200)), got(6, "a", Got::Status(200))],
        vec![asked(0, "a", Kind::Look), got(5, "a", Got::Twice)],
        vec![asked(0, "a", Kind::Look), got(5, "a", Got::Broken)],
        vec![asked(0, "a", Kind::Look), got(3500, "a", Got::Status(200))],
        vec![asked(0, "a", Kind::Look), got(2500, "a", Got::Nothing)],
    ] {
        assert_eq!(rules(&planted), ["one final answer"], "{planted:?}");
    }
    // Of a balancer that was killed meanwhile a client may hear nothing, but not two answers.
    let down = entry(2, What::Down { balancer: 0 });
    assert!(rules(&[asked(0, "a", Kind::Look), down.clone(), got(5, "a", Got::Broken)]).is_empty());
    assert_eq!(
        rules(&[asked(0, "a", Kind::Look), down.clone(), got(5, "a", Got::Twice)]),
        ["one final answer"]
    );
    let back = entry(100, What::Serves { balancer: 0 });
    assert_eq!(
        rules(&[down, back, asked(200, "a", Kind::Look), got(205, "a", Got::Broken)]),
        ["one final answer"],
        "what was over before is no excuse"
    );
}

#[test]
fn effects_once() {
    let ran = |times| entry(50, What::Ran { id: "a".into(), times });
    let end = got(60, "a", Got::Status(200));
    assert!(rules(&[asked(0, "a", Kind::Book), ran(1), end.clone()]).is_empty());
    assert!(rules(&[asked(0, "a", Kind::Look), ran(2), end.clone()]).is_empty());
    assert_eq!(rules(&[asked(0, "a", Kind::Book), ran(2), end.clone()]), ["no effect twice"]);
    assert_eq!(rules(&[asked(0, "a", Kind::Keyed), ran(2), end]), ["no effect twice"]);
}

#[test]
fn drained_upstreams_get_nothing_new() {
    let attempt =
        |ms| entry(ms, What::Attempt { id: "a".into(), upstream: 3, balancer: Some(1), version: None });
    let (drains, healed) = (entry(100, What::Drains { upstream: 3 }), entry(50, What::Healed));
    let end = entry(20_000, What::End);
    assert!(rules(&[healed.clone(), attempt(90), drains.clone(), attempt(1000), end.clone()]).is_empty());
    assert_eq!(rules(&[healed, drains, attempt(1200), end]), ["drains kept"]);
}

#[test]
fn views_have_to_agree_in_time() {
    let serves = [entry(0, What::Serves { balancer: 0 }), entry(0, What::Serves { balancer: 1 })];
    let healed = entry(100, What::Healed);
    let both = [("b1", 1, "alive"), ("b2", 2, "alive")];
    let good = [shows(9000, 0, 1, &both), shows(9000, 1, 2, &both), entry(20_000, What::End)];
    let history = |last: &[Entry]| [&serves[..], std::slice::from_ref(&healed), last].concat();
    assert!(rules(&history(&good)).is_empty());
    for planted in [
        [("b1", 1, "alive"), ("b2", 2, "dead")],
        [("b1", 1, "alive"), ("b2", 1, "alive")],
        [("b1", 1, "alive"), ("b3", 2, "alive")],
    ] {
        let wrong = [shows(9000, 0, 1, &planted), good[1].clone(), good[2].clone()];
        assert_eq!(rules(&history(&wrong)), ["views converge"], "{planted:?}");
    }
    assert_eq!(rules(&history(&good[1..])), ["views converge", "views converge"], "one shows nothing");
}

#[test]
fn the_living_are_not_dead_for_long() {
    let dead = |ms| shows(ms, 0, 1, &[("b1", 1, "alive"), ("b2", 2, "dead")]);
    let back = shows(15_000, 0, 1, &[("b1", 1, "alive"), ("b2", 3, "alive")]);
    let other = shows(15_000, 1, 3, &[("b1", 1, "alive"), ("b2", 3, "alive")]);
    let serves = [entry(0, What::Serves { balancer: 0 }), entry(0, What::Serves { balancer: 1 })];
    let history = |shown: &[Entry]| {
        let end = [back.clone(), other.clone(), entry(20_000, What::End)];
        [&serves[..], &[entry(100, What::Healed)], shown, &end].concat()
    };
    assert!(rules(&history(&[dead(200), dead(5000)])).is_empty());
    assert_eq!(rules(&history(&[dead(200), dead(5000), dead(6000)])), ["nobody alive is dead"]);
}

#[test]
fn contradictions_are_measured_from_first_attempts() {
    let attempt = |ms, balancer, id: &str, label: &str| {
        let (id, version) = (id.to_owned(), Some(label.to_owned()));
        entry(ms, What::Attempt { id, upstream: 0, balancer: Some(balancer), version })
    };
    let of = |entries: &[Entry]| longest_contradiction(entries).0.as_millis();
    let old = [attempt(0, 0, "a", "1"), attempt(900, 0, "b", "1")];
    assert_eq!(of(&[&old[..], &[attempt(100, 1, "c", "1-2"), attempt(800, 1, "d", "1-2")]].concat()), 0);
    assert_eq!(of(&[&old[..], &[attempt(100, 1, "c", "2"), attempt(800, 1, "d", "2")]].concat()), 700);
    assert_eq!(
        of(&[&old[..], &[attempt(100, 1, "c", "2;careful"), attempt(800, 1, "d", "2;careful")]].concat()),
        0
    );
    // A repeat of what came long ago is labelled as it came.
    let repeat = [
        attempt(0, 0, "a", "1"),
        attempt(100, 1, "c", "2"),
        attempt(800, 1, "d", "2"),
        attempt(900, 0, "a", "1"),
    ];
    assert_eq!(of(&repeat), 0);
}

#[test]
fn versions_have_one_order() {
    let ms = Duration::from_millis;
    let call = |from, to, did| Call { from: ms(from), to: ms(to), did };
    let proposed =
        |from, to, version, mark: &str| call(from, to, Did::Proposed { version, mark: mark.into() });
    let saw = |from, to, epoch, newest| call(from, to, Did::Saw { epoch, newest });
    let sound = [
        saw(0, 1, 1, 1),
        proposed(2, 9, 2, "a"),
        // At the same time as the proposal: either is possible.
        saw(3, 5, 1, 1),
        saw(4, 8, 2, 2),
        saw(10, 11, 3, 2),
        proposed(12, 14, 3, "b"),
    ];
    assert!(linearizable(&sound).is_empty(), "{:?}", linearizable(&sound));
    let with = |more: &[Call]| linearizable(&[&sound[..], more].concat()).len();
    assert_eq!(with(&[saw(20, 21, 2, 2)]), 1, "an old epoch after a later one was seen");
    assert_eq!(with(&[saw(20, 21, 3, 2)]), 1, "a version that was acknowledged is gone");
    assert_eq!(
        with(&[proposed(20, 21, 3, "c")]),
        2,
        "one number, two texts, and no later than what was seen"
    );
    assert_eq!(with(&[saw(20, 21, 9, 7)]), 1, "a version that nobody has proposed");
    assert_eq!(
        with(&[saw(20, 21, 9, 7), call(22, 30, Did::Unknown { mark: "z".into() })]),
        1,
        "or only later"
    );
    assert_eq!(with(&[saw(20, 21, 9, 7), call(15, 30, Did::Unknown { mark: "z".into() })]), 0);
    assert_eq!(with(&[saw(6, 7, 1, 1)]), 0, "before the proposal's answer the old one is as good");
}

#[test]
fn starts_only_rise() {
    let shown = |ms, start| shows(ms, 0, 1, &[("b1", 1, "alive"), ("b2", start, "alive")]);
    assert!(rules(&[shown(1, 5), shown(2, 5), shown(3, 6)]).is_empty());
    assert_eq!(rules(&[shown(1, 5), shown(2, 4)]), ["incarnations rise"]);
    // A new process may learn an old start first; its own must still rise.
    let again = entry(2, What::Serves { balancer: 0 });
    assert!(rules(&[shown(1, 5), again.clone(), shown(3, 4)]).is_empty());
    let own = |ms, start| shows(ms, 0, start, &[("b1", start, "alive")]);
    assert_eq!(rules(&[own(1, 5), again, own(3, 4)]), ["incarnations rise"]);
}
