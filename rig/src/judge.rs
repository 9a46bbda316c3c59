//! Judging histories from their files: the command's part of it.

use crate::places::recorder;
use maplehook_histories::SCHEMA;
use std::path::PathBuf;

/// What a look at histories came to.
pub struct Judged {
    /// For people.
    pub text: String,
    /// Whether nothing is wrong.
    pub sound: bool,
}

/// Reads histories and tells whether each is one: a header of our schema, and lines by time. The rules that they have to keep are the
/// judge's; the one call that asks it goes here.
pub fn report(paths: &[PathBuf], shrink: bool) -> Result<Judged, String> {
    if shrink {
        return Err("--shrink needs the judge, which is not part of this program yet".into());
    }
    let mut judged = Judged { text: String::new(), sound: true };
    for path in paths {
        let (header, lines) = recorder::read(path)?;
        let ours = header.schema == SCHEMA;
        let ordered = lines.is_sorted_by_key(|record| record.at_us);
        judged.sound &= ours && ordered;
        let word = match (ours, ordered) {
            (true, true) => "readable, not judged",
            (false, _) => "another schema",
            (_, false) => "not in the order of time",
        };
        judged.text += &format!("{}: {} lines, {word}\n", path.display(), lines.len());
    }
    Ok(judged)
}
