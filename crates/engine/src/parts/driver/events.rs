//! Events of the driver: what the decision module is told, and in which order.

use super::{Core, Driver};
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt::AttemptResult;
use crate::source::{EndpointUpdate, Reachability};
use maplehook_core::{
    AttemptNo, Event, LearnedState, Outcome, RequestId, Settings, TenantId, TimerId, TrafficSplit,
    UpdateScope, UpstreamId,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Event that the driver applies.
pub(super) enum DriverEvent {
    EndpointsUpdated(EndpointUpdate),
    /// The address of the endpoint source has changed.
    DiscoveryMoved,
    RequestReceived(RequestId),
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// Part of an answer to this attempt has arrived, and is held.
    AnswerProgress(RequestId, AttemptNo),
    /// The body of this attempt has started to stream.
    UploadStarted(RequestId, AttemptNo),
    /// A streamed response has ended.
    StreamEnded(RequestId, AttemptNo, Outcome),
    ProbeEnded(UpstreamId, Duration, AttemptResult),
    ClientGone(RequestId),
    /// Nobody waits for the answer, which is kept if there is one.
    Unattended(RequestId),
    Timer(TimerId),
    SettingsChanged(Box<Settings>, Vec<TenantId>),
    TrafficSplitChanged(Option<Box<TrafficSplit>>),
    LearnedStateRestored(Box<LearnedState>),
}

impl Driver {
    /// Applies one event to the decision module and performs the resulting actions.
    pub(super) fn apply_event(self: &Rc<Self>, core: &mut Core, event: DriverEvent) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        match event {
            DriverEvent::EndpointsUpdated(update) => {
                let listed = self.apply_endpoint_update(&update);
                if !listed.is_empty() || matches!(update.scope, UpdateScope::Full | UpdateScope::Changes) {
                    self.has_list.send_replace(true);
                }
                let event = Event::EndpointUpdate { scope: update.scope, endpoints: &listed };
                core.balancer.handle(now, event, &mut actions);
                if update.scope == UpdateScope::Full {
                    self.full_lists.send_modify(|count| *count += 1);
                }
            }
            DriverEvent::DiscoveryMoved => core.balancer.handle(now, Event::DiscoveryMoved, &mut actions),
            DriverEvent::RequestReceived(id) => {
                let Some(request) = core.requests.get(&id) else { return };
                let context = &request.context;
                let event = Event::Request {
                    id,
                    class: context.class,
                    tenant: context.tenant,
                    time_left: context.deadline.saturating_duration_since(Instant::now()),
                    work_ms: context.work_ms,
                    is_repeat: context.repeat,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::AttemptEnded(id, no, result) => {
                let Some(request) = core.requests.get_mut(&id) else { return };
                // Each attempt reports one event: a cancelled attempt may already have ended on its own.
                let Some(attempt) = request.attempts.get_mut(usize::from(no.0)).filter(|a| a.in_flight)
                else {
                    return;
                };
                let (upstream, latency) = (attempt.upstream, attempt.sent.elapsed());
                tracing::debug!(
                    id = id.0,
                    no = no.0,
                    upstream = upstream.0,
                    ?latency,
                    outcome = result.outcome.name(),
                    "attempt ended"
                );
                match result.outcome {
                    Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Overloaded => {
                        self.source.record_reachability(upstream, Reachability::Answered);
                    }
                    Outcome::ConnectFailed => {
                        self.source.record_reachability(upstream, Reachability::Unreachable)
                    }
                    _ => {}
                }
                let is_streaming =
                    matches!(&result.response, Some(UpstreamResponse { body: ResponseBody::Stream(_), .. }));
                if is_streaming && request.reply.is_some() {
                    let latency = attempt.answer_began_at.map_or(latency, |at| at - attempt.sent);
                    let latency = (!std::mem::replace(&mut attempt.is_streaming, true)).then_some(latency);
                    self.deliver_response(request, id, no, upstream, result.response);
                    let event = Event::StreamStarted { id, attempt: no, latency };
                    core.balancer.handle(now, event, &mut actions);
                    self.remove_if_finished(core, id);
                    self.perform_all(core, actions);
                    return;
                }
                attempt.end(result.outcome);
                self.upstreams.tally.attempts_ended.increment(result.outcome.name());
                // The response of a losing hedge is dropped, since the request is already answered.
                if request.reply.is_some() {
                    self.deliver_response(request, id, no, upstream, result.response);
                    request.last_error = result
                        .error_response
                        .map(|response| (response, upstream))
                        .or(request.last_error.take());
                }
                let is_answered = request.reply.is_none();
                let event = Event::AttemptEnded {
                    id,
                    attempt: no,
                    upstream,
                    outcome: result.outcome,
                    latency,
                    is_finished: is_answered,
                    report: &result.load_report,
                };
                core.balancer.handle(now, event, &mut actions);
                self.remove_if_finished(core, id);
            }
            DriverEvent::AnswerProgress(id, no) => {
                let Some(request) = core.requests.get_mut(&id) else { return };
                let Some(attempt) = request.attempts.get_mut(usize::from(no.0)) else { return };
                attempt.answer_began_at.get_or_insert_with(Instant::now);
                core.balancer.handle(now, Event::AnswerProgress { id, attempt: no }, &mut actions);
            }
            DriverEvent::UploadStarted(id, no) => {
                let Some(request) = core.requests.get_mut(&id) else { return };
                let Some(attempt) = request.attempts.get_mut(usize::from(no.0)).filter(|a| a.in_flight)
                else {
                    return;
                };
                if !std::mem::replace(&mut attempt.is_streaming, true) {
                    let event = Event::StreamStarted { id, attempt: no, latency: None };
                    core.balancer.handle(now, event, &mut actions);
                }
            }
            DriverEvent::StreamEnded(id, no, outcome) => {
                let Some(request) = core.requests.get_mut(&id) else { return };
                let Some(attempt) = request.attempts.get_mut(usize::from(no.0)).filter(|a| a.in_flight)
                else {
                    return;
                };
                attempt.end(outcome);
                self.upstreams.tally.attempts_ended.increment(outcome.name());
                let (upstream, latency) = (attempt.upstream, attempt.sent.elapsed());
                let event = Event::AttemptEnded {
                    id,
                    attempt: no,
                    upstream,
                    outcome,
                    latency,
                    is_finished: true,
                    report: &[],
                };
                core.balancer.handle(now, event, &mut actions);
                self.remove_if_finished(core, id);
            }
            DriverEvent::ProbeEnded(upstream, latency, result) => {
                let event = Event::ProbeEnded {
                    upstream,
                    outcome: result.outcome,
                    latency,
                    report: &result.load_report,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::ClientGone(id) => {
                let Some(request) = core.requests.get_mut(&id) else { return };
                if request.abandon() {
                    tracing::debug!(id = id.0, "client closed its connection");
                    core.balancer.handle(now, Event::RequestCancelled { id }, &mut actions);
                }
                self.remove_if_finished(core, id);
            }
            DriverEvent::Unattended(id) => {
                let Some(request) = core.requests.get_mut(&id) else { return };
                if request.end_unattended() {
                    tracing::debug!(id = id.0, "nobody waits for the request, and nothing of it runs");
                    core.balancer.handle(now, Event::RequestCancelled { id }, &mut actions);
                }
                self.remove_if_finished(core, id);
            }
            DriverEvent::LearnedStateRestored(learned) => {
                core.balancer.handle(now, Event::LearnedStateRestored { learned: &learned }, &mut actions);
            }
            DriverEvent::SettingsChanged(settings, removed_tenants) => {
                self.upstreams.update_settings(&settings);
                let event = Event::SettingsChanged { settings: &settings, removed_tenants: &removed_tenants };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::TrafficSplitChanged(split) => {
                let event = Event::TrafficSplit { split: split.as_deref() };
                core.balancer.handle(now, event, &mut actions);
            }
            DriverEvent::Timer(timer) => core.balancer.handle(now, Event::Timer { timer }, &mut actions),
        }
        self.perform_all(core, actions);
    }
}
