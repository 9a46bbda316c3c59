//! The leader's judgement of one stage, from what balancers report: an interval at a time, none counted twice.

use crate::document::Change;
use crate::messages::MemberReport;
use maplehook_canary::report::{MAX_GROUPS, Reports};
use maplehook_canary::{IntervalReport, Judge, Side, Verdict};
use maplehook_cluster::Name;
use maplehook_rollout::{RolloutState, StageVerdict};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long a balancer's last word holds, or three intervals.
const FRESH: Duration = Duration::from_millis(2500);
/// The longest name of a class, a tenant or a zone.
const WORD_MOST: usize = 512;
/// Reports of one balancer that may wait.
const WAITING: usize = 8;
/// Intervals of the old ones that the last stage is compared with.
const BEFORE: usize = 30;

/// What a leader has heard of a balancer.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    /// Its zone.
    pub zone: String,
    /// When, last.
    pub at: Duration,
    /// The change's number, the side, and the step that it had heard of.
    pub stands: Option<(u64, Side, u64)>,
    /// Reports, and when each came.
    reports: VecDeque<(Duration, IntervalReport)>,
    /// Of reports that were left out.
    crashes: u32,
}

impl MemberState {
    /// A balancer has said where it stands. What is larger than any that this program says is passed over.
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
            // What became of requests meanwhile is of neither side; that a process has crashed is.
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

    /// What came an interval ago or earlier: by then it has come from all.
    fn due(&mut self, now: Duration, interval: Duration) -> Option<IntervalReport> {
        let due = self.reports.iter().take_while(|(at, _)| now.saturating_sub(*at) >= interval).count();
        let due: Vec<IntervalReport> = self.reports.drain(..due).map(|(_, report)| report).collect();
        IntervalReport::merged(&due)
    }
}

/// The judgement of a stage.
#[derive(Clone, Debug)]
pub struct StageEvaluation {
    /// The change and the stage.
    of: (u64, usize),
    judge: Judge,
    begun: Duration,
    /// Whether all of the stage has been changed since.
    placed: bool,
    verdict: Option<Verdict>,
    before: VecDeque<IntervalReport>,
}

impl StageEvaluation {
    /// Of the stage that runs; `usual`: shares of bad requests of the intervals before.
    pub fn new(change: &Change, stage: usize, usual: &[f64], now: Duration) -> Self {
        let of = (change.rollout.number, stage);
        let judge = judge(change, stage, usual);
        Self { of, judge, begun: now, placed: false, verdict: None, before: VecDeque::new() }
    }

    /// Whether it is of this stage.
    pub fn is_of(&self, number: u64, stage: usize) -> bool {
        self.of == (number, stage)
    }

    /// What is usual at the old ones.
    pub fn usual(&self) -> Vec<f64> {
        self.judge.baseline()
    }

    /// What the old ones did of late, all of it together.
    pub fn before(&self) -> Option<IntervalReport> {
        IntervalReport::merged(&self.before)
    }

    /// What is known, line by line.
    pub fn lines(&self) -> Vec<String> {
        let verdict = self.verdict.as_ref().map(ToString::to_string);
        verdict.into_iter().chain(self.judge.evidence()).collect()
    }

    /// An interval is over: what it comes to, if that says anything.
    pub fn interval(
        &mut self,
        now: Duration,
        change: &Change,
        heard: &mut BTreeMap<String, MemberState>,
    ) -> Option<StageVerdict> {
        let rollout = &change.rollout;
        let (plan, stage) = (&rollout.plan, self.of.1);
        if !self.placed && rollout.is_stage_changed() {
            // Only now is it a stage: what was before counts for what is usual alone.
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

    /// Who is on which side, and what each of them reports. Whoever was just heard of and has nothing yet is left out; whoever is
    /// silent is where it is to be, or was.
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
                // One that was as before and out of reach all the time says nothing of the change.
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
