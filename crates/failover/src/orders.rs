//! What operators order, and why an order is refused.

use maplehook_locality::Zone;
use std::fmt;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Takes zones out.
    Evacuate {
        /// Which.
        zones: Vec<Zone>,
        /// By whom.
        by: String,
        /// For how long; `None`: until it is released.
        for_ms: Option<u64>,
        /// Although the rest can't bear it.
        anyway: bool,
    },
    /// Keeps the plan as it is.
    Hold {
        /// By whom.
        by: String,
    },
    /// Ends evacuations.
    Release {
        /// By whom.
        by: String,
        /// Of these zones; if there are none, all of them, and the hold.
        zones: Vec<Zone>,
    },
}

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderError {
    /// It names no zone, or one that there is not.
    UnknownZone,
    /// Nothing is known yet of rooms and of what is asked for.
    NoReportsYet,
    /// The plan is held: what is ordered would not be done.
    PlanHeld {
        /// By whom.
        by: String,
    },
    /// Nothing moves, for so much seems ill at once.
    SharedCause(String),
    /// The rest can't bear it.
    InsufficientCapacity {
        /// What is asked for, in requests a second.
        asked: f64,
        /// What of it would be refused.
        rejected: f64,
        /// What is refused as it is.
        rejected_now: f64,
        /// What all the rest can take.
        room: f64,
    },
    /// It would leave fewer zones in service than have to stay.
    TooFewZones {
        /// Zones that would be left.
        left: usize,
        /// Zones that have to stay.
        least: usize,
    },
    /// More capacity would be away than may be.
    TooMuchCapacityRemoved {
        /// The share that would be.
        away: f64,
        /// The share that may be.
        most: f64,
    },
    /// More orders stand than are kept.
    TooManyEvacuations,
    /// There is nothing to release.
    NothingToRelease,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownZone => f.write_str("there is no such place"),
            Self::NoReportsYet => f.write_str("nothing is known yet of rooms and demand"),
            Self::PlanHeld { by } => write!(f, "the plan is held by {by}: release it first"),
            Self::SharedCause(reason) => f.write_str(reason),
            Self::InsufficientCapacity { asked, rejected, rejected_now, room } => write!(
                f,
                "the rest can't bear it: of {asked:.0} requests a second {rejected:.0} would be refused \
                 ({rejected_now:.0} are now); the rest has room for {room:.0}"
            ),
            Self::TooFewZones { left, least } => {
                write!(f, "{left} zones would be left in service, and {least} have to stay")
            }
            Self::TooMuchCapacityRemoved { away, most } => write!(
                f,
                "{:.0} % of the capacity would be away, and no more than {:.0} % may be",
                away * 100.0,
                most * 100.0
            ),
            Self::TooManyEvacuations => f.write_str("more evacuations stand than are kept"),
            Self::NothingToRelease => f.write_str("there is nothing to release"),
        }
    }
}

impl std::error::Error for OrderError {}
