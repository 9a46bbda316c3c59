//! Errors in a rule text, with their positions.

use std::fmt;

/// Maximum number of errors listed for one text; one more entry reports that there are others.
pub const MAX_FAULTS: usize = 64;

/// Error in a rule text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.message)
    }
}

impl std::error::Error for Fault {}

/// Collects errors with their byte positions in the text.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<(usize, String)>,
    is_truncated: bool,
}

impl Faults {
    /// Adds an error. The message is only built while the limit is not reached.
    pub(crate) fn add(&mut self, at: usize, message: impl FnOnce() -> String) {
        if self.found.len() < MAX_FAULTS {
            self.found.push((at, message()));
        } else {
            self.is_truncated = true;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Returns the errors in the order of the text, with line and column.
    pub(crate) fn into_list(mut self, text: &str) -> Vec<Fault> {
        self.found.sort();
        self.found.dedup();
        let last = self.found.last().map(|(at, _)| *at);
        if let (true, Some(at)) = (self.is_truncated, last) {
            self.found.push((at, "further errors are not listed".into()));
        }
        let located = |(at, message): (usize, String)| {
            let at = at.min(text.len());
            let before = (0..=at).rev().find_map(|at| text.get(..at)).unwrap_or("");
            let line_start = before.rfind('\n').map_or(0, |n| n + 1);
            let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
            Fault { line, column: before[line_start..].chars().count() + 1, message }
        };
        self.found.into_iter().map(located).collect()
    }
}

/// Returns a suggestion with the most similar known name, to be appended to an error message. The suggestion
/// is empty if no name is similar.
pub(crate) fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let length = name.chars().count();
    if length > MAX_COMPARED_NAME_CHARS {
        return String::new();
    }
    let distance_to =
        |other: &str| (other.chars().count() <= MAX_COMPARED_NAME_CHARS).then(|| distance(name, other));
    let best = known.into_iter().filter_map(|other| Some((distance_to(other)?, other))).min();
    match best {
        Some((best_distance, other)) if best_distance <= 1 + length / 3 => {
            format!("; did you mean `{other}`?")
        }
        _ => String::new(),
    }
}

/// Longest name, in characters, that is compared: the cost grows with the product of both lengths.
const MAX_COMPARED_NAME_CHARS: usize = 64;

/// Levenshtein distance in which swapping two neighbours counts as one edit (optimal string alignment).
fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut rows = vec![vec![0; b.len() + 1]; a.len() + 1];
    for (i, row) in rows.iter_mut().enumerate() {
        row[0] = i;
    }
    for (j, cell) in rows[0].iter_mut().enumerate() {
        *cell = j;
    }
    for i in 1..=a.len() {
        for j in 1..=b.len() {
            let substitution = usize::from(a[i - 1] != b[j - 1]);
            let mut edits =
                (rows[i - 1][j] + 1).min(rows[i][j - 1] + 1).min(rows[i - 1][j - 1] + substitution);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                edits = edits.min(rows[i - 2][j - 2] + 1);
            }
            rows[i][j] = edits;
        }
    }
    rows[a.len()][b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suggests_the_most_similar_name_but_no_distant_one() {
        let known = ["luxor", "giza", "aswan"];
        assert_eq!(suggestion("luxro", known), "; did you mean `luxor`?");
        assert_eq!(suggestion("asuan", known), "; did you mean `aswan`?");
        assert_eq!(suggestion("cairo", known), "");
        assert_eq!(suggestion(&"x".repeat(1000), known), "");
        assert_eq!((distance("ab", "ba"), distance("", "abc"), distance("kitten", "sitting")), (1, 3, 3));
    }

    #[test]
    fn positions_count_characters_and_lie_inside_the_text() {
        let text = "aü\nüb";
        let mut faults = Faults::default();
        for at in [0, 3, 4, 6, 99] {
            faults.add(at, || at.to_string());
        }
        let positions: Vec<_> =
            faults.into_list(text).into_iter().map(|fault| (fault.line, fault.column)).collect();
        assert_eq!(positions, [(1, 1), (1, 3), (2, 1), (2, 2), (2, 3)]);
    }

    #[test]
    fn lists_a_bounded_number_of_errors_and_reports_the_rest() {
        let mut faults = Faults::default();
        (0..1000).for_each(|n| faults.add(n, || "bad".into()));
        let listed = faults.into_list(&"x".repeat(1000));
        assert_eq!(listed.len(), MAX_FAULTS + 1);
        assert_eq!(listed[MAX_FAULTS].message, "further errors are not listed");
    }
}
