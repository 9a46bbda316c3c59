//! How the leader grants leases on the shared document and sends new bodies, and how a member accepts them.

use crate::document_parts::PartKind;
use crate::messages::PeerMessage;
use crate::part_channels::SHARED_DOCUMENT_TOPIC;
use crate::runner::{Runner, VoterRole};
use maplehook_cluster::Name;
use maplehook_transport::frames::Message;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Runner {
    /// Sends a message to the proposer of the same part on another member. It is dropped if the queue is full.
    pub(crate) fn send_part_message(&self, kind: PartKind, to: Name, body: &[u8]) {
        let body = [&[kind.message_prefix()], body].concat().into();
        let _ = self.outgoing.try_send((to, Message { topic: SHARED_DOCUMENT_TOPIC, body }));
    }

    /// Records a member's report of the shared document that it acts on and has, and whether it can apply the present phase.
    pub(crate) fn on_document_report(
        &mut self,
        from: &Name,
        active_number: Option<u64>,
        received_number: u64,
        rejected_phase: Option<(u64, String)>,
    ) {
        let document = &mut self.shared_document;
        let Some(leases) = &mut document.lease_manager else { return };
        document.has_changed |= leases.record_report(from, active_number, received_number);
        let is_member = self.config.members.contains(from);
        document.record_rejection(from, rejected_phase.filter(|_| is_member));
    }

    /// Grants a lease on the shared document together with one on the versions.
    pub(crate) fn grant_document_lease(&mut self, to: &Name, request_id: u64) {
        let now = self.now();
        let VoterRole::Voting { voter, .. } = &self.role else { return };
        let document = voter.version_state().shared_document.clone();
        let leases = self.shared_document.lease_manager.as_ref();
        let Some((_, received_number)) = leases.and_then(|leases| leases.reported_numbers(to)) else {
            return;
        };
        let is_local = *to == self.config.local_name;
        let lacks_body = received_number < document.number;
        if lacks_body && !is_local && !self.send_budget.reserve(document.body.len()) {
            return;
        }
        if let Some(leases) = &mut self.shared_document.lease_manager {
            leases.grant(now, to);
        }
        let request_id = Some(request_id);
        if is_local {
            let body = Some(document.body);
            return self.accept_document(to.clone(), request_id, document.number, body);
        }
        let body = lacks_body.then(|| document.body.to_vec());
        self.send(to, &PeerMessage::Document { request_id, number: document.number, body });
    }

    /// Handles a lease on the shared document, or a new body of it.
    pub(crate) fn on_document(
        &mut self,
        from: &Name,
        request_id: Option<u64>,
        number: u64,
        body: Option<Vec<u8>>,
    ) {
        if request_id.is_some() {
            self.leader_hint = Some(from.clone());
        }
        self.accept_document(from.clone(), request_id, number, body.map(Arc::from));
    }

    fn accept_document(&mut self, from: Name, request_id: Option<u64>, number: u64, body: Option<Arc<[u8]>>) {
        let now = self.now();
        self.shared_document.accept(now, from, request_id, number, body);
    }

    /// Sends a new body to the members that hold a lease, to as many as the send budget allows now.
    pub(crate) fn push_document(&mut self) {
        let now = self.now();
        let VoterRole::Voting { voter, .. } = &self.role else { return };
        if !voter.is_established_leader() {
            return;
        }
        let document = voter.version_state().shared_document.clone();
        let state = &mut self.shared_document;
        let Some(leases) = &state.lease_manager else { return };
        if document.number > state.pushed_number {
            state.push_targets = leases.holders_without(now, document.number);
            state.pushed_number = document.number;
            state.has_changed = true;
            if state.push_targets.remove(&self.config.local_name) {
                let local_name = self.config.local_name.clone();
                state.accept(now, local_name, None, document.number, Some(Arc::clone(&document.body)));
            }
        }
        let mut recipients = BTreeSet::new();
        while !self.shared_document.push_targets.is_empty() && self.send_budget.reserve(document.body.len()) {
            recipients.extend(self.shared_document.push_targets.pop_first());
        }
        if !recipients.is_empty() {
            let body = Some(document.body.to_vec());
            let message = PeerMessage::Document { request_id: None, number: document.number, body };
            self.send_to_all(&recipients, &message);
        }
    }
}
