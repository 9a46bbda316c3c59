//! What a voter does with what has come: it writes, says, plays, and keeps its log short.

use crate::replicated_state::{decode_state, encode_state, entries_bytes};
use crate::store::{StoreError, WriteBatch};
use crate::voter::{ProposalOutcome, ReadyOutput, Voter, is_voter_in};
use maplehook_versions::version_state::{Command, CommandError};
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
    pub fn process_ready(
        &mut self,
        persist: &mut dyn FnMut(&WriteBatch<'_>) -> Result<(), StoreError>,
    ) -> Result<ReadyOutput, StoreError> {
        let mut settled = ReadyOutput::default();
        while !self.has_failed && self.node.has_ready() {
            if let Err(e) = self.process_one_ready(persist, &mut settled) {
                self.has_failed = true;
                return Err(e);
            }
        }
        let leads = self.is_leader();
        settled.role_changed = std::mem::replace(&mut self.was_leader, leads) != leads;
        if settled.role_changed && !leads {
            // They may still come to be in the log, by another leader.
            let waiting = self
                .pending_proposals
                .drain(..)
                .map(|(ticket, _)| ticket)
                .chain(self.pending_conf_change.take());
            settled.outcomes.extend(waiting.map(|ticket| (ticket, ProposalOutcome::Unknown)));
            self.snapshots_in_flight.clear();
        }
        Ok(settled)
    }

    fn process_one_ready(
        &mut self,
        persist: &mut dyn FnMut(&WriteBatch<'_>) -> Result<(), StoreError>,
        settled: &mut ReadyOutput,
    ) -> Result<(), StoreError> {
        let mut ready = self.node.ready();
        self.queue_messages(ready.take_messages(), settled);
        for read in ready.take_read_states() {
            settled.confirmed_reads.extend(ticket(&read.request_ctx));
        }
        let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        if let Some(snapshot) = &snapshot {
            let log = self.node.mut_store();
            log.storage
                .wl()
                .apply_snapshot(snapshot.clone())
                .map_err(|e| StoreError::Unusable(e.to_string()))?;
            log.snapshot = snapshot.clone();
            self.applied_index = snapshot.get_metadata().index;
            self.conf_state = snapshot.get_metadata().get_conf_state().clone();
            let before = std::mem::take(&mut self.state.versions.shared_document);
            self.state = decode_state(snapshot.get_data());
            let common = std::mem::take(&mut self.state.versions.shared_document);
            self.state.versions.shared_document = common.restored_over(before);
            self.retained_bytes = 0;
        }
        self.apply_entries(ready.take_committed_entries(), settled)?;
        let entries = ready.take_entries();
        self.node.store().storage.wl().append(&entries).map_err(|e| StoreError::Unusable(e.to_string()))?;
        self.retained_bytes += entries_bytes(&entries);
        if let Some(hard) = ready.hs() {
            self.node.store().storage.wl().set_hardstate(hard.clone());
        }
        if !entries.is_empty() || ready.hs().is_some() || snapshot.is_some() {
            persist(&WriteBatch { hard_state: ready.hs(), snapshot: snapshot.as_ref(), entries: &entries })?;
        }
        // These rest on what has just been written.
        self.queue_messages(ready.take_persisted_messages(), settled);
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.node.store().storage.wl().mut_hard_state().set_commit(commit);
        }
        self.queue_messages(light.take_messages(), settled);
        self.apply_entries(light.take_committed_entries(), settled)?;
        self.node.advance_apply();
        self.compact(persist)
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, settled: &mut ReadyOutput) -> Result<(), StoreError> {
        for entry in entries {
            self.applied_index = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChangeV2 {
                self.apply_voter_change(&entry, settled)?;
                continue;
            }
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            let played = match postcard::from_bytes::<Command>(&entry.data) {
                Ok(command) => self.state.versions.apply(&command),
                // A command of a later program: every voter of this one passes it over alike.
                Err(_) => Err(CommandError::NothingToUndo),
            };
            let Some(ticket) = ticket(&entry.context) else { continue };
            if let Some(at) = self.pending_proposals.iter().position(|(waiting, _)| *waiting == ticket) {
                self.pending_proposals.remove(at);
                settled.outcomes.push((ticket, ProposalOutcome::Applied(played)));
            }
        }
        Ok(())
    }

    /// The voters change: first old and new ones together, as a majority of each (the joint consensus of Raft, section 6), then
    /// the new ones; Raft writes the second entry itself, and that is empty.
    fn apply_voter_change(&mut self, entry: &Entry, settled: &mut ReadyOutput) -> Result<(), StoreError> {
        let broken = |e: &dyn std::fmt::Display| StoreError::Unusable(e.to_string());
        let change = ConfChangeV2::parse_from_bytes(&entry.data).map_err(|e| broken(&e))?;
        self.conf_state = self.node.apply_conf_change(&change).map_err(|e| broken(&e))?;
        self.node.store().storage.wl().set_conf_state(self.conf_state.clone());
        if let Ok((id, name)) = postcard::from_bytes::<(u64, String)>(change.get_context()) {
            self.state.replacements.insert(id, name);
        }
        self.state.replacements.retain(|id, _| is_voter_in(&self.conf_state, *id));
        self.voters_changed = true;
        if self.is_leader() && self.is_replaced() {
            // Raft's crate goes on leading, and fails at its own place that is gone; the others elect one of them.
            let term = self.node.raft.term;
            self.node.raft.become_follower(term, raft::INVALID_ID);
        }
        if self.conf_state.get_voters_outgoing().is_empty()
            && let Some(ticket) = self.pending_conf_change.take()
        {
            settled
                .outcomes
                .push((ticket, ProposalOutcome::Applied(Ok(self.state.versions.active_version()))));
        }
        Ok(())
    }

    /// A log that only grows would fill the disk.
    fn compact(
        &mut self,
        persist: &mut dyn FnMut(&WriteBatch<'_>) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let first = self.node.store().first_index().map_err(|e| StoreError::Unusable(e.to_string()))?;
        let grown = self.applied_index >= first + 2 * KEPT
            || (self.retained_bytes > BEHIND_MOST && self.applied_index >= first);
        if !grown && !self.voters_changed {
            return Ok(());
        }
        self.voters_changed = false;
        let mut snapshot = Snapshot::default();
        let term =
            self.node.store().term(self.applied_index).map_err(|e| StoreError::Unusable(e.to_string()))?;
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (self.applied_index, term);
        snapshot.mut_metadata().set_conf_state(self.conf_state.clone());
        let data = encode_state(&self.state).map_err(|e| StoreError::Unusable(e.to_string()))?;
        snapshot.set_data(data.into());
        let hard: HardState = self.node.store().storage.rl().hard_state().clone();
        persist(&WriteBatch { hard_state: Some(&hard), snapshot: Some(&snapshot), entries: &[] })?;
        let broken = |e: raft::Error| StoreError::Unusable(e.to_string());
        let log = self.node.mut_store();
        log.snapshot = snapshot;
        // Those behind that lag a little are still served from the log, as far as it is short.
        let last = log.storage.last_index().map_err(broken)?;
        let entries =
            log.storage.entries(first, last + 1, None, GetEntriesContext::empty(false)).map_err(broken)?;
        let (mut from, mut kept) = (self.applied_index + 1, 0);
        for entry in entries.iter().rev() {
            kept += entries_bytes(std::slice::from_ref(entry));
            let spare = entry.index <= self.applied_index;
            if spare && (kept > BEHIND_MOST / 2 || entry.index + KEPT <= self.applied_index) {
                break;
            }
            from = from.min(entry.index);
        }
        // One stays, from which the term of the last can be told.
        from = from.min(last);
        if from > first {
            log.storage.wl().compact(from).map_err(broken)?;
        }
        self.retained_bytes = entries_bytes(&entries[(from - first) as usize..]);
        Ok(())
    }

    fn queue_messages(&mut self, messages: Vec<Message>, settled: &mut ReadyOutput) {
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_in_flight.insert(message.to, 0);
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
