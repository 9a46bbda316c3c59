//! What passes as it is.

use crate::{CLASSES, Rig};
use futures_util::StreamExt;
use maplehook_test_servers::app::{Echo, patterned};
use reqwest::{Body, Method, StatusCode};
use std::io::Read;
use std::time::{Duration, Instant};

/// Guards what an application answers: whatever its status, it passes as it is.
#[test]
fn whatever_an_application_answers_passes() {
    let rig = Rig::new(CLASSES);
    for status in [200, 201, 202, 204, 302, 400, 401, 404, 409, 410, 418, 422, 429, 501, 505] {
        let answer = rig.get(&format!("/status/{status}"));
        assert_eq!(
            (answer.status().as_u16(), &answer.headers()["x-own"]),
            (status, &"kept".parse().unwrap())
        );
        assert!(answer.headers().get("x-maplehook").is_none());
        assert_eq!(answer.headers()["via"], "1.1 maplehook");
        assert!(answer.headers().contains_key("date"));
        assert_eq!(rig.bytes(answer).is_empty(), status == 204);
    }
    // In its own words too where it may be repeated and nothing is left to try, and at once where it may not.
    for method in [Method::GET, Method::POST] {
        let answer = rig.ask(method, "/error/500", "");
        assert_eq!(answer.status(), 500);
        assert_eq!(rig.bytes(answer), b"an error of its own");
    }
    assert_eq!(rig.app.ran("/error/500"), 2, "one upstream: once each");
    let answer = rig.get("/moved");
    assert_eq!(
        (answer.status(), &answer.headers()["location"]),
        (StatusCode::FOUND, &"/days/2?n=1".parse().unwrap())
    );
    let cookies: Vec<_> = rig.get("/cookies").headers().get_all("set-cookie").iter().cloned().collect();
    assert_eq!(cookies, ["a=1; Path=/", "b=2; Path=/"]);
    let answer = rig.get("/gzip");
    assert_eq!(answer.headers()["content-encoding"], "gzip");
    assert_eq!(rig.bytes(answer), "\u{1f}\u{8}not unpacked".as_bytes());
    let fresh = rig.http.get(rig.url("/etag")).header("if-none-match", "\"v1\"").header("range", "bytes=0-3");
    let answer = rig.send(fresh);
    assert_eq!((answer.status().as_u16(), &answer.headers()["etag"]), (304, &"\"v1\"".parse().unwrap()));
    let seen = rig.app.seen().pop().unwrap();
    assert_eq!(seen.headers["range"], "bytes=0-3");
}

/// Guards effects: each method runs once, with its body, and the target is passed on byte for byte.
#[test]
fn every_method_runs_once_and_targets_keep_their_bytes() {
    let rig = Rig::new(CLASSES);
    for method in ["POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE"] {
        let target = format!("/book%2Fday;v=1/a+b/%C3%A9?m={method}&x=%2F+;y");
        // A library may write a target otherwise: bytes are sent.
        let request = format!("{method} {target} HTTP/1.1\r\nHost: app\r\nContent-Length: 4\r\n\r\nbody");
        assert_eq!(rig.node.connect().exchange(&request).status(), 200);
        assert_eq!(rig.app.seen().last().unwrap().target, target);
        assert_eq!(rig.app.ran(&target), 1, "{method}");
        assert_eq!(rig.ask(method.parse().unwrap(), &format!("/once/{method}"), "x").status(), 200);
        assert_eq!(rig.app.ran(&format!("/once/{method}")), 1, "{method}");
    }
    let head = rig.ask(Method::HEAD, "/bytes/12345", "");
    assert_eq!((head.status().as_u16(), &head.headers()["content-length"]), (200, &"12345".parse().unwrap()));
    let mut head = rig.node.connect();
    head.write(
        "HEAD /bytes/12345 HTTP/1.1\r\nHost: app\r\n\r\nGET /status/204 HTTP/1.1\r\nHost: app\r\n\r\n",
    );
    let mut answers = head.writer();
    let mut read = vec![0; 4096];
    let mut text = String::new();
    while !text.contains("204 No Content") {
        let n = answers.read(&mut read).unwrap();
        assert_ne!(n, 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&read[..n]));
    }
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
    let answer = rig.http.request(Method::OPTIONS, rig.url("/x")).header("origin", "http://a.example");
    assert_eq!(rig.send(answer).status(), 200);
    assert_eq!(rig.app.seen().last().unwrap().headers["origin"], "http://a.example");
}

/// Guards the hop: what speaks of one connection stays behind, the upstream is told who asked, and nobody who is no
/// front speaks for others.
#[test]
fn what_speaks_of_one_hop_stays_behind() {
    let rig = Rig::new(CLASSES);
    let hop = "POST /echo HTTP/1.1\r\nHost: app.example\r\nConnection: keep-alive, X-Mine, Idempotency-Key\r\n\
        X-Mine: 1\r\nKeep-Alive: timeout=9\r\nTE: gzip\r\nUpgrade: h2c\r\nProxy-Authorization: x\r\n\
        Idempotency-Key: k1\r\nX-Forwarded-For: 203.0.113.9\r\nX-Two: a\r\nX-Two: b\r\nContent-Length: 0\r\n\r\n";
    let answer = rig.node.connect().exchange(hop);
    let echo: Echo = serde_json::from_slice(&answer.body).unwrap();
    for gone in ["connection", "keep-alive", "x-mine", "upgrade", "proxy-authorization"] {
        assert_eq!(echo.header(gone), None, "{gone}");
    }
    assert_eq!(echo.header("x-forwarded-for"), Some("127.0.0.1"));
    assert_eq!(echo.header("x-forwarded-proto"), Some("http"));
    assert_eq!(echo.header("x-forwarded-host"), Some("app.example"));
    assert_eq!(echo.header("host"), Some("app.example"));
    assert_eq!(echo.header("idempotency-key"), Some("k1"));
    assert_eq!(echo.header("te"), Some("trailers"), "ours, not the client's");
    let two: Vec<&str> = echo.headers.iter().filter(|(n, _)| n == "x-two").map(|(_, v)| v.as_str()).collect();
    assert_eq!(two, ["a", "b"]);
    drop(rig);
    let rig = Rig::new(&format!("{CLASSES}\n[admission]\nfronts = [\"127.0.0.0/8\"]\n"));
    let answer = rig.node.connect().exchange(hop);
    let echo: Echo = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(echo.header("x-forwarded-for"), Some("203.0.113.9, 127.0.0.1"));
}

/// Guards long bodies: they pass whole in both directions, with a length and without.
#[test]
fn long_bodies_pass_both_ways() {
    let rig = Rig::new(CLASSES);
    for length in [0, 1, 65_535, 65_536, 65_537, 10_000_000] {
        let echo = rig.echo(rig.ask(Method::POST, "/echo", patterned(length)));
        assert_eq!((echo.length, echo.patterned), (length, true));
        let body = rig.bytes(rig.get(&format!("/bytes/{length}")));
        assert!(body == patterned(length), "{length}");
        let body = rig.bytes(rig.get(&format!("/chunked/{length}")));
        assert!(body == patterned(length), "{length} in chunks");
    }
    assert!(rig.bytes(rig.get("/bytes/20000000")) == patterned(20_000_000));
    let chunks =
        patterned(1_000_000).chunks(10_007).map(|c| Ok::<_, std::io::Error>(c.to_vec())).collect::<Vec<_>>();
    let body = Body::wrap_stream(futures_util::stream::iter(chunks));
    let echo = rig.echo(rig.ask(Method::PUT, "/echo", body));
    assert_eq!(
        (echo.length, echo.patterned, echo.header("transfer-encoding")),
        (1_000_000, true, Some("chunked"))
    );
}

/// Guards event streams: each event arrives when it is made, not with the last.
#[test]
fn events_arrive_as_they_are_made() {
    let rig = Rig::new(CLASSES);
    let response = rig.get("/events/3/700");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let mut events = response.bytes_stream();
    let mut at = Vec::new();
    for n in 0..3 {
        let event = rig.runtime.block_on(events.next()).unwrap().unwrap();
        assert_eq!(event, format!("data: {n}\n\n"));
        at.push(Instant::now());
    }
    assert!(rig.runtime.block_on(events.next()).is_none());
    // Were they held, they would come together.
    assert!(
        at[1] - at[0] > Duration::from_millis(300) && at[2] - at[1] > Duration::from_millis(300),
        "{at:?}"
    );
}

/// Guards trailers, and a client that asks before it sends.
#[test]
fn trailers_and_expectations_pass() {
    let rig = Rig::new(CLASSES);
    let mut client = rig.node.connect();
    client.write("GET /trailers HTTP/1.1\r\nHost: app\r\nTE: trailers\r\nConnection: TE\r\n\r\n");
    let mut text = String::new();
    let mut stream = client.writer();
    while !text.ends_with("0\r\nx-sum: abc\r\n\r\n") {
        let mut read = [0; 1024];
        let n = stream.read(&mut read).unwrap();
        assert_ne!(n, 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&read[..n]));
    }
    assert!(text.contains("trailer: x-sum"), "{text}");
    let mut client = rig.node.connect();
    client.write("POST /echo HTTP/1.1\r\nHost: app\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    let mut line = [0; 25];
    client.writer().read_exact(&mut line).unwrap();
    assert_eq!(&line[..], b"HTTP/1.1 100 Continue\r\n\r\n");
    client.write("abc");
    let echo: Echo = serde_json::from_slice(&client.answer().unwrap().body).unwrap();
    assert_eq!((echo.length, echo.header("expect")), (3, None));
}
