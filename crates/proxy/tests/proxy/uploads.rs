//! Uploads, and what a repeat may do.

use crate::common::*;
use crate::{CLASSES, Rig};
use maplehook_test_servers::app::App;
use reqwest::{Client as Http, Method};
use std::io::Write;

/// Guards uploads: one that its client breaks off, or that is too long, is answered as its client's fault, and is
/// not run; one that the upstream answers early has that answer.
#[test]
fn uploads_that_come_to_nothing_are_their_clients_fault() {
    let limited = CLASSES.replace(
        "path = \"/**\"\ndeadline_ms",
        "path = \"/**\"\nidle_ms = 300\nbody_most_bytes = 500000\ndeadline_ms",
    );
    let rig = Rig::new(&limited);
    assert_eq!(rig.ask(Method::POST, "/x", vec![0; 500_001]).status(), 413);
    assert!(rig.app.seen().is_empty(), "what says that it is too long is not read");
    let chunk = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
    let head = "POST /x HTTP/1.1\r\nHost: app\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut client = rig.node.connect();
    let mut writer = client.writer();
    std::thread::spawn(move || {
        let _ = writer.write_all(head.as_bytes());
        for _ in 0..6 {
            let _ = writer.write_all(chunk.as_bytes());
        }
    });
    assert_eq!(client.answer().unwrap().status(), 413);
    // Nothing comes any more, in the middle of it.
    let mut client = rig.node.connect();
    client.write("POST /x HTTP/1.1\r\nHost: app\r\nContent-Length: 200000\r\n\r\n");
    client.write(&"x".repeat(100_000));
    assert_eq!(client.answer().unwrap().status(), 408);
    let mut client = rig.node.connect();
    client.write(head);
    client.write(&format!("{:x}\r\n{}\r\nnot hexadecimal\r\n", 100_000, "x".repeat(100_000)));
    assert_eq!(client.answer().unwrap().status(), 400);
    assert!(rig.app.effects().is_empty(), "{:?}", rig.app.effects());
    // An answer before the body: it passes, and its connection is not used again.
    let mut client = rig.node.connect();
    let connections = rig.app.connections();
    client.write("POST /early HTTP/1.1\r\nHost: app\r\nContent-Length: 200000\r\n\r\n");
    client.write(&"x".repeat(70_000));
    assert_eq!(client.answer().unwrap().status(), 200);
    assert_eq!(rig.get("/status/200").status(), 200);
    assert!(rig.app.connections() > connections);
}

/// Guards the answer to a client that is still sending when its upload comes to nothing: it is not lost under a reset.
#[test]
fn an_answer_in_the_middle_of_an_upload_arrives() {
    let limited = CLASSES
        .replace("path = \"/**\"\ndeadline_ms", "path = \"/**\"\nbody_most_bytes = 25000000\ndeadline_ms");
    let rig = Rig::new(&limited);
    // A client that writes all of it before it reads anything, as simple ones do.
    let ask = |path: &str, length: usize| {
        let mut client = rig.node.connect();
        let mut writer = client.writer();
        let head = format!("POST {path} HTTP/1.1\r\nHost: app\r\nContent-Length: {length}\r\n\r\n");
        writer.write_all(head.as_bytes()).unwrap();
        writer.write_all(&vec![b'x'; length]).unwrap();
        client.answer().unwrap().status()
    };
    for _ in 0..5 {
        // More than the kernel's buffers take.
        assert_eq!(ask("/cut", 20_000_000), 502);
        assert_eq!(ask("/early", 20_000_000), 200);
        assert_eq!(ask("/x", 30_000_000), 413);
        assert_eq!(ask("/../x/%zz", 20_000_000), 400);
    }
}

/// Guards an upload that has begun to stream: no other upstream gets a part of it, though a repeat would be harmless.
#[test]
fn an_upload_that_has_begun_is_sent_once() {
    let apps = [App::start(), App::start()];
    let class = "[[class]]\nname = \"put\"\npath = \"/**\"\neffect = \"idempotent\"\ndeadline_ms = 5000\n";
    let node = run(&apps.each_ref().map(|app| app.address), class);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let put = |path: &str, length: usize| {
        let url = format!("http://{}{path}", node.address);
        let request = Http::builder().no_proxy().build().unwrap().put(url).body(vec![1; length]);
        runtime.block_on(async { request.send().await }).unwrap().status().as_u16()
    };
    assert_eq!(put("/cut", 3_000_000), 503);
    assert_eq!(apps.iter().map(App::requests).sum::<usize>(), 1);
    // A short one is held, and tried at the other.
    assert_eq!(put("/error/500", 1000), 500);
    assert_eq!(apps.iter().map(App::requests).sum::<usize>(), 3);
}

/// Guards effects against repeats by clients: a key, or an id, runs once, and whoever repeats it hears the same.
#[test]
fn a_repeated_booking_runs_once() {
    let rig = Rig::new(CLASSES);
    let ask = |path: &str, key: &str| {
        let request = rig.http.post(rig.url(path)).header("idempotency-key", key).body("x");
        rig.send(request).status().as_u16()
    };
    for (path, key, status) in [("/book/1", "a", 200), ("/book/2", "b", 200), ("/keyed/1", "c", 200)] {
        assert_eq!((ask(path, key), ask(path, key)), (status, status), "{path}");
        assert_eq!(rig.app.effects()[key], 1, "{path}");
    }
    drop(rig);
    let rig = Rig::new(CLASSES);
    let ask = || {
        let request = rig.http.post(rig.url("/book/reset")).header("x-correlation-id", "r").body("x");
        rig.send(request)
    };
    for _ in 0..3 {
        let answer = ask();
        assert_eq!(
            (answer.status().as_u16(), &answer.headers()["x-maplehook"]),
            (502, &"failed".parse().unwrap())
        );
    }
    assert_eq!(rig.app.effects()["r"], 1);
}
