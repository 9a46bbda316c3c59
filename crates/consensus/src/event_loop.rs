//! The loop of the consensus thread: it waits for messages, requests and time, and lets the voter process what has come.

use crate::admin::AdminCall;
use crate::config::TICK;
use crate::document_parts::PartKind;
use crate::messages::{AdminReply, RAFT_TOPIC};
use crate::part_channels::{PartProposal, PartReceivers};
use crate::runner::{PendingRead, Requester, Runner, VoterReplacement, VoterRole, take_where};
use crate::store::StoreError;
use crate::voter::{ProposalOutcome, ReadyOutput};
use maplehook_cluster::Name;
use maplehook_transport::frames::Message;
use maplehook_versions::{DocumentLeaseManager, LeaseManager};
use std::time::Instant;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Everything that the thread receives.
pub(crate) struct Inputs {
    /// Messages from other members.
    pub(crate) messages: mpsc::Receiver<(Name, Message)>,
    /// The epoch that the thread that serves requests acts on.
    pub(crate) applied_epoch: watch::Receiver<u64>,
    /// The number of the shared document that it acts on.
    pub(crate) applied_document: watch::Receiver<u64>,
    pub(crate) admin_calls: mpsc::Receiver<AdminCall>,
    pub(crate) failover: PartReceivers,
    pub(crate) rollout: PartReceivers,
    pub(crate) shutdown: oneshot::Receiver<()>,
}

impl Runner {
    /// Runs until the service is dropped or the transport has ended.
    pub(crate) async fn run(mut self, inputs: Inputs) {
        let Inputs {
            mut messages,
            mut applied_epoch,
            mut applied_document,
            mut admin_calls,
            mut failover,
            mut rollout,
            mut shutdown,
        } = inputs;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut shutdown => return,
                _ = tick.tick() => self.on_tick(),
                received = messages.recv() => match received {
                    Some((from, message)) => self.on_message(&from, &message),
                    None => return,
                },
                changed = applied_epoch.changed() => match changed {
                    Ok(()) => self.on_epoch_applied(*applied_epoch.borrow_and_update()),
                    Err(_) => return,
                },
                changed = applied_document.changed() => match changed {
                    Ok(()) => self.on_document_applied(*applied_document.borrow_and_update()),
                    Err(_) => return,
                },
                Some((request, reply_to)) = admin_calls.recv() => {
                    self.on_admin_request(request, Requester::Local(reply_to));
                }
                proposal = failover.proposals.recv(), if self.shared_document.active_number.is_some() => {
                    self.on_failover_proposal(proposal);
                }
                Some((to, message)) = failover.outgoing.recv() => {
                    self.send_part_message(PartKind::Failover, to, &message.body);
                }
                Some(proposal) = rollout.proposals.recv() => self.propose_part(PartKind::Rollout, proposal),
                Some((to, message)) = rollout.outgoing.recv() => {
                    self.send_part_message(PartKind::Rollout, to, &message.body);
                }
            }
            self.process_ready();
            self.propose_queued_part();
            self.push_document();
            self.publish_document_status();
        }
    }

    /// Reports the new epoch to the leader at once, which waits for it.
    fn on_epoch_applied(&mut self, epoch: u64) {
        self.applied_epoch = epoch;
        self.request_lease();
    }

    fn on_document_applied(&mut self, number: u64) {
        self.shared_document.active_number = self.shared_document.active_number.map(|_| number);
        self.request_lease();
    }

    /// `None` says that the failover part has no proposer here: this member then has no part in the shared document.
    fn on_failover_proposal(&mut self, proposal: Option<PartProposal>) {
        match proposal {
            Some(proposal) => self.propose_part(PartKind::Failover, proposal),
            None => self.shared_document.active_number = None,
        }
    }

    fn on_tick(&mut self) {
        if let VoterRole::Voting { voter, .. } = &mut self.role {
            voter.tick();
        }
        self.try_bootstrap();
        if self.now() >= self.lease_holder.renewal_due() {
            self.request_lease();
        }
        let now = Instant::now();
        for (requester, _) in take_where(&mut self.forwarded_requests, |(_, deadline)| *deadline <= now) {
            self.answer_unavailable(requester, "the leader does not answer; it may be done or not");
        }
        self.advance_validations();
        let overdue = take_where(&mut self.replacements, |replacement| replacement.deadline <= now);
        for VoterReplacement { new, requester, .. } in overdue {
            self.answer_unavailable(requester, format!("{new} does not answer"));
        }
        self.drive_phase();
        // Leases may have expired since the last tick.
        self.shared_document.has_changed = true;
    }

    /// Lets the voter process everything that has come, and handles what follows from it.
    fn process_ready(&mut self) {
        let VoterRole::Voting { voter, store, .. } = &mut self.role else { return };
        let output = match voter.process_ready(&mut |batch| store.write(batch)) {
            Ok(output) => output,
            Err(error) => return self.on_store_failure(&error),
        };
        let (is_leader, is_replaced) = (voter.is_leader(), voter.is_replaced());
        if output.role_changed {
            self.on_role_change(is_leader);
        }
        if is_replaced {
            return self.on_voter_replaced();
        }
        self.handle_output(output);
    }

    fn on_store_failure(&mut self, error: &StoreError) {
        tracing::error!(
            "this voter's log can't be written: {error}; it takes no part in votes until its next start"
        );
        self.role = VoterRole::Disabled(error.to_string());
        self.phase_proposal = None;
        self.pending_reads.clear();
        self.cancel_validations("this voter's disk fails");
        for requester in std::mem::take(&mut self.pending_proposals).into_values() {
            self.answer_unavailable(requester, "this voter's disk fails; it may be done or not");
        }
    }

    fn on_role_change(&mut self, is_leader: bool) {
        let now = self.now();
        let (times, members) = (self.config.lease_times, &self.config.members);
        if let VoterRole::Voting { lease_manager, .. } = &mut self.role {
            let policy = self.config.expiry_policy;
            *lease_manager = is_leader.then(|| LeaseManager::new(times, policy, members.clone(), now));
        }
        self.file_digests.clear();
        self.phase_proposal = None;
        let document_leases = is_leader.then(|| DocumentLeaseManager::new(times, members.clone(), now));
        self.shared_document.on_role_change(document_leases);
        tracing::info!(is_leader, "raft leadership changed");
        for read in std::mem::take(&mut self.pending_reads).into_values() {
            if let PendingRead::Status(requester) = read {
                self.answer_unavailable(requester, "the leader has changed");
            }
        }
        self.cancel_validations("the leader has changed");
    }

    fn handle_output(&mut self, output: ReadyOutput) {
        for (to, bytes) in output.messages {
            if let VoterRole::Voting { voter, .. } = &self.role
                && let Some(name) = voter.name_of(to)
            {
                // Raft sends again what is dropped here.
                let _ = self.outgoing.try_send((name, Message { topic: RAFT_TOPIC, body: bytes.into() }));
            }
        }
        for ticket in output.confirmed_reads {
            self.on_read_confirmed(ticket);
        }
        for (ticket, outcome) in output.outcomes {
            self.on_proposal_outcome(ticket, outcome);
        }
    }

    fn on_proposal_outcome(&mut self, ticket: u64, outcome: ProposalOutcome) {
        if self.phase_proposal == Some(ticket) {
            self.phase_proposal = None;
        }
        let Some(requester) = self.pending_proposals.remove(&ticket) else { return };
        let reply = match outcome {
            ProposalOutcome::Applied(Ok(number)) => AdminReply::Done(number),
            ProposalOutcome::Applied(Err(error)) => AdminReply::Rejected(error.to_string()),
            ProposalOutcome::Unknown => {
                AdminReply::Unavailable("the leader has changed; it may be done or not".into())
            }
        };
        self.answer(requester, reply);
    }
}
