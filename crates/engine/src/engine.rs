//! The embeddable engine: a core on a dedicated thread, and handles that work from any runtime.
//!
//! The core runs one `Balancer`, its connections and its ledger on a current-thread runtime without locks. A
//! [`Handle`] sends commands to the core through a bounded queue. Engines share no state with one another.

mod core_thread;
mod forward_body;

use crate::endpoint_list::EndpointList;
use crate::ledger::Bounds;
use crate::metrics::{Metrics, RequestMetrics};
use crate::parts::attempt_limits::Presence;
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::descriptors::Descriptors;
use crate::parts::dispatcher::Dispatcher;
use crate::parts::driver::Driver;
use crate::parts::upstream::{Lease, Upstreams};
use crate::source::{EndpointUpdate, Entry, Fixed, Source};
use crate::{Call, Outcome, RejectionReason as Reason};
use core_thread::{Core, class_rules};
use maplehook_core::{Balancer, Settings, TenantId, UpdateScope};
use maplehook_http_semantics::{Forwarding, Passage};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

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

/// Caller of a call, as the engine's thread sees it.
struct Caller(Weak<()>);

impl Caller {
    fn presence(self) -> Presence {
        Presence::new(move || self.0.strong_count() > 0)
    }
}

enum Command {
    Adopt { version: Box<Version>, reply: oneshot::Sender<Result<(), AdoptError>> },
    Lease(Lease),
    Call { call: Box<Call>, caller: Caller, sent: Instant, reply: oneshot::Sender<Outcome> },
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
    /// except for a running one of a request in the ledger, which continues so that a repeated call gets its
    /// answer. No attempt begins after that.
    pub async fn call(&self, call: Call) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        // Dropped with this future.
        let waiting = Arc::new(());
        let caller = Caller(Arc::downgrade(&waiting));
        let command = Command::Call { call: Box::new(call), caller, sent: Instant::now(), reply };
        if let Err(e) = self.commands.try_send(command) {
            // The core never received the call, so a rejection is safe.
            let is_full = matches!(e, mpsc::error::TrySendError::Full(_));
            return rejected(if is_full { Reason::QueueFull } else { Reason::ShuttingDown });
        }
        // The core drops the sender without an answer only if it panics. The call may have run.
        let outcome = outcome.await.unwrap_or(Outcome::Failed);
        drop(waiting);
        outcome
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

fn rejected(reason: Reason) -> Outcome {
    Outcome::Rejected(reason.into())
}
