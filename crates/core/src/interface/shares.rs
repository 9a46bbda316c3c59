//! Shares: which zones the requests of each group go to, and how many of them.

use super::ZoneId;
use std::fmt;

/// The most rows of [`Shares`].
pub const ROWS_MOST: usize = 256;
/// The most zones that one row names with a share.
pub const LANES_MOST: usize = 64;
/// How far the sum of a row may be over 1: shares come as rounded figures.
const ROUNDED: f64 = 1e-6;

/// Where requests go, by group: a plan as one balancer acts on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Positions in `rows`, by class and then by tenant. What is not in the table, or names no row, has the last row.
    pub groups: Vec<u16>,
    /// How many tenants a class has in `groups`.
    pub tenants: usize,
    /// The groups.
    pub rows: Vec<GroupShares>,
}

/// Where the requests of one group go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupShares {
    /// Zones with their shares, 0 to 1; what is missing to 1 is refused on arrival.
    pub to: Vec<(ZoneId, f64)>,
    /// The zones of the balancer's own region: further attempts may go there, with a share or not.
    pub region: Vec<ZoneId>,
    /// Zones where nothing may go.
    pub never: Vec<ZoneId>,
    /// The most of the group's requests that may leave the region, first and further attempts together. 0 to 1.
    pub beyond_most: f64,
}

/// Why [`Shares`] can't be acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SharesError {
    /// There are no rows.
    NoRows,
    /// There are more than [`ROWS_MOST`].
    TooManyRows,
    /// This row names more than [`LANES_MOST`] zones with a share.
    TooManyZones(usize),
    /// A share of this row is no number from 0 to 1, or they come to more than 1.
    OutOfRange(usize),
    /// This row names a zone twice.
    Twice(usize, ZoneId),
    /// This row has a share for a zone where nothing may go.
    Never(usize, ZoneId),
}

impl fmt::Display for SharesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRows => f.write_str("shares: there are no rows"),
            Self::TooManyRows => write!(f, "shares: more than {ROWS_MOST} rows"),
            Self::TooManyZones(row) => write!(f, "shares: row {row} names more than {LANES_MOST} zones"),
            Self::OutOfRange(row) => write!(f, "shares: a figure of row {row} is out of range"),
            Self::Twice(row, zone) => write!(f, "shares: row {row} names zone {} twice", zone.0),
            Self::Never(row, zone) => write!(f, "shares: row {row} sends to zone {} that it forbids", zone.0),
        }
    }
}

impl std::error::Error for SharesError {}

impl Shares {
    /// Whether they can be acted on; the error names the first fault.
    pub fn check(&self) -> Result<(), SharesError> {
        if self.rows.is_empty() {
            return Err(SharesError::NoRows);
        }
        if self.rows.len() > ROWS_MOST {
            return Err(SharesError::TooManyRows);
        }
        self.rows.iter().enumerate().try_for_each(|(n, row)| row.check(n))
    }
}

impl GroupShares {
    fn check(&self, n: usize) -> Result<(), SharesError> {
        if self.to.len() > LANES_MOST {
            return Err(SharesError::TooManyZones(n));
        }
        let mut sum = 0.0;
        for (k, (zone, share)) in self.to.iter().enumerate() {
            if !(0.0..=1.0).contains(share) {
                return Err(SharesError::OutOfRange(n));
            }
            if self.to[..k].iter().any(|(other, _)| other == zone) {
                return Err(SharesError::Twice(n, *zone));
            }
            if *share > 0.0 && self.never.contains(zone) {
                return Err(SharesError::Never(n, *zone));
            }
            sum += share;
        }
        let fits = sum <= 1.0 + ROUNDED && (0.0..=1.0).contains(&self.beyond_most);
        if fits { Ok(()) } else { Err(SharesError::OutOfRange(n)) }
    }
}
