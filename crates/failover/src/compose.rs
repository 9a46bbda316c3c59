//! Composes the shared document and decides if a change is worth agreeing on.

use crate::decider::Decider;
use crate::document::{Document, Evacuation, Plan, ZoneState, ZoneStatus};
use crate::priorities::zones_in;
use crate::reachability::zone_list;
use maplehook_locality::Zone;
use std::time::Duration;

/// Minimum change of a zone's share that is worth agreeing on.
const MIN_SHARE_CHANGE: f32 = 0.05;

/// State of a zone in the document, and its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PublishedState {
    pub state: ZoneState,
    pub since: Duration,
    pub prior_age: Duration,
}

impl Decider {
    pub(crate) fn has_significant_change(&self, document: &Document) -> bool {
        let agreed = &self.agreed;
        let differs_in_status = |(a, b): (&ZoneStatus, &ZoneStatus)| {
            a.state != b.state
                || a.unreachable_from != b.unreachable_from
                || (a.admitted_share - b.admitted_share).abs() >= MIN_SHARE_CHANGE
                || a.admitted_share != b.admitted_share
                    && (a.admitted_share >= 1.0 || b.admitted_share >= 1.0)
        };
        let is_same_order = |a: &Evacuation, b: &Evacuation| (&a.zones, &a.by) == (&b.zones, &b.by);
        agreed.zone_statuses.len() != document.zone_statuses.len()
            || agreed.zone_statuses.iter().zip(&document.zone_statuses).any(differs_in_status)
            || agreed.hold != document.hold
            || agreed.shared_cause.is_some() != document.shared_cause.is_some()
            || agreed.evacuations.len() != document.evacuations.len()
            || !agreed.evacuations.iter().zip(&document.evacuations).all(|(a, b)| is_same_order(a, b))
            || agreed.zones != document.zones
            || agreed.rules != document.rules
    }

    /// Composes a document from the current state and the plan.
    pub(crate) fn compose(&mut self, now: Duration, plan: Plan) -> Document {
        let count = self.zone_health.len();
        // If a zone can't reach most others, only this zone counts as partitioned, and not all the others.
        let isolated = crate::flow::zone_set(count, |zone| {
            let unreachable_count = (0..count)
                .filter(|other| *other != zone && self.unreachable_from[*other] >> zone & 1 == 1)
                .count();
            2 * unreachable_count > count - 1
        });
        let mut zone_statuses = Vec::with_capacity(count);
        for zone in 0..count {
            let health = &self.zone_health[zone];
            let assessment = self.assessments.get(zone);
            let unreachable_from = self.unreachable_from[zone];
            let is_partitioned = health.state == ZoneState::Serving
                && (isolated >> zone & 1 == 1 || unreachable_from & !isolated != 0);
            let state = if is_partitioned { ZoneState::Partitioned } else { health.state };
            let published = &mut self.published[zone];
            if published.state != state {
                *published = PublishedState { state, since: now, prior_age: Duration::ZERO };
            }
            let names: Vec<&str> =
                zones_in(unreachable_from).map(|from| self.topology.zone_name(Zone(from as u16))).collect();
            let reason = match (is_partitioned, names.is_empty()) {
                (true, true) => "reaches most others no more".to_owned(),
                (true, false) => format!("out of reach from {}", names.join(", ")),
                _ => health.reason.clone(),
            };
            let capacity = self.observed.capacities.get(zone).copied().unwrap_or_default();
            let age = published.prior_age.saturating_add(now.saturating_sub(published.since));
            zone_statuses.push(ZoneStatus {
                state,
                reason,
                since_ms: age.as_millis().min(u128::from(u64::MAX)) as u64,
                usable: capacity.usable as f32,
                load: capacity.load as f32,
                admitted_share: health.admitted_share as f32,
                penalty: health.penalty.value(now, &self.bounds.damping) as f32,
                unreachable_from: zone_list(unreachable_from),
                observers: assessment.map_or(health.observers, |assessment| assessment.observers),
            });
        }
        let remaining_ms =
            |until: &Duration| until.saturating_sub(now).as_millis().min(u128::from(u64::MAX)) as u64;
        let evacuations = self.evacuations.iter().map(|(evacuation, until)| Evacuation {
            remaining_ms: until.as_ref().map(remaining_ms),
            ..evacuation.clone()
        });
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
