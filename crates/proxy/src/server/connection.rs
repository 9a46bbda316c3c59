//! The life cycle of one client connection: serving requests, ending, and closing the socket.

use super::{EndReason, Server, ShutdownPhase};
use crate::client::{ClientConnection, ConnectionState};
use crate::inbound::{ClientStream, HttpIo, POLL_TIMEOUT, RemainingStream};
use crate::rejections::{MAX_DISCARDED_CLIENT_BYTES, discard_available, linger};
use crate::requests::{OUT_OF_MEMORY, body_fault_response};
use crate::responses::response_bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use maplehook::parts::body::Fault;
use maplehook_http_semantics::Unfit;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::IpAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

#[cfg(test)]
mod tests;

/// Time that a closing connection has to deliver the rest of a response.
const MAX_CLOSE_DELAY: Duration = Duration::from_secs(2);
/// Number of checks that find unread bytes before a connection that timed out is closed anyway.
const MAX_UNREAD_CHECKS: u32 = 20;
/// Time that a new connection gets for its first request at a shutdown: a client connects to send a request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// Interval between checks of a closing connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Size of a connection's read buffer, which limits the length of a request head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

impl Server {
    /// Serves a client until its connection has ended, and then closes the socket.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        tcp: TcpStream,
        peer: IpAddr,
    ) {
        // Without the option the connection is slower, but still correct.
        let _ = tcp.set_nodelay(true);
        let stream = ClientStream::new(tcp, Rc::clone(&client), Rc::clone(&self.read_ahead_total));
        let reason = self.serve_requests(&stream, peer).await;
        self.record_end(&client, peer, reason);
        match ClientStream::into_remaining(stream) {
            Some(RemainingStream::WriteShut(tcp)) if !client.has_read_response() => close(&client, tcp).await,
            Some(RemainingStream::WriteIdle(tcp)) if reason == EndReason::RequestStalled => {
                client.mark_timeout_reported();
                self.write_last_response(&tcp, &body_fault_response(Fault::Slow));
                close(&client, tcp).await;
            }
            Some(RemainingStream::WriteIdle(tcp)) if reason == EndReason::OutOfMemory => {
                self.write_last_response(&tcp, &OUT_OF_MEMORY);
                close(&client, tcp).await;
            }
            _ => {}
        }
        client.on_close();
    }

    /// Tells a client why the request that it is sending is not served. The connection must not have a response in
    /// progress.
    fn write_last_response(&self, stream: &TcpStream, reason: &Unfit) {
        self.count_invalid(reason);
        // A client that does not receive the response sees the connection close.
        let _ = stream.try_write(&response_bytes(&self.unfit_response(reason)));
    }

    /// Logs and counts the end of a connection.
    fn record_end(&self, client: &ClientConnection, peer: IpAddr, end_reason: EndReason) {
        self.dispatcher.tally().clients_ended.increment(end_reason.name());
        let (reason, state, silent) = (end_reason.name(), client.state(), client.time_since_received());
        let (received_bytes, label) = (client.bytes_since_response(), client.label());
        tracing::debug!(%peer, reason, ?state, ?silent, received_bytes, %label, "client connection ended");
        if matches!(end_reason, EndReason::RequestStalled | EndReason::ResponseUnread) {
            self.stall_warnings.warn(|| {
                format!("client {peer}: connection ended: {reason} in state {state:?}, silent for {silent:?}, {received_bytes} bytes received, last request {label}")
            });
        }
    }

    /// Serves requests until the connection ends, and returns the reason. The rest of the last response may
    /// still be in the kernel's send buffer.
    async fn serve_requests(self: &Rc<Self>, stream: &Rc<ClientStream>, peer: IpAddr) -> EndReason {
        let (client, mut phase) = (stream.client(), self.phase.clone());
        let (server, http_stream) = (Rc::clone(self), Rc::clone(stream));
        let service = service_fn(move |request| {
            let (server, stream) = (Rc::clone(&server), Rc::clone(&http_stream));
            async move { Ok::<_, Infallible>(server.respond(&stream, peer, request).await) }
        });
        let mut http = http1::Builder::new();
        // `ClientConnection::wait_for_expiry` times out incomplete heads.
        http.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        let connection = http.serve_connection(TokioIo::new(HttpIo(Rc::clone(stream))), service);
        tokio::pin!(connection);
        let mut unread_checks = 0;
        let reason = loop {
            if stream.is_out_of_memory() {
                return EndReason::OutOfMemory;
            }
            let is_shutdown = tokio::select! {
                ended = or_client_gone(connection.as_mut(), stream) => return end_reason_of(stream, &ended),
                () = client.wait_for_close() => false,
                () = stream.watch_uploads() => false,
                () = stream.wait_until_out_of_memory() => return EndReason::OutOfMemory,
                () = stream.wait_for_hidden_end() => return EndReason::ClosedByClient,
                _ = phase.wait_for(|p| *p >= ShutdownPhase::Closing) => true,
            };
            if is_shutdown {
                break EndReason::Shutdown;
            }
            if client.is_close_requested() {
                break EndReason::Evicted;
            }
            // The connection timed out, but bytes that have just been received may not be processed yet.
            if let Ok(ended) = timeout(POLL_TIMEOUT, or_client_gone(connection.as_mut(), stream)).await {
                return end_reason_of(stream, &ended);
            }
            match client.expiry_reason() {
                // While a response is pending, the upstream may be the slow reader.
                Some(_)
                    if client.state() != ConnectionState::Held
                        && unread_checks < MAX_UNREAD_CHECKS
                        && stream.has_unread_bytes() =>
                {
                    unread_checks += 1
                }
                Some(reason) => break reason,
                None => unread_checks = 0,
            }
        };
        if matches!(
            reason,
            EndReason::NothingReceived | EndReason::RequestStalled | EndReason::ResponseUnread
        ) {
            return reason;
        }
        let has_unread_bytes = || stream.has_unread_bytes();
        match wait_for_responses(
            client,
            reason == EndReason::Shutdown,
            has_unread_bytes,
            or_client_gone(connection.as_mut(), stream),
        )
        .await
        {
            Ok(true) => {
                connection.as_mut().graceful_shutdown();
                // The rest of the response must be delivered; an error does not change the reason.
                let _ = finish_response(client, or_client_gone(connection, stream)).await;
            }
            Ok(false) if client.has_stalled_request() => return EndReason::RequestStalled,
            Ok(false) => {}
            Err(e) => tracing::debug!("client: {e}"),
        }
        reason
    }
}

/// Returns why a connection has ended that the balancer did not close.
fn end_reason_of(stream: &ClientStream, ended: &hyper::Result<()>) -> EndReason {
    match ended {
        Err(e) => {
            tracing::debug!("client: {e}");
            if stream.has_client_eof() { EndReason::ClosedByClient } else { EndReason::ConnectionFailed }
        }
        Ok(()) if stream.client().is_timeout_reported() => EndReason::RequestStalled,
        Ok(()) if stream.has_client_eof() => EndReason::ClosedByClient,
        Ok(()) => EndReason::ClosedWithResponse,
    }
}

/// Polls a connection, and also completes if the client closes its side while a response is pending.
async fn or_client_gone<C>(mut connection: Pin<&mut C>, stream: &ClientStream) -> hyper::Result<()>
where
    C: Future<Output = hyper::Result<()>>,
{
    poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(ended),
        Poll::Pending => stream.poll_client_gone(cx).map(Ok),
    })
    .await
}

/// Waits until the connection is between requests, so that accepted requests get their responses. If
/// `is_shutdown`, requests that are being received are completed too, at the client's pace.
/// `has_unread_bytes` asks the kernel for unread bytes, because the timers of a process that was suspended
/// expire before it reads them. Returns true if the connection is between requests, and false if it has ended
/// or is given up.
async fn wait_for_responses(
    client: &ClientConnection,
    is_shutdown: bool,
    has_unread_bytes: impl Fn() -> bool,
    connection: impl Future<Output = hyper::Result<()>>,
) -> hyper::Result<bool> {
    let (mut connection, started) = (pin!(connection), Instant::now());
    let mut poll_time = match client.state() {
        _ if !is_shutdown => Duration::ZERO,
        ConnectionState::New => FIRST_REQUEST_GRACE,
        // Bytes that have just been received may not be processed yet.
        _ => POLL_TIMEOUT,
    };
    loop {
        if !poll_time.is_zero()
            && let Ok(ended) = timeout(poll_time, connection.as_mut()).await
        {
            return ended.map(|()| false);
        }
        match client.state() {
            // A client that does not read its response can detect that the response is incomplete.
            ConnectionState::Held if client.has_stalled_response() => return Ok(false),
            ConnectionState::Held => {}
            _ if started.elapsed() < MAX_CLOSE_DELAY && has_unread_bytes() => {
                poll_time = POLL_TIMEOUT;
                continue;
            }
            // The client has sent at most part of a request, so none was accepted.
            _ if client.has_stalled_request() => return Ok(false),
            ConnectionState::New | ConnectionState::Reading if !is_shutdown => return Ok(false),
            ConnectionState::Idle if !is_shutdown && started.elapsed() > MAX_CLOSE_DELAY => return Ok(false),
            _ if client.has_complete_pipelined_request() || (is_shutdown && client.is_sending_request()) => {}
            _ => return Ok(true),
        }
        poll_time = CHECK_INTERVAL;
    }
}

/// Waits for a response to a client that reads slowly. Between requests a connection that shuts down ends at
/// once.
async fn finish_response(
    client: &ClientConnection,
    connection: impl Future<Output = hyper::Result<()>>,
) -> hyper::Result<()> {
    let (mut connection, mut answered_at) = (pin!(connection), None);
    loop {
        if let Ok(ended) = timeout(CHECK_INTERVAL, connection.as_mut()).await {
            return ended;
        }
        match client.state() {
            ConnectionState::Held if client.has_stalled_response() => return Ok(()),
            ConnectionState::Held => {}
            // The client has sent at most part of a request, so none was accepted.
            ConnectionState::New | ConnectionState::Reading => return Ok(()),
            ConnectionState::Idle => {
                if answered_at.get_or_insert_with(Instant::now).elapsed() > MAX_CLOSE_DELAY {
                    return Ok(());
                }
            }
        }
    }
}

/// Closes a stream whose write side is closed. Closing it with unread bytes would reset the connection and
/// destroy response bytes that the client has not read yet. So received bytes are discarded for a while,
/// until the client closes too or another connection needs the slot.
async fn close(client: &ClientConnection, stream: TcpStream) {
    if client.is_close_requested() {
        discard_available(&stream);
        return;
    }
    tokio::select! {
        () = linger(stream, MAX_DISCARDED_CLIENT_BYTES) => {}
        () = client.wait_for_close_request() => {}
    }
}
