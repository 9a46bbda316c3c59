//! Requests that may have only one attempt in flight: the connection of the first attempt is closed before
//! the second attempt is written.

mod common;

use common::{IDEMPOTENT, ManualUpstream, driver, request_context, settings, upstreams, wait_until};
use maplehook_core::{Class, Settings};
use maplehook_test_servers::LONG;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// A fleet without hedging must not work on two attempts of a request at the same time. The first attempt
/// ends either by cancellation when it is overdue or by a time limit set at its start.
#[tokio::test(flavor = "local")]
async fn the_first_attempt_is_closed_before_the_second_is_written() {
    for allow_cancel in [true, false] {
        let objective = Duration::from_millis(200);
        let base = Settings { can_cancel: allow_cancel, ..settings() };
        let classes = base
            .classes
            .iter()
            .map(|class| Class { latency_objective: objective, late_value: 0.5, ..class.clone() })
            .collect();
        let settings = Settings { classes, ..base };
        let mut servers = [ManualUpstream::start(), ManualUpstream::start()];
        // Both servers get an idle connection, so that the second attempt need not connect.
        let driver = driver(
            settings.clone(),
            upstreams(&settings, 8),
            &servers.each_ref().map(|server| server.address),
        );
        let mut warmup_count = 0;
        while servers.iter().any(|server| server.connections.is_empty()) {
            let pending = driver.submit(request_context(IDEMPOTENT, &format!("warmup-{warmup_count}")));
            warmup_count += 1;
            let mut received = None;
            wait_until("a server receives the request", || {
                received =
                    servers.iter_mut().enumerate().find_map(|(n, server)| Some((n, server.next_request()?)));
                received.is_some()
            })
            .await;
            let (n, request) = received.unwrap();
            servers[n].answer(request.connection, "warmup");
            pending.answer().await;
        }
        let pending = driver.submit(request_context(IDEMPOTENT, "one"));
        let observation = spawn_local(async move {
            let (mut first, start) = (None, Instant::now());
            loop {
                tokio::task::yield_now().await;
                assert!(start.elapsed() < LONG, "timed out waiting for the second attempt");
                for n in 0..2 {
                    let Some(request) = servers[n].next_request() else { continue };
                    let Some((first_server, connection)) = first else {
                        first = Some((n, request.connection));
                        continue;
                    };
                    let other: &mut ManualUpstream = &mut servers[first_server];
                    other.next_request();
                    assert!(
                        other.connections[connection].is_closed,
                        "two attempts in flight (can_cancel: {allow_cancel})"
                    );
                    return;
                }
            }
        });
        observation.await.unwrap();
        drop(pending);
    }
}
