//! One program after another on one socket: what `maplehook run` inherits, and what `maplehook supervise` does with it.

mod common;

use common::supervised::*;
use common::*;
use maplehook_supervisor::saved_state::ProgramDigest;
use std::net::TcpListener;
use std::os::fd::OwnedFd;

/// Guards the socket: without a platform, too, a process takes the one that it inherits, and the next one goes on there.
#[test]
fn an_operators_balancer_takes_the_socket_that_it_inherits() {
    let upstream = Upstream::start(Then::Answer(OK));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let socket = OwnedFd::from(socket);
    let ask = |node: &Node| node.connect().exchange("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").status();
    let mut old = run_on(&[upstream.address], CLASS, Some(&socket));
    assert_eq!((old.address, ask(&old)), (address, 200));
    let new = run_on(&[upstream.address], CLASS, Some(&socket));
    old.terminate();
    assert!(old.wait().success());
    assert_eq!((new.address, ask(&new)), (address, 200));
}

/// Guards a change at each of its steps: the supervisor is killed there, another one comes, finds what there is, and goes on;
/// no client is refused, and nobody is left over.
#[test]
fn a_supervisor_may_die_at_each_step() {
    let place = Place::new("steps");
    let slow = |n: usize| place.script(&format!("# {n}\nsleep 0.1\nexec {} \"$@\"", place.balancer));
    let first = place.good(0);
    place.wants(&first);
    let mut supervisor = place.supervise();
    place.until_serves(&first);
    let steady = Steady::start(place.address);
    let steps =
        ["to run", "started id=", "operators' calls on", ": serving", ": accepting", "serves", "ended id="];
    for (n, step) in steps.iter().enumerate() {
        let next = slow(n + 1);
        // A fresh log for each.
        supervisor.kill();
        supervisor = place.supervise();
        supervisor.until_said("supervising");
        place.wants(&next);
        supervisor.reload();
        supervisor.until_said(step);
        supervisor.kill();
        // Nobody supervises, and somebody serves.
        ask_all(&place);
        supervisor = place.supervise();
        supervisor.until_said("supervising");
        place.until_serves(&next);
        until("one is left", || place.alive().len() == 1);
    }
    steady.all_served();
    assert_eq!(place.call("/control/ready"), Some(200));
    supervisor.end();
    until("none is left", || place.alive().is_empty());
}

fn ask_all(place: &Place) {
    let steady = Steady::start(place.address);
    std::thread::sleep(std::time::Duration::from_millis(40));
    steady.all_served();
}

/// Guards the old program against new ones that come to nothing, each in its own way.
#[test]
fn a_program_that_does_not_get_so_far_changes_nothing() {
    let mut place = Place::new("bad");
    place.more = place.more.replace("ready_ms = 10000", "ready_ms = 3000\ncrashes = 2\ntrial = 'GET /'");
    let first = place.good(0);
    place.wants(&first);
    let supervisor = place.supervise();
    place.until_serves(&first);
    let (pid, _) = place.present().unwrap();
    supervisor.until_said("is good");
    let threads = supervisor.count("task");
    let steady = Steady::start(place.address);
    // It fails its trial: the upstream of its own file answers otherwise.
    let upstream = Upstream::start(Then::Answer("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"));
    let other = place.folder().join("other.toml");
    let text = std::fs::read_to_string(place.config()).unwrap();
    let at =
        text.split("name = 'desk-0'\naddress = '").nth(1).unwrap().split('\'').next().unwrap().to_owned();
    std::fs::write(&other, text.replace(&at, &upstream.address.to_string())).unwrap();
    let fails = format!("exec {} run --config {}", place.balancer, other.display());
    let gone = place.script("exit 7");
    std::fs::remove_file(place.folder().join("programs").join(gone.as_str())).unwrap();
    let spoilt = place.script("exit 8");
    std::fs::write(place.folder().join("programs").join(spoilt.as_str()), "#!/bin/sh\nexit 9\n").unwrap();
    for (program, says) in [
        (place.script("exit 3"), "died before it served"),
        (place.script("exec sleep 600"), "it was not ready in time"),
        (place.script(&fails), "500 instead of 200"),
        (gone, "No such file"),
        (spoilt, "its SHA-256 is"),
    ] {
        place.wants(&program);
        supervisor.reload();
        supervisor.until_said(&format!("{program} is given up"));
        assert!(supervisor.said(says) >= 2, "{says:?} is not in\n{}", supervisor.all());
        assert_eq!(place.present().unwrap(), (pid, first.clone()));
    }
    until("the failed ones are gone", || place.alive() == [pid]);
    until("nobody speaks with them any more", || supervisor.count("task") == threads);
    let good = place.good(1);
    place.wants(&good);
    supervisor.reload();
    place.until_serves(&good);
    steady.all_served();
    supervisor.end();
}

/// Guards the end of an old process that does nothing any more: it is killed after its grace, with whom it has started.
#[test]
fn an_old_process_that_ignores_its_end_is_killed() {
    let mut place = Place::new("deaf");
    place.more = place.more.replace("grace_ms = 3000", "grace_ms = 400");
    let deaf = place.script(&format!("trap '' TERM\n{} \"$@\" &\nwait\nsleep 600", place.balancer));
    place.wants(&deaf);
    let supervisor = place.supervise();
    place.until_serves(&deaf);
    assert_eq!(place.alive().len(), 2, "a script and its balancer");
    let next = place.good(1);
    place.wants(&next);
    supervisor.reload();
    place.until_serves(&next);
    until("one is left", || place.alive().len() == 1);
    supervisor.end();
}

/// Guards what dies while it serves: the last good program is started again, as often as it takes; a new one that goes on dying
/// gives way.
#[test]
fn what_dies_is_started_again_or_gives_way() {
    let mut place = Place::new("dies");
    place.more = place.more.replace("good_ms = 300", "good_ms = 3000");
    let first = place.good(0);
    place.wants(&first);
    let supervisor = place.supervise();
    supervisor.until_said("is good");
    for n in 1..=5 {
        let (pid, _) = place.present().unwrap();
        signal(pid, "KILL");
        supervisor.until_said(&format!("{first} died, {n} times"));
        until("another one serves", || place.serves(&first) && place.present().unwrap().0 != pid);
    }
    assert_eq!(place.memory().unwrap().crash_counts[&first], 5);
    let dies = place.good(1);
    place.wants(&dies);
    supervisor.reload();
    for n in 1..=3 {
        until("the new one serves", || place.present().is_some_and(|(_, of)| of == dies));
        signal(place.present().unwrap().0, "KILL");
        supervisor.until_said(&format!("{dies} died, {n} times"));
    }
    supervisor.until_said(&format!("{dies} is given up; back to {first}"));
    place.until_serves(&first);
    assert_eq!(place.memory().unwrap().crash_counts[&dies], 3);
    // The next one is told of crashes.
    let (pid, _) = place.present().unwrap();
    let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap();
    let environment = String::from_utf8_lossy(&environment).into_owned();
    assert!(environment.contains("MAPLEHOOK_CRASHES=5\0"), "{environment}");
    assert!(environment.contains(&format!("MAPLEHOOK_DIGEST={first}\0")), "{environment}");
    supervisor.end();
}

/// Guards the start from a spoilt record, or a later program's: whoever serves is found by its socket.
#[test]
fn a_balancer_is_found_without_a_record() {
    let place = Place::new("record");
    let first = place.good(0);
    place.wants(&first);
    let mut supervisor = place.supervise();
    place.until_serves(&first);
    let (pid, _) = place.present().unwrap();
    let steady = Steady::start(place.address);
    let second = place.supervise().wait();
    assert!(!second.success(), "two supervisors at once");
    for (text, says) in [("{\"version\":1,\"wan", "can't be read"), ("{\"version\":9}", "its version is 9")] {
        supervisor.kill();
        std::fs::write(place.folder().join("state/supervise.json"), text).unwrap();
        supervisor = place.supervise();
        supervisor.until_said(says);
        until("it is found", || place.present() == Some((pid, first.clone())));
    }
    let next = place.good(1);
    place.wants(&next);
    supervisor.reload();
    place.until_serves(&next);
    steady.all_served();
    // The file was changed while nobody supervised.
    supervisor.kill();
    place.wants(&first);
    let supervisor = place.supervise();
    place.until_serves(&first);
    supervisor.end();
}

/// Guards against leaks: a hundred changes in a row, and as many descriptors, threads and processes as before.
#[test]
fn a_hundred_changes_leave_nothing_behind() {
    let mut place = Place::new("hundred");
    place.more = place.more.replace("good_ms = 300", "good_ms = 1");
    let programs: Vec<ProgramDigest> = (0..3).map(|n| place.good(n)).collect();
    place.wants(&programs[0]);
    let supervisor = place.supervise();
    place.until_serves(&programs[0]);
    let steady = Steady::start(place.address);
    let change = |n: usize| {
        let program = &programs[n % programs.len()];
        place.wants(program);
        supervisor.reload();
        place.until_serves(program);
    };
    let changes: usize = std::env::var("MAPLEHOOK_CHANGES").map_or(100, |n| n.parse().unwrap());
    change(1);
    let before = (supervisor.count("fd"), supervisor.count("task"));
    (2..=changes).for_each(change);
    until("threads end", || supervisor.count("task") <= before.1 && supervisor.count("fd") <= before.0);
    assert_eq!(place.alive().len(), 1);
    let hands = std::fs::read_dir(place.folder().join("state")).unwrap().flatten();
    assert_eq!(hands.filter(|entry| entry.file_name().to_string_lossy().starts_with("hand-")).count(), 1);
    steady.all_served();
    supervisor.end();
}
