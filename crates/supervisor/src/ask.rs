//! Requests of the supervisor's own, one to a connection: HTTP/1.1 as far as it needs it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest head, and the longest body.
const HEAD_MOST: u64 = 64 * 1024;
const BODY_MOST: u64 = 1 << 20;

/// An answer that is well formed.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// A connection that is read until a time.
struct Until(TcpStream, Instant);

impl Read for Until {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.1.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.0.set_read_timeout(Some(left))?;
        self.0.read(buffer)
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Asks, and reads the whole answer within a time.
pub fn ask(address: SocketAddr, method: &str, path: &str, most: Duration) -> io::Result<Answer> {
    let until = Instant::now() + most;
    let mut stream = TcpStream::connect_timeout(&address, most)?;
    stream.set_write_timeout(Some(most))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    read(&mut BufReader::new(Until(stream, until)), method == "HEAD")
}

/// Reads an answer (RFC 9112, sections 4 and 6).
fn read(reader: &mut impl BufRead, no_body: bool) -> io::Result<Answer> {
    let mut head = reader.take(HEAD_MOST);
    let mut line = String::new();
    head.read_line(&mut line)?;
    let status = line.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1)).unwrap_or("");
    let status: u16 = status.trim_end().parse().map_err(|_| bad("no status line"))?;
    let (mut length, mut chunked) = (None, false);
    loop {
        line.clear();
        if head.read_line(&mut line)? == 0 {
            return Err(bad("the head is not whole"));
        }
        if line == "\r\n" {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
        if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.trim().parse::<u64>().map_err(|_| bad("no length"))?);
        }
        chunked |= name.eq_ignore_ascii_case("transfer-encoding");
    }
    let mut body = Vec::new();
    if no_body || status == 204 || status == 304 {
        return Ok(Answer { status, body });
    }
    reader.take(length.unwrap_or(BODY_MOST).min(BODY_MOST)).read_to_end(&mut body)?;
    let whole = match length {
        Some(length) => body.len() as u64 == length.min(BODY_MOST),
        // A longer one than is read may be whole.
        None => !chunked || body.ends_with(b"0\r\n\r\n") || body.len() as u64 == BODY_MOST,
    };
    if whole { Ok(Answer { status, body }) } else { Err(bad("the body is not whole")) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_not_whole_is_no_answer() {
        let of = |text: &str| read(&mut text.as_bytes(), false).map(|a| (a.status, a.body.len())).ok();
        assert_eq!(of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), Some((200, 2)));
        assert_eq!(of("HTTP/1.1 503 No\r\nConnection: close\r\n\r\nsome"), Some((503, 4)));
        assert_eq!(
            of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"),
            Some((200, 11))
        );
        assert_eq!(of("HTTP/1.1 204 No\r\n\r\n"), Some((204, 0)));
        for text in [
            "",
            "nonsense\r\n\r\n",
            "HTTP/1.1 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na",
        ] {
            assert_eq!(of(text), None, "{text:?}");
        }
        assert_eq!(
            read(&mut "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".as_bytes(), true).unwrap().status,
            200
        );
    }
}
