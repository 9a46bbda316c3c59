//! Several processes of the balancer that agree on versions, with faults between them.

use maplehook_test_servers::until;
use maplehook_testbed::balancer::Keeps;
use maplehook_testbed::check::longest_contradiction;
use maplehook_testbed::{Setup, World};
use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");

fn setup(balancers: usize, agreement: &str) -> Setup {
    let agreement = Some(format!("contradiction_ms = 2000\n{agreement}"));
    Setup { balancers, upstreams: 2, rate: 60.0, agreement, ..Setup::new(Path::new(PROGRAM)) }
}

fn status(world: &World, n: usize) -> Value {
    world.settings_of(n)
}

/// Whether a balancer acts on this version alone, with a lease.
fn acts(world: &World, n: usize, version: u64) -> bool {
    let shown = status(world, n);
    shown["in_force"] == version && shown["step"] == "settled" && shown["careful"] == false
}

fn settled(world: &World, version: u64) -> bool {
    (0..world.len()).all(|n| acts(world, n, version))
}

fn world(balancers: usize, agreement: &str) -> World {
    let world = World::start(setup(balancers, agreement)).unwrap();
    until("all act on version 1", || settled(&world, 1));
    world
}

fn command(world: &World, n: usize, words: &[&str]) -> Output {
    world.settings(n, words).unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Another file, and where it is.
fn changed(world: &World, name: &str, from: &str, to: &str) -> String {
    let text = world.file(0);
    assert!(text.contains(from), "{from:?} is not in {text}");
    let path = world.secret().with_file_name(name);
    std::fs::write(&path, text.replacen(from, to, 1)).unwrap();
    path.display().to_string()
}

const LOOK: &str = "effect = \"idempotent\"";

#[test]
fn a_change_is_proposed_comes_into_force_everywhere_and_is_taken_back() {
    let world = world(4, "");
    world.ask();
    until("upstreams are told the version", || {
        world.apps[0]
            .seen()
            .iter()
            .any(|seen| seen.headers.get("x-maplehook-version").is_some_and(|v| v == "1"))
    });
    let file = changed(&world, "next.toml", LOOK, "effect = \"at_most_once\"");
    // At one that does not vote: it is passed on.
    let done = command(&world, 3, &["propose", &file, "--expect", "1", "--wait"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    assert!(
        said(&done).contains("version 2 is in force everywhere")
            && said(&done).contains("+effect = \"at_most_once\"")
    );
    assert!(said(&done).contains("left out") && settled(&world, 2));
    // Its answer was lost: the same text is the same version.
    assert!(said(&command(&world, 1, &["propose", &file])).contains("version 2"));
    let late = command(
        &world,
        0,
        &["propose", &changed(&world, "late.toml", LOOK, "effect = \"keyed\""), "--expect", "1"],
    );
    assert_eq!(late.status.code(), Some(3), "{}", said(&late));
    until("answers name it", || {
        let answered = world.balancer(2).listen.map(|address| {
            use std::io::{Read, Write};
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            write!(stream, "GET /look/x HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n").unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).unwrap();
            text.to_lowercase()
        });
        answered.is_some_and(|text| text.contains("x-maplehook-version: 2\r\n"))
    });
    // A bad one gets no number, and its line is named.
    let bad = command(&world, 0, &["propose", &changed(&world, "bad.toml", LOOK, "effect = \"always\"")]);
    assert!(
        bad.status.code() == Some(3) && said(&bad).contains("line ") && said(&bad).contains("always"),
        "{}",
        said(&bad)
    );
    assert_eq!(command(&world, 0, &["undo"]).status.code(), Some(0));
    until("the version before is in force again, as the next", || settled(&world, 3));
    let history = said(&command(&world, 2, &["history"]));
    assert_eq!(history.lines().count(), 3, "{history}");
    let diff = said(&command(&world, 2, &["diff", "1", "2"]));
    assert!(
        diff.contains("-effect = \"idempotent\"") && diff.contains("+effect = \"at_most_once\""),
        "{diff}"
    );
    assert!(said(&command(&world, 2, &["diff", "1", "3"])).is_empty());
    // Without the secret nothing is changed.
    std::fs::write(world.secret().with_file_name("wrong"), "not the secret of this tier").unwrap();
    let address = world.balancer(0).operator.unwrap().to_string();
    let wrong = world.secret().with_file_name("wrong");
    let shut = Command::new(PROGRAM)
        .args(["settings", "undo", "--address", &address, "--secret-file"])
        .arg(wrong)
        .output();
    assert!(said(&shut.unwrap()).contains("403"));
    world.quiet();
    let history = world.end();
    assert_eq!(longest_contradiction(&history).0, Duration::ZERO, "{}", longest_contradiction(&history).1);
}

/// The leader is killed in the middle of a change; then everybody at once. What was agreed stays.
#[test]
fn what_was_agreed_outlives_its_leader_and_everybodys_death() {
    let world = world(3, "");
    let leader = |world: &World| -> usize {
        let mut found = None;
        until("somebody leads", || {
            found = (0..3)
                .find_map(|n| status(world, n)["leader"].as_str()?.strip_prefix('b')?.parse::<usize>().ok());
            found.is_some()
        });
        found.unwrap() - 1
    };
    let file = changed(&world, "next.toml", LOOK, "effect = \"keyed\"");
    let first = leader(&world);
    let proposed = command(&world, first, &["propose", &file]);
    assert!(said(&proposed).contains("version 2"), "{}", said(&proposed));
    world.kill(first);
    let others: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    until("the others go on with it", || others.iter().all(|n| acts(&world, *n, 2)));
    world.start_one(first, Keeps::State).unwrap();
    until("and the one that was killed, too", || settled(&world, 2));
    (0..3).for_each(|n| world.kill(n));
    world.start_all(&[0, 1, 2], Keeps::State).unwrap();
    until("it outlives all of them", || settled(&world, 2));
}

/// Whoever is cut off is careful, or refuses, before the others go on; healed, it has what they have.
#[test]
fn whoever_is_cut_off_contradicts_nobody() {
    for (word, refuses) in [("careful", false), ("refuse", true)] {
        let world = world(4, &format!("when_cut_off = \"{word}\"\n"));
        world.ask();
        let (rest, cut) = ([0, 1, 2], [3]);
        world.between(&rest, &cut, |trouble| trouble.silent = true);
        world.between(&cut, &rest, |trouble| trouble.silent = true);
        let file = changed(&world, "next.toml", LOOK, "effect = \"at_most_once\"");
        let done = command(&world, 0, &["propose", &file, "--wait"]);
        assert_eq!(done.status.code(), Some(0), "{}", said(&done));
        assert!(rest.iter().all(|n| acts(&world, *n, 2)));
        let shown = status(&world, 3);
        assert!(shown["careful"] == true && shown["in_force"] == 1, "{shown}");
        let ready = world.balancer(3).ask("/control/ready").map(|(status, _)| status);
        assert_eq!(ready, Some(if refuses { 503 } else { 200 }));
        std::thread::sleep(Duration::from_secs(1));
        world.heal_ways();
        until("it has what the others have", || settled(&world, 2));
        world.quiet();
        let history = world.end();
        let (longest, what) = longest_contradiction(&history);
        assert!(longest < Duration::from_millis(100), "{longest:?}: {what}");
    }
}

/// Without a majority nothing changes, and serving goes on.
#[test]
fn without_a_majority_nothing_changes_and_all_serve_on() {
    let world = world(4, "");
    world.kill(0);
    world.kill(1);
    let file = changed(&world, "next.toml", LOOK, "effect = \"keyed\"");
    let refused = command(&world, 3, &["propose", &file]);
    assert_eq!(refused.status.code(), Some(1), "{}", said(&refused));
    until("those that are left are careful", || status(&world, 3)["careful"] == true);
    assert_eq!(world.balancer(3).ask("/control/ready").map(|(status, _)| status), Some(200));
    world.start_all(&[0, 1], Keeps::State).unwrap();
    until("with a majority it goes on", || settled(&world, 1));
}

/// Files that differ at the start are named, and nobody acts on either of them fully until a version is proposed.
#[test]
fn files_that_differ_are_named_and_nothing_is_in_force() {
    let world = World::prepare(setup(3, "")).unwrap();
    let text = world.file(2).replacen(LOOK, "effect = \"at_most_once\"", 1);
    world.balancer(2).configure(&text).unwrap();
    world.start_all(&[0, 1, 2], Keeps::State).unwrap();
    until("it is said who differs", || {
        (0..3).any(|n| status(&world, n)["differ"].as_array().is_some_and(|differ| differ.len() == 2))
    });
    // And it stays so once all three were heard of.
    std::thread::sleep(Duration::from_secs(2));
    assert!((0..3).all(|n| status(&world, n)["careful"] == true && status(&world, n)["in_force"] == 0));
    let file = changed(&world, "first.toml", LOOK, LOOK);
    let done = command(&world, 1, &["propose", &file, "--wait"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    assert!(settled(&world, 1));
}

/// A voter whose log is lost does not vote as if it never had; it goes on following.
#[test]
fn a_voter_that_lost_its_log_votes_no_more_and_follows() {
    let world = world(3, "");
    world.kill(2);
    world.start_one(2, Keeps::Nothing).unwrap();
    until("it says so", || world.balancer(2).log().iter().any(|line| line.contains("votes no more")));
    until("and follows", || acts(&world, 2, 1));
    // The log alone is gone: the same.
    world.kill(2);
    world.start_one(2, Keeps::Nothing).unwrap();
    let file = changed(&world, "next.toml", LOOK, "effect = \"keyed\"");
    let done = command(&world, 0, &["propose", &file, "--wait"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    world.kill(0);
    std::thread::sleep(Duration::from_secs(3));
    let alone = status(&world, 1);
    assert_eq!(alone["careful"], true, "one vote of three is no majority: {alone}");
}

/// With `wait_for_all` a change waits for whoever is away, until it is forgotten.
#[test]
fn a_change_waits_for_everybody_or_until_they_are_forgotten() {
    let world = world(4, "when_cut_off = \"wait_for_all\"\n");
    world.kill(3);
    let file = changed(&world, "next.toml", LOOK, "effect = \"keyed\"");
    let waits = command(&world, 0, &["propose", &file, "--wait", "4"]);
    assert_eq!(waits.status.code(), Some(2), "{}", said(&waits));
    assert!(said(&waits).contains("until it answers or is forgotten"), "{}", said(&waits));
    assert_eq!(status(&world, 1)["step"], "strictest");
    assert_eq!(command(&world, 1, &["forget", "b4"]).status.code(), Some(0));
    until("it goes on", || (0..3).all(|n| acts(&world, n, 2)));
    world.start_one(3, Keeps::State).unwrap();
    until("the one that was away has it", || settled(&world, 2));
}

/// The leader, and then a follower, stands still for longer than a lease while changes go on: it wakes up and acts on nothing
/// that has run out.
#[test]
fn whoever_stood_still_acts_on_nothing_that_has_run_out() {
    let mut world = world(5, "");
    world.watch();
    world.ask();
    let mut effect = 0;
    for stopped in [0, 4, 1] {
        world.stop(stopped);
        let by = if stopped == 2 { 3 } else { 2 };
        effect += 1;
        let file =
            changed(&world, "next.toml", LOOK, &format!("effect = \"keyed\"\nkey_ttl_ms = {}000", effect));
        let done = command(&world, by, &["propose", &file, "--wait", "30"]);
        assert_eq!(done.status.code(), Some(0), "{}", said(&done));
        world.go_on(stopped);
        until("it has what the others have", || settled(&world, 1 + effect));
    }
    world.quiet();
    let history = world.end();
    let (longest, what) = longest_contradiction(&history);
    assert!(longest < Duration::from_millis(200), "{longest:?}: {what}");
    assert!(maplehook_testbed::check::no_effect_twice(&history).is_empty());
}

/// Links that drop, delay and come and go, and kills, while changes are proposed all the time.
#[test]
fn changes_under_faults_contradict_nowhere_and_none_is_lost() {
    let world = world(5, "");
    world.ask();
    let mut last = 1;
    for round in 0..5u64 {
        match round {
            0 => world.everywhere(|trouble| trouble.loss = 0.2),
            1 => world.everywhere(|trouble| trouble.delay = (Duration::ZERO, Duration::from_millis(60))),
            2 => world.kill(4),
            3 => world.between(&[0], &[1, 2, 3], |trouble| trouble.silent = true),
            _ => world.reset(),
        }
        let file =
            changed(&world, "next.toml", LOOK, &format!("effect = \"keyed\"\nkey_ttl_ms = {}000", round + 1));
        let done = command(&world, 1, &["propose", &file, "--wait", "30"]);
        assert_eq!(done.status.code(), Some(0), "round {round}: {}", said(&done));
        last += 1;
        world.heal_ways();
        if round == 2 {
            world.start_one(4, Keeps::State).unwrap();
        }
    }
    until("all have the last one", || settled(&world, last));
    let history = said(&command(&world, 3, &["history"]));
    assert_eq!(history.lines().count() as u64, last, "{history}");
    world.quiet();
    let (longest, what) = longest_contradiction(&world.end());
    assert!(longest < Duration::from_millis(200), "{longest:?}: {what}");
}

/// A voter that is gone for good gives its place to another balancer; then one that has lost its log has its own again.
#[test]
fn a_voter_is_replaced_by_a_command() {
    let world = world(5, "");
    world.kill(2);
    let replaced = |n: usize, old: &str, new: &str| {
        let mut last = None;
        until("it is replaced", || {
            let done = command(&world, n, &["replace-voter", old, new]);
            let ended = done.status.code() == Some(0);
            last = Some(done);
            // Whoever leads hands that over first.
            ended || last.as_ref().is_some_and(|done| done.status.code() == Some(3))
        });
        last.unwrap()
    };
    let done = replaced(4, "b3", "b4");
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    until("all hear of it", || status(&world, 0)["voters"] == serde_json::json!(["b1", "b2", "b4"]));
    assert_eq!(replaced(1, "b3", "b4").status.code(), Some(0), "once more is harmless");
    assert!(said(&replaced(1, "b3", "b5")).contains("b3 does not vote"));
    // b4 counts: with b1 gone, b2 and b4 are a majority.
    world.kill(0);
    let file = changed(&world, "next.toml", LOOK, "effect = \"keyed\"");
    let done = command(&world, 4, &["propose", &file, "--wait", "30"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    // Its place outlives its process, though its file does not call it a voter.
    world.kill(3);
    world.start_one(3, Keeps::State).unwrap();
    let file = changed(&world, "after.toml", LOOK, "effect = \"at_most_once\"");
    let done = command(&world, 1, &["propose", &file, "--wait", "30"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    // The one that was replaced comes back with its log, and follows.
    world.start_one(2, Keeps::State).unwrap();
    until("it hears that it votes no more", || {
        world.balancer(2).log().iter().any(|line| line.contains("another balancer has this voter's place"))
    });
    until("and follows", || acts(&world, 2, 3));
    // b1 has lost everything: it has its place again under another number.
    world.start_one(0, Keeps::Nothing).unwrap();
    until("it says so", || world.balancer(0).log().iter().any(|line| line.contains("votes no more")));
    let done = replaced(1, "b1", "b1");
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    world.kill(3);
    let file = changed(&world, "last.toml", LOOK, "effect = \"keyed\"");
    let done = command(&world, 4, &["propose", &file, "--wait", "30"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
}

/// A list of clients: whoever is refused by either version is refused in between, and then by the new one; the one that can't
/// act on a version is named, and the version gets no number.
#[test]
fn lists_of_clients_have_versions_and_who_cannot_act_on_one_is_named() {
    let world = World::prepare(setup(4, "")).unwrap();
    for n in 0..3 {
        let text = world.file(n) + "[admission]\nreserve = 0.2\n";
        world.balancer(n).configure(&text).unwrap();
    }
    world.start_all(&[0, 1, 2, 3], Keeps::State).unwrap();
    until("all act on version 1", || settled(&world, 1));
    let asked = |n: usize| {
        use std::io::{Read, Write};
        let mut stream = std::net::TcpStream::connect(world.balancer(n).listen.unwrap()).unwrap();
        write!(stream, "GET /look/x HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text.split(' ').nth(1).unwrap().to_owned()
    };
    assert_eq!(asked(3), "200");
    let list = |name: &str, list: &str| {
        changed(&world, name, "[balancer]", &format!("[clients]\n{list}\n[balancer]"))
    };
    let done = command(&world, 3, &["propose", &list("refused.toml", "refused = ['127.0.0.0/8']"), "--wait"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    assert!((0..4).all(|n| asked(n) == "403"));
    // The fourth keeps no reserve for known clients, and says so.
    let done = command(&world, 0, &["propose", &list("known.toml", "known = ['127.0.0.0/8']")]);
    assert_eq!(done.status.code(), Some(3), "{}", said(&done));
    assert!(said(&done).contains("b4: ") && said(&done).contains("clients.known"), "{}", said(&done));
    assert_eq!(command(&world, 0, &["undo"]).status.code(), Some(0));
    until("the list is gone", || settled(&world, 3));
    assert!((0..4).all(|n| asked(n) == "200"));
}

/// A voter whose disk is full says so and votes no more; the others go on; with room again it is one of them.
#[test]
fn a_full_disk_at_a_voter_stops_nobody() {
    let script = std::env::temp_dir().join(format!("maplehook-narrow-{}", std::process::id()));
    let narrow = |limit: &str| {
        use std::os::unix::fs::PermissionsExt;
        // Beyond the limit a write fails, as on a disk without room; the signal that comes with it is ignored.
        let text = format!("#!/bin/sh\ntrap '' XFSZ\n{limit}\nexec {PROGRAM} \"$@\"\n");
        std::fs::write(&script, text).unwrap();
        std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    };
    narrow("");
    // The second of them goes by the script.
    let world = World::start(Setup { beside: Some(script.clone()), ..setup(3, "") }).unwrap();
    until("all act on version 1", || settled(&world, 1));
    world.kill(1);
    let log = world.balancer(1).state().join("agreement/log.redb");
    let blocks = std::fs::metadata(&log).unwrap().len() / 512 + 8;
    narrow(&format!("ulimit -f {blocks}"));
    world.start_one(1, Keeps::State).unwrap();
    until("all act on version 1 again", || settled(&world, 1));
    let full =
        |world: &World| world.balancer(1).log().iter().any(|line| line.contains("log can't be written"));
    let mut version = 1;
    for round in 0..12u32 {
        let networks: Vec<String> =
            (0..9000u32).map(|n| format!("'10.{round}.{}.{}'", n / 200, n % 200)).collect();
        let list = format!("[clients]\nrefused = [{}]\n[balancer]", networks.join(", "));
        let file = changed(&world, "long.toml", "[balancer]", &list);
        let done = command(&world, 0, &["propose", &file, "--wait", "30", "--json"]);
        assert_eq!(done.status.code(), Some(0), "round {round}: {}", said(&done));
        version += 1;
        if full(&world) {
            break;
        }
    }
    assert!(full(&world), "its disk has room for all of it");
    // It has the version all the same, and the others go on.
    until("all act on it", || settled(&world, version));
    let shown = status(&world, 1);
    assert!(shown["trouble"].is_string(), "{shown}");
    narrow("");
    world.kill(1);
    world.start_one(1, Keeps::State).unwrap();
    until("it votes again", || status(&world, 1)["trouble"].is_null() && settled(&world, version));
    world.kill(2);
    let file = changed(&world, "next.toml", LOOK, "effect = \"keyed\"");
    let done = command(&world, 0, &["propose", &file, "--wait", "30", "--json"]);
    assert_eq!(done.status.code(), Some(0), "{}", said(&done));
    std::fs::remove_file(script).unwrap();
}
