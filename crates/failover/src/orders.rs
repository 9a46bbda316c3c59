//! Operators' orders and the reasons for rejecting them.

use maplehook_locality::Zone;
use std::fmt;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Takes zones out of service.
    Evacuate {
        /// Zones to evacuate.
        zones: Vec<Zone>,
        /// Name of the operator.
        by: String,
        /// Duration in milliseconds; `None` lasts until the operator releases it.
        for_ms: Option<u64>,
        /// Skips the capacity checks.
        anyway: bool,
    },
    /// Freezes the plan.
    Hold {
        /// Name of the operator.
        by: String,
    },
    /// Ends evacuations.
    Release {
        /// Name of the operator.
        by: String,
        /// Zones to release; if empty, all evacuations and the hold end.
        zones: Vec<Zone>,
    },
}

/// Reason for the rejection of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderError {
    /// The order names no zone or an unknown zone.
    UnknownZone,
    /// No reports on capacities and demand have arrived yet.
    NoReportsYet,
    /// The plan is on hold, so that the order would have no effect.
    PlanHeld {
        /// Name of the operator who ordered the hold.
        by: String,
    },
    /// No traffic is moved because a shared cause is assumed; the text gives the reason.
    SharedCause(String),
    /// The remaining zones lack capacity.
    InsufficientCapacity {
        /// Total demand, in requests per second.
        demand: f64,
        /// Demand that would be rejected, in requests per second.
        rejected: f64,
        /// Demand that is rejected before the order, in requests per second.
        rejected_now: f64,
        /// Capacity of the remaining zones, in requests per second.
        capacity: f64,
    },
    /// Fewer zones than required would remain in service.
    TooFewZones {
        /// Number of zones that would remain in service.
        remaining: usize,
        /// Number of zones that have to remain in service.
        required: usize,
    },
    /// More capacity than allowed would be out of service.
    TooMuchCapacityRemoved {
        /// Share of the capacity that would be out of service, 0 to 1.
        removed: f64,
        /// Largest share that may be out of service, 0 to 1.
        limit: f64,
    },
    /// The maximum number of evacuations is active.
    TooManyEvacuations,
    /// No evacuation or hold matches the order.
    NothingToRelease,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownZone => f.write_str("the order names no zone or an unknown zone"),
            Self::NoReportsYet => f.write_str("no reports on capacity and demand have arrived yet"),
            Self::PlanHeld { by } => write!(f, "the plan is held by {by}: release the hold first"),
            Self::SharedCause(reason) => f.write_str(reason),
            Self::InsufficientCapacity { demand, rejected, rejected_now, capacity } => write!(
                f,
                "the remaining zones lack capacity: of {demand:.0} requests per second {rejected:.0} would \
                 be rejected ({rejected_now:.0} are now); their capacity is {capacity:.0} per second"
            ),
            Self::TooFewZones { remaining, required } => {
                write!(f, "{remaining} zones would remain in service, but at least {required} are required")
            }
            Self::TooMuchCapacityRemoved { removed, limit } => write!(
                f,
                "{:.0} % of the capacity would be out of service, but at most {:.0} % may be",
                removed * 100.0,
                limit * 100.0
            ),
            Self::TooManyEvacuations => f.write_str("the maximum number of evacuations is active already"),
            Self::NothingToRelease => f.write_str("there is no evacuation or hold to release"),
        }
    }
}

impl std::error::Error for OrderError {}
