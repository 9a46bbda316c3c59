//! The names of balancers.

use std::fmt;
use std::sync::Arc;

/// A balancer's name: 1 to 32 letters, digits, `-`, `_` or `.`, so that three of them fit into a datagram.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// The length of the longest valid name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;

impl Name {
    /// Returns the name, or `None` if the text is empty, too long or has other characters.
    pub fn new(text: &str) -> Option<Self> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
        is_valid.then(|| Self(text.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
