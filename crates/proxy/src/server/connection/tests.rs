//! Closing of connections, without sockets.

use super::*;
use crate::client::MessageKind;
use maplehook::label::Label;
use std::cell::Cell;
use std::future::pending;
use tokio::time::sleep;

/// Returns a connection whose last request was answered; the client may not have read the response yet.
fn idle_connection() -> Rc<ClientConnection> {
    let client = crate::client::tests::unobserved_connection();
    client.on_head(Label::default());
    client.on_request(0, false, None);
    client.on_response(MessageKind::Request);
    client
}

/// Reports that no bytes are unread.
fn no_unread_bytes() -> bool {
    false
}

/// Guards responses to clients that read slowly: closing the connection waits for such a response.
#[tokio::test(flavor = "local")]
async fn slow_responses_are_finished_before_the_connection_closes() {
    let (client, is_complete) = (idle_connection(), Cell::new(false));
    let slow_response = async {
        sleep(Duration::from_millis(750)).await;
        is_complete.set(true);
        Ok(())
    };
    finish_response(&client, slow_response).await.unwrap();
    assert!(is_complete.get());
    // A response that never ends is given up.
    finish_response(&client, pending()).await.unwrap();
}

/// Guards a complete pipelined request on a connection that is evicted: it was accepted, so it is answered
/// first. A partial request must not delay the eviction.
#[tokio::test(flavor = "local")]
async fn only_complete_pipelined_requests_delay_an_eviction() {
    let client = idle_connection();
    client.on_received(b"GET /look HTTP/1.1\r\nHost: a\r\n");
    assert!(
        wait_for_responses(&client, false, no_unread_bytes, pending()).await.unwrap(),
        "a partial request does not delay the close"
    );
    client.on_received(b"\r\n");
    let is_served = Cell::new(false);
    let connection = async {
        client.on_head(Label::default());
        client.on_request(0, false, None);
        sleep(2 * CHECK_INTERVAL).await;
        client.on_response(MessageKind::Request);
        is_served.set(true);
        pending().await
    };
    assert!(wait_for_responses(&client, false, no_unread_bytes, connection).await.unwrap());
    assert!(is_served.get());
}

/// Guards clients that connect just before a shutdown: their first request gets a short grace period. An idle
/// connection gets none.
#[tokio::test(flavor = "local")]
async fn new_connections_get_time_for_a_request_at_shutdown() {
    let connection_ending_after = |delay| async move {
        sleep(delay).await;
        Ok(())
    };
    let new_connection = crate::client::tests::unobserved_connection();
    assert!(
        !wait_for_responses(
            &new_connection,
            true,
            no_unread_bytes,
            connection_ending_after(FIRST_REQUEST_GRACE / 2)
        )
        .await
        .unwrap(),
        "the connection ends with the response to its request"
    );
    assert!(
        wait_for_responses(
            &new_connection,
            true,
            no_unread_bytes,
            connection_ending_after(2 * FIRST_REQUEST_GRACE)
        )
        .await
        .unwrap()
    );
    assert!(
        wait_for_responses(
            &idle_connection(),
            true,
            no_unread_bytes,
            connection_ending_after(FIRST_REQUEST_GRACE / 2)
        )
        .await
        .unwrap()
    );
}

/// Guards requests received while the process was suspended: neither a shutdown nor an eviction may close the
/// connection before they are read.
#[tokio::test(flavor = "local")]
async fn connections_with_unread_bytes_are_not_closed() {
    for is_shutdown in [true, false] {
        let (client, checks) = (idle_connection(), Cell::new(0));
        let has_unread_bytes =
            || client.state() == ConnectionState::Idle && checks.replace(checks.get() + 1) < 3;
        // The request is read several checks after the timers expire.
        let connection = async {
            while checks.get() < 3 {
                sleep(POLL_TIMEOUT).await;
            }
            client.on_head(Label::default());
            client.on_request(0, false, None);
            sleep(2 * CHECK_INTERVAL).await;
            client.on_response(MessageKind::Request);
            pending().await
        };
        assert!(wait_for_responses(&client, is_shutdown, has_unread_bytes, connection).await.unwrap());
        assert_eq!(
            (client.state(), checks.get()),
            (ConnectionState::Idle, 4),
            "with is_shutdown {is_shutdown}, the request is answered after 4 checks for unread bytes"
        );
    }
    // Bytes that are never read delay the close only for a limited time.
    let started_at = Instant::now();
    assert!(wait_for_responses(&idle_connection(), true, || true, pending()).await.unwrap());
    assert!(started_at.elapsed() >= MAX_CLOSE_DELAY);
}
