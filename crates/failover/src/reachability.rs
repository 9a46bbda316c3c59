//! Paths between zones that have been unreachable for long enough to act on it.

use crate::bounds::Bounds;
use crate::document::ZoneStatus;
use crate::priorities::{ZoneSet, zone_bit, zones_in};
use crate::verdict::{Verdict, VerdictMatrix};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer pauses between two ticks count as this time.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PathState {
    closed: bool,
    unreachable_for: Duration,
    healthy_since: Option<Duration>,
}

/// State of the paths between zones that are not fully healthy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reachability {
    paths: BTreeMap<(Zone, Zone), PathState>,
    last_tick: Duration,
}

impl Reachability {
    /// Restores the state from agreed zone statuses.
    pub fn restore(zone_statuses: &[ZoneStatus], now: Duration) -> Self {
        let paths = zone_statuses.iter().enumerate().flat_map(|(to, status)| {
            let path = PathState { closed: true, ..PathState::default() };
            status.unreachable_from.iter().map(move |from| ((*from, Zone(to as u16)), path))
        });
        Self { paths: paths.collect(), last_tick: now }
    }

    /// Adds new verdicts. A path closes after [`Bounds::unreachable_after`] and opens after
    /// [`Bounds::healthy_after`].
    pub fn observe(&mut self, now: Duration, zones: usize, verdicts: &VerdictMatrix, bounds: &Bounds) {
        let elapsed = now.saturating_sub(self.last_tick).min(MAX_TICK_GAP);
        self.last_tick = self.last_tick.max(now);
        for from in (0..zones as u16).map(Zone) {
            for to in (0..zones as u16).map(Zone) {
                let verdict = verdicts.verdict(from, to);
                if verdict == Verdict::Unreachable {
                    let path = self.paths.entry((from, to)).or_default();
                    path.unreachable_for = (path.unreachable_for + elapsed).min(bounds.unreachable_after);
                    path.closed |= path.unreachable_for >= bounds.unreachable_after;
                    path.healthy_since = None;
                } else if verdict != Verdict::NoData
                    && let Some(path) = self.paths.get_mut(&(from, to))
                {
                    path.unreachable_for = path.unreachable_for.saturating_sub(elapsed / 2);
                    let since = *path.healthy_since.get_or_insert(now);
                    path.closed &= now.saturating_sub(since) < bounds.healthy_after;
                }
            }
        }
        self.paths.retain(|_, path| path.closed || !path.unreachable_for.is_zero());
    }

    /// Returns the zones that can't reach a zone.
    pub fn unreachable_from(&self, to: Zone) -> ZoneSet {
        let closed = self.paths.iter().filter(|((_, target), path)| *target == to && path.closed);
        closed.fold(0, |all, ((from, _), _)| all | zone_bit(*from))
    }

    /// Returns the reachable zones of each zone. Zones in `retained` always count as reachable.
    pub fn matrix(&self, zones: usize, retained: ZoneSet) -> Vec<ZoneSet> {
        let all = if zones >= 64 { ZoneSet::MAX } else { (1 << zones) - 1 };
        let mut matrix = vec![all; zones];
        for ((from, to), path) in &self.paths {
            if path.closed
                && let Some(row) = matrix.get_mut(usize::from(from.0))
            {
                *row &= !(zone_bit(*to) & !retained);
            }
        }
        matrix
    }
}

/// Converts a set of zones to a list.
pub fn zone_list(zones: ZoneSet) -> Vec<Zone> {
    zones_in(zones).map(|zone| Zone(zone as u16)).collect()
}
