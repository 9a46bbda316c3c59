use super::*;
use proptest::prelude::*;

fn propose(epoch: u64, expected: Option<u64>, text: &str) -> Command {
    Command::Propose { epoch, expected, text: text.into(), proposed_by: "b1".into(), proposed_at_unix_ms: 0 }
}

fn stable_state() -> VersionState {
    let mut state = VersionState::default();
    assert_eq!(state.apply(&propose(0, None, "one")), Ok(1));
    state
}

#[test]
fn a_change_passes_through_a_transition() {
    let mut state = stable_state();
    assert_eq!((state.epoch, state.phase), (1, Phase::Stable(1)));
    assert_eq!(state.apply(&propose(1, Some(1), "two")), Ok(2));
    assert_eq!(state.phase, Phase::Transition { from: 1, to: 2 });
    assert_eq!(state.apply(&propose(2, None, "three")), Err(CommandError::TransitionInProgress { to: 2 }));
    assert_eq!(state.apply(&propose(2, None, "two")), Ok(2), "the outcome of the same proposal was missed");
    assert_eq!(state.apply(&Command::Advance { epoch: 1 }), Err(CommandError::StaleEpoch { epoch: 2 }));
    assert_eq!(state.apply(&Command::Advance { epoch: 2 }), Ok(2));
    assert_eq!(
        state.apply(&propose(3, Some(1), "three")),
        Err(CommandError::UnexpectedVersion { active: 2 })
    );
    assert_eq!(state.apply(&propose(2, None, "three")), Err(CommandError::StaleEpoch { epoch: 3 }));
    assert_eq!(state.apply(&propose(3, None, "two")), Ok(2));
    assert_eq!(state.epoch, 3);
}

#[test]
fn a_transition_is_undone_without_a_conflict() {
    let mut state = stable_state();
    let before = state.phase;
    state.apply(&propose(1, None, "two")).unwrap();
    let transition = state.phase;
    assert_eq!(state.apply(&Command::Undo { epoch: 2 }), Ok(1));
    assert!(state.phase.is_compatible_with(before) && state.phase.is_compatible_with(transition));
    assert!(state.version(2).unwrap().is_undone);
    assert_eq!(state.apply(&Command::Undo { epoch: 3 }), Err(CommandError::NothingToUndo));
    // The number is not given again.
    assert_eq!(state.apply(&propose(3, None, "two again")), Ok(3));
}

fn commands() -> impl Strategy<Value = Vec<Command>> {
    let epoch = 0u64..12;
    let one = prop_oneof![
        (epoch.clone(), prop::option::of(0u64..6), "[a-d]").prop_map(|(e, x, text)| propose(e, x, &text)),
        epoch.clone().prop_map(|epoch| Command::Advance { epoch }),
        epoch.prop_map(|epoch| Command::Undo { epoch }),
        Just(Command::Forget { name: "b2".into() }),
    ];
    prop::collection::vec(one, 0..60)
}

proptest! {
    /// Whatever is in the log: neighbouring state agree, numbers and epochs only rise, and required versions are retained.
    #[test]
    fn neighbouring_phases_never_conflict(commands in commands()) {
        let mut state = VersionState::default();
        let mut last = 0;
        for command in commands {
            let before = state.clone();
            let result = state.apply(&command);
            if result.is_err() {
                prop_assert_eq!(&state, &before);
            }
            if state.epoch != before.epoch {
                prop_assert_eq!(state.epoch, before.epoch + 1);
                prop_assert!(before.phase == Phase::Initial || state.phase.is_compatible_with(before.phase));
            }
            let newest = state.versions.last().map_or(0, |version| version.number);
            prop_assert!(newest >= last);
            last = newest;
            for number in state.phase.compatible_versions().into_iter().flatten() {
                prop_assert!(state.version(number).is_some());
            }
            prop_assert!(state.versions.len() <= MAX_VERSIONS);
        }
    }
}

#[test]
fn versions_are_bounded_and_required_ones_are_retained() {
    let mut state = stable_state();
    for n in 0..100 {
        state.apply(&propose(state.epoch, None, &format!("text {n}"))).unwrap();
        state.apply(&Command::Advance { epoch: state.epoch }).unwrap();
    }
    assert_eq!(state.versions.len(), MAX_VERSIONS);
    assert_eq!(state.active_version(), 101);
    assert_eq!(state.required_versions().len(), 1);
}
