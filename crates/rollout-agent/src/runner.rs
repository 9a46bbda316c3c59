//! Thread of the rollout agent: publishes the settings to apply, reports, and acts as leader if elected.
//!
//! Exchanges watched values with the serving thread. Requests never wait for this thread, and nothing is
//! counted unless a change is active.

use crate::agent::{AppliedSide, Setup, StagedSettings};
use crate::document::{Content, Document};
use crate::leader::LeaderState;
use crate::member::{MemberTarget, member_target};
use crate::messages::{OperatorRequest, Reply};
use crate::process_usage::{ProcessUsage, process_usage};
use crate::staged_settings::staged_rules;
use crate::status_board::{LocalState, QueuedRequest};
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
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of member reports without a change, and of the leader's evidence messages.
pub(crate) const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a forwarded request and for a proposal.
pub(crate) const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(3000);

/// Origin of an operator's request, which receives the outcome.
pub(crate) enum Requester {
    Local(oneshot::Sender<Reply>),
    Remote(Name, u64),
}

/// A proposal that is in flight.
pub(crate) struct PendingProposal {
    pub(crate) outcome_receiver: oneshot::Receiver<Result<u64, ProposalError>>,
    pub(crate) deadline: Instant,
    /// Requester to notify of the outcome, and the number of the change.
    pub(crate) requester: Option<(Requester, u64)>,
}

pub(crate) struct Runner {
    pub(crate) setup: Setup,
    pub(crate) local_state: watch::Sender<LocalState>,
    staged_settings: watch::Sender<Option<Arc<StagedSettings>>>,
    applied: watch::Receiver<Option<AppliedSide>>,
    report_interval: watch::Sender<Option<Duration>>,
    started_at: Instant,
    pub(crate) document: Arc<Document>,
    pub(crate) number: u64,
    pub(crate) target: Option<MemberTarget>,
    /// Number of the last parsed settings change and its rules; `None` in place of rules that cannot be
    /// parsed here.
    parsed_settings: Option<(u64, Option<Arc<Proxy>>)>,
    pub(crate) leader_state: Option<LeaderState>,
    /// Log number that this leader's decisions are based on.
    pub(crate) base_number: u64,
    pub(crate) pending_proposal: Option<PendingProposal>,
    /// Requests that wait for the proposal in flight.
    pub(crate) queued_requests: VecDeque<(OperatorRequest, Requester, Option<String>)>,
    pub(crate) forwarded_requests: BTreeMap<u64, (oneshot::Sender<Reply>, Instant)>,
    /// Outcome of proposing the completed settings as the next version.
    pub(crate) version_proposal: Option<oneshot::Receiver<Option<Result<u64, String>>>>,
    pub(crate) last_usage: ProcessUsage,
    pub(crate) last_report_at: Option<Instant>,
    pub(crate) last_evidence_at: Instant,
    pub(crate) crashes: u32,
}

impl Runner {
    pub(crate) fn new(
        setup: Setup,
        local_state: watch::Sender<LocalState>,
        staged_settings: watch::Sender<Option<Arc<StagedSettings>>>,
        applied: watch::Receiver<Option<AppliedSide>>,
        report_interval: watch::Sender<Option<Duration>>,
    ) -> Self {
        let crashes = setup.crashes;
        Self {
            setup,
            local_state,
            staged_settings,
            applied,
            report_interval,
            started_at: Instant::now(),
            document: Arc::default(),
            number: 0,
            target: None,
            parsed_settings: None,
            leader_state: None,
            base_number: 0,
            pending_proposal: None,
            queued_requests: VecDeque::new(),
            forwarded_requests: BTreeMap::new(),
            version_proposal: None,
            last_usage: process_usage(),
            last_report_at: None,
            last_evidence_at: Instant::now(),
            crashes,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(crate) fn document_status(&self) -> SharedDocumentStatus {
        self.setup.link.document_status.borrow().clone()
    }

    pub(crate) async fn run(
        mut self,
        mut reports: mpsc::Receiver<IntervalReport>,
        mut requests: mpsc::Receiver<QueuedRequest>,
        mut stop: oneshot::Receiver<()>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut document_status = self.setup.link.document_status.clone();
        let mut active_version = self.setup.link.active_version.clone();
        let mut applied = self.applied.clone();
        loop {
            tokio::select! {
                _ = &mut stop => break,
                _ = ticks.tick() => self.tick(),
                Ok(()) = document_status.changed() => {
                    document_status.borrow_and_update();
                    self.apply_document_status();
                }
                Ok(()) = active_version.changed() => {
                    active_version.borrow_and_update();
                    self.update_target();
                }
                Ok(()) = applied.changed() => {
                    applied.borrow_and_update();
                    self.report(None);
                }
                Some(report) = reports.recv() => self.report(Some(report)),
                Some((from, body)) = self.setup.link.channels.incoming.recv() =>
                    self.handle_message(&from, &body),
                Some((request, reply)) = requests.recv() =>
                    self.handle_request(request, Requester::Local(reply), None),
                outcome = proposal_outcome(&mut self.pending_proposal) => self.finish_proposal(outcome),
                version = version_outcome(&mut self.version_proposal) => self.record_version(version),
            }
        }
    }

    fn tick(&mut self) {
        self.update_target();
        if self.last_report_at.is_none_or(|at| at.elapsed() >= STATUS_INTERVAL) {
            self.report(None);
        }
        let now = Instant::now();
        let expired: Vec<u64> = self
            .forwarded_requests
            .iter()
            .filter(|(_, (_, deadline))| now > *deadline)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            if let Some((reply, _)) = self.forwarded_requests.remove(&ticket) {
                let _ = reply.send(Reply::Unavailable("the leader does not answer".into()));
            }
        }
        if self.pending_proposal.as_ref().is_some_and(|pending| now > pending.deadline) {
            self.finish_proposal(Err("no answer".into()));
        }
        self.decide();
        if self.last_evidence_at.elapsed() >= STATUS_INTERVAL {
            self.last_evidence_at = now;
            self.send_evidence();
        }
    }

    /// Handles a change of the agreed document, the leader or the lease.
    fn apply_document_status(&mut self) {
        let document_status = self.document_status();
        if let Some(shared_document) =
            document_status.received.as_ref().filter(|shared_document| shared_document.number != self.number)
        {
            self.number = shared_document.number;
            match Document::decode(&shared_document.body) {
                Some(document) => self.document = Arc::new(document),
                None => tracing::error!(number = self.number, "cannot decode the agreed rollout document"),
            }
        }
        let leader = document_status.leader.as_ref().map(ToString::to_string);
        self.local_state.send_if_modified(|local_state| {
            let is_changed =
                local_state.leader != leader || !Arc::ptr_eq(&local_state.document, &self.document);
            (local_state.leader, local_state.document) = (leader, Arc::clone(&self.document));
            is_changed
        });
        self.update_leadership(&document_status);
        self.update_target();
    }

    /// Updates the target of this balancer and the reporting interval.
    fn update_target(&mut self) {
        let lease_end = self.document_status().lease_end;
        let silence =
            lease_end.map_or(self.started_at.elapsed(), |end| Instant::now().saturating_duration_since(end));
        let target = member_target(&self.document, &self.setup.name, silence);
        if target != self.target {
            if let Some(target) = &target {
                tracing::info!(
                    change = target.number,
                    step = target.step,
                    side = ?target.side,
                    "{}",
                    target.state_description
                );
            }
            self.target.clone_from(&target);
            self.local_state.send_modify(|local_state| local_state.target = target);
        }
        let active_change = self.document.change.as_ref().filter(|change| change.is_active());
        let interval = active_change.map(|change| change.rollout.plan.report_interval);
        self.report_interval.send_if_modified(|current| std::mem::replace(current, interval) != interval);
        let staged_settings = self.staged_settings();
        self.staged_settings.send_if_modified(|current| {
            let is_changed = *current != staged_settings;
            *current = staged_settings;
            is_changed
        });
    }

    /// Returns the staged settings to apply, until they are rolled back on all sides or become the version in
    /// force.
    fn staged_settings(&mut self) -> Option<Arc<StagedSettings>> {
        let change = self.document.change.as_ref().filter(|change| {
            change.is_active() || change.rollout.state == maplehook_rollout::RolloutState::Completed
        })?;
        let target = self.target.as_ref()?;
        let Content::Settings { text, base_version } = &change.content else { return None };
        let active_version = self.setup.link.active_version.borrow();
        let previous = self.staged_settings.borrow().clone();
        let base_version = base_version.to_string();
        if active_version.label != base_version {
            return None;
        }
        let (number, step, side) = (target.number, target.step, target.side);
        let is_same = |staged_settings: &StagedSettings| {
            (staged_settings.number, staged_settings.side) == (number, side)
                && staged_settings.base_version == base_version
        };
        if let Some(previous) = previous.filter(|previous| is_same(previous)) {
            return Some(if previous.step == step {
                previous
            } else {
                Arc::new(StagedSettings { step, ..(*previous).clone() })
            });
        }
        if self.parsed_settings.as_ref().is_none_or(|(parsed_number, _)| *parsed_number != number) {
            let new = read_rules(&self.setup.file, text);
            if let Err(e) = &new {
                tracing::error!(change = number, "cannot apply the new settings on this balancer: {e}");
            }
            self.parsed_settings = Some((number, new.ok().map(Arc::new)));
        }
        let new = self.parsed_settings.as_ref().and_then(|(_, new)| new.clone())?;
        let old = &active_version.rules;
        let rules = Arc::new(match side {
            Side::Old => staged_rules(old, &new),
            Side::New => staged_rules(&new, old),
        });
        Some(Arc::new(StagedSettings { number, step, side, base_version, rules }))
    }

    /// Returns the change number, applied side and step: the settings in use by the serving thread, or the
    /// running program.
    pub(crate) fn applied_side(&self) -> Option<(u64, Side, u64)> {
        let change = self.document.change.as_ref().filter(|change| change.is_active())?;
        let (number, step) = (change.rollout.number, change.rollout.step);
        match &change.content {
            Content::Program { digest, .. } => {
                let is_new =
                    self.setup.digest.as_ref().is_some_and(|running| running.eq_ignore_ascii_case(digest));
                Some((number, if is_new { Side::New } else { Side::Old }, step))
            }
            Content::Settings { .. } => {
                let applied_side =
                    (*self.applied.borrow()).filter(|applied_side| applied_side.number == number);
                applied_side.map(|applied_side| (number, applied_side.side, applied_side.step)).or_else(
                    || {
                        // This balancer cannot apply the new settings, so it stays on the old side.
                        let is_unreadable = matches!(
                            &self.parsed_settings,
                            Some((parsed_number, None)) if *parsed_number == number
                        );
                        is_unreadable.then_some((number, Side::Old, step))
                    },
                )
            }
        }
    }
}

/// Parses the local file combined with the given shared sections.
pub(crate) fn read_rules(file: &str, shared: &str) -> Result<Proxy, String> {
    let file_text = maplehook_config::with_shared(file, shared).map_err(|e| e.to_string())?;
    let parsed = maplehook_config::parse(&file_text).map_err(|e| e.to_string())?;
    parsed.proxy.ok_or_else(|| "it names no class and no upstream".into())
}

async fn proposal_outcome(pending_proposal: &mut Option<PendingProposal>) -> Result<u64, String> {
    match pending_proposal {
        Some(pending) => match (&mut pending.outcome_receiver).await {
            Ok(outcome) => outcome.map_err(|error| error.to_string()),
            Err(_) => Err("this voter leads no more".into()),
        },
        None => std::future::pending().await,
    }
}

async fn version_outcome(
    version_proposal: &mut Option<oneshot::Receiver<Option<Result<u64, String>>>>,
) -> Option<Result<u64, String>> {
    let version = match version_proposal {
        Some(receiver) => receiver.await.ok().flatten(),
        None => std::future::pending().await,
    };
    *version_proposal = None;
    version
}
