//! What the supervisor does next: a state machine without I/O or clock.
//!
//! A process is started beside the one that serves, is tried, and only then may accept; the one before ends after that. A program
//! that does not get so far changes nothing. Times are on a clock of the caller's that only rises.

use crate::memory::{Digest, Known, Memory, Role};
use crate::words::{ACCEPTS, Action, Event, Found, Phase, Process, Settings};
use std::time::Duration;

/// How long a killed process is waited for before another one is started in its stead.
const KILLED: Duration = Duration::from_secs(10);

/// The state.
#[derive(Debug)]
pub struct Machine {
    pub(crate) settings: Settings,
    pub(crate) memory: Memory,
    chance: fastrand::Rng,
    pub(crate) present: Option<Process>,
    pub(crate) next: Option<Process>,
    leaving: Vec<Process>,
    /// Nothing is started before.
    pub(crate) not_before: Duration,
    /// Since when questions have been unanswered, and how many.
    pub(crate) silent: Option<(Duration, u32)>,
    /// Whether those who accept know that there are two; not known of those that were found.
    beside: Option<bool>,
    stopping: bool,
    actions: Vec<Action>,
}

impl Machine {
    /// Goes on from what is remembered and was found. Of those found, one that serves by its own word stays; all others end.
    pub fn resume(settings: Settings, memory: Memory, found: &[Found], seed: u64, now: Duration) -> Self {
        let mut machine = Self {
            settings,
            memory,
            chance: fastrand::Rng::with_seed(seed),
            present: None,
            next: None,
            leaving: Vec::new(),
            not_before: now,
            silent: None,
            beside: found.iter().all(|f| !f.accepted).then_some(false),
            stopping: false,
            actions: Vec::new(),
        };
        if machine.memory.failures > 0 {
            machine.not_before = now + machine.backoff();
        }
        let order = [Role::Present, Role::Next, Role::Leaving];
        let stays = order.iter().find_map(|role| found.iter().find(|f| f.accepted && f.role == *role));
        // One that serves and leaves may have stopped accepting: another one has to come.
        let stays = stays.filter(|found| found.role != Role::Leaving);
        for one in found {
            let process =
                |phase| Process { id: one.id, program: one.program.clone(), phase, accepted: one.accepted };
            machine.memory.next_id = machine.memory.next_id.max(one.id + 1);
            if stays.is_some_and(|stays| stays.id == one.id) {
                machine.present = Some(process(Phase::Serving(now)));
                machine.memory.base = one.program.clone();
                continue;
            }
            if one.accepted {
                machine.leaving.push(process(Phase::Ending(now + machine.settings.grace)));
                machine.actions.push(Action::Term(one.id, true));
            } else {
                machine.leaving.push(process(Phase::Killed(now)));
                machine.actions.push(Action::Kill(one.id));
            }
        }
        machine
    }

    /// What is to be remembered; the caller knows which process at the system is which.
    pub fn memory(&self, process: impl Fn(u64) -> Option<(u32, u64)>) -> Memory {
        let known =
            |p: &Process, role| Known { id: p.id, program: p.program.clone(), role, process: process(p.id) };
        let present = self.present.iter().map(|p| known(p, Role::Present));
        let next = self.next.iter().map(|p| known(p, Role::Next));
        let leaving = self.leaving.iter().map(|p| known(p, Role::Leaving));
        Memory { processes: present.chain(next).chain(leaving).collect(), ..self.memory.clone() }
    }

    /// The process that serves.
    pub fn present(&self) -> Option<&Process> {
        self.present.as_ref()
    }

    /// The process that is tried.
    pub fn next(&self) -> Option<&Process> {
        self.next.as_ref()
    }

    /// Those that end.
    pub fn leaving(&self) -> &[Process] {
        &self.leaving
    }

    /// When time alone has something to say.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        let of = |p: &Process| match p.phase {
            Phase::Starting(at) | Phase::Tried(at) | Phase::Accepting(at) | Phase::Ending(at) => at,
            Phase::Serving(since) => since + self.settings.good,
            Phase::Killed(at) => at + KILLED,
        };
        let all = self.present.iter().chain(&self.next).chain(&self.leaving).map(of);
        let starts = self.target().map(|_| self.not_before);
        all.chain(starts).filter(|at| *at > now).min()
    }

    /// Takes in what happened. What is remembered may have changed.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Wanted(program) => {
                self.memory.file = program.clone();
                self.want(program, now, "by the operator's word");
            }
            Event::Said(id, own) => self.said(now, id, own),
            Event::Unanswered(id) => self.was_silent(now, id),
            Event::Ready(id) => {
                if let Some(next) = self.next.as_mut().filter(|p| p.id == id)
                    && matches!(next.phase, Phase::Starting(_))
                {
                    next.phase = Phase::Tried(now + self.settings.trial);
                    let strict = self.present.is_some();
                    self.actions.push(Action::Try { id, strict });
                }
            }
            Event::Passed(id) => self.passed(now, id),
            Event::Failed(id, why) => self.given_up(now, id, &why),
            Event::Accepts(id) => self.accepts(now, id),
            Event::Died(id) => self.died(now, id),
            Event::Stop => self.stop(now),
        }
        self.time(now);
        self.start(now);
        self.tell_beside();
        self.memory.bound();
        if self.stopping && self.present.is_none() && self.next.is_none() && self.leaving.is_empty() {
            self.actions.push(Action::End);
        }
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn note(&mut self, text: String) {
        self.actions.push(Action::Note(text));
    }

    /// The wait after so many failures in a row: doubled each time, a quarter of it by chance, so that the balancers of a fleet
    /// do not come back together.
    fn backoff(&mut self) -> Duration {
        let times = 1u32 << self.memory.failures.saturating_sub(1).min(20);
        let whole = self.settings.backoff.saturating_mul(times).min(self.settings.backoff_most);
        whole.mul_f64(1.0 - 0.25 * self.chance.f64())
    }

    fn fails(&mut self, now: Duration) {
        self.memory.failures = self.memory.failures.saturating_add(1);
        self.not_before = now + self.backoff();
    }

    fn passed(&mut self, now: Duration, id: u64) {
        let Some(next) = self.next.as_mut().filter(|p| p.id == id) else { return };
        if !matches!(next.phase, Phase::Tried(_)) {
            return;
        }
        next.phase = Phase::Accepting(now + ACCEPTS);
        next.accepted = true;
        // Guarantees must not be granted twice: the other one hears of it first.
        self.tell_beside();
        self.actions.push(Action::Accept(id));
    }

    fn accepts(&mut self, now: Duration, id: u64) {
        if !self.next.as_ref().is_some_and(|p| p.id == id && matches!(p.phase, Phase::Accepting(_))) {
            return;
        }
        let Some(mut new) = self.next.take() else { return };
        new.phase = Phase::Serving(now);
        self.silent = None;
        let (base, program) = (self.memory.base.clone(), new.program.clone());
        if base != program {
            let back = self.memory.before.as_ref() == Some(&program);
            self.memory.before = (!back).then_some(base);
            self.memory.base = program.clone();
            // Deaths are counted for each program by itself.
            self.memory.failures = 0;
        }
        self.note(format!("{program} serves"));
        if let Some(mut old) = self.present.replace(new) {
            old.phase = Phase::Ending(now + self.settings.grace);
            self.actions.push(Action::Term(old.id, true));
            self.leaving.push(old);
        }
    }

    /// The process that is tried will not be the one.
    pub(crate) fn kill_next(&mut self, now: Duration) {
        let Some(mut next) = self.next.take() else { return };
        if next.accepted {
            // Requests may be with it.
            next.phase = Phase::Ending(now + self.settings.grace);
            self.actions.push(Action::Term(next.id, true));
        } else {
            next.phase = Phase::Killed(now);
            self.actions.push(Action::Kill(next.id));
        }
        self.leaving.push(next);
    }

    fn given_up(&mut self, now: Duration, id: u64, why: &str) {
        let Some(program) = self.next.as_ref().filter(|p| p.id == id).map(|p| p.program.clone()) else {
            return;
        };
        self.note(format!("{program} does not take the place: {why}"));
        self.kill_next(now);
        self.failed(now, &program);
    }

    /// A program has failed: before it served while another one does, or while nobody does.
    fn failed(&mut self, now: Duration, program: &Digest) {
        self.fails(now);
        let good = self.memory.last_good.as_ref() == Some(program);
        if self.memory.failures < self.settings.crashes || good {
            return;
        }
        if program != &self.memory.base {
            self.memory.refused.insert(program.clone());
            self.memory.failures = 0;
            self.note(format!("{program} is given up until another program was told"));
            return;
        }
        // It was never good, and is what there is: back to what was, or on to what is wanted.
        let other = self.memory.last_good.clone().or_else(|| {
            let wanted = &self.memory.wanted;
            (wanted != program && !self.memory.refused.contains(wanted)).then(|| wanted.clone())
        });
        if let Some(other) = other {
            self.note(format!("{program} is given up; back to {other}"));
            self.memory.refused.insert(program.clone());
            (self.memory.base, self.memory.before, self.memory.failures) = (other, None, 0);
            self.not_before = now;
        }
    }

    fn died(&mut self, now: Duration, id: u64) {
        if let Some(at) = self.leaving.iter().position(|p| p.id == id) {
            self.leaving.remove(at);
        } else if let Some(next) = self.next.take_if(|p| p.id == id) {
            if !self.stopping {
                self.note(format!("{} died before it served", next.program));
                self.failed(now, &next.program);
            }
        } else if let Some(present) = self.present.take_if(|p| p.id == id)
            && !self.stopping
        {
            let crashes = self.memory.crashes.entry(present.program.clone()).or_default();
            *crashes = crashes.saturating_add(1);
            let text = format!("{} died, {crashes} times by now", present.program);
            self.note(text);
            self.failed(now, &present.program);
            // Whoever is on trial beside nobody gives way, unless it accepts already.
            let waits = |p: &Process| matches!(p.phase, Phase::Starting(_) | Phase::Tried(_));
            if self.next.as_ref().is_some_and(waits) {
                self.kill_next(now);
            }
        }
    }

    fn stop(&mut self, now: Duration) {
        self.stopping = true;
        self.kill_next(now);
        if let Some(mut present) = self.present.take() {
            present.phase = Phase::Ending(now + self.settings.grace);
            self.actions.push(Action::Term(present.id, false));
            self.leaving.push(present);
        }
    }

    /// What time alone brings.
    fn time(&mut self, now: Duration) {
        if let Some(next) = &self.next {
            let (id, late) = match next.phase {
                Phase::Starting(at) => (next.id, (now >= at).then_some("it was not ready in time")),
                Phase::Tried(at) => (next.id, (now >= at).then_some("its trial took too long")),
                Phase::Accepting(at) => (next.id, (now >= at).then_some("it has not said that it accepts")),
                _ => (next.id, None),
            };
            if let Some(why) = late {
                self.given_up(now, id, why);
            }
        }
        if let Some(present) = &self.present
            && let Phase::Serving(since) = present.phase
            && now >= since + self.settings.good
        {
            // What fails meanwhile is the other one's.
            if self.target().is_none() && self.next.is_none() {
                self.memory.failures = 0;
            }
            if self.memory.last_good.as_ref() != Some(&present.program) {
                let program = present.program.clone();
                self.note(format!("{program} is good"));
                self.memory.last_good = Some(program);
            }
        }
        for old in &mut self.leaving {
            if let Phase::Ending(at) = old.phase
                && now >= at
            {
                old.phase = Phase::Killed(now);
                self.actions.push(Action::Kill(old.id));
            }
        }
    }

    /// What is to be started, if anything is.
    fn target(&self) -> Option<&Digest> {
        if self.stopping || self.next.is_some() {
            return None;
        }
        let Memory { wanted, base, refused, .. } = &self.memory;
        match self.present {
            None => Some(base),
            Some(_) => Some(wanted).filter(|wanted| *wanted != base && !refused.contains(wanted)),
        }
    }

    fn start(&mut self, now: Duration) {
        let Some(program) = self.target().cloned().filter(|_| now >= self.not_before) else { return };
        // Two of the same that are not ready yet would fight over what they need.
        let killed = |p: &Process| matches!(p.phase, Phase::Killed(at) if now < at + KILLED);
        if self.leaving.iter().any(killed) {
            return;
        }
        let id = self.memory.next_id;
        self.memory.next_id += 1;
        let phase = Phase::Starting(now + self.settings.ready);
        self.next = Some(Process { id, program: program.clone(), phase, accepted: false });
        let crashes = self.memory.crashes.get(&program).copied().unwrap_or(0);
        self.actions.push(Action::Start { id, program, crashes });
    }

    fn tell_beside(&mut self) {
        let all = self.present.iter().chain(&self.next).chain(&self.leaving);
        let grant: Vec<u64> = all.filter(|p| p.accepted).map(|p| p.id).collect();
        let two = grant.len() > 1;
        if !grant.is_empty() && self.beside.replace(two) != Some(two) {
            self.actions.extend(grant.into_iter().map(|id| Action::Beside(id, two)));
        }
    }
}
