//! Tests of the room that silent connections leave.

use super::*;

const PROMPT: Duration = Duration::from_millis(250);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards newcomers whose request is on its way: they go last.
#[test]
fn the_oldest_silent_connection_goes_first_and_a_fresh_one_after_idle_ones() {
    let mut silent = SilentConnections::default();
    assert_eq!(silent.room(ms(0), 4, 4, PROMPT), Room::Taken);
    let oldest = silent.insert(ms(0));
    let younger = silent.insert(ms(100));
    assert_eq!(silent.room(ms(100), 1, 4, PROMPT), Room::Free);
    assert_eq!(silent.room(ms(100), 2, 4, PROMPT), Room::IdleOr(oldest));
    assert_eq!(silent.oldest(), Some(oldest));
    assert_eq!(silent.room(ms(300), 2, 4, PROMPT), Room::Silent(oldest));
    silent.remove(oldest);
    assert_eq!(silent.room(ms(300), 3, 4, PROMPT), Room::IdleOr(younger));
    silent.remove(younger);
    silent.remove(younger);
    assert!(
        silent.is_empty() && silent.oldest().is_none() && silent.room(ms(300), 3, 4, PROMPT) == Room::Free
    );
}
