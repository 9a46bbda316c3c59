//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::{assert_text, golden_types, hex, recorded, samples, unhex};
use maplehook_hot_restart::{HotRestartSnapshot, LearnedEndpoint, SnapshotEndpoint};

golden_types! {
    known: Json SnapshotEndpoint;
    learned: Json LearnedEndpoint;
    snapshot: Json HotRestartSnapshot;
}

#[test]
fn file_of_an_earlier_program_is_read_and_written_as_it_was() {
    let snapshots: Vec<HotRestartSnapshot> = samples(maplehook_golden::TEXTS);
    let files: String = snapshots.iter().map(|snapshot| hex(&snapshot.encode().unwrap()) + "\n").collect();
    assert_text("files.txt", &files);
    for line in recorded("files.txt", String::new).lines() {
        let file = unhex(line).unwrap();
        assert_eq!(HotRestartSnapshot::decode(&file).unwrap().encode().unwrap(), file);
    }
}
