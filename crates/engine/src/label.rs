//! Request ids of clients, truncated for the log.

use hyper::header::HeaderValue;
use std::fmt;

/// Length to which request ids are truncated, in bytes.
const MAX_LABEL_BYTES: usize = 32;

/// Request id of a client, truncated. It is a copy and does not keep the buffer of the request alive.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct Label {
    bytes: [u8; MAX_LABEL_BYTES],
    length: u8,
}

impl From<&HeaderValue> for Label {
    fn from(value: &HeaderValue) -> Self {
        let mut label = Self::default();
        let truncated = &value.as_bytes()[..value.len().min(MAX_LABEL_BYTES)];
        label.bytes[..truncated.len()].copy_from_slice(truncated);
        label.length = truncated.len() as u8;
        label
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.bytes[..usize::from(self.length)] {
            [] => f.write_str("-"),
            bytes => write!(f, "{}", bytes.escape_ascii()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A long request id, or one with control characters, must not flood or break a log line.
    #[test]
    fn labels_are_truncated_and_escaped() {
        assert_eq!(Label::default().to_string(), "-");
        let value = HeaderValue::from_bytes(b"a\tb\xff").unwrap();
        assert_eq!(Label::from(&value).to_string(), "a\\tb\\xff");
        let value = HeaderValue::from_bytes(&[b'x'; 500]).unwrap();
        assert_eq!(Label::from(&value).to_string(), "x".repeat(MAX_LABEL_BYTES));
    }
}
