//! Calls to the discovery service: when the next one is due. Times are seconds.

use crate::interface::*;
use crate::state::Balancer;

/// The waits are doubled this many times at the most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The share of the poll interval that the first backoff takes at the most.
const INITIAL_BACKOFF_PER_INTERVAL: u32 = 20;

impl Balancer {
    /// Plans the first call of a new balancer.
    pub(crate) fn plan_first_discovery_call(&mut self) {
        let delay = discovery_timing::initial_delay(self.settings.endpoint_poll_interval);
        self.discovery.next_call_at = self.now_s + delay.as_secs_f64() * self.rng.f64();
    }

    /// Takes in that a call or a watch has failed. Backoffs double and are jittered, so that all balancers
    /// don't meet at a service that was down. They end where the next call might come too late, counted from
    /// the start of this one.
    pub(crate) fn on_discovery_failed(&mut self) {
        let interval = self.settings.endpoint_poll_interval;
        let initial =
            discovery_timing::INITIAL_BACKOFF.min(interval / INITIAL_BACKOFF_PER_INTERVAL).as_secs_f64();
        let time_left =
            discovery_timing::MAX_CALL_INTERVAL.as_secs_f64() - (self.now_s - self.discovery.last_call_at);
        let longest = time_left.clamp(initial, discovery_timing::MAX_BACKOFF.as_secs_f64());
        let failures = if time_left < 0.0 { 0 } else { self.discovery.failures.min(MAX_BACKOFF_DOUBLINGS) };
        self.discovery.is_watching = false;
        self.discovery.failures = failures + 1;
        let backoff = (initial * f64::from(1u32 << failures)).min(longest);
        self.discovery.next_call_at = self.now_s + backoff * (0.5 + 0.5 * self.rng.f64());
    }

    /// Takes in that the service has answered; a cached list is no answer.
    pub(crate) fn on_discovery_answered(&mut self, scope: UpdateScope) {
        if scope != UpdateScope::Cached {
            self.discovery.is_watching = true;
            self.discovery.failures = 0;
        }
    }

    /// Takes in that the service has moved: it is called at once.
    pub(crate) fn on_discovery_moved(&mut self) {
        self.discovery.is_watching = false;
        self.discovery.failures = 0;
        self.discovery.next_call_at = self.now_s;
    }

    /// Calls the service if a call is due. An unanswered call is repeated before the list in hand counts as
    /// too old.
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
