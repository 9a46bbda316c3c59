//! Traffic splits: the zones that each group of requests goes to, and the share of each zone.

use super::ZoneId;
use std::fmt;

/// Maximum number of groups in a [`TrafficSplit`].
pub const MAX_GROUPS: usize = 256;
/// Maximum number of zones with a share in one group.
pub const MAX_ZONES_PER_GROUP: usize = 64;
/// Amount by which the sum of a group's shares may exceed 1, since shares are rounded numbers.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Failover plan as applied by one balancer: the destinations of each group of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSplit {
    /// Index into `rows` of each class and tenant, sorted by class and then by tenant. A pair without an
    /// entry, or with an index out of range, uses the last row.
    pub groups: Vec<u16>,
    /// Number of tenants that each class has in `groups`.
    pub tenants: usize,
    /// Zones and shares of each group.
    pub rows: Vec<GroupSplit>,
}

/// Destinations of the requests of one group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupSplit {
    /// Zones with their shares, 0 to 1; the remainder up to 1 is rejected on arrival.
    pub zone_shares: Vec<(ZoneId, f64)>,
    /// Zones of the balancer's region, which retries may use even without a share.
    pub region: Vec<ZoneId>,
    /// Zones that no attempt may go to.
    pub forbidden: Vec<ZoneId>,
    /// Maximum share of the group's requests that may leave the region, counting first attempts and retries
    /// together, 0 to 1.
    pub max_cross_region: f64,
}

/// Reason why [`TrafficSplit::check`] rejects a split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrafficSplitError {
    /// There are no rows.
    NoRows,
    /// There are more rows than [`MAX_GROUPS`].
    TooManyRows,
    /// This row names more than [`MAX_ZONES_PER_GROUP`] zones.
    TooManyZones(usize),
    /// A number in this row is outside 0 to 1, or the shares of the row add up to more than 1.
    OutOfRange(usize),
    /// This row names a zone twice.
    DuplicateZone(usize, ZoneId),
    /// This row has a share for a zone that the row forbids.
    ForbiddenZone(usize, ZoneId),
}

impl fmt::Display for TrafficSplitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRows => f.write_str("traffic split: no rows"),
            Self::TooManyRows => write!(f, "traffic split: more than {MAX_GROUPS} rows"),
            Self::TooManyZones(row) => {
                write!(f, "traffic split: row {row} names more than {MAX_ZONES_PER_GROUP} zones")
            }
            Self::OutOfRange(row) => write!(f, "traffic split: row {row} has a number out of range"),
            Self::DuplicateZone(row, zone) => write!(f, "traffic split: row {row} repeats zone {}", zone.0),
            Self::ForbiddenZone(row, zone) => {
                write!(f, "traffic split: row {row} has a share for zone {}, which it forbids", zone.0)
            }
        }
    }
}

impl std::error::Error for TrafficSplitError {}

impl TrafficSplit {
    /// Checks that a balancer can apply the split.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), TrafficSplitError> {
        if self.rows.is_empty() {
            return Err(TrafficSplitError::NoRows);
        }
        if self.rows.len() > MAX_GROUPS {
            return Err(TrafficSplitError::TooManyRows);
        }
        self.rows.iter().enumerate().try_for_each(|(row_index, row)| row.check(row_index))
    }
}

impl GroupSplit {
    fn check(&self, row_index: usize) -> Result<(), TrafficSplitError> {
        if self.zone_shares.len() > MAX_ZONES_PER_GROUP {
            return Err(TrafficSplitError::TooManyZones(row_index));
        }
        let mut sum = 0.0;
        for (k, (zone, share)) in self.zone_shares.iter().enumerate() {
            if !(0.0..=1.0).contains(share) {
                return Err(TrafficSplitError::OutOfRange(row_index));
            }
            if self.zone_shares[..k].iter().any(|(other, _)| other == zone) {
                return Err(TrafficSplitError::DuplicateZone(row_index, *zone));
            }
            if *share > 0.0 && self.forbidden.contains(zone) {
                return Err(TrafficSplitError::ForbiddenZone(row_index, *zone));
            }
            sum += share;
        }
        let is_valid = sum <= 1.0 + ROUNDING_TOLERANCE && (0.0..=1.0).contains(&self.max_cross_region);
        if is_valid { Ok(()) } else { Err(TrafficSplitError::OutOfRange(row_index)) }
    }
}
