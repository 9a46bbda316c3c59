//! Check for a response that repeats an earlier one on its connection: it may be a second response to that
//! request, which crossed the request in flight.

use crate::parts::attempt::reply::Reply;
use crate::parts::connection::Connection;
use crate::parts::upstream::{Upstream, Upstreams};
use maplehook_core::repeated_responses::RepeatPolicy;
use std::time::Duration;
use tokio::time::Instant;

impl Upstreams {
    /// Returns false if the response belongs to an earlier request on its connection. A suspicious response
    /// is held: the true one follows it. `response_time` is the time since the request.
    pub(super) async fn is_confirmed(
        &self,
        upstream: &Upstream,
        connection: &Connection,
        reply: &Reply,
        response_time: Duration,
        answer_by: Instant,
    ) -> bool {
        let Some(digest) = reply.digest() else { return true };
        let is_suspicious = connection.record_digest(digest)
            && upstream.reuse.is_suspicious(digest, &mut self.recent_responses.borrow_mut());
        if !is_suspicious {
            self.recent_responses.borrow_mut().record(digest, connection.number());
            upstream.reuse.record_response_time(response_time);
            return true;
        }
        let limit = upstream.reuse.hold_time(answer_by.saturating_duration_since(Instant::now()));
        tracing::debug!(connection = connection.number(), ?limit, "response held: it repeats an earlier one");
        let is_silent = !connection.ends_within(limit).await;
        let has_shown_unsolicited_data = upstream.reuse.has_shown_unsolicited_data();
        let is_served = is_silent
            && RepeatPolicy::is_served_after_silence(
                has_shown_unsolicited_data,
                &self.recent_responses.borrow(),
            );
        if !is_served {
            self.tally.responses_held.increment("discarded");
            return false;
        }
        self.tally.responses_held.increment("served");
        upstream.reuse.record_false_suspicion();
        self.recent_responses.borrow_mut().record_common(digest, connection.number());
        true
    }
}
