//! Scheduling and backoff of calls to the discovery service. Times are in seconds.

use crate::interface::*;
use crate::state::Balancer;

/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The initial backoff is at most the poll interval divided by this number.
const INITIAL_BACKOFF_DIVISOR: u32 = 20;

impl Balancer {
    /// Schedules the first call of a new balancer.
    pub(crate) fn schedule_first_discovery_call(&mut self) {
        let delay = discovery_timing::initial_delay(self.settings.endpoint_poll_interval);
        self.discovery.next_call_at = self.now_s + delay.as_secs_f64() * self.rng.f64();
    }

    /// Schedules the next call after a call or a watch has failed. Backoffs double and are jittered, so that
    /// balancers don't all call a recovering service at once. A backoff ends early enough for the next call
    /// to start within [`discovery_timing::MAX_CALL_INTERVAL`] of the failed one.
    pub(crate) fn on_discovery_failed(&mut self) {
        let interval = self.settings.endpoint_poll_interval;
        let initial = discovery_timing::INITIAL_BACKOFF.min(interval / INITIAL_BACKOFF_DIVISOR).as_secs_f64();
        let time_left =
            discovery_timing::MAX_CALL_INTERVAL.as_secs_f64() - (self.now_s - self.discovery.last_call_at);
        let max_backoff = time_left.clamp(initial, discovery_timing::MAX_BACKOFF.as_secs_f64());
        let failures = if time_left < 0.0 { 0 } else { self.discovery.failures.min(MAX_BACKOFF_DOUBLINGS) };
        self.discovery.is_watching = false;
        self.discovery.failures = failures + 1;
        let backoff = (initial * f64::from(1u32 << failures)).min(max_backoff);
        self.discovery.next_call_at = self.now_s + backoff * (0.5 + 0.5 * self.rng.f64());
    }

    /// Resets the backoff after an answer of the service; a cached list is not an answer.
    pub(crate) fn on_discovery_answered(&mut self, scope: UpdateScope) {
        if scope != UpdateScope::Cached {
            self.discovery.is_watching = true;
            self.discovery.failures = 0;
        }
    }

    /// Schedules an immediate call to the new address of the service.
    pub(crate) fn on_discovery_moved(&mut self) {
        self.discovery.is_watching = false;
        self.discovery.failures = 0;
        self.discovery.next_call_at = self.now_s;
    }

    /// Calls the service if a call is due. An unanswered call is repeated before the current list counts as
    /// out of date.
    pub(crate) fn poll_discovery(&mut self) {
        let is_due = !self.discovery.is_watching && self.now_s >= self.discovery.next_call_at;
        if !self.settings.has_endpoint_discovery || !is_due {
            return;
        }
        let interval = discovery_timing::call_interval(self.settings.endpoint_poll_interval).as_secs_f64();
        let wait = interval * (0.9 + 0.1 * self.rng.f64());
        self.discovery.last_call_at = self.now_s;
        self.discovery.next_call_at = self.now_s + wait;
        self.actions.push(Action::WatchEndpoints);
    }
}
