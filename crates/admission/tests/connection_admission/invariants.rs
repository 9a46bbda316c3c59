//! What no order of events may break.

use crate::{ip, ms};
use maplehook_admission::{
    AdmissionDecision, AdmissionPolicy, ConnectionAdmission, ConnectionId, ResponseDecision,
};
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Open,
    InFlight,
    Evicted,
}

#[derive(Clone, Debug)]
enum Step {
    Connect(u32),
    Bytes(usize),
    Request(usize, u32, bool),
    Response(usize),
    HealthCheckResponse(usize),
    Close(usize),
    EvictOne,
    SetCapacity(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let n = any::<usize>();
    prop_oneof![
        6 => (0_u32..40).prop_map(Step::Connect),
        2 => n.prop_map(Step::Bytes),
        4 => (n, 0_u32..4, any::<bool>()).prop_map(|(n, t, v)| Step::Request(n, t, v)),
        3 => n.prop_map(Step::Response),
        1 => n.prop_map(Step::HealthCheckResponse),
        3 => n.prop_map(Step::Close),
        1 => Just(Step::EvictOne),
        1 => (1_usize..40).prop_map(Step::SetCapacity),
        2 => (0_u64..3000).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1500))]

    /// Guards what no order of events may break: a connection with a request in flight is never evicted, none is evicted twice,
    /// the capacity is never exceeded, the reserve is kept, and the count of open connections is right.
    #[test]
    fn no_order_of_events_breaks_the_rules(
        capacity in 1_usize..30,
        reserve in 0.0_f64..0.9,
        known_most in 0.01_f64..1.0,
        unproven in 0.01_f64..1.0,
        per_address in prop::option::of(1_u32..9),
        rate in prop::option::of(0.1_f64..50.0),
        prefix_times in prop::option::of(1.0_f64..4.0),
        keep_alive in 0.0_f64..1.0,
        steps in prop::collection::vec(step(), 0..300),
    ) {
        let policy = AdmissionPolicy {
            reserve, known_most, unproven, per_address, rate, prefix_times, keep_alive, burst: 3.0,
            known: vec!["127.0.0.0/29".parse().unwrap()], fronts: vec!["127.0.0.32/29".parse().unwrap()],
            prefix_v4: 28, remembered: 16, ..AdmissionPolicy::default()
        };
        let mut admission = ConnectionAdmission::new(policy, capacity, &[1.0, 2.0, 0.0], 7);
        let mut phases: HashMap<ConnectionId, Phase> = HashMap::new();
        let mut order: Vec<ConnectionId> = Vec::new();
        let (mut capacity, mut max_capacity, mut now) = (capacity, capacity, Duration::ZERO);
        let mut authenticated_ids = HashSet::new();
        for step in steps {
            let pick = |n: usize| order.get(n % order.len().max(1)).copied();
            let mut evicted_id = None;
            match step {
                Step::Wait(more) => now += ms(more),
                Step::SetCapacity(n) => {
                    (capacity, max_capacity) = (n, max_capacity.max(n));
                    admission.set_capacity(n);
                    while let Some(id) = admission.evict_excess(now) {
                        prop_assert_eq!(phases.insert(id, Phase::Evicted), Some(Phase::Open));
                    }
                }
                Step::EvictOne => evicted_id = admission.evict_one(now),
                Step::Connect(n) => {
                    let before = admission.open_connections();
                    match admission.admit(now, ip(n)) {
                        AdmissionDecision::Admitted { id, evicted } => {
                            prop_assert!(phases.insert(id, Phase::Open).is_none(), "an id given twice");
                            if n < 8 { authenticated_ids.insert(id); }
                            order.push(id);
                            evicted_id = evicted;
                        }
                        AdmissionDecision::Rejected(rejection) => {
                            prop_assert!(rejection.retry_after >= ms(500) && rejection.retry_after <= ms(1500));
                            prop_assert_eq!(before, admission.open_connections());
                        }
                    }
                }
                Step::Bytes(n) => pick(n).into_iter().for_each(|id| admission.on_bytes(now, id)),
                Step::Request(n, tenant, is_authenticated) => if let Some(id) = pick(n) {
                    admission.on_request(now, id, Some(tenant), is_authenticated);
                    if is_authenticated { authenticated_ids.insert(id); }
                    if let Some(phase) = phases.get_mut(&id).filter(|phase| **phase == Phase::Open) {
                        *phase = Phase::InFlight;
                    }
                },
                Step::Response(n) => if let Some(id) = pick(n) {
                    let ResponseDecision { should_close, evicted } = admission.on_response(now, id);
                    if let Some(phase) = phases.get_mut(&id).filter(|phase| **phase == Phase::InFlight) {
                        *phase = Phase::Open;
                    }
                    if should_close {
                        admission.on_close(id);
                        phases.remove(&id);
                        order.retain(|other| *other != id);
                    }
                    evicted_id = evicted.filter(|other| !should_close || *other != id);
                },
                Step::HealthCheckResponse(n) => if let Some(id) = pick(n) {
                    let ResponseDecision { should_close, evicted } = admission.on_health_check_response(now, id);
                    prop_assert_eq!(evicted, None);
                    if let Some(phase) = phases.get_mut(&id).filter(|phase| **phase == Phase::InFlight) {
                        *phase = Phase::Open;
                    }
                    if should_close {
                        admission.on_close(id);
                        phases.remove(&id);
                        order.retain(|other| *other != id);
                    }
                },
                Step::Close(n) => if let Some(id) = pick(n) {
                    admission.on_close(id);
                    admission.on_close(id);
                    phases.remove(&id);
                    order.retain(|other| *other != id);
                },
            }
            if let Some(id) = evicted_id {
                prop_assert_eq!(phases.insert(id, Phase::Evicted), Some(Phase::Open), "not one that may be evicted");
            }
            let open = || phases.iter().filter(|(_, phase)| **phase != Phase::Evicted);
            prop_assert_eq!(admission.open_connections(), open().count());
            let in_flight = open().filter(|(_, phase)| **phase == Phase::InFlight).count();
            prop_assert!(admission.open_connections() <= capacity.max(in_flight), "{} of {capacity}", admission.open_connections());
            // Only known clients use the reserve, unless the capacity was larger when they were admitted.
            let unknown = open().filter(|(id, _)| !authenticated_ids.contains(id)).count();
            let reserved = (capacity as f64 * reserve) as usize;
            prop_assert!(capacity < max_capacity || unknown + reserved <= capacity, "{unknown} + {reserved} of {capacity}");
            prop_assert!(admission.state_entries() <= order.len().max(max_capacity) + 8 + 2 * (16 + max_capacity + 8) + phases.len());
        }
    }
}
