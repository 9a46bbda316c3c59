//! Policies: the decision module's own, and those of peers, from their public documentation. Peers here try a request
//! once; they keep the rules on final answers.

use lapisroute::{Action, Availability, Balancer, Class, Effect, Event, FleetScope, RequestId, UpstreamId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A policy: events in, actions out, as the decision module has them.
pub trait Decides {
    /// Takes in one event and adds what is to be done about it.
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>);
}

impl Decides for Balancer {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        Self::handle(self, now, event, actions);
    }
}

/// What peers have in common: the list, what is out, and final answers.
struct Plain {
    classes: Vec<Class>,
    ready: Vec<UpstreamId>,
    out: FxHashMap<UpstreamId, u32>,
    held: FxHashMap<RequestId, usize>,
}

impl Plain {
    fn new(classes: Vec<Class>) -> Self {
        Self { classes, ready: Vec::new(), out: FxHashMap::default(), held: FxHashMap::default() }
    }

    fn handle(
        &mut self,
        event: Event<'_>,
        actions: &mut Vec<Action>,
        choose: impl FnOnce(&[UpstreamId], &FxHashMap<UpstreamId, u32>) -> usize,
    ) {
        match event {
            Event::Fleet { scope, listed } => {
                if matches!(scope, FleetScope::Full | FleetScope::Cached) {
                    self.ready.clear();
                }
                for entry in listed {
                    self.ready.retain(|id| *id != entry.id);
                    if entry.availability == Availability::Ready {
                        self.ready.push(entry.id);
                    }
                }
            }
            Event::Request { id, class, .. } => {
                if self.ready.is_empty() {
                    actions.push(Action::Refuse { id, retry_after: None });
                    return;
                }
                let upstream = self.ready[choose(&self.ready, &self.out) % self.ready.len()];
                *self.out.entry(upstream).or_default() += 1;
                self.held.insert(id, usize::from(class.0));
                actions.push(Action::Attempt { id, upstream, timeout: None });
            }
            Event::AttemptEnded { id, upstream, outcome, finished, .. } => {
                if let Some(out) = self.out.get_mut(&upstream) {
                    *out = out.saturating_sub(1);
                }
                let Some(class) = self.held.remove(&id).filter(|_| !finished) else { return };
                let safe = self.classes.get(class).is_some_and(|c| c.effect == Effect::Idempotent);
                actions.push(if safe || outcome.never_ran() {
                    Action::Refuse { id, retry_after: None }
                } else {
                    Action::Fail { id }
                });
            }
            _ => {}
        }
    }
}

/// One after another.
pub struct RoundRobin {
    plain: Plain,
    next: usize,
}

impl RoundRobin {
    /// For these classes.
    pub fn new(classes: Vec<Class>) -> Self {
        Self { plain: Plain::new(classes), next: 0 }
    }
}

impl Decides for RoundRobin {
    fn handle(&mut self, _: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        let next = &mut self.next;
        self.plain.handle(event, actions, |_, _| {
            *next = next.wrapping_add(1);
            *next
        });
    }
}

/// Any.
pub struct RandomChoice {
    plain: Plain,
    chance: ChaCha8Rng,
}

impl RandomChoice {
    /// For these classes, by this seed.
    pub fn new(classes: Vec<Class>, seed: u64) -> Self {
        Self { plain: Plain::new(classes), chance: ChaCha8Rng::seed_from_u64(seed) }
    }
}

impl Decides for RandomChoice {
    fn handle(&mut self, _: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        let chance = &mut self.chance;
        self.plain.handle(event, actions, |ready, _| chance.random_range(0..ready.len()));
    }
}

/// Of two at random the one with fewer requests out (Envoy's least request with its default of two choices, for
/// upstreams of equal weight: Envoy's documentation, "Weighted least request").
pub struct LeastRequest {
    plain: Plain,
    chance: ChaCha8Rng,
}

impl LeastRequest {
    /// For these classes, by this seed.
    pub fn new(classes: Vec<Class>, seed: u64) -> Self {
        Self { plain: Plain::new(classes), chance: ChaCha8Rng::seed_from_u64(seed) }
    }
}

impl Decides for LeastRequest {
    fn handle(&mut self, _: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        let chance = &mut self.chance;
        self.plain.handle(event, actions, |ready, out| {
            let (a, b) = (chance.random_range(0..ready.len()), chance.random_range(0..ready.len()));
            let of = |n: usize| out.get(&ready[n]).copied().unwrap_or(0);
            if of(b) < of(a) { b } else { a }
        });
    }
}
