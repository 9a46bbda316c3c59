//! Reuse of the connections to one upstream: applies the decisions of [`maplehook_core::connection_reuse`] and
//! [`maplehook_core::repeated_responses`].

use crate::metrics::ReasonCounters;
use crate::parts::connection::Connection;
use crate::parts::unsolicited::{UnsolicitedData, UnsolicitedKind, UnsolicitedLog, UnsolicitedObserver};
use maplehook_core::UpstreamId;
use maplehook_core::connection_reuse::{ReusePolicy, UnsolicitedSign};
use maplehook_core::repeated_responses::{RecentResponses, RepeatPolicy};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What an attempt did because no idle connection had rested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestEffect {
    /// It waited for the rest of a connection.
    Waited,
    /// It opened another connection.
    Opened,
    /// Connections to the upstream are not reused.
    NotReused,
}

impl RestEffect {
    fn name(self) -> &'static str {
        match self {
            Self::Waited => "waited",
            Self::Opened => "opened",
            Self::NotReused => "not_reused",
        }
    }
}

/// Decides for one upstream when its connections are reused, from the unsolicited data that they reported.
pub(crate) struct ReuseGuard {
    upstream: UpstreamId,
    policy: RefCell<ReusePolicy>,
    repeats: RefCell<RepeatPolicy>,
    created_at: Instant,
    log: Rc<UnsolicitedLog>,
    effects: ReasonCounters,
}

impl ReuseGuard {
    /// Creates the guard of an upstream that has shown nothing yet.
    pub(crate) fn new(upstream: UpstreamId, log: Rc<UnsolicitedLog>, effects: ReasonCounters) -> Rc<Self> {
        Rc::new(Self {
            upstream,
            policy: RefCell::default(),
            repeats: RefCell::default(),
            created_at: Instant::now(),
            log,
            effects,
        })
    }

    /// Returns the time from a response to the next request, or `None` if connections are not reused.
    pub(crate) fn rest(&self) -> Option<Duration> {
        self.policy.borrow().rest()
    }

    /// Returns true once the upstream has sent data that no request asked for.
    pub(crate) fn has_shown_unsolicited_data(&self) -> bool {
        self.policy.borrow().has_shown_unsolicited_data()
    }

    /// Waits until a new connection may carry its first request; returns false if it was closed meanwhile.
    pub(crate) async fn rest_new(&self, connection: &Connection) -> bool {
        let rest = self.policy.borrow().rest_of_new_connection();
        if rest.is_zero() {
            return true;
        }
        sleep(rest).await;
        if connection.is_closed() {
            return false;
        }
        self.policy.borrow_mut().record_quiet_start();
        true
    }

    /// Returns true if an attempt should wait for `remaining_rest` instead of opening a connection.
    pub(crate) fn may_wait(&self, remaining_rest: Duration) -> bool {
        self.policy.borrow_mut().may_wait(self.created_at.elapsed(), remaining_rest)
    }

    /// Returns true if a response that equals the one before on its connection has to be held.
    pub(crate) fn is_suspicious(&self, digest: u64, recent: &mut RecentResponses) -> bool {
        self.repeats.borrow().is_suspicious(digest, recent, self.has_shown_unsolicited_data())
    }

    /// Records the time from a request to its response.
    pub(crate) fn record_response_time(&self, time: Duration) {
        self.repeats.borrow_mut().record_response_time(time);
    }

    /// Returns how long a suspicious response is held.
    pub(crate) fn hold_time(&self, time_left: Duration) -> Duration {
        self.repeats.borrow().hold_time(time_left)
    }

    /// Records that a held response was true.
    pub(crate) fn record_false_suspicion(&self) {
        self.repeats.borrow_mut().record_false_suspicion();
    }

    /// Counts and logs what an attempt did for lack of a rested connection.
    pub(crate) fn record_effect(&self, effect: RestEffect, remaining_rest: Duration) {
        self.effects.increment(effect.name());
        tracing::debug!(
            upstream = self.upstream.0,
            effect = effect.name(),
            ?remaining_rest,
            "no rested connection"
        );
    }
}

impl UnsolicitedObserver for ReuseGuard {
    fn unsolicited_data(&self, data: &UnsolicitedData) {
        self.log.record(self.upstream, data);
        let after_response =
            UnsolicitedSign::AfterResponse { delay: data.delay, is_first: data.responses <= 1 };
        let sign = match data.kind {
            // Regular behaviour of servers that close idle connections.
            UnsolicitedKind::TimeoutNotice => return,
            UnsolicitedKind::BeforeFirstRequest => UnsolicitedSign::BeforeFirstRequest,
            UnsolicitedKind::Idle
            | UnsolicitedKind::BehindResponse
            | UnsolicitedKind::RepeatedResponse
            | UnsolicitedKind::BeforeRequestEnd => after_response,
        };
        self.policy.borrow_mut().record(sign);
    }
}
