//! Tests of the saved state: it is read as it was written, and bounded.

use super::*;

#[test]
fn a_memory_is_read_as_it_was_written_and_nothing_else_is() {
    let mut memory = SupervisorState::new(ProgramDigest::new(&"a".repeat(64)).unwrap());
    memory.processes.push(ProcessRecord {
        id: 7,
        program: memory.serving_program.clone(),
        role: Role::Serving,
        process: Some((12, 3456)),
    });
    let text = memory.encode();
    assert_eq!(SupervisorState::decode(&text).unwrap(), memory);
    for cut in 0..text.len() - 2 {
        assert!(SupervisorState::decode(&text[..cut]).is_err(), "{cut}");
    }
    assert_eq!(
        SupervisorState::decode(&text.replacen(":1,", ":2,", 1)),
        Err(StateFileError::NewerVersion(2))
    );
    assert!(matches!(
        SupervisorState::decode(&text.replacen("aaaa", "../a", 1)),
        Err(StateFileError::Malformed(_))
    ));
}

#[test]
fn what_is_remembered_is_bounded_and_what_is_in_use_stays() {
    let digest = |n: u32| ProgramDigest::new(&format!("{n:064x}")).unwrap();
    let mut memory = SupervisorState::new(digest(0));
    for n in 0..200 {
        memory.crash_counts.insert(digest(n), 1);
        memory.rejected_programs.insert(digest(n));
        memory.forget_unused();
    }
    assert_eq!((memory.crash_counts.len(), memory.rejected_programs.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
    assert!(memory.crash_counts.contains_key(&digest(0)) && memory.crash_counts.contains_key(&digest(199)));
}
