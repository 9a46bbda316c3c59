//! Upstreams that answer badly, late or not at all, as clients of the balancer see them.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum After {
    Keep,
    Close,
    Reset,
}

/// What is done about a request: on which connection it has come, the how manieth it is there, and the stream.
type Act = dyn Fn(usize, usize, &TcpStream) -> After + Send + Sync;

/// An upstream that does what a test says, each connection on a thread of its own.
struct Scripted {
    address: SocketAddr,
    /// The ids of requests, each with the number of its connection.
    seen: Arc<Mutex<Vec<(String, usize)>>>,
}

impl Scripted {
    fn start(act: impl Fn(usize, usize, &TcpStream) -> After + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, act): (Arc<Mutex<Vec<_>>>, Arc<Act>) = (Arc::default(), Arc::new(act));
        let kept = Arc::clone(&seen);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let (seen, act) = (Arc::clone(&kept), Arc::clone(&act));
                std::thread::spawn(move || serve(number, &stream, &seen, &*act));
            }
        });
        Self { address, seen }
    }

    /// One that answers its first request badly and all others well.
    fn first_badly(text: String, after: After) -> Self {
        Self::start(move |number, count, mut stream| {
            let first = (number, count) == (0, 0);
            // The balancer may end it in the middle.
            let _ = stream.write_all(if first { text.as_bytes() } else { OK.as_bytes() });
            if first { after } else { After::Keep }
        })
    }

    /// The connections on which a request has come, in order.
    fn connections_of(&self, id: &str) -> Vec<usize> {
        self.seen.lock().unwrap().iter().filter(|(seen, _)| seen == id).map(|(_, number)| *number).collect()
    }
}

fn serve(number: usize, stream: &TcpStream, seen: &Mutex<Vec<(String, usize)>>, act: &Act) {
    let mut reader = BufReader::new(stream);
    let mut count = 0;
    while let Some(message) = Message::read(&mut reader) {
        let id = message.header("x-correlation-id").unwrap_or_default().to_owned();
        seen.lock().unwrap().push((id, number));
        let after = act(number, count, stream);
        if after == After::Reset {
            socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        if after != After::Keep {
            break;
        }
        count += 1;
    }
}

fn look_as(id: &str) -> String {
    look(8000).replace("77aa", id)
}

/// Whether a client can tell that this is no whole answer from an upstream, and that more than a refusal is meant.
fn has_failed(answer: Option<&Message>) -> bool {
    answer.is_none_or(|answer| ![200, 429, 503].contains(&answer.status()))
}

/// Answers that break off: an end of the connection before the end that the answer has by its own word, and any reset.
fn broken_off() -> Vec<(String, After)> {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n";
    let mut cases = vec![("HTTP/1.1 200 OK\r\n\r\ndone".to_owned(), After::Reset)];
    for after in [After::Close, After::Reset] {
        cases.extend([
            (String::new(), after),
            ("HTTP/1.1 2".to_owned(), after),
            ("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndone".to_owned(), after),
            (chunked.to_owned(), after),
            (format!("{chunked}0\r\n"), after),
            (format!("{chunked}0\r\nX-Trailer: 1\r\n"), after),
        ]);
    }
    cases
}

/// Answers that can't be read, on a connection that stays open.
fn unreadable() -> Vec<(String, After)> {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone!".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 4, 5\r\n\r\ndone!".to_owned(),
        format!("{chunked}Content-Length: 4\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
        format!("{chunked}\r\n4\r\ndoneXX\r\n0\r\n\r\n"),
        format!("{chunked}\r\n-4\r\ndone\r\n0\r\n\r\n"),
        format!("{chunked}\r\nfffffffffffffffff\r\ndone\r\n0\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\n{}", "X-Long: yes\r\n".repeat(10_000)),
        format!("{chunked}\r\n4;{}", "x=y;".repeat(20_000)),
        format!("{chunked}\r\n4\r\ndone\r\n0\r\n{}", "X-Trailer: yes\r\n".repeat(10_000)),
        "HTTP/1.1 101 Other\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n".to_owned(),
    ]
    .into_iter()
    .map(|text| (text, After::Keep))
    .collect()
}

/// Guards clients from answers that are not whole, and effects from a second run: an unsafe request whose answer is spoilt has
/// failed and is sent once, a safe one is sent elsewhere, and the connection serves nobody again.
#[test]
fn what_is_spoilt_is_no_answer_and_its_connection_serves_nobody() {
    for (text, after) in broken_off().into_iter().chain(unreadable()) {
        let what = format!("{after:?} after {:?}", &text[..text.len().min(90)]);
        let upstream = Scripted::first_badly(text, after);
        let node = Setup::with(&[upstream.address]).start();
        let answer = {
            let mut client = node.connect();
            client.write(&book_as("one", "x"));
            client.answer()
        };
        assert!(has_failed(answer.as_ref()), "{what}: {answer:?}");
        assert_eq!(upstream.connections_of("one"), [0], "{what}");
        assert_eq!(node.connect().exchange(&look_as("two")).body, b"done", "{what}");
        assert_eq!(upstream.connections_of("two"), [1], "{what}");
    }
}

/// Guards safe requests: what came to nothing at one upstream is answered by another, also where a connection in use before
/// breaks as the request is read.
#[test]
fn a_safe_request_is_sent_elsewhere() {
    for (text, after) in broken_off().into_iter().chain(unreadable()) {
        let what = format!("{after:?} after {:?}", &text[..text.len().min(90)]);
        let bad = Scripted::start(move |_, count, mut stream| {
            let _ = stream.write_all(if count == 0 { OK.as_bytes() } else { text.as_bytes() });
            if count == 0 { After::Keep } else { after }
        });
        let good = Upstream::start(Then::Answer(OK));
        let node = Setup::with(&[bad.address, good.address]).start();
        let mut client = node.connect();
        // Until the bad one has been asked on a connection in use before.
        for n in 0..200 {
            assert_eq!(client.exchange(&look_as(&format!("id-{n}"))).body, b"done", "{what}");
            if bad.seen.lock().unwrap().len() > 1 {
                break;
            }
        }
        assert!(bad.seen.lock().unwrap().len() > 1, "{what}");
    }
}

/// Guards clients from answers without a length that break off late, or never end: as long as such an answer is short it is
/// held to its end, and the request is answered otherwise if there is none.
#[test]
fn an_answer_that_breaks_off_late_can_still_be_another() {
    for (head, ends) in [
        ("", true),
        ("Transfer-Encoding: chunked\r\n", true),
        ("", false),
        ("Transfer-Encoding: chunked\r\n", false),
    ] {
        let bad = Scripted::start(move |_, _, mut stream| {
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{head}\r\n4\r\nhalf\r\n");
            if !ends {
                return After::Keep;
            }
            // Much longer than any answer was once held in case that it was short.
            std::thread::sleep(Duration::from_millis(60));
            After::Reset
        });
        let good = Upstream::start(Then::Answer(OK));
        let node = Setup::with(&[bad.address]).start();
        let start = Instant::now();
        let answer = node.connect().exchange(&book(700, "x"));
        assert!(has_failed(Some(&answer)) && start.elapsed() < Duration::from_millis(1200), "{answer:?}");
        if ends {
            let node = Setup::with(&[bad.address, good.address]).start();
            let mut client = node.connect();
            let before = bad.seen.lock().unwrap().len();
            for n in 0..200 {
                assert_eq!(client.exchange(&look_as(&format!("id-{n}"))).body, b"done");
                if bad.seen.lock().unwrap().len() > before {
                    break;
                }
            }
            assert!(bad.seen.lock().unwrap().len() > before);
        }
    }
}

/// Guards answers in forms that are rare and good: they pass, and their connection is kept.
#[test]
fn rare_forms_of_good_answers_pass() {
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for text in [
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n{OK}"),
        format!("HTTP/1.1 200 OK\r\n{chunked}1;x=y\r\nd\r\n3\r\none\r\n000\r\nX-Trailer: 1\r\n\r\n"),
        "HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED \r\n\r\n04\r\ndone\r\n0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 \r\nContent-Length:  4\r\n\r\ndone".to_owned(),
    ] {
        let upstream = Scripted::first_badly(text.clone(), After::Keep);
        let node = Setup::with(&[upstream.address]).start();
        for id in ["one", "two"] {
            assert_eq!(node.connect().exchange(&book_as(id, "x")).body, b"done", "{text:?}");
            assert_eq!(upstream.connections_of(id), [0], "{text:?}");
        }
    }
}

/// Guards a client's time from an upstream that never comes to an end: half a line and then nothing, interim answers without
/// end. The answer comes within the half second after the deadline in which it counts as one, and the attempt ends with it.
#[test]
fn an_upstream_that_never_ends_costs_no_client_its_answer() {
    let half: &str = "HTTP/1.1 20";
    let interim: &str = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n";
    for (text, again) in [(half, false), (interim, true)] {
        let (ended, has_ended) = channel();
        let ended = Mutex::new(ended);
        let upstream = Scripted::start(move |_, _, mut stream| {
            let _ = stream.write_all(text.as_bytes());
            while again && stream.write_all(text.as_bytes()).is_ok() {}
            let _ = BufReader::new(stream).read_until(0, &mut Vec::new());
            ended.lock().unwrap().send(()).unwrap();
            After::Close
        });
        let node = Setup::with(&[upstream.address]).start();
        let start = Instant::now();
        let answer = node.connect().exchange(&book(700, "x"));
        assert!(has_failed(Some(&answer)), "{text:?}");
        assert!(start.elapsed() < Duration::from_millis(1200), "{text:?}: {:?}", start.elapsed());
        has_ended.recv_timeout(LONG).expect("the attempt's connection ends");
    }
}

/// Guards unsafe requests on connections in use before: one that has gone out whole when the connection ends may have run, and
/// is not sent again.
#[test]
fn an_unsafe_request_on_a_connection_that_breaks_is_sent_once() {
    for after in [After::Close, After::Reset] {
        let upstream = Scripted::start(move |_, count, mut stream| {
            if count == 0 {
                let _ = stream.write_all(OK.as_bytes());
            }
            if count == 0 { After::Keep } else { after }
        });
        let node = Setup::with(&[upstream.address]).start();
        let mut client = node.connect();
        assert_eq!(client.exchange(&book_as("one", "x")).status(), 200);
        assert!(has_failed(Some(&client.exchange(&book_as("two", "x")))), "{after:?}");
        assert_eq!(upstream.connections_of("two"), [0], "{after:?}");
    }
}
