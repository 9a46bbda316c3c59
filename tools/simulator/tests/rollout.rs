//! Changes in stages, in small: what the laboratory's command plays by the thousand.

use maplehook_simulator::rollout::table::{Row, bounds, row};
use maplehook_simulator::rollout::{Case, End, Harm, Way, play};

fn played(balancers: usize, harm: Harm, way: Way, faults: bool, seeds: u64) -> Row {
    row(&Case { balancers, harm, way, faults, seed: 1 }, seeds).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let case = Case { balancers: 3, harm: Harm::Fails(0.05), way: Way::Judged, faults: true, seed: 7 };
    assert_eq!(play(&case).unwrap(), play(&case).unwrap());
}

/// Of sixteen: where there are three, each in a zone of its own, a zone's weather is taken for the change's doing more often than is
/// stated (`docs/design/rollout.md`).
#[test]
fn good_changes_go_through() {
    let row = played(16, Harm::None, Way::Judged, true, 2);
    assert!(row.outcomes.iter().all(|outcome| outcome.end == End::Done), "{:?}", row.reasons());
}

#[test]
fn large_harm_is_stopped_soon_and_goes_back() {
    for harm in [Harm::Fails(0.1), Harm::Slower(100.0), Harm::Crashes, Harm::Tenant(0.5)] {
        let row = played(16, harm, Way::Judged, false, 2);
        assert_eq!(row.stopped(), 2, "{harm}: {:?}", row.reasons());
        for outcome in &row.outcomes {
            assert!(outcome.stop.unwrap() <= 180 && outcome.undo.unwrap() <= 30, "{harm}: {outcome:?}");
        }
    }
}

/// What thresholds on a difference of one point do not see.
#[test]
fn one_tenant_alone_is_seen_by_the_judge_and_not_by_thresholds() {
    assert_eq!(played(16, Harm::Tenant(0.1), Way::Fixed, false, 2).stopped(), 0);
    assert_eq!(played(16, Harm::Tenant(0.1), Way::Judged, false, 2).stopped(), 2);
}

/// All at once does harm to everybody until it is seen.
#[test]
fn stages_confine_harm() {
    let harmed = |way| played(16, Harm::Fails(0.05), way, false, 2).harmed();
    let (judged, at_once) = (harmed(Way::Judged), harmed(Way::AtOnce));
    assert!(judged < at_once / 2.0, "{judged} {at_once}");
}

#[test]
fn bounds_of_a_share_are_exact() {
    let (low, high) = bounds(0, 1000);
    assert!(low == 0.0 && (high - 0.003_68).abs() < 1e-5, "{high}");
    let (low, high) = bounds(5, 10);
    assert!((low - 0.187_1).abs() < 1e-4 && (high - 0.812_9).abs() < 1e-4, "{low} {high}");
}
