//! A program that embeds the engine, beside processes of the balancer: it acts on the versions on which they agree.

use bytes::Bytes;
use maplehook::{Call, Engine, Outcome};
use maplehook_config_follower::Follower;
use maplehook_consensus::EnforcementMode;
use maplehook_core::{ClassId, TenantId};
use maplehook_test_servers::until;
use maplehook_testbed::balancer::Keeps;
use maplehook_testbed::{Setup, World};
use std::path::Path;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");

/// Three balancers, and this program as the fourth member.
fn world(agreement: &str) -> (World, Engine, Follower) {
    let agreement = Some(format!("contradiction_ms = 2000\n{agreement}"));
    let setup =
        Setup { balancers: 4, upstreams: 2, agreement, listed: true, ..Setup::new(Path::new(PROGRAM)) };
    let world = World::prepare(setup).unwrap();
    let (engine, follower) = maplehook_config_follower::start(&world.file(3), 7).unwrap();
    world.stands_in(3, follower.tier_address);
    world.start_all(&[0, 1, 2], Keeps::State).unwrap();
    until("the library acts on version 1", || follows(&follower, "1"));
    until("and the others hear of it", || stands(&world, "1"));
    (world, engine, follower)
}

fn follows(follower: &Follower, label: &str) -> bool {
    follower.active_rules().label == label
}

/// Whether the leader has the library at this step.
fn stands(world: &World, label: &str) -> bool {
    let shown = world.settings_of(0);
    let members = shown["members"].as_array().cloned().unwrap_or_default();
    shown["agreed"] == label && members.len() == 4 && members.iter().all(|member| member["waits"] == false)
}

fn propose(world: &World, from: &str, to: &str) -> (Option<i32>, String) {
    let text = world.file(0);
    assert!(text.contains(from), "{from:?} is not in {text}");
    let path = world.secret().with_file_name("next.toml");
    std::fs::write(&path, text.replacen(from, to, 1)).unwrap();
    let path = path.display().to_string();
    let done = world.settings(0, &["propose", &path, "--wait", "20"]).unwrap();
    let said = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    (done.status.code(), said)
}

/// A call of the class of looks.
fn call(runtime: &tokio::runtime::Runtime, engine: &Engine, follower: &Follower, id: u32) -> Outcome {
    let uri: hyper::Uri = format!("http://rig/look/{id}").parse().unwrap();
    let headers: hyper::HeaderMap = [(hyper::header::HOST, "rig".parse().unwrap())].into_iter().collect();
    let fit =
        follower.active_rules().rules.read(&hyper::Method::GET, &uri, &headers).unwrap_or_else(|_| panic!());
    let call = Call {
        class: fit.class,
        tenant: fit.tenant,
        wait: Duration::from_secs(2),
        id: None,
        method: hyper::Method::GET,
        target: uri,
        headers,
        body: Bytes::new().into(),
        peer: None,
    };
    assert_eq!((call.class, call.tenant), (ClassId(0), TenantId(0)));
    runtime.block_on(engine.handle().call(call))
}

fn served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Served(reply) if reply.status == 200)
}

#[test]
fn a_library_host_acts_on_what_balancers_agree_on() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (world, engine, follower) = world("");
    for id in 0..8 {
        assert!(served(&call(&runtime, &engine, &follower, id)));
    }
    assert!(world.apps.iter().all(|app| app.requests() > 0), "both are used");
    // An upstream drains by an operator's word: once that is in force everywhere, it gets nothing from the library either.
    let name = "name = \"u1\"\n";
    let (code, said) = propose(&world, name, &format!("{name}drained = true\n"));
    assert_eq!(code, Some(0), "{said}");
    assert!(follows(&follower, "2"));
    let before = world.apps[0].requests();
    for id in 10..30 {
        assert!(served(&call(&runtime, &engine, &follower, id)));
    }
    assert_eq!(world.apps[0].requests(), before, "it drains");
    // A version that its own file does not go with is refused in its name, and gets no number.
    let (code, said) = propose(&world, "[headers]\n", "[clients]\nknown = ['127.0.0.1']\n[headers]\n");
    assert!(code == Some(3) && said.contains("admission.reserve"), "{said}");
    // Cut off it is careful, and serves; the others go on without it within what is promised.
    world.between(&[0, 1, 2], &[3], |trouble| trouble.silent = true);
    world.between(&[3], &[0, 1, 2], |trouble| trouble.silent = true);
    until("it is careful", || follower.active_rules().mode == EnforcementMode::Conservative);
    assert!(served(&call(&runtime, &engine, &follower, 40)));
    let (code, said) = propose(&world, "effect = \"idempotent\"", "effect = \"at_most_once\"");
    assert_eq!(code, Some(0), "{said}");
    assert!(follows(&follower, "2;careful"));
    world.heal_ways();
    until("it has what the others have", || follows(&follower, "3"));
    until("and they hear of it", || stands(&world, "3"));
    assert!(served(&call(&runtime, &engine, &follower, 50)));
    runtime.block_on(engine.shutdown(Duration::from_secs(2)));
}

/// With `refuse` nothing of it is written any more once its lease has run out.
#[test]
fn a_library_host_that_is_cut_off_refuses_where_the_file_says_so() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (world, engine, follower) = world("when_cut_off = \"refuse\"\n");
    assert!(served(&call(&runtime, &engine, &follower, 1)));
    world.between(&[0, 1, 2], &[3], |trouble| trouble.silent = true);
    until("its lease has run out", || follower.active_rules().mode == EnforcementMode::RejectAll);
    let before: u64 = world.apps.iter().map(|app| app.requests() as u64).sum();
    assert!(!served(&call(&runtime, &engine, &follower, 2)));
    assert_eq!(world.apps.iter().map(|app| app.requests() as u64).sum::<u64>(), before);
    world.heal_ways();
    until("it serves again", || served(&call(&runtime, &engine, &follower, 3)));
}

/// A list that changes acts at every balancer before the version counts as in force: nothing new comes to what it drains.
#[test]
fn a_drained_upstream_gets_nothing_once_the_version_is_in_force() {
    let agreement = Some("contradiction_ms = 2000\n".to_owned());
    let setup = Setup {
        balancers: 3,
        upstreams: 2,
        rate: 200.0,
        agreement,
        listed: true,
        ..Setup::new(Path::new(PROGRAM))
    };
    let world = World::start(setup).unwrap();
    until("all act on version 1", || stands_of(&world, "1"));
    world.ask();
    until("both are used", || world.apps.iter().all(|app| app.requests() > 20));
    let name = "name = \"u1\"\n";
    let (code, said) = propose(&world, name, &format!("{name}drained = true\n"));
    assert_eq!(code, Some(0), "{said}");
    // What had been written before that has come.
    std::thread::sleep(Duration::from_millis(200));
    let before = world.apps[0].requests();
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(world.apps[0].requests(), before);
}

fn stands_of(world: &World, label: &str) -> bool {
    let shown = world.settings_of(0);
    shown["agreed"] == label && shown["careful"] == false
}
