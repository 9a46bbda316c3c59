//! A balancer in operation: operators' calls, retuning, one process after another on one socket, long bodies.

#[path = "../common/mod.rs"]
mod common;

mod bodies;
mod calls;
mod forms;
mod replacement;
mod retuning;

use common::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};

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
