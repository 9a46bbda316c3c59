//! Versions all the time: by an agreement, or by files and restarts.

use crate::balancer::{Keeps, ask};
use crate::check::{Breach, Call, Did};
use crate::world::{World, settings};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// What an operator does without an agreement: each version goes into all files, and one balancer after the other is started anew;
/// whoever is away has it at its next start. How many versions.
pub(super) fn roll(world: &World, stop: &AtomicBool, seed: u64) -> usize {
    let mut draw = fastrand::Rng::with_seed(seed);
    let mut version = 1;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(draw.u64(200..900)));
        version += 1;
        for n in 0..world.len() {
            let text = world.file(n).replacen(
                &format!("via = \"v{}-", version - 1),
                &format!("via = \"v{version}-"),
                1,
            );
            // Its next start reads it.
            let _ = world.balancer(n).configure(&text);
        }
        for n in 0..world.len() {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            if !world.balancer(n).serves() {
                continue;
            }
            world.term(n);
            if !world.balancer(n).ended(Duration::from_secs(8)) {
                world.kill(n);
            }
            if let Err(e) = world.start_one(n, Keeps::State) {
                eprintln!("{e}");
            }
        }
    }
    version - 1
}

/// Those who propose one version after the other, and look how it stands, at any balancer.
pub(super) struct Proposer {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

/// Looks how it stands, all the time.
fn look(world: &World, stop: &Arc<AtomicBool>, seed: u64) -> JoinHandle<Vec<Call>> {
    let (stopped, operators, history) = (Arc::clone(stop), world.operators(), Arc::clone(&world.history));
    std::thread::spawn(move || {
        let mut draw = fastrand::Rng::with_seed(seed);
        let mut calls = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(draw.u64(20..200)));
            let n = draw.usize(..operators.len());
            let operator = *operators[n].lock().unwrap_or_else(PoisonError::into_inner);
            let from = history.now();
            let shown = operator.and_then(|operator| ask(operator, "/control/settings"));
            let shown = shown.and_then(|(_, text)| serde_json::from_str::<serde_json::Value>(&text).ok());
            let Some(shown) = shown else { continue };
            // Only what the leader has said is the agreed state; a balancer's own view may be an older one.
            let newest = shown["agreed"].as_str().and_then(|label| label.rsplit('-').next()?.parse().ok());
            if let (Some(epoch), Some(newest)) = (shown["epoch_agreed"].as_u64(), newest) {
                calls.push(Call { from, to: history.now(), did: Did::Saw { epoch, newest } });
            }
        }
        calls
    })
}

impl Proposer {
    pub(super) fn start(world: &World, program: PathBuf, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, operators) = (Arc::clone(&stop), world.operators());
        let (secret, text) = (world.secret(), world.file(0));
        let history = Arc::clone(&world.history);
        let looks = [look(world, &stop, seed ^ 1), look(world, &stop, seed ^ 2)];
        let thread = std::thread::spawn(move || {
            let mut draw = fastrand::Rng::with_seed(seed);
            let mut told = Vec::new();
            let mut round = 0u64;
            while !stopped.load(Ordering::SeqCst) {
                round += 1;
                std::thread::sleep(Duration::from_millis(draw.u64(200..900)));
                let n = draw.usize(..operators.len());
                let operator = *operators[n].lock().unwrap_or_else(PoisonError::into_inner);
                let Some(operator) = operator else { continue };
                // Looser and stricter, in turn; each text is another one.
                let effect = match round % 3 {
                    0 => "effect = \"at_most_once\"".to_owned(),
                    1 => format!("effect = \"keyed\"\nkey_ttl_ms = {}", 1000 + round),
                    _ => "effect = \"idempotent\"".to_owned(),
                };
                let mark = format!("[[class]]\nname = \"mark-{round}\"\npath = \"/mark\"\n");
                let next = text.replacen("effect = \"idempotent\"", &effect, 1).replacen(
                    "[[class]]",
                    &format!("{mark}[[class]]"),
                    1,
                );
                let file = secret.with_file_name("proposed.toml");
                if std::fs::write(&file, next).is_err() {
                    continue;
                }
                let (from, mark) = (history.now(), format!("mark-{round}"));
                let path = file.display().to_string();
                let asked = settings(&program, operator, &secret, &["propose", &path, "--json"]);
                let Ok(output) = asked else { continue };
                let number = serde_json::from_slice::<serde_json::Value>(&output.stdout).ok();
                let number = number.filter(|_| output.status.success());
                let did = match number.and_then(|json| json["version"].as_u64()) {
                    Some(version) => Did::Proposed { version, mark },
                    // What was refused became nothing.
                    None if output.status.code() == Some(3) => continue,
                    None => Did::Unknown { mark },
                };
                told.push(Call { from, to: history.now(), did });
            }
            told
        });
        let threads = looks.into_iter().chain([thread]).collect();
        Self { stop, threads }
    }

    pub(super) fn stop(self) -> Vec<Call> {
        self.stop.store(true, Ordering::SeqCst);
        // One that has panicked has done nothing that is known.
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    }
}

/// Versions that were acknowledged, and are not what was proposed under their numbers.
pub(super) fn proposed_and_lost(world: &World, proposed: &[(u64, String)]) -> Vec<Breach> {
    let mut lost = Vec::new();
    let Some((newest, _)) = proposed.last() else { return lost };
    for (number, mark) in proposed.iter().filter(|(number, _)| number + 30 > *newest) {
        let mut shown = None;
        // Whoever leads has to be found first.
        let found = world.until(Duration::from_secs(20), |world| {
            shown = (0..world.len())
                .find_map(|n| world.balancer(n).ask(&format!("/control/settings?show={number}")))
                .filter(|(status, _)| *status == 200)
                .map(|(_, text)| text);
            shown.is_some()
        });
        let right = shown.as_ref().is_some_and(|text| text.contains(&format!("{mark}\\\"")));
        if found.is_none() || !right {
            let seen = format!("version {number} was agreed on as {mark} and is {shown:?}");
            lost.push(Breach { at: world.history.now(), rule: "what was agreed stays", seen });
        }
    }
    lost
}
