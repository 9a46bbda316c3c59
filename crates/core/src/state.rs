//! What a balancer keeps: plain data, filled and read by the files of decisions. Times are seconds; no decisions.

use crate::interface::{Action, CellId, Effect, RequestId, Settings, UpstreamId, ZoneId};
use crate::shares::Tables;
use crate::sight::Sight;
use crate::stats::Chance;
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// One balancer's decisions. See the crate's page for its use.
#[derive(Default)]
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) now: Duration, // of the event in hand
    pub(crate) at: f64,       // the same in seconds
    pub(crate) out: Vec<Action>,
    pub(crate) rng: Chance,
    pub(crate) ring: Vec<Upstream>, // all that are listed
    pub(crate) index: FxHashMap<UpstreamId, usize>,
    pub(crate) turns: Vec<usize>,   // the subset, in this balancer's own order
    pub(crate) touched: Vec<usize>, // of the ring: something was sent or came back since they were weighed
    pub(crate) weighed: usize,      // the turn up to which all have been weighed in this round
    pub(crate) sums: Sums,
    pub(crate) facts: Facts,
    pub(crate) shortest: f64, // aim
    pub(crate) subset_least: usize,
    pub(crate) choose_at: f64,              // when the subset is looked at again
    pub(crate) rings: Vec<Ring>,            // of the turns: one, or with shares one a zone
    pub(crate) tables: Option<Box<Tables>>, // the shares in force
    pub(crate) sight: Sight,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) silent: [f64; 2], // share of attempts never answered, on connections in use and on idle ones
    pub(crate) breaks: f64, // how often one more connection breaks after one has, at those that do answer
    pub(crate) reap: f64,   // idle time after which a connection may be dead
    pub(crate) reap_until: f64,
    pub(crate) due: BTreeSet<(Duration, RequestId, u8)>, // when attempts out become overdue
    pub(crate) buckets: Vec<Bucket>,
    pub(crate) classes: Vec<Learned>,
    pub(crate) rate: f64,     // C for each unit of turn weight
    pub(crate) done: f64,     // completions of the running tick
    pub(crate) rate_now: f64, // completions a second, smoothed
    pub(crate) room: f64,     // W
    pub(crate) spill: f64,    // how far requests are let into other zones, for want of room in this one
    pub(crate) asked: f64,    // requests of late, and how many of them were refused on arrival
    pub(crate) turned: f64,
    pub(crate) busy: f64, // share of the upstreams' cores in use, by their reports
    pub(crate) busy_at: f64,
    pub(crate) retries: f64,
    pub(crate) sent_at: f64, // the newest attempt
    pub(crate) ticking: bool,
    pub(crate) last_tick: f64,
    pub(crate) watching: bool,
    pub(crate) ask_at: f64,
    pub(crate) asked_at: f64, // when the last call was made
    pub(crate) ask_failures: u32,
}

impl Balancer {
    /// Mean latency over the classes as they are admitted.
    pub(crate) fn latency(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|l| l.share).sum();
        self.classes.iter().map(|l| l.latency * l.share).sum::<f64>() / shares.max(1e-9)
    }

    /// Entries of state held: upstreams, requests, attempts to look after. Bounded: see the tests.
    pub fn entries(&self) -> usize {
        self.ring.len() + self.index.len() + self.requests.len() + self.due.len()
    }

    /// How many are ejected for a class of those that take turns with an upstream, and how many these are: all, or with
    /// shares those of its zone, since no other can take what goes there.
    pub(crate) fn out_beside(&self, id: UpstreamId, class: usize) -> (usize, usize) {
        let Some(tables) = &self.tables else { return (self.classes[class].out, self.turns.len()) };
        let zone = self.index.get(&id).map_or(ZoneId::default(), |j| self.ring[*j].zone);
        let ring = self.rings.get(usize::from(tables.ring_of[usize::from(zone.0)]));
        let turns = ring.map_or(&[][..], |r| &self.turns[r.start..r.start + r.len]);
        (turns.iter().filter(|j| self.ring[**j].health[class].ejected).count(), turns.len())
    }

    /// How many upstreams are listed, and how many of them get nothing now: they drain, or are ejected.
    pub fn listed(&self) -> (usize, usize) {
        let listed = || self.ring.iter().filter(|u| u.ready || u.draining);
        let spare = self.facts.spare_ejections;
        let avoided = |u: &&Upstream| u.draining || (u.ejected_until > self.at && spare);
        (listed().count(), listed().filter(avoided).count())
    }
}

/// An upstream as one balancer sees it.
#[derive(Default)]
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) ready: bool,
    pub(crate) draining: bool,
    pub(crate) member: bool,         // of the subset that takes turns
    pub(crate) fresh: bool,          // new, restarted or back from ejection since the subset was last chosen
    pub(crate) size: f64,            // listed size; with live weights the largest seen
    pub(crate) started: Option<f64>, // begins the climb from cold; None: long warm
    pub(crate) in_flight: u32,       // q_j: this balancer's own
    pub(crate) overdue: u32,         // of these, out for longer than usual
    pub(crate) lost: u32,            // of these, passed by others: they hold nothing there
    pub(crate) ghosts: f64, // given up, and perhaps still at work there; fading over the shortest aim
    pub(crate) held: f64,   // what others hold there, by the latest report
    pub(crate) held_at: f64,
    pub(crate) pace: f64,     // mean of latency over what is usual for the class
    pub(crate) seen: f64,     // answers behind it, fading
    pub(crate) breaks: u32,   // connections broken since the last answer
    pub(crate) alive_at: f64, // of that answer, whatever it was
    pub(crate) ejections: u32,
    pub(crate) ejected_until: f64,
    pub(crate) health: Vec<Health>, // by class
    pub(crate) used_at: f64,        // something was sent or came back last
    pub(crate) capacity: f64,       // share of a full-size upstream's work it can do now
    pub(crate) weight: f64,         // turns it gets each round of the ring
    pub(crate) credit: f64,         // turns earned and not taken
    pub(crate) weighed_at: f64,
    pub(crate) waited: f64, // since turns were earned by the clock
    pub(crate) part: Sums,  // in the sums
}

/// A round robin over a part of the turns.
#[derive(Default)]
pub(crate) struct Ring {
    pub(crate) start: usize,
    pub(crate) len: usize,
    pub(crate) sigma: usize,           // its counter
    pub(crate) ahead: VecDeque<usize>, // the turns after it
}

impl Ring {
    /// Its turns, the next first.
    pub(crate) fn order<'a>(&self, turns: &'a [usize]) -> impl Iterator<Item = usize> + use<'a> {
        let (start, len, sigma) = (self.start, self.len, self.sigma);
        (1..=len).map(move |k| turns[start + (sigma + k) % len])
    }
}

/// What the upstreams that take turns come to together.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sums {
    pub(crate) weights: f64,
    pub(crate) free: f64, // of the weights, what is not overdue
    pub(crate) held: f64,
    pub(crate) warm: f64, // how many are
    pub(crate) warm_rate: f64,
}

impl Sums {
    pub(crate) fn plus(&self, part: &Self, times: f64) -> Self {
        Self {
            weights: self.weights + times * part.weights,
            free: self.free + times * part.free,
            held: self.held + times * part.held,
            warm: self.warm + times * part.warm,
            warm_rate: self.warm_rate + times * part.warm_rate,
        }
    }
}

/// What the upstreams that take turns have in common.
#[derive(Clone, Copy, Default)]
pub(crate) struct Facts {
    pub(crate) largest: f64,
    pub(crate) spare_ejections: bool,
    pub(crate) near_ready: bool,
}

/// What one class has met at one upstream.
#[derive(Clone, Default)]
pub(crate) struct Health {
    pub(crate) faults: u32, // since the last answer
    pub(crate) answered: f64,
    pub(crate) passed: f64,   // when the newest of those answered was sent
    pub(crate) sent: f64,     // when the newest was
    pub(crate) ejected: bool, // for this class
    pub(crate) tried: f64,    // then or by a trial since
}

/// One send of a request.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent: f64,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
    pub(crate) overdue: bool,
    pub(crate) counted: bool, // among those of its upstream
    pub(crate) lost: bool,
    pub(crate) paid: bool,    // called back, and the one that follows is paid for
    pub(crate) streams: bool, // and holds no place in a queue
    pub(crate) idle: f64,     // how long its connection had not been used
}

/// A request held, or ended with attempts still out.
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) effect: Effect, // the strictest that its class has had since it came
    pub(crate) attempts_most: u8, // the fewest allowed since then
    pub(crate) worth_until: f64, // an answer after this earns nothing
    pub(crate) deadline: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) ended: bool,
    pub(crate) streaming: bool,
}

/// The token bucket of a tenant.
pub(crate) struct Bucket {
    pub(crate) tokens: f64,    // mu_i
    pub(crate) arrivals: f64,  // V_i of the running tick
    pub(crate) demand: f64,    // V_i a second, smoothed
    pub(crate) part: f64,      // this balancer's equal part of the tenant's allowance, a second
    pub(crate) guarantee: f64, // u_g_i a second
    pub(crate) gone: bool,     // there is no such tenant any more
}

/// What was learned of a class of requests.
#[derive(Default)]
pub(crate) struct Learned {
    pub(crate) latency: f64, // mean of the class's attempts
    pub(crate) answers: f64, // of those answered
    pub(crate) least: f64,   // what the mean has come down to when little was held; it creeps up
    pub(crate) at: f64,      // of the latest of them
    pub(crate) usual: f64,   // the quantile USUAL of them
    pub(crate) share: f64,   // of the admitted
    pub(crate) out: usize,   // upstreams in the ring that are ejected for the class
    pub(crate) trials: u32,  // without success, of upstreams ejected for the class
    pub(crate) trial_at: f64,
}

/// Counts an attempt in among the overdue of its upstream, or out: once each, whatever comes in between.
pub(crate) fn count_overdue(u: &mut Upstream, a: &mut Attempt, counts: bool) {
    let was = std::mem::replace(&mut a.counted, counts);
    u.overdue = (u.overdue + u32::from(counts)).saturating_sub(u32::from(was));
}

/// Something was sent to an upstream, or came back: it is weighed at the next tick. Past as many as there
/// are, all of them will be.
pub(crate) fn touch(touched: &mut Vec<usize>, most: usize, j: usize) {
    if touched.len() <= most {
        touched.push(j);
    }
}

/// The share of its work that an upstream can do by its climb from cold.
pub(crate) fn climb(set: &Settings, at: f64, u: &Upstream) -> f64 {
    let cold_from = set.cold_from.min(1.0);
    u.started.map_or(1.0, |s| {
        let share = ((at - s) / set.cold_time.as_secs_f64().max(1e-6)).clamp(0.0, 1.0);
        cold_from + (1.0 - cold_from) * share
    })
}

/// What each balancer gets of all that the tenants are granted, a second.
pub(crate) fn stated_each(set: &Settings) -> f64 {
    let stated: f64 = set.tenants.iter().map(|t| t.allowance_per_s).filter(|a| a.is_finite()).sum();
    stated.max(1.0) / f64::from(set.balancers)
}

/// The shortest aim.
pub(crate) fn shortest(set: &Settings) -> f64 {
    set.classes.iter().map(|c| c.aim.as_secs_f64()).fold(f64::INFINITY, f64::min)
}
