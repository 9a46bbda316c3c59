//! The door as a process on real sockets: floods, the descriptor limit, known clients, full houses.

mod common;

use common::{Client, LONG, Node, OK, Setup, Then, Upstream, book, book_as, discovery, look, nobody, until};
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const KNOWN: &str = "[admission]\nreserve = 0.25\nknown = ['127.0.0.3']\n";

/// A flood from one address: mute and half-sent connections, opened again as soon as they end. It ends by
/// itself.
struct Flood {
    stop: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
    loops: Vec<std::thread::JoinHandle<()>>,
}

impl Flood {
    fn start(node: &Node, from: &'static str, loops: usize) -> Self {
        let (stop, opened): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let to = node.address;
        let loops = (0..loops).map(|n| {
            let (stop, opened) = (Arc::clone(&stop), Arc::clone(&opened));
            std::thread::spawn(move || {
                let (start, mut open) = (Instant::now(), std::collections::VecDeque::new());
                while !stop.load(Ordering::Relaxed) && start.elapsed() < LONG {
                    let socket =
                        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
                    let from: std::net::SocketAddr = format!("{from}:0").parse().unwrap();
                    // Its ports are not to run out: a reset leaves none waiting.
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                    if socket.bind(&from.into()).is_err()
                        || socket.connect_timeout(&to.into(), Duration::from_secs(1)).is_err()
                    {
                        continue;
                    }
                    let mut stream = TcpStream::from(socket);
                    if n % 2 == 0 {
                        let _ = stream.write_all(b"POST /book HTTP/1.1\r\nHost: a\r\nX-Account: ac");
                    }
                    opened.fetch_add(1, Ordering::Relaxed);
                    open.push_back(stream);
                    if open.len() > 40 {
                        open.pop_front();
                    }
                }
            })
        });
        let loops = loops.collect();
        Self { stop, opened, loops }
    }

    fn end(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.loops.into_iter().for_each(|l| l.join().unwrap());
        self.opened.load(Ordering::Relaxed)
    }
}

/// Books until served, as a client may that is told that trying again is harmless; how many tries it took.
fn confirm(node: &Node, from: &str, client: &mut Client, id: &str) -> usize {
    for tries in 1..50 {
        client.write(&book_as(&format!("{id}-{tries}"), "words"));
        match client.answer() {
            Some(answer) if answer.status() == 200 => return tries,
            Some(answer) => assert_eq!(answer.status(), 503, "{answer:?}"),
            // Ended between two requests, at the moment of this one.
            None => *client = node.connect_from(from),
        }
    }
    panic!("never confirmed");
}

/// So many clients that have each been served and keep their connection.
/// Held by tests that flood, and by those that a flood beside them would keep from what they do until their clients have been
/// idle for too long.
fn alone() -> std::sync::MutexGuard<'static, ()> {
    static ALONE: std::sync::Mutex<()> = std::sync::Mutex::new(());
    ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn served(node: &Node, count: usize) -> Vec<Client> {
    let one = |n| {
        let mut client = node.connect();
        assert_eq!(client.exchange(&book_as(&format!("served{n}"), "x")).status(), 200);
        client
    };
    (0..count).map(one).collect()
}

/// Guards the known client, the users' own test: the descriptor limit is low, one address floods, and a known
/// client confirms; what was accepted keeps its answer, and nothing spins or goes deaf.
#[test]
fn a_known_client_confirms_while_an_address_floods_at_the_descriptor_limit() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.operator = format!("{KNOWN}[descriptors]\nlimit = 100\n");
    let node = setup.start();
    let flood = Flood::start(&node, "127.0.0.2", 6);
    until("the flood has come", || flood.opened.load(Ordering::Relaxed) > 500);
    let mut clients: Vec<Client> = (0..4).map(|_| node.connect_from("127.0.0.3")).collect();
    let mut tries = 0;
    for n in 0..50 {
        for (k, client) in clients.iter_mut().enumerate() {
            tries += confirm(&node, "127.0.0.3", client, &format!("{n}-{k}"));
        }
        assert!(node.descriptors() <= 100);
    }
    // Known connections are ended by nobody.
    assert_eq!(tries, 200);
    assert_eq!(upstream.seen().len(), 200);
    // A walker who is not known, at another address, is heard too.
    confirm(&node, "127.0.0.9", &mut node.connect_from("127.0.0.9"), "walker");
    assert!(flood.end() > 1000);
    let mut client = node.connect_from("127.0.0.2");
    confirm(&node, "127.0.0.2", &mut client, "after");
}

/// Guards a lodge's walkers, all behind one address and more than its share of silent ones: beside a flood
/// from elsewhere each books, most at the first try, and the flooding address's own walkers too.
#[test]
fn a_lodges_walkers_are_served_beside_a_flood() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 1024;
    let node = setup.start();
    let flood = Flood::start(&node, "127.0.0.2", 4);
    until("the flood has come", || flood.opened.load(Ordering::Relaxed) > 500);
    let mut walkers = Vec::new();
    let mut tries = 0;
    for n in 0..200 {
        let mut walker = node.connect_from("127.0.0.4");
        tries += confirm(&node, "127.0.0.4", &mut walker, &format!("w{n}"));
        walkers.push(walker);
    }
    assert!(tries <= 210, "{tries} tries for 200 bookings");
    for n in 0..20 {
        confirm(&node, "127.0.0.2", &mut node.connect_from("127.0.0.2"), &format!("own{n}"));
    }
    flood.end();
}

/// Guards the house where every place is owed an answer: whoever comes hears at once, in whole words, that
/// trying again is harmless; those who hold keep what they are owed; a known one finds its place.
#[test]
fn a_full_house_refuses_with_a_word_and_keeps_what_it_has() {
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    (setup.sockets, setup.deadline_ms) = (64, 1500);
    setup.operator = KNOWN.into();
    let node = setup.start();
    // 22 places are the clients', 17 of them open to all; upstreams have 18 connections.
    let mut holders = Vec::new();
    for n in 0..17 {
        let mut holder = node.connect();
        holder.write(&book_as(&format!("h{n}"), "x"));
        until("it is held", || mute.seen().len() == n + 1);
        holders.push(holder);
    }
    for _ in 0..20 {
        let mut late = node.connect();
        let start = Instant::now();
        late.write(&book_as("late", "x"));
        let answer = late.answer().expect("a whole answer");
        assert!(start.elapsed() < Duration::from_millis(1000));
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").unwrap().parse::<f64>().unwrap() > 0.0);
        assert!(late.ends());
    }
    let mut known = node.connect_from("127.0.0.3");
    known.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(known.answer().unwrap().status(), 200);
    for holder in &mut holders {
        assert_eq!(holder.answer().expect("its one answer").status(), 502);
    }
    assert_eq!(mute.seen().len(), 17);
    let mut again = node.connect();
    assert!(again.exchange("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200);
}

/// Guards the limit lowered while running, under what is open: what is held keeps its answer, idle clients
/// make room, known ones still confirm, and once it is raised all is as before.
#[test]
fn the_limit_may_be_lowered_while_running() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 512;
    setup.operator = format!("{KNOWN}keep_alive = 1.0\n");
    let node = setup.start();
    let mut idle = served(&node, 150);
    assert!(node.descriptors() > 150);
    let lowered = std::time::Instant::now();
    node.limit(64);
    until("idle clients make room", || node.descriptors() <= 64);
    // By themselves they would go after 6 s.
    assert!(lowered.elapsed() < Duration::from_secs(5));
    assert!(idle[0].ends() && !idle.is_empty());
    for n in 0..20 {
        confirm(&node, "127.0.0.3", &mut node.connect_from("127.0.0.3"), &format!("k{n}"));
    }
    node.limit(512);
    until("places come back", || {
        let _all = served(&node, 120);
        node.descriptors() > 120
    });
}

/// Guards accepted items while the process runs out of descriptors: each gets its one answer, and none is
/// sent again.
#[test]
fn what_is_held_is_answered_though_no_descriptor_is_left() {
    let _alone = alone();
    let mute = Upstream::start(Then::Mute);
    let mut setup = Setup::with(&[mute.address]);
    (setup.sockets, setup.deadline_ms) = (512, 2500);
    let node = setup.start();
    let mut holders = Vec::new();
    for n in 0..10 {
        let mut holder = node.connect();
        holder.write(&book_as(&format!("h{n}"), "x"));
        holders.push(holder);
    }
    until("all are held", || mute.seen().len() == 10);
    node.limit(node.descriptors() as u64);
    let flood = Flood::start(&node, "127.0.0.2", 2);
    for holder in &mut holders {
        assert_eq!(holder.answer().expect("its one answer").status(), 502);
    }
    flood.end();
    assert_eq!(mute.seen().len(), 10);
    node.limit(512);
    until("all is as before", || {
        let mut client = node.connect();
        client.write("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        client.answer().is_some_and(|a| a.status() == 200)
    });
}

/// One whose process holds more descriptors than it knows of: they run out before its places do.
fn short(upstream: &Upstream) -> Setup {
    let mut setup = Setup::with(&[upstream.address]);
    (setup.sockets, setup.others) = (512, 80);
    setup.operator = "[admission]\nkeep_alive = 1.0\nunproven = 1.0\nreserve = 0.1\nknown = ['127.0.0.3']\n\
         [descriptors]\nlimit = 128\n"
        .into();
    setup
}

/// Takes every descriptor that a balancer may still open, until one client costs another its place.
fn exhaust(node: &Node) -> Vec<Client> {
    let before = node.logged("no descriptor left: accept");
    let mut taken = Vec::new();
    until("there is none left", || {
        taken.push(node.connect_from("127.0.0.6"));
        let client = taken.last_mut().unwrap();
        client.write("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
        node.logged("no descriptor left: accept") > before
    });
    // The one that was made free is to be the spare one again.
    std::thread::sleep(Duration::from_millis(600));
    taken
}

/// Guards discovery where there is no descriptor left: somebody else gives one up, for what it has to tell may
/// not wait.
#[test]
fn discovery_finds_a_descriptor_when_there_is_none() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = short(&upstream);
    // Nobody listens there, so that it holds no descriptor.
    (setup.discovery, setup.asks) = (nobody(), true);
    let node = setup.start();
    let _idle = served(&node, 30);
    let _more = exhaust(&node);
    let (next, calls) = discovery();
    setup.discovery = next;
    node.reload(&setup.text());
    // Idle clients go by themselves after 6 s.
    calls.recv_timeout(Duration::from_secs(3)).unwrap();
}

/// Guards a new configuration where there is no descriptor left to read it on.
#[test]
fn a_configuration_is_read_when_there_is_no_descriptor() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let setup = short(&upstream);
    let node = setup.start();
    let _idle = served(&node, 30);
    let _more = exhaust(&node);
    node.reload(&setup.text());
    until("it is read", || node.has_logged("configuration read anew"));
}

/// Guards a request whose attempt finds no descriptor: an idle client gives one up, and it is served.
#[test]
fn an_attempt_finds_a_descriptor_when_there_is_none() {
    let _alone = alone();
    const ONCE: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
    let upstream = Upstream::start(Then::AnswerAndClose(ONCE));
    let node = short(&upstream).start();
    let mut kept = node.connect_from("127.0.0.3");
    assert_eq!(kept.exchange(&book_as("first", "x")).status(), 200);
    let _idle = served(&node, 30);
    let _taken = exhaust(&node);
    assert_eq!(kept.exchange(&book_as("again", "x")).status(), 200);
}

/// Guards idle clients where the process is at its limit and nobody new comes: none of them is ended.
#[test]
fn at_the_limit_nobody_is_ended_for_nobody() {
    let _alone = alone();
    let upstream = Upstream::start(Then::Answer(OK));
    let node = short(&upstream).start();
    let mut idle = served(&node, 30);
    let taken = exhaust(&node);
    let held = node.descriptors();
    std::thread::sleep(Duration::from_millis(500));
    assert!(node.descriptors() >= held);
    assert_eq!(idle[29].exchange(&book_as("still", "x")).status(), 200);
    drop(taken);
}

/// Guards accepting where the process has no descriptor left at all, whatever the balancer thinks that it may
/// hold: it neither spins nor goes deaf.
#[test]
fn no_descriptor_left_is_no_end() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 512;
    setup.operator = "[admission]\nkeep_alive = 1.0\n".into();
    let node = setup.start();
    let _idle = served(&node, 40);
    // The lowest that a process may serve with is more than this: only failures tell.
    node.limit(30);
    // Accept: a client that comes is served, or told so; none is left without a word.
    for n in 0..20 {
        confirm(&node, "127.0.0.5", &mut node.connect_from("127.0.0.5"), &format!("a{n}"));
    }
    // No spin, though more wait than can be accepted: a fifth of a core is far more than it needs.
    let _waiting: Vec<Client> = (0..60).map(|_| node.connect()).collect();
    let before = node.cpu();
    std::thread::sleep(Duration::from_secs(2));
    let used = node.cpu() - before;
    assert!(used < 100, "{used} hundredths in 2 s");
}

/// Guards who is known by what a request says: the tenant's header, or a signed word; a forged one does not
/// count, and the word goes to no upstream.
#[test]
fn clients_are_known_by_tenant_or_by_a_signed_word() {
    let secret = std::env::temp_dir().join(format!("maplehook-secret-{}", std::process::id()));
    std::fs::write(&secret, "a secret of 16 bytes and more\n").unwrap();
    let sign = |tenant: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_maplehook"))
            .args(["sign", "--tenant", tenant, "--for", "60", "--secret"])
            .arg(&secret)
            .output()
            .unwrap();
        String::from_utf8(out.stdout).unwrap().trim().to_owned()
    };
    let word = sign("acme");
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    setup.operator = format!(
        "[admission]\nreserve = 0.5\nknown_most = 1.0\nkeep_alive = 1.0\nunproven = 1.0\n\
         known_tenants = ['lodge']\n[token]\nsecret_file = '{}'\n",
        secret.display()
    );
    let node = setup.start();
    let with = |word: &str, id: &str| {
        book_as(id, "x").replacen("Cookie", &format!("X-Client-Token: {word}\r\nCookie"), 1)
    };
    let mut lodge = node.connect();
    assert_eq!(lodge.exchange(&book_as("l", "x").replace("acme", "lodge")).status(), 200);
    let mut signed = node.connect();
    assert_eq!(signed.exchange(&with(&word, "s")).status(), 200);
    let mut forged = node.connect();
    assert_eq!(forged.exchange(&with(&word.replace("acme", "lodg"), "f")).status(), 200);
    let mut another = node.connect();
    // A word for another tenant than the one that is named.
    assert_eq!(another.exchange(&with(&sign("lodge"), "o")).status(), 200);
    // Unknown clients push out unknown ones only.
    let _others = served(&node, 40);
    assert!(forged.ends() && another.ends());
    assert_eq!(lodge.exchange(&book_as("l2", "x").replace("acme", "lodge")).status(), 200);
    assert_eq!(signed.exchange(&with(&word, "s2")).status(), 200);
    assert!(upstream.seen().iter().all(|m| m.header("x-client-token").is_none()));
    std::fs::remove_file(&secret).unwrap();
}

/// Guards against a start with a file that is not what its operator meant.
#[test]
fn a_bad_operators_file_is_named_whole() {
    let path = std::env::temp_dir().join(format!("maplehook-bad-{}.toml", std::process::id()));
    std::fs::write(&path, "[admission]\nreserve = 2\nknwon = []\n").unwrap();
    for command in [None, Some("check")] {
        let out = Command::new(env!("CARGO_BIN_EXE_maplehook"))
            .arg("--config")
            .arg(&path)
            .args(command)
            .output()
            .unwrap();
        let shown = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success());
        assert!(shown.contains("line 2: admission.reserve: it has to be 0 to 0.9"), "{shown}");
        assert!(shown.contains("line 3: admission.knwon: no such key"), "{shown}");
    }
    std::fs::remove_file(&path).unwrap();
    let check = Command::new(env!("CARGO_BIN_EXE_maplehook"))
        .args(["check", "--config", concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/maplehook.toml")])
        .output()
        .unwrap();
    assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stderr));
}

/// Guards against clients that half-close, or send a byte a second: they hold a place only while nobody else
/// wants it.
#[test]
fn clients_that_half_close_or_drip_make_room() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    let node = setup.start();
    // One that closes its side has gone away, whatever it sent: it holds nothing.
    for text in ["", "POST /book HTTP/1.1\r\n", &look(5000)] {
        let mut half = node.connect();
        half.write(text);
        half.writer().shutdown(std::net::Shutdown::Write).unwrap();
        half.answer();
        assert!(half.ends());
    }
    let mut drips: Vec<Client> = (0..40).map(|_| node.connect()).collect();
    for client in &mut drips {
        let _ = client.writer().write_all(b"P");
    }
    for _ in 0..20 {
        assert_eq!(node.connect().exchange(&book(5000, "x")).status(), 200);
    }
}
