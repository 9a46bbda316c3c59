//! A voter's log in memory, what it has come to, and how that is kept.

use maplehook_cluster::Name;
use maplehook_cluster::hash::fnv1a;
use maplehook_versions::common::Document;
use maplehook_versions::steps::Steps;
use raft::eraftpb::{Entry, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter's number.
pub fn id(name: &Name) -> u64 {
    // 0 is nobody to Raft.
    fnv1a(name.as_str().as_bytes()).max(1)
}

/// The number of a voter that took a place later. Nobody had it before: whoever loses its log loses this number too, and can't
/// vote as if it never had.
pub fn seat_id(name: &Name, number: u64) -> u64 {
    let bytes = [name.as_str().as_bytes(), &[0], &number.to_be_bytes()].concat();
    fnv1a(&bytes).max(1)
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

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_versions::steps::Command;

    /// What the program of before knew of it.
    #[derive(Serialize, Deserialize)]
    struct Before {
        steps: Steps,
        seats: BTreeMap<u64, String>,
    }

    fn agreed() -> Agreed {
        let mut agreed = Agreed::default();
        let text = "one".to_owned();
        let propose = Command::Propose { epoch: 0, expect: None, text, by: "b1".into(), at_ms: 0 };
        agreed.steps.play(&propose).unwrap();
        agreed.seats.insert(7, "b4".into());
        agreed
    }

    #[test]
    fn a_log_of_the_program_before_is_read_and_may_lack_some() {
        let Agreed { steps, seats } = agreed();
        let old = postcard::to_stdvec(&Before { steps: steps.clone(), seats: seats.clone() }).unwrap();
        let read = parse(&old);
        assert!(read.steps.common.gap && read.steps.common.number == 0);
        assert_eq!((&read.steps.versions, &read.seats), (&steps.versions, &seats));
        // Before voters could be replaced.
        let older = parse(&postcard::to_stdvec(&steps).unwrap());
        assert!(older.steps.versions == steps.versions && older.steps.common.gap);
    }

    #[test]
    fn the_program_before_reads_this_ones_log() {
        let mut agreed = agreed();
        agreed.steps.play(&Command::Common { expect: 0, body: b"plan".to_vec() }).unwrap();
        let data = keep(&agreed).unwrap();
        let before: Before = postcard::from_bytes(&data).unwrap();
        assert_eq!(
            (before.steps.versions, before.seats),
            (agreed.steps.versions.clone(), agreed.seats.clone())
        );
        assert_eq!(parse(&data), agreed);
    }

    /// A new program's log that holds no common document yet.
    #[test]
    fn an_empty_log_lacks_nothing() {
        assert_eq!(parse(&[]), Agreed::default());
        assert!(!parse(&keep(&Agreed::default()).unwrap()).steps.common.gap);
    }
}
