//! Tracks where a client's requests begin and end in the received bytes. hyper hides a `Content-Length` next
//! to `Transfer-Encoding`, and bytes of a body must not be parsed as headers.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Bytes stored of each line: enough for a header name and the digits of a length.
const MAX_LINE_PREFIX_BYTES: usize = 64;
/// Maximum number of queued heads; the client's connection buffer can't hold more.
const MAX_QUEUED_HEADS: usize = 4096;

/// Part of a request that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Within a head. `is_started`: a non-empty line of the head was received.
    Head { is_started: bool },
    /// Within a body, with the number of bytes left.
    Body(u64),
    /// Within the line that states a chunk's size.
    ChunkSize,
    /// Within a chunk, with the number of bytes left, including its line ending.
    Chunk(u64),
    /// Within the trailers after the last chunk.
    Trailers,
    /// The framing can't be read; hyper rejects the same bytes and closes the connection.
    Unreadable,
}

/// Framing of a request whose head was received.
#[derive(Clone, Copy, Debug)]
struct RequestRecord {
    /// True if the head has both `Content-Length` and `Transfer-Encoding`, or if that is unknown.
    has_hidden_length: bool,
    /// Time at which the last byte of the request was received.
    completed_at: Option<Instant>,
}

/// Record of a request whose framing could not be read.
const UNKNOWN_REQUEST: RequestRecord = RequestRecord { has_hidden_length: true, completed_at: None };

/// Tracks the request boundaries of one connection.
#[derive(Debug)]
pub struct Framing {
    part: Part,
    line: Vec<u8>,
    /// Body framing of the current head: its length, and whether the body is chunked.
    content_length: Option<u64>,
    is_chunked: bool,
    /// The request that hyper reads, and those pipelined behind it whose heads are complete.
    current: RequestRecord,
    queued: VecDeque<RequestRecord>,
}

impl Default for Framing {
    fn default() -> Self {
        let part = Part::Head { is_started: false };
        Self {
            part,
            line: Vec::new(),
            content_length: None,
            is_chunked: false,
            current: UNKNOWN_REQUEST,
            queued: VecDeque::new(),
        }
    }
}

impl Framing {
    /// Parses bytes received at `now`.
    pub fn on_bytes(&mut self, mut bytes: &[u8], now: Instant) {
        while !bytes.is_empty() {
            let was_in_body = !matches!(self.part, Part::Head { .. });
            let queued_before = self.queued.len();
            bytes = match self.part {
                Part::Unreadable => return,
                Part::Body(left) => self.skip(bytes, left, Part::Body, Part::Head { is_started: false }),
                Part::Chunk(left) => self.skip(bytes, left, Part::Chunk, Part::ChunkSize),
                Part::Head { .. } | Part::ChunkSize | Part::Trailers => self.consume_line(bytes),
            };
            if (was_in_body || self.queued.len() > queued_before)
                && self.part == (Part::Head { is_started: false })
            {
                self.queued.back_mut().unwrap_or(&mut self.current).completed_at = Some(now);
            }
        }
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        part_with: fn(u64) -> Part,
        next_part: Part,
    ) -> &'a [u8] {
        let n = left.min(bytes.len() as u64);
        self.part = if n == left { next_part } else { part_with(left - n) };
        &bytes[n as usize..]
    }

    /// Collects bytes up to the end of the line, and parses the line once it is complete.
    fn consume_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let newline = memchr::memchr(b'\n', bytes);
        let fragment = &bytes[..newline.unwrap_or(bytes.len())];
        let remaining = MAX_LINE_PREFIX_BYTES + 1 - self.line.len();
        self.line.extend_from_slice(&fragment[..fragment.len().min(remaining)]);
        let Some(newline) = newline else { return &[] };
        let line = std::mem::take(&mut self.line);
        let text = line.strip_suffix(b"\r").unwrap_or(&line);
        self.part = match self.part {
            Part::Head { is_started } => self.header_line(text, is_started),
            Part::Trailers if text.is_empty() => Part::Head { is_started: false },
            Part::Trailers => Part::Trailers,
            _ => part_after_chunk_size(text),
        };
        self.line = line;
        self.line.clear();
        &bytes[newline + 1..]
    }

    fn header_line(&mut self, line: &[u8], is_started: bool) -> Part {
        if !line.is_empty() {
            let name = line.iter().position(|b| *b == b':').map_or(line, |n| &line[..n]);
            if is_started && name.eq_ignore_ascii_case(b"content-length") {
                let value = line[name.len()..].strip_prefix(b":").unwrap_or_default();
                self.content_length = parse_content_length(value);
                if self.content_length.is_none() || line.len() > MAX_LINE_PREFIX_BYTES {
                    return self.give_up();
                }
            }
            self.is_chunked |= is_started && name.eq_ignore_ascii_case(b"transfer-encoding");
            return Part::Head { is_started: true };
        }
        if !is_started {
            // RFC 9112, section 2.2: empty lines before a request are skipped.
            return Part::Head { is_started };
        }
        let (length, is_chunked) = (self.content_length.take(), std::mem::take(&mut self.is_chunked));
        if self.queued.len() == MAX_QUEUED_HEADS {
            return self.give_up();
        }
        self.queued.push_back(RequestRecord {
            has_hidden_length: length.is_some() && is_chunked,
            completed_at: None,
        });
        match length {
            _ if is_chunked => Part::ChunkSize,
            Some(length) if length > 0 => Part::Body(length),
            _ => Part::Head { is_started: false },
        }
    }

    fn give_up(&mut self) -> Part {
        self.queued.clear();
        Part::Unreadable
    }

    /// Returns true if any byte of another request was received.
    pub fn has_next_request_bytes(&self) -> bool {
        match self.part {
            Part::Head { is_started } => is_started || !self.line.is_empty() || !self.queued.is_empty(),
            _ => !self.queued.is_empty(),
        }
    }

    /// Returns true if part of the next request was received; true if the framing can't be read.
    pub fn has_partial_next_request(&self) -> bool {
        match self.part {
            Part::Head { is_started } => is_started || !self.line.is_empty(),
            Part::Body(_) | Part::ChunkSize | Part::Chunk(_) | Part::Trailers => !self.queued.is_empty(),
            Part::Unreadable => true,
        }
    }

    /// Returns true if the body of the current request is incomplete; false if the framing can't be read.
    pub fn is_body_incomplete(&self) -> bool {
        let is_in_body =
            matches!(self.part, Part::Body(_) | Part::ChunkSize | Part::Chunk(_) | Part::Trailers);
        is_in_body && self.queued.is_empty()
    }

    /// Returns the number of bytes of the current request's body that were not received yet, if that is known.
    pub fn remaining_body_bytes(&self) -> Option<u64> {
        match self.part {
            Part::Body(left) if self.queued.is_empty() => Some(left),
            _ => None,
        }
    }

    /// Returns true if another request was received completely.
    pub fn has_complete_next_request(&self) -> bool {
        self.queued.front().is_some_and(|request| request.completed_at.is_some())
    }

    /// Advances to the next request. Returns true if its head has both `Content-Length` and
    /// `Transfer-Encoding`, or if that is unknown.
    pub fn advance(&mut self) -> bool {
        self.current = self.queued.pop_front().unwrap_or(UNKNOWN_REQUEST);
        self.current.has_hidden_length
    }

    /// Returns the number of requests that were received behind the current one, as far as their heads are complete.
    pub fn queued_requests(&self) -> usize {
        self.queued.len()
    }

    /// Returns the memory of the records of queued requests, in bytes.
    pub fn queue_memory(&self) -> usize {
        self.queued.capacity() * size_of::<RequestRecord>()
    }

    /// Returns when the last byte of the current request was received, if known.
    pub fn completed_at(&self) -> Option<Instant> {
        self.current.completed_at
    }
}

/// Returns the position after a line that states a chunk's size.
fn part_after_chunk_size(line: &[u8]) -> Part {
    let digit_count = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let length = std::str::from_utf8(&line[..digit_count]).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
    match length.map(|length| length.checked_add(2)) {
        Some(Some(2)) => Part::Trailers,
        Some(Some(length)) => Part::Chunk(length),
        _ => Part::Unreadable,
    }
}

fn parse_content_length(value: &[u8]) -> Option<u64> {
    let value = value.trim_ascii();
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number).and_then(|value| value.parse().ok())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    const STEP: Duration = Duration::from_millis(10);
    const SMUGGLED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n";

    /// Returns requests for one connection, each with the expected hidden length flag.
    fn requests_with_hidden_length_flags() -> Vec<(String, bool)> {
        let chunk = |text: &str, extension: &str| format!("{:X}{extension}\r\n{text}\r\n", text.len());
        vec![
            ("GET /a HTTP/1.1\r\nHost: a\r\nX: content-length\r\nContent-Lengt: 1\r\n\r\n".into(), false),
            (format!("POST / HTTP/1.1\r\ncontent-LENGTH:  {} \r\n\r\n{SMUGGLED}", SMUGGLED.len()), false),
            (
                format!(
                    "\r\nPOST / HTTP/1.1\r\nTransfer-encoding: chunked\r\n\r\n{}{}0\r\nContent-Length: 3\r\n\r\n",
                    chunk(SMUGGLED, ";a=\"b\""),
                    chunk("x", "")
                ),
                false,
            ),
            (
                "POST / HTTP/1.1\r\nContent-Length: 3\r\nTRANSFER-ENCODING: chunked\r\n\r\n1;x\r\na\r\n0\r\n\r\n".into(),
                true,
            ),
            ("POST / HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: 3\n\n0\r\n\r\n".into(), true),
            ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into(), false),
            ("GET /b HTTP/1.1\r\n\r\n".into(), false),
        ]
    }

    /// Guards the detection of hidden lengths: bytes of bodies, chunks and trailers must not be parsed as
    /// headers, wherever the stream is split. A request completes with the chunk that contains its last byte.
    #[test]
    fn heads_are_distinguished_from_bodies_in_chunks_of_any_size() {
        let all: String = requests_with_hidden_length_flags().into_iter().map(|(text, _)| text).collect();
        let start = Instant::now();
        for chunk_size in 1..all.len() {
            let received_at = |bytes: usize| start + STEP * bytes.div_ceil(chunk_size) as u32;
            let mut framing = Framing::default();
            for (n, chunk) in all.as_bytes().chunks(chunk_size).enumerate() {
                framing.on_bytes(chunk, start + STEP * (n as u32 + 1));
            }
            let mut bytes = 0;
            for (text, has_hidden_length) in requests_with_hidden_length_flags() {
                bytes += text.len();
                assert!(framing.has_complete_next_request(), "chunks of {chunk_size} bytes: {text}");
                assert_eq!(framing.advance(), has_hidden_length, "chunks of {chunk_size} bytes: {text}");
                assert_eq!(
                    framing.completed_at(),
                    Some(received_at(bytes)),
                    "chunks of {chunk_size} bytes: {text}"
                );
            }
            assert!(
                framing.queued.is_empty() && !framing.has_complete_next_request(),
                "chunks of {chunk_size} bytes leave a request"
            );
        }
    }

    /// Guards the completion time: a request whose head is read early must not take the time of another
    /// request.
    #[test]
    fn a_request_is_complete_once_its_last_byte_is_received() {
        let (start, mut framing) = (Instant::now(), Framing::default());
        framing.on_bytes(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", start);
        assert!(!framing.has_complete_next_request());
        framing.advance();
        assert_eq!(framing.completed_at(), None);
        framing.on_bytes(b"bPOST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n", start + STEP);
        assert_eq!(
            (framing.completed_at(), framing.has_complete_next_request()),
            (Some(start + STEP), false)
        );
        framing.on_bytes(b"ab", start + 2 * STEP);
        assert_eq!((framing.completed_at(), framing.has_complete_next_request()), (Some(start + STEP), true));
        framing.advance();
        assert_eq!(framing.completed_at(), Some(start + 2 * STEP));
    }

    /// Guards the stall timeout, which treats the rest of a body and a partial next request differently.
    #[test]
    fn the_rest_of_a_body_is_distinguished_from_the_next_request() {
        let mut framing = Framing::default();
        let mut receive = |bytes: &[u8], is_partial_next: bool, is_body_incomplete: bool| {
            framing.on_bytes(bytes, Instant::now());
            if bytes.ends_with(b"\r\n\r\n") && framing.queued.len() == 1 {
                framing.advance();
            }
            assert_eq!(
                (framing.has_partial_next_request(), framing.is_body_incomplete()),
                (is_partial_next, is_body_incomplete),
                "after {}",
                bytes.escape_ascii()
            );
        };
        receive(b"\r\n", false, false);
        receive(b"P", true, false);
        receive(b"OST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false, true);
        receive(b"1\r\na\r\n0\r\n", false, true);
        receive(b"\r\n", false, false);
        receive(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n", true, false);
        receive(b"\r\n", true, false);
        receive(b"ab", false, false);
    }

    /// Guards against request smuggling and panics: after unreadable framing every length counts as hidden.
    #[test]
    fn unreadable_framing_counts_as_a_hidden_length() {
        let padded = format!("Content-Length:{}5\r\n", " ".repeat(200));
        for head in ["Content-Length: 5x\r\n", "Content-Length: 5, 5\r\n", "Content-Length: \r\n", &padded] {
            let mut framing = Framing::default();
            framing.on_bytes(format!("GET / HTTP/1.1\r\n{head}\r\n").as_bytes(), Instant::now());
            assert!(framing.advance(), "the length must count as hidden after {head:?}");
        }
        for size in ["zz", "", "-1", "ffffffffffffffff", "11111111111111111"] {
            let mut framing = Framing::default();
            let head = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\n");
            framing.on_bytes(head.as_bytes(), Instant::now());
            assert!(!framing.advance());
            framing.on_bytes(b"GET / HTTP/1.1\r\n\r\n", Instant::now());
            assert!(framing.advance(), "the length must count as hidden after chunk size {size:?}");
        }
        let mut framing = Framing::default();
        (0..2 * MAX_QUEUED_HEADS).for_each(|_| framing.on_bytes(b"G\r\n\r\n", Instant::now()));
        assert!(framing.advance() && framing.queued.is_empty());
    }
}
