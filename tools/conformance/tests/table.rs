//! The table holds, on every way in.

/// Guards the promises against a way in that words, sends or counts otherwise than the others.
#[test]
fn every_way_in_does_the_same() {
    let rows = maplehook_conformance::run_all();
    let faults: Vec<String> =
        rows.iter().flat_map(|row| row.faults.iter().map(|fault| format!("{}: {fault}", row.name))).collect();
    assert!(rows.len() > 40, "{} scenarios", rows.len());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
