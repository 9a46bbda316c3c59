//! Driver of the decision module and sole owner of the `Balancer`. It translates I/O into events and performs
//! the actions of the module in order. It makes no decisions itself.
//!
//! Events go through a queue and are applied one at a time, so that the module is never reentered; tasks only
//! append to the queue.

mod actions;
mod clock;
mod in_flight;
mod localities;
mod pending;

use clock::Clock;
use in_flight::InFlightRequest;
pub use localities::{ConnectStats, Observations};
pub use pending::PendingAnswer;

use crate::label::Label;
use crate::ledger::IdentityConflict;
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt::{AttemptResult, OutboundRequest};
use crate::parts::attempt_limits::Presence;
use crate::parts::upstream::Upstreams;
use crate::source::{EndpointUpdate, Reachability, Source};
use maplehook_core::{
    Action, AttemptNo, Balancer, ClassId, Event, LearnedState, Outcome, RequestId, Settings, TenantId,
    TimerId, TrafficSplit, UpdateScope, UpstreamCounts, UpstreamId,
};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// An upstream's response.
    Served(UpstreamResponse),
    /// The request did not run. It can be retried, after the given delay if there is one.
    Rejected(Option<Duration>),
    /// The request may have run.
    Failed,
    /// The request did not run and must not: its id or key belongs to another request.
    Conflict(IdentityConflict),
}

/// Attempts and upstream behind an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Number of attempts that were started.
    pub attempts: u8,
    /// Upstream that provided the response.
    pub upstream: Option<UpstreamId>,
}

/// Client request with the attributes that the decision module uses.
pub struct RequestContext {
    /// Class that sets the deadline and the retry rules.
    pub class: ClassId,
    /// Tenant that the request is charged to.
    pub tenant: TenantId,
    /// Time at which the client stops waiting.
    pub deadline: Instant,
    /// Expected work in milliseconds, if the client announced it.
    pub work_ms: Option<f64>,
    /// True if the client marked the request as a retry.
    pub repeat: bool,
    /// Request to forward to an upstream.
    pub outgoing: OutboundRequest,
    /// Request label of the client, for the log.
    pub label: Label,
    /// Connection state of the client, if no attempt may start after the client has closed.
    pub presence: Option<Presence>,
}

enum DriverEvent {
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
    Timer(TimerId),
    SettingsChanged(Box<Settings>, Vec<TenantId>),
    TrafficSplitChanged(Option<Box<TrafficSplit>>),
    LearnedStateRestored(Box<LearnedState>),
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, InFlightRequest>,
    actions: Vec<Action>,
    next_id: u32,
}

/// Interval for updating the gauges of the endpoint list.
const GAUGE_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Driver of one `Balancer`.
pub struct Driver {
    clock: Clock,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<DriverEvent>>,
    is_applying: Cell<bool>,
    upstreams: Rc<Upstreams>,
    source: Rc<dyn Source>,
    watch_task: RefCell<Option<AbortHandle>>,
    /// True if the list is pushed by a local agent; a watch that ends is then restarted by the driver.
    is_list_pushed: Cell<bool>,
    /// True once a list is known.
    has_list: watch::Sender<bool>,
    /// Number of full lists that the decision module has received.
    full_lists: watch::Sender<u64>,
    /// True once all attempts must end.
    abort: watch::Sender<bool>,
}

impl Driver {
    /// Creates a driver that starts with the endpoint list known in advance.
    pub fn start(
        balancer: Balancer,
        upstreams: Rc<Upstreams>,
        source: Rc<dyn Source>,
        known: EndpointUpdate,
    ) -> Rc<Self> {
        let core = Core { balancer, requests: FxHashMap::default(), actions: Vec::new(), next_id: 0 };
        let driver = Rc::new(Self {
            clock: Clock::start(),
            core: RefCell::new(core),
            queue: RefCell::default(),
            is_applying: Cell::new(false),
            upstreams,
            source,
            watch_task: RefCell::default(),
            is_list_pushed: Cell::new(false),
            has_list: watch::Sender::new(false),
            full_lists: watch::Sender::new(0),
            abort: watch::Sender::new(false),
        });
        let gauges = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                gauges.update_list_gauges();
                sleep(GAUGE_UPDATE_INTERVAL).await;
            }
        });
        let sweeper = Rc::clone(&driver);
        spawn_local(async move { sweeper.upstreams.run_idle_sweep().await });
        driver.handle_event(DriverEvent::EndpointsUpdated(known));
        driver
    }

    /// Updates the list gauges from the decision module.
    fn update_list_gauges(&self) {
        let UpstreamCounts { listed, avoided } = self.core.borrow().balancer.upstream_counts();
        let gauge_value = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.upstreams.tally.cluster_size.set(gauge_value(listed));
        self.upstreams.tally.cluster_unhealthy.set(gauge_value(avoided));
    }

    /// Submits a request to the decision module. The result yields the final answer; dropping it earlier
    /// means that the client has closed.
    pub fn submit(self: &Rc<Self>, context: RequestContext) -> PendingAnswer {
        let (reply, answer) = oneshot::channel();
        let id = {
            let core = &mut *self.core.borrow_mut();
            // Ids wrap around after 2^32 requests, so an id in use is not assigned again.
            let id = RequestId(core.next_id);
            core.next_id = core.next_id.wrapping_add(1);
            tracing::debug!(id = id.0, label = %context.label, class = context.class.0, "request accepted");
            let dedup_window = self.upstreams.dedup_window(context.class);
            let request = InFlightRequest::new(context, reply, dedup_window);
            core.requests.insert(id, request);
            id
        };
        self.handle_event(DriverEvent::RequestReceived(id));
        PendingAnswer::new(Rc::clone(self), id, answer)
    }

    /// Applies new settings; see [`Event::SettingsChanged`].
    pub fn update_settings(self: &Rc<Self>, settings: Settings, removed_tenants: Vec<TenantId>) {
        self.handle_event(DriverEvent::SettingsChanged(Box::new(settings), removed_tenants));
    }

    /// Restores the learned state of the previous process.
    pub fn restore_learned_state(self: &Rc<Self>, learned: LearnedState) {
        self.handle_event(DriverEvent::LearnedStateRestored(Box::new(learned)));
    }

    /// Returns the learned state for the next process.
    pub fn learned_state(&self) -> LearnedState {
        self.core.borrow().balancer.learned_state()
    }

    /// Waits until a list is known, even if it is empty.
    pub async fn wait_for_list(&self) {
        let _ = self.has_list.subscribe().wait_for(|has_list| *has_list).await;
    }

    /// Returns a receiver for the number of full lists that reached the decision module. It shows when a
    /// changed list takes effect.
    pub fn full_list_count(&self) -> watch::Receiver<u64> {
        self.full_lists.subscribe()
    }

    /// Returns the time on the decision module's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Ends all attempts, in flight and future, so that the module gives every open request its final answer
    /// before the process ends.
    pub fn abort_attempts(&self) {
        self.abort.send_replace(true);
    }

    /// Queues an event and, unless a caller up the stack is doing so, applies all queued events.
    fn handle_event(self: &Rc<Self>, event: DriverEvent) {
        self.queue.borrow_mut().push_back(event);
        if self.is_applying.replace(true) {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { break };
            self.apply_event(&mut self.core.borrow_mut(), next);
        }
        self.is_applying.set(false);
    }

    /// Applies one event to the decision module and performs the resulting actions.
    fn apply_event(self: &Rc<Self>, core: &mut Core, event: DriverEvent) {
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
