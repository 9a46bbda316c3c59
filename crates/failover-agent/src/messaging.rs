//! Messages to and from other agents, and operators' requests.

use crate::agent::MAX_PENDING_REQUESTS;
use crate::messages::{AgentMessage, OperatorRequest, Reply};
use crate::runner::{LEADER_REPLY_TIMEOUT, Requester, Runner};
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_cluster::hash::fnv1a;
use maplehook_consensus::SHARED_DOCUMENT_TOPIC;
use maplehook_failover::rtt::{MAX_PEERS, PeerRtt};
use maplehook_failover::{BalancerRouting, Report, ZoneObservation};
use maplehook_transport::frames::Message;
use std::time::Instant;

impl Runner {
    pub(crate) fn reply_to(&mut self, requester: Requester, reply: Reply) {
        match requester {
            // The requester may have given up waiting.
            Requester::Local(to) => drop(to.send(reply)),
            Requester::Remote(name, ticket) => {
                self.send(&name, &AgentMessage::RequestOutcome { ticket, reply })
            }
        }
    }

    fn send(&self, to: &Name, message: &AgentMessage) {
        let Ok(body) = postcard::to_allocvec(message) else { return };
        if let Some(link) = &self.setup.link {
            // Messages are best effort: a full queue drops them, as the network may.
            let _ = link
                .channels
                .outgoing
                .try_send((to.clone(), Message { topic: SHARED_DOCUMENT_TOPIC, body: body.into() }));
        }
    }

    pub(crate) fn report(&mut self) {
        let (Some(config), Some(last)) = (self.config(), self.window.last()) else { return };
        let ready = last.ready;
        let (observations, demand) = self.observations();
        self.reports += 1;
        let report = Report {
            number: self.reports,
            start: self.setup.generation,
            zone: config.own_zone,
            digest: config.digest,
            epoch: self
                .recorded_routing
                .filter(|(_, uses_shared_plan)| *uses_shared_plan)
                .map_or(0, |(epoch, _)| epoch),
            ready,
            observations,
            demand,
            out_ms: self.routing.as_ref().map(BalancerRouting::unreachable_ms).unwrap_or_default(),
        };
        let now = self.now();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.record_report(now, &self.setup.name, report);
        } else if let Some(leader) = self.document_status().leader {
            self.send(&leader, &AgentMessage::Report(report.encode()));
        }
    }

    /// Sends the round-trip times to the leader.
    pub(crate) fn report_rtts(&mut self) {
        let Some(peer_rtts) = &self.setup.rtts else { return };
        let rtt = |(name, round_trip): &(Name, std::time::Duration)| PeerRtt {
            peer: fnv1a(name.as_str().as_bytes()),
            ms: round_trip.as_secs_f32() * 1e3,
        };
        let rtts: Vec<PeerRtt> = peer_rtts.borrow().iter().take(MAX_PEERS).map(rtt).collect();
        let now = self.now();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.record_rtts(now, &self.setup.name, &rtts);
        } else if let Some(leader) = self.document_status().leader.filter(|_| !rtts.is_empty()) {
            self.send(&leader, &AgentMessage::RoundTripTimes(rtts));
        }
    }

    /// Updates the served part of the local clients' demand from local evidence.
    pub(crate) fn update_served_share(&mut self) {
        let (observations, demand) = self.observations();
        let sum = |of: &dyn Fn(&ZoneObservation) -> f32| observations.iter().map(of).sum::<f32>();
        let (requested, rejected) =
            demand.iter().fold((0.0f32, 0.0f32), |(a, r), d| (a + d.asked, r + d.rejected));
        let admitted =
            if requested > 0.0 { ((requested - rejected) / requested).clamp(0.0, 1.0) } else { 1.0 };
        let (succeeded, failed) = (sum(&|s| s.ok), sum(&|s| s.slow + s.failed + s.unreached));
        let answered = if succeeded + failed > 0.0 { succeeded / (succeeded + failed) } else { 1.0 };
        let served = f64::from(admitted * answered);
        self.local_state
            .send_if_modified(|local_state| std::mem::replace(&mut local_state.served, served) != served);
    }

    pub(crate) fn handle_message(&mut self, from: &Name, body: &Bytes) {
        let Ok(message) = postcard::from_bytes::<AgentMessage>(body) else {
            tracing::debug!(%from, "cannot decode a failover message");
            return;
        };
        let now = self.now();
        match message {
            AgentMessage::Report(bytes) => {
                if let (Some(leader_state), Some(report)) = (&mut self.leader_state, Report::decode(&bytes)) {
                    leader_state.record_report(now, from.as_str(), report);
                }
            }
            AgentMessage::RoundTripTimes(rtts) => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.record_rtts(now, from.as_str(), &rtts);
                }
            }
            AgentMessage::ForwardedRequest { ticket, by, request } => {
                self.handle_request(request, Requester::Remote(from.clone(), ticket), Some(by))
            }
            AgentMessage::RequestOutcome { ticket, reply } => {
                if let Some((requester, _)) = self.forwarded.remove(&ticket) {
                    let _ = requester.send(reply);
                }
            }
        }
    }

    /// Handles an operator's request: applies it as leader, or forwards it to the leader.
    pub(crate) fn handle_request(
        &mut self,
        request: OperatorRequest,
        requester: Requester,
        by: Option<String>,
    ) {
        let now = self.now();
        if let Some(leader_state) = &mut self.leader_state {
            let by = by.unwrap_or_else(|| self.setup.name.clone());
            if self.pending_proposal.is_some() {
                return self.reply_to(
                    requester,
                    Reply::Unavailable("another change is on its way; ask again".into()),
                );
            }
            match leader_state.handle_request(now, &by, &request) {
                Ok(body) => self.submit_proposal(body, Some(requester)),
                Err(reply) => self.reply_to(requester, reply),
            }
            return;
        }
        let leader = self.document_status().leader.filter(|leader| leader.as_str() != self.setup.name);
        match (requester, leader) {
            (Requester::Local(reply), Some(leader)) if self.forwarded.len() < MAX_PENDING_REQUESTS => {
                let ticket = fastrand::u64(..);
                self.forwarded.insert(ticket, (reply, Instant::now() + LEADER_REPLY_TIMEOUT));
                let by = self.setup.name.clone();
                self.send(&leader, &AgentMessage::ForwardedRequest { ticket, by, request });
            }
            (requester, _) => {
                let reason = match &self.setup.link {
                    Some(_) => "nobody leads: a majority of the voters can't be reached from here",
                    None => "without [agreement] nothing is decided in common",
                };
                self.reply_to(requester, Reply::Unavailable(reason.into()));
            }
        }
    }
}
