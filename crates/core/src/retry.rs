//! Retries: whether a further attempt of a request may follow, and where it goes. Times are seconds.

use crate::interface::*;
use crate::request::Request;
use crate::state::Balancer;
use crate::upstream::Upstream;

/// Retries earned by each request admitted, and how many of them can be saved up.
const BUDGET_PER_REQUEST: f64 = 0.1;
pub(crate) const MAX_BUDGET: f64 = 10.0;
/// The upstreams that a retry looks at for the least loaded.
const CANDIDATES: usize = 6;
/// Seconds for the way to the upstream beside the time to connect: a repeat has to arrive while its key is
/// remembered.
const NETWORK_MARGIN_S: f64 = 0.05;
/// The least time to the deadline that makes a retry worth while.
const MIN_TIME_LEFT_S: f64 = 1e-3;
/// The distance of an upstream outside the subset, and what a step of distance counts for in load.
const OUTSIDE_SUBSET: u8 = 2;
const LOAD_PER_DISTANCE: f64 = 1e6;

impl Balancer {
    /// Adds what an admitted request earns to the retry budget.
    pub(crate) fn earn_retry_budget(&mut self) {
        self.retry_budget = (self.retry_budget + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Sends a further attempt if the class and the retry budget allow one. Returns whether they do.
    pub(crate) fn try_retry(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(index) = self.retry_target(id, cost) else { return false };
        self.retry_budget -= cost;
        self.send_attempt(id, index);
        true
    }

    /// Returns the upstream that a further attempt would go to, if one is allowed. It is outside the subset
    /// only where no upstream inside it will do, as for a key that one cell knows.
    pub(crate) fn retry_target(&mut self, id: RequestId, cost: f64) -> Option<usize> {
        let request = self.requests.get(&id)?;
        if !self.may_retry(request, cost) {
            return None;
        }
        let (count, offset) = (self.upstreams.len(), self.rng.usize(..));
        let subset = self.rotations.iter().flat_map(|rotation| rotation.upcoming(&self.subset));
        let all = subset.chain((0..count).map(|k| (k + offset % count) % count));
        let possible = all.filter(|index| self.can_take_retry(request, &self.upstreams[*index]));
        let cost_of = |index: usize| {
            let upstream = &self.upstreams[index];
            let distance = self.retry_distance(request, upstream).unwrap_or(0);
            let outside = OUTSIDE_SUBSET * u8::from(!upstream.is_in_subset);
            LOAD_PER_DISTANCE * f64::from(distance + outside) + self.load(index)
        };
        possible.take(CANDIDATES).min_by(|a, b| cost_of(*a).total_cmp(&cost_of(*b)))
    }

    fn may_retry(&self, request: &Request, cost: f64) -> bool {
        let half_latency = 0.5 * self.classes[request.class].mean_latency;
        !request.has_ended
            && !request.is_streaming
            && !request.has_used_all_attempts()
            && self.now_s + MIN_TIME_LEFT_S < request.deadline
            && self.now_s + half_latency < request.useful_until
            && self.retry_budget >= cost
            && !self.upstreams.is_empty()
            && !request.may_have_run_its_once()
    }

    /// Returns whether an upstream may take a further attempt of a request. One in slow start may not: a
    /// failure's retries together are the burst that pushes it over.
    fn can_take_retry(&self, request: &Request, upstream: &Upstream) -> bool {
        upstream.is_ready
            && upstream.slow_start_since.is_none()
            && !upstream.is_ejected(self.now_s)
            && !upstream.health[request.class].is_ejected
            && request.attempts.iter().all(|a| a.upstream != upstream.id)
            && self.retry_distance(request, upstream).is_some()
            && self.is_safe_to_repeat(request, upstream)
    }

    /// Returns whether an attempt of a request may go to an upstream without an effect happening twice.
    fn is_safe_to_repeat(&self, request: &Request, upstream: &Upstream) -> bool {
        let Some(first) = request.attempts.iter().find(|a| a.may_take_effect()) else { return true };
        let Effect::Deduplicated { group, ttl } = request.effect else {
            return request.effect == Effect::Idempotent;
        };
        let shares_keys = match group {
            DedupGroup::All => true,
            DedupGroup::Zone => upstream.zone == first.zone,
            DedupGroup::Cell => upstream.cell == first.cell,
        };
        let margin = self.settings.connect_timeout.as_secs_f64() + NETWORK_MARGIN_S;
        shares_keys && self.now_s + margin < first.sent_at + ttl.as_secs_f64()
    }
}
