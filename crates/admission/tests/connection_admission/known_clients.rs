//! Known clients and their reserve.

use crate::{admitted, ip, known_network};
use maplehook_admission::{
    AdmissionDecision, ConnectionAdmission, ConnectionId, RejectionReason, ResponseDecision,
};
use std::time::Duration;

/// Guards known clients where ten thousand addresses connect once each and send nothing.
#[test]
fn a_flood_from_many_addresses_leaves_proven_and_known_connections() {
    let mut admission = ConnectionAdmission::new(known_network("127.9.0.0/16"), 100, &[], 7);
    let now = Duration::ZERO;
    let proven: Vec<ConnectionId> = (0..20)
        .map(|n| {
            let (id, _) = admitted(admission.admit(now, ip(1 + n)));
            admission.on_request(now, id, None, false);
            assert_eq!(admission.on_response(now, id), ResponseDecision::default());
            id
        })
        .collect();
    let (mut evicted_ids, mut known) = (Vec::new(), Vec::new());
    for n in 0..10_000_u32 {
        let now = Duration::from_micros(u64::from(n) * 100);
        let (_, evicted) = admitted(admission.admit(now, ip(0x10_0000 + n)));
        evicted_ids.extend(evicted);
        evicted.into_iter().for_each(|id| admission.on_close(id));
        if n % 500 == 0 {
            let (id, evicted) = admitted(admission.admit(now, ip(0x9_0000 + n)));
            assert_eq!(evicted, None, "there is a reserve");
            admission.on_request(now, id, None, false);
            known.push(id);
        }
    }
    assert!(proven.iter().chain(&known).all(|id| !evicted_ids.contains(id)));
    assert_eq!(admission.open_connections(), 75 + known.len());
}

/// Guards the reserve from one known client: beyond its share it counts as unknown, and the other known ones are admitted. All
/// connect at once, as after a restart.
#[test]
fn a_known_client_that_floods_uses_its_share_of_the_reserve() {
    let mut admission = ConnectionAdmission::new(known_network("127.9.0.0/16"), 100, &[], 7);
    let now = Duration::ZERO;
    // 25 are reserved, half of them for one address at the most.
    let flood: Vec<AdmissionDecision> = (0..500).map(|_| admission.admit(now, ip(0x9_0001))).collect();
    assert!(flood.iter().any(|a| matches!(a, AdmissionDecision::Admitted { evicted: Some(_), .. })));
    for n in 0..12 {
        let (id, evicted) = admitted(admission.admit(now, ip(0x9_0100 + n)));
        assert_eq!(evicted, None, "{n}");
        admission.on_request(now, id, None, false);
    }
    // One whose request shows that it is known moves into the reserve, and its unreserved place is free again.
    let mut admission = ConnectionAdmission::new(known_network("127.9.0.0/16"), 8, &[1.0], 7);
    let ids: Vec<ConnectionId> = (0..6).map(|n| admitted(admission.admit(now, ip(n))).0).collect();
    ids.iter().for_each(|id| admission.on_request(now, *id, None, false));
    assert!(
        matches!(admission.admit(now, ip(9)), AdmissionDecision::Rejected(r) if r.reason == RejectionReason::Full)
    );
    admission.on_request(now, ids[0], Some(0), true);
    let (id, evicted) = admitted(admission.admit(now, ip(9)));
    assert_eq!(evicted, None);
    admission.on_request(now, id, None, false);
    assert!(
        matches!(admission.admit(now, ip(10)), AdmissionDecision::Rejected(r) if r.reason == RejectionReason::Full)
    );
    // The last place is the reserve's.
    assert_eq!(admitted(admission.admit(now, ip(0x9_0001))).1, None);
}
