//! The time-outs and waits of discovery calls, and the propagation limit that they add up to.
//!
//! A change of the endpoints has to reach the balancer within [`PROPAGATION_LIMIT`] of the moment when the
//! discovery service had it and could be reached, whatever call hung, was refused or was given up in between.
//! Every sequence of steps from that moment to the answer has to fit:
//!
//! | what delays the answer | the steps, at their longest | seconds |
//! | --- | --- | --- |
//! | a call that hung from before the service came back | its time-out, an initial backoff, a slow answer | 2.5 + 0.5 + 2.5 |
//! | a watch that fell silent | its idle time-out, an initial backoff, a slow answer | 2.75 + 0.5 + 2.5 |
//! | calls that were refused, one of them after the service came back | two backoffs, a slow answer | 2 × 1.5 + 2.5 |
//!
//! Each leaves [`PROPAGATION_RESERVE`] for ticks, the network and a busy process. A backoff is drawn between
//! half of its length and all of it, so that balancers whose calls failed together do not call together: of
//! `n` balancers, at most `n` call in one backoff, or `n / 1.125` calls a second while the service is down
//! (300 balancers: 267, each refused at the cost of a connection), and when it returns they come evenly over
//! 1.5 s.

use std::time::Duration;

/// The time within which a change has to reach the balancer after the discovery service had it and could be
/// reached.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// The part of [`PROPAGATION_LIMIT`] that every sequence of steps leaves unused.
pub const PROPAGATION_RESERVE: Duration = Duration::from_millis(200);
/// An embedder gives up a call without an answer after this time, closes its connection and reports that it
/// failed. A service that works through its calls in order rejects a call that would wait for over 2 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// A watch that has been silent for this time is broken: a working one sends something every 2 s.
pub const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2750);
/// The longest backoff after a call that timed out, or after the end of a watch.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest backoff after calls that were refused at once, however many were.
pub const MAX_BACKOFF: Duration = Duration::from_millis(1500);
/// A call without any response is repeated after this time at the latest.
pub const MAX_CALL_INTERVAL: Duration = Duration::from_millis(3000);
/// The part of the settings' poll interval after which an unanswered call is repeated at the latest.
const CALL_INTERVAL_SHARE: f64 = 0.8;
/// The first call of a new balancer is made within this time, because many balancers may start together.
pub const MAX_INITIAL_DELAY: Duration = Duration::from_secs(1);

/// Returns the time after which a call without any response is repeated at the latest. A balancer without a
/// watch is held to its list for one poll interval from its last call; from then on each change has to arrive
/// within one poll interval of being made. A service that answers more slowly than that is heard only once it
/// is quicker.
pub fn call_interval(poll_interval: Duration) -> Duration {
    MAX_CALL_INTERVAL.min(poll_interval.mul_f64(CALL_INTERVAL_SHARE))
}

/// Returns the time within which the first call of a new balancer is made, for a poll interval.
pub fn initial_delay(poll_interval: Duration) -> Duration {
    MAX_INITIAL_DELAY.min(poll_interval / 10)
}

const fn is_within_limit(steps: [Duration; 3]) -> bool {
    let total = steps[0].as_millis() + steps[1].as_millis() + steps[2].as_millis();
    total + PROPAGATION_RESERVE.as_millis() <= PROPAGATION_LIMIT.as_millis()
}

const _: () = assert!(is_within_limit([CALL_TIMEOUT, INITIAL_BACKOFF, CALL_TIMEOUT]), "a call that hung");
const _: () =
    assert!(is_within_limit([WATCH_IDLE_TIMEOUT, INITIAL_BACKOFF, CALL_TIMEOUT]), "a watch that fell silent");
const _: () = assert!(is_within_limit([MAX_BACKOFF, MAX_BACKOFF, CALL_TIMEOUT]), "calls that were refused");
// Where the settings leave time, no call is repeated while its answer may still come: a tenth is drawn off.
const _: () = assert!(MAX_CALL_INTERVAL.as_millis() * 9 / 10 >= CALL_TIMEOUT.as_millis());
const _: () =
    assert!(MAX_CALL_INTERVAL.as_millis() >= (CALL_TIMEOUT.as_millis() + INITIAL_BACKOFF.as_millis()));
