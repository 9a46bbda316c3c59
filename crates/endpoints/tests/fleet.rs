//! Properties of fleet membership for any order of updates: a status takes effect at once, holds end within
//! their limits, and correct sources lead to the correct fleet.

use maplehook_endpoints::{Bounds, Instance, InstanceStatus, MemberState, Membership, Origin};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const STATUSES: [InstanceStatus; 5] = [
    InstanceStatus::Up,
    InstanceStatus::Down,
    InstanceStatus::OutOfService,
    InstanceStatus::Starting,
    InstanceStatus::Unknown,
];

fn bounds() -> Bounds {
    Bounds {
        max_hold: 10 * SECOND,
        max_hold_answering: 30 * SECOND,
        max_replica_lag: 20 * SECOND,
        ..Bounds::default()
    }
}

fn key(n: usize) -> String {
    format!("desk-{n}")
}

fn instance(n: usize, status: InstanceStatus, version: u64) -> Instance {
    let address = Some(format!("127.0.0.1:{}", 9000 + n).parse().unwrap());
    Instance { address, version, ..Instance::new(key(n), status) }
}

fn origin(source: usize, replica: u32) -> Origin {
    Origin { source, replica }
}

fn available_keys(fleet: &Membership) -> Vec<String> {
    let members = fleet.members().into_iter();
    members.filter(|m| m.state == MemberState::Available).map(|m| m.instance.key).collect()
}

fn up_instances(n: usize) -> Vec<Instance> {
    (0..n).map(|k| instance(k, InstanceStatus::Up, 1)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    /// The source sends a list of the instances whose bits are set in the mask.
    List(u64),
    /// The instance changes to the status at this index of `STATUSES`.
    SetStatus(usize, usize),
    FailedQuery,
    Delete(usize),
    /// A connection to the instance succeeds or fails.
    Connect(usize, bool),
    /// The time advances by milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => any::<u64>().prop_map(Step::List),
        1 => Just(Step::List(u64::MAX)),
        1 => Just(Step::List(0)),
        4 => (0..12_usize, 0..STATUSES.len()).prop_map(|(n, status)| Step::SetStatus(n, status)),
        1 => Just(Step::FailedQuery),
        1 => (0..12_usize).prop_map(Step::Delete),
        2 => (0..12_usize, any::<bool>()).prop_map(|(n, answered)| Step::Connect(n, answered)),
        2 => (0..8_000_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    /// Guards against instances that stay available or drain wrongly after lists, losses, repeats and errors
    /// in any order.
    #[test]
    fn applies_statuses_at_once_ends_holds_and_follows_correct_sources(steps in prop::collection::vec(step(), 0..80)) {
        let mut fleet = Membership::new(bounds(), 1);
        let mut actual: BTreeMap<usize, (InstanceStatus, u64)> = (0..12).map(|n| (n, (InstanceStatus::Up, 1))).collect();
        let mut reported: BTreeMap<usize, InstanceStatus> = BTreeMap::new();
        let mut absent_since: BTreeMap<usize, Duration> = BTreeMap::new();
        let (mut now, mut version) = (SECOND, 1);
        for step in steps {
            match step {
                Step::List(mask) => {
                    let listed: Vec<_> =
                        actual.iter().filter(|(n, _)| mask & (1 << **n) != 0).map(|(n, (w, v))| instance(*n, *w, *v)).collect();
                    for n in 0..12 {
                        match actual.get(&n).filter(|_| mask & (1 << n) != 0) {
                            Some((status, _)) => {
                                reported.insert(n, *status);
                                absent_since.remove(&n);
                            }
                            None => drop(absent_since.entry(n).or_insert(now)),
                        }
                    }
                    fleet.apply_list(now, origin(0, 0), listed);
                }
                Step::SetStatus(n, status) => {
                    version += 1;
                    actual.insert(n, (STATUSES[status], version));
                    reported.insert(n, STATUSES[status]);
                    absent_since.remove(&n);
                    fleet.apply_changes(now, origin(0, 0), vec![instance(n, STATUSES[status], version)]);
                }
                Step::FailedQuery => fleet.advance(now),
                Step::Delete(n) => {
                    actual.remove(&n);
                    reported.remove(&n);
                    absent_since.remove(&n);
                    fleet.apply_deletions(now, origin(0, 0), &[(key(n), version)]);
                }
                Step::Connect(n, true) => fleet.record_answer(now, &key(n)),
                Step::Connect(n, false) => fleet.record_unreachable(now, &key(n)),
                Step::Advance(ms) => {
                    now += Duration::from_millis(ms);
                    fleet.advance(now);
                }
            }
            for member in fleet.members() {
                let n: usize = member.instance.key.strip_prefix("desk-").unwrap().parse().unwrap();
                if member.state == MemberState::Available {
                    prop_assert_eq!(reported.get(&n), Some(&InstanceStatus::Up), "instance {} is available without a reported status of up", n);
                }
                if let Some(hold) = member.hold {
                    prop_assert!(now <= hold.until && hold.until <= hold.since + bounds().max_hold_answering);
                    prop_assert!(absent_since.contains_key(&n));
                }
            }
            // An instance that the last list contains as up is available.
            for (n, status) in &reported {
                if *status == InstanceStatus::Up && !absent_since.contains_key(n) {
                    prop_assert_eq!(fleet.state(&key(*n)), MemberState::Available, "instance {} was listed as up", n);
                }
            }
            prop_assert!(fleet.next_deadline().is_none_or(|at| at <= now + bounds().max_hold_answering));
        }
        // The source sends correct lists again.
        let list = |actual: &BTreeMap<usize, (InstanceStatus, u64)>| -> Vec<_> {
            actual.iter().map(|(n, (w, v))| instance(*n, *w, *v)).collect()
        };
        for _ in 0..bounds().confirming_lists + 1 {
            now += SECOND;
            fleet.apply_list(now, origin(0, 0), list(&actual));
        }
        now += bounds().max_hold_answering;
        fleet.apply_list(now, origin(0, 0), list(&actual));
        let up: Vec<String> = actual.iter().filter(|(_, (w, _))| w.is_up()).map(|(n, _)| key(*n)).collect();
        let mut up = up;
        up.sort_unstable();
        prop_assert_eq!(available_keys(&fleet), up);
        prop_assert_eq!(fleet.len(), actual.len());
    }
}

/// Guards against a registry fault that empties the fleet: an empty or halved list is held, a small loss is
/// not.
#[test]
fn holds_a_sudden_large_loss_but_not_a_small_one() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(10));
    fleet.apply_list(2 * SECOND, origin(0, 0), up_instances(8));
    assert_eq!(available_keys(&fleet).len(), 8, "two of ten missing instances should get no new requests");
    assert_eq!(fleet.state("desk-9"), MemberState::Draining);
    fleet.apply_list(3 * SECOND, origin(0, 0), up_instances(10));
    assert_eq!(available_keys(&fleet).len(), 10);
    for list in [Vec::new(), up_instances(4)] {
        for second in 4..10 {
            fleet.apply_list(second * SECOND, origin(0, 0), list.clone());
            assert_eq!(
                available_keys(&fleet).len(),
                10,
                "all instances should be available after a list of {}",
                list.len()
            );
        }
        fleet.apply_list(10 * SECOND, origin(0, 0), up_instances(10));
    }
    // The registry's list grows back one instance at a time.
    fleet.apply_list(11 * SECOND, origin(0, 0), Vec::new());
    for n in 1..=10 {
        fleet.apply_list((11 + n as u32) * SECOND, origin(0, 0), up_instances(n));
        assert_eq!(available_keys(&fleet).len(), 10, "all instances should be available after a list of {n}");
    }
}

/// Guards against leases that all expire at once: many deletions are held like any sudden loss, while few
/// deletions take effect at once.
#[test]
fn holds_many_deletions_at_once_but_not_a_few() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(10));
    fleet.apply_deletions(2 * SECOND, origin(0, 0), &[(key(0), 2), (key(1), 2)]);
    assert_eq!((available_keys(&fleet).len(), fleet.state("desk-0")), (8, MemberState::Removed));
    let deletions: Vec<_> = (2..10).map(|n| (key(n), 3)).collect();
    fleet.apply_deletions(3 * SECOND, origin(0, 0), &deletions);
    for second in 4..12 {
        fleet.confirm_unchanged(second * SECOND, origin(0, 0));
        assert_eq!(available_keys(&fleet).len(), 8, "the hold should last at {second} s");
    }
    fleet.confirm_unchanged(14 * SECOND, origin(0, 0));
    assert!(available_keys(&fleet).is_empty(), "the hold should have ended");
}

/// Guards against a fleet that never shrinks: a real loss takes effect when the hold ends, and sooner if
/// connections fail.
#[test]
fn applies_a_lasting_loss_after_the_hold_or_after_failed_connections() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(10));
    for second in 2..12 {
        fleet.apply_list(second * SECOND, origin(0, 0), up_instances(2));
        assert_eq!(available_keys(&fleet).len(), 10, "the hold should last at {second} s");
    }
    fleet.apply_list(12 * SECOND, origin(0, 0), up_instances(2));
    assert_eq!(available_keys(&fleet).len(), 2);
    // Failed connections confirm the loss before the hold ends.
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(10));
    for second in 2..5 {
        fleet.apply_list(second * SECOND, origin(0, 0), up_instances(2));
        (2..10).for_each(|n| fleet.record_unreachable(second * SECOND, &key(n)));
    }
    fleet.advance(5 * SECOND);
    assert_eq!(available_keys(&fleet).len(), 2);
    // Answers on the sockets extend the hold up to its limit.
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(10));
    for second in 2..31 {
        fleet.apply_list(second * SECOND, origin(0, 0), Vec::new());
        (0..10).for_each(|n| fleet.record_answer(second * SECOND, &key(n)));
        assert_eq!(available_keys(&fleet).len(), 10, "the hold should last at {second} s");
    }
    fleet.apply_list(33 * SECOND, origin(0, 0), Vec::new());
    assert!(available_keys(&fleet).is_empty());
}

/// Guards against a lagging replica that restores instances which were taken out or deleted. After the lag
/// limit, the replica's data is applied like any other.
#[test]
fn a_lagging_replica_restores_no_instance() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(10));
    fleet.apply_changes(2 * SECOND, origin(0, 0), vec![instance(3, InstanceStatus::OutOfService, 5)]);
    fleet.apply_deletions(2 * SECOND, origin(0, 0), &[(key(4), 6)]);
    fleet.apply_list(3 * SECOND, origin(0, 1), up_instances(10));
    assert_eq!(fleet.state("desk-3"), MemberState::Draining);
    assert_eq!(fleet.state("desk-4"), MemberState::Removed);
    fleet.apply_list(25 * SECOND, origin(0, 1), up_instances(10));
    assert_eq!(fleet.state("desk-3"), MemberState::Available, "a replica past the lag limit should decide");
    // Within one replica, the latest status counts even if its version is lower, as after a clock that was
    // set back.
    fleet.apply_changes(26 * SECOND, origin(0, 1), vec![instance(5, InstanceStatus::Down, 0)]);
    assert_eq!(fleet.state("desk-5"), MemberState::Draining);
    fleet.apply_changes(27 * SECOND, origin(0, 1), vec![instance(5, InstanceStatus::Up, 0)]);
    assert_eq!(fleet.state("desk-5"), MemberState::Available);
}

/// Guards against confusing instances: a moved or restarted instance keeps its key, and a successor takes its
/// address.
#[test]
fn distinguishes_moved_restarted_and_succeeding_instances() {
    let mut fleet = Membership::new(bounds(), 2);
    fleet.apply_list(SECOND, origin(0, 0), up_instances(3));
    let moved = Instance {
        address: Some("127.0.0.1:9100".parse().unwrap()),
        boot_ms: 7,
        ..instance(1, InstanceStatus::Up, 2)
    };
    fleet.apply_changes(2 * SECOND, origin(0, 0), vec![moved.clone()]);
    let member =
        |fleet: &Membership, key: &str| fleet.members().into_iter().find(|m| m.instance.key == key).unwrap();
    assert_eq!(member(&fleet, "desk-1").instance, moved);
    let successor = Instance { boot_ms: 9, ..instance(2, InstanceStatus::Up, 3) };
    let successor = Instance { key: "desk-2b".into(), ..successor };
    fleet.apply_changes(3 * SECOND, origin(0, 0), vec![successor]);
    assert_eq!(
        member(&fleet, "desk-2").state,
        MemberState::Draining,
        "the successor should have the address"
    );
    assert_eq!(member(&fleet, "desk-2b").state, MemberState::Available);
    // An instance without a usable address is a member, but not available.
    let without_address = Instance { address: None, ..instance(0, InstanceStatus::Up, 4) };
    fleet.apply_changes(4 * SECOND, origin(0, 0), vec![without_address]);
    assert_eq!(member(&fleet, "desk-0").state, MemberState::Draining);
}

/// Guards the precedence of sources and the limit on the number of records.
#[test]
fn first_fresh_source_decides_and_records_are_bounded() {
    let mut fleet = Membership::new(Bounds { max_instances: 5, ..bounds() }, 2);
    fleet.apply_list(
        SECOND,
        origin(1, 0),
        vec![instance(0, InstanceStatus::Up, 1), instance(1, InstanceStatus::Up, 1)],
    );
    fleet.apply_list(SECOND, origin(0, 0), vec![instance(0, InstanceStatus::OutOfService, 1)]);
    assert_eq!(
        (fleet.state("desk-0"), fleet.state("desk-1")),
        (MemberState::Draining, MemberState::Available)
    );
    assert_eq!(fleet.members()[1].source, 1);
    // The first source is no longer fresh, so the second decides until the first sends an update.
    fleet.apply_list(
        60 * SECOND,
        origin(1, 0),
        vec![instance(0, InstanceStatus::Up, 1), instance(1, InstanceStatus::Up, 1)],
    );
    assert_eq!(fleet.state("desk-0"), MemberState::Available);
    fleet.advance(61 * SECOND);
    assert_eq!(fleet.state("desk-0"), MemberState::Available);
    fleet.apply_list(62 * SECOND, origin(0, 0), vec![instance(0, InstanceStatus::OutOfService, 1)]);
    assert_eq!(fleet.state("desk-0"), MemberState::Draining);
    fleet.apply_list(63 * SECOND, origin(1, 0), up_instances(30));
    assert_eq!((fleet.len(), fleet.overflow() > 0), (5, true));
}
