//! Changes between the decision on an attempt and the write of its first byte. Each test makes a change after
//! the request is passed to its connection and before the task of the connection runs.

mod common;

use bytes::Bytes;
use common::manual_attempts::{start_and_receive, start_attempt as start_long_attempt, start_upstream_with};
use common::{
    AT_MOST_ONCE, ManualUpstream, driver, entry, outbound_request, settings, upstreams, wait_until,
};
use http_body_util::{BodyExt, Full};
use maplehook::Lease;
use maplehook::parts::attempt::{AttemptResult, OutboundRequest};
use maplehook::parts::attempt_limits::{AttemptLimits, Presence};
use maplehook::parts::body::{Payload, Upload, UploadTimeouts};
use maplehook::parts::upstream::Upstreams;
use maplehook_core::connection_reuse::MIN_REST;
use maplehook_core::{Availability, Outcome, UpstreamId, ZoneId};
use maplehook_test_servers::LONG;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

const UPSTREAM_ID: UpstreamId = UpstreamId(0);

/// Starts an upstream and opens an idle connection to it, which has rested.
async fn upstream_with_idle_connection() -> (Rc<Upstreams>, ManualUpstream) {
    let (mut server, upstreams) = (ManualUpstream::start(), upstreams(&settings(), 8));
    update_endpoint(&upstreams, server.address, Availability::Ready, 0);
    let first = start_attempt(&upstreams, AttemptLimits::first(Instant::now() + LONG));
    let mut request = None;
    wait_until("the upstream receives the first request", || {
        request = server.next_request();
        request.is_some()
    })
    .await;
    server.answer(request.unwrap().connection, "first");
    assert_eq!(first.await.unwrap().outcome, Outcome::Ok);
    tokio::time::sleep(2 * MIN_REST).await;
    (upstreams, server)
}

fn update_endpoint(upstreams: &Upstreams, address: SocketAddr, availability: Availability, boot_ms: u64) {
    upstreams.update_endpoint(UPSTREAM_ID, ZoneId(0), &entry(0, address, availability, boot_ms).state);
}

fn start_attempt(upstreams: &Rc<Upstreams>, limits: AttemptLimits) -> JoinHandle<AttemptResult> {
    let upstreams = Rc::clone(upstreams);
    spawn_local(async move {
        upstreams.attempt(UPSTREAM_ID, &outbound_request(AT_MOST_ONCE, "one"), limits).await
    })
}

/// Starts an attempt on the idle connection and runs `change` before the task of that connection. This works
/// because the thread runs its tasks in the order in which they were woken.
fn start_attempt_then(
    upstreams: &Rc<Upstreams>,
    limits: AttemptLimits,
    change: impl FnOnce() + 'static,
) -> JoinHandle<AttemptResult> {
    let attempt = start_attempt(upstreams, limits);
    spawn_local(async move { change() });
    attempt
}

/// An attempt must not be written if its upstream, lease, deduplication window or deadline has become invalid
/// since the decision. Such an attempt provably did not run.
#[tokio::test(flavor = "local")]
async fn attempts_with_outdated_conditions_are_not_written() {
    type Change = fn(&Upstreams, SocketAddr);
    let soon = Duration::from_millis(30);
    let block_thread: Change = |_, _| std::thread::sleep(Duration::from_millis(50));
    let repeat_within =
        |window: Duration| AttemptLimits::repeat(Instant::now() + LONG, Some(Instant::now() + window));
    let cases: [(&str, &dyn Fn() -> AttemptLimits, Change); 7] = [
        ("the upstream is draining", &|| repeat_within(LONG), |u, p| {
            update_endpoint(u, p, Availability::Draining, 0)
        }),
        ("the upstream is removed", &|| repeat_within(LONG), |u, p| {
            update_endpoint(u, p, Availability::Removed, 0)
        }),
        ("the upstream is missing in a full list", &|| repeat_within(LONG), |u, _| {
            u.retain_listed(|_| false)
        }),
        ("the upstream has restarted", &|| repeat_within(LONG), |u, p| {
            update_endpoint(u, p, Availability::Ready, 77)
        }),
        ("the lease has expired", &|| repeat_within(LONG), |u, _| {
            u.set_lease(Lease::Until { until: Instant::now(), covers_first_attempts: false })
        }),
        ("the deduplication window has ended", &|| repeat_within(soon), block_thread),
        ("the deadline has passed", &|| AttemptLimits::first(Instant::now() + soon), block_thread),
    ];
    for (condition, limits, change) in cases {
        let (upstreams, mut server) = upstream_with_idle_connection().await;
        let (changed_upstreams, address) = (Rc::clone(&upstreams), server.address);
        let attempt = start_attempt_then(&upstreams, limits(), move || change(&changed_upstreams, address));
        assert_eq!(attempt.await.unwrap().outcome, Outcome::NotSent, "{condition}");
        wait_until("the balancer closes the connection", || {
            assert!(server.next_request().is_none(), "the attempt was written although {condition}");
            server.connections[0].is_closed
        })
        .await;
    }
}

/// Upstreams must not work for a client that disconnects before the write, even if no task has noticed the
/// disconnect.
#[tokio::test(flavor = "local")]
async fn attempts_of_disconnected_clients_are_not_written() {
    let (upstreams, mut server) = upstream_with_idle_connection().await;
    let is_connected = Rc::new(Cell::new(true));
    let (checked, changed) = (Rc::clone(&is_connected), Rc::clone(&is_connected));
    let presence = Presence::new(move || checked.get());
    let limits = AttemptLimits::first(Instant::now() + LONG).with_presence(Some(presence));
    let attempt = start_attempt_then(&upstreams, limits, move || changed.set(false));
    assert_eq!(attempt.await.unwrap().outcome, Outcome::NotSent);
    wait_until("the balancer closes the connection", || {
        assert!(server.next_request().is_none(), "the attempt was written after its client had disconnected");
        server.connections[0].is_closed
    })
    .await;
}

/// Upstreams must not work past the deadline. The remaining time in the request must be correct when the
/// request is written, even if the process was suspended before. The request is encoded again in that case
/// because no byte of it was sent.
#[tokio::test(flavor = "local")]
async fn the_remaining_time_is_computed_at_the_write() {
    let (upstreams, mut server) = upstream_with_idle_connection().await;
    let deadline = Instant::now() + Duration::from_secs(5);
    let block_thread = || std::thread::sleep(Duration::from_millis(400));
    let attempt = start_attempt_then(&upstreams, AttemptLimits::first(deadline), block_thread);
    let mut request = None;
    wait_until("an upstream receives the request", || {
        request = server.next_request();
        request.is_some()
    })
    .await;
    let (request, left) = (request.unwrap(), deadline - Instant::now());
    assert!(
        request.time_left <= left + Duration::from_millis(150),
        "announced {:?}, but only {left:?} are left",
        request.time_left
    );
    server.answer(request.connection, "done");
    assert_eq!(attempt.await.unwrap().outcome, Outcome::Ok);
}

/// A repeat must not be written after the deduplication window of its key: it is decided in time, but the
/// process is suspended before the write.
#[tokio::test(flavor = "local")]
async fn repeats_are_not_written_after_the_deduplication_window() {
    use common::{DEDUP_WINDOW, DEDUPLICATED, ERROR_RESPONSE, answer_name, request_context, yield_once};
    let settings = settings();
    let mut servers = [ManualUpstream::start(), ManualUpstream::start()];
    let addresses = [servers[0].address, servers[1].address];
    let driver = driver(settings.clone(), upstreams(&settings, 8), &addresses);
    let pending = driver.submit(request_context(DEDUPLICATED, "one"));
    let sent_at = Instant::now();
    let mut first = None;
    wait_until("an upstream receives the request", || {
        first = (0..2).find_map(|n| servers[n].next_request().map(|request| (n, request.connection)));
        first.is_some()
    })
    .await;
    let (n, connection) = first.unwrap();
    servers[n].write(connection, ERROR_RESPONSE);
    let [one, two] = servers;
    let mut other = if n == 0 { two } else { one };
    // Blocks the thread when the upstream has accepted the connection of the repeat and the balancer has not
    // noticed that yet.
    let blocked = spawn_local(async move {
        while !other.accept() {
            yield_once().await;
        }
        std::thread::sleep((sent_at + DEDUP_WINDOW).saturating_duration_since(Instant::now()));
        other
    });
    let (answer, _) = pending.answer().await;
    assert_eq!(answer_name(&answer), "failed");
    let mut other = blocked.await.unwrap();
    common::run_tasks().await;
    assert!(other.next_request().is_none(), "a repeat was written after its deduplication window");
}

/// Guards the time that upstreams are told: a short body for which there is no memory goes on as a stream, and its
/// client counts from its last byte, which lay unread while the request waited for a connection.
#[tokio::test(flavor = "local")]
async fn a_body_that_streams_announces_what_its_client_has_left() {
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
    const BUSY: Duration = Duration::from_millis(250);
    const MAX_EXCESS: Duration = Duration::from_millis(150);
    let (mut server, upstreams) = start_upstream_with(1);
    let (first, connection) = start_and_receive(&mut server, &upstreams).await;
    let timeouts = UploadTimeouts { idle: LONG, sender: LONG, total: LONG, answer: ANSWER_TIMEOUT };
    let body = Box::pin(Full::new(Bytes::from_static(b"body")).map_err(Into::into));
    let upload = Upload::new(Bytes::new(), body, Some(4), 4, timeouts);
    let request = OutboundRequest { body: Payload::Upload(upload), ..outbound_request(AT_MOST_ONCE, "two") };
    let second = start_long_attempt(&upstreams, request);
    // The only connection is in use.
    tokio::time::sleep(BUSY).await;
    server.answer(connection, "first");
    assert_eq!(first.await.unwrap().outcome, Outcome::Ok);
    let mut request = None;
    wait_until("the upstream receives the body", || {
        request = server.next_request();
        request.is_some()
    })
    .await;
    let request = request.unwrap();
    assert!(request.time_left <= ANSWER_TIMEOUT - BUSY + MAX_EXCESS, "{:?}", request.time_left);
    server.answer(request.connection, "second");
    assert_eq!(second.await.unwrap().outcome, Outcome::Ok);
}
