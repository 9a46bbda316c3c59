//! Who decides: the leader's own part, fixed thresholds, or fixed thresholds after all were changed at once.

use maplehook_canary::{IntervalReport, RequestCounts, Side};
use maplehook_rollout::order::Member;
use maplehook_rollout::{Command, Rollout, RolloutState, StageVerdict, plan};
use maplehook_rollout_agent::document::{Change, Content, Document};
use maplehook_rollout_agent::leader::LeaderState;
use maplehook_rollout_agent::member::member_target;
use maplehook_rollout_agent::messages::MemberReport;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// The leader's own part.
    Judged,
    /// The same stages, each watched for its least time: stopped where a point more fail over a minute than at the others, or where
    /// 19 in 20 take a quarter longer.
    Fixed,
    /// All at once, and the same thresholds against the minute before.
    AtOnce,
}

impl Way {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Judged, Self::Fixed, Self::AtOnce];

    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Judged => "judged",
            Self::Fixed => "thresholds",
            Self::AtOnce => "all at once",
        }
    }
}

/// Of the thresholds: points more that fail, and times that 19 in 20 take longer.
const FAILS: f64 = 0.01;
const LONGER: f64 = 1.25;
/// Seconds that they look back, and how often they look.
const LOOKS_BACK: usize = 60;
const LOOKS_EACH: u64 = 10;
/// Seconds that each of their stages takes at least.
const LEAST: u64 = 120;

/// The plan for so many balancers.
pub fn plan_of(balancers: usize) -> String {
    let shares: &[f64] = match balancers {
        0..=7 => &[0.3, 0.6, 1.0],
        8..=63 => &[0.06, 0.25, 1.0],
        _ => &[0.01, 0.05, 0.25, 1.0],
    };
    let stage =
        |share: &f64| format!("[[stage]]\nshare = {share:.2}\nleast_s = {LEAST}\nleast_requests = 2000\n");
    let stages: String = shares.iter().map(stage).collect();
    format!("[change]\nprogram = 'p'\n{stages}")
}

/// What decides.
pub enum Decides {
    /// The leader's own part, and what stands in the log.
    Judged(Box<(LeaderState, Document)>),
    /// Thresholds.
    Fixed(Box<Fixed>),
}

/// Thresholds.
pub struct Fixed {
    rollout: Rollout,
    at_once: bool,
    /// What each side did, second by second.
    seen: VecDeque<[RequestCounts; 2]>,
    /// What the old ones did in the minute before all were changed.
    before: RequestCounts,
    crashed: bool,
    since: u64,
}

fn document(members: &[Member]) -> Result<Document, String> {
    let plan = plan::parse(&plan_of(members.len())).map_err(|faults| faults.to_string())?;
    let mut rollout = Rollout::new(1, plan, members).map_err(|e| e.to_string())?;
    rollout.apply(&Command::Proceed { step: 0 }).map_err(|why| why.to_string())?;
    let change = Change {
        rollout,
        content: Content::Program { path: "p".into(), digest: "0".repeat(64) },
        by: members.first().map(|member| member.name.clone()).unwrap_or_default(),
        started_at_ms: 0,
        stage_records: Vec::new(),
        baseline: None,
        released: BTreeSet::new(),
        version: None,
    };
    Ok(Document { number: 1, change: Some(change), past: Vec::new() })
}

impl Decides {
    /// From a change's beginning on.
    pub fn new(way: Way, members: &[Member]) -> Result<Self, String> {
        let document = document(members)?;
        let names = members.iter().map(|member| member.name.clone()).collect();
        if way == Way::Judged {
            let leading = LeaderState::new(names, document.clone(), Duration::ZERO);
            return Ok(Self::Judged(Box::new((leading, document))));
        }
        let mut rollout = document.change.ok_or("no change")?.rollout;
        if way == Way::AtOnce {
            let plan = plan::parse("[change]\nprogram = 'p'\n[[stage]]\nshare = 1.0\n");
            rollout = Rollout::new(1, plan.map_err(|faults| faults.to_string())?, members)
                .map_err(|e| e.to_string())?;
        }
        Ok(Self::Fixed(Box::new(Fixed {
            rollout,
            at_once: way == Way::AtOnce,
            seen: VecDeque::new(),
            before: RequestCounts::default(),
            crashed: false,
            since: 0,
        })))
    }

    /// Where the change stands.
    pub fn state(&self) -> &RolloutState {
        match self {
            Self::Judged(both) => {
                both.1.change.as_ref().map_or(&RolloutState::Planned, |change| &change.rollout.state)
            }
            Self::Fixed(fixed) => &fixed.rollout.state,
        }
    }

    /// On which side a balancer is to be, and by which step.
    pub fn wanted(&self, name: &str) -> (Side, u64) {
        match self {
            Self::Judged(both) => member_target(&both.1, name, Duration::ZERO)
                .map_or((Side::Old, 0), |wanted| (wanted.side, wanted.step)),
            Self::Fixed(fixed) => (fixed.rollout.target_side(name), fixed.rollout.step),
        }
    }

    /// Another leads from here on: it knows what stands in the log, and nothing else.
    pub fn another_leads(&mut self, members: &[Member], second: u64) {
        if let Self::Judged(both) = self {
            let names = members.iter().map(|member| member.name.clone()).collect();
            both.0 = LeaderState::new(names, both.1.clone(), Duration::from_secs(second));
        }
    }

    /// A second of all that were heard: where each stands, the step it has heard of, and what it reports.
    pub fn second(&mut self, second: u64, heard: BTreeMap<String, (String, Side, u64, IntervalReport)>) {
        match self {
            Self::Judged(both) => {
                let (leading, document) = &mut **both;
                let now = Duration::from_secs(second);
                for (name, (zone, side, step, report)) in heard {
                    let stands = MemberReport { zone, side: Some((1, side, step)), report: Some(report) };
                    leading.record_report(now, &name, stands);
                }
                if let Some(bytes) = leading.tick(now, None, second * 1000) {
                    let next = Document::decode(&bytes);
                    leading.finish_proposal(next.is_some());
                    *document = next.unwrap_or_else(|| document.clone());
                }
            }
            Self::Fixed(fixed) => fixed.second(second, heard),
        }
    }
}

impl Fixed {
    fn second(&mut self, second: u64, heard: BTreeMap<String, (String, Side, u64, IntervalReport)>) {
        let mut cells = [RequestCounts::default(), RequestCounts::default()];
        for (name, (_, side, step, report)) in heard {
            report.groups.values().for_each(|cell| cells[side as usize].add(cell));
            self.crashed |= side == Side::New && report.crashes > 0;
            let known = self.rollout.sides.get(&name);
            if known.is_none_or(|(before, had)| *before != side || *had < step) {
                self.play(Command::ReportSide { name, side, known_step: step });
            }
        }
        self.seen.push_back(cells);
        if self.seen.len() > LOOKS_BACK {
            self.seen.pop_front();
        }
        let step = self.rollout.step;
        if self.rollout.state == RolloutState::Planned {
            if second >= LOOKS_BACK as u64 {
                self.before = self.sum(Side::Old);
                self.seen.clear();
                self.since = second;
                self.play(Command::Proceed { step });
            }
            return;
        }
        let (Some(stage), true) = (self.rollout.stage(), second.is_multiple_of(LOOKS_EACH)) else { return };
        if !self.rollout.is_stage_changed() {
            self.since = second;
        }
        let judged = match self.worse() {
            Some(why) => StageVerdict::Regression(why),
            None if second >= self.since + LEAST => StageVerdict::Pass,
            None => return,
        };
        let well = judged == StageVerdict::Pass;
        self.play(Command::ApplyVerdict { step, stage, verdict: judged });
        if well {
            let last = stage + 2 == self.rollout.order.stages();
            self.before = if last { self.sum(Side::Old) } else { std::mem::take(&mut self.before) };
            self.since = second;
            self.seen.clear();
        }
    }

    fn sum(&self, side: Side) -> RequestCounts {
        let mut sum = RequestCounts::default();
        self.seen.iter().for_each(|cells| sum.add(&cells[side as usize]));
        sum
    }

    fn worse(&self) -> Option<String> {
        if self.crashed {
            return Some("crashes".into());
        }
        let (old, new) = (self.sum(Side::Old), self.sum(Side::New));
        let everybody = self.at_once
            || self.rollout.stage().is_some_and(|stage| stage + 1 == self.rollout.order.stages());
        let old = if everybody { &self.before } else { &old };
        if new.total() < 100 || old.total() < 100 {
            return None;
        }
        let share = |cell: &RequestCounts| cell.failed as f64 / cell.total() as f64;
        if share(&new) > share(old) + FAILS {
            return Some("failed".into());
        }
        let longer = new.quantile(0.95)? as f64 > LONGER * old.quantile(0.95)? as f64;
        longer.then(|| "slow".into())
    }

    fn play(&mut self, command: Command) {
        // What is refused changes nothing; it is said again.
        let _ = self.rollout.apply(&command);
    }
}
