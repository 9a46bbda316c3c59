//! A voter: Raft by the `raft` crate, which has no I/O, and what its log comes to.
//!
//! Time, messages and the disk are its embedder's: [`Voter::tick`], [`Voter::step`], [`Voter::settle`]. What it says rests on
//! what is on the disk; where that can't be written it says nothing more.

use crate::store::{Batch, Kept, Unfit};
use maplehook_agreement::steps::{Command, Refused, Steps};
use maplehook_tier::Name;
use maplehook_tier::words::fnv;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message,
    MessageType, Snapshot,
};
use raft::storage::MemStorage;
use raft::{
    Config, GetEntriesContext, RaftState, RawNode, ReadOnlyOption, SnapshotStatus, StateRole, Storage,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Between two ticks an embedder lets pass 50 ms: an election after 0.5 to 1 s without a leader.
pub const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Entries that are kept behind the snapshot, for voters that lag.
const KEPT: u64 = 32;
/// What the entries that are not in the snapshot yet may take in memory before there is a new one.
const BEHIND_MOST: usize = 3 << 20;
/// Ticks after which a snapshot that was not taken counts as lost: Raft itself waits for its embedder's word for good.
const SNAPSHOT_TICKS: u32 = 30;
/// The most commands that may wait for the log.
const WAITING_MOST: usize = 64;
/// Reads that may wait to be confirmed.
const READS_MOST: usize = 1024;

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
struct Agreed {
    steps: Steps,
    seats: BTreeMap<u64, String>,
}

/// The log in memory, with what it came to.
struct Log {
    memory: MemStorage,
    snapshot: Snapshot,
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

/// A command's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It is in the log: this came of it.
    Played(Result<u64, Refused>),
    /// It may be in the log, or not: whoever asks again hears.
    Unknown,
}

/// What came of settling.
#[derive(Debug, Default)]
pub struct Settled {
    /// To be sent.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Commands that have ended, by their tickets.
    pub ended: Vec<(u64, Ended)>,
    /// Reads that are confirmed, by their tickets: this voter led after they had begun.
    pub confirmed: Vec<u64>,
    /// The role has changed.
    pub turned: bool,
}

/// A voter.
pub struct Voter {
    raft: RawNode<Log>,
    agreed: Agreed,
    applied: u64,
    conf: ConfState,
    /// Whoever may have been there when the log began.
    names: BTreeMap<u64, Name>,
    /// The ticket of the change of voters that is under way.
    changing: Option<u64>,
    /// The voters have changed: whoever is new needs a snapshot that says so.
    reseated: bool,
    /// Bytes of the entries that are in memory.
    behind: usize,
    /// Snapshots that were sent, and how many ticks ago.
    snapshots: BTreeMap<u64, u32>,
    /// Commands that this voter has put into the log, with their tickets and where they stand.
    waiting: VecDeque<(u64, Option<u64>)>,
    led: bool,
    dead: bool,
}

fn parse(data: &[u8]) -> Agreed {
    if data.is_empty() {
        return Agreed::default();
    }
    // What a voter has written itself it can read; before voters could be replaced there were the steps alone.
    postcard::from_bytes(data)
        .or_else(|_| postcard::from_bytes(data).map(|steps| Agreed { steps, seats: BTreeMap::new() }))
        .unwrap_or_default()
}

fn size(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.data.len() + 64).sum()
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

impl Voter {
    /// One that goes on from what is on its disk, under the number that it has.
    pub fn new(id_of_own: u64, members: &[Name], kept: Kept) -> Result<Self, String> {
        let Kept { hard, snapshot, entries } = kept;
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
        let agreed = parse(snapshot.get_data());
        let behind = size(&entries);
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
        let raft = RawNode::new(&config, Log { memory, snapshot }, &logger).map_err(|e| e.to_string())?;
        let names = members.iter().map(|name| (id(name), name.clone())).collect();
        Ok(Self {
            raft,
            agreed,
            applied,
            conf,
            names,
            changing: None,
            reseated: false,
            behind,
            snapshots: BTreeMap::new(),
            waiting: VecDeque::new(),
            led: false,
            dead: false,
        })
    }

    /// Time passes.
    pub fn tick(&mut self) {
        if self.dead {
            return;
        }
        self.raft.tick();
        self.snapshots.values_mut().for_each(|ticks| *ticks += 1);
        let lost: Vec<u64> =
            self.snapshots.iter().filter(|(_, ticks)| **ticks >= SNAPSHOT_TICKS).map(|(to, _)| *to).collect();
        for to in lost {
            self.snapshots.remove(&to);
            // Of one that was taken this changes nothing; another is sent to whoever still needs it.
            self.raft.report_snapshot(to, SnapshotStatus::Failure);
        }
    }

    /// Who goes by this number.
    pub fn name_of(&self, id: u64) -> Option<Name> {
        let seated = self.agreed.seats.get(&id).and_then(|name| Name::new(name));
        seated.or_else(|| self.names.get(&id).cloned())
    }

    /// The voters, by the log as far as it is known here.
    pub fn voters(&self) -> Vec<Name> {
        let mut names: Vec<Name> = self.conf.get_voters().iter().filter_map(|id| self.name_of(*id)).collect();
        names.sort();
        names
    }

    /// Whether the log, as far as it is known here, gives its place to somebody else.
    pub fn unseated(&self) -> bool {
        !self.conf.get_voters().is_empty() && !self.is_voter(self.raft.raft.id)
    }

    /// Whether somebody of this name votes, be it only until a change of voters has come to its end.
    pub fn names_voter(&self, name: &Name) -> bool {
        let ids = self.conf.get_voters().iter().chain(self.conf.get_voters_outgoing());
        ids.into_iter().any(|id| self.name_of(*id).as_ref() == Some(name))
    }

    /// Whether a change of voters is under way.
    pub fn changes(&self) -> bool {
        self.changing.is_some() || !self.conf.get_voters_outgoing().is_empty()
    }

    /// Whether it has been given a place and has not heard of the log yet.
    pub fn waits(&self) -> bool {
        self.applied == 0
    }

    /// Whether whoever speaks for this number votes, by the log as far as it is known here.
    pub fn is_voter(&self, id: u64) -> bool {
        votes(&self.conf, id)
    }

    /// Gives a voter's place to another member, under the number that it says; its ticket comes back once that is done. `false`
    /// where this voter does not lead, or another change is under way.
    pub fn replace(&mut self, ticket: u64, old: &Name, new: &Name, number: u64) -> bool {
        if self.dead || !self.knows() || self.changes() {
            return false;
        }
        let Some(gone) =
            self.conf.get_voters().iter().copied().find(|id| self.name_of(*id).as_ref() == Some(old))
        else {
            return false;
        };
        let comes = seat_id(new, number);
        let mut change = ConfChangeV2::default();
        for (kind, node) in [(ConfChangeType::AddNode, comes), (ConfChangeType::RemoveNode, gone)] {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = node;
            change.mut_changes().push(single);
        }
        let Ok(context) = postcard::to_stdvec(&(comes, new.to_string())) else { return false };
        change.set_context(context.into());
        if self.raft.propose_conf_change(ticket.to_be_bytes().to_vec(), change).is_err() {
            return false;
        }
        self.changing = Some(ticket);
        true
    }

    /// Lets another voter lead, as soon as one is as far.
    pub fn hand_over(&mut self) {
        let own = self.raft.raft.id;
        let next = self.conf.get_voters().iter().copied().find(|id| {
            *id != own && self.raft.raft.prs().get(*id).is_some_and(|progress| progress.recent_active)
        });
        if let Some(next) = next {
            self.raft.transfer_leader(next);
        }
    }

    /// Another voter says this. `false`: it makes no sense.
    pub fn step(&mut self, from: &Name, bytes: &[u8]) -> bool {
        if self.dead {
            return true;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        // It speaks for itself alone, and to us. A number that is not known here is that of a voter that has taken a place since:
        // whoever lags must hear it, were it the leader. One that is known, and votes no more, is not heard.
        let owner = self.name_of(message.from);
        let voted = owner.is_some() && !self.waits() && !self.is_voter(message.from);
        if owner.is_some_and(|name| name != *from) || voted || message.to != self.raft.raft.id {
            return false;
        }
        self.raft.step(message).is_ok()
    }

    /// Puts a command into the log, if this voter leads; its ticket comes back when it has ended.
    pub fn propose(&mut self, ticket: u64, command: &Command) -> bool {
        if self.dead || !self.leads() || self.waiting.len() >= WAITING_MOST {
            return false;
        }
        let Ok(data) = postcard::to_stdvec(command) else { return false };
        if self.raft.propose(ticket.to_be_bytes().to_vec(), data).is_err() {
            return false;
        }
        self.waiting.push_back((ticket, None));
        true
    }

    /// Asks the others whether this voter still leads; its ticket comes back once they have said so.
    pub fn read(&mut self, ticket: u64) -> bool {
        if self.dead || !self.leads() || self.raft.raft.pending_read_count() >= READS_MOST {
            return false;
        }
        self.raft.read_index(ticket.to_be_bytes().to_vec());
        true
    }

    /// Whether it takes itself for the leader.
    pub fn leads(&self) -> bool {
        !self.dead && self.raft.raft.state == StateRole::Leader
    }

    /// Whom it takes for the leader.
    pub fn leader(&self) -> Option<Name> {
        if self.dead { None } else { self.name_of(self.raft.raft.leader_id) }
    }

    /// What the log comes to, as far as it is known here.
    pub fn steps(&self) -> &Steps {
        &self.agreed.steps
    }

    /// Whether a command of its own term is in the log: before that a leader does not know all that was agreed.
    pub fn knows(&self) -> bool {
        self.leads() && self.raft.raft.commit_to_current_term()
    }

    /// Does what follows from all that has come. `persist` writes to the disk, and has written when it returns well; where it
    /// fails, this voter takes no part any more.
    pub fn settle(
        &mut self,
        persist: &mut dyn FnMut(&Batch<'_>) -> Result<(), Unfit>,
    ) -> Result<Settled, Unfit> {
        let mut settled = Settled::default();
        while !self.dead && self.raft.has_ready() {
            if let Err(e) = self.settle_one(persist, &mut settled) {
                self.dead = true;
                return Err(e);
            }
        }
        let leads = self.leads();
        settled.turned = std::mem::replace(&mut self.led, leads) != leads;
        if settled.turned && !leads {
            // They may still come to be in the log, by another leader.
            let waiting = self.waiting.drain(..).map(|(ticket, _)| ticket).chain(self.changing.take());
            settled.ended.extend(waiting.map(|ticket| (ticket, Ended::Unknown)));
            self.snapshots.clear();
        }
        Ok(settled)
    }

    fn settle_one(
        &mut self,
        persist: &mut dyn FnMut(&Batch<'_>) -> Result<(), Unfit>,
        settled: &mut Settled,
    ) -> Result<(), Unfit> {
        let mut ready = self.raft.ready();
        self.send(ready.take_messages(), settled);
        for read in ready.take_read_states() {
            settled.confirmed.extend(ticket(&read.request_ctx));
        }
        let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        if let Some(snapshot) = &snapshot {
            let log = self.raft.mut_store();
            log.memory.wl().apply_snapshot(snapshot.clone()).map_err(|e| Unfit::Broken(e.to_string()))?;
            log.snapshot = snapshot.clone();
            self.applied = snapshot.get_metadata().index;
            self.conf = snapshot.get_metadata().get_conf_state().clone();
            self.agreed = parse(snapshot.get_data());
            self.behind = 0;
        }
        self.play(ready.take_committed_entries(), settled)?;
        let entries = ready.take_entries();
        self.raft.store().memory.wl().append(&entries).map_err(|e| Unfit::Broken(e.to_string()))?;
        self.behind += size(&entries);
        if let Some(hard) = ready.hs() {
            self.raft.store().memory.wl().set_hardstate(hard.clone());
        }
        if !entries.is_empty() || ready.hs().is_some() || snapshot.is_some() {
            persist(&Batch { hard: ready.hs(), snapshot: snapshot.as_ref(), entries: &entries })?;
        }
        // These rest on what has just been written.
        self.send(ready.take_persisted_messages(), settled);
        let mut light = self.raft.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raft.store().memory.wl().mut_hard_state().set_commit(commit);
        }
        self.send(light.take_messages(), settled);
        self.play(light.take_committed_entries(), settled)?;
        self.raft.advance_apply();
        self.compact(persist)
    }

    fn play(&mut self, entries: Vec<Entry>, settled: &mut Settled) -> Result<(), Unfit> {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChangeV2 {
                self.reseat(&entry, settled)?;
                continue;
            }
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            let played = match postcard::from_bytes::<Command>(&entry.data) {
                Ok(command) => self.agreed.steps.play(&command),
                // A command of a later program: every voter of this one passes it over alike.
                Err(_) => Err(Refused::Nothing),
            };
            let Some(ticket) = ticket(&entry.context) else { continue };
            if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == ticket) {
                self.waiting.remove(at);
                settled.ended.push((ticket, Ended::Played(played)));
            }
        }
        Ok(())
    }

    /// The voters change: first old and new ones together, as a majority of each (the joint consensus of Raft, section 6), then
    /// the new ones; Raft writes the second entry itself, and that is empty.
    fn reseat(&mut self, entry: &Entry, settled: &mut Settled) -> Result<(), Unfit> {
        let broken = |e: &dyn std::fmt::Display| Unfit::Broken(e.to_string());
        let change = ConfChangeV2::parse_from_bytes(&entry.data).map_err(|e| broken(&e))?;
        self.conf = self.raft.apply_conf_change(&change).map_err(|e| broken(&e))?;
        self.raft.store().memory.wl().set_conf_state(self.conf.clone());
        if let Ok((id, name)) = postcard::from_bytes::<(u64, String)>(change.get_context()) {
            self.agreed.seats.insert(id, name);
        }
        self.agreed.seats.retain(|id, _| votes(&self.conf, *id));
        self.reseated = true;
        if self.leads() && self.unseated() {
            // Raft's crate goes on leading, and fails at its own place that is gone; the others elect one of them.
            let term = self.raft.raft.term;
            self.raft.raft.become_follower(term, raft::INVALID_ID);
        }
        if self.conf.get_voters_outgoing().is_empty()
            && let Some(ticket) = self.changing.take()
        {
            settled.ended.push((ticket, Ended::Played(Ok(self.agreed.steps.in_force()))));
        }
        Ok(())
    }

    /// A log that only grows would fill the disk.
    fn compact(&mut self, persist: &mut dyn FnMut(&Batch<'_>) -> Result<(), Unfit>) -> Result<(), Unfit> {
        let first = self.raft.store().first_index().map_err(|e| Unfit::Broken(e.to_string()))?;
        let grown = self.applied >= first + 2 * KEPT || (self.behind > BEHIND_MOST && self.applied >= first);
        if !grown && !self.reseated {
            return Ok(());
        }
        self.reseated = false;
        let mut snapshot = Snapshot::default();
        let term = self.raft.store().term(self.applied).map_err(|e| Unfit::Broken(e.to_string()))?;
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (self.applied, term);
        snapshot.mut_metadata().set_conf_state(self.conf.clone());
        let data = postcard::to_stdvec(&self.agreed).map_err(|e| Unfit::Broken(e.to_string()))?;
        snapshot.set_data(data.into());
        let hard: HardState = self.raft.store().memory.rl().hard_state().clone();
        persist(&Batch { hard: Some(&hard), snapshot: Some(&snapshot), entries: &[] })?;
        let broken = |e: raft::Error| Unfit::Broken(e.to_string());
        let log = self.raft.mut_store();
        log.snapshot = snapshot;
        // Those behind that lag a little are still served from the log, as far as it is short.
        let last = log.memory.last_index().map_err(broken)?;
        let entries =
            log.memory.entries(first, last + 1, None, GetEntriesContext::empty(false)).map_err(broken)?;
        let (mut from, mut kept) = (self.applied + 1, 0);
        for entry in entries.iter().rev() {
            kept += size(std::slice::from_ref(entry));
            let spare = entry.index <= self.applied;
            if spare && (kept > BEHIND_MOST / 2 || entry.index + KEPT <= self.applied) {
                break;
            }
            from = from.min(entry.index);
        }
        // One stays, from which the term of the last can be told.
        from = from.min(last);
        if from > first {
            log.memory.wl().compact(from).map_err(broken)?;
        }
        self.behind = size(&entries[(from - first) as usize..]);
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>, settled: &mut Settled) {
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots.insert(message.to, 0);
            }
            if let Ok(bytes) = message.write_to_bytes() {
                settled.messages.push((message.to, bytes));
            }
        }
    }
}

/// Whether a number votes, be it only until a change of voters has come to its end.
fn votes(conf: &ConfState, id: u64) -> bool {
    conf.get_voters().contains(&id) || conf.get_voters_outgoing().contains(&id)
}

fn ticket(context: &[u8]) -> Option<u64> {
    context.try_into().ok().map(u64::from_be_bytes)
}
