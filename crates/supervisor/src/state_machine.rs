//! The decisions of the supervisor: a state machine without I/O or clock.
//!
//! A candidate is started beside the process that serves, passes a trial, and only then may accept clients; the process before it
//! ends after that. A program whose candidate does not get so far changes nothing. Times are on a monotonic clock of the caller.

use crate::interface::{
    ACCEPT_TIMEOUT, Action, AdoptedProcess, Event, ManagedProcess, Phase, Shutdown, SupervisorSettings,
};
use crate::saved_state::{ProcessRecord, ProgramDigest, Role, SupervisorState};
use std::time::Duration;

/// How long a killed process is waited for before another one is started in its place.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

/// The state machine.
#[derive(Debug)]
pub struct StateMachine {
    pub(crate) settings: SupervisorSettings,
    pub(crate) saved_state: SupervisorState,
    pub(crate) random: fastrand::Rng,
    pub(crate) serving: Option<ManagedProcess>,
    pub(crate) candidate: Option<ManagedProcess>,
    pub(crate) terminating: Vec<ManagedProcess>,
    /// No process is started before this time.
    pub(crate) not_before: Duration,
    /// Since when polls have been unanswered, and how many.
    pub(crate) missed_polls: Option<(Duration, u32)>,
    /// Whether accepting processes know that there are two of them; unknown of adopted ones.
    has_sibling: Option<bool>,
    /// The process that leaves without being told to, and until when it accepts clients.
    pub(crate) leaving: Option<(u64, Duration)>,
    /// Whether clients may connect.
    pub(crate) is_listening: bool,
    /// The end of the whole balancer, once it has begun.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) actions: Vec<Action>,
}

impl StateMachine {
    /// Resumes from the saved state and the adopted processes. One of these that reports to accept clients stays; all others end.
    pub fn resume(
        settings: SupervisorSettings,
        state: SupervisorState,
        found: &[AdoptedProcess],
        seed: u64,
        now: Duration,
    ) -> Self {
        let mut machine = Self {
            settings,
            saved_state: state,
            random: fastrand::Rng::with_seed(seed),
            serving: None,
            candidate: None,
            terminating: Vec::new(),
            not_before: now,
            missed_polls: None,
            has_sibling: found.iter().all(|f| !f.is_accepting).then_some(false),
            leaving: None,
            is_listening: true,
            shutdown: None,
            actions: Vec::new(),
        };
        if machine.saved_state.consecutive_failures > 0 {
            machine.not_before = now + machine.backoff();
        }
        let order = [Role::Serving, Role::Candidate, Role::Terminating];
        let stays = order.iter().find_map(|role| found.iter().find(|f| f.is_accepting && f.role == *role));
        // One that serves and leaves may have stopped accepting: another one has to come.
        let stays = stays.filter(|found| found.role != Role::Terminating);
        for one in found {
            let process = |phase| ManagedProcess {
                id: one.id,
                program: one.program.clone(),
                phase,
                may_have_accepted: one.is_accepting,
            };
            machine.saved_state.next_id = machine.saved_state.next_id.max(one.id + 1);
            if stays.is_some_and(|stays| stays.id == one.id) {
                machine.serving = Some(process(Phase::Serving(now)));
                machine.saved_state.serving_program = one.program.clone();
                continue;
            }
            if one.is_accepting {
                machine
                    .terminating
                    .push(process(Phase::Terminating(now + machine.settings.termination_grace)));
                machine.actions.push(Action::Terminate(one.id, true));
            } else {
                machine.terminating.push(process(Phase::Killed(now)));
                machine.actions.push(Action::Kill(one.id));
            }
        }
        machine
    }

    /// The state to be saved. `process` gives the process id and start time of a start.
    pub fn saved_state(&self, process: impl Fn(u64) -> Option<(u32, u64)>) -> SupervisorState {
        let known = |p: &ManagedProcess, role| ProcessRecord {
            id: p.id,
            program: p.program.clone(),
            role,
            process: process(p.id),
        };
        let present = self.serving.iter().map(|p| known(p, Role::Serving));
        let next = self.candidate.iter().map(|p| known(p, Role::Candidate));
        let leaving = self.terminating.iter().map(|p| known(p, Role::Terminating));
        SupervisorState {
            processes: present.chain(next).chain(leaving).collect(),
            ..self.saved_state.clone()
        }
    }

    /// The process that serves.
    pub fn serving(&self) -> Option<&ManagedProcess> {
        self.serving.as_ref()
    }

    /// The candidate.
    pub fn candidate(&self) -> Option<&ManagedProcess> {
        self.candidate.as_ref()
    }

    /// The processes that are ending.
    pub fn terminating(&self) -> &[ManagedProcess] {
        &self.terminating
    }

    /// The next time at which [`Event::Tick`] changes something, after `now`.
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let of = |p: &ManagedProcess| match p.phase {
            Phase::Starting(at) | Phase::Testing(at) | Phase::Accepting(at) | Phase::Terminating(at) => at,
            Phase::Serving(since) => since + self.settings.stable_after,
            Phase::Killed(at) => at + KILL_TIMEOUT,
        };
        let all = self.serving.iter().chain(&self.candidate).chain(&self.terminating).map(of);
        let starts = self.program_to_start().map(|_| self.not_before);
        all.chain(starts).chain(self.listening_deadline()).filter(|at| *at > now).min()
    }

    /// Handles an event and returns the actions to carry out. The saved state may have changed.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::ProgramRequested(program) => {
                self.saved_state.configured_program = program.clone();
                self.request_program(program, now, "by the operator's word");
            }
            Event::RolloutReported(id, own) => self.rollout_reported(now, id, own),
            Event::Unanswered(id) => self.poll_missed(now, id),
            Event::Ready(id) => {
                if let Some(next) = self.candidate.as_mut().filter(|p| p.id == id)
                    && matches!(next.phase, Phase::Starting(_))
                {
                    next.phase = Phase::Testing(now + self.settings.trial_timeout);
                    let strict = self.serving.is_some();
                    self.actions.push(Action::RunTrial { id, strict });
                }
            }
            Event::TrialPassed(id) => self.trial_passed(now, id),
            Event::Failed(id, why) => self.give_up_candidate(now, id, &why),
            Event::Accepting(id) => self.candidate_accepts(now, id),
            Event::Leaving(id) => self.process_leaving(now, id),
            Event::Exited(id) => self.process_exited(now, id),
            Event::Shutdown { has_waiting_clients } => self.shut_down(now, has_waiting_clients),
        }
        self.check_deadlines(now);
        self.start_candidate(now);
        self.notify_siblings();
        self.saved_state.forget_unused();
        self.update_listening(now);
        self.finish_shutdown();
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    fn trial_passed(&mut self, now: Duration, id: u64) {
        let Some(next) = self.candidate.as_mut().filter(|p| p.id == id) else { return };
        if !matches!(next.phase, Phase::Testing(_)) {
            return;
        }
        next.phase = Phase::Accepting(now + ACCEPT_TIMEOUT);
        next.may_have_accepted = true;
        // Guarantees must not be granted twice: the other one hears of it first.
        self.notify_siblings();
        self.actions.push(Action::Accept(id));
    }

    fn candidate_accepts(&mut self, now: Duration, id: u64) {
        if !self.candidate.as_ref().is_some_and(|p| p.id == id && matches!(p.phase, Phase::Accepting(_))) {
            return;
        }
        let Some(mut new) = self.candidate.take() else { return };
        if self.shutdown.is_some() {
            return self.terminate_last(now, new);
        }
        new.phase = Phase::Serving(now);
        self.missed_polls = None;
        let (base, program) = (self.saved_state.serving_program.clone(), new.program.clone());
        if base != program {
            let back = self.saved_state.previous_program.as_ref() == Some(&program);
            self.saved_state.previous_program = (!back).then_some(base);
            self.saved_state.serving_program = program.clone();
            // Deaths are counted for each program by itself.
            self.saved_state.consecutive_failures = 0;
        }
        self.log(format!("{program} serves"));
        if let Some(mut old) = self.serving.replace(new) {
            old.phase = Phase::Terminating(now + self.settings.termination_grace);
            self.actions.push(Action::Terminate(old.id, true));
            self.terminating.push(old);
        }
    }

    /// Ends the candidate.
    pub(crate) fn drop_candidate(&mut self, now: Duration) {
        let Some(mut next) = self.candidate.take() else { return };
        if next.may_have_accepted {
            // It may have requests in flight.
            next.phase = Phase::Terminating(now + self.settings.termination_grace);
            self.actions.push(Action::Terminate(next.id, true));
        } else {
            next.phase = Phase::Killed(now);
            self.actions.push(Action::Kill(next.id));
        }
        self.terminating.push(next);
    }

    /// Applies deadlines that have passed.
    fn check_deadlines(&mut self, now: Duration) {
        if let Some(next) = &self.candidate {
            let (id, late) = match next.phase {
                Phase::Starting(at) => (next.id, (now >= at).then_some("it was not ready in time")),
                Phase::Testing(at) => (next.id, (now >= at).then_some("its trial took too long")),
                Phase::Accepting(at) => (next.id, (now >= at).then_some("it has not said that it accepts")),
                _ => (next.id, None),
            };
            if let Some(why) = late {
                self.give_up_candidate(now, id, why);
            }
        }
        if let Some(present) = &self.serving
            && let Phase::Serving(since) = present.phase
            && now >= since + self.settings.stable_after
        {
            // What fails meanwhile is the other one's.
            if self.program_to_start().is_none() && self.candidate.is_none() {
                self.saved_state.consecutive_failures = 0;
            }
            if self.saved_state.last_stable_program.as_ref() != Some(&present.program) {
                let program = present.program.clone();
                self.log(format!("{program} is good"));
                self.saved_state.last_stable_program = Some(program);
            }
        }
        for old in &mut self.terminating {
            if let Phase::Terminating(at) = old.phase
                && now >= at
            {
                old.phase = Phase::Killed(now);
                self.actions.push(Action::Kill(old.id));
            }
        }
    }

    /// The program to start, if there is one.
    fn program_to_start(&self) -> Option<&ProgramDigest> {
        if self.candidate.is_some() || (self.shutdown.is_some() && !self.awaits_acceptor()) {
            return None;
        }
        let SupervisorState {
            target_program: wanted, serving_program: base, rejected_programs: refused, ..
        } = &self.saved_state;
        match self.serving {
            None => Some(base),
            Some(_) => Some(wanted).filter(|wanted| *wanted != base && !refused.contains(wanted)),
        }
    }

    fn start_candidate(&mut self, now: Duration) {
        let Some(program) = self.program_to_start().cloned().filter(|_| now >= self.not_before) else {
            return;
        };
        // Two of the same that are not ready yet would fight over what they need.
        let killed = |p: &ManagedProcess| matches!(p.phase, Phase::Killed(at) if now < at + KILL_TIMEOUT);
        if self.terminating.iter().any(killed) {
            return;
        }
        let id = self.saved_state.next_id;
        self.saved_state.next_id += 1;
        let phase = Phase::Starting(now + self.settings.ready_timeout);
        self.candidate =
            Some(ManagedProcess { id, program: program.clone(), phase, may_have_accepted: false });
        let crashes = self.saved_state.crash_counts.get(&program).copied().unwrap_or(0);
        self.actions.push(Action::Start { id, program, crashes });
    }

    fn notify_siblings(&mut self) {
        let all = self.serving.iter().chain(&self.candidate).chain(&self.terminating);
        let grant: Vec<u64> = all.filter(|p| p.may_have_accepted).map(|p| p.id).collect();
        let two = grant.len() > 1;
        if !grant.is_empty() && self.has_sibling.replace(two) != Some(two) {
            self.actions.extend(grant.into_iter().map(|id| Action::NotifySibling(id, two)));
        }
    }
}
