//! The end of a supervised balancer, on every way that it can come: whoever is let in is served, and nobody is let in any more once
//! nobody serves.

mod common;

use common::gates::{Arrived, holding};
use common::supervised::{Place, Steady, Supervisor, signal};
use common::{LONG, Message, until};
use maplehook_supervisor::saved_state::Role;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// For so long after SIGTERM new connections go on coming.
const COMING: Duration = Duration::from_millis(400);
/// For so long after SIGTERM they are accepted.
const ACCEPTING: Duration = Duration::from_millis(600);
/// Between two of them.
const APART: Duration = Duration::from_millis(10);
/// A client that waits longer than this for an answer that its upstream gives at once was let in by nobody who serves.
const AT_ONCE: Duration = Duration::from_secs(5);

/// An upstream that answers at once, but for `/hold`, which the test answers.
fn upstream() -> (SocketAddr, Receiver<Arrived>) {
    let (address, arrived) = holding();
    let (hold, held) = channel();
    std::thread::spawn(move || {
        for request in arrived {
            if request.message.line.contains("/hold") {
                let _ = hold.send(request);
            } else {
                request.answer("done");
            }
        }
    });
    (address, held)
}

/// A supervised balancer, and what its upstream holds.
struct Balancer {
    place: Place,
    held: Receiver<Arrived>,
}

impl Balancer {
    /// One whose planned end takes as long as the test's longest request.
    fn new(name: &str) -> Self {
        let (address, held) = upstream();
        let mut place = Place::new(name);
        place.listed = Some(address);
        place.more = place.more.replace("grace_ms = 3000", "grace_ms = 20000");
        Self { place, held }
    }

    /// It is started again so many milliseconds after each death, a quarter less by chance.
    fn waits_after_a_death(&mut self, ms: u64) {
        let backoff = format!("backoff_ms = {ms}\nbackoff_most_ms = {ms}");
        self.place.more = self.place.more.replace("backoff_ms = 20\nbackoff_most_ms = 200", &backoff);
    }

    fn start(&self) -> Supervisor {
        let program = self.place.good(0);
        self.place.wants(&program);
        let supervisor = self.place.supervise();
        self.place.until_serves(&program);
        supervisor
    }

    /// Puts another program in its place.
    fn change(&self, supervisor: &Supervisor, number: usize) {
        let program = self.place.good(number);
        self.place.wants(&program);
        supervisor.reload();
        until("the new one serves", || self.place.present().is_some_and(|(_, of)| of == program));
    }

    /// A client whose request is held at the upstream.
    fn hold(&self) -> (Asking, Arrived) {
        let client = Asking::start(self.place.address, "/hold").expect("a connection");
        (client, self.held.recv_timeout(LONG).expect("the request at the upstream"))
    }

    /// The process that serves, by the supervisor's word.
    fn serving(&self) -> u32 {
        self.place.present().expect("a process that serves").0
    }

    /// Waits until another process serves in the place of this one.
    fn until_replaced(&self, pid: u32) {
        until("another one serves", || self.place.present().is_some_and(|(now, _)| now != pid));
    }

    /// How many processes the supervisor is ending.
    fn ending(&self) -> usize {
        let processes = self.place.memory().map(|memory| memory.processes).unwrap_or_default();
        processes.iter().filter(|process| process.role == Role::Terminating).count()
    }

    /// Sends SIGTERM, and then has clients connect for a while.
    fn clients_after(&self, terminate: impl FnOnce()) -> Vec<Result<Asking, ErrorKind>> {
        let told = Instant::now();
        terminate();
        let mut clients = Vec::new();
        while told.elapsed() < COMING {
            let client = Asking::start(self.place.address, "/");
            // This test may have been held up until it was too late to connect.
            if client.is_ok() || told.elapsed() < ACCEPTING {
                clients.push(client);
            }
            std::thread::sleep(APART);
        }
        clients
    }

    /// Waits until nobody is let in any more.
    fn has_shut(&self) {
        until("nobody is let in", || {
            TcpStream::connect(self.place.address).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
        });
    }
}

/// A request on a connection of its own.
struct Asking(JoinHandle<(Option<Message>, Duration)>);

impl Asking {
    /// Connects and sends it; the error if there is no connection.
    fn start(address: SocketAddr, path: &str) -> Result<Self, ErrorKind> {
        let begun = Instant::now();
        let mut stream = TcpStream::connect(address).map_err(|e| e.kind())?;
        stream.set_read_timeout(Some(LONG)).unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
        // Where nobody reads it, the answer is missing.
        let _ = stream.write_all(request.as_bytes());
        Ok(Self(std::thread::spawn(move || (Message::read(&mut BufReader::new(stream)), begun.elapsed()))))
    }

    /// The upstream answers what it holds of this client, and so does the balancer.
    fn ends_served(self, held: &Arrived) {
        held.answer("held");
        assert_eq!(self.answer().0, Some(200));
    }

    /// The status of its answer, and how long that took.
    fn answer(self) -> (Option<u16>, Duration) {
        let (answer, took) = self.0.join().unwrap();
        (answer.map(|answer| answer.status()), took)
    }
}

/// All were let in and answered at once.
fn all_served(clients: Vec<Result<Asking, ErrorKind>>) {
    let count = clients.len();
    let answers = clients.into_iter().map(|client| client.map(Asking::answer));
    let wrong: Vec<_> =
        answers.filter(|answer| !matches!(answer, Ok((Some(200), took)) if *took < AT_ONCE)).collect();
    assert!(count > 0 && wrong.is_empty(), "{} of {count}: {wrong:?}", wrong.len());
}

/// Guards clients that connect while the whole balancer ends: the supervisor's copy of the listener let them in, and nobody read
/// their requests. Further signals change nothing of it.
#[test]
fn who_connects_after_sigterm_to_the_supervisor_is_served() {
    for more in [&[][..], &["TERM", "HUP", "INT"]] {
        let balancer = Balancer::new(&format!("whole-{}", more.len()));
        let mut supervisor = balancer.start();
        let (client, held) = balancer.hold();
        all_served(balancer.clients_after(|| {
            signal(supervisor.pid(), "TERM");
            supervisor.until_said("leaving");
            more.iter().for_each(|name| signal(supervisor.pid(), name));
        }));
        balancer.has_shut();
        // The process still has what it had taken.
        assert_eq!(balancer.ending(), 1);
        client.ends_served(&held);
        assert!(supervisor.wait().success());
        assert!(balancer.place.alive().is_empty());
    }
}

/// Guards the end in the middle of a change: the old process, which accepts nobody any more, has a copy of the listener, too.
#[test]
fn an_old_process_that_drains_lets_nobody_in_at_the_end() {
    let balancer = Balancer::new("drains");
    let mut supervisor = balancer.start();
    let (client, held) = balancer.hold();
    balancer.change(&supervisor, 1);
    assert_eq!(balancer.ending(), 1, "the old one drains");
    all_served(balancer.clients_after(|| signal(supervisor.pid(), "TERM")));
    balancer.has_shut();
    assert!(balancer.ending() > 0, "the old one drains");
    client.ends_served(&held);
    assert!(supervisor.wait().success());
}

/// Guards against clients that nobody will serve, where the last process that accepts is killed during the end while another one
/// drains: nobody else will come.
#[test]
fn nobody_is_let_in_once_the_last_process_that_accepts_is_killed() {
    let balancer = Balancer::new("killed");
    let mut supervisor = balancer.start();
    let (client, held) = balancer.hold();
    balancer.change(&supervisor, 1);
    let serving = balancer.serving();
    signal(supervisor.pid(), "TERM");
    until("both end", || balancer.ending() == 2);
    signal(serving, "KILL");
    balancer.has_shut();
    assert_eq!(balancer.ending(), 1, "the old one drains");
    client.ends_served(&held);
    assert!(supervisor.wait().success());
}

/// Guards clients that were let in while the program was down: the end reset them unheard. One process is started for them.
#[test]
fn who_waits_while_the_program_is_down_is_served_before_the_end() {
    let mut balancer = Balancer::new("down");
    balancer.waits_after_a_death(5000);
    let mut supervisor = balancer.start();
    signal(balancer.serving(), "KILL");
    supervisor.until_said("died, 1 times");
    let waiting = (0..8).map(|_| Asking::start(balancer.place.address, "/")).collect();
    signal(supervisor.pid(), "TERM");
    all_served(waiting);
    balancer.has_shut();
    assert!(supervisor.wait().success());
    assert!(balancer.place.alive().is_empty());
}

/// Guards clients of a program that stays down: nobody would accept them within the time that a request has, and the supervisor's
/// listener let them in all the same.
#[test]
fn nobody_is_let_in_while_the_program_stays_down() {
    let mut balancer = Balancer::new("stays-down");
    balancer.waits_after_a_death(90000);
    let supervisor = balancer.start();
    signal(balancer.serving(), "KILL");
    balancer.has_shut();
    assert!(supervisor.said("clients are refused") == 1, "{}", supervisor.all());
    // Another program is started at once, and listens.
    balancer.change(&supervisor, 1);
    all_served(balancer.clients_after(|| {}));
    supervisor.end();
    balancer.has_shut();
}

/// Guards clients of a balancer that somebody other than its supervisor ends: it accepted nobody any more, and until it had drained
/// nobody came in its place, while the supervisor's copy of the listener let clients in.
#[test]
fn a_balancer_that_others_end_is_replaced_before_it_has_drained() {
    let balancer = Balancer::new("others");
    let supervisor = balancer.start();
    let (client, held) = balancer.hold();
    let ended = balancer.serving();
    all_served(balancer.clients_after(|| signal(ended, "TERM")));
    balancer.until_replaced(ended);
    all_served(balancer.clients_after(|| {}));
    assert_eq!(balancer.ending(), 1, "the old one drains");
    client.ends_served(&held);
    until("it is gone", || balancer.ending() == 0);
    supervisor.end();
}

/// Guards the end of both at once, in either order, as by a service manager that signals all processes of a service.
#[test]
fn who_connects_after_sigterm_to_both_is_served() {
    for is_balancer_first in [true, false] {
        let balancer = Balancer::new(&format!("both-{is_balancer_first}"));
        let mut supervisor = balancer.start();
        let (client, held) = balancer.hold();
        let mut pids = [supervisor.pid(), balancer.serving()];
        if is_balancer_first {
            pids.reverse();
        }
        all_served(balancer.clients_after(|| pids.into_iter().for_each(|pid| signal(pid, "TERM"))));
        balancer.has_shut();
        assert!(balancer.ending() > 0, "it still has what it had taken");
        client.ends_served(&held);
        assert!(supervisor.wait().success());
        assert!(balancer.place.alive().is_empty());
    }
}

/// Guards the end of a balancer whose supervisor is gone: it is the only one that accepts.
#[test]
fn who_connects_after_sigterm_to_a_balancer_without_its_supervisor_is_served() {
    let balancer = Balancer::new("alone");
    let mut supervisor = balancer.start();
    let (client, held) = balancer.hold();
    let pid = balancer.serving();
    supervisor.kill();
    all_served(balancer.clients_after(|| signal(pid, "TERM")));
    balancer.has_shut();
    assert_eq!(balancer.place.alive(), [pid], "it still has what it had taken");
    client.ends_served(&held);
    until("it is gone", || balancer.place.alive().is_empty());
}

/// Guards the next supervisor, which comes while the balancer ends, by its command or somebody else's: it goes on with the listener
/// and another process, and whoever is let in meanwhile is served.
#[test]
fn a_supervisor_that_comes_during_the_end_goes_on() {
    for is_whole in [true, false] {
        let balancer = Balancer::new(&format!("next-{is_whole}"));
        let mut supervisor = balancer.start();
        let (client, held) = balancer.hold();
        let ended = balancer.serving();
        let steady = Steady::start(balancer.place.address);
        if is_whole {
            signal(supervisor.pid(), "TERM");
            supervisor.until_said("leaving");
            supervisor.kill();
        } else {
            supervisor.kill();
            signal(ended, "TERM");
        }
        let supervisor = balancer.place.supervise();
        balancer.until_replaced(ended);
        // Where it comes too late, nobody listens for a moment.
        let (_, wrong) = steady.end();
        assert!(wrong.iter().all(|error| error.starts_with("connect:")), "{wrong:?}");
        all_served(balancer.clients_after(|| {}));
        client.ends_served(&held);
        supervisor.end();
        assert!(balancer.place.alive().is_empty());
    }
}

/// Guards the next supervisor, which comes after listening has ended and while the balancer still drains.
#[test]
fn a_supervisor_that_comes_after_listening_has_ended_listens_anew() {
    let balancer = Balancer::new("anew");
    let mut supervisor = balancer.start();
    let (client, held) = balancer.hold();
    let ended = balancer.serving();
    signal(supervisor.pid(), "TERM");
    balancer.has_shut();
    supervisor.kill();
    let supervisor = balancer.place.supervise();
    balancer.until_replaced(ended);
    all_served(balancer.clients_after(|| {}));
    client.ends_served(&held);
    supervisor.end();
    assert!(balancer.place.alive().is_empty());
}
