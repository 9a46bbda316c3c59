use super::*;
use crate::command::Command;

fn names(names: &[&str]) -> BTreeSet<Name> {
    names.iter().filter_map(|name| Name::new(name)).collect()
}

fn state() -> VersionState {
    let mut state = VersionState::default();
    let text = "one".to_owned();
    state
        .apply(&Command::Propose {
            epoch: 0,
            expected: None,
            text,
            proposed_by: "a".into(),
            proposed_at_unix_ms: 0,
        })
        .unwrap();
    state
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_phase_is_complete_when_all_have_it_or_their_leases_have_expired() {
    let (times, state) = (LeaseTimes::new(seconds(5)).unwrap(), state());
    let mut leases =
        LeaseManager::new(times, LeaseExpiryPolicy::Conservative, names(&["a", "b"]), seconds(100));
    assert_eq!(
        leases.pending_members(seconds(100), &state).len(),
        2,
        "an earlier leader may have granted leases"
    );
    let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
    assert!(leases.grant(seconds(101), &a, 1) && leases.grant(seconds(101), &b, 0));
    assert_eq!(
        leases.pending_members(seconds(105), &state).iter().map(|pending| &pending.name).collect::<Vec<_>>(),
        [&b]
    );
    assert!(leases.pending_members(seconds(106), &state).is_empty(), "its lease has expired");
    assert!(leases.grant(seconds(107), &b, 1));
    assert!(leases.pending_members(seconds(107), &state).is_empty());
    // A delayed request does not set the epoch back.
    leases.grant(seconds(107), &b, 0);
    assert!(leases.pending_members(seconds(107), &state).is_empty());
    assert!(!leases.grant(seconds(107), &Name::new("x").unwrap(), 1), "no member has this name");
}

#[test]
fn without_expiry_all_are_waited_for_until_forgotten() {
    let (times, mut state) = (LeaseTimes::new(seconds(5)).unwrap(), state());
    let mut leases = LeaseManager::new(times, LeaseExpiryPolicy::WaitForAll, names(&["a", "b"]), seconds(0));
    let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
    leases.grant(seconds(1), &a, 1);
    assert_eq!(leases.pending_members(seconds(10_000), &state).len(), 1);
    state.apply(&Command::Forget { name: "b".into() }).unwrap();
    assert!(leases.pending_members(seconds(10_000), &state).is_empty());
    // It returns in the previous phase, and is waited for from then on.
    state
        .apply(&Command::Propose {
            epoch: 1,
            expected: None,
            text: "two".into(),
            proposed_by: "a".into(),
            proposed_at_unix_ms: 0,
        })
        .unwrap();
    leases.grant(seconds(10_001), &a, 2);
    leases.grant(seconds(10_001), &b, 1);
    assert_eq!(leases.pending_members(seconds(10_002), &state).len(), 1);
}
