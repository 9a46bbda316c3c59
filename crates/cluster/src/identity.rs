//! Who a member is: its name, its start, and what its program speaks.

use crate::name::Name;
use std::fmt;

/// A program's version: major, minor, patch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Program(pub u16, pub u16, pub u16);

impl Program {
    /// Reads `1.2.3`; what can't be read counts as 0.
    pub fn parse(text: &str) -> Self {
        let mut parts = text.split(['.', '-', '+']).map(|part| part.parse().unwrap_or(0));
        let mut next = || parts.next().unwrap_or(0);
        Self(next(), next(), next())
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(major, minor, patch) = self;
        write!(f, "{major}.{minor}.{patch}")
    }
}

/// The wire versions that a program speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wire {
    /// The newest, which it writes.
    pub version: u8,
    /// The oldest that it can read, and that may read what it writes.
    pub oldest: u8,
}

/// What this program speaks.
pub const WIRE: Wire = Wire { version: if cfg!(feature = "next-wire") { 2 } else { 1 }, oldest: 1 };

impl Wire {
    /// How another program stands to this one.
    pub fn meets(self, other: Self) -> Result<(), Mismatch> {
        if other.version < self.oldest {
            Err(Mismatch::TooOld)
        } else if other.oldest > self.version {
            Err(Mismatch::TooNew)
        } else {
            Ok(())
        }
    }
}

/// Why two programs can't speak with one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The other one speaks no version that this one still reads.
    TooOld,
    /// The other one no longer speaks any version that this one knows.
    TooNew,
}

/// A member: a name and a start. Two of the same name and start are one, whatever else is told of them.
#[derive(Clone)]
pub struct Identity {
    /// Its name.
    pub name: Name,
    /// Its start, which only rises for a name; see [`crate::start`].
    pub start: u64,
    /// Its program.
    pub program: Program,
    /// What its program speaks.
    pub wire: Wire,
}

impl Identity {
    /// Somebody of whom the name alone is known, or the name and a start.
    pub fn bare(name: Name, start: u64) -> Self {
        Self { name, start, program: Program::default(), wire: Wire { version: 0, oldest: 0 } }
    }
}

impl PartialEq for Identity {
    fn eq(&self, other: &Self) -> bool {
        self.start == other.start && self.name == other.name
    }
}

impl Eq for Identity {}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.start)
    }
}

impl foca::Identity for Identity {
    type Addr = Name;

    /// Whoever was declared dead while it lived comes back as a later one.
    fn renew(&self) -> Option<Self> {
        Some(Self { start: self.start.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.start > adversary.start
    }
}
