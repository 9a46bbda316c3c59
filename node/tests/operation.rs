//! A balancer in operation: operators' calls, retuning, one process after another on one socket, long bodies.

mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

fn operated(upstreams: &[SocketAddr]) -> Setup {
    Setup { control: true, ..Setup::with(upstreams) }
}

/// The same on a socket that processes follow one another on.
fn shared(upstreams: &[SocketAddr]) -> Setup {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    Setup { inherits: Some(socket.into()), ..operated(upstreams) }
}

fn look_as(id: &str) -> String {
    look(8000).replace("77aa", id)
}

/// Guards the figures: each request counts once, under its class, as its client has heard it; attempts as upstreams have
/// seen them.
#[test]
fn figures_agree_with_an_independent_count() {
    let upstreams = [OK, ERROR, TURNED_AWAY].map(|text| Upstream::start(Then::Answer(text)));
    let node = operated(&upstreams.each_ref().map(|u| u.address)).start();
    let mut client = node.connect();
    let (mut heard, classes) = ([[0; 3]; 2], ["look", "book"]);
    for n in 0..300 {
        let text = if n % 2 == 0 { look_as(&format!("l{n}")) } else { book_as(&format!("b{n}"), "x") };
        let answer = client.exchange(&text);
        let kind = match answer.status() {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        heard[n % 2][kind] += 1;
    }
    for (class, heard) in classes.iter().zip(heard) {
        for (kind, count) in ["answered", "deferred", "errored"].iter().zip(heard) {
            assert_eq!(
                node.figure(&format!("balancer_{kind}_total{{group=\"{class}\"}}")),
                count,
                "{class} {kind}"
            );
        }
    }
    assert!(heard[1][2] > 0, "the errors were met");
    let seen: usize = upstreams.iter().map(|u| u.seen().len()).sum();
    assert_eq!(node.figure("balancer_sends_total"), seen as u64);
    assert_eq!(node.figure("balancer_answered_total{group=\"keyed\"}"), 0);
    assert_eq!((node.figure("balancer_current"), node.figure("balancer_cluster_size")), (0, 3));
}

/// Guards `current`, the list's figures, and a client that leaves: it counts for none of the three.
#[test]
fn what_is_held_and_what_is_listed_shows() {
    let mute = Upstream::start(Then::Mute);
    let (discovery, calls) = discovery();
    let mut setup = operated(&[mute.address]);
    (setup.discovery, setup.asks) = (discovery, true);
    let node = setup.start();
    let mut held: Vec<Client> = (0..4).map(|_| node.connect()).collect();
    for (n, client) in held.iter_mut().enumerate() {
        client.write(&book_as(&format!("h{n}"), "x"));
    }
    until("all are held", || {
        node.figure("balancer_current") == 4 && node.figure("balancer_sends_total") == 4
    });
    drop(held);
    until("all have left", || node.figure("balancer_current") == 0);
    for kind in ["answered", "deferred", "errored"] {
        assert_eq!(node.figure(&format!("balancer_{kind}_total{{group=\"book\"}}")), 0);
    }
    let (_, stream) = calls.recv_timeout(LONG).unwrap();
    let entries = [("s-0", "Ready"), ("s-1", "Ready"), ("s-2", "Terminating")];
    let entries = entries.map(|(uid, state)| entry(uid, mute.address, state));
    tell(&stream, &list(2, true, &entries));
    until("the list is counted", || node.figure("balancer_cluster_size") == 3);
    until("who drains is avoided", || node.figure("balancer_cluster_unhealthy") == 1);
}

/// Guards operators against whoever else calls: silent, half and odd callers keep nobody out, and hold no more than their
/// few descriptors.
#[test]
fn an_operator_is_answered_at_once_whoever_else_calls() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = operated(&[upstream.address]).start();
    until("it is ready", || node.call("/control/ready").status() == 200);
    let before = node.descriptors();
    let mut idle: Vec<Client> = (0..60).map(|_| node.caller()).collect();
    idle.iter_mut().step_by(2).for_each(|caller| caller.write("GET /control/rea"));
    for _ in 0..3 {
        let start = Instant::now();
        assert_eq!(node.call("/control/ready").status(), 200);
        // A second is what is promised, with 60 before it that have 200 ms each at 16 places.
        assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    }
    assert!(node.descriptors() <= before + 16, "{} and {before}", node.descriptors());
    for (text, status) in [
        ("GET /control/counters?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", 200),
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        ("GET /control HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        ("POST /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 405),
        ("GET /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 400),
        ("DELETE /control/counters HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        ("\u{1}nonsense\r\n\r\n", 400),
    ] {
        let mut caller = node.caller();
        caller.write(text);
        let answer = caller.answer();
        assert_eq!(answer.map(|a| a.status()), Some(status), "{text:?}");
    }
    // Clients' address answers no operator.
    let call = "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(node.connect().exchange(call).status() / 100, 4);
}

/// Guards a balancer without the address, and one whose address is another's.
#[test]
fn an_address_that_cannot_be_bound_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup::with(&[nobody()]);
    assert_eq!(setup.start().control, None);
    let bad =
        setup.text().replace(r#""name""#, &format!(r#""operator":"{}","name""#, taken.local_addr().unwrap()));
    let path = std::env::temp_dir().join(format!("maplehook-taken-{}.json", std::process::id()));
    std::fs::write(&path, bad).unwrap();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_maplehook"))
        .env("NODE_CONFIG", &path)
        .output()
        .unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(!out.status.success() && text.contains("operators' calls on 127.0.0.1"), "{text}");
    std::fs::remove_file(path).unwrap();
}

/// Guards a running balancer against half a file, and against losing what it knew when it takes a whole one.
#[test]
fn settings_are_retuned_whole_or_not_at_all() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (discovery, calls) = discovery();
    let mut setup = operated(&[upstream.address]);
    setup.discovery = discovery;
    let node = setup.start();
    let (_, _watch) = calls.recv_timeout(LONG).unwrap();
    let good = setup.text();
    let mut client = node.connect();
    assert_eq!(client.exchange(&look_as("a")).status(), 200);
    let other = nobody().to_string();
    let bad = |from: &str, to: &str| {
        let text = good.replace(&setup.discovery.to_string(), &other);
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    let files = [
        String::new(),
        good[..good.len() / 2].to_owned(),
        bad(r#""hard_limit_ms":8000,"#, ""),
        bad(r#""hard_limit_ms":8000"#, r#""hard_limit_ms":0"#),
        bad(r#""hard_limit_ms":8000"#, r#""hard_limit_ms":"soon""#),
        bad(r#""hard_limit_ms":8000"#, r#""hard_limit_ms":null"#),
        bad(r#""try_limit":5"#, r#""try_limit":-2"#),
        bad(r#""try_limit":5,"#, ""),
        bad(r#""seed":"8c1f30d27a5be964","#, ""),
        bad(r#""settings""#, r#""setting""#),
    ];
    for (n, file) in files.iter().enumerate() {
        node.reload(file);
        until("it is turned down", || node.figure("balancer_conf_invalid_total") == n as u64 + 1);
    }
    assert!(node.has_logged("settings.classes[0].hard_limit_ms"));
    assert!(calls.try_recv().is_err(), "discovery was moved by a file that was turned down");
    assert_eq!(node.figure("balancer_conf_loaded_total"), 0);
    // `look` may not run twice from now on, `book` has gone, `board` has come.
    let new = good.replacen("idempotent", "at_most_once", 1).replace(r#""name":"book""#, r#""name":"board""#);
    node.reload(&new);
    until("it is taken", || node.figure("balancer_conf_loaded_total") == 1);
    let board = book_as("b1", "x").replace("/book/", "/board/");
    assert_eq!(client.exchange(&board).status(), 200);
    assert_eq!(client.exchange(&book_as("b2", "x")).status(), 404);
    // Its clients can't change their method at the same moment.
    assert_eq!(client.exchange(&look_as("b3")).status(), 200);
    assert_eq!(client.exchange(&book_as("b4", "x").replace("/book/", "/look/")).status(), 200);
    assert_eq!(node.figure("balancer_answered_total{group=\"board\"}"), 1);
    assert_eq!(node.figure("balancer_answered_total{group=\"look\"}"), 3);
    node.reload(&good);
    until("the old one is back", || node.figure("balancer_conf_loaded_total") == 2);
    assert_eq!(client.exchange(&book_as("b5", "x")).status(), 200);
    assert_eq!(client.exchange(&board.replace("b1", "b6")).status(), 404);
    assert_eq!(upstream.connections(), 1, "connections are kept");
}

/// An upstream that tells of each request and closes its connection when it is told to.
fn closes() -> (SocketAddr, Receiver<()>, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ((tell, told), (close, closing)) = (channel(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if Message::read(&mut BufReader::new(&stream)).is_some() {
                tell.send(()).unwrap();
                let _ = closing.recv();
            }
        }
    });
    (address, told, close)
}

/// Guards effects across a retuning: what may not run twice by the new settings is not sent again, though the old ones
/// allowed it; and fewer attempts bind at once.
#[test]
fn a_request_under_way_obeys_the_stricter_reading() {
    for (from, to) in [("idempotent", "at_most_once"), (r#""try_limit":5"#, r#""try_limit":1"#)] {
        let (address, told, close) = closes();
        let setup = operated(&[address, address]);
        let node = setup.start();
        let mut client = node.connect();
        client.write(&look_as("under-way"));
        told.recv_timeout(LONG).unwrap();
        node.reload(&setup.text().replacen(from, to, 1));
        until("it is taken", || node.figure("balancer_conf_loaded_total") == 1);
        close.send(()).unwrap();
        let status = client.answer().unwrap().status();
        // What may have run is not called harmless to try again, where it may not run twice.
        assert!(
            if to == "at_most_once" { status != 503 && status != 429 } else { status != 200 },
            "{status}"
        );
        assert!(told.try_recv().is_err(), "{to}: it was sent again");
        assert_eq!(node.figure("balancer_sends_total"), 1);
    }
}

/// Clients that go on asking on kept connections, each id once, until they are told to stop; a connection that has said
/// `close` is given up. Returns how many were served, refused, and met by a connection that was refused, reset or unread.
fn steady(address: SocketAddr, name: &str, stop: &AtomicBool) -> [usize; 3] {
    let (mut counts, mut n) = ([0; 3], 0);
    let mut kept: Option<BufReader<TcpStream>> = None;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let reader = match kept.take() {
            Some(reader) => Ok(reader),
            None => TcpStream::connect(address).map(BufReader::new),
        };
        let answer = reader.ok().and_then(|mut reader| {
            reader.get_mut().write_all(book_as(&format!("{name}-{n}"), "x").as_bytes()).ok()?;
            let answer = Message::read(&mut reader)?;
            if answer.header("connection") != Some("close") {
                kept = Some(reader);
            }
            Some(answer)
        });
        counts[match answer.map(|a| a.status()) {
            Some(200) => 0,
            Some(429 | 503) => 1,
            Some(other) => panic!("{other}"),
            None => 2,
        }] += 1;
        std::thread::sleep(Duration::from_millis(2));
    }
    counts
}

/// Guards an upgrade: two processes on one socket, one after the other, twice; no request meets a refused, reset or unread
/// connection, and no effect happens twice.
#[test]
fn processes_follow_one_another_on_one_socket() {
    let upstream = Upstream::start(Then::Answer(OK));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let mut setup = operated(&[upstream.address]);
    setup.inherits = Some(socket.into());
    let mut node = setup.start();
    assert_eq!(node.address, address);
    let stop = AtomicBool::new(false);
    let counts = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..6)
            .map(|k| {
                scope.spawn({
                    let stop = &stop;
                    move || steady(address, &format!("c{k}"), stop)
                })
            })
            .collect();
        for _ in 0..2 {
            let next = setup.start();
            until("the new one is ready", || next.call("/control/ready").status() == 200);
            node.terminate();
            assert!(node.wait().success());
            until("the new one serves", || next.figure("balancer_answered_total{group=\"book\"}") > 0);
            node = next;
        }
        stop.store(true, Ordering::Relaxed);
        clients.into_iter().map(|c| c.join().unwrap()).fold([0; 3], |sum, c| [0, 1, 2].map(|n| sum[n] + c[n]))
    });
    assert_eq!(counts[2], 0, "{counts:?}");
    let mut ids: Vec<String> =
        upstream.seen().iter().map(|m| m.header("x-correlation-id").unwrap().to_owned()).collect();
    let all = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!((all, all), (ids.len(), counts[0]), "an effect twice, or one lost");
}

/// Guards the old process where the new one comes to nothing, and the socket where one is killed.
#[test]
fn one_process_may_end_without_harm_to_the_other() {
    let upstream = Upstream::start(Then::Answer(OK));
    let setup = shared(&[upstream.address]);
    let mut old = setup.start();
    let mut kept = old.connect();
    assert_eq!(kept.exchange(&book_as("1", "x")).status(), 200);
    let mut new = setup.start();
    new.kill();
    // A connection that the killed one had accepted is lost with it; the next ones are the old one's.
    assert_eq!(old.connect().exchange(&book_as("2", "x")).status(), 200);
    assert_eq!(kept.exchange(&book_as("3", "x")).status(), 200);
    let next = setup.start();
    old.kill();
    assert_eq!(next.connect().exchange(&book_as("4", "x")).status(), 200);
    next.terminate();
    let last = setup.start();
    assert_eq!(last.connect().exchange(&book_as("5", "x")).status(), 200);
}

/// Guards a start with a descriptor that is none, or something else: the log says so, and the address is bound as ever.
#[test]
fn a_socket_that_is_none_is_named() {
    let upstream = Upstream::start(Then::Answer(OK));
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(elsewhere.local_addr().unwrap()).unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    for (inherits, says) in [(file.into(), "is no socket"), (connected.into(), "no TCP socket that listens")]
    {
        let mut setup = operated(&[upstream.address]);
        setup.inherits = Some(inherits);
        let node = setup.start();
        assert!(node.has_logged(says), "{says}");
        assert_eq!(node.connect().exchange(&look_as("a")).status(), 200);
    }
}

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

/// Guards slow clients: a head in pieces over two seconds, and a body at 64 kB/s, which takes longer than what it wants.
#[test]
fn a_slow_client_is_served() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = operated(&[upstream.address]).start();
    let mut client = node.connect();
    let text = book(300, &"x".repeat(96 << 10));
    let (head, body) = text.split_at(text.find("\r\n\r\n").unwrap() + 4);
    for piece in head.as_bytes().chunks(head.len() / 8) {
        client.writer().write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(240));
    }
    for piece in body.as_bytes().chunks(6554) {
        client.writer().write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(client.answer().map(|a| a.status()), Some(200));
    assert_eq!(upstream.seen()[0].body.len(), 96 << 10);
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

/// A folder of its own; removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("maplehook-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("maplehook-n0.handover")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards drains across a replacement: what the old process was told, the new one heeds from its first request on, though
/// its configuration still lists the server as ready and discovery has told it nothing; and it follows the list from there.
#[test]
fn a_drain_that_the_old_process_was_told_binds_the_new_one() {
    let folder = Folder::new("drain");
    let upstreams = [(); 2].map(|()| Upstream::start(Then::Answer(OK)));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let (discovery, calls) = discovery();
    let mut setup = operated(&upstreams.each_ref().map(|u| u.address));
    (setup.discovery, setup.asks) = (discovery, true);
    (setup.inherits, setup.tmp) = (Some(socket.into()), Some(folder.0.clone()));
    let mut old = setup.start();
    let (_, stream) = calls.recv_timeout(LONG).unwrap();
    tell(&stream, &list(7, false, &[entry("s-0", upstreams[0].address, "Terminating")]));
    until("the old one heeds it", || old.figure("balancer_cluster_unhealthy") == 1);
    let written = || std::fs::read_to_string(folder.file()).unwrap_or_default();
    until("it is written", || written().contains("\"rev\":7"));
    let new = setup.start();
    assert!(new.has_logged("taken over"));
    until("the new one is ready", || new.call("/control/ready").status() == 200);
    old.terminate();
    old.wait();
    for n in 0..20 {
        assert_eq!(new.connect().exchange(&book_as(&format!("n{n}"), "x")).status(), 200);
    }
    assert_eq!((upstreams[0].seen().len(), upstreams[1].seen().len()), (0, 20));
    until("it follows the list from there", || {
        calls.try_iter().any(|(target, _)| target.ends_with("index=7"))
    });
}

/// Guards the start where what was left is no good, and serving where nothing can be left.
#[test]
fn what_cannot_be_read_or_written_harms_nobody() {
    let upstream = Upstream::start(Then::Answer(OK));
    let folder = Folder::new("garbled");
    for (text, says) in [
        ("", "none of this version"),
        ("maplehook-handover 2 00000000 2\n{}", "none of this version"),
        ("maplehook-handover 1 00000000 2\n{}", "spoilt"),
    ] {
        std::fs::write(folder.file(), text).unwrap();
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut setup = operated(&[upstream.address]);
        (setup.inherits, setup.tmp) = (Some(socket.into()), Some(folder.0.clone()));
        let node = setup.start();
        assert!(node.has_logged("nothing is taken over") && node.has_logged(says), "{says}");
        assert_eq!(node.connect().exchange(&look_as("a")).status(), 200);
        until("it is written anew", || std::fs::read(folder.file()).unwrap().len() > 100);
    }
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut setup = operated(&[upstream.address]);
    (setup.inherits, setup.tmp) = (Some(socket.into()), Some(folder.0.join("nowhere")));
    let node = setup.start();
    until("it says so", || node.has_logged("nothing is left for the next process"));
    assert_eq!(node.connect().exchange(&look_as("a")).status(), 200);
}

/// Guards the platform's limit, which counts both processes as one: while there are two, each keeps to half.
#[test]
fn two_processes_share_the_descriptors_of_one() {
    let folder = Folder::new("limit");
    let upstream = Upstream::start(Then::Answer(OK));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut setup = operated(&[upstream.address]);
    (setup.inherits, setup.tmp, setup.sockets) = (Some(socket.into()), Some(folder.0.clone()), 200);
    setup.operator = "[admission]\nkeep_alive = 1.0\n".into();
    let mut old = setup.start();
    let fill = |node: &Node, name: &str| -> Vec<Client> {
        let one = |n| {
            let mut client = node.connect();
            client.write(&book_as(&format!("{name}{n}"), "x"));
            client.answer();
            client
        };
        (0..80).map(one).collect()
    };
    let _held = fill(&old, "a");
    assert!(old.descriptors() > 90, "{}", old.descriptors());
    until("it is written", || folder.file().exists());
    let new = setup.start();
    until("the old one gives up its half", || old.logged("is_alone=false") == 1 && old.descriptors() <= 100);
    until("so does the new one", || new.logged("is_alone=false") == 1);
    let _more = fill(&new, "b");
    // Of its half it sets 45 aside.
    assert!(new.descriptors() <= 80, "{}", new.descriptors());
    assert!(old.descriptors() + new.descriptors() <= 200, "{} {}", old.descriptors(), new.descriptors());
    old.terminate();
    old.wait();
    until("the new one has all", || new.logged("is_alone=true") == 1);
}

/// Guards a request that is half written, and one that stands behind another, when the process is told to leave.
#[test]
fn what_is_half_written_is_answered_by_a_process_that_leaves() {
    let upstream = Upstream::start(Then::Answer(OK));
    let setup = shared(&[upstream.address]);
    let mut node = setup.start();
    let text = book_as("half", "body");
    let (mut first, mut second, mut two) = (node.connect(), node.connect(), node.connect());
    assert_eq!(second.exchange(&book_as("before", "x")).status(), 200);
    first.write(&text[..40]);
    second.write(&text[..40]);
    until("they are here", || upstream.seen().len() == 1);
    std::thread::sleep(Duration::from_millis(100));
    node.terminate();
    until("it leaves", || node.call("/control/ready").status() == 503);
    two.write(&format!("{}{}", book_as("one", "x"), book_as("two", "x")));
    assert_eq!(two.answer().map(|a| a.status()), Some(200));
    assert_eq!(two.answer().map(|a| a.status()), Some(200));
    assert!(two.ends());
    // Later than idle connections end.
    std::thread::sleep(Duration::from_millis(2300));
    for (client, id) in [(&mut first, "half"), (&mut second, "half2")] {
        client.write(&text.replace("half", id)[40..]);
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "{id}");
    }
    assert!(node.wait().success());
}

/// Guards the forms of HTTP/1.1 that may come: HEAD, an absolute target, a wait for 100, a request byte by byte, and an upstream
/// that answers before it has read a long body.
#[test]
fn all_forms_of_a_request_are_served() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = operated(&[upstream.address]).start();
    let mut client = node.connect();
    for byte in look_as("bytes").replace("/look", "http://app.svc/look").bytes() {
        client.writer().write_all(&[byte]).unwrap();
    }
    assert_eq!(client.answer().map(|a| a.status()), Some(200));
    assert_eq!(upstream.seen()[0].line, "GET /look HTTP/1.1");
    let text = book_as("waits", "body").replace("Content-Length", "Expect: 100-continue\r\nContent-Length");
    client.write(&text[..text.len() - 4]);
    assert_eq!(client.answer().map(|a| a.status()), Some(100));
    client.write("body");
    assert_eq!(client.answer().map(|a| a.status()), Some(200));
    assert_eq!(upstream.seen()[1].body, b"body");

    const HEADLESS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    let upstream = Upstream::start(Then::Answer(HEADLESS));
    let node = operated(&[upstream.address]).start();
    let mut client = node.connect();
    client.write(&look_as("head").replace("GET", "HEAD"));
    let mut answer = [0; 4096];
    let n = client.writer().read(&mut answer).unwrap();
    let answer = String::from_utf8_lossy(&answer[..n]).to_lowercase();
    assert!(answer.starts_with("http/1.1 200") && answer.ends_with("\r\n\r\n"), "{answer}");
    assert_eq!(upstream.seen()[0].line, "HEAD /look HTTP/1.1");

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = operated(&[listener.local_addr().unwrap()]).start();
    let mut client = node.connect();
    let long = book_as("early", &"x".repeat(300 << 10));
    client.write(&long[..100 << 10]);
    let (mut stream, _) = listener.accept().unwrap();
    assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
    stream.write_all(OK.as_bytes()).unwrap();
    let early = client.answer().expect("an early answer");
    assert_eq!((early.status(), &early.body[..]), (200, &b"done"[..]));
    client.write(&long[100 << 10..]);
}

/// Guards what both hold when both are told to leave, one of them retuned meanwhile; the socket stays for who comes next.
#[test]
fn both_may_be_told_to_leave_and_one_is_retuned_on_its_way() {
    let (address, told, close) = closes();
    let setup = shared(&[address]);
    let mut old = setup.start();
    let mut first = old.connect();
    first.write(&book_as("first", "x"));
    told.recv_timeout(LONG).unwrap();
    let mut new = setup.start();
    old.terminate();
    until("it leaves", || old.call("/control/ready").status() == 503);
    old.reload(&setup.text().replacen("idempotent", "at_most_once", 1));
    until("it is retuned on its way", || old.figure("balancer_conf_loaded_total") == 1);
    old.reload("");
    until("and turns down what is none", || old.figure("balancer_conf_invalid_total") == 1);
    new.terminate();
    close.send(()).unwrap();
    let answer = first.answer().expect("an answer");
    assert!(![200, 429, 503].contains(&answer.status()), "it may have run");
    assert!(old.wait().success() && new.wait().success());
    let next = setup.start();
    assert_eq!(next.connect().exchange(&book_as("next", "x").replace("/book/", "/none/")).status(), 404);
}
