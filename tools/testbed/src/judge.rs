//! Judging histories from their files: the command's part of it.

use std::path::PathBuf;

/// What a look at histories came to.
pub struct Judged {
    /// For people.
    pub text: String,
    /// Whether nothing is wrong.
    pub sound: bool,
}

/// Judges histories; with `shrink` the shortest part of each breach is written beside its file.
pub fn report(paths: &[PathBuf], shrink: bool) -> Result<Judged, String> {
    let (text, sound) = maplehook_history_checker::report(paths, shrink).map_err(|e| e.to_string())?;
    Ok(Judged { text, sound })
}
