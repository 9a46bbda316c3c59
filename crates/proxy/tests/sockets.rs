//! The balancer as a process between small peers on loopback. Each test says what it guards against.

mod common;

use common::*;
use maplehook_test_servers::registry::Registry;
use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
const PLAIN_503: &str = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
const CUT_SHORT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf";

/// Guards the way through: what must go on unchanged does, and connections are reused on both sides.
#[test]
fn a_request_and_its_answer_pass_unchanged_and_connections_are_kept() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let mut client = node.connect();
    for _ in 0..3 {
        let answer = client.exchange(&book(5000, "a day"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
        assert_eq!(answer.header("x-own"), Some("kept"));
    }
    let seen = upstream.seen();
    assert_eq!((seen.len(), upstream.connections()), (3, 1));
    assert_eq!(seen[0].line, "POST /book/day?n=1 HTTP/1.1");
    assert_eq!(seen[0].header("x-correlation-id"), Some("9b1f03aa"));
    assert_eq!(seen[0].body, b"a day");
    let left: u64 = seen[0].header("x-time-left-ms").unwrap().parse().unwrap();
    assert!(left > 0 && left <= 5000, "{left}");
}

/// Guards the key against a client that names it in `Connection`, and the host against a second one in the target.
#[test]
fn ids_and_keys_cannot_be_named_away_and_an_absolute_target_names_the_host() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let request = book(8000, "x")
        .replace("/book/day", "http://other.example:81/book/day")
        .replace("X-Account", "Idempotency-Key: k-1\r\nConnection: X-Correlation-Id, Idempotency-Key, Host, X-Own\r\nX-Own: 1\r\nX-Account");
    assert_eq!(node.connect().exchange(&request).status(), 200);
    let seen = &upstream.seen()[0];
    assert_eq!(seen.line, "POST /book/day?n=1 HTTP/1.1");
    assert_eq!(seen.header("x-correlation-id"), Some("9b1f03aa"));
    assert_eq!(seen.header("idempotency-key"), Some("k-1"));
    assert_eq!(seen.header("host"), Some("other.example:81"));
    assert_eq!(seen.header("x-own"), None);
}

/// Guards against an effect twice: what may have run is not sent again, nor refused as harmless to retry.
#[test]
fn an_unsafe_request_that_may_have_run_has_failed() {
    for then in [Then::Close, Then::Answer(PLAIN_503), Then::Answer(ERROR), Then::AnswerAndClose(CUT_SHORT)] {
        let upstreams = [Upstream::start(then), Upstream::start(then)];
        let node = Setup::with(&[upstreams[0].address, upstreams[1].address]).start();
        let answer = node.connect().exchange(&book(5000, "x"));
        assert!(![200, 429, 503].contains(&answer.status()), "{answer:?}");
        assert_eq!(upstreams.iter().map(|u| u.seen().len()).sum::<usize>(), 1);
    }
}

/// Guards the other side of that: what is proved not to have run goes to another upstream.
#[test]
fn an_unsafe_request_that_never_ran_is_served_elsewhere() {
    let away = Upstream::start(Then::Answer(TURNED_AWAY));
    let good = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[away.address, nobody(), good.address]).start();
    let mut client = node.connect();
    for _ in 0..6 {
        assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
    }
    assert_eq!(good.seen().len(), 6);
}

/// Guards against a refusal held back or without a time: nobody can serve, so the client is told at once.
#[test]
fn a_request_that_nobody_can_take_is_refused_with_a_time() {
    let node = Setup::with(&[nobody()]).start();
    let answer = node.connect().exchange(&book(5000, "x"));
    assert_eq!(answer.status(), 503);
    let seconds: f64 = answer.header("retry-after").expect("a time").parse().unwrap();
    assert!(seconds > 0.0 && seconds <= 1.0, "{seconds}");
}

/// Guards against stale connections: one that the upstream has closed while idle is not used for a request
/// that could then not be told from one that ran.
#[test]
fn a_connection_closed_while_idle_costs_no_request() {
    let upstream = Upstream::start(Then::AnswerAndClose(OK));
    let node = Setup::with(&[upstream.address]).start();
    let mut client = node.connect();
    for n in 1..=4 {
        assert_eq!(client.exchange(&book(5000, "x")).status(), 200);
        until("the upstream has closed", || upstream.ended() == n);
    }
    assert_eq!((upstream.seen().len(), upstream.connections()), (4, 4));
}

/// Guards against work for nobody: a client that leaves takes its attempt along, connection and all.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let upstream = Upstream::start(Then::Mute);
    let node = Setup::with(&[upstream.address]).start();
    let mut client = node.connect();
    client.write(&book(8000, "x"));
    until("the upstream has it", || upstream.seen().len() == 1);
    assert_eq!(upstream.ended(), 0);
    let left = Instant::now();
    drop(client);
    until("its connection ends", || upstream.ended() == 1);
    assert!(left.elapsed().as_secs() < 5, "not by the deadline");
}

/// Guards against lost requests: a mute upstream still leaves the client its answer, within its time.
#[test]
fn a_mute_upstream_leaves_an_answer_before_the_deadline() {
    let upstream = Upstream::start(Then::Mute);
    let node = Setup::with(&[upstream.address]).start();
    let answer = node.connect().exchange(&book(500, "x"));
    assert!(![200, 429, 503].contains(&answer.status()), "{answer:?}");
    until("the attempt's connection ends", || upstream.ended() == 1);
}

/// Guards against crashes and needless attempts over what clients send.
#[test]
fn unfit_requests_are_answered_plainly_and_go_nowhere() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = Setup::with(&[upstream.address]).start();
    let good = book(5000, "x");
    for (from, to) in [
        ("/book/day", "/nothing"),
        ("/book/day", "/%ff%00"),
        ("POST", "DELETE"),
        ("POST", "GET"),
        ("acme", "nobody"),
        ("X-Account: acme\r\n", ""),
        ("X-Correlation-Id: 9b1f03aa\r\n", ""),
        ("9b1f03aa", ""),
        ("X-Time-Left-Ms: 5000\r\n", ""),
        (": 5000", ": soon"),
        (": 5000", ": -5"),
        (": 5000", ": 99999999999999999999"),
        ("Host", "X-Weight-Hint: heavy\r\nHost"),
        ("/book/day", "/keyed"),
        ("Content-Length: 1\r\n\r\nx", "Content-Length: 9999999999\r\n\r\n"),
        ("Content-Length: 1", "Content-Length: one"),
        ("Content-Length: 1", "Content-Length: -1"),
        ("Content-Length: 1", "Content-Length: 1\r\nContent-Length: 2"),
        ("Content-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked"),
        ("Content-Length: 1", "Transfer-Encoding: chunked\r\nContent-Length: 1"),
        ("Content-Length: 1", "Transfer-Encoding: chunked\r\ncontent-LENGTH: 1"),
        (": 5000", ": +5000"),
        (": 5000", ": 5000\r\nX-Time-Left-Ms: 5000"),
        ("9b1f03aa", "9b1f03aa\r\nX-Correlation-Id: 9b1f03aa"),
        ("9b1f03aa", "9b\u{e9}03aa"),
        ("acme", "acme\r\nX-Account: acme"),
        ("Host: app.svc\r\n", ""),
        (" HTTP/1.1", ""),
    ] {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good);
        let answer = node.connect().exchange(&text);
        assert!((400..500).contains(&answer.status()) && answer.status() != 429, "{text:?}: {answer:?}");
    }
    node.connect().write("\u{1}\u{2} nonsense\r\n\r\n");
    assert!(upstream.seen().is_empty());
    // Without a second length such a body is as good as any.
    let chunk = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    let answer = node.connect().exchange(&good.replacen("Content-Length: 1\r\n\r\nx", chunk, 1));
    assert_eq!(answer.status(), 200);
    // The largest that is allowed.
    assert_eq!(node.connect().exchange(&book(5000, &"y".repeat(200 * 1024))).status(), 200);
    assert!(node.runs());
}

/// Guards against clients locked out by others that only keep their connections.
#[test]
fn an_idle_client_makes_room_when_places_run_out() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let mut node = setup.start();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = node.connect();
        assert_eq!(client.exchange(&look(5000)).status(), 200);
        clients.push(client);
    }
    assert!(clients[0].ends(), "the longest idle was closed between requests");
    assert!(node.runs());
}

/// Guards against places held for nothing: a client has some seconds from its connection for its first whole
/// request, however it spends them. Time left that no class gives is not believed.
#[test]
fn clients_that_come_to_nothing_are_answered_or_ended() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let unfinished = book(3_000_000, &"x".repeat(9999)).replacen(&"x".repeat(9000), "", 1);
    for text in ["", "POST /book HTTP/1.1\r\nHost: a", &unfinished, &look(5000).replace("/look", "/nothing")]
    {
        let mut client = node.connect();
        client.write(text);
        if let Some(answer) = client.answer() {
            assert!((400..500).contains(&answer.status()), "{answer:?}");
        }
        assert!(client.ends(), "{text:?}");
    }
    for text in ["POST /book HTTP/1.1\r\nHost: a\r\n", &unfinished] {
        let mut client = node.connect();
        client.write(text);
        let mut trickle = client.writer();
        let start = Instant::now();
        while trickle.write_all(b"a").is_ok() {
            assert!(start.elapsed() < LONG, "in vain: {text:?} is ended");
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    }
    assert!(upstream.seen().is_empty());
}

/// Guards clients that write slowly: the time that they wait counts from their last byte.
#[test]
fn a_body_that_comes_late_takes_nothing_off_the_clients_time() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let (mut client, text) = (node.connect(), book(1000, "words"));
    client.write(text.strip_suffix("words").unwrap());
    std::thread::sleep(std::time::Duration::from_millis(1200));
    assert_eq!(client.exchange("words").status(), 200);
}

/// Guards usual clients, between two requests or just come, against others that connect by hundreds and say
/// nothing.
#[test]
fn silent_clients_go_before_usual_ones() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let node = setup.start();
    let (mut kept, mut silent) = (node.connect(), Vec::new());
    for _ in 0..100 {
        silent.push(node.connect());
        assert_eq!(kept.exchange(&look(8000)).status(), 200);
    }
    assert_eq!(node.connect().exchange(&look(8000)).status(), 200);
    assert!(silent[0].ends());
}

/// Guards an open request against another that bears its id, by mistake or not: that one goes nowhere.
#[test]
fn the_id_of_an_open_request_is_refused_and_the_open_one_untouched() {
    let mute = Upstream::start(Then::Mute);
    let node = Setup::with(&[mute.address]).start();
    let (mut open, mut other) = (node.connect(), node.connect());
    open.write(&book(3000, "x"));
    until("the upstream has it", || mute.seen().len() == 1);
    for _ in 0..2 {
        assert_eq!(other.exchange(&book(3000, "x")).status(), 409);
    }
    assert_eq!(open.answer().expect("its own answer").status(), 502);
    assert_eq!((mute.seen().len(), mute.connections()), (1, 1));
    // Its id is free again, whatever else is said of the next.
    assert_ne!(node.connect().exchange(&book(1000, "x")).status(), 409);
}

/// Guards against places taken by clients that begin a request and never end it.
#[test]
fn clients_that_never_end_their_head_make_room() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let node = setup.start();
    let mut slow = Vec::new();
    for _ in 0..40 {
        let mut client = node.connect();
        client.write("POST /book HTTP/1.1\r\nHost: a");
        slow.push(client);
    }
    assert_eq!(node.connect().exchange(&look(8000)).status(), 200);
}

/// Guards what was taken before the end: SIGTERM turns ready to 503, connections end with their next answer,
/// what is still unanswered gets its final answer, and the process ends by itself.
#[test]
fn a_planned_end_answers_all_that_was_taken() {
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    setup.deadline_ms = 60_000;
    let mut node = setup.start();
    let (mut held, mut kept) = (node.connect(), node.connect());
    let ready = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    assert_eq!(kept.exchange(ready).status(), 200);
    held.write(&book(60_000, "x"));
    until("the upstream has it", || mute.seen().len() == 1);
    node.terminate();
    let mut status = 200;
    until("not ready any more", || {
        let answer = node.connect().exchange(ready);
        assert!(answer.status() == 200 || answer.header("connection") == Some("close"));
        status = answer.status();
        status == 503
    });
    let answer = held.answer().expect("an answer, not only an end");
    assert!(![200, 429, 503].contains(&answer.status()), "it may have run: {answer:?}");
    assert!(kept.ends(), "idle connections end");
    assert!(node.wait().success());
}

/// Guards against a balancer that starts half configured: it says what is wrong and ends.
#[test]
fn a_bad_configuration_is_named() {
    let path = std::env::temp_dir().join(format!("maplehook-bad-{}.json", std::process::id()));
    let good = Setup::with(&[]).text();
    for (from, to, named) in [
        ("idempotent", "perhaps", "perhaps"),
        ("\"seed\"", "\"seeds\"", "seed"),
        ("\"balancers\":1", "\"balancers\":0", "balancers"),
        ("{", "[", "maplehook:"),
    ] {
        std::fs::write(&path, good.replacen(from, to, 1)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_maplehook"));
        let output = command.env("NODE_CONFIG", &path).stderr(Stdio::piped()).output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && error.contains(named), "{error}");
    }
    std::fs::remove_file(&path).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_maplehook")).env_remove("NODE_CONFIG").output().unwrap();
    assert!(!output.status.success());
}

/// Guards a process that has just begun against SIGHUP: one that comes while the configuration is being read neither ends
/// it nor is lost. Discovery is called where the newer file says.
#[test]
fn a_hangup_while_the_configuration_is_read_is_heeded() {
    let (old, new) = (Registry::start(), Registry::start());
    let mut setup = Setup::with(&[nobody()]);
    (setup.discovery, setup.asks) = (old.address(), true);
    let path = std::env::temp_dir().join(format!("maplehook-early-{}.json", std::process::id()));
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let program = env!("CARGO_BIN_EXE_maplehook");
    let mut child =
        Command::new(program).env("NODE_CONFIG", &path).env_remove("NODE_OPERATOR").spawn().unwrap();
    // Opens once the process has begun to read.
    let mut reading = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let first = setup.text();
    setup.discovery = new.address();
    let newer = path.with_extension("new");
    std::fs::write(&newer, setup.text()).unwrap();
    std::fs::rename(&newer, &path).unwrap();
    let hangup = Command::new("sh").arg("-c").arg(format!("kill -HUP {}", child.id())).status().unwrap();
    assert!(hangup.success());
    let _ = reading.write_all(first.as_bytes());
    drop(reading);
    let called = new.call_within(Duration::from_secs(5)).is_some();
    let runs = child.try_wait().unwrap().is_none();
    let _ = child.kill();
    child.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(runs, "it was ended");
    assert!(called, "the newer file was not read");
}
