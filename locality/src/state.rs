//! How one rule stands for the requests of one zone: near, spilling, lost, returning.
//!
//! Evidence counts by steps of the rule's ladder ([`Rule::ladder`]). A step is *pressed* if its load is at least `over`, or less of
//! its capacity can be used than `usable_least`, or none. If all open steps are pressed for `over_for`, the next step that is not
//! full itself is opened; full or lost ones in between are passed over (they count as open, and get what they can bear). If all open
//! steps are lost, nothing is waited for. If a step before the last one is under `back` for `back_for`, the last one is closed.
//!
//! At most one opening in `over_for`, and one closing in `back_for`, whatever the evidence: each change begins all waiting anew,
//! and an opening for loss keeps its distance from the one before. Time without a tick counts as [`GAP_MOST`] at the most: a
//! process that was stopped has seen nothing meanwhile. A figure that is no number counts as full, or as lost.

use crate::rules::Rule;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most that the time between two ticks counts.
pub const GAP_MOST: Duration = Duration::from_secs(1);
/// A step that was lost is given back over this time at least: evidence comes by seconds, so that a tenth moves on each.
pub const RAMP_LEAST: Duration = Duration::from_secs(10);
/// And over as many `back_for`: no more than a quarter moves before what moved has been looked at for as long as the rule asks.
pub const RAMP_DWELLS: u32 = 4;
/// So much more than `usable_least` has to be usable again, as a share of the capacity, before a step counts as well.
pub const USABLE_MARGIN: f64 = 0.05;

/// A step of the ladder, as seen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// Load over its room: 1 is full.
    pub load: f64,
    /// Share of its capacity that is usable. 0: it is lost.
    pub usable: f64,
}

impl Seen {
    /// Several zones as one: usable by their weights, load by what of these is usable. Lost where there are none.
    pub fn together(parts: impl IntoIterator<Item = (Self, f64)>) -> Self {
        let (mut all, mut usable, mut load) = (0.0, 0.0, 0.0);
        for (seen, weight) in parts {
            all += weight;
            if !seen.is_lost() {
                usable += weight * seen.usable;
                load += weight * seen.usable * seen.load;
            }
        }
        if usable > 0.0 {
            Self { load: load / usable, usable: usable / all }
        } else {
            Self { load: 0.0, usable: 0.0 }
        }
    }

    /// Nothing of it can be used.
    pub fn is_lost(&self) -> bool {
        !matches!(self.usable.partial_cmp(&0.0), Some(std::cmp::Ordering::Greater))
    }

    /// Whether more may go there: neither lost nor over the rule's threshold.
    pub fn takes_more(&self, rule: &Rule) -> bool {
        !self.is_lost() && self.load < rule.spill.over
    }

    /// Whether the next step is to be asked.
    pub fn is_pressed(&self, rule: &Rule) -> bool {
        !self.takes_more(rule) || self.usable < rule.usable_least
    }

    /// Whether it could take back what a later step bears.
    fn is_easy(&self, rule: &Rule) -> bool {
        let well = (rule.usable_least + USABLE_MARGIN).min(1.0);
        !self.is_lost() && self.load < rule.spill.back && (rule.usable_least <= 0.0 || self.usable >= well)
    }
}

/// How a rule stands for the requests of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The first step bears all.
    #[default]
    Near,
    /// Later steps bear a part, for want of room in those before.
    Spilling,
    /// Nothing of the first step can be used.
    Lost,
    /// The first step is well again, and is given back slowly.
    Returning,
}

/// The state of one rule and one source zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keeper {
    phase: Phase,
    since: Duration,
    open: usize,
    given: f64,
    no_step_left: bool,
    last: Option<Duration>,
    /// Time as it counts: the sum of what lay between ticks, each at most [`GAP_MOST`].
    own: Duration,
    /// Since when, in that time, all open steps are pressed.
    pressed: Option<Duration>,
    /// Since when one before the last is easy.
    easy: Option<Duration>,
    /// Since when the lost first step can be used again.
    well: Option<Duration>,
    opened: Option<Duration>,
}

impl Keeper {
    /// Takes what is seen of the ladder's steps, and says how many of them are open: at least one, if there are any.
    pub fn tick(&mut self, now: Duration, rule: &Rule, steps: &[Seen]) -> usize {
        let between = self.last.map_or(Duration::ZERO, |last| now.saturating_sub(last).min(GAP_MOST));
        if self.last.is_none() {
            (self.since, self.given) = (now, 1.0);
        }
        self.last = Some(now);
        self.own += between;
        let Some(first) = steps.first() else {
            (self.open, self.no_step_left) = (0, true);
            self.enter(Phase::Lost, now);
            return 0;
        };
        self.open = self.open.clamp(1, steps.len());
        self.turn(now, between, rule, first);
        self.widen(rule, steps);
        self.narrow(rule, steps);
        if matches!(self.phase, Phase::Near | Phase::Spilling) {
            self.enter(if self.open > 1 { Phase::Spilling } else { Phase::Near }, now);
        }
        self.open
    }

    /// How it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The moment at which the phase began, by the clock that ticks are told.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// How many steps are open. 0 before the first tick.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Share of what the first step can bear that it may be given: 1 but while it is lost (0) or returns.
    pub fn given(&self) -> f64 {
        if self.last.is_none() { 1.0 } else { self.given }
    }

    /// Whether all open steps are pressed and no other one takes more.
    pub fn no_step_left(&self) -> bool {
        self.no_step_left
    }

    fn enter(&mut self, phase: Phase, now: Duration) {
        if self.phase != phase {
            (self.phase, self.since) = (phase, now);
        }
    }

    /// Loss of the first step, and its return.
    fn turn(&mut self, now: Duration, between: Duration, rule: &Rule, first: &Seen) {
        if first.is_lost() {
            (self.given, self.well) = (0.0, None);
            return self.enter(Phase::Lost, now);
        }
        match self.phase {
            Phase::Lost if !first.takes_more(rule) => self.well = None,
            Phase::Lost => {
                let since = *self.well.get_or_insert(self.own);
                if self.own - since >= rule.spill.back_for {
                    self.well = None;
                    self.enter(Phase::Returning, now);
                }
            }
            Phase::Returning if first.takes_more(rule) => {
                self.given += between.as_secs_f64() / ramp(rule).as_secs_f64();
                if self.given >= 1.0 {
                    self.given = 1.0;
                    self.enter(Phase::Spilling, now);
                }
            }
            // What is given fills it already: no more for now.
            Phase::Returning | Phase::Near | Phase::Spilling => {}
        }
    }

    fn widen(&mut self, rule: &Rule, steps: &[Seen]) {
        let (open, rest) = steps.split_at(self.open);
        if !open.iter().all(|step| step.is_pressed(rule)) {
            (self.pressed, self.no_step_left) = (None, false);
            return;
        }
        let next = rest.iter().position(|step| step.takes_more(rule));
        self.no_step_left = next.is_none();
        let since = *self.pressed.get_or_insert(self.own);
        let wait = rule.spill.over_for;
        let ripe = self.own - since >= wait || open.iter().all(Seen::is_lost);
        let apart = self.opened.is_none_or(|opened| self.own - opened >= wait);
        if let (true, true, Some(next)) = (ripe, apart, next) {
            self.open += next + 1;
            // None of those before is easy: `narrow` waits anew too.
            (self.opened, self.pressed) = (Some(self.own), None);
        }
    }

    fn narrow(&mut self, rule: &Rule, steps: &[Seen]) {
        let before = &steps[..self.open - 1];
        // What returns bears only a part, and says nothing yet of how it will bear the whole.
        let returning = usize::from(matches!(self.phase, Phase::Lost | Phase::Returning)).min(before.len());
        if !before[returning..].iter().any(|step| step.is_easy(rule)) {
            self.easy = None;
            return;
        }
        let since = *self.easy.get_or_insert(self.own);
        if self.own - since >= rule.spill.back_for {
            self.open -= 1;
            (self.easy, self.pressed) = (None, None);
        }
    }
}

/// Over how long a first step that was lost is given back.
pub fn ramp(rule: &Rule) -> Duration {
    RAMP_LEAST.max(rule.spill.back_for.saturating_mul(RAMP_DWELLS))
}
