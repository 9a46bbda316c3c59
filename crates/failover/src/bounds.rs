//! What an operator sets, and what holds whatever the evidence says.

use std::time::Duration;

/// Penalties of a zone that flaps, as RFC 2439 (section 4.2) has them for routes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// Added whenever the zone falls out.
    pub each: f64,
    /// Over it a zone that is well again is kept out.
    pub suppress: f64,
    /// Under it a suppressed zone is let in again.
    pub reuse: f64,
    /// The penalty never passes this, and so no zone is kept out for ever.
    pub most: f64,
    /// The time in which the penalty halves.
    pub half_life: Duration,
}

impl Default for Damping {
    fn default() -> Self {
        Self {
            each: 1000.0,
            suppress: 1500.0,
            reuse: 600.0,
            most: 4000.0,
            half_life: Duration::from_secs(60),
        }
    }
}

/// Bounds and times of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The most of all capacity that evidence may take away at once, as a share.
    pub max_capacity_removed: f64,
    /// Zones that stay in service whatever is seen or ordered.
    pub min_zones_in_service: usize,
    /// The most of all traffic that plans move in a second, as a share.
    pub max_moved_per_s: f64,
    /// More than this share of the capacity ill within [`Bounds::moment`] is one shared cause: nothing moves.
    pub shared_cause_share: f64,
    /// See [`Bounds::shared_cause_share`].
    pub moment: Duration,
    /// Share of all requests that a plan has to serve, or to serve nearer, beyond the one before to take its place.
    pub gain: f64,
    /// Share of the room beside the plan that is lent to balancers that have lost touch, all together.
    pub spare: f64,
    /// Reports older than this are not counted.
    pub stale: Duration,
    /// For how long a zone has to seem lost or out of reach until it is called so.
    pub lost_after: Duration,
    /// For how long a zone has to seem ill until it is called so.
    pub ill_after: Duration,
    /// For how long, without a break, a zone has to seem well until it returns.
    pub well_after: Duration,
    /// The time over which a returning zone is given its share back.
    pub return_over: Duration,
    /// What flapping costs.
    pub damping: Damping,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_capacity_removed: 0.6,
            min_zones_in_service: 1,
            max_moved_per_s: 0.5,
            shared_cause_share: 0.6,
            moment: Duration::from_secs(10),
            gain: 0.02,
            spare: 0.9,
            stale: Duration::from_secs(5),
            lost_after: Duration::from_millis(1250),
            ill_after: Duration::from_millis(1500),
            well_after: Duration::from_secs(12),
            return_over: Duration::from_secs(12),
            damping: Damping::default(),
        }
    }
}
