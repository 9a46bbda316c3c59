//! Planted histories of shared addresses.

use crate::draw::{MS, S, announces, did, health, history, rec, withdraws};
use crate::planted::{found, none, one};
use maplehook_history_checker::record::{Record, What};

/// Someone announces an address for its site twice a second, each time for two seconds, in `from..until`.
fn says(address: &str, by: &str, site: &str, from: u64, until: u64) -> Vec<Record> {
    let times = (0..).map(|n| from + n * 500 * MS).take_while(|at| *at < until);
    times.map(|at| rec(at, by, announces(address, site, at + 2 * S))).collect()
}

fn and(mut records: Vec<Record>, more: Vec<Record>) -> Vec<Record> {
    records.extend(more);
    records
}

/// Both addresses have somebody all the time.
fn calm(address: &str) -> Vec<Record> {
    let other = if address == "web" { "desk" } else { "web" };
    says(other, "b-a1", "north", 0, 30 * S)
}

#[test]
fn two_announcers_of_one_are_found() {
    let north = says("desk", "b-a1", "north", 0, 10 * S);
    one(
        "one",
        and(north.clone(), says("desk", "b-c1", "south", 11 * S, 20 * S)),
        "desk is announced by south while north may for 500000 us more",
    );
    // A withdrawal is no way out: a router may not have heard it.
    let withdrawn = and(north.clone(), vec![rec(9_900 * MS, "b-a1", withdraws("desk", "north"))]);
    one("one", and(withdrawn, says("desk", "b-c1", "south", 10 * S, 11 * S)), "for 1500000 us more");
    // Once for as long as both go on, and again when they do it again.
    let twice =
        and(says("desk", "b-c1", "south", 5 * S, 8 * S), says("desk", "b-d1", "south", 20 * S, 22 * S));
    let twice = and(and(north, twice), says("desk", "b-a1", "north", 18 * S, 21 * S));
    assert_eq!(found("one", &history(twice)).len(), 2);
}

#[test]
fn one_after_the_other_passes() {
    let north = says("desk", "b-a1", "north", 0, 10 * S);
    none("one", and(north.clone(), says("desk", "b-c1", "south", 11_500 * MS, 20 * S)));
    // Two balancers of one site are one announcer; and of many there may be many.
    let many = and(says("web", "b-a1", "north", 0, 9 * S), says("web", "b-c1", "south", 0, 9 * S));
    none("one", and(and(north, says("desk", "b-b1", "north", 3 * S, 9 * S)), many));
}

#[test]
fn a_gap_while_a_site_is_well_is_found() {
    let north = says("web", "b-a1", "north", 0, 10 * S);
    let again = and(and(north.clone(), says("web", "b-c1", "south", 17 * S, 30 * S)), calm("web"));
    one("gap", again.clone(), "nobody announces web for 5500000 us");
    // One site is ill; the other is not.
    one("gap", and(again, vec![rec(8 * S, "rig", health("a", 0.0))]), "and south is well");
    // Nobody at all any more.
    let over = and(and(north.clone(), calm("web")), vec![rec(30 * S, "rig", did("end", "run"))]);
    one("gap", over, "nobody announces web for 18500000 us");
    // Taken back early.
    let back = and(and(north, calm("web")), vec![rec(9_600 * MS, "b-a1", withdraws("web", "north"))]);
    one(
        "gap",
        and(back, says("web", "b-a1", "north", 14 * S, 30 * S)),
        "nobody announces web for 4400000 us",
    );
}

#[test]
fn a_gap_that_is_short_or_has_nobody_who_could_passes() {
    let again = |at: u64| {
        and(
            says("web", "b-a1", "north", 0, 10 * S),
            and(says("web", "b-c1", "south", at, 30 * S), calm("web")),
        )
    };
    none("gap", again(15 * S));
    let ill: Vec<Record> = ["a", "c"].map(|zone| rec(9 * S, "rig", health(zone, 0.0))).into();
    none("gap", and(again(25 * S), ill));
    let killed = ["north", "south"].map(|region| rec(9 * S, "rig", did("kill", region)));
    none("gap", and(again(25 * S), killed.into()));
    // The address of one needs a majority: half of them are cut off, and then one site is all there is.
    let desk = and(
        says("desk", "b-a1", "north", 0, 10 * S),
        and(says("desk", "b-c1", "south", 25 * S, 30 * S), calm("desk")),
    );
    let cut = vec![rec(9 * S, "rig", did("cut", "north")), rec(24 * S, "rig", did("heal", "north"))];
    none("gap", and(desk.clone(), cut));
    let ends = vec![rec(11 * S, "rig", did("end", "run"))];
    none(
        "gap",
        and(
            and(says("web", "b-a1", "north", 0, 10 * S), calm("web")),
            and(ends, vec![rec(99 * S, "x", What::Note { text: "x".into() })]),
        ),
    );
    one("gap", desk, "nobody announces desk");
}

/// The north is lost from 10 s to 25 s, the south goes on.
fn lost(until: u64) -> Vec<Record> {
    let mut records = and(says("web", "b-a1", "north", 0, until), says("web", "b-c1", "south", 0, 30 * S));
    for zone in ["a", "b"] {
        records.extend([rec(10 * S, "rig", health(zone, 0.0)), rec(25 * S, "rig", health(zone, 1.0))]);
    }
    records
}

#[test]
fn a_site_that_has_nothing_left_and_stays_is_found() {
    one("withdrawn", lost(17 * S), "b-a1 announces web for north, of which nothing is left since");
    one("withdrawn", lost(30 * S), "b-a1 announces web for north");
    // An answer that is good for too long is as bad as one that comes too late.
    one(
        "withdrawn",
        and(lost(12 * S), vec![rec(12 * S, "b-b1", announces("web", "north", 60 * S))]),
        "b-b1 announces web for north",
    );
}

#[test]
fn a_site_that_withdraws_or_must_stay_passes() {
    none("withdrawn", lost(14 * S));
    // The last words were good for longer, and taken back in time.
    none("withdrawn", and(lost(15 * S), vec![rec(15 * S, "b-a1", withdraws("web", "north"))]));
    // Half of it is left.
    let half: Vec<Record> =
        lost(30 * S).into_iter().filter(|record| record.what != health("b", 0.0)).collect();
    assert_eq!(found("withdrawn", &history(half)), Vec::<String>::new());
    // The others are ill as well: all stay.
    let all = and(lost(30 * S), vec![rec(9 * S, "rig", health("c", 0.0))]);
    assert_eq!(found("withdrawn", &history(all)), Vec::<String>::new());
    let cut = vec![rec(9 * S, "rig", did("cut", "b-a1")), rec(26 * S, "rig", did("heal", "b-a1"))];
    none("withdrawn", and(lost(30 * S), cut));
    let mut kept = history(lost(30 * S));
    kept.header.addresses.get_mut("web").unwrap().keep_at_least = 2;
    assert_eq!(found("withdrawn", &kept), Vec::<String>::new());
}
