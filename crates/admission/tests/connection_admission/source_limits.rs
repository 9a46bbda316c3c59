//! The limits of addresses and prefixes.

use crate::{admitted, ip, ms};
use maplehook_admission::{
    AdmissionDecision, AdmissionPolicy, ConnectionAdmission, RejectionReason, ResponseDecision,
};
use std::time::Duration;

/// Guards memory: ten million addresses, each once, leave no more behind than the table holds.
#[test]
fn ten_million_addresses_leave_a_bounded_table() {
    let mut admission = ConnectionAdmission::new(
        AdmissionPolicy { rate: Some(10.0), ..AdmissionPolicy::default() },
        200,
        &[],
        7,
    );
    let (mut now, mut most) = (Duration::ZERO, 0);
    for n in 0..10_000_000_u32 {
        now += Duration::from_micros(20);
        let (_, evicted) = admitted(admission.admit(now, ip(n)));
        evicted.into_iter().for_each(|id| admission.on_close(id));
        if n % 4096 == 0 {
            most = most.max(admission.state_entries());
        }
    }
    assert!(most <= 2 * (4096 + 200 + 8) + 208, "{most}");
}

/// Guards the rate against forgetting: an address that has used its rate up and keeps connecting is still remembered
/// after ten times as many others as the table holds.
#[test]
fn an_address_that_keeps_connecting_is_not_forgotten() {
    let policy =
        AdmissionPolicy { rate: Some(0.1), burst: 2.0, remembered: 64, ..AdmissionPolicy::default() };
    let mut admission = ConnectionAdmission::new(policy, 20, &[], 7);
    let (mut admitted_count, now) = (0, Duration::ZERO);
    for n in 0..640 {
        if let AdmissionDecision::Admitted { id, .. } = admission.admit(now, ip(1)) {
            admitted_count += 1;
            admission.on_close(id);
        }
        let (id, evicted) = admitted(admission.admit(now, ip(100 + n)));
        admission.on_close(id);
        evicted.into_iter().for_each(|id| admission.on_close(id));
    }
    assert_eq!(admitted_count, 2);
}

/// Guards an address that many clients share: more of them than its limit are admitted beside a flood, and none that sends its
/// request at once is rejected.
#[test]
fn a_shared_address_is_limited_by_what_its_clients_do() {
    let policy = AdmissionPolicy { rate: Some(50.0), ..AdmissionPolicy::default() };
    let mut admission = ConnectionAdmission::new(policy, 800, &[], 7);
    let (mut now, mut clients, mut evicted_ids) = (Duration::ZERO, Vec::new(), Vec::new());
    let (mut refused, mut flood) = (0, Vec::new());
    for n in 0..500 {
        now += ms(1);
        for _ in 0..5 {
            match admission.admit(now, ip(2)) {
                AdmissionDecision::Rejected(rejection) => {
                    assert!(matches!(rejection.reason, RejectionReason::Rate | RejectionReason::Share));
                    refused += 1;
                }
                AdmissionDecision::Admitted { id, evicted } => {
                    flood.push(id);
                    evicted_ids.extend(evicted);
                }
            }
        }
        let (id, evicted) = admitted(admission.admit(now, ip(3)));
        evicted_ids.extend(evicted);
        admission.on_request(now, id, None, false);
        clients.push(id);
        if n % 2 == 0 {
            let ResponseDecision { evicted, .. } = admission.on_response(now, id);
            evicted_ids.extend(evicted);
        }
    }
    assert!(refused > 2000, "{refused}");
    assert!(flood.len() <= 64 + 25 + 200, "{}", flood.len());
    // Only idle connections beyond those that are kept alive may be evicted.
    let kept_idle = 200;
    let evicted_clients = clients.iter().filter(|id| evicted_ids.contains(id)).count();
    assert!(evicted_clients <= 250 - kept_idle, "{evicted_clients}");
    assert!(
        clients.iter().skip(1).step_by(2).all(|id| !evicted_ids.contains(id)),
        "one with a request in flight was evicted"
    );
}

/// Guards the others where one address opens more connections than it uses: it has its share of unproven ones, and from there on
/// its oldest is evicted for its newest; so with a prefix.
#[test]
fn an_address_has_no_more_unproven_connections_than_its_share() {
    let policy = AdmissionPolicy { prefix_times: Some(2.0), ..AdmissionPolicy::default() };
    let mut admission = ConnectionAdmission::new(policy, 100, &[], 7);
    let mut of_one = Vec::new();
    for n in 0..60 {
        let (id, evicted) = admitted(admission.admit(ms(n), ip(1)));
        assert_eq!(evicted, (n >= 25).then(|| of_one[n as usize - 25]), "{n}");
        evicted.into_iter().for_each(|id| admission.on_close(id));
        of_one.push(id);
    }
    assert_eq!(admission.open_connections(), 25);
    // Its prefix may have twice as many.
    for n in 0..60 {
        let (_, evicted) = admitted(admission.admit(ms(100), ip(2 + n)));
        assert_eq!(evicted.is_some(), n >= 25, "{n}");
        evicted.into_iter().for_each(|id| admission.on_close(id));
    }
    assert_eq!(admission.open_connections(), 50);
    // One that sends a request does not count any more, and another is admitted in its place.
    admission.on_request(ms(100), of_one[59], None, false);
    assert_eq!(admitted(admission.admit(ms(100), ip(0x10_0000))).1, None);
    assert_eq!(admission.open_connections(), 51);
}

/// Guards an operator's limit on connections, and the clients of a front proxy, to whom it does not apply.
#[test]
fn a_limit_on_connections_does_not_apply_to_a_front_proxy() {
    let policy = AdmissionPolicy {
        per_address: Some(3),
        rate: Some(0.1),
        fronts: vec!["127.0.0.1".parse().unwrap()],
        ..AdmissionPolicy::default()
    };
    let mut admission = ConnectionAdmission::new(policy, 100, &[], 7);
    for n in 0..50 {
        let (id, evicted) = admitted(admission.admit(ms(n), ip(1)));
        assert_eq!(evicted, None);
        admission.on_request(ms(n), id, None, false);
    }
    let proven: Vec<_> = (0..3).map(|_| admitted(admission.admit(ms(60), ip(2))).0).collect();
    proven.iter().for_each(|id| admission.on_request(ms(60), *id, None, false));
    assert!(
        matches!(admission.admit(ms(61), ip(2)), AdmissionDecision::Rejected(r) if r.reason == RejectionReason::Share)
    );
    admission.on_close(proven[0]);
    assert_eq!(admitted(admission.admit(ms(62), ip(2))).1, None);
}
