//! Plans, leases and an address that one site may announce: every order of a few faults, and each planted flaw.

use maplehook_lab::places::explore::{Act, Bounds, Flaw, explore};

fn bounds(acts: u32, steps: u32, of: Vec<Act>) -> Bounds {
    Bounds { acts, steps, of, worlds: 400_000 }
}

/// Two acts of any kind, at any of seven steps.
#[test]
fn no_order_of_two_faults_breaks_anything_and_all_comes_to_rest() {
    let seen = explore(None, &bounds(2, 7, Act::all())).unwrap();
    assert!(seen.worlds > 5_000 && seen.ends > 2_000, "{seen:?}");
}

#[test]
fn every_planted_flaw_is_found() {
    let mut missed = Vec::new();
    for flaw in Flaw::ALL {
        let found = explore(Some(flaw), &bounds(2, 10, Act::all()));
        println!("{flaw:?}: {found:?}");
        if found.is_ok() { missed.push(flaw) }
    }    assert!(missed.is_empty(), "{missed:?}");
}
