//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::{Format, assert_type};
use maplehook_supervisor::control_socket::ProcessInfo;
use maplehook_supervisor::saved_state::{ProcessRecord, ProgramDigest, Role, RolloutTarget, SupervisorState};

/// Digests of programs are 64 hexadecimal digits.
const DIGESTS: &[&str] = &[
    "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
];

#[test]
fn the_memory_is_as_it_was() {
    assert_type::<ProgramDigest>(Format::Json, "digest.Json", DIGESTS);
    assert_type::<Role>(Format::Json, "role.Json", DIGESTS);
    assert_type::<ProcessRecord>(Format::Json, "process.Json", DIGESTS);
    assert_type::<RolloutTarget>(Format::Json, "told.Json", DIGESTS);
}

#[test]
fn a_memory_of_an_earlier_program_is_taken() {
    assert_type::<SupervisorState>(Format::Json, "memory.Json", DIGESTS);
    let lines = maplehook_golden::recorded("memory.Json", String::new);
    for line in lines.lines() {
        let version_one = line.replacen(&line[..line.find(',').unwrap()], "{\"version\":1", 1);
        assert!(SupervisorState::decode(&version_one).is_ok(), "{version_one}");
    }
}

#[test]
fn what_a_process_says_of_itself_is_as_it_was() {
    let shown = ProcessInfo {
        digest: DIGESTS[0].into(),
        operators: "127.0.0.1:9001".parse().unwrap(),
        trial: "127.0.0.1:9002".parse().unwrap(),
        accepts: true,
    };
    maplehook_golden::assert_text("shown.Json", &serde_json::to_string(&shown).unwrap());
}
