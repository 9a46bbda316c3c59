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
pub enum Refusal {
    /// It names no zone, or one that there is not.
    NoSuchPlace,
    /// Nothing is known yet of rooms and of what is asked for.
    NothingKnown,
    /// The plan is held: what is ordered would not be done.
    Held {
        /// By whom.
        by: String,
    },
    /// Nothing moves, for so much seems ill at once.
    SharedCause(String),
    /// The rest can't bear it.
    NoRoom {
        /// What is asked for, in requests a second.
        asked: f64,
        /// What of it would be refused.
        refused: f64,
        /// What is refused as it is.
        refused_now: f64,
        /// What all the rest can take.
        room: f64,
    },
    /// It would leave fewer zones in service than have to stay.
    TooFew {
        /// Zones that would be left.
        left: usize,
        /// Zones that have to stay.
        least: usize,
    },
    /// More capacity would be away than may be.
    TooMuchAway {
        /// The share that would be.
        away: f64,
        /// The share that may be.
        most: f64,
    },
    /// More orders stand than are kept.
    TooMany,
    /// There is nothing to release.
    NothingToRelease,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuchPlace => f.write_str("there is no such place"),
            Self::NothingKnown => f.write_str("nothing is known yet of rooms and demand"),
            Self::Held { by } => write!(f, "the plan is held by {by}: release it first"),
            Self::SharedCause(why) => f.write_str(why),
            Self::NoRoom { asked, refused, refused_now, room } => write!(
                f,
                "the rest can't bear it: of {asked:.0} requests a second {refused:.0} would be refused \
                 ({refused_now:.0} are now); the rest has room for {room:.0}"
            ),
            Self::TooFew { left, least } => {
                write!(f, "{left} zones would be left in service, and {least} have to stay")
            }
            Self::TooMuchAway { away, most } => write!(
                f,
                "{:.0} % of the capacity would be away, and no more than {:.0} % may be",
                away * 100.0,
                most * 100.0
            ),
            Self::TooMany => f.write_str("more evacuations stand than are kept"),
            Self::NothingToRelease => f.write_str("there is nothing to release"),
        }
    }
}

impl std::error::Error for Refusal {}
