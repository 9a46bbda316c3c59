//! The engine to embed: a core on a thread of its own, and handles to it from any runtime.
//!
//! The core is a current-thread runtime without locks: one `Balancer`, its connections, its ledger. A [`Handle`]
//! reaches it through one bounded queue. Engines share nothing with one another.

mod pump;

use pump::pump;

use crate::call::{Call, CallBody, Outcome, Rejection, RejectionReason, Reply, ReplyBody, StreamedBody};
use crate::endpoint_list::EndpointList;
use crate::label::Label;
use crate::ledger::{Bounds, Identity};
use crate::metrics::{Metrics, RequestMetrics};
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt::OutboundRequest;
use crate::parts::body::{Fault, Payload, Upload, receive_body};
use crate::parts::body_memory::BodyMemory;
use crate::parts::descriptors::Descriptors;
use crate::parts::dispatcher::{Dispatcher, InFlightGuard};
use crate::parts::driver::{Answer, Driver, RequestContext, Trace};
use crate::parts::upstream::{Lease, Upstreams};
use crate::source::{EndpointUpdate, Entry, Fixed, Source};
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
use tokio::time::{sleep_until, timeout, timeout_at};

/// Calls that may wait for the core; more are refused, harmlessly.
const QUEUE: usize = 1024;
/// After the deadline of a shutdown, what is still held gets its final answer within this.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// RejectionReason an engine does not start.
#[derive(Debug)]
pub struct StartError(Box<dyn Error + Send + Sync>);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the engine does not start: {}", self.0)
    }
}

impl Error for StartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.0)
    }
}

type MakeSource = Box<dyn FnOnce(&Rc<Descriptors>) -> Rc<dyn Source> + Send>;

/// What an engine is made of.
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
    /// The seed of all chance; balancers of one fleet have different ones.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Upstreams known from the start. Without a source, they are all there are.
    pub fn upstreams(mut self, fixed: Fixed) -> Self {
        self.fixed = Some(fixed);
        self
    }

    /// Where the list comes from; it is made, and lives, on the engine's thread.
    pub fn source(mut self, make: impl FnOnce(&Rc<Descriptors>) -> Rc<dyn Source> + Send + 'static) -> Self {
        self.source = Some(Box::new(make));
        self
    }

    /// Connections to upstreams that may be open; 450 if unset. 2 or more.
    pub fn connections(mut self, most: usize) -> Self {
        self.connections = most;
        self
    }

    /// Bytes that body_memory which are held may take together; 16 MiB if unset. Where there is no room, they stream.
    pub fn body_memory(mut self, bytes: usize) -> Self {
        self.body_memory = bytes;
        self
    }

    /// How messages of each class pass; [`Passage::general`] if unset.
    pub fn passages(mut self, passages: Vec<Passage>) -> Self {
        self.passages = Some(passages);
        self
    }

    /// What upstreams are told of the way here; nothing if unset.
    pub fn forwarding(mut self, forwarding: Forwarding) -> Self {
        self.forwarding = forwarding;
        self
    }

    /// Where it counts, by the classes' numbers; in figures of its own if unset.
    pub fn metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// What the ledger may hold.
    pub fn ledger(mut self, bounds: Bounds) -> Self {
        self.ledger = bounds;
        self
    }

    /// Starts the engine.
    pub fn start(self) -> Result<Engine, StartError> {
        let (commands, received) = mpsc::channel(QUEUE);
        let (ended_tx, ended) = watch::channel(false);
        let (started_tx, started) = std::sync::mpsc::channel();
        std::thread::Builder::new()
            .name("maplehook".into())
            .spawn(move || {
                // Told also when this thread panics: whoever waits for the end must not wait for ever.
                let _ended = Ended(ended_tx);
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                match runtime {
                    Ok(runtime) => LocalSet::new().block_on(&runtime, self.run(received, &started_tx)),
                    Err(e) => drop(started_tx.send(Err(StartError(e.into())))),
                }
            })
            .map_err(|e| StartError(e.into()))?;
        let lost = || StartError("its thread has ended".into());
        started.recv().map_err(|_| lost())??;
        Ok(Engine { handle: Handle { commands, ended } })
    }

    async fn run(
        self,
        commands: mpsc::Receiver<Command>,
        started: &std::sync::mpsc::Sender<Result<(), StartError>>,
    ) {
        match self.core() {
            Ok(core) => {
                let _ = started.send(Ok(()));
                core.serve(commands).await;
            }
            Err(e) => drop(started.send(Err(e))),
        }
    }

    fn core(mut self) -> Result<Rc<Core>, StartError> {
        let wrong = |e: Box<dyn Error + Send + Sync>| StartError(e);
        // Without it the module takes the list for pushed, and never asks.
        self.settings.has_endpoint_discovery = true;
        let passages = self.passages.take().unwrap_or_else(|| {
            self.settings.classes.iter().map(|class| Passage::general(class.effect)).collect()
        });
        if passages.len() != self.settings.classes.len() {
            return Err(wrong("a passage for each class, or none".into()));
        }
        let classes = RefCell::new(classes(&self.settings, passages));
        let tenants = Cell::new(self.settings.tenants.len());
        let balancer = Balancer::new(self.settings.clone(), self.seed)
            .map_err(|e| wrong(format!("settings: {e}").into()))?;
        let descriptors = Descriptors::for_upstreams(self.connections).map_err(|e| wrong(e.into()))?;
        let (room, forwarding) = (BodyMemory::new(self.body_memory), self.forwarding);
        let upstreams = Upstreams::new(
            &self.settings,
            Rc::clone(&descriptors),
            room.clone(),
            forwarding.clone(),
            Arc::clone(&self.metrics),
        );
        let upstreams = Rc::new(upstreams);
        let (idle, resized) = (Rc::clone(&upstreams), Rc::clone(&upstreams));
        descriptors.add_relief(move || idle.close_oldest());
        descriptors.on_limits_changed(move || resized.apply_descriptor_limit());
        let fixed = self.fixed.unwrap_or_default();
        let known = EndpointUpdate { scope: UpdateScope::Cached, ..fixed.full_update() };
        let source = match self.source {
            Some(make) => make(&descriptors),
            None => Rc::new(fixed),
        };
        spawn_local(descriptors.watch_process_limit());
        let driver = Driver::start(balancer, Rc::clone(&upstreams), source, known);
        let numbers: Vec<String> = (0..self.settings.classes.len()).map(|n| n.to_string()).collect();
        let counting = RequestMetrics::new(self.metrics, &numbers);
        let desk = Dispatcher::new(driver, counting, self.ledger, self.seed);
        let desk = desk.map_err(|e| wrong(format!("ledger: {e}").into()))?;
        Ok(Rc::new(Core { desk, room, forwarding, upstreams, classes, tenants }))
    }
}

struct Ended(watch::Sender<bool>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}

/// Rules that take the place of those that an engine has, while calls go on.
#[derive(Clone, Debug)]
pub struct Version {
    /// The decision module's settings. Classes, tenants and zones keep their numbers; there are no fewer than before.
    pub settings: Settings,
    /// Tenants that are there no more, by their numbers.
    pub removed_tenants: Vec<TenantId>,
    /// How messages of each class pass.
    pub passages: Vec<Passage>,
    /// For how long it may be acted on.
    pub lease: Lease,
    /// The list of upstreams, where it is another one: it is set on the engine's thread, and acted on once the decisions have been
    /// told it.
    pub list: Option<(EndpointList, Vec<Entry>)>,
}

/// RejectionReason rules are not taken over; those before stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptError {
    /// There are fewer classes or tenants than before: calls under way have numbers that would mean nothing.
    ClassesOrTenantsRemoved,
    /// There is not one passage for each class.
    PassageCountMismatch,
    /// The engine has ended.
    Ended,
}

impl fmt::Display for AdoptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClassesOrTenantsRemoved => "there are fewer classes or tenants than before",
            Self::PassageCountMismatch => "there is not one passage for each class",
            Self::Ended => "the engine has ended",
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

/// A running engine. When it is dropped it ends: what it holds gets its final answer at once.
pub struct Engine {
    handle: Handle,
}

impl Engine {
    /// What an engine with these settings is made of.
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

    /// A handle to it; any number may be had, on any thread.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Ends it, see [`Handle::shutdown`].
    pub async fn shutdown(&self, within: Duration) {
        self.handle.shutdown(within).await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        // A full queue has nothing to fear: the core ends with its last handle.
        let _ = self.handle.commands.try_send(Command::Shutdown(Instant::now()));
    }
}

/// A way to an engine.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    ended: watch::Receiver<bool>,
}

impl Handle {
    /// Balances a request. Dropping the call is a client that has gone: what is out for it is called back, but
    /// for a request in the ledger, which goes on, so that whoever asks again has its answer.
    pub async fn call(&self, call: Call) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let command = Command::Call { call: Box::new(call), sent: Instant::now(), reply };
        if let Err(e) = self.commands.try_send(command) {
            // The core never had it.
            let full = matches!(e, mpsc::error::TrySendError::Full(_));
            return refused(if full { RejectionReason::QueueFull } else { RejectionReason::ShuttingDown });
        }
        // The core ends without a word only if it has panicked: what it held may have run.
        outcome.await.unwrap_or(Outcome::Failed)
    }

    /// Takes over other rules. Learned state, tokens and connections stay; calls under way keep their numbers. Returns when
    /// they are acted on.
    pub async fn adopt(&self, version: Version) -> Result<(), AdoptError> {
        let (reply, adopted) = oneshot::channel();
        let command = Command::Adopt { version: Box::new(version), reply };
        self.commands.send(command).await.map_err(|_| AdoptError::Ended)?;
        adopted.await.unwrap_or(Err(AdoptError::Ended))
    }

    /// For how long the rules may be acted on, from now on.
    pub async fn lease(&self, lease: Lease) {
        // An engine that has ended writes nothing.
        let _ = self.commands.send(Command::Lease(lease)).await;
    }

    /// Ends the engine: new calls are refused, what is held has until `within` from now for its answer, and
    /// whatever is left then gets its final answer at once. Returns when the engine has ended, however often
    /// and from wherever it is called; the shortest time counts.
    pub async fn shutdown(&self, within: Duration) {
        let mut ended = self.ended.clone();
        let _ = self.commands.send(Command::Shutdown(Instant::now() + within)).await;
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

/// What lives on the engine's thread.
struct Core {
    desk: Rc<Dispatcher>,
    room: BodyMemory,
    forwarding: Forwarding,
    upstreams: Rc<Upstreams>,
    classes: RefCell<Vec<Class>>,
    tenants: Cell<usize>,
}

#[derive(Clone)]
struct Class {
    effect: Effect,
    deadline: Duration,
    passage: Rc<Passage>,
}

fn classes(settings: &Settings, passages: Vec<Passage>) -> Vec<Class> {
    let classes = settings.classes.iter().zip(passages);
    let class = |(class, passage): (&maplehook_core::Class, Passage)| Class {
        effect: class.effect,
        deadline: class.deadline,
        passage: Rc::new(passage),
    };
    classes.map(class).collect()
}

impl Core {
    /// Takes over other rules, and says so once they are acted on.
    fn adopt(self: &Rc<Self>, version: Version, reply: oneshot::Sender<Result<(), AdoptError>>) {
        let Version { mut settings, removed_tenants, passages, lease, list } = version;
        let fewer = settings.classes.len() < self.classes.borrow().len()
            || settings.tenants.len() < self.tenants.get();
        let refused = match passages.len() == settings.classes.len() {
            _ if fewer => Some(AdoptError::ClassesOrTenantsRemoved),
            true => None,
            false => Some(AdoptError::PassageCountMismatch),
        };
        if let Some(refused) = refused {
            // Whoever asked may have gone.
            let _ = reply.send(Err(refused));
            return;
        }
        settings.has_endpoint_discovery = true;
        self.upstreams.set_lease(lease);
        let driver = self.desk.driver();
        let mut told = driver.full_list_count();
        let before = *told.borrow_and_update();
        self.tenants.set(settings.tenants.len());
        let next = classes(&settings, passages);
        driver.update_settings(settings, removed_tenants);
        *self.classes.borrow_mut() = next;
        let listed = list.is_some_and(|(lists, entries)| lists.set(entries));
        spawn_local(async move {
            if listed {
                let _ = told.wait_for(|lists| *lists > before).await;
            }
            let _ = reply.send(Ok(()));
        });
    }

    async fn serve(self: Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        let mut end: Option<Instant> = None;
        loop {
            let until = end.map(tokio::time::Instant::from_std);
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Call { reply, .. }) if end.is_some() => {
                        let _ = reply.send(refused(RejectionReason::ShuttingDown));
                    }
                    Some(Command::Adopt { version, reply }) => self.adopt(*version, reply),
                    Some(Command::Lease(lease)) => self.upstreams.set_lease(lease),
                    Some(Command::Call { call, sent, reply }) => Rc::clone(&self).begin(*call, sent, reply),
                    Some(Command::Shutdown(at)) => end = Some(end.map_or(at, |end| end.min(at))),
                    // Nobody is left who could ask.
                    None => break,
                },
                () = self.desk.wait_until_idle(), if end.is_some() => break,
                () = sleep_until(until.unwrap_or_else(tokio::time::Instant::now)), if end.is_some() => break,
            }
        }
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let Command::Call { reply, .. } = command {
                let _ = reply.send(refused(RejectionReason::ShuttingDown));
            }
        }
        self.desk.driver().abort_attempts();
        let _ = timeout(LAST_WORDS, self.desk.wait_until_idle()).await;
    }

    /// A call has come.
    fn begin(self: Rc<Self>, call: Call, sent: Instant, mut reply: oneshot::Sender<Outcome>) {
        let inside = self.desk.track();
        spawn_local(async move {
            tokio::select! {
                biased;
                outcome = self.outcome(call, sent) => match outcome {
                    Ok((answer, trace)) => self.tell(answer, trace, reply, inside),
                    Err(why) => drop(reply.send(refused(why))),
                },
                () = reply.closed() => {}
            }
        });
    }

    async fn outcome(&self, call: Call, sent: Instant) -> Result<(Answer, Trace), RejectionReason> {
        let Call { class, tenant, wait, id, method, target, mut headers, body, peer } = call;
        let rules =
            self.classes.borrow().get(usize::from(class.0)).cloned().ok_or(RejectionReason::InvalidCall)?;
        let wait = wait.min(rules.deadline);
        let deadline = tokio::time::Instant::from_std(sent + wait);
        let passage = Rc::clone(&rules.passage);
        let body = match body {
            CallBody::Buffered(body) if body.len() as u64 > passage.body_most => {
                return Err(RejectionReason::BodyTooLong);
            }
            CallBody::Buffered(body) => Payload::Buffered(body),
            CallBody::Stream(body) => {
                let taken = timeout_at(deadline, receive_body(body, &passage, &self.room, wait)).await;
                taken.unwrap_or(Err(Fault::Slow)).map_err(|fault| match fault {
                    Fault::TooLong => RejectionReason::BodyTooLong,
                    Fault::BrokeOff | Fault::Slow => RejectionReason::BodyIncomplete,
                })?
            }
        };
        self.forwarding.request(&mut headers, &target, peer).map_err(|_| RejectionReason::InvalidCall)?;
        let target = target.path_and_query().map(|p| Uri::from(p.clone())).unwrap_or_default();
        let upload = body.upload();
        // The time of a body that streams is its own.
        let deadline = if upload.is_some() { deadline + passage.patience().1 } else { deadline };
        let outgoing = OutboundRequest { method, target, headers, body, passage };
        let asked = RequestContext {
            class,
            tenant,
            deadline,
            work_ms: None,
            repeat: false,
            outgoing,
            label: Label::default(),
            presence: None,
        };
        let identity = id.filter(|_| rules.effect != Effect::Idempotent).map(|id| Identity {
            tenant: tenant.0,
            class: class.0,
            id,
        });
        let told = self.desk.dispatch(asked, identity).await;
        upload.iter().for_each(Upload::discard_rest);
        match (&told.0, upload.and_then(|upload| upload.fault())) {
            // Idempotent, so that it matters to nobody whether it ran.
            (Answer::Rejected(_), Some(Fault::TooLong)) => Err(RejectionReason::BodyTooLong),
            (Answer::Rejected(_), Some(_)) => Err(RejectionReason::BodyIncomplete),
            _ => Ok(told),
        }
    }

    /// Gives a call its answer; a body that streams is passed on as long as somebody reads it.
    fn tell(&self, answer: Answer, trace: Trace, reply: oneshot::Sender<Outcome>, inside: InFlightGuard) {
        let outcome = match answer {
            Answer::Served(UpstreamResponse { status, headers, body }) => {
                let body = match body {
                    ResponseBody::Buffered(body) => ReplyBody::Buffered(body),
                    ResponseBody::Stream(_) => {
                        let (frames, received) = mpsc::channel(1);
                        let hint = body.size_hint();
                        spawn_local(pump(body, frames, inside));
                        ReplyBody::Stream(StreamedBody { frames: received, hint, ended: false })
                    }
                };
                let Trace { attempts, upstream } = trace;
                Outcome::Served(Reply { status, headers, body, attempts, upstream })
            }
            Answer::Rejected(retry_after) => {
                Outcome::Rejected(Rejection { reason: RejectionReason::NoCapacity, retry_after })
            }
            Answer::Failed => Outcome::Failed,
        };
        let _ = reply.send(outcome);
    }
}

fn refused(why: RejectionReason) -> Outcome {
    Outcome::Rejected(why.into())
}
