//! Splits the bytes of a watch into JSON documents, which arrive in chunks of any size, on one line or
//! indented over several.

use bytes::BytesMut;
use serde::de::IgnoredAny;
use std::error::Error;
use std::fmt;

/// Longest document, in bytes; longer input cannot be a list.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Item of a watch stream.
#[derive(Debug, PartialEq)]
pub(super) enum WatchItem {
    /// End of a line outside of a document; shows that the watch is alive.
    EndOfLine,
    /// The bytes of a complete document.
    Document(BytesMut),
}

/// Reason why input is not a sequence of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DocumentError {
    /// A byte that cannot start a document.
    UnexpectedByte(u8),
    /// A truncated document on a line of its own, not the first line of an indented document.
    TruncatedLine,
    /// A document longer than the limit.
    TooLong,
    /// The watch ended inside a document.
    UnexpectedEnd,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedByte(byte) => write!(f, "byte {byte:#04x} cannot start a document"),
            Self::TruncatedLine => f.write_str("a line ends inside a truncated document"),
            Self::TooLong => f.write_str("a document exceeds the maximum length"),
            Self::UnexpectedEnd => f.write_str("the stream ended inside a document"),
        }
    }
}

impl Error for DocumentError {}

/// Incremental splitter; examines each byte once.
pub(super) struct DocumentSplitter {
    pending: BytesMut,
    max_document_bytes: usize,
    /// Bytes of `pending` that were already examined.
    scanned: usize,
    /// Nesting depth of brackets; 0 outside of a document.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    /// True once the first line of the current document was accepted as the start of an indented document.
    is_indented: bool,
}

impl DocumentSplitter {
    /// Creates a splitter for documents of up to this length.
    pub(super) fn new(max_document_bytes: usize) -> Self {
        Self {
            pending: BytesMut::new(),
            max_document_bytes,
            scanned: 0,
            depth: 0,
            in_string: false,
            is_escaped: false,
            is_indented: false,
        }
    }

    /// Appends received bytes.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// Returns the next complete item, or `None` if more input is needed.
    pub(super) fn next_item(&mut self) -> Result<Option<WatchItem>, DocumentError> {
        while let Some(byte) = self.pending.get(self.scanned).copied() {
            self.scanned += 1;
            if let Some(item) = self.scan_byte(byte)? {
                return Ok(Some(item));
            }
        }
        if self.pending.len() > self.max_document_bytes { Err(DocumentError::TooLong) } else { Ok(None) }
    }

    /// Checks that the stream did not end inside a document.
    pub(super) fn finish(&self) -> Result<(), DocumentError> {
        if self.depth > 0 { Err(DocumentError::UnexpectedEnd) } else { Ok(()) }
    }

    fn scan_byte(&mut self, byte: u8) -> Result<Option<WatchItem>, DocumentError> {
        if self.in_string {
            return self.scan_string_byte(byte);
        }
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 1 => self.depth -= 1,
            b'}' | b']' if self.depth == 1 => {
                self.depth = 0;
                return Ok(Some(WatchItem::Document(self.split_scanned())));
            }
            b'"' if self.depth > 0 => self.in_string = true,
            b'\n' if self.depth > 0 => self.check_first_line()?,
            b'\n' => {
                self.split_scanned();
                return Ok(Some(WatchItem::EndOfLine));
            }
            _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
            _ => return Err(DocumentError::UnexpectedByte(byte)),
        }
        Ok(None)
    }

    fn scan_string_byte(&mut self, byte: u8) -> Result<Option<WatchItem>, DocumentError> {
        match byte {
            // A JSON string cannot contain a raw line end.
            b'\n' => return Err(DocumentError::TruncatedLine),
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        Ok(None)
    }

    /// Distinguishes a corrupt line from the first line of an indented document as soon as the line ends. The
    /// corrupt line may have announced a drain, and waiting for more input would last until the watch times
    /// out.
    fn check_first_line(&mut self) -> Result<(), DocumentError> {
        if !self.is_indented {
            let first = &self.pending[..self.scanned];
            let parsed: Result<IgnoredAny, _> = serde_json::from_slice(first);
            if parsed.is_err_and(|e| !e.is_eof()) {
                return Err(DocumentError::TruncatedLine);
            }
            self.is_indented = true;
        }
        Ok(())
    }

    fn split_scanned(&mut self) -> BytesMut {
        self.is_indented = false;
        self.pending.split_to(std::mem::take(&mut self.scanned))
    }
}
