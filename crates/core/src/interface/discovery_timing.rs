//! Timeouts and backoffs of discovery calls, and the propagation limit that they add up to.
//!
//! A change of the endpoints must reach the balancer within [`PROPAGATION_LIMIT`] of the moment when the
//! discovery service has it and can be reached, even if calls hang, are refused or time out in between. Every
//! sequence of steps from that moment to the answer has to fit:
//!
//! | cause of the delay | longest steps | seconds |
//! | --- | --- | --- |
//! | a call that hung before the service recovered | its timeout, an initial backoff, a slow answer | 2.5 + 0.5 + 2.5 |
//! | a watch that became silent | its idle timeout, an initial backoff, a slow answer | 2.75 + 0.5 + 2.5 |
//! | refused calls, one of them after the service recovered | two backoffs, a slow answer | 2 × 1.5 + 2.5 |
//!
//! Each leaves [`PROPAGATION_RESERVE`] for ticks, the network and a busy process. A backoff is drawn between
//! half of its length and all of it, so that balancers whose calls failed together do not call together. Of
//! `n` balancers, at most `n` call in one backoff, or `n / 1.125` per second while the service is down (300
//! balancers: 267, each refused at the cost of a connection). When the service recovers, their calls spread
//! evenly over 1.5 s.

use std::time::Duration;

/// Longest time for a change to reach the balancer, once the discovery service has it and can be reached.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// Part of [`PROPAGATION_LIMIT`] that every sequence of steps leaves unused.
pub const PROPAGATION_RESERVE: Duration = Duration::from_millis(200);
/// Time after which an embedder gives up an unanswered call, closes its connection and reports a failure. A
/// service that handles calls in order rejects a call that would wait for over 2 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without a message after which a watch is broken; a working watch sends a message every 2 s.
pub const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2750);
/// Longest backoff after a call that timed out, or after the end of a watch.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff after calls that were refused immediately, regardless of their number.
pub const MAX_BACKOFF: Duration = Duration::from_millis(1500);
/// Longest interval after which a call without any response is repeated.
pub const MAX_CALL_INTERVAL: Duration = Duration::from_millis(3000);
/// Longest interval after which an unanswered call is repeated, as a share of the poll interval.
const MAX_CALL_INTERVAL_SHARE: f64 = 0.8;
/// Longest delay of a new balancer's first call, which spreads the calls of balancers that start together.
pub const MAX_INITIAL_DELAY: Duration = Duration::from_secs(1);

/// Returns the longest interval after which a call without any response is repeated. Without a watch, a
/// balancer may rely on its list for one poll interval from its last call; afterwards each change has to
/// arrive within one poll interval of being made. The answers of a service slower than that are missed.
pub fn call_interval(poll_interval: Duration) -> Duration {
    MAX_CALL_INTERVAL.min(poll_interval.mul_f64(MAX_CALL_INTERVAL_SHARE))
}

/// Returns the longest delay of a new balancer's first call, for a poll interval.
pub fn initial_delay(poll_interval: Duration) -> Duration {
    MAX_INITIAL_DELAY.min(poll_interval / 10)
}

const fn is_within_limit(steps: [Duration; 3]) -> bool {
    let total = steps[0].as_millis() + steps[1].as_millis() + steps[2].as_millis();
    total + PROPAGATION_RESERVE.as_millis() <= PROPAGATION_LIMIT.as_millis()
}

const _: () = assert!(
    is_within_limit([CALL_TIMEOUT, INITIAL_BACKOFF, CALL_TIMEOUT]),
    "a hung call exceeds the propagation limit"
);
const _: () = assert!(
    is_within_limit([WATCH_IDLE_TIMEOUT, INITIAL_BACKOFF, CALL_TIMEOUT]),
    "a silent watch exceeds the propagation limit"
);
const _: () = assert!(
    is_within_limit([MAX_BACKOFF, MAX_BACKOFF, CALL_TIMEOUT]),
    "refused calls exceed the propagation limit"
);
// If the poll interval is long enough, no call is repeated before its timeout despite a jitter of a tenth.
const _: () = assert!(MAX_CALL_INTERVAL.as_millis() * 9 / 10 >= CALL_TIMEOUT.as_millis());
const _: () =
    assert!(MAX_CALL_INTERVAL.as_millis() >= (CALL_TIMEOUT.as_millis() + INITIAL_BACKOFF.as_millis()));
