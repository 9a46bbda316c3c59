//! Thread of the failover agent: reports observations, acts as leader if elected, and publishes the active
//! routing.
//!
//! Exchanges watched values with the serving thread: observations in, shares out. Requests never wait for
//! this thread.

use crate::agent::{ActiveRouting, Link, Setup};
use crate::config::Config;
use crate::leader::LeaderState;
use crate::messages::{AgreedState, Reply};
use crate::probe::{Prober, ROUND};
use crate::rates::SnapshotWindow;
use crate::status_board::{LocalState, StatusBoard, Wished};
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
const TICK: Duration = Duration::from_millis(200);
/// Number of ticks between two reports.
const REPORT_EACH: u64 = 2;
/// Number of ticks between two reports of round-trip times, which change slowly.
const TRIPS_EACH: u64 = 10;
/// Timeout for a forwarded request and for a proposal.
pub(crate) const WISH: Duration = Duration::from_millis(3000);

/// A proposal that is in flight.
pub(crate) struct OnItsWay {
    done: oneshot::Receiver<Result<u64, ProposalError>>,
    until: Instant,
    /// Requester to notify of the outcome.
    wisher: Option<Wisher>,
}

/// Origin of an operator's request, which receives the outcome.
pub(crate) enum Wisher {
    Here(oneshot::Sender<Reply>),
    There(Name, u64),
}

pub(crate) struct Runner {
    pub(crate) setup: Setup,
    pub(crate) board: StatusBoard,
    pub(crate) stands: watch::Sender<LocalState>,
    pub(crate) acted: watch::Sender<Option<Arc<ActiveRouting>>>,
    pub(crate) window: SnapshotWindow,
    pub(crate) prober: Prober,
    /// Endpoint list that the prober currently uses.
    pub(crate) aims: Option<Arc<Vec<(Zone, SocketAddr)>>>,
    pub(crate) acting: Option<BalancerRouting>,
    pub(crate) agreed: Option<Arc<AgreedState>>,
    pub(crate) number: u64,
    pub(crate) leading: Option<LeaderState>,
    /// Log number that this leader's decisions are based on.
    pub(crate) rests_on: u64,
    /// Time at which the current document status was received; remaining times in it count from here.
    pub(crate) stood_at: Instant,
    pub(crate) on_its_way: Option<OnItsWay>,
    pub(crate) passed_on: BTreeMap<u64, (oneshot::Sender<Reply>, Instant)>,
    pub(crate) reports: u64,
    pub(crate) ticks: u64,
    /// Epoch and plan flag of the last routing record in the history.
    pub(crate) noted: Option<(u64, bool)>,
}

impl Runner {
    pub(crate) fn new(
        setup: Setup,
        board: StatusBoard,
        stands: watch::Sender<LocalState>,
        acted: watch::Sender<Option<Arc<ActiveRouting>>>,
    ) -> Self {
        Self {
            setup,
            board,
            stands,
            acted,
            window: SnapshotWindow::default(),
            prober: Prober::new(),
            aims: None,
            acting: None,
            agreed: None,
            number: 0,
            leading: None,
            rests_on: 0,
            stood_at: Instant::now(),
            on_its_way: None,
            passed_on: BTreeMap::new(),
            reports: 0,
            ticks: 0,
            noted: None,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.board.epoch.elapsed()
    }

    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.setup.config.borrow().clone()
    }

    pub(crate) fn standing(&self) -> SharedDocumentStatus {
        self.setup.link.as_ref().map(|link| link.document_status.borrow().clone()).unwrap_or_default()
    }

    pub(crate) async fn run(
        mut self,
        mut wished: mpsc::Receiver<Wished>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut seen = self.setup.counters.clone();
        let mut config = self.setup.config.clone();
        let mut standing = self.setup.link.as_ref().map(|link| link.document_status.clone());
        self.configured();
        loop {
            // A version without zones needs no ticks.
            let looks = self.acting.is_some() || !self.passed_on.is_empty();
            let until = self.standing().lease_end.map(tokio::time::Instant::from_std);
            let runs_out = until.filter(|until| *until > tokio::time::Instant::now());
            tokio::select! {
                _ = &mut stopped => break,
                _ = ticks.tick(), if looks => self.tick(),
                _ = rounds.tick(), if looks => self.prober.round(),
                Some(probed) = self.prober.told.recv() => self.prober.heard(probed),
                Ok(()) = seen.changed() => {
                    let seen = seen.borrow_and_update().clone();
                    self.saw(seen);
                }
                Ok(()) = config.changed() => {
                    config.borrow_and_update();
                    self.configured();
                }
                Ok(()) = changed(&mut standing) => {
                    self.stood_at = Instant::now();
                    self.stood();
                }
                Some((from, body)) = heard(&mut self.setup.link) => self.hear(&from, &body),
                Some((wish, reply)) = wished.recv() => self.wish(wish, Wisher::Here(reply), None),
                ended = done(&mut self.on_its_way) => self.ended(ended),
                // Reacts to an expired lease immediately instead of at the next tick.
                () = sleep_until(runs_out.unwrap_or_else(tokio::time::Instant::now)), if runs_out.is_some() => {
                    self.act();
                }
            }
        }
        if let Some((epoch, _)) = self.noted {
            self.board.writer.note(What::Ceases { epoch });
        }
    }

    /// Applies the first configuration or a changed one.
    fn configured(&mut self) {
        let now = self.now();
        let Some(config) = self.config() else {
            (self.acting, self.leading) = (None, None);
            self.acted.send_replace(None);
            return;
        };
        self.prober.forget();
        self.aims = None;
        match &mut self.acting {
            Some(acting) => {
                acting.reconfigure(config.topology.clone(), config.rules.clone(), config.own_zone)
            }
            None => {
                let (topology, rules) = (config.topology.clone(), config.rules.clone());
                let mut acting = BalancerRouting::new(topology, rules, config.own_zone, now);
                acting.set_balancer_count(self.setup.balancer_count);
                if let Some(agreed) = &self.agreed {
                    acting.set_rtt_table(&agreed.rtts);
                    acting.set_document(&agreed.places);
                }
                self.acting = Some(acting);
            }
        }
        if let Some(leading) = &mut self.leading {
            leading.reconfigure((*config).clone(), now);
        }
        self.act();
    }

    /// Handles a change of the agreed state, the leader or the lease.
    fn stood(&mut self) {
        let standing = self.standing();
        if let Some(common) = standing.received.as_ref().filter(|common| common.number != self.number) {
            match AgreedState::decode(&common.body) {
                Some(agreed) => {
                    self.note_agreed(&agreed);
                    if let Some(acting) = &mut self.acting {
                        acting.set_rtt_table(&agreed.rtts);
                        acting.set_document(&agreed.places);
                    }
                    (self.agreed, self.number) = (Some(Arc::new(agreed)), common.number);
                    self.stands.send_modify(|stands| {
                        stands.agreed = self.agreed.clone().map(|agreed| (agreed, self.stood_at));
                        stands.number = self.number;
                    });
                }
                None => {
                    tracing::error!(number = common.number, "what is agreed on of places can't be read here");
                }
            }
        }
        self.lead(&standing);
        self.act();
        if let Some(link) = &self.setup.link {
            let number = self.number;
            link.applied_number.send_if_modified(|acts| std::mem::replace(acts, number) != number);
        }
    }

    /// Starts or stops acting as leader.
    fn lead(&mut self, standing: &SharedDocumentStatus) {
        let Some(config) = self.config().filter(|_| standing.is_leader) else {
            if self.leading.take().is_some() {
                tracing::info!("leads places no more");
                self.give_up("the leader has lost its place");
            }
            return;
        };
        let number = standing.committed.as_ref().map_or(0, |agreed| agreed.number);
        if self.on_its_way.is_none() && number > self.rests_on {
            // The log contains an abandoned proposal or another leader's proposal, so the state is rebuilt.
            self.leading = None;
        }
        if self.leading.is_none() {
            self.rests_on = number;
            let stands = standing.committed.as_ref().map(|agreed| AgreedState::decode(&agreed.body));
            let stands = match stands {
                Some(None) => {
                    tracing::error!(
                        "what stands in the log of places can't be read here: it is written anew"
                    );
                    AgreedState::default()
                }
                Some(Some(agreed)) => {
                    self.note_agreed(&agreed);
                    agreed
                }
                None => AgreedState::default(),
            };
            tracing::info!("leads places");
            let mut leading = LeaderState::new((*config).clone(), stands, self.now());
            leading.set_max_lease(standing.max_lease);
            self.leading = Some(leading);
        }
    }

    fn note_agreed(&self, agreed: &AgreedState) {
        let plan = &agreed.places.plan;
        if plan.epoch > 0 && self.board.writer.is_on() {
            let digest = maplehook_versions::digest(&format!("{:?}", plan.rows));
            self.board.writer.note(What::Agreed { epoch: plan.epoch, digest: digest[..16].to_owned() });
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(REPORT_EACH) {
            self.report();
        }
        if self.ticks.is_multiple_of(TRIPS_EACH) {
            self.tell_trips();
        }
        self.served();
        self.act();
        let now = Instant::now();
        let over: Vec<u64> =
            self.passed_on.iter().filter(|(_, (_, until))| now > *until).map(|(ticket, _)| *ticket).collect();
        for ticket in over {
            if let Some((reply, _)) = self.passed_on.remove(&ticket) {
                let _ = reply.send(Reply::Unavailable("the leader does not answer".into()));
            }
        }
        if self.on_its_way.as_ref().is_some_and(|on| now > on.until) {
            self.ended(Err("no answer".into()));
        }
        self.decide();
    }

    fn decide(&mut self) {
        let (now, standing) = (self.now(), self.standing());
        let Some(leading) = &mut self.leading else { return };
        // The lagging members refer to the committed number and say nothing about an earlier one.
        let number = standing.committed.as_ref().map_or(0, |agreed| agreed.number);
        if self.on_its_way.is_some() || number != self.rests_on {
            return;
        }
        let aged = self.stood_at.elapsed();
        let behind: Vec<(String, Duration)> = standing
            .lagging_members
            .iter()
            .map(|behind| (behind.name.to_string(), behind.max_remaining.saturating_sub(aged)))
            .filter(|(_, left)| !left.is_zero())
            .collect();
        let in_touch: Vec<(String, bool)> =
            standing.members.iter().map(|(name, acts)| (name.to_string(), acts.is_some())).collect();
        if let Some(body) = leading.tick(now, &behind, &in_touch) {
            self.put(body, None);
        }
    }

    pub(crate) fn put(&mut self, body: Vec<u8>, wisher: Option<Wisher>) {
        let expect = self.rests_on;
        let (done, ended) = oneshot::channel();
        let sent = match &self.setup.link {
            Some(link) => link
                .channels
                .proposals
                .try_send(PartProposal { expected: expect, body, outcome: done })
                .is_ok(),
            None => false,
        };
        self.on_its_way = Some(OnItsWay { done: ended, until: Instant::now() + WISH, wisher });
        if !sent {
            self.ended(Err("the agreement's thread is busy".into()));
        }
    }

    fn ended(&mut self, ended: Result<u64, String>) {
        let wisher = self.on_its_way.take().and_then(|on| on.wisher);
        let reply = match &ended {
            Ok(number) => Reply::Done(*number),
            Err(why) => Reply::Unavailable(why.clone()),
        };
        if let Err(why) = &ended {
            tracing::info!("a change of places is not agreed on: {why}");
        }
        match &mut self.leading {
            Some(leading) if ended.is_ok() => {
                self.rests_on = ended.unwrap_or(self.rests_on);
                let agreed = leading.finish_proposal(true).cloned();
                if let Some(agreed) = agreed {
                    self.note_agreed(&agreed);
                }
            }
            // The outcome is unknown, so the state is read from the log again.
            _ => {
                self.leading = None;
                let standing = self.standing();
                self.lead(&standing);
            }
        }
        if let Some(wisher) = wisher {
            self.end(wisher, reply);
        }
    }

    fn give_up(&mut self, why: &str) {
        if let Some(wisher) = self.on_its_way.take().and_then(|on| on.wisher) {
            self.end(wisher, Reply::Unavailable(why.into()));
        }
    }
}

async fn changed(
    standing: &mut Option<watch::Receiver<SharedDocumentStatus>>,
) -> Result<(), watch::error::RecvError> {
    match standing {
        Some(standing) => {
            standing.changed().await?;
            standing.borrow_and_update();
            Ok(())
        }
        None => std::future::pending().await,
    }
}

async fn heard(link: &mut Option<Link>) -> Option<(Name, Bytes)> {
    match link {
        Some(link) => link.channels.incoming.recv().await,
        None => std::future::pending().await,
    }
}

async fn done(on_its_way: &mut Option<OnItsWay>) -> Result<u64, String> {
    match on_its_way {
        Some(on) => match (&mut on.done).await {
            Ok(outcome) => outcome.map_err(|error| error.to_string()),
            Err(_) => Err("this voter leads no more".into()),
        },
        None => std::future::pending().await,
    }
}
