//! Outcomes of attempts against upstreams that behave correctly, fail, or violate HTTP.

use super::*;
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::upstream::EndpointState;
use http_body_util::BodyExt;
use maplehook_core::ZoneId;
use maplehook_core::{Availability, Settings};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout_at;

const ID: UpstreamId = UpstreamId(7);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const BUFFER_BYTES: usize = 64 * 1024;
const BODY_MEMORY_BYTES: usize = 4 << 20;

fn booking_request() -> OutboundRequest {
    OutboundRequest {
        method: Method::POST,
        target: Uri::from_static("/book"),
        headers: HeaderMap::new(),
        body: Payload::Buffered(Bytes::from_static(b"x")),
        passage: Rc::new(Passage::platform()),
    }
}

async fn upstreams(max_open: usize) -> (Rc<Upstreams>, TcpListener, EndpointState) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings {
        connect_timeout: LONG_TIMEOUT,
        connection_idle_timeout: LONG_TIMEOUT,
        ..Settings::default()
    };
    let upstreams = Rc::new(Upstreams::new(
        &settings,
        crate::parts::pool::tests::descriptors(max_open),
        BufferMemory::new(BODY_MEMORY_BYTES),
        maplehook_http_semantics::Forwarding::platform(),
        Arc::default(),
    ));
    let endpoint = Some(listener.local_addr().unwrap());
    let state = EndpointState { endpoint, availability: Availability::Ready, boot_ms: 0 };
    upstreams.update_endpoint(ID, ZoneId(0), &state);
    (upstreams, listener, state)
}

/// Guards against retries after the lease has ended: a process that was suspended must check the lease at the
/// moment of writing.
#[tokio::test(flavor = "local")]
async fn an_expired_lease_stops_attempts_at_the_moment_of_writing() {
    use crate::parts::upstream::Lease;
    let (upstreams, listener, _) = upstreams(8).await;
    let until = Instant::now();
    upstreams.set_lease(Lease::Until { until, covers_first_attempts: false });
    let request = booking_request();
    let result =
        upstreams.attempt(ID, &request, AttemptLimits::repeat(Instant::now() + LONG_TIMEOUT, None)).await;
    assert_eq!(result.outcome, Outcome::NotSent);
    upstreams.set_lease(Lease::Until { until, covers_first_attempts: true });
    let result = upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)).await;
    assert_eq!(result.outcome, Outcome::NotSent);
    // A valid lease allows the attempt; an expired one allows first attempts unless it covers them.
    for lease in [
        Lease::Until { until: Instant::now() + LONG_TIMEOUT, covers_first_attempts: true },
        Lease::Until { until, covers_first_attempts: false },
    ] {
        upstreams.set_lease(lease);
        let shared = Rc::clone(&upstreams);
        let attempt = spawn_local(async move {
            shared.attempt(ID, &booking_request(), AttemptLimits::first(Instant::now() + LONG_TIMEOUT)).await
        });
        // Skip the connections of the attempts that wrote nothing.
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 4];
            if stream.read_exact(&mut head).await.is_ok() {
                break;
            }
        }
        attempt.abort();
    }
}

/// Guards against sending to a draining upstream: the attempt was decided on before the drain was known, and
/// then waited for a connection.
#[tokio::test(flavor = "local")]
async fn an_attempt_waiting_for_a_connection_is_not_sent_to_a_draining_upstream() {
    let (upstreams, listener, mut state) = upstreams(1).await;
    let shared = Rc::clone(&upstreams);
    let first = spawn_local(async move {
        shared.attempt(ID, &booking_request(), AttemptLimits::first(Instant::now() + LONG_TIMEOUT)).await
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    // The only connection slot is in use, so the second attempt waits.
    let waiting = Rc::clone(&upstreams);
    let second = spawn_local(async move {
        waiting.attempt(ID, &booking_request(), AttemptLimits::first(Instant::now() + LONG_TIMEOUT)).await
    });
    tokio::task::yield_now().await;
    state.availability = Availability::Draining;
    upstreams.update_endpoint(ID, ZoneId(0), &state);
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
    assert_eq!(first.await.unwrap().outcome, Outcome::Ok, "the request in flight completes during the drain");
    assert_eq!(second.await.unwrap().outcome, Outcome::NotSent);
    assert_eq!(
        stream.read(&mut [0; 1024]).await.unwrap_or(0),
        0,
        "the draining upstream receives no second request"
    );
}

/// Guards against mixing up responses: bytes after a response on a reused connection, such as a duplicate
/// response, must not answer the next request, even if this process has not read them yet.
#[tokio::test(flavor = "local")]
async fn extra_bytes_after_a_response_do_not_answer_the_next_request() {
    let (upstreams, listener, _) = upstreams(8).await;
    for is_sent_at_once in [true, false] {
        for _ in 0..20 {
            upstreams.close_idle(ID);
            let respond_twice = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                let duplicated = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
                let (now, later) = duplicated.split_at(if is_sent_at_once {
                    duplicated.len()
                } else {
                    duplicated.len() / 2
                });
                stream.write_all(now).await.unwrap();
                (stream, later)
            };
            let request = booking_request();
            let (result, (mut stream, later)) = tokio::join!(
                upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
                respond_twice
            );
            assert_eq!(result.outcome, Outcome::Ok);
            // No other task runs between this write and the next attempt.
            assert_eq!(stream.try_write(later).unwrap(), later.len());
            let respond_again = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew").await.unwrap();
                stream
            };
            let exchange = async {
                tokio::join!(
                    upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
                    respond_again
                )
            };
            let (result, _stream) = timeout_at(Instant::now() + LONG_TIMEOUT, exchange)
                .await
                .expect("a new connection is opened in time");
            let ResponseBody::Buffered(body) = result.response.expect("the attempt has a response").body
            else {
                panic!("the response is not buffered")
            };
            assert_eq!(body, "new");
            let _ = stream.read(&mut [0; 1]).await;
        }
    }
}

/// Guards against writing to a closed connection: the upstream closes it just before the next attempt, and
/// this process has not noticed yet.
#[tokio::test(flavor = "local")]
async fn a_connection_closed_by_its_upstream_is_not_reused() {
    let (upstreams, listener, _) = upstreams(8).await;
    for _ in 0..20 {
        let respond = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            stream
        };
        let request = booking_request();
        // Without the check the request goes to the old connection, and no new connection is opened.
        let exchange = async {
            tokio::join!(
                upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
                respond
            )
        };
        let (result, stream) = timeout_at(Instant::now() + LONG_TIMEOUT, exchange)
            .await
            .expect("a new connection is opened in time");
        assert_eq!(result.outcome, Outcome::Ok);
        // No other task runs between this close and the next attempt.
        drop(stream);
    }
}

/// Guards against ejecting a working fleet over malformed responses: each one is an error, not a reset, ends
/// its attempt at once, and its connection is not reused. A response that is cut off by its connection is a
/// reset.
#[tokio::test(flavor = "local")]
async fn a_malformed_response_is_an_error_and_not_a_reset() {
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
        let respond = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            // The balancer may close the connection while it is still being written to.
            let _ = stream.write_all(text.as_bytes()).await;
            stream
        };
        let request = booking_request();
        let exchange = async {
            tokio::join!(
                upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
                respond
            )
        };
        let (result, _open) = timeout_at(Instant::now() + LONG_TIMEOUT, exchange)
            .await
            .expect("a new connection is opened in time");
        assert_eq!(result.outcome, outcome, "response {:?}", &text[..text.len().min(80)]);
    }
    for text in ["", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf"] {
        upstreams.close_idle(ID);
        let respond = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(text.as_bytes()).await.unwrap();
        };
        let request = booking_request();
        let (result, ()) = tokio::join!(
            upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
            respond
        );
        assert_eq!(result.outcome, Outcome::Reset, "response {text:?}");
    }
}

/// Guards against running out of memory under many responses: short ones are buffered while memory is
/// available, and release it when they are dropped. Without memory they stream, as long responses always do.
#[tokio::test(flavor = "local")]
async fn responses_stream_when_the_body_memory_is_used_up() {
    let (upstreams, listener, _) = upstreams(8).await;
    let mut buffered = Vec::new();
    // Keeps a busy machine from turning buffered responses into streams.
    let mut passage = Passage::platform();
    passage.answers.hold = LONG_TIMEOUT;
    let passage = Rc::new(passage);
    for (n, length) in (0..70).map(|n| (n, BUFFER_BYTES)).chain([(70, BUFFER_BYTES + 1), (71, 1 << 20)]) {
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
        let request = OutboundRequest { passage: Rc::clone(&passage), ..booking_request() };
        let accept = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            spawn_local(async move {
                let _ = stream.write_all(text.as_bytes()).await;
                let _ = stream.read(&mut [0; 1]).await;
            });
        };
        let (result, ()) = tokio::join!(
            upstreams.attempt(ID, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
            accept
        );
        let response = result.response.expect("the attempt has a response");
        let is_streaming = matches!(response.body, ResponseBody::Stream(_));
        assert_eq!(is_streaming, n >= 64, "response {n}");
        if is_streaming {
            assert_eq!(response.body.collect().await.unwrap().to_bytes().len(), length, "response {n}");
        } else {
            buffered.push(response);
        }
    }
    drop(buffered);
    assert_eq!(upstreams.body_memory.available(), BODY_MEMORY_BYTES);
}

/// Guards against running out of descriptors: an idle connection is closed for a new one. If none is idle,
/// the attempt ends as not sent, which does not count against the upstream.
#[tokio::test(flavor = "local")]
async fn open_connections_never_exceed_the_limit() {
    let (upstreams, listener, state) = upstreams(1).await;
    let other = UpstreamId(8);
    upstreams.update_endpoint(other, ZoneId(0), &state);
    for id in [ID, other] {
        let respond = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            stream
        };
        let request = booking_request();
        let (result, _stream) = tokio::join!(
            upstreams.attempt(id, &request, AttemptLimits::first(Instant::now() + LONG_TIMEOUT)),
            respond
        );
        assert_eq!(result.outcome, Outcome::Ok);
        assert_eq!(upstreams.pool.open_count(), 1);
    }
    let _slot = upstreams.pool.reserve_slot().await;
    let result = upstreams
        .attempt(ID, &booking_request(), AttemptLimits::first(Instant::now() + Duration::from_millis(50)))
        .await;
    assert_eq!(result.outcome, Outcome::NotSent);
}
