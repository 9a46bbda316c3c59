//! What stands, written down, and when that is worth being agreed on.

use crate::decider::Decider;
use crate::document::{Document, Evacuation, Plan, ZoneState, ZoneStatus};
use crate::priorities::each;
use crate::reach::listed;
use maplehook_locality::Zone;
use std::time::Duration;

/// A change of what a place is given that is agreed anew.
const GIVEN: f32 = 0.05;

/// The state shown of a zone, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Shown {
    pub state: ZoneState,
    pub since: Duration,
    pub older: Duration,
}

impl Decider {
    pub(crate) fn differs(&self, document: &Document) -> bool {
        let agreed = &self.agreed;
        let place = |(a, b): (&ZoneStatus, &ZoneStatus)| {
            a.state != b.state
                || a.cut_from != b.cut_from
                || (a.given - b.given).abs() >= GIVEN
                || a.given != b.given && (a.given >= 1.0 || b.given >= 1.0)
        };
        let same = |a: &Evacuation, b: &Evacuation| (&a.zones, &a.by) == (&b.zones, &b.by);
        agreed.zone_statuses.len() != document.zone_statuses.len()
            || agreed.zone_statuses.iter().zip(&document.zone_statuses).any(place)
            || agreed.hold != document.hold
            || agreed.shared_cause.is_some() != document.shared_cause.is_some()
            || agreed.evacuations.len() != document.evacuations.len()
            || !agreed.evacuations.iter().zip(&document.evacuations).all(|(a, b)| same(a, b))
            || agreed.zones != document.zones
            || agreed.rules != document.rules
    }

    /// What stands, written down.
    pub(crate) fn compose(&mut self, now: Duration, plan: Plan) -> Document {
        let count = self.standings.len();
        // A zone that reaches most others no more is what is cut, and not each of those.
        let off = crate::flow::zones_where(count, |zone| {
            let out = (0..count).filter(|other| *other != zone && self.cut[*other] >> zone & 1 == 1).count();
            2 * out > count - 1
        });
        let mut zone_statuses = Vec::with_capacity(count);
        for zone in 0..count {
            let standing = &self.standings[zone];
            let seen = self.seen_now.get(zone);
            let cut = self.cut[zone];
            let is_cut = standing.state == ZoneState::Serving && (off >> zone & 1 == 1 || cut & !off != 0);
            let state = if is_cut { ZoneState::Partitioned } else { standing.state };
            let shown = &mut self.shown[zone];
            if shown.state != state {
                *shown = Shown { state, since: now, older: Duration::ZERO };
            }
            let names: Vec<&str> = each(cut).map(|from| self.topology.zone_name(Zone(from as u16))).collect();
            let reason = match (is_cut, names.is_empty()) {
                (true, true) => "reaches most others no more".to_owned(),
                (true, false) => format!("out of reach from {}", names.join(", ")),
                _ => standing.reason.clone(),
            };
            let room = self.situation.rooms.get(zone).copied().unwrap_or_default();
            let age = shown.older.saturating_add(now.saturating_sub(shown.since));
            zone_statuses.push(ZoneStatus {
                state,
                reason,
                since_ms: age.as_millis().min(u128::from(u64::MAX)) as u64,
                usable: room.usable as f32,
                load: room.load as f32,
                given: standing.given as f32,
                penalty: standing.penalty.figure(now, &self.bounds.damping) as f32,
                cut_from: listed(cut),
                observers: seen.map_or(standing.observers, |seen| seen.observers),
            });
        }
        let left = |until: &Duration| until.saturating_sub(now).as_millis().min(u128::from(u64::MAX)) as u64;
        let evacuations = self
            .evacuations
            .iter()
            .map(|(e, until)| Evacuation { remaining_ms: until.as_ref().map(left), ..e.clone() });
        Document {
            digest: self.agreed.digest,
            zones: self.agreed.zones.clone(),
            rules: self.agreed.rules.clone(),
            zone_statuses,
            plan,
            evacuations: evacuations.collect(),
            hold: self.hold.clone(),
            shared_cause: self.shared_cause.clone(),
        }
    }
}
