//! What outcomes and reports tell of an upstream, its class and the fleet.

use crate::choice::TICK;
use crate::grant::{ROOM, target};
use crate::interface::*;
use crate::sight::Ended;
use crate::state::Balancer;
use crate::turns::{EJECTED_MOST, OVERDUE_HELD};

/// Share of attempts of a class that are not overdue: the rest are worth a second look.
const USUAL: f64 = 0.95;
/// Seconds over which the least mean latency of a class creeps up.
const LEAST_OVER: f64 = 30.0;
/// Weight of the newest report in the share of the cores in use.
const BUSY_NEWEST: f64 = 0.02;
/// Faults in a row after which an upstream is ejected for the class that met them ...
const FAULTS: u32 = 2;
/// ... or one, where the class had no answer there for these seconds while others answer it within this
/// share of its aim: not so under overload, when all are slow and leaving some makes it worse.
const HEARD_OF: f64 = 3.0;
const QUICK: f64 = 0.5;
/// Broken connections in a row, and seconds without an answer, after which an upstream is held for dead and
/// ejected; what one that can't be made counts for: a process that dies breaks all it has, refuses new ones.
/// More in a row where those that do answer have them more often than this by chance, with the weight of
/// the newest: where a third come late, all would be held for dead in turn, and for cold after.
const BREAKS: u32 = 3;
const BREAKS_REFUSED: u32 = 2;
const BREAKS_OVER: f64 = 0.25;
const BREAKS_CHANCE: f64 = 0.06;
const BREAKS_NEWEST: f64 = 0.05;
/// Seconds of the first ejection; each one more without a success doubles it, three times at most.
pub(crate) const EJECT: f64 = 1.5;
/// Weight of the newest in the mean latency of those answered.
const ANSWERS_NEWEST: f64 = 0.1;
/// What an attempt given up counts for as a latency, in the time it was waited for: it would take longer.
const GIVEN_UP: f64 = 1.5;
/// Seconds over which a class's latency is averaged where answers are few, and weight of one where not.
const LATENCY_OVER: f64 = 3.0;
const LATENCY_NEWEST: f64 = 0.02;
/// A connection idle for this long may have been dropped unseen; seconds for which that is held.
const IDLE: f64 = 0.3;
const REAP_KEPT: f64 = 15.0;

impl Balancer {
    /// What one outcome tells of its upstream, its class and the fleet.
    pub(crate) fn learn(
        &mut self,
        id: UpstreamId,
        class: usize,
        outcome: Outcome,
        latency: f64,
        way: (bool, bool, f64),
    ) {
        let (overdue, lost, idle) = way;
        let aim = self.set.classes[class].aim.as_secs_f64();
        let learned = &mut self.classes[class];
        let ratio = latency / learned.latency.max(1e-6);
        let ok = outcome == Outcome::Ok;
        if ok {
            self.done += 1.0;
            learned.answers += ANSWERS_NEWEST * (latency - learned.answers);
            learned.usual *=
                if latency > learned.usual { 1.0 + 0.05 * USUAL } else { 1.0 - 0.05 * (1.0 - USUAL) };
            learned.usual = learned.usual.clamp(2.0 * TICK, aim.max(2.0 * TICK));
        }
        let unanswered = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && overdue;
        let slow = unanswered && !lost;
        if ok || slow {
            let latency = if ok { latency.min(2.0 * aim) } else { (GIVEN_UP * latency).min(2.0 * aim) };
            let newest = ((self.at - learned.at) / LATENCY_OVER).clamp(LATENCY_NEWEST, 0.2);
            learned.at = self.at;
            learned.latency += newest * (latency - learned.latency);
            let over = if learned.latency < learned.least { LATENCY_OVER } else { LEAST_OVER };
            learned.least += (newest * LATENCY_OVER / over) * (learned.latency - learned.least);
        }
        // Silence on idle connections, not on those in use, is laid to the way there: something drops them
        // unseen. They are closed before use. Harm where that is wrong: a handshake a use, for a while.
        if ok || unanswered {
            let share = &mut self.silent[usize::from(idle > IDLE)];
            *share += 0.2 * (f64::from(u8::from(unanswered)) - *share);
        }
        if unanswered && idle > IDLE && self.silent[1] > 0.3 && self.silent[1] > 2.0 * self.silent[0] {
            let before = if self.at < self.reap_until { self.reap } else { f64::INFINITY };
            (self.reap, self.reap_until) = (before.min(idle / 2.0).max(IDLE), self.at + REAP_KEPT);
        }
        let (out, of) = if ok { (0, 0) } else { self.out_beside(id, class) };
        let out = (out + 1) as f64 <= EJECTED_MOST * of as f64;
        let Some(u) = self.index.get(&id).map(|j| &mut self.ring[*j]) else { return };
        let target = target(ROOM, aim, &self.classes[class]);
        self.sight.ended(u, self.at, &Ended { outcome, latency, aim, target, overdue, lost });
        u.used_at = self.at;
        u.in_flight = u.in_flight.saturating_sub(1);
        if ok || slow {
            let ratio = ratio.min(5.0);
            u.seen += 1.0;
            u.pace += (ratio - u.pace) / u.seen.max(1.0);
        }
        let run = u.breaks.max(if u.ejections > 0 { BREAKS } else { 0 });
        let (h, l) = (&mut u.health[class], &mut self.classes[class]);
        if ok {
            (h.faults, h.answered) = (0, self.at);
            h.passed = h.passed.max(self.at - latency);
            if !overdue {
                u.ejections = 0;
                if std::mem::take(&mut h.ejected) {
                    l.out = l.out.saturating_sub(usize::from(u.member));
                    // What ailed it may have been the others' trouble too: they are tried at once.
                    (l.trials, l.trial_at) = (0, self.at);
                }
            }
        }
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Overloaded => {
                let keep = 1.0 - BREAKS_NEWEST;
                let others = (1.0 - self.breaks) * keep.powi((run.clamp(1, 20) as i32 - 1) / 2);
                self.breaks = if run > 0 { keep * (1.0 - others) } else { self.breaks };
                (u.breaks, u.alive_at) = (0, self.at);
            }
            Outcome::Reset => u.breaks += 1,
            Outcome::ConnectFailed => u.breaks += BREAKS_REFUSED,
            _ => {}
        }
        let chance = self.breaks.powi((u.breaks.clamp(BREAKS, 99) - BREAKS) as i32 / 2 + 1);
        let dead = u.breaks >= BREAKS && chance < BREAKS_CHANCE && self.at - u.alive_at > BREAKS_OVER;
        match outcome {
            Outcome::ConnectFailed | Outcome::Reset if dead && u.ejected_until <= self.at => {
                u.breaks = 0;
                let length = EJECT * f64::from(1 << u.ejections.min(3));
                u.ejections += 1;
                u.ejected_until = self.at + length * (0.75 + 0.5 * self.rng.f64());
                // Back as if cold, from a first turn at a random time: a slow trial by all balancers.
                u.started = Some(u.ejected_until);
                u.credit = self.rng.f64();
                u.fresh = true;
                self.choose_at = self.at;
            }
            // It looks the emptiest to the skip rule, whatever makes it turn requests of a class away. One
            // that has too much to do is not ill, but others are to be asked first for a while.
            Outcome::Rejected | Outcome::Overloaded => {
                (u.held, u.held_at) = (u.held.max(2.0 * OVERDUE_HELD), self.at);
                h.faults += u32::from(outcome == Outcome::Rejected);
            }
            Outcome::Error => h.faults += 1,
            Outcome::TimedOut | Outcome::Cancelled if overdue => h.faults += 1,
            _ => {}
        }
        let quick = self.at - h.answered > HEARD_OF && l.answers < QUICK * aim;
        if !h.ejected && out && (h.faults >= FAULTS || (quick && h.faults > 0 && outcome != Outcome::Error)) {
            (h.faults, h.ejected, h.tried) = (0, true, self.at);
            l.out += usize::from(u.member);
            if l.trial_at <= self.at {
                (l.trials, l.trial_at) = (0, self.at + EJECT * (0.75 + 0.5 * self.rng.f64()));
            }
        }
        // Where the fault is the upstream's own, it says nothing of the room elsewhere.
        u.ghosts += f64::from(u8::from(slow && !h.ejected));
    }

    pub(crate) fn report(&mut self, id: UpstreamId, report: &[f32]) {
        let Some(u) = self.index.get(&id).map(|j| &mut self.ring[*j]) else { return };
        // Reports are old: less own requests of now they say nothing of the others, who hold their part.
        let others = 1.0 - 1.0 / f64::from(self.set.balancers.max(1));
        let mut most = None;
        for (field, value) in self.set.report_fields.iter().zip(report).filter(|(_, v)| v.is_finite()) {
            let value = f64::from(*value).clamp(0.0, 1e4);
            match field {
                LoadField::InFlight | LoadField::Queue => most = Some(value.max(most.unwrap_or(0.0))),
                LoadField::Utilization => {
                    let more = BUSY_NEWEST * (value.min(1.0) - self.busy);
                    (self.busy, self.busy_at) = (self.busy + more, self.at);
                }
                _ => {}
            }
        }
        if let Some(most) = most {
            (u.held, u.held_at) = (most * others, self.at);
        }
    }
}
