//! Limits set by operators that hold whatever the reports say.

use std::time::Duration;

/// Parameters of flap damping for zones, as RFC 2439 (section 4.2) defines it for routes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// Penalty added for each failure of the zone.
    pub penalty_per_failure: f64,
    /// Penalty from which a recovered zone is kept out of service.
    pub suppress_from: f64,
    /// Penalty below which a suppressed zone returns to service.
    pub reuse_below: f64,
    /// Upper limit of the penalty. It bounds the time for which a zone can be suppressed.
    pub max_penalty: f64,
    /// Time in which the penalty halves.
    pub half_life: Duration,
}

impl Default for Damping {
    fn default() -> Self {
        Self {
            penalty_per_failure: 1000.0,
            suppress_from: 1500.0,
            reuse_below: 600.0,
            max_penalty: 4000.0,
            half_life: Duration::from_secs(60),
        }
    }
}

/// Limits and delays of the failover decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest share of the total capacity that reports may take out of service at once, 0 to 1.
    pub max_capacity_removed: f64,
    /// Number of zones that stay in service regardless of reports and operators' orders.
    pub min_zones_in_service: usize,
    /// Largest share of the total traffic that plans may move per second, 0 to 1.
    pub max_moved_per_s: f64,
    /// If more than this share of the capacity fails within [`Bounds::shared_cause_window`], a single shared
    /// cause is assumed and no traffic is moved.
    pub shared_cause_share: f64,
    /// Time window of [`Bounds::shared_cause_share`].
    pub shared_cause_window: Duration,
    /// Share of all requests that a new plan must additionally serve, or serve nearer, to replace the current
    /// plan.
    pub min_gain: f64,
    /// Share of the capacity left over by the plan that all disconnected balancers together may use.
    pub spare_share: f64,
    /// Age from which reports are ignored.
    pub max_report_age: Duration,
    /// Time for which a zone has to look unreachable before it is declared unreachable.
    pub unreachable_after: Duration,
    /// Time for which a zone has to look unhealthy before it is declared unhealthy.
    pub unhealthy_after: Duration,
    /// Time for which a zone has to look healthy without interruption before it returns to service.
    pub healthy_after: Duration,
    /// Time over which the share of a returning zone grows back to 1.
    pub return_time: Duration,
    /// Penalties for zones that flap.
    pub damping: Damping,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_capacity_removed: 0.6,
            min_zones_in_service: 1,
            max_moved_per_s: 0.5,
            shared_cause_share: 0.6,
            shared_cause_window: Duration::from_secs(10),
            min_gain: 0.02,
            spare_share: 0.9,
            max_report_age: Duration::from_secs(5),
            unreachable_after: Duration::from_millis(1250),
            unhealthy_after: Duration::from_millis(1500),
            healthy_after: Duration::from_secs(12),
            return_time: Duration::from_secs(12),
            damping: Damping::default(),
        }
    }
}
