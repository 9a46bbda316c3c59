//! What may happen, and how often.

/// What the change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truth {
    Good,
    /// It does harm wherever it is, the first stage too.
    BadFirst,
    /// It does harm only at those that come later.
    BadLater,
}

/// How many of each may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Faults {
    pub crashes: u8,
    pub cuts: u8,
    pub leaders: u8,
    pub undos: u8,
    pub holds: u8,
    pub shared: u8,
}

impl Faults {
    pub const ALL: Self = Self { crashes: 1, cuts: 1, leaders: 2, undos: 1, holds: 1, shared: 1 };
}

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// An operator's word: it begins, or goes on.
    Go,
    /// A balancer hears of the document as it is.
    Hear(usize),
    /// It does as it was told.
    Change(usize),
    /// It says where it is; its word is on its way.
    Say(usize),
    /// Its word comes to whoever leads.
    Word(usize),
    /// It has lost touch for so long that it goes by the plan.
    LosesTouch(usize),
    /// Whoever leads judges; its put is on its way.
    Judge,
    /// A put comes: of whoever leads, or of the one before.
    Put(usize),
    /// The time to go back is over.
    GiveUp,
    /// One leads where none does.
    Elect(usize),
    Restart(usize),
    Join,
    Crash(usize),
    Cut(usize),
    /// Another leads, and the one before does not know it yet.
    Depose(usize),
    Undo,
    Hold,
    /// Both sides do badly.
    Shared,
}

impl Act {
    pub fn is_fault(self) -> bool {
        matches!(
            self,
            Self::Crash(_) | Self::Cut(_) | Self::Depose(_) | Self::Undo | Self::Hold | Self::Shared
        )
    }
}
