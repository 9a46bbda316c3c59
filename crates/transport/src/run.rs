//! What runs on the thread of a [`crate::Member`]: datagrams, links and words, as they come and as they are due.

use crate::begun::unix_ms;
use crate::frames::Message;
use crate::hub::{Hub, successors};
use crate::part::{Part, Status, Told};
use crate::secret::Datagrams;
use crate::state::{self, State};
use bytes::{Buf, Bytes};
use maplehook_cluster::words::{Claim, LENGTH, Word};
use maplehook_cluster::{DATAGRAM_MOST, Event, Name, Output, Tier, Trips};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// Datagrams that are read before anything else has its turn.
const READ_MOST: usize = 64;
/// Datagrams that nobody with the secret has sent, after which the port rests, and for how long: a flood of them costs
/// some 13,000 looks a second.
const GARBAGE_MOST: usize = 128;
const REST: Duration = Duration::from_millis(10);
/// How often links are looked after, and all words are told to one other.
const LINKS: Duration = Duration::from_millis(500);
const TELL_ALL: Duration = Duration::from_secs(5);
/// The topic of words.
const WORDS: u8 = 1;
/// Balancers whose round trips are told of, those that were measured last.
const TRIPS_MOST: usize = 16;

/// Round trips to those whose way was measured last.
pub type Measured = Arc<Vec<(Name, Duration)>>;

pub(crate) struct Runner {
    pub(crate) part: Part,
    pub(crate) tier: Tier,
    pub(crate) datagrams: Datagrams,
    pub(crate) epoch: Instant,
    pub(crate) socket: UdpSocket,
    pub(crate) hub: Rc<Hub>,
    /// Holds the lock.
    pub(crate) _state: Option<State>,
    pub(crate) told: watch::Sender<Told>,
    pub(crate) told_version: u64,
    pub(crate) forged: u64,
    pub(crate) garbage: usize,
    /// Where messages of other topics go.
    pub(crate) others: mpsc::Sender<(Name, Message)>,
    pub(crate) trips: Trips,
    /// Where round trips are told.
    pub(crate) measured: watch::Sender<Measured>,
}

impl Runner {
    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    pub(crate) async fn run(
        mut self,
        mut messages: mpsc::Receiver<(Name, Message)>,
        mut said: mpsc::Receiver<(Name, Message)>,
        mut claimed: watch::Receiver<Arc<Vec<Claim>>>,
        mut asked: mpsc::Receiver<oneshot::Sender<Status>>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let mut links = tokio::time::interval(LINKS);
        links.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut told_all = Instant::now();
        let mut rests_until: Option<tokio::time::Instant> = None;
        loop {
            let due = tokio::time::Instant::from_std(self.epoch + self.tier.next());
            let rests = rests_until.is_some();
            tokio::select! {
                biased;
                _ = &mut stopped => break,
                () = sleep_until(due) => self.tier.poll(self.epoch.elapsed()),
                () = sleep_until(rests_until.unwrap_or(due)), if rests => rests_until = None,
                readable = self.socket.readable(), if !rests => {
                    if readable.is_ok() && !self.read() {
                        rests_until = Some(tokio::time::Instant::now() + REST);
                    }
                }
                Some((from, message)) = messages.recv() => self.heard(from, message),
                Some((to, message)) = said.recv() => {
                    if self.tier.speaks() {
                        self.hub.send(&to, message);
                    }
                }
                Some(reply) = asked.recv() => drop(reply.send(self.status())),
                changed = claimed.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    let claims = claimed.borrow_and_update().to_vec();
                    self.tier.claim(self.epoch.elapsed(), unix_ms(), claims);
                }
                _ = links.tick() => {
                    self.look_after_links();
                    let measured = self.trips.newest(self.epoch.elapsed(), TRIPS_MOST);
                    self.measured.send_if_modified(|told| {
                        let news = **told != measured;
                        if news {
                            *told = Arc::new(measured);
                        }
                        news
                    });
                    if told_all.elapsed() > TELL_ALL {
                        told_all = Instant::now();
                        self.tell_all(None);
                    }
                }
            }
            self.carry_out();
        }
        self.tier.leave(self.now());
        self.carry_out();
    }

    /// Reads what there is. `false`: the port is to rest.
    fn read(&mut self) -> bool {
        // One byte more than a datagram may have: what fills it is none.
        let mut buffer = [0u8; DATAGRAM_MOST + 1];
        for _ in 0..READ_MOST {
            let length = match self.socket.try_recv_from(&mut buffer) {
                Ok((length, _)) => length,
                // An earlier datagram came to a port where nobody listens: nothing to read.
                Err(_) => return true,
            };
            let Some(payload) = self.datagrams.open(&buffer[..length]) else {
                self.forged += 1;
                self.garbage += 1;
                if self.garbage >= GARBAGE_MOST {
                    self.garbage = 0;
                    return false;
                }
                continue;
            };
            self.garbage = 0;
            let now = self.epoch.elapsed();
            match self.tier.handle(now, payload) {
                Ok(()) => self.trips.heard(now, payload),
                Err(e) => tracing::debug!("a datagram is not taken: {e}"),
            }
        }
        true
    }

    fn heard(&mut self, from: Name, message: Message) {
        if message.topic != WORDS {
            // Nobody takes a topic of a later version, or the queue is full: it is said again.
            if self.others.try_send((from, message)).is_err() {
                tracing::debug!("a message is dropped");
            }
            return;
        }
        let mut body = message.body;
        let mut words = Vec::new();
        while body.len() > 2 {
            let length = usize::from(body.get_u16());
            if length > body.len() {
                break;
            }
            words.extend(Word::read(&body.split_to(length)));
        }
        let now = self.now();
        self.tier.absorb(now, &words);
    }

    /// Those who are here and take part.
    fn here(&self) -> Vec<Name> {
        self.part.peers.keys().filter(|name| self.tier.is_here(name)).cloned().collect()
    }

    fn look_after_links(&mut self) {
        if !self.tier.speaks() {
            return;
        }
        let here = self.here();
        self.hub.keep(&successors(&self.part.name, here.iter()));
    }

    /// All words, to this one, or to one that is drawn: whoever missed a datagram hears of it all the same.
    fn tell_all(&mut self, to: Option<&Name>) {
        let now = self.now();
        let words = self.tier.words(now);
        if words.is_empty() || !self.tier.speaks() {
            return;
        }
        let drawn = || {
            let here = self.here();
            (!here.is_empty()).then(|| here[fastrand::usize(..here.len())].clone())
        };
        let Some(to) = to.cloned().or_else(drawn) else { return };
        let mut body = Vec::with_capacity(words.len() * (LENGTH + 2));
        for word in words {
            let bytes = word.bytes();
            body.extend_from_slice(&(bytes.len() as u16).to_be_bytes());
            body.extend_from_slice(&bytes);
        }
        self.hub.send(&to, Message { topic: WORDS, body: Bytes::from(body) });
    }

    fn carry_out(&mut self) {
        for output in self.tier.take() {
            match output {
                Output::Send(to, payload) => {
                    if let Some(address) = self.part.peers.get(&to) {
                        self.trips.sent(self.epoch.elapsed(), &to, &payload);
                        // What can't be sent is lost, as any datagram may be.
                        let _ = self.socket.try_send_to(&self.datagrams.seal(payload), *address);
                    }
                }
                Output::Happened(event) => self.happened(event),
            }
        }
        let version = self.tier.effects_version();
        if version != self.told_version {
            self.told_version = version;
            let effects = Arc::new(self.tier.effects().1);
            self.told.send_replace(Told { epoch: self.epoch, effects });
        }
    }

    fn happened(&mut self, event: Event) {
        match event {
            Event::Up(name, start) => {
                tracing::info!(%name, start, "a balancer is here");
                self.hub.knows(&name, start);
                self.tell_all(Some(&name));
            }
            Event::Down(name, start, state) => {
                tracing::info!(%name, start, state = state.word(), "a balancer is gone");
            }
            Event::Renewed(start) => {
                tracing::warn!(start, "the others took this process for dead; it goes on under a new start");
                self.hub.renew(start);
                if let Some(directory) = self.part.state.clone() {
                    let name = self.part.name.clone();
                    // A disk may stand still.
                    tokio::task::spawn_blocking(move || {
                        if let Err(e) = state::record(&directory, &name, start) {
                            tracing::warn!(
                                "tier.state: {}: the start is not recorded: {e}",
                                directory.display()
                            );
                        }
                    });
                }
            }
            Event::Superseded(start) => tracing::error!(
                start,
                "a later process of this name is in the tier: this one speaks there no more, and goes on serving"
            ),
            Event::Doubled(start) => {
                tracing::error!(start, "an earlier process of this name is in the tier: it is to be ended");
            }
            Event::Stopped(missed) => tracing::warn!(?missed, "this process was stopped"),
            Event::Beside(name, why) => {
                tracing::warn!(%name, "a balancer was seen that takes no part here: {}", why.words());
            }
        }
    }

    fn status(&self) -> Status {
        let now = self.now();
        Status {
            name: self.part.name.clone(),
            start: self.tier.identity().start,
            program: self.part.program,
            since: now,
            speaks: self.tier.speaks(),
            members: self.tier.seen(now),
            away: self.tier.away().cloned().collect(),
            datagrams: self.tier.counts(),
            forged: self.forged,
            links: self.hub.counts(),
            health: self.tier.health(),
            words: self.tier.effects().1.len(),
        }
    }
}
