//! Which program is to be run: by an operator's request, by a rollout, or by a rollback since a new process has lost contact.

use crate::interface::{ManagedProcess, Phase, RolloutStatus};
use crate::saved_state::{ProgramDigest, RolloutTarget};
use crate::state_machine::StateMachine;
use std::time::Duration;

/// Polls that a process has to leave unanswered before it has lost contact.
const MIN_MISSED_POLLS: u32 = 5;

impl StateMachine {
    pub(crate) fn request_program(&mut self, program: ProgramDigest, now: Duration, why: &str) {
        let is_rejected = self.saved_state.rejected_programs.contains(&program);
        if self.saved_state.target_program != program || is_rejected {
            self.log(format!("to run {program}, {why}"));
            self.saved_state.rejected_programs.remove(&program);
            self.saved_state.target_program = program;
            self.saved_state.consecutive_failures = 0;
            self.not_before = now;
        }
        let has_stable = self.saved_state.last_stable_program.is_some();
        let is_served = self.saved_state.serving_program == self.saved_state.target_program;
        if self.serving.is_none() && !has_stable && !is_served {
            // No program was ever stable: there is nothing to go back to.
            self.saved_state.serving_program = self.saved_state.target_program.clone();
            self.drop_candidate(now);
        }
        // A candidate that is under trial and not wanted any more has not accepted yet.
        let is_unwanted = |process: &ManagedProcess| {
            process.program != self.saved_state.target_program
                && matches!(process.phase, Phase::Starting(_) | Phase::Testing(_))
        };
        if self.serving.is_some() && self.candidate.as_ref().is_some_and(is_unwanted) {
            self.drop_candidate(now);
        }
    }

    pub(crate) fn rollout_reported(&mut self, now: Duration, id: u64, status: RolloutStatus) {
        if self.serving.as_ref().is_none_or(|process| process.id != id) {
            return;
        }
        match status {
            // It was told of a rollout before, and knows of none now: it has lost contact with the others.
            RolloutStatus::NoRollout if self.can_roll_back() => self.poll_missed(now, id),
            RolloutStatus::NoRollout => self.missed_polls = None,
            RolloutStatus::Target(target) => {
                self.missed_polls = None;
                self.follow_rollout(now, target);
            }
        }
    }

    /// Follows a report that is repeated again and again, and long after the end of the rollout: only what is new in it counts, or
    /// no later request would last.
    fn follow_rollout(&mut self, now: Duration, target: RolloutTarget) {
        let before = self.saved_state.rollout_target.replace(target.clone());
        let is_same =
            |before: &RolloutTarget| (before.number, &before.program) == (target.number, &target.program);
        let was_target = before.filter(is_same).map(|before| before.is_target);
        let is_running = target.program == self.saved_state.target_program;
        match was_target {
            Some(was_target) if was_target == target.is_target => {}
            _ if target.is_target && !is_running => {
                self.request_program(target.program, now, "as the roll-out says");
            }
            // Only what this rollout has brought is rolled back.
            Some(_) if !target.is_target && is_running => self.roll_back(now, "as the roll-out says"),
            _ => {}
        }
    }

    /// Goes back to the program that serves, if the new one does not serve yet; else to the one before it.
    fn roll_back(&mut self, now: Duration, why: &str) {
        let state = &self.saved_state;
        let is_serving = state.serving_program == state.target_program;
        let previous = state.previous_program.clone().filter(|_| is_serving);
        let program = previous.unwrap_or_else(|| state.serving_program.clone());
        if state.target_program != program {
            self.request_program(program, now, why);
        }
    }

    /// Whether the program that serves was brought by a rollout that is in progress, and nothing else is to be run.
    fn can_roll_back(&self) -> bool {
        let state = &self.saved_state;
        let brought_it = |target: &RolloutTarget| {
            target.is_target && target.is_in_progress && target.program == state.serving_program
        };
        state.previous_program.is_some()
            && state.target_program == state.serving_program
            && state.rollout_target.as_ref().is_some_and(brought_it)
    }

    pub(crate) fn poll_missed(&mut self, now: Duration, id: u64) {
        if self.serving.as_ref().is_none_or(|process| process.id != id) {
            return;
        }
        let (since, missed) = self.missed_polls.unwrap_or((now, 0));
        let missed = missed.saturating_add(1);
        self.missed_polls = Some((since, missed));
        // A supervisor that was stopped itself has not polled meanwhile.
        let has_lost_contact =
            now.saturating_sub(since) >= self.settings.lost_contact_after && missed >= MIN_MISSED_POLLS;
        if has_lost_contact && self.can_roll_back() {
            self.roll_back(now, "since it has not answered for too long");
        }
    }
}
