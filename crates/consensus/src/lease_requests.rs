//! A member's side of leases: to whom and when it sends requests.

use crate::active_version::EnforcementMode;
use crate::messages::PeerMessage;
use crate::runner::{LeaseRequest, Runner, VoterRole};
use maplehook_cluster::Name;
use std::time::Instant;

/// While no leader is known, one request in this many goes to any member instead of a voter of the file.
const ANY_MEMBER_EVERY: usize = 4;

impl Runner {
    /// Requests a lease from the leader. The clock is read before anything is sent.
    pub(crate) fn request_lease(&mut self) {
        let now = self.now();
        let request_id = self.lease_holder.begin_request(now);
        self.shared_document.holder.begin_request(request_id, now);
        let active_number = self.shared_document.active_number;
        let received_number = self.shared_document.holder.newest().0;
        let rejected_phase = self.rejected_phase();
        let (epoch, received_epoch) = (self.applied_epoch, self.lease_holder.epoch());
        let digest = self.file_digest.clone();
        if matches!(&self.role, VoterRole::Voting { voter, .. } if voter.is_leader()) {
            let from = self.config.local_name.clone();
            self.on_document_report(&from, active_number, received_number, rejected_phase);
            self.on_lease_request(LeaseRequest { from, request_id, epoch, received_epoch }, digest);
            return;
        }
        let Some(to) = self.lease_request_recipient() else { return };
        // If there is no answer, the next request goes to another member.
        if self.lease_holder.lease_end().is_none_or(|end| end < now) {
            self.leader_hint = None;
        }
        // The report comes first, so that the leader has it when it answers the request. A leader of an earlier program can't decode
        // the report, and answers all the same.
        self.send(&to, &PeerMessage::DocumentReport { active_number, received_number, rejected_phase });
        self.send(&to, &PeerMessage::LeaseRequest { request_id, epoch, received_epoch, digest });
    }

    /// Returns the epoch of the phase that this member can't apply, with the reason. The leader need not wait for a member that
    /// reports this. A member may report it only once it enforces conservative rules, which conflict with no phase; before that it
    /// may still act on the previous phase.
    fn rejected_phase(&self) -> Option<(u64, String)> {
        let enforces_phase = self.active_version.borrow().mode(Instant::now()) == EnforcementMode::Current;
        let error = self.phase_error.as_ref().filter(|_| !enforces_phase)?;
        Some((self.lease_holder.epoch(), error.to_string()))
    }

    /// Returns the leader, or another member in turn if no leader is known.
    fn lease_request_recipient(&mut self) -> Option<Name> {
        if let Some(leader) = &self.leader_hint {
            return Some(leader.clone());
        }
        self.next_voter = self.next_voter.wrapping_add(1);
        // All voters of the file may have been replaced; any member knows the leader.
        let candidates: Vec<Name> = if self.next_voter % ANY_MEMBER_EVERY == ANY_MEMBER_EVERY - 1 {
            let members = self.config.members.iter();
            members.filter(|name| **name != self.config.local_name).cloned().collect()
        } else {
            self.other_voters().collect()
        };
        candidates.get(self.next_voter % candidates.len().max(1)).cloned()
    }
}
