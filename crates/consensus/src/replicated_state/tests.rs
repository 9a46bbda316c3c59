use super::*;
use maplehook_versions::Command;

/// The state as a program without a shared document knows it.
#[derive(Serialize, Deserialize)]
struct EarlierState {
    versions: VersionState,
    replacements: BTreeMap<u64, String>,
}

fn state_with_version() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let propose = Command::Propose {
        epoch: 0,
        expected: None,
        text: "one".to_owned(),
        proposed_by: "b1".into(),
        proposed_at_unix_ms: 0,
    };
    state.versions.apply(&propose).unwrap();
    state.replacements.insert(7, "b4".into());
    state
}

#[test]
fn a_log_of_an_earlier_program_is_read_and_may_have_a_gap() {
    let ReplicatedState { versions, replacements } = state_with_version();
    let earlier = EarlierState { versions: versions.clone(), replacements: replacements.clone() };
    let decoded = decode_state(&postcard::to_stdvec(&earlier).unwrap());
    assert!(decoded.versions.shared_document.has_gap && decoded.versions.shared_document.number == 0);
    assert_eq!((&decoded.versions.versions, &decoded.replacements), (&versions.versions, &replacements));
    // A program that could not replace voters.
    let decoded = decode_state(&postcard::to_stdvec(&versions).unwrap());
    assert!(decoded.versions.versions == versions.versions && decoded.versions.shared_document.has_gap);
}

#[test]
fn an_earlier_program_reads_this_ones_log() {
    let mut state = state_with_version();
    state.versions.apply(&Command::ReplaceDocument { expected: 0, body: b"plan".to_vec() }).unwrap();
    let data = encode_state(&state).unwrap();
    let earlier: EarlierState = postcard::from_bytes(&data).unwrap();
    assert_eq!(
        (earlier.versions.versions, earlier.replacements),
        (state.versions.versions.clone(), state.replacements.clone())
    );
    assert_eq!(decode_state(&data), state);
}

/// The log of a new program that holds no shared document yet has no gap.
#[test]
fn an_empty_log_has_no_gap() {
    assert_eq!(decode_state(&[]), ReplicatedState::default());
    let data = encode_state(&ReplicatedState::default()).unwrap();
    assert!(!decode_state(&data).versions.shared_document.has_gap);
}
