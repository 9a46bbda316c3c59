//! Admission control: a request takes a token from its tenant's bucket or is rejected on arrival. Times are
//! in seconds.

use crate::interface::*;
use crate::random::SeededRandom;
use crate::request::Request;
use crate::state::Balancer;
use std::time::Duration;

/// Share of the latency objective after which an attempt times out if a late answer has no value.
const MAX_USEFUL_LATENCY_SHARE: f64 = 0.98;
/// Seconds without an attempt, and recent rejections, after which one request is admitted without a token.
/// Its outcome shows whether the upstreams have headroom again.
const PROBE_AFTER_IDLE_S: f64 = 2.5;
const PROBE_AFTER_REJECTED: f64 = 2.0;

impl Balancer {
    /// Admits or rejects an arriving request.
    pub(crate) fn on_request(
        &mut self,
        id: RequestId,
        class: ClassId,
        tenant: TenantId,
        time_left: Duration,
    ) {
        let class = usize::from(class.0);
        if class >= self.classes.len() {
            self.actions.push(Action::Fail { id });
            return;
        }
        let tenant = (tenant.0 as usize).min(self.buckets.len() - 1);
        self.buckets[tenant].arrivals += 1.0;
        self.recent_arrivals.requests += 1.0;
        let slot = if self.may_admit(tenant) { self.take_slot(class, tenant) } else { None };
        if let Some(split) = &self.split {
            self.observations.record_request(split.row(class, tenant), slot.is_none());
        }
        let Some(index) = slot else {
            self.recent_arrivals.rejected += 1.0;
            self.reject(id, time_left);
            return;
        };
        self.buckets[tenant].take_token();
        self.earn_retry_budget();
        for (other, statistics) in self.classes.iter_mut().enumerate() {
            statistics.record_admission(other == class);
        }
        let request = self.new_request(class, tenant, time_left);
        self.requests.insert(id, request);
        self.send_attempt(id, index);
    }

    fn may_admit(&self, tenant: usize) -> bool {
        let is_probe_due = self.now_s > self.last_attempt_at + PROBE_AFTER_IDLE_S
            && self.recent_arrivals.rejected > PROBE_AFTER_REJECTED;
        self.buckets[tenant].has_token() || is_probe_due
    }

    fn new_request(&self, class: usize, tenant: usize, time_left: Duration) -> Request {
        let class_settings = &self.settings.classes[class];
        let deadline = self.now_s + time_left.as_secs_f64();
        let has_late_value = class_settings.late_value > 0.0
            || class_settings.objective_stretch > 0.0
            || class_settings.is_streamed;
        let objective_end =
            self.now_s + MAX_USEFUL_LATENCY_SHARE * class_settings.latency_objective.as_secs_f64();
        Request {
            class,
            tenant,
            effect: class_settings.effect,
            max_attempts: self.settings.max_attempts,
            useful_until: if has_late_value { deadline } else { deadline.min(objective_end) },
            deadline,
            attempts: Vec::new(),
            has_ended: false,
            is_streaming: false,
        }
    }

    /// Rejects a request with a `Retry-After`. The delay is jittered by the request's id, so that clients
    /// rejected together do not return together.
    pub(crate) fn reject(&mut self, id: RequestId, time_left: Duration) {
        let max_delay = self.settings.max_retry_after.min(time_left / 2);
        let jitter = SeededRandom::with_seed(u64::from(id.0)).f64();
        let retry_after = max_delay.mul_f64(0.5 + 0.5 * jitter);
        self.actions.push(Action::Reject { id, retry_after: Some(retry_after) });
    }
}
