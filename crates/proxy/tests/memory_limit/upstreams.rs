//! Upstreams that read whole requests and answer in one way.

use crate::common::peers;
use std::io::Write;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How upstreams answer requests of the crowd. Requests of the known client get a short answer at once.
#[derive(Clone, Copy, Debug)]
pub struct Answers {
    /// Length of the body.
    pub bytes: usize,
    /// Header fields, of which each has a value of 300 bytes.
    pub fields: usize,
    pub after: Duration,
    /// Whether the answer tells its length. Without it the answer does not end.
    pub has_length: bool,
}

impl Answers {
    pub const SHORT: Self = Self { bytes: 2, fields: 0, after: Duration::ZERO, has_length: true };
    pub const LONG: Self = Self { bytes: 64 * 1024, ..Self::SHORT };
    pub const LONG_AND_LATE: Self = Self { after: Duration::from_millis(800), ..Self::LONG };
    pub const UNENDED: Self = Self { has_length: false, ..Self::LONG };
    pub const LONG_HEADS: Self = Self { fields: 90, ..Self::LONG };

    fn text(self) -> String {
        let fields: String = (0..self.fields).map(|n| format!("X-{n}: {}\r\n", "v".repeat(300))).collect();
        let length =
            if self.has_length { format!("Content-Length: {}\r\n", self.bytes) } else { String::new() };
        format!("HTTP/1.1 200 OK\r\n{fields}{length}\r\n{}", "y".repeat(self.bytes))
    }
}

/// Starts a discovery service whose lists never end.
pub fn start_endless_discovery() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let head =
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"rev\":7,\"targets\":[ ";
                let mut is_open = stream.write_all(head).is_ok();
                while is_open {
                    is_open = stream.write_all(&[b' '; 16 * 1024]).is_ok();
                }
            });
        }
    });
    address
}

/// Starts upstreams on a thread of their own, for the rest of the program.
pub fn start(count: usize, answers: Answers) -> Vec<SocketAddr> {
    peers::start(count, move |stream| serve(stream, answers))
}

async fn serve(stream: TcpStream, answers: Answers) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let text = answers.text();
    loop {
        let (mut length, mut is_known, mut line) = (0, false, String::new());
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            is_known |= lower.starts_with("x-correlation-id: known");
            if line == "\r\n" {
                break;
            }
        }
        tokio::io::copy(&mut (&mut stream).take(length), &mut tokio::io::sink()).await?;
        if is_known {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await?;
        } else {
            tokio::time::sleep(answers.after).await;
            stream.write_all(text.as_bytes()).await?;
        }
    }
}
