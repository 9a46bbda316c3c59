//! The clients' side: accepts connections, reads requests, writes final answers.

mod connection;
mod ended;
mod respond;

pub use ended::End;

use crate::entrance::Entrance;
use crate::inbound::OfAll;
use crate::refusals::Refusals;
use crate::requests::Requests;
use maplehook::parts::descriptors::{Descriptors, EXHAUSTION_BACKOFF, is_descriptor_exhaustion};
use maplehook::parts::dispatcher::Dispatcher;
use maplehook::parts::rate_limited_log::RateLimitedLog;
use maplehook_admission::RejectionReason;
use maplehook_http_semantics::Own;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// How far the end of this process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not at all.
    Serving,
    /// Not ready any more; connections end with their next answer.
    Leaving,
    /// Nothing new is accepted: others do that. Connections end with their next answer, idle ones stay.
    Draining,
    /// Nothing new is accepted; connections end between requests.
    Closing,
    /// Nothing is sent on any more: what comes or is still being read is refused.
    Stopped,
}

/// What clients reach.
pub struct Server {
    desk: Rc<Dispatcher>,
    requests: Rc<Requests>,
    entrance: Rc<Entrance>,
    descriptors: Rc<Descriptors>,
    words: Own,
    refusals: Refusals,
    read_ahead: OfAll,
    phase: watch::Receiver<Phase>,
    odd: RateLimitedLog,
    refused: RateLimitedLog,
    cut_short: RateLimitedLog,
}

impl Server {
    /// A server that hands requests to `desk` and lets clients in by `entrance`.
    pub fn new(
        desk: Rc<Dispatcher>,
        requests: Rc<Requests>,
        entrance: Rc<Entrance>,
        descriptors: Rc<Descriptors>,
        words: Own,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Self> {
        Rc::new(Self {
            desk,
            requests,
            entrance,
            descriptors,
            words,
            refusals: Refusals::default(),
            read_ahead: OfAll::default(),
            phase,
            odd: RateLimitedLog::default(),
            refused: RateLimitedLog::default(),
            cut_short: RateLimitedLog::default(),
        })
    }

    /// Accepts clients until the process is closing; returns when the last of them has gone. An accept never
    /// waits for a place: whoever comes is let in or refused at once.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|p| *p >= Phase::Draining) => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    if self.admit(stream, peer.ip()) {
                        // Whoever was told to end does so before the next one comes.
                        yield_now().await;
                    }
                }
                Err(e) if is_descriptor_exhaustion(&e) => self.starved(&listener).await,
                // One that has gone again before it was accepted.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.odd.warn(|| format!("accept: {e}"));
                    sleep(EXHAUSTION_BACKOFF).await;
                }
            }
        }
        // While draining others accept on the same socket.
        if *self.phase.borrow() >= Phase::Closing {
            self.accept_waiting(listener);
        } else {
            drop(listener);
        }
        self.entrance.is_empty().await;
        self.refusals.are_read().await;
    }

    /// Accepts those that wait: with the listener they would be reset.
    fn accept_waiting(self: &Rc<Self>, listener: TcpListener) {
        // The kernel is asked itself: what the runtime knows of it may be older.
        let Ok(listener) = listener.into_std() else { return };
        loop {
            match listener.accept() {
                Ok((stream, peer)) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.admit(stream, peer.ip());
                    }
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(_) => return,
            }
        }
    }

    /// Lets a client in or refuses it; `true`: another was told to end for it.
    fn admit(self: &Rc<Self>, stream: TcpStream, address: IpAddr) -> bool {
        match self.entrance.arrive(address) {
            Ok((client, ends)) => {
                spawn_local(Rc::clone(self).connection(client, stream, address));
                ends
            }
            Err(refusal) => {
                self.desk.tally().clients_refused.increment(refusal.reason.name());
                self.refused.warn(|| format!("{address} refused at the door: {:?}", refusal.reason));
                self.refusals.refuse(stream, &refusal);
                false
            }
        }
    }

    /// There was no descriptor to accept with, which the kernel says whether or not anybody waits. Whoever does
    /// is accepted on the spare one, and stays if another descriptor can be freed in its stead; else it is
    /// told that trying again is harmless. Accepting goes on.
    async fn starved(self: &Rc<Self>, listener: &TcpListener) {
        self.descriptors.release_spare();
        // Only a look: the loop's own wait is told of the next one.
        let mut look = Context::from_waker(Waker::noop());
        if let Poll::Ready(Ok((stream, peer))) = listener.poll_accept(&mut look) {
            if self.descriptors.record_exhaustion("accept") {
                self.admit(stream, peer.ip());
            } else {
                self.refusals.refuse(stream, &self.entrance.refuse(RejectionReason::Full));
            }
            sleep(EXHAUSTION_BACKOFF).await;
        }
        self.descriptors.reacquire_spare();
    }
}
