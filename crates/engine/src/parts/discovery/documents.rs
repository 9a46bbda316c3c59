//! Splits the bytes of endpoint lists into JSON documents and their entries. Documents arrive in chunks of any
//! size, on one line or indented over several. What is kept of a document does not grow with its text: blanks
//! between tokens are dropped, and each entry is handed over as soon as it is complete.

use serde::de::IgnoredAny;
use std::error::Error;
use std::fmt;

/// Longest entry of a list, in bytes without blanks.
pub(super) const MAX_ENTRY_BYTES: usize = 16 * 1024;
/// Longest document without its entries, in bytes without blanks.
pub(super) const MAX_OUTLINE_BYTES: usize = 16 * 1024;
/// What stands before the array of the entries, without blanks.
const ENTRIES_KEY: &[u8] = b"\"targets\":[";
/// Nesting depth inside the array of the entries.
const ENTRIES_DEPTH: usize = 2;

/// Part of a stream of documents.
#[derive(Debug, PartialEq)]
pub(super) enum DocumentPart<'a> {
    /// End of a line outside of a document; shows that the watch is alive.
    EndOfLine,
    /// Text of one entry of the current document.
    Entry(&'a [u8]),
    /// Text of the current document, which is complete, without its entries.
    Outline(&'a [u8]),
}

/// Reason why input is not a sequence of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DocumentError {
    /// A byte that cannot start a document.
    UnexpectedByte(u8),
    /// A truncated document on a line of its own, not the first line of an indented document.
    TruncatedLine,
    /// An entry longer than [`MAX_ENTRY_BYTES`].
    EntryTooLong,
    /// A document that is longer than [`MAX_OUTLINE_BYTES`] without its entries.
    OutlineTooLong,
    /// The input ended inside a document.
    UnexpectedEnd,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedByte(byte) => write!(f, "byte {byte:#04x} cannot start a document"),
            Self::TruncatedLine => f.write_str("a line ends inside a truncated document"),
            Self::EntryTooLong => write!(f, "an entry exceeds {MAX_ENTRY_BYTES} bytes"),
            Self::OutlineTooLong => {
                write!(f, "a document without its entries exceeds {MAX_OUTLINE_BYTES} bytes")
            }
            Self::UnexpectedEnd => f.write_str("the stream ended inside a document"),
        }
    }
}

impl Error for DocumentError {}

/// What was handed over last, and is dropped before more is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HandedOver {
    Nothing,
    Entry,
    Document,
}

/// Incremental splitter; examines each byte once.
pub(super) struct DocumentSplitter {
    /// Current document without its entries.
    outline: Vec<u8>,
    /// Entry that is being read.
    entry: Vec<u8>,
    /// Nesting depth of brackets; 0 outside of a document.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    /// True inside the array of the entries.
    in_entries: bool,
    /// True if another entry has to follow.
    is_entry_due: bool,
    /// True if blanks were dropped since the last byte that was kept.
    has_blank: bool,
    /// True once the first line of the current document was accepted as the start of an indented document.
    is_indented: bool,
    handed_over: HandedOver,
}

impl DocumentSplitter {
    /// Creates a splitter that stands before the first document.
    pub(super) fn new() -> Self {
        Self {
            outline: Vec::new(),
            entry: Vec::new(),
            depth: 0,
            in_string: false,
            is_escaped: false,
            in_entries: false,
            is_entry_due: false,
            has_blank: false,
            is_indented: false,
            handed_over: HandedOver::Nothing,
        }
    }

    /// Takes bytes from the front of `input` up to the end of the next part, and returns that part. Returns
    /// `None` if all was taken and more input is needed.
    pub(super) fn next_part(&mut self, input: &mut &[u8]) -> Result<Option<DocumentPart<'_>>, DocumentError> {
        self.drop_handed_over();
        loop {
            self.take_run(input)?;
            let Some((byte, rest)) = input.split_first() else { return Ok(None) };
            *input = rest;
            let is_line_end = *byte == b'\n' && self.depth == 0;
            if is_line_end {
                return Ok(Some(DocumentPart::EndOfLine));
            }
            self.handed_over = self.scan_byte(*byte)?;
            match self.handed_over {
                HandedOver::Nothing => {}
                HandedOver::Entry => return Ok(Some(DocumentPart::Entry(&self.entry))),
                HandedOver::Document => return Ok(Some(DocumentPart::Outline(&self.outline))),
            }
        }
    }

    /// Takes the bytes that change nothing but the text that is kept.
    fn take_run(&mut self, input: &mut &[u8]) -> Result<(), DocumentError> {
        let ends_run = |byte: &u8| match self.in_string {
            true => matches!(byte, b'"' | b'\\' | b'\n'),
            false => matches!(byte, b'"' | b'{' | b'}' | b'[' | b']' | b',' | b' ' | b'\t' | b'\r' | b'\n'),
        };
        if self.depth == 0 || self.is_escaped || self.has_blank {
            return Ok(());
        }
        let length = input.iter().position(ends_run).unwrap_or(input.len());
        let (run, rest) = input.split_at(length);
        *input = rest;
        self.keep_all(run)
    }

    /// Checks that the input did not end inside a document.
    pub(super) fn finish(&self) -> Result<(), DocumentError> {
        if self.depth > 0 { Err(DocumentError::UnexpectedEnd) } else { Ok(()) }
    }

    fn drop_handed_over(&mut self) {
        match std::mem::replace(&mut self.handed_over, HandedOver::Nothing) {
            HandedOver::Nothing => {}
            HandedOver::Entry => self.entry.clear(),
            HandedOver::Document => *self = Self::new(),
        }
    }

    fn scan_byte(&mut self, byte: u8) -> Result<HandedOver, DocumentError> {
        if self.in_string {
            self.scan_string_byte(byte)?;
            return Ok(HandedOver::Nothing);
        }
        match byte {
            b'\n' if self.depth > 0 => {
                self.check_first_line()?;
                self.has_blank = true;
            }
            b' ' | b'\t' | b'\r' => self.has_blank = true,
            b'{' | b'[' => {
                self.depth += 1;
                self.keep(byte)?;
                self.in_entries |= self.depth == ENTRIES_DEPTH && self.outline.ends_with(ENTRIES_KEY);
            }
            _ if self.depth == 0 => return Err(DocumentError::UnexpectedByte(byte)),
            b',' | b'}' | b']' if self.in_entries && self.depth == ENTRIES_DEPTH => {
                return self.end_entry(byte);
            }
            b'}' | b']' => {
                self.depth -= 1;
                self.keep(byte)?;
                if self.depth == 0 {
                    return Ok(HandedOver::Document);
                }
            }
            _ => {
                self.in_string = byte == b'"';
                self.keep(byte)?;
            }
        }
        Ok(HandedOver::Nothing)
    }

    fn scan_string_byte(&mut self, byte: u8) -> Result<(), DocumentError> {
        match byte {
            // A JSON string cannot contain a raw line end.
            b'\n' => return Err(DocumentError::TruncatedLine),
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        self.keep(byte)
    }

    /// Ends an entry at a comma, or at the end of the array, which may be empty.
    fn end_entry(&mut self, byte: u8) -> Result<HandedOver, DocumentError> {
        let is_last = byte != b',';
        let has_entry = !self.entry.is_empty() || self.is_entry_due || !is_last;
        self.is_entry_due = !is_last;
        self.has_blank = false;
        if is_last {
            self.depth -= 1;
            self.in_entries = false;
            self.keep(byte)?;
        }
        Ok(if has_entry { HandedOver::Entry } else { HandedOver::Nothing })
    }

    /// Appends a byte to the entry or the outline. Of the blanks before it one stays if it separates two tokens.
    fn keep(&mut self, byte: u8) -> Result<(), DocumentError> {
        let text = if self.in_entries { &self.entry } else { &self.outline };
        let separator = text.last().is_some_and(|last| separates(*last, byte));
        if std::mem::take(&mut self.has_blank) && separator {
            self.keep_all(b" ")?;
        }
        self.keep_all(&[byte])
    }

    fn keep_all(&mut self, bytes: &[u8]) -> Result<(), DocumentError> {
        let (text, limit, error) = if self.in_entries {
            (&mut self.entry, MAX_ENTRY_BYTES, DocumentError::EntryTooLong)
        } else {
            (&mut self.outline, MAX_OUTLINE_BYTES, DocumentError::OutlineTooLong)
        };
        if text.len() + bytes.len() > limit {
            return Err(error);
        }
        text.extend_from_slice(bytes);
        Ok(())
    }

    /// Distinguishes a corrupt line from the first line of an indented document as soon as the line ends. The
    /// corrupt line may have announced a drain, and waiting for more input would last until the watch times
    /// out.
    fn check_first_line(&mut self) -> Result<(), DocumentError> {
        if !self.is_indented {
            let first = [&self.outline, &self.entry, &b"\n"[..]].concat();
            let parsed: Result<IgnoredAny, _> = serde_json::from_slice(&first);
            if parsed.is_err_and(|e| !e.is_eof()) {
                return Err(DocumentError::TruncatedLine);
            }
            self.is_indented = true;
        }
        Ok(())
    }
}

/// Returns true if a blank between these bytes, outside of strings, separates two tokens.
fn separates(before: u8, after: u8) -> bool {
    let is_structural = |byte| matches!(byte, b'{' | b'}' | b'[' | b']' | b',' | b':' | b'"');
    !is_structural(before) && !is_structural(after)
}
