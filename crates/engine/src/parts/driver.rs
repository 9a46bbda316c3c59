//! Driver of the decision module and sole owner of the `Balancer`. It translates I/O into events and performs
//! the actions of the module in order. It makes no decisions itself.
//!
//! Events go through a queue and are applied one at a time, so that the module is never reentered; tasks only
//! append to the queue.

mod actions;
mod clock;
mod events;
mod in_flight;
mod localities;
mod pending;

use clock::Clock;
use events::DriverEvent;
use in_flight::InFlightRequest;
pub use localities::{ConnectStats, Observations};
pub use pending::PendingAnswer;

use crate::label::Label;
use crate::ledger::IdentityConflict;
use crate::parts::answer::UpstreamResponse;
use crate::parts::attempt::OutboundRequest;
use crate::parts::attempt_limits::Presence;
use crate::parts::upstream::Upstreams;
use crate::source::{EndpointUpdate, Source};
use maplehook_core::{
    Action, Balancer, ClassId, LearnedState, RequestId, Settings, TenantId, UpstreamCounts, UpstreamId,
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
    /// Whether somebody waits for the answer; no attempt begins once nobody does.
    pub presence: Option<Presence>,
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

    /// Ends a request that nobody waits for, unless something of it runs: that goes on, and its answer may be kept.
    pub fn end_unattended(self: &Rc<Self>, id: RequestId) {
        self.handle_event(DriverEvent::Unattended(id));
    }

    /// Applies new settings; see [`maplehook_core::Event::SettingsChanged`].
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
}
