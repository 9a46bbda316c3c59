//! What is answered to one request.

use super::{Phase, Server};
use crate::client::{Client, Question};
use crate::inbound::Wire;
use crate::requests::{Ready, VERSION, at_fault};
use crate::words::{Tail, own, plain, worded};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use maplehook::parts::answer::ResponseBody;
use maplehook::parts::body::{Fault, Upload, discard_body};
use maplehook::parts::driver::Answer;
use maplehook_http_semantics::Unfit;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;
use tokio::task::spawn_local;

/// A request that is not handed to the desk, whose sender is told that trying again is harmless.
const TOO_LATE: Unfit = Unfit::new(StatusCode::SERVICE_UNAVAILABLE, "nothing is sent on any more");

impl Server {
    /// The final answer to a request.
    pub(super) async fn respond(
        &self,
        wire: &Rc<Wire>,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Response<Tail> {
        let client = wire.client();
        let leaving = || *self.phase.borrow() != Phase::Serving;
        client.reads(self.requests.label_of(request.headers()));
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
            _ => match self.read_in_time(wire, peer, request).await {
                Ok(ready) => self.answer(client, ready).await,
                Err(unfit) => {
                    question = Question::Unfit;
                    self.count_unfit(&unfit);
                    if unfit.status == StatusCode::REQUEST_TIMEOUT {
                        client.is_cut_short();
                    }
                    let label = client.label();
                    tracing::debug!(%peer, %label, status = unfit.status.as_u16(), "unfit: {}", unfit.why);
                    let mut answer = own(self.words.unfit(&unfit));
                    if unfit.status == StatusCode::SERVICE_UNAVAILABLE {
                        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
                    }
                    tell(&mut answer, self.requests.label());
                    answer
                }
            },
        };
        let streams = matches!(response.body(), ResponseBody::Stream(_));
        let close = (!streams && client.answered(question)) || client.is_told();
        // A request that stands behind this one has been read, or will be with the rest: it has its answer first.
        if (close && !client.has_whole()) || (leaving() && !client.has_more()) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        // An answer that streams is owed until its end.
        response.map(|body| Tail::new(body, client))
    }

    /// Counts what is answered as no fit request.
    pub(super) fn count_unfit(&self, unfit: &Unfit) {
        self.desk.tally().unfit.increment(unfit.status.canonical_reason().unwrap_or("other"));
    }

    async fn answer(&self, client: &Client, ready: Ready) -> Response<ResponseBody> {
        let Ready { asked, identity, upload, open, label } = ready;
        let (answer, _) = self.desk.dispatch(asked, identity).await;
        client.has_answer();
        drop(open);
        upload.iter().for_each(Upload::discard_rest);
        let mut response = match (answer, upload.and_then(|upload| upload.fault())) {
            // It came to nothing by its client's fault: that is what its client hears.
            (Answer::Rejected(_) | Answer::Failed, Some(fault)) => {
                if fault == Fault::Slow {
                    client.is_cut_short();
                }
                own(self.words.unfit(&at_fault(fault)))
            }
            (answer, _) => worded(answer, self.words),
        };
        tell(&mut response, label);
        response
    }

    /// Reads a request that may still be sent on: not once the process has stopped, nor when its client has gone.
    async fn read_in_time(
        &self,
        wire: &Rc<Wire>,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Result<Ready, Unfit> {
        let mut phase = self.phase.clone();
        let mut ready = tokio::select! {
            biased;
            read = self.read(wire.client(), peer, request) => read?,
            () = wire.stops() => return Err(at_fault(Fault::Slow)),
            _ = phase.wait_for(|phase| *phase == Phase::Stopped) => return Err(TOO_LATE),
        };
        ready.asked.label = wire.client().label();
        // What is known by its identity goes on without its client.
        ready.asked.presence = ready.identity.is_none().then(|| wire.presence());
        // One that was pipelined behind another may have been left by now.
        let gone = poll_fn(|cx| Poll::Ready(wire.poll_gone(cx).is_ready())).await;
        if gone || *self.phase.borrow() == Phase::Stopped { Err(TOO_LATE) } else { Ok(ready) }
    }

    /// Reads a request, its body included where that does not stream.
    async fn read(&self, client: &Client, peer: IpAddr, request: Request<Incoming>) -> Result<Ready, Unfit> {
        let (parts, body) = request.into_parts();
        let head = match self.requests.head(parts, peer, client.hides_a_length()) {
            Ok(head) => head,
            Err(unfit) => {
                if !self.requests.is_strict() {
                    spawn_local(discard_body(body));
                }
                return Err(unfit);
            }
        };
        let (tenant, vouched) = (head.tenant(), head.vouched);
        let read = self.requests.rest(head, body, peer, || client.whole_at()).await?;
        client.holds(tenant.0, vouched, read.upload.as_ref().map(|upload| upload.sender_timeout()));
        Ok(read)
    }
}

/// Names the version that an answer was given under.
fn tell(response: &mut Response<ResponseBody>, label: Option<HeaderValue>) {
    if let Some(label) = label {
        response.headers_mut().insert(VERSION, label);
    }
}
