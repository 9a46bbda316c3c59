//! Site health with minimum dwell times and flap damping.

use crate::Address;
use crate::state::{Phase, SiteRecord};
use maplehook_locality::Region;
use std::time::Duration;

/// Served share of its demand below which a site becomes unhealthy.
pub const UNHEALTHY_BELOW: f64 = 0.9;
/// Served share of its demand from which an unhealthy site becomes healthy again.
pub const HEALTHY_FROM: f64 = 0.97;

/// Penalty for one step down; a withdrawal is two steps. Equals the penalty for changed attributes in RFC
/// 2439, section 4.2, which is half that of a withdrawal.
pub const STEP_DOWN_PENALTY: f64 = 0.5;
/// Penalty from which a site is suppressed: the cutoff threshold of RFC 2439, section 4.2.
pub const SUPPRESS_THRESHOLD: f64 = 2.0;
/// Penalty below which a suppressed site may return: the reuse threshold of RFC 2439.
pub const REUSE_THRESHOLD: f64 = 0.75;
/// Maximum penalty. It decays to the reuse threshold in four half-lives, which bounds the time a site is
/// suppressed.
pub const MAX_PENALTY: f64 = REUSE_THRESHOLD * 16.0;
/// Half-life of the penalty, as a multiple of [`Address::return_after`].
pub const HALF_LIFE_FACTOR: u32 = 8;

/// Health of a site, derived from the plan and from reports of its ready balancers. No ping is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteHealth {
    /// Region of the site.
    pub region: Region,
    /// Share of the site's demand that can be served with the spillover that the rules allow, from 0 to 1.
    pub served: f64,
    /// Share of the site's demand that its region can serve without spillover, from 0 to 1. Shown to
    /// operators and used by the plan, but ignored here.
    pub near: f64,
    /// Number of balancers of the site that are ready and in touch with the leader.
    pub ready: usize,
    /// True if the leader receives nothing from any balancer of the site.
    pub cut_off: bool,
}

/// Health history of one site of an address, timed by the leader's clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HealthHistory {
    pub is_unhealthy: bool,
    /// Time at which `is_unhealthy` last changed.
    pub since: Duration,
    pub in_touch: bool,
    /// True if the site was never unhealthy. Such a site may announce the address without a minimum healthy
    /// time.
    pub never_unhealthy: bool,
    /// Time at which the leader first observed the current phase as agreed.
    pub phase_since: Option<Duration>,
    /// Time since which the agreed preference of the site is
    /// [`PREFERENCE_TAKEOVER`](crate::state::PREFERENCE_TAKEOVER).
    pub takeover_since: Option<Duration>,
    penalty: f64,
    penalty_at: Duration,
    suppressed: bool,
}

impl HealthHistory {
    pub fn new(now: Duration) -> Self {
        Self { since: now, never_unhealthy: true, penalty_at: now, ..Self::default() }
    }

    /// Restores the history that another leader wrote.
    pub fn from_record(record: &SiteRecord, now: Duration) -> Self {
        let time_before = |ms: u64| now.saturating_sub(Duration::from_millis(ms));
        let is_finite = record.penalty.is_finite();
        Self {
            is_unhealthy: record.ill,
            // The site may have recovered since the record was written, so its unhealthy time starts again.
            since: if record.ill { now } else { time_before(record.ill_for_ms) },
            in_touch: false,
            never_unhealthy: !record.ill && record.penalty <= 0.0,
            // It is unknown whether the recorded phase has reached any balancer, so its dwell time starts
            // again.
            phase_since: None,
            takeover_since: None,
            penalty: if is_finite { record.penalty.clamp(0.0, MAX_PENALTY) } else { 0.0 },
            penalty_at: now,
            suppressed: record.suppressed,
        }
    }

    pub fn to_record(&self, phase: Phase, now: Duration, half_life: Duration) -> SiteRecord {
        let ms = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let mut decayed = self.clone();
        decayed.decay(now, half_life);
        SiteRecord {
            phase,
            for_ms: self.phase_since.map_or(0, ms),
            ill: self.is_unhealthy,
            ill_for_ms: ms(self.since),
            penalty: decayed.penalty,
            suppressed: decayed.suppressed,
        }
    }

    /// Updates the history with the current health. For `One` a silent site counts as unhealthy, because the
    /// leader cannot know whether the site announces the address. For `Many` silence leaves the health
    /// unchanged.
    pub fn observe(&mut self, health: Option<&SiteHealth>, silence_is_unhealthy: bool, now: Duration) {
        let reported = health.filter(|health| !health.cut_off);
        self.in_touch = reported.is_some();
        let is_unhealthy = match reported {
            Some(health) if health.ready == 0 || health.served < UNHEALTHY_BELOW => true,
            Some(health) if health.served >= HEALTHY_FROM => false,
            Some(_) => self.is_unhealthy,
            None if silence_is_unhealthy => true,
            None => {
                // Health observed before the silence does not count towards the dwell time after it.
                self.since = now;
                self.is_unhealthy
            }
        };
        if is_unhealthy != self.is_unhealthy {
            (self.is_unhealthy, self.since) = (is_unhealthy, now);
        }
        self.never_unhealthy &= !is_unhealthy;
    }

    pub fn unhealthy_for(&self, now: Duration) -> Option<Duration> {
        self.is_unhealthy.then(|| now.saturating_sub(self.since))
    }

    pub fn healthy_for(&self, now: Duration) -> Option<Duration> {
        (!self.is_unhealthy).then(|| now.saturating_sub(self.since))
    }

    /// Returns true if the site may return: it is in touch, not suppressed, and has been healthy for long
    /// enough.
    pub fn may_return(&self, address: &Address, now: Duration) -> bool {
        self.in_touch
            && !self.suppressed
            && self.healthy_for(now).is_some_and(|time| self.never_unhealthy || time >= address.return_after)
    }

    pub fn phase_for(&self, now: Duration) -> Duration {
        self.phase_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    pub fn takeover_for(&self, now: Duration) -> Option<Duration> {
        self.takeover_since.map(|since| now.saturating_sub(since))
    }

    pub fn decay(&mut self, now: Duration, half_life: Duration) {
        let half_lives =
            now.saturating_sub(self.penalty_at).as_secs_f64() / half_life.as_secs_f64().max(0.001);
        self.penalty *= 0.5f64.powf(half_lives);
        self.penalty_at = now;
        self.suppressed &= self.penalty >= REUSE_THRESHOLD;
    }

    pub fn add_penalty(&mut self, now: Duration, half_life: Duration, penalty_step: f64) {
        self.decay(now, half_life);
        self.penalty = (self.penalty + penalty_step).min(MAX_PENALTY);
        self.suppressed |= self.penalty >= SUPPRESS_THRESHOLD;
    }
}

/// Returns the half-life of a penalty for this address.
pub(crate) fn half_life(address: &Address) -> Duration {
    address.return_after.saturating_mul(HALF_LIFE_FACTOR)
}
