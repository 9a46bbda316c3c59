//! Retries: eligibility, and the choice of the upstream. Times are in seconds.

use crate::interface::*;
use crate::request::Request;
use crate::state::Balancer;
use crate::upstream::Upstream;

/// Retries earned by each admitted request, and the maximum number that can be saved up.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
pub(crate) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Number of upstreams among which a retry takes the least loaded.
const MAX_RETRY_CANDIDATES: usize = 6;
/// Seconds for the network path to the upstream, in addition to the connect timeout: a repeat has to arrive
/// while its idempotency key is remembered.
const NETWORK_MARGIN_S: f64 = 0.05;
/// Shortest time to the deadline, in seconds, for which a retry is worthwhile.
const MIN_RETRY_TIME_S: f64 = 1e-3;
/// Distance of an upstream outside the subset, and the load that one step of distance counts for.
const OUTSIDE_SUBSET_DISTANCE: u8 = 2;
const LOAD_PER_DISTANCE: f64 = 1e6;

impl Balancer {
    /// Adds the earnings of one admitted request to the retry budget.
    pub(crate) fn earn_retry_budget(&mut self) {
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Sends a further attempt if the request and the retry budget allow one. Returns true if it was sent.
    pub(crate) fn try_retry(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(index) = self.retry_target(id, cost) else { return false };
        self.retry_budget -= cost;
        self.send_attempt(id, index);
        true
    }

    /// Returns the upstream for a further attempt, if one is allowed. Upstreams outside the subset are used
    /// only if none inside qualifies, for example for a key that one cell knows.
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
            let outside = OUTSIDE_SUBSET_DISTANCE * u8::from(!upstream.is_in_subset);
            LOAD_PER_DISTANCE * f64::from(distance + outside) + self.load(index)
        };
        possible.take(MAX_RETRY_CANDIDATES).min_by(|a, b| cost_of(*a).total_cmp(&cost_of(*b)))
    }

    fn may_retry(&self, request: &Request, cost: f64) -> bool {
        let half_latency = 0.5 * self.classes[request.class].mean_latency;
        !request.has_ended
            && !request.is_streaming
            && !request.has_used_all_attempts()
            && self.now_s + MIN_RETRY_TIME_S < request.deadline
            && self.now_s + half_latency < request.useful_until
            && self.retry_budget >= cost
            && !self.upstreams.is_empty()
            && !request.is_repeat_forbidden()
    }

    /// Returns true if an upstream may take a further attempt of a request. An upstream in slow start may
    /// not, since the burst of retries after a failure would overload it.
    fn can_take_retry(&self, request: &Request, upstream: &Upstream) -> bool {
        upstream.is_ready
            && upstream.slow_start_since.is_none()
            && !upstream.is_ejected(self.now_s)
            && !upstream.health[request.class].is_ejected
            && request.attempts.iter().all(|a| a.upstream != upstream.id)
            && self.retry_distance(request, upstream).is_some()
            && self.is_safe_to_repeat(request, upstream)
    }

    /// Returns true if an attempt at this upstream cannot make the request take effect twice.
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
