//! Requests under the name of another one: its id, or its idempotency key. Each gets the answer that was made for it, or
//! none.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(300);
/// After which time a second request comes, while the first is open.
const WHILE_OPEN: Duration = Duration::from_millis(100);
/// Longer than what is held of a body.
const LONG_BODY: usize = 200_000;

const CLASSES: &str = "[[class]]\nname = \"book\"\npath = \"/book/**\"\neffect = \"at_most_once\"\ndeadline_ms = 5000\n\
     [[class]]\nname = \"pay\"\npath = \"/pay/**\"\neffect = \"keyed\"\ndeadline_ms = 5000\n";

/// An upstream that answers, after its work, with the request line and the length of the body; and the request lines that
/// have run.
fn upstream() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, runs) = (listener.local_addr().unwrap(), Arc::<Mutex<Vec<String>>>::default());
    let shared = Arc::clone(&runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let runs = Arc::clone(&shared);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = Message::read(&mut reader) {
                    let what = format!("{} {:?}", message.line, message.body.first().map(|b| *b as char));
                    runs.lock().unwrap().push(what.clone());
                    std::thread::sleep(WORK);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", what.len());
                    if (&stream).write_all((head + &what).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address, runs)
}

/// A request under a name, which is a header.
fn request(name: &str, method: &str, target: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {target} HTTP/1.1\r\nHost: app\r\n{name}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Sends two requests, the second one while the first is open, and returns their answers.
fn together(node: &Node, first: &str, second: &str) -> (Message, Message) {
    std::thread::scope(|scope| {
        let first = scope.spawn(|| node.connect().exchange(first));
        std::thread::sleep(WHILE_OPEN);
        let second = node.connect().exchange(second);
        (first.join().unwrap(), second)
    })
}

fn text(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).into_owned()
}

/// Guards against a bad client that is served the answer to another client's request (postmortem 81-foreign-answers): it
/// sends the id or the key of that request, with another path, method, query or body, in the same class or another.
#[test]
fn another_request_under_the_same_id_or_key_is_never_served() {
    let (address, runs) = upstream();
    let node = run(&[address], CLASSES);
    for (n, header) in ["X-Correlation-Id", "Idempotency-Key"].into_iter().enumerate() {
        for (k, (method, target, body)) in [
            ("POST", "/book/b", "card"),
            ("POST", "/book/a?n=2", "card"),
            ("PUT", "/book/a", "card"),
            ("POST", "/book/a", "none"),
            ("POST", "/book/a", ""),
            ("POST", "/pay/a", "card"),
        ]
        .into_iter()
        .enumerate()
        {
            // The class of that path takes no request without a key.
            if target.starts_with("/pay") && header == "X-Correlation-Id" {
                continue;
            }
            let name = format!("{header}: n{n}{k}");
            let own = request(&name, "POST", "/book/a", "card");
            let foreign = request(&name, method, target, body);
            let before = runs.lock().unwrap().len();
            let (first, second) = together(&node, &own, &foreign);
            let what = format!("{name} {method} {target} {body}");
            assert_eq!((first.status(), second.status()), (200, 409), "{what}");
            assert!(text(&first).starts_with("POST /book/a HTTP/1.1 Some('c')"), "{what}: {}", text(&first));
            let late = node.connect().exchange(&foreign);
            assert_eq!(late.status(), 422, "{what}: {}", text(&late));
            // A repeat gets the answer that was made for it.
            let repeat = node.connect().exchange(&own);
            assert_eq!((repeat.status(), text(&repeat)), (200, text(&first)), "{what}");
            assert_eq!(runs.lock().unwrap().len(), before + 1, "{what}: {:?}", runs.lock().unwrap());
        }
    }
}

/// Guards the careful side: whether a body that streams is the one of the first try is not known in time, so that it is
/// neither answered with the first one's answer nor sent.
#[test]
fn a_body_that_streams_under_a_name_in_use_is_refused() {
    let (address, runs) = upstream();
    let node = run(&[address], CLASSES);
    let (long, short) = ("x".repeat(LONG_BODY), "card");
    for (k, (first, second)) in
        [(&long[..], &long[..]), (&long, short), (short, &long)].into_iter().enumerate()
    {
        let of = |body| request(&format!("Idempotency-Key: long{k}"), "POST", "/book/a", body);
        let before = runs.lock().unwrap().len();
        let (answer, conflict) = together(&node, &of(first), &of(second));
        assert_eq!((answer.status(), conflict.status()), (200, 409), "pair {k}");
        assert_eq!(node.connect().exchange(&of(second)).status(), 422, "pair {k}");
        assert_eq!(runs.lock().unwrap().len(), before + 1, "pair {k}");
    }
}

/// Guards the platform's ids: one is in use until the last byte of its answer has left, also of a long answer.
#[test]
fn an_id_stays_in_use_while_its_long_answer_is_passed_on() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (go_on, told) = std::sync::mpsc::channel::<()>();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY}\r\n\r\n");
        (&stream).write_all((head + &"x".repeat(LONG_BODY / 2)).as_bytes()).unwrap();
        told.recv().unwrap();
        (&stream).write_all("x".repeat(LONG_BODY / 2).as_bytes()).unwrap();
        told.recv().unwrap();
    });
    let node = Setup::with(&[address]).start();
    let mut reader = node.connect();
    reader.write(&book_as("same", "x"));
    std::thread::sleep(WHILE_OPEN);
    assert_eq!(node.connect().exchange(&book_as("same", "other")).status(), 409);
    go_on.send(()).unwrap();
    assert_eq!(reader.answer().unwrap().body.len(), LONG_BODY);
    until("the id is free", || node.connect().exchange(&look(200).replace("77aa", "same")).status() != 409);
    go_on.send(()).unwrap();
}
