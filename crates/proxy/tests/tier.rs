//! Several processes of the balancer that know each other, with faults between them.

use maplehook_test_servers::until;
use maplehook_testbed::balancer::Keeps;
use maplehook_testbed::check::name;
use maplehook_testbed::flood::Flood;
use maplehook_testbed::measure::{quantile, times};
use maplehook_testbed::nemesis::Line;
use maplehook_testbed::relay::Trouble;
use maplehook_testbed::{Setup, World, storm};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");
const LONG: Duration = Duration::from_secs(40);

fn setup(balancers: usize) -> Setup {
    Setup { balancers, upstreams: 3, rate: 30.0, ..Setup::new(Path::new(PROGRAM)) }
}

fn world(balancers: usize) -> World {
    let world = World::start(setup(balancers)).unwrap();
    assert!(world.until(LONG, World::agrees).is_some(), "{:?}", world.views());
    world
}

fn says(world: &World, n: usize, words: &str) -> bool {
    world.balancer(n).log().iter().any(|line| line.contains(words))
}

fn storms(text: &str, balancers: usize) {
    let line = Line::read(text, balancers, 3).unwrap();
    let report = storm::play(setup(balancers), &line, None).unwrap();
    assert!(report.breaches.is_empty(), "{report:#?}");
    assert!(report.answers.get("200").is_some_and(|n| *n > 20), "{:?}", report.answers);
}

/// kill -9, SIGSTOP, a cut, loss with doubles and reordering, and resets, under load; nothing of what is promised breaks.
#[test]
fn faults_of_five_kinds_break_no_promise() {
    storms(include_str!("../../../tools/testbed/storms/five.toml"), 5);
}

/// Half of the tier at once and back within a second, with old and lost state directories.
#[test]
fn half_of_the_tier_goes_and_comes_back() {
    storms(include_str!("../../../tools/testbed/storms/half.toml"), 6);
}

#[test]
fn a_killed_one_is_seen_dead_and_comes_back_under_a_later_start() {
    let world = world(3);
    let before = world.balancer(0).view().unwrap().incarnation;
    world.kill(0);
    assert!(world.until_holds(LONG, 1, 0, "dead").is_some());
    assert!(world.until_holds(LONG, 2, 0, "dead").is_some());
    world.start_one(0, Keeps::State).unwrap();
    assert!(world.until(LONG, World::agrees).is_some(), "{:?}", world.views());
    assert!(world.balancer(0).view().unwrap().incarnation > before);
}

#[test]
fn one_that_leaves_is_not_dead() {
    let world = world(3);
    world.term(0);
    assert!(world.until_holds(LONG, 1, 0, "left").is_some());
    assert!(world.balancer(0).ended(LONG));
}

/// Its discovery can't be reached, and still it sends nothing new to an upstream of which another one heard that it drains.
/// Without a tier it sends on.
#[test]
fn a_drain_told_to_one_acts_at_all() {
    for tier in [true, false] {
        let world = World::start(Setup { tier, ..setup(4) }).unwrap();
        if tier {
            assert!(world.until(LONG, World::agrees).is_some());
        }
        world.ask();
        until("all upstreams are used", || world.apps.iter().all(|app| app.requests() > 8));
        for n in 1..4 {
            world.to_discovery(n).set(|trouble| trouble.silent = true);
        }
        // What was asked of discovery before that has come.
        std::thread::sleep(Duration::from_millis(400));
        world.drain(0);
        let drained = |world: &World| {
            let before = world.apps[0].requests();
            std::thread::sleep(Duration::from_millis(1500));
            world.apps[0].requests() == before
        };
        if tier {
            until("nothing new comes to the upstream that drains", || drained(&world));
            // A peer that dies lifts no drain, nor does time.
            world.kill(0);
            std::thread::sleep(Duration::from_secs(17));
            assert!(drained(&world), "it drains as long as the own discovery has not said otherwise");
            for n in 1..4 {
                world.to_discovery(n).set(|trouble| trouble.silent = false);
            }
            world.registry.mark("APP", "u1", "UP");
            until("it is used again on discovery's word", || !drained(&world));
        } else {
            assert!(!drained(&world), "without a tier those that do not hear of it send on");
        }
    }
}

/// One name, two processes, known at different addresses: the earlier one speaks no more and goes on serving.
#[test]
fn the_same_name_started_twice() {
    let world = world(3);
    let twin = World::prepare(setup(3)).unwrap();
    // The twin's b1 speaks with the world's b2 and b3, which go on speaking with the world's b1.
    let text =
        std::fs::read_to_string(world.balancer(0).state().parent().unwrap().join("maplehook.toml")).unwrap();
    let state = world.balancer(0).state().display().to_string();
    twin.balancer(0).configure(&text.replace(&state, &format!("{state}-twin"))).unwrap();
    twin.balancer(0).start(Keeps::State).unwrap();
    until("the earlier one sees it", || says(&world, 0, "a later process of this name"));
    until("and shows it", || world.balancer(0).view().is_some_and(|view| !view.speaks));
    until("it serves on", || {
        world.balancer(0).ask("/control/ready").is_some_and(|(status, _)| status == 200)
    });
    // With the same directory the later one knows at its start that somebody holds it.
    let mut third = maplehook_testbed::balancer::Balancer::new(
        "b1",
        Path::new(PROGRAM),
        &std::env::temp_dir().join(format!("maplehook-third-{}", std::process::id())),
        &text,
    )
    .unwrap();
    third.start(Keeps::State).unwrap();
    assert!(third.log().iter().any(|line| line.contains("another process holds it")));
    let directory = third.state().parent().unwrap().to_owned();
    drop(third);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn a_wrong_secret_shuts_out_and_is_counted() {
    let world = World::prepare(setup(3)).unwrap();
    let place = world.balancer(0).state().parent().unwrap().to_owned();
    let text = std::fs::read_to_string(place.join("maplehook.toml")).unwrap();
    std::fs::write(place.join("other"), "quite another secret, as long").unwrap();
    let secret = text.lines().find(|line| line.starts_with("secret_file")).unwrap();
    let other = format!("secret_file = \"{}\"", place.join("other").display());
    world.balancer(0).configure(&text.replace(secret, &other)).unwrap();
    world.start_all(&[0, 1, 2], Keeps::State).unwrap();
    assert!(world.until_holds(LONG, 1, 2, "alive").is_some());
    let forged = |n: usize| {
        let (_, text) = world.balancer(n).ask("/control/tier")?;
        text.split("\"datagrams_forged\":").nth(1)?.split(',').next()?.parse::<u64>().ok()
    };
    until("forged datagrams are counted", || {
        forged(1).is_some_and(|n| n > 0) && forged(0).is_some_and(|n| n > 0)
    });
    let view = world.balancer(1).view().unwrap();
    assert!(!view.members.iter().any(|member| member.name == name(0)), "{view:?}");
    until("it serves", || world.balancer(0).ask("/control/ready").is_some_and(|(status, _)| status == 200));
}

#[test]
fn a_flood_of_garbage_parts_nobody_for_good() {
    let mut world = world(3);
    world.watch();
    world.ask();
    let calm_from = world.history.now();
    std::thread::sleep(Duration::from_secs(3));
    let flood_from = world.history.now();
    let flood = Flood::start(world.balancer(0).tier.unwrap()).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    until("the flood is there", || flood.sent() > 5_000);
    let flood_to = world.history.now();
    drop(flood);
    assert!(world.until(LONG, World::agrees).is_some(), "{:?}", world.views());
    world.quiet();
    let history = world.end();
    let breaches = maplehook_testbed::check::one_answer(&history, &storm::promised(3));
    assert!(breaches.is_empty(), "{breaches:?}");
    // Nothing of it is on the way of requests; the bound is wide since machines are busy.
    let (calm, flooded) = (times(&history, calm_from, flood_from), times(&history, flood_from, flood_to));
    let (calm_p99, flooded_p99) = (quantile(&calm, 0.99), quantile(&flooded, 0.99));
    assert!(calm.len() > 50 && flooded.len() > 50, "{} and {}", calm.len(), flooded.len());
    assert!(flooded_p99 < calm_p99 * 10 + Duration::from_millis(200), "{calm_p99:?}, {flooded_p99:?}");
}

/// A state directory that can't be written, or that holds garbage, is told in the log and keeps nobody from serving.
#[test]
fn a_bad_state_directory_is_told() {
    let world = World::prepare(setup(2)).unwrap();
    let state = world.balancer(0).state();
    std::fs::write(&state, "a file").unwrap();
    let other = world.balancer(1).state();
    std::fs::create_dir_all(&other).unwrap();
    std::fs::write(other.join("start"), "maplehook-start 1 b2 17").unwrap();
    world.start_all(&[0, 1], Keeps::State).unwrap();
    assert!(world.until(LONG, World::agrees).is_some());
    assert!(says(&world, 0, "the start is not recorded") && says(&world, 1, "cut short, spoilt"));
    // A disk without room: the start before stays on record, and the next one comes after it all the same.
    let before = world.balancer(1).view().unwrap().incarnation;
    let recorded = || std::fs::read_to_string(other.join("start")).unwrap();
    let kept = recorded();
    world.kill(1);
    std::os::unix::fs::symlink("/dev/full", other.join("start.new")).unwrap();
    world.start_one(1, Keeps::State).unwrap();
    assert!(world.until(LONG, World::agrees).is_some());
    assert!(says(&world, 1, "the start is not recorded: No space left"));
    assert_eq!(recorded(), kept);
    assert!(world.balancer(1).view().unwrap().incarnation > before);
}

/// Bytes that trickle, and connections that are refused: the links' trouble is nobody's death.
#[test]
fn slow_and_refused_links_part_nobody() {
    let world = world(3);
    world.everywhere(|trouble: &mut Trouble| (trouble.refuse, trouble.slow) = (true, 200));
    world.reset();
    std::thread::sleep(Duration::from_secs(8));
    assert!(world.agrees(), "{:?}", world.views());
}

#[test]
fn operators_are_shown_who_is_there() {
    let world = world(2);
    let status = |extra: &[&str]| {
        let address = world.balancer(0).operator.unwrap().to_string();
        let done = Command::new(PROGRAM)
            .args(["tier", "status", "--address", &address])
            .args(extra)
            .output()
            .unwrap();
        (done.status.code(), String::from_utf8(done.stdout).unwrap())
    };
    let (code, table) = status(&[]);
    assert!(code == Some(0) && table.contains("b2") && table.contains("alive"), "{table}");
    let (_, json) = status(&["--json"]);
    for key in
        ["\"name\":\"b1\"", "\"incarnation\":", "\"members\":[", "\"since_ms\":", "\"wire\":1", "\"link\":{"]
    {
        assert!(json.contains(key), "{key} is not in {json}");
    }
    world.kill(1);
    assert!(world.until_holds(LONG, 0, 1, "dead").is_some());
    let (code, table) = status(&[]);
    assert!(code == Some(2) && table.contains("dead"), "{table}");
    let nobody = Command::new(PROGRAM).args(["tier", "status", "--address", "127.0.0.1:9"]).output().unwrap();
    assert_eq!(nobody.status.code(), Some(1));
    // Where no tier is, there is no such call.
    drop(world);
    let alone = World::start(Setup { tier: false, ..setup(1) }).unwrap();
    assert!(alone.balancer(0).ask("/control/tier").is_some_and(|(status, _)| status == 404));
}

/// Without `[tier]` there is not one thread and not one socket of it.
#[test]
fn without_a_tier_there_is_nothing_of_it() {
    let counted = |tier: bool| {
        let world = World::start(Setup { tier, ..setup(2) }).unwrap();
        if tier {
            assert!(world.until(LONG, World::agrees).is_some());
        }
        world.balancer(0).threads().unwrap()
    };
    let (with, without) = (counted(true), counted(false));
    assert!(with.contains(&"tier".to_owned()), "{with:?}");
    assert!(
        !without.contains(&"tier".to_owned()) && without.len() + 1 == with.len(),
        "{without:?}, {with:?}"
    );
}
