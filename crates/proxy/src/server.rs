//! The client side: accepts connections, reads requests and writes final responses.

mod arrival;
mod connection;
mod ended;
mod respond;

pub use ended::EndReason;

use crate::admission::AdmissionController;
use crate::inbound::{ReadAheadTotal, peek};
use crate::rejections::PendingRejections;
use crate::requests::RequestReader;
use arrival::Arrivals;
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::descriptors::{Descriptors, EXHAUSTION_BACKOFF, is_descriptor_exhaustion};
use maplehook::parts::dispatcher::Dispatcher;
use maplehook::parts::rate_limited_log::RateLimitedLog;
use maplehook_admission::{DescriptorClass, Rejection, RejectionReason};
use maplehook_http_semantics::Own;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Phases of the shutdown of this process, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process is not shutting down.
    Serving,
    /// Readiness checks fail, and each connection closes with its next response.
    NotReady,
    /// Only other processes accept connections. Each connection closes with its next response; idle ones stay
    /// open.
    Draining,
    /// No connections are accepted, and each connection closes between requests.
    Closing,
    /// Requests are no longer forwarded. Incomplete and further requests are rejected.
    Stopped,
}

/// Accepts and serves client connections.
pub struct Server {
    dispatcher: Rc<Dispatcher>,
    requests: Rc<RequestReader>,
    admission: Rc<AdmissionController>,
    descriptors: Rc<Descriptors>,
    own_responses: Own,
    arrivals: Arrivals,
    rejections: PendingRejections,
    read_ahead_total: Rc<ReadAheadTotal>,
    phase: watch::Receiver<ShutdownPhase>,
    accept_warnings: RateLimitedLog,
    rejection_warnings: RateLimitedLog,
    stall_warnings: RateLimitedLog,
}

impl Server {
    /// Creates a server that passes requests to `dispatcher` and admits clients by `admission`.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        requests: Rc<RequestReader>,
        admission: Rc<AdmissionController>,
        descriptors: Rc<Descriptors>,
        buffer_memory: &BufferMemory,
        own_responses: Own,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Rc<Self> {
        let server = Rc::new(Self {
            dispatcher,
            requests,
            admission,
            descriptors,
            own_responses,
            arrivals: Arrivals::new(),
            rejections: PendingRejections::default(),
            read_ahead_total: ReadAheadTotal::new(buffer_memory),
            phase,
            accept_warnings: RateLimitedLog::default(),
            rejection_warnings: RateLimitedLog::default(),
            stall_warnings: RateLimitedLog::default(),
        });
        server.share_descriptors();
        server
    }

    /// Accepts clients until the process is closing, and returns when the last connection is closed.
    /// Accepting never waits for a free slot: each connection is admitted or rejected at once. If no other process
    /// accepts on the same listener, `retire` gets it once its backlog is empty, to close it without delay.
    pub async fn run(self: Rc<Self>, listener: TcpListener, retire: impl FnOnce(std::net::TcpListener)) {
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Draining) => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    if self.take(stream, peer.ip()) {
                        // An evicted connection closes before the next one is accepted.
                        yield_now().await;
                    }
                }
                Err(e) if is_descriptor_exhaustion(&e) => self.accept_without_descriptor(&listener).await,
                // The client closed the connection before it was accepted.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.accept_warnings.warn(|| format!("accept: {e}"));
                    sleep(EXHAUSTION_BACKOFF).await;
                }
            }
        }
        // While this process drains, other processes accept on the same socket.
        if *self.phase.borrow() >= ShutdownPhase::Closing {
            self.accept_backlog(listener, retire);
        } else {
            drop(listener);
        }
        self.arrivals.wait_until_empty().await;
        self.admission.wait_until_empty().await;
        self.rejections.wait_until_read().await;
    }

    /// Accepts the connections in the listener's backlog, which closing the listener would reset.
    fn accept_backlog(self: &Rc<Self>, listener: TcpListener, retire: impl FnOnce(std::net::TcpListener)) {
        // Asks the kernel directly, because the runtime's readiness state may be stale.
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
                Err(_) => break,
            }
        }
        retire(listener);
    }

    /// Returns the number of descriptors that clients may hold, admitted or silent.
    fn max_client_descriptors(&self) -> usize {
        self.descriptors.descriptors_of(DescriptorClass::Clients)
    }

    /// Admits or rejects a client. Returns true if another connection was asked to close for it.
    fn admit(self: &Rc<Self>, stream: TcpStream, address: IpAddr) -> bool {
        let has_bytes = peek(&stream).is_ok_and(|has_bytes| has_bytes);
        match self.admission.admit(address) {
            Ok((client, has_evicted)) => {
                if has_bytes {
                    self.admission.on_first_byte(&client);
                }
                spawn_local(Rc::clone(self).serve_connection(client, stream, address));
                has_evicted
            }
            Err(rejection) => {
                self.dispatcher.tally().clients_refused.increment(rejection.reason.name());
                self.rejection_warnings
                    .warn(|| format!("{address}: connection rejected: {:?}", rejection.reason));
                // A request that is here gets its answer, however many are rejected.
                let has_response = rejection.has_response || has_bytes;
                self.rejections.reject(stream, &Rejection { has_response, ..rejection });
                false
            }
        }
    }

    /// Handles an accept that failed for lack of a descriptor, which the kernel reports whether or not a
    /// client waits. A waiting client is accepted on the spare descriptor. It is served if another descriptor
    /// can be freed in its place; otherwise it gets a rejection that permits a retry.
    async fn accept_without_descriptor(self: &Rc<Self>, listener: &TcpListener) {
        self.descriptors.release_spare();
        // Polls once without a waker; the accept loop registers its own for the next connection.
        let mut poll_context = Context::from_waker(Waker::noop());
        if let Poll::Ready(Ok((stream, peer))) = listener.poll_accept(&mut poll_context) {
            if self.descriptors.record_exhaustion("accept") {
                self.admit(stream, peer.ip());
            } else {
                self.rejections.reject(stream, &self.admission.reject(RejectionReason::Full));
            }
            sleep(EXHAUSTION_BACKOFF).await;
        }
        self.descriptors.reacquire_spare();
    }
}
