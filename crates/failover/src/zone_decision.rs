//! Decisions of [`Decider`] on zone states and operators' orders within the limits.

use crate::assignment::{self, AvailableCapacity};
use crate::decider::Decider;
use crate::document::{Evacuation, PlanHold, ZoneState};
use crate::orders::{Order, OrderError};
use crate::priorities::{ZoneSet, zone_bit, zones_in};
use crate::zone_health::FailureResponse;
use maplehook_locality::Zone;
use std::time::Duration;

/// Maximum number of simultaneous evacuations.
const MAX_EVACUATIONS: usize = 64;
/// Maximum length of an operator's name, in characters.
const MAX_NAME_CHARS: usize = 64;
/// Time in which the remembered capacity of a zone halves after a loss.
const CAPACITY_HALF_LIFE: Duration = Duration::from_secs(30);
/// Share of the demand that an evacuation may additionally reject.
const MAX_ADDED_REJECTION: f64 = 0.005;
/// Time for which no traffic is moved after a shared cause was last detected. It covers a few evaluations and
/// the window of the reported rates.
const SHARED_CAUSE_HOLD_TIME: Duration = Duration::from_secs(3);

impl Decider {
    /// Updates the zone states from the assessments, within the limits.
    pub(crate) fn decide_zone_states(&mut self, now: Duration, elapsed: Duration) {
        let assessments = std::mem::take(&mut self.assessments);
        self.update_healthy_capacity(elapsed);
        let bounds = self.bounds;
        let proposed_states: Vec<Option<ZoneState>> = self
            .zone_health
            .iter_mut()
            .zip(&assessments)
            .map(|(health, assessment)| health.observe(now, assessment, &bounds))
            .collect();
        // After a shared cause, zones recover one by one. The late ones have not failed by themselves.
        let detected = self.detect_shared_cause(now);
        if detected.is_some() {
            self.shared_cause_seen_at = Some(now);
        }
        let recently_seen =
            self.shared_cause_seen_at.is_some_and(|at| now.saturating_sub(at) < SHARED_CAUSE_HOLD_TIME);
        self.shared_cause = detected.or_else(|| self.shared_cause.take().filter(|_| recently_seen));
        if self.shared_cause.is_none() {
            let mut order: Vec<usize> =
                (0..proposed_states.len()).filter(|zone| proposed_states[*zone].is_some()).collect();
            // Unreachable zones come first, so that certain failures use up the limits before uncertain ones.
            order.sort_by_key(|zone| (proposed_states[*zone] != Some(ZoneState::Unreachable), *zone));
            for zone in order {
                let Some(new_state) = proposed_states[zone] else { continue };
                let mut failure_response = self.failure_response(zone, new_state);
                if matches!(failure_response, FailureResponse::Retain(_)) && self.complete_returns() {
                    failure_response = self.failure_response(zone, new_state);
                }
                let is_already_retained =
                    self.zone_health[zone].state == new_state && self.zone_health[zone].retained;
                if !(is_already_retained && matches!(failure_response, FailureResponse::Retain(_))) {
                    self.zone_health[zone].mark_failed(
                        now,
                        new_state,
                        &assessments[zone],
                        failure_response,
                        &bounds,
                    );
                }
            }
            self.recover(now, elapsed);
        }
        self.assessments = assessments;
    }

    /// Advances recoveries and applies evacuations.
    pub(crate) fn recover(&mut self, now: Duration, elapsed: Duration) {
        let evacuated = self.evacuated();
        for (zone, health) in self.zone_health.iter_mut().enumerate() {
            health.recover(now, elapsed, evacuated >> zone & 1 == 1, &self.bounds);
        }
    }

    /// Returns the set of zones under evacuation.
    fn evacuated(&self) -> ZoneSet {
        self.evacuations
            .iter()
            .flat_map(|(evacuation, _)| &evacuation.zones)
            .fold(0, |all, zone| all | zone_bit(*zone))
    }

    /// Updates the remembered capacity of each zone. It decays slowly, so that a sudden loss of capacity is
    /// noticed.
    fn update_healthy_capacity(&mut self, elapsed: Duration) {
        let decay = 0.5f64.powf(elapsed.as_secs_f64() / CAPACITY_HALF_LIFE.as_secs_f64());
        for (zone, capacity) in self.observed.capacities.iter().enumerate() {
            let health = &self.zone_health[zone];
            if health.state == ZoneState::Serving && !health.appears_failing() {
                self.healthy_capacity[zone] = capacity.usable.max(self.healthy_capacity[zone] * decay);
            }
        }
    }

    /// Returns the share of each zone in the total capacity; equal shares while no capacity is known.
    fn capacity_shares(&self) -> Vec<f64> {
        let zone_capacity = |zone: usize| {
            let listed = self.observed.capacities.get(zone).map_or(0.0, |capacity| capacity.listed);
            listed.max(self.healthy_capacity[zone])
        };
        let all: Vec<f64> = (0..self.zone_health.len()).map(zone_capacity).collect();
        let sum: f64 = all.iter().sum();
        let even_share = 1.0 / all.len().max(1) as f64;
        all.iter().map(|share| if sum > 0.0 { share / sum } else { even_share }).collect()
    }

    /// Returns the reason to move no traffic, if so much capacity failed at once that a single cause is
    /// likely.
    fn detect_shared_cause(&self, now: Duration) -> Option<String> {
        let capacity_shares = self.capacity_shares();
        let has_failed = |zone: &usize| {
            let health = &self.zone_health[*zone];
            let failed_recently = health.is_failing() && health.age(now) <= self.bounds.shared_cause_window;
            let is_out = matches!(health.state, ZoneState::Evacuated) || health.is_failing();
            failed_recently
                || !is_out && health.appears_failing()
                || health.retained && health.appears_failing()
        };
        // Capacity that disappears without errors (for example if all upstreams are removed from the list)
        // counts in proportion.
        let lost_fraction = |zone: usize| {
            let (capacity, previous) = (&self.observed.capacities[zone], self.healthy_capacity[zone]);
            let is_serving = self.zone_health[zone].state == ZoneState::Serving && previous > 0.0;
            if is_serving { (1.0 - capacity.usable / previous).max(0.0) } else { 0.0 }
        };
        let failed_fractions: Vec<f64> = (0..capacity_shares.len())
            .map(|zone| if has_failed(&zone) { 1.0 } else { lost_fraction(zone) })
            .collect();
        let affected_share: f64 =
            capacity_shares.iter().zip(&failed_fractions).map(|(share, fraction)| share * fraction).sum();
        let failed: Vec<usize> =
            (0..capacity_shares.len()).filter(|zone| failed_fractions[*zone] > 0.5).collect();
        let has_traffic = failed.iter().any(|zone| self.zone_health[*zone].admitted_share > 0.0);
        (affected_share > self.bounds.shared_cause_share + 1e-9 && has_traffic).then(|| {
            format!(
                "{} of {} zones with {:.0} % of the capacity seem ill at once: nothing moves",
                failed.len(),
                capacity_shares.len(),
                affected_share * 100.0
            )
        })
    }

    /// Completes the recovery of all returning zones, since new failures need their capacity and the limits
    /// must not keep a failed zone in service instead. Returns true if there were any.
    fn complete_returns(&mut self) -> bool {
        let mut any = false;
        for health in &mut self.zone_health {
            if health.state == ZoneState::Returning && health.admitted_share < 1.0 {
                (health.admitted_share, any) = (1.0, true);
            }
        }
        any
    }

    /// Returns the response to the failure of a zone that stays within the limits.
    fn failure_response(&self, zone: usize, new_state: ZoneState) -> FailureResponse {
        let capacity_shares = self.capacity_shares();
        let health = &self.zone_health[zone];
        let others = || (0..capacity_shares.len()).filter(|other| *other != zone);
        // Unhealthy zones at a reduced share count as removed, since the rest of their traffic can move at
        // any time.
        let admitted_share = |other: usize| {
            let health = &self.zone_health[other];
            if health.is_failing() && !health.retained { 0.0 } else { health.admitted_share }
        };
        let removed: f64 = others().map(|other| capacity_shares[other] * (1.0 - admitted_share(other))).sum();
        let remaining = others().filter(|other| admitted_share(*other) > 0.0).count();
        if removed + capacity_shares[zone] > self.bounds.max_capacity_removed + 1e-9 {
            return FailureResponse::Retain(format!(
                "no more than {:.0} % may be away",
                self.bounds.max_capacity_removed * 100.0
            ));
        }
        if remaining < self.bounds.min_zones_in_service {
            return FailureResponse::Retain(format!(
                "{} zones have to stay",
                self.bounds.min_zones_in_service
            ));
        }
        let receives_spillover = self
            .document()
            .plan
            .rows
            .iter()
            .any(|row| usize::from(row.from.0) != zone && row.part(Zone(zone as u16)) > 0);
        if new_state == ZoneState::Unhealthy && receives_spillover && !health.is_failing() {
            FailureResponse::Reduce
        } else {
            FailureResponse::Remove
        }
    }

    /// Applies an operator's order or returns the reason for its rejection.
    pub(crate) fn apply_order(&mut self, now: Duration, order: Order) -> Result<(), OrderError> {
        let truncate = |by: String| by.chars().take(MAX_NAME_CHARS).collect::<String>();
        match order {
            Order::Hold { by } => self.hold = Some(PlanHold { by: truncate(by) }),
            Order::Release { zones, .. } => {
                let (had_hold, previous) = (self.hold.is_some() && zones.is_empty(), self.evacuated());
                for (evacuation, _) in &mut self.evacuations {
                    evacuation.zones.retain(|zone| !zones.is_empty() && !zones.contains(zone));
                }
                self.evacuations.retain(|(evacuation, _)| !evacuation.zones.is_empty());
                if !had_hold && self.evacuated() == previous {
                    return Err(OrderError::NothingToRelease);
                }
                if zones.is_empty() {
                    self.hold = None;
                }
            }
            Order::Evacuate { mut zones, by, for_ms, anyway } => {
                zones.sort();
                zones.dedup();
                if let Some(PlanHold { by }) = &self.hold {
                    return Err(OrderError::PlanHeld { by: by.clone() });
                }
                if let Some(reason) = &self.shared_cause {
                    return Err(OrderError::SharedCause(reason.clone()));
                }
                self.check_remaining_capacity(&zones, anyway)?;
                let by = truncate(by);
                // A repeated evacuation of the same zones restarts its time.
                self.evacuations.retain(|(evacuation, _)| evacuation.zones != zones);
                if self.evacuations.len() >= MAX_EVACUATIONS {
                    return Err(OrderError::TooManyEvacuations);
                }
                let until = for_ms.map(|ms| now.saturating_add(Duration::from_millis(ms)));
                self.evacuations.push((Evacuation { zones, by, remaining_ms: for_ms }, until));
            }
        }
        Ok(())
    }

    /// Checks that the remaining zones can carry the load without these zones and those already out of
    /// service.
    fn check_remaining_capacity(&self, zones: &[Zone], anyway: bool) -> Result<(), OrderError> {
        let count = self.zone_health.len();
        if zones.is_empty() || zones.iter().any(|zone| usize::from(zone.0) >= count) {
            return Err(OrderError::UnknownZone);
        }
        let removed_zones = zones.iter().fold(0, |all, zone| all | zone_bit(*zone));
        let stays_in_service =
            |zone: &usize| removed_zones >> zone & 1 == 0 && self.zone_health[*zone].admitted_share > 0.0;
        let remaining = (0..count).filter(stays_in_service).count();
        let required = self.bounds.min_zones_in_service;
        if remaining < required {
            return Err(OrderError::TooFewZones { remaining, required });
        }
        if anyway {
            return Ok(());
        }
        if self.observed.capacities.is_empty() {
            return Err(OrderError::NoReportsYet);
        }
        let capacity_shares = self.capacity_shares();
        let affected_share = |zone: usize| {
            if removed_zones >> zone & 1 == 1 { 1.0 } else { 1.0 - self.zone_health[zone].admitted_share }
        };
        let removed: f64 = (0..count).map(|zone| capacity_shares[zone] * affected_share(zone)).sum();
        if removed > self.bounds.max_capacity_removed + 1e-9 {
            return Err(OrderError::TooMuchCapacityRemoved {
                removed,
                limit: self.bounds.max_capacity_removed,
            });
        }
        let (rejected_now, _, demand) = self.rejected_without(0);
        let (rejected, capacity, _) = self.rejected_without(removed_zones);
        if rejected > rejected_now + MAX_ADDED_REJECTION * demand {
            return Err(OrderError::InsufficientCapacity { demand, rejected, rejected_now, capacity });
        }
        Ok(())
    }

    /// Returns the demand that would be rejected without these zones, the remaining capacity, and the total
    /// demand.
    fn rejected_without(&self, removed_zones: ZoneSet) -> (f64, f64, f64) {
        let (mut capacity, mut fallback) = self.capacities();
        zones_in(removed_zones).for_each(|zone| (capacity[zone], fallback[zone]) = (0.0, 0.0));
        let (reach, _) = self.reachability();
        let capacities = AvailableCapacity { capacity: &capacity, fallback: &fallback, reach: &reach };
        let demand = self.observed.demand.iter().map(|(at, rate)| (*at, *rate));
        let (flows, demand) = assignment::assign(&self.priorities, capacities, true, demand);
        (flows.unserved.iter().sum(), capacity.iter().sum(), demand.iter().sum())
    }
}
