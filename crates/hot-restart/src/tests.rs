use super::*;
use maplehook_core::fleet_size::MAX_LIST_ENTRIES;
use proptest::prelude::*;
use std::time::Duration;

fn sample() -> HotRestartSnapshot {
    let endpoint = |id, is_ready| SnapshotEndpoint {
        id,
        location: (1, 2, 3),
        weight: 1.0,
        endpoint: Some("127.0.0.1:9".parse().unwrap()),
        is_ready,
        boot_ms: 5,
        learned: LearnedEndpoint {
            in_slow_start_for: Some(3.0),
            ejected_for: 2.0,
            ejections: 1,
            latency_ratio_and_samples: (1.5, 4.0),
        },
    };
    HotRestartSnapshot {
        name: "n0".into(),
        started_ms: 10_000,
        written_ms: 50_000,
        zone_and_kind_names: (vec!["a".into()], vec!["m".into()]),
        rev: 41,
        upstreams: vec![endpoint(1, true), endpoint(2, false)],
        rates: (3.0, 40.0),
        classes: [("look".into(), [0.1, 0.1, 0.05, 0.2, 0.5])].into(),
        tenants: [("acme".into(), (2.0, 30.0))].into(),
    }
}

fn reader(now_ms: u64) -> SnapshotReader<'static> {
    SnapshotReader { name: "n0", started_ms: 49_000, now_ms }
}

/// Guards against a snapshot that is not the predecessor's, or too old.
#[test]
fn stale_or_foreign_snapshot_is_rejected() {
    let snapshot = sample();
    assert_eq!(snapshot.check_age(reader(51_000)), Ok(Duration::from_secs(1)));
    assert_eq!(snapshot.check_age(reader(49_500)), Ok(Duration::ZERO), "clocks may differ a little");
    assert_eq!(snapshot.check_age(reader(48_000)), Err(SnapshotError::FromFuture));
    assert_eq!(snapshot.check_age(reader(60_000)), Err(SnapshotError::Stale(Duration::from_secs(10))));
    assert_eq!(
        snapshot.check_age(SnapshotReader { name: "n1", ..reader(51_000) }),
        Err(SnapshotError::OtherBalancer)
    );
    assert_eq!(
        snapshot.check_age(SnapshotReader { started_ms: 10_000, ..reader(51_000) }),
        Err(SnapshotError::NotEarlier)
    );
    // The old process leaves the file to the new one, unless that has died.
    let old = |now_ms| SnapshotReader { name: "n0", started_ms: 9_000, now_ms };
    assert!(
        snapshot.is_by_successor(old(52_000))
            && !snapshot.is_by_successor(old(56_000))
            && !snapshot.is_by_successor(reader(52_000))
    );
}

/// Guards an upstream in slow start and an ejected one: their times go on while the snapshot is on its way, and names
/// decide whose figures are whose.
#[test]
fn times_age_and_names_decide() {
    let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let (classes, tenants) = (names(&["new", "look"]), names(&["acme", "walks"]));
    let inherited = sample().to_learned_state(Duration::from_secs(1), &classes, &tenants);
    assert_eq!(
        (inherited.upstreams[0].in_slow_start_for, inherited.upstreams[0].ejected_for),
        (Some(4.0), 1.0)
    );
    assert!(inherited.classes[0].is_none() && inherited.classes[1].unwrap().hedge_delay == 0.2);
    assert!(inherited.tenants[1].is_none() && inherited.tenants[0].unwrap().tokens == 2.0);
    let mut back = sample();
    back.set_learned_state(
        &sample().to_learned_state(Duration::ZERO, &classes, &tenants),
        &classes,
        &tenants,
    );
    assert_eq!(back, sample());
    let mut invalid = sample();
    invalid.upstreams[0].learned.ejected_for = -1.0;
    invalid.tenants.insert("acme".into(), (f64::MAX * 2.0, 1.0));
    let inherited = invalid.to_learned_state(Duration::ZERO, &classes, &tenants);
    assert!(inherited.upstreams.len() == 1 && inherited.tenants[0].is_none());
}

#[test]
fn snapshot_that_is_too_long_is_not_written() {
    let mut long = sample();
    long.name = "n".repeat(MAX_SNAPSHOT_BYTES);
    assert_eq!(long.encode(), None);
}

/// Guards hot restarts of large fleets (postmortem 81-lists-turned-down): the longest list that is read is handed over,
/// with the longest values.
#[test]
fn the_longest_list_is_handed_over() {
    let longest = SnapshotEndpoint {
        id: u64::MAX,
        location: (u8::MAX, u16::MAX, u16::MAX),
        weight: -1.0 / 3e-300,
        endpoint: Some("[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap()),
        is_ready: false,
        boot_ms: u64::MAX,
        learned: LearnedEndpoint {
            in_slow_start_for: Some(1.0 / 3e300),
            ejected_for: 1.0 / 3e300,
            ejections: u32::MAX,
            latency_ratio_and_samples: (1.0 / 3e300, 1.0 / 3e300),
        },
    };
    let snapshot = HotRestartSnapshot { upstreams: vec![longest; MAX_LIST_ENTRIES], ..sample() };
    let decoded = HotRestartSnapshot::decode(&snapshot.encode().expect("it fits")).unwrap();
    assert!(decoded.upstreams.len() == MAX_LIST_ENTRIES && decoded.upstreams[0].id == u64::MAX);
}

proptest! {
    /// Guards the start against any file: cut, changed in one place, or noise.
    #[test]
    fn only_a_complete_file_is_read(cut in 0_usize..2000, at in 0_usize..2000, with: u8, noise: Vec<u8>) {
        let text = sample().encode().unwrap();
        prop_assert_eq!(HotRestartSnapshot::decode(&text), Ok(sample()));
        let cut = cut.min(text.len() - 1);
        prop_assert!(HotRestartSnapshot::decode(&text[..cut]).is_err());
        let (mut corrupt, at) = (text.clone(), at.min(text.len() - 1));
        corrupt[at] = with;
        prop_assert!(HotRestartSnapshot::decode(&corrupt).is_ok_and(|s| s == sample()) || with != text[at]);
        if with != text[at] {
            // The case of a digit of the sum says the same.
            let same = text[at].eq_ignore_ascii_case(&with);
            prop_assert!(same || HotRestartSnapshot::decode(&corrupt).is_err());
        }
        prop_assert!(HotRestartSnapshot::decode(&noise).is_err());
    }
}
