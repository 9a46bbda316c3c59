//! The bytes of a watch, split into JSON documents: in pieces of any size, one to a line or indented over several.

use bytes::BytesMut;
use serde::de::IgnoredAny;
use std::error::Error;
use std::fmt;

/// The longest document: more is no list.
pub(super) const DOCUMENT_MOST: usize = 8 * 1024 * 1024;

/// What a watch says.
#[derive(Debug, PartialEq)]
pub(super) enum Said {
    /// The end of a line outside of a document: the watch is alive.
    EndOfLine,
    /// A document, whole.
    Document(BytesMut),
}

/// Why the bytes are no documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Malformed {
    /// Something else than a document begins here.
    Stray(u8),
    /// A line that is not the beginning of a document that spans several.
    Line,
    /// A document longer than [`DOCUMENT_MOST`].
    TooLong,
    /// The watch has ended inside a document.
    CutShort,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stray(byte) => write!(f, "byte {byte:#04x} where a document should begin"),
            Self::Line => f.write_str("a line that is no document"),
            Self::TooLong => f.write_str("a document without an end"),
            Self::CutShort => f.write_str("an end inside a document"),
        }
    }
}

impl Error for Malformed {}

/// Splits a stream of bytes; looks at each byte once.
#[derive(Default)]
pub(super) struct Documents {
    pending: BytesMut,
    /// Bytes of `pending` that have been looked at.
    scanned: usize,
    /// Brackets that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The first line of the open document has been found to be its beginning.
    indented: bool,
}

impl Documents {
    /// Takes in what has come.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// The next that is said whole; `None`: more has to come first.
    pub(super) fn next(&mut self) -> Result<Option<Said>, Malformed> {
        while let Some(byte) = self.pending.get(self.scanned).copied() {
            self.scanned += 1;
            if let Some(said) = self.take(byte)? {
                return Ok(Some(said));
            }
        }
        if self.pending.len() > DOCUMENT_MOST { Err(Malformed::TooLong) } else { Ok(None) }
    }

    /// Nothing more comes.
    pub(super) fn finish(&self) -> Result<(), Malformed> {
        if self.depth > 0 { Err(Malformed::CutShort) } else { Ok(()) }
    }

    fn take(&mut self, byte: u8) -> Result<Option<Said>, Malformed> {
        if self.in_string {
            return self.take_in_string(byte);
        }
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 1 => self.depth -= 1,
            b'}' | b']' if self.depth == 1 => {
                self.depth = 0;
                return Ok(Some(Said::Document(self.split())));
            }
            b'"' if self.depth > 0 => self.in_string = true,
            b'\n' if self.depth > 0 => self.check_first_line()?,
            b'\n' => {
                self.split();
                return Ok(Some(Said::EndOfLine));
            }
            _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
            _ => return Err(Malformed::Stray(byte)),
        }
        Ok(None)
    }

    fn take_in_string(&mut self, byte: u8) -> Result<Option<Said>, Malformed> {
        match byte {
            // JSON has no ends of lines in strings.
            b'\n' => return Err(Malformed::Line),
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        Ok(None)
    }

    /// A line that was spoilt is told from the first one of an indented document as soon as it ends: what it left out
    /// may be a drain, and waiting for the rest would take until the watch counts as silent.
    fn check_first_line(&mut self) -> Result<(), Malformed> {
        if !self.indented {
            let first = &self.pending[..self.scanned];
            let read: Result<IgnoredAny, _> = serde_json::from_slice(first);
            if read.is_err_and(|e| !e.is_eof()) {
                return Err(Malformed::Line);
            }
            self.indented = true;
        }
        Ok(())
    }

    fn split(&mut self) -> BytesMut {
        self.indented = false;
        self.pending.split_to(std::mem::take(&mut self.scanned))
    }
}
