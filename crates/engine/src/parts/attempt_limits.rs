//! The terms of an attempt: until when it may be written, and until when it is waited for.
//!
//! An attempt is decided on first and written later: it may wait for a descriptor, for a connection being made, and for its
//! turn on this thread, and the whole process may have been stopped meanwhile. What it is bound to is therefore looked at
//! again in the moment in which its first byte would be written.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How much more than what is left an attempt may tell its upstream. A request is worded one turn of this thread before it is
/// written; the protocol's tests allow 150 ms in all, the way to the upstream included.
const TOLD_OVER_MOST: Duration = Duration::from_millis(100);

/// Why nothing (more) of a request was written though its connection stood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldReason {
    /// It may not be written any more.
    TooLate,
    /// The time that it tells is more than what is left by now: it has to be worded anew.
    Outdated,
}

/// Tells whether whoever asked is still there, by what is so at this moment: what the runtime knows may be older.
#[derive(Clone)]
pub struct Presence(Rc<dyn Fn() -> bool>);

impl Presence {
    /// As `is_there` tells.
    pub fn new(is_there: impl Fn() -> bool + 'static) -> Self {
        Self(Rc::new(is_there))
    }

    fn is_there(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for Presence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Presence")
    }
}

/// What one attempt is bound to.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// Until when its answer is waited for.
    pub give_up: Instant,
    /// Its last byte is written before this: a repeat outside the window of its key would be a second effect.
    pub write_by: Option<Instant>,
    /// Its request was attempted before.
    pub repeat: bool,
    /// Whoever asked, where an attempt is of no use once they have gone.
    presence: Option<Presence>,
    /// Whether its first byte may have been written.
    begun: Rc<Cell<bool>>,
}

impl AttemptLimits {
    /// Those of a request's first attempt.
    pub fn first(give_up: Instant) -> Self {
        Self { give_up, write_by: None, repeat: false, presence: None, begun: Rc::default() }
    }

    /// Those of a further attempt or a second copy.
    pub fn repeat(give_up: Instant, write_by: Option<Instant>) -> Self {
        Self { write_by, repeat: true, ..Self::first(give_up) }
    }

    /// The same for whoever is there by this.
    pub fn with_presence(self, presence: Option<Presence>) -> Self {
        Self { presence, ..self }
    }

    /// How long its answer will be waited for from now on.
    pub fn left(&self) -> Duration {
        self.give_up.saturating_duration_since(Instant::now())
    }

    /// Whether its first byte may have been written.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Its first byte is written now.
    pub(crate) fn begin(&self) {
        self.begun.set(true);
    }

    /// Whether a request that tells `told` may be written now.
    pub(crate) fn allow(&self, told: Duration) -> Result<(), WithheldReason> {
        let left = self.left();
        if left.is_zero() || self.write_by.is_some_and(|by| Instant::now() >= by) {
            return Err(WithheldReason::TooLate);
        }
        if self.presence.as_ref().is_some_and(|presence| !presence.is_there()) {
            return Err(WithheldReason::TooLate);
        }
        if told > left + TOLD_OVER_MOST {
            return Err(WithheldReason::Outdated);
        }
        Ok(())
    }
}
