//! Dispatches messages from other members.

use crate::messages::{PeerMessage, RAFT_TOPIC};
use crate::part_channels::SHARED_DOCUMENT_TOPIC;
use crate::runner::{LeaseRequest, Requester, Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_transport::frames::Message;
use maplehook_versions::PhaseUpdate;

impl Runner {
    /// Handles a message from another member. What can't be decoded is ignored.
    pub(crate) fn on_message(&mut self, from: &Name, message: &Message) {
        match message.topic {
            SHARED_DOCUMENT_TOPIC => return self.shared_document.deliver(from, &message.body),
            RAFT_TOPIC => return self.on_raft_message(from, &message.body),
            _ => {}
        }
        match postcard::from_bytes::<PeerMessage>(&message.body) {
            Ok(message) => self.on_peer_message(from, message),
            Err(_) => tracing::debug!(%from, "undecodable peer message"),
        }
    }

    fn on_raft_message(&mut self, from: &Name, body: &[u8]) {
        let VoterRole::Voting { voter, .. } = &mut self.role else { return };
        if !voter.step(from, body) {
            tracing::debug!(%from, "invalid raft message");
        }
        if voter.awaits_snapshot() || voter.is_voter_name(from) {
            return;
        }
        // Only the leader knows for certain that the sender was replaced; the sender itself may not know.
        if voter.is_established_leader() {
            self.verify_former_voter(from.clone());
        } else if let Some(leader) = voter.leader() {
            self.send(&leader, &PeerMessage::SuspectedFormerVoter { name: from.to_string() });
        }
    }

    fn on_peer_message(&mut self, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::LeaseRequest { request_id, epoch, received_epoch, digest } => {
                let request = LeaseRequest { from: from.clone(), request_id, epoch, received_epoch };
                self.on_lease_request(request, digest);
            }
            PeerMessage::LeaseGrant { request_id, epoch, update } => {
                self.leader_hint = Some(from.clone());
                self.on_lease_grant(request_id, epoch, update.map(PhaseUpdate::from));
            }
            PeerMessage::NotLeader { leader } => {
                self.leader_hint = leader.and_then(|leader| self.member_named(&leader));
            }
            PeerMessage::ForwardedRequest { ticket, request } => {
                self.on_admin_request(request, Requester::Remote(from.clone(), ticket));
            }
            PeerMessage::ForwardedReply { ticket, reply } => {
                if let Some((requester, _)) = self.forwarded_requests.remove(&ticket) {
                    self.answer(requester, reply);
                }
            }
            PeerMessage::ValidationRequest { ticket, text } => {
                let error = self.validate_text(&text).err().map(|error| error.to_string());
                self.send(from, &PeerMessage::ValidationResult { ticket, error });
            }
            PeerMessage::ValidationResult { ticket, error } => self.on_validation_result(from, ticket, error),
            PeerMessage::Bootstrap { number, founders, wants_reply } => {
                self.on_bootstrap(from, number, &founders, wants_reply);
            }
            PeerMessage::VoterNumberRequest { ticket } => self.on_voter_number_request(from, ticket),
            PeerMessage::VoterNumberReply { ticket, number } => {
                self.on_voter_number_reply(from, ticket, number);
            }
            PeerMessage::VoterReplaced => self.on_voter_replaced(),
            PeerMessage::SuspectedFormerVoter { name } => {
                if let Some(name) = self.member_named(&name) {
                    self.verify_former_voter(name);
                }
            }
            PeerMessage::DocumentReport { active_number, received_number, rejected_phase } => {
                self.on_document_report(from, active_number, received_number, rejected_phase);
            }
            PeerMessage::Document { request_id, number, body } => {
                self.on_document(from, request_id, number, body);
            }
        }
    }

    /// Returns the member of this name, if there is one.
    pub(crate) fn member_named(&self, name: &str) -> Option<Name> {
        Name::new(name).filter(|name| self.config.members.contains(name))
    }
}
