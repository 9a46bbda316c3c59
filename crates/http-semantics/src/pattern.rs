//! Patterns of paths.
//!
//! A pattern is matched against the path's meaning, not its spelling: escapes of unreserved characters are read
//! (RFC 3986, section 6.2.2.2), `.` and `..` are resolved (5.2.4), empty segments are passed over. Upstreams may do
//! the same, and a request must not get into a class that allows repeats by spelling its path otherwise. `%2F`
//! stays part of its segment. What is passed on keeps its bytes.

use std::borrow::Cow;
use std::fmt;

/// The longest path, in segments, that is looked at; a longer one matches no pattern.
const SEGMENTS_MOST: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Literal(String),
    /// `*`: one segment.
    One,
}

/// A pattern: `/days/*/beds`, where `*` is one segment and a `**` at the end any number of them, or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    parts: Vec<Part>,
    open: bool,
}

/// Why a text is no pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternError(String);

impl fmt::Display for PatternError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PatternError {}

impl Pattern {
    /// Reads a pattern.
    pub fn new(text: &str) -> Result<Self, PatternError> {
        let wrong = |what: &str| Err(PatternError(format!("{text:?}: {what}")));
        let Some(rest) = text.strip_prefix('/') else { return wrong("a pattern begins with /") };
        let (mut parts, mut open) = (Vec::new(), false);
        let segments: Vec<&str> = rest.split('/').collect();
        for (k, segment) in segments.iter().enumerate() {
            match *segment {
                "" if k + 1 == segments.len() => {}
                "" => return wrong("an empty segment matches nothing"),
                "." | ".." => return wrong("paths are resolved before they are matched: no . or .."),
                "**" if k + 1 == segments.len() => open = true,
                "**" => return wrong("** stands at the end"),
                "*" => parts.push(Part::One),
                s if s.contains('*') => return wrong("* stands for a whole segment"),
                s if s.contains(['?', '#']) => return wrong("a query is no part of a pattern"),
                s => match meaning_of(s) {
                    Some(s) => parts.push(Part::Literal(s.into_owned())),
                    None => return wrong("a % without two hexadecimal digits"),
                },
            }
        }
        Ok(Self { parts, open })
    }

    /// Whether a path, already taken apart, is one of these.
    pub(crate) fn matches(&self, segments: &Segments<'_>) -> bool {
        let segments = &segments.0;
        (segments.len() == self.parts.len() || (self.open && segments.len() > self.parts.len()))
            && self.parts.iter().zip(segments).all(|(part, segment)| match part {
                Part::One => true,
                Part::Literal(text) => text.as_str() == segment,
            })
    }

    /// Whether a path is one of these.
    pub fn is_of(&self, path: &str) -> bool {
        Segments::of(path).is_some_and(|segments| self.matches(&segments))
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for part in &self.parts {
            match part {
                Part::Literal(text) => write!(f, "/{text}")?,
                Part::One => f.write_str("/*")?,
            }
        }
        match (self.open, self.parts.is_empty()) {
            (true, _) => f.write_str("/**"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}

/// A path's segments as they are meant.
pub(crate) struct Segments<'a>(Vec<Cow<'a, str>>);

impl<'a> Segments<'a> {
    /// `None` for a path that no pattern matches: one that leads out of the root, has an escape that can't be read,
    /// or has too many segments. `*`, of `OPTIONS *`, is the root.
    pub(crate) fn of(path: &'a str) -> Option<Self> {
        let mut segments = Vec::new();
        let rest = if path == "*" { "" } else { path.strip_prefix('/').unwrap_or(path) };
        for segment in rest.split('/') {
            let segment = meaning_of(segment)?;
            match &*segment {
                "" | "." => {}
                ".." => drop(segments.pop()?),
                _ if segments.len() >= SEGMENTS_MOST => return None,
                _ => segments.push(segment),
            }
        }
        Some(Self(segments))
    }
}

/// A segment with the escapes of unreserved characters read, and those of others in upper case; `None` if one
/// can't be read.
fn meaning_of(segment: &str) -> Option<Cow<'_, str>> {
    if !segment.contains('%') {
        return Some(Cow::Borrowed(segment));
    }
    let mut read = String::with_capacity(segment.len());
    let mut rest = segment;
    while let Some((before, after)) = rest.split_once('%') {
        read.push_str(before);
        let digits = after.get(..2).filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()))?;
        let byte = u8::from_str_radix(digits, 16).ok()?;
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            read.push(char::from(byte));
        } else {
            read.push('%');
            read.push_str(&digits.to_ascii_uppercase());
        }
        rest = &after[2..];
    }
    read.push_str(rest);
    Some(Cow::Owned(read))
}
