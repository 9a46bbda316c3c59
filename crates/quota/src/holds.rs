//! The borrower's side: what others have lent, each with its end on the own clock.

use crate::{Grant, Key, Member};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Hold {
    pub(crate) want: u32,
    amount: u32,
    until: u64,
    number: u64,
    asked_at: u64,
    answered: bool,
    /// Whether the ask before the newest one had no answer.
    missed: bool,
    /// What the lender would let this balancer have; `None`: not heard yet.
    pub(crate) offer: Option<u32>,
}

impl Hold {
    /// What is held, whether or not it is made use of.
    pub(crate) fn amount(&self, now: u64) -> u32 {
        if now < self.until { self.amount } else { 0 }
    }

    /// What of it is used: all, and in the last quarter of the lease ever less, so that no end is a jump.
    pub(crate) fn used(&self, now: u64, lease: u64) -> u32 {
        let quarter = (lease / 4).max(1);
        let left = self.until.saturating_sub(now).min(quarter);
        (u64::from(self.amount(now)) * left / quarter) as u32
    }

    /// Whether it is time to ask again: at once for another amount or for want of an answer, else in good time.
    pub(crate) fn due(&self, now: u64, want: u32, lease: u64) -> bool {
        let other = want.abs_diff(self.want) > self.want / 8;
        let wait = if self.missed { lease / 8 } else { lease / 4 };
        let less = self.amount(now) < want - want / 8;
        other || less || !self.answered || now.saturating_sub(self.asked_at) >= wait
    }

    /// Asks for so much from now on: what is held beyond it is given up first. Returns what is kept.
    pub(crate) fn ask(&mut self, now: u64, want: u32, number: u64) -> u32 {
        self.amount = self.amount(now).min(want);
        self.missed = self.number > 0 && !self.answered;
        (self.want, self.number, self.asked_at, self.answered) = (want, number, now, false);
        self.amount
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Holds(pub(crate) BTreeMap<Key, BTreeMap<Member, Hold>>);

impl Holds {
    pub(crate) fn of(&self, key: Key) -> impl Iterator<Item = &Hold> {
        self.0.get(&key).into_iter().flat_map(BTreeMap::values)
    }

    pub(crate) fn held(&self, now: u64, key: Key) -> u32 {
        self.of(key).fold(0, |sum, hold| sum.saturating_add(hold.amount(now)))
    }

    pub(crate) fn used(&self, now: u64, key: Key, lease: u64) -> u32 {
        self.of(key).fold(0, |sum, hold| sum.saturating_add(hold.used(now, lease)))
    }

    /// Takes an answer to the newest ask. The lease runs from when it was asked: the lender can't have begun it sooner.
    pub(crate) fn granted(&mut self, grant: &Grant, lease: u64) {
        let hold = self.0.get_mut(&grant.key).and_then(|holds| holds.get_mut(&grant.from));
        if let Some(hold) = hold.filter(|hold| hold.number == grant.number) {
            hold.amount = grant.amount.min(hold.want);
            hold.until = hold.asked_at + lease;
            (hold.answered, hold.offer) = (true, Some(grant.offer));
        }
    }

    /// Forgets what has run out and was not asked for lately.
    pub(crate) fn expire(&mut self, now: u64, lease: u64) {
        self.0.retain(|_, holds| {
            holds.retain(|_, hold| now < hold.until || now < hold.asked_at + lease);
            !holds.is_empty()
        });
    }
}
