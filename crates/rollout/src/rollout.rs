//! The state machine of a rollout. Its commands are entries of the replicated log, so that it outlives any process, and a partition
//! without a majority cannot advance it.
//!
//! Each command but the members' own reports names the step that its author has seen; a stale one changes nothing. A stage is left
//! only by a verdict on that very stage, given once all of it had been changed.

use crate::command::{Command, RolloutError, StageVerdict};
use crate::order::{Member, StageOrder, UnknownMemberError};
use crate::plan::{InconclusivePolicy, LostContactPolicy, Plan};
use crate::state::{RolloutEvent, RolloutState};
use maplehook_canary::Side;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Events that are kept.
pub const MAX_EVENTS: usize = 256;

/// A rollout: its plan, its state, and what is known of its members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its number, which is given once.
    pub number: u64,
    /// Its plan.
    pub plan: Plan,
    /// Which members are in which stage.
    pub order: StageOrder,
    /// Counts changes of the state.
    pub step: u64,
    /// The state.
    pub state: RolloutState,
    /// The side that each member last reported, and the step that it knew then; no entry if it never reported.
    pub sides: BTreeMap<String, (Side, u64)>,
    /// The step at which the rollback began; 0 if none has.
    pub rollback_step: u64,
    /// The furthest stage that has begun.
    pub furthest_stage: Option<usize>,
    /// Number of stages that passed.
    pub passed_stages: usize,
    /// A feature, used since the rollout was completed, that the program before does not know.
    pub irreversible_feature: Option<String>,
    /// What happened, the latest last.
    pub events: VecDeque<RolloutEvent>,
}

impl Rollout {
    /// A rollout that has not started.
    ///
    /// # Errors
    ///
    /// If the plan names a member that does not exist.
    pub fn new(number: u64, plan: Plan, members: &[Member]) -> Result<Self, UnknownMemberError> {
        let order = StageOrder::new(&plan, members, number)?;
        Ok(Self {
            number,
            plan,
            order,
            step: 0,
            state: RolloutState::Planned,
            sides: BTreeMap::new(),
            rollback_step: 0,
            furthest_stage: None,
            passed_stages: 0,
            irreversible_feature: None,
            events: VecDeque::new(),
        })
    }

    /// The stage that is in progress, if one is.
    pub fn stage(&self) -> Option<usize> {
        match &self.state {
            RolloutState::Running(stage) | RolloutState::Paused { stage, .. } => Some(*stage),
            _ => None,
        }
    }

    /// The side that a member is to be on.
    pub fn target_side(&self, name: &str) -> Side {
        let is_new = match &self.state {
            RolloutState::Running(stage) | RolloutState::Paused { stage, .. } => {
                self.order.is_in_stage(*stage, name)
            }
            RolloutState::Completed => true,
            _ => false,
        };
        if is_new { Side::New } else { Side::Old }
    }

    /// Members of the present stage that are not known to be changed.
    pub fn pending_members(&self) -> Vec<String> {
        let Some(stage) = self.stage() else { return Vec::new() };
        let is_new = |name: &str| self.sides.get(name).is_some_and(|(side, _)| *side == Side::New);
        let pending = self.order.stage(stage).iter().filter(|member| !is_new(&member.name));
        pending.map(|member| member.name.clone()).collect()
    }

    /// Whether the present stage may be judged: all of it is changed, but for the share that may be out of reach, which is nobody in
    /// a small stage.
    pub fn is_stage_changed(&self) -> bool {
        let Some(stage) = self.stage() else { return false };
        let max_pending = (self.order.stage(stage).len() as f64 * self.plan.max_missing_share) as usize;
        self.pending_members().len() <= max_pending
    }

    /// Members that are not known to be as before: those that were ever to be changed and have not reported that they are not, and
    /// those that report that they are.
    pub fn unconfirmed_members(&self) -> Vec<String> {
        let asked = self.furthest_stage.map_or(&[][..], |stage| self.order.stage(stage));
        let is_unconfirmed = |member: &&Member| match self.sides.get(&member.name) {
            // A member on the old side that does not know of the rollback may be about to change.
            Some((Side::Old, known_step)) => asked.contains(member) && *known_step < self.rollback_step,
            Some((Side::New, _)) => true,
            None => asked.contains(member),
        };
        let unconfirmed = self.order.members().iter().filter(is_unconfirmed);
        unconfirmed.map(|member| member.name.clone()).collect()
    }

    /// Applies a command, with the same result at every voter.
    ///
    /// # Errors
    ///
    /// If the command is stale, or not possible in the present state; the rollout is unchanged then.
    pub fn apply(&mut self, command: &Command) -> Result<(), RolloutError> {
        let step = match command {
            Command::ReportSide { name, side, known_step } => {
                return self.record_side(name, *side, *known_step);
            }
            Command::Proceed { step }
            | Command::Pause { step }
            | Command::RollBack { step, .. }
            | Command::ApplyVerdict { step, .. }
            | Command::GiveUpRollback { step } => *step,
        };
        if step != self.step {
            return Err(RolloutError::Stale { step: self.step });
        }
        match command {
            Command::Proceed { .. } => self.proceed(),
            Command::Pause { .. } => self.pause(),
            Command::RollBack { why, .. } => self.roll_back_on_request(why),
            Command::ApplyVerdict { stage, verdict, .. } => self.apply_verdict(*stage, verdict),
            Command::GiveUpRollback { .. } => self.give_up_rollback(),
            Command::ReportSide { .. } => Ok(()),
        }
    }

    fn wrong_state(&self) -> RolloutError {
        RolloutError::WrongState(self.state.name().into())
    }

    fn proceed(&mut self) -> Result<(), RolloutError> {
        match self.state {
            RolloutState::Planned => self.enter(RolloutState::Running(0), "it begins".into()),
            RolloutState::Paused { stage, .. } => {
                self.enter(RolloutState::Running(stage), "it goes on by an operator's word".into());
            }
            _ => return Err(self.wrong_state()),
        }
        Ok(())
    }

    fn pause(&mut self) -> Result<(), RolloutError> {
        let (RolloutState::Running(stage) | RolloutState::Paused { stage, .. }) = self.state else {
            return Err(self.wrong_state());
        };
        let why = "by an operator's word".to_owned();
        let paused = RolloutState::Paused { stage, why, by_operator: true };
        self.enter(paused, "held by an operator's word".into());
        Ok(())
    }

    fn roll_back_on_request(&mut self, why: &str) -> Result<(), RolloutError> {
        match &self.state {
            RolloutState::Planned | RolloutState::Running(_) | RolloutState::Paused { .. } => {
                self.roll_back(why.to_owned());
            }
            RolloutState::Completed => {
                if let Some(feature) = &self.irreversible_feature {
                    return Err(RolloutError::Irreversible(format!("{feature} has been used since")));
                }
                self.roll_back(why.to_owned());
            }
            // A repeated command changes nothing.
            RolloutState::RollingBack { .. }
            | RolloutState::RolledBack { .. }
            | RolloutState::RollbackFailed { .. } => {}
        }
        Ok(())
    }

    fn give_up_rollback(&mut self) -> Result<(), RolloutError> {
        let RolloutState::RollingBack { why } = self.state.clone() else {
            return Err(self.wrong_state());
        };
        let members = self.unconfirmed_members();
        let text = format!("not known to be as before: {}", members.join(", "));
        self.enter(RolloutState::RollbackFailed { why, members }, text);
        Ok(())
    }

    fn apply_verdict(&mut self, stage: usize, verdict: &StageVerdict) -> Result<(), RolloutError> {
        let (present, paused_by_operator) = match &self.state {
            RolloutState::Running(present) => (*present, None),
            RolloutState::Paused { stage, by_operator, .. } => (*stage, Some(*by_operator)),
            _ => return Err(self.wrong_state()),
        };
        if present != stage {
            return Err(RolloutError::Stale { step: self.step });
        }
        let is_paused = paused_by_operator.is_some();
        match verdict {
            // A regression counts however little of the stage is changed, and whoever has paused it.
            StageVerdict::Regression(why) => self.roll_back(why.clone()),
            StageVerdict::Pass if is_paused => return Err(self.wrong_state()),
            StageVerdict::Pass => self.pass_stage(stage)?,
            StageVerdict::SharedFault(why) if !is_paused => self.pause_for(stage, why, false),
            StageVerdict::Recovered if paused_by_operator == Some(false) => {
                self.enter(RolloutState::Running(stage), "it goes on: the trouble is over".into());
            }
            StageVerdict::Inconclusive(why) if !is_paused => match self.plan.inconclusive_policy {
                InconclusivePolicy::Pause => self.pause_for(stage, why, true),
                InconclusivePolicy::RollBack => self.roll_back(why.clone()),
            },
            StageVerdict::SharedFault(_) | StageVerdict::Recovered | StageVerdict::Inconclusive(_) => {}
        }
        Ok(())
    }

    fn pass_stage(&mut self, stage: usize) -> Result<(), RolloutError> {
        if !self.is_stage_changed() {
            return Err(RolloutError::StageIncomplete { members: self.pending_members() });
        }
        self.passed_stages = stage + 1;
        let is_last = stage + 1 == self.order.stages();
        let next = if is_last { RolloutState::Completed } else { RolloutState::Running(stage + 1) };
        self.enter(next, format!("stage {} is not worse", stage + 1));
        Ok(())
    }

    fn pause_for(&mut self, stage: usize, why: &str, by_operator: bool) {
        let paused = RolloutState::Paused { stage, why: why.to_owned(), by_operator };
        self.enter(paused, format!("held: {why}"));
    }

    fn roll_back(&mut self, why: String) {
        let text = format!("undone: {why}");
        self.rollback_step = self.step + 1;
        self.enter(RolloutState::RollingBack { why }, text);
        self.update_rollback();
    }

    /// Follows the members' reports while a rollback is in progress or over.
    fn update_rollback(&mut self) {
        let members = self.unconfirmed_members();
        match self.state.clone() {
            RolloutState::RollingBack { why } | RolloutState::RollbackFailed { why, .. }
                if members.is_empty() =>
            {
                self.enter(RolloutState::RolledBack { why }, "all are as before".into());
            }
            // A member was out of reach, or has been started by hand.
            RolloutState::RolledBack { why } if !members.is_empty() => {
                let text = format!("changed all the same: {}", members.join(", "));
                self.enter(RolloutState::RollbackFailed { why, members }, text);
            }
            // The list of members is kept exact; that is no new step.
            RolloutState::RollbackFailed { why, members: before } if before != members => {
                self.state = RolloutState::RollbackFailed { why, members };
            }
            _ => {}
        }
    }

    fn record_side(&mut self, name: &str, side: Side, known_step: u64) -> Result<(), RolloutError> {
        if !self.order.members().iter().any(|member| member.name == name) {
            return Err(RolloutError::UnknownMember(name.into()));
        }
        // Reports may overtake one another.
        if self.sides.get(name).is_none_or(|(_, before)| *before <= known_step) {
            self.sides.insert(name.to_owned(), (side, known_step.min(self.step)));
            self.update_rollback();
        }
        Ok(())
    }

    fn enter(&mut self, state: RolloutState, text: String) {
        if let RolloutState::Running(stage) = state {
            self.furthest_stage = self.furthest_stage.max(Some(stage));
        }
        self.step += 1;
        self.state = state;
        self.events.push_back(RolloutEvent { step: self.step, text });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// The side that a member is to be on which has had no contact with a leader for so long: it is changed, and nobody judges it.
pub fn side_without_leader(plan: &Plan, side: Side, is_completed: bool, without_leader: Duration) -> Side {
    let rolls_back = plan.lost_contact_policy == LostContactPolicy::RollBack && !is_completed;
    if rolls_back && without_leader >= plan.lost_contact_after { Side::Old } else { side }
}
