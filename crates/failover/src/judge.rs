//! Which zones fall, within the bounds, and which orders are allowed: the parts of [`Decider`] that say no.

use crate::assignment::{self, AvailableCapacity};
use crate::damp::Fall;
use crate::decider::Decider;
use crate::document::{Evacuation, PlanHold, ZoneState};
use crate::orders::{Order, OrderError};
use crate::priorities::{Zones, each, zone_bit};
use maplehook_locality::Zone;
use std::time::Duration;

/// The most evacuations that stand at once.
const EVACUATIONS_MOST: usize = 64;
/// The most of an operator's name that is kept.
const NAME_MOST: usize = 64;
/// The time in which half of a room that is gone is forgotten.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Part of what is asked for that an evacuation may cost.
const COST: f64 = 0.005;
/// For how long nothing moves after a shared cause was last seen: a few looks and the time for which rates are counted.
const LINGERS: Duration = Duration::from_secs(3);

impl Decider {
    /// Takes what each zone is seen as, and lets fall what may.
    pub(crate) fn judge(&mut self, now: Duration, passed: Duration) {
        let seen = std::mem::take(&mut self.seen_now);
        self.remember(passed);
        let bounds = self.bounds;
        let wanted: Vec<Option<ZoneState>> = self
            .standings
            .iter_mut()
            .zip(&seen)
            .map(|(standing, seen)| standing.look(now, seen, &bounds))
            .collect();
        // What one cause has taken comes back piece by piece: the pieces that are late are not ill by themselves.
        let shared = self.shared(now);
        if shared.is_some() {
            self.shared_at = Some(now);
        }
        let lingers = self.shared_at.is_some_and(|at| now.saturating_sub(at) < LINGERS);
        self.shared_cause = shared.or_else(|| self.shared_cause.take().filter(|_| lingers));
        if self.shared_cause.is_none() {
            let mut order: Vec<usize> = (0..wanted.len()).filter(|zone| wanted[*zone].is_some()).collect();
            // What is lost before what is ill: bounds are used up by what is certain.
            order.sort_by_key(|zone| (wanted[*zone] != Some(ZoneState::Unreachable), *zone));
            for zone in order {
                let Some(to) = wanted[zone] else { continue };
                let mut how = self.how(zone, to);
                if matches!(how, Fall::Kept(_)) && self.give_back() {
                    how = self.how(zone, to);
                }
                let same = self.standings[zone].state == to && self.standings[zone].kept;
                if !(same && matches!(how, Fall::Kept(_))) {
                    self.standings[zone].fall(now, to, &seen[zone], how, &bounds);
                }
            }
            self.mend(now, passed);
        }
        self.seen_now = seen;
    }

    /// Gives back what is due, and takes out what is ordered.
    pub(crate) fn mend(&mut self, now: Duration, passed: Duration) {
        let out = self.evacuated();
        for (zone, standing) in self.standings.iter_mut().enumerate() {
            standing.mend(now, passed, out >> zone & 1 == 1, &self.bounds);
        }
    }

    /// Zones that operators have taken out.
    fn evacuated(&self) -> Zones {
        self.evacuations.iter().flat_map(|(e, _)| &e.zones).fold(0, |all, zone| all | zone_bit(*zone))
    }

    /// Keeps what each zone could take; what is gone is forgotten slowly, so that what goes at once is seen to.
    fn remember(&mut self, passed: Duration) {
        let fades = 0.5f64.powf(passed.as_secs_f64() / REMEMBERED.as_secs_f64());
        for (zone, room) in self.situation.rooms.iter().enumerate() {
            let standing = &self.standings[zone];
            if standing.state == ZoneState::Serving && !standing.seems_bad() {
                self.remembered[zone] = room.usable.max(self.remembered[zone] * fades);
            }
        }
    }

    /// What each zone has of all capacity; even parts while nothing is known.
    fn capacity(&self) -> Vec<f64> {
        let of = |zone: usize| {
            let listed = self.situation.rooms.get(zone).map_or(0.0, |room| room.listed);
            listed.max(self.remembered[zone])
        };
        let all: Vec<f64> = (0..self.standings.len()).map(of).collect();
        let sum: f64 = all.iter().sum();
        let even = 1.0 / all.len().max(1) as f64;
        all.iter().map(|one| if sum > 0.0 { one / sum } else { even }).collect()
    }

    /// Why nothing moves, if so much seems ill within a moment that it has one cause.
    fn shared(&self, now: Duration) -> Option<String> {
        let capacity = self.capacity();
        let fell = |zone: &usize| {
            let standing = &self.standings[*zone];
            let just = standing.is_bad() && standing.age(now) <= self.bounds.moment;
            let out = matches!(standing.state, ZoneState::Evacuated) || standing.is_bad();
            just || !out && standing.seems_bad() || standing.kept && standing.seems_bad()
        };
        // What vanishes without a word (a list that is empty for all) counts as far as it is gone.
        let gone = |zone: usize| {
            let (room, before) = (&self.situation.rooms[zone], self.remembered[zone]);
            let serves = self.standings[zone].state == ZoneState::Serving && before > 0.0;
            if serves { (1.0 - room.usable / before).max(0.0) } else { 0.0 }
        };
        let parts: Vec<f64> =
            (0..capacity.len()).map(|zone| if fell(&zone) { 1.0 } else { gone(zone) }).collect();
        let part: f64 = capacity.iter().zip(&parts).map(|(capacity, part)| capacity * part).sum();
        let fallen: Vec<usize> = (0..capacity.len()).filter(|zone| parts[*zone] > 0.5).collect();
        let unmoved = fallen.iter().any(|zone| self.standings[*zone].given > 0.0);
        (part > self.bounds.shared_cause_share + 1e-9 && unmoved).then(|| {
            format!(
                "{} of {} zones with {:.0} % of the capacity seem ill at once: nothing moves",
                fallen.len(),
                capacity.len(),
                part * 100.0
            )
        })
    }

    /// Gives what is well again back at once: what falls now needs it, and a bound must not hold in what is dead for the sake of
    /// what is there. Whether there was any.
    fn give_back(&mut self) -> bool {
        let mut any = false;
        for standing in &mut self.standings {
            if standing.state == ZoneState::Returning && standing.given < 1.0 {
                (standing.given, any) = (1.0, true);
            }
        }
        any
    }

    /// How a zone falls without passing a bound.
    fn how(&self, zone: usize, to: ZoneState) -> Fall {
        let capacity = self.capacity();
        let standing = &self.standings[zone];
        let others = || (0..capacity.len()).filter(|other| *other != zone);
        // What is ill and relieved may be left altogether at any time.
        let given = |other: usize| {
            let standing = &self.standings[other];
            if standing.is_bad() && !standing.kept { 0.0 } else { standing.given }
        };
        let away: f64 = others().map(|other| capacity[other] * (1.0 - given(other))).sum();
        let left = others().filter(|other| given(*other) > 0.0).count();
        if away + capacity[zone] > self.bounds.max_capacity_removed + 1e-9 {
            return Fall::Kept(format!(
                "no more than {:.0} % may be away",
                self.bounds.max_capacity_removed * 100.0
            ));
        }
        if left < self.bounds.min_zones_in_service {
            return Fall::Kept(format!("{} zones have to stay", self.bounds.min_zones_in_service));
        }
        let spilled = self
            .document()
            .plan
            .rows
            .iter()
            .any(|row| usize::from(row.from.0) != zone && row.part(Zone(zone as u16)) > 0);
        if to == ZoneState::Unhealthy && spilled && !standing.is_bad() { Fall::Relieved } else { Fall::Out }
    }

    /// Takes an order, or says why not.
    pub(crate) fn allow(&mut self, now: Duration, order: Order) -> Result<(), OrderError> {
        let short = |by: String| by.chars().take(NAME_MOST).collect::<String>();
        match order {
            Order::Hold { by } => self.hold = Some(PlanHold { by: short(by) }),
            Order::Release { zones, .. } => {
                let (held, before) = (self.hold.is_some() && zones.is_empty(), self.evacuated());
                for (evacuation, _) in &mut self.evacuations {
                    evacuation.zones.retain(|zone| !zones.is_empty() && !zones.contains(zone));
                }
                self.evacuations.retain(|(evacuation, _)| !evacuation.zones.is_empty());
                if !held && self.evacuated() == before {
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
                self.bear(&zones, anyway)?;
                let by = short(by);
                // The same places again: the time counts anew.
                self.evacuations.retain(|(e, _)| e.zones != zones);
                if self.evacuations.len() >= EVACUATIONS_MOST {
                    return Err(OrderError::TooManyEvacuations);
                }
                let until = for_ms.map(|ms| now.saturating_add(Duration::from_millis(ms)));
                self.evacuations.push((Evacuation { zones, by, remaining_ms: for_ms }, until));
            }
        }
        Ok(())
    }

    /// Whether the rest can bear it that these zones go, besides those that are out already and so are given nothing.
    fn bear(&self, zones: &[Zone], anyway: bool) -> Result<(), OrderError> {
        let count = self.standings.len();
        if zones.is_empty() || zones.iter().any(|zone| usize::from(zone.0) >= count) {
            return Err(OrderError::UnknownZone);
        }
        let out = zones.iter().fold(0, |all, zone| all | zone_bit(*zone));
        let stays = |zone: &usize| out >> zone & 1 == 0 && self.standings[*zone].given > 0.0;
        let left = (0..count).filter(stays).count();
        let least = self.bounds.min_zones_in_service;
        if left < least {
            return Err(OrderError::TooFewZones { left, least });
        }
        if anyway {
            return Ok(());
        }
        if self.situation.rooms.is_empty() {
            return Err(OrderError::NoReportsYet);
        }
        let capacity = self.capacity();
        let part = |zone: usize| if out >> zone & 1 == 1 { 1.0 } else { 1.0 - self.standings[zone].given };
        let away: f64 = (0..count).map(|zone| capacity[zone] * part(zone)).sum();
        if away > self.bounds.max_capacity_removed + 1e-9 {
            return Err(OrderError::TooMuchCapacityRemoved { away, most: self.bounds.max_capacity_removed });
        }
        let (rejected_now, _, asked) = self.rejected(0);
        let (rejected, room, _) = self.rejected(out);
        if rejected > rejected_now + COST * asked {
            return Err(OrderError::InsufficientCapacity { asked, rejected, rejected_now, room });
        }
        Ok(())
    }

    /// What would be refused without these zones, the room that there would be, and what is asked for.
    fn rejected(&self, out: Zones) -> (f64, f64, f64) {
        let (mut room, mut last) = self.given();
        each(out).for_each(|zone| (room[zone], last[zone]) = (0.0, 0.0));
        let (reach, _) = self.ways();
        let rooms = AvailableCapacity { room: &room, last: &last, reach: &reach };
        let demand = self.situation.demand.iter().map(|(at, rate)| (*at, *rate));
        let (flows, asked) = assignment::assign(&self.priorities, rooms, true, demand);
        (flows.left.iter().sum(), room.iter().sum(), asked.iter().sum())
    }
}
