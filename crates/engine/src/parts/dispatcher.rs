//! Dispatcher: the entry point for requests. A request that must not run twice and has an identity goes
//! through the ledger.

use crate::ledger::{
    Bounds, BoundsError, EntryId, FinalAnswer, Fingerprint, Identity, Ledger, OpenResult, Waiter,
};
use crate::metrics::{Metrics, RequestMetrics};
use crate::parts::answer::{ResponseBody, UpstreamResponse, record_broken_answer};
use crate::parts::attempt::OutboundRequest;
use crate::parts::attempt_limits::Presence;
use crate::parts::body::Payload;
use crate::parts::buffer_memory::{BufferMemory, MemoryReservation};
use crate::parts::driver::{Answer, Driver, RequestContext, Trace};
use hyper::http::uri::PathAndQuery;
use maplehook_core::RequestId;
use maplehook_core::request_lifecycle::BrokenAnswer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Retry delay sent to a client when the ledger is full.
const LEDGER_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

type TracedAnswer = (Answer, Trace);

/// Response as the ledger stores it.
struct StoredResponse {
    response: UpstreamResponse,
    trace: Trace,
}

impl StoredResponse {
    fn to_answer(&self) -> TracedAnswer {
        self.response
            .buffered_copy()
            .map_or((Answer::Failed, self.trace), |response| (Answer::Served(response), self.trace))
    }
}

/// Entry point for requests; counts them and deduplicates them by identity.
pub struct Dispatcher {
    driver: Rc<Driver>,
    counting: Rc<RequestMetrics>,
    ledger: RefCell<Ledger<Rc<StoredResponse>>>,
    /// Key of the fingerprints, which no client knows.
    fingerprint_key: RandomState,
    /// Memory for the entries of the ledger.
    ledger_memory: RefCell<MemoryReservation>,
    waiters: RefCell<HashMap<Waiter, WaitingCaller>>,
    /// Requests of the open entries.
    open_requests: RefCell<HashMap<EntryId, RequestId>>,
    next_waiter: Cell<Waiter>,
    in_flight: Cell<usize>,
    idle: Notify,
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard(Rc<Dispatcher>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = self.0.in_flight.get() - 1;
        self.0.in_flight.set(in_flight);
        if in_flight == 0 {
            self.0.idle.notify_waiters();
        }
    }
}

/// Caller that waits for the result of a ledger entry.
struct WaitingCaller {
    answer: oneshot::Sender<TracedAnswer>,
    /// Whether the caller still waits, where that can be seen before its future is dropped.
    presence: Option<Presence>,
}

impl WaitingCaller {
    fn is_present(&self) -> bool {
        self.presence.as_ref().is_none_or(Presence::is_present)
    }
}

/// Waiter for the result of a ledger entry; dropping the guard removes the waiter.
struct WaiterGuard {
    dispatcher: Rc<Dispatcher>,
    entry: EntryId,
    waiter: Waiter,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        if self.dispatcher.waiters.borrow_mut().remove(&self.waiter).is_none() {
            return;
        }
        let was_last = self.dispatcher.ledger.borrow_mut().remove_waiter(self.entry, self.waiter);
        let request = self.dispatcher.open_requests.borrow().get(&self.entry).copied();
        if let Some(request) = request.filter(|_| was_last) {
            self.dispatcher.driver.end_unattended(request);
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher in front of `driver`. Requests are counted in `counting`, and the ledger's entries are
    /// reserved from `memory`.
    pub fn new(
        driver: Rc<Driver>,
        counting: Rc<RequestMetrics>,
        bounds: Bounds,
        memory: &BufferMemory,
        seed: u64,
    ) -> Result<Rc<Self>, BoundsError> {
        Ok(Rc::new(Self {
            driver,
            counting,
            ledger: RefCell::new(Ledger::new(bounds, seed)?),
            fingerprint_key: RandomState::new(),
            ledger_memory: RefCell::new(memory.empty_reservation()),
            waiters: RefCell::default(),
            open_requests: RefCell::default(),
            next_waiter: Cell::new(0),
            in_flight: Cell::new(0),
            idle: Notify::new(),
        }))
    }

    /// Returns the driver that executes the requests.
    pub fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// Returns the metrics that requests are counted in.
    pub fn tally(&self) -> &Metrics {
        self.counting.metrics()
    }

    /// Counts one more request as in flight.
    pub fn track(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(Rc::clone(self))
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight.get() == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Returns the final answer to a request. Dropping the future means that the client has closed: in-flight
    /// attempts are cancelled, except for those of a request with an identity that run, so that a repeat gets
    /// the answer. No attempt begins once nobody waits.
    pub async fn dispatch(
        self: &Rc<Self>,
        request: RequestContext,
        identity: Option<Identity>,
    ) -> TracedAnswer {
        let accounting = self.counting.start_request(request.class, request.tenant);
        let (answer, trace) = self.resolve(request, identity).await;
        let mut answer = self.replace_broken(answer);
        accounting.record_answer(&mut answer);
        (answer, trace)
    }

    /// Returns a failure in the place of an answer whose body has failed before any of it was passed on.
    fn replace_broken(&self, mut answer: Answer) -> Answer {
        if let Answer::Served(UpstreamResponse { body: ResponseBody::Stream(stream), .. }) = &mut answer
            && stream.has_failed()
        {
            record_broken_answer(&self.tally().answers_broken, BrokenAnswer::Replaced);
            return Answer::Failed;
        }
        answer
    }

    async fn resolve(
        self: &Rc<Self>,
        mut request: RequestContext,
        identity: Option<Identity>,
    ) -> TracedAnswer {
        let Some(identity) = identity else { return self.driver.submit(request).answer().await };
        let (waiter, deadline) = (self.next_waiter.replace(self.next_waiter.get() + 1), request.deadline);
        let opened = self.open_entry(&identity, self.fingerprint(&request.outgoing), waiter);
        let presence = request.presence.take();
        let waiting = match opened {
            OpenResult::First(entry) => {
                let waiting = self.await_entry(entry, waiter, presence, deadline);
                self.start_entry(entry, request);
                waiting
            }
            OpenResult::Joined(entry) => self.await_entry(entry, waiter, presence, deadline),
            OpenResult::Answered(result) => return stored_answer(&result),
            OpenResult::Conflict(conflict) => return (Answer::Conflict(conflict), Trace::default()),
            OpenResult::TooManyWaiters | OpenResult::Full => {
                return (Answer::Rejected(Some(LEDGER_FULL_RETRY_AFTER)), Trace::default());
            }
        };
        waiting.await
    }

    /// Starts the request of an open entry, in a task of its own: it does not end with its first caller.
    fn start_entry(self: &Rc<Self>, entry: EntryId, mut request: RequestContext) {
        let (dispatcher, in_flight) = (Rc::clone(self), self.track());
        request.presence = Some(self.entry_presence(entry));
        spawn_local(async move {
            let (answer, trace) = if dispatcher.is_attended(entry) {
                let pending = dispatcher.driver.submit(request);
                dispatcher.open_requests.borrow_mut().insert(entry, pending.request_id());
                pending.answer().await
            } else {
                (Answer::Rejected(None), Trace::default())
            };
            dispatcher.open_requests.borrow_mut().remove(&entry);
            dispatcher.finish(entry, answer, trace);
            drop(in_flight);
        });
    }

    /// Returns the presence of an entry: it is present as long as one of its callers is.
    fn entry_presence(self: &Rc<Self>, entry: EntryId) -> Presence {
        let dispatcher = Rc::downgrade(self);
        Presence::new(move || dispatcher.upgrade().is_some_and(|dispatcher| dispatcher.is_attended(entry)))
    }

    fn is_attended(&self, entry: EntryId) -> bool {
        let (ledger, waiters) = (self.ledger.borrow(), self.waiters.borrow());
        ledger.waiters(entry).iter().any(|waiter| waiters.get(waiter).is_some_and(WaitingCaller::is_present))
    }

    /// Returns the fingerprint of a request. That of a body that streams is not known in time.
    fn fingerprint(&self, request: &OutboundRequest) -> Fingerprint {
        let Payload::Buffered(body) = &request.body else { return Fingerprint::UNKNOWN };
        let target = request.target.path_and_query().map(PathAndQuery::as_str);
        Fingerprint::new(self.fingerprint_key.hash_one((request.method.as_str(), target, &body[..])))
    }

    /// Looks up an effect in the ledger, which is full if no memory is left for another entry.
    fn open_entry(
        &self,
        identity: &Identity,
        fingerprint: Fingerprint,
        waiter: Waiter,
    ) -> OpenResult<Rc<StoredResponse>> {
        let (mut ledger, now) = (self.ledger.borrow_mut(), self.driver.now());
        let opened = ledger.open(now, identity, fingerprint, waiter);
        let mut memory = self.ledger_memory.borrow_mut();
        if let OpenResult::First(entry) = opened
            && !memory.grow_to(ledger.bytes())
        {
            ledger.complete(now, entry, FinalAnswer::Rejected, 0);
            return OpenResult::Full;
        }
        memory.release_to(ledger.bytes());
        opened
    }

    /// Makes a caller wait for the result of an entry, from now on.
    fn await_entry(
        self: &Rc<Self>,
        entry: EntryId,
        waiter: Waiter,
        presence: Option<Presence>,
        deadline: Instant,
    ) -> impl Future<Output = TracedAnswer> + use<> {
        const UNANSWERED: TracedAnswer = (Answer::Failed, Trace { attempts: 0, upstream: None });
        let (sender, answer) = oneshot::channel();
        self.waiters.borrow_mut().insert(waiter, WaitingCaller { answer: sender, presence });
        let guard = WaiterGuard { dispatcher: Rc::clone(self), entry, waiter };
        async move {
            let _guard = guard;
            tokio::select! {
                biased;
                answer = answer => answer.unwrap_or(UNANSWERED),
                // The first caller may have a later deadline than this one, so the request may have run.
                () = sleep_until(deadline + Duration::from_millis(50)) => UNANSWERED,
            }
        }
    }

    fn finish(&self, entry: EntryId, answer: Answer, trace: Trace) {
        let (result, size) = match &answer {
            Answer::Served(response) => match (response.detached_copy(), response.buffered_size()) {
                (Some(response), Some(size)) => {
                    (FinalAnswer::Served(Rc::new(StoredResponse { response, trace })), size)
                }
                _ => (FinalAnswer::ServedNotCached, 0),
            },
            Answer::Rejected(_) | Answer::Conflict(_) => (FinalAnswer::Rejected, 0),
            Answer::Failed => (FinalAnswer::Failed, 0),
        };
        // Waiters get the response even if it is too long for the ledger to store.
        let shared = result.clone();
        let waiters = self.ledger.borrow_mut().complete(self.driver.now(), entry, result, size);
        self.ledger_memory.borrow_mut().release_to(self.ledger.borrow().bytes());
        let mut answer = Some((answer, trace));
        for waiter in waiters {
            let Some(caller) = self.waiters.borrow_mut().remove(&waiter) else { continue };
            let _ = caller.answer.send(answer.take().unwrap_or_else(|| stored_answer(&shared)));
        }
    }
}

/// Returns the answer for a repeat of a finished request.
fn stored_answer(result: &FinalAnswer<Rc<StoredResponse>>) -> TracedAnswer {
    match result {
        FinalAnswer::Served(stored) => stored.to_answer(),
        FinalAnswer::ServedNotCached | FinalAnswer::Failed => (Answer::Failed, Trace::default()),
        FinalAnswer::Rejected => (Answer::Rejected(Some(LEDGER_FULL_RETRY_AFTER)), Trace::default()),
    }
}
