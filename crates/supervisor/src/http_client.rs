//! A minimal HTTP/1.1 client for the supervisor's own requests, one to a connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest head, and the longest body that is read, in bytes.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
const MAX_BODY_BYTES: u64 = 1 << 20;

/// A well-formed response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// A connection that is read until a deadline.
struct DeadlineReader {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for DeadlineReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Sends a request and reads the complete response within a time-out.
///
/// # Errors
///
/// If the address cannot be reached, or the response is malformed, incomplete or late.
pub fn request(address: SocketAddr, method: &str, path: &str, timeout: Duration) -> io::Result<Response> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    read(&mut BufReader::new(DeadlineReader { stream, deadline }), method == "HEAD")
}

/// Reads a response (RFC 9112, sections 4 and 6).
fn read(reader: &mut impl BufRead, has_no_body: bool) -> io::Result<Response> {
    let mut head = reader.take(MAX_HEAD_BYTES);
    let mut line = String::new();
    head.read_line(&mut line)?;
    let status = line.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1)).unwrap_or("");
    let status: u16 = status.trim_end().parse().map_err(|_| invalid("no status line"))?;
    let (mut length, mut chunked) = (None, false);
    loop {
        line.clear();
        if head.read_line(&mut line)? == 0 {
            return Err(invalid("the head is not whole"));
        }
        if line == "\r\n" {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.trim().parse::<u64>().map_err(|_| invalid("no length"))?);
        }
        chunked |= name.eq_ignore_ascii_case("transfer-encoding");
    }
    let mut body = Vec::new();
    if has_no_body || status == 204 || status == 304 {
        return Ok(Response { status, body });
    }
    reader.take(length.unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES)).read_to_end(&mut body)?;
    let is_complete = match length {
        Some(length) => body.len() as u64 == length.min(MAX_BODY_BYTES),
        // One that is longer than is read may be complete.
        None => !chunked || body.ends_with(b"0\r\n\r\n") || body.len() as u64 == MAX_BODY_BYTES,
    };
    if is_complete { Ok(Response { status, body }) } else { Err(invalid("the body is not whole")) }
}

#[cfg(test)]
mod tests;
