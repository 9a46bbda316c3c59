//! Reads a TOML text of sections and keys, and gathers all that is wrong with it instead of stopping at the
//! first: an operator mends a file once.

use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use toml::{Spanned, Value};

type Section = BTreeMap<Spanned<String>, Spanned<Value>>;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// Section and key, as `admission.reserve`; the section alone, or nothing, where there is no more to name.
    pub place: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, place, what } = self;
        if place.is_empty() {
            write!(f, "line {line}: {what}")
        } else {
            write!(f, "line {line}: {place}: {what}")
        }
    }
}

/// A file that is not taken: all its faults, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// A text that is being read.
pub struct Reader<'a> {
    text: &'a str,
    sections: BTreeMap<Spanned<String>, Section>,
    /// Lines of the keys that were taken.
    lines: BTreeMap<String, usize>,
    faults: Vec<Fault>,
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

impl<'a> Reader<'a> {
    /// Takes a text apart. What is no TOML, or not made of sections, has one fault only.
    pub fn new(text: &'a str) -> Result<Self, Faults> {
        let sections = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |span| line_of(text, span.start));
            Faults(vec![Fault { line, place: String::new(), what: e.message().to_owned() }])
        })?;
        Ok(Self { text, sections, lines: BTreeMap::new(), faults: Vec::new() })
    }

    /// Takes the value of a key, if there is one; one of another type is a fault.
    pub fn take<T: DeserializeOwned>(&mut self, section: &str, key: &str) -> Option<T> {
        let (at, value) = self.sections.get_mut(section)?.remove_entry(key)?;
        let place = format!("{section}.{key}");
        self.lines.insert(place.clone(), line_of(self.text, at.span().start));
        match value.into_inner().try_into() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(section, key, e.message().trim_end().to_owned());
                None
            }
        }
    }

    /// The same for a list of texts, each read by itself.
    pub fn take_each<T: std::str::FromStr<Err: fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<Vec<T>> {
        let texts: Vec<String> = self.take(section, key)?;
        let read = texts.iter().filter_map(|text| match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(section, key, format!("{e}"));
                None
            }
        });
        Some(read.collect())
    }

    /// Something is wrong with a key that was taken.
    pub fn fault(&mut self, section: &str, key: &str, what: String) {
        let place = format!("{section}.{key}");
        let line = self.lines.get(&place).copied().unwrap_or(1);
        self.faults.push(Fault { line, place, what });
    }

    /// Ends the reading: whatever was not taken is unknown.
    pub fn end(mut self) -> Result<(), Faults> {
        for (section, keys) in std::mem::take(&mut self.sections) {
            const KNOWN: &[&str] = crate::SECTIONS;
            let name = section.get_ref().clone();
            if !KNOWN.contains(&name.as_str()) {
                let line = line_of(self.text, section.span().start);
                let what = format!("no such section; there are {}", KNOWN.join(", "));
                self.faults.push(Fault { line, place: name, what });
                continue;
            }
            for key in keys.into_keys() {
                let line = line_of(self.text, key.span().start);
                let place = format!("{name}.{}", key.get_ref());
                self.faults.push(Fault { line, place, what: "no such key".into() });
            }
        }
        self.faults.sort_by_key(|fault| fault.line);
        if self.faults.is_empty() { Ok(()) } else { Err(Faults(self.faults)) }
    }
}
