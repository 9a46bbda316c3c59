//! How a voter processes what Raft has ready: it persists entries, queues messages, applies commands, and compacts its log.

use crate::replicated_state::{decode_state, entries_bytes};
use crate::store::{StoreError, WriteBatch};
use crate::voter::{ProposalOutcome, ReadyOutput, Voter, is_voter_in};
use maplehook_versions::{Command, CommandError};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType, Snapshot};

impl Voter {
    /// Processes everything that Raft has ready. `persist` writes to the disk; what it was given is synced when it returns without an
    /// error.
    ///
    /// # Errors
    ///
    /// If `persist` fails or an entry can't be decoded. The voter then takes no part any more.
    pub fn process_ready(
        &mut self,
        persist: &mut dyn FnMut(&WriteBatch<'_>) -> Result<(), StoreError>,
    ) -> Result<ReadyOutput, StoreError> {
        let mut output = ReadyOutput::default();
        while !self.has_failed && self.node.has_ready() {
            if let Err(error) = self.process_next_ready(persist, &mut output) {
                self.has_failed = true;
                return Err(error);
            }
        }
        let is_leader = self.is_leader();
        output.role_changed = std::mem::replace(&mut self.was_leader, is_leader) != is_leader;
        if output.role_changed && !is_leader {
            // Another leader may still commit them.
            let tickets = self.pending_proposals.drain(..).chain(self.pending_conf_change.take());
            output.outcomes.extend(tickets.map(|ticket| (ticket, ProposalOutcome::Unknown)));
            self.snapshots_in_flight.clear();
        }
        Ok(output)
    }

    fn process_next_ready(
        &mut self,
        persist: &mut dyn FnMut(&WriteBatch<'_>) -> Result<(), StoreError>,
        output: &mut ReadyOutput,
    ) -> Result<(), StoreError> {
        let mut ready = self.node.ready();
        self.queue_messages(ready.take_messages(), output);
        for read in ready.take_read_states() {
            output.confirmed_reads.extend(ticket_of(&read.request_ctx));
        }
        let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        if let Some(snapshot) = &snapshot {
            self.apply_snapshot(snapshot)?;
        }
        self.apply_entries(ready.take_committed_entries(), output)?;
        let entries = ready.take_entries();
        self.node.store().storage.wl().append(&entries)?;
        self.retained_bytes += entries_bytes(&entries);
        if let Some(hard_state) = ready.hs() {
            self.node.store().storage.wl().set_hardstate(hard_state.clone());
        }
        if !entries.is_empty() || ready.hs().is_some() || snapshot.is_some() {
            let snapshot = snapshot.as_ref();
            persist(&WriteBatch { hard_state: ready.hs(), snapshot, entries: &entries })?;
        }
        // These messages depend on what has just been written.
        self.queue_messages(ready.take_persisted_messages(), output);
        let mut light_ready = self.node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.node.store().storage.wl().mut_hard_state().set_commit(commit);
        }
        self.queue_messages(light_ready.take_messages(), output);
        self.apply_entries(light_ready.take_committed_entries(), output)?;
        self.node.advance_apply();
        self.compact(persist)
    }

    /// Replaces the state by a leader's snapshot. If the snapshot is one of a program without a shared document, the document that is
    /// known here is kept.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let log = self.node.mut_store();
        log.storage.wl().apply_snapshot(snapshot.clone())?;
        log.snapshot = snapshot.clone();
        self.applied_index = snapshot.get_metadata().index;
        self.conf_state = snapshot.get_metadata().get_conf_state().clone();
        let known_document = std::mem::take(&mut self.state.versions.shared_document);
        self.state = decode_state(snapshot.get_data());
        let document = std::mem::take(&mut self.state.versions.shared_document);
        self.state.versions.shared_document = document.restored_over(known_document);
        self.retained_bytes = 0;
        Ok(())
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, output: &mut ReadyOutput) -> Result<(), StoreError> {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryConfChangeV2 => self.apply_voter_change(&entry, output)?,
                EntryType::EntryNormal if !entry.data.is_empty() => self.apply_command(&entry, output),
                _ => {}
            }
        }
        Ok(())
    }

    fn apply_command(&mut self, entry: &Entry, output: &mut ReadyOutput) {
        let result = match postcard::from_bytes::<Command>(&entry.data) {
            Ok(command) => self.state.versions.apply(&command),
            // A command of a later program: all voters of this one skip it alike.
            Err(_) => Err(CommandError::NothingToUndo),
        };
        let Some(ticket) = ticket_of(&entry.context) else { return };
        if let Some(position) = self.pending_proposals.iter().position(|pending| *pending == ticket) {
            self.pending_proposals.remove(position);
            output.outcomes.push((ticket, ProposalOutcome::Applied(result)));
        }
    }

    /// Applies a change of voters. First, the old and the new voters decide together, with a majority of each (joint consensus, section
    /// 6 of the Raft paper), then the new ones alone. Raft itself proposes the second entry, which is empty.
    fn apply_voter_change(&mut self, entry: &Entry, output: &mut ReadyOutput) -> Result<(), StoreError> {
        let change = ConfChangeV2::parse_from_bytes(&entry.data)?;
        self.conf_state = self.node.apply_conf_change(&change)?;
        self.node.store().storage.wl().set_conf_state(self.conf_state.clone());
        if let Ok((id, name)) = postcard::from_bytes::<(u64, String)>(change.get_context()) {
            self.state.replacements.insert(id, name);
        }
        self.state.replacements.retain(|id, _| is_voter_in(&self.conf_state, *id));
        self.voters_changed = true;
        if self.is_leader() && self.is_replaced() {
            // The `raft` crate would go on as the leader and fail for lack of its own progress. The others elect a new one.
            let term = self.node.raft.term;
            self.node.raft.become_follower(term, raft::INVALID_ID);
        }
        if self.conf_state.get_voters_outgoing().is_empty()
            && let Some(ticket) = self.pending_conf_change.take()
        {
            let version = self.state.versions.active_version();
            output.outcomes.push((ticket, ProposalOutcome::Applied(Ok(version))));
        }
        Ok(())
    }

    fn queue_messages(&mut self, messages: Vec<Message>, output: &mut ReadyOutput) {
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_in_flight.insert(message.to, 0);
            }
            if let Ok(bytes) = message.write_to_bytes() {
                output.messages.push((message.to, bytes));
            }
        }
    }
}

/// Returns the ticket that a proposal or a read carries as its context.
fn ticket_of(context: &[u8]) -> Option<u64> {
    context.try_into().ok().map(u64::from_be_bytes)
}
