//! Timeouts of client connections, on a paused clock.

use super::*;
use std::task::Poll;
use tokio::time::advance;

const HEAD: &[u8] = b"POST /book HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
const REQUEST_IDLE: Duration = Duration::from_millis(2500);
const TOLERANCE: Duration = Duration::from_millis(20);

struct NoObserver;

impl ConnectionObserver for NoObserver {
    fn on_bytes(&self, _: ConnectionId) {}
    fn on_request(&self, _: ConnectionId, _: u32, _: bool) {}
    fn on_response(&self, _: ConnectionId) -> bool {
        false
    }
    fn on_health_check_response(&self, _: ConnectionId) -> bool {
        false
    }
    fn on_close(&self, _: ConnectionId) {}
}

/// Returns a connection whose events nobody observes.
pub fn unobserved_connection() -> Rc<ClientConnection> {
    let policy = maplehook_admission::AdmissionPolicy::default();
    let mut admission = maplehook_admission::ConnectionAdmission::new(policy, 10, &[], 7);
    let decision = admission.admit(Duration::ZERO, "127.0.0.1".parse().unwrap());
    let maplehook_admission::AdmissionDecision::Admitted { id, .. } = decision else { panic!("rejected") };
    let timeouts =
        ClientTimeouts { request_idle: Duration::from_millis(2500), response_unread: Duration::from_secs(5) };
    Rc::new(ClientConnection::new(Rc::new(NoObserver), id, timeouts))
}

/// Delivers bytes to the connection and consumes them at once.
fn receive(client: &ClientConnection, bytes: &[u8]) {
    client.on_received(bytes);
    client.on_consumed(bytes.len());
}

/// Returns a connection whose last request was answered.
fn idle_connection() -> Rc<ClientConnection> {
    let client = unobserved_connection();
    receive(&client, b"GET /look HTTP/1.1\r\n\r\n");
    client.on_head(Label::default());
    client.on_request(0, false, None);
    client.on_response(MessageKind::Request);
    client
}

/// Asserts that the connection expires within the tolerance around `after`, and for this reason.
async fn assert_expires_after(client: &ClientConnection, after: Duration, reason: EndReason) {
    advance(after - TOLERANCE).await;
    assert_eq!(client.expiry_reason(), None);
    advance(2 * TOLERANCE).await;
    assert_eq!(client.expiry_reason(), Some(reason));
}

/// Guards the stall timeout: it counts from the last byte, for a first request as for a later one.
#[tokio::test(flavor = "local", start_paused = true)]
async fn stalled_requests_time_out_from_their_last_byte() {
    assert_expires_after(&unobserved_connection(), REQUEST_IDLE, EndReason::NothingReceived).await;
    for client in [unobserved_connection(), idle_connection()] {
        receive(&client, &HEAD[..10]);
        advance(REQUEST_IDLE / 2).await;
        receive(&client, &HEAD[10..20]);
        assert_expires_after(&client, REQUEST_IDLE, EndReason::RequestStalled).await;
    }
    let reading = unobserved_connection();
    receive(&reading, HEAD);
    reading.on_head(Label::default());
    // By then the timeout response was written.
    assert_expires_after(&reading, REQUEST_IDLE + SEND_GRACE, EndReason::RequestStalled).await;
}

/// Guards slow clients that keep sending against the idle timeout, and the balancer against requests that
/// never end.
#[tokio::test(flavor = "local", start_paused = true)]
async fn slow_requests_time_out_only_at_the_total_limit() {
    let client = unobserved_connection();
    for part in HEAD.chunks(HEAD.len() / 2) {
        receive(&client, part);
        advance(Duration::from_secs(2)).await;
        assert_eq!(client.expiry_reason(), None);
    }
    advance(Duration::from_millis(900)).await;
    receive(&client, b"x");
    advance(Duration::from_millis(200)).await;
    assert_eq!(client.expiry_reason(), Some(EndReason::RequestStalled));
}

/// Guards a pending response against the stall of a partial request pipelined behind it. Once that response
/// is written the partial request times out within the grace period, unless the client does not read the
/// response.
#[tokio::test(flavor = "local", start_paused = true)]
async fn stalled_pipelined_requests_time_out_soon_after_the_previous_response() {
    for reads_response in [true, false] {
        let client = unobserved_connection();
        receive(&client, b"GET /look HTTP/1.1\r\n\r\n");
        client.on_head(Label::default());
        client.on_request(0, false, None);
        receive(&client, &HEAD[..10]);
        advance(2 * REQUEST_IDLE).await;
        assert_eq!(client.expiry_reason(), None);
        client.on_response(MessageKind::Request);
        if reads_response {
            let _ = client.on_write(Poll::Ready(()));
            assert_expires_after(&client, SEND_GRACE, EndReason::RequestStalled).await;
        } else {
            let _ = client.on_write(Poll::<()>::Pending);
            assert_expires_after(&client, IDLE_TIMEOUT, EndReason::Idle).await;
        }
    }
}

/// Guards the idle limit of a streaming body: bytes in the receive buffer count as activity, and nothing
/// times out after the last byte of the body or after its response.
#[tokio::test(flavor = "local", start_paused = true)]
async fn streaming_bodies_may_pause_up_to_their_idle_limit() {
    let uploading_connection = || {
        let client = unobserved_connection();
        receive(&client, HEAD);
        client.on_head(Label::default());
        client.on_request(0, false, Some(REQUEST_IDLE));
        client
    };
    let client = uploading_connection();
    advance(REQUEST_IDLE).await;
    client.on_unread_bytes();
    assert_expires_after(&client, REQUEST_IDLE + STALL_REPORT_DELAY, EndReason::RequestStalled).await;
    let client = uploading_connection();
    client.on_received(b"body");
    advance(3 * REQUEST_IDLE).await;
    assert_eq!(client.expiry_reason(), None);
    let client = uploading_connection();
    client.on_upstream_response();
    advance(3 * REQUEST_IDLE).await;
    assert_eq!(client.expiry_reason(), None);
}

/// Guards early responses: body bytes that arrive after the response of their request must not start another
/// request.
#[tokio::test(flavor = "local", start_paused = true)]
async fn late_body_bytes_of_an_answered_request_are_not_a_new_request() {
    let client = unobserved_connection();
    receive(&client, HEAD);
    client.on_head(Label::default());
    client.on_response(MessageKind::Health);
    client.on_received(b"bo");
    assert_expires_after(&client, IDLE_TIMEOUT, EndReason::Idle).await;
}
