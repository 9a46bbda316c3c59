//! What a balancer is called.

use std::fmt;
use std::sync::Arc;

/// A balancer's name: 1 to 32 letters, digits, `-`, `_` or `.`, so that three of them fit into a datagram.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// The longest name, in bytes.
pub const LONGEST: usize = 32;

impl Name {
    /// The name, if it is one.
    pub fn new(text: &str) -> Option<Self> {
        let fit = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let whole = (1..=LONGEST).contains(&text.len()) && text.bytes().all(fit);
        whole.then(|| Self(text.into()))
    }

    /// As text.
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
