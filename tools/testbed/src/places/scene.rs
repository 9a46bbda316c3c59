//! A world with zones, its routers, its clients and what is written down of them.

use super::clients::{Clients, Front};
use super::map::Map;
use super::recorder::{self, Recorder};
use crate::balancer::{Keeps, ask};
use crate::check::name;
use crate::world::{PATIENCE, Setup, World};
use maplehook_history_checker::{Header, Record, What};
use maplehook_test_servers::room::Behaviour;
use maplehook_test_servers::router::{Announcer, Router};
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long balancers may take to end by themselves.
const END: Duration = Duration::from_secs(6);

/// A world with zones, and all that is around it.
pub struct Scene {
    /// The balancers and the ways between them.
    pub world: World,
    /// Where everything stands.
    pub map: Map,
    /// What is written down.
    pub recorder: Arc<Recorder>,
    /// One by zone.
    pub routers: Vec<Arc<Router>>,
    clients: Arc<Clients>,
    header: Header,
    setup: Setup,
}

/// What a balancer shows of places; null where it shows nothing.
pub fn shown(operator: Option<SocketAddr>) -> serde_json::Value {
    let answer = operator.and_then(|operator| ask(operator, "/control/places"));
    let answer = answer.filter(|(status, _)| *status == 200);
    answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
}

/// Who leads, by what a balancer shows of places.
pub fn leader(shown: &serde_json::Value, balancers: usize) -> Option<usize> {
    let leader = shown["leader"].as_str()?;
    (0..balancers).find(|n| name(*n) == leader)
}

impl Scene {
    /// Starts balancers, routers and their like; clients have no demand yet.
    pub fn start(setup: Setup, seed: u64, front: Front) -> Result<Self, String> {
        let map = setup.map.clone().ok_or("a setup without a map")?;
        let digest = recorder::digest(&setup.program).map_err(|e| e.to_string())?;
        let header = map.header(setup.balancers, seed, &digest, setup.contradiction());
        let recorder = Arc::new(Recorder::default());
        let world = World::prepare(setup.clone())?;
        let zones: Vec<String> = map.zones().into_iter().map(str::to_owned).collect();
        let services: Vec<&str> = map.services.iter().map(|service| service.name.as_str()).collect();
        let routers: Vec<Arc<Router>> = zones
            .iter()
            .enumerate()
            .map(|(n, zone)| {
                let (own, region) = (format!("r-{zone}"), map.region_of(n));
                Arc::new(Router::start(&own, zone, region, &services, seed.wrapping_mul(31) + n as u64))
            })
            .collect();
        let distance = |n: usize, zone: usize| match map.zone_of(n) {
            of if of == zone => 0,
            of if map.region_of(of) == map.region_of(zone) => 1,
            _ => 2,
        };
        let clients = Arc::new(Clients {
            recorder: Arc::clone(&recorder),
            front,
            routers: routers.clone(),
            service: services.first().map_or(String::new(), |name| (*name).to_owned()),
            addresses: world.addresses(),
            distance: (0..setup.balancers)
                .map(|n| (0..zones.len()).map(|z| distance(n, z)).collect())
                .collect(),
            rates: Mutex::new(vec![0.0; zones.len()]),
            zones,
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            held: AtomicU64::new(0),
            ends: AtomicBool::new(false),
        });
        let scene = Self { world, map, recorder, routers, clients, header, setup };
        let all: Vec<usize> = (0..scene.world.len()).collect();
        scene.starts(&all, Keeps::State)?;
        for zone in 0..scene.routers.len() {
            let clients = Arc::clone(&scene.clients);
            scene.world.spawn(clients.of_zone(zone, seed ^ (zone as u64 + 1)));
        }
        Ok(scene)
    }

    /// Starts some that do not run.
    pub fn starts(&self, some: &[usize], keeps: Keeps) -> Result<(), String> {
        some.iter().for_each(|n| self.recorder.did("start", &name(*n)));
        let started = self.world.start_all(some, keeps);
        self.tell_routers();
        started
    }

    /// Routers learn where balancers are now.
    fn tell_routers(&self) {
        let (listen, operators) = (self.world.addresses(), self.world.operators());
        let at = |of: &[Mutex<Option<SocketAddr>>], n: usize| {
            *of[n].lock().unwrap_or_else(PoisonError::into_inner)
        };
        let zones = self.map.zones();
        let announcers: Vec<Announcer> = (0..self.world.len())
            .filter_map(|n| {
                let zone = self.map.zone_of(n);
                let (operator, listen) = (at(&operators, n)?, at(&listen, n)?);
                let region = self.map.region_of(zone).to_owned();
                Some(Announcer { name: name(n), operator, listen, zone: zones[zone].to_owned(), region })
            })
            .collect();
        self.routers.iter().for_each(|router| router.knows(announcers.clone()));
    }

    /// kill -9. Routers still know of it: they find out by themselves.
    pub fn kill(&self, n: usize) {
        self.recorder.did("kill", &name(n));
        self.world.kill(n);
    }

    /// SIGSTOP.
    pub fn stop(&self, n: usize) {
        self.recorder.did("stop", &name(n));
        self.world.stop(n);
    }

    /// SIGCONT; it may act from the moment that is written down.
    pub fn wake(&self, n: usize) {
        self.recorder.did("wake", &name(n));
        self.world.go_on(n);
    }

    /// The balancers of some zones.
    pub fn balancers_of(&self, zones: &[String]) -> Vec<usize> {
        let zones: Vec<usize> = zones.iter().filter_map(|zone| self.map.zone(zone)).collect();
        (0..self.world.len()).filter(|n| zones.contains(&self.map.zone_of(*n))).collect()
    }

    /// The upstreams of some zones.
    pub fn upstreams_of(&self, zones: &[String]) -> Vec<usize> {
        let zones = zones.iter().filter_map(|zone| self.map.zone(zone));
        zones.flat_map(|zone| self.map.upstreams_of(zone)).collect()
    }

    /// How the applications of some zones behave from now on.
    pub fn behave(&self, zones: &[String], behaviour: Behaviour) {
        for n in self.upstreams_of(zones) {
            self.world.apps[n].behaves(behaviour);
        }
    }

    /// What zones ask for from now on, each as a share of its own room.
    pub fn demand(&self, shares: &[f64]) {
        let mut rates = self.clients.rates.lock().unwrap_or_else(PoisonError::into_inner);
        for (zone, rate) in rates.iter_mut().enumerate() {
            *rate = shares.get(zone).copied().unwrap_or(0.0) * self.map.room_of(zone);
        }
        let text = format!("demand: {shares:?} of the room of each zone");
        self.recorder.note("rig", What::Note { text });
    }

    /// What a balancer shows of places.
    pub fn shown(&self, n: usize) -> serde_json::Value {
        let operator = *self.world.operators()[n].lock().unwrap_or_else(PoisonError::into_inner);
        shown(operator)
    }

    /// Who leads, by what most of those who answer say; of as many, the first.
    pub fn leader(&self) -> Option<usize> {
        let n = self.world.len();
        let mut said = vec![0usize; n];
        for k in (0..n).filter(|k| self.world.balancer(*k).serves()) {
            if let Some(leader) = leader(&self.shown(k), n) {
                said[leader] += 1;
            }
        }
        let most = *said.iter().max()?;
        said.iter().position(|votes| *votes == most && most > 0)
    }

    /// Runs `maplehook places` or `maplehook addresses` with these words against a balancer.
    pub fn command(&self, n: usize, command: &str, words: &[&str]) -> std::io::Result<Output> {
        let operator = self.world.balancer(n).operator;
        let operator = operator.ok_or_else(|| std::io::Error::other("it has no operators' address"))?;
        let mut program = Command::new(&self.setup.program);
        program.args([command, "--address", &operator.to_string(), "--secret-file"]);
        program.arg(self.world.secret()).args(words).output()
    }

    /// The header of its history.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Ends it: clients ask no more, balancers end by themselves, and all that was written down is merged.
    pub fn end(self) -> Vec<Record> {
        self.clients.ends.store(true, Ordering::SeqCst);
        let open = |clients: &Clients| clients.open.load(Ordering::SeqCst);
        self.world.until(PATIENCE + Duration::from_secs(1), |_| open(&self.clients) == 0);
        let held = self.clients.held.load(Ordering::SeqCst);
        if held > 0 {
            let text = format!("{held} requests were not sent: too many were open");
            self.recorder.note("rig", What::Note { text });
        }
        self.recorder.did("end", "run");
        let running: Vec<usize> =
            (0..self.world.len()).filter(|n| self.world.balancer(*n).serves()).collect();
        for n in &running {
            self.recorder.did("term", &name(*n));
            self.world.term(*n);
        }
        for n in running {
            if !self.world.balancer(n).ended(END) {
                self.kill(n);
            }
        }
        self.told()
    }

    /// What everybody has told, by time.
    fn told(&self) -> Vec<Record> {
        let mut parts = Vec::new();
        for n in 0..self.world.len() {
            let (lines, torn) = recorder::own(&Map::history(&self.world.place(n)));
            if torn > 0 {
                let text = format!("{torn} lines of {} could not be read", name(n));
                self.recorder.note("rig", What::Note { text });
            }
            parts.push(lines);
        }
        for (up, app) in self.map.upstreams.iter().zip(&self.world.apps) {
            let runs = app.runs().into_iter();
            let ran = runs.map(|run| {
                // Without a number it is nobody's request.
                let what = What::Ran { id: run.id.parse().unwrap_or(0), through: run.through };
                Record { at_us: run.at_us, by: up.name.clone(), what }
            });
            parts.push(ran.collect());
        }
        for (n, up) in self.map.upstreams.iter().enumerate() {
            for k in 0..self.world.len() {
                let text = super::figures::into(&up.name, &name(k));
                let tried = self.world.from_to_upstream(k, n).tried().into_iter();
                let lines = tried.map(|at_us| {
                    let what = What::Note { text: text.clone() };
                    Record { at_us, by: "rig".to_owned(), what }
                });
                parts.push(lines.collect());
            }
        }
        for router in &self.routers {
            let routes = router.routes().into_iter().map(|routed| {
                let (address, zone, site) = (routed.address, router.zone.clone(), routed.site);
                Record {
                    at_us: routed.at_us,
                    by: router.name.clone(),
                    what: What::Routes { address, zone, site },
                }
            });
            parts.push(routes.collect());
        }
        parts.push(self.recorder.lines());
        recorder::merged(parts)
    }
}
