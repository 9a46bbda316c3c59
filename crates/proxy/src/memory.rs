//! Memory of this process: the limit that the platform sets, and what the process takes of it.

use maplehook::metrics::Metrics;
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::descriptors::Descriptors;
use maplehook_admission::{ConnectionLimits, DescriptorClass, MemoryBudget};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval for reading what the process takes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Growth of the memory taken after which it is logged again.
const LOGGED_GROWTH_BYTES: usize = 4 * 1024 * 1024;
/// Released buffers after which the allocator is asked to return memory.
const RETURNED_BYTES: usize = 4 * 1024 * 1024;
/// Share of the divided memory for the endpoint list: its parsed entries, the ones in force, and the snapshot for the
/// next process.
const LIST_MEMORY_DIVISOR: usize = 4;

/// Limit for what peers can make this process keep.
#[derive(Clone, Copy, Debug)]
pub enum MemoryLimit {
    /// Limit of the whole process, in bytes.
    Process(usize),
    /// Limit of buffers alone, in bytes; descriptors limit the connections.
    Buffers(usize),
}

impl MemoryLimit {
    /// Divides the memory among connections, which `descriptors` limits from now on, and buffers, and returns the
    /// memory that all buffers share. Must be called before connections are opened. `is_shared`: another process can
    /// run under the same limit.
    pub fn divide(self, descriptors: &Descriptors, is_shared: bool) -> BufferMemory {
        let limit = match self {
            Self::Buffers(bytes) => return BufferMemory::new(bytes),
            Self::Process(limit) => {
                if is_shared {
                    limit / 2
                } else {
                    limit
                }
            }
        };
        let by_descriptors = ConnectionLimits {
            clients: descriptors.limit_of(DescriptorClass::Clients),
            upstreams: descriptors.limit_of(DescriptorClass::Upstreams),
        };
        let resting = resident_bytes().unwrap_or_default();
        let budget = MemoryBudget::new(limit, resting, by_descriptors);
        descriptors.set_memory_limits(budget.connections);
        let for_lists = budget.buffer_bytes / LIST_MEMORY_DIVISOR;
        tracing::info!(
            limit,
            resting,
            clients = budget.connections.clients,
            upstreams = budget.connections.upstreams,
            buffers = budget.buffer_bytes - for_lists,
            lists = for_lists,
            "memory divided"
        );
        BufferMemory::new(budget.buffer_bytes - for_lists)
    }
}

/// Returns the memory that the process takes now, in bytes; `None` if the system does not say.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024)
}

/// Follows the memory of the process; never returns. Reports it in metrics and, when it grows or reservations are
/// denied, in the log. Asks the allocator to return what was released.
pub async fn watch(buffers: BufferMemory, descriptors: Rc<Descriptors>, metrics: Arc<Metrics>) {
    let (mut logged, mut denied_before, mut reserved_peak) = (0, 0, 0);
    loop {
        sleep(POLL_INTERVAL).await;
        let (reserved, denied) = (buffers.reserved(), buffers.denied());
        let denied_now = denied - denied_before;
        denied_before = denied;
        reserved_peak = reserved_peak.max(reserved);
        metrics.memory_reserved.set(i64::try_from(reserved).unwrap_or(i64::MAX));
        metrics.memory_denied.inc_by(denied_now);
        // Reading the figure takes a descriptor.
        let Some(resident) = descriptors.with_spare(resident_bytes) else { continue };
        metrics.memory_resident.set(i64::try_from(resident).unwrap_or(i64::MAX));
        if resident >= logged + LOGGED_GROWTH_BYTES || denied_now > 0 {
            tracing::info!(resident, reserved, denied = denied_now, "memory");
            logged = logged.max(resident);
        }
        if reserved + RETURNED_BYTES <= reserved_peak {
            return_released_memory();
            reserved_peak = reserved;
        }
    }
}

/// Returns released memory to the system, which the allocator would keep otherwise.
#[cfg(target_env = "gnu")]
#[expect(unsafe_code, reason = "no crate wraps the call")]
fn return_released_memory() {
    // SAFETY: the function takes no pointer and may be called at any time, from any thread.
    unsafe {
        libc::malloc_trim(0);
    }
}

#[cfg(not(target_env = "gnu"))]
fn return_released_memory() {}
