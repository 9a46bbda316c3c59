//! Zones and regions: the parts that decide for all, played against ways that they are held against.
//!
//! Time goes in steps, requests are rates. [`ground`] is what is true, [`faults`] what befalls it, [`fleet`] what balancers send and
//! see, [`agreeing`] how a plan comes into force, [`ways`] who else decides, [`watch`] what is checked and measured, [`table`] what
//! is printed, [`explore`] every order of events over three members and two sites.

pub mod agreeing;
pub mod explore;
pub mod faults;
pub mod fleet;
pub mod ground;
pub mod table;
pub mod watch;
pub mod ways;

use agreeing::{Agreeing, LOOK_EACH};
use faults::{ENDS, Fault};
use fleet::Eyes;
use ground::{Ground, STEP};
use maplehook_locality::{Rules, Zone};
use std::time::Duration;
use watch::{Outcome, Scene, Watch};
use ways::{AllKnowing, Mode};

/// Steps between two probes of a balancer, and between two polls of a router.
const PROBE_EACH: u64 = 5;

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Case {
    /// What befalls.
    pub fault: Fault,
    /// Who decides.
    pub mode: Mode,
    /// How many balancers.
    pub balancers: usize,
    /// What is drawn.
    pub seed: u64,
}

struct Play {
    case: Case,
    now: Duration,
    ground: Ground,
    eyes: Vec<Eyes>,
    agreeing: Agreeing,
    knowing: AllKnowing,
    shares: Vec<Vec<(usize, f64)>>,
    in_touch: Vec<bool>,
    served: Vec<f64>,
}

/// Plays one case; `could` is what the all-knowing served by step, if that is known. Second value: what this one served.
pub fn play(case: Case, could: &[f64]) -> (Outcome, Vec<f64>) {
    let mut ground = Ground::new(case.balancers, case.seed);
    let changes = case.fault.changes(&mut ground, case.seed);
    let rules = Rules::near_first(1, 1);
    let zones = ground.zones.len();
    let mut play = Play {
        case,
        now: Duration::ZERO,
        eyes: vec![Eyes::new(zones); case.balancers],
        agreeing: Agreeing::new(&ground, &rules, case.seed),
        knowing: AllKnowing::new(&ground, &rules),
        shares: ground.posts.iter().map(|post| vec![(post.zone, 1.0)]).collect(),
        in_touch: vec![true; case.balancers],
        served: Vec::new(),
        ground,
    };
    let mut watch = Watch::new(zones);
    let mut changes = changes.into_iter().peekable();
    let mut stopped = None;
    for steps in 0..(ENDS.as_millis() / STEP.as_millis()) as u64 {
        while let Some((_, change)) = changes.next_if(|(when, _)| *when <= play.now) {
            let were: Vec<bool> = play.ground.posts.iter().map(|post| post.up).collect();
            play.ground.change(&change, play.agreeing.leader(), &mut stopped);
            watch.changed(play.now);
            for n in (0..were.len()).filter(|n| !were[*n] && play.ground.posts[*n].up) {
                play.eyes[n] = Eyes::new(zones);
                play.agreeing.started(&play.ground, n, play.now);
            }
        }
        play.step(steps, &mut watch, could);
    }
    (watch.end(case.balancers, play.agreeing.bytes, play.agreeing.bodies), play.served)
}

impl Play {
    fn step(&mut self, steps: u64, watch: &mut Watch, could: &[f64]) {
        let (now, common) = (self.now, self.case.mode == Mode::Common);
        self.ground.pass();
        for n in (0..self.eyes.len()).filter(|n| steps % PROBE_EACH == *n as u64 % PROBE_EACH) {
            if self.ground.posts[n].serves() {
                self.eyes[n].probe(&self.ground, n);
            }
        }
        if common {
            self.agreeing.step(&self.ground, &self.eyes, now, steps);
            watch.log(&self.agreeing);
        }
        self.decide(steps);
        let step = fleet::send(&self.ground, &mut self.eyes, &self.shares);
        self.served.push(step.served);
        let could = could.get(self.served.len() - 1).copied().unwrap_or(step.served);
        let (ground, in_touch, shares) = (&self.ground, &self.in_touch, &self.shares);
        watch.look(&Scene { now, ground, step: &step, in_touch, shares, could });
        if common && steps.is_multiple_of(PROBE_EACH) {
            watch.poll(&self.ground, &self.agreeing, &self.eyes, now);
        }
        self.now += STEP;
    }

    /// Shares of all who decide now.
    fn decide(&mut self, steps: u64) {
        let knows = match self.case.mode {
            Mode::AllKnowing => self.knowing.shares(&self.ground),
            _ => Vec::new(),
        };
        for n in 0..self.eyes.len() {
            let post = &self.ground.posts[n];
            let holds = self.case.mode == Mode::Common && !post.old && self.agreeing.holds(n, self.now);
            // A lease that has run out is over at once.
            let due = steps % LOOK_EACH == n as u64 % LOOK_EACH || self.in_touch[n] != holds;
            if !post.serves() || self.case.mode != Mode::AllKnowing && !due {
                continue;
            }
            self.shares[n] = match self.case.mode {
                Mode::AllKnowing => knows[post.zone].clone(),
                Mode::Textbook => ways::textbook(&self.ground, &self.eyes[n], post.zone),
                Mode::Alone | Mode::Common => {
                    let (sights, demand) = self.eyes[n].sights(&self.ground);
                    let acts = self.agreeing.members[n].acting.tick(self.now, holds, &sights, &demand);
                    let to = acts.rules.first().map(|shares| shares.to.as_slice()).unwrap_or_default();
                    to.iter().map(|(Zone(zone), share)| (usize::from(*zone), *share)).collect()
                }
            };
            self.in_touch[n] = holds || self.case.mode != Mode::Common;
        }
    }
}

/// Plays a fault in all modes.
pub fn compare(fault: Fault, balancers: usize, seed: u64) -> Vec<(Mode, Outcome)> {
    let case = |mode| Case { fault, mode, balancers, seed };
    let (knowing, could) = play(case(Mode::AllKnowing), &[]);
    let others = Mode::ALL.into_iter().filter(|mode| *mode != Mode::AllKnowing);
    let mut all: Vec<(Mode, Outcome)> = others.map(|mode| (mode, play(case(mode), &could).0)).collect();
    all.push((Mode::AllKnowing, knowing));
    all
}
