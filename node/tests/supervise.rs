//! One program after another on one socket: what `maplehook run` inherits, and what `maplehook supervise` does with it.

mod common;

use common::*;
use std::net::TcpListener;
use std::os::fd::OwnedFd;

const CLASS: &str = "[[class]]\nname = 'all'\npath = '/**'\neffect = 'idempotent'\n";

/// Guards the socket: without a platform, too, a process takes the one that it inherits, and the next one goes on there.
#[test]
fn an_operators_balancer_takes_the_socket_that_it_inherits() {
    let upstream = Upstream::start(Then::Answer(OK));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let socket = OwnedFd::from(socket);
    let ask = |node: &Node| node.connect().exchange("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").status();
    let mut old = run_on(&[upstream.address], CLASS, Some(&socket));
    assert_eq!((old.address, ask(&old)), (address, 200));
    let new = run_on(&[upstream.address], CLASS, Some(&socket));
    old.terminate();
    assert!(old.wait().success());
    assert_eq!((new.address, ask(&new)), (address, 200));
}
