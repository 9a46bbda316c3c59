//! A voter's log in memory, what it has come to, and how that is kept.

use maplehook_agreement::common::Document;
use maplehook_agreement::steps::Steps;
use maplehook_tier::Name;
use maplehook_tier::words::fnv;
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter's number.
pub fn id(name: &Name) -> u64 {
    // 0 is nobody to Raft.
    fnv(name.as_str().as_bytes()).max(1)
}

/// The number of a voter that took a place later. Nobody had it before: whoever loses its log loses this number too, and can't
/// vote as if it never had.
pub fn seat_id(name: &Name, number: u64) -> u64 {
    let bytes = [name.as_str().as_bytes(), &[0], &number.to_be_bytes()].concat();
    fnv(&bytes).max(1)
}

/// What the log comes to: the versions, and who has taken a place since it began.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Agreed {
    pub(crate) steps: Steps,
    pub(crate) seats: BTreeMap<u64, String>,
}

/// The log in memory, with what it came to.
pub(crate) struct Log {
    pub(crate) memory: MemStorage,
    pub(crate) snapshot: Snapshot,
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request {
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

/// With what a log begins: the voters, and nothing agreed.
pub fn begins(voters: &[Name]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (1, 1);
    let mut ids: Vec<u64> = voters.iter().map(id).collect();
    ids.sort_unstable();
    metadata.mut_conf_state().set_voters(ids);
    snapshot
}

/// As it is kept. The common document comes last: a program that knows none reads what is before it and passes over the rest.
pub(crate) fn keep(agreed: &Agreed) -> Result<Vec<u8>, postcard::Error> {
    let Document { number, gap, body } = &agreed.steps.common;
    postcard::to_stdvec(&(agreed, number, gap, &body[..]))
}

/// What a voter has written it can read.
pub(crate) fn parse(data: &[u8]) -> Agreed {
    if data.is_empty() {
        return Agreed::default();
    }
    if let Ok((mut agreed, number, gap, body)) = postcard::from_bytes::<(Agreed, u64, bool, Vec<u8>)>(data) {
        agreed.steps.common = Document { number, gap, body: body.into() };
        return agreed;
    }
    // Of a program without a common document; before voters could be replaced there were the steps alone.
    let mut agreed: Agreed = postcard::from_bytes(data)
        .or_else(|_| postcard::from_bytes(data).map(|steps| Agreed { steps, seats: BTreeMap::new() }))
        .unwrap_or_default();
    agreed.steps.common.gap = true;
    agreed
}

pub(crate) fn size(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.data.len() + 64).sum()
}
