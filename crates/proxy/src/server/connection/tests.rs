//! The end of a connection without its socket.

use super::*;
use crate::client::Question;
use maplehook::label::Label;
use std::cell::Cell;
use std::future::pending;
use tokio::time::sleep;

/// A client whose last request has its answer, which may still be on its way.
fn answered() -> Rc<Client> {
    let client = crate::client::tests::alone();
    client.reads(Label::default());
    client.holds(0, false, None);
    client.answered(Question::Request);
    client
}

/// No bytes wait unread.
fn nothing() -> bool {
    false
}

/// Guards an answer on its way to a client who reads slowly: the end of its connection waits for it.
#[tokio::test(flavor = "local")]
async fn an_answer_on_its_way_is_finished() {
    let (client, whole) = (answered(), Cell::new(false));
    let slow = async {
        sleep(Duration::from_millis(750)).await;
        whole.set(true);
        Ok(())
    };
    finish(&client, slow).await.unwrap();
    assert!(whole.get());
    // One that never comes to an end is given up.
    finish(&client, pending()).await.unwrap();
}

/// Guards a request that has come whole behind the one that is answered, where its connection is to make room: it was
/// taken, and has its answer before the end; a part of one has not, and holds up nobody.
#[tokio::test(flavor = "local")]
async fn only_what_was_taken_holds_up_who_needs_the_place() {
    let client = answered();
    client.arrived(b"GET /look HTTP/1.1\r\nHost: a\r\n");
    assert!(settle(&client, false, nothing, pending()).await.unwrap(), "a part of a request");
    client.arrived(b"\r\n");
    let served = Cell::new(false);
    let serves = async {
        client.reads(Label::default());
        client.holds(0, false, None);
        sleep(2 * LOOK_EVERY).await;
        client.answered(Question::Request);
        served.set(true);
        pending().await
    };
    assert!(settle(&client, false, nothing, serves).await.unwrap());
    assert!(served.get());
}

/// Guards whoever has only just connected when the process ends: its request is on its way, and has a moment to come. One
/// that rests between requests has none.
#[tokio::test(flavor = "local")]
async fn a_newcomer_has_a_moment_for_its_request() {
    let asks = |after| async move {
        sleep(after).await;
        Ok(())
    };
    let newcomer = crate::client::tests::alone();
    assert!(
        !settle(&newcomer, true, nothing, asks(NEWCOMER / 2)).await.unwrap(),
        "served, and ended with that"
    );
    assert!(settle(&newcomer, true, nothing, asks(2 * NEWCOMER)).await.unwrap());
    assert!(settle(&answered(), true, nothing, asks(NEWCOMER / 2)).await.unwrap());
}

/// Guards a request that came while the process stood still: the connection is not shut over it, whatever its timers say, and
/// neither is that of a client which has to make room.
#[tokio::test(flavor = "local")]
async fn a_connection_is_not_shut_over_what_nobody_has_read() {
    for leaving in [true, false] {
        let (client, looks) = (answered(), Cell::new(0));
        let unread = || client.stand() == Stand::Idle && looks.replace(looks.get() + 1) < 3;
        // The request is read some looks later than the timers fire.
        let serves = async {
            while looks.get() < 3 {
                sleep(GLANCE).await;
            }
            client.reads(Label::default());
            client.holds(0, false, None);
            sleep(2 * LOOK_EVERY).await;
            client.answered(Question::Request);
            pending().await
        };
        assert!(settle(&client, leaving, unread, serves).await.unwrap());
        assert_eq!((client.stand(), looks.get()), (Stand::Idle, 4), "leaving: {leaving}");
    }
    // What never comes to be read does not keep the connection for ever.
    let since = Instant::now();
    assert!(settle(&answered(), true, || true, pending()).await.unwrap());
    assert!(since.elapsed() >= ANSWER_MOST);
}
