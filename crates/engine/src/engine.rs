//! The embeddable engine: a core on a dedicated thread, and handles that work from any runtime.
//!
//! The core runs one `Balancer`, its connections and its ledger on a current-thread runtime without locks. A
//! [`Handle`] sends commands to the core through a bounded queue. Engines share no state with one another.

mod forward_body;

use crate::call::BodyStream;
use crate::endpoint_list::EndpointList;
use crate::label::Label;
use crate::ledger::{Bounds, Identity, IdentityConflict};
use crate::metrics::{Metrics, RequestMetrics};
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt::OutboundRequest;
use crate::parts::body::{Fault, Payload, Upload, receive_body};
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::descriptors::Descriptors;
use crate::parts::dispatcher::{Dispatcher, InFlightGuard};
use crate::parts::driver::{Answer, Driver, RequestContext, Trace};
use crate::parts::upstream::{Lease, Upstreams};
use crate::source::{EndpointUpdate, Entry, Fixed, Source};
use crate::{Call, CallBody, Outcome, Rejection, RejectionReason as Reason, Reply, ReplyBody};
use forward_body::forward_body;
use hyper::Uri;
use hyper::body::Body;
use maplehook_core::{Balancer, Effect, Settings, TenantId, UpdateScope};
use maplehook_http_semantics::{Forwarding, Passage};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant as TokioInstant, sleep_until, timeout, timeout_at};

/// Length of the command queue. Calls beyond it are rejected, which is safe because they have not run.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Time for the calls still in flight at the shutdown deadline to get their final answers.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Error that prevents an engine from starting.
#[derive(Debug)]
pub struct StartError(Box<dyn Error + Send + Sync>);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to start the engine: {}", self.0)
    }
}

impl Error for StartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.0)
    }
}

type MakeSource = Box<dyn FnOnce(&Rc<Descriptors>) -> Rc<dyn Source> + Send>;

/// Configuration of an engine that is not started yet.
pub struct Builder {
    settings: Settings,
    seed: u64,
    fixed: Option<Fixed>,
    source: Option<MakeSource>,
    connections: usize,
    body_memory: usize,
    ledger: Bounds,
    passages: Option<Vec<Passage>>,
    forwarding: Forwarding,
    metrics: Arc<Metrics>,
}

impl Builder {
    /// Sets the seed of the random number generators. Balancers of one fleet need different seeds.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the initial upstreams. Without a source, the list never changes.
    pub fn upstreams(mut self, fixed: Fixed) -> Self {
        self.fixed = Some(fixed);
        self
    }

    /// Sets the source of the endpoint list. The engine's thread calls `make` and owns the source.
    pub fn source(mut self, make: impl FnOnce(&Rc<Descriptors>) -> Rc<dyn Source> + Send + 'static) -> Self {
        self.source = Some(Box::new(make));
        self
    }

    /// Limits the number of open connections to upstreams. The default is 450, the minimum is 2.
    pub fn connections(mut self, limit: usize) -> Self {
        self.connections = limit;
        self
    }

    /// Limits the bytes of buffered bodies; 16 MiB by default. Bodies that do not fit are streamed.
    pub fn body_memory(mut self, bytes: usize) -> Self {
        self.body_memory = bytes;
        self
    }

    /// Sets the forwarding rules of each class, in class order. The default is [`Passage::general`].
    pub fn passages(mut self, passages: Vec<Passage>) -> Self {
        self.passages = Some(passages);
        self
    }

    /// Sets the forwarding headers that upstreams receive about the client. By default, they receive none.
    pub fn forwarding(mut self, forwarding: Forwarding) -> Self {
        self.forwarding = forwarding;
        self
    }

    /// Sets the metrics to update, labelled by class index. By default, the engine has separate metrics.
    pub fn metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the limits of the ledger.
    pub fn ledger(mut self, bounds: Bounds) -> Self {
        self.ledger = bounds;
        self
    }

    /// Starts the engine on a new thread and waits until it runs.
    pub fn start(self) -> Result<Engine, StartError> {
        let (commands, received) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let (stopped_tx, stopped) = watch::channel(false);
        let (started_tx, started) = std::sync::mpsc::channel();
        std::thread::Builder::new()
            .name("maplehook".into())
            .spawn(move || {
                // Notifies waiters also when this thread panics; otherwise they would wait forever.
                let _stop_notifier = StopNotifier(stopped_tx);
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                match runtime {
                    Ok(runtime) => LocalSet::new().block_on(&runtime, self.run(received, &started_tx)),
                    Err(e) => drop(started_tx.send(Err(StartError(e.into())))),
                }
            })
            .map_err(|e| StartError(e.into()))?;
        let thread_ended = || StartError("its thread ended during startup".into());
        started.recv().map_err(|_| thread_ended())??;
        Ok(Engine { handle: Handle { commands, stopped } })
    }

    async fn run(
        self,
        commands: mpsc::Receiver<Command>,
        started: &std::sync::mpsc::Sender<Result<(), StartError>>,
    ) {
        match self.build_core() {
            Ok(core) => {
                let _ = started.send(Ok(()));
                core.serve(commands).await;
            }
            Err(e) => drop(started.send(Err(e))),
        }
    }

    fn build_core(mut self) -> Result<Rc<Core>, StartError> {
        let start_error = |e: Box<dyn Error + Send + Sync>| StartError(e);
        // Without this setting, the balancer expects a pushed list and never requests a fetch.
        self.settings.has_endpoint_discovery = true;
        let passages = self.passages.take().unwrap_or_else(|| {
            self.settings.classes.iter().map(|class| Passage::general(class.effect)).collect()
        });
        if passages.len() != self.settings.classes.len() {
            return Err(start_error("the number of passages must equal the number of classes".into()));
        }
        let classes = RefCell::new(class_rules(&self.settings, passages));
        let tenant_count = Cell::new(self.settings.tenants.len());
        let balancer = Balancer::new(self.settings.clone(), self.seed)
            .map_err(|e| start_error(format!("settings: {e}").into()))?;
        let descriptors = Descriptors::for_upstreams(self.connections).map_err(|e| start_error(e.into()))?;
        let (body_memory, forwarding) = (BufferMemory::new(self.body_memory), self.forwarding);
        let upstreams = Upstreams::new(
            &self.settings,
            Rc::clone(&descriptors),
            body_memory.clone(),
            forwarding.clone(),
            Arc::clone(&self.metrics),
        );
        let upstreams = Rc::new(upstreams);
        let (for_relief, for_limits) = (Rc::clone(&upstreams), Rc::clone(&upstreams));
        descriptors.add_relief(move || for_relief.close_oldest());
        descriptors.on_limits_changed(move || for_limits.apply_descriptor_limit());
        let fixed = self.fixed.unwrap_or_default();
        let known = EndpointUpdate { scope: UpdateScope::Cached, ..fixed.full_update() };
        let source = match self.source {
            Some(make) => make(&descriptors),
            None => Rc::new(fixed),
        };
        spawn_local(descriptors.watch_process_limit());
        let driver = Driver::start(balancer, Rc::clone(&upstreams), source, known);
        let class_indices: Vec<String> = (0..self.settings.classes.len()).map(|n| n.to_string()).collect();
        let request_metrics = RequestMetrics::new(self.metrics, &class_indices);
        let dispatcher = Dispatcher::new(driver, request_metrics, self.ledger, &body_memory, self.seed);
        let dispatcher = dispatcher.map_err(|e| start_error(format!("ledger: {e}").into()))?;
        Ok(Rc::new(Core { dispatcher, body_memory, forwarding, upstreams, classes, tenant_count }))
    }
}

struct StopNotifier(watch::Sender<bool>);

impl Drop for StopNotifier {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}

/// Configuration version that replaces the rules of a running engine.
#[derive(Clone, Debug)]
pub struct Version {
    /// Settings of the decision core. Classes, tenants and zones keep their indices, and none may be dropped.
    pub settings: Settings,
    /// Indices of the tenants that no longer exist.
    pub removed_tenants: Vec<TenantId>,
    /// Forwarding rules of each class, in the order of the classes.
    pub passages: Vec<Passage>,
    /// Lease that limits how long the engine may act on this version.
    pub lease: Lease,
    /// New endpoint list, if it changed. The adoption completes once the balancer has received it.
    pub list: Option<(EndpointList, Vec<Entry>)>,
}

/// Error that prevents an engine from adopting a version. The previous rules stay in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptError {
    /// The version drops classes or tenants, which would invalidate indices of calls in flight.
    ClassesOrTenantsRemoved,
    /// The number of passages differs from the number of classes.
    PassageCountMismatch,
    /// The engine has stopped.
    Stopped,
}

impl fmt::Display for AdoptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClassesOrTenantsRemoved => "the version has fewer classes or tenants than the engine",
            Self::PassageCountMismatch => "the number of passages differs from the number of classes",
            Self::Stopped => "the engine has stopped",
        })
    }
}

impl Error for AdoptError {}

enum Command {
    Adopt { version: Box<Version>, reply: oneshot::Sender<Result<(), AdoptError>> },
    Lease(Lease),
    Call { call: Box<Call>, sent: Instant, reply: oneshot::Sender<Outcome> },
    Shutdown(Instant),
}

/// A running engine. Dropping it shuts it down and gives calls in flight their final answers at once.
pub struct Engine {
    handle: Handle,
}

impl Engine {
    /// Returns a builder for an engine with these settings.
    pub fn builder(settings: Settings) -> Builder {
        Builder {
            settings,
            seed: 0,
            fixed: None,
            source: None,
            connections: 450,
            body_memory: 16 * 1024 * 1024,
            ledger: Bounds::default(),
            passages: None,
            forwarding: Forwarding::platform(),
            metrics: Arc::default(),
        }
    }

    /// Returns a handle to the engine. Handles can be cloned and used on any thread.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Shuts the engine down; see [`Handle::shutdown`].
    pub async fn shutdown(&self, within: Duration) {
        self.handle.shutdown(within).await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        // If the queue is full, the command is lost, but the core stops when the last handle is dropped.
        let _ = self.handle.commands.try_send(Command::Shutdown(Instant::now()));
    }
}

/// Handle that sends commands to an engine.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    stopped: watch::Receiver<bool>,
}

impl Handle {
    /// Sends a request to an upstream and returns its final answer. Dropping the future cancels the attempts,
    /// except for a request in the ledger, which continues so that a repeated call gets its answer.
    pub async fn call(&self, call: Call) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let command = Command::Call { call: Box::new(call), sent: Instant::now(), reply };
        if let Err(e) = self.commands.try_send(command) {
            // The core never received the call, so a rejection is safe.
            let is_full = matches!(e, mpsc::error::TrySendError::Full(_));
            return rejected(if is_full { Reason::QueueFull } else { Reason::ShuttingDown });
        }
        // The core drops the sender without an answer only if it panics. The call may have run.
        outcome.await.unwrap_or(Outcome::Failed)
    }

    /// Adopts a new version of the rules and returns when they are in force. Learned state, tokens and
    /// connections are preserved, and calls in flight keep their class and tenant indices.
    pub async fn adopt(&self, version: Version) -> Result<(), AdoptError> {
        let (reply, adopted) = oneshot::channel();
        let command = Command::Adopt { version: Box::new(version), reply };
        self.commands.send(command).await.map_err(|_| AdoptError::Stopped)?;
        adopted.await.unwrap_or(Err(AdoptError::Stopped))
    }

    /// Replaces the lease on the current rules.
    pub async fn lease(&self, lease: Lease) {
        // A stopped engine sends no attempts and needs no lease.
        let _ = self.commands.send(Command::Lease(lease)).await;
    }

    /// Rejects new calls, gives calls in flight the time `within` to complete, then sends their final answers
    /// and returns when the engine has stopped. Repeated shutdowns are one, with the earliest deadline.
    pub async fn shutdown(&self, within: Duration) {
        let mut stopped = self.stopped.clone();
        let _ = self.commands.send(Command::Shutdown(Instant::now() + within)).await;
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}

/// State of the engine's thread.
struct Core {
    dispatcher: Rc<Dispatcher>,
    body_memory: BufferMemory,
    forwarding: Forwarding,
    upstreams: Rc<Upstreams>,
    classes: RefCell<Vec<ClassRules>>,
    tenant_count: Cell<usize>,
}

#[derive(Clone)]
struct ClassRules {
    effect: Effect,
    deadline: Duration,
    passage: Rc<Passage>,
}

fn class_rules(settings: &Settings, passages: Vec<Passage>) -> Vec<ClassRules> {
    let classes = settings.classes.iter().zip(passages);
    let rules = |(class, passage): (&maplehook_core::Class, Passage)| ClassRules {
        effect: class.effect,
        deadline: class.deadline,
        passage: Rc::new(passage),
    };
    classes.map(rules).collect()
}

impl Core {
    fn adopt(self: &Rc<Self>, version: Version, reply: oneshot::Sender<Result<(), AdoptError>>) {
        let Version { mut settings, removed_tenants, passages, lease, list } = version;
        let has_removals = settings.classes.len() < self.classes.borrow().len()
            || settings.tenants.len() < self.tenant_count.get();
        let error = match passages.len() == settings.classes.len() {
            _ if has_removals => Some(AdoptError::ClassesOrTenantsRemoved),
            true => None,
            false => Some(AdoptError::PassageCountMismatch),
        };
        if let Some(error) = error {
            // The caller may have stopped waiting.
            let _ = reply.send(Err(error));
            return;
        }
        settings.has_endpoint_discovery = true;
        self.upstreams.set_lease(lease);
        let driver = self.dispatcher.driver();
        let mut full_lists = driver.full_list_count();
        let count_before = *full_lists.borrow_and_update();
        self.tenant_count.set(settings.tenants.len());
        let next_rules = class_rules(&settings, passages);
        driver.update_settings(settings, removed_tenants);
        *self.classes.borrow_mut() = next_rules;
        let list_changed = list.is_some_and(|(endpoint_list, entries)| endpoint_list.set(entries));
        spawn_local(async move {
            if list_changed {
                let _ = full_lists.wait_for(|count| *count > count_before).await;
            }
            let _ = reply.send(Ok(()));
        });
    }

    async fn serve(self: Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        let mut stop_at: Option<Instant> = None;
        loop {
            let deadline = stop_at.map(TokioInstant::from_std);
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Call { reply, .. }) if stop_at.is_some() => {
                        let _ = reply.send(rejected(Reason::ShuttingDown));
                    }
                    Some(Command::Adopt { version, reply }) => self.adopt(*version, reply),
                    Some(Command::Lease(lease)) => self.upstreams.set_lease(lease),
                    Some(Command::Call { call, sent, reply }) => Rc::clone(&self).start(*call, sent, reply),
                    Some(Command::Shutdown(at)) => stop_at = Some(stop_at.map_or(at, |first| first.min(at))),
                    // All handles are dropped.
                    None => break,
                },
                () = self.dispatcher.wait_until_idle(), if stop_at.is_some() => break,
                () = sleep_until(deadline.unwrap_or_else(TokioInstant::now)), if stop_at.is_some() => break,
            }
        }
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let Command::Call { reply, .. } = command {
                let _ = reply.send(rejected(Reason::ShuttingDown));
            }
        }
        self.dispatcher.driver().abort_attempts();
        let _ = timeout(FINAL_ANSWER_TIMEOUT, self.dispatcher.wait_until_idle()).await;
    }

    fn start(self: Rc<Self>, call: Call, sent: Instant, mut reply: oneshot::Sender<Outcome>) {
        let in_flight = self.dispatcher.track();
        spawn_local(async move {
            tokio::select! {
                biased;
                outcome = self.run_call(call, sent) => match outcome {
                    Ok((answer, trace)) => self.reply(answer, trace, reply, in_flight),
                    Err(reason) => drop(reply.send(rejected(reason))),
                },
                () = reply.closed() => {}
            }
        });
    }

    async fn run_call(&self, call: Call, sent: Instant) -> Result<(Answer, Trace), Reason> {
        let Call { class, tenant, wait, id, method, target, mut headers, body, peer } = call;
        let rules = self.classes.borrow().get(usize::from(class.0)).cloned().ok_or(Reason::InvalidCall)?;
        let wait = wait.min(rules.deadline);
        let deadline = TokioInstant::from_std(sent + wait);
        let passage = Rc::clone(&rules.passage);
        let body = match body {
            CallBody::Buffered(body) if body.len() as u64 > passage.body_most => {
                return Err(Reason::BodyTooLong);
            }
            CallBody::Buffered(body) => Payload::Buffered(body),
            CallBody::Stream(body) => {
                let read = timeout_at(deadline, receive_body(body, &passage, &self.body_memory, wait)).await;
                read.unwrap_or(Err(Fault::Slow)).map_err(|fault| match fault {
                    Fault::TooLong => Reason::BodyTooLong,
                    Fault::BrokeOff | Fault::Slow => Reason::BodyIncomplete,
                })?
            }
        };
        self.forwarding.request(&mut headers, &target, peer).map_err(|_| Reason::InvalidCall)?;
        let target = target.path_and_query().map(|p| Uri::from(p.clone())).unwrap_or_default();
        let upload = body.upload();
        // A streamed body has its own time limit in addition to the deadline.
        let deadline = if upload.is_some() { deadline + passage.patience().1 } else { deadline };
        let outgoing = OutboundRequest { method, target, headers, body, passage };
        let context = RequestContext {
            class,
            tenant,
            deadline,
            work_ms: None,
            repeat: false,
            outgoing,
            label: Label::default(),
            presence: None,
        };
        let identity = id.filter(|_| rules.effect != Effect::Idempotent);
        let identity = identity.map(|id| Identity { tenant: tenant.0, id });
        let traced_answer = self.dispatcher.dispatch(context, identity).await;
        upload.iter().for_each(Upload::discard_rest);
        match (&traced_answer.0, upload.and_then(|upload| upload.fault())) {
            // A request rejected after a body fault is idempotent, so it does not matter whether it ran.
            (Answer::Rejected(_), Some(Fault::TooLong)) => Err(Reason::BodyTooLong),
            (Answer::Rejected(_), Some(_)) => Err(Reason::BodyIncomplete),
            _ => Ok(traced_answer),
        }
    }

    /// Sends the answer to the caller. A streamed body is forwarded until its reader drops it.
    fn reply(&self, answer: Answer, trace: Trace, reply: oneshot::Sender<Outcome>, in_flight: InFlightGuard) {
        let outcome = match answer {
            Answer::Served(UpstreamResponse { status, headers, body }) => {
                let body = match body {
                    ResponseBody::Buffered(body) => ReplyBody::Buffered(body),
                    ResponseBody::Stream(_) => {
                        let (frames, receiver) = mpsc::channel(1);
                        let size_hint = body.size_hint();
                        spawn_local(forward_body(body, frames, in_flight));
                        ReplyBody::Stream(BodyStream::new(receiver, size_hint))
                    }
                };
                let Trace { attempts, upstream } = trace;
                Outcome::Served(Reply { status, headers, body, attempts, upstream })
            }
            Answer::Rejected(retry_after) => {
                Outcome::Rejected(Rejection { reason: Reason::NoCapacity, retry_after })
            }
            Answer::Failed => Outcome::Failed,
            Answer::Conflict(IdentityConflict::Open) => rejected(Reason::IdentityInUse),
            Answer::Conflict(IdentityConflict::Answered) => rejected(Reason::IdentityReused),
        };
        let _ = reply.send(outcome);
    }
}

fn rejected(reason: Reason) -> Outcome {
    Outcome::Rejected(reason.into())
}
