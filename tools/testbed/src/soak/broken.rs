//! Answers that break off: in every form, after their head or some of their body, by a reset or by an early end.

use fastrand::Rng;
use std::io::{self, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Bytes of a body before it breaks, by draw: none, a few, some, more than a balancer holds.
const SENT_BYTES: [usize; 4] = [0, 120, 2000, 80_000];
/// Milliseconds between the last byte and the break, by draw.
const PAUSES_MS: [u64; 4] = [0, 0, 20, 300];
/// Length that an answer claims which has one.
const CLAIMED_BYTES: usize = 100_000;

#[derive(Clone, Copy, Debug)]
enum Form {
    InTheHead,
    WithLength,
    Chunked,
    ToTheClose,
}

/// An answer that breaks.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAnswer {
    form: Form,
    sent_bytes: usize,
    pause: Duration,
    is_reset: bool,
}

impl BrokenAnswer {
    /// Draws how an answer breaks. One without any length is whole if something else closes its connection before,
    /// so that `may_be_closed` rules it out.
    pub fn draw(rng: &mut Rng, may_be_closed: bool) -> Self {
        let form = [Form::InTheHead, Form::WithLength, Form::Chunked, Form::ToTheClose][rng.usize(..4)];
        let form = if may_be_closed && matches!(form, Form::ToTheClose) { Form::Chunked } else { form };
        Self {
            form,
            sent_bytes: SENT_BYTES[rng.usize(..SENT_BYTES.len())],
            pause: Duration::from_millis(PAUSES_MS[rng.usize(..PAUSES_MS.len())]),
            // The end of the connection is the proper end of an answer to the close.
            is_reset: matches!(form, Form::ToTheClose) || rng.bool(),
        }
    }

    /// Writes the answer up to its break. The connection has to be dropped then.
    pub fn write(self, mut stream: &TcpStream) -> io::Result<()> {
        let body = "z".repeat(self.sent_bytes);
        let text = match self.form {
            Form::InTheHead => "HTTP/1.1 200 OK\r\nContent-Le".to_owned(),
            Form::WithLength => format!("HTTP/1.1 200 OK\r\nContent-Length: {CLAIMED_BYTES}\r\n\r\n{body}"),
            Form::ToTheClose => format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}"),
            Form::Chunked => {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let chunk =
                    if body.is_empty() { String::new() } else { format!("{:x}\r\n{body}\r\n", body.len()) };
                format!("{head}{chunk}")
            }
        };
        stream.write_all(text.as_bytes())?;
        thread::sleep(self.pause);
        if self.is_reset {
            socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(())
    }
}
