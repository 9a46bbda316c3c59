//! The memory of a process: how many connections it may hold, and how many bytes are left for what their peers send.
//!
//! A connection has a fixed cost: its task, its smallest buffers and one short request. Anything longer (heads, bodies, bytes read
//! ahead of a request, documents) is reserved from the buffers byte by byte. The limit less what the process takes at rest is
//! divided among both, so that neither connections nor buffers can take all of it.

use crate::DescriptorClass;

/// Share of the limit that the process may take; the rest absorbs what no budget knows, such as the stacks of threads.
const USABLE_SHARE: f64 = 0.88;
/// Memory for threads beside the serving one: the operators' connections, with one thread's heap.
const OTHER_THREADS_BYTES: usize = 768 * KIB;
/// Bytes that the allocator takes for each byte that is asked of it: headers, rounding and gaps.
const ALLOCATOR_OVERHEAD: f64 = 1.15;
/// The least that is divided, so that a process under a limit that is too low still serves a few clients.
const MIN_SHAREABLE_BYTES: usize = 2 * 1024 * KIB;
/// Share of connections in the divisible memory, unless the descriptors permit fewer.
const MAX_CONNECTION_SHARE: f64 = 0.6;
/// Cost of a client connection with one short request in flight.
const CLIENT_BYTES: usize = 32 * KIB;
/// Cost of a connection to an upstream with one short request in flight.
const UPSTREAM_BYTES: usize = 22 * KIB;
const KIB: usize = 1024;

/// Numbers of connections, by class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
}

impl ConnectionLimits {
    /// No limit beside that of the descriptors.
    pub const NONE: Self = Self { clients: usize::MAX, upstreams: usize::MAX };

    /// The limit of a class.
    pub fn of(&self, class: DescriptorClass) -> usize {
        match class {
            DescriptorClass::Clients => self.clients,
            DescriptorClass::Upstreams => self.upstreams,
        }
    }

    fn bytes(&self) -> usize {
        self.clients
            .saturating_mul(CLIENT_BYTES)
            .saturating_add(self.upstreams.saturating_mul(UPSTREAM_BYTES))
    }
}

/// Division of the memory limit of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// The most connections.
    pub connections: ConnectionLimits,
    /// The most bytes that all buffers may hold together.
    pub buffer_bytes: usize,
}

impl MemoryBudget {
    /// Divides `limit_bytes`, of which the process takes `resting_bytes` before it serves. The descriptors permit
    /// `by_descriptors` connections.
    pub fn new(limit_bytes: usize, resting_bytes: usize, by_descriptors: ConnectionLimits) -> Self {
        let usable = (limit_bytes as f64 * USABLE_SHARE) as usize;
        let free = usable.saturating_sub(resting_bytes + OTHER_THREADS_BYTES);
        let shareable = ((free as f64 / ALLOCATOR_OVERHEAD) as usize).max(MIN_SHAREABLE_BYTES);
        let for_connections = shareable as f64 * MAX_CONNECTION_SHARE;
        let scale = (for_connections / by_descriptors.bytes().max(1) as f64).min(1.0);
        let scaled = |count: usize| ((count as f64 * scale) as usize).max(1);
        let connections = ConnectionLimits {
            clients: scaled(by_descriptors.clients),
            upstreams: scaled(by_descriptors.upstreams),
        };
        Self { connections, buffer_bytes: shareable.saturating_sub(connections.bytes()) }
    }
}

#[cfg(test)]
mod tests;
