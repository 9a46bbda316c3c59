//! The thread on which a balancer takes part in its tier: the sockets, the clock and the disk round [`Tier`].
//!
//! It shares nothing with the thread that serves but watched values: what the own discovery claims goes in, what the
//! words of others come to goes out. However it fares, no request waits for it.

use crate::connection::Us;
use crate::frames::Message;
use crate::hub::{self, Hub};
use crate::run::{Measured, Runner};
use crate::secret::{Datagrams, Secret};
use crate::state::{self, State};
use maplehook_tier::words::{Claim, Effect};
use maplehook_tier::{Name, Program, Seen, Settings, Tier, Trips, start};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

/// Tries to find a port that is free for both protocols.
const TRIES: usize = 32;

/// Messages of other topics that may wait for whoever takes them, or for being sent.
const TALK_MOST: usize = 1024;

/// Messages of topics other than words, to and from other balancers. What does not fit into the queues is dropped: whoever
/// talks must be able to say it again.
pub struct Talk {
    /// What goes to others.
    pub say: mpsc::Sender<(Name, Message)>,
    /// What comes from them.
    pub heard: mpsc::Receiver<(Name, Message)>,
}

/// What a balancer takes part with.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its name.
    pub name: Name,
    /// Where it listens, for datagrams and connections.
    pub listen: SocketAddr,
    /// What the tier shares.
    pub secret: Secret,
    /// Its own directory, if it has one.
    pub state: Option<PathBuf>,
    /// The others, each at the address that this one is to use.
    pub peers: BTreeMap<Name, SocketAddr>,
    /// Its program.
    pub program: Program,
}

/// How it stands.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its name.
    pub name: Name,
    /// Its start.
    pub start: u64,
    /// Its program.
    pub program: Program,
    /// Since when it takes part.
    pub since: Duration,
    /// Whether it speaks: not after a later start of its name was seen.
    pub speaks: bool,
    /// The others that were seen.
    pub members: Vec<Seen>,
    /// Those of its file that are not here.
    pub away: Vec<Name>,
    /// Datagrams.
    pub datagrams: maplehook_tier::Counts,
    /// Datagrams that nobody with the secret has sent.
    pub forged: u64,
    /// Connections.
    pub links: hub::Counts,
    /// By how much its own health stretches its probes.
    pub health: u32,
    /// Upstreams that there are words of.
    pub words: usize,
}

/// What the words of others come to, on a clock that begins at `epoch`.
#[derive(Clone, Debug)]
pub struct Told {
    /// Where the clock begins.
    pub epoch: Instant,
    /// What they come to.
    pub effects: Arc<Vec<Effect>>,
}

/// A balancer's part in its tier, on a thread of its own. It says that it goes when this is dropped.
pub struct Member {
    /// Where it listens.
    pub address: SocketAddr,
    /// What the words of others come to.
    pub told: watch::Receiver<Told>,
    /// What the own discovery says.
    pub claims: watch::Sender<Arc<Vec<Claim>>>,
    /// Messages of other topics, until somebody takes them over.
    pub talk: Option<Talk>,
    /// Round trips to those whose way was measured last.
    pub trips: watch::Receiver<Measured>,
    asks: mpsc::Sender<oneshot::Sender<Status>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Asks how it stands.
#[derive(Clone)]
pub struct Asks(mpsc::Sender<oneshot::Sender<Status>>);

impl Asks {
    /// `None` where the thread does not answer.
    pub async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.0.try_send(reply).ok()?;
        status.await.ok()
    }
}

/// Binds the same port for both protocols.
fn bind(address: SocketAddr) -> io::Result<(std::net::TcpListener, std::net::UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = std::net::TcpListener::bind(address)?;
        match std::net::UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                listener.set_nonblocking(true)?;
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            // The system chose a port that is taken for datagrams.
            Err(_) if address.port() == 0 && tries < TRIES => tries += 1,
            Err(e) => return Err(e),
        }
    }
}

/// The time, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Member {
    /// Begins to take part.
    pub fn start(part: Part) -> io::Result<Self> {
        let (listener, socket) = bind(part.listen)?;
        let address = listener.local_addr()?;
        let mut odd = |line: String| tracing::warn!("tier.state: {line}");
        let state = part.state.as_deref().map(|directory| State::open(directory, &part.name, &mut odd));
        let recorded = state.as_ref().and_then(|state| state.recorded);
        let start = start::next(unix_ms(), fastrand::u64(..), recorded);
        if let Some(state) = &state {
            if state.taken {
                tracing::warn!(
                    "tier.state: {}: another process holds it; if it goes by the name {} too, this later one stays",
                    state.directory().display(),
                    part.name
                );
            }
            if let Err(e) = state::record(state.directory(), &part.name, start) {
                tracing::warn!(
                    "tier.state: {}: the start is not recorded: {e}; the next one goes by the clock alone",
                    state.directory().display()
                );
            }
        }
        let epoch = Instant::now();
        let (told_to, told) = watch::channel(Told { epoch, effects: Arc::default() });
        let (claims, claimed) = watch::channel(Arc::default());
        let (asks, asked) = mpsc::channel(32);
        let (stop, stopped) = oneshot::channel();
        let (say, said) = mpsc::channel(TALK_MOST);
        let (others, heard) = mpsc::channel(TALK_MOST);
        let (measured, trips) = watch::channel(Measured::default());
        tracing::info!(tier_listen = %address, name = %part.name, start, "takes part in a tier");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread =
            std::thread::Builder::new().name("tier".into()).stack_size(512 * 1024).spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, async move {
                    let sockets =
                        TcpListener::from_std(listener).and_then(|l| Ok((l, UdpSocket::from_std(socket)?)));
                    match sockets {
                        Ok((listener, socket)) => {
                            let mut settings = Settings::new(
                                part.name.clone(),
                                start,
                                part.peers.keys().cloned().collect(),
                                fastrand::u64(..),
                            );
                            (settings.before, settings.program) = (recorded, part.program);
                            let us = Us { secret: part.secret.clone(), name: part.name.clone(), start };
                            let (hub, messages) = Hub::new(us, part.peers.clone());
                            spawn_local(Rc::clone(&hub).accept(listener));
                            let runner = Runner {
                                tier: Tier::new(settings, epoch.elapsed()),
                                datagrams: Datagrams::new(&part.secret),
                                part,
                                epoch,
                                socket,
                                hub,
                                _state: state,
                                told: told_to,
                                told_version: 0,
                                forged: 0,
                                garbage: 0,
                                others,
                                trips: Trips::default(),
                                measured,
                            };
                            runner.run(messages, said, claimed, asked, stopped).await;
                        }
                        Err(e) => tracing::error!("the tier's address: {e}"),
                    }
                });
            })?;
        let talk = Some(Talk { say, heard });
        Ok(Self { address, told, claims, talk, trips, asks, stop: Some(stop), thread: Some(thread) })
    }

    /// By which others may ask how it stands.
    pub fn asks(&self) -> Asks {
        Asks(self.asks.clone())
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
