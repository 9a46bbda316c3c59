//! The choice of connections to evict.

use super::{ConnectionAdmission, MAX_PENDING_EVICTIONS, MIN_IDLE_CONNECTIONS};
use crate::connection_table::EvictionLists;
use crate::decision::ConnectionId;
use crate::linked_list::List;
use crate::policy::AdmissionPolicy;
use std::time::Duration;

impl ConnectionAdmission {
    /// The connection to evict for a new one. A known client may take the place of any other, an unknown one that of another
    /// unknown one.
    pub(super) fn eviction_candidate_for(&self, now: Duration, is_known: bool) -> Option<u32> {
        if is_known {
            self.any_eviction_candidate(now)
        } else {
            let [unknown, _] = self.table.eviction_lists();
            self.eviction_candidate(now, unknown)
        }
    }

    /// The connection with which least is lost, of unknown clients before known ones; `None` if all have requests in flight.
    pub(super) fn any_eviction_candidate(&self, now: Duration) -> Option<u32> {
        self.table.eviction_lists().iter().find_map(|lists| self.eviction_candidate(now, lists))
    }

    /// The connection in these lists with which least is lost.
    fn eviction_candidate(&self, now: Duration, lists: &EvictionLists) -> Option<u32> {
        let AdmissionPolicy { prompt, slow, spare, .. } = self.policy;
        let [no_data, partial, receiving, health_checks, idle] = lists;
        let older_than = |list: &List, age: Duration| {
            list.first().filter(|slot| now.saturating_sub(self.table.get(*slot).since) > age)
        };
        // One that is receiving its request goes last: all that was received would be lost with it.
        older_than(no_data, prompt)
            .or(older_than(partial, slow))
            .or(older_than(receiving, slow))
            .or(health_checks.first())
            .or(older_than(idle, spare))
            .or(no_data.first())
            .or(idle.first())
            .or(partial.first())
            .or(receiving.first())
    }

    /// Evicts the unknown client's connection that has been idle for longest, if more are idle than are kept alive.
    pub(super) fn evict_spare_idle(&mut self) -> Option<ConnectionId> {
        let max_idle = (self.capacity as f64 * self.policy.keep_alive) as usize;
        let [unknown, known] = self.table.idle();
        let is_spare = unknown.len() + known.len() > max_idle.max(MIN_IDLE_CONNECTIONS);
        if !is_spare || self.table.evicted() >= MAX_PENDING_EVICTIONS {
            return None;
        }
        unknown.first().map(|slot| self.table.evict(slot))
    }
}
