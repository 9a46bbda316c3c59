use super::*;
use proptest::prelude::*;

const MIB: usize = 1024 * KIB;

/// Guards the sum: whatever the limits, connections and buffers together fit into what is divided.
#[test]
fn connections_and_buffers_never_exceed_the_limit() {
    proptest!(|(limit_mb in 32usize..4096, resting_mb in 4usize..16, clients in 1usize..20_000, upstreams in 1usize..20_000)| {
        let by_descriptors = ConnectionLimits { clients, upstreams };
        let budget = MemoryBudget::new(limit_mb * MIB, resting_mb * MIB, by_descriptors);
        let planned = (budget.connections.bytes() + budget.buffer_bytes) as f64 * ALLOCATOR_OVERHEAD;
        let left = (limit_mb * MIB) as f64 * 0.9 - (resting_mb * MIB) as f64;
        prop_assert!(planned <= left, "{budget:?}");
        prop_assert!(budget.connections.clients <= clients && budget.connections.upstreams <= upstreams);
        // Buffers keep their share, however many connections the descriptors permit.
        prop_assert!(budget.buffer_bytes as f64 >= planned / ALLOCATOR_OVERHEAD * 0.39);
    });
}

/// Guards deployments with enough memory: the descriptors alone limit their connections.
#[test]
fn ample_memory_does_not_limit_connections() {
    let by_descriptors = ConnectionLimits { clients: 550, upstreams: 450 };
    let budget = MemoryBudget::new(192 * MIB, 6 * MIB, by_descriptors);
    assert_eq!(budget.connections, by_descriptors);
    assert!(budget.buffer_bytes > 90 * MIB, "{budget:?}");
}

/// Guards a limit below what the process takes at rest: it still serves a few clients.
#[test]
fn too_low_a_limit_leaves_a_few_connections() {
    let budget = MemoryBudget::new(MIB, 6 * MIB, ConnectionLimits { clients: 100, upstreams: 100 });
    assert!(budget.connections.clients >= 10 && budget.connections.upstreams >= 10, "{budget:?}");
    assert!(budget.buffer_bytes > 0);
}
