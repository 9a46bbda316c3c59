//! How attempts end, against upstreams that behave in every way.

use super::*;
use crate::parts::body_memory::BodyMemory;
use crate::parts::upstream::EndpointState;
use http_body_util::BodyExt;
use maplehook_core::ZoneId;
use maplehook_core::{Availability, Settings};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const ID: UpstreamId = UpstreamId(7);
const LONG: Duration = Duration::from_secs(20);
const SHORT: usize = 64 * 1024;
const ROOM: usize = 4 << 20;

fn outgoing() -> OutboundRequest {
    OutboundRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Payload::Buffered(Bytes::from_static(b"x")),
        passage: Rc::new(Passage::platform()),
    }
}

async fn upstreams(most_open: usize) -> (Rc<Upstreams>, TcpListener, EndpointState) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings { connect_timeout: LONG, connection_idle_timeout: LONG, ..Settings::default() };
    let upstreams = Rc::new(Upstreams::new(
        &settings,
        crate::parts::pool::tests::descriptors(most_open),
        BodyMemory::new(ROOM),
        maplehook_http_semantics::Forwarding::platform(),
        Arc::default(),
    ));
    let endpoint = Some(listener.local_addr().unwrap());
    let place = EndpointState { endpoint, availability: Availability::Ready, boot_ms: 0 };
    upstreams.update_endpoint(ID, ZoneId(0), &place);
    (upstreams, listener, place)
}

/// Guards what is acted on after its time: a process that was stopped writes no repeat by rules that have run out.
#[tokio::test(flavor = "local")]
async fn a_lease_that_has_run_out_is_found_in_the_moment_of_writing() {
    use crate::parts::upstream::Lease;
    let (upstreams, listener, _) = upstreams(8).await;
    let until = Instant::now();
    upstreams.set_lease(Lease::Until { until, covers_first_attempts: false });
    let request = outgoing();
    let ended = upstreams.attempt(ID, &request, AttemptLimits::repeat(Instant::now() + LONG, None)).await;
    assert_eq!(ended.outcome, Outcome::NotSent);
    upstreams.set_lease(Lease::Until { until, covers_first_attempts: true });
    let ended = upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)).await;
    assert_eq!(ended.outcome, Outcome::NotSent);
    // Within its time, and for a first attempt where that may go on, it is written.
    for lease in [
        Lease::Until { until: Instant::now() + LONG, covers_first_attempts: true },
        Lease::Until { until, covers_first_attempts: false },
    ] {
        upstreams.set_lease(lease);
        let held = Rc::clone(&upstreams);
        let attempt = spawn_local(async move {
            held.attempt(ID, &outgoing(), AttemptLimits::first(Instant::now() + LONG)).await
        });
        // The first ones were made for what was not written.
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut first = [0; 4];
            if stream.read_exact(&mut first).await.is_ok() {
                break;
            }
        }
        attempt.abort();
    }
}

/// Guards the drain rule where an attempt was decided on before the news and has no connection yet.
#[tokio::test(flavor = "local")]
async fn an_attempt_that_waits_for_a_connection_heeds_a_drain() {
    let (upstreams, listener, mut place) = upstreams(1).await;
    let held = Rc::clone(&upstreams);
    let first = spawn_local(async move {
        held.attempt(ID, &outgoing(), AttemptLimits::first(Instant::now() + LONG)).await
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    // The only place is taken: this one waits.
    let waits = Rc::clone(&upstreams);
    let second = spawn_local(async move {
        waits.attempt(ID, &outgoing(), AttemptLimits::first(Instant::now() + LONG)).await
    });
    tokio::task::yield_now().await;
    place.availability = Availability::Draining;
    upstreams.update_endpoint(ID, ZoneId(0), &place);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
    assert_eq!(first.await.unwrap().outcome, Outcome::Ok, "what it has it finishes");
    assert_eq!(second.await.unwrap().outcome, Outcome::NotSent);
    assert_eq!(stream.read(&mut [0; 1024]).await.unwrap_or(0), 0, "nothing more came");
}

/// Guards against another request's answer: what came behind an answer on a kept connection, a second copy
/// perhaps and perhaps unseen by this process as yet, is not taken for the answer to the next request.
#[tokio::test(flavor = "local")]
async fn what_came_behind_an_answer_serves_nobody() {
    let (upstreams, listener, _) = upstreams(8).await;
    for behind_at_once in [true, false] {
        for _ in 0..20 {
            upstreams.close_idle(ID);
            let first = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
                let (now, later) = twice.split_at(if behind_at_once { twice.len() } else { twice.len() / 2 });
                stream.write_all(now).await.unwrap();
                (stream, later)
            };
            let request = outgoing();
            let (ended, (mut stream, later)) = tokio::join!(
                upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)),
                first
            );
            assert_eq!(ended.outcome, Outcome::Ok);
            // No task runs between this and the next attempt, but for this write.
            assert_eq!(stream.try_write(later).unwrap(), later.len());
            let second = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew").await.unwrap();
                stream
            };
            let both = async {
                tokio::join!(
                    upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)),
                    second
                )
            };
            let (ended, _second) = timeout_at(Instant::now() + LONG, both).await.expect("a new connection");
            let ResponseBody::Buffered(body) = ended.response.expect("an answer").body else {
                panic!("it streams")
            };
            assert_eq!(body, "new");
            let _ = stream.read(&mut [0; 1]).await;
        }
    }
}

/// Guards against the moment between an upstream's close and this process's look at it.
#[tokio::test(flavor = "local")]
async fn a_connection_that_has_just_been_closed_is_not_written_to() {
    let (upstreams, listener, _) = upstreams(8).await;
    for _ in 0..20 {
        let answer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            stream
        };
        let request = outgoing();
        // Without the guard the request goes into the old connection and no new one ever comes.
        let both = async {
            tokio::join!(upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)), answer)
        };
        let (ended, stream) = timeout_at(Instant::now() + LONG, both).await.expect("a new connection");
        assert_eq!(ended.outcome, Outcome::Ok);
        // No task runs between this and the next attempt.
        drop(stream);
    }
}

/// Guards a fleet whose answers come spoilt now and then from being taken for dead: each such answer is an
/// error of an upstream that lives, ends the attempt at once, and its connection serves nobody again.
/// An answer that breaks off with its connection is another thing.
#[tokio::test(flavor = "local")]
async fn a_spoilt_answer_is_an_error_and_no_reset() {
    let (upstreams, listener, _) = upstreams(8).await;
    let long = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(80 * 1024));
    let body =
        format!("HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n{}", "y".repeat(0x1_1000));
    for (text, outcome) in [
        ("\u{1}\u{2} noise \r\n\r\n", Outcome::Error),
        ("HTTP/1.1 2x0 OK\r\n\r\n", Outcome::Error),
        (&long, Outcome::Error),
        ("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone", Outcome::Error),
        ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone", Outcome::Error),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone", Outcome::Error),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndone", Outcome::Error),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Outcome::Error,
        ),
        (&body, Outcome::Error),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            Outcome::Ok,
        ),
    ] {
        let answer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            // Where it is cut off on the way, its end was seen early enough.
            let _ = stream.write_all(text.as_bytes()).await;
            stream
        };
        let request = outgoing();
        let both = async {
            tokio::join!(upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)), answer)
        };
        let (ended, _open) = timeout_at(Instant::now() + LONG, both).await.expect("a new connection");
        assert_eq!(ended.outcome, outcome, "{:?}", &text[..text.len().min(80)]);
    }
    for text in ["", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"] {
        upstreams.close_idle(ID);
        let answer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(text.as_bytes()).await.unwrap();
        };
        let request = outgoing();
        let (ended, ()) = tokio::join!(
            upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)),
            answer
        );
        assert_eq!(ended.outcome, Outcome::Reset, "{text:?}");
    }
}

/// Guards this machine's memory against many answers at once: short ones are held while there is room, and give it
/// back when the client's side lets go of them; without room they stream, as long ones do in any case.
#[tokio::test(flavor = "local")]
async fn answers_are_held_while_there_is_room_and_else_stream() {
    let (upstreams, listener, _) = upstreams(8).await;
    let mut held = Vec::new();
    // However busy the machine is, what comes whole is held whole.
    let mut passage = Passage::platform();
    passage.answers.hold = LONG;
    let passage = Rc::new(passage);
    for (n, length) in (0..70).map(|n| (n, SHORT)).chain([(70, SHORT + 1), (71, 1 << 20)]) {
        let body = "y".repeat(length);
        let chunks = body.as_bytes().chunks(4 << 10).map(|c| format!("1000\r\n{}\r\n", "y".repeat(c.len())));
        let text = match n % 2 {
            0 => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            _ => format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
                chunks.collect::<String>()
            ),
        };
        upstreams.close_idle(ID);
        let request = OutboundRequest { passage: Rc::clone(&passage), ..outgoing() };
        let answers = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            spawn_local(async move {
                let _ = stream.write_all(text.as_bytes()).await;
                let _ = stream.read(&mut [0; 1]).await;
            });
        };
        let (ended, ()) = tokio::join!(
            upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG)),
            answers
        );
        let served = ended.response.expect("an answer");
        let streams = matches!(served.body, ResponseBody::Stream(_));
        assert_eq!(streams, n >= 64, "{n}");
        if streams {
            assert_eq!(served.body.collect().await.unwrap().to_bytes().len(), length, "{n}");
        } else {
            held.push(served);
        }
    }
    drop(held);
    assert_eq!(upstreams.room.left(), ROOM);
}

/// Guards against running out of descriptors: an idle connection makes room, and where there is none
/// the wait ends as not sent, which says nothing of the upstream.
#[tokio::test(flavor = "local")]
async fn connections_stay_under_the_limit() {
    let (upstreams, listener, place) = upstreams(1).await;
    let other = UpstreamId(8);
    upstreams.update_endpoint(other, ZoneId(0), &place);
    for id in [ID, other] {
        let answer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            stream
        };
        let request = outgoing();
        let (ended, _stream) = tokio::join!(
            upstreams.attempt(id, &request, AttemptLimits::first(Instant::now() + LONG)),
            answer
        );
        assert_eq!(ended.outcome, Outcome::Ok);
        assert_eq!(upstreams.pool.open(), 1);
    }
    let _taken = upstreams.pool.slot().await;
    let ended = upstreams
        .attempt(ID, &outgoing(), AttemptLimits::first(Instant::now() + Duration::from_millis(50)))
        .await;
    assert_eq!(ended.outcome, Outcome::NotSent);
}
