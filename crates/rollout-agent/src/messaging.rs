//! Messages to and from other agents, and forwarding of operators' requests.

use crate::agent::MAX_PENDING_REQUESTS;
use crate::messages::{AgentMessage, MemberReport, OperatorRequest, Reply};
use crate::process_usage::process_usage;
use crate::runner::{LEADER_REPLY_TIMEOUT, Requester, Runner};
use bytes::Bytes;
use maplehook_canary::IntervalReport;
use maplehook_cluster::Name;
use maplehook_consensus::SHARED_DOCUMENT_TOPIC;
use maplehook_transport::frames::Message;
use std::time::Instant;

/// Maximum number of evidence lines in a message, and maximum length of a line in bytes.
const MAX_LINES: usize = 24;
const MAX_LINE_BYTES: usize = 1024;

impl Runner {
    fn send(&self, to: &Name, message: &AgentMessage) {
        let Ok(body) = postcard::to_allocvec(message) else { return };
        // Messages are best effort: a full queue drops them, as the network may.
        let _ = self
            .setup
            .link
            .channels
            .outgoing
            .try_send((to.clone(), Message { topic: SHARED_DOCUMENT_TOPIC, body: body.into() }));
    }

    pub(crate) fn reply_to(&self, requester: Requester, reply: Reply) {
        match requester {
            // The requester may have given up waiting.
            Requester::Local(to) => drop(to.send(reply)),
            Requester::Remote(name, ticket) => {
                self.send(&name, &AgentMessage::RequestOutcome { ticket, reply })
            }
        }
    }

    /// Reports the applied side and the counts of a finished interval.
    pub(crate) fn report(&mut self, counts: Option<IntervalReport>) {
        let report = counts.map(|mut report| {
            let usage = process_usage();
            report.cpu_us = usage.cpu.saturating_sub(self.last_usage.cpu).as_micros() as u64;
            (report.memory_kb, report.descriptors) = (usage.memory_kb, usage.descriptors);
            report.zone.clone_from(&self.setup.zone);
            self.last_usage = usage;
            report
        });
        let leader = self.document_status().leader;
        let (now, side) = (self.now(), self.applied_side());
        let mut member_report = MemberReport { zone: self.setup.zone.clone(), side, report };
        self.last_report_at = Some(Instant::now());
        // Crashes are reported once, to the current leader.
        let take_crashes = |member_report: &mut MemberReport, crashes: &mut u32| {
            if let Some(report) = &mut member_report.report {
                report.crashes = std::mem::take(crashes);
            }
        };
        if let Some(leader_state) = &mut self.leader_state {
            take_crashes(&mut member_report, &mut self.crashes);
            leader_state.record_report(now, &self.setup.name, member_report);
        } else if let Some(leader) = leader {
            take_crashes(&mut member_report, &mut self.crashes);
            self.send(&leader, &AgentMessage::MemberReport(Box::new(member_report)));
        }
    }

    /// Sends the evidence for the running stage from the leader to all balancers.
    pub(crate) fn send_evidence(&mut self) {
        let Some((number, mut lines)) =
            self.leader_state.as_ref().and_then(|leader_state| leader_state.evidence())
        else {
            return;
        };
        lines.truncate(MAX_LINES);
        let message = AgentMessage::StageEvidence { number, lines: lines.clone() };
        for name in self.setup.names.iter().filter(|name| **name != self.setup.name) {
            if let Some(name) = Name::new(name) {
                self.send(&name, &message);
            }
        }
        self.store_evidence(number, lines);
    }

    fn store_evidence(&mut self, number: u64, mut lines: Vec<String>) {
        lines.retain(|line| line.len() <= MAX_LINE_BYTES);
        lines.truncate(MAX_LINES);
        if self.document.change.as_ref().is_some_and(|change| change.rollout.number == number) {
            self.local_state.send_if_modified(|local_state| {
                std::mem::replace(&mut local_state.evidence, lines) != local_state.evidence
            });
        }
    }

    pub(crate) fn handle_message(&mut self, from: &Name, body: &Bytes) {
        let Ok(message) = postcard::from_bytes::<AgentMessage>(body) else {
            tracing::debug!(%from, "cannot decode a rollout message");
            return;
        };
        let now = self.now();
        match message {
            AgentMessage::MemberReport(member_report) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.record_report(now, from.as_str(), *member_report);
                }
            }
            AgentMessage::StageEvidence { number, lines } => {
                if self.document_status().leader.as_ref() == Some(from) {
                    self.store_evidence(number, lines);
                }
            }
            AgentMessage::ForwardedRequest { ticket, by, request } => {
                self.handle_request(request, Requester::Remote(from.clone(), ticket), Some(by))
            }
            AgentMessage::RequestOutcome { ticket, reply } => {
                if let Some((requester, _)) = self.forwarded_requests.remove(&ticket) {
                    let _ = requester.send(reply);
                }
            }
        }
    }

    /// Forwards an operator's request to the leader.
    pub(crate) fn forward_request(&mut self, request: OperatorRequest, requester: Requester) {
        let leader = self.document_status().leader.filter(|leader| leader.as_str() != self.setup.name);
        match (requester, leader) {
            (Requester::Local(reply), Some(leader))
                if self.forwarded_requests.len() < MAX_PENDING_REQUESTS =>
            {
                let ticket = fastrand::u64(..);
                self.forwarded_requests.insert(ticket, (reply, Instant::now() + LEADER_REPLY_TIMEOUT));
                let by = self.setup.name.clone();
                self.send(&leader, &AgentMessage::ForwardedRequest { ticket, by, request });
            }
            (requester, _) => {
                let reason = "nobody leads: a majority of the voters can't be reached from here";
                self.reply_to(requester, Reply::Unavailable(reason.into()));
            }
        }
    }
}
