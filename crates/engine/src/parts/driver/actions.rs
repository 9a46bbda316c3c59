//! Performs the actions of the decision module, in order.

use super::in_flight::{Attempt, InFlightRequest};
use super::{Answer, Core, Driver, DriverEvent, Trace};
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt_limits::ProgressObserver;
use crate::parts::body::Payload;
use crate::source::EndpointUpdate;
use maplehook_core::{Action, AttemptNo, Endpoint, Outcome, RequestId, UpdateScope, UpstreamId};
use rustc_hash::FxHashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Delay before the watch on a pushed list is restarted. The agent is local, so frequent restarts are cheap.
const WATCH_RESTART_DELAY: Duration = Duration::from_millis(50);

impl Driver {
    pub(super) fn perform_all(self: &Rc<Self>, core: &mut Core, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            self.perform(core, action);
        }
        core.actions = actions;
    }

    /// Sends a final response, if there is one, to the waiting client. The outcome of a streamed response is
    /// reported later.
    pub(super) fn deliver_response(
        self: &Rc<Self>,
        request: &mut InFlightRequest,
        id: RequestId,
        no: AttemptNo,
        upstream: UpstreamId,
        response: Option<UpstreamResponse>,
    ) {
        let Some(mut response) = response else { return };
        let Some(reply) = request.take_reply() else { return };
        tracing::debug!(id = id.0, no = no.0, upstream = upstream.0, "response delivered");
        if let ResponseBody::Stream(stream) = &mut response.body {
            let driver = Rc::clone(self);
            stream.set_lifecycle(Rc::clone(&request.lifecycle));
            stream.on_end(Box::new(move |outcome| {
                driver.handle_event(DriverEvent::StreamEnded(id, no, outcome));
            }));
        }
        let trace = Trace { attempts: request.attempts.len() as u8, upstream: Some(upstream) };
        // The receiver is gone if the client has just closed.
        let _ = reply.send((Answer::Served(response), trace));
    }

    /// Applies an update to the connections and converts it for the decision module.
    pub(super) fn apply_endpoint_update(&self, update: &EndpointUpdate) -> Vec<Endpoint> {
        if matches!(update.scope, UpdateScope::Full | UpdateScope::Cached) {
            let ids: FxHashSet<UpstreamId> = update.entries.iter().map(|e| e.id).collect();
            self.upstreams.retain_listed(|id| ids.contains(&id));
        }
        let listed = update.entries.iter().map(|entry| {
            self.upstreams.update_endpoint(entry.id, entry.zone, &entry.state);
            Endpoint {
                id: entry.id,
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                availability: entry.state.availability,
                weight: entry.weight,
                started: self.clock.convert_unix_ms(entry.state.boot_ms),
            }
        });
        listed.collect()
    }

    fn perform(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Attempt { id, upstream, timeout } => self.start_attempt(core, id, upstream, timeout),
            Action::Cancel { id, attempt } => {
                let target =
                    core.requests.get(&id).and_then(|request| request.attempts.get(usize::from(attempt.0)));
                if let Some(target) = target.filter(|a| a.in_flight) {
                    target.task.abort();
                    let cancelled = DriverEvent::AttemptEnded(id, attempt, Outcome::Cancelled.into());
                    self.queue.borrow_mut().push_back(cancelled);
                }
            }
            Action::Reject { id, retry_after } => {
                self.deliver_answer(core, id, Answer::Rejected(retry_after))
            }
            Action::Fail { id } => self.deliver_answer(core, id, Answer::Failed),
            Action::Timer { after, timer } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(after).await;
                    driver.handle_event(DriverEvent::Timer(timer));
                });
            }
            Action::WatchEndpoints => self.start_watch(),
            Action::FetchEndpoints => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    let update = driver.source.fetch().await;
                    driver.handle_event(DriverEvent::EndpointsUpdated(update));
                });
            }
            Action::CloseIdle { upstream } => self.upstreams.close_idle(upstream),
            Action::Probe { upstream } => {
                let (driver, sent) = (Rc::clone(self), Instant::now());
                spawn_local(async move {
                    let result = driver.upstreams.probe(upstream).await;
                    driver.handle_event(DriverEvent::ProbeEnded(upstream, sent.elapsed(), result));
                });
            }
            Action::Log { line } => tracing::info!("{line}"),
        }
    }

    pub(super) fn start_watch(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        let watch = spawn_local(async move {
            let mut report = |update| driver.handle_event(DriverEvent::EndpointsUpdated(update));
            driver.source.watch(&mut report).await;
            while driver.is_list_pushed.get() {
                sleep(WATCH_RESTART_DELAY).await;
                driver.source.watch(&mut report).await;
            }
        });
        // The old watch is aborted without a report: a planned change of address is no failure, and late data
        // from the old address must not undo the change.
        if let Some(previous) = self.watch_task.borrow_mut().replace(watch.abort_handle()) {
            previous.abort();
        }
    }

    /// Follows a list that is pushed to an agent on this machine. The decision module never requests the list
    /// in this mode, and everything that the agent holds counts as delivered. The watch therefore starts at
    /// once and is restarted soon after each end.
    pub fn follow_pushed_list(self: &Rc<Self>) {
        self.is_list_pushed.set(true);
        self.start_watch();
    }

    /// Restarts the watch after the address of the source changed. Calls to the old address are abandoned
    /// without a report. The new address is called at once, whether a call was in flight, a retry was
    /// scheduled, or a watch was open.
    pub fn restart_watch(self: &Rc<Self>) {
        if self.is_list_pushed.get() {
            self.start_watch();
            return;
        }
        if let Some(previous) = self.watch_task.take() {
            previous.abort();
        }
        self.handle_event(DriverEvent::DiscoveryMoved);
    }

    fn start_attempt(
        self: &Rc<Self>,
        core: &mut Core,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(request) = core.requests.get_mut(&id) else { return };
        let (sent, no) = (Instant::now(), AttemptNo(request.attempts.len() as u8));
        // A streaming body has its own timeouts.
        let timeout = timeout.filter(|_| matches!(request.context.outgoing.body, Payload::Buffered(_)));
        let answer_by = timeout.map_or(request.context.deadline, |t| request.context.deadline.min(sent + t));
        let limits = request.attempt_limits(answer_by, self.upstreams.dedup_window(request.context.class));
        let observed = Rc::downgrade(self);
        let limits =
            limits.with_deadline(request.context.deadline).with_progress(ProgressObserver::new(move || {
                if let Some(driver) = observed.upgrade() {
                    driver.handle_event(DriverEvent::AnswerProgress(id, no));
                }
            }));
        let (driver, context, task_limits) = (Rc::clone(self), Rc::clone(&request.context), limits.clone());
        let mut abort = self.abort.subscribe();
        let task = spawn_local(async move {
            let result = if *abort.borrow() {
                Outcome::NotSent.into()
            } else {
                let upload_started = async {
                    if let Payload::Upload(upload) = &context.outgoing.body {
                        upload.wait_until_started().await;
                        driver.handle_event(DriverEvent::UploadStarted(id, no));
                    }
                    std::future::pending().await
                };
                tokio::select! {
                    biased;
                    () = upload_started => return,
                    result = driver.upstreams.attempt(upstream, &context.outgoing, task_limits.clone()) => result,
                    _ = abort.wait_for(|abort| *abort) => {
                        if task_limits.has_started() { Outcome::TimedOut.into() } else { Outcome::NotSent.into() }
                    }
                }
            };
            driver.handle_event(DriverEvent::AttemptEnded(id, no, result));
        });
        if no.0 > 0 {
            self.upstreams.tally.retries.inc();
            if request.is_unattended() {
                self.queue.borrow_mut().push_back(DriverEvent::Unattended(id));
            }
        }
        tracing::debug!(id = id.0, no = no.0, upstream = upstream.0, "attempt started");
        request.attempts.push(Attempt::new(upstream, sent, limits, task.abort_handle()));
    }

    fn deliver_answer(&self, core: &mut Core, id: RequestId, answer: Answer) {
        if let Some(request) = core.requests.get_mut(&id)
            && let Some(reply) = request.take_reply()
        {
            let attempts = request.attempts.len() as u8;
            tracing::debug!(id = id.0, attempts, ?answer, "request ended without a response");
            // No attempt is left: an upstream's error response explains the failure better than a local one.
            let answer = match request.last_error.take() {
                Some((error_response, upstream)) => {
                    (Answer::Served(error_response), Trace { attempts, upstream: Some(upstream) })
                }
                None => (answer, Trace { attempts, upstream: None }),
            };
            let _ = reply.send(answer);
        }
        self.remove_if_finished(core, id);
    }

    /// Removes a request that has its answer and no attempt in flight. Attempts of an answered request that
    /// have written nothing are aborted, even if the settings forbid cancellation: without a written byte
    /// there is nothing to cancel.
    pub(super) fn remove_if_finished(&self, core: &mut Core, id: RequestId) {
        for (index, attempt) in core.requests.get(&id).iter().flat_map(|request| request.unwritten_attempts())
        {
            attempt.task.abort();
            let result = DriverEvent::AttemptEnded(id, AttemptNo(index as u8), Outcome::Cancelled.into());
            self.queue.borrow_mut().push_back(result);
        }
        let is_finished = |request: &InFlightRequest| {
            request.reply.is_none() && request.attempts.iter().all(|a| !a.in_flight)
        };
        if core.requests.get(&id).is_some_and(is_finished) {
            core.requests.remove(&id);
        }
    }
}
