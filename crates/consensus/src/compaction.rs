//! Compaction of a voter's log, which would fill the disk otherwise.

use crate::replicated_state::{encode_state, entries_bytes};
use crate::store::{StoreError, WriteBatch};
use crate::voter::Voter;
use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{GetEntriesContext, Storage};

/// The applied entries that are retained for voters that lag.
const RETAINED_ENTRIES: u64 = 32;
/// The bytes of entries in memory from which on a snapshot is taken.
const MAX_RETAINED_BYTES: usize = 3 << 20;

impl Voter {
    /// Takes a snapshot if the log has grown or the voters have changed, and removes entries that it covers.
    pub(crate) fn compact(
        &mut self,
        persist: &mut dyn FnMut(&WriteBatch<'_>) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let first = self.node.store().first_index()?;
        let has_many_entries = self.applied_index >= first + 2 * RETAINED_ENTRIES;
        let has_many_bytes = self.retained_bytes > MAX_RETAINED_BYTES && self.applied_index >= first;
        if !has_many_entries && !has_many_bytes && !self.voters_changed {
            return Ok(());
        }
        self.voters_changed = false;
        let snapshot = self.take_snapshot()?;
        let hard_state: HardState = self.node.store().storage.rl().hard_state().clone();
        persist(&WriteBatch { hard_state: Some(&hard_state), snapshot: Some(&snapshot), entries: &[] })?;
        self.node.mut_store().snapshot = snapshot;
        self.remove_covered_entries(first)
    }

    fn take_snapshot(&self) -> Result<Snapshot, StoreError> {
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied_index;
        metadata.term = self.node.store().term(self.applied_index)?;
        metadata.set_conf_state(self.conf_state.clone());
        snapshot.set_data(encode_state(&self.state)?.into());
        Ok(snapshot)
    }

    /// Removes entries that the snapshot covers, but for the latest ones: voters that lag a little are still sent these.
    fn remove_covered_entries(&mut self, first: u64) -> Result<(), StoreError> {
        let storage = &self.node.store().storage;
        let last = storage.last_index()?;
        let entries = storage.entries(first, last + 1, None, GetEntriesContext::empty(false))?;
        // The last entry stays, since its term must be known.
        let first_retained = first_retained_index(&entries, self.applied_index).min(last);
        if first_retained > first {
            storage.wl().compact(first_retained)?;
        }
        self.retained_bytes = entries_bytes(&entries[(first_retained - first) as usize..]);
        Ok(())
    }
}

/// Returns the index of the first entry that is retained, with all entries that are not applied and some that are.
fn first_retained_index(entries: &[Entry], applied_index: u64) -> u64 {
    let (mut first_retained, mut bytes) = (applied_index + 1, 0);
    for entry in entries.iter().rev() {
        bytes += entries_bytes(std::slice::from_ref(entry));
        let is_applied = entry.index <= applied_index;
        let is_old = entry.index + RETAINED_ENTRIES <= applied_index;
        if is_applied && (bytes > MAX_RETAINED_BYTES / 2 || is_old) {
            break;
        }
        first_retained = first_retained.min(entry.index);
    }
    first_retained
}
