//! Distribution of the headroom among the tenants at each tick. Times are in seconds.

use crate::state::Balancer;
use crate::token_bucket::Refill;

/// Minimum seconds and requests over which a tenant's demand `V_i` is averaged, since one tick sees too few
/// requests.
const DEMAND_WINDOW_S: f64 = 1.0;
const DEMAND_MIN_REQUESTS: f64 = 10.0;
/// Factor on the median tenant's demand that guarantees reach, and their maximum in equal parts.
const GUARANTEE_MARGIN: f64 = 1.3;
const MAX_GUARANTEE_FACTOR: f64 = 4.0;

impl Balancer {
    /// Refills the bucket of each tenant by `u_i`.
    pub(crate) fn refill_buckets(&mut self, elapsed: f64) {
        let total_demand: f64 = self.buckets.iter().map(|b| b.demand).sum();
        let refill = Refill {
            elapsed,
            headroom: self.headroom,
            // If headroom is missing, tenants over their guarantee lose tokens first. If much is missing, as
            // after the loss of half the upstreams, the others lose tokens too: full queues serve nobody.
            excess_share: (-self.headroom / f64::max(self.totals.in_flight, 1e-9)).max(0.0),
            total_demand,
            // Averages over a few requests at least, so that a briefly silent tenant keeps its demand.
            demand_window_s: DEMAND_WINDOW_S.max(DEMAND_MIN_REQUESTS / total_demand.max(0.1)),
        };
        let factor = self.guarantee_factor(refill.excess_share);
        for bucket in &mut self.buckets {
            bucket.guarantee = bucket.allowance * factor;
            bucket.refill(&refill);
        }
    }

    /// Returns the factor by which guarantees exceed the equal parts of the allowances. If the median tenant
    /// exceeds its part, this balancer carries more traffic than others and no single tenant surges. If much
    /// headroom is missing, all tenants surge, as with retries under congestion, and the factor falls to 1.
    fn guarantee_factor(&self, excess_share: f64) -> f64 {
        let tenants = self.buckets.iter().filter(|b| !b.is_removed);
        let mut relative_demands: Vec<f64> = tenants.map(|b| b.demand / b.allowance.max(1e-9)).collect();
        relative_demands.sort_by(f64::total_cmp);
        let median = relative_demands.get(relative_demands.len() / 2).unwrap_or(&1.0);
        let factor = (median * GUARANTEE_MARGIN).clamp(1.0, MAX_GUARANTEE_FACTOR);
        1.0 + (factor - 1.0) * (1.0 - excess_share).max(0.0)
    }
}
