//! Reads endpoint lists as their bytes come. What is kept of a list are its parsed entries; it is handed over at
//! its end alone, and bounded by the number of its entries.

use super::documents::{DocumentError, DocumentPart, DocumentSplitter};
use crate::parts::rate_limited_log::RateLimitedLog;
use crate::parts::upstream::EndpointState;
use crate::source::{Entry, stable_id};
use maplehook_core::fleet_size::MAX_LIST_ENTRIES;
use maplehook_core::{Availability, CellId, KindId, ZoneId};
use maplehook_platform_settings::IdNames;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use std::error::Error;
use std::fmt;

#[derive(Deserialize)]
struct RawOutline<'a> {
    rev: u64,
    #[serde(default)]
    all: bool,
    /// Empty, unless the key is spelt so that the entries stayed in the outline.
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawEntry<'a> {
    uid: String,
    #[serde(borrow, default)]
    endpoint: Option<&'a RawValue>,
    state: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    #[serde(default = "default_capacity_hint")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

fn default_capacity_hint() -> f64 {
    1.0
}

/// Reason why a list is not put in force.
#[derive(Debug)]
pub(super) enum ListError {
    /// The input is not a sequence of documents.
    Document(DocumentError),
    /// A document is not a list.
    Malformed(serde_json::Error),
    /// The list has this many entries, more than [`MAX_LIST_ENTRIES`].
    TooManyEntries(usize),
    /// The answer to a call for the whole list holds none, or more than one.
    NotOneList,
    /// The changes do not follow the cached version.
    VersionGap { rev: u64, cached: u64 },
}

impl ListError {
    /// Returns the name in metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Document(DocumentError::EntryTooLong | DocumentError::OutlineTooLong) => "too_long",
            Self::Document(_) | Self::Malformed(_) | Self::NotOneList => "malformed",
            Self::TooManyEntries(_) => "too_many_entries",
            Self::VersionGap { .. } => "version_gap",
        }
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document(e) => e.fmt(f),
            Self::Malformed(e) => e.fmt(f),
            Self::TooManyEntries(count) => {
                write!(f, "the list has {count} entries, at most {MAX_LIST_ENTRIES} are read")
            }
            Self::NotOneList => f.write_str("the answer is not one whole list"),
            Self::VersionGap { rev, cached } => {
                write!(f, "changes up to version {rev} do not follow the cached version {cached}")
            }
        }
    }
}

impl Error for ListError {}

impl From<DocumentError> for ListError {
    fn from(e: DocumentError) -> Self {
        Self::Document(e)
    }
}

/// Complete list, or a complete set of changes.
#[derive(Debug, PartialEq)]
pub(super) struct ReadList {
    /// Version of the list.
    pub(super) rev: u64,
    /// True if upstreams without an entry are gone.
    pub(super) is_full: bool,
    pub(super) entries: Vec<Entry>,
}

/// Item of a stream of lists.
#[derive(Debug, PartialEq)]
pub(super) enum ListItem {
    /// End of a line outside of a list; shows that the watch is alive.
    EndOfLine,
    List(ReadList),
}

/// Incremental reader of lists.
pub(super) struct ListReader {
    documents: DocumentSplitter,
    entries: Vec<Entry>,
    /// Number of entries of the current list, read or skipped.
    entry_count: usize,
}

impl ListReader {
    /// Creates a reader that stands before the first list.
    pub(super) fn new() -> Self {
        Self { documents: DocumentSplitter::new(), entries: Vec::new(), entry_count: 0 }
    }

    /// Takes bytes from the front of `input` up to the end of the next item, and returns that item. Returns `None`
    /// if all was taken and more input is needed. Entries that are JSON but no upstream are skipped, and logged in
    /// `warnings`.
    pub(super) fn next_item(
        &mut self,
        input: &mut &[u8],
        names: &IdNames,
        warnings: &RateLimitedLog,
    ) -> Result<Option<ListItem>, ListError> {
        while let Some(part) = self.documents.next_part(input)? {
            match part {
                DocumentPart::EndOfLine => return Ok(Some(ListItem::EndOfLine)),
                DocumentPart::Entry(text) => {
                    self.entry_count += 1;
                    // Whoever runs discovery is told the whole number.
                    if self.entry_count <= MAX_LIST_ENTRIES {
                        self.entries.extend(read_entry(text, names, warnings)?);
                    }
                }
                DocumentPart::Outline(text) => {
                    let outline: RawOutline<'_> =
                        serde_json::from_slice(text).map_err(ListError::Malformed)?;
                    let mut entries = std::mem::take(&mut self.entries);
                    let entry_count = std::mem::take(&mut self.entry_count);
                    if entry_count > MAX_LIST_ENTRIES {
                        return Err(ListError::TooManyEntries(entry_count));
                    }
                    for raw in outline.targets {
                        entries.extend(read_entry(raw.get().as_bytes(), names, warnings)?);
                    }
                    return Ok(Some(ListItem::List(ReadList {
                        rev: outline.rev,
                        is_full: outline.all,
                        entries,
                    })));
                }
            }
        }
        Ok(None)
    }

    /// Checks that the input did not end inside a list.
    pub(super) fn finish(&self) -> Result<(), ListError> {
        Ok(self.documents.finish()?)
    }
}

/// Reads an entry; `None` if it is skipped. Fails if it is no JSON: then the list around it is none, either.
fn read_entry(text: &[u8], names: &IdNames, warnings: &RateLimitedLog) -> Result<Option<Entry>, ListError> {
    let parsed = parse_entry(text, names);
    if parsed.is_err() {
        serde_json::from_slice::<IgnoredAny>(text).map_err(ListError::Malformed)?;
    }
    let log = |e| warnings.warn(|| format!("skipped a malformed entry of the endpoint list: {e}"));
    Ok(parsed.map_err(log).ok())
}

fn parse_entry(text: &[u8], names: &IdNames) -> Result<Entry, Box<dyn Error + Send + Sync>> {
    let raw: RawEntry<'_> = serde_json::from_slice(text)?;
    let availability = match raw.state.as_str() {
        "Ready" => Availability::Ready,
        "Terminating" => Availability::Draining,
        "Gone" => Availability::Removed,
        other => return Err(format!("{}: unknown state {other:?}", raw.uid).into()),
    };
    let endpoint = raw.endpoint.and_then(|e| serde_json::from_str(e.get()).ok());
    if endpoint.is_none() && availability == Availability::Ready {
        return Err(format!("{}: a ready upstream has no valid endpoint address", raw.uid).into());
    }
    let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
    Ok(Entry {
        id: stable_id(&raw.uid),
        zone: ZoneId(position(&names.zones, &raw.az).map_or(u8::MAX, |z| z as u8)),
        kind: KindId(position(&names.kinds, &raw.model).map_or(u16::MAX, |k| k as u16)),
        cell: CellId(raw.pod_group),
        weight: raw.capacity_hint,
        state: EndpointState { endpoint, availability, boot_ms: raw.boot_ms.max(0.0) as u64 },
    })
}
