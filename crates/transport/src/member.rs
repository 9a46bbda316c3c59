//! The thread on which a balancer takes part in its tier: the sockets, the clock and the disk round [`Tier`].
//!
//! It shares nothing with the thread that serves but watched values: what the own discovery claims goes in, what the
//! words of others come to goes out. However it fares, no request waits for it.

use crate::begun::Begun;
use crate::connection::Us;
use crate::hub::Hub;
use crate::part::{Part, Status, Talk, Told};
use crate::run::{Measured, Runner};
use crate::secret::Datagrams;
use maplehook_cluster::words::Claim;
use maplehook_cluster::{Settings, Tier, Trips};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

/// Messages of other topics that may wait for whoever takes them, or for being sent.
const TALK_MOST: usize = 1024;

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
    /// Whether it takes part already.
    pub here: watch::Receiver<bool>,
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

impl Member {
    /// Begins to take part.
    pub fn start(part: Part) -> io::Result<Self> {
        let begun = if part.waits { None } else { Some(Begun::new(&part)?) };
        let address = begun.as_ref().map_or(Ok(part.listen), |begun| begun.listener.local_addr())?;
        let epoch = Instant::now();
        let (told_to, told) = watch::channel(Told { epoch, effects: Arc::default() });
        let (claims, claimed) = watch::channel(Arc::default());
        let (asks, asked) = mpsc::channel(32);
        let (stop, mut stopped) = oneshot::channel();
        let (say, said) = mpsc::channel(TALK_MOST);
        let (others, heard) = mpsc::channel(TALK_MOST);
        let (measured, trips) = watch::channel(Measured::default());
        let (here_to, here) = watch::channel(false);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread =
            std::thread::Builder::new().name("tier".into()).stack_size(512 * 1024).spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, async move {
                    let begun = match begun {
                        Some(begun) => Some(begun),
                        None => Begun::when_free(&part, &mut stopped).await,
                    };
                    let Some(Begun { listener, socket, state, recorded, start }) = begun else { return };
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
                            here_to.send_replace(true);
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
        Ok(Self { address, told, claims, talk, here, trips, asks, stop: Some(stop), thread: Some(thread) })
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
