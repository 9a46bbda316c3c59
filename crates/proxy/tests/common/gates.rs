//! Gates: stand-ins and looks by which a test brings about one order of events each time.

use super::{Client, LONG, Message, Node, until};
use std::collections::HashSet;
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

/// How the kernel writes an address in its tables.
fn in_table(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => panic!("{address}"),
    }
}

/// The peers from which all that has come at `local` is read, as the kernel counts it.
fn read_from(local: SocketAddr) -> HashSet<String> {
    let local = in_table(local);
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let is_read = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields.get(1) == Some(&&*local) && fields.get(4)?.ends_with(":00000000");
        is_it.then(|| fields[2].to_owned())
    });
    is_read.collect()
}

impl Node {
    /// Waits until it has read all that these clients have sent.
    pub fn has_read<'a>(&self, clients: impl IntoIterator<Item = &'a Client>) {
        let peers = clients.into_iter().map(|client| in_table(client.writer().local_addr().unwrap()));
        let peers: HashSet<String> = peers.collect();
        until("all is read", || peers.is_subset(&read_from(self.address)));
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

/// An upstream whose machine takes no connection for now: its queue of connections to be accepted is full.
pub struct Busy {
    listener: TcpListener,
    pub address: SocketAddr,
    filler: TcpStream,
}

impl Busy {
    pub fn start() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        Self { listener, address, filler }
    }

    /// From now on connections come up, those that wait within a second or so.
    pub fn free(self) -> TcpListener {
        drop(self.filler);
        self.listener.accept().unwrap();
        self.listener
    }
}
