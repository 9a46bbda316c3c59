//! A voter: Raft by the `raft` crate, which has no I/O, and what its log comes to.
//!
//! Time, messages and the disk are its embedder's: [`Voter::tick`], [`Voter::step`], [`Voter::settle`]. What it says rests on
//! what is on the disk; where that can't be written it says nothing more.

use crate::store::{Batch, Kept, Unfit};
use maplehook_agreement::steps::{Command, Refused, Steps};
use maplehook_tier::Name;
use maplehook_tier::words::fnv;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, ReadOnlyOption, StateRole, Storage};
use std::collections::{BTreeMap, VecDeque};

/// Between two ticks an embedder lets pass 50 ms: an election after 0.5 to 1 s without a leader.
pub const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Entries that are kept behind the snapshot, for voters that lag.
const KEPT: u64 = 32;
/// The most commands that may wait for the log.
const WAITING_MOST: usize = 64;
/// Reads that may wait to be confirmed.
const READS_MOST: usize = 1024;

/// A voter's number.
pub fn id(name: &Name) -> u64 {
    // 0 is nobody to Raft.
    fnv(name.as_str().as_bytes()).max(1)
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
    steps: Steps,
    applied: u64,
    conf: ConfState,
    names: BTreeMap<u64, Name>,
    /// Commands that this voter has put into the log, with their tickets and where they stand.
    waiting: VecDeque<(u64, Option<u64>)>,
    led: bool,
    dead: bool,
}

fn parse(data: &[u8]) -> Steps {
    if data.is_empty() {
        return Steps::default();
    }
    // What a voter has written itself it can read.
    postcard::from_bytes(data).unwrap_or_default()
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
    /// One that goes on from what is on its disk.
    pub fn new(own: &Name, voters: &[Name], kept: Kept) -> Result<Self, String> {
        let Kept { hard, snapshot, entries } = kept;
        let conf = snapshot.get_metadata().get_conf_state().clone();
        let applied = snapshot.get_metadata().index;
        let memory = MemStorage::new();
        {
            let mut core = memory.wl();
            core.apply_snapshot(snapshot.clone()).map_err(|e| e.to_string())?;
            core.append(&entries).map_err(|e| e.to_string())?;
            core.set_hardstate(hard);
        }
        let steps = parse(snapshot.get_data());
        let config = Config {
            id: id(own),
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
        let names = voters.iter().map(|name| (id(name), name.clone())).collect();
        let waiting = VecDeque::new();
        Ok(Self { raft, steps, applied, conf, names, waiting, led: false, dead: false })
    }

    /// Time passes.
    pub fn tick(&mut self) {
        if !self.dead {
            self.raft.tick();
        }
    }

    /// Another voter says this. `false`: it makes no sense.
    pub fn step(&mut self, from: &Name, bytes: &[u8]) -> bool {
        if self.dead {
            return true;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        // It speaks for itself alone, and to us.
        if message.from != id(from) || message.to != self.raft.raft.id {
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
    pub fn leader(&self) -> Option<&Name> {
        if self.dead { None } else { self.names.get(&self.raft.raft.leader_id) }
    }

    /// What the log comes to, as far as it is known here.
    pub fn steps(&self) -> &Steps {
        &self.steps
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
                self.waiting.drain(..).for_each(|(ticket, _)| settled.ended.push((ticket, Ended::Unknown)));
                return Err(e);
            }
        }
        let leads = self.leads();
        settled.turned = std::mem::replace(&mut self.led, leads) != leads;
        if settled.turned && !leads {
            // They may still come to be in the log, by another leader.
            self.waiting.drain(..).for_each(|(ticket, _)| settled.ended.push((ticket, Ended::Unknown)));
        }
        Ok(settled)
    }

    fn settle_one(
        &mut self,
        persist: &mut dyn FnMut(&Batch<'_>) -> Result<(), Unfit>,
        settled: &mut Settled,
    ) -> Result<(), Unfit> {
        let mut ready = self.raft.ready();
        send(ready.take_messages(), settled);
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
            self.steps = parse(snapshot.get_data());
        }
        self.play(ready.take_committed_entries(), settled);
        let entries = ready.take_entries();
        self.raft.store().memory.wl().append(&entries).map_err(|e| Unfit::Broken(e.to_string()))?;
        if let Some(hard) = ready.hs() {
            self.raft.store().memory.wl().set_hardstate(hard.clone());
        }
        if !entries.is_empty() || ready.hs().is_some() || snapshot.is_some() {
            persist(&Batch { hard: ready.hs(), snapshot: snapshot.as_ref(), entries: &entries })?;
        }
        // These rest on what has just been written.
        send(ready.take_persisted_messages(), settled);
        let mut light = self.raft.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raft.store().memory.wl().mut_hard_state().set_commit(commit);
        }
        send(light.take_messages(), settled);
        self.play(light.take_committed_entries(), settled);
        self.raft.advance_apply();
        self.compact(persist)
    }

    fn play(&mut self, entries: Vec<Entry>, settled: &mut Settled) {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            let played = match postcard::from_bytes::<Command>(&entry.data) {
                Ok(command) => self.steps.play(&command),
                // A command of a later program: every voter of this one passes it over alike.
                Err(_) => Err(Refused::Nothing),
            };
            let Some(ticket) = ticket(&entry.context) else { continue };
            if let Some(at) = self.waiting.iter().position(|(waiting, _)| *waiting == ticket) {
                self.waiting.remove(at);
                settled.ended.push((ticket, Ended::Played(played)));
            }
        }
    }

    /// A log that only grows would fill the disk.
    fn compact(&mut self, persist: &mut dyn FnMut(&Batch<'_>) -> Result<(), Unfit>) -> Result<(), Unfit> {
        let first = self.raft.store().first_index().map_err(|e| Unfit::Broken(e.to_string()))?;
        if self.applied < first + 2 * KEPT {
            return Ok(());
        }
        let mut snapshot = Snapshot::default();
        let term = self.raft.store().term(self.applied).map_err(|e| Unfit::Broken(e.to_string()))?;
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (self.applied, term);
        snapshot.mut_metadata().set_conf_state(self.conf.clone());
        let data = postcard::to_stdvec(&self.steps).map_err(|e| Unfit::Broken(e.to_string()))?;
        snapshot.set_data(data.into());
        let hard: HardState = self.raft.store().memory.rl().hard_state().clone();
        persist(&Batch { hard: Some(&hard), snapshot: Some(&snapshot), entries: &[] })?;
        let log = self.raft.mut_store();
        log.snapshot = snapshot;
        // Those behind that lag a little are still served from the log.
        log.memory.wl().compact(self.applied - KEPT).map_err(|e| Unfit::Broken(e.to_string()))
    }
}

fn ticket(context: &[u8]) -> Option<u64> {
    context.try_into().ok().map(u64::from_be_bytes)
}

fn send(messages: Vec<Message>, settled: &mut Settled) {
    for message in messages {
        if let Ok(bytes) = message.write_to_bytes() {
            settled.messages.push((message.to, bytes));
        }
    }
}
