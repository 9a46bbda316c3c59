//! Encodings that leave the process: values written by earlier versions decode and encode unchanged.

use maplehook_failover::document::{Document, Row, ZoneState};
use maplehook_failover::rtt::{PeerRtt, RttTable};
use maplehook_failover::{Report, digest};
use maplehook_golden::{assert_text, golden_types, hex, samples};

golden_types! {
    document: Postcard Document;
    zone_state: Postcard ZoneState;
    round_trips: Postcard RttTable;
    way: Postcard PeerRtt;
    report: Postcard Report;
}

#[test]
fn encoded_reports_match_the_golden_file() {
    let reports: Vec<Report> = samples(maplehook_golden::TEXTS);
    let lines: String = reports.iter().map(|report| hex(&report.encode()) + "\n").collect();
    assert_text("report-encoded.txt", &lines);
}

#[test]
fn digest_of_a_topology_matches_the_golden_file() {
    let topology =
        maplehook_locality::Topology::new([("north", vec!["a", "b"]), ("south", vec!["c"])]).unwrap();
    let rules = samples::<maplehook_locality::Rules>(maplehook_golden::TEXTS).remove(0);
    assert_text("digest.txt", &format!("{:016x}\n", digest(&topology, &rules)));
}

/// Histories store a digest of this text, and the history checker compares digests of different versions.
#[test]
fn debug_text_of_plan_rows_matches_the_golden_file() {
    let rows: Vec<Row> = samples(maplehook_golden::TEXTS);
    assert!(rows.iter().any(|row| !row.to.is_empty()));
    assert_text("rows-debug.txt", &format!("{rows:?}\n"));
}
