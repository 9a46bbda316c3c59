//! Size of the fleet that is supported. Endpoint lists, and what is handed over of them, are bounded by their
//! entries: a fleet of this size is read in any form that the protocol allows.

/// Largest supported fleet, in upstreams.
pub const MAX_FLEET: usize = 3200;
/// Most entries of one list: a whole fleet, and as many upstreams that leave it.
pub const MAX_LIST_ENTRIES: usize = 2 * MAX_FLEET;
