//! Gates: stand-ins and looks by which a test brings about one order of events each time.

use super::{Client, LONG, Message, Node, until};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};

/// A request at an upstream that answers when the test says so.
pub struct Arrived {
    pub message: Message,
    pub stream: TcpStream,
}

impl Arrived {
    pub fn answer(&self, body: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        (&self.stream).write_all((head + body).as_bytes()).unwrap();
    }

    /// The time that the balancer says it will wait.
    pub fn left_ms(&self) -> u64 {
        self.message.header("x-time-left-ms").expect("the time left").parse().unwrap()
    }
}

/// An upstream that hands each request to the test.
pub fn holding() -> (SocketAddr, Receiver<Arrived>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (requests, received)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let requests = requests.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = Message::read(&mut reader) {
                    let arrived = Arrived { message, stream: stream.try_clone().unwrap() };
                    if requests.send(arrived).is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address, received)
}

/// Bytes from `peer` that `local` has not read, as the kernel counts them; `None` if there is no such connection.
pub fn unread(local: SocketAddr, peer: SocketAddr) -> Option<u64> {
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => panic!("{address}"),
    };
    let (local, peer) = (hex(local), hex(peer));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields.get(1) == Some(&&*local) && fields.get(2) == Some(&&*peer);
        let queue = fields.get(4).filter(|_| is_it)?.split(':').nth(1)?;
        u64::from_str_radix(queue, 16).ok()
    })
}

impl Node {
    /// Waits until it has read all that this client has sent.
    pub fn has_read(&self, client: &Client) {
        let peer = client.writer().local_addr().unwrap();
        until("all is read", || unread(self.address, peer) == Some(0));
    }

    /// Waits until it accepts nobody any more.
    pub fn has_shut(&self) {
        until("nobody is accepted", || TcpStream::connect(self.address).is_err());
    }

    /// Holds it still: what comes meanwhile, and what falls due, it finds all at once.
    pub fn pause(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("it stands still", || {
            let stat = std::fs::read_to_string(&stat).unwrap();
            stat.rsplit(')').next().unwrap().trim_start().starts_with('T')
        });
    }

    pub fn resume(&self) {
        self.signal("CONT");
    }
}

/// A client that takes in little at a time: most of a long answer stays with the balancer's kernel until it reads.
pub fn narrow(node: &Node) -> Client {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(2048).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG)).unwrap();
    Client { reader: BufReader::new(stream) }
}
