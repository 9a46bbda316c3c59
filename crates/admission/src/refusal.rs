//! How connections are refused, and why.

use std::time::Duration;

/// How a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether a whole answer can be afforded; closed on otherwise.
    pub answered: bool,
    /// When to come back.
    pub retry_after: Duration,
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its address, or its prefix, opens more than its rate.
    Rate,
    /// Its address, or its prefix, holds all that it may.
    Share,
    /// Every place is held by a request that is owed its answer.
    Full,
}

impl Reason {
    /// What figures call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Share => "share",
            Self::Full => "full",
        }
    }
}
