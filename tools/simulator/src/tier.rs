//! Balancers: their policies, clocks and lists, and whether they live.

use crate::play::{Play, Policy, What};
use crate::policies::Maker;
use crate::trouble::Change;
use crate::world::World;
use maplehook_core::{
    Action, Availability, CellId, Endpoint, Event, KindId, UpdateScope, UpstreamId, ZoneId,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A balancer.
pub(crate) struct Member {
    pub(crate) zone: u8,
    policy: Policy,
    life: u32,
    alive: bool,
    /// The front gives it requests.
    used: bool,
    /// Its clock: ahead of the world's by this, and faster by this share.
    clock: (Duration, f64),
    /// Changes of the list that it has heard.
    heard: usize,
    /// When it was told that an upstream drains or is gone, in the world's time.
    told: Vec<Option<Duration>>,
}

impl Member {
    pub(crate) fn new(world: &World, index: usize, maker: &Maker<'_>, chance: &mut ChaCha8Rng) -> Self {
        let (shift, drift) = world.clocks;
        let clock = (shift.mul_f64(chance.random::<f64>()), drift * (2.0 * chance.random::<f64>() - 1.0));
        Self {
            zone: world.zone_of(index),
            policy: maker(world, index, world.seed.wrapping_mul(1_000_003).wrapping_add(index as u64)),
            life: 0,
            alive: true,
            used: true,
            clock,
            heard: 0,
            told: Vec::new(),
        }
    }

    /// A time span of the world's on its clock.
    pub(crate) fn on_its_clock(&self, span: Duration) -> Duration {
        if self.clock.1 == 0.0 { span } else { span.mul_f64(1.0 + self.clock.1) }
    }

    /// A time span of its clock's in the world.
    pub(crate) fn in_world(&self, span: Duration) -> Duration {
        if self.clock.1 == 0.0 { span } else { span.div_f64(1.0 + self.clock.1) }
    }

    pub(crate) fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        let now = self.clock.0 + self.on_its_clock(now);
        self.policy.handle(now, event, actions);
    }

    pub(crate) fn life(&self) -> u32 {
        self.life
    }

    pub(crate) fn lives(&self, life: u32) -> bool {
        self.alive && self.life == life
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.alive
    }

    pub(crate) fn is_used(&self) -> bool {
        self.used
    }

    /// The front has found out that it is dead.
    pub(crate) fn notice(&mut self, life: u32) {
        if !self.alive && self.life == life {
            self.used = false;
        }
    }

    /// When it was told that nothing new may go to an upstream, if so.
    pub(crate) fn told_off(&self, upstream: usize) -> Option<Duration> {
        self.told.get(upstream).copied().flatten()
    }

    fn hear(&mut self, now: Duration, change: &Change) {
        if self.told.len() <= change.upstream {
            self.told.resize(change.upstream + 1, None);
        }
        let off = change.availability != Availability::Ready;
        let told = &mut self.told[change.upstream];
        *told = if off { told.or(Some(now)) } else { None };
    }
}

impl Play<'_> {
    fn listed(&self, balancer: usize, upstream: usize, availability: Availability) -> Endpoint {
        let (station, member) = (&self.stations[upstream], &self.members[balancer]);
        // A start that was long ago is not told, as lists have it.
        let started = self.halls[upstream].started;
        Endpoint {
            id: UpstreamId(upstream as u64),
            zone: ZoneId(station.zone),
            kind: KindId(station.kind),
            cell: CellId(u16::from(station.zone)),
            availability,
            weight: station.servers as f64,
            started: started.map(|s| member.clock.0 + member.on_its_clock(s)),
        }
    }

    /// The list as a balancer has heard it.
    fn its_list(&self, balancer: usize) -> Vec<Endpoint> {
        let heard = &self.state.changes[..self.members[balancer].heard];
        let mut last: Vec<Availability> = vec![Availability::Ready; self.world.stations.len()];
        for change in heard {
            if last.len() <= change.upstream {
                last.resize(change.upstream + 1, Availability::Removed);
            }
            last[change.upstream] = change.availability;
        }
        let there = last.iter().enumerate().filter(|(_, a)| **a != Availability::Removed);
        there.map(|(n, a)| self.listed(balancer, n, *a)).collect()
    }

    /// A balancer starts with the list that it knew last.
    pub(crate) fn tell_cached(&mut self, balancer: usize) {
        let listed = self.its_list(balancer);
        self.tell(balancer, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &listed });
    }

    /// A change is on its way to all balancers.
    pub(crate) fn spread_news(&mut self) {
        let upto = self.state.changes.len() as u32;
        for balancer in 0..self.members.len() {
            let delay = self.world.discovery.delay.draw(&mut self.chance.ways) + self.state.stale;
            self.agenda.after(delay, What::News { balancer: balancer as u32, upto });
        }
    }

    /// News comes to a balancer: all that it has missed, in order.
    pub(crate) fn news(&mut self, now: Duration, balancer: usize, upto: usize) {
        if !self.members[balancer].is_alive() || self.members[balancer].heard >= upto {
            return;
        }
        if now < self.state.silent_until {
            let at = self.state.silent_until;
            self.agenda.at(at, What::News { balancer: balancer as u32, upto: upto as u32 });
            return;
        }
        let from = std::mem::replace(&mut self.members[balancer].heard, upto);
        let changes = self.state.changes[from..upto].to_vec();
        let mut listed: Vec<Endpoint> = Vec::new();
        for change in &changes {
            self.members[balancer].hear(now, change);
            // The last word on each.
            listed.retain(|l| l.id.0 != change.upstream as u64);
            listed.push(self.listed(balancer, change.upstream, change.availability));
        }
        self.tell(balancer, Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &listed });
    }

    /// A whole list comes: all that there is, or none at all.
    pub(crate) fn whole_list(&mut self, balancer: usize, life: u32, empty: bool) {
        if !self.members[balancer].lives(life) {
            return;
        }
        if empty {
            self.tell(balancer, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &[] });
            return;
        }
        let now = self.agenda.now();
        let from = std::mem::replace(&mut self.members[balancer].heard, self.state.changes.len());
        for change in &self.state.changes[from..] {
            self.members[balancer].hear(now, change);
        }
        let listed = self.its_list(balancer);
        self.tell(balancer, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &listed });
    }

    /// A balancer dies with all that it holds.
    pub(crate) fn dies(&mut self, now: Duration, balancer: usize) {
        if !std::mem::replace(&mut self.members[balancer].alive, false) {
            return;
        }
        let life = self.members[balancer].life;
        self.agenda.after(self.world.clients.notice, What::Noticed { balancer: balancer as u32, life });
        self.balancer_lost(now, balancer);
    }

    /// It is back, with nothing but its last list.
    pub(crate) fn is_back(&mut self, balancer: usize) {
        if self.members[balancer].alive {
            return;
        }
        let life = self.members[balancer].life + 1;
        let seed =
            self.world.seed.wrapping_mul(1_000_003).wrapping_add((life as u64) << 32 | balancer as u64);
        let policy = (self.maker)(self.world, balancer, seed);
        let member = &mut self.members[balancer];
        (member.policy, member.life, member.alive, member.used) = (policy, life, true, true);
        self.tell_cached(balancer);
        let delay = self.world.discovery.delay.draw(&mut self.chance.ways) + self.state.stale;
        let at = (self.agenda.now() + delay).max(self.state.silent_until);
        self.agenda.at(at, What::WholeList { balancer: balancer as u32, life, empty: false });
    }
}
