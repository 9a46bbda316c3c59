//! Proposals of parts of the shared document.

use crate::document_parts::{DocumentParts, MAX_PART_BYTES, PartKind};
use crate::error::ProposalError;
use crate::part_channels::PartProposal;
use crate::runner::{Requester, Runner, VoterRole};
use maplehook_versions::{Command, DocumentLeaseManager, SharedDocument};
use std::sync::Arc;

/// The document that a proposal is based on.
struct ProposalBase {
    /// The number that is in force.
    number: u64,
    /// The number of the newest body that is known here. It is lower than `number` if this voter's log has a gap.
    known_number: u64,
    /// That body.
    body: Arc<[u8]>,
}

impl Runner {
    /// Proposes a part. One proposal is under way at a time; one of another part waits for its outcome. The proposer may have
    /// stopped waiting for an error.
    pub(crate) fn propose_part(&mut self, kind: PartKind, proposal: PartProposal) {
        if self.has_part_proposal() {
            if self.proposing_part == Some(kind) || self.shared_document.queued_proposal.is_some() {
                return drop(proposal.outcome.send(Err(ProposalError::InProgress)));
            }
            self.shared_document.queued_proposal = Some((kind, proposal));
            return;
        }
        match self.base_for_part(kind, proposal.expected, proposal.body.len()) {
            Ok((expected, parts)) => {
                let body = parts.with(kind, expected + 1, proposal.body).encode();
                self.proposing_part = Some(kind);
                let requester = Requester::PartProposer(proposal.outcome);
                self.propose(Command::ReplaceDocument { expected, body }, requester);
            }
            Err(error) => drop(proposal.outcome.send(Err(error))),
        }
    }

    /// Proposes the part that has waited for another part's outcome, once that is known.
    pub(crate) fn propose_queued_part(&mut self) {
        if !self.has_part_proposal()
            && let Some((kind, proposal)) = self.shared_document.queued_proposal.take()
        {
            self.propose_part(kind, proposal);
        }
    }

    fn has_part_proposal(&self) -> bool {
        self.pending_proposals.values().any(|requester| matches!(requester, Requester::PartProposer(_)))
    }

    /// Checks a proposal and returns the number in force with its parts. A leader bases a proposal only on the body in force:
    /// voters whose log has a gap rely on that.
    fn base_for_part(
        &self,
        kind: PartKind,
        expected: u64,
        body_bytes: usize,
    ) -> Result<(u64, DocumentParts), ProposalError> {
        let base = self.proposal_base()?;
        let parts = DocumentParts::decode(&base.body).ok_or(ProposalError::UnreadableDocument)?;
        // A body that is not known here may have changed any part.
        let part_number = if base.known_number < base.number { base.number } else { parts.number(kind) };
        if expected != part_number {
            return Err(ProposalError::UnexpectedNumber(part_number));
        }
        if body_bytes > MAX_PART_BYTES {
            return Err(ProposalError::TooLong(MAX_PART_BYTES));
        }
        Ok((base.number, parts))
    }

    fn proposal_base(&self) -> Result<ProposalBase, ProposalError> {
        let Some((document, leases)) = self.led_document() else {
            return Err(match self.known_leader().filter(|leader| *leader != self.config.local_name) {
                Some(leader) => ProposalError::NotLeader(leader),
                None => ProposalError::NoLeader,
            });
        };
        let number = document.number;
        let mut base = ProposalBase { number, known_number: number, body: Arc::clone(&document.body) };
        if document.has_gap {
            if !leases.have_earlier_leases_expired(self.now()) {
                return Err(ProposalError::IncompleteLog);
            }
            // All parts continue from the newest body that this member has received.
            let (received_number, received_body) = self.shared_document.holder.newest();
            if received_number > number {
                (base.known_number, base.body) = (received_number, Arc::clone(received_body));
            }
            base.number = number.max(leases.highest_reported());
        }
        Ok(base)
    }

    /// On the leader: returns the committed document and the leases on it.
    fn led_document(&self) -> Option<(&SharedDocument, &DocumentLeaseManager)> {
        let VoterRole::Voting { voter, .. } = &self.role else { return None };
        let leases = self.shared_document.lease_manager.as_ref()?;
        voter.is_established_leader().then(|| (&voter.version_state().shared_document, leases))
    }
}
