//! What is due: probes, gossip, words, denials, and calls to those who are away.

use crate::gossip::{Asked, GOSSIP, config};
use crate::identity::Identity;
use crate::interface::{Event, Output, PERIOD};
use crate::name::Name;
use crate::roster::State;
use crate::suspicion::Suspicion;
use crate::tier::{HEALTH_MOST, Tier};
use crate::wire::Envelope;
use foca::{State as Believed, Timer};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Between two looks at who is away, and at words.
const TICK: Duration = Duration::from_millis(100);
/// Between two bursts of words to others.
const BURST: Duration = Duration::from_millis(20);
/// After a probe that needed the help of others, the ways count as lossy for so long: probes and their answers are then
/// sent twice, the second time after a pause, since one datagram of 256 bytes in three that is lost would otherwise
/// bring more suspicions than such datagrams can deny.
const LOSSY: Duration = Duration::from_secs(10);
/// That pause.
const AGAIN: Duration = Duration::from_millis(40);
/// The most that wait for it.
const AGAIN_MOST: usize = 64;
/// Of those who hear that somebody is suspected, so many tell it that (Lifeguard's buddies): the sooner it can deny it.
const BUDDIES: f64 = 4.0;

impl Tier {
    /// Does what is due.
    pub fn poll(&mut self, now: Duration) {
        self.wake(now);
        let now = self.last;
        if self.silent {
            self.roster.pass(now);
            if self.tick_at <= now {
                self.tick_at = now + TICK;
            }
            self.burst_at = None;
            self.again.clear();
            self.denials = 0;
            return;
        }
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            // With nothing to tell it sends nothing, and would go through the whole list for it.
            let idle = matches!(timer, Timer::PeriodicGossip(_))
                && self.foca.updates_backlog() == 0
                && self.foca.custom_broadcast_backlog() == 0;
            if idle {
                self.next_timer += 1;
                self.timers.insert((now + GOSSIP, self.next_timer), timer);
            } else {
                self.fire(timer);
            }
        }
        let members = self.here + 1;
        let over: Vec<Name> = self
            .suspected
            .iter()
            .filter(|(_, (suspicion, ..))| suspicion.until(members, PERIOD) <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            if let Some((_, _, timer)) = self.suspected.remove(&name) {
                self.fire(timer);
            }
        }
        if self.tick_at <= now {
            self.tick_at = now + TICK;
            self.roster.pass(now);
            self.ear.borrow_mut().words.expire(now);
            self.unix_ms += TICK.as_millis() as u64;
            self.assert_claims(now);
            self.denied();
            let rng = &mut self.rng;
            for name in self.away.due(now, || rng.random::<f64>()) {
                let mut asked = Asked::default();
                let start = self.roster.start(&name).unwrap_or(0);
                // It fails for want of room alone, and there is room.
                let _ = self.foca.announce(Identity::bare(name, start), &mut asked);
                self.carry_out(asked);
            }
        }
        if self.denials > 0 && self.deny_at <= now {
            (self.denials, self.deny_at) = (self.denials - 1, now + GOSSIP / 2);
            let mut asked = Asked::default();
            // It fails for want of room alone, and there is room.
            let _ = self.foca.gossip(&mut asked);
            self.carry_out(asked);
        }
        while self.again.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, to, body)) = self.again.pop_front() {
                self.send(to, &body);
            }
        }
        if self.burst_at.is_some_and(|at| at <= now) {
            self.burst_at = None;
            let mut asked = Asked::default();
            let _ = self.foca.broadcast(&mut asked);
            self.carry_out(asked);
            if self.foca.custom_broadcast_backlog() > 0 {
                self.burst_at = Some(now + BURST.max(GOSSIP / 4));
            }
        }
    }

    fn fire(&mut self, timer: Timer<Identity>) {
        let probes = matches!(timer, Timer::ProbeRandomMember(_));
        let helped = matches!(timer, Timer::SendIndirectProbe { .. });
        let mut asked = Asked::default();
        // An incomplete probe cycle is one that a stop of this process has torn; the next one begins all the same.
        let _ = self.foca.handle_timer(timer, &mut asked);
        if helped && !asked.sends.is_empty() {
            self.lossy_until = self.last + LOSSY;
        }
        if probes {
            self.health = match asked.probes_failed {
                0 => self.health.saturating_sub(1),
                failed => (self.health + failed).min(HEALTH_MOST),
            };
        }
        self.carry_out(asked);
    }

    pub(crate) fn carry_out(&mut self, asked: Asked) {
        let Asked { sends, timers, up, renamed, renewed, .. } = asked;
        if let Some(start) = renewed {
            self.identity.start = start;
            self.counts.renewed += 1;
            self.outputs.push(Output::Happened(Event::Renewed(start)));
        }
        for identity in renamed {
            self.suspected.remove(&identity.name);
            self.roster.renamed(self.last, &identity);
        }
        for (identity, up) in up {
            let (name, start) = (identity.name.clone(), identity.start);
            if up {
                self.away.here(&name);
                self.roster.is(self.last, &identity, State::Alive);
                self.outputs.push(Output::Happened(Event::Up(name, start)));
            } else {
                self.suspected.remove(&name);
                self.away.gone(self.last, &name);
                let left = self.notes.borrow().has_left(&identity);
                let state = if left { State::Left } else { State::Dead };
                self.roster.is(self.last, &identity, state);
                self.outputs.push(Output::Happened(Event::Down(name, start, state)));
            }
        }
        if self.here != self.foca.num_members() {
            self.here = self.foca.num_members();
            // It is only refused where a period changes, and none does.
            let _ = self.foca.set_config(config(self.here + 1, &self.identity.name));
        }
        for (timer, after) in timers {
            self.schedule(timer, after);
        }
        for (to, body) in sends {
            if crate::wire::is_of_a_probe(&body)
                && self.last < self.lossy_until
                && self.again.len() < AGAIN_MOST
            {
                self.again.push_back((self.last + AGAIN, to.name.clone(), body.clone()));
            }
            self.send(to.name, &body);
        }
    }

    /// Whoever has denied it is suspected no more.
    fn denied(&mut self) {
        if self.suspected.is_empty() {
            return;
        }
        let still: BTreeMap<&Name, u16> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == Believed::Suspect)
            .map(|member| (&member.id().name, member.incarnation()))
            .collect();
        self.suspected.retain(|name, (suspicion, ..)| still.get(name) == Some(&suspicion.incarnation));
    }

    fn schedule(&mut self, timer: Timer<Identity>, after: Duration) {
        let after = match &timer {
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                let (name, incarnation) = (member_id.name.clone(), *incarnation);
                let own = self.identity.name.clone();
                match self.suspected.get_mut(&name) {
                    Some((known, of, _)) if of == member_id && known.incarnation == incarnation => {
                        known.confirm(&own);
                    }
                    _ => {
                        let suspicion = Suspicion::new(self.last, incarnation, own);
                        if self.rng.random::<f64>() * self.here as f64 <= BUDDIES {
                            let own_incarnation = self.notes.borrow().incarnation;
                            let body = crate::wire::suspicion(member_id, incarnation, own_incarnation);
                            self.send(name.clone(), &body);
                        }
                        self.suspected.insert(name, (suspicion, member_id.clone(), timer));
                    }
                }
                return;
            }
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => after * (1 + self.health),
            _ => after,
        };
        self.next_timer += 1;
        self.timers.insert((self.last + after, self.next_timer), timer);
    }

    pub(crate) fn send(&mut self, to: Name, body: &[u8]) {
        let number = self.numbers.entry(to.clone()).or_default();
        *number += 1;
        let envelope = Envelope { from: self.identity.clone(), to: to.clone(), number: *number };
        let datagram = envelope.around(body);
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        self.outputs.push(Output::Send(to, datagram));
    }
}
