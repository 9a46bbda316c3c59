//! The token bucket of each tenant: refilled at every tick by a guaranteed rate and by a share of the
//! headroom in proportion to the tenant's demand. Times are seconds. [`crate::quota`] computes the figures
//! that all tenants share.

use crate::interface::Settings;

/// The size of a bucket `T_i`: a second of the guarantee or this share of the tenant's demand, whichever is
/// more, and this many tokens, so that requests of a small tenant that arrive together by chance are not
/// rejected.
const SIZE_SHARE_OF_DEMAND: f64 = 0.2;
const MIN_SIZE: f64 = 3.0;
/// The part of a guarantee that is lost for each part of the requests in flight that is too much: for demand
/// over the guarantee, and for demand within it from the third figure on.
const CUT_OVER_GUARANTEE: f64 = 20.0;
const CUT_WITHIN_GUARANTEE: f64 = 2.0;
const CUT_WITHIN_GUARANTEE_FROM: f64 = 0.25;

/// The token bucket of a tenant.
pub(crate) struct TokenBucket {
    /// The tokens in the bucket: `mu_i`.
    pub(crate) tokens: f64,
    /// The requests that arrived since the last tick.
    pub(crate) arrivals: f64,
    /// The demand `V_i`: arrivals a second, smoothed.
    pub(crate) demand: f64,
    /// This balancer's equal part of the tenant's allowance, a second.
    pub(crate) allowance: f64,
    /// The guaranteed tokens a second: `u_g_i`.
    pub(crate) guarantee: f64,
    /// Whether the tenant exists no longer.
    pub(crate) is_removed: bool,
}

impl TokenBucket {
    /// Returns the bucket of a tenant of whom nothing is known: full.
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

    /// Returns whether the bucket has a token for a request.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of an admitted request.
    pub(crate) fn take_token(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Refills the bucket at a tick, and counts the arrivals since the last one.
    pub(crate) fn refill(&mut self, refill: &Refill) {
        let size = MIN_SIZE + (SIZE_SHARE_OF_DEMAND * self.demand).max(self.guarantee);
        let cut = if self.demand > self.guarantee {
            CUT_OVER_GUARANTEE * refill.missing
        } else {
            CUT_WITHIN_GUARANTEE * (refill.missing - CUT_WITHIN_GUARANTEE_FROM)
        };
        let share = if refill.total_demand > 0.0 { self.demand / refill.total_demand } else { 0.0 };
        // Only whole tokens count against a share of the headroom below one request: else it stops short of
        // one.
        let open = (refill.headroom - self.tokens.floor()).max(0.0);
        let granted = (1.0 - cut).clamp(0.0, 1.0) * self.guarantee * refill.elapsed + share * open;
        self.tokens += granted.min((size - self.tokens).max(0.0));
        self.count_demand(refill);
    }

    fn count_demand(&mut self, refill: &Refill) {
        let arrivals_per_s = self.arrivals / refill.elapsed.max(1e-6);
        self.demand += (refill.elapsed / refill.demand_over).min(1.0) * (arrivals_per_s - self.demand);
        self.arrivals = 0.0;
    }
}

/// The figures of one refill that hold for all tenants.
pub(crate) struct Refill {
    pub(crate) elapsed: f64,
    pub(crate) headroom: f64,
    /// How much of what is in flight is too much, as a share.
    pub(crate) missing: f64,
    pub(crate) total_demand: f64,
    /// Seconds over which demand is counted.
    pub(crate) demand_over: f64,
}
