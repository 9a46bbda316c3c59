//! Faults by zone as they are done to a scene, and undone; each change of a place's health is written down.

use super::scene::Scene;
use crate::balancer::Keeps;
use crate::check::name;
use crate::nemesis::ZoneFault;
use crate::relay::Trouble;
use maplehook_history_checker::What;
use maplehook_test_servers::room::Behaviour;
use std::time::Duration;

impl Scene {
    /// Zones came to this health, as seen from some, or from everywhere.
    fn health(&self, zones: &[String], share: f64, from: Option<&[String]>) {
        for zone in zones {
            let (zone, from) = (zone.clone(), from.map(<[String]>::to_vec));
            self.recorder.note("rig", What::Health { zone, share, from });
        }
    }

    /// Does something to the ways from balancers of some zones to upstreams of some zones.
    fn to_upstreams(&self, from: &[String], to: &[String], change: impl Fn(&mut Trouble)) {
        for balancer in self.balancers_of(from) {
            for upstream in self.upstreams_of(to) {
                self.world.from_to_upstream(balancer, upstream).set(&change);
            }
        }
    }

    fn all_zones(&self) -> Vec<String> {
        self.map.zones().into_iter().map(str::to_owned).collect()
    }

    /// The upstreams of zones refuse, or take again.
    pub fn lose(&self, zones: &[String], lost: bool) {
        // Before: a request that comes in between finds the place ill already, by what is written.
        if lost {
            self.health(zones, 0.0, None);
        }
        self.to_upstreams(&self.all_zones(), zones, |trouble| trouble.refuse = lost);
        if lost {
            for n in self.upstreams_of(zones) {
                self.world.to_upstream(n).for_each(crate::relay::Way::reset);
            }
        } else {
            self.health(zones, 1.0, None);
        }
    }

    /// What some zones say to others is lost, or passes again: words between balancers, and requests to upstreams.
    pub fn cuts(&self, from: &[String], to: &[String], cut: bool) {
        let change = |trouble: &mut Trouble| trouble.silent = cut;
        self.health(to, if cut { 0.0 } else { 1.0 }, Some(from));
        self.world.between(&self.balancers_of(from), &self.balancers_of(to), change);
        self.to_upstreams(from, to, change);
    }

    /// Those who are out of touch with some are, or are no more.
    fn out_of_touch(&self, fault: &ZoneFault, act: &str) {
        if matches!(fault, ZoneFault::Cut { .. } | ZoneFault::Bridge { .. }) {
            self.balancers_of(&fault.out_of_touch())
                .into_iter()
                .for_each(|n| self.recorder.did(act, &name(n)));
        }
    }

    fn behaves(&self, zones: &[String], behaviour: Behaviour) {
        let share = match behaviour {
            Behaviour::Well => 1.0,
            Behaviour::Slow(times) => 1.0 / times.max(1.0),
            Behaviour::Failing(share) => 1.0 - share,
            Behaviour::Hanging => 0.0,
        };
        self.health(zones, share, None);
        self.behave(zones, behaviour);
    }

    /// One balancer reaches nobody outside of its zone, or does again.
    fn blinds(&self, balancer: usize, blind: bool) {
        let (own, change) = (self.map.zone_of(balancer), |trouble: &mut Trouble| trouble.silent = blind);
        self.recorder.did(if blind { "cut" } else { "heal" }, &name(balancer));
        let all: Vec<usize> = (0..self.world.len()).collect();
        self.world.between(&[balancer], &all, change);
        self.world.between(&all, &[balancer], change);
        for upstream in (0..self.map.upstreams.len()).filter(|n| self.map.upstreams[*n].zone != own) {
            self.world.from_to_upstream(balancer, upstream).set(change);
        }
    }

    fn late(&self, most: Duration) {
        self.world.everywhere(|trouble| trouble.delay = (Duration::ZERO, most));
        self.recorder.note(
            "rig",
            What::Note { text: format!("words between balancers: late by {most:?} at the most") },
        );
    }

    fn routers_are(&self, lost: f64, held_back: Duration) {
        for router in &self.routers {
            router.behaves(|manner| (manner.lost, manner.held_back) = (lost, held_back));
        }
        let text = format!("routers: {lost:.2} of polls lost, answers held back for {held_back:?}");
        self.recorder.note("rig", What::Note { text });
    }

    /// The two sides of a bridge: without the zone between them.
    fn sides(&self, through: &String, side: &[String]) -> (Vec<String>, Vec<String>) {
        let other = self.all_zones().into_iter().filter(|zone| zone != through && !side.contains(zone));
        (side.to_vec(), other.collect())
    }

    /// A fault begins.
    pub fn begin(&self, fault: &ZoneFault) {
        self.out_of_touch(fault, "cut");
        match fault {
            ZoneFault::Lost { zones }
            | ZoneFault::LeaderKilled { zones, .. }
            | ZoneFault::Flapping { zones, .. } => {
                self.lose(zones, true);
            }
            ZoneFault::Hanging { zones } => self.behaves(zones, Behaviour::Hanging),
            ZoneFault::Slow { zones, times } => self.behaves(zones, Behaviour::Slow(*times)),
            ZoneFault::Failing { zones, share } => self.behaves(zones, Behaviour::Failing(*share)),
            ZoneFault::AllAtOnce { times } => self.behaves(&self.all_zones(), Behaviour::Slow(*times)),
            ZoneFault::Cut { from, to, both } => {
                self.cuts(from, to, true);
                if *both {
                    self.cuts(to, from, true);
                }
            }
            ZoneFault::Bridge { through, side } => {
                let (one, other) = self.sides(through, side);
                self.cuts(&one, &other, true);
                self.cuts(&other, &one, true);
            }
            ZoneFault::Blind { balancer } => self.blinds(balancer - 1, true),
            ZoneFault::Late { most_ms } => self.late(Duration::from_millis(*most_ms)),
            ZoneFault::Routers { lost, held_back_ms } => {
                self.routers_are(*lost, Duration::from_millis(*held_back_ms));
            }
            ZoneFault::Killed { zones } => self.balancers_of(zones).into_iter().for_each(|n| self.kill(n)),
            ZoneFault::Stopped { zones } => self.balancers_of(zones).into_iter().for_each(|n| self.stop(n)),
        }
    }

    /// It ends.
    pub fn heal(&self, fault: &ZoneFault) -> Result<(), String> {
        match fault {
            ZoneFault::Lost { zones } | ZoneFault::Flapping { zones, .. } => self.lose(zones, false),
            ZoneFault::LeaderKilled { zones, .. } => {
                self.lose(zones, false);
                let gone =
                    (0..self.world.len()).filter(|n| !self.world.balancer(*n).runs()).collect::<Vec<_>>();
                self.starts(&gone, Keeps::State)?;
            }
            ZoneFault::Hanging { zones }
            | ZoneFault::Slow { zones, .. }
            | ZoneFault::Failing { zones, .. } => {
                self.behaves(zones, Behaviour::Well);
            }
            ZoneFault::AllAtOnce { .. } => self.behaves(&self.all_zones(), Behaviour::Well),
            ZoneFault::Cut { from, to, both } => {
                self.cuts(from, to, false);
                if *both {
                    self.cuts(to, from, false);
                }
            }
            ZoneFault::Bridge { through, side } => {
                let (one, other) = self.sides(through, side);
                self.cuts(&one, &other, false);
                self.cuts(&other, &one, false);
            }
            ZoneFault::Blind { balancer } => self.blinds(balancer - 1, false),
            ZoneFault::Late { .. } => self.late(Duration::ZERO),
            ZoneFault::Routers { .. } => self.routers_are(0.0, Duration::ZERO),
            ZoneFault::Killed { zones } => self.starts(&self.balancers_of(zones), Keeps::State)?,
            ZoneFault::Stopped { zones } => self.balancers_of(zones).into_iter().for_each(|n| self.wake(n)),
        }
        self.out_of_touch(fault, "heal");
        Ok(())
    }
}
