//! A balancer that reads its upstreams from a registry: marks, failures, restarts, replicas, its own registration.

mod common;

use common::*;
use maplehook_test_servers::eureka::Mode;
use std::net::TcpStream;
use std::time::Duration;

/// Guards the fleet against every way in which a registry fails: whatever it answers for two seconds, desk nodes that
/// answer go on being served.
#[test]
fn no_failure_of_the_registry_empties_the_fleet() {
    let modes = [
        "500",
        "503",
        "reset",
        "mute",
        "drip",
        "empty",
        "half",
        "truncated",
        "garbled",
        "wrong-hash",
        "stale",
    ];
    let rigs: Vec<_> = modes
        .into_iter()
        .enumerate()
        .map(|(n, name)| {
            std::thread::spawn(move || {
                let registry = Eureka::start();
                let apps = fleet(&registry, 6);
                let notation = if n % 2 == 0 { "json" } else { "xml" };
                // What a list does not say is held for a while; an error says nothing, however long it lasts.
                let hold = if matches!(name, "empty" | "half") { 60_000 } else { 300 };
                let extra = format!("format = \"{notation}\"\nhold_ms = {hold}\nhold_answering_ms = {hold}");
                let daemon = start(&[&registry], &extra);
                serves(&daemon);
                let load = Load::start(daemon.address, 2);
                registry.fails(Mode::named(name).unwrap());
                std::thread::sleep(Duration::from_secs(2));
                let (served, other) = load.end();
                println!("{name}: {served} served, {other} not");
                assert!(served > 50 && other == 0, "{name}: {served} served, {other} not");
                // Once it is well, its word counts again.
                registry.fails(Mode::Well);
                registry.mark(APP, &id(0), "DOWN");
                let quiet = || {
                    let before = apps[0].requests();
                    (0..12).for_each(|_| asks(&daemon));
                    apps[0].requests() == before
                };
                until("its word counts", quiet);
            })
        })
        .collect();
    rigs.into_iter().for_each(|rig| rig.join().unwrap());
}

/// Guards a start while the registry is out of order: with upstreams of the file it serves, without it refuses and says
/// when to return; a registry that restarts empty and refills costs nobody his answer.
#[test]
fn a_start_without_the_registry_and_its_restart() {
    let registry = Eureka::start();
    let apps = fleet(&registry, 8);
    registry.fails(Mode::Status(503));
    let bare = start(&[&registry], "");
    let known = format!("[[upstream]]\nname = \"desk-0\"\naddress = \"{}\"\n", apps[0].address);
    let daemon = start(&[&registry], &known);
    serves(&daemon);
    assert_eq!(ask(bare.address), 503);
    registry.fails(Mode::Well);
    serves(&bare);
    until("the others are found", || {
        ask(daemon.address);
        apps.iter().all(|app| app.requests() > 0)
    });
    let load = Load::start(daemon.address, 2);
    registry.forget();
    for (n, app) in apps.iter().enumerate() {
        std::thread::sleep(Duration::from_millis(200));
        registry.register(APP, &id(n), app.address, &[]);
    }
    let (served, other) = load.end();
    assert!(served > 100 && other == 0, "{served} served, {other} not");
}

/// Guards a change of replicas: one that is a minute behind puts nobody back who was taken off.
#[test]
fn a_replica_that_lags_takes_over() {
    let (first, second) = (Eureka::start(), Eureka::start());
    let apps = fleet(&first, 5);
    second.replicate(&first);
    let daemon = start(&[&first, &second], "");
    serves(&daemon);
    std::thread::sleep(Duration::from_millis(20));
    first.mark(APP, &id(0), "OUT_OF_SERVICE");
    let quiet = || {
        let before = apps[0].requests();
        (0..10).for_each(|_| asks(&daemon));
        apps[0].requests() == before
    };
    until("it is off", quiet);
    first.fails(Mode::Reset);
    until("the other one is asked", || second.requests().contains_key("apps"));
    std::thread::sleep(Duration::from_millis(300));
    assert!(quiet(), "put back by a replica that lags");
    second.mark(APP, &id(1), "DOWN");
    until("its news counts", || {
        let before = apps[1].requests();
        (0..10).for_each(|_| asks(&daemon));
        apps[1].requests() == before
    });
}

/// Guards the registry's own view: the balancer registers, renews, comes back where it was forgotten, and deregisters
/// first at its end.
#[test]
fn the_balancer_registers_itself() {
    let registry = Eureka::start();
    let _apps = fleet(&registry, 1);
    let own = "[registration]\napp = \"TIER\"\nid = \"tier-1\"\nrenew_ms = 200\n";
    let daemon = start(&[&registry], own);
    until("it is registered", || registry.known().get("tier-1").map(String::as_str) == Some("UP"));
    until("it renews", || registry.renewals("TIER", "tier-1") > 2);
    registry.forget();
    until("it is back", || registry.known().contains_key("tier-1"));
    let address = daemon.address;
    let ending = std::thread::spawn(move || drop(daemon));
    until("it is gone", || !registry.known().contains_key("tier-1"));
    // It was taken off before the balancer stopped taking connections.
    assert!(TcpStream::connect(address).is_ok());
    ending.join().unwrap();
}

/// Guards what an instance may have the balancer connect to, and tells names apart.
#[test]
fn what_is_not_ours_to_reach_is_not_offered() {
    let registry = Eureka::start();
    let apps = fleet(&registry, 2);
    // Another address of this machine.
    let elsewhere = std::net::TcpListener::bind("127.0.0.2:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    registry.register(APP, "elsewhere", elsewhere.local_addr().unwrap(), &[]);
    let daemon = start(&[&registry], "reach = [\"127.0.0.1/32\"]");
    serves(&daemon);
    for _ in 0..60 {
        assert_eq!(ask(daemon.address), 200);
    }
    assert!(apps.iter().all(|app| app.requests() > 10));
    assert!(elsewhere.accept().is_err(), "it was connected to");
    // One application, or one VIP, alone.
    let strange = App::start();
    registry.register("OTHER", "strange", strange.address, &[]);
    for only in [format!("app = \"{APP}\""), "vip = \"desks\"".into()] {
        let daemon = start(&[&registry], &format!("{only}\nreach = [\"127.0.0.1/32\"]"));
        serves(&daemon);
        (0..20).for_each(|_| assert_eq!(ask(daemon.address), 200));
    }
    assert_eq!(strange.requests(), 0);
}

/// Guards the fleet where all leases end at once though every desk node answers; with self-preservation the registry
/// itself keeps them.
#[test]
fn leases_that_all_end_cost_no_answer() {
    for preserves in [false, true] {
        let registry = Eureka::start();
        registry.preserves(preserves);
        let apps = fleet(&registry, 6);
        let daemon = start(&[&registry], "");
        serves(&daemon);
        let load = Load::start(daemon.address, 2);
        registry.lapse();
        std::thread::sleep(Duration::from_secs(1));
        // A busy machine may take longer over so many; they count only while all leases have ended.
        until("enough are served", || load.served() > 100);
        assert_eq!(registry.known().len(), if preserves { 6 } else { 0 });
        let (served, other) = load.end();
        assert!(served > 100 && other == 0, "{served} served, {other} not");
        drop(apps);
    }
}

/// Guards marks where the registry's clock runs backwards, and where they change faster than it is asked.
#[test]
fn clocks_that_go_back_and_flips_between_two_polls() {
    let registry = Eureka::start();
    let apps = fleet(&registry, 4);
    let daemon = start(&[&registry], "");
    serves(&daemon);
    let quiet = |n: usize| {
        let before = apps[n].requests();
        (0..10).for_each(|_| asks(&daemon));
        apps[n].requests() == before
    };
    registry.clock_behind(Duration::from_secs(3600));
    registry.mark(APP, &id(0), "OUT_OF_SERVICE");
    until("the mark counts", || quiet(0));
    registry.mark(APP, &id(0), "UP");
    until("it is back", || !quiet(0));
    for n in 0..40 {
        registry.mark(APP, &id(1), ["DOWN", "UP"][n % 2]);
        std::thread::sleep(Duration::from_millis(7));
        assert_eq!(ask(daemon.address), 200);
    }
    until("the last word counts", || !quiet(1));
    registry.mark(APP, &id(1), "DOWN");
    until("and so does this one", || quiet(1));
}

/// Guards a registry behind a password: the balancer's opens it, and another one's balancer goes on with what it has.
#[test]
fn a_password_opens_the_registry() {
    let registry = Eureka::start();
    let _apps = fleet(&registry, 2);
    // "maplehook:open sesame"
    registry.demands("bWFwbGVob29rOm9wZW4gc2VzYW1l");
    let path = std::env::temp_dir().join(format!("maplehook-eureka-{}.secret", std::process::id()));
    let auth = format!("user = \"maplehook\"\npassword_file = \"{}\"", path.display());
    assert!(
        Daemon::start(maplehook_config::parse(&file(&[&registry], &auth)).unwrap()).is_err(),
        "no such file"
    );
    std::fs::write(&path, "open sesame\n").unwrap();
    serves(&start(&[&registry], &auth));
    std::fs::remove_file(path).unwrap();
    let stranger = start(&[&registry], "");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(ask(stranger.address), 503);
}
