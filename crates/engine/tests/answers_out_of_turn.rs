//! Bytes that come when no answer is due: they are nobody's answer, and their connection serves nobody again.

mod common;

use bytes::Bytes;
use common::{BOOK, Peer, entry, ok, outgoing, settings, settle, upstreams};
use http_body_util::{BodyExt, Full};
use hyper::Method;
use hyper::body::Body;
use maplehook::parts::attempt::{AttemptResult, OutboundRequest};
use maplehook::parts::attempt_limits::AttemptLimits;
use maplehook::parts::body::{Payload, Upload, UploadTimeouts};
use maplehook::parts::upstream::Upstreams;
use maplehook_core::{Availability, Effect, Outcome, UpstreamId, ZoneId};
use maplehook_http_semantics::Passage;
use maplehook_test_servers::{LONG, Then, Upstream};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

const ID: UpstreamId = UpstreamId(0);
/// More than the buffers of both sides of a connection hold.
const LONG_BODY: usize = 64 << 20;

fn one_upstream() -> (Peer, Rc<Upstreams>) {
    let (peer, upstreams) = (Peer::start(), upstreams(&settings(), 8));
    upstreams.update_endpoint(ID, ZoneId(0), &entry(0, peer.address, Availability::Ready, 0).state);
    (peer, upstreams)
}

fn begin(upstreams: &Rc<Upstreams>, request: OutboundRequest) -> JoinHandle<AttemptResult> {
    let upstreams = Rc::clone(upstreams);
    spawn_local(
        async move { upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)).await },
    )
}

/// Guards a client from another's answer: an answer that has come before the request has left whole can't be that to it, where
/// upstreams begin with its last byte. So far it has not run.
#[tokio::test(flavor = "local")]
async fn an_answer_before_the_end_of_its_request_is_none() {
    let (mut peer, upstreams) = one_upstream();
    let body = Payload::Buffered(Bytes::from(vec![b'y'; LONG_BODY]));
    let request = OutboundRequest { body, ..outgoing(BOOK, "one") };
    let attempt = begin(&upstreams, request);
    settle("its connection comes", || peer.accept()).await;
    settle("it has begun", || peer.has_begun(0)).await;
    peer.write(0, &ok("another's"));
    let ended = attempt.await.unwrap();
    assert_eq!(ended.outcome, Outcome::ConnectFailed);
    assert!(ended.response.is_none());
}

/// Guards requests from standing in line behind the unread rest of another's body: a connection whose answer came early is kept
/// only once all of the request has left, and not already when the last of it waits to leave.
#[tokio::test(flavor = "local")]
async fn a_connection_with_unread_bytes_is_not_kept() {
    let (mut peer, upstreams) = one_upstream();
    let patience = UploadTimeouts { idle: LONG, sender: LONG, total: LONG, answer: LONG };
    let (most, length) = (u64::MAX, LONG_BODY as u64);
    let rest = Full::new(Bytes::from(vec![b'y'; LONG_BODY])).map_err(|never| match never {});
    let upload = Upload::new(Bytes::new(), Box::pin(rest), Some(length), most, patience);
    let passage = Rc::new(Passage::general(Effect::Idempotent));
    let request =
        OutboundRequest { body: Payload::Upload(Rc::clone(&upload)), passage, ..outgoing(BOOK, "one") };
    let attempt = begin(&upstreams, request);
    settle("its connection comes", || peer.accept()).await;
    settle("all of it is on its way", || upload.is_complete()).await;
    peer.write(0, &ok("enough"));
    assert_eq!(attempt.await.unwrap().outcome, Outcome::Ok);
    let next = begin(&upstreams, outgoing(BOOK, "two"));
    settle("another connection comes", || peer.accept()).await;
    next.abort();
}

/// Guards the next client from a body that nobody expects: behind an answer that has none by its status or its method, it ends
/// the connection.
#[tokio::test(flavor = "local")]
async fn a_body_where_none_is_due_ends_the_connection() {
    let passage = Rc::new(Passage::general(Effect::Idempotent));
    let with_body = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: 4\r\n\r\nHTTP");
    let cases = [(Method::HEAD, "200 OK"), (Method::GET, "204 None"), (Method::GET, "304 As Before")];
    for ((method, line), at_once) in cases.into_iter().flat_map(|case| [(case.clone(), true), (case, false)])
    {
        let (mut peer, upstreams) = one_upstream();
        let request = OutboundRequest {
            method,
            passage: Rc::clone(&passage),
            body: Payload::Buffered(Bytes::new()),
            ..outgoing(BOOK, "1")
        };
        let attempt = begin(&upstreams, request.clone());
        settle("it comes", || peer.next().is_some()).await;
        let text = with_body(line);
        let (now, later) = text.split_at(if at_once { text.len() } else { text.len() - 4 });
        peer.write(0, now);
        let ended = attempt.await.unwrap();
        assert_eq!(ended.outcome, Outcome::Ok, "{line}");
        assert!(ended.response.unwrap().body.is_end_stream());
        peer.write(0, later);
        let next = begin(&upstreams, request);
        settle("another connection comes", || {
            peer.next();
            peer.links.len() == 2
        })
        .await;
        next.abort();
    }
}

/// Guards clients from second answers that come some milliseconds late. Once one has come on an idle connection, a connection
/// rests before its next request, so that another one finds it idle, too; until then each is used again at once.
#[tokio::test(flavor = "local")]
async fn connections_rest_where_upstreams_answer_twice() {
    const REST: Duration = Duration::from_millis(20);
    let (mut peer, upstreams) = one_upstream();
    let mut answered: HashMap<usize, Instant> = HashMap::new();
    for n in 0..8 {
        let attempt = begin(&upstreams, outgoing(BOOK, "one"));
        let mut come = None;
        settle("it comes", || {
            come = peer.next();
            come.is_some()
        })
        .await;
        let link = come.unwrap().link;
        match answered.get(&link) {
            _ if n <= 1 => assert_eq!(link, 0, "used again at once"),
            Some(at) => assert!(at.elapsed() >= REST, "{link} after {:?}", at.elapsed()),
            None => {}
        }
        answered.insert(link, Instant::now());
        peer.answer(link, "done");
        assert_eq!(attempt.await.unwrap().outcome, Outcome::Ok);
        if n == 1 {
            peer.answer(link, "done");
            settle("it is ended", || {
                peer.next();
                peer.links[link].ended
            })
            .await;
        }
    }
    // Those that have rested are used again.
    let links = peer.links.len();
    tokio::time::sleep(2 * REST).await;
    let attempt = begin(&upstreams, outgoing(BOOK, "one"));
    settle("it comes", || peer.next().is_some()).await;
    assert_eq!(peer.links.len(), links);
    attempt.abort();
}

/// Guards this thread from upstreams that send interim answers without end: such an answer is spoilt long before the attempt's
/// time is over.
#[tokio::test(flavor = "local")]
async fn interim_answers_without_end_are_no_answer() {
    let text = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n".repeat(10_000);
    let upstream = Upstream::start(Then::Answer(text.leak()));
    let upstreams = upstreams(&settings(), 8);
    upstreams.update_endpoint(ID, ZoneId(0), &entry(0, upstream.address, Availability::Ready, 0).state);
    let terms = AttemptLimits::first(Instant::now() + Duration::from_secs(3));
    let ended = upstreams.attempt(ID, &outgoing(BOOK, "one"), terms).await;
    assert_eq!(ended.outcome, Outcome::Error);
}
