//! Submits the leader's decisions as proposals, and settings that passed all stages as the next version.

use crate::agent::MAX_PENDING_REQUESTS;
use crate::document::Document;
use crate::leader::{LeaderState, PlanContext};
use crate::messages::{OperatorRequest, Reply};
use crate::runner::{LEADER_REPLY_TIMEOUT, PendingProposal, Requester, Runner, STATUS_INTERVAL, read_rules};
use maplehook_consensus::messages::{AdminReply, AdminRequest};
use maplehook_consensus::{AdminClient, EnforcementMode, PartProposal, SharedDocumentStatus};
use maplehook_transport::unix_ms;
use maplehook_versions::digest;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::oneshot;

impl Runner {
    /// Starts or stops acting as leader.
    pub(crate) fn update_leadership(&mut self, document_status: &SharedDocumentStatus) {
        if !document_status.is_leader {
            if self.leader_state.take().is_some() {
                tracing::info!("no longer leads rollouts");
                if let Some((requester, _)) =
                    self.pending_proposal.take().and_then(|pending| pending.requester)
                {
                    self.reply_to(requester, Reply::Unavailable("the leader has lost its place".into()));
                }
                for (_, requester, _) in std::mem::take(&mut self.queued_requests) {
                    self.reply_to(requester, Reply::Unavailable("the leader has lost its place".into()));
                }
                self.version_proposal = None;
            }
            return;
        }
        let number = document_status.committed.as_ref().map_or(0, |document| document.number);
        if self.pending_proposal.is_none() && number > self.base_number {
            // The log contains an abandoned proposal or another leader's proposal, so the state is rebuilt.
            self.leader_state = None;
        }
        if self.leader_state.is_none() {
            self.base_number = number;
            let committed =
                document_status.committed.as_ref().map(|document| Document::decode(&document.body));
            let Some(committed) = committed.unwrap_or_else(|| Some(Document::default())) else {
                // A newer program wrote the document, so a balancer with that program must lead.
                return;
            };
            tracing::info!("leads rollouts");
            self.leader_state = Some(LeaderState::new(self.setup.names.clone(), committed, self.now()));
        }
    }

    /// Returns the version in force here, or `None` if there is no version or another one is pending.
    fn version_in_force(&self) -> Option<u64> {
        let active_version = self.setup.link.active_version.borrow();
        (active_version.mode(Instant::now()) == EnforcementMode::Current)
            .then(|| active_version.label.parse().ok())
            .flatten()
    }

    pub(crate) fn decide(&mut self) {
        let (now, in_force) = (self.now(), self.version_in_force());
        if self.pending_proposal.is_some() || !self.document_status().is_leader {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else { return };
        if let Some(body) = leader_state.tick(now, in_force, unix_ms()) {
            return self.submit_proposal(body, None);
        }
        if self.version_proposal.is_none()
            && let Some((text, base_version)) = leader_state.completed_settings()
        {
            let (version_sender, version_receiver) = oneshot::channel();
            let (admin, text) = (self.setup.link.admin.clone(), text.to_owned());
            self.version_proposal = Some(version_receiver);
            tokio::spawn(async move {
                let _ = version_sender.send(propose(&admin, text, base_version).await);
            });
        }
    }

    pub(crate) fn record_version(&mut self, version: Option<Result<u64, String>>) {
        let Some(version) = version else { return };
        if self.pending_proposal.is_none()
            && let Some(leader_state) = &mut self.leader_state
            && let Some(body) = leader_state.settings_proposed(version)
        {
            self.submit_proposal(body, None);
        }
    }

    fn submit_proposal(&mut self, body: Vec<u8>, requester: Option<(Requester, u64)>) {
        let (outcome_sender, outcome) = oneshot::channel();
        let is_queued = self
            .setup
            .link
            .channels
            .proposals
            .try_send(PartProposal { expected: self.base_number, body, outcome: outcome_sender })
            .is_ok();
        self.pending_proposal = Some(PendingProposal {
            outcome_receiver: outcome,
            deadline: Instant::now() + LEADER_REPLY_TIMEOUT,
            requester,
        });
        if !is_queued {
            self.finish_proposal(Err("the agreement's thread is busy".into()));
        }
    }

    pub(crate) fn finish_proposal(&mut self, outcome: Result<u64, String>) {
        let requester = self.pending_proposal.take().and_then(|pending| pending.requester);
        if let Err(reason) = &outcome {
            tracing::info!("rollout proposal was not agreed on: {reason}");
        }
        match &mut self.leader_state {
            Some(leader_state) if outcome.is_ok() => {
                self.base_number = *outcome.as_ref().unwrap_or(&self.base_number);
                leader_state.finish_proposal(true);
            }
            // The outcome is unknown, so the state is read from the log again.
            _ => {
                self.leader_state = None;
                let document_status = self.document_status();
                self.update_leadership(&document_status);
            }
        }
        if let Some((requester, number)) = requester {
            self.reply_to(requester, outcome.map_or_else(Reply::Unavailable, |_| Reply::Done(number)));
        }
        while self.pending_proposal.is_none()
            && let Some((request, requester, by)) = self.queued_requests.pop_front()
        {
            self.handle_request(request, requester, by);
        }
    }

    /// Handles an operator's request: applies or queues it as leader, or forwards it to the leader.
    pub(crate) fn handle_request(
        &mut self,
        request: OperatorRequest,
        requester: Requester,
        by: Option<String>,
    ) {
        if self.leader_state.is_some() && self.document_status().is_leader {
            if self.pending_proposal.is_some() {
                if self.queued_requests.len() >= MAX_PENDING_REQUESTS {
                    return self
                        .reply_to(requester, Reply::Unavailable("too many wishes are under way".into()));
                }
                return self.queued_requests.push_back((request, requester, by));
            }
            let by = by.unwrap_or_else(|| self.setup.name.clone());
            let in_force = self.version_in_force();
            let rules = Arc::clone(&self.setup.link.active_version.borrow().rules);
            let file = &self.setup.file;
            let read_settings = |text: &str| read_rules(file, text);
            let context = PlanContext { in_force, rules: &rules, read: &read_settings, unix_ms: unix_ms() };
            let Some(leader_state) = &mut self.leader_state else { return };
            return match leader_state.handle_request(&by, &request, &context) {
                Ok((body, number)) => self.submit_proposal(body, Some((requester, number))),
                Err(reply) => self.reply_to(requester, reply),
            };
        }
        self.forward_request(request, requester);
    }
}

/// Proposes settings as the next version; returns its number or the reason for a rejection. `None` means that
/// the outcome is unknown and the caller must retry.
async fn propose(admin: &AdminClient, text: String, base_version: u64) -> Option<Result<u64, String>> {
    let settings_digest = digest(&text);
    let (_, reply) = admin.request(AdminRequest::Propose { text, expected: Some(base_version) }).await?;
    match reply {
        AdminReply::Done(version) => Some(Ok(version)),
        AdminReply::Rejected(reason) => match admin.request(AdminRequest::Status).await {
            // An earlier leader has already proposed these settings.
            Some((local, _)) if local.digest == settings_digest => Some(Ok(local.active_version)),
            _ => Some(Err(reason)),
        },
        _ => {
            tokio::time::sleep(STATUS_INTERVAL / 2).await;
            None
        }
    }
}
