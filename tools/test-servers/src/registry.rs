//! Discovery whose answers are the test's own, from their first byte.

use crate::Message;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The head of an answer in chunks.
pub const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Discovery that answers nothing by itself.
pub struct Registry {
    listener: TcpListener,
}

/// A call that it has read.
pub struct Call {
    /// What was asked.
    pub target: String,
    /// When it had come.
    pub at: Instant,
    stream: TcpStream,
}

impl Registry {
    /// One that listens.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Self { listener }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// The next call, if it comes within this time.
    pub fn call_within(&self, time: Duration) -> Option<Call> {
        let end = Instant::now() + time;
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                let message = Message::read(&mut BufReader::new(&stream)).expect("a request");
                let target = message.line.split(' ').nth(1).unwrap_or_default().to_owned();
                return Some(Call { target, at: Instant::now(), stream });
            }
            if Instant::now() > end {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.call_within(crate::LONG).expect("a call")
    }
}

impl Call {
    /// Writes these bytes.
    pub fn write(&self, bytes: impl AsRef<[u8]>) {
        (&self.stream).write_all(bytes.as_ref()).unwrap();
    }

    /// Begins an answer in chunks, with this line.
    pub fn answer(&self, line: &str) {
        self.write(format!("{CHUNKED}{}", chunk(&format!("{line}\n"))));
    }

    /// Whether the caller has given it up, seen within this time.
    pub fn given_up_within(&self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).unwrap();
        match (&self.stream).read(&mut [0]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// These bytes as one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
