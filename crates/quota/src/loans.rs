//! The lender's side: what of the own part has been lent, to whom, and until when it may be in use there.

use crate::{Ask, Grant, Key, Member};
use std::collections::BTreeMap;

/// The most loans on record; past it nothing is lent to a further borrower.
pub const LOANS_MOST: usize = 32_768;

/// The most steps of a loan; a borrower that is granted ever less, ever again, waits for the first to run out.
const STEPS_MOST: usize = 8;

/// An amount that may be in use elsewhere until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Step {
    amount: u32,
    until: u64,
}

/// What a borrower may have: it holds one of its grants, and which of them came, the lender can't know. Each step is lower
/// than the one before it and ends later, so that no small grant makes a large one last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Loan {
    number: u64,
    want: u32,
    until: u64,
    steps: Vec<Step>,
}

impl Loan {
    /// The most that the borrower can have now.
    fn charge(&self, now: u64) -> u32 {
        self.steps.iter().find(|step| now < step.until).map_or(0, |step| step.amount)
    }

    /// The borrower has no more than this now.
    fn clip(&mut self, now: u64, held: u32) {
        self.steps.retain(|step| now < step.until);
        self.steps.iter_mut().for_each(|step| step.amount = step.amount.min(held));
        let last = |amount: u32, steps: &[Step]| steps.iter().rposition(|step| step.amount == amount);
        // Of equal ones the last counts.
        if let Some(first) = self.steps.first().and_then(|step| last(step.amount, &self.steps)) {
            self.steps.drain(..first);
        }
    }

    fn grant(&mut self, step: Step) {
        self.steps.retain(|other| other.amount > step.amount);
        if step.amount > 0 {
            self.steps.push(step);
        }
    }
}

/// Loans by what they are of and by the borrower's start: a later start does not end what an earlier one may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Loans {
    all: BTreeMap<Key, BTreeMap<Member, Loan>>,
    count: usize,
}

/// The level up to which one more asker that wants everything is served, beside others that want so much (max-min fair).
fn level(room: u32, mut wants: Vec<u32>) -> u32 {
    wants.sort_unstable();
    let (mut rest, mut parties) = (room, wants.len() as u32 + 1);
    for want in wants {
        if want > rest / parties {
            break;
        }
        rest -= want;
        parties -= 1;
    }
    rest / parties
}

impl Loans {
    /// The most of this that can be in use elsewhere.
    pub(crate) fn charged(&self, now: u64, key: Key) -> u32 {
        self.all.get(&key).map_or(0, |loans| loans.values().map(|loan| loan.charge(now)).sum())
    }

    /// Forgets what has run out.
    pub(crate) fn expire(&mut self, now: u64) {
        self.all.retain(|_, loans| {
            loans.retain(|_, loan| now < loan.until);
            !loans.is_empty()
        });
        self.count = self.all.values().map(BTreeMap::len).sum();
    }

    /// Answers an ask out of `base`, of which the first `own` are needed here. An ask that was overtaken by a later one
    /// has no answer.
    pub(crate) fn ask(&mut self, now: u64, ask: &Ask, base: u32, own: u32, until: u64) -> Option<Grant> {
        let loans = self.all.entry(ask.key).or_default();
        let known = loans.get(&ask.from);
        if known.is_some_and(|loan| now < loan.until && ask.number <= loan.number) {
            return None;
        }
        if known.is_none() && self.count >= LOANS_MOST {
            return None;
        }
        let mut loan = known.cloned().unwrap_or_default();
        // The ask says what the borrower kept: it gave up the rest first.
        loan.clip(now, ask.held);
        if loan.steps.len() >= STEPS_MOST {
            return None;
        }
        let others = || loans.iter().filter(|(borrower, _)| **borrower != ask.from).map(|(_, loan)| loan);
        let lent: u32 = others().map(|loan| loan.charge(now)).sum();
        let wants = others().filter(|loan| now < loan.until).map(|loan| loan.want).collect();
        let spare = base.saturating_sub(own);
        let offer = level(spare, wants);
        let amount = ask.want.min(offer).min(spare.saturating_sub(lent));
        loan.grant(Step { amount, until });
        (loan.number, loan.want, loan.until) = (ask.number, ask.want, until);
        self.count += usize::from(loans.insert(ask.from, loan).is_none());
        Some(Grant { from: ask.to, to: ask.from, key: ask.key, number: ask.number, amount, offer })
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn has(&self, key: Key) -> bool {
        self.all.contains_key(&key)
    }
}
