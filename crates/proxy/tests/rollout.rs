//! Real processes that change settings in stages, with faults between them.

use maplehook_test_servers::{LONG, until};
use maplehook_testbed::balancer::Keeps;
use maplehook_testbed::{Setup, World};
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");
/// Short intervals and wide bounds: a stage is judged within two seconds, by some ten requests a balancer and interval.
const REST: &str = "interval_ms = 100\ncut_off_s = 1\nmissing_share = 0.0\n\
    [bounds]\nfailed = 0.4\nrefused = 0.4\nlate = 0.4\nslow = 2.0\ncpu = 10.0\nmemory = 10.0\ndescriptors = 10.0\nsilence = 30\n";

/// Four balancers before upstreams that take 30 ms, with load.
fn world() -> World {
    let agreement = Some("contradiction_ms = 2000\n".into());
    let setup =
        Setup { balancers: 4, upstreams: 2, rate: 240.0, agreement, ..Setup::new(Path::new(PROGRAM)) };
    let world = World::start(setup).unwrap();
    for k in 0..2 {
        let slow = (Duration::from_millis(15), Duration::from_millis(16));
        world.to_upstream(k).for_each(|way| way.set(|trouble| trouble.delay = slow));
    }
    until("all act on version 1", || {
        (0..4).all(|n| {
            let shown = world.settings_of(n);
            shown["in_force"] == 1 && shown["careful"] == false
        })
    });
    world.ask();
    world
}

/// A plan by which `look` has another deadline: first at b4, then at two, then at all.
fn plan(world: &World, deadline: u64, least_s: u64) -> String {
    let place = world.secret().with_file_name(format!("plan-{deadline}-{least_s}"));
    std::fs::create_dir_all(&place).unwrap();
    let before = "effect = \"idempotent\"\ndeadline_ms = 2000";
    let text = world.file(0);
    assert!(text.contains(before), "{text}");
    let text = text.replacen(before, &format!("effect = \"idempotent\"\ndeadline_ms = {deadline}"), 1);
    std::fs::write(place.join("next.toml"), text).unwrap();
    let stages = ["names = ['b4']", "share = 0.5", "share = 1.0"]
        .map(|whom| format!("[[stage]]\n{whom}\nleast_s = {least_s}\nleast_requests = 20\n"));
    let (change, bounds) = REST.split_once("[bounds]").unwrap();
    let text = format!("[change]\nsettings = 'next.toml'\n{change}{}[bounds]{bounds}", stages.concat());
    std::fs::write(place.join("plan.toml"), text).unwrap();
    place.join("plan.toml").display().to_string()
}

fn command(world: &World, n: usize, words: &[&str]) -> Output {
    let address = world.balancer(n).operator.unwrap().to_string();
    let mut command = Command::new(PROGRAM);
    command.args(["rollout", "--address", &address, "--secret-file"]).arg(world.secret());
    command.args(words).output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// It is tried again while no answer is to be had: whoever leads may be about to change.
fn ended(world: &World, n: usize, words: &[&str]) -> Output {
    let mut last = None;
    until("it has an answer", || {
        let ended = command(world, n, words);
        let answered = ended.status.code() != Some(1);
        last = Some(ended);
        answered
    });
    last.unwrap()
}

fn done(world: &World, n: usize, words: &[&str]) -> String {
    let last = ended(world, n, words);
    assert_eq!(last.status.code(), Some(0), "{words:?}: {}", said(&last));
    said(&last)
}

fn asked(world: &World, n: usize, path: &str) -> Value {
    let answer = world.balancer(n).ask(path);
    answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
}

fn status(world: &World, n: usize) -> Value {
    asked(world, n, "/control/rollout")
}

/// The stage that runs at a balancer, from 1 on.
fn stage(world: &World, n: usize) -> Option<u64> {
    status(world, n)["word"].as_str()?.strip_prefix("running stage ")?.parse().ok()
}

fn leader(world: &World) -> usize {
    let mut found = None;
    until("somebody leads", || {
        found = (0..4).find_map(|n| status(world, n)["leader"].as_str()?.strip_prefix('b')?.parse().ok());
        found.is_some()
    });
    found.unwrap_or(1usize) - 1
}

fn word(world: &World, n: usize) -> String {
    status(world, n)["word"].as_str().unwrap_or_default().to_owned()
}

/// All stages are judged well, and the settings are the next version; three stages may take longer than `until` waits.
fn goes_through(world: &World) {
    let begun = Instant::now();
    loop {
        let shown = status(world, 3);
        // Trouble of those that were just started again holds it, and it goes on when that is over.
        let stopped = ["undoing", "undone"].iter().any(|word| shown["state"] == *word);
        assert!(!stopped && begun.elapsed() < 2 * LONG, "{shown:#}");
        if (0..4).all(|n| status(world, n)["version"] == 2) {
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_good_change_of_settings_goes_through_and_is_the_next_version() {
    let world = world();
    let file = plan(&world, 1500, 1);
    let planned = done(&world, 2, &["plan", &file]);
    assert!(planned.contains("stage 1: b4\n") && planned.contains("deadline 2000 to 1500 ms"), "{planned}");
    assert_eq!(status(&world, 2)["state"], "none");
    assert_eq!(world.balancer(2).ask("/control/rollout/own").map(|(status, _)| status), Some(404));
    done(&world, 2, &["start", &file]);
    assert!(done(&world, 1, &["start", &file]).contains("change 1"), "the same again is the same");
    let other = ended(&world, 0, &["start", &plan(&world, 1400, 1)]);
    assert_eq!(other.status.code(), Some(3), "{}", said(&other));
    assert!(said(&other).contains("change 1 is"), "{}", said(&other));
    let next = Path::new(&file).with_file_name("next.toml").display().to_string();
    let proposed = world.settings(3, &["propose", &next]).unwrap();
    assert_eq!(proposed.status.code(), Some(3), "{}", said(&proposed));
    assert!(said(&proposed).contains("changed in stages"), "{}", said(&proposed));
    until("b4 is changed, and nobody else", || {
        (0..4).all(|n| asked(&world, n, "/control/rollout/own")["side"] == ["old", "old", "old", "new"][n])
            || stage(&world, 0) > Some(1)
    });
    goes_through(&world);
    until("all act on it", || (0..4).all(|n| world.settings_of(n)["in_force"] == 2));
    let shown = status(&world, 1);
    let evidence = shown["stages"][0]["evidence"].to_string();
    assert!(evidence.contains("failed: new 0.00 % of "), "{shown}");
    assert!(done(&world, 3, &["status"]).contains("the settings are version 2"));
    assert!(done(&world, 0, &["history"]).contains("done, version 2"));
    let late = ended(&world, 0, &["undo"]);
    assert!(late.status.code() == Some(3) && said(&late).contains("settings undo"), "{}", said(&late));
}

/// A deadline that no upstream can keep: b4 alone ever has it. Then one that an operator takes back.
#[test]
fn what_makes_a_class_worse_is_stopped_at_the_first_stage() {
    let world = world();
    done(&world, 0, &["start", &plan(&world, 20, 1)]);
    until("it is undone", || (0..4).all(|n| status(&world, n)["state"] == "undone"));
    let shown = status(&world, 2);
    assert!(shown["word"].as_str().is_some_and(|word| word.contains("class look")), "{shown}");
    let begun = |n: usize| shown["stages"][n]["since_ms"].is_u64();
    assert!(begun(0) && !begun(1) && !begun(2), "{shown}");
    for n in 0..3 {
        let acted = |line: &&String| line.contains("in force here") && line.contains("New");
        assert_eq!(world.balancer(n).log().iter().filter(acted).count(), 0, "b{} had it", n + 1);
    }
    assert!(
        world.balancer(3).log().iter().any(|line| line.contains("in force here") && line.contains("New"))
    );
    // By its settings, not by a process that has come to grief; and what is undone serves again.
    assert!(!world.balancer(3).log().iter().any(|line| line.contains("panicked")));
    assert_eq!(command(&world, 1, &["status"]).status.code(), Some(2));
    // The next one, held, and undone twice.
    done(&world, 1, &["start", &plan(&world, 1500, 60)]);
    until("b4 has it", || status(&world, 0)["stages"][0]["who"][0]["side"] == "new");
    done(&world, 2, &["hold"]);
    done(&world, 2, &["hold"]);
    until("it is held", || status(&world, 0)["state"] == "held");
    done(&world, 2, &["go"]);
    done(&world, 0, &["undo"]);
    done(&world, 3, &["undo"]);
    until("it is undone", || (0..4).all(|n| status(&world, n)["state"] == "undone"));
    assert!((0..4).all(|n| world.settings_of(n)["in_force"] == 1));
    done(&world, 3, &["undo"]);
    assert_eq!(done(&world, 3, &["history"]).lines().count(), 2);
}

/// The leader dies within a stage: whoever follows goes on from that stage, and through to the end.
#[test]
fn a_leaders_death_loses_no_stage() {
    let world = world();
    done(&world, 3, &["start", &plan(&world, 1500, 2)]);
    until("the first stage runs", || (0..4).all(|n| stage(&world, n) == Some(1)));
    let first = leader(&world);
    world.kill(first);
    let others: Vec<usize> = (0..4).filter(|n| *n != first).collect();
    until("another one leads", || {
        let shown = status(&world, others[0]);
        shown["leader"].is_string() && shown["leader"] != format!("b{}", first + 1)
    });
    assert!(others.iter().all(|n| stage(&world, *n) == Some(1)), "{}", word(&world, others[0]));
    world.start_one(first, Keeps::State).unwrap();
    goes_through(&world);
    until("all act on it", || (0..4).all(|n| world.settings_of(n)["in_force"] == 2));
}

/// The changed one is cut off: it goes back by itself, and to the others its silence is harm.
#[test]
fn whoever_is_changed_and_cut_off_goes_back_by_itself() {
    let world = world();
    done(&world, 0, &["start", &plan(&world, 1500, 60)]);
    until("b4 has it", || status(&world, 0)["stages"][0]["who"][0]["side"] == "new");
    world.between(&[0, 1, 2], &[3], |trouble| trouble.silent = true);
    world.between(&[3], &[0, 1, 2], |trouble| trouble.silent = true);
    until("it has gone back", || {
        let own = asked(&world, 3, "/control/rollout/own");
        own["side"] == "old" && own["word"].as_str().is_some_and(|word| word.contains("cut off"))
    });
    assert_eq!(stage(&world, 3), Some(1), "by itself: it has heard of no undoing");
    until("the others undo it", || status(&world, 0)["state"] == "undoing");
    assert!(word(&world, 0).contains("b4 has told nothing"), "{}", word(&world, 0));
    world.heal_ways();
    until("all are as before", || (0..4).all(|n| status(&world, n)["state"] == "undone"));
}

/// Two of three voters are gone: the stage stays, though its time is over; with them it goes on.
#[test]
fn without_a_majority_no_stage_is_left() {
    let world = world();
    done(&world, 3, &["start", &plan(&world, 1500, 2)]);
    until("the first stage runs", || (0..4).all(|n| stage(&world, n) == Some(1)));
    world.kill(0);
    world.kill(1);
    // By then it would have been judged.
    std::thread::sleep(Duration::from_secs(5));
    assert_eq!((stage(&world, 2), stage(&world, 3)), (Some(1), Some(1)));
    assert_eq!(command(&world, 3, &["undo"]).status.code(), Some(1));
    world.start_all(&[0, 1], Keeps::State).unwrap();
    goes_through(&world);
}
