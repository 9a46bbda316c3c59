//! Reads a TOML text of sections and keys, and gathers all that is wrong with it instead of stopping at the
//! first: an operator mends a file once.

use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

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

/// A table of the text: a section, or one of several of a name.
pub struct Table<'a> {
    /// As it is named in faults: `admission`, or `class[2]`.
    place: String,
    line: usize,
    keys: BTreeMap<String, (usize, Spanned<DeValue<'a>>)>,
}

/// What a text is made of.
#[derive(Clone, Copy, Debug)]
pub struct Form {
    /// The sections that there may be.
    pub sections: &'static [&'static str],
    /// Those that there may be several of.
    pub lists: &'static [&'static str],
}

/// A text that is being read.
pub struct Reader<'a> {
    breaks: Breaks,
    sections: BTreeMap<String, Table<'a>>,
    lists: BTreeMap<String, Vec<Table<'a>>>,
    /// Lines of the keys that were taken.
    lines: BTreeMap<String, usize>,
    faults: Vec<Fault>,
}

/// Where a text's lines end: a list of thousands asks for the line of each of its keys.
struct Breaks(Vec<usize>);

impl Breaks {
    fn of(text: &str) -> Self {
        Self(text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at).collect())
    }

    /// The line of a place, from 1.
    fn line(&self, at: usize) -> usize {
        self.0.partition_point(|end| *end < at) + 1
    }
}

impl<'a> Reader<'a> {
    /// Takes a text apart. What is no TOML has one fault only; what is not made of the sections that there are is
    /// named, and passed over.
    pub fn new(text: &'a str, form: Form) -> Result<Self, Faults> {
        let breaks = Breaks::of(text);
        let all = DeTable::parse(text).map_err(|e| {
            let line = e.span().map_or(1, |span| breaks.line(span.start));
            Faults(vec![Fault { line, place: String::new(), what: e.message().to_owned() }])
        })?;
        let (sections, lists, lines) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut reader = Self { breaks, sections, lists, lines, faults: Vec::new() };
        for (name, value) in all.into_inner() {
            let line = reader.breaks.line(name.span().start);
            let name = name.into_inner().into_owned();
            let one = form.sections.contains(&name.as_str());
            let several = form.lists.contains(&name.as_str());
            match value.into_inner() {
                DeValue::Table(table) if one => {
                    let table = reader.table(name.clone(), line, table);
                    reader.sections.insert(name, table);
                }
                DeValue::Array(entries) if several => {
                    let tables = reader.tables(&name, entries);
                    reader.lists.insert(name, tables);
                }
                _ if one => reader.fault_at(line, name.clone(), format!("it has to be a section, [{name}]")),
                _ if several => {
                    let what = format!("there may be several: [[{name}]]");
                    reader.fault_at(line, name, what);
                }
                _ => {
                    let known = [form.sections, form.lists].concat().join(", ");
                    reader.fault_at(line, name, format!("no such section; there are {known}"));
                }
            }
        }
        Ok(reader)
    }

    fn table(&self, place: String, line: usize, table: DeTable<'a>) -> Table<'a> {
        let keys = table.into_iter().map(|(key, value)| {
            let line = self.breaks.line(key.span().start);
            (key.into_inner().into_owned(), (line, value))
        });
        Table { place, line, keys: keys.collect() }
    }

    /// Whether there is such a section, or at least one of a name that may stand several times.
    pub fn has(&self, name: &str) -> bool {
        self.sections.contains_key(name) || self.lists.get(name).is_some_and(|tables| !tables.is_empty())
    }

    /// Takes the value of a key, if there is one; one of another type is a fault.
    pub fn take<T: DeserializeOwned>(&mut self, section: &str, key: &str) -> Option<T> {
        let mut table = self.sections.remove(section)?;
        let value = self.take_in(&mut table, key);
        self.sections.insert(section.to_owned(), table);
        value
    }

    /// The same, out of one of several tables.
    pub fn take_in<T: DeserializeOwned>(&mut self, table: &mut Table<'a>, key: &str) -> Option<T> {
        let (line, value) = table.keys.remove(key)?;
        self.lines.insert(format!("{}.{key}", table.place), line);
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(&table.place, key, e.message().trim_end().to_owned());
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

    /// What a section's keys are called.
    pub fn keys(table: &Table<'a>) -> Vec<String> {
        table.keys.keys().cloned().collect()
    }

    /// Takes a section.
    pub fn take_section(&mut self, name: &str) -> Option<Table<'a>> {
        self.sections.remove(name)
    }

    /// Takes all tables of a name.
    pub fn take_tables(&mut self, name: &str) -> Vec<Table<'a>> {
        self.lists.remove(name).unwrap_or_default()
    }

    /// Takes all tables of a name that stand within a table, `[[tier.peer]]`.
    pub fn take_tables_in(&mut self, table: &mut Table<'a>, name: &str) -> Vec<Table<'a>> {
        let Some((line, value)) = table.keys.remove(name) else { return Vec::new() };
        let place = format!("{}.{name}", table.place);
        self.lines.insert(place.clone(), line);
        let DeValue::Array(entries) = value.into_inner() else {
            self.fault_at(line, place.clone(), format!("there may be several: [[{place}]]"));
            return Vec::new();
        };
        self.tables(&place, entries)
    }

    fn tables(&mut self, name: &str, entries: toml::de::DeArray<'a>) -> Vec<Table<'a>> {
        let mut tables = Vec::new();
        for (n, entry) in entries.into_iter().enumerate() {
            let (line, place) = (self.breaks.line(entry.span().start), format!("{name}[{}]", n + 1));
            match entry.into_inner() {
                DeValue::Table(table) => tables.push(self.table(place, line, table)),
                _ => self.fault_at(line, place, format!("it has to be a table, [[{name}]]")),
            }
        }
        tables
    }

    /// Whether something is known to be wrong with a key of a table.
    pub fn has_fault(&self, table: &Table<'a>, key: &str) -> bool {
        let place = format!("{}.{key}", table.place);
        self.faults.iter().any(|fault| fault.place == place)
    }

    /// One of several tables has been read: whatever was not taken of it is unknown.
    pub fn done(&mut self, table: Table<'a>) {
        for (key, (line, _)) in table.keys {
            self.fault_at(line, format!("{}.{key}", table.place), "no such key".into());
        }
    }

    /// Something is wrong with a key that was taken.
    pub fn fault(&mut self, section: &str, key: &str, what: String) {
        let place = format!("{section}.{key}");
        let line = self.lines.get(&place).copied().unwrap_or(1);
        self.fault_at(line, place, what);
    }

    /// Something is wrong with a key of one of several tables, or is missing in it.
    pub fn fault_in(&mut self, table: &Table<'a>, key: &str, what: String) {
        let line = self.line_in(table, key);
        self.fault_at(line, format!("{}.{key}", table.place), what);
    }

    /// The line of a key that was taken out of one of several tables; that of the table, if it was not.
    pub fn line_in(&self, table: &Table<'a>, key: &str) -> usize {
        self.lines.get(&format!("{}.{key}", table.place)).copied().unwrap_or(table.line)
    }

    /// Something is wrong in this line.
    pub fn fault_at(&mut self, line: usize, place: String, what: String) {
        self.faults.push(Fault { line, place, what });
    }

    /// Ends the reading: whatever was not taken is unknown.
    pub fn end(mut self) -> Result<(), Faults> {
        for table in std::mem::take(&mut self.sections).into_values() {
            self.done(table);
        }
        self.faults.sort_by_key(|fault| fault.line);
        if self.faults.is_empty() { Ok(()) } else { Err(Faults(self.faults)) }
    }
}
