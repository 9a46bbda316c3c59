//! Which program is to be run: by an operator's word, a roll-out's, or since a new one's process has lost touch.

use crate::machine::Machine;
use crate::memory::Digest;
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
        self.silent = None;
        match own {
            Own::Nothing => {
                if self.memory.last_good.as_ref() == Some(&self.memory.base) {
                    self.memory.before = None;
                }
            }
            // It says so again and again: what was given up stays so.
            Own::New(program) if program == self.memory.wanted => {}
            Own::New(program) => self.want(program, now, "as the roll-out says"),
            Own::Old => self.back(now, "as the roll-out says"),
        }
    }

    fn back(&mut self, now: Duration, why: &str) {
        let before = self.memory.before.clone().unwrap_or_else(|| self.memory.base.clone());
        if self.memory.wanted != before {
            self.want(before, now, why);
        }
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
        if silent && self.memory.before.is_some() {
            self.back(now, "since it has not answered for too long");
        }
    }
}
