//! Where a client's requests begin and end, as their bytes come: hyper does not show a `Content-Length` that stands beside
//! `Transfer-Encoding`, and what a body holds must not be taken for a header.

use std::collections::VecDeque;
use tokio::time::Instant;

/// What is kept of a line: a name, and the digits of a length.
const LINE_KEPT: usize = 64;
/// Heads that may wait to be taken: a client can't have more in the buffer of its connection.
const HEADS_MOST: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// In a head. `begun`: a line of it has come.
    Head { begun: bool },
    /// In a body with so many bytes to come.
    Body(u64),
    /// In the line that says how long a chunk is.
    Size,
    /// In a chunk with so many bytes to come, the end of its line included.
    Chunk(u64),
    /// In the lines after the last chunk.
    Trailers,
    /// It can't be told: whoever reads it properly ends the connection.
    Lost,
}

/// A request whose head has come.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// Whether its head names both a length and an encoding; where in doubt, it does.
    hides_a_length: bool,
    /// When its last byte came.
    whole: Option<Instant>,
}

/// What is said of a request that was not seen.
const UNSEEN: Request = Request { hides_a_length: true, whole: None };

/// Follows the requests of one connection.
#[derive(Debug)]
pub struct Framing {
    at: At,
    line: Vec<u8>,
    /// Of the head in hand: how long its body is, and whether it comes in chunks.
    length: Option<u64>,
    chunked: bool,
    /// The request that is read, and those behind it whose heads have come whole.
    read: Request,
    heads: VecDeque<Request>,
}

impl Default for Framing {
    fn default() -> Self {
        let at = At::Head { begun: false };
        Self { at, line: Vec::new(), length: None, chunked: false, read: UNSEEN, heads: VecDeque::new() }
    }
}

impl Framing {
    /// These bytes have come now.
    pub fn came(&mut self, mut bytes: &[u8], now: Instant) {
        while !bytes.is_empty() {
            let inside = !matches!(self.at, At::Head { .. });
            let heads = self.heads.len();
            bytes = match self.at {
                At::Lost => return,
                At::Body(left) => self.skip(bytes, left, At::Body, At::Head { begun: false }),
                At::Chunk(left) => self.skip(bytes, left, At::Chunk, At::Size),
                At::Head { .. } | At::Size | At::Trailers => self.line(bytes),
            };
            if (inside || self.heads.len() > heads) && self.at == (At::Head { begun: false }) {
                self.heads.back_mut().unwrap_or(&mut self.read).whole = Some(now);
            }
        }
    }

    fn skip<'a>(&mut self, bytes: &'a [u8], left: u64, rest: fn(u64) -> At, then: At) -> &'a [u8] {
        let n = left.min(bytes.len() as u64);
        self.at = if n == left { then } else { rest(left - n) };
        &bytes[n as usize..]
    }

    /// Takes in what there is of a line, and the line once it is whole.
    fn line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = memchr::memchr(b'\n', bytes);
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let room = LINE_KEPT + 1 - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        let Some(end) = end else { return &[] };
        let line = std::mem::take(&mut self.line);
        let text = line.strip_suffix(b"\r").unwrap_or(&line);
        self.at = match self.at {
            At::Head { begun } => self.head(text, begun),
            At::Trailers if text.is_empty() => At::Head { begun: false },
            At::Trailers => At::Trailers,
            _ => size(text),
        };
        self.line = line;
        self.line.clear();
        &bytes[end + 1..]
    }

    fn head(&mut self, line: &[u8], begun: bool) -> At {
        if !line.is_empty() {
            let name = line.iter().position(|b| *b == b':').map_or(line, |n| &line[..n]);
            if begun && name.eq_ignore_ascii_case(b"content-length") {
                let value = line[name.len()..].strip_prefix(b":").unwrap_or_default();
                self.length = digits(value);
                if self.length.is_none() || line.len() > LINE_KEPT {
                    return self.lost();
                }
            }
            self.chunked |= begun && name.eq_ignore_ascii_case(b"transfer-encoding");
            return At::Head { begun: true };
        }
        if !begun {
            // RFC 9112, section 2.2: empty lines before a request are skipped.
            return At::Head { begun };
        }
        let (length, chunked) = (self.length.take(), std::mem::take(&mut self.chunked));
        if self.heads.len() == HEADS_MOST {
            return self.lost();
        }
        self.heads.push_back(Request { hides_a_length: length.is_some() && chunked, whole: None });
        match length {
            _ if chunked => At::Size,
            Some(length) if length > 0 => At::Body(length),
            _ => At::Head { begun: false },
        }
    }

    fn lost(&mut self) -> At {
        self.heads.clear();
        At::Lost
    }

    /// Whether a further request has begun to come.
    pub fn has_more(&self) -> bool {
        match self.at {
            At::Head { begun } => begun || !self.line.is_empty() || !self.heads.is_empty(),
            _ => !self.heads.is_empty(),
        }
    }

    /// Whether a request behind the one that is read has begun to come and is not whole; where in doubt, it has.
    pub fn has_part(&self) -> bool {
        match self.at {
            At::Head { begun } => begun || !self.line.is_empty(),
            At::Body(_) | At::Size | At::Chunk(_) | At::Trailers => !self.heads.is_empty(),
            At::Lost => true,
        }
    }

    /// Whether more is to come of the body of the request that is read; where in doubt, there is not.
    pub fn awaits_body(&self) -> bool {
        let inside = matches!(self.at, At::Body(_) | At::Size | At::Chunk(_) | At::Trailers);
        inside && self.heads.is_empty()
    }

    /// Whether a further request has come whole.
    pub fn has_whole(&self) -> bool {
        self.heads.front().is_some_and(|request| request.whole.is_some())
    }

    /// The next request is read. Whether its head names both a length and an encoding; where in doubt, it does.
    pub fn next(&mut self) -> bool {
        self.read = self.heads.pop_front().unwrap_or(UNSEEN);
        self.read.hides_a_length
    }

    /// When the last byte came of the request that is read, where that can be told.
    pub fn whole_at(&self) -> Option<Instant> {
        self.read.whole
    }
}

/// What follows the line that says how long a chunk is.
fn size(line: &[u8]) -> At {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let length = std::str::from_utf8(&line[..digits]).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
    match length.map(|length| length.checked_add(2)) {
        Some(Some(2)) => At::Trailers,
        Some(Some(length)) => At::Chunk(length),
        _ => At::Lost,
    }
}

fn digits(value: &[u8]) -> Option<u64> {
    let value = value.trim_ascii();
    let all = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| all).and_then(|value| value.parse().ok())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    const STEP: Duration = Duration::from_millis(10);
    const EVIL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n";

    /// Requests on one connection, and whether each names both.
    fn requests() -> Vec<(String, bool)> {
        let chunk = |text: &str, more: &str| format!("{:X}{more}\r\n{text}\r\n", text.len());
        vec![
            ("GET /a HTTP/1.1\r\nHost: a\r\nX: content-length\r\nContent-Lengt: 1\r\n\r\n".into(), false),
            (format!("POST / HTTP/1.1\r\ncontent-LENGTH:  {} \r\n\r\n{EVIL}", EVIL.len()), false),
            (
                format!(
                    "\r\nPOST / HTTP/1.1\r\nTransfer-encoding: chunked\r\n\r\n{}{}0\r\nContent-Length: 3\r\n\r\n",
                    chunk(EVIL, ";a=\"b\""),
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

    /// Guards the look for hidden lengths: what bodies, chunks and trailers hold is no header, however the bytes are cut.
    /// Guards a request's time too: it counts from the piece that its last byte came with.
    #[test]
    fn heads_are_told_from_bodies_however_they_come() {
        let all: String = requests().into_iter().map(|(text, _)| text).collect();
        let start = Instant::now();
        for cut in 1..all.len() {
            let came_at = |bytes: usize| start + STEP * bytes.div_ceil(cut) as u32;
            let mut framing = Framing::default();
            for (n, chunk) in all.as_bytes().chunks(cut).enumerate() {
                framing.came(chunk, start + STEP * (n as u32 + 1));
            }
            let mut bytes = 0;
            for (text, both) in requests() {
                bytes += text.len();
                assert!(framing.has_whole(), "{cut}: {text}");
                assert_eq!(framing.next(), both, "{cut}: {text}");
                assert_eq!(framing.whole_at(), Some(came_at(bytes)), "{cut}: {text}");
            }
            assert!(framing.heads.is_empty() && !framing.has_whole(), "{cut}");
        }
    }

    /// Guards the end of a request against being told of another: one that is read before it is whole has none yet.
    #[test]
    fn a_request_is_whole_once_its_last_byte_has_come() {
        let (start, mut framing) = (Instant::now(), Framing::default());
        framing.came(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", start);
        assert!(!framing.has_whole());
        framing.next();
        assert_eq!(framing.whole_at(), None);
        framing.came(b"bPOST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n", start + STEP);
        assert_eq!((framing.whole_at(), framing.has_whole()), (Some(start + STEP), false));
        framing.came(b"ab", start + 2 * STEP);
        assert_eq!((framing.whole_at(), framing.has_whole()), (Some(start + STEP), true));
        framing.next();
        assert_eq!(framing.whole_at(), Some(start + 2 * STEP));
    }

    /// Guards what is waited for: a part of a further request is told from the rest of the one that is read.
    #[test]
    fn the_rest_of_a_request_is_told_from_a_part_of_the_next() {
        let mut framing = Framing::default();
        let mut comes = |bytes: &[u8], part: bool, rest: bool| {
            framing.came(bytes, Instant::now());
            if bytes.ends_with(b"\r\n\r\n") && framing.heads.len() == 1 {
                framing.next();
            }
            assert_eq!((framing.has_part(), framing.awaits_body()), (part, rest), "{}", bytes.escape_ascii());
        };
        comes(b"\r\n", false, false);
        comes(b"P", true, false);
        comes(b"OST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false, true);
        comes(b"1\r\na\r\n0\r\n", false, true);
        comes(b"\r\n", false, false);
        comes(b"POST / HTTP/1.1\r\nContent-Length: 2\r\n", true, false);
        comes(b"\r\n", true, false);
        comes(b"ab", false, false);
    }

    /// Guards against being led astray: what can't be read counts as hidden from there on, and nothing panics.
    #[test]
    fn where_in_doubt_a_length_is_hidden() {
        let long = format!("Content-Length:{}5\r\n", " ".repeat(200));
        for head in ["Content-Length: 5x\r\n", "Content-Length: 5, 5\r\n", "Content-Length: \r\n", &long] {
            let mut framing = Framing::default();
            framing.came(format!("GET / HTTP/1.1\r\n{head}\r\n").as_bytes(), Instant::now());
            assert!(framing.next(), "{head}");
        }
        for size in ["zz", "", "-1", "ffffffffffffffff", "11111111111111111"] {
            let mut framing = Framing::default();
            let head = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\n");
            framing.came(head.as_bytes(), Instant::now());
            assert!(!framing.next());
            framing.came(b"GET / HTTP/1.1\r\n\r\n", Instant::now());
            assert!(framing.next(), "{size}");
        }
        let mut framing = Framing::default();
        (0..2 * HEADS_MOST).for_each(|_| framing.came(b"G\r\n\r\n", Instant::now()));
        assert!(framing.next() && framing.heads.is_empty());
    }
}
