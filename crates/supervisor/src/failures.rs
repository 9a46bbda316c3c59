//! Failures: a candidate that is given up, a process that dies or leaves without being told to, and the waits after that.

use crate::interface::{LEAVING_ACCEPT_PERIOD, ManagedProcess, Phase};
use crate::saved_state::ProgramDigest;
use crate::state_machine::StateMachine;
use std::time::Duration;

impl StateMachine {
    /// The backoff after so many failures in a row: doubled each time, a quarter of it jitter, so that the balancers of a fleet do
    /// not come back together.
    pub(crate) fn backoff(&mut self) -> Duration {
        let times = 1u32 << self.saved_state.consecutive_failures.saturating_sub(1).min(20);
        let whole = self.settings.initial_backoff.saturating_mul(times).min(self.settings.max_backoff);
        whole.mul_f64(1.0 - 0.25 * self.random.f64())
    }

    fn count_failure(&mut self, now: Duration) {
        self.saved_state.consecutive_failures = self.saved_state.consecutive_failures.saturating_add(1);
        self.not_before = now + self.backoff();
    }

    pub(crate) fn give_up_candidate(&mut self, now: Duration, id: u64, why: &str) {
        let Some(program) = self.candidate.as_ref().filter(|p| p.id == id).map(|p| p.program.clone()) else {
            return;
        };
        self.log(format!("{program} does not take the place: {why}"));
        self.drop_candidate(now);
        self.stop_awaiting(now);
        self.program_failed(now, &program);
    }

    /// Counts a failure of a program, and gives it up after too many.
    fn program_failed(&mut self, now: Duration, program: &ProgramDigest) {
        self.count_failure(now);
        let good = self.saved_state.last_stable_program.as_ref() == Some(program);
        if self.saved_state.consecutive_failures < self.settings.max_crashes || good {
            return;
        }
        if program != &self.saved_state.serving_program {
            self.saved_state.rejected_programs.insert(program.clone());
            self.saved_state.consecutive_failures = 0;
            self.log(format!("{program} is given up until another program was told"));
            return;
        }
        // It was never good, and is what there is: back to what was, or on to what is wanted.
        let other = self.saved_state.last_stable_program.clone().or_else(|| {
            let wanted = &self.saved_state.target_program;
            (wanted != program && !self.saved_state.rejected_programs.contains(wanted))
                .then(|| wanted.clone())
        });
        if let Some(other) = other {
            self.log(format!("{program} is given up; back to {other}"));
            self.saved_state.rejected_programs.insert(program.clone());
            (
                self.saved_state.serving_program,
                self.saved_state.previous_program,
                self.saved_state.consecutive_failures,
            ) = (other, None, 0);
            self.not_before = now;
        }
    }

    pub(crate) fn process_exited(&mut self, now: Duration, id: u64) {
        if let Some(at) = self.terminating.iter().position(|p| p.id == id) {
            self.terminating.remove(at);
        } else if let Some(next) = self.candidate.take_if(|p| p.id == id) {
            if self.shutdown.is_none() {
                self.log(format!("{} died before it served", next.program));
                self.program_failed(now, &next.program);
            }
            self.stop_awaiting(now);
        } else if let Some(present) = self.serving.take_if(|p| p.id == id) {
            self.serving_process_lost(now, &present.program, "died");
        }
    }

    /// Another process is started in the place of the one that leaves, which drains.
    pub(crate) fn process_leaving(&mut self, now: Duration, id: u64) {
        let Some(mut leaving) = self.serving.take_if(|p| p.id == id) else { return };
        leaving.phase = Phase::Terminating(now + self.settings.termination_grace);
        self.serving_process_lost(now, &leaving.program, "leaves without being told to");
        self.leaving = Some((id, now + LEAVING_ACCEPT_PERIOD));
        self.terminating.push(leaving);
    }

    fn serving_process_lost(&mut self, now: Duration, program: &ProgramDigest, what: &str) {
        let crashes = self.saved_state.crash_counts.entry(program.clone()).or_default();
        *crashes = crashes.saturating_add(1);
        let text = format!("{program} {what}, {crashes} times by now");
        self.log(text);
        self.program_failed(now, program);
        // Whoever is on trial beside nobody gives way, unless it accepts already.
        let waits = |p: &ManagedProcess| matches!(p.phase, Phase::Starting(_) | Phase::Testing(_));
        if self.candidate.as_ref().is_some_and(waits) {
            self.drop_candidate(now);
        }
    }
}
