//! The decisions of a balancer: what becomes of an event, and the tick. `grant.rs` has admission, `turns.rs`
//! the round robin, `zones.rs` the draw of zones, `attempts.rs` what is sent, `learning.rs` what is made of
//! outcomes, `subset.rs` the list. Types, events and actions stand in `interface.rs`.
//!
//! The ordinary path is the paper's: every tick refills one token bucket a tenant by a guaranteed rate and a
//! share, in proportion to demand, of the spare room W of the upstreams; a request that finds a token is
//! admitted, any other refused on arrival; admitted requests take turns round robin over the ready upstreams,
//! skipping one that holds clearly more than the next ones. Everything else here is an exception to that path
//! and says what it guards against. Times are seconds.

use crate::attempts::{RETRY_SAVED, RETRY_SHARE};
use crate::grant::{bucket, unlearned};
use crate::heritage::Heritage;
use crate::interface::*;
use crate::state::{Balancer, Health, Request, Ring, shortest, stated_each};
use crate::stats::Chance;
use crate::subset::subset_least;
use std::time::Duration;

/// Seconds between refills: short against any aim, long against one look over the fleet.
pub(crate) const TICK: f64 = 0.025;
/// Share of the aim after which an attempt whose late answer is worth nothing is given up.
const AIM_LEFT: f64 = 0.98;
/// Seconds with no attempt, and requests refused in one, after which one goes with no token: to tell of room.
const UNSENT: (f64, f64) = (2.5, 2.0);
/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(0);

impl Balancer {
    /// A balancer with these settings; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let count = set.tenants.len().max(1);
        Ok(Self {
            subset_least: subset_least(&set),
            rng: Chance::with_seed(seed),
            buckets: (0..count).map(|i| bucket(&set, i)).collect(),
            classes: set.classes.iter().map(unlearned).collect(),
            rate_now: stated_each(&set),
            shortest: shortest(&set),
            set,
            busy_at: f64::NEG_INFINITY,
            retries: RETRY_SAVED,
            rings: vec![Ring::default()],
            ..Self::default()
        })
    }

    /// Takes in one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.out, actions);
        (self.now, self.at) = (now, now.as_secs_f64());
        if !std::mem::replace(&mut self.ticking, true) {
            self.last_tick = self.at;
            self.ask_at = self.at + asking::first_call(self.set.ask_every).as_secs_f64() * self.rng.f64();
            let after = Duration::from_secs_f64(TICK * self.rng.f64());
            self.out.push(Action::Timer { after, timer: TICK_TIMER });
        }
        match event {
            Event::Fleet { scope, listed } => self.fleet(scope, listed),
            Event::FleetMoved => (self.watching, self.ask_failures, self.ask_at) = (false, 0, self.at),
            Event::Request { id, class, tenant, time_left, .. } => {
                self.request(id, usize::from(class.0), tenant.0 as usize, time_left);
            }
            Event::StreamStarted { id, attempt, latency } => self.stream_started(id, attempt.0, latency),
            Event::AttemptEnded { id, attempt, upstream, outcome, latency, finished, report } => {
                self.report(upstream, report);
                self.attempt_ended(id, attempt.0, outcome, latency.as_secs_f64(), finished);
            }
            Event::RequestGone { id } => self.end(id),
            Event::ProbeEnded { upstream, report, .. } => self.report(upstream, report),
            Event::Inherited { heritage } => self.inherit(heritage),
            Event::Retuned { settings, gone } => self.retune(settings, gone),
            Event::Shares { shares } => self.share(shares),
            Event::Timer { timer: TICK_TIMER } => self.tick(),
            Event::Timer { .. } => {}
        }
        std::mem::swap(&mut self.out, actions);
    }

    /// A request is admitted when its tenant's bucket has a token for it, else refused on arrival.
    fn request(&mut self, id: RequestId, class: usize, tenant: usize, left: Duration) {
        if class >= self.classes.len() {
            self.out.push(Action::Fail { id });
            return;
        }
        let tenant = tenant.min(self.buckets.len() - 1);
        let bucket = &mut self.buckets[tenant];
        bucket.arrivals += 1.0;
        self.asked += 1.0;
        let may = bucket.tokens >= 1.0 || (self.at > self.sent_at + UNSENT.0 && self.turned > UNSENT.1);
        let turn = may.then(|| self.turn(class, tenant)).flatten();
        if let Some(tables) = &self.tables {
            self.sight.asked(tables.row(class, tenant), turn.is_none());
        }
        let Some(turn) = turn else {
            self.turned += 1.0;
            self.refuse(id, left);
            return;
        };
        self.buckets[tenant].tokens = (self.buckets[tenant].tokens - 1.0).max(0.0);
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        for (k, learned) in self.classes.iter_mut().enumerate() {
            learned.share += 0.01 * (f64::from(u8::from(k == class)) - learned.share);
        }
        let deadline = self.at + left.as_secs_f64();
        let c = &self.set.classes[class];
        let lasts = c.late_worth > 0.0 || c.aim_stretch > 0.0 || c.streamed;
        let aim = self.at + AIM_LEFT * c.aim.as_secs_f64();
        let worth_until = if lasts { deadline } else { deadline.min(aim) };
        let request = Request {
            class,
            tenant,
            effect: c.effect,
            attempts_most: self.set.max_attempts,
            worth_until,
            deadline,
            attempts: Vec::new(),
            ended: false,
            streaming: false,
        };
        self.requests.insert(id, request);
        self.send(id, turn);
    }

    /// A refusal always tells when to come back. The moment is spread by the request's own number, so that
    /// those refused together do not return together.
    pub(crate) fn refuse(&mut self, id: RequestId, left: Duration) {
        let longest = self.set.max_retry_after.min(left / 2);
        let retry_after = longest.mul_f64(0.5 + 0.5 * Chance::with_seed(u64::from(id.0)).f64());
        self.out.push(Action::Refuse { id, retry_after: Some(retry_after) });
    }

    /// Goes on where the process before this one stands: else every replacement would open the ramp of a cold
    /// upstream and fill every bucket anew, and learn the same again at the clients' cost.
    fn inherit(&mut self, heritage: &Heritage) {
        if let Some((rate, rate_now)) = heritage.rates {
            // One that had nothing to do has learned nothing that a fresh start does not grant.
            (self.rate, self.rate_now) = (rate.max(self.rate), rate_now.max(self.rate_now));
        }
        let classes = self.set.classes.iter().zip(&mut self.classes).zip(&heritage.classes);
        for ((c, l), h) in classes.filter_map(|(both, h)| Some((both, (*h)?))) {
            let aim = c.aim.as_secs_f64();
            (l.latency, l.answers) = (h.latency.min(2.0 * aim), h.answers.min(2.0 * aim));
            (l.least, l.usual) = (h.least.min(2.0 * aim), h.usual.clamp(2.0 * TICK, aim.max(2.0 * TICK)));
            (l.share, l.at) = (h.share.min(1.0), self.at);
        }
        for (b, h) in self.buckets.iter_mut().zip(&heritage.tenants).filter_map(|(b, h)| Some((b, (*h)?))) {
            (b.tokens, b.demand) = (h.tokens.min(b.tokens), h.demand);
        }
        for h in &heritage.upstreams {
            let Some(u) = self.index.get(&h.id).map(|j| &mut self.ring[*j]) else { continue };
            if let Some(cold) = h.cold_for.filter(|c| *c < self.set.cold_time.as_secs_f64()) {
                // The colder of what is listed and what is handed over.
                let started = self.at - cold;
                u.started = Some(u.started.map_or(started, |s| s.max(started)));
                u.credit = 0.0;
            }
            (u.ejections, u.ejected_until) = (h.ejections, self.at + h.ejected_for.min(60.0));
            (u.pace, u.seen) = (h.pace.min(5.0), h.seen);
        }
        self.choose_subset();
    }

    /// Other settings. What was learned stays; a request under way keeps its class, and the stricter of both
    /// readings holds for what is still sent for it.
    fn retune(&mut self, set: &Settings, gone: &[TenantId]) {
        if set.check().is_err() || set.classes.len() < self.classes.len() {
            return;
        }
        for r in self.requests.values_mut() {
            r.effect = r.effect.stricter(set.classes[r.class].effect);
            r.attempts_most = r.attempts_most.min(set.max_attempts);
        }
        self.classes.extend(set.classes[self.classes.len()..].iter().map(unlearned));
        self.ring.iter_mut().for_each(|u| u.health.resize(set.classes.len(), Health::default()));
        for i in 0..set.tenants.len().max(1) {
            let new = bucket(set, i);
            match self.buckets.get_mut(i) {
                Some(b) => (b.part, b.gone) = (new.part, false),
                None => self.buckets.push(new),
            }
        }
        let known = self.buckets.len();
        for tenant in gone.iter().filter(|t| (t.0 as usize) < known) {
            self.buckets[tenant.0 as usize].gone = true;
        }
        (self.shortest, self.subset_least) = (shortest(set), subset_least(set));
        self.set = set.clone();
        self.choose_subset();
    }

    /// The tick: W and the grants, then the fleet's weights, overdue attempts and discovery.
    fn tick(&mut self) {
        let last = std::mem::replace(&mut self.last_tick, self.at);
        let (at, tau) = (self.at, (self.at - last).clamp(0.0, 1.0));
        if at >= self.choose_at {
            self.choose_subset();
        }
        self.weigh(false);
        self.grant(tau);
        while let Some(&(when, id, attempt)) = self.due.first().filter(|d| d.0 <= self.now) {
            self.due.remove(&(when, id, attempt));
            self.overdue(id, attempt);
        }
        if self.set.ask_for_fleet && !self.watching && at >= self.ask_at {
            // An unanswered call is made again before the list in hand counts as too old.
            let again = asking::call_again(self.set.ask_every).as_secs_f64() * (0.9 + 0.1 * self.rng.f64());
            (self.asked_at, self.ask_at) = (at, at + again);
            self.out.push(Action::WatchFleet);
        }
        self.out.push(Action::Timer { after: Duration::from_secs_f64(TICK), timer: TICK_TIMER });
    }
}
