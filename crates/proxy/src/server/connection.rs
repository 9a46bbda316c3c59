//! The life of one client's connection: how it is served, when it ends, and how it is closed.

use super::{End, Phase, Server};
use crate::client::{Client, Stand};
use crate::inbound::{GLANCE, Inbound, Left, Wire};
use crate::refusals::{CLIENT_MORE_MOST, empty, linger};
use crate::requests::at_fault;
use crate::words::raw;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use maplehook::parts::body::Fault;
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

/// How long a connection that is to end may take over the rest of an answer.
const ANSWER_MOST: Duration = Duration::from_secs(2);
/// Looks at bytes that have come and are not read, until the connection is given up all the same.
const LOOKS_MOST: u32 = 20;
/// The same at a client that has only just connected: whoever does has a request to send.
const NEWCOMER: Duration = Duration::from_millis(100);
/// How often it is looked at meanwhile.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Size of a connection's buffer, the longest head.
const BUFFER: usize = 32 * 1024;

impl Server {
    /// Serves a client until its connection has ended.
    pub(super) async fn connection(self: Rc<Self>, client: Rc<Client>, stream: TcpStream, peer: IpAddr) {
        // An unset option costs time, not truth.
        let _ = stream.set_nodelay(true);
        let wire = Wire::new(stream, Rc::clone(&client), Rc::clone(&self.read_ahead));
        let end = self.converse(&wire, peer).await;
        self.tell_end(&client, peer, end);
        match Wire::into_left(wire) {
            Some(Left::Shut(stream)) if !client.has_rested() => close(&client, stream).await,
            Some(Left::Quiet(stream)) if end == End::Stopped => {
                self.tell_stopped(&client, &stream);
                close(&client, stream).await;
            }
            _ => {}
        }
        client.leaves();
    }

    /// Tells a client that its request did not come in time. Its connection is between answers.
    fn tell_stopped(&self, client: &Client, stream: &TcpStream) {
        client.is_cut_short();
        let unfit = at_fault(Fault::Slow);
        self.count_unfit(&unfit);
        // A client that takes nothing of it sees the end.
        let _ = stream.try_write(&raw(&self.words.unfit(&unfit)));
    }

    /// Tells the log and the figures why a connection ends.
    fn tell_end(&self, client: &Client, peer: IpAddr, end: End) {
        self.desk.tally().clients_ended.increment(end.name());
        let (reason, stand, silent) = (end.name(), client.stand(), client.silence());
        let (came, label) = (client.came_since_answer(), client.label());
        tracing::debug!(%peer, reason, ?stand, ?silent, came, %label, "a client's connection ends");
        if matches!(end, End::Stopped | End::Unread) {
            self.cut_short.warn(|| {
                format!("client {peer} ended: {reason} as {stand:?}, silent for {silent:?}, {came} bytes came, last request {label}")
            });
        }
    }

    /// Serves requests until no more is to come; what the client then still has to read is the kernel's. Returns why it ends.
    async fn converse(self: &Rc<Self>, wire: &Rc<Wire>, peer: IpAddr) -> End {
        let (client, mut phase) = (wire.client(), self.phase.clone());
        let (server, on) = (Rc::clone(self), Rc::clone(wire));
        let service = service_fn(move |request| {
            let (server, wire) = (Rc::clone(&server), Rc::clone(&on));
            async move { Ok::<_, Infallible>(server.respond(&wire, peer, request).await) }
        });
        let mut builder = http1::Builder::new();
        // The head's time is the client's own affair, see `Client::overdue`.
        builder.header_read_timeout(None).max_buf_size(BUFFER);
        let connection = builder.serve_connection(TokioIo::new(Inbound(Rc::clone(wire))), service);
        tokio::pin!(connection);
        let mut looks = 0;
        let end = loop {
            let leaving = tokio::select! {
                ended = attended(connection.as_mut(), wire) => return by_itself(wire, &ended),
                () = client.is_to_end() => false,
                () = wire.watches_uploads() => false,
                _ = phase.wait_for(|p| *p >= Phase::Closing) => true,
            };
            if leaving {
                break End::Leaving;
            }
            if client.is_told() {
                break End::Displaced;
            }
            // One whose time is over: what has just come may not have been looked at.
            if let Ok(ended) = timeout(GLANCE, attended(connection.as_mut(), wire)).await {
                return by_itself(wire, &ended);
            }
            match client.overdue_for() {
                // While a request is held its upstream may be what is slow to read.
                Some(_) if client.stand() != Stand::Held && looks < LOOKS_MOST && wire.has_unread() => {
                    looks += 1
                }
                Some(end) => break end,
                None => looks = 0,
            }
        };
        if matches!(end, End::Silent | End::Stopped | End::Unread) {
            return end;
        }
        let unread = || wire.has_unread();
        match settle(client, end == End::Leaving, unread, attended(connection.as_mut(), wire)).await {
            Ok(true) => {
                connection.as_mut().graceful_shutdown();
                // What is left to be written is owed; how it ends changes nothing of why.
                let _ = finish(client, attended(connection, wire)).await;
            }
            Ok(false) if client.has_stopped() => return End::Stopped,
            Ok(false) => {}
            Err(e) => tracing::debug!("client: {e}"),
        }
        end
    }
}

/// Why a connection has ended of which nobody here wanted that.
fn by_itself(wire: &Wire, ended: &hyper::Result<()>) -> End {
    match ended {
        Err(e) => {
            tracing::debug!("client: {e}");
            if wire.has_ended() { End::Left } else { End::Broken }
        }
        Ok(()) if wire.client().was_cut_short() => End::Stopped,
        Ok(()) if wire.has_ended() => End::Left,
        Ok(()) => End::Answered,
    }
}

/// A connection that ends also when its client has gone while it is owed an answer.
async fn attended<C>(mut connection: Pin<&mut C>, wire: &Wire) -> hyper::Result<()>
where
    C: Future<Output = hyper::Result<()>>,
{
    poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(ended),
        Poll::Pending => wire.poll_gone(cx).map(Ok),
    })
    .await
}

/// Lets what was taken on a connection that is to end have its answer first. Where the process is `leaving`, what is
/// being written comes whole too, at its pace. `unread` asks the kernel whether bytes have come that nobody has read: a
/// process that stood still finds its timers before those. `true`: the connection is between requests then; `false`: it has
/// ended, or is given up.
async fn settle(
    client: &Client,
    leaving: bool,
    unread: impl Fn() -> bool,
    connection: impl Future<Output = hyper::Result<()>>,
) -> hyper::Result<bool> {
    let (mut connection, since) = (pin!(connection), Instant::now());
    let mut look = match client.stand() {
        _ if !leaving => Duration::ZERO,
        Stand::New => NEWCOMER,
        // What has just come may not have been looked at.
        _ => GLANCE,
    };
    loop {
        if !look.is_zero()
            && let Ok(ended) = timeout(look, connection.as_mut()).await
        {
            return ended.map(|()| false);
        }
        match client.stand() {
            // Whoever does not read its answer can tell that it is not whole.
            Stand::Held if client.is_stalled() => return Ok(false),
            Stand::Held => {}
            _ if since.elapsed() < ANSWER_MOST && unread() => {
                look = GLANCE;
                continue;
            }
            // Part of a request at most: nothing was taken.
            _ if client.has_stopped() => return Ok(false),
            Stand::New | Stand::Reading if !leaving => return Ok(false),
            Stand::Idle if !leaving && since.elapsed() > ANSWER_MOST => return Ok(false),
            _ if client.has_whole() || (leaving && client.is_writing()) => {}
            _ => return Ok(true),
        }
        look = LOOK_EVERY;
    }
}

/// Waits for an answer that is on its way to a client who reads slowly. Between requests a connection that shuts down
/// ends at once.
async fn finish(client: &Client, connection: impl Future<Output = hyper::Result<()>>) -> hyper::Result<()> {
    let (mut connection, mut answered) = (pin!(connection), None);
    loop {
        if let Ok(ended) = timeout(LOOK_EVERY, connection.as_mut()).await {
            return ended;
        }
        match client.stand() {
            Stand::Held if client.is_stalled() => return Ok(()),
            Stand::Held => {}
            // Part of a request at most: nothing was taken.
            Stand::New | Stand::Reading => return Ok(()),
            Stand::Idle => {
                if answered.get_or_insert_with(Instant::now).elapsed() > ANSWER_MOST {
                    return Ok(());
                }
            }
        }
    }
}

/// Closes a stream on which our sending has ended. With bytes unread that would be a reset, which takes along what the
/// client has not read yet: what comes is read away until the client ends too, for a while, and as long as nobody else
/// needs the place.
async fn close(client: &Client, stream: TcpStream) {
    if client.is_told() {
        empty(&stream);
        return;
    }
    tokio::select! {
        () = linger(stream, CLIENT_MORE_MOST) => {}
        () = client.told() => {}
    }
}
