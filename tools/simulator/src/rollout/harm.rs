//! What a change does to whoever is changed.

use std::fmt;

/// What a change does.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Harm {
    /// Nothing.
    None,
    /// So large a share of requests fails that did not before.
    Fails(f64),
    /// Requests take so many milliseconds longer.
    Slower(f64),
    /// So large a share of the smallest tenant's requests fails.
    Tenant(f64),
    /// It crashes after 20 s, each time, and is started again in 2 s.
    Crashes,
    /// Each second it holds a hundredth more descriptors than it began with.
    Leaks,
}

/// Seconds from a start to a crash, and those until it serves again.
pub const CRASHES_AFTER: u64 = 20;
/// Seconds until it serves again.
pub const STARTS_IN: u64 = 2;

impl Harm {
    /// By size.
    pub const ALL: [Self; 13] = [
        Self::None,
        Self::Fails(0.005),
        Self::Fails(0.01),
        Self::Fails(0.02),
        Self::Fails(0.05),
        Self::Fails(0.1),
        Self::Slower(10.0),
        Self::Slower(30.0),
        Self::Slower(100.0),
        Self::Tenant(0.1),
        Self::Tenant(0.5),
        Self::Crashes,
        Self::Leaks,
    ];
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("none"),
            Self::Fails(share) => write!(f, "+{:.1} % fail", 100.0 * share),
            Self::Slower(ms) => write!(f, "+{ms} ms"),
            Self::Tenant(share) => write!(f, "one tenant, {:.0} % fail", 100.0 * share),
            Self::Crashes => write!(f, "crashes after {CRASHES_AFTER} s"),
            Self::Leaks => f.write_str("leaks descriptors"),
        }
    }
}
