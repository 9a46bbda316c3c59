//! Token bucket of each tenant, refilled at every tick by a guaranteed rate and by a share of the headroom in
//! proportion to the tenant's demand. [`crate::quota`] computes the values that all tenants share. Times are
//! in seconds.

use crate::interface::Settings;

/// Bucket size `T_i`: the larger of one second's guarantee and this share of the tenant's demand, plus this
/// many tokens, so that requests of a small tenant that arrive together by chance are not rejected.
const SIZE_SHARE_OF_DEMAND: f64 = 0.2;
const MIN_SIZE: f64 = 3.0;
/// Relative cut of a guarantee per share of excess requests in flight: for demand over the guarantee, and for
/// demand within the guarantee once the excess share passes the third value.
const CUT_FACTOR_OVER_GUARANTEE: f64 = 20.0;
const CUT_FACTOR_WITHIN_GUARANTEE: f64 = 2.0;
const MIN_EXCESS_FOR_CUT_WITHIN_GUARANTEE: f64 = 0.25;

/// Token bucket of a tenant, with its demand and guarantee.
pub(crate) struct TokenBucket {
    /// Number of tokens in the bucket, `mu_i`.
    pub(crate) tokens: f64,
    /// Requests that arrived since the last tick.
    pub(crate) arrivals: f64,
    /// Demand `V_i`: arrivals per second, smoothed.
    pub(crate) demand: f64,
    /// This balancer's equal part of the tenant's allowance, per second.
    pub(crate) allowance: f64,
    /// Guaranteed tokens per second, `u_g_i`.
    pub(crate) guarantee: f64,
    /// True if the tenant no longer exists.
    pub(crate) is_removed: bool,
}

impl TokenBucket {
    /// Returns the full bucket of a tenant without any traffic yet.
    pub(crate) fn new(settings: &Settings, tenant: usize) -> Self {
        let stated = settings.tenants.get(tenant).map_or(0.0, |t| t.allowance_per_s);
        let allowance = if stated > 0.0 { stated / f64::from(settings.balancers) } else { 1.0 };
        Self {
            tokens: MIN_SIZE + allowance,
            arrivals: 0.0,
            demand: 0.0,
            allowance,
            guarantee: allowance,
            is_removed: false,
        }
    }

    /// Returns true if the bucket has a token for a request.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of an admitted request.
    pub(crate) fn take_token(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Refills the bucket at a tick, and updates the demand by the arrivals since the last tick.
    pub(crate) fn refill(&mut self, refill: &Refill) {
        let size = MIN_SIZE + (SIZE_SHARE_OF_DEMAND * self.demand).max(self.guarantee);
        let cut = if self.demand > self.guarantee {
            CUT_FACTOR_OVER_GUARANTEE * refill.excess_share
        } else {
            CUT_FACTOR_WITHIN_GUARANTEE * (refill.excess_share - MIN_EXCESS_FOR_CUT_WITHIN_GUARANTEE)
        };
        let share = if refill.total_demand > 0.0 { self.demand / refill.total_demand } else { 0.0 };
        // Only whole tokens reduce the share of the headroom; otherwise a share below one request would never
        // grow to a whole token.
        let open_headroom = (refill.headroom - self.tokens.floor()).max(0.0);
        let granted = (1.0 - cut).clamp(0.0, 1.0) * self.guarantee * refill.elapsed + share * open_headroom;
        self.tokens += granted.min((size - self.tokens).max(0.0));
        self.count_demand(refill);
    }

    fn count_demand(&mut self, refill: &Refill) {
        let arrivals_per_s = self.arrivals / refill.elapsed.max(1e-6);
        self.demand += (refill.elapsed / refill.demand_window_s).min(1.0) * (arrivals_per_s - self.demand);
        self.arrivals = 0.0;
    }
}

/// Values of one refill that apply to all tenants.
pub(crate) struct Refill {
    pub(crate) elapsed: f64,
    pub(crate) headroom: f64,
    /// Excess of the requests in flight, as a share of all requests in flight.
    pub(crate) excess_share: f64,
    pub(crate) total_demand: f64,
    /// Seconds over which demand is averaged.
    pub(crate) demand_window_s: f64,
}
