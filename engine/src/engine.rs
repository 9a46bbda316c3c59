//! The engine to embed: a core on a thread of its own, and handles to it from any runtime.
//!
//! The core is a current-thread runtime without locks: one `Balancer`, its connections, its ledger. A [`Handle`]
//! reaches it through one bounded queue. Engines share nothing with one another.

use crate::descriptors::Descriptors;
use crate::driver::{Answer, Asked, Driver, Trace};
use crate::ledger::{Bounds, Ending, EntryId, Identity, Ledger, Opened, Waiter};
use crate::source::{Fixed, News, Source};
use crate::upstream::{Outgoing, Served, Upstreams};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use lapisroute::{Balancer, ClassId, Effect, FleetScope, Settings, TenantId, UpstreamId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Calls that may wait for the core; more are refused, harmlessly.
const QUEUE: usize = 1024;
/// After the deadline of a shutdown, what is still held gets its final answer within this.
const LAST_WORDS: Duration = Duration::from_millis(500);
/// The longest body of a request.
pub const BODY_MOST: usize = 64 * 1024;

/// A request to be balanced.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class: a position in [`Settings::classes`].
    pub class: ClassId,
    /// Its tenant: a position in [`Settings::tenants`].
    pub tenant: TenantId,
    /// How long the caller waits, from now. The class's deadline is the most.
    pub wait: Duration,
    /// By what it is known again. With one, a request that may not run twice goes through the ledger: it is sent
    /// once, and whoever repeats it gets the same final answer.
    pub id: Option<Box<[u8]>>,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Its end-to-end headers; `Host` among them.
    pub headers: HeaderMap,
    /// Its body, up to [`BODY_MOST`].
    pub body: Bytes,
}

/// The final answer to a call. There is exactly one.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An upstream's answer.
    Served(Reply),
    /// It never ran; trying again is harmless, after some time if one is given.
    Refused(Option<Duration>),
    /// It may have run.
    Failed,
}

/// An upstream's answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its end-to-end headers; the status is 200.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Attempts that it took.
    pub attempts: u8,
    /// Who served it.
    pub upstream: Option<UpstreamId>,
}

/// Why an engine does not start.
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
    descriptors: usize,
    long_answers: usize,
    ledger: Bounds,
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

    /// Descriptors that connections to upstreams may hold; 450 if unset. 2 or more.
    pub fn connections(mut self, most: usize) -> Self {
        self.descriptors = most;
        self
    }

    /// Bytes that answers over 64 KiB may hold together; 32 MiB if unset.
    pub fn long_answers(mut self, bytes: usize) -> Self {
        self.long_answers = bytes;
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
        self.settings.ask_for_fleet = true;
        let effects = self.settings.classes.iter().map(|c| (c.effect, c.deadline)).collect();
        let balancer = Balancer::new(self.settings.clone(), self.seed)
            .map_err(|e| wrong(format!("settings: {e}").into()))?;
        let descriptors = Descriptors::for_upstreams(self.descriptors).map_err(|e| wrong(e.into()))?;
        let ledger = Ledger::new(self.ledger, self.seed).map_err(|e| wrong(format!("ledger: {e}").into()))?;
        let upstreams = Rc::new(Upstreams::new(&self.settings, Rc::clone(&descriptors), self.long_answers));
        let (idle, resized) = (Rc::clone(&upstreams), Rc::clone(&upstreams));
        descriptors.relieved_by(move || idle.close_oldest());
        descriptors.tells(move || resized.resized());
        let fixed = self.fixed.unwrap_or_default();
        let known = News { scope: FleetScope::Cached, ..fixed.news() };
        let source = match self.source {
            Some(make) => make(&descriptors),
            None => Rc::new(fixed),
        };
        spawn_local(descriptors.watch());
        let driver = Driver::start(balancer, upstreams, source, known);
        Ok(Rc::new(Core {
            driver,
            effects,
            ledger: RefCell::new(ledger),
            waiting: RefCell::default(),
            next: Cell::new(0),
            open: Cell::new(0),
            closed: Notify::new(),
        }))
    }
}

struct Ended(watch::Sender<bool>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}

enum Command {
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
            descriptors: 450,
            long_answers: 32 * 1024 * 1024,
            ledger: Bounds::default(),
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
        if call.body.len() > BODY_MOST {
            return Outcome::Refused(None);
        }
        let (reply, outcome) = oneshot::channel();
        let command = Command::Call { call: Box::new(call), sent: Instant::now(), reply };
        if self.commands.try_send(command).is_err() {
            // The core never had it.
            return Outcome::Refused(None);
        }
        // The core ends without a word only if it has panicked: what it held may have run.
        outcome.await.unwrap_or(Outcome::Failed)
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
    driver: Rc<Driver>,
    effects: Vec<(Effect, Duration)>,
    ledger: RefCell<Ledger<Rc<Reply>>>,
    waiting: RefCell<HashMap<Waiter, oneshot::Sender<Outcome>>>,
    next: Cell<Waiter>,
    open: Cell<usize>,
    closed: Notify,
}

/// Counts a call as open until it is dropped.
struct Open(Rc<Core>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_waiters();
    }
}

impl Core {
    async fn serve(self: Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        let mut end: Option<Instant> = None;
        loop {
            let idle = end.is_some() && self.open.get() == 0;
            let until = end.map(tokio::time::Instant::from_std);
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Call { reply, .. }) if end.is_some() => {
                        let _ = reply.send(Outcome::Refused(None));
                    }
                    Some(Command::Call { call, sent, reply }) => {
                        Rc::clone(&self).begin(*call, sent, reply);
                    }
                    Some(Command::Shutdown(at)) => end = Some(end.map_or(at, |end| end.min(at))),
                    // Nobody is left who could ask.
                    None => break,
                },
                () = std::future::ready(()), if idle => break,
                () = self.closed.notified(), if end.is_some() && !idle => {}
                () = tokio::time::sleep_until(until.unwrap_or_else(tokio::time::Instant::now)), if end.is_some() => break,
            }
        }
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let Command::Call { reply, .. } = command {
                let _ = reply.send(Outcome::Refused(None));
            }
        }
        if self.open.get() > 0 {
            self.driver.cut_off();
            let all = async {
                while self.open.get() > 0 {
                    let closed = self.closed.notified();
                    tokio::select! { () = closed => {} () = sleep(Duration::from_millis(5)) => {} }
                }
            };
            let _ = timeout(LAST_WORDS, all).await;
        }
    }

    /// A call has come.
    fn begin(self: Rc<Self>, call: Call, sent: Instant, reply: oneshot::Sender<Outcome>) {
        let Some(&(effect, most)) = self.effects.get(usize::from(call.class.0)) else {
            let _ = reply.send(Outcome::Refused(None));
            return;
        };
        let id = call.id.clone().filter(|_| effect != Effect::Idempotent);
        let asked = asked(call, sent, most);
        self.open.set(self.open.get() + 1);
        let open = Open(Rc::clone(&self));
        let Some(id) = id else {
            spawn_local(async move {
                let (mut reply, pending) = (reply, self.driver.ask(asked));
                tokio::select! {
                    (answer, trace) = pending.answer() => drop(reply.send(outcome(answer, trace))),
                    () = reply.closed() => {}
                }
                drop(open);
            });
            return;
        };
        let identity = Identity { tenant: asked.tenant.0, class: asked.class.0, id };
        let waiter = self.next.replace(self.next.get() + 1);
        let opened = self.ledger.borrow_mut().open(self.now(), &identity, waiter);
        match opened {
            Opened::First(entry) => {
                self.waiting.borrow_mut().insert(waiter, reply);
                spawn_local(async move {
                    let (answer, trace) = self.driver.ask(asked).answer().await;
                    self.finish(entry, outcome(answer, trace));
                    drop(open);
                });
            }
            Opened::Joined(entry) => {
                self.waiting.borrow_mut().insert(waiter, reply);
                spawn_local(async move {
                    self.wait(entry, waiter).await;
                    drop(open);
                });
            }
            Opened::Ended(ending) => drop(reply.send(told(&ending))),
            Opened::Crowded | Opened::Full => drop(reply.send(Outcome::Refused(None))),
        }
    }

    /// Waits until one who has joined has its answer or has gone.
    async fn wait(&self, entry: EntryId, waiter: Waiter) {
        loop {
            let gone = match self.waiting.borrow().get(&waiter) {
                None => return,
                Some(reply) => reply.is_closed(),
            };
            if gone {
                self.waiting.borrow_mut().remove(&waiter);
                self.ledger.borrow_mut().left(entry, waiter);
                return;
            }
            tokio::select! {
                () = self.closed.notified() => {}
                () = sleep(Duration::from_millis(100)) => {}
            }
        }
    }

    fn finish(&self, entry: EntryId, outcome: Outcome) {
        let (ending, length) = match &outcome {
            Outcome::Served(reply) => {
                let headers: usize = reply.headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 32).sum();
                let length = reply.body.len() + headers;
                (Ending::Served(Rc::new(reply.clone())), length)
            }
            Outcome::Refused(_) => (Ending::Refused, 0),
            Outcome::Failed => (Ending::Failed, 0),
        };
        let waiters = self.ledger.borrow_mut().ended(self.now(), entry, ending, length);
        let mut waiting = self.waiting.borrow_mut();
        for reply in waiters.iter().filter_map(|waiter| waiting.remove(waiter)) {
            let _ = reply.send(outcome.clone());
        }
        drop(waiting);
        self.closed.notify_waiters();
    }

    fn now(&self) -> Duration {
        self.driver.now()
    }
}

fn asked(call: Call, sent: Instant, most: Duration) -> Asked {
    let Call { class, tenant, wait, method, target, headers, body, .. } = call;
    let deadline = tokio::time::Instant::from_std(sent + wait.min(most));
    let outgoing = Outgoing { method, target, headers, body };
    Asked { class, tenant, deadline, work_ms: None, repeat: false, outgoing }
}

fn outcome(answer: Answer, trace: Trace) -> Outcome {
    match answer {
        Answer::Served(Served { headers, body }) => {
            let Trace { attempts, upstream } = trace;
            Outcome::Served(Reply { headers, body, attempts, upstream })
        }
        Answer::Refused(after) => Outcome::Refused(after),
        Answer::Failed => Outcome::Failed,
    }
}

/// What one is told who asks again for what has ended.
fn told(ending: &Ending<Rc<Reply>>) -> Outcome {
    match ending {
        Ending::Served(kept) => Outcome::Served(Reply::clone(kept)),
        Ending::ServedNotKept | Ending::Failed => Outcome::Failed,
        Ending::Refused => Outcome::Refused(None),
    }
}
