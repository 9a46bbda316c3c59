//! One process in the place of another, on one socket.

use crate::common::*;
use crate::{look_as, operated, shared};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

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
    for (inherits, says) in
        [(file.into(), "is not a socket"), (connected.into(), "not a listening TCP socket")]
    {
        let mut setup = operated(&[upstream.address]);
        setup.inherits = Some(inherits);
        let node = setup.start();
        assert!(node.has_logged(says), "{says}");
        assert_eq!(node.connect().exchange(&look_as("a")).status(), 200);
    }
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
        assert!(node.has_logged("hot restart state ignored") && node.has_logged(says), "{says}");
        assert_eq!(node.connect().exchange(&look_as("a")).status(), 200);
        until("it is written anew", || std::fs::read(folder.file()).unwrap().len() > 100);
    }
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut setup = operated(&[upstream.address]);
    (setup.inherits, setup.tmp) = (Some(socket.into()), Some(folder.0.join("nowhere")));
    let node = setup.start();
    until("it says so", || node.has_logged("cannot write hot restart state"));
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
