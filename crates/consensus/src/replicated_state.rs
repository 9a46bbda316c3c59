//! A voter's log in memory, what it has come to, and how that is kept.

use maplehook_cluster::Name;
use maplehook_cluster::hash::fnv1a;
use maplehook_versions::shared_document::SharedDocument;
use maplehook_versions::version_state::VersionState;
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter's number.
pub fn voter_id(name: &Name) -> u64 {
    // 0 is nobody to Raft.
    fnv1a(name.as_str().as_bytes()).max(1)
}

/// The number of a voter that took a place later. Nobody had it before: whoever loses its log loses this number too, and can't
/// vote as if it never had.
pub fn replacement_voter_id(name: &Name, number: u64) -> u64 {
    let bytes = [name.as_str().as_bytes(), &[0], &number.to_be_bytes()].concat();
    fnv1a(&bytes).max(1)
}

/// What the log comes to: the versions, and who has taken a place since it began.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    pub(crate) versions: VersionState,
    pub(crate) replacements: BTreeMap<u64, String>,
}

/// The log in memory, with what it came to.
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
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.storage.entries(low, high, most, context)
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

    fn snapshot(&self, request: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request {
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

/// With what a log begins: the voters, and nothing agreed.
pub fn initial_snapshot(voters: &[Name]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (1, 1);
    let mut ids: Vec<u64> = voters.iter().map(voter_id).collect();
    ids.sort_unstable();
    metadata.mut_conf_state().set_voters(ids);
    snapshot
}

/// As it is kept. The common document comes last: a program that knows none reads what is before it and passes over the rest.
pub(crate) fn encode_state(agreed: &ReplicatedState) -> Result<Vec<u8>, postcard::Error> {
    let SharedDocument { number, has_gap: gap, body } = &agreed.versions.shared_document;
    postcard::to_stdvec(&(agreed, number, gap, &body[..]))
}

/// What a voter has written it can read.
pub(crate) fn decode_state(data: &[u8]) -> ReplicatedState {
    if data.is_empty() {
        return ReplicatedState::default();
    }
    if let Ok((mut agreed, number, gap, body)) =
        postcard::from_bytes::<(ReplicatedState, u64, bool, Vec<u8>)>(data)
    {
        agreed.versions.shared_document = SharedDocument { number, has_gap: gap, body: body.into() };
        return agreed;
    }
    // Of a program without a common document; before voters could be replaced there were the steps alone.
    let mut agreed: ReplicatedState = postcard::from_bytes(data)
        .or_else(|_| {
            postcard::from_bytes(data)
                .map(|steps| ReplicatedState { versions: steps, replacements: BTreeMap::new() })
        })
        .unwrap_or_default();
    agreed.versions.shared_document.has_gap = true;
    agreed
}

pub(crate) fn entries_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.data.len() + 64).sum()
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_versions::version_state::Command;

    /// What the program of before knew of it.
    #[derive(Serialize, Deserialize)]
    struct Before {
        steps: VersionState,
        seats: BTreeMap<u64, String>,
    }

    fn agreed() -> ReplicatedState {
        let mut agreed = ReplicatedState::default();
        let text = "one".to_owned();
        let propose = Command::Propose {
            epoch: 0,
            expected: None,
            text,
            proposed_by: "b1".into(),
            proposed_at_unix_ms: 0,
        };
        agreed.versions.apply(&propose).unwrap();
        agreed.replacements.insert(7, "b4".into());
        agreed
    }

    #[test]
    fn a_log_of_the_program_before_is_read_and_may_lack_some() {
        let ReplicatedState { versions: steps, replacements: seats } = agreed();
        let old = postcard::to_stdvec(&Before { steps: steps.clone(), seats: seats.clone() }).unwrap();
        let read = decode_state(&old);
        assert!(read.versions.shared_document.has_gap && read.versions.shared_document.number == 0);
        assert_eq!((&read.versions.versions, &read.replacements), (&steps.versions, &seats));
        // Before voters could be replaced.
        let older = decode_state(&postcard::to_stdvec(&steps).unwrap());
        assert!(older.versions.versions == steps.versions && older.versions.shared_document.has_gap);
    }

    #[test]
    fn the_program_before_reads_this_ones_log() {
        let mut agreed = agreed();
        agreed.versions.apply(&Command::ReplaceDocument { expected: 0, body: b"plan".to_vec() }).unwrap();
        let data = encode_state(&agreed).unwrap();
        let before: Before = postcard::from_bytes(&data).unwrap();
        assert_eq!(
            (before.steps.versions, before.seats),
            (agreed.versions.versions.clone(), agreed.replacements.clone())
        );
        assert_eq!(decode_state(&data), agreed);
    }

    /// A new program's log that holds no common document yet.
    #[test]
    fn an_empty_log_lacks_nothing() {
        assert_eq!(decode_state(&[]), ReplicatedState::default());
        assert!(
            !decode_state(&encode_state(&ReplicatedState::default()).unwrap())
                .versions
                .shared_document
                .has_gap
        );
    }
}
