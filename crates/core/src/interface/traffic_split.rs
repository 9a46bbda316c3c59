//! Traffic splits: the zones that each group of requests goes to, and each zone's share.

use super::ZoneId;
use std::fmt;

/// The most groups of a [`TrafficSplit`].
pub const MAX_GROUPS: usize = 256;
/// The most zones that one group names with a share.
pub const MAX_ZONES_PER_GROUP: usize = 64;
/// How far the sum of a group's shares may exceed 1, because shares come as rounded figures.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Where requests go, by group: a failover plan as one balancer acts on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSplit {
    /// Positions in `rows`, by class and then by tenant. A pair that is not in the table, or that names no
    /// row, has the last row.
    pub groups: Vec<u16>,
    /// The number of tenants that each class has in `groups`.
    pub tenants: usize,
    /// The groups' zones and shares.
    pub rows: Vec<GroupSplit>,
}

/// Where the requests of one group go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupSplit {
    /// Zones with their shares, 0 to 1; what is missing to 1 is rejected on arrival.
    pub zone_shares: Vec<(ZoneId, f64)>,
    /// The zones of the balancer's own region: retries may go there, with a share or without.
    pub region: Vec<ZoneId>,
    /// Zones that no attempt may go to.
    pub forbidden: Vec<ZoneId>,
    /// The largest share of the group's requests that may leave the region, first attempts and retries
    /// together, 0 to 1.
    pub max_cross_region: f64,
}

/// Why a balancer can't act on a [`TrafficSplit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrafficSplitError {
    /// There are no rows.
    NoRows,
    /// There are more rows than [`MAX_GROUPS`].
    TooManyRows,
    /// This row names more than [`MAX_ZONES_PER_GROUP`] zones with a share.
    TooManyZones(usize),
    /// A share of this row is no number from 0 to 1, or the shares come to more than 1.
    OutOfRange(usize),
    /// This row names a zone twice.
    DuplicateZone(usize, ZoneId),
    /// This row has a share for a zone that it forbids.
    ForbiddenZone(usize, ZoneId),
}

impl fmt::Display for TrafficSplitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRows => f.write_str("shares: there are no rows"),
            Self::TooManyRows => write!(f, "shares: more than {MAX_GROUPS} rows"),
            Self::TooManyZones(row) => {
                write!(f, "shares: row {row} names more than {MAX_ZONES_PER_GROUP} zones")
            }
            Self::OutOfRange(row) => write!(f, "shares: a figure of row {row} is out of range"),
            Self::DuplicateZone(row, zone) => write!(f, "shares: row {row} names zone {} twice", zone.0),
            Self::ForbiddenZone(row, zone) => {
                write!(f, "shares: row {row} sends to zone {} that it forbids", zone.0)
            }
        }
    }
}

impl std::error::Error for TrafficSplitError {}

impl TrafficSplit {
    /// Checks whether a balancer can act on the split.
    ///
    /// # Errors
    ///
    /// Names the first fault.
    pub fn check(&self) -> Result<(), TrafficSplitError> {
        if self.rows.is_empty() {
            return Err(TrafficSplitError::NoRows);
        }
        if self.rows.len() > MAX_GROUPS {
            return Err(TrafficSplitError::TooManyRows);
        }
        self.rows.iter().enumerate().try_for_each(|(position, row)| row.check(position))
    }
}

impl GroupSplit {
    fn check(&self, position: usize) -> Result<(), TrafficSplitError> {
        if self.zone_shares.len() > MAX_ZONES_PER_GROUP {
            return Err(TrafficSplitError::TooManyZones(position));
        }
        let mut sum = 0.0;
        for (k, (zone, share)) in self.zone_shares.iter().enumerate() {
            if !(0.0..=1.0).contains(share) {
                return Err(TrafficSplitError::OutOfRange(position));
            }
            if self.zone_shares[..k].iter().any(|(other, _)| other == zone) {
                return Err(TrafficSplitError::DuplicateZone(position, *zone));
            }
            if *share > 0.0 && self.forbidden.contains(zone) {
                return Err(TrafficSplitError::ForbiddenZone(position, *zone));
            }
            sum += share;
        }
        let is_valid = sum <= 1.0 + ROUNDING_TOLERANCE && (0.0..=1.0).contains(&self.max_cross_region);
        if is_valid { Ok(()) } else { Err(TrafficSplitError::OutOfRange(position)) }
    }
}
