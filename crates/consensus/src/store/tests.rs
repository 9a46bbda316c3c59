use super::*;

fn temporary_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("maplehook-quorum-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn entry(index: u64, term: u64) -> Entry {
    let mut entry = Entry::default();
    (entry.index, entry.term) = (index, term);
    entry
}

#[test]
fn written_entries_are_read_and_overwritten_ones_are_not() {
    let directory = temporary_directory("written");
    assert!(Store::open(&directory).unwrap().is_none(), "there never was one");
    let mut snapshot = Snapshot::default();
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (1, 1);
    let store = Store::create(&directory, &snapshot).unwrap();
    let mut hard_state = HardState::default();
    (hard_state.term, hard_state.vote) = (3, 7);
    let entries = [entry(2, 1), entry(3, 1), entry(4, 1)];
    store.write(&WriteBatch { hard_state: Some(&hard_state), snapshot: None, entries: &entries }).unwrap();
    // Another leader replaces what is not committed.
    store.write(&WriteBatch { entries: &[entry(3, 2)], ..WriteBatch::default() }).unwrap();
    drop(store);
    let (store, state) = Store::open(&directory).unwrap().unwrap();
    assert_eq!((state.hard_state.term, state.hard_state.vote), (3, 7));
    assert_eq!(state.entries, [entry(2, 1), entry(3, 2)]);
    let mut later = Snapshot::default();
    later.mut_metadata().index = 2;
    store.write(&WriteBatch { snapshot: Some(&later), ..WriteBatch::default() }).unwrap();
    drop(store);
    let (_, state) = Store::open(&directory).unwrap().unwrap();
    assert_eq!((state.snapshot.get_metadata().index, state.entries.len()), (2, 1));
    fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_lost_log_differs_from_none_and_from_a_corrupt_one() {
    let directory = temporary_directory("lost");
    Store::create(&directory, &Snapshot::default()).unwrap();
    fs::write(directory.join(LOG_FILE), "garbage").unwrap();
    assert!(matches!(Store::open(&directory), Err(StoreError::Open { .. })));
    fs::remove_file(directory.join(LOG_FILE)).unwrap();
    assert!(matches!(Store::open(&directory), Err(StoreError::Lost)));
    fs::remove_dir_all(&directory).unwrap();
    // A creation that was killed halfway has not voted.
    fs::create_dir_all(&directory).unwrap();
    fs::write(directory.join(LOG_FILE), "half").unwrap();
    assert!(Store::open(&directory).unwrap().is_none());
    assert_eq!(bootstrap_number(&directory, 5).unwrap(), 5);
    assert_eq!(bootstrap_number(&directory, 6).unwrap(), 5, "the same after a restart");
    fs::remove_dir_all(&directory).unwrap();
}
