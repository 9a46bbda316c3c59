//! The store on disk, as an earlier program wrote it: it is opened, and holds what was written.

use maplehook_consensus::store::{
    PersistedState, Store, WriteBatch, bootstrap_number, create_replacement, has_voted, read_founders,
    replacement_number, write_founders,
};
use maplehook_golden::{assert_text, hex};
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState};
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("golden").join(name)
}

fn copied(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in from.read_dir().unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

/// What a voter writes in its life: a log, entries, a vote, its founders; then a place of another voter.
fn written(directory: &Path) {
    bootstrap_number(directory, 42).unwrap();
    write_founders(directory, &[("b1".into(), 42), ("b2".into(), 43)]).unwrap();
    let mut begins = raft::eraftpb::Snapshot::default();
    begins.mut_metadata().index = 1;
    begins.mut_metadata().term = 1;
    begins.mut_metadata().mut_conf_state().set_voters(vec![7, 9]);
    let store = Store::create(directory, &begins).unwrap();
    let entry = |index: u64, data: &[u8]| {
        let mut entry = Entry { index, term: 2, ..Entry::default() };
        entry.data = data.to_vec().into();
        entry
    };
    let entries = [entry(2, b"two"), entry(3, b"three")];
    let hard = HardState { term: 2, vote: 7, commit: 3, ..HardState::default() };
    store.write(&WriteBatch { hard_state: Some(&hard), snapshot: None, entries: &entries }).unwrap();
}

fn described(kept: &PersistedState) -> String {
    let bytes = |message: &dyn Fn() -> Vec<u8>| hex(&message());
    let mut text = format!(
        "hard {}\nsnapshot {}\n",
        bytes(&|| kept.hard_state.write_to_bytes().unwrap()),
        bytes(&|| kept.snapshot.write_to_bytes().unwrap())
    );
    for entry in &kept.entries {
        text += &format!("entry {}\n", hex(&entry.write_to_bytes().unwrap()));
    }
    text
}

#[test]
fn a_store_of_an_earlier_program_is_opened() {
    let recorded = golden("store");
    if !recorded.exists() && std::env::var("MAPLEHOOK_GOLDEN").is_ok_and(|value| value == "write") {
        written(&recorded);
    }
    let directory = std::env::temp_dir().join(format!("maplehook-golden-store-{}", std::process::id()));
    copied(&recorded, &directory);
    assert!(has_voted(&directory));
    assert_eq!(bootstrap_number(&directory, 1).unwrap(), 42);
    assert_eq!(read_founders(&directory), [("b1".to_owned(), 42), ("b2".to_owned(), 43)]);
    assert_eq!(replacement_number(&directory).unwrap(), None);
    let (store, kept) = Store::open(&directory).unwrap().unwrap();
    assert_text("store.txt", &described(&kept));
    drop(store);
    let (store, kept) = create_replacement(&directory, 5).unwrap();
    assert_text("store-replaced.txt", &described(&kept));
    drop(store);
    assert_eq!(replacement_number(&directory).unwrap(), Some(5));
    std::fs::remove_dir_all(directory).unwrap();
}
