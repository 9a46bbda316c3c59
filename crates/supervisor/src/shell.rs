//! The supervisor's loop: what happens goes into the machine, what it says is done.

use crate::hand::Link;
use crate::machine::Machine;
use crate::memory::{Digest, Memory, Role};
use crate::process::{self, Handle};
use crate::programs::Programs;
use crate::store::Store;
use crate::watch::{self, Order, Watch};
use crate::words::{Action, Event, Found, Settings};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// The longest wait without a look at the time.
const LOOK: Duration = Duration::from_secs(1);
/// How long a process that is on record is asked for at the start.
const FOUND: Duration = Duration::from_secs(30);
/// How long a balancer has to take in that the whole of it ends, before the signal.
const HEARS: Duration = Duration::from_millis(50);

/// What is asked of a new process before it may accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The status that the answer has to have; any if `None`.
    pub status: Option<u16>,
}

/// What an operator sets.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Connections that may wait to be accepted.
    pub backlog: i32,
    /// The operator's file, for the balancers.
    pub config: PathBuf,
    /// The directory of programs.
    pub programs: PathBuf,
    /// The directory of the supervisor's own.
    pub state: PathBuf,
    /// The program to run.
    pub program: Digest,
    /// What is asked of a new process.
    pub trial: Trial,
    /// Times and numbers.
    pub settings: Settings,
}

/// What comes to the loop.
pub(crate) enum News {
    /// Something happened.
    Event(Event),
    /// There is a way to a process.
    Linked(u64, Arc<Link>),
    /// A signal.
    Signal(i32),
}

/// A process that is there.
struct Here {
    handle: Option<Arc<Handle>>,
    link: Option<Arc<Link>>,
    watch: Watch,
}

struct Shell<'a> {
    setup: &'a Setup,
    store: Store,
    programs: Programs,
    listener: TcpListener,
    machine: Machine,
    here: BTreeMap<u64, Here>,
    written: Option<Memory>,
    news: Sender<News>,
}

/// Supervises until SIGTERM. `reload` reads anew which program is to run, at SIGHUP.
pub fn run(setup: &Setup, reload: impl Fn() -> Result<Digest, String>) -> Result<(), Box<dyn Error>> {
    let store = Store::open(&setup.state)?;
    let (news, told) = channel();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let tell = news.clone();
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if tell.send(News::Signal(signal)).is_err() {
                return;
            }
        }
    })?;
    let mut memory = store.read().unwrap_or_else(|e| {
        tracing::error!("nothing is remembered: {e}");
        None
    });
    let program = setup.program.clone();
    let memory = memory.get_or_insert_with(|| Memory::new(program));
    let (found, adopted, handed) = adopt(&store, memory);
    let listener = match handed {
        Some(listener) => listener,
        None => bind(setup).map_err(|e| format!("listen on {}: {e}", setup.listen))?,
    };
    tracing::info!(listen = %listener.local_addr()?, adopted = adopted.len(), "supervising");
    let seed = fastrand::u64(..);
    let start = Instant::now();
    let machine = Machine::resume(setup.settings.clone(), memory.clone(), &found, seed, Duration::ZERO);
    let programs = Programs::new(&setup.programs);
    let here = BTreeMap::new();
    let mut shell = Shell { setup, store, programs, listener, machine, here, written: None, news };
    for (id, link, handle) in adopted {
        watch::waits(Arc::clone(&handle), id, shell.news.clone())?;
        shell.watch(id, Some(handle), link.map(Arc::new))?;
    }
    // A file that was changed meanwhile is an operator's word.
    let changed = shell.machine.memory(|_| None).file != setup.program;
    let first = if changed { Event::Wanted(setup.program.clone()) } else { Event::Tick };
    shell.turns(start, first, &told, reload)
}

fn bind(setup: &Setup) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(setup.listen);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // As after a crash: the address may still have connections that are closing.
    socket.set_reuse_address(true)?;
    socket.bind(&setup.listen.into())?;
    socket.listen(setup.backlog)?;
    Ok(socket.into())
}

type Adopted = Vec<(u64, Option<Link>, Arc<Handle>)>;

/// Looks for the processes of an earlier supervisor: those on record, and whoever has a socket in the directory.
fn adopt(store: &Store, memory: &Memory) -> (Vec<Found>, Adopted, Option<TcpListener>) {
    let (mut found, mut adopted, mut handed) = (Vec::new(), Vec::new(), None);
    let mut ids: Vec<u64> = memory.processes.iter().map(|known| known.id).chain(store.hands()).collect();
    ids.sort_unstable();
    ids.dedup();
    for id in ids {
        let known = memory.processes.iter().find(|known| known.id == id);
        let on_record = known.and_then(|known| known.process);
        let recorded = on_record.and_then(|(pid, started)| Handle::of(pid, Some(started)));
        let until = Instant::now() + FOUND;
        let linked = loop {
            match Link::connect(&store.hand(id)) {
                Ok(linked) => break Some(linked),
                // One that serves and does not answer may be stopped: nobody else can hand the socket on.
                Err(e) => {
                    let waits = known.is_some_and(|known| known.role == Role::Present)
                        && recorded.as_ref().is_some_and(Handle::runs)
                        && Instant::now() < until;
                    if !waits {
                        tracing::debug!(id, "not adopted: {e}");
                        break None;
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        };
        let handle = match &linked {
            Some((link, _)) => Handle::of(link.pid, None),
            None => recorded,
        };
        let Some(handle) = handle else {
            store.forget(id);
            continue;
        };
        let shown = linked.as_ref().and_then(|(link, _)| Digest::new(&link.shown.digest));
        let Some(program) = shown.or_else(|| known.map(|known| known.program.clone())) else {
            tracing::warn!(id, pid = handle.id().0, "a process that does not say what it is is left alone");
            continue;
        };
        let accepted = linked.as_ref().is_some_and(|(link, _)| link.shown.accepts);
        tracing::info!(id, pid = handle.id().0, %program, accepted, "found");
        found.push(Found { id, program, role: known.map_or(Role::Next, |known| known.role), accepted });
        let (link, listener) = linked.unzip();
        handed = handed.or(listener);
        adopted.push((id, link, Arc::new(handle)));
    }
    (found, adopted, handed)
}

impl Shell<'_> {
    fn turns(
        mut self,
        start: Instant,
        mut event: Event,
        told: &Receiver<News>,
        reload: impl Fn() -> Result<Digest, String>,
    ) -> Result<(), Box<dyn Error>> {
        loop {
            let now = start.elapsed();
            let actions = self.machine.handle(now, event);
            self.remember();
            for action in actions {
                if action == Action::End {
                    tracing::info!("gone");
                    return Ok(());
                }
                self.act(action)?;
            }
            let now = start.elapsed();
            let wait = self.machine.due(now).map_or(LOOK, |due| due.saturating_sub(now).min(LOOK));
            event = match told.recv_timeout(wait) {
                Ok(News::Event(event)) => event,
                Ok(News::Linked(id, link)) => {
                    if let Some(here) = self.here.get_mut(&id) {
                        here.link = Some(link);
                    }
                    Event::Tick
                }
                Ok(News::Signal(SIGHUP)) => match reload() {
                    Ok(program) => Event::Wanted(program),
                    Err(e) => {
                        tracing::warn!("the program to run stays as it is: {e}");
                        Event::Tick
                    }
                },
                Ok(News::Signal(_)) => Event::Stop,
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return Err("no thread is left".into()),
            };
            if let Event::Died(id) = event {
                self.here.remove(&id);
                self.store.forget(id);
            }
        }
    }

    /// What is to be done must not be done before it can be known again.
    fn remember(&mut self) {
        let id = |id| self.here.get(&id).and_then(|here| Some(here.handle.as_ref()?.id()));
        let memory = self.machine.memory(id);
        if self.written.as_ref() == Some(&memory) {
            return;
        }
        match self.store.write(&memory) {
            Ok(()) => self.written = Some(memory),
            Err(e) => tracing::error!("the next supervisor will not know how things stand: {e}"),
        }
    }

    fn tell(&self, event: Event) {
        // The loop that reads it is this one's.
        let _ = self.news.send(News::Event(event));
    }

    fn act(&mut self, action: Action) -> Result<(), Box<dyn Error>> {
        match action {
            Action::Start { id, program, crashes } => {
                if let Err(why) = self.start(id, &program, crashes) {
                    self.tell(Event::Failed(id, why));
                }
                self.remember();
            }
            Action::Try { id, strict } => self.order(id, Order::Try { strict }),
            Action::Accept(id) => self.order(id, Order::Accept),
            Action::Beside(id, two) => self.say(id, if two { "beside" } else { "alone" }),
            Action::Term(id, replaced) => {
                if !replaced {
                    self.say(id, "end");
                    std::thread::sleep(HEARS);
                }
                self.signal(id, Handle::term);
            }
            Action::Kill(id) => self.signal(id, Handle::kill),
            Action::Note(text) => tracing::info!("{text}"),
            Action::End => {}
        }
        Ok(())
    }

    fn start(&mut self, id: u64, program: &Digest, crashes: u32) -> Result<(), String> {
        let path = self.programs.fit(program)?;
        let hand = self.store.hand(id);
        self.store.forget(id);
        let child = process::start(&path, &self.setup.config, &self.listener, &hand, (program, crashes))
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let pid = child.id();
        tracing::info!(id, pid, %program, crashes, "started");
        watch::reaps(child, id, self.news.clone()).map_err(|e| e.to_string())?;
        // One that is gone already is told of by whoever reaps it.
        let handle = Handle::of(pid, None).map(Arc::new);
        self.watch(id, handle, None).map_err(|e| e.to_string())
    }

    /// Speaks with a process, by a link where there is one.
    fn watch(
        &mut self,
        id: u64,
        handle: Option<Arc<Handle>>,
        link: Option<Arc<Link>>,
    ) -> std::io::Result<()> {
        let trial = (self.setup.trial.clone(), self.setup.settings.trial);
        let watch = Watch::begin(id, self.store.hand(id), trial, link.clone(), self.news.clone())?;
        self.here.insert(id, Here { handle, link, watch });
        Ok(())
    }

    fn order(&self, id: u64, order: Order) {
        if let Some(here) = self.here.get(&id) {
            here.watch.order(order);
        }
    }

    fn say(&self, id: u64, word: &str) {
        let link = self.here.get(&id).and_then(|here| here.link.as_ref());
        if let Some(Err(e)) = link.map(|link| link.say(word)) {
            tracing::debug!(id, "{word}: {e}");
        }
    }

    fn signal(&self, id: u64, signal: impl Fn(&Handle)) {
        match self.here.get(&id) {
            Some(Here { handle: Some(handle), .. }) => signal(handle),
            // It is told of by whoever reaps it.
            Some(_) => {}
            // It was never started.
            None => self.tell(Event::Died(id)),
        }
    }
}
