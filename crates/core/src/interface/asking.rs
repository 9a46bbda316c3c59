//! How soon a change of the list has to be known, and what that leaves for each step of asking for it.
//!
//! The protocol counts a change as told 6 s after the list service had it and could be reached, whatever call
//! hung, was refused or was given up in between. Every way from that moment to the answer has to fit:
//!
//! | what stands in the way | the steps, at their longest | seconds |
//! | --- | --- | --- |
//! | a call that hung from before the service came back | its time, a first wait, a slow answer | 2.5 + 0.5 + 2.5 |
//! | a watch that fell silent | its silence, a first wait, a slow answer | 2.75 + 0.5 + 2.5 |
//! | calls that were refused, one of them after the service came back | two waits, a slow answer | 2 × 1.5 + 2.5 |
//!
//! Each leaves [`RESERVE`] for ticks, the way and a busy process. A wait is drawn between half of its length and
//! all of it, so that balancers whose calls failed together do not call together: of `n` balancers, at most `n` a
//! call in a wait, or `n / 1.125` calls a second while the service is down (300 balancers: 267, each refused at
//! the cost of a connection), and at its return they come evenly over 1.5 s.

use std::time::Duration;

/// A change counts as told so long after the list service had it and could be reached.
pub const TOLD_AFTER: Duration = Duration::from_secs(6);
/// What every way to an answer leaves of that.
pub const RESERVE: Duration = Duration::from_millis(200);
/// An embedder gives up a call that has no answer after this long, connection and all, and tells that it failed.
/// A service that works through its calls in turn turns away what would wait for over 2 s.
pub const CALL_LONGEST: Duration = Duration::from_millis(2500);
/// A watch that has been silent for this long is broken: one that works says something every 2 s.
pub const SILENCE_LONGEST: Duration = Duration::from_millis(2750);
/// The wait after a call that took all of its time, or after the end of a watch, is at most this long.
pub const FIRST_WAIT: Duration = Duration::from_millis(500);
/// The wait after a call that was refused at once is at most this long, however many were.
pub const WAIT_LONGEST: Duration = Duration::from_millis(1500);
/// A call that nothing was heard of is made again after this long at the latest.
pub const CALL_AGAIN: Duration = Duration::from_millis(3000);
/// Part of the settings' time for asking after which an unanswered call is made again at the latest.
const CALL_AGAIN_PART: f64 = 0.8;
/// The first call of a new balancer is made within this time: many may start together.
pub const FIRST_CALL: Duration = Duration::from_secs(1);

/// After how long a call is made again of which nothing was heard, at the latest. A balancer without a watch is held to its
/// list for the settings' time for asking, from its last call; from then on each change counts as told so long after it
/// was made. A service that answers more slowly than that is heard only once it is quicker.
pub fn call_again(ask_every: Duration) -> Duration {
    CALL_AGAIN.min(ask_every.mul_f64(CALL_AGAIN_PART))
}

/// Within how long the first call of a new balancer is made, where the list is to be asked for so often.
pub fn first_call(ask_every: Duration) -> Duration {
    FIRST_CALL.min(ask_every / 10)
}

const fn fit(steps: [Duration; 3]) -> bool {
    let all = steps[0].as_millis() + steps[1].as_millis() + steps[2].as_millis();
    all + RESERVE.as_millis() <= TOLD_AFTER.as_millis()
}

const _: () = assert!(fit([CALL_LONGEST, FIRST_WAIT, CALL_LONGEST]), "a call that hung");
const _: () = assert!(fit([SILENCE_LONGEST, FIRST_WAIT, CALL_LONGEST]), "a watch that fell silent");
const _: () = assert!(fit([WAIT_LONGEST, WAIT_LONGEST, CALL_LONGEST]), "calls that were refused");
// Where the settings leave time, no call is made again while its answer may come: a tenth is drawn off.
const _: () = assert!(CALL_AGAIN.as_millis() * 9 / 10 >= CALL_LONGEST.as_millis());
const _: () = assert!(CALL_AGAIN.as_millis() >= (CALL_LONGEST.as_millis() + FIRST_WAIT.as_millis()));
