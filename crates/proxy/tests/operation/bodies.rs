//! Long bodies, both ways.

use crate::common::*;
use crate::{look_as, operated};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LONG_ANSWER: usize = 32 << 20;

/// An upstream that reads bodies away and answers with as much as `size` says, by length or by the end of the connection;
/// `late` is how long it waits in the middle.
fn bulk(size: usize, stated: bool, late: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, read) = (listener.local_addr().unwrap(), Arc::<AtomicUsize>::default());
    let count = Arc::clone(&read);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let Some(message) = Message::read(&mut BufReader::new(&stream)) else { return };
                count.fetch_add(message.body.len(), Ordering::SeqCst);
                let length = if stated { format!("Content-Length: {size}\r\n") } else { String::new() };
                let mut stream = &stream;
                if write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n{length}\r\n").is_err() {
                    return;
                }
                let piece = [b'y'; 16 << 10];
                for n in 0..size / piece.len() {
                    if n == size / piece.len() / 2 {
                        std::thread::sleep(late);
                    }
                    if stream.write_all(&piece).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, read)
}

/// Guards the memory: many answers and bodies of 32 MB at once pass whole, and hold a fraction of the limit.
#[test]
fn long_bodies_pass_both_ways_in_little_memory() {
    let (address, read) = bulk(LONG_ANSWER, true, Duration::ZERO);
    let mut setup = operated(&[address]);
    setup.memory_mb = 48;
    let node = setup.start();
    let body = "z".repeat(LONG_ANSWER / 4);
    std::thread::scope(|scope| {
        for k in 0..12 {
            let (node, body) = (&node, &body);
            scope.spawn(move || {
                let mut client = node.connect();
                let text =
                    if k % 3 == 0 { book_as(&format!("u{k}"), body) } else { look_as(&format!("d{k}")) };
                let answer = client.exchange(&text);
                assert_eq!((answer.status(), answer.body.len()), (200, LONG_ANSWER));
            });
        }
    });
    assert_eq!(read.load(Ordering::SeqCst), 4 * body.len());
    assert!(node.peak_memory() < 40 << 10, "{} KiB", node.peak_memory());
    assert_eq!(node.figure("balancer_answered_total{group=\"look\"}"), 8);
    assert_eq!(node.figure("balancer_sends_total"), 12);
}

/// Guards the first bytes of a long answer: they go on at once, and what comes later is not cut off; whether the answer
/// says how long it is or ends with its connection.
#[test]
fn the_first_bytes_of_a_long_answer_do_not_wait_for_the_rest() {
    let late = Duration::from_millis(2500);
    for stated in [true, false] {
        let (address, _) = bulk(1 << 20, stated, late);
        let node = operated(&[address]).start();
        let mut client = node.connect();
        let start = Instant::now();
        client.write(&look(1500));
        let mut stream = client.writer();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut first = [0; 1024];
        assert!(stream.read(&mut first).unwrap() > 0);
        assert!(start.elapsed() < late / 2, "{:?}", start.elapsed());
        let (mut rest, mut all) = (vec![0; 64 << 10], 0);
        let mut end = [0; 5];
        loop {
            let n = stream.read(&mut rest).unwrap();
            all += n;
            end = if n >= 5 { rest[n - 5..n].try_into().unwrap() } else { end };
            if n == 0 || (stated && all >= (1 << 20)) || end == *b"0\r\n\r\n" {
                break;
            }
        }
        assert!(all >= (1 << 20) - 1024 && start.elapsed() >= late, "{all}");
        until("it is counted once it has ended", || {
            node.figure("balancer_answered_total{group=\"look\"}") == 1
        });
    }
}

/// Guards what a chunk's bytes are: a body that holds the text of a message is a body, on a connection that is used again.
#[test]
fn a_body_that_looks_like_a_message_is_a_body() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = operated(&[upstream.address]).start();
    let evil = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let mut client = node.connect();
    for n in 0..3 {
        let chunks = format!("{:x};ext=\"1\"\r\n{evil}\r\n0\r\nX-Trailer: 1\r\n\r\n", evil.len());
        let text = book_as(&format!("e{n}"), "x");
        let text = text
            .replace("Content-Length: 1\r\n\r\nx", &format!("Transfer-Encoding: chunked\r\n\r\n{chunks}"));
        assert_eq!(client.exchange(&text).status(), 200);
    }
    assert!(upstream.seen().iter().all(|m| m.body == evil.as_bytes()));
    let both =
        book_as("e9", "x").replace("Content-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked");
    assert_eq!(client.exchange(&both).status(), 400);
}

/// Guards effects where a long body has left whole and its connection ends without a word: it may have run, however its
/// length was told. One that broke off before its end never has.
#[test]
fn a_long_body_that_has_left_whole_may_have_run() {
    let long = "x".repeat(300 << 10);
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
    let stated = book(8000, &long);
    let in_chunks = book(8000, "x").replace("Content-Length: 1\r\n\r\nx", &chunked);
    for text in [stated, in_chunks] {
        let upstreams = [Upstream::start(Then::Close), Upstream::start(Then::Close)];
        let node = operated(&upstreams.each_ref().map(|u| u.address)).start();
        let status = node.connect().exchange(&text).status();
        assert!(![200, 429, 503].contains(&status), "{status}");
        assert_eq!(upstreams.iter().map(|u| u.seen().len()).sum::<usize>(), 1);
        assert_eq!(node.figure("balancer_sends_total"), 1);
        assert_eq!(node.figure("balancer_errored_total{group=\"book\"}"), 1);
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = operated(&[listener.local_addr().unwrap()]).start();
    let mut client = node.connect();
    let half = book(8000, &long);
    client.write(&half[..half.len() / 2]);
    let (mut stream, _) = listener.accept().unwrap();
    assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
    drop((stream, listener));
    client.write(&half[half.len() / 2..]);
    assert_eq!(client.answer().map(|a| a.status()), Some(503));
    assert_eq!(node.figure("balancer_sends_total"), 0);
}
