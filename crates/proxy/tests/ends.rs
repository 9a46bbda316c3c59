//! What the figures and the log say of why connections end and requests are turned away.

mod common;

use common::{OK, Setup, Then, Upstream, book_as, look, nobody, until};

fn with_control(upstreams: &[std::net::SocketAddr]) -> Setup {
    Setup { control: true, ..Setup::with(upstreams) }
}

fn ended(reason: &str) -> String {
    format!("balancer_clients_ended_total{{reason=\"{reason}\"}}")
}

/// Guards on-call staff's view of why connections end: each end counts once, under what caused it.
#[test]
fn each_end_of_a_connection_counts_under_its_cause() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut node = with_control(&[upstream.address]).start();
    let mut leaves = node.connect();
    assert_eq!(leaves.exchange(&look(5000)).status(), 200);
    drop(leaves);
    until("it has left", || node.has_figure(&ended("left"), 1));
    let mut last = node.connect();
    assert_eq!(last.exchange(&look(5000).replace("Host", "Connection: close\r\nHost")).status(), 200);
    assert!(last.ends());
    until("its answer was the last", || node.has_figure(&ended("answered"), 1));
    let mut odd = node.connect();
    assert_eq!(odd.exchange("\u{1}\u{2} nonsense\r\n\r\n").status(), 400);
    until("it can't be read", || node.has_figure(&ended("broken"), 1));
    let mut unfit = node.connect();
    assert_eq!(unfit.exchange("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n").status(), 404);
    until("it is unfit", || node.has_figure("balancer_unfit_total{reason=\"Not Found\"}", 1));
    let mut resting = node.connect();
    assert_eq!(resting.exchange(&book_as("aa", "x")).status(), 200);
    assert!(resting.ends());
    until("it has rested", || node.has_figure(&ended("rested"), 1));
    assert!(node.has_figure("balancer_attempts_ended_total{reason=\"ok\"}", 3));
    node.terminate();
    assert!(node.wait().success());
}

/// Guards the same for attempts: one that finds nobody is told as such, and so is the one after it.
#[test]
fn attempts_and_retries_count_by_outcome() {
    let upstream = Upstream::start(Then::Answer(OK));
    let node = with_control(&[nobody(), upstream.address]).start();
    let mut client = node.connect();
    for n in 0..8 {
        let answer = client.exchange(&look(5000).replace("77aa", &format!("{n:x}")));
        assert_eq!(answer.status(), 200, "{n}");
    }
    let failed = node.figure("balancer_attempts_ended_total{reason=\"connect_failed\"}");
    assert!(failed > 0);
    assert_eq!(node.figure("balancer_retries_total"), failed);
    assert_eq!(node.figure("balancer_attempts_ended_total{reason=\"ok\"}"), 8);
}
