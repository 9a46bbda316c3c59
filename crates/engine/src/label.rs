//! What a client calls its request, cut to a length, for the log.

use hyper::header::HeaderValue;
use std::fmt;

/// The most of a client's word that is kept.
const KEPT: usize = 32;

/// What a client calls its request. It holds on to no buffer that the request came in.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct Label {
    bytes: [u8; KEPT],
    length: u8,
}

impl From<&HeaderValue> for Label {
    fn from(value: &HeaderValue) -> Self {
        let mut label = Self::default();
        let kept = &value.as_bytes()[..value.len().min(KEPT)];
        label.bytes[..kept.len()].copy_from_slice(kept);
        label.length = kept.len() as u8;
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

    /// Guards the log: what a client calls its request is cut, and can't break a line.
    #[test]
    fn a_label_is_short_and_on_one_line() {
        assert_eq!(Label::default().to_string(), "-");
        let value = HeaderValue::from_bytes(b"a\tb\xff").unwrap();
        assert_eq!(Label::from(&value).to_string(), "a\\tb\\xff");
        let value = HeaderValue::from_bytes(&[b'x'; 500]).unwrap();
        assert_eq!(Label::from(&value).to_string(), "x".repeat(KEPT));
    }
}
