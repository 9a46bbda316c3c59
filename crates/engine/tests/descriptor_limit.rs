//! Attempts that wait because the limit on upstream connections is reached.

mod common;

use common::{
    AT_MOST_ONCE, ManualUpstream, answer_name, driver, request_context, run_tasks, settings, upstreams,
    wait_until,
};
use maplehook_core::Settings;
use maplehook_test_servers::LONG;

/// Waiting attempts must continue when a connection becomes idle, for the same or another upstream. If only a
/// closed connection wakes them, they time out next to an idle connection.
#[tokio::test(flavor = "local")]
async fn idle_connections_serve_waiting_attempts() {
    for upstream_count in [1, 2] {
        let mut servers: Vec<_> = (0..upstream_count).map(|_| ManualUpstream::start()).collect();
        let settings = Settings { connect_timeout: LONG, ..settings() };
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let driver = driver(settings.clone(), upstreams(&settings, 1), &addresses);
        let ids = ["one", "two", "three"];
        let pending_answers: Vec<_> = ids.map(|id| driver.submit(request_context(AT_MOST_ONCE, id))).into();
        run_tasks().await;
        for _ in ids {
            let mut received = None;
            wait_until("a server receives a request", || {
                received =
                    servers.iter_mut().enumerate().find_map(|(n, server)| Some((n, server.next_request()?)));
                received.is_some()
            })
            .await;
            let (n, request) = received.unwrap();
            servers[n].answer(request.connection, &request.id);
        }
        for pending in pending_answers {
            assert_eq!(answer_name(&pending.answer().await.0), "served", "with {upstream_count} upstreams");
        }
    }
}

/// At shutdown, an attempt aborted before its first byte never ran and must be rejected, which tells the
/// client that a repeat is safe. An attempt that was written must fail.
#[tokio::test(flavor = "local")]
async fn aborted_attempts_are_rejected_if_they_were_not_written() {
    let mut server = ManualUpstream::start();
    let settings = Settings { connect_timeout: LONG, ..settings() };
    let driver = driver(settings.clone(), upstreams(&settings, 1), &[server.address]);
    let [written, waiting] = ["one", "two"].map(|id| driver.submit(request_context(AT_MOST_ONCE, id)));
    wait_until("the first request is received", || server.next_request().is_some()).await;
    run_tasks().await;
    driver.abort_attempts();
    assert_eq!(answer_name(&written.answer().await.0), "failed");
    assert_eq!(answer_name(&waiting.answer().await.0), "rejected");
    assert!(server.next_request().is_none());
}
