//! Answers that break off after their first bytes: each becomes a failure with a status, or is seen to be broken.

use crate::common::Setup;
use crate::exchange::{Exchange, Outcome};
use crate::{alone, upstreams};
use std::net::SocketAddr;
use std::time::Duration;

const CLIENTS: u64 = 32;
const ROUNDS: u64 = 20;
/// Waits that end about as the answer begins, up to some that end long after it.
const WAITS_MS: [u64; 8] = [5, 8, 12, 18, 25, 40, 60, 400];
/// Pauses between the first bytes of an answer and its reset.
const PAUSES_MS: [u64; 3] = [0, 20, 300];

/// Answer that breaks off: its form, with what an upstream needs to know of it.
#[derive(Clone, Copy)]
enum Form {
    Chunked,
    ToTheClose,
    WithLength,
    BehindUpload,
}

impl Form {
    fn exchange(self, client: u64, round: u64) -> Exchange {
        let number = client * ROUNDS + round;
        let pause = PAUSES_MS[number as usize % PAUSES_MS.len()];
        let form = match self {
            Self::Chunked => "form=chunked&size=120",
            Self::ToTheClose => "form=close&size=120",
            Self::WithLength => "size=120&length=100000",
            Self::BehindUpload => "form=chunked&size=70000",
        };
        let is_upload = matches!(self, Self::BehindUpload);
        let is_safe = !is_upload && round.is_multiple_of(2);
        Exchange {
            id: format!("{client}-{round}"),
            is_safe,
            script: format!("{form}&work={}&pause={pause}&end=reset", number % 4),
            wait: Duration::from_millis(WAITS_MS[number as usize / 3 % WAITS_MS.len()]),
            body_bytes: if is_upload { 100_000 } else { 4 * usize::from(!is_safe) },
            is_chunked: false,
            write_rate: None,
        }
    }
}

async fn play(form: Form, client: u64, balancer: SocketAddr) -> Vec<(Exchange, Outcome)> {
    let mut played = Vec::new();
    for round in 0..ROUNDS {
        let exchange = form.exchange(client, round);
        let outcome = exchange.play(balancer).await;
        played.push((exchange, outcome));
    }
    played
}

/// Plays exchanges of this form, and fails if a connection was closed with no byte of an answer, or if a broken
/// answer passed for a whole one.
fn assert_answered(form: Form) {
    let _alone = alone();
    let setup = Setup::with(&upstreams::start(6));
    let node = setup.start();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let clients = (0..CLIENTS).map(|client| play(form, client, node.address));
    let played = runtime.block_on(futures_util::future::join_all(clients)).concat();
    let lost: Vec<_> = played.iter().filter(|(_, outcome)| outcome.status.is_none()).collect();
    assert!(lost.is_empty(), "{} of {} got no byte, such as {:?}", lost.len(), played.len(), lost[0]);
    assert!(
        !played.iter().any(|(_, outcome)| outcome.is_served()),
        "a broken answer was served as a whole one"
    );
}

#[test]
fn a_chunked_answer_that_breaks_is_answered() {
    assert_answered(Form::Chunked);
}

#[test]
fn an_answer_to_the_close_that_breaks_is_answered() {
    assert_answered(Form::ToTheClose);
}

#[test]
fn a_long_answer_with_a_length_that_breaks_is_answered() {
    assert_answered(Form::WithLength);
}

#[test]
fn an_answer_behind_an_upload_that_breaks_is_answered() {
    assert_answered(Form::BehindUpload);
}
