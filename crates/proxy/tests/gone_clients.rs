//! Clients that close their connections with requests still unread.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// Time that the upstream takes for each request.
const WORK: Duration = Duration::from_millis(300);
const CLOSED_AFTER: Duration = Duration::from_millis(20);
const REQUESTS: usize = 8;
const CLIENTS: usize = 10;

/// An upstream that answers each request after some time, and the number of requests that it has received.
fn slow_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    slow_upstream_that_answers(OK)
}

/// The same with this answer.
fn slow_upstream_that_answers(answer: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, received) = (listener.local_addr().unwrap(), Arc::<AtomicUsize>::default());
    let count = Arc::clone(&received);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while Message::read(&mut reader).is_some() {
                    count.fetch_add(1, Ordering::SeqCst);
                    sleep(WORK);
                    let _ = (&stream).write_all(answer.as_bytes());
                }
            });
        }
    });
    (address, received)
}

fn pipelined(client: usize, body_bytes: usize) -> String {
    (0..REQUESTS).map(|n| book_as(&format!("c{client}-{n}"), &"x".repeat(body_bytes))).collect()
}

/// Sends requests at once and closes the connection soon after.
fn send_and_close(node: &Node, text: &str, is_reset: bool) {
    let client = node.connect();
    let _ = client.writer().write_all(text.as_bytes());
    sleep(CLOSED_AFTER);
    if is_reset {
        socket2::SockRef::from(&client.writer()).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Guards clients that close behind more than is read ahead: of each only the first request may have begun.
fn nothing_is_forwarded_after_the_close(is_reset: bool) {
    for body_bytes in [20_000, 60_000] {
        let (address, received) = slow_upstream();
        let node = Setup::with(&[address]).start();
        std::thread::scope(|scope| {
            for number in 0..CLIENTS {
                let (node, text) = (&node, pipelined(number, body_bytes));
                scope.spawn(move || send_and_close(node, &text, is_reset));
            }
        });
        sleep(WORK * 4);
        let received = received.load(Ordering::SeqCst);
        assert!(received <= CLIENTS, "{received} of {CLIENTS} clients, {body_bytes} bytes each");
    }
}

#[test]
fn nothing_is_forwarded_after_an_orderly_close_behind_long_requests() {
    nothing_is_forwarded_after_the_close(false);
}

#[test]
fn nothing_is_forwarded_after_a_reset_behind_long_requests() {
    nothing_is_forwarded_after_the_close(true);
}

/// Guards clients that pipeline much and stay: each request gets one answer, and none that is refused was forwarded.
#[test]
fn who_pipelines_much_and_stays_gets_every_answer() {
    for (body_bytes, is_much) in [(100, false), (20_000, false), (60_000, true)] {
        let (address, received) = slow_upstream();
        let node = Setup::with(&[address]).start();
        let mut client = node.connect();
        let (mut writer, text) = (client.writer(), pipelined(0, body_bytes));
        let writes = std::thread::spawn(move || writer.write_all(text.as_bytes()));
        let statuses: Vec<u16> =
            (0..REQUESTS).map(|_| client.answer().expect("an answer").status()).collect();
        writes.join().unwrap().unwrap();
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(received.load(Ordering::SeqCst), served, "{statuses:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
        assert!(served == REQUESTS || (is_much && served > 0), "{statuses:?}");
    }
}

/// Effects of the classes of `maplehook run`, and the header that names a request of theirs.
const NAMED: [(&str, &str); 4] = [
    ("at_most_once", "X-Correlation-Id"),
    ("at_most_once", "Idempotency-Key"),
    ("keyed", "Idempotency-Key"),
    ("idempotent", "X-Correlation-Id"),
];
/// Time that a client waits before it leaves.
const PATIENCE: Duration = Duration::from_millis(100);

/// Starts a balancer whose clients leave early, and sends requests of which the clients leave.
fn leave_early(upstreams: &[SocketAddr], effect: &str, header: &str) -> Node {
    let class =
        format!("[[class]]\nname = \"book\"\npath = \"/**\"\neffect = \"{effect}\"\ndeadline_ms = 5000\n");
    let node = run(upstreams, &format!("[balancer]\nconnect_timeout_ms = 300\n{class}"));
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let node = &node;
            scope.spawn(move || {
                let mut client = node.connect();
                client.write(&format!(
                    "POST /book HTTP/1.1\r\nHost: app\r\n{header}: c{number}\r\nContent-Length: 1\r\n\r\nx"
                ));
                sleep(PATIENCE);
            });
        }
    });
    node
}

/// A machine that has vanished: connections to it do not come up.
fn vanished_machine() -> (SocketAddr, Vec<socket2::Socket>) {
    let socket = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let listener = socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let filler = socket();
        filler.set_nonblocking(true).unwrap();
        // Those that do not come up at once fill the queue of the listener.
        let _ = filler.connect(&address);
        sockets.push(filler);
    }
    (address.as_socket().unwrap(), sockets)
}

/// Guards against attempts for clients that have gone (postmortem 81-attempts-for-nobody): the first one is turned away, or
/// still waits for its connection, as the client leaves. A request with an id or a key is no exception.
#[test]
fn no_further_attempt_begins_after_the_close() {
    for (effect, header) in NAMED {
        let refusal = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        let refusing = || slow_upstream_that_answers(refusal);
        let [(first, first_received), (second, second_received)] = [refusing(), refusing()];
        let _node = leave_early(&[first, second], effect, header);
        sleep(WORK * 4);
        let received = first_received.load(Ordering::SeqCst) + second_received.load(Ordering::SeqCst);
        assert_eq!(received, CLIENTS, "{effect}, {header}: one attempt each");

        let (vanished, _sockets) = vanished_machine();
        let (serving, received) = slow_upstream();
        let _node = leave_early(&[vanished, serving], effect, header);
        // Those that came up at once.
        let before = received.load(Ordering::SeqCst);
        sleep(WORK * 4);
        assert_eq!(received.load(Ordering::SeqCst), before, "{effect}, {header}: none after the close");
        assert!(before < CLIENTS, "some wait for the machine that has vanished");
    }
}
