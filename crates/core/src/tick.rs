//! The tick: period of token refills and of the check for overdue attempts.

use crate::interface::TimerId;

/// Seconds between ticks: short against any latency objective, long against a pass over the upstreams.
pub(crate) const TICK_INTERVAL_S: f64 = 0.025;
/// Timer id of the tick.
pub(crate) const TICK_TIMER: TimerId = TimerId(0);
