//! A voter: Raft by the `raft` crate, which has no I/O, over the replicated state.
//!
//! Time, messages and the disk belong to the embedder, which calls [`Voter::tick`], [`Voter::step`] and [`Voter::process_ready`]. What
//! a voter sends depends on what is on its disk; once that can't be written it sends nothing more.

use crate::replicated_state::{MemoryLog, ReplicatedState, decode_state, entries_bytes};
pub use crate::replicated_state::{initial_snapshot, replacement_voter_id, voter_id};
use crate::store::PersistedState;
use maplehook_cluster::Name;
use maplehook_versions::{Command, CommandError, VersionState};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Message};
use raft::storage::MemStorage;
use raft::{Config, RawNode, ReadOnlyOption, SnapshotStatus, StateRole};
use std::collections::{BTreeMap, VecDeque};

/// The ticks without a leader after which an election begins. With a tick of 50 ms, that is after 0.5 to 1 s.
pub const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// The ticks after which a snapshot counts as lost. Raft itself waits without limit for its embedder's report.
const SNAPSHOT_TICKS: u32 = 30;
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
const MAX_INFLIGHT_MESSAGES: usize = 16;
/// The most commands that may wait to be committed.
const MAX_PENDING_PROPOSALS: usize = 64;
/// The most reads that may wait to be confirmed.
const MAX_PENDING_READS: usize = 1024;

/// The outcome of a proposed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The command was committed and applied, with this result.
    Applied(Result<u64, CommandError>),
    /// The command may be committed or not.
    Unknown,
}

/// What follows from processing what Raft has ready.
#[derive(Debug, Default)]
pub struct ReadyOutput {
    /// Messages to be sent, with the receivers' ids.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// The outcomes of proposals, by their tickets.
    pub outcomes: Vec<(u64, ProposalOutcome)>,
    /// The tickets of reads that are confirmed: this voter was the leader after they had begun.
    pub confirmed_reads: Vec<u64>,
    /// Whether this voter has become the leader, or is no longer.
    pub role_changed: bool,
}

/// A voter.
pub struct Voter {
    pub(crate) node: RawNode<MemoryLog>,
    pub(crate) state: ReplicatedState,
    pub(crate) applied_index: u64,
    pub(crate) conf_state: ConfState,
    /// The names of all members, by the ids that they would have had when the log began.
    initial_names: BTreeMap<u64, Name>,
    /// The ticket of the change of voters that is under way.
    pub(crate) pending_conf_change: Option<u64>,
    /// Whether the voters have changed since the last snapshot: a new voter needs one that names it.
    pub(crate) voters_changed: bool,
    /// The bytes of the entries in memory.
    pub(crate) retained_bytes: usize,
    /// The ticks since each snapshot was sent, by the receivers' ids.
    pub(crate) snapshots_in_flight: BTreeMap<u64, u32>,
    /// The tickets of commands that this voter has proposed and that have no outcome yet.
    pub(crate) pending_proposals: VecDeque<u64>,
    pub(crate) was_leader: bool,
    /// Whether the leadership is to be transferred, and no other voter was active yet.
    is_transfer_pending: bool,
    /// Whether the disk could not be written.
    pub(crate) has_failed: bool,
}

impl Voter {
    /// Creates a voter that continues from what is on its disk.
    ///
    /// # Errors
    ///
    /// If Raft rejects that state.
    pub fn new(id: u64, members: &[Name], persisted: PersistedState) -> raft::Result<Self> {
        let PersistedState { hard_state, snapshot, entries } = persisted;
        let conf_state = snapshot.get_metadata().get_conf_state().clone();
        let applied_index = snapshot.get_metadata().index;
        let storage = MemStorage::new();
        {
            let mut core = storage.wl();
            // A voter that has just replaced another one has received nothing yet.
            if applied_index > 0 {
                core.apply_snapshot(snapshot.clone())?;
            }
            core.append(&entries)?;
            core.set_hardstate(hard_state);
        }
        let state = decode_state(snapshot.get_data());
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let log = MemoryLog { storage, snapshot };
        Ok(Self {
            node: RawNode::new(&raft_config(id, applied_index), log, &logger)?,
            state,
            applied_index,
            conf_state,
            initial_names: members.iter().map(|name| (voter_id(name), name.clone())).collect(),
            pending_conf_change: None,
            voters_changed: false,
            retained_bytes: entries_bytes(&entries),
            snapshots_in_flight: BTreeMap::new(),
            pending_proposals: VecDeque::new(),
            was_leader: false,
            is_transfer_pending: false,
            has_failed: false,
        })
    }

    /// Advances Raft's clock by one tick.
    pub fn tick(&mut self) {
        if self.has_failed {
            return;
        }
        self.node.tick();
        self.start_pending_transfer();
        self.snapshots_in_flight.values_mut().for_each(|ticks| *ticks += 1);
        let in_flight = self.snapshots_in_flight.iter();
        let lost: Vec<u64> =
            in_flight.filter(|(_, ticks)| **ticks >= SNAPSHOT_TICKS).map(|(to, _)| *to).collect();
        for to in lost {
            self.snapshots_in_flight.remove(&to);
            // If the snapshot did arrive, this has no effect; a voter that still needs one is sent another.
            self.node.report_snapshot(to, SnapshotStatus::Failure);
        }
    }

    /// Returns the name of the voter with this id.
    pub fn name_of(&self, id: u64) -> Option<Name> {
        let replacement = self.state.replacements.get(&id).and_then(|name| Name::new(name));
        replacement.or_else(|| self.initial_names.get(&id).cloned())
    }

    /// Returns the voters by the log, as far as it is known here.
    pub fn voters(&self) -> Vec<Name> {
        let ids = self.conf_state.get_voters().iter();
        let mut names: Vec<Name> = ids.filter_map(|id| self.name_of(*id)).collect();
        names.sort();
        names
    }

    /// Returns whether the log, as far as it is known here, has replaced this voter.
    pub fn is_replaced(&self) -> bool {
        !self.conf_state.get_voters().is_empty() && !self.is_voter(self.node.raft.id)
    }

    /// Returns whether a voter has this name, even if it is one only until a change of voters is complete.
    pub fn is_voter_name(&self, name: &Name) -> bool {
        let mut ids = self.conf_state.get_voters().iter().chain(self.conf_state.get_voters_outgoing());
        ids.any(|id| self.name_of(*id).as_ref() == Some(name))
    }

    /// Returns whether a change of voters is under way.
    pub fn has_pending_conf_change(&self) -> bool {
        self.pending_conf_change.is_some() || !self.conf_state.get_voters_outgoing().is_empty()
    }

    /// Returns whether this voter has replaced another one and has not received the log yet.
    pub fn awaits_snapshot(&self) -> bool {
        self.applied_index == 0
    }

    /// Returns whether this id is a voter's by the log, as far as it is known here.
    pub fn is_voter(&self, id: u64) -> bool {
        is_voter_in(&self.conf_state, id)
    }

    /// Proposes to replace a voter by another member under the number that it has assigned. The ticket is among the outcomes once the
    /// change is complete. Returns `false` if this voter is not the leader or another change is under way.
    pub fn replace_voter(&mut self, ticket: u64, old: &Name, new: &Name, number: u64) -> bool {
        if self.has_failed || !self.is_established_leader() || self.has_pending_conf_change() {
            return false;
        }
        let mut ids = self.conf_state.get_voters().iter().copied();
        let Some(removed) = ids.find(|id| self.name_of(*id).as_ref() == Some(old)) else { return false };
        let added = replacement_voter_id(new, number);
        let mut change = ConfChangeV2::default();
        for (change_type, id) in [(ConfChangeType::AddNode, added), (ConfChangeType::RemoveNode, removed)] {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(change_type);
            single.node_id = id;
            change.mut_changes().push(single);
        }
        let Ok(context) = postcard::to_stdvec(&(added, new.to_string())) else { return false };
        change.set_context(context.into());
        if self.node.propose_conf_change(ticket.to_be_bytes().to_vec(), change).is_err() {
            return false;
        }
        self.pending_conf_change = Some(ticket);
        true
    }

    /// Transfers the leadership to another active voter, as soon as there is one and it has all entries.
    pub fn transfer_leadership(&mut self) {
        self.is_transfer_pending = true;
        self.start_pending_transfer();
    }

    /// Starts a pending transfer. In the tick of Raft's quorum check no other voter counts as active; the next heartbeat finds one.
    fn start_pending_transfer(&mut self) {
        if !self.is_transfer_pending {
            return;
        }
        let own_id = self.node.raft.id;
        let progress = self.node.raft.prs();
        let is_active = |id: u64| progress.get(id).is_some_and(|progress| progress.recent_active);
        let mut others = self.conf_state.get_voters().iter().copied().filter(|id| *id != own_id);
        let next = others.clone().find(|id| is_active(*id));
        self.is_transfer_pending = self.is_leader() && next.is_none() && others.next().is_some();
        if let Some(next) = next {
            self.node.transfer_leader(next);
        }
    }

    /// Handles a Raft message. Returns `false` if it is invalid.
    pub fn step(&mut self, from: &Name, bytes: &[u8]) -> bool {
        if self.has_failed {
            return true;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        // A voter sends for itself alone, and to this one. An unknown id is that of a voter that has joined since: a voter that lags
        // must accept its messages, as it may be the leader. A known id that is no longer a voter's is rejected.
        let sender = self.name_of(message.from);
        let is_former_voter = sender.is_some() && !self.awaits_snapshot() && !self.is_voter(message.from);
        let is_other_sender = sender.is_some_and(|name| name != *from);
        if is_other_sender || is_former_voter || message.to != self.node.raft.id {
            return false;
        }
        self.node.step(message).is_ok()
    }

    /// Proposes a command. The ticket is among the outcomes later. Returns `false` if this voter is not the leader, or too many
    /// proposals are pending.
    pub fn propose(&mut self, ticket: u64, command: &Command) -> bool {
        if self.has_failed || !self.is_leader() || self.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
            return false;
        }
        let Ok(data) = postcard::to_stdvec(command) else { return false };
        if self.node.propose(ticket.to_be_bytes().to_vec(), data).is_err() {
            return false;
        }
        self.pending_proposals.push_back(ticket);
        true
    }

    /// Asks the other voters whether this one still is the leader. The ticket is among the confirmed reads once a majority has
    /// confirmed that. Returns `false` if this voter is not the leader, or too many reads are pending.
    pub fn confirm_leadership(&mut self, ticket: u64) -> bool {
        if self.has_failed || !self.is_leader() || self.node.raft.pending_read_count() >= MAX_PENDING_READS {
            return false;
        }
        self.node.read_index(ticket.to_be_bytes().to_vec());
        true
    }

    /// Returns whether this voter takes itself for the leader.
    pub fn is_leader(&self) -> bool {
        !self.has_failed && self.node.raft.state == StateRole::Leader
    }

    /// Returns the leader, as far as this voter knows.
    pub fn leader(&self) -> Option<Name> {
        if self.has_failed { None } else { self.name_of(self.node.raft.leader_id) }
    }

    /// Returns the versions and the shared document by the log, as far as it is known here.
    pub fn version_state(&self) -> &VersionState {
        &self.state.versions
    }

    /// Returns whether this voter is the leader and has committed an entry of its own term. Before that a leader does not know
    /// everything that was committed.
    pub fn is_established_leader(&self) -> bool {
        self.is_leader() && self.node.raft.commit_to_current_term()
    }
}

fn raft_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        ..Config::default()
    }
}

/// Returns whether an id is a voter's, even if only until a change of voters is complete.
pub(crate) fn is_voter_in(conf_state: &ConfState, id: u64) -> bool {
    conf_state.get_voters().contains(&id) || conf_state.get_voters_outgoing().contains(&id)
}
