//! The tick: the period at which tokens are refilled and overdue attempts are looked for.

use crate::interface::TimerId;

/// Seconds between ticks: short against any latency objective, long against one pass over the upstreams.
pub(crate) const TICK_S: f64 = 0.025;
/// The timer of the tick.
pub(crate) const TICK_TIMER: TimerId = TimerId(0);
