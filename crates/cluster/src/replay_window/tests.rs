use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    /// Whatever the order, nothing is accepted twice, and what is less than a window late is accepted once.
    #[test]
    fn nothing_is_accepted_twice(sequences in prop::collection::vec(1u64..2000, 1..300)) {
        let (mut windows, name) = (ReplayWindows::default(), Name::new("b1").unwrap());
        let (mut received, mut highest) = (BTreeSet::new(), 0);
        for sequence in sequences {
            let is_accepted = windows.accept(&name, 1, sequence).is_ok();
            let is_new = !received.contains(&sequence);
            let is_in_window = sequence > highest || highest - sequence < WINDOW_WIDTH;
            prop_assert_eq!(is_accepted, is_new && is_in_window);
            if is_accepted {
                received.insert(sequence);
            }
            highest = highest.max(sequence);
        }
    }
}

#[test]
fn earlier_generation_is_rejected_and_later_one_resets_the_window() {
    let (mut windows, name) = (ReplayWindows::default(), Name::new("b1").unwrap());
    assert!(windows.accept(&name, 5, 9).is_ok());
    assert_eq!(windows.accept(&name, 4, 10), Err(ReplayError::EarlierGeneration));
    assert!(windows.accept(&name, 6, 1).is_ok());
    assert_eq!(windows.accept(&name, 5, 11), Err(ReplayError::EarlierGeneration));
}
