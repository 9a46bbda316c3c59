//! Messages to and from other agents, and operators' requests.

use crate::agent::WISHES_MOST;
use crate::messages::{AgentMessage, OperatorRequest, Reply};
use crate::runner::{Runner, WISH, Wisher};
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_cluster::hash::fnv1a;
use maplehook_consensus::SHARED_DOCUMENT_TOPIC;
use maplehook_failover::rtt::{MAX_PEERS, PeerRtt};
use maplehook_failover::{BalancerRouting, Report, ZoneObservation};
use maplehook_transport::frames::Message;
use std::time::Instant;

impl Runner {
    pub(crate) fn end(&mut self, wisher: Wisher, reply: Reply) {
        match wisher {
            // The requester may have given up waiting.
            Wisher::Here(to) => drop(to.send(reply)),
            Wisher::There(name, ticket) => self.tell(&name, &AgentMessage::RequestOutcome { ticket, reply }),
        }
    }

    fn tell(&self, to: &Name, say: &AgentMessage) {
        let Ok(body) = postcard::to_allocvec(say) else { return };
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
        let (observations, demand) = self.sights();
        self.reports += 1;
        let report = Report {
            number: self.reports,
            start: self.setup.generation,
            zone: config.own_zone,
            digest: config.digest,
            epoch: self.noted.filter(|(_, common)| *common).map_or(0, |(epoch, _)| epoch),
            ready,
            observations,
            demand,
            out_ms: self.acting.as_ref().map(BalancerRouting::unreachable_ms).unwrap_or_default(),
        };
        let now = self.now();
        if let Some(leading) = &mut self.leading {
            leading.record_report(now, &self.setup.name, report);
        } else if let Some(leader) = self.standing().leader {
            self.tell(&leader, &AgentMessage::Report(report.encode()));
        }
    }

    /// Sends the round-trip times to the leader.
    pub(crate) fn tell_trips(&mut self) {
        let Some(trips) = &self.setup.rtts else { return };
        let way = |(name, took): &(Name, std::time::Duration)| PeerRtt {
            peer: fnv1a(name.as_str().as_bytes()),
            ms: took.as_secs_f32() * 1e3,
        };
        let ways: Vec<PeerRtt> = trips.borrow().iter().take(MAX_PEERS).map(way).collect();
        let now = self.now();
        if let Some(leading) = &mut self.leading {
            leading.record_rtts(now, &self.setup.name, &ways);
        } else if let Some(leader) = self.standing().leader.filter(|_| !ways.is_empty()) {
            self.tell(&leader, &AgentMessage::RoundTripTimes(ways));
        }
    }

    /// Updates the served part of the local clients' demand from local evidence.
    pub(crate) fn served(&mut self) {
        let (sights, demand) = self.sights();
        let sum = |of: &dyn Fn(&ZoneObservation) -> f32| sights.iter().map(of).sum::<f32>();
        let (asked, refused) =
            demand.iter().fold((0.0f32, 0.0f32), |(a, r), d| (a + d.asked, r + d.rejected));
        let admitted = if asked > 0.0 { ((asked - refused) / asked).clamp(0.0, 1.0) } else { 1.0 };
        let (ok, bad) = (sum(&|s| s.ok), sum(&|s| s.slow + s.failed + s.unreached));
        let answered = if ok + bad > 0.0 { ok / (ok + bad) } else { 1.0 };
        let served = f64::from(admitted * answered);
        self.stands.send_if_modified(|stands| std::mem::replace(&mut stands.served, served) != served);
    }

    pub(crate) fn hear(&mut self, from: &Name, body: &Bytes) {
        let Ok(say) = postcard::from_bytes::<AgentMessage>(body) else {
            tracing::debug!(%from, "a message on places can't be read");
            return;
        };
        let now = self.now();
        match say {
            AgentMessage::Report(bytes) => {
                if let (Some(leading), Some(report)) = (&mut self.leading, Report::decode(&bytes)) {
                    leading.record_report(now, from.as_str(), report);
                }
            }
            AgentMessage::RoundTripTimes(ways) => {
                if let Some(leading) = &mut self.leading {
                    leading.record_rtts(now, from.as_str(), &ways);
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

    /// Handles an operator's request: applies it as leader, or forwards it to the leader.
    pub(crate) fn wish(&mut self, wish: OperatorRequest, wisher: Wisher, by: Option<String>) {
        let now = self.now();
        if let Some(leading) = &mut self.leading {
            let by = by.unwrap_or_else(|| self.setup.name.clone());
            if self.on_its_way.is_some() {
                return self
                    .end(wisher, Reply::Unavailable("another change is on its way; ask again".into()));
            }
            match leading.handle_request(now, &by, &wish) {
                Ok(body) => self.put(body, Some(wisher)),
                Err(reply) => self.end(wisher, reply),
            }
            return;
        }
        let leader = self.standing().leader.filter(|leader| leader.as_str() != self.setup.name);
        match (wisher, leader) {
            (Wisher::Here(reply), Some(leader)) if self.passed_on.len() < WISHES_MOST => {
                let ticket = fastrand::u64(..);
                self.passed_on.insert(ticket, (reply, Instant::now() + WISH));
                let by = self.setup.name.clone();
                self.tell(&leader, &AgentMessage::ForwardedRequest { ticket, by, request: wish });
            }
            (wisher, _) => {
                let why = match &self.setup.link {
                    Some(_) => "nobody leads: a majority of the voters can't be reached from here",
                    None => "without [agreement] nothing is decided in common",
                };
                self.end(wisher, Reply::Unavailable(why.into()));
            }
        }
    }
}
