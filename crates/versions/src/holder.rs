//! A balancer's side: the step that it acts on, and for how long it may.

use crate::grants::{CutOff, DRIFT, Times};
use crate::steps::{Step, Steps, Version};
use std::time::Duration;

/// The most requests for a lease that may be under way.
const ASKED_MOST: usize = 16;

/// A step, with the texts that whoever acts on it needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Told {
    /// Its epoch.
    pub epoch: u64,
    /// The step.
    pub step: Step,
    /// The versions that it names.
    pub versions: Vec<Version>,
}

impl Told {
    /// What a leader tells.
    pub fn of(steps: &Steps) -> Self {
        let versions = steps.texts().into_iter().cloned().collect();
        Self { epoch: steps.epoch, step: steps.step, versions }
    }
}

/// By what a balancer acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acts {
    /// By the step that it was told last.
    Step(Step),
    /// Its lease has run out, or it never had one: by the strictest reading there is.
    Careful,
    /// Its lease has run out: it refuses.
    Refuses,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    /// When, before it was sent.
    at: Duration,
}

/// What a balancer holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    times: Times,
    cut_off: CutOff,
    told: Option<Told>,
    until: Option<Duration>,
    asked: Vec<Asked>,
    next: u64,
    renew_at: Duration,
}

impl Holder {
    /// One that has been told nothing.
    pub fn new(times: Times, cut_off: CutOff) -> Self {
        Self { times, cut_off, told: None, until: None, asked: Vec::new(), next: 0, renew_at: Duration::ZERO }
    }

    /// What it was told last.
    pub fn told(&self) -> Option<&Told> {
        self.told.as_ref()
    }

    /// The epoch that it acts on, or would.
    pub fn epoch(&self) -> u64 {
        self.told.as_ref().map_or(0, |told| told.epoch)
    }

    /// When a lease is to be asked for.
    pub fn renews(&self) -> Duration {
        self.renew_at
    }

    /// Asks for one now: the number of the request. The clock is read here, before anything is sent.
    pub fn ask(&mut self, now: Duration) -> u64 {
        self.next += 1;
        self.renew_at = now + self.times.renew;
        if self.asked.len() == ASKED_MOST {
            self.asked.remove(0);
        }
        self.asked.push(Asked { number: self.next, at: now });
        self.next
    }

    /// A lease was granted, at this epoch, with the step where it is another one than was told before. `true`: it is.
    pub fn granted(&mut self, number: u64, epoch: u64, told: Option<Told>) -> bool {
        let Some(asked) = self.asked.iter().find(|asked| asked.number == number).copied() else {
            return false;
        };
        self.asked.retain(|other| other.number > number);
        if epoch < self.epoch() {
            // It was overtaken by a later step.
            return false;
        }
        let told = told.filter(|told| told.epoch == epoch);
        let news = self.told.as_ref().is_none_or(|before| before.epoch < epoch);
        if news {
            // A lease for a step that is not known is none.
            let Some(told) = told else { return false };
            self.told = Some(told);
        }
        // A clock that goes slow must not make it longer.
        let until = asked.at + self.times.lease.mul_f64(1.0 - DRIFT);
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
        news
    }

    /// Until when it may act by the step.
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    /// By what it acts.
    pub fn acts(&self, now: Duration) -> Acts {
        match &self.told {
            Some(told) if told.step != Step::Unsettled => {
                let holds = self.until.is_some_and(|until| now < until);
                match self.cut_off {
                    _ if holds => Acts::Step(told.step),
                    CutOff::WaitForAll => Acts::Step(told.step),
                    CutOff::Careful => Acts::Careful,
                    CutOff::Refuse => Acts::Refuses,
                }
            }
            _ if self.cut_off == CutOff::Refuse => Acts::Refuses,
            _ => Acts::Careful,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    fn told(epoch: u64, number: u64) -> Told {
        Told { epoch, step: Step::Settled(number), versions: Vec::new() }
    }

    #[test]
    fn a_lease_lasts_from_before_its_request() {
        let times = Times::new(s(5)).unwrap();
        let mut holder = Holder::new(times, CutOff::Careful);
        assert_eq!(holder.acts(s(0)), Acts::Careful);
        let number = holder.ask(s(10));
        // The answer comes 3 s later: what is left is what is left.
        assert!(holder.granted(number, 1, Some(told(1, 1))));
        assert_eq!(holder.acts(s(13)), Acts::Step(Step::Settled(1)));
        assert_eq!(holder.acts(s(14)), Acts::Careful);
        // One that comes after its time is no lease.
        let late = holder.ask(s(20));
        holder.granted(late, 1, None);
        assert_eq!(holder.acts(s(24)), Acts::Careful);
        assert!(!holder.granted(late, 1, None), "nor is one that was had before");
        assert!(!holder.granted(99, 9, Some(told(9, 9))), "nor one that was not asked for");
    }

    #[test]
    fn an_overtaken_answer_does_not_bring_back_an_earlier_step() {
        let mut holder = Holder::new(Times::new(s(5)).unwrap(), CutOff::Refuse);
        let (first, second) = (holder.ask(s(1)), holder.ask(s(2)));
        assert!(holder.granted(second, 2, Some(told(2, 2))));
        assert!(!holder.granted(first, 1, Some(told(1, 1))));
        assert_eq!(holder.acts(s(3)), Acts::Step(Step::Settled(2)));
        assert_eq!(holder.acts(s(60)), Acts::Refuses);
        let waits = Holder::new(Times::new(s(5)).unwrap(), CutOff::WaitForAll);
        assert_eq!(waits.acts(s(1)), Acts::Careful, "it was told nothing");
    }
}
