//! What peers have in common: the list, what is out, further tries, final answers. They keep the rules as far as one
//! proxy alone can: a class that may not run twice is sent again only when it never ran.

use super::Decides;
use maplehook_core::{
    Action, Availability, Class, Effect, Event, Outcome, RequestId, TimerId, UpdateScope, UpstreamId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::time::Duration;

/// An upstream as a peer sees it.
pub(crate) struct Endpoint {
    pub(crate) id: UpstreamId,
    pub(crate) weight: f64,
    pub(crate) out: u32,
    /// Failures in a row.
    pub(crate) faults: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Duration,
    /// Peak EWMA of its latency in seconds, and when it was last brought up to date.
    pub(crate) ewma: f64,
    pub(crate) stamp: Duration,
    ready: bool,
}

/// All that are listed.
#[derive(Default)]
pub(crate) struct Endpoints {
    pub(crate) all: Vec<Endpoint>,
    /// Those that take requests, as positions in `all`.
    pub(crate) ready: Vec<usize>,
    index: FxHashMap<UpstreamId, usize>,
    /// Until then at least one is ejected.
    any_ejected_until: Duration,
    /// Changes whenever `ready` does.
    pub(crate) version: u64,
}

impl Endpoints {
    fn hear(&mut self, scope: UpdateScope, listed: &[maplehook_core::Endpoint]) {
        if scope == UpdateScope::Failed {
            return;
        }
        if scope != UpdateScope::Changes {
            self.all.iter_mut().for_each(|e| e.ready = false);
        }
        for entry in listed {
            let at = *self.index.entry(entry.id).or_insert_with(|| {
                self.all.push(Endpoint {
                    id: entry.id,
                    weight: 1.0,
                    out: 0,
                    faults: 0,
                    ejections: 0,
                    ejected_until: Duration::ZERO,
                    ewma: 0.0,
                    stamp: Duration::ZERO,
                    ready: false,
                });
                self.all.len() - 1
            });
            let endpoint = &mut self.all[at];
            endpoint.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            endpoint.ready = entry.availability == Availability::Ready;
        }
        let ready = self.all.iter().enumerate().filter(|(_, e)| e.ready);
        self.ready = ready.map(|(n, _)| n).collect();
        self.version += 1;
    }

    /// Ejects one until then.
    pub(crate) fn eject(&mut self, at: usize, until: Duration) {
        self.all[at].ejections += 1;
        self.all[at].ejected_until = until;
        self.any_ejected_until = self.any_ejected_until.max(until);
    }

    /// How many of those that are ready are ejected.
    pub(crate) fn ejected(&self, now: Duration) -> usize {
        if self.any_ejected_until <= now {
            return 0;
        }
        self.ready.iter().filter(|n| self.all[**n].ejected_until > now).count()
    }
}

/// A request that has no final answer yet.
pub(crate) struct Held {
    pub(crate) class: usize,
    pub(crate) tenant: u32,
    pub(crate) tried: SmallVec<[usize; 2]>,
    may_have_run: bool,
    further: bool,
}

/// What makes one peer unlike another.
pub(crate) trait Pick {
    /// Whether a request is let in.
    fn admits(&mut self, _now: Duration, _tenant: u32, _out: usize) -> bool {
        true
    }

    /// The endpoint for a request, as a position in `all`; `None`: it waits, where there is a queue.
    fn pick(&mut self, now: Duration, to: &Endpoints, held: &Held, chance: &mut ChaCha8Rng) -> Option<usize>;

    /// An attempt went out.
    fn sent(&mut self, _to: &Endpoints, _at: usize) {}

    /// An attempt has ended.
    fn learns(
        &mut self,
        _now: Duration,
        _to: &mut Endpoints,
        _at: usize,
        _outcome: Outcome,
        _took: Duration,
    ) {
    }
}

/// What a peer's operator sets.
#[derive(Clone, Copy)]
pub(crate) struct Manner {
    /// Further attempts of a request.
    pub(crate) retries: usize,
    /// Of all that is out, the share that may be further attempts, three at least; 0: no bound.
    pub(crate) budget: f64,
    /// Requests that may wait for an endpoint, and for how long at the most.
    pub(crate) queue: usize,
    pub(crate) queue_time: Duration,
}

impl Manner {
    pub(crate) const PLAIN: Self = Self { retries: 0, budget: 0.0, queue: 0, queue_time: Duration::ZERO };
}

/// A peer.
pub(crate) struct Peer<P> {
    classes: Vec<Class>,
    manner: Manner,
    to: Endpoints,
    held: FxHashMap<RequestId, Held>,
    waiting: VecDeque<RequestId>,
    out: usize,
    further: usize,
    chance: ChaCha8Rng,
    pick: P,
}

impl<P: Pick> Peer<P> {
    pub(crate) fn new(classes: Vec<Class>, manner: Manner, seed: u64, pick: P) -> Self {
        Self {
            classes,
            manner,
            to: Endpoints::default(),
            held: FxHashMap::default(),
            waiting: VecDeque::new(),
            out: 0,
            further: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            pick,
        }
    }

    /// Sends a request somewhere, or has it wait, or refuses it.
    fn send(&mut self, now: Duration, id: RequestId, left: Duration, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        match self.pick.pick(now, &self.to, held, &mut self.chance) {
            Some(at) => {
                held.tried.push(at);
                self.to.all[at].out += 1;
                self.out += 1;
                self.pick.sent(&self.to, at);
                actions.push(Action::Attempt { id, upstream: self.to.all[at].id, timeout: None });
            }
            None if self.waiting.len() < self.manner.queue && !self.to.ready.is_empty() => {
                self.waiting.push_back(id);
                let after = self.manner.queue_time.min(left.mul_f64(0.8));
                actions.push(Action::Timer { after, timer: TimerId(id.0) });
            }
            None => self.give_up(id, actions),
        }
    }

    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.remove(&id) else { return };
        self.further -= usize::from(held.further);
        let safe = self.classes[held.class].effect == Effect::Idempotent;
        actions.push(if safe || !held.may_have_run {
            Action::Reject { id, retry_after: None }
        } else {
            Action::Fail { id }
        });
    }

    /// Whether a request may be sent once more.
    fn again(&mut self, id: RequestId, never_ran: bool) -> bool {
        let (out, further, manner) = (self.out, self.further, self.manner);
        let Some(held) = self.held.get_mut(&id) else { return false };
        let safe = self.classes[held.class].effect == Effect::Idempotent;
        let allowed = safe || (never_ran && !held.may_have_run);
        let spare = manner.budget <= 0.0 || further < 3 || (further as f64) < manner.budget * out as f64;
        if !allowed || held.tried.len() > manner.retries || !spare {
            return false;
        }
        self.further += usize::from(!std::mem::replace(&mut held.further, true));
        true
    }
}

impl<P: Pick> Decides for Peer<P> {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { scope, endpoints } => self.to.hear(scope, endpoints),
            Event::Request { id, class, tenant, time_left, .. } => {
                let class = usize::from(class.0);
                if class >= self.classes.len() || !self.pick.admits(now, tenant.0, self.out) {
                    actions.push(Action::Reject { id, retry_after: None });
                    return;
                }
                let tried = SmallVec::new();
                let held = Held { class, tenant: tenant.0, tried, may_have_run: false, further: false };
                self.held.insert(id, held);
                self.send(now, id, time_left, actions);
            }
            Event::AttemptEnded { id, upstream, outcome, latency, is_finished: finished, .. } => {
                if let Some(at) = self.to.index.get(&upstream).copied() {
                    self.to.all[at].out = self.to.all[at].out.saturating_sub(1);
                    self.pick.learns(now, &mut self.to, at, outcome, latency);
                }
                self.out = self.out.saturating_sub(1);
                if finished {
                    if let Some(held) = self.held.remove(&id) {
                        self.further -= usize::from(held.further);
                    }
                } else if let Some(held) = self.held.get_mut(&id) {
                    held.may_have_run |= !outcome.never_ran();
                    // What has run into its deadline has no time left.
                    if outcome != Outcome::TimedOut && self.again(id, outcome.never_ran()) {
                        self.send(now, id, Duration::MAX, actions);
                    } else {
                        self.give_up(id, actions);
                    }
                }
                while let Some(next) = self.waiting.pop_front() {
                    if !self.held.contains_key(&next) {
                        continue;
                    }
                    let before = actions.len();
                    let held = &self.held[&next];
                    if self.pick.pick(now, &self.to, held, &mut self.chance).is_none() {
                        self.waiting.push_front(next);
                        break;
                    }
                    self.send(now, next, Duration::MAX, actions);
                    if actions.len() == before {
                        break;
                    }
                }
            }
            Event::RequestCancelled { id } => {
                if let Some(held) = self.held.remove(&id) {
                    self.further -= usize::from(held.further);
                }
            }
            Event::Timer { timer } => {
                let id = RequestId(timer.0);
                if let Some(at) = self.waiting.iter().position(|w| *w == id) {
                    self.waiting.remove(at);
                    self.give_up(id, actions);
                }
            }
            _ => {}
        }
    }
}

/// One of those that are ready, at random, that no attempt of this request went to; any, where that fails.
pub(crate) fn any(to: &Endpoints, held: &Held, chance: &mut ChaCha8Rng) -> Option<usize> {
    if to.ready.is_empty() {
        return None;
    }
    let mut at = to.ready[chance.random_range(0..to.ready.len())];
    for _ in 0..3 {
        if !held.tried.contains(&at) {
            break;
        }
        at = to.ready[chance.random_range(0..to.ready.len())];
    }
    Some(at)
}
