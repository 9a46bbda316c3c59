//! A program that is changed in stages: supervisors start what the roll-out of their balancers says.

mod common;

use common::supervised::*;
use common::*;
use maplehook_supervisor::interface::ROLLOUT_POLL_INTERVAL;
use maplehook_supervisor::saved_state::ProgramDigest;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::Arc;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");
const SECRET: &str = "0123456789abcdef";
/// Short intervals and wide bounds: a stage is judged as soon as 12 intervals are there.
const PLAN: &str = "interval_ms = 100\nmissing_share = 0.0\nshort_s = 600\n\
    [[stage]]\nnames = ['b0']\nleast_s = 1\nleast_requests = 20\n\
    [[stage]]\nshare = 1.0\nleast_s = 1\nleast_requests = 20\n\
    [bounds]\nfailed = 0.4\nrefused = 0.4\nlate = 0.4\nslow = 2.0\ncpu = 10.0\nmemory = 10.0\ndescriptors = 10.0\nsilence = 50\n";

/// Three supervisors, each with its balancer of one tier, and a client of each that never rests.
struct Fleet {
    supervisors: Vec<Supervisor>,
    loads: Vec<Steady>,
    places: Vec<Place>,
    old: ProgramDigest,
}

/// Another directory for each of them; the upstream and the secret are the same.
fn places(name: &str) -> Vec<Place> {
    let mut places: Vec<Place> = (0..3).map(|n| Place::new(&format!("{name}-{n}"))).collect();
    let listens: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
    let upstream = Arc::clone(&places[0].upstream);
    for (own, place) in places.iter_mut().enumerate() {
        place.upstream = Arc::clone(&upstream);
        let (secret, state) = (place.folder().join("secret"), place.folder().join("tier"));
        std::fs::write(&secret, SECRET).unwrap();
        let (listen, secret, state) = (listens[own], secret.display(), state.display());
        // Longer than between three questions of the supervisor's.
        place.more = place.more.replace("good_ms = 300\n", "good_ms = 1600\n");
        place.more += &format!(
            "[tier]\nname = 'b{own}'\nlisten = '{listen}'\nsecret_file = '{secret}'\nstate = '{state}'\n"
        );
        for other in (0..3).filter(|other| *other != own) {
            place.more += &format!("[[tier.peer]]\nname = 'b{other}'\naddress = '{}'\n", listens[other]);
        }
        place.more += "[agreement]\nvoters = ['b0', 'b1', 'b2']\n";
    }
    places
}

impl Fleet {
    fn start(name: &str) -> Self {
        let places = places(name);
        let olds: Vec<ProgramDigest> = places.iter().map(|place| place.good(0)).collect();
        let old = olds[0].clone();
        let supervisors: Vec<Supervisor> = places
            .iter()
            .map(|place| {
                place.wants(&old);
                place.supervise()
            })
            .collect();
        for (place, supervisor) in places.iter().zip(&supervisors) {
            place.until_serves(&old);
            supervisor.until_said("in force here");
            supervisor.until_said(&format!("{old} is good"));
        }
        let loads = places.iter().map(|place| Steady::start(place.address)).collect();
        Self { supervisors, loads, places, old }
    }

    /// A plan that changes to this file, which lies among each one's programs.
    fn plan(&self, bytes: &[u8]) -> (PathBuf, ProgramDigest) {
        let (digest, folder) = (self.places[0].program(bytes), self.places[0].folder());
        let of = |place: &Place| place.folder().join("programs").join(digest.as_str());
        for place in &self.places[1..] {
            // A debug build is large.
            std::fs::hard_link(of(&self.places[0]), of(place)).unwrap();
        }
        let plan = folder.join("plan.toml");
        let text = format!("[change]\nprogram = 'programs/{digest}'\n{PLAN}");
        std::fs::write(&plan, text).unwrap();
        (plan, digest)
    }

    fn rollout(&self, n: usize, words: &[&str]) -> Output {
        let place = &self.places[n];
        let mut command = Command::new(PROGRAM);
        command.args(["rollout", "--address", &place.operators.to_string(), "--secret-file"]);
        command.arg(place.folder().join("secret")).args(words).output().unwrap()
    }

    /// It is tried again while there is no answer.
    fn done(&self, n: usize, words: &[&str]) {
        let mut last = None;
        until("it has an answer", || {
            let ended = self.rollout(n, words);
            let answered = ended.status.code() != Some(1);
            last = Some(ended);
            answered
        });
        let last = last.unwrap();
        assert_eq!(last.status.code(), Some(0), "{words:?}: {last:?}");
    }

    /// A JSON that one answers to operators.
    fn asked(&self, n: usize, path: &str) -> Value {
        let answer = maplehook_supervisor::http_client::request(self.places[n].operators, "GET", path, LONG);
        answer.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok()).unwrap_or_default()
    }

    fn status(&self, n: usize) -> Value {
        self.asked(n, "/control/rollout")
    }

    fn own(&self, n: usize) -> Value {
        self.asked(n, "/control/rollout/own")
    }

    fn all_are(&self, state: &str) -> bool {
        (0..3).all(|n| self.status(n)["state"] == state)
    }

    fn all_serve(&self, program: &ProgramDigest) {
        self.places.iter().for_each(|place| place.until_serves(program));
    }

    /// No client was refused, or left without an answer.
    fn end(self) {
        self.loads.into_iter().for_each(Steady::all_served);
        self.supervisors.into_iter().for_each(Supervisor::end);
    }
}

/// The balancer's program with other bytes at its end, which the system does not read.
fn another() -> Vec<u8> {
    [std::fs::read(PROGRAM).unwrap(), b"another".to_vec()].concat()
}

/// Guards the whole way of a program: the daemon's word, the supervisors' changes, and that the changed process says what it is.
#[test]
fn a_program_goes_through_its_stages_and_no_client_meets_anything_of_it() {
    let fleet = Fleet::start("stages");
    let (plan, new) = fleet.plan(&another());
    assert_eq!(fleet.places[1].call("/control/rollout/own"), Some(404));
    fleet.done(1, &["start", &plan.display().to_string()]);
    until("b0 is changed", || fleet.status(2)["stages"][0]["who"][0]["side"] == "new");
    assert!(fleet.places[0].present().is_some_and(|(_, of)| of == new));
    until("all stages went well", || {
        let shown = fleet.status(1);
        assert!(!["undoing", "undone"].iter().any(|state| shown["state"] == *state), "{shown:#}");
        fleet.all_are("done")
    });
    fleet.all_serve(&new);
    let shown = fleet.status(0);
    let since = |n: usize| shown["stages"][n]["since_ms"].as_u64().unwrap();
    assert!(since(1) >= shown["stages"][0]["until_ms"].as_u64().unwrap(), "{shown:#}");
    assert!(since(1) >= since(0) + 1000, "{shown:#}");
    for (n, supervisor) in fleet.supervisors.iter().enumerate() {
        assert_eq!(fleet.own(n)["side"], "new");
        assert_eq!(supervisor.said(&format!("{new} serves")), 1, "{}", supervisor.all());
        assert_eq!(supervisor.said(" died"), 0, "{}", supervisor.all());
    }
    // What was done stays, but an operator's later word holds, also once the process that was just started has heard of it.
    let b0 = &fleet.places[0];
    b0.wants(&fleet.old);
    fleet.supervisors[0].reload();
    b0.until_serves(&fleet.old);
    until("it has heard of the change", || {
        let own = fleet.own(0);
        own["side"] == "new" && own["runs"] == false
    });
    std::thread::sleep(2 * ROLLOUT_POLL_INTERVAL + ROLLOUT_POLL_INTERVAL / 2);
    until("it is good again", || fleet.supervisors[0].said(&format!("{} is good", fleet.old)) == 2);
    assert!(b0.serves(&fleet.old), "{}", fleet.supervisors[0].all());
    fleet.end();
}

/// A program that ends at once never takes the place: the change stays at its first stage until it is taken back.
#[test]
fn a_program_that_does_not_start_gets_nowhere() {
    let fleet = Fleet::start("bad");
    let (plan, bad) = fleet.plan(b"#!/bin/sh\nexit 9\n");
    let before: Vec<_> = fleet.places.iter().map(Place::present).collect();
    fleet.done(0, &["start", &plan.display().to_string()]);
    fleet.supervisors[0].until_said(&format!("{bad} is given up until another program was told"));
    let shown = fleet.status(1);
    assert_eq!(shown["word"], "running stage 1", "{shown:#}");
    assert!(shown["waits"].to_string().contains("to be changed: b0"), "{shown:#}");
    fleet.done(2, &["undo"]);
    until("it is undone", || fleet.all_are("undone"));
    until("b0 is told so", || fleet.own(0)["side"] == "old");
    let roll_out = format!("to run {}, as the roll-out says", fleet.old);
    fleet.supervisors[0].until_said(&roll_out);
    let after: Vec<_> = fleet.places.iter().map(Place::present).collect();
    assert_eq!(before, after, "the same processes serve");
    for (n, supervisor) in fleet.supervisors.iter().enumerate() {
        assert_eq!(supervisor.said(&format!("{bad} serves")), 0, "{}", supervisor.all());
        assert_eq!(supervisor.said(&bad.to_string()) > 0, n == 0, "{}", supervisor.all());
    }
    // A good one, after it, goes its way.
    let (plan, new) = fleet.plan(format!("#!/bin/sh\n# mended\nexec {PROGRAM} \"$@\"\n").as_bytes());
    fleet.done(2, &["start", &plan.display().to_string()]);
    until("all stages went well", || fleet.all_are("done"));
    fleet.all_serve(&new);
    fleet.end();
}
