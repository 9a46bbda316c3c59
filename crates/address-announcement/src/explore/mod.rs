//! Explores all short histories of two sites and one address of kind `One`.

mod world;

use std::collections::BTreeMap;

use world::{Action, Bug, World};

/// Actions that affect the holder, the leader and the log.
const HOLDER_ACTIONS: [Action; 7] = [
    Action::ToggleStop(0),
    Action::ToggleCut(0),
    Action::ToggleReplyDelay(0),
    Action::TogglePollDelay(0),
    Action::ToggleCommitDelay,
    Action::KillLeader,
    Action::Move,
];
/// Actions that affect both sites.
const SITE_ACTIONS: [Action; 6] = [
    Action::ToggleStop(0),
    Action::ToggleCut(0),
    Action::ToggleStop(1),
    Action::ToggleCut(1),
    Action::KillLeader,
    Action::Move,
];
/// Actions that affect the log.
const LOG_ACTIONS: [Action; 4] =
    [Action::ToggleCommitDelay, Action::KillLeader, Action::Move, Action::Withdraw];
/// Number of steps after the end of all faults within which a site must announce the address. Covers silence,
/// dwell time, the longest lease and the longest answer that a router may still use.
const RECOVERY_STEPS: u32 = 16;

/// Size of an exploration.
#[derive(Debug, Default)]
struct Explored {
    worlds: usize,
    steps: usize,
}

/// World, number of remaining actions, and the actions that led to it, each with its step.
type Node = (World, u32, Vec<(u32, Action)>);

/// Explores all histories with the given number of actions and of any length. A world whose fingerprint was
/// seen before with at least as many remaining actions is not expanded again.
fn explore(bug: Bug, max_actions: u32, actions: &[Action]) -> Result<Explored, String> {
    let mut steps = 0;
    let mut seen: BTreeMap<Vec<u64>, u32> = BTreeMap::new();
    let mut recovery_starts: Vec<Node> = Vec::new();
    let mut layer: Vec<Node> = vec![(World::new(bug), max_actions, Vec::new())];
    while !layer.is_empty() {
        let mut next: Vec<Node> = Vec::new();
        for (world, remaining, history) in layer {
            let next_actions = actions.iter().copied().map(Some).filter(|_| remaining > 0);
            for action in std::iter::once(None).chain(next_actions) {
                let mut world = world.clone();
                let step = world.step_number;
                let outcome = world.step(action);
                steps += 1;
                let remaining = remaining - u32::from(action.is_some());
                let fingerprint = world.fingerprint();
                let is_known = seen.get(&fingerprint).is_some_and(|before| *before >= remaining);
                if outcome.is_ok() && is_known {
                    continue;
                }
                let history: Vec<_> =
                    history.iter().copied().chain(action.map(|action| (step, action))).collect();
                outcome.map_err(|violation| format!("{history:?}: {violation}"))?;
                if seen.insert(fingerprint, remaining).is_none() {
                    recovery_starts.push((world.clone(), 0, history.clone()));
                }
                next.push((world, remaining, history));
            }
        }
        layer = next;
    }
    let worlds = seen.len();
    assert_recovery(recovery_starts)?;
    Ok(Explored { worlds, steps })
}

/// Ends all faults in each world and checks that a site soon announces the address and keeps announcing it.
fn assert_recovery(mut worlds: Vec<Node>) -> Result<(), String> {
    worlds.iter_mut().for_each(|(world, _, _)| world.end_faults());
    for step in 0..RECOVERY_STEPS + 2 {
        let mut next: BTreeMap<Vec<u64>, Node> = BTreeMap::new();
        for (mut world, _, history) in worlds {
            world.step(None).map_err(|violation| format!("{history:?}, after the faults: {violation}"))?;
            if step >= RECOVERY_STEPS && !world.is_announced() {
                return Err(format!(
                    "{history:?}, after the faults: no site announces the address: {world:#?}"
                ));
            }
            next.entry(world.fingerprint()).or_insert((world, 0, history));
        }
        worlds = next.into_values().collect();
    }
    Ok(())
}

#[track_caller]
fn assert_no_violation(max_actions: u32, actions: &[Action], min_worlds: usize) {
    let seen = explore(Bug::NotInjected, max_actions, actions).unwrap();
    assert!(
        seen.worlds >= min_worlds && seen.steps > seen.worlds,
        "exploration was smaller than expected: {seen:?}"
    );
}

#[test]
fn faults_of_holder_and_leader_never_give_two_announcers_and_recover() {
    assert_no_violation(3, &HOLDER_ACTIONS, 5_000);
}

#[test]
fn faults_of_both_sites_never_give_two_announcers_and_recover() {
    assert_no_violation(3, &SITE_ACTIONS, 7_000);
}

#[test]
fn delayed_commits_and_new_leaders_never_give_two_announcers_and_recover() {
    assert_no_violation(5, &LOG_ACTIONS, 600);
}

#[track_caller]
fn assert_violation_found(bug: Bug, max_actions: u32, actions: &[Action]) {
    let violation = explore(bug, max_actions, actions).expect_err("the injected bug must be detected");
    assert!(violation.contains("both sites announce"), "{violation}");
}

#[test]
fn detects_a_leader_that_does_not_wait_in_a_handover() {
    assert_violation_found(Bug::NoHandoverWait, 1, &HOLDER_ACTIONS);
}

#[test]
fn detects_a_lease_counted_from_its_reply() {
    assert_violation_found(
        Bug::LeaseFromReply,
        3,
        &[Action::ToggleReplyDelay(0), Action::ToggleCut(0), Action::Move],
    );
}

#[test]
fn detects_an_answer_that_outlasts_the_lease() {
    assert_violation_found(Bug::AnswerPastLease, 1, &HOLDER_ACTIONS);
}

#[test]
fn detects_a_new_leader_that_ignores_existing_leases() {
    assert_violation_found(Bug::IgnoresLeases, 3, &[Action::KillLeader, Action::ToggleCut(0), Action::Move]);
}

#[test]
fn detects_a_router_that_counts_validity_from_the_arrival() {
    assert_violation_found(Bug::ValidityFromArrival, 2, &HOLDER_ACTIONS);
}

#[test]
fn detects_a_late_state_that_is_applied() {
    assert_violation_found(Bug::AppliesAnyState, 4, &LOG_ACTIONS);
}

#[test]
fn detects_an_answer_cached_while_the_process_is_stopped() {
    assert_violation_found(Bug::CachedAnswer, 1, &HOLDER_ACTIONS);
}
