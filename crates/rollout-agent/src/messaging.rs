//! Messages to and from other agents, and forwarding of operators' requests.

use crate::agent::WISHES_MOST;
use crate::messages::{AgentMessage, MemberReport, OperatorRequest, Reply};
use crate::process_usage::used;
use crate::runner::{Runner, WISH, Wisher};
use bytes::Bytes;
use maplehook_canary::IntervalReport;
use maplehook_cluster::Name;
use maplehook_consensus::SHARED_DOCUMENT_TOPIC;
use maplehook_transport::frames::Message;
use std::time::Instant;

/// Maximum number of evidence lines in a message, and maximum length of a line in bytes.
const LINES: usize = 24;
const LINE: usize = 1024;

impl Runner {
    fn tell(&self, to: &Name, say: &AgentMessage) {
        let Ok(body) = postcard::to_allocvec(say) else { return };
        // Messages are best effort: a full queue drops them, as the network may.
        let _ = self
            .setup
            .link
            .channels
            .outgoing
            .try_send((to.clone(), Message { topic: SHARED_DOCUMENT_TOPIC, body: body.into() }));
    }

    pub(crate) fn end(&self, wisher: Wisher, reply: Reply) {
        match wisher {
            // The requester may have given up waiting.
            Wisher::Here(to) => drop(to.send(reply)),
            Wisher::There(name, ticket) => self.tell(&name, &AgentMessage::RequestOutcome { ticket, reply }),
        }
    }

    /// Reports the applied side and the counts of a finished interval.
    pub(crate) fn say(&mut self, counted: Option<IntervalReport>) {
        let report = counted.map(|mut report| {
            let now = used();
            report.cpu_us = now.cpu.saturating_sub(self.used.cpu).as_micros() as u64;
            (report.memory_kb, report.descriptors) = (now.memory_kb, now.descriptors);
            report.zone.clone_from(&self.setup.zone);
            self.used = now;
            report
        });
        let leader = self.standing().leader;
        let (now, side) = (self.now(), self.side());
        let mut stands = MemberReport { zone: self.setup.zone.clone(), side, report };
        self.said_at = Some(Instant::now());
        // Crashes are reported once, to the current leader.
        let crashes = |stands: &mut MemberReport, crashes: &mut u32| {
            if let Some(report) = &mut stands.report {
                report.crashes = std::mem::take(crashes);
            }
        };
        if let Some(leading) = &mut self.leading {
            crashes(&mut stands, &mut self.crashes);
            leading.record_report(now, &self.setup.name, stands);
        } else if let Some(leader) = leader {
            crashes(&mut stands, &mut self.crashes);
            self.tell(&leader, &AgentMessage::MemberReport(Box::new(stands)));
        }
    }

    /// Sends the evidence for the running stage from the leader to all balancers.
    pub(crate) fn tell_what_is_known(&mut self) {
        let Some((number, mut lines)) = self.leading.as_ref().and_then(|leading| leading.evidence()) else {
            return;
        };
        lines.truncate(LINES);
        let say = AgentMessage::StageEvidence { number, lines: lines.clone() };
        for name in self.setup.names.iter().filter(|name| **name != self.setup.name) {
            if let Some(name) = Name::new(name) {
                self.tell(&name, &say);
            }
        }
        self.know(number, lines);
    }

    fn know(&mut self, number: u64, mut lines: Vec<String>) {
        lines.retain(|line| line.len() <= LINE);
        lines.truncate(LINES);
        if self.document.change.as_ref().is_some_and(|change| change.rollout.number == number) {
            self.stands
                .send_if_modified(|stands| std::mem::replace(&mut stands.known, lines) != stands.known);
        }
    }

    pub(crate) fn hear(&mut self, from: &Name, body: &Bytes) {
        let Ok(say) = postcard::from_bytes::<AgentMessage>(body) else {
            tracing::debug!(%from, "a message on changes in stages can't be read");
            return;
        };
        let now = self.now();
        match say {
            AgentMessage::MemberReport(stands) => {
                if let Some(leading) = &mut self.leading {
                    leading.record_report(now, from.as_str(), *stands);
                }
            }
            AgentMessage::StageEvidence { number, lines } => {
                if self.standing().leader.as_ref() == Some(from) {
                    self.know(number, lines);
                }
            }
            AgentMessage::ForwardedRequest { ticket, by, request } => {
                self.wish(request, Wisher::There(from.clone(), ticket), Some(by))
            }
            AgentMessage::RequestOutcome { ticket, reply } => {
                if let Some((wisher, _)) = self.passed_on.remove(&ticket) {
                    let _ = wisher.send(reply);
                }
            }
        }
    }

    /// Forwards an operator's request to the leader.
    pub(crate) fn pass_on(&mut self, wish: OperatorRequest, wisher: Wisher) {
        let leader = self.standing().leader.filter(|leader| leader.as_str() != self.setup.name);
        match (wisher, leader) {
            (Wisher::Here(reply), Some(leader)) if self.passed_on.len() < WISHES_MOST => {
                let ticket = fastrand::u64(..);
                self.passed_on.insert(ticket, (reply, Instant::now() + WISH));
                let by = self.setup.name.clone();
                self.tell(&leader, &AgentMessage::ForwardedRequest { ticket, by, request: wish });
            }
            (wisher, _) => {
                let why = "nobody leads: a majority of the voters can't be reached from here";
                self.end(wisher, Reply::Unavailable(why.into()));
            }
        }
    }
}
