//! Clients that stop in the middle of a request and stay: each is owed an error or the end of its connection within 3 s of
//! its last byte, wherever it stops and whatever came before on its connection.

mod common;

use common::gates::{Busy, holding};
use common::halfway::{Lateness, OWED_WITHIN, all_hear_in_time, connect, cuts, held_back_after};
use common::{Client, LONG, Message, OK, Setup, Then, Upstream, book, book_as};
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How long a balancer may be held up between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);

/// Clients that stop in each place of a request, on connections that `begin` brings so far; `begin` writes what it is given.
fn stop_everywhere(
    of: &str,
    connect: impl Fn() -> Client,
    begin: impl Fn(&mut Client, &str, usize),
) -> Vec<(String, Client, Instant)> {
    let stopped = cuts(of).into_iter().enumerate().map(|(n, cut)| {
        let mut client = connect();
        begin(&mut client, &cut.sent, n);
        (format!("{of}: {}", cut.what), client, Instant::now())
    });
    stopped.collect()
}

/// Sends a part of a request behind an answer to another.
fn after_an_answer(client: &mut Client, sent: &str, n: usize) {
    assert_eq!(client.exchange(&book_as(&format!("before-{n}"), "x")).status(), 200);
    client.write(sent);
}

/// Guards each client that stops in the middle of a request: as its first, after an answer, and in one burst with a request
/// before it, which has its answer.
#[test]
fn who_stops_in_the_middle_of_a_request_hears_of_it_in_time() {
    let upstream = Upstream::start(Then::Answer(OK));
    let (lateness, node) = (Lateness::watch(), Setup::with(&[upstream.address]).start());
    let mut stopped = stop_everywhere("first", || node.connect(), |client, sent, _| client.write(sent));
    stopped.extend(stop_everywhere("after", || node.connect(), after_an_answer));
    stopped.extend(stop_everywhere(
        "burst",
        || node.connect(),
        |client, sent, n| {
            client.write(&(book_as(&format!("with-{n}"), "x") + sent));
        },
    ));
    stopped.push(("nothing sent".into(), node.connect(), Instant::now()));
    all_hear_in_time(stopped, &lateness);
}

/// Guards whoever stopped behind a request that is still in hand: that one has its answer, and what stopped is heard of at
/// once where its time is over by then.
#[test]
fn who_stopped_behind_an_open_request_hears_of_it_with_the_answer() {
    const AT_ONCE: Duration = Duration::from_secs(1);
    let (address, arrived) = holding();
    let (lateness, node) = (Lateness::watch(), Setup::with(&[address]).start());
    let stopped = stop_everywhere(
        "behind",
        || node.connect(),
        |client, sent, n| {
            client.write(&book_as(&format!("open-{n}"), "x"));
            // What streams is read as its upstream takes it, which holds it here.
            client.write_what_is_taken(sent);
        },
    );
    let held: Vec<_> = stopped.iter().map(|_| arrived.recv_timeout(LONG).unwrap()).collect();
    sleep(OWED_WITHIN);
    held.iter().for_each(|request| request.answer("at last"));
    let answered = Instant::now();
    for (what, mut client, _) in stopped {
        assert_eq!(client.answer().expect("the answer").status(), 200, "{what}");
        common::halfway::word(&mut client);
        let streams = what.contains("200 KB") || what.contains("900 MB");
        let most = if streams { OWED_WITHIN } else { AT_ONCE } + lateness.most();
        assert!(answered.elapsed() <= most, "{what}: {:?} after the answer", answered.elapsed());
    }
}

/// Guards the same at the planned end of a process, which waits for the rest of what is half written, and no longer than
/// for any other client.
#[test]
fn who_has_stopped_when_the_process_ends_hears_of_it_in_time() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.deadline_ms = 3000;
    let (lateness, mut node) = (Lateness::watch(), setup.start());
    let mut stopped = stop_everywhere("first", || node.connect(), |client, sent, _| client.write(sent));
    stopped.extend(stop_everywhere("after", || node.connect(), after_an_answer));
    node.terminate();
    all_hear_in_time(stopped, &lateness);
    assert!(node.wait().success());
}

/// Guards the same where the client has sent all and the way holds the rest back, with a balancer that stands still for a
/// moment just when the word is due.
#[test]
fn what_the_way_holds_back_is_heard_of_in_time_by_a_balancer_that_is_held_up() {
    const JUST_BEFORE: Duration = Duration::from_millis(2450);
    let upstream = Upstream::start(Then::Answer(OK));
    let (lateness, node) = (Lateness::watch(), Setup::with(&[upstream.address]).start());
    let head = book_as("held", "abc").len() - 3;
    let mut stopped = Vec::new();
    for bytes in [1, 60, head, head + 2] {
        let address = held_back_after(&node, bytes);
        let mut client = connect(address);
        client.write(&book_as("held", "abc"));
        stopped.push((format!("{bytes} bytes pass"), client, Instant::now()));
    }
    sleep(JUST_BEFORE.saturating_sub(stopped[0].2.elapsed()));
    node.pause();
    sleep(HELD_UP);
    node.resume();
    all_hear_in_time(stopped, &lateness);
    assert!(upstream.seen().is_empty());
}

/// Guards a rest that comes while a balancer stands still, with its client's time over when it goes on: what has come is
/// looked at first.
#[test]
fn a_rest_that_came_while_the_balancer_stood_still_is_served() {
    const OVER: Duration = Duration::from_millis(2700);
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let request = |n: usize| book_as(&format!("rest-{n}"), &"x".repeat(50_000));
    let head = request(0).len() - 50_000;
    let mut clients: Vec<_> = [1, 60, head, head + 1, head + 40_000].map(|cut| (node.connect(), cut)).into();
    for (n, (client, cut)) in clients.iter_mut().enumerate() {
        client.write(&request(n)[..*cut]);
    }
    node.has_read(clients.iter().map(|(client, _)| client));
    node.pause();
    for (n, (client, cut)) in clients.iter_mut().enumerate() {
        client.write(&request(n)[*cut..]);
    }
    sleep(OVER);
    node.resume();
    for (client, cut) in &mut clients {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(200), "cut at {cut}");
    }
}

/// Guards whoever stops in a long body while its upstream takes no connection, which is no excuse.
#[test]
fn who_stops_in_a_long_body_hears_of_it_though_its_upstream_takes_no_connection() {
    let upstreams = [(); 4].map(|()| Busy::start());
    let setup = Setup::with(&upstreams.each_ref().map(|busy| busy.address));
    let (lateness, node) = (Lateness::watch(), setup.start());
    let stopped = stop_everywhere("busy", || node.connect(), |client, sent, _| client.write(sent));
    all_hear_in_time(stopped, &lateness);
}

/// Guards clients against their upstreams: one whose upstream takes nothing for a while has not stopped.
#[test]
fn who_waits_for_an_upstream_that_takes_nothing_is_served() {
    const TAKES_NOTHING: Duration = Duration::from_secs(4);
    const LENGTH: usize = 32 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup::with(&[listener.local_addr().unwrap()]).start();
    let mut client = node.connect();
    let mut writer = client.writer();
    let request = book(8000, &"x".repeat(LENGTH));
    let writes = spawn(move || writer.write_all(request.as_bytes()));
    let (upstream, _) = listener.accept().unwrap();
    sleep(TAKES_NOTHING);
    let mut reader = BufReader::new(&upstream);
    assert_eq!(Message::read(&mut reader).expect("the request").body.len(), LENGTH);
    (&upstream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
    assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
    writes.join().unwrap().unwrap();
}

/// Guards clients that are slow and move on: pauses that are shorter than a stop change nothing.
#[test]
fn who_is_slow_and_moves_on_is_served() {
    const PAUSE: Duration = Duration::from_millis(1200);
    let upstream = Upstream::start(Then::Answer(OK));
    let node = Setup::with(&[upstream.address]).start();
    let short = book_as("slow", "abc");
    let long = book_as("long", &"x".repeat(200_000));
    let mut clients = [(node.connect(), short, 40), (node.connect(), long, 90_000)];
    for _ in 0..3 {
        for (client, text, piece) in &mut clients {
            let rest = text.split_off((*piece).min(text.len()));
            client.write(&std::mem::replace(text, rest));
        }
        sleep(PAUSE);
    }
    for (mut client, rest, _) in clients {
        assert_eq!(client.exchange(&rest).status(), 200);
    }
}
