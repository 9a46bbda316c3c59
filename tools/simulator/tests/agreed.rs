//! How balancers agree on versions: every order of events, and each planted flaw.

use maplehook_simulator::agreed::{Agreement, Bounds, Flaw};

/// One change, its undoing, one election, clocks that go wrong: every order of it.
#[test]
fn no_order_of_events_brings_a_contradiction() {
    let bounds = Bounds { changes: 1, elections: 1, time: 3, asks: 1 };
    let (states, found) = Agreement { bounds, flaw: None }.explore();
    assert_eq!(found, None);
    assert!(states > 10_000, "{states}");
}

#[test]
fn every_planted_flaw_is_found() {
    for flaw in Flaw::ALL {
        let bounds = Bounds { changes: 1, elections: 1, time: 3, asks: 1 };
        let (states, found) = Agreement { bounds, flaw: Some(flaw) }.explore();
        assert!(found.is_some(), "{flaw:?} is not found in {states} states");
    }
}

/// Storms over more than three, with ways that lose and delay, elections, stops and kills.
#[test]
fn storms_bring_no_contradiction_and_changes_come_through() {
    use maplehook_simulator::agreed::storm;
    for (members, storms) in [(3, 40), (16, 15)] {
        for seed in 0..storms {
            let played = storm::play(members, seed, false);
            assert_eq!(played.contradiction, std::time::Duration::ZERO, "{members} members, seed {seed}");
            assert!(!played.took.is_empty(), "{members} members, seed {seed}: no change came through");
        }
    }
}
