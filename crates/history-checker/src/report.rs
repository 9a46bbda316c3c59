//! What a command prints of histories: by rule how much was judged and what was found.

use crate::file::{Fault, History, read, write};
use crate::judge::RULES;
use crate::shrink::shrink;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// The most breaches of a rule that are printed of a file.
const LINES_MOST: usize = 5;

/// Judges files. The text is for people, the flag says that nothing was found; with `shorten` the shortest part of each breach is
/// written beside its file, as `NAME.RULE.short.jsonl`.
pub fn report(paths: &[PathBuf], shorten: bool) -> Result<(String, bool), Fault> {
    let (mut text, mut totals) = (String::new(), [(0_u64, 0_usize, 0_usize); RULES.len()]);
    for path in paths {
        let (history, part) = read(path)?;
        let _ = writeln!(
            text,
            "{}: {} records, seed {}",
            path.display(),
            history.records.len(),
            history.header.seed
        );
        if part.unknown + part.torn > 0 {
            let _ = writeln!(text, "  {} of a later schema kept as notes, {} torn", part.unknown, part.torn);
        }
        for (rule, total) in RULES.iter().zip(&mut totals) {
            let finding = (rule.judge)(&history);
            total.0 += finding.judged;
            total.1 += finding.breaches.len();
            total.2 += usize::from(!finding.breaches.is_empty());
            for breach in finding.breaches.iter().take(LINES_MOST) {
                let (at, last) = (seconds(&history, breach.at_us), seconds(&history, breach.until_us));
                let _ = writeln!(text, "  {}: {at:.3} to {last:.3} s: {}", rule.name, breach.what);
            }
            if let Some(more) = finding.breaches.len().checked_sub(LINES_MOST).filter(|more| *more > 0) {
                let _ = writeln!(text, "  {}: {more} more", rule.name);
            }
            if shorten && !finding.breaches.is_empty() {
                let (short, to) = (shrink(&history, rule.name), beside(path, rule.name));
                write(&to, &short)?;
                let _ = writeln!(
                    text,
                    "  {}: the first in {} records: {}",
                    rule.name,
                    short.records.len(),
                    to.display()
                );
            }
        }
    }
    let _ = writeln!(text, "{:<12}{:>10}{:>10}{:>8}", "rule", "judged", "breaches", "files");
    for (rule, (judged, breaches, files)) in RULES.iter().zip(totals) {
        let _ = writeln!(text, "{:<12}{judged:>10}{breaches:>10}{files:>8}  {}", rule.name, rule.wants);
    }
    Ok((text, totals.iter().all(|total| total.1 == 0)))
}

fn seconds(history: &History, at_us: u64) -> f64 {
    let start = history.records.first().map_or(0, |record| record.at_us);
    at_us.saturating_sub(start) as f64 / 1e6
}

fn beside(path: &Path, rule: &str) -> PathBuf {
    let stem = path.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    path.with_file_name(format!("{stem}.{rule}.short.jsonl"))
}
