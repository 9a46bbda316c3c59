//! Health of one zone over time: dwell times filter short glitches, RFC 2439 penalties damp flapping, and
//! recovery is gradual.

use crate::bounds::{Bounds, Damping};
use crate::document::{ZoneState, ZoneStatus};
use crate::verdict::ZoneAssessment;
use std::time::Duration;

/// Longer pauses between two ticks count as this time: a process that was paused observed nothing meanwhile.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Share of its traffic that a zone admits first when it returns.
const INITIAL_RETURN_SHARE: f64 = 0.1;
/// Share of its traffic that a zone keeps if spillover from other zones made it unhealthy.
const REDUCED_SHARE: f64 = 0.5;

/// Flap-damping penalty that decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    value: f64,
    updated_at: Duration,
    suppressed: bool,
}

impl Penalty {
    /// Restores a stored penalty. Suppression starts if the value is at or above the threshold.
    pub fn restore(value: f64, now: Duration, damping: &Damping) -> Self {
        let value = if value.is_finite() { value.clamp(0.0, damping.max_penalty) } else { 0.0 };
        Self { value, updated_at: now, suppressed: value >= damping.suppress_from }
    }

    /// Returns the decayed penalty at `now`.
    pub fn value(&self, now: Duration, damping: &Damping) -> f64 {
        let elapsed =
            now.saturating_sub(self.updated_at).as_secs_f64() / damping.half_life.as_secs_f64().max(1e-3);
        self.value * 0.5f64.powf(elapsed)
    }

    /// Adds the penalty of one failure.
    pub fn add(&mut self, now: Duration, damping: &Damping) {
        self.value = (self.value(now, damping) + damping.penalty_per_failure).min(damping.max_penalty);
        self.updated_at = self.updated_at.max(now);
        self.suppressed |= self.value >= damping.suppress_from;
    }

    /// Updates the suppression and returns true if the zone is suppressed because of flapping.
    pub fn suppresses(&mut self, now: Duration, damping: &Damping) -> bool {
        self.suppressed &= self.value(now, damping) >= damping.reuse_below;
        self.suppressed
    }
}

/// Health of one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneHealth {
    /// Current state; [`ZoneState::Partitioned`] is determined by [`crate::reachability`] instead.
    pub state: ZoneState,
    /// Reason for the state, for logs and operators.
    pub reason: String,
    /// Share of its capacity that the zone may serve, 0 to 1.
    pub admitted_share: f64,
    /// Set if the zone failed but a limit keeps it fully in service.
    pub retained: bool,
    /// Number of zones whose reports support the state.
    pub observers: u16,
    /// Flap-damping penalty.
    pub penalty: Penalty,
    since: Duration,
    /// Age of the state when this value was created, restored from the document.
    prior_age: Duration,
    last_tick: Duration,
    failing_for: Duration,
    unreachable_for: Duration,
    healthy_since: Option<Duration>,
}

impl ZoneHealth {
    /// Creates the health of a zone in service.
    pub fn serving(now: Duration) -> Self {
        Self { admitted_share: 1.0, since: now, last_tick: now, ..Self::default() }
    }

    /// Restores the health from an agreed status.
    pub fn restore(status: &ZoneStatus, now: Duration, damping: &Damping) -> Self {
        let admitted_share = f64::from(status.admitted_share);
        let is_failing_now = matches!(status.state, ZoneState::Unhealthy | ZoneState::Unreachable);
        Self {
            state: if status.state == ZoneState::Partitioned { ZoneState::Serving } else { status.state },
            reason: status.reason.clone(),
            admitted_share: if admitted_share.is_finite() { admitted_share.clamp(0.0, 1.0) } else { 1.0 },
            retained: is_failing_now && admitted_share >= 1.0,
            observers: status.observers,
            penalty: Penalty::restore(f64::from(status.penalty), now, damping),
            prior_age: Duration::from_millis(status.since_ms),
            ..Self::serving(now)
        }
    }

    /// Returns the time since the last state change.
    pub fn age(&self, now: Duration) -> Duration {
        self.prior_age.saturating_add(now.saturating_sub(self.since))
    }

    /// Returns true if the zone is unhealthy or unreachable.
    pub fn is_failing(&self) -> bool {
        matches!(self.state, ZoneState::Unhealthy | ZoneState::Unreachable)
    }

    /// Returns true if the latest reports show a failure, whatever the current state.
    pub fn appears_failing(&self) -> bool {
        !self.failing_for.is_zero() && self.healthy_since.is_none()
    }

    /// Adds a new assessment. Returns the worse state to enter if its dwell time has passed.
    pub fn observe(
        &mut self,
        now: Duration,
        assessment: &ZoneAssessment,
        bounds: &Bounds,
    ) -> Option<ZoneState> {
        let elapsed = now.saturating_sub(self.last_tick).min(MAX_TICK_GAP);
        self.last_tick = self.last_tick.max(now);
        let accumulate = |is_present: bool, accumulated: Duration, max_time: Duration| {
            // Decreases at half speed, so that a zone that fails every other second still accumulates time.
            if is_present {
                (accumulated + elapsed).min(max_time)
            } else {
                accumulated.saturating_sub(elapsed / 2)
            }
        };
        let is_unreachable = assessment.state == ZoneState::Unreachable;
        let is_failing_now = is_unreachable || assessment.state == ZoneState::Unhealthy;
        self.failing_for = accumulate(is_failing_now, self.failing_for, bounds.unhealthy_after);
        self.unreachable_for = accumulate(is_unreachable, self.unreachable_for, bounds.unreachable_after);
        if is_unreachable {
            // An outage that the reporting balancers noticed earlier counts from its start.
            self.unreachable_for =
                self.unreachable_for.max(assessment.unreachable_for.min(bounds.unreachable_after));
        }
        if is_failing_now {
            self.healthy_since = None;
        } else {
            self.healthy_since.get_or_insert(now);
        }
        if self.is_failing() && is_failing_now {
            (self.reason, self.observers) = (assessment.reason.clone(), assessment.observers);
        }
        let new_state = match assessment.state {
            ZoneState::Unreachable if self.unreachable_for >= bounds.unreachable_after => {
                ZoneState::Unreachable
            }
            ZoneState::Unhealthy | ZoneState::Unreachable if self.failing_for >= bounds.unhealthy_after => {
                ZoneState::Unhealthy
            }
            _ => return None,
        };
        // An unreachable zone does not pass through the unhealthy state.
        let is_unchanged = self.state == new_state || is_unreachable && self.state == ZoneState::Unreachable;
        (self.state != ZoneState::Evacuated && (!is_unchanged || self.retained)).then_some(new_state)
    }

    /// Marks the zone as failed and applies the response to the share it may serve.
    pub fn mark_failed(
        &mut self,
        now: Duration,
        new_state: ZoneState,
        assessment: &ZoneAssessment,
        response: FailureResponse,
        bounds: &Bounds,
    ) {
        if !self.is_failing() {
            self.penalty.add(now, &bounds.damping);
        }
        if self.state != new_state {
            self.set_state(now, new_state);
        }
        (self.reason, self.observers) = (assessment.reason.clone(), assessment.observers);
        self.retained = matches!(response, FailureResponse::Retain(_));
        self.admitted_share = match response {
            FailureResponse::Remove => 0.0,
            FailureResponse::Reduce => REDUCED_SHARE.min(self.admitted_share),
            FailureResponse::Retain(reason) => {
                self.reason = format!("{}; held in: {reason}", self.reason);
                1.0
            }
        };
    }

    /// Advances the recovery: a zone that was healthy for long enough starts to return, and the share of a
    /// returning zone grows.
    pub fn recover(&mut self, now: Duration, elapsed: Duration, evacuated: bool, bounds: &Bounds) {
        let is_healthy =
            self.healthy_since.is_some_and(|since| now.saturating_sub(since) >= bounds.healthy_after);
        let suppressed = self.penalty.suppresses(now, &bounds.damping);
        match self.state {
            _ if evacuated && self.state != ZoneState::Evacuated => {
                self.set_state(now, ZoneState::Evacuated);
                (self.admitted_share, self.retained) = (0.0, false);
            }
            ZoneState::Evacuated if !evacuated => self.begin_return(now, "released"),
            // If the zone still fails at the reduced share, overload is not the cause.
            ZoneState::Unhealthy if self.fails_at_reduced_share(now, bounds) => self.admitted_share = 0.0,
            ZoneState::Unhealthy | ZoneState::Unreachable if is_healthy && !suppressed => {
                self.begin_return(now, "well again")
            }
            ZoneState::Returning => {
                let growth = elapsed.as_secs_f64() / bounds.return_time.as_secs_f64().max(1e-3);
                self.admitted_share = (self.admitted_share + growth).min(1.0);
                if self.admitted_share >= 1.0 {
                    self.set_state(now, ZoneState::Serving);
                    self.reason.clear();
                }
            }
            _ => {}
        }
    }

    fn fails_at_reduced_share(&self, now: Duration, bounds: &Bounds) -> bool {
        self.admitted_share > 0.0
            && !self.retained
            && self.appears_failing()
            && self.age(now) >= 3 * bounds.unhealthy_after
    }

    fn begin_return(&mut self, now: Duration, reason: &str) {
        self.set_state(now, ZoneState::Returning);
        self.reason = reason.to_owned();
        self.retained = false;
        self.admitted_share = self.admitted_share.max(INITIAL_RETURN_SHARE);
    }

    fn set_state(&mut self, now: Duration, new_state: ZoneState) {
        (self.state, self.since, self.prior_age) = (new_state, now, Duration::ZERO);
    }
}

/// Response to the failure of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureResponse {
    /// The zone no longer receives traffic.
    Remove,
    /// The zone receives less traffic: spillover from other zones made it unhealthy.
    Reduce,
    /// The zone keeps all its traffic; the text names the limit that requires this.
    Retain(String),
}
