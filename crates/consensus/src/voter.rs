//! A voter: Raft by the `raft` crate, which has no I/O, and what its log comes to.
//!
//! Time, messages and the disk are its embedder's: [`Voter::tick`], [`Voter::step`], [`Voter::settle`]. What it says rests on
//! what is on the disk; where that can't be written it says nothing more.

use crate::replicated_state::{MemoryLog, ReplicatedState, decode_state, entries_bytes};
pub use crate::replicated_state::{initial_snapshot, replacement_voter_id, voter_id};
use crate::store::PersistedState;
use maplehook_cluster::Name;
use maplehook_versions::version_state::{Command, CommandError, VersionState};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, ReadOnlyOption, SnapshotStatus, StateRole};
use std::collections::{BTreeMap, VecDeque};

/// Between two ticks an embedder lets pass 50 ms: an election after 0.5 to 1 s without a leader.
pub const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a snapshot that was not taken counts as lost: Raft itself waits for its embedder's word for good.
const SNAPSHOT_TICKS: u32 = 30;
/// The most commands that may wait for the log.
const WAITING_MOST: usize = 64;
/// Reads that may wait to be confirmed.
const READS_MOST: usize = 1024;

/// A command's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It is in the log: this came of it.
    Applied(Result<u64, CommandError>),
    /// It may be in the log, or not: whoever asks again hears.
    Unknown,
}

/// What came of settling.
#[derive(Debug, Default)]
pub struct ReadyOutput {
    /// To be sent.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Commands that have ended, by their tickets.
    pub outcomes: Vec<(u64, ProposalOutcome)>,
    /// Reads that are confirmed, by their tickets: this voter led after they had begun.
    pub confirmed_reads: Vec<u64>,
    /// The role has changed.
    pub role_changed: bool,
}

/// A voter.
pub struct Voter {
    pub(crate) node: RawNode<MemoryLog>,
    pub(crate) state: ReplicatedState,
    pub(crate) applied_index: u64,
    pub(crate) conf_state: ConfState,
    /// Whoever may have been there when the log began.
    pub(crate) initial_names: BTreeMap<u64, Name>,
    /// The ticket of the change of voters that is under way.
    pub(crate) pending_conf_change: Option<u64>,
    /// The voters have changed: whoever is new needs a snapshot that says so.
    pub(crate) voters_changed: bool,
    /// Bytes of the entries that are in memory.
    pub(crate) retained_bytes: usize,
    /// Snapshots that were sent, and how many ticks ago.
    pub(crate) snapshots_in_flight: BTreeMap<u64, u32>,
    /// Commands that this voter has put into the log, with their tickets and where they stand.
    pub(crate) pending_proposals: VecDeque<(u64, Option<u64>)>,
    pub(crate) was_leader: bool,
    pub(crate) has_failed: bool,
}

impl Voter {
    /// One that goes on from what is on its disk, under the number that it has.
    pub fn new(id_of_own: u64, members: &[Name], kept: PersistedState) -> Result<Self, String> {
        let PersistedState { hard_state: hard, snapshot, entries } = kept;
        let conf = snapshot.get_metadata().get_conf_state().clone();
        let applied = snapshot.get_metadata().index;
        let memory = MemStorage::new();
        {
            let mut core = memory.wl();
            // One that has just been given a place has heard of nothing yet.
            if snapshot.get_metadata().index > 0 {
                core.apply_snapshot(snapshot.clone()).map_err(|e| e.to_string())?;
            }
            core.append(&entries).map_err(|e| e.to_string())?;
            core.set_hardstate(hard);
        }
        let agreed = decode_state(snapshot.get_data());
        let behind = entries_bytes(&entries);
        let config = Config {
            id: id_of_own,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, MemoryLog { storage: memory, snapshot }, &logger)
            .map_err(|e| e.to_string())?;
        let names = members.iter().map(|name| (voter_id(name), name.clone())).collect();
        Ok(Self {
            node: raft,
            state: agreed,
            applied_index: applied,
            conf_state: conf,
            initial_names: names,
            pending_conf_change: None,
            voters_changed: false,
            retained_bytes: behind,
            snapshots_in_flight: BTreeMap::new(),
            pending_proposals: VecDeque::new(),
            was_leader: false,
            has_failed: false,
        })
    }

    /// Time passes.
    pub fn tick(&mut self) {
        if self.has_failed {
            return;
        }
        self.node.tick();
        self.snapshots_in_flight.values_mut().for_each(|ticks| *ticks += 1);
        let lost: Vec<u64> = self
            .snapshots_in_flight
            .iter()
            .filter(|(_, ticks)| **ticks >= SNAPSHOT_TICKS)
            .map(|(to, _)| *to)
            .collect();
        for to in lost {
            self.snapshots_in_flight.remove(&to);
            // Of one that was taken this changes nothing; another is sent to whoever still needs it.
            self.node.report_snapshot(to, SnapshotStatus::Failure);
        }
    }

    /// Who goes by this number.
    pub fn name_of(&self, id: u64) -> Option<Name> {
        let seated = self.state.replacements.get(&id).and_then(|name| Name::new(name));
        seated.or_else(|| self.initial_names.get(&id).cloned())
    }

    /// The voters, by the log as far as it is known here.
    pub fn voters(&self) -> Vec<Name> {
        let mut names: Vec<Name> =
            self.conf_state.get_voters().iter().filter_map(|id| self.name_of(*id)).collect();
        names.sort();
        names
    }

    /// Whether the log, as far as it is known here, gives its place to somebody else.
    pub fn is_replaced(&self) -> bool {
        !self.conf_state.get_voters().is_empty() && !self.is_voter(self.node.raft.id)
    }

    /// Whether somebody of this name votes, be it only until a change of voters has come to its end.
    pub fn is_voter_name(&self, name: &Name) -> bool {
        let ids = self.conf_state.get_voters().iter().chain(self.conf_state.get_voters_outgoing());
        ids.into_iter().any(|id| self.name_of(*id).as_ref() == Some(name))
    }

    /// Whether a change of voters is under way.
    pub fn has_pending_conf_change(&self) -> bool {
        self.pending_conf_change.is_some() || !self.conf_state.get_voters_outgoing().is_empty()
    }

    /// Whether it has been given a place and has not heard of the log yet.
    pub fn awaits_snapshot(&self) -> bool {
        self.applied_index == 0
    }

    /// Whether whoever speaks for this number votes, by the log as far as it is known here.
    pub fn is_voter(&self, id: u64) -> bool {
        is_voter_in(&self.conf_state, id)
    }

    /// Gives a voter's place to another member, under the number that it says; its ticket comes back once that is done. `false`
    /// where this voter does not lead, or another change is under way.
    pub fn replace_voter(&mut self, ticket: u64, old: &Name, new: &Name, number: u64) -> bool {
        if self.has_failed || !self.is_established_leader() || self.has_pending_conf_change() {
            return false;
        }
        let Some(gone) =
            self.conf_state.get_voters().iter().copied().find(|id| self.name_of(*id).as_ref() == Some(old))
        else {
            return false;
        };
        let comes = replacement_voter_id(new, number);
        let mut change = ConfChangeV2::default();
        for (kind, node) in [(ConfChangeType::AddNode, comes), (ConfChangeType::RemoveNode, gone)] {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = node;
            change.mut_changes().push(single);
        }
        let Ok(context) = postcard::to_stdvec(&(comes, new.to_string())) else { return false };
        change.set_context(context.into());
        if self.node.propose_conf_change(ticket.to_be_bytes().to_vec(), change).is_err() {
            return false;
        }
        self.pending_conf_change = Some(ticket);
        true
    }

    /// Lets another voter lead, as soon as one is as far.
    pub fn transfer_leadership(&mut self) {
        let own = self.node.raft.id;
        let next = self.conf_state.get_voters().iter().copied().find(|id| {
            *id != own && self.node.raft.prs().get(*id).is_some_and(|progress| progress.recent_active)
        });
        if let Some(next) = next {
            self.node.transfer_leader(next);
        }
    }

    /// Another voter says this. `false`: it makes no sense.
    pub fn step(&mut self, from: &Name, bytes: &[u8]) -> bool {
        if self.has_failed {
            return true;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        // It speaks for itself alone, and to us. A number that is not known here is that of a voter that has taken a place since:
        // whoever lags must hear it, were it the leader. One that is known, and votes no more, is not heard.
        let owner = self.name_of(message.from);
        let voted = owner.is_some() && !self.awaits_snapshot() && !self.is_voter(message.from);
        if owner.is_some_and(|name| name != *from) || voted || message.to != self.node.raft.id {
            return false;
        }
        self.node.step(message).is_ok()
    }

    /// Puts a command into the log, if this voter leads; its ticket comes back when it has ended.
    pub fn propose(&mut self, ticket: u64, command: &Command) -> bool {
        if self.has_failed || !self.is_leader() || self.pending_proposals.len() >= WAITING_MOST {
            return false;
        }
        let Ok(data) = postcard::to_stdvec(command) else { return false };
        if self.node.propose(ticket.to_be_bytes().to_vec(), data).is_err() {
            return false;
        }
        self.pending_proposals.push_back((ticket, None));
        true
    }

    /// Asks the others whether this voter still leads; its ticket comes back once they have said so.
    pub fn confirm_leadership(&mut self, ticket: u64) -> bool {
        if self.has_failed || !self.is_leader() || self.node.raft.pending_read_count() >= READS_MOST {
            return false;
        }
        self.node.read_index(ticket.to_be_bytes().to_vec());
        true
    }

    /// Whether it takes itself for the leader.
    pub fn is_leader(&self) -> bool {
        !self.has_failed && self.node.raft.state == StateRole::Leader
    }

    /// Whom it takes for the leader.
    pub fn leader(&self) -> Option<Name> {
        if self.has_failed { None } else { self.name_of(self.node.raft.leader_id) }
    }

    /// What the log comes to, as far as it is known here.
    pub fn version_state(&self) -> &VersionState {
        &self.state.versions
    }

    /// Whether a command of its own term is in the log: before that a leader does not know all that was agreed.
    pub fn is_established_leader(&self) -> bool {
        self.is_leader() && self.node.raft.commit_to_current_term()
    }
}

/// Whether a number votes, be it only until a change of voters has come to its end.
pub(crate) fn is_voter_in(conf: &ConfState, id: u64) -> bool {
    conf.get_voters().contains(&id) || conf.get_voters_outgoing().contains(&id)
}
