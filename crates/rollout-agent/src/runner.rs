//! Thread of the rollout agent: publishes the settings to apply, reports, and acts as leader if elected.
//!
//! Exchanges watched values with the serving thread. Requests never wait for this thread, and nothing is
//! counted unless a change is active.

use crate::agent::{AppliedSide, Setup, StagedSettings};
use crate::document::{Content, Document};
use crate::leader::LeaderState;
use crate::member::{MemberTarget, member_target};
use crate::messages::{OperatorRequest, Reply};
use crate::process_usage::{Used, used};
use crate::staged_settings::staged;
use crate::status_board::{LocalState, Wished};
use maplehook_canary::{IntervalReport, Side};
use maplehook_cluster::Name;
use maplehook_config::Proxy;
use maplehook_consensus::{ProposalError, SharedDocumentStatus};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Interval between evaluations of the rollout state.
const TICK: Duration = Duration::from_millis(50);
/// Interval of member reports without a change, and of the leader's evidence messages.
pub(crate) const CALM: Duration = Duration::from_secs(1);
/// Timeout for a forwarded request and for a proposal.
pub(crate) const WISH: Duration = Duration::from_millis(3000);

/// Origin of an operator's request, which receives the outcome.
pub(crate) enum Wisher {
    Here(oneshot::Sender<Reply>),
    There(Name, u64),
}

/// A proposal that is in flight.
pub(crate) struct OnItsWay {
    pub(crate) done: oneshot::Receiver<Result<u64, ProposalError>>,
    pub(crate) until: Instant,
    /// Requester to notify of the outcome, and the number of the change.
    pub(crate) wisher: Option<(Wisher, u64)>,
}

pub(crate) struct Runner {
    pub(crate) setup: Setup,
    pub(crate) stands: watch::Sender<LocalState>,
    staged: watch::Sender<Option<Arc<StagedSettings>>>,
    acks: watch::Receiver<Option<AppliedSide>>,
    counts: watch::Sender<Option<Duration>>,
    begun: Instant,
    pub(crate) document: Arc<Document>,
    pub(crate) number: u64,
    pub(crate) wanted: Option<MemberTarget>,
    /// Number of the last parsed settings change and its rules; `None` in place of rules that cannot be
    /// parsed here.
    read: Option<(u64, Option<Arc<Proxy>>)>,
    pub(crate) leading: Option<LeaderState>,
    /// Log number that this leader's decisions are based on.
    pub(crate) rests_on: u64,
    pub(crate) on_its_way: Option<OnItsWay>,
    /// Requests that wait for the proposal in flight.
    pub(crate) waits: VecDeque<(OperatorRequest, Wisher, Option<String>)>,
    pub(crate) passed_on: BTreeMap<u64, (oneshot::Sender<Reply>, Instant)>,
    /// Outcome of proposing the completed settings as the next version.
    pub(crate) proposing: Option<oneshot::Receiver<Option<Result<u64, String>>>>,
    pub(crate) used: Used,
    pub(crate) said_at: Option<Instant>,
    pub(crate) told_at: Instant,
    pub(crate) crashes: u32,
}

impl Runner {
    pub(crate) fn new(
        setup: Setup,
        stands: watch::Sender<LocalState>,
        staged: watch::Sender<Option<Arc<StagedSettings>>>,
        acks: watch::Receiver<Option<AppliedSide>>,
        counts: watch::Sender<Option<Duration>>,
    ) -> Self {
        let crashes = setup.crashes;
        Self {
            setup,
            stands,
            staged,
            acks,
            counts,
            begun: Instant::now(),
            document: Arc::default(),
            number: 0,
            wanted: None,
            read: None,
            leading: None,
            rests_on: 0,
            on_its_way: None,
            waits: VecDeque::new(),
            passed_on: BTreeMap::new(),
            proposing: None,
            used: used(),
            said_at: None,
            told_at: Instant::now(),
            crashes,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub(crate) fn standing(&self) -> SharedDocumentStatus {
        self.setup.link.document_status.borrow().clone()
    }

    pub(crate) async fn run(
        mut self,
        mut reports: mpsc::Receiver<IntervalReport>,
        mut wished: mpsc::Receiver<Wished>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut standing = self.setup.link.document_status.clone();
        let mut acting = self.setup.link.active_version.clone();
        let mut acks = self.acks.clone();
        loop {
            tokio::select! {
                _ = &mut stopped => break,
                _ = ticks.tick() => self.tick(),
                Ok(()) = standing.changed() => {
                    standing.borrow_and_update();
                    self.stood();
                }
                Ok(()) = acting.changed() => {
                    acting.borrow_and_update();
                    self.act();
                }
                Ok(()) = acks.changed() => {
                    acks.borrow_and_update();
                    self.say(None);
                }
                Some(report) = reports.recv() => self.say(Some(report)),
                Some((from, body)) = self.setup.link.channels.incoming.recv() => self.hear(&from, &body),
                Some((wish, reply)) = wished.recv() => self.wish(wish, Wisher::Here(reply), None),
                ended = done(&mut self.on_its_way) => self.ended(ended),
                proposed = proposed(&mut self.proposing) => self.proposed(proposed),
            }
        }
    }

    fn tick(&mut self) {
        self.act();
        if self.said_at.is_none_or(|at| at.elapsed() >= CALM) {
            self.say(None);
        }
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
        if self.told_at.elapsed() >= CALM {
            self.told_at = now;
            self.tell_what_is_known();
        }
    }

    /// Handles a change of the agreed document, the leader or the lease.
    fn stood(&mut self) {
        let standing = self.standing();
        if let Some(common) = standing.received.as_ref().filter(|common| common.number != self.number) {
            self.number = common.number;
            match Document::decode(&common.body) {
                Some(document) => self.document = Arc::new(document),
                None => tracing::error!(
                    number = self.number,
                    "what is agreed on of changes in stages can't be read here"
                ),
            }
        }
        let leader = standing.leader.as_ref().map(ToString::to_string);
        self.stands.send_if_modified(|stands| {
            let news = stands.leader != leader || !Arc::ptr_eq(&stands.document, &self.document);
            (stands.leader, stands.document) = (leader, Arc::clone(&self.document));
            news
        });
        self.lead(&standing);
        self.act();
    }

    /// Updates the target of this balancer and the reporting interval.
    fn act(&mut self) {
        let until = self.standing().lease_end;
        let silent =
            until.map_or(self.begun.elapsed(), |until| Instant::now().saturating_duration_since(until));
        let wanted = member_target(&self.document, &self.setup.name, silent);
        if wanted != self.wanted {
            if let Some(wanted) = &wanted {
                tracing::info!(change = wanted.number, step = wanted.step, side = ?wanted.side, "{}", wanted.state_description);
            }
            self.wanted.clone_from(&wanted);
            self.stands.send_modify(|stands| stands.wanted = wanted);
        }
        let counts = self.document.change.as_ref().filter(|change| change.is_active());
        let counts = counts.map(|change| change.rollout.plan.report_interval);
        self.counts.send_if_modified(|before| std::mem::replace(before, counts) != counts);
        let staged = self.staging();
        self.staged.send_if_modified(|before| {
            let news = *before != staged;
            *before = staged;
            news
        });
    }

    /// Returns the staged settings to apply, until they are rolled back on all sides or become the version in
    /// force.
    fn staging(&mut self) -> Option<Arc<StagedSettings>> {
        let change = self.document.change.as_ref().filter(|change| {
            change.is_active() || change.rollout.state == maplehook_rollout::RolloutState::Completed
        })?;
        let wanted = self.wanted.as_ref()?;
        let Content::Settings { text, base_version: rests_on } = &change.content else { return None };
        let acting = self.setup.link.active_version.borrow();
        let before = self.staged.borrow().clone();
        let rests_on = rests_on.to_string();
        if acting.label != rests_on {
            return None;
        }
        let (number, step, side) = (wanted.number, wanted.step, wanted.side);
        let same = |staged: &StagedSettings| {
            (staged.number, staged.side) == (number, side) && staged.base_version == rests_on
        };
        if let Some(before) = before.filter(|before| same(before)) {
            return Some(if before.step == step {
                before
            } else {
                Arc::new(StagedSettings { step, ..(*before).clone() })
            });
        }
        if self.read.as_ref().is_none_or(|(of, _)| *of != number) {
            let new = read(&self.setup.file, text);
            if let Err(e) = &new {
                tracing::error!(change = number, "the new settings can't be acted on here: {e}");
            }
            self.read = Some((number, new.ok().map(Arc::new)));
        }
        let new = self.read.as_ref().and_then(|(_, new)| new.clone())?;
        let old = &acting.rules;
        let rules = Arc::new(match side {
            Side::Old => staged(old, &new),
            Side::New => staged(&new, old),
        });
        Some(Arc::new(StagedSettings { number, step, side, base_version: rests_on, rules }))
    }

    /// Returns the change number, applied side and step: the settings in use by the serving thread, or the
    /// running program.
    pub(crate) fn side(&self) -> Option<(u64, Side, u64)> {
        let change = self.document.change.as_ref().filter(|change| change.is_active())?;
        let (number, step) = (change.rollout.number, change.rollout.step);
        match &change.content {
            Content::Program { digest, .. } => {
                let is = self.setup.digest.as_ref().is_some_and(|own| own.eq_ignore_ascii_case(digest));
                Some((number, if is { Side::New } else { Side::Old }, step))
            }
            Content::Settings { .. } => {
                let acked = (*self.acks.borrow()).filter(|acked| acked.number == number);
                acked.map(|acked| (number, acked.side, acked.step)).or_else(|| {
                    // This balancer cannot apply the new settings, so it stays on the old side.
                    let cannot = matches!(&self.read, Some((of, None)) if *of == number);
                    cannot.then_some((number, Side::Old, step))
                })
            }
        }
    }
}

/// Parses the local file combined with the given shared sections.
pub(crate) fn read(file: &str, shared: &str) -> Result<Proxy, String> {
    let whole = maplehook_config::with_shared(file, shared).map_err(|e| e.to_string())?;
    let operator = maplehook_config::parse(&whole).map_err(|e| e.to_string())?;
    operator.proxy.ok_or_else(|| "it names no class and no upstream".into())
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

async fn proposed(
    proposing: &mut Option<oneshot::Receiver<Option<Result<u64, String>>>>,
) -> Option<Result<u64, String>> {
    let told = match proposing {
        Some(told) => told.await.ok().flatten(),
        None => std::future::pending().await,
    };
    *proposing = None;
    told
}
