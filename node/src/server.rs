//! The clients' side: accepts connections, reads requests, writes final answers.

use crate::client::{Client, Inbound, Question, Stand};
use crate::entrance::Entrance;
use crate::refusals::Refusals;
use crate::requests::{Ready, Requests, VERSION, at_fault};
use crate::words::{Tail, own, plain, worded};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use maplehook::parts::answer::AnswerBody;
use maplehook::parts::body::{Pace, Upload, read_away};
use maplehook::parts::descriptors::{Descriptors, PAUSE, out_of_descriptors};
use maplehook::parts::desk::Desk;
use maplehook::parts::driver::Answer;
use maplehook::parts::seldom::Seldom;
use maplehook_admission::Reason;
use maplehook_routes::{Own, Unfit};
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, timeout};

/// How long a connection that is to end may take over the rest of an answer.
const ANSWER_MOST: Duration = Duration::from_secs(2);
/// A look at whether anything has come.
const GLANCE: Duration = Duration::from_millis(1);
/// How often it is looked at meanwhile.
const LINGER: Duration = Duration::from_millis(250);
/// Size of a connection's buffer, the longest head.
const BUFFER: usize = 32 * 1024;

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
}

/// What clients reach.
pub struct Server {
    desk: Rc<Desk>,
    requests: Rc<Requests>,
    entrance: Rc<Entrance>,
    descriptors: Rc<Descriptors>,
    words: Own,
    refusals: Refusals,
    phase: watch::Receiver<Phase>,
    odd: Seldom,
    refused: Seldom,
}

impl Server {
    /// A server that hands requests to `desk` and lets clients in by `entrance`.
    pub fn new(
        desk: Rc<Desk>,
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
            phase,
            odd: Seldom::default(),
            refused: Seldom::default(),
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
                Err(e) if out_of_descriptors(&e) => self.starved(&listener).await,
                // One that has gone again before it was accepted.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.odd.warn(|| format!("accept: {e}"));
                    sleep(PAUSE).await;
                }
            }
        }
        drop(listener);
        self.entrance.is_empty().await;
    }

    /// Lets a client in or refuses it; `true`: another was told to end for it.
    fn admit(self: &Rc<Self>, stream: TcpStream, address: IpAddr) -> bool {
        match self.entrance.arrive(address) {
            Ok((client, ends)) => {
                spawn_local(Rc::clone(self).connection(client, stream, address));
                ends
            }
            Err(refusal) => {
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
        self.descriptors.lend_spare();
        // Only a look: the loop's own wait is told of the next one.
        let mut look = Context::from_waker(Waker::noop());
        if let Poll::Ready(Ok((stream, peer))) = listener.poll_accept(&mut look) {
            if self.descriptors.starved("accept") {
                self.admit(stream, peer.ip());
            } else {
                self.refusals.refuse(stream, &self.entrance.refuse(Reason::Full));
            }
            sleep(PAUSE).await;
        }
        self.descriptors.regain_spare();
    }

    async fn connection(self: Rc<Self>, client: Rc<Client>, stream: TcpStream, peer: IpAddr) {
        // An unset option costs time, not truth.
        let _ = stream.set_nodelay(true);
        let mut phase = self.phase.clone();
        let (server, of) = (Rc::clone(&self), Rc::clone(&client));
        let service = service_fn(move |request| {
            let (server, client) = (Rc::clone(&server), Rc::clone(&of));
            async move { Ok::<_, Infallible>(server.respond(&client, peer, request).await) }
        });
        let mut builder = http1::Builder::new();
        // The head's time is the client's own affair, see `Client::overdue`.
        builder.header_read_timeout(None).max_buf_size(BUFFER);
        let inbound = Inbound::new(stream, Rc::clone(&client));
        let mut connection = builder.serve_connection(TokioIo::new(inbound), service);
        let ended = tokio::select! {
            ended = &mut connection => ended,
            // Part of a request at most: nothing was taken.
            () = client.is_to_end() => match client.stand() {
                Stand::New | Stand::Reading => Ok(()),
                // Whoever does not read its answer can tell that it is not whole.
                Stand::Held if client.is_stalled() => Ok(()),
                Stand::Idle | Stand::Held => {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    finish(&client, &mut connection).await
                }
            },
            _ = phase.wait_for(|p| *p == Phase::Closing) => match written(&client, &mut connection).await {
                Some(ended) => ended,
                None => {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                    finish(&client, &mut connection).await
                }
            }
        };
        // Bytes that nobody will read stand behind what was answered: a reset would take the answer along.
        if ended.as_ref().is_err_and(hyper::Error::is_parse) || client.is_unfit() {
            self.refusals.read_away(connection.into_parts().io.into_inner().into_stream());
        }
        if let Err(e) = ended {
            tracing::debug!("client: {e}");
        }
        client.leaves();
    }

    async fn respond(&self, client: &Rc<Client>, peer: IpAddr, request: Request<Incoming>) -> Response<Tail> {
        let leaving = || *self.phase.borrow() != Phase::Serving;
        let pace = client.reads();
        let mut question = Question::Request;
        let mut response = match request.uri().path() {
            "/health/ready" | "/health/live" if request.body().is_end_stream() => {
                question = Question::Health;
                if leaving() && request.uri().path() == "/health/ready" {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")
                } else {
                    plain(StatusCode::OK, "ok")
                }
            }
            _ => match self.read(client, peer, request, pace).await {
                Ok(ready) => self.answer(ready).await,
                Err(unfit) => {
                    question = Question::Unfit;
                    tracing::debug!(%peer, status = unfit.status.as_u16(), "unfit: {}", unfit.why);
                    let mut answer = own(self.words.unfit(&unfit));
                    if unfit.status == StatusCode::SERVICE_UNAVAILABLE {
                        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
                    }
                    tell(&mut answer, self.requests.label());
                    answer
                }
            },
        };
        let close =
            if matches!(response.body(), AnswerBody::Stream(_)) { false } else { client.answered(question) };
        // A request that stands behind this one has been read, or will be with the rest: it has its answer first.
        if close || (leaving() && !client.has_more()) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        // An answer that streams is owed until its end.
        response.map(|body| Tail::new(body, client))
    }

    async fn answer(&self, ready: Ready) -> Response<AnswerBody> {
        let Ready { asked, identity, upload, open, label } = ready;
        let (answer, _) = self.desk.ask(asked, identity).await;
        drop(open);
        upload.iter().for_each(Upload::answered);
        let mut response = match (answer, upload.and_then(|upload| upload.fault())) {
            // It came to nothing by its client's fault: that is what its client hears.
            (Answer::Refused(_) | Answer::Failed, Some(fault)) => own(self.words.unfit(&at_fault(fault))),
            (answer, _) => worded(answer, self.words),
        };
        tell(&mut response, label);
        response
    }

    /// Reads a request, its body included where that does not stream.
    async fn read(
        &self,
        client: &Client,
        peer: IpAddr,
        request: Request<Incoming>,
        pace: Pace,
    ) -> Result<Ready, Unfit> {
        let (parts, body) = request.into_parts();
        let head = match self.requests.head(parts, peer, client.hides_a_length()) {
            Ok(head) => head,
            Err(unfit) => {
                if !self.requests.is_strict() {
                    spawn_local(read_away(body));
                }
                return Err(unfit);
            }
        };
        let (tenant, vouched) = (head.tenant(), head.vouched);
        let read = self.requests.rest(head, body, pace, peer).await?;
        client.holds(tenant.0, vouched);
        Ok(read)
    }
}

/// Names the version that an answer was given under.
fn tell(response: &mut Response<AnswerBody>, label: Option<HeaderValue>) {
    if let Some(label) = label {
        response.headers_mut().insert(VERSION, label);
    }
}

/// Lets a client that is writing a request finish it, at its pace; the answer ends the connection. `None`: it writes nothing.
async fn written<T>(client: &Client, mut connection: impl Future<Output = T> + Unpin) -> Option<T> {
    // What has just come may not have been looked at.
    let mut look = GLANCE;
    loop {
        if let Ok(ended) = timeout(look, &mut connection).await {
            return Some(ended);
        }
        if !client.is_writing() {
            return None;
        }
        look = LINGER;
    }
}

/// Waits for the answer that a connection which shuts down is still owed, or that is on its way to a client
/// who reads slowly. Between requests such a connection ends at once.
async fn finish(
    client: &Client,
    mut connection: impl Future<Output = hyper::Result<()>> + Unpin,
) -> hyper::Result<()> {
    let mut answered = None;
    loop {
        if let Ok(ended) = timeout(LINGER, &mut connection).await {
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::pin::pin;

    /// Guards an answer on its way to a client who reads slowly: the end of its connection waits for it.
    #[tokio::test(flavor = "local")]
    async fn an_answer_on_its_way_is_finished() {
        let (client, whole) = (crate::client::tests::alone(), Cell::new(false));
        client.reads();
        client.holds(0, false);
        client.answered(Question::Request);
        let slow = pin!(async {
            sleep(3 * LINGER).await;
            whole.set(true);
            Ok(())
        });
        finish(&client, slow).await.unwrap();
        assert!(whole.get());
        // One that never comes to an end is given up.
        finish(&client, pin!(std::future::pending())).await.unwrap();
    }
}
