//! How one zone stands over time: dwell times against single glitches, RFC 2439's penalty against flapping, a slow return.

use crate::bounds::{Bounds, Damping};
use crate::document::{ZoneState, ZoneStatus};
use crate::evidence::Seen;
use std::time::Duration;

/// Longer pauses between two looks are counted as this: whoever was stopped has seen nothing meanwhile.
const LOOK_MOST: Duration = Duration::from_millis(500);
/// Share that a zone is given first when it returns.
const FIRST: f64 = 0.1;
/// Share that a zone keeps that fell ill under what others sent it.
const RELIEVED: f64 = 0.5;

/// A penalty that halves with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    figure: f64,
    at: Duration,
    suppressed: bool,
}

impl Penalty {
    /// As it was written down; whoever was over the threshold is suppressed.
    pub fn of(figure: f64, now: Duration, damping: &Damping) -> Self {
        let figure = if figure.is_finite() { figure.clamp(0.0, damping.most) } else { 0.0 };
        Self { figure, at: now, suppressed: figure >= damping.suppress }
    }

    /// What it comes to now.
    pub fn figure(&self, now: Duration, damping: &Damping) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64() / damping.half_life.as_secs_f64().max(1e-3);
        self.figure * 0.5f64.powf(passed)
    }

    /// Adds what one fall costs.
    pub fn add(&mut self, now: Duration, damping: &Damping) {
        self.figure = (self.figure(now, damping) + damping.each).min(damping.most);
        self.at = self.at.max(now);
        self.suppressed |= self.figure >= damping.suppress;
    }

    /// Whether a zone is kept out for its flapping.
    pub fn suppresses(&mut self, now: Duration, damping: &Damping) -> bool {
        self.suppressed &= self.figure(now, damping) >= damping.reuse;
        self.suppressed
    }
}

/// How a zone stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// Its state; cut is told apart by [`crate::reach`].
    pub state: ZoneState,
    /// Why, in words.
    pub reason: String,
    /// Share of its room that it is given.
    pub given: f64,
    /// Whether it is given all although it is ill or lost: a bound holds it in.
    pub kept: bool,
    /// Zones that stand behind the state.
    pub observers: u16,
    /// What its flapping has cost.
    pub penalty: Penalty,
    since: Duration,
    /// For how long it stood so already when this began to be counted.
    older: Duration,
    looked: Duration,
    bad_for: Duration,
    lost_for: Duration,
    well_since: Option<Duration>,
}

impl Standing {
    /// It serves.
    pub fn serving(now: Duration) -> Self {
        Self { given: 1.0, since: now, looked: now, ..Self::default() }
    }

    /// As it was agreed on.
    pub fn of(place: &ZoneStatus, now: Duration, damping: &Damping) -> Self {
        let given = f64::from(place.given);
        let bad = matches!(place.state, ZoneState::Unhealthy | ZoneState::Unreachable);
        Self {
            state: if place.state == ZoneState::Partitioned { ZoneState::Serving } else { place.state },
            reason: place.reason.clone(),
            given: if given.is_finite() { given.clamp(0.0, 1.0) } else { 1.0 },
            kept: bad && given >= 1.0,
            observers: place.observers,
            penalty: Penalty::of(f64::from(place.penalty), now, damping),
            older: Duration::from_millis(place.since_ms),
            ..Self::serving(now)
        }
    }

    /// For how long it has stood so.
    pub fn age(&self, now: Duration) -> Duration {
        self.older.saturating_add(now.saturating_sub(self.since))
    }

    /// Ill or lost.
    pub fn is_bad(&self) -> bool {
        matches!(self.state, ZoneState::Unhealthy | ZoneState::Unreachable)
    }

    /// Whether it seems bad at this instant, whatever its state.
    pub fn seems_bad(&self) -> bool {
        !self.bad_for.is_zero() && self.well_since.is_none()
    }

    /// Takes what is seen, and says which worse state it has seemed to be in for long enough.
    pub fn look(&mut self, now: Duration, seen: &Seen, bounds: &Bounds) -> Option<ZoneState> {
        let passed = now.saturating_sub(self.looked).min(LOOK_MOST);
        self.looked = self.looked.max(now);
        let count = |so: bool, time: Duration, most: Duration| {
            // Half as fast back, so that what is bad every other second is not well.
            if so { (time + passed).min(most) } else { time.saturating_sub(passed / 2) }
        };
        let lost = seen.state == ZoneState::Unreachable;
        let bad = lost || seen.state == ZoneState::Unhealthy;
        self.bad_for = count(bad, self.bad_for, bounds.ill_after);
        self.lost_for = count(lost, self.lost_for, bounds.lost_after);
        if lost {
            // What has stood before this was heard has stood.
            self.lost_for = self.lost_for.max(seen.out_for.min(bounds.lost_after));
        }
        if bad {
            self.well_since = None;
        } else {
            self.well_since.get_or_insert(now);
        }
        if self.is_bad() && bad {
            (self.reason, self.observers) = (seen.reason.clone(), seen.observers);
        }
        let to = match seen.state {
            ZoneState::Unreachable if self.lost_for >= bounds.lost_after => ZoneState::Unreachable,
            ZoneState::Unhealthy | ZoneState::Unreachable if self.bad_for >= bounds.ill_after => {
                ZoneState::Unhealthy
            }
            _ => return None,
        };
        // What is lost is not called ill for a moment in between.
        let same = self.state == to || lost && self.state == ZoneState::Unreachable;
        (self.state != ZoneState::Evacuated && (!same || self.kept)).then_some(to)
    }

    /// It falls out, or is held in.
    pub fn fall(&mut self, now: Duration, to: ZoneState, seen: &Seen, how: Fall, bounds: &Bounds) {
        if !self.is_bad() {
            self.penalty.add(now, &bounds.damping);
        }
        if self.state != to {
            self.turn(now, to);
        }
        (self.reason, self.observers) = (seen.reason.clone(), seen.observers);
        self.kept = matches!(how, Fall::Kept(_));
        self.given = match how {
            Fall::Out => 0.0,
            Fall::Relieved => RELIEVED.min(self.given),
            Fall::Kept(reason) => {
                self.reason = format!("{}; held in: {reason}", self.reason);
                1.0
            }
        };
    }

    /// Gives back what is due: a zone that has seemed well for long enough returns, and grows.
    pub fn mend(&mut self, now: Duration, passed: Duration, evacuated: bool, bounds: &Bounds) {
        let well = self.well_since.is_some_and(|since| now.saturating_sub(since) >= bounds.well_after);
        let suppressed = self.penalty.suppresses(now, &bounds.damping);
        match self.state {
            _ if evacuated && self.state != ZoneState::Evacuated => {
                self.turn(now, ZoneState::Evacuated);
                (self.given, self.kept) = (0.0, false);
            }
            ZoneState::Evacuated if !evacuated => self.back(now, "released"),
            // An illness that half the room does not cure is not one of being full.
            ZoneState::Unhealthy if self.is_not_cured(now, bounds) => self.given = 0.0,
            ZoneState::Unhealthy | ZoneState::Unreachable if well && !suppressed => {
                self.back(now, "well again")
            }
            ZoneState::Returning => {
                let part = passed.as_secs_f64() / bounds.return_over.as_secs_f64().max(1e-3);
                self.given = (self.given + part).min(1.0);
                if self.given >= 1.0 {
                    self.turn(now, ZoneState::Serving);
                    self.reason.clear();
                }
            }
            _ => {}
        }
    }

    fn is_not_cured(&self, now: Duration, bounds: &Bounds) -> bool {
        self.given > 0.0 && !self.kept && self.seems_bad() && self.age(now) >= 3 * bounds.ill_after
    }

    fn back(&mut self, now: Duration, reason: &str) {
        self.turn(now, ZoneState::Returning);
        self.reason = reason.to_owned();
        self.kept = false;
        self.given = self.given.max(FIRST);
    }

    fn turn(&mut self, now: Duration, to: ZoneState) {
        (self.state, self.since, self.older) = (to, now, Duration::ZERO);
    }
}

/// How a zone falls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fall {
    /// It is given nothing any more.
    Out,
    /// It is given less: it fell ill under what others sent it.
    Relieved,
    /// It is given all: a bound forbids more.
    Kept(String),
}
