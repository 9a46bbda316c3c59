//! State of one client connection and the timeouts that apply to it.

mod progress;
mod received;
mod response;
mod sender;

pub use progress::ClientTimeouts;

use crate::framing::Framing;
use crate::server::EndReason;
use maplehook::label::Label;
use maplehook_admission::ConnectionId;
use maplehook_core::exchange_time::SenderClock;
use maplehook_core::request_lifecycle::RequestLifecycle;
use progress::{Progress, SEND_GRACE};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without a request after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a written response counts as read. A client that is slower blocks only its own next
/// response.
const ASSUMED_READ_AFTER: Duration = Duration::from_secs(3);
/// Interval between checks of a connection on which a request may begin at any time.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Extra time before the connection reports a stalled upload, so that the attempt that forwards the body can
/// report the stall first.
const STALL_REPORT_DELAY: Duration = Duration::from_millis(50);
/// Request state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Waiting for the first valid request.
    New,
    /// A request head was received; the request is not complete yet.
    Reading,
    /// The response to a valid request is pending.
    Held,
    /// The last request was answered.
    Idle,
}

/// Kind of the client message that a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A valid request, which is forwarded or rejected.
    Request,
    /// A request for one of the balancer's own health endpoints.
    Health,
    /// A message that is not a valid request.
    Invalid,
}

/// Receives the events of client connections.
pub trait ConnectionObserver {
    /// Called when part of a request was received.
    fn on_bytes(&self, id: ConnectionId);
    /// Called when a valid request was received; `is_authenticated`: the request identifies a known client.
    fn on_request(&self, id: ConnectionId, tenant: u32, is_authenticated: bool);
    /// Called when a request was answered. Returns true if the connection must close after that response.
    fn on_response(&self, id: ConnectionId) -> bool;
    /// Called when a health check or an invalid message was answered. Returns true if the connection must
    /// close after that response.
    fn on_health_check_response(&self, id: ConnectionId) -> bool;
    /// Called when the connection was closed.
    fn on_close(&self, id: ConnectionId);
}

/// Request state, transfer progress and close request of a client connection.
pub struct ClientConnection {
    observer: Rc<dyn ConnectionObserver>,
    id: ConnectionId,
    state: Cell<ConnectionState>,
    /// True if the client has ever sent a valid request.
    has_valid_request: Cell<bool>,
    /// Time of the last response, or of the connection's start if there was none.
    idle_since: Cell<Instant>,
    progress: Progress,
    /// Maximum pause within a streaming request body; `None` without such a body or once its response was
    /// received.
    upload_idle_limit: Cell<Option<Duration>>,
    upload_started: Notify,
    /// True if the client was notified that its request timed out.
    timeout_reported: Cell<bool>,
    /// Label of the last request, for the log.
    label: Cell<Label>,
    /// Boundaries of the client's requests. `has_hidden_length`: the current head has a `Content-Length` that
    /// hyper hides.
    framing: RefCell<Framing>,
    has_hidden_length: Cell<bool>,
    /// What is known of the time at which the client has written its request; counts from `created_at`.
    sender: RefCell<SenderClock>,
    created_at: Instant,
    /// Wakes the connection's task to close; `close_requested` is true from then on.
    close_signal: Notify,
    /// Task of a streaming response that waits until the client reads on.
    blocked_body: Cell<Option<Waker>>,
    close_requested: Cell<bool>,
    /// Request whose streaming response is being written.
    answered_request: RefCell<Option<Rc<RequestLifecycle>>>,
}

impl ClientConnection {
    /// Creates the state of a connection that was just admitted under `id`.
    pub fn new(observer: Rc<dyn ConnectionObserver>, id: ConnectionId, timeouts: ClientTimeouts) -> Self {
        Self {
            observer,
            id,
            progress: Progress::new(timeouts),
            upload_idle_limit: Cell::new(None),
            upload_started: Notify::new(),
            timeout_reported: Cell::new(false),
            state: Cell::new(ConnectionState::New),
            has_valid_request: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            label: Cell::default(),
            framing: RefCell::default(),
            has_hidden_length: Cell::new(false),
            sender: RefCell::new(SenderClock::new(Duration::ZERO)),
            created_at: Instant::now(),
            close_signal: Notify::new(),
            blocked_body: Cell::default(),
            close_requested: Cell::new(false),
            answered_request: RefCell::default(),
        }
    }

    /// Returns the id under which the connection was admitted.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the request state.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Records that the head of the request with this label was read.
    pub fn on_head(&self, label: Label) {
        self.label.set(label);
        self.has_hidden_length.set(self.framing.borrow_mut().advance());
        self.start_sender_clock();
        let start = self.progress.request_started().unwrap_or_else(Instant::now);
        let start = if self.state.replace(ConnectionState::Reading) == ConnectionState::New {
            self.idle_since.get()
        } else {
            start
        };
        self.progress.start_request(start);
    }

    /// Records that a valid request was received, either complete or with a streaming body.
    /// `upload_idle_limit`: the maximum pause within that body. `is_authenticated`: the request identifies a
    /// known client.
    pub fn on_request(&self, tenant: u32, is_authenticated: bool, upload_idle_limit: Option<Duration>) {
        self.progress.finish_request();
        self.upload_idle_limit.set(upload_idle_limit);
        if upload_idle_limit.is_some() {
            self.upload_started.notify_one();
        }
        self.state.set(ConnectionState::Held);
        self.observer.on_request(self.id, tenant, is_authenticated);
    }

    /// Records a response to a message of this kind. Returns true if the connection must close after that
    /// response. A client that has sent only invalid messages stays in [`ConnectionState::New`].
    pub fn on_response(&self, kind: MessageKind) -> bool {
        self.progress.reset_request();
        self.upload_idle_limit.set(None);
        self.has_valid_request.set(self.has_valid_request.get() || kind == MessageKind::Request);
        if self.has_valid_request.get() || kind == MessageKind::Health {
            self.state.set(ConnectionState::Idle);
            self.idle_since.set(Instant::now());
        } else {
            self.state.set(ConnectionState::New);
        }
        match kind {
            MessageKind::Request => self.observer.on_response(self.id),
            MessageKind::Health | MessageKind::Invalid => self.observer.on_health_check_response(self.id),
        }
    }

    /// Records that the upstream's response was received. The rest of the request body no longer times out.
    pub fn on_upstream_response(&self) {
        self.upload_idle_limit.set(None);
    }

    /// Reports that the connection was closed.
    pub fn on_close(&self) {
        self.observer.on_close(self.id);
    }

    /// Returns true if no response is pending and the client has sent part of a request. A client that does
    /// not read its last response is not expected to send the rest.
    fn is_mid_request(&self) -> bool {
        match self.state.get() {
            ConnectionState::Reading => true,
            ConnectionState::New | ConnectionState::Idle => {
                !self.progress.is_write_blocked() && self.framing.borrow().has_partial_next_request()
            }
            ConnectionState::Held => false,
        }
    }

    /// Returns the maximum pause within the streaming body, if that body is not complete yet.
    fn remaining_upload_limit(&self) -> Option<Duration> {
        self.upload_idle_limit.get().filter(|_| self.framing.borrow().is_body_incomplete())
    }

    /// Returns when the connection times out in its current state.
    fn deadline(&self) -> Option<Instant> {
        let start = self.progress.request_started().unwrap_or(self.idle_since.get());
        match self.state.get() {
            ConnectionState::New => Some(self.progress.request_deadline(self.idle_since.get())),
            // The extra time lets the response report the timeout first.
            ConnectionState::Reading => Some(self.progress.request_deadline(start) + SEND_GRACE),
            ConnectionState::Idle if self.is_mid_request() => Some(self.progress.request_deadline(start)),
            ConnectionState::Idle => Some(self.idle_since.get() + IDLE_TIMEOUT),
            // The client of a streaming response may read slowly, up to a limit.
            ConnectionState::Held => self.progress.read_deadline().or_else(|| self.upload_deadline()),
        }
    }

    /// Returns when the streaming body counts as stalled unless more of the body is received.
    fn upload_deadline(&self) -> Option<Instant> {
        self.remaining_upload_limit()
            .map(|idle_limit| self.progress.idle_deadline(idle_limit) + STALL_REPORT_DELAY)
    }

    /// Waits until a request body starts to stream.
    pub async fn wait_for_upload(&self) {
        self.upload_started.notified().await;
    }

    /// Returns true if the streaming body of the current request is not complete yet.
    pub fn is_uploading(&self) -> bool {
        self.remaining_upload_limit().is_some()
    }

    /// Returns why the connection must be closed, if its current state has timed out.
    pub fn expiry_reason(&self) -> Option<EndReason> {
        let reason = match self.state.get() {
            _ if self.is_mid_request() => EndReason::RequestStalled,
            ConnectionState::Held if self.progress.read_deadline().is_none() => EndReason::RequestStalled,
            ConnectionState::Held => EndReason::ResponseUnread,
            ConnectionState::New => EndReason::NothingReceived,
            ConnectionState::Reading | ConnectionState::Idle => EndReason::Idle,
        };
        self.deadline().filter(|deadline| *deadline <= Instant::now()).map(|_| reason)
    }

    /// Returns when the request that is being read times out.
    pub fn request_deadline(&self) -> Option<Instant> {
        self.progress.request_started().map(|start| self.progress.request_deadline(start))
    }

    /// Returns true if the client stopped sending in the middle of a request, without a pending response, and
    /// timed out.
    pub fn has_stalled_request(&self) -> bool {
        self.expiry_reason() == Some(EndReason::RequestStalled)
    }

    /// Records that the client was notified that its request timed out.
    pub fn mark_timeout_reported(&self) {
        self.timeout_reported.set(true);
    }

    /// Returns true if the client was notified that its request timed out.
    pub fn is_timeout_reported(&self) -> bool {
        self.timeout_reported.get()
    }

    /// Returns the time since the last byte was received from the client.
    pub fn time_since_received(&self) -> Duration {
        self.progress.time_since_received()
    }

    /// Returns the label of the last request.
    pub fn label(&self) -> Label {
        self.label.get()
    }

    /// Returns the number of request bytes consumed since the last response.
    pub fn bytes_since_response(&self) -> usize {
        self.progress.consumed_bytes()
    }

    /// Returns true if the last response is so old that the client counts as having read it.
    pub fn has_read_response(&self) -> bool {
        self.state.get() == ConnectionState::Idle && self.idle_since.get().elapsed() > ASSUMED_READ_AFTER
    }

    /// Returns true if the client has left a response unread for too long.
    pub fn has_stalled_response(&self) -> bool {
        self.progress.read_deadline().is_some_and(|by| by <= Instant::now())
    }

    /// Waits until the connection is asked to close or its current state has timed out.
    pub async fn wait_for_close(&self) {
        tokio::select! {
            () = self.close_signal.notified() => (),
            () = self.wait_for_expiry() => (),
        }
    }

    async fn wait_for_expiry(&self) {
        loop {
            let (now, deadline) = (Instant::now(), self.deadline());
            if deadline.is_some_and(|deadline| deadline <= now) {
                return;
            }
            let next_check = now + CHECK_INTERVAL;
            let wake_at = match deadline {
                Some(deadline) if self.state.get() == ConnectionState::New => deadline,
                deadline => deadline.map_or(next_check, |deadline| deadline.min(next_check)),
            };
            tokio::time::sleep_until(wake_at).await;
        }
    }

    /// Asks the connection to close and free its slot.
    pub fn request_close(&self) {
        self.close_requested.set(true);
        self.close_signal.notify_one();
    }

    /// Returns true if the connection was asked to close.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.get()
    }

    /// Waits until the connection is asked to close.
    pub async fn wait_for_close_request(&self) {
        if !self.close_requested.get() {
            self.close_signal.notified().await;
        }
    }

    /// Records that the HTTP connection consumed this many bytes of a request.
    pub fn on_consumed(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        if self.state.get() == ConnectionState::Idle && self.progress.request_started().is_none() {
            self.progress.start_request(Instant::now());
        }
        if self.state.get() != ConnectionState::Held {
            self.observer.on_bytes(self.id);
        }
        self.progress.add_consumed(bytes);
    }
}

#[cfg(test)]
pub mod tests;
