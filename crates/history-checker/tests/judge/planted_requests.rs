//! Planted histories of requests.

use crate::draw::{MS, S, did, ended, ran, rec, sent};
use crate::planted::{found, none, one};
use maplehook_history_checker::record::{Outcome, Record, What};

/// Request 7, sent at 1 s to `b-a1`, ended with this after that.
fn request(after: u64, outcome: Outcome) -> Vec<Record> {
    vec![rec(S, "client", sent(7, "b-a1", true)), rec(S + after, "client", ended(7, outcome)), end()]
}

fn end() -> Record {
    rec(20 * S, "rig", What::Note { text: "end".into() })
}

fn and(mut records: Vec<Record>, more: Vec<Record>) -> Vec<Record> {
    records.extend(more);
    records
}

#[test]
fn requests_that_are_lost_or_late_are_found() {
    let open = vec![rec(S, "client", sent(7, "b-a1", false)), end()];
    one("lost", open.clone(), "request 7 to b-a1 never ends");
    // What its balancer suffers later is no excuse.
    one("lost", and(open, vec![rec(15 * S, "rig", did("stop", "b-a1"))]), "never ends");
    one("lost", request(MS, Outcome::Lost), "request 7 to b-a1 has no answer");
    one("lost", request(4 * S + 1, Outcome::Ok), "took 4000001 us of 4000000");
    one(
        "lost",
        and(request(MS, Outcome::Ok), vec![rec(2 * S, "client", ended(7, Outcome::Ok))]),
        "twice, or never sent",
    );
    one(
        "lost",
        and(request(S, Outcome::Ok), vec![rec(S + MS, "client", sent(7, "b-b1", true))]),
        "sent again before it has ended",
    );
    // Another was killed; or the same, but later; or it was told to end and should have served what it had.
    one("lost", and(request(S, Outcome::Lost), vec![rec(S + MS, "rig", did("kill", "b-a2"))]), "no answer");
    one(
        "lost",
        and(request(S, Outcome::Lost), vec![rec(2 * S + MS, "rig", did("kill", "b-a1"))]),
        "no answer",
    );
    one("lost", and(request(S, Outcome::Lost), vec![rec(S + MS, "rig", did("term", "b-a1"))]), "no answer");
    // It was killed before and is back.
    let back = vec![rec(MS, "rig", did("kill", "b-a1")), rec(2 * MS, "rig", did("start", "b-a1"))];
    one("lost", and(request(S, Outcome::Lost), back), "no answer");
}

#[test]
fn requests_with_an_end_or_a_cause_pass() {
    none("lost", request(4 * S, Outcome::Ok));
    none("lost", request(MS, Outcome::Refused));
    none(
        "lost",
        and(request(MS, Outcome::Failed), request(9 * S, Outcome::Ok).into_iter().skip(9).collect()),
    );
    none("lost", and(request(S, Outcome::Lost), vec![rec(S + MS, "rig", did("kill", "b-a1"))]));
    none("lost", and(request(S, Outcome::Lost), vec![rec(S + MS, "rig", did("kill", "a"))]));
    let woken = vec![rec(S + MS, "rig", did("stop", "b-a1")), rec(9 * S, "rig", did("wake", "b-a1"))];
    none("lost", and(request(9 * S, Outcome::Ok), woken));
    // The run was over before it had to end.
    none("lost", vec![rec(S, "client", sent(7, "b-a1", false)), rec(5 * S, "rig", did("end", "run"))]);
}

#[test]
fn what_runs_twice_is_found() {
    let twice = vec![rec(S + MS, "u-a1", ran(7, "b-a1")), rec(S + 9 * MS, "u-b1", ran(7, "b-a1"))];
    one(
        "twice",
        and(request(S, Outcome::Ok), twice.clone()),
        "request 7 must run once: it ran 2 times, at u-a1 and u-b1",
    );
    // Whatever its client was told, and after however long.
    let late = vec![rec(15 * S, "u-a1", ran(7, "b-c1"))];
    one("twice", and(request(S, Outcome::Failed), and(twice, late)), "it ran 3 times");
}

#[test]
fn what_may_run_twice_or_runs_once_passes() {
    none("twice", and(request(S, Outcome::Ok), vec![rec(S + MS, "u-a1", ran(7, "b-a1"))]));
    none("twice", request(S, Outcome::Refused));
    let free = vec![
        rec(S, "client", sent(8, "b-a1", false)),
        rec(2 * S, "u-a1", ran(8, "b-a1")),
        rec(2 * S, "u-a1", ran(8, "b-a1")),
    ];
    none("twice", and(request(S, Outcome::Ok), free));
}

/// `u-a1` drains from 1 s on; through `b-a1` something runs there at a time.
fn drained(at: u64) -> Vec<Record> {
    let drains = |drains| What::Drains { upstream: "u-a1".into(), drains };
    vec![
        rec(S, "rig", drains(true)),
        rec(at, "u-a1", ran(7, "b-a1")),
        rec(at, "u-a2", ran(8, "b-a1")),
        rec(10 * S, "rig", drains(false)),
    ]
}

#[test]
fn a_drain_that_is_broken_is_found() {
    one("drains", drained(3 * S + 1), "u-a1 drains since 2000001 us, and b-a1 sends request 7 there");
    one("drains", and(drained(9 * S), vec![rec(9 * S + 1, "u-a1", ran(9, "b-b1"))]), "request 7 there");
    // It was back for long enough to have heard.
    one(
        "drains",
        and(
            drained(9 * S),
            vec![rec(2 * S, "rig", did("cut", "b-a1")), rec(5 * S, "rig", did("heal", "b-a1"))],
        ),
        "b-a1",
    );
}

#[test]
fn a_drain_that_is_kept_passes() {
    none("drains", drained(3 * S));
    none("drains", drained(11 * S));
    let cut = vec![rec(S, "rig", did("cut", "b-a1")), rec(5 * S, "rig", did("heal", "b-a1"))];
    none("drains", and(drained(6 * S), cut));
    let started = vec![rec(S, "rig", did("kill", "b-a1")), rec(5 * S, "rig", did("start", "b-a1"))];
    none("drains", and(drained(6 * S), started));
    assert!(found("drains", &crate::draw::history(vec![rec(S, "u-a1", ran(7, "b-a1"))])).is_empty());
}
