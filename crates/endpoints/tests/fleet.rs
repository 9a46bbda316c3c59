//! What is promised of the fleet, whatever sources say and in whatever order: words act at once, losses are held
//! within their bounds, and once sources are sane the truth is followed.

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

fn desk(n: usize, status: InstanceStatus, version: u64) -> Instance {
    let address = Some(format!("127.0.0.1:{}", 9000 + n).parse().unwrap());
    Instance { address, version, ..Instance::new(key(n), status) }
}

fn from(source: usize, replica: u32) -> Origin {
    Origin { source, replica }
}

fn offered(fleet: &Membership) -> Vec<String> {
    let members = fleet.members().into_iter();
    members.filter(|m| m.state == MemberState::Available).map(|m| m.instance.key).collect()
}

fn many(n: usize) -> Vec<Instance> {
    (0..n).map(|k| desk(k, InstanceStatus::Up, 1)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    /// The list as it is, but for those that the mask leaves out.
    Lists(u64),
    /// One changes its state.
    SetStatus(usize, usize),
    Failed,
    Deleted(usize),
    Heard(usize, bool),
    Passes(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => any::<u64>().prop_map(Step::Lists),
        1 => Just(Step::Lists(u64::MAX)),
        1 => Just(Step::Lists(0)),
        4 => (0..12_usize, 0..STATUSES.len()).prop_map(|(n, status)| Step::SetStatus(n, status)),
        1 => Just(Step::Failed),
        1 => (0..12_usize).prop_map(Step::Deleted),
        2 => (0..12_usize, any::<bool>()).prop_map(|(n, answered)| Step::Heard(n, answered)),
        2 => (0..8_000_u64).prop_map(Step::Passes),
    ]
}

proptest! {
    /// Guards drains and the fleet, in any order of lists, losses, repeats and errors.
    #[test]
    fn words_act_holds_end_and_the_truth_is_followed(steps in prop::collection::vec(step(), 0..80)) {
        let mut fleet = Membership::new(bounds(), 1);
        let mut truth: BTreeMap<usize, (InstanceStatus, u64)> = (0..12).map(|n| (n, (InstanceStatus::Up, 1))).collect();
        let mut said: BTreeMap<usize, InstanceStatus> = BTreeMap::new();
        let mut absent: BTreeMap<usize, Duration> = BTreeMap::new();
        let (mut now, mut version) = (SECOND, 1);
        for step in steps {
            match step {
                Step::Lists(mask) => {
                    let listed: Vec<_> =
                        truth.iter().filter(|(n, _)| mask & (1 << **n) != 0).map(|(n, (w, v))| desk(*n, *w, *v)).collect();
                    for n in 0..12 {
                        match truth.get(&n).filter(|_| mask & (1 << n) != 0) {
                            Some((status, _)) => {
                                said.insert(n, *status);
                                absent.remove(&n);
                            }
                            None => drop(absent.entry(n).or_insert(now)),
                        }
                    }
                    fleet.apply_list(now, from(0, 0), listed);
                }
                Step::SetStatus(n, status) => {
                    version += 1;
                    truth.insert(n, (STATUSES[status], version));
                    said.insert(n, STATUSES[status]);
                    absent.remove(&n);
                    fleet.apply_changes(now, from(0, 0), vec![desk(n, STATUSES[status], version)]);
                }
                Step::Failed => fleet.advance(now),
                Step::Deleted(n) => {
                    truth.remove(&n);
                    said.remove(&n);
                    absent.remove(&n);
                    fleet.apply_deletions(now, from(0, 0), &[(key(n), version)]);
                }
                Step::Heard(n, true) => fleet.record_answer(now, &key(n)),
                Step::Heard(n, false) => fleet.record_unreachable(now, &key(n)),
                Step::Passes(ms) => {
                    now += Duration::from_millis(ms);
                    fleet.advance(now);
                }
            }
            for member in fleet.members() {
                let n: usize = member.instance.key.strip_prefix("desk-").unwrap().parse().unwrap();
                if member.state == MemberState::Available {
                    prop_assert_eq!(said.get(&n), Some(&InstanceStatus::Up), "{} is offered", n);
                }
                if let Some(hold) = member.hold {
                    prop_assert!(now <= hold.until && hold.until <= hold.since + bounds().max_hold_answering);
                    prop_assert!(absent.contains_key(&n));
                }
            }
            // Whoever was listed last, and as up, is on offer: no quarantine of those that are there.
            for (n, status) in &said {
                if *status == InstanceStatus::Up && !absent.contains_key(n) {
                    prop_assert_eq!(fleet.state(&key(*n)), MemberState::Available, "{} was listed", n);
                }
            }
            prop_assert!(fleet.next_deadline().is_none_or(|at| at <= now + bounds().max_hold_answering));
        }
        // Sources are sane again.
        let list = |truth: &BTreeMap<usize, (InstanceStatus, u64)>| -> Vec<_> {
            truth.iter().map(|(n, (w, v))| desk(*n, *w, *v)).collect()
        };
        for _ in 0..bounds().confirming_lists + 1 {
            now += SECOND;
            fleet.apply_list(now, from(0, 0), list(&truth));
        }
        now += bounds().max_hold_answering;
        fleet.apply_list(now, from(0, 0), list(&truth));
        let up: Vec<String> = truth.iter().filter(|(_, (w, _))| w.is_up()).map(|(n, _)| key(*n)).collect();
        let mut up = up;
        up.sort_unstable();
        prop_assert_eq!(offered(&fleet), up);
        prop_assert_eq!(fleet.len(), truth.len());
    }
}

/// Guards the fleet against a registry's fault: an empty list, or half of one, is held; a few that are missing are not.
#[test]
fn a_sudden_loss_is_held_and_a_small_one_is_not() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, from(0, 0), many(10));
    fleet.apply_list(2 * SECOND, from(0, 0), many(8));
    assert_eq!(offered(&fleet).len(), 8, "nothing new goes to two of ten that are missing");
    assert_eq!(fleet.state("desk-9"), MemberState::Draining);
    fleet.apply_list(3 * SECOND, from(0, 0), many(10));
    assert_eq!(offered(&fleet).len(), 10);
    for list in [Vec::new(), many(4)] {
        for second in 4..10 {
            fleet.apply_list(second * SECOND, from(0, 0), list.clone());
            assert_eq!(offered(&fleet).len(), 10, "{} listed", list.len());
        }
        fleet.apply_list(10 * SECOND, from(0, 0), many(10));
    }
    // It refills, a part at a time.
    fleet.apply_list(11 * SECOND, from(0, 0), Vec::new());
    for n in 1..=10 {
        fleet.apply_list((11 + n as u32) * SECOND, from(0, 0), many(n));
        assert_eq!(offered(&fleet).len(), 10, "{n} are back");
    }
}

/// Guards the fleet against leases that all end at once: that many deletions are held like any sudden loss, a few are
/// gone at once.
#[test]
fn leases_that_all_end_at_once_are_held() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, from(0, 0), many(10));
    fleet.apply_deletions(2 * SECOND, from(0, 0), &[(key(0), 2), (key(1), 2)]);
    assert_eq!((offered(&fleet).len(), fleet.state("desk-0")), (8, MemberState::Removed));
    let all: Vec<_> = (2..10).map(|n| (key(n), 3)).collect();
    fleet.apply_deletions(3 * SECOND, from(0, 0), &all);
    for second in 4..12 {
        fleet.confirm_unchanged(second * SECOND, from(0, 0));
        assert_eq!(offered(&fleet).len(), 8, "at {second} s");
    }
    fleet.confirm_unchanged(14 * SECOND, from(0, 0));
    assert!(offered(&fleet).is_empty(), "the max_hold has ended");
}

/// Guards a fleet that has truly shrunk: it is followed when the hold is over, or sooner where nobody is there.
#[test]
fn a_true_loss_is_followed() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, from(0, 0), many(10));
    for second in 2..12 {
        fleet.apply_list(second * SECOND, from(0, 0), many(2));
        assert_eq!(offered(&fleet).len(), 10, "at {second} s");
    }
    fleet.apply_list(12 * SECOND, from(0, 0), many(2));
    assert_eq!(offered(&fleet).len(), 2);
    // Sooner: the sockets say so too.
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, from(0, 0), many(10));
    for second in 2..5 {
        fleet.apply_list(second * SECOND, from(0, 0), many(2));
        (2..10).for_each(|n| fleet.record_unreachable(second * SECOND, &key(n)));
    }
    fleet.advance(5 * SECOND);
    assert_eq!(offered(&fleet).len(), 2);
    // Later, but not for ever: they answer.
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, from(0, 0), many(10));
    for second in 2..31 {
        fleet.apply_list(second * SECOND, from(0, 0), Vec::new());
        (0..10).for_each(|n| fleet.record_answer(second * SECOND, &key(n)));
        assert_eq!(offered(&fleet).len(), 10, "at {second} s");
    }
    fleet.apply_list(33 * SECOND, from(0, 0), Vec::new());
    assert!(offered(&fleet).is_empty());
}

/// Guards against a replica that lags: it puts nobody back who was taken off, and takes nobody off by an old word that
/// he is up; after the bound it is believed as any other.
#[test]
fn a_replica_that_lags_puts_nobody_back() {
    let mut fleet = Membership::new(bounds(), 1);
    fleet.apply_list(SECOND, from(0, 0), many(10));
    fleet.apply_changes(2 * SECOND, from(0, 0), vec![desk(3, InstanceStatus::OutOfService, 5)]);
    fleet.apply_deletions(2 * SECOND, from(0, 0), &[(key(4), 6)]);
    fleet.apply_list(3 * SECOND, from(0, 1), many(10));
    assert_eq!(fleet.state("desk-3"), MemberState::Draining);
    assert_eq!(fleet.state("desk-4"), MemberState::Removed);
    fleet.apply_list(25 * SECOND, from(0, 1), many(10));
    assert_eq!(fleet.state("desk-3"), MemberState::Available, "it lags no more: that is its status");
    // The same replica, its clock set back: its latest word counts.
    fleet.apply_changes(26 * SECOND, from(0, 1), vec![desk(5, InstanceStatus::Down, 0)]);
    assert_eq!(fleet.state("desk-5"), MemberState::Draining);
    fleet.apply_changes(27 * SECOND, from(0, 1), vec![desk(5, InstanceStatus::Up, 0)]);
    assert_eq!(fleet.state("desk-5"), MemberState::Available);
}

/// Guards identities: a move, a restart and a successor at the same address are told apart.
#[test]
fn moves_restarts_and_successors_are_told_apart() {
    let mut fleet = Membership::new(bounds(), 2);
    fleet.apply_list(SECOND, from(0, 0), many(3));
    let moved = Instance {
        address: Some("127.0.0.1:9100".parse().unwrap()),
        boot_ms: 7,
        ..desk(1, InstanceStatus::Up, 2)
    };
    fleet.apply_changes(2 * SECOND, from(0, 0), vec![moved.clone()]);
    let member =
        |fleet: &Membership, key: &str| fleet.members().into_iter().find(|m| m.instance.key == key).unwrap();
    assert_eq!(member(&fleet, "desk-1").instance, moved);
    let successor = Instance { boot_ms: 9, ..desk(2, InstanceStatus::Up, 3) };
    let successor = Instance { key: "desk-2b".into(), ..successor };
    fleet.apply_changes(3 * SECOND, from(0, 0), vec![successor]);
    assert_eq!(member(&fleet, "desk-2").state, MemberState::Draining, "its process is no more");
    assert_eq!(member(&fleet, "desk-2b").state, MemberState::Available);
    // One without a usable address is known, and not offered.
    let nowhere = Instance { address: None, ..desk(0, InstanceStatus::Up, 4) };
    fleet.apply_changes(4 * SECOND, from(0, 0), vec![nowhere]);
    assert_eq!(member(&fleet, "desk-0").state, MemberState::Draining);
}

/// Guards the precedence of sources, and memory.
#[test]
fn the_first_fresh_source_decides() {
    let mut fleet = Membership::new(Bounds { max_instances: 5, ..bounds() }, 2);
    fleet.apply_list(
        SECOND,
        from(1, 0),
        vec![desk(0, InstanceStatus::Up, 1), desk(1, InstanceStatus::Up, 1)],
    );
    fleet.apply_list(SECOND, from(0, 0), vec![desk(0, InstanceStatus::OutOfService, 1)]);
    assert_eq!(
        (fleet.state("desk-0"), fleet.state("desk-1")),
        (MemberState::Draining, MemberState::Available)
    );
    assert_eq!(fleet.members()[1].source, 1);
    // The first has not been heard for long: the second is, and its word counts until the first is back.
    fleet.apply_list(
        60 * SECOND,
        from(1, 0),
        vec![desk(0, InstanceStatus::Up, 1), desk(1, InstanceStatus::Up, 1)],
    );
    assert_eq!(fleet.state("desk-0"), MemberState::Available);
    fleet.advance(61 * SECOND);
    assert_eq!(fleet.state("desk-0"), MemberState::Available);
    fleet.apply_list(62 * SECOND, from(0, 0), vec![desk(0, InstanceStatus::OutOfService, 1)]);
    assert_eq!(fleet.state("desk-0"), MemberState::Draining);
    fleet.apply_list(63 * SECOND, from(1, 0), many(30));
    assert_eq!((fleet.len(), fleet.overflow() > 0), (5, true));
}
