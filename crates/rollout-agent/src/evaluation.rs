//! Evaluates one stage on the leader from balancer reports. Each report counts in one interval only.

use crate::document::Change;
use crate::messages::MemberReport;
use maplehook_canary::report::{MAX_GROUPS, Reports};
use maplehook_canary::{IntervalReport, Judge, Side, Verdict};
use maplehook_cluster::Name;
use maplehook_rollout::{RolloutState, StageVerdict};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Minimum time without reports after which a balancer counts as silent; three intervals if that is longer.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum length of a class, tenant or zone name in bytes.
const MAX_NAME_BYTES: usize = 512;
/// Maximum number of queued reports per balancer.
const MAX_QUEUED_REPORTS: usize = 8;
/// Number of old-side intervals that form the baseline of the last stage.
const BASELINE_INTERVALS: usize = 30;

/// Latest state and queued reports of a balancer, as the leader received them.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    /// Zone that the balancer last reported.
    pub zone: String,
    /// Time of the last report.
    pub last_report_at: Duration,
    /// Number of the change, side, and step that the balancer last reported.
    pub reported: Option<(u64, Side, u64)>,
    /// Queued interval reports with their times of arrival.
    reports: VecDeque<(Duration, IntervalReport)>,
    /// Crashes from dropped reports; added to the next queued report.
    crashes: u32,
}

impl MemberState {
    /// Records a balancer's report and drops oversized fields, which this program never sends.
    pub fn record(&mut self, now: Duration, mut member_report: MemberReport) {
        let is_too_long = |name: &str| name.len() > MAX_NAME_BYTES;
        let is_oversized = |report: &IntervalReport| {
            report.groups.len() > 2 * MAX_GROUPS
                || is_too_long(&report.zone)
                || report.groups.keys().any(|key| is_too_long(&key.class) || is_too_long(&key.tenant))
        };
        member_report.report = member_report.report.filter(|report| !is_oversized(report));
        if is_too_long(&member_report.zone) {
            member_report.zone.clear();
        }
        let change_and_side =
            |reported: &Option<(u64, Side, u64)>| reported.map(|(number, side, _)| (number, side));
        let side_changed = change_and_side(&self.reported) != change_and_side(&member_report.side);
        (self.zone, self.last_report_at, self.reported) = (member_report.zone, now, member_report.side);
        if side_changed {
            // After a side change, the request counts belong to neither side and are dropped. Crashes still
            // count.
            self.reports.clear();
            self.crashes = member_report.report.map_or(0, |report| report.crashes);
        } else if let Some(mut report) = member_report.report {
            report.crashes = report.crashes.saturating_add(std::mem::take(&mut self.crashes));
            if self.reports.len() >= MAX_QUEUED_REPORTS {
                self.reports.pop_front();
            }
            self.reports.push_back((now, report));
        }
    }

    /// Merges the reports that are at least one interval old; by then the reports of all balancers have
    /// arrived.
    fn take_due(&mut self, now: Duration, interval: Duration) -> Option<IntervalReport> {
        let due_count = self.reports.iter().take_while(|(at, _)| now.saturating_sub(*at) >= interval).count();
        let due_reports: Vec<IntervalReport> =
            self.reports.drain(..due_count).map(|(_, report)| report).collect();
        IntervalReport::merged(&due_reports)
    }
}

/// Statistical comparison of both sides during one stage.
#[derive(Clone, Debug)]
pub struct StageEvaluation {
    /// Number of the change and index of the stage.
    change_and_stage: (u64, usize),
    judge: Judge,
    started_at: Duration,
    /// True once all members of the stage have applied the change.
    is_stage_changed: bool,
    verdict: Option<Verdict>,
    baseline: VecDeque<IntervalReport>,
}

impl StageEvaluation {
    /// Starts the evaluation of a stage; `usual` holds the fractions of bad requests in earlier intervals.
    pub fn new(change: &Change, stage: usize, usual_bad_fractions: &[f64], now: Duration) -> Self {
        let change_and_stage = (change.rollout.number, stage);
        let judge = new_judge(change, stage, usual_bad_fractions);
        Self {
            change_and_stage,
            judge,
            started_at: now,
            is_stage_changed: false,
            verdict: None,
            baseline: VecDeque::new(),
        }
    }

    /// Returns true if this evaluation belongs to the change `number` and to `stage`.
    pub fn is_for_stage(&self, number: u64, stage: usize) -> bool {
        self.change_and_stage == (number, stage)
    }

    /// Returns the fractions of bad requests on the old side.
    pub fn usual_bad_fractions(&self) -> Vec<f64> {
        self.judge.baseline()
    }

    /// Returns the merged recent reports of the old side.
    pub fn baseline(&self) -> Option<IntervalReport> {
        IntervalReport::merged(&self.baseline)
    }

    /// Returns the verdict and the evidence, one line each.
    pub fn evidence(&self) -> Vec<String> {
        let verdict = self.verdict.as_ref().map(ToString::to_string);
        verdict.into_iter().chain(self.judge.evidence()).collect()
    }

    /// Evaluates a finished interval; returns a verdict if the evidence suffices.
    pub fn evaluate_interval(
        &mut self,
        now: Duration,
        change: &Change,
        member_states: &mut BTreeMap<String, MemberState>,
    ) -> Option<StageVerdict> {
        let rollout = &change.rollout;
        let (plan, stage) = (&rollout.plan, self.change_and_stage.1);
        if !self.is_stage_changed && rollout.is_stage_changed() {
            // The stage begins once all members have changed. Earlier intervals count for the baseline only.
            (self.judge, self.is_stage_changed) = (new_judge(change, stage, &self.judge.baseline()), true);
        }
        let (sides, reports) = self.collect_reports(now, change, member_states);
        let old = reports.iter().filter(|(name, _)| sides.get(*name) == Some(&Side::Old));
        self.baseline.extend(IntervalReport::merged(old.map(|(_, report)| report)));
        if self.baseline.len() > BASELINE_INTERVALS {
            self.baseline.pop_front();
        }
        self.judge.record_interval(&sides, &reports);
        let stage_plan = &plan.stages[stage.min(plan.stages.len() - 1)];
        let intervals =
            stage_plan.min_duration.as_millis().div_ceil(plan.report_interval.as_millis().max(1)) as u64;
        let verdict = self.judge.verdict(intervals, stage_plan.min_requests);
        let is_timed_out = now.saturating_sub(self.started_at) >= plan.inconclusive_after;
        let is_held = matches!(rollout.state, RolloutState::Paused { by_operator: false, .. });
        let stage_verdict = match &verdict {
            Verdict::Regression(why) => Some(StageVerdict::Regression(why.clone())),
            Verdict::SharedFault(why) => Some(StageVerdict::SharedFault(why.clone())),
            Verdict::Pass | Verdict::Inconclusive(_) if is_held => Some(StageVerdict::Recovered),
            Verdict::Pass if self.is_stage_changed && rollout.is_stage_changed() => Some(StageVerdict::Pass),
            Verdict::Inconclusive(why) if is_timed_out => {
                Some(StageVerdict::Inconclusive(format!("too little to say: {why}")))
            }
            Verdict::Pass if is_timed_out => Some(StageVerdict::Inconclusive(format!(
                "not changed yet: {}",
                rollout.pending_members().join(", ")
            ))),
            Verdict::Pass | Verdict::Inconclusive(_) => None,
        };
        self.verdict = Some(verdict);
        stage_verdict
    }

    /// Collects sides and due reports by balancer. A balancer that has reported recently but has no due
    /// report is left out. A silent balancer counts on its last known side.
    fn collect_reports(
        &self,
        now: Duration,
        change: &Change,
        member_states: &mut BTreeMap<String, MemberState>,
    ) -> (BTreeMap<Name, Side>, Reports) {
        let (rollout, interval) = (&change.rollout, change.rollout.plan.report_interval);
        let silence_timeout = MIN_SILENCE_TIMEOUT.max(interval * 3);
        let (mut sides, mut reports) = (BTreeMap::new(), Reports::new());
        for member in rollout.order.members() {
            let Some(name) = Name::new(&member.name) else { continue };
            let state = member_states.get_mut(&member.name);
            let is_recent = state
                .as_ref()
                .is_some_and(|state| now.saturating_sub(state.last_report_at) < silence_timeout);
            let reported = state.as_ref().and_then(|state| state.reported);
            let reported_side =
                reported.filter(|(number, ..)| *number == rollout.number).map(|(_, side, _)| side);
            if let (true, Some(state)) = (is_recent, state) {
                if let (Some(side), Some(report)) = (reported_side, state.take_due(now, interval)) {
                    reports.insert(name.clone(), report);
                    sides.insert(name, side);
                }
            } else {
                let known_side = rollout.sides.get(&member.name).map(|(side, _)| *side);
                // A balancer that was unreachable from the start and still on the old side provides no
                // evidence.
                let side = reported_side.or(known_side.filter(|side| *side == Side::New));
                if let (Some(side), true) = (side, now.saturating_sub(self.started_at) >= silence_timeout) {
                    sides.insert(name, side);
                }
            }
        }
        (sides, reports)
    }
}

fn new_judge(change: &Change, stage: usize, usual_bad_fractions: &[f64]) -> Judge {
    let thresholds = change.rollout.plan.thresholds.clone();
    match &change.baseline {
        Some(reference) if change.stage_has_all_members(stage) => {
            Judge::with_reference(thresholds, reference.clone())
        }
        _ => Judge::new(thresholds, usual_bad_fractions),
    }
}
