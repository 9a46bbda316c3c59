//! The state that a voter's log leads to, its encoding in snapshots, and the log in memory.

use maplehook_cluster::Name;
use maplehook_cluster::hash::fnv1a;
use maplehook_versions::{SharedDocument, VersionState};
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The bytes that an entry takes in memory beside its data.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Returns the Raft id of a voter with which the log began.
pub fn voter_id(name: &Name) -> u64 {
    // Raft reserves 0.
    fnv1a(name.as_str().as_bytes()).max(1)
}

/// Returns the Raft id of a voter that has replaced another one. No voter has had it before: a voter that loses its log loses this
/// number too, and can't vote again as if it had not voted.
pub fn replacement_voter_id(name: &Name, number: u64) -> u64 {
    let bytes = [name.as_str().as_bytes(), &[0], &number.to_be_bytes()].concat();
    fnv1a(&bytes).max(1)
}

/// The state that the log leads to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    /// The versions and the shared document.
    pub(crate) versions: VersionState,
    /// The names of the voters that have replaced others, by their Raft ids.
    pub(crate) replacements: BTreeMap<u64, String>,
}

/// The log in memory, with the latest snapshot.
pub(crate) struct MemoryLog {
    pub(crate) storage: MemStorage,
    pub(crate) snapshot: Snapshot,
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.storage.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.storage.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.storage.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.storage.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.storage.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

/// Returns the snapshot with which a new log begins: the voters, and no versions.
pub fn initial_snapshot(voters: &[Name]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (1, 1);
    let mut ids: Vec<u64> = voters.iter().map(voter_id).collect();
    ids.sort_unstable();
    metadata.mut_conf_state().set_voters(ids);
    snapshot
}

/// Encodes the state for a snapshot. The shared document comes last: a program that does not know it reads what comes before and
/// ignores the rest.
pub(crate) fn encode_state(state: &ReplicatedState) -> Result<Vec<u8>, postcard::Error> {
    let SharedDocument { number, has_gap, body } = &state.versions.shared_document;
    postcard::to_stdvec(&(state, number, has_gap, &body[..]))
}

/// Decodes the state of a snapshot, also one of an earlier program.
pub(crate) fn decode_state(data: &[u8]) -> ReplicatedState {
    if data.is_empty() {
        return ReplicatedState::default();
    }
    type WithDocument = (ReplicatedState, u64, bool, Vec<u8>);
    if let Ok((mut state, number, has_gap, body)) = postcard::from_bytes::<WithDocument>(data) {
        state.versions.shared_document = SharedDocument { number, has_gap, body: body.into() };
        return state;
    }
    // A program without a shared document encoded the state alone, and one without replacements the versions alone.
    let mut state: ReplicatedState = postcard::from_bytes(data)
        .or_else(|_| {
            let versions = postcard::from_bytes(data)?;
            Ok::<_, postcard::Error>(ReplicatedState { versions, replacements: BTreeMap::new() })
        })
        .unwrap_or_default();
    state.versions.shared_document.has_gap = true;
    state
}

/// Returns the bytes that entries take in memory.
pub(crate) fn entries_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.data.len() + ENTRY_OVERHEAD_BYTES).sum()
}

#[cfg(test)]
mod tests;
