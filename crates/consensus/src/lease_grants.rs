//! The leader's side of leases. A lease is granted only once a majority has confirmed that this voter still is the leader.

use crate::messages::{AdminReply, PeerMessage, PhaseUpdateMessage};
use crate::runner::{LeaseRequest, PendingRead, Requester, Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_versions::{Phase, PhaseUpdate};
use std::time::Instant;

impl Runner {
    /// Begins to answer a member's request for a lease. `digest` is that of the member's file.
    pub(crate) fn on_lease_request(&mut self, request: LeaseRequest, digest: String) {
        let VoterRole::Voting { voter, .. } = &mut self.role else {
            let leader = self.leader_hint.as_ref().map(ToString::to_string);
            return self.send(&request.from, &PeerMessage::NotLeader { leader });
        };
        if !voter.is_established_leader() {
            let leader = voter.leader().filter(|leader| *leader != self.config.local_name);
            let leader = leader.map(|leader| leader.to_string());
            return self.send(&request.from, &PeerMessage::NotLeader { leader });
        }
        self.file_digests.insert(request.from.clone(), (digest, Instant::now()));
        let ticket = fastrand::u64(..);
        if voter.confirm_leadership(ticket) {
            self.pending_reads.insert(ticket, PendingRead::Lease(request));
        }
    }

    /// Checks with a majority whether a member that sends messages as a voter still is one: a leader that was cut off may not know.
    pub(crate) fn verify_former_voter(&mut self, name: Name) {
        if let VoterRole::Voting { voter, .. } = &mut self.role
            && voter.is_established_leader()
        {
            let ticket = fastrand::u64(..);
            if voter.confirm_leadership(ticket) {
                self.pending_reads.insert(ticket, PendingRead::FormerVoter(name));
            }
        }
    }

    /// Answers what waited for a majority to confirm that this voter is the leader.
    pub(crate) fn on_read_confirmed(&mut self, ticket: u64) {
        match self.pending_reads.remove(&ticket) {
            Some(PendingRead::Lease(request)) => self.grant_lease(&request),
            Some(PendingRead::FormerVoter(name)) => self.notify_former_voter(&name),
            Some(PendingRead::Status(requester)) => self.answer_status(requester),
            None => {}
        }
    }

    fn grant_lease(&mut self, request: &LeaseRequest) {
        let now = self.now();
        let LeaseRequest { from, request_id, .. } = request;
        let VoterRole::Voting { voter, lease_manager: Some(leases), .. } = &mut self.role else { return };
        let state = voter.version_state();
        let epoch = state.epoch;
        // The others would have to wait for a member with a lease on a phase that it can't apply.
        if self.shared_document.has_rejected(from, epoch) {
            return self.grant_document_lease(from, *request_id);
        }
        if !leases.grant(now, from, request.epoch) {
            return;
        }
        let update = (request.received_epoch != epoch).then(|| PhaseUpdate::from_state(state));
        let is_one_behind = request.received_epoch + 1 == epoch;
        let known_phase = if is_one_behind { state.previous_phase } else { Phase::Initial };
        self.grant_document_lease(from, *request_id);
        if *from == self.config.local_name {
            return self.on_lease_grant(*request_id, epoch, update);
        }
        let update =
            update.map(|update| PhaseUpdateMessage::from(update).without_texts_of_phase(known_phase));
        if self.send_budget.reserve(update.as_ref().map_or(0, PhaseUpdateMessage::text_bytes)) {
            self.send(from, &PeerMessage::LeaseGrant { request_id: *request_id, epoch, update });
        }
    }

    fn notify_former_voter(&self, name: &Name) {
        if let VoterRole::Voting { voter, .. } = &self.role
            && !voter.is_voter_name(name)
        {
            self.send(name, &PeerMessage::VoterReplaced);
        }
    }

    fn answer_status(&self, requester: Requester) {
        let reply = match &self.role {
            VoterRole::Voting { voter, .. } => AdminReply::Status(self.cluster_status(voter.version_state())),
            _ => AdminReply::Unavailable("this voter leads no more".into()),
        };
        self.answer(requester, reply);
    }
}
