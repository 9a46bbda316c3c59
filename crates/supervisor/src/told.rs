//! Which program is to be run: by an operator's word, a roll-out's, or since a new one's process has lost touch.

use crate::machine::Machine;
use crate::memory::{Digest, Memory, Told};
use crate::words::{Own, Phase, Process};
use std::time::Duration;

/// Questions that a process has to leave unanswered, at the least.
const QUESTIONS: u32 = 5;

impl Machine {
    pub(crate) fn want(&mut self, program: Digest, now: Duration, why: &str) {
        let news = self.memory.wanted != program || self.memory.refused.contains(&program);
        if news {
            self.note(format!("to run {program}, {why}"));
            self.memory.refused.remove(&program);
            self.memory.wanted = program;
            self.memory.failures = 0;
            self.not_before = now;
        }
        if self.present.is_none() && self.memory.last_good.is_none() && self.memory.base != self.memory.wanted
        {
            // Nothing was ever good: there is nothing to go back to.
            self.memory.base = self.memory.wanted.clone();
            self.kill_next(now);
        }
        // One that is tried and is not wanted any more has not accepted yet.
        let unwanted = |p: &Process| {
            p.program != self.memory.wanted && matches!(p.phase, Phase::Starting(_) | Phase::Tried(_))
        };
        if self.present.is_some() && self.next.as_ref().is_some_and(unwanted) {
            self.kill_next(now);
        }
    }

    pub(crate) fn said(&mut self, now: Duration, id: u64, own: Own) {
        if self.present.as_ref().is_none_or(|p| p.id != id) {
            return;
        }
        match own {
            // It was told that there is a change, and has not heard of it: it has lost touch with the others.
            Own::Nothing if self.may_go_back() => self.was_silent(now, id),
            Own::Nothing => self.silent = None,
            Own::Change(told) => {
                self.silent = None;
                self.told(now, told);
            }
        }
    }

    /// It says so again and again, and long after its end: only what is new in it counts, or no later word would hold.
    fn told(&mut self, now: Duration, told: Told) {
        let before = self.memory.told.replace(told.clone());
        let was = before.filter(|before| (before.number, &before.program) == (told.number, &told.program));
        match was.map(|was| was.new) {
            Some(new) if new == told.new => {}
            _ if told.new && told.program != self.memory.wanted => {
                self.want(told.program, now, "as the roll-out says");
            }
            // Only what this change has brought is taken back.
            Some(_) if !told.new && told.program == self.memory.wanted => {
                self.back(now, "as the roll-out says")
            }
            _ => {}
        }
    }

    /// To what serves, if the new one has not come so far; else to what was before it.
    fn back(&mut self, now: Duration, why: &str) {
        let serves = self.memory.base == self.memory.wanted;
        let before = self.memory.before.clone().filter(|_| serves);
        let to = before.unwrap_or_else(|| self.memory.base.clone());
        if self.memory.wanted != to {
            self.want(to, now, why);
        }
    }

    /// Whether what serves is what a change brought that is not over, and nothing else is to come.
    fn may_go_back(&self) -> bool {
        let Memory { wanted, base, before, told, .. } = &self.memory;
        let brought = |told: &Told| told.new && told.runs && told.program == *base;
        before.is_some() && wanted == base && told.as_ref().is_some_and(brought)
    }

    pub(crate) fn was_silent(&mut self, now: Duration, id: u64) {
        if self.present.as_ref().is_none_or(|p| p.id != id) {
            return;
        }
        let (since, before) = self.silent.unwrap_or((now, 0));
        let questions = before.saturating_add(1);
        self.silent = Some((since, questions));
        // A supervisor that was stopped itself has not asked meanwhile.
        let silent = now.saturating_sub(since) >= self.settings.cut_off && questions >= QUESTIONS;
        if silent && self.may_go_back() {
            self.back(now, "since it has not answered for too long");
        }
    }
}
