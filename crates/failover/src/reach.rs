//! Which zones are out of reach from which, for long enough to act on it.

use crate::bounds::Bounds;
use crate::document::Place;
use crate::evidence::{Views, Word};
use crate::ladders::{Zones, bit, each};
use maplehook_locality::Zone;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer pauses between two looks are counted as this.
const LOOK_MOST: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Way {
    out: bool,
    out_for: Duration,
    well_since: Option<Duration>,
}

/// Ways between zones that are not all well.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reach {
    ways: BTreeMap<(Zone, Zone), Way>,
    looked: Duration,
}

impl Reach {
    /// As it was agreed on.
    pub fn of(places: &[Place], now: Duration) -> Self {
        let ways = places.iter().enumerate().flat_map(|(to, place)| {
            let way = Way { out: true, ..Way::default() };
            place.cut_from.iter().map(move |from| ((*from, Zone(to as u16)), way))
        });
        Self { ways: ways.collect(), looked: now }
    }

    /// Takes what is seen. A way counts as closed after [`Bounds::lost_after`], and as open again after [`Bounds::well_after`].
    pub fn look(&mut self, now: Duration, zones: usize, views: &Views, bounds: &Bounds) {
        let passed = now.saturating_sub(self.looked).min(LOOK_MOST);
        self.looked = self.looked.max(now);
        for from in (0..zones as u16).map(Zone) {
            for to in (0..zones as u16).map(Zone) {
                let word = views.word(from, to);
                if word == Word::Out {
                    let way = self.ways.entry((from, to)).or_default();
                    way.out_for = (way.out_for + passed).min(bounds.lost_after);
                    way.out |= way.out_for >= bounds.lost_after;
                    way.well_since = None;
                } else if word != Word::None
                    && let Some(way) = self.ways.get_mut(&(from, to))
                {
                    way.out_for = way.out_for.saturating_sub(passed / 2);
                    let since = *way.well_since.get_or_insert(now);
                    way.out &= now.saturating_sub(since) < bounds.well_after;
                }
            }
        }
        self.ways.retain(|_, way| way.out || !way.out_for.is_zero());
    }

    /// Zones from which a zone is out of reach.
    pub fn cut_from(&self, to: Zone) -> Zones {
        let out = self.ways.iter().filter(|((_, at), way)| *at == to && way.out);
        out.fold(0, |all, ((from, _), _)| all | bit(*from))
    }

    /// Zones that each zone reaches; those of `kept` are reached whatever is seen.
    pub fn matrix(&self, zones: usize, kept: Zones) -> Vec<Zones> {
        let all = if zones >= 64 { Zones::MAX } else { (1 << zones) - 1 };
        let mut matrix = vec![all; zones];
        for ((from, to), way) in &self.ways {
            if way.out
                && let Some(row) = matrix.get_mut(usize::from(from.0))
            {
                *row &= !(bit(*to) & !kept);
            }
        }
        matrix
    }
}

/// Zones of a set as a list.
pub fn listed(zones: Zones) -> Vec<Zone> {
    each(zones).map(|zone| Zone(zone as u16)).collect()
}
