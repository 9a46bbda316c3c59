//! Plans, leases and an address that one site may announce: every order of a few faults, and each planted flaw.

use maplehook_simulator::places::explore::{Act, Bounds, Flaw, explore};

fn bounds(acts: u32, steps: u32, of: &[Act]) -> Bounds {
    Bounds { acts, steps, of: of.to_vec(), worlds: 60_000 }
}

/// Two acts of any kind, at any of five steps.
#[test]
fn no_order_of_two_faults_breaks_anything_and_all_comes_to_rest() {
    let seen = explore(None, &bounds(2, 5, &Act::all())).unwrap();
    assert!(seen.worlds > 3_000 && seen.ends > 1_000, "{seen:?}");
}

/// Those three that a hand-over to the wrong moment takes, at any of nine steps.
#[test]
fn no_order_of_an_operators_move_a_cut_and_an_election_breaks_anything() {
    let seen = explore(None, &bounds(3, 9, &[Act::Move, Act::Cut(0), Act::Elect])).unwrap();
    assert!(seen.worlds > 1_000, "{seen:?}");
}

#[test]
fn every_planted_flaw_is_found() {
    let few =
        [Act::Move, Act::Cut(0), Act::Cut(1), Act::Late(0), Act::LatePoll(0), Act::LateBody, Act::Elect];
    let searches =
        [bounds(1, 9, &Act::all()), bounds(2, 9, &few), bounds(3, 9, &[Act::Move, Act::Cut(0), Act::Elect])];
    let found = |flaw: Flaw| {
        let found = searches.iter().find_map(|search| explore(Some(flaw), search).err());
        println!("{flaw:?}: {found:?}");
        found.filter(|wrong| !wrong.contains("worlds"))
    };
    let missed: Vec<Flaw> = Flaw::ALL.into_iter().filter(|flaw| found(*flaw).is_none()).collect();
    assert!(missed.is_empty(), "not found: {missed:?}");
}
