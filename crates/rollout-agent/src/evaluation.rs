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
const FRESH: Duration = Duration::from_millis(2500);
/// Maximum length of a class, tenant or zone name in bytes.
const WORD_MOST: usize = 512;
/// Maximum number of queued reports per balancer.
const WAITING: usize = 8;
/// Number of old-side intervals that form the baseline of the last stage.
const BEFORE: usize = 30;

/// Latest state and queued reports of a balancer, as the leader received them.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    /// Zone of the balancer.
    pub zone: String,
    /// Time of the last report.
    pub at: Duration,
    /// Number of the change, side, and step that the balancer last reported.
    pub stands: Option<(u64, Side, u64)>,
    /// Queued interval reports with their times of arrival.
    reports: VecDeque<(Duration, IntervalReport)>,
    /// Crashes from reports that carried no interval report.
    crashes: u32,
}

impl MemberState {
    /// Records a balancer's report and drops oversized fields, which this program never sends.
    pub fn hear(&mut self, now: Duration, mut stands: MemberReport) {
        let long = |word: &str| word.len() > WORD_MOST;
        let large = |report: &IntervalReport| {
            report.groups.len() > 2 * MAX_GROUPS
                || long(&report.zone)
                || report.groups.keys().any(|key| long(&key.class) || long(&key.tenant))
        };
        stands.report = stands.report.filter(|report| !large(report));
        if long(&stands.zone) {
            stands.zone.clear();
        }
        let side = |stands: &Option<(u64, Side, u64)>| stands.map(|(number, side, _)| (number, side));
        let turned = side(&self.stands) != side(&stands.side);
        (self.zone, self.at, self.stands) = (stands.zone, now, stands.side);
        if turned {
            // After a side change, the request counts belong to neither side and are dropped. Crashes still
            // count.
            self.reports.clear();
            self.crashes = stands.report.map_or(0, |report| report.crashes);
        } else if let Some(mut report) = stands.report {
            report.crashes = report.crashes.saturating_add(std::mem::take(&mut self.crashes));
            if self.reports.len() >= WAITING {
                self.reports.pop_front();
            }
            self.reports.push_back((now, report));
        }
    }

    /// Merges the reports that are at least one interval old; by then the reports of all balancers have
    /// arrived.
    fn due(&mut self, now: Duration, interval: Duration) -> Option<IntervalReport> {
        let due = self.reports.iter().take_while(|(at, _)| now.saturating_sub(*at) >= interval).count();
        let due: Vec<IntervalReport> = self.reports.drain(..due).map(|(_, report)| report).collect();
        IntervalReport::merged(&due)
    }
}

/// Evaluation of a stage.
#[derive(Clone, Debug)]
pub struct StageEvaluation {
    /// Number of the change and index of the stage.
    of: (u64, usize),
    judge: Judge,
    begun: Duration,
    /// True once all members of the stage have applied the change.
    placed: bool,
    verdict: Option<Verdict>,
    before: VecDeque<IntervalReport>,
}

impl StageEvaluation {
    /// Starts the evaluation of a stage; `usual` holds the fractions of bad requests in earlier intervals.
    pub fn new(change: &Change, stage: usize, usual: &[f64], now: Duration) -> Self {
        let of = (change.rollout.number, stage);
        let judge = judge(change, stage, usual);
        Self { of, judge, begun: now, placed: false, verdict: None, before: VecDeque::new() }
    }

    /// Returns true if this evaluation belongs to the given change and stage.
    pub fn is_of(&self, number: u64, stage: usize) -> bool {
        self.of == (number, stage)
    }

    /// Returns the fractions of bad requests on the old side.
    pub fn usual(&self) -> Vec<f64> {
        self.judge.baseline()
    }

    /// Returns the merged recent reports of the old side.
    pub fn before(&self) -> Option<IntervalReport> {
        IntervalReport::merged(&self.before)
    }

    /// Returns the verdict and the evidence, one line each.
    pub fn lines(&self) -> Vec<String> {
        let verdict = self.verdict.as_ref().map(ToString::to_string);
        verdict.into_iter().chain(self.judge.evidence()).collect()
    }

    /// Evaluates a finished interval; returns a verdict if the evidence suffices.
    pub fn interval(
        &mut self,
        now: Duration,
        change: &Change,
        heard: &mut BTreeMap<String, MemberState>,
    ) -> Option<StageVerdict> {
        let rollout = &change.rollout;
        let (plan, stage) = (&rollout.plan, self.of.1);
        if !self.placed && rollout.is_stage_changed() {
            // The stage begins once all members have changed. Earlier intervals count for the baseline only.
            (self.judge, self.placed) = (judge(change, stage, &self.judge.baseline()), true);
        }
        let (sides, reports) = self.take(now, change, heard);
        let old = reports.iter().filter(|(name, _)| sides.get(*name) == Some(&Side::Old));
        self.before.extend(IntervalReport::merged(old.map(|(_, report)| report)));
        if self.before.len() > BEFORE {
            self.before.pop_front();
        }
        self.judge.record_interval(&sides, &reports);
        let least = &plan.stages[stage.min(plan.stages.len() - 1)];
        let intervals =
            least.min_duration.as_millis().div_ceil(plan.report_interval.as_millis().max(1)) as u64;
        let verdict = self.judge.verdict(intervals, least.min_requests);
        let long = now.saturating_sub(self.begun) >= plan.inconclusive_after;
        let held = matches!(rollout.state, RolloutState::Paused { by_operator: false, .. });
        let judged = match &verdict {
            Verdict::Regression(why) => Some(StageVerdict::Regression(why.clone())),
            Verdict::SharedFault(why) => Some(StageVerdict::SharedFault(why.clone())),
            Verdict::Pass | Verdict::Inconclusive(_) if held => Some(StageVerdict::Recovered),
            Verdict::Pass if self.placed && rollout.is_stage_changed() => Some(StageVerdict::Pass),
            Verdict::Inconclusive(why) if long => {
                Some(StageVerdict::Inconclusive(format!("too little to say: {why}")))
            }
            Verdict::Pass if long => Some(StageVerdict::Inconclusive(format!(
                "not changed yet: {}",
                rollout.pending_members().join(", ")
            ))),
            Verdict::Pass | Verdict::Inconclusive(_) => None,
        };
        self.verdict = Some(verdict);
        judged
    }

    /// Collects sides and due reports by balancer. A balancer that has reported recently but has no due
    /// report is left out. A silent balancer counts on its last known side.
    fn take(
        &self,
        now: Duration,
        change: &Change,
        heard: &mut BTreeMap<String, MemberState>,
    ) -> (BTreeMap<Name, Side>, Reports) {
        let (rollout, interval) = (&change.rollout, change.rollout.plan.report_interval);
        let fresh = FRESH.max(interval * 3);
        let (mut sides, mut reports) = (BTreeMap::new(), Reports::new());
        for member in rollout.order.members() {
            let Some(name) = Name::new(&member.name) else { continue };
            let heard = heard.get_mut(&member.name);
            let lately = heard.as_ref().is_some_and(|heard| now.saturating_sub(heard.at) < fresh);
            let stands = heard.as_ref().and_then(|heard| heard.stands);
            let said = stands.filter(|(number, ..)| *number == rollout.number).map(|(_, side, _)| side);
            if let (true, Some(heard)) = (lately, heard) {
                if let (Some(side), Some(report)) = (said, heard.due(now, interval)) {
                    reports.insert(name.clone(), report);
                    sides.insert(name, side);
                }
            } else {
                let known = rollout.sides.get(&member.name).map(|(side, _)| *side);
                // A balancer that was unreachable from the start and still on the old side provides no
                // evidence.
                let side = said.or(known.filter(|side| *side == Side::New));
                if let (Some(side), true) = (side, now.saturating_sub(self.begun) >= fresh) {
                    sides.insert(name, side);
                }
            }
        }
        (sides, reports)
    }
}

fn judge(change: &Change, stage: usize, usual: &[f64]) -> Judge {
    let bounds = change.rollout.plan.thresholds.clone();
    match &change.baseline {
        Some(before) if change.stage_includes_all_members(stage) => {
            Judge::with_reference(bounds, before.clone())
        }
        _ => Judge::new(bounds, usual),
    }
}
