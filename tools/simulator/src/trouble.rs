//! What faults do to a world that is being played.

use crate::faults::{Harm, Hit};
use crate::play::{Play, What, Where};
use crate::station::Life;
use crate::world::{Network, World};
use maplehook_core::{Availability, Outcome};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How long TCP waits at the least before it sends again what was lost (Linux, `TCP_RTO_MIN`).
const SENT_AGAIN: Duration = Duration::from_millis(200);

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) upstream: usize,
    pub(crate) availability: Availability,
}

/// What faults have made of the world.
pub(crate) struct State {
    /// All changes of the list, in order.
    pub(crate) changes: Vec<Change>,
    pub(crate) silent_until: Duration,
    pub(crate) stale: Duration,
    /// Cut ways, from zone to zone: how many faults cut the way there, and the way back.
    cuts: Vec<(u32, u32)>,
    zones: usize,
    loss: f64,
    delay: f64,
}

impl State {
    pub(crate) fn new(world: &World) -> Self {
        let zones = usize::from(world.zones);
        Self {
            changes: Vec::new(),
            silent_until: Duration::ZERO,
            stale: Duration::ZERO,
            cuts: vec![(0, 0); zones * zones],
            zones,
            loss: 0.0,
            delay: 1.0,
        }
    }

    /// Whether nothing gets from a balancer's zone to an upstream's.
    pub(crate) fn is_cut(&self, from: u8, to: u8) -> bool {
        self.cuts[usize::from(from) * self.zones + usize::from(to)].0 > 0
    }

    /// Whether no answer gets back.
    pub(crate) fn is_cut_back(&self, from: u8, to: u8) -> bool {
        self.cuts[usize::from(from) * self.zones + usize::from(to)].1 > 0
    }

    /// How long a message is on its way.
    pub(crate) fn way(
        &self,
        network: &Network,
        (from, to): (u8, u8),
        chance: &mut ChaCha8Rng,
    ) -> Option<Duration> {
        let way = if from == to { &network.near } else { &network.far };
        let mut takes = way.draw(chance).mul_f64(self.delay);
        if self.loss > 0.0 {
            let mut again = SENT_AGAIN;
            // Each loss doubles the wait; a few at the most.
            for _ in 0..6 {
                if chance.random::<f64>() >= self.loss {
                    return Some(takes);
                }
                takes += again;
                again *= 2;
            }
            return None;
        }
        Some(takes)
    }
}

impl Play<'_> {
    fn change(&mut self, upstream: usize, availability: Availability) {
        self.state.changes.push(Change { upstream, availability });
        self.spread_news();
    }

    /// A fault begins.
    pub(crate) fn hit(&mut self, now: Duration, number: usize) {
        let Hit { until, fault, targets, .. } = self.hits[number].clone();
        let harm = self.world.faults[fault].what.clone();
        for n in &targets {
            self.harm(now, *n, &harm, until);
        }
        match harm {
            Harm::Cut { from, to, one_way } => self.cut(from, to, one_way, true),
            Harm::Loss(share) => self.state.loss = share.clamp(0.0, 0.99),
            Harm::Delay(factor) => self.state.delay = factor.max(0.0),
            Harm::DiscoveryOut => self.state.silent_until = self.state.silent_until.max(until),
            Harm::DiscoveryStale(more) => self.state.stale += more,
            Harm::DiscoveryEmpty => self.whole_lists(true),
            _ => {}
        }
        self.agenda.at(until.max(now), What::Over(number as u32));
    }

    fn harm(&mut self, now: Duration, n: usize, harm: &Harm, until: Duration) {
        if *harm == Harm::Restart {
            return self.dies(now, n);
        }
        if self.halls[n].fell || self.halls[n].life != Life::Up {
            return;
        }
        match harm {
            Harm::Crash => self.goes_down(now, n, Life::Down),
            Harm::Vanish => self.goes_down(now, n, Life::Silent),
            Harm::Pause => self.halls[n].frozen_until = self.halls[n].frozen_until.max(until),
            Harm::Slow(factor) => self.halls[n].slow *= factor.max(1e-3),
            Harm::Errors(share) => self.halls[n].errors = share.clamp(0.0, 1.0),
            Harm::Deploy => {
                self.change(n, Availability::Draining);
                let successor = Some(until.saturating_sub(now));
                let what = What::Leaves { upstream: n as u32, successor };
                self.agenda.after(self.world.discovery.grace, what);
            }
            Harm::Flap => self.change(n, Availability::Removed),
            _ => {}
        }
    }

    /// A fault is over.
    pub(crate) fn over(&mut self, now: Duration, number: usize) {
        let Hit { fault, targets, .. } = self.hits[number].clone();
        let harm = self.world.faults[fault].what.clone();
        for n in &targets {
            match harm {
                Harm::Crash | Harm::Vanish => self.is_up(now, *n),
                Harm::Slow(factor) => self.halls[*n].slow /= factor.max(1e-3),
                Harm::Errors(_) => self.halls[*n].errors = 0.0,
                Harm::Flap if self.halls[*n].life == Life::Up => self.change(*n, Availability::Ready),
                Harm::Restart => self.is_back(*n),
                _ => {}
            }
        }
        match harm {
            Harm::Cut { from, to, one_way } => self.cut(from, to, one_way, false),
            Harm::Loss(_) => self.state.loss = 0.0,
            Harm::Delay(_) => self.state.delay = 1.0,
            Harm::DiscoveryStale(more) => self.state.stale = self.state.stale.saturating_sub(more),
            Harm::DiscoveryEmpty => self.whole_lists(false),
            _ => {}
        }
    }

    fn cut(&mut self, from: u8, to: u8, one_way: bool, begins: bool) {
        let zones = self.state.zones;
        let (there, back) = &mut self.state.cuts[usize::from(from) * zones + usize::from(to)];
        let step = |n: &mut u32| *n = if begins { *n + 1 } else { n.saturating_sub(1) };
        step(there);
        if !one_way {
            step(back);
        }
    }

    fn whole_lists(&mut self, empty: bool) {
        for balancer in 0..self.members.len() {
            let life = self.members[balancer].life();
            let delay = self.world.discovery.delay.draw(&mut self.chance.ways);
            self.agenda.after(delay, What::WholeList { balancer: balancer as u32, life, empty });
        }
    }

    /// A process ends, or its machine vanishes, with all that it has in hand.
    pub(crate) fn goes_down(&mut self, now: Duration, n: usize, life: Life) {
        self.halls[n].life = life;
        self.ways.cut(n as u32, self.members.len());
        for (id, no) in self.halls[n].lose_all() {
            let Some(request) = self.requests.get_mut(id) else { continue };
            let attempt = &mut request.attempts[usize::from(no)];
            attempt.at = Where::Over;
            let out = attempt.out;
            if life == Life::Down && out {
                self.returns(id, no, Outcome::Reset);
            } else if !out {
                self.tidy(id);
            }
        }
        // What was out on its way meets a closed port, or nothing.
        self.report.note(now, n as u64 | 1 << 56);
        self.change(n, Availability::Removed);
    }

    /// A process starts again, cold.
    fn is_up(&mut self, now: Duration, n: usize) {
        if self.halls[n].fell || self.halls[n].life == Life::Up {
            return;
        }
        self.halls[n].life = Life::Up;
        self.halls[n].started = Some(now);
        self.change(n, Availability::Ready);
    }

    /// A process that was told to drain ends; its successor comes later.
    pub(crate) fn leaves(&mut self, now: Duration, n: usize, successor: Option<Duration>) {
        if self.halls[n].life == Life::Up {
            self.goes_down(now, n, Life::Down);
        }
        // It never comes back: another takes its place.
        self.halls[n].fell = true;
        if let Some(after) = successor {
            self.agenda.after(after, What::Succeeds(n as u32));
        }
    }

    /// A new process takes the place of one that has ended.
    pub(crate) fn succeeds(&mut self, now: Duration, before: usize) {
        let station = self.stations[before].clone();
        let n = self.add_upstream(station, now);
        self.change(n, Availability::Ready);
    }
}
