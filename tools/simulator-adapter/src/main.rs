//! `maplehook-simulator-adapter`: hosts many [`Balancer`](maplehook_core::Balancer)s and speaks the simulator's wire
//! on standard input and output.
//!
//! It only translates; every decision is the library's. A malformed batch ends it with one line on standard
//! error and exit code 1, and with no part of a reply written.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod host;
mod wire;

use host::Host;
use std::fmt;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::WireError;

/// Frames longer than this are taken for garbage.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// The bytes of the shortest batch, which holds the clock alone.
const MIN_FRAME_BYTES: usize = 8;

/// Why the adapter ends before its input does.
#[derive(Debug)]
enum AdapterError {
    /// Standard input or output failed.
    Io(io::Error),
    /// The input ended inside a frame.
    CutShort { read: usize, expected: usize },
    /// A frame states a length that no batch has.
    InvalidLength(usize),
    /// A batch is malformed.
    Wire(WireError),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::CutShort { read, expected } => {
                write!(f, "frame cut short at byte {read}: {expected} expected")
            }
            Self::InvalidLength(length) => write!(f, "byte 0: length {length} fits no batch"),
            Self::Wire(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for AdapterError {}

impl From<io::Error> for AdapterError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<WireError> for AdapterError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

/// Reads one frame. Returns `false` at the end of the input between frames.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, AdapterError> {
    frame.clear();
    let read = input.by_ref().take(4).read_to_end(frame)?;
    if read == 0 {
        return Ok(false);
    }
    let head = <[u8; 4]>::try_from(&frame[..]).map_err(|_| AdapterError::CutShort { read, expected: 4 })?;
    let length = u32::from_be_bytes(head) as usize;
    if !(MIN_FRAME_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(AdapterError::InvalidLength(length));
    }
    input.by_ref().take(length as u64).read_to_end(frame)?;
    let expected = length + 4;
    if frame.len() < expected {
        return Err(AdapterError::CutShort { read: frame.len(), expected });
    }
    Ok(true)
}

/// Answers each batch of the input with one reply.
fn run() -> Result<(), AdapterError> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut frame, mut reply, mut host) = (Vec::new(), Vec::new(), Host::default());
    while read_frame(&mut input, &mut frame)? {
        let (now, records) = wire::decode(&frame)?;
        for record in records {
            host.handle(now, record)?;
        }
        wire::begin_reply(&mut reply);
        for (instance, action) in host.take_actions() {
            wire::encode_action(&mut reply, instance, &action);
        }
        wire::finish_reply(&mut reply);
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("maplehook-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
