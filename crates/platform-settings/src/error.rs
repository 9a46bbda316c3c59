//! The error of a settings object that is turned down.

use std::fmt;

/// Why a settings text is turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsParseError {
    /// The keys, from the outermost on, that lead to the fault.
    pub path: String,
    /// What is wrong there.
    pub reason: String,
}

impl SettingsParseError {
    /// Returns the error of a fault at a path.
    pub(crate) fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { path: path.into(), reason: reason.into() }
    }

    /// Returns the same error below a path.
    pub(crate) fn below(self, path: &str) -> Self {
        Self { path: format!("{path}.{}", self.path), ..self }
    }
}

impl fmt::Display for SettingsParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for SettingsParseError {}
