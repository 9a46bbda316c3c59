//! What is checked at each step, and what is measured.

use super::agreeing::Agreeing;
use super::faults::{BEGINS, ENDS, LASTS};
use super::fleet::{Eyes, Step};
use super::ground::{Ground, STEP, STEP_S};
use maplehook_address_announcement::{Answer, LocalBalancer};
use maplehook_failover::Document;
use std::collections::BTreeMap;
use std::time::Duration;

/// After a change nothing is held against the plan for so long.
pub const SETTLES: Duration = Duration::from_secs(5);
/// For how long something has to hold.
const HOLDS: Duration = Duration::from_secs(1);
/// Shares under this are none.
const NONE: f64 = 0.01;
/// Share of a zone's room that comes from others, from which its load is spill.
const SPILL: f64 = 0.05;
/// When it is calm.
const CALM: std::ops::Range<Duration> = Duration::from_secs(5)..Duration::from_secs(10);

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// From the fault until nobody who is in touch sends where it does no good. `None`: never, or there is no such place.
    pub plan: Option<Duration>,
    /// Whether there was such a place.
    pub bad_place: bool,
    /// From the fault until what is served is what the all-knowing serves.
    pub full: Option<Duration>,
    /// Served from the fault on.
    pub served: f64,
    /// What the all-knowing served.
    pub could: f64,
    /// Share that stays near on a calm day.
    pub near: f64,
    /// Worst load by spill over what a zone bears, when it has settled.
    pub worst: f64,
    /// Times that a zone's own clients were sent away from it, a minute of the fault; of the zone with most.
    pub swings: f64,
    /// The longest time for which two zones poured into each other.
    pub pours: Duration,
    /// Rows that are none, and epochs that do not rise by one.
    pub unsound: u32,
    /// Moments at which two sites announced what one may.
    pub two: u32,
    /// Moments at which nobody announced what all may.
    pub nobody: u32,
    /// Bytes a second and balancer.
    pub bytes: f64,
    /// Bodies that were agreed on.
    pub bodies: u64,
}

impl Outcome {
    /// Served, against the all-knowing.
    pub fn share(&self) -> f64 {
        if self.could > 0.0 { self.served / self.could } else { 1.0 }
    }
}

/// Watches one play.
pub struct Watch {
    outcome: Outcome,
    changed: Duration,
    clear_since: Option<Duration>,
    full_since: Option<Duration>,
    near: (f64, f64),
    /// By zone: whether its own clients are sent away, and how often they were.
    away: Vec<(bool, u32)>,
    pouring: BTreeMap<(usize, usize), Duration>,
    before: Option<(u64, Document)>,
    /// Until when a router sends clients to a site, by address and site.
    held: BTreeMap<(&'static str, usize), Duration>,
    polls: usize,
}

/// What a step is judged by.
pub struct Scene<'a> {
    /// When.
    pub now: Duration,
    /// The truth.
    pub ground: &'a Ground,
    /// What came of it.
    pub step: &'a Step,
    /// By balancer: whether it is in touch, and its shares.
    pub in_touch: &'a [bool],
    /// See there.
    pub shares: &'a [Vec<(usize, f64)>],
    /// What the all-knowing served in this step.
    pub could: f64,
}

impl Watch {
    /// From the beginning.
    pub fn new(zones: usize) -> Self {
        Self {
            outcome: Outcome::default(),
            changed: Duration::ZERO,
            clear_since: None,
            full_since: None,
            near: (0.0, 0.0),
            away: vec![(false, 0); zones],
            pouring: BTreeMap::new(),
            before: None,
            held: BTreeMap::new(),
            polls: 0,
        }
    }

    /// The truth has changed.
    pub fn changed(&mut self, now: Duration) {
        self.changed = now;
    }

    /// A step has passed.
    pub fn look(&mut self, scene: &Scene<'_>) {
        let Scene { now, ground, step, could, .. } = *scene;
        let outcome = &mut self.outcome;
        if CALM.contains(&now) {
            self.near.0 += step.near;
            self.near.1 += step.asked;
        }
        if now >= BEGINS {
            outcome.served += step.served * STEP_S;
            outcome.could += could * STEP_S;
            let clear = self.clear(scene);
            let outcome = &mut self.outcome;
            since(&mut self.clear_since, clear, now);
            since(&mut self.full_since, step.served >= 0.99 * could, now);
            let held = |since: Option<Duration>| since.filter(|since| now - *since >= HOLDS);
            if outcome.plan.is_none() && outcome.bad_place {
                outcome.plan = held(self.clear_since).map(|since| since - BEGINS);
            }
            if outcome.full.is_none() {
                outcome.full = held(self.full_since).map(|since| since - BEGINS);
            }
        }
        if now >= self.changed + SETTLES {
            for (zone, truth) in ground.zones.iter().enumerate().filter(|(_, truth)| truth.up > 0.05) {
                let bears = truth.bears();
                if step.foreign[zone] > SPILL * bears {
                    let outcome = &mut self.outcome;
                    outcome.worst = outcome.worst.max(step.load[zone] / bears);
                }
            }
        }
        self.flows(scene);
    }

    /// Whether nobody in touch sends where it does no good.
    fn clear(&mut self, scene: &Scene<'_>) -> bool {
        let ground = scene.ground;
        let mut clear = true;
        for (n, post) in ground.posts.iter().enumerate().filter(|(_, post)| post.serves()) {
            let bad = |zone: &usize| ground.is_bad(post.zone, *zone);
            self.outcome.bad_place |= (0..ground.zones.len()).any(|zone| bad(&zone));
            let sends = scene.shares[n].iter().any(|(zone, share)| *share > NONE && bad(zone));
            clear &= !(sends && scene.in_touch[n]);
        }
        clear
    }

    /// Who sends whom away, and who pours into each other.
    fn flows(&mut self, scene: &Scene<'_>) {
        let meant = &scene.step.meant;
        let count = meant.len();
        let asked: Vec<f64> = meant.iter().map(|row| row.iter().sum()).collect();
        for zone in (0..count).filter(|zone| asked[*zone] > 0.0) {
            let own = meant[zone][zone] / asked[zone];
            let (away, times) = &mut self.away[zone];
            let fault = (BEGINS..BEGINS + LASTS).contains(&scene.now);
            match *away {
                false if own < 0.25 => {
                    *away = true;
                    *times += u32::from(fault);
                }
                true if own > 0.75 => *away = false,
                _ => {}
            }
        }
        for (a, b) in (0..count).flat_map(|a| (0..a).map(move |b| (a, b))) {
            let pours = |from: usize, to: usize| meant[from][to] > 2.0 * NONE * asked[from];
            if pours(a, b) && pours(b, a) {
                let time = self.pouring.entry((a, b)).or_default();
                *time += STEP;
                self.outcome.pours = self.outcome.pours.max(*time);
            } else {
                self.pouring.remove(&(a, b));
            }
        }
    }

    /// What stands in the log.
    pub fn log(&mut self, agreeing: &Agreeing) {
        let (number, places) = (agreeing.log.number, &agreeing.log.agreed.places);
        let Some((before, old)) = &self.before else {
            self.before = Some((number, places.clone()));
            return;
        };
        if *before == number {
            return;
        }
        let (old_epoch, epoch) = (old.plan.epoch, places.plan.epoch);
        let rises = if old.plan == places.plan { epoch == old_epoch } else { epoch == old_epoch + 1 };
        let sound = places.is_sound() && rises && number == before + 1;
        self.outcome.unsound += u32::from(!sound);
        self.before = Some((number, places.clone()));
    }

    /// A router asks one balancer of each site.
    pub fn poll(&mut self, ground: &Ground, agreeing: &Agreeing, eyes: &[Eyes], now: Duration) {
        self.polls += 1;
        let topology = &ground.topology;
        let sites: Vec<usize> = topology.regions().map(|region| usize::from(region.0)).collect();
        for site in &sites {
            let zones = topology.zones_of(maplehook_locality::Region(*site as u16));
            let of_it: Vec<usize> = (0..ground.posts.len())
                // Whoever was just started and was told nothing yet is not asked.
                .filter(|n| ground.posts[*n].serves() && agreeing.members[*n].entry.number > 0)
                .filter(|n| zones.iter().any(|zone| usize::from(zone.0) == ground.posts[*n].zone))
                .collect();
            let Some(n) = of_it.get(self.polls % of_it.len().max(1)).copied() else { continue };
            let entry = &agreeing.members[n].entry;
            let own = LocalBalancer {
                site: topology.region_name(maplehook_locality::Region(*site as u16)).to_owned(),
                ready: true,
                served: eyes[n].served(),
                lease_until: agreeing.until(n),
                state: Some(entry.agreed.addresses.clone()),
            };
            for name in ["many", "one"] {
                match own.answer(name, now) {
                    Answer::Announces { good_for, .. } => self.held.insert((name, *site), now + good_for),
                    Answer::Withdrawn { .. } => self.held.remove(&(name, *site)),
                };
            }
        }
        let announce = |name: &str| {
            sites
                .iter()
                .filter(|site| {
                    self.held.iter().any(|((n, s), until)| *n == name && s == *site && *until > now)
                })
                .count()
        };
        let (many, one) = (announce("many"), announce("one"));
        self.outcome.two += u32::from(one > 1);
        self.outcome.nobody += u32::from(many == 0 && now >= BEGINS / 2);
    }

    /// At the end.
    pub fn end(mut self, balancers: usize, bytes: u64, bodies: u64) -> Outcome {
        let outcome = &mut self.outcome;
        outcome.near = if self.near.1 > 0.0 { self.near.0 / self.near.1 } else { 1.0 };
        let most = self.away.iter().map(|(_, times)| *times).max().unwrap_or(0);
        outcome.swings = f64::from(most) * 60.0 / LASTS.as_secs_f64();
        outcome.bytes = bytes as f64 / balancers as f64 / ENDS.as_secs_f64();
        outcome.bodies = bodies;
        self.outcome
    }
}

fn since(since: &mut Option<Duration>, holds: bool, now: Duration) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}
