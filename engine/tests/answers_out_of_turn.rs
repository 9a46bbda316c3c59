//! Bytes that come when no answer is due: they are nobody's answer, and their connection serves nobody again.

mod common;

use bytes::Bytes;
use common::{BOOK, Peer, entry, ok, outgoing, settings, settle, upstreams};
use lapisroute::{Availability, Outcome, UpstreamId, ZoneId};
use maplehook::parts::attempt::Outgoing;
use maplehook::parts::body::Payload;
use maplehook::parts::terms::Terms;
use maplehook_standins::LONG;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

const ID: UpstreamId = UpstreamId(0);
/// More than the buffers of both sides of a connection hold.
const LONG_BODY: usize = 64 << 20;

/// Guards a client from another's answer: an answer that has come before the request has left whole can't be that to it, where
/// upstreams begin with its last byte. So far it has not run.
#[tokio::test(flavor = "local")]
async fn an_answer_before_the_end_of_its_request_is_none() {
    let (mut peer, upstreams) = (Peer::start(), upstreams(&settings(), 8));
    upstreams.place(ID, ZoneId(0), &entry(0, peer.address, Availability::Ready, 0).place);
    let body = Payload::Whole(Bytes::from(vec![b'y'; LONG_BODY]));
    let request = Outgoing { body, ..outgoing(BOOK, "one") };
    let held = Rc::clone(&upstreams);
    let attempt =
        spawn_local(async move { held.attempt(ID, &request, Terms::first(Instant::now() + LONG)).await });
    settle("its connection comes", || peer.accept()).await;
    settle("it has begun", || peer.has_begun(0)).await;
    peer.write(0, &ok("another's"));
    let ended = attempt.await.unwrap();
    assert_eq!(ended.outcome, Outcome::ConnectFailed);
    assert!(ended.served.is_none());
}
