//! The command line with its help and exit codes, the platform's calls, metrics' names and labels, answers and their headers: as an
//! earlier program had them.

mod common;

use common::*;
use maplehook_golden::assert_text;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");

/// What a call of the program prints, and how it ends.
fn called(line: &[&str]) -> String {
    let mut command = Command::new(PROGRAM);
    command.args(line).env_remove("NODE_CONFIG").env_remove("NODE_OPERATOR").env_remove("NODE_SOCKET_FD");
    let ended = command.current_dir(std::env::temp_dir()).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    format!(
        "$ maplehook {}\n{}{}ends with {:?}\n",
        line.join(" "),
        text(ended.stdout),
        text(ended.stderr),
        ended.status.code()
    )
}

/// The commands that a help text lists.
fn commands(help: &str) -> Vec<String> {
    let listed = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let names = listed.take_while(|line| line.starts_with("  ")).filter(|line| !line.starts_with("   "));
    names
        .filter_map(|line| line.split_whitespace().next())
        .filter(|name| *name != "help")
        .map(str::to_owned)
        .collect()
}

fn helps(line: &[&str], all: &mut String) {
    let help = called(&[line, &["--help"]].concat());
    for name in commands(&help) {
        helps(&[line, &[&name]].concat(), all);
    }
    *all += &help;
}

#[test]
fn the_help_of_every_command_is_as_it_was() {
    let mut all = String::new();
    helps(&[], &mut all);
    assert_text("help.txt", &all);
}

#[test]
fn slips_on_the_command_line_are_answered_as_they_were() {
    let lines: [&[&str]; 20] = [
        &[],
        &["--version"],
        &["nonsense"],
        &["run"],
        &["run", "--config", "/no/such/file"],
        &["check"],
        &["check", "/no/such/file"],
        &["supervise"],
        &["sign", "--secret", "/no/such/file", "--tenant", "acme", "--for-s", "60"],
        &["settings", "status"],
        &["settings", "status", "--address", "127.0.0.1:1"],
        &["settings", "undo", "--address", "127.0.0.1:1"],
        &["places", "status"],
        &["places", "evacuate", "giza", "--address", "127.0.0.1:1"],
        &["addresses", "status", "--address", "127.0.0.1:1"],
        &["rollout", "status"],
        &["rollout", "start", "/no/such/file", "--address", "127.0.0.1:1"],
        &["locality", "check", "/no/such/file"],
        &["tier", "status"],
        &["tier", "status", "--address", "127.0.0.1:1"],
    ];
    assert_text("command-line.txt", &lines.map(called).concat());
}

/// What is answered to some bytes, up to the end of the connection, without what differs from one answer to the next.
fn answered(node: &Node, bytes: &str) -> String {
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let lines = answer.lines().filter(|line| !line.to_ascii_lowercase().starts_with("date:"));
    format!("> {bytes:?}\n{}", lines.map(|line| line.to_owned() + "\n").collect::<String>())
}

#[test]
fn the_platforms_answers_are_as_they_were() {
    let node = Setup::with(&[nobody()]).start();
    let requests = [
        "NONSENSE\r\n\r\n",
        "GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET /health/ready HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\nConnection: close\r\n\r\n",
        "POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
        "TRACE / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    ];
    assert_text("answers.txt", &requests.map(|request| answered(&node, request)).concat());
}

#[test]
fn metrics_calls_and_answers_are_as_they_were() {
    let upstream = nobody();
    let mut setup = Setup::with(&[upstream]);
    setup.control = true;
    let node = setup.start();
    let mut said = String::new();
    for path in ["/control/tier", "/control/settings", "/control/places", "/control/rollout", "/nowhere"] {
        let answer = node.call(path);
        said += &format!("{path} {} {}\n", answer.status(), String::from_utf8_lossy(&answer.body));
    }
    assert_text("calls.txt", &said);
    let text = String::from_utf8(node.call("/control/counters").body).unwrap();
    let names: BTreeSet<String> = text
        .lines()
        .map(|line| {
            if line.starts_with('#') {
                line.to_owned()
            } else {
                line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned()
            }
        })
        .map(|line| line.replace(&upstream.to_string(), "UPSTREAM"))
        .collect();
    assert_text("metrics.txt", &names.into_iter().map(|name| name + "\n").collect::<String>());
}
