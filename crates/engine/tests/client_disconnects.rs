//! Clients that disconnect at each stage of an attempt. An attempt that is not written by then is never
//! written, even if the settings forbid cancellation.

mod common;

use common::{
    AT_MOST_ONCE, ERROR_RESPONSE, IDEMPOTENT, ManualUpstream, answer_name, driver, request_context,
    run_tasks, settings, upstreams, wait_until, yield_once,
};
use maplehook::parts::driver::PendingAnswer;
use maplehook_core::{Class, Settings};
use std::time::Duration;
use tokio::task::spawn_local;

/// Waits for the request with this id. Returns the indices of the server that received it and of its
/// connection.
async fn wait_for_request(servers: &mut [ManualUpstream], id: &str) -> (usize, usize) {
    let mut received = None;
    wait_until("a server receives the request", || {
        received = servers
            .iter_mut()
            .enumerate()
            .find_map(|(n, server)| server.next_request().map(|request| (n, request)));
        received.is_some()
    })
    .await;
    let (n, request) = received.unwrap();
    assert_eq!(request.id, id);
    (n, request.connection)
}

/// Disconnects the client when `servers[index]` has accepted a connection that the balancer has not noticed
/// yet.
async fn disconnect_during_connect<const N: usize>(
    servers: [ManualUpstream; N],
    index: usize,
    pending: PendingAnswer,
) -> ([ManualUpstream; N], usize) {
    let disconnected = spawn_local(async move {
        let mut servers = servers;
        while !servers[index].accept() {
            yield_once().await;
        }
        drop(pending);
        servers
    });
    (disconnected.await.unwrap(), index)
}

/// Waits until the connection closes and asserts that it carried no request.
async fn assert_not_written<const N: usize>((mut servers, index): ([ManualUpstream; N], usize)) {
    wait_until("the balancer closes the connection", || {
        assert!(
            servers[index].next_request().is_none(),
            "a request was written after its client had disconnected"
        );
        servers[index].connections[0].is_closed
    })
    .await;
}

fn settings_with_and_without_cancellation() -> impl Iterator<Item = Settings> {
    [false, true].into_iter().map(|allow_cancel| Settings { can_cancel: allow_cancel, ..settings() })
}

/// Upstreams must not work for disconnected clients: the client disconnects while its attempt waits for a
/// descriptor.
#[tokio::test(flavor = "local")]
async fn attempts_waiting_for_a_descriptor_are_not_written_after_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let mut servers = [ManualUpstream::start()];
        let driver = driver(settings.clone(), upstreams(&settings, 1), &[servers[0].address]);
        let first = driver.submit(request_context(AT_MOST_ONCE, "first"));
        let (_, connection) = wait_for_request(&mut servers, "first").await;
        let second = driver.submit(request_context(AT_MOST_ONCE, "second"));
        run_tasks().await;
        drop(second);
        servers[0].answer(connection, "done");
        assert_eq!(answer_name(&first.answer().await.0), "served");
        let third = driver.submit(request_context(AT_MOST_ONCE, "third"));
        let (_, connection) = wait_for_request(&mut servers, "third").await;
        servers[0].answer(connection, "done");
        assert_eq!(answer_name(&third.answer().await.0), "served");
        run_tasks().await;
        assert!(servers[0].next_request().is_none());
    }
}

/// Upstreams must not work for disconnected clients: the client disconnects before its connection is
/// established.
#[tokio::test(flavor = "local")]
async fn attempts_are_not_written_if_the_client_disconnects_during_the_connect() {
    for settings in settings_with_and_without_cancellation() {
        let server = ManualUpstream::start();
        let driver = driver(settings.clone(), upstreams(&settings, 8), &[server.address]);
        let pending = driver.submit(request_context(AT_MOST_ONCE, "one"));
        let server = disconnect_during_connect([server], 0, pending).await;
        assert_not_written(server).await;
    }
}

/// Upstreams must not work for disconnected clients: the client disconnects while its retry connects.
#[tokio::test(flavor = "local")]
async fn retries_are_not_written_after_a_disconnect() {
    for settings in settings_with_and_without_cancellation() {
        let mut servers = [ManualUpstream::start(), ManualUpstream::start()];
        let driver = driver(
            settings.clone(),
            upstreams(&settings, 8),
            &servers.each_ref().map(|server| server.address),
        );
        let pending = driver.submit(request_context(IDEMPOTENT, "one"));
        let (n, connection) = wait_for_request(&mut servers, "one").await;
        servers[n].write(connection, ERROR_RESPONSE);
        let other = disconnect_during_connect(servers, 1 - n, pending).await;
        assert_not_written(other).await;
    }
}

/// Upstreams must not work for disconnected clients: the client disconnects while its hedge connects.
#[tokio::test(flavor = "local")]
async fn hedges_are_not_written_after_a_disconnect() {
    for base in settings_with_and_without_cancellation() {
        let objective = Duration::from_millis(200);
        let classes = base
            .classes
            .iter()
            .map(|class| Class { latency_objective: objective, ..class.clone() })
            .collect();
        let settings = Settings { can_hedge: true, classes, ..base };
        let mut servers = [ManualUpstream::start(), ManualUpstream::start()];
        let driver = driver(
            settings.clone(),
            upstreams(&settings, 8),
            &servers.each_ref().map(|server| server.address),
        );
        let pending = driver.submit(request_context(IDEMPOTENT, "one"));
        let (n, _) = wait_for_request(&mut servers, "one").await;
        let other = disconnect_during_connect(servers, 1 - n, pending).await;
        assert_not_written(other).await;
    }
}
