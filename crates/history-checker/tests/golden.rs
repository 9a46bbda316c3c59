//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::{Format, compare, golden_types, recorded};
use maplehook_history_checker::record::{Address, Bounds, Header, Outcome, Record, Upstream};
use std::path::Path;

golden_types! {
    header: Json Header;
    upstream: Json Upstream;
    address: Json Address;
    bounds: Json Bounds;
    outcome: Json Outcome;
}

/// The corpus was written by earlier programs. Only its records are compared: a header may leave out what is empty.
#[test]
fn every_record_of_the_corpus_is_written_as_it_was_read() {
    let mut count = 0;
    for entry in Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").read_dir().unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let (_, records) = text.split_once('\n').unwrap();
        count +=
            compare::<Record>(Format::Json, records).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    assert!(count > 1000, "{count}");
}

/// A line of each kind of record.
#[test]
fn every_kind_of_record_is_read_and_written_as_it_was() {
    let lines = recorded("records.Json", || String::from("there is none\n"));
    assert!(lines.lines().count() >= 15);
    compare::<Record>(Format::Json, &lines).unwrap();
}
