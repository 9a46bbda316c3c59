//! Thread of the failover agent: reports observations, leads if elected, and publishes the active routing.
//!
//! Exchanges watched values with the serving thread: observations in, shares out. Requests never wait here.

use crate::agent::{ActiveRouting, Link, Setup};
use crate::config::Config;
use crate::leader::LeaderState;
use crate::messages::{AgreedState, Reply};
use crate::probe::{PROBE_INTERVAL, Prober};
use crate::rates::SnapshotWindow;
use crate::status_board::{LocalState, QueuedRequest, StatusBoard};
use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_consensus::{PartProposal, ProposalError, SharedDocumentStatus};
use maplehook_failover::BalancerRouting;
use maplehook_history_checker::What;
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep_until};

/// Interval between evaluations of the evidence.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of ticks between two reports.
const TICKS_PER_REPORT: u64 = 2;
/// Number of ticks between two reports of round-trip times, which change slowly.
const TICKS_PER_RTT_REPORT: u64 = 10;
/// Timeout for a forwarded request and for a proposal.
pub(crate) const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(3000);

/// A proposal that is in flight, and the requester to notify of its outcome.
pub(crate) struct PendingProposal {
    outcome: oneshot::Receiver<Result<u64, ProposalError>>,
    deadline: Instant,
    requester: Option<Requester>,
}

/// Origin of an operator's request, which receives the outcome.
pub(crate) enum Requester {
    Local(oneshot::Sender<Reply>),
    Remote(Name, u64),
}

pub(crate) struct Runner {
    pub(crate) setup: Setup,
    pub(crate) board: StatusBoard,
    pub(crate) local_state: watch::Sender<LocalState>,
    pub(crate) active_routing: watch::Sender<Option<Arc<ActiveRouting>>>,
    pub(crate) window: SnapshotWindow,
    pub(crate) prober: Prober,
    /// Endpoint list that the prober currently uses.
    pub(crate) probed_endpoints: Option<Arc<Vec<(Zone, SocketAddr)>>>,
    pub(crate) routing: Option<BalancerRouting>,
    pub(crate) agreed: Option<Arc<AgreedState>>,
    pub(crate) number: u64,
    pub(crate) leader_state: Option<LeaderState>,
    /// Log number that this leader's decisions are based on.
    pub(crate) base_number: u64,
    /// Time at which the current document status was received; remaining times in it count from here.
    pub(crate) status_received_at: Instant,
    pub(crate) pending_proposal: Option<PendingProposal>,
    pub(crate) forwarded: BTreeMap<u64, (oneshot::Sender<Reply>, Instant)>,
    pub(crate) reports: u64,
    pub(crate) ticks: u64,
    /// Epoch and plan flag of the last routing record in the history.
    pub(crate) recorded_routing: Option<(u64, bool)>,
}

impl Runner {
    pub(crate) fn new(
        setup: Setup,
        board: StatusBoard,
        local_state: watch::Sender<LocalState>,
        active_routing: watch::Sender<Option<Arc<ActiveRouting>>>,
    ) -> Self {
        Self {
            setup,
            board,
            local_state,
            active_routing,
            window: SnapshotWindow::default(),
            prober: Prober::new(),
            probed_endpoints: None,
            routing: None,
            agreed: None,
            number: 0,
            leader_state: None,
            base_number: 0,
            status_received_at: Instant::now(),
            pending_proposal: None,
            forwarded: BTreeMap::new(),
            reports: 0,
            ticks: 0,
            recorded_routing: None,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.board.epoch.elapsed()
    }

    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.setup.config.borrow().clone()
    }

    pub(crate) fn document_status(&self) -> SharedDocumentStatus {
        self.setup.link.as_ref().map(|link| link.document_status.borrow().clone()).unwrap_or_default()
    }

    pub(crate) async fn run(
        mut self,
        mut requests: mpsc::Receiver<QueuedRequest>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut probe_rounds = interval(PROBE_INTERVAL);
        probe_rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut counters = self.setup.counters.clone();
        let mut config = self.setup.config.clone();
        let mut document_status = self.setup.link.as_ref().map(|link| link.document_status.clone());
        self.apply_config();
        loop {
            // A version without zones needs no ticks.
            let is_active = self.routing.is_some() || !self.forwarded.is_empty();
            let lease_end = self.document_status().lease_end.map(tokio::time::Instant::from_std);
            let lease_end = lease_end.filter(|end| *end > tokio::time::Instant::now());
            tokio::select! {
                _ = &mut stop => break,
                _ = ticks.tick(), if is_active => self.tick(),
                _ = probe_rounds.tick(), if is_active => self.prober.start_round(),
                Some(result) = self.prober.results.recv() => self.prober.record_result(result),
                Ok(()) = counters.changed() => {
                    let counters = counters.borrow_and_update().clone();
                    self.record_snapshot(counters);
                }
                Ok(()) = config.changed() => {
                    config.borrow_and_update();
                    self.apply_config();
                }
                Ok(()) = status_changed(&mut document_status) => {
                    self.status_received_at = Instant::now();
                    self.apply_document_status();
                }
                Some((from, body)) = next_message(&mut self.setup.link) => self.handle_message(&from, &body),
                Some((request, reply)) = requests.recv() =>
                    self.handle_request(request, Requester::Local(reply), None),
                outcome = proposal_outcome(&mut self.pending_proposal) => self.finish_proposal(outcome),
                // Reacts to an expired lease immediately instead of at the next tick.
                () = sleep_until(lease_end.unwrap_or_else(tokio::time::Instant::now)),
                    if lease_end.is_some() =>
                {
                    self.update_routing();
                }
            }
        }
        if let Some((epoch, _)) = self.recorded_routing {
            self.board.writer.record(What::Ceases { epoch });
        }
    }

    /// Applies the first configuration or a changed one.
    fn apply_config(&mut self) {
        let now = self.now();
        let Some(config) = self.config() else {
            (self.routing, self.leader_state) = (None, None);
            self.active_routing.send_replace(None);
            return;
        };
        self.prober.clear();
        self.probed_endpoints = None;
        match &mut self.routing {
            Some(old) => old.reconfigure(config.topology.clone(), config.rules.clone(), config.own_zone),
            None => {
                let (topology, rules) = (config.topology.clone(), config.rules.clone());
                let mut routing = BalancerRouting::new(topology, rules, config.own_zone, now);
                routing.set_balancer_count(self.setup.balancer_count);
                if let Some(agreed) = &self.agreed {
                    routing.set_rtt_table(&agreed.rtts);
                    routing.set_document(&agreed.places);
                }
                self.routing = Some(routing);
            }
        }
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.reconfigure((*config).clone(), now);
        }
        self.update_routing();
    }

    /// Handles a change of the agreed state, the leader or the lease.
    fn apply_document_status(&mut self) {
        let status = self.document_status();
        if let Some(document) = status.received.as_ref().filter(|document| document.number != self.number) {
            match AgreedState::decode(&document.body) {
                Some(agreed) => {
                    self.record_agreed_epoch(&agreed);
                    if let Some(routing) = &mut self.routing {
                        routing.set_rtt_table(&agreed.rtts);
                        routing.set_document(&agreed.places);
                    }
                    (self.agreed, self.number) = (Some(Arc::new(agreed)), document.number);
                    self.local_state.send_modify(|state| {
                        state.agreed = self.agreed.clone().map(|agreed| (agreed, self.status_received_at));
                        state.number = self.number;
                    });
                }
                None => {
                    tracing::error!(
                        number = document.number,
                        "cannot decode the agreed failover state in the shared document"
                    );
                }
            }
        }
        self.update_leadership(&status);
        self.update_routing();
        if let Some(link) = &self.setup.link {
            let number = self.number;
            link.applied_number.send_if_modified(|applied| std::mem::replace(applied, number) != number);
        }
    }

    /// Starts or stops acting as leader.
    fn update_leadership(&mut self, status: &SharedDocumentStatus) {
        let Some(config) = self.config().filter(|_| status.is_leader) else {
            if self.leader_state.take().is_some() {
                tracing::info!("no longer leads failover decisions");
                self.abandon_proposal("the leader has lost its place");
            }
            return;
        };
        let number = status.committed.as_ref().map_or(0, |document| document.number);
        if self.pending_proposal.is_none() && number > self.base_number {
            // The log contains an abandoned proposal or another leader's proposal, so the state is rebuilt.
            self.leader_state = None;
        }
        if self.leader_state.is_none() {
            self.base_number = number;
            let committed = status.committed.as_ref().map(|document| AgreedState::decode(&document.body));
            let committed = match committed {
                Some(None) => {
                    tracing::error!("cannot decode the committed failover state: starts from an empty state");
                    AgreedState::default()
                }
                Some(Some(agreed)) => {
                    self.record_agreed_epoch(&agreed);
                    agreed
                }
                None => AgreedState::default(),
            };
            tracing::info!("leads failover decisions");
            let mut leader_state = LeaderState::new((*config).clone(), committed, self.now());
            leader_state.set_max_lease(status.max_lease);
            self.leader_state = Some(leader_state);
        }
    }

    fn record_agreed_epoch(&self, agreed: &AgreedState) {
        let plan = &agreed.places.plan;
        if plan.epoch > 0 && self.board.writer.is_enabled() {
            let digest = maplehook_versions::digest(&format!("{:?}", plan.rows));
            self.board.writer.record(What::Agreed { epoch: plan.epoch, digest: digest[..16].to_owned() });
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_REPORT) {
            self.report();
        }
        if self.ticks.is_multiple_of(TICKS_PER_RTT_REPORT) {
            self.report_rtts();
        }
        self.update_served_share();
        self.update_routing();
        let now = Instant::now();
        let expired: Vec<u64> =
            self.forwarded.iter().filter(|(_, (_, deadline))| now > *deadline).map(|(id, _)| *id).collect();
        for ticket in expired {
            if let Some((reply, _)) = self.forwarded.remove(&ticket) {
                let _ = reply.send(Reply::Unavailable("the leader does not answer".into()));
            }
        }
        if self.pending_proposal.as_ref().is_some_and(|pending| now > pending.deadline) {
            self.finish_proposal(Err("no answer".into()));
        }
        self.decide();
    }

    fn decide(&mut self) {
        let (now, status) = (self.now(), self.document_status());
        let Some(leader_state) = &mut self.leader_state else { return };
        // The lagging members refer to the committed number and say nothing about an earlier one.
        let number = status.committed.as_ref().map_or(0, |document| document.number);
        if self.pending_proposal.is_some() || number != self.base_number {
            return;
        }
        let status_age = self.status_received_at.elapsed();
        let behind: Vec<(String, Duration)> = status
            .lagging_members
            .iter()
            .map(|member| (member.name.to_string(), member.max_remaining.saturating_sub(status_age)))
            .filter(|(_, remaining)| !remaining.is_zero())
            .collect();
        let in_touch: Vec<(String, bool)> =
            status.members.iter().map(|(name, applied)| (name.to_string(), applied.is_some())).collect();
        if let Some(body) = leader_state.tick(now, &behind, &in_touch) {
            self.submit_proposal(body, None);
        }
    }

    pub(crate) fn submit_proposal(&mut self, body: Vec<u8>, requester: Option<Requester>) {
        let expected = self.base_number;
        let (sender, outcome) = oneshot::channel();
        let is_queued = match &self.setup.link {
            Some(link) => {
                link.channels.proposals.try_send(PartProposal { expected, body, outcome: sender }).is_ok()
            }
            None => false,
        };
        self.pending_proposal =
            Some(PendingProposal { outcome, deadline: Instant::now() + LEADER_REPLY_TIMEOUT, requester });
        if !is_queued {
            self.finish_proposal(Err("the agreement's thread is busy".into()));
        }
    }

    fn finish_proposal(&mut self, outcome: Result<u64, String>) {
        let requester = self.pending_proposal.take().and_then(|pending| pending.requester);
        let reply = match &outcome {
            Ok(number) => Reply::Done(*number),
            Err(why) => Reply::Unavailable(why.clone()),
        };
        if let Err(why) = &outcome {
            tracing::info!("failover proposal was not agreed on: {why}");
        }
        match &mut self.leader_state {
            Some(leader_state) if outcome.is_ok() => {
                self.base_number = outcome.unwrap_or(self.base_number);
                let agreed = leader_state.finish_proposal(true).cloned();
                if let Some(agreed) = agreed {
                    self.record_agreed_epoch(&agreed);
                }
            }
            // The outcome is unknown, so the state is read from the log again.
            _ => {
                self.leader_state = None;
                let status = self.document_status();
                self.update_leadership(&status);
            }
        }
        if let Some(requester) = requester {
            self.reply_to(requester, reply);
        }
    }

    fn abandon_proposal(&mut self, why: &str) {
        if let Some(requester) = self.pending_proposal.take().and_then(|pending| pending.requester) {
            self.reply_to(requester, Reply::Unavailable(why.into()));
        }
    }
}

async fn status_changed(
    status: &mut Option<watch::Receiver<SharedDocumentStatus>>,
) -> Result<(), watch::error::RecvError> {
    match status {
        Some(status) => {
            status.changed().await?;
            status.borrow_and_update();
            Ok(())
        }
        None => std::future::pending().await,
    }
}

async fn next_message(link: &mut Option<Link>) -> Option<(Name, Bytes)> {
    match link {
        Some(link) => link.channels.incoming.recv().await,
        None => std::future::pending().await,
    }
}

async fn proposal_outcome(pending_proposal: &mut Option<PendingProposal>) -> Result<u64, String> {
    match pending_proposal {
        Some(pending) => match (&mut pending.outcome).await {
            Ok(outcome) => outcome.map_err(|error| error.to_string()),
            Err(_) => Err("this voter leads no more".into()),
        },
        None => std::future::pending().await,
    }
}
