//! The division of the headroom among the tenants at each tick. Times are seconds.

use crate::state::Balancer;
use crate::token_bucket::Refill;

/// Seconds and requests over which a tenant's demand `V_i` is counted at least: one tick sees too few to go
/// by.
const DEMAND_OVER_S: f64 = 1.0;
const DEMAND_MIN_REQUESTS: f64 = 10.0;
/// Guarantees grow with the median tenant's demand and this factor, up to this many equal parts.
const GUARANTEE_MARGIN: f64 = 1.3;
const MAX_GUARANTEE_FACTOR: f64 = 4.0;

impl Balancer {
    /// Refills the buckets: `u_i` for each tenant.
    pub(crate) fn refill_buckets(&mut self, elapsed: f64) {
        let total_demand: f64 = self.buckets.iter().map(|b| b.demand).sum();
        let refill = Refill {
            elapsed,
            headroom: self.headroom,
            // Where headroom is missing, tenants over their guarantee lose it first; the rest too when much
            // is missing, as after the loss of half the upstreams: nobody is served from full queues.
            missing: (-self.headroom / f64::max(self.totals.in_flight, 1e-9)).max(0.0),
            total_demand,
            // Long enough for a few requests: a tenant that happened to be silent is not without demand.
            demand_over: DEMAND_OVER_S.max(DEMAND_MIN_REQUESTS / total_demand.max(0.1)),
        };
        let factor = self.guarantee_factor(refill.missing);
        for bucket in &mut self.buckets {
            bucket.guarantee = bucket.allowance * factor;
            bucket.refill(&refill);
        }
    }

    /// Returns by how much guarantees exceed the equal parts of the allowances. Where the median tenant asks
    /// for more than its part, this balancer carries more than others and no tenant surges; but if much is
    /// missing, all surge, as with retries in a congestion.
    fn guarantee_factor(&self, missing: f64) -> f64 {
        let tenants = self.buckets.iter().filter(|b| !b.is_removed);
        let mut relative: Vec<f64> = tenants.map(|b| b.demand / b.allowance.max(1e-9)).collect();
        relative.sort_by(f64::total_cmp);
        let median = relative.get(relative.len() / 2).unwrap_or(&1.0);
        let factor = (median * GUARANTEE_MARGIN).clamp(1.0, MAX_GUARANTEE_FACTOR);
        1.0 + (factor - 1.0) * (1.0 - missing).max(0.0)
    }
}
