//! Requests that are too long or none: one answer that says so and a close, readable although the client goes on sending, and
//! nobody else's answer is lost.

mod common;

use common::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::Instant;

/// Longer than the longest head.
const HEAD: usize = 40 * 1024;
/// What a client goes on sending once its answer is there, in pieces that a reset of its connection shows at.
const MORE: usize = 256 * 1024;
const PIECE: usize = 4 * 1024;

/// The balancer as the platform describes it, and as an operator's file does.
fn both(upstream: &Upstream) -> [Node; 2] {
    let class = "[[class]]\nname = \"all\"\npath = \"/**\"\nbody_most_bytes = 1000\nbuffer_bytes = 1000\ndeadline_ms = 5000\n";
    [Setup::with(&[upstream.address]).start(), run(&[upstream.address], class)]
}

/// Sends a text, reads the answer to it, and goes on sending as a client does that reads late: neither that nor the end of the
/// answer meets a reset. Returns the status.
fn answer_to(node: &Node, text: &str) -> u16 {
    let mut client = node.connect();
    client.write(text);
    let answer = client.answer().expect("an answer");
    let closes = answer.header("connection") == Some("close");
    assert!(closes || ![400, 413, 431].contains(&answer.status()), "{answer:?}");
    let mut writer = client.writer();
    for sent in 0..MORE / PIECE {
        let written = writer.write_all(&[b'x'; PIECE]);
        assert!(written.is_ok(), "{} after {sent} pieces: {written:?}", answer.status());
    }
    writer.shutdown(Shutdown::Write).unwrap();
    assert!(client.ends(), "{}: the connection was reset", answer.status());
    answer.status()
}

#[test]
fn what_is_too_long_or_none_is_answered_and_closed_while_its_client_goes_on() {
    let upstream = Upstream::start(Then::Answer(OK));
    let [platform, own] = both(&upstream);
    let long_name = format!("GET /look HTTP/1.1\r\nHost: a\r\n{}", "x".repeat(HEAD));
    let long_value = format!("GET /look HTTP/1.1\r\nHost: a\r\nX: {}", "x".repeat(HEAD));
    let many = format!("GET /look HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: 1\r\n".repeat(HEAD / 6));
    let chunked = "Transfer-Encoding: chunked\r\n\r\nzz\r\n";
    let odd_chunk = book(8000, "x").replace("Content-Length: 1\r\n\r\nx", chunked);
    let body = |length: u64| format!("POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    for (what, text, status) in [
        ("a name without an end", long_name.as_str(), 431),
        ("a value without an end", &long_value, 431),
        ("headers without an end", &many, 431),
        ("no request", "\u{1}nonsense\r\n\r\n", 400),
        ("an odd length", "POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n", 400),
        ("a chunk that is none", odd_chunk.as_str(), 400),
        ("no class", &body(MORE as u64).replace("/look", "/none/x"), 404),
    ] {
        let mut other = platform.connect();
        assert_eq!(answer_to(&platform, text), status, "{what}");
        assert_eq!(other.exchange(&look(8000)).status(), 200, "after {what}");
    }
    for (what, text, status) in [
        ("a name without an end", long_name.as_str(), 431),
        ("headers without an end", &many, 431),
        ("no request", "\u{1}nonsense\r\n\r\n", 400),
    ] {
        assert_eq!(answer_to(&own, text), status, "{what}");
        assert_eq!(own.connect().exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200, "after {what}");
    }
    assert!(upstream.seen().iter().all(|m| m.body.is_empty()), "nothing of it went on");
}

/// A body that says how long it is, or is found to be too long on the way: 413, and the rest is read away.
#[test]
fn a_body_that_is_too_long_is_answered_while_its_client_goes_on() {
    let upstream = Upstream::start(Then::Answer(OK));
    let [platform, own] = both(&upstream);
    let stated = |length: u64| format!("POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    let id = "X-Correlation-Id: 1\r\nX-Account: acme\r\nX-Time-Left-Ms: 5000\r\nContent-Length";
    let long = stated(1 << 40).replace("/look", "/book/x").replace("Content-Length", id);
    assert_eq!(answer_to(&platform, &long), 413);
    for text in [stated(MORE as u64), stated(1 << 40)] {
        let mut client = own.connect();
        client.write(&text);
        let mut writer = client.writer();
        for _ in 0..MORE / PIECE {
            writer.write_all(&[b'x'; PIECE]).unwrap();
        }
        assert_eq!(client.answer().map(|a| a.status()), Some(413));
    }
    assert_eq!(own.connect().exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    assert_eq!(platform.connect().exchange(&look(8000)).status(), 200);
    assert!(upstream.seen().iter().all(|m| m.body.is_empty()), "nothing of it went on");
}

/// Guards the balancer's descriptors: a client that sends for ever after its answer is not read for ever.
#[test]
fn a_client_that_never_stops_sending_is_given_up() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    until("it has settled", || node.connect().exchange(&look(8000)).status() == 200);
    let before = node.descriptors();
    let mut client = node.connect();
    client.write("\u{1}nonsense\r\n\r\n");
    assert_eq!(client.answer().map(|a| a.status()), Some(400));
    let (mut writer, start) = (client.writer(), Instant::now());
    while writer.write_all(&[b'x'; PIECE]).is_ok() {
        assert!(start.elapsed() < LONG, "it is read for ever");
    }
    until("its descriptor is free", || node.descriptors() <= before);
}

/// Guards an answer that is owed while bad requests come on more connections than are set aside for their ends.
#[test]
fn bad_requests_cost_nobody_else_an_answer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup::with(&[listener.local_addr().unwrap()]).start();
    let mut held = node.connect();
    held.write(&book(8000, "x"));
    let (mut upstream, _) = listener.accept().unwrap();
    let request = Message::read(&mut std::io::BufReader::new(&upstream)).unwrap();
    assert_eq!(request.body, b"x");
    let texts = [
        "\u{1}nonsense\r\n\r\n".to_owned(),
        format!("GET /{} ", "x".repeat(HEAD)),
        book(8000, "x").repeat(2),
    ];
    let mut open: Vec<Client> = Vec::new();
    for (n, text) in texts.iter().cycle().take(60).enumerate() {
        let mut client = node.connect();
        client.write(text);
        // The third has the id of the request that is held.
        let status = client.answer().expect("an answer").status();
        assert_eq!(status, [400, 431, 409][n % 3], "{n}");
        open.push(client);
    }
    upstream.write_all(OK.as_bytes()).unwrap();
    let answer = held.answer().expect("the answer that is owed");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
}
