//! What balancers send and what they see of it: rates, not single requests.

use super::ground::{Ground, STEP_S};
use maplehook_failover::{Demand, ZoneObservation};
use maplehook_locality::Zone;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Steps over which rates are counted.
const WINDOW: usize = 10;
/// Probes of a zone that are counted, as the daemon does.
const PROBES: usize = 3;
/// Attempts a second that tell what runs there.
const TELLS: f64 = 0.2;
/// Share of what is over a zone's room that is not refused at the door.
const WAITS: f64 = 0.2;
/// Share of what is wrong in what is known that a step's attempts mend, and that a step without any forgets.
const LEARNS: f64 = 0.25;
const FORGETS: f64 = 0.04;

/// Attempts of one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    sent: f64,
    ok: f64,
    slow: f64,
    failed: f64,
    unreached: f64,
}

/// What one balancer sees.
#[derive(Clone, Debug)]
pub struct Eyes {
    /// By zone: share of what is listed that it takes to run.
    know: Vec<f64>,
    /// By step and zone.
    window: VecDeque<Vec<Counts>>,
    /// Asked and refused, by step.
    asked: VecDeque<(f64, f64)>,
    /// By zone: whether the last probes came to something.
    probes: Vec<VecDeque<bool>>,
    /// By zone: what is tried a second time in the next step.
    again: Vec<f64>,
    /// By zone: load as it was felt.
    load: Vec<f64>,
}

impl Eyes {
    /// Of one that has just started.
    pub fn new(zones: usize) -> Self {
        Self {
            know: vec![1.0; zones],
            window: VecDeque::new(),
            asked: VecDeque::new(),
            probes: vec![VecDeque::new(); zones],
            again: vec![0.0; zones],
            load: vec![0.0; zones],
        }
    }

    /// Share of a zone that seems well from here: by its last probes, by what runs there, and by what failed (where that is most).
    pub fn health(&self, zone: usize) -> f64 {
        let probes = &self.probes[zone];
        let well = probes.iter().filter(|well| **well).count();
        let probed = if probes.is_empty() { 1.0 } else { well as f64 / probes.len() as f64 };
        let (sent, bad) = self.window.iter().fold((0.0, 0.0), |(sent, bad), step| {
            (sent + step[zone].sent, bad + step[zone].failed + step[zone].slow)
        });
        let fails = if bad > 0.5 * sent { bad / sent } else { 0.0 };
        probed.min(self.know[zone]) * (1.0 - fails)
    }

    /// Share of its own clients' demand that it serves, by what it sees.
    pub fn served(&self) -> f64 {
        let (asked, refused) = self.asked.iter().fold((0.0, 0.0), |(a, r), (b, s)| (a + b, r + s));
        let all = || self.window.iter().flatten();
        let (ok, sent) = all().fold((0.0, 0.0), |(ok, sent), c| (ok + c.ok, sent + c.sent));
        let part = |of: f64, all: f64| if all > 0.0 { (of / all).clamp(0.0, 1.0) } else { 1.0 };
        part(asked - refused, asked) * part(ok, sent)
    }

    /// Probes all zones but its own.
    pub fn probe(&mut self, ground: &Ground, n: usize) {
        let post = &ground.posts[n];
        for (zone, probes) in self.probes.iter_mut().enumerate().filter(|(zone, _)| *zone != post.zone) {
            let reached = !post.blind && ground.reach[post.zone][zone];
            probes.push_back(reached && ground.zones[zone].up > 0.05);
            if probes.len() > PROBES {
                probes.pop_front();
            }
        }
    }

    /// What a report says.
    pub fn sights(&self, ground: &Ground) -> (Vec<ZoneObservation>, Vec<Demand>) {
        let span = (self.window.len().max(1) as f64) * STEP_S;
        let sight = |(zone, truth): (usize, &super::ground::Truth)| {
            let sum = |of: fn(&Counts) -> f64| {
                (self.window.iter().map(|step| of(&step[zone])).sum::<f64>() * STEP_S / span) as f32
            };
            let sent = sum(|c| c.sent);
            let unit = if ground.stated { 1.0 } else { 0.01 };
            let runs = truth.room * self.know[zone] * unit;
            let warm = if f64::from(sent) > TELLS { truth.warm } else { 1.0 };
            ZoneObservation {
                zone: Zone(zone as u16),
                stated: ground.stated,
                listed: (truth.room * unit) as f32,
                usable: (runs * warm) as f32,
                warming: (runs * (1.0 - warm)) as f32,
                sent,
                ok: sum(|c| c.ok),
                slow: sum(|c| c.slow),
                failed: sum(|c| c.failed),
                unreached: sum(|c| c.unreached),
                connect_ms: 1.0,
                probes: self.probes[zone].len() as f32,
                failed_probes: self.probes[zone].iter().filter(|well| !**well).count() as f32,
                load: if f64::from(sent) > TELLS { self.load[zone].min(10.0) as f32 } else { 0.0 },
            }
        };
        let steps = self.asked.len().max(1) as f64;
        let (asked, refused) = self.asked.iter().fold((0.0, 0.0), |(a, r), (b, s)| (a + b, r + s));
        let demand = Demand { rule: 0, asked: (asked / steps) as f32, rejected: (refused / steps) as f32 };
        let sights = ground.zones.iter().enumerate().map(sight).collect();
        (sights, if asked > 0.0 { vec![demand] } else { Vec::new() })
    }
}

/// Makes figures wild.
pub fn lie(sights: &mut [ZoneObservation], demand: &mut [Demand], rng: &mut ChaCha8Rng) {
    let mut wild = |figure: &mut f32| *figure = rng.random_range(0.0..1e6);
    for sight in sights {
        let figures = [
            &mut sight.listed,
            &mut sight.usable,
            &mut sight.sent,
            &mut sight.ok,
            &mut sight.unreached,
            &mut sight.load,
        ];
        figures.into_iter().for_each(&mut wild);
    }
    demand.iter_mut().for_each(|demand| wild(&mut demand.asked));
}

/// What came of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// What was asked for, in requests a second.
    pub asked: f64,
    /// What was served in time.
    pub served: f64,
    /// What was served in time in the zone that it came into.
    pub near: f64,
    /// What came to each zone.
    pub load: Vec<f64>,
    /// What of that came from other zones.
    pub foreign: Vec<f64>,
    /// What was meant for each zone, by zone that it came into.
    pub meant: Vec<Vec<f64>>,
}

/// A step of requests: `shares` are those of each balancer by zone.
pub fn send(ground: &Ground, eyes: &mut [Eyes], shares: &[Vec<(usize, f64)>]) -> Step {
    let count = ground.zones.len();
    let (each, lost) = ground.demand();
    let zeros = || vec![0.0; count];
    let mut step =
        Step { asked: lost, load: zeros(), foreign: zeros(), meant: vec![zeros(); count], ..Step::default() };
    // By balancer and zone: what is sent, and what of it reaches somebody.
    let mut sent = vec![zeros(); eyes.len()];
    let mut reaches = vec![zeros(); eyes.len()];
    for (n, post) in ground.posts.iter().enumerate().filter(|(_, post)| post.serves()) {
        step.asked += each[post.zone];
        for (zone, share) in &shares[n] {
            sent[n][*zone] += each[post.zone] * share;
            step.meant[post.zone][*zone] += each[post.zone] * share;
        }
        for zone in 0..count {
            sent[n][zone] += eyes[n].again[zone];
            let up = if post.blind || !ground.reach[post.zone][zone] { 0.0 } else { ground.zones[zone].up };
            let known = eyes[n].know[zone].max(1e-3);
            reaches[n][zone] = sent[n][zone] * (up / known).min(1.0);
            step.load[zone] += reaches[n][zone];
            step.foreign[zone] += if zone == post.zone { 0.0 } else { reaches[n][zone] };
        }
    }
    let bears: Vec<f64> = ground.zones.iter().map(|zone| zone.bears()).collect();
    for (n, post) in ground.posts.iter().enumerate() {
        let eyes = &mut eyes[n];
        if !post.serves() {
            eyes.window.clear();
            eyes.asked.clear();
            continue;
        }
        let mut counts = vec![Counts::default(); count];
        for zone in 0..count {
            let truth = &ground.zones[zone];
            let (sent, arrived) = (sent[n][zone], reaches[n][zone]);
            let part = if step.load[zone] > bears[zone] { bears[zone] / step.load[zone] } else { 1.0 };
            let (fails, late) = (truth.failing, truth.slow);
            let ok = arrived * part * (1.0 - fails) * (1.0 - late);
            let failed = arrived * part * fails;
            // What is over the room is refused at the door, as admission does, but for a part that waits in vain.
            let over = arrived * (1.0 - part);
            let slow = arrived * part - ok - failed + over * WAITS;
            let unreached = sent - arrived;
            let c = &mut counts[zone];
            *c = Counts { sent: ok + failed + slow + unreached, ok, failed, unreached, slow };
            step.served += ok;
            step.near += if zone == post.zone { ok } else { 0.0 };
            let felt = step.load[zone].min(bears[zone]) + WAITS * (step.load[zone] - bears[zone]).max(0.0);
            eyes.load[zone] = felt / bears[zone].max(1e-6);
            let up = if post.blind || !ground.reach[post.zone][zone] { 0.0 } else { truth.up };
            if sent > TELLS {
                eyes.know[zone] += (up - eyes.know[zone]) * LEARNS;
                if (eyes.know[zone] - up).abs() < 0.01 {
                    eyes.know[zone] = up;
                }
            } else {
                eyes.know[zone] += (1.0 - eyes.know[zone]) * FORGETS;
            }
        }
        // What failed is tried once more where else the row leads.
        let wrong: Vec<f64> =
            (0..count).map(|z| (counts[z].failed + counts[z].unreached - eyes.again[z]).max(0.0)).collect();
        eyes.again = vec![0.0; count];
        for (zone, wrong) in wrong.iter().enumerate().filter(|(_, wrong)| **wrong > 0.0) {
            let rest: f64 = shares[n].iter().filter(|(z, _)| *z != zone).map(|(_, share)| share).sum();
            for (other, share) in shares[n].iter().filter(|(z, _)| *z != zone && rest > 0.0) {
                eyes.again[*other] += wrong * share / rest;
            }
        }
        let shared: f64 = shares[n].iter().map(|(_, share)| share).sum();
        eyes.window.push_back(counts);
        eyes.asked.push_back((each[post.zone], each[post.zone] * (1.0 - shared).max(0.0)));
        if eyes.window.len() > WINDOW {
            eyes.window.pop_front();
            eyes.asked.pop_front();
        }
    }
    step
}
