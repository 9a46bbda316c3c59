//! Sending: a request's first attempt, further ones where that is safe, and how each ends.

use crate::interface::*;
use crate::state::{Attempt, Balancer, Request, Upstream, count_overdue, touch};
use std::time::Duration;

/// An attempt is overdue at this share of the aim at the latest, so that another still has time.
pub(crate) const OVERDUE_BY: f64 = 0.6;
/// By how many times the usual an attempt sent later to the same upstream, and answered, has to have passed
/// one that is overdue, which is looked at again each time the usual is over: it was lost on its way.
const LOST_BY: f64 = 0.5;
/// Further attempts earned by each request admitted, and how many of them can be saved up.
pub(crate) const RETRY_SHARE: f64 = 0.1;
pub(crate) const RETRY_SAVED: f64 = 10.0;
/// Upstreams a further attempt looks at for the least loaded.
const FURTHER_LOOK: usize = 6;

impl Balancer {
    pub(crate) fn send(&mut self, id: RequestId, turn: usize) {
        touch(&mut self.touched, self.ring.len(), turn);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let u = &mut self.ring[turn];
        self.sight.sent(u.zone);
        if let Some(tables) = &mut self.tables {
            tables.sent(r, u.zone);
        }
        let mut idle = if u.in_flight > 0 || u.used_at <= 0.0 { 0.0 } else { self.at - u.used_at };
        if idle > self.reap && self.at < self.reap_until && self.silent[1] > 2.0 * self.silent[0] {
            self.out.push(Action::CloseIdle { upstream: u.id });
            idle = 0.0;
        }
        (u.used_at, self.sent_at) = (self.at, self.at);
        u.in_flight += 1;
        u.health[r.class].sent = self.at;
        let class = &self.set.classes[r.class];
        let overdue = self.classes[r.class].usual.min(OVERDUE_BY * class.aim.as_secs_f64());
        // Where no second copy may run beside the first, what may be repeated is given up when overdue: here
        // if it can't be called back, else then, and only if another can follow.
        let last = r.attempts.len() + 1 >= usize::from(r.attempts_most);
        let repeatable = r.effect != Effect::AtMostOnce && !class.streamed;
        let blind = !self.set.hedging && !self.set.cancelling;
        let again =
            (blind && repeatable && !last && self.retries >= 1.0).then(|| Duration::from_secs_f64(overdue));
        // What is worth nothing after its aim is not waited for, where its work is dearer than the connection
        // that ends with it. It ends just before, not as late.
        let spent = Duration::from_secs_f64((r.worth_until - self.at).clamp(1e-3, 1e6));
        let cheap = self.set.prices.handshake <= self.set.prices.waste;
        let timeout = again.or((r.worth_until < r.deadline && cheap).then_some(spent));
        self.out.push(Action::Attempt { id, upstream: u.id, timeout });
        self.due.insert((self.now + Duration::from_secs_f64(overdue), id, r.attempts.len() as u8));
        let (upstream, zone, cell, sent) = (u.id, u.zone, u.cell, self.at);
        r.attempts.push(Attempt { upstream, zone, cell, sent, out: true, idle, ..Attempt::default() });
    }

    /// Whether an attempt of a request may go to an upstream without an effect happening twice.
    fn safe(&self, r: &Request, u: &Upstream) -> bool {
        let Some(first) = r.attempts.iter().find(|a| a.out || a.may_have_run) else { return true };
        let Effect::Deduplicated { group, ttl } = r.effect else {
            return r.effect == Effect::Idempotent;
        };
        // For the way there: a connection may have to be made first.
        let margin = self.set.connect_timeout.as_secs_f64() + 0.05;
        let same = match group {
            DedupGroup::All => true,
            DedupGroup::Zone => u.zone == first.zone,
            DedupGroup::Cell => u.cell == first.cell,
        };
        same && self.at + margin < first.sent + ttl.as_secs_f64()
    }

    /// Sends a further attempt where the class and the retry budget allow one.
    fn further(&mut self, id: RequestId, cost: f64) -> bool {
        let Some(j) = self.follows(id, cost) else { return false };
        self.retries -= cost;
        self.send(id, j);
        true
    }

    /// Where a further attempt would go, if one may.
    fn follows(&mut self, id: RequestId, cost: f64) -> Option<usize> {
        let r = self.requests.get(&id)?;
        if r.ended
            || r.streaming
            || r.attempts.len() >= usize::from(r.attempts_most)
            || self.at + 1e-3 >= r.deadline
            || self.at + 0.5 * self.classes[r.class].latency >= r.worth_until
            || self.retries < cost
            || self.ring.is_empty()
            || is_spent(r)
        {
            return None;
        }
        // Outside the subset only where nobody in it will do, as for a key known to one cell.
        let (m, from) = (self.ring.len(), self.rng.usize(..));
        let turns = self.rings.iter().flat_map(|ring| ring.order(&self.turns));
        let all = turns.chain((0..m).map(|k| (k + from % m) % m));
        let fit = all.filter(|j| self.fits(r, &self.ring[*j])).take(FURTHER_LOOK);
        let far = |u: &Upstream| f64::from(self.distance(r, u).unwrap_or(0) + 2 * u8::from(!u.member));
        let held = |j: usize| 1e6 * far(&self.ring[j]) + self.holds(j);
        fit.min_by(|a, b| held(*a).total_cmp(&held(*b)))
    }

    /// Whether an upstream may take a further attempt of a request.
    fn fits(&self, r: &Request, u: &Upstream) -> bool {
        // Not onto a cold upstream: a failure's retries together are the burst that pushes it over.
        u.ready
            && u.started.is_none()
            && u.ejected_until <= self.at
            && !u.health[r.class].ejected
            && r.attempts.iter().all(|a| a.upstream != u.id)
            && self.distance(r, u).is_some()
            && self.safe(r, u)
    }

    /// An attempt is out for longer than is usual: its upstream is passed over, and a second copy may go out.
    /// Looked at again later, it may turn out to be lost: then it holds nothing, and its upstream is well.
    pub(crate) fn overdue(&mut self, id: RequestId, attempt: u8) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out && !a.streams) else {
            return;
        };
        let usual = self.classes[r.class].usual;
        let first = !std::mem::replace(&mut a.overdue, true);
        if let Some(j) = self.index.get(&a.upstream).copied() {
            touch(&mut self.touched, self.ring.len(), j);
            let u = &mut self.ring[j];
            // A queue serves in turn: one that is passed by so much stands in none. Whom nobody followed
            // can't be passed: it counts as any other then, so that somebody does.
            let h = &u.health[r.class];
            a.lost = !first && h.passed > a.sent + LOST_BY * usual;
            let counts = first || (a.counted && !a.lost && h.sent > a.sent);
            count_overdue(u, a, counts);
            u.lost += u32::from(a.lost);
            if first {
                self.sight.overdue(u.zone);
            }
        }
        if !a.lost {
            self.due.insert((self.now + Duration::from_secs_f64(usual), id, attempt));
        }
        // Room for one: the overdue attempt itself is counted in what is held.
        if first && self.set.hedging && self.room > -1.0 {
            self.further(id, 1.0);
        } else if first && !self.set.hedging && self.set.cancelling {
            // Nothing is given up for which nothing can follow: it may still be answered.
            // What follows is paid for now: many may be called back at one tick.
            if self.follows(id, 1.0).is_some()
                && let Some(a) =
                    self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(usize::from(attempt)))
            {
                a.paid = true;
                self.retries -= 1.0;
                self.out.push(Action::Cancel { id, attempt: AttemptNo(attempt) });
            }
        }
    }

    /// An attempt streams: it stands in no queue at its upstream from here on, never overdue. Else a few
    /// long answers would look like a fleet without room.
    pub(crate) fn stream_started(&mut self, id: RequestId, attempt: u8, latency: Option<Duration>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.streaming = true;
        let class = r.class;
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out && !a.streams) else {
            return;
        };
        a.streams = true;
        let (upstream, way) = (a.upstream, (a.overdue, std::mem::take(&mut a.lost), a.idle));
        if let Some(j) = self.index.get(&upstream).copied() {
            touch(&mut self.touched, self.ring.len(), j);
            let u = &mut self.ring[j];
            count_overdue(u, a, false);
            u.lost = u.lost.saturating_sub(u32::from(way.1));
            u.in_flight = u.in_flight.saturating_sub(u32::from(latency.is_none()));
        }
        if let Some(latency) = latency {
            // One answer is enough.
            let others = r.attempts.iter().enumerate().filter(|(k, a)| a.out && *k != usize::from(attempt));
            let cancelled = others.filter(|_| self.set.cancelling);
            let cancel = cancelled.map(|(k, _)| Action::Cancel { id, attempt: AttemptNo(k as u8) });
            self.out.extend(cancel);
            self.learn(upstream, class, Outcome::Ok, latency.as_secs_f64(), way);
        }
    }

    pub(crate) fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        latency: f64,
        finished: bool,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let (upstream, way, class, ended) = (a.upstream, (a.overdue, a.lost, a.idle), r.class, r.ended);
        let (streams, paid) = (a.streams, a.paid);
        if let Some(j) = self.index.get(&upstream).copied() {
            touch(&mut self.touched, self.ring.len(), j);
            let u = &mut self.ring[j];
            count_overdue(u, a, false);
            u.lost = u.lost.saturating_sub(u32::from(way.1));
            if streams {
                match outcome {
                    Outcome::Reset => u.breaks += 1,
                    Outcome::Ok | Outcome::Error => (u.breaks, u.alive_at) = (0, self.at),
                    _ => {}
                }
            }
        }
        let owed = !finished && !ended;
        let (others, deadline) = (r.attempts.iter().any(|a| a.out), r.deadline);
        if !streams {
            self.learn(upstream, class, outcome, latency, way);
        }
        if finished {
            self.end(id);
        } else if owed && !others {
            // A try that never ran adds no work to the fleet: it costs a tenth.
            let cost = if outcome.never_ran() { 0.1 } else { 1.0 };
            if !self.further(id, if paid { 0.0 } else { cost }) {
                self.give_up(id, deadline);
            }
        }
        if ended && !others {
            self.requests.remove(&id);
        }
    }

    /// The final answer when no attempt is out and none may follow: a refusal only if nothing can have run.
    fn give_up(&mut self, id: RequestId, deadline: f64) {
        let Some(r) = self.requests.remove(&id) else { return };
        let safe = r.effect == Effect::Idempotent;
        if safe || r.attempts.iter().all(|a| !a.may_have_run) {
            let left = (deadline - self.at).max(0.0);
            self.refuse(id, Duration::from_secs_f64(left.min(1e6)));
        } else {
            self.out.push(Action::Fail { id });
        }
    }

    /// The request is over: nothing more is sent for it; what is still out is called back.
    pub(crate) fn end(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let was_ended = std::mem::replace(&mut r.ended, true);
        if !was_ended && self.set.cancelling {
            for (k, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                self.out.push(Action::Cancel { id, attempt: AttemptNo(k as u8) });
            }
        }
        if r.attempts.iter().all(|a| !a.out) {
            self.requests.remove(&id);
        }
    }
}

/// Whether nobody may have a request any more: it may run once, and may have.
fn is_spent(r: &Request) -> bool {
    r.effect == Effect::AtMostOnce && r.attempts.iter().any(|a| a.out || a.may_have_run)
}
