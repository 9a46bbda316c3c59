//! A world of processes round the machine: they start, die, answer, and are told things.

#![allow(dead_code, reason = "each file of tests uses its part")]

use maplehook_supervisor::interface::{Action, AdoptedProcess, Event, SupervisorSettings};
use maplehook_supervisor::saved_state::{ProgramDigest, SupervisorState};
use maplehook_supervisor::state_machine::StateMachine;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn settings() -> SupervisorSettings {
    SupervisorSettings {
        ready_timeout: ms(5000),
        trial_timeout: ms(2000),
        termination_grace: ms(3000),
        initial_backoff: ms(200),
        max_backoff: ms(30_000),
        max_crashes: 3,
        stable_after: ms(10_000),
        max_client_wait: ms(6000),
        lost_contact_after: ms(20_000),
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn program(n: u8) -> ProgramDigest {
    ProgramDigest::new(&format!("{n:064x}")).unwrap()
}

pub const END: Event = Event::Shutdown { has_waiting_clients: false };
pub const END_BEFORE_CLIENTS: Event = Event::Shutdown { has_waiting_clients: true };

/// A process of the world.
#[derive(Clone, Debug)]
pub struct One {
    pub program: ProgramDigest,
    /// RolloutTarget to be tried.
    pub tried: bool,
    pub told_to_accept: bool,
    pub accepts: bool,
    pub told_to_end: bool,
    pub ended_at: Duration,
}

pub struct World {
    pub now: Duration,
    pub machine: StateMachine,
    pub processes: BTreeMap<u64, One>,
    /// What is on disk.
    pub memory: SupervisorState,
    /// What is yet to be done.
    pub due: Vec<Action>,
    pub starts: Vec<(Duration, ProgramDigest)>,
    pub served_once: bool,
    pub ended: bool,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let memory = SupervisorState::new(program(0));
        let machine = StateMachine::resume(settings(), memory.clone(), &[], seed, Duration::ZERO);
        let (processes, due, starts) = (BTreeMap::new(), Vec::new(), Vec::new());
        let now = Duration::ZERO;
        let mut world =
            Self { now, machine, processes, memory, due, starts, served_once: false, ended: false };
        world.happens(Event::Tick);
        world
    }

    /// One in which a process serves, with that one's number.
    pub fn in_service() -> (Self, u64) {
        let mut world = Self::new(7);
        world.behave(|_| false);
        let id = world.machine.serving().unwrap().id;
        (world, id)
    }

    /// A process that was started comes to accept.
    pub fn accepts(&mut self, id: u64) {
        for event in [Event::Ready(id), Event::TrialPassed(id), Event::Accepting(id)] {
            self.happens(event);
        }
    }

    /// The memory is written, then all is done but what `spares` the supervisor's end.
    pub fn happens_and_does(&mut self, event: Event, most: usize) {
        let actions = self.machine.handle(self.now, event);
        self.memory = self.machine.saved_state(|_| None);
        self.due.extend(actions);
        let due = std::mem::take(&mut self.due);
        for action in due.into_iter().take(most) {
            match action {
                Action::Start { id, program, .. } => {
                    let gone = |p: &One| p.told_to_end && self.now >= p.ended_at + ms(10_000);
                    let raw = self.processes.values().filter(|p| !p.told_to_accept && !gone(p)).count();
                    assert_eq!(raw, 0, "two are tried at once");
                    self.starts.push((self.now, program.clone()));
                    let one = One {
                        program,
                        tried: false,
                        told_to_accept: false,
                        accepts: false,
                        told_to_end: false,
                        ended_at: self.now,
                    };
                    assert!(self.processes.insert(id, one).is_none(), "a number twice");
                }
                Action::RunTrial { id, .. } => self.one(id).tried = true,
                Action::Accept(id) => self.one(id).told_to_accept = true,
                Action::Terminate(id, _) | Action::Kill(id) => {
                    if let Some(one) = self.processes.get_mut(&id) {
                        one.ended_at = if one.told_to_end { one.ended_at } else { self.now };
                        one.told_to_end = true;
                    }
                }
                Action::Exit => self.ended = true,
                Action::NotifySibling(..) | Action::StopListening | Action::Log(_) => {}
            }
        }
    }

    pub fn happens(&mut self, event: Event) {
        self.happens_and_does(event, usize::MAX);
    }

    pub fn one(&mut self, id: u64) -> &mut One {
        self.processes.get_mut(&id).expect("one that was started")
    }

    pub fn serving(&self) -> usize {
        self.processes.values().filter(|p| p.accepts && !p.told_to_end).count()
    }

    /// The supervisor is killed after `most` actions, and another one comes.
    pub fn supervisor_dies(&mut self, event: Event, most: usize, seed: u64) {
        self.happens_and_does(event, most);
        self.due.clear();
        // One that was told to accept does; one that was not goes with its supervisor.
        self.processes.retain(|_, p| p.told_to_accept);
        self.processes.values_mut().for_each(|p| p.accepts = true);
        let found: Vec<AdoptedProcess> = self
            .memory
            .processes
            .iter()
            .filter_map(|known| {
                let one = self.processes.get(&known.id)?;
                Some(AdoptedProcess {
                    id: known.id,
                    program: one.program.clone(),
                    role: known.role,
                    is_accepting: one.accepts,
                })
            })
            .collect();
        assert_eq!(found.len(), self.processes.len(), "one is not on record");
        self.machine = StateMachine::resume(settings(), self.memory.clone(), &found, seed, self.now);
        self.happens(Event::Tick);
    }

    pub fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(due) = self.machine.next_deadline(self.now).filter(|due| *due <= until) {
            self.now = due;
            self.happens(Event::Tick);
        }
        self.now = until;
        self.happens(Event::Tick);
    }

    /// Everybody does as is told, but programs that `fail`.
    pub fn behave(&mut self, fail: impl Fn(&ProgramDigest) -> bool) {
        for _ in 0..200 {
            let ids: Vec<u64> = self.processes.keys().copied().collect();
            for id in ids {
                let Some(one) = self.processes.get(&id).cloned() else { continue };
                if one.told_to_end || fail(&one.program) {
                    self.processes.remove(&id);
                    self.happens(Event::Exited(id));
                } else if one.told_to_accept && !one.accepts {
                    self.one(id).accepts = true;
                    self.happens(Event::Accepting(id));
                } else if one.tried {
                    self.happens(Event::TrialPassed(id));
                } else {
                    self.happens(Event::Ready(id));
                }
            }
            self.wait(ms(500));
        }
    }
}
