//! Which zones are out of reach from which, for long enough to act on it.

use crate::bounds::Bounds;
use crate::document::ZoneStatus;
use crate::evidence::{Verdict, Views};
use crate::priorities::{Zones, each, zone_bit};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer pauses between two looks are counted as this.
const LOOK_MOST: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PathState {
    out: bool,
    out_for: Duration,
    well_since: Option<Duration>,
}

/// Ways between zones that are not all well.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reach {
    paths: BTreeMap<(Zone, Zone), PathState>,
    looked: Duration,
}

impl Reach {
    /// As it was agreed on.
    pub fn of(zone_statuses: &[ZoneStatus], now: Duration) -> Self {
        let paths = zone_statuses.iter().enumerate().flat_map(|(to, place)| {
            let path = PathState { out: true, ..PathState::default() };
            place.cut_from.iter().map(move |from| ((*from, Zone(to as u16)), path))
        });
        Self { paths: paths.collect(), looked: now }
    }

    /// Takes what is seen. A way counts as closed after [`Bounds::lost_after`], and as open again after [`Bounds::well_after`].
    pub fn look(&mut self, now: Duration, zones: usize, views: &Views, bounds: &Bounds) {
        let passed = now.saturating_sub(self.looked).min(LOOK_MOST);
        self.looked = self.looked.max(now);
        for from in (0..zones as u16).map(Zone) {
            for to in (0..zones as u16).map(Zone) {
                let verdict = views.verdict(from, to);
                if verdict == Verdict::Out {
                    let path = self.paths.entry((from, to)).or_default();
                    path.out_for = (path.out_for + passed).min(bounds.lost_after);
                    path.out |= path.out_for >= bounds.lost_after;
                    path.well_since = None;
                } else if verdict != Verdict::None
                    && let Some(path) = self.paths.get_mut(&(from, to))
                {
                    path.out_for = path.out_for.saturating_sub(passed / 2);
                    let since = *path.well_since.get_or_insert(now);
                    path.out &= now.saturating_sub(since) < bounds.well_after;
                }
            }
        }
        self.paths.retain(|_, path| path.out || !path.out_for.is_zero());
    }

    /// Zones from which a zone is out of reach.
    pub fn cut_from(&self, to: Zone) -> Zones {
        let out = self.paths.iter().filter(|((_, at), path)| *at == to && path.out);
        out.fold(0, |all, ((from, _), _)| all | zone_bit(*from))
    }

    /// Zones that each zone reaches; those of `kept` are reached whatever is seen.
    pub fn matrix(&self, zones: usize, kept: Zones) -> Vec<Zones> {
        let all = if zones >= 64 { Zones::MAX } else { (1 << zones) - 1 };
        let mut matrix = vec![all; zones];
        for ((from, to), path) in &self.paths {
            if path.out
                && let Some(row) = matrix.get_mut(usize::from(from.0))
            {
                *row &= !(zone_bit(*to) & !kept);
            }
        }
        matrix
    }
}

/// Zones of a set as a list.
pub fn listed(zones: Zones) -> Vec<Zone> {
    each(zones).map(|zone| Zone(zone as u16)).collect()
}
