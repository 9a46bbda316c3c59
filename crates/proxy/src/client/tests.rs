//! When a client's time is over, on a clock that the tests move.

use super::*;
use tokio::time::advance;

const HEAD: &[u8] = b"POST /book HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
const SILENCE: Duration = Duration::from_millis(2500);
const A_BIT: Duration = Duration::from_millis(20);

struct Nobody;

impl Keeper for Nobody {
    fn came(&self, _: ConnectionId) {}
    fn held(&self, _: ConnectionId, _: u32, _: bool) {}
    fn answered(&self, _: ConnectionId) -> bool {
        false
    }
    fn checked(&self, _: ConnectionId) -> bool {
        false
    }
    fn left(&self, _: ConnectionId) {}
}

/// A client of which nobody is told.
pub fn alone() -> Rc<Client> {
    let policy = maplehook_admission::AdmissionPolicy::default();
    let mut admission = maplehook_admission::ConnectionAdmission::new(policy, 10, &[], 7);
    let decision = admission.admit(Duration::ZERO, "127.0.0.1".parse().unwrap());
    let maplehook_admission::AdmissionDecision::Admitted { id, .. } = decision else { panic!("rejected") };
    let allowance = Allowance { silence: Duration::from_millis(2500), unread: Duration::from_secs(5) };
    Rc::new(Client::new(Rc::new(Nobody), id, allowance))
}

/// These bytes come, and are taken in.
fn comes(client: &Client, bytes: &[u8]) {
    client.arrived(bytes);
    client.took(bytes.len());
}

/// A client whose last request has its answer.
fn answered() -> Rc<Client> {
    let client = alone();
    comes(&client, b"GET /look HTTP/1.1\r\n\r\n");
    client.reads(Label::default());
    client.holds(0, false, None);
    client.answered(Question::Request);
    client
}

/// Asserts that it is let be up to this moment, and then ends for this reason.
async fn ends_after(client: &Client, after: Duration, reason: End) {
    advance(after - A_BIT).await;
    assert_eq!(client.overdue_for(), None);
    advance(2 * A_BIT).await;
    assert_eq!(client.overdue_for(), Some(reason));
}

/// Guards whoever has stopped, wherever: its time counts from its last byte.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_stop_counts_from_the_last_byte() {
    ends_after(&alone(), SILENCE, End::Silent).await;
    for client in [alone(), answered()] {
        comes(&client, &HEAD[..10]);
        advance(SILENCE / 2).await;
        comes(&client, &HEAD[10..20]);
        ends_after(&client, SILENCE, End::Stopped).await;
    }
    let reading = alone();
    comes(&reading, HEAD);
    reading.reads(Label::default());
    // By then it has been told why.
    ends_after(&reading, SILENCE + PROMPT, End::Stopped).await;
}

/// Guards clients that are slow and move on, and the end of those that move on for ever.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_pause_is_no_stop() {
    let client = alone();
    for piece in HEAD.chunks(HEAD.len() / 2) {
        comes(&client, piece);
        advance(Duration::from_secs(2)).await;
        assert_eq!(client.overdue_for(), None);
    }
    advance(Duration::from_millis(900)).await;
    comes(&client, b"x");
    advance(Duration::from_millis(200)).await;
    assert_eq!(client.overdue_for(), Some(End::Stopped));
}

/// Guards what stands behind a request in hand: that one's answer is not cut, and what stopped behind it has hardly any time
/// left once it is written; who does not read that answer is not asked for the rest.
#[tokio::test(flavor = "local", start_paused = true)]
async fn what_stopped_behind_a_request_ends_soon_after_its_answer() {
    for reads in [true, false] {
        let client = alone();
        comes(&client, b"GET /look HTTP/1.1\r\n\r\n");
        client.reads(Label::default());
        client.holds(0, false, None);
        comes(&client, &HEAD[..10]);
        advance(2 * SILENCE).await;
        assert_eq!(client.overdue_for(), None);
        client.answered(Question::Request);
        if reads {
            let _ = client.wrote(Poll::Ready(()));
            ends_after(&client, PROMPT, End::Stopped).await;
        } else {
            let _ = client.wrote(Poll::<()>::Pending);
            ends_after(&client, IDLE_MOST, End::Rested).await;
        }
    }
}

/// Guards a body that streams: its sender may be silent for a while; what nobody has read yet is no silence, and neither is
/// what follows its last byte or its answer.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_body_that_streams_may_stop_for_a_while() {
    let streams = || {
        let client = alone();
        comes(&client, HEAD);
        client.reads(Label::default());
        client.holds(0, false, Some(SILENCE));
        client
    };
    let client = streams();
    advance(SILENCE).await;
    client.has_unread();
    ends_after(&client, SILENCE + WORDING, End::Stopped).await;
    let client = streams();
    client.arrived(b"body");
    advance(3 * SILENCE).await;
    assert_eq!(client.overdue_for(), None);
    let client = streams();
    client.has_answer();
    advance(3 * SILENCE).await;
    assert_eq!(client.overdue_for(), None);
}

/// Guards an answer of which the rest of its request is still on its way: that rest is no further request.
#[tokio::test(flavor = "local", start_paused = true)]
async fn the_rest_of_an_answered_request_is_none_of_its_own() {
    let client = alone();
    comes(&client, HEAD);
    client.reads(Label::default());
    client.answered(Question::Health);
    client.arrived(b"bo");
    ends_after(&client, IDLE_MOST, End::Rested).await;
}
