//! A voter that is killed (SIGKILL) at each point of its writing, again and again over one directory: what it had acknowledged is
//! there afterwards, whole, and nothing is half in force.

use maplehook_cluster::Name;
use maplehook_consensus::store::{self, PersistedState, Store, WRITE_POINTS};
use maplehook_consensus::voter::{ProposalOutcome, Voter, initial_snapshot, replacement_voter_id, voter_id};
use maplehook_versions::{Command, Phase, digest};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command as Process, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

const PLACE: &str = "MAPLEHOOK_TEST_PLACE";
const POINT: &str = "MAPLEHOOK_TEST_POINT";
const PASS: &str = "MAPLEHOOK_TEST_PASS";
/// Commands that a life has time for.
const COMMANDS: u64 = 24;

fn own() -> Name {
    Name::new("b1").unwrap()
}

/// The voter of this directory: the only one, so that what it has on its disk is agreed.
fn open(place: &Path) -> (Voter, Store) {
    let (store, kept) = match Store::open(place).unwrap() {
        Some(opened) => opened,
        None => {
            store::bootstrap_number(place, 7).unwrap();
            store::write_founders(place, &[("b1".into(), 7)]).unwrap();
            let begins = initial_snapshot(&[own()]);
            (Store::create(place, &begins).unwrap(), PersistedState::initial(&begins))
        }
    };
    let seat = store::replacement_number(place).unwrap();
    let id = seat.map_or_else(|| voter_id(&own()), |number| replacement_voter_id(&own(), number));
    (Voter::new(id, &[own()], kept).unwrap(), store)
}

fn settle(voter: &mut Voter, store: &Store) -> Vec<(u64, ProposalOutcome)> {
    voter.process_ready(&mut |batch| store.write(batch)).unwrap().outcomes
}

fn lead(voter: &mut Voter, store: &Store) {
    for _ in 0..200 {
        voter.tick();
        settle(voter, store);
        if voter.is_established_leader() {
            return;
        }
    }
    panic!("the only voter does not lead");
}

/// A text that can be told whole from cut short.
fn text(number: u64) -> String {
    let body = format!("version {number} ").repeat(200);
    format!("{body}{}", digest(&body))
}

fn is_whole(text: &str) -> bool {
    let (body, sum) = text.split_at(text.len().saturating_sub(64));
    digest(body) == sum
}

/// In a process that is started to be killed: has it killed at its point, and says where its directory is.
fn doomed() -> Option<PathBuf> {
    let place = std::env::var_os(PLACE).map(PathBuf::from)?;
    let pass: u32 = std::env::var(PASS).unwrap().parse().unwrap();
    static PASSED: AtomicU32 = AtomicU32::new(0);
    fail::cfg_callback(std::env::var(POINT).unwrap(), move || {
        if PASSED.fetch_add(1, Ordering::SeqCst) + 1 == pass {
            let own = nix::unistd::Pid::this();
            nix::sys::signal::kill(own, nix::sys::signal::Signal::SIGKILL).unwrap();
        }
    })
    .unwrap();
    Some(place)
}

/// Such a process, which runs one of the ignored tests here.
fn process(test: &str, place: &Path, point: &str, pass: u32) -> Process {
    let mut command = Process::new(std::env::current_exe().unwrap());
    command.args([test, "--exact", "--ignored", "--nocapture"]);
    command.env(PLACE, place).env(POINT, point).env(PASS, pass.to_string());
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command
}

/// Not a test of its own: the life of the process that is killed.
#[test]
#[ignore = "the other test starts it"]
fn a_life() {
    let Some(place) = doomed() else { return };
    let (mut voter, store) = open(&place);
    lead(&mut voter, &store);
    for ticket in 0..COMMANDS {
        let epoch = voter.version_state().epoch;
        let next = voter.version_state().versions.last().map_or(1, |version| version.number + 1);
        let command = match voter.version_state().phase {
            Phase::Transition { .. } => Command::Advance { epoch },
            _ => Command::Propose {
                epoch,
                expected: None,
                text: text(next),
                proposed_by: "b1".into(),
                proposed_at_unix_ms: 0,
            },
        };
        assert!(voter.propose(ticket, &command));
        for (_, ended) in settle(&mut voter, &store) {
            let ProposalOutcome::Applied(Ok(number)) = ended else { panic!("{ended:?}") };
            println!("agreed {number} {}", voter.version_state().epoch);
        }
    }
}

/// Starts a life; what it acknowledged, and whether it was killed.
fn live(place: &Path, point: &str, pass: u32) -> (Vec<(u64, u64)>, bool) {
    let mut child = process("a_life", place, point, pass).stdout(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    let agreed = lines
        .filter_map(|line| {
            let mut words = line.split("agreed ").nth(1)?.split(' ');
            Some((words.next()?.parse().ok()?, words.next()?.parse().ok()?))
        })
        .collect();
    let status = child.wait().unwrap();
    assert!(status.success() || status.code().is_none(), "{point} {pass}: it failed by itself: {status}");
    (agreed, status.code().is_none())
}

#[test]
fn what_was_acknowledged_is_there_after_a_kill_at_any_write() {
    let mut killed: BTreeMap<&str, usize> = BTreeMap::new();
    for point in WRITE_POINTS.into_iter().filter(|point| !point.starts_with("seat")) {
        let place = std::env::temp_dir().join(format!(
            "maplehook-killed-{}-{}",
            std::process::id(),
            point.replace(": ", "-")
        ));
        let _ = std::fs::remove_dir_all(&place);
        let mut acknowledged: BTreeMap<u64, u64> = BTreeMap::new();
        for pass in [1, 2, 3, 5, 9, 14] {
            let (agreed, was_killed) = live(&place, point, pass);
            *killed.entry(point).or_default() += usize::from(was_killed);
            acknowledged.extend(agreed);
            let (mut voter, store) = open(&place);
            lead(&mut voter, &store);
            let steps = voter.version_state();
            let newest = steps.versions.last().map_or(0, |version| version.number);
            for (number, epoch) in &acknowledged {
                assert!(
                    steps.epoch >= *epoch,
                    "{point} {pass}: epoch {epoch} was acted on, {} is there",
                    steps.epoch
                );
                // Only the last ones are kept.
                let there = steps.version(*number).is_some_and(|version| version.text == text(*number));
                assert!(there || number + 32 <= newest, "{point} {pass}: version {number} is lost");
            }
            for version in &steps.versions {
                assert!(
                    is_whole(&version.text) && version.digest == digest(&version.text),
                    "{point} {pass}: half of one"
                );
            }
        }
        std::fs::remove_dir_all(&place).unwrap();
    }
    // Some points are passed but once, at the founding.
    assert!(killed.values().all(|times| *times >= 1), "{killed:?}");
    assert!(killed["write: whole"] == 6 && killed["write: synced"] == 6, "{killed:?}");
}

/// Killed while it takes a place: it never votes under the number that it had, with less than it had voted on.
#[test]
fn a_kill_while_a_place_is_taken_leaves_no_vote_behind() {
    for point in [
        "seat: clears",
        "seat: cleared",
        "put: made",
        "put: synced",
        "put: renamed",
        "create: made",
        "create: written",
    ] {
        for pass in 1..=3 {
            let place = std::env::temp_dir().join(format!(
                "maplehook-seated-{}-{}-{pass}",
                std::process::id(),
                point.replace(": ", "-")
            ));
            let _ = std::fs::remove_dir_all(&place);
            drop(open(&place));
            let seats = |point: &str| process("a_seat", &place, point, pass).status().unwrap();
            let status = seats(point);
            assert!(status.success() || status.code().is_none(), "{point} {pass}: {status}");
            match Store::open(&place) {
                // It has not begun, or is done.
                Ok(Some((_, kept))) => {
                    let seated = store::replacement_number(&place).unwrap() == Some(99);
                    assert_eq!(kept.hard_state.commit, u64::from(!seated), "{point} {pass}");
                }
                // In between it is nobody: it has no log, and says that it has none, or has lost it.
                Ok(None) => {}
                Err(e) => assert!(e.to_string().contains("lost"), "{point} {pass}: {e}"),
            }
            // The command is given again.
            assert!(seats("none").success());
            assert_eq!(store::replacement_number(&place).unwrap(), Some(99));
            assert!(Store::open(&place).unwrap().is_some_and(|(_, kept)| kept == PersistedState::default()));
            std::fs::remove_dir_all(&place).unwrap();
        }
    }
}

/// Not a test of its own: a process that takes a place.
#[test]
#[ignore = "the other test starts it"]
fn a_seat() {
    let Some(place) = doomed() else { return };
    store::create_replacement(&place, 99).unwrap();
}
