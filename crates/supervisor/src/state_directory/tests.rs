//! Tests of the state directory: locked, written whole, and errors named.

use super::*;
use crate::saved_state::ProgramDigest;

#[test]
fn a_memory_outlives_its_writer_and_a_spoilt_one_is_told() {
    let place = std::env::temp_dir().join(format!("maplehook-supervisor-{}", std::process::id()));
    let store = StateDirectory::open(&place).unwrap();
    assert_eq!(store.load().unwrap(), None);
    assert!(StateDirectory::open(&place).unwrap_err().to_string().contains("another supervisor"));
    let memory = SupervisorState::new(ProgramDigest::new(&"b".repeat(64)).unwrap());
    store.save(&memory).unwrap();
    assert_eq!(store.load().unwrap(), Some(memory.clone()));
    fs::write(store.socket_path(7), "").unwrap();
    assert_eq!(store.socket_ids(), [7]);
    store.remove_socket(7);
    assert!(store.socket_ids().is_empty());
    for (text, says) in [(&memory.encode()[..40], "can't be read"), ("{\"version\":9}", "its version is 9")] {
        fs::write(place.join(STATE_FILE), text).unwrap();
        assert!(store.load().unwrap_err().to_string().contains(says), "{text}");
    }
    // A full disk keeps what was there.
    store.save(&memory).unwrap();
    std::os::unix::fs::symlink("/dev/full", place.join(NEW_STATE_FILE)).unwrap();
    assert!(store.save(&SupervisorState { consecutive_failures: 7, ..memory.clone() }).is_err());
    assert_eq!(store.load().unwrap(), Some(memory));
    let long = place.join("x".repeat(100));
    assert!(StateDirectory::open(&long).unwrap_err().to_string().contains("too long"));
    fs::remove_dir_all(&place).unwrap();
}
