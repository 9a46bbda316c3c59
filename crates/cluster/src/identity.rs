//! The identity of a member: its name, its generation, and the versions that its program speaks.

use crate::name::Name;
use std::fmt;
use thiserror::Error;

/// A program's version: major, minor, patch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgramVersion(pub u16, pub u16, pub u16);

impl ProgramVersion {
    /// Parses `1.2.3`; a part that is missing or is no number counts as 0.
    pub fn parse(text: &str) -> Self {
        let mut parts = text.split(['.', '-', '+']).map(|part| part.parse().unwrap_or(0));
        let mut next = || parts.next().unwrap_or(0);
        Self(next(), next(), next())
    }
}

impl fmt::Display for ProgramVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(major, minor, patch) = self;
        write!(f, "{major}.{minor}.{patch}")
    }
}

/// The range of wire versions that a program speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WireVersions {
    /// The newest version, which the program writes.
    pub version: u8,
    /// The oldest version that the program reads, and whose readers understand what it writes.
    pub oldest: u8,
}

/// The wire versions of this program.
pub const WIRE_VERSIONS: WireVersions =
    WireVersions { version: if cfg!(feature = "next-wire") { 2 } else { 1 }, oldest: 1 };

impl WireVersions {
    /// Checks that this program and another one have a version in common.
    ///
    /// # Errors
    ///
    /// Tells which of the two is too old.
    pub fn check_compatible(self, other: Self) -> Result<(), IncompatibleVersionError> {
        if other.version < self.oldest {
            Err(IncompatibleVersionError::TooOld)
        } else if other.oldest > self.version {
            Err(IncompatibleVersionError::TooNew)
        } else {
            Ok(())
        }
    }
}

/// Why two programs have no wire version in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IncompatibleVersionError {
    /// The other program speaks no version that this one still reads.
    #[error("its program is too old")]
    TooOld,
    /// The other program no longer speaks any version that this one knows.
    #[error("its program is too new")]
    TooNew,
}

/// The identity of a member. Two with the same name and generation are equal, whatever versions are reported of them.
#[derive(Clone)]
pub struct Identity {
    /// The member's name.
    pub name: Name,
    /// The generation of its process, which only rises for a name; see [`crate::generation`].
    pub generation: u64,
    /// The version of its program.
    pub program: ProgramVersion,
    /// The wire versions that its program speaks.
    pub wire: WireVersions,
}

impl Identity {
    /// Returns the identity of a member whose versions are unknown.
    pub fn without_versions(name: Name, generation: u64) -> Self {
        let wire = WireVersions { version: 0, oldest: 0 };
        Self { name, generation, program: ProgramVersion::default(), wire }
    }
}

impl PartialEq for Identity {
    fn eq(&self, other: &Self) -> bool {
        self.generation == other.generation && self.name == other.name
    }
}

impl Eq for Identity {}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.generation)
    }
}

impl foca::Identity for Identity {
    type Addr = Name;

    /// A member that was declared dead while it lived rejoins as the next generation.
    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}
