//! What a voter does with what has come: it writes, says, plays, and keeps its log short.

use crate::log::{keep, parse, size};
use crate::store::{Batch, Unfit};
use crate::voter::{Ended, Settled, Voter, votes};
use maplehook_versions::steps::{Command, Refused};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::{GetEntriesContext, Storage};

/// Entries that are kept behind the snapshot, for voters that lag.
const KEPT: u64 = 32;
/// What the entries that are not in the snapshot yet may take in memory before there is a new one.
const BEHIND_MOST: usize = 3 << 20;

impl Voter {
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
            let before = std::mem::take(&mut self.agreed.steps.common);
            self.agreed = parse(snapshot.get_data());
            let common = std::mem::take(&mut self.agreed.steps.common);
            self.agreed.steps.common = common.after(before);
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
        let data = keep(&self.agreed).map_err(|e| Unfit::Broken(e.to_string()))?;
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

fn ticket(context: &[u8]) -> Option<u64> {
    context.try_into().ok().map(u64::from_be_bytes)
}
