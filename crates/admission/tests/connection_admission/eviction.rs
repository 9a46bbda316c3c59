//! Which connections are evicted, and in which order.

use crate::{admitted, ip, ms};
use maplehook_admission::{AdmissionPolicy, ConnectionAdmission, ConnectionId};
use std::time::Duration;

/// Guards the order in which connections are evicted when the capacity is used up.
#[test]
fn connections_are_evicted_in_order_of_their_loss() {
    let policy = AdmissionPolicy { unproven: 1.0, keep_alive: 1.0, ..AdmissionPolicy::default() };
    let mut admission = ConnectionAdmission::new(policy, 6, &[], 7);
    let connect = |admission: &mut ConnectionAdmission, at| admitted(admission.admit(ms(at), ip(1))).0;
    let old_idle = connect(&mut admission, 0);
    admission.on_request(ms(0), old_idle, None, false);
    admission.on_response(ms(0), old_idle);
    let held = connect(&mut admission, 1000);
    admission.on_request(ms(1000), held, None, false);
    let no_data = connect(&mut admission, 2000);
    let checked = connect(&mut admission, 2300);
    admission.on_health_check_response(ms(2300), checked);
    let young_idle = connect(&mut admission, 2400);
    admission.on_request(ms(2400), young_idle, None, false);
    admission.on_response(ms(2400), young_idle);
    let young = connect(&mut admission, 2450);
    let order: Vec<_> = std::iter::from_fn(|| admission.evict_one(ms(2460))).collect();
    assert_eq!(order, [no_data, checked, old_idle, young, young_idle]);
    assert_eq!(admission.open_connections(), 1);
}

/// Guards small tenants where one tenant's connections use the capacity: those close with their responses.
#[test]
fn connections_of_a_tenant_over_its_share_close() {
    let policy = AdmissionPolicy { keep_alive: 1.0, ..AdmissionPolicy::default() };
    let mut admission = ConnectionAdmission::new(policy, 40, &[1.0, 1.0, 1.0, 1.0], 7);
    let now = Duration::ZERO;
    let mut ask = |tenant| {
        let (id, _) = admitted(admission.admit(now, ip(1)));
        admission.on_request(now, id, Some(tenant), false);
        admission.on_response(now, id)
    };
    let closed = (0..38).filter(|_| ask(0).should_close).count();
    // Twice its quarter is 20; three quarters of the capacity are 30.
    assert_eq!(closed, 9);
    assert!(!ask(1).should_close);
}

/// Guards the capacity from clients that send one request and keep their connection: the longest idle is evicted.
#[test]
fn spare_idle_connections_are_evicted_oldest_first() {
    let mut admission = ConnectionAdmission::new(AdmissionPolicy::default(), 40, &[], 7);
    let (mut all, mut evicted_ids) = (Vec::new(), Vec::new());
    for n in 0..30 {
        let (id, _) = admitted(admission.admit(ms(n), ip(1)));
        admission.on_request(ms(n), id, None, false);
        all.push(id);
        evicted_ids.extend(admission.on_response(ms(n), id).evicted);
        evicted_ids.last().into_iter().for_each(|id| admission.on_close(*id));
    }
    assert_eq!(evicted_ids, all[..20]);
}

/// Guards clients that send slowly where a crowd connects, sends nothing or stops within a request: they are evicted last, and one
/// that has stopped does not count as sending.
#[test]
fn a_connection_that_is_sending_outlasts_a_crowd() {
    let mut admission =
        ConnectionAdmission::new(AdmissionPolicy { unproven: 1.0, ..AdmissionPolicy::default() }, 40, &[], 7);
    let mut now = Duration::ZERO;
    let sending: Vec<ConnectionId> = (0..10).map(|n| admitted(admission.admit(now, ip(n))).0).collect();
    let stopped: Vec<ConnectionId> = (0..10).map(|n| admitted(admission.admit(now, ip(50 + n))).0).collect();
    sending.iter().chain(&stopped).for_each(|id| admission.on_bytes(now, *id));
    now += ms(50);
    sending.iter().for_each(|id| admission.on_bytes(now, *id));
    let mut evicted_ids = Vec::new();
    for n in 0..2000_u32 {
        now += ms(2);
        if n % 50 == 0 {
            // A byte every tenth of a second.
            sending.iter().for_each(|id| admission.on_bytes(now, *id));
        }
        let (id, evicted) = admitted(admission.admit(now, ip(1000 + n)));
        if n % 3 == 0 {
            admission.on_bytes(now, id);
        }
        if let Some(id) = evicted {
            admission.on_close(id);
            evicted_ids.push(id);
        }
    }
    assert!(sending.iter().all(|id| !evicted_ids.contains(id)), "one that is sending was evicted");
    assert!(
        stopped.iter().all(|id| evicted_ids.contains(id)),
        "one that stopped within its request was kept"
    );
}
