//! How well a site is, with dwell and damping.

use crate::Address;
use crate::state::{Phase, SiteRecord};
use maplehook_locality::Region;
use std::time::Duration;

/// A site that serves less of its demand is ill.
pub const ILL_UNDER: f64 = 0.9;
/// One that is ill is well again from here on.
pub const WELL_FROM: f64 = 0.97;

/// What a change for the worse costs; a withdrawal is two of them. RFC 2439, section 4.2: attributes changed, half a withdrawal.
pub const COST: f64 = 0.5;
/// From here on a site is kept back. RFC 2439, section 4.2: the cutoff threshold.
pub const CUT: f64 = 2.0;
/// Under this no more: the reuse threshold.
pub const REUSE: f64 = 0.75;
/// No more than this: a site comes back after four half-lives at the latest.
pub const CEILING: f64 = REUSE * 16.0;
/// A half-life, in times of `return_after`.
pub const HALF_LIFE: u32 = 8;

/// What is known of a site. It comes from the plan and from balancers that are ready there, not from a ping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteHealth {
    /// Which.
    pub region: Region,
    /// Share of its demand that it can serve with the spill that the rules allow. 0 to 1.
    pub served: f64,
    /// Share served by its own region alone: said to operators, acted on by the plan and not here.
    pub near: f64,
    /// Balancers that are ready there and in touch.
    pub ready: usize,
    /// No word from any balancer of it.
    pub cut_off: bool,
}

/// What the leader remembers of a site and an address, by its own clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Memory {
    pub ill: bool,
    /// Since when it is ill, or well.
    pub since: Duration,
    pub in_touch: bool,
    /// Whether it never was ill: such a one need not be well for a while before it serves.
    pub rested: bool,
    /// Since when the phase stands, from the first moment at which it was known to be agreed.
    pub phase_since: Option<Duration>,
    /// Since when it is agreed that it takes over from others.
    pub takes_since: Option<Duration>,
    penalty: f64,
    penalty_at: Duration,
    suppressed: bool,
}

impl Memory {
    pub fn new(now: Duration) -> Self {
        Self { since: now, rested: true, penalty_at: now, ..Self::default() }
    }

    /// From what another leader wrote.
    pub fn of(record: &SiteRecord, now: Duration) -> Self {
        let ago = |ms: u64| now.saturating_sub(Duration::from_millis(ms));
        let fine = record.penalty.is_finite();
        Self {
            ill: record.ill,
            // An illness that was written down may be over by now: it has to be seen as long as any other.
            since: if record.ill { now } else { ago(record.ill_for_ms) },
            in_touch: false,
            rested: !record.ill && record.penalty <= 0.0,
            // Whether what was written has come to anybody is not known: it stands from now on.
            phase_since: None,
            takes_since: None,
            penalty: if fine { record.penalty.clamp(0.0, CEILING) } else { 0.0 },
            penalty_at: now,
            suppressed: record.suppressed,
        }
    }

    pub fn write(&self, phase: Phase, now: Duration, half_life: Duration) -> SiteRecord {
        let ms = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let mut at = self.clone();
        at.decay(now, half_life);
        SiteRecord {
            phase,
            for_ms: self.phase_since.map_or(0, ms),
            ill: self.ill,
            ill_for_ms: ms(self.since),
            penalty: at.penalty,
            suppressed: at.suppressed,
        }
    }

    /// Takes in what is known now. To `one` a site without a word is ill, for nobody can say that it announces; to `many` it is
    /// neither.
    pub fn observe(&mut self, health: Option<&SiteHealth>, silence_is_ill: bool, now: Duration) {
        let known = health.filter(|health| !health.cut_off);
        self.in_touch = known.is_some();
        let ill = match known {
            Some(health) if health.ready == 0 || health.served < ILL_UNDER => true,
            Some(health) if health.served >= WELL_FROM => false,
            Some(_) => self.ill,
            None if silence_is_ill => true,
            None => {
                // What was seen before the silence says nothing of what comes after it.
                self.since = now;
                self.ill
            }
        };
        if ill != self.ill {
            (self.ill, self.since) = (ill, now);
        }
        self.rested &= !ill;
    }

    pub fn ill_for(&self, now: Duration) -> Option<Duration> {
        self.ill.then(|| now.saturating_sub(self.since))
    }

    pub fn well_for(&self, now: Duration) -> Option<Duration> {
        (!self.ill).then(|| now.saturating_sub(self.since))
    }

    /// Whether it may come back: well for long enough, and not kept back.
    pub fn may_return(&self, address: &Address, now: Duration) -> bool {
        self.in_touch
            && !self.suppressed
            && self.well_for(now).is_some_and(|time| self.rested || time >= address.return_after)
    }

    pub fn phase_for(&self, now: Duration) -> Duration {
        self.phase_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    pub fn takes_for(&self, now: Duration) -> Option<Duration> {
        self.takes_since.map(|since| now.saturating_sub(since))
    }

    pub fn decay(&mut self, now: Duration, half_life: Duration) {
        let lives = now.saturating_sub(self.penalty_at).as_secs_f64() / half_life.as_secs_f64().max(0.001);
        self.penalty *= 0.5f64.powf(lives);
        self.penalty_at = now;
        self.suppressed &= self.penalty >= REUSE;
    }

    pub fn punish(&mut self, now: Duration, half_life: Duration, cost: f64) {
        self.decay(now, half_life);
        self.penalty = (self.penalty + cost).min(CEILING);
        self.suppressed |= self.penalty >= CUT;
    }
}

/// The time in which a penalty halves.
pub(crate) fn half_life(address: &Address) -> Duration {
    address.return_after.saturating_mul(HALF_LIFE)
}
