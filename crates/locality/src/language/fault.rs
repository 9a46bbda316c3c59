//! What is wrong with a text, and where.

use std::fmt;

/// The most faults that are told of one text; one more says that there are others.
pub const MAX_FAULTS: usize = 64;

/// A fault of a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.what)
    }
}

impl std::error::Error for Fault {}

/// Faults by their byte in the text, gathered.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<(usize, String)>,
    more: bool,
}

impl Faults {
    /// Words are only made while there is place for them.
    pub(crate) fn add(&mut self, at: usize, what: impl FnOnce() -> String) {
        if self.found.len() < MAX_FAULTS {
            self.found.push((at, what()));
        } else {
            self.more = true;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// In the order of the text.
    pub(crate) fn told(mut self, text: &str) -> Vec<Fault> {
        self.found.sort();
        self.found.dedup();
        let last = self.found.last().map(|(at, _)| *at);
        if let (true, Some(at)) = (self.more, last) {
            self.found.push((at, "further faults are not listed".into()));
        }
        let place = |(at, what): (usize, String)| {
            let at = at.min(text.len());
            let before = (0..=at).rev().find_map(|at| text.get(..at)).unwrap_or("");
            let line_start = before.rfind('\n').map_or(0, |n| n + 1);
            let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
            Fault { line, column: before[line_start..].chars().count() + 1, what }
        };
        self.found.into_iter().map(place).collect()
    }
}

/// The nearest of some names, in words to be put behind a fault; nothing if none is near.
pub(crate) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let length = name.chars().count();
    if length > MAX_COMPARED_NAME_CHARS {
        return String::new();
    }
    let far = |other: &str| (other.chars().count() <= MAX_COMPARED_NAME_CHARS).then(|| distance(name, other));
    let best = known.into_iter().filter_map(|other| Some((far(other)?, other))).min();
    match best {
        Some((far, other)) if far <= 1 + length / 3 => format!("; did you mean `{other}`?"),
        _ => String::new(),
    }
}

/// Longer names are not compared: it takes the product of both lengths.
const MAX_COMPARED_NAME_CHARS: usize = 64;

/// Levenshtein's, with the exchange of two neighbours as one step (optimal string alignment).
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
            let other = usize::from(a[i - 1] != b[j - 1]);
            let mut least = (rows[i - 1][j] + 1).min(rows[i][j - 1] + 1).min(rows[i - 1][j - 1] + other);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                least = least.min(rows[i - 2][j - 2] + 1);
            }
            rows[i][j] = least;
        }
    }
    rows[a.len()][b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_nearest_name_is_offered_and_none_that_is_far() {
        let known = ["luxor", "giza", "aswan"];
        assert_eq!(nearest("luxro", known), "; did you mean `luxor`?");
        assert_eq!(nearest("asuan", known), "; did you mean `aswan`?");
        assert_eq!(nearest("cairo", known), "");
        assert_eq!(nearest(&"x".repeat(1000), known), "");
        assert_eq!((distance("ab", "ba"), distance("", "abc"), distance("kitten", "sitting")), (1, 3, 3));
    }

    #[test]
    fn places_are_counted_in_characters_and_lie_inside() {
        let text = "aü\nüb";
        let mut faults = Faults::default();
        for at in [0, 3, 4, 6, 99] {
            faults.add(at, || at.to_string());
        }
        let told: Vec<_> = faults.told(text).into_iter().map(|fault| (fault.line, fault.column)).collect();
        assert_eq!(told, [(1, 1), (1, 3), (2, 1), (2, 2), (2, 3)]);
    }

    #[test]
    fn faults_are_bounded_and_it_is_said() {
        let mut faults = Faults::default();
        (0..1000).for_each(|n| faults.add(n, || "bad".into()));
        let told = faults.told(&"x".repeat(1000));
        assert_eq!(told.len(), MAX_FAULTS + 1);
        assert_eq!(told[MAX_FAULTS].what, "further faults are not listed");
    }
}
