//! The adapter as a process: whole batches in, replies out, and one plain line for what is malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "classes": [{"aim_ms": 500.0, "hard_limit_ms": 1500.0,
    "effect": "idempotent", "worth": 1.0, "name": "a", "unknown": [1]}], "news": {"of": "tomorrow"}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_maplehook-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may have ended over an earlier byte: a closed pipe is its answer, not an error of the test.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = clock.to_be_bytes().into_iter().chain(records.concat()).collect();
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

fn power_on(instance: u32, settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    [&[5][..], &instance.to_be_bytes(), &7u64.to_be_bytes(), &length, settings.as_bytes()].concat()
}

fn directory(number: u32, ids: &[u8]) -> Vec<u8> {
    let mut record = [&[4][..], &number.to_be_bytes(), &(ids.len() as u32).to_be_bytes()].concat();
    for id in ids {
        record.extend([10, 0, 0, *id, 0x2b, 0xc0, 0, 0, 0, 0, 0, 1]);
        record.extend(1f32.to_be_bytes());
        record.extend(0f64.to_be_bytes());
    }
    record
}

fn fleet(instance: u32, scope: u8, number: u32) -> Vec<u8> {
    [&[9][..], &instance.to_be_bytes(), &[scope], &1u32.to_be_bytes(), &number.to_be_bytes()].concat()
}

fn ask(instance: u32, request: u32) -> Vec<u8> {
    let mut record = [&[11][..], &instance.to_be_bytes(), &request.to_be_bytes(), &[0; 2], &[0; 4]].concat();
    record.extend(0u64.to_be_bytes());
    record.extend(1500f64.to_be_bytes());
    record.extend(0f64.to_be_bytes());
    record.push(0);
    record
}

fn start() -> Vec<u8> {
    batch(100.0, &[power_on(3, SETTINGS), directory(0, &[1, 2]), fleet(3, 2, 0)])
}

/// The replies in order, without their lengths.
fn replies(out: &[u8]) -> Vec<Vec<u8>> {
    let (mut replies, mut rest) = (Vec::new(), out);
    while !rest.is_empty() {
        let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
        replies.push(rest[4..4 + length].to_vec());
        rest = &rest[4 + length..];
    }
    replies
}

#[test]
fn a_request_is_sent_to_a_listed_upstream() {
    let input = [batch(90.0, &[]), start(), batch(105.0, &[ask(3, 77)])].concat();
    let out = run(&input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let replies = replies(&out.stdout);
    assert_eq!(replies.len(), 3, "one reply a batch");
    assert_eq!(replies[0], [0u8; 0]);
    let forward = &replies[2];
    assert_eq!(forward[0], 72, "a FORWARD");
    assert_eq!(forward[1..5], 3u32.to_be_bytes());
    assert_eq!(forward[5..9], 77u32.to_be_bytes());
    assert_eq!(forward[9..12], [10, 0, 0]);
    assert!([1, 2].contains(&forward[12]) && forward[13..15] == [0x2b, 0xc0]);
    assert_eq!(forward.len(), 23, "nothing else");
}

/// Ends with code 1, one line that names the byte, and no more than the replies due before.
fn malformed(bad: &[u8], byte: usize, word: &str) {
    let out = run(&[start(), bad.to_vec()].concat());
    let line = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(1), "{word}: {line}");
    assert_eq!(line.lines().count(), 1, "{word}: {line}");
    assert!(line.contains(&format!("byte {byte}")), "{word}: no byte {byte} in {line}");
    assert!(line.contains(word), "{word}: {line}");
    assert_eq!(replies(&out.stdout).len(), 1, "{word}: no part of a reply");
}

#[test]
fn a_truncated_frame() {
    let whole = batch(105.0, &[ask(3, 77)]);
    malformed(&whole[..whole.len() - 5], whole.len() - 5, "cut short");
    malformed(&whole[..2], 2, "cut short");
}

#[test]
fn an_impossible_length() {
    malformed(&[0xff, 0xff, 0xff, 0xff, 0, 0], 0, "length");
    malformed(&[0, 0, 0, 3, 0, 0, 0], 0, "length");
}

#[test]
fn a_record_that_stops_short() {
    let mut cut = ask(3, 77);
    cut.truncate(20);
    malformed(&batch(105.0, &[cut]), 27, "needs");
}

#[test]
fn an_unknown_record_code() {
    malformed(&batch(105.0, &[ask(3, 77), vec![99, 0, 0, 0, 3]]), 12 + ask(3, 77).len(), "99");
}

#[test]
fn a_list_number_never_defined() {
    malformed(&batch(105.0, &[fleet(3, 1, 9)]), 12, "list");
}

#[test]
fn an_instance_never_started() {
    malformed(&batch(105.0, &[ask(4, 77)]), 12, "never started");
}

#[test]
fn settings_that_are_no_json_or_permit_nothing() {
    malformed(&batch(105.0, &[power_on(4, "{\"balancers\": ")]), 12, "settings");
    malformed(&batch(105.0, &[power_on(4, "{\"balancers\": 1}")]), 12, "class");
    let negative = SETTINGS.replace("\"worth\": 1.0", "\"worth\": -1.0");
    malformed(&batch(105.0, &[power_on(4, &negative)]), 12, "worth");
}

#[test]
fn a_list_longer_than_its_frame_is_refused_before_memory_is_set_aside() {
    let mut huge = directory(0, &[]);
    huge[5..9].copy_from_slice(&u32::MAX.to_be_bytes());
    malformed(&batch(105.0, &[huge]), 17, "left");
}

#[test]
fn what_a_dead_instance_wanted_does_not_reach_the_next() {
    let detach = [&[8][..], &3u32.to_be_bytes()].concat();
    let input = [start(), batch(105.0, &[ask(3, 77), detach, power_on(3, SETTINGS)])].concat();
    let out = run(&input);
    assert!(out.status.success());
    assert_eq!(replies(&out.stdout)[1], [0u8; 0], "no FORWARD for the dead one's request");
}
