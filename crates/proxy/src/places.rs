//! Operators' and routers' calls on places: `GET` and `POST /control/places`, `GET /control/addresses`, `GET /announce/NAME`.

use crate::request_signing::RequestVerifier;
use hyper::StatusCode;
use maplehook_failover_agent::Board;
use maplehook_failover_agent::talk::{Reply, Wish};
use serde::Serialize;
use std::sync::Arc;

/// Where places are shown, and wishes taken.
pub const PLACES_PATH: &str = "/control/places";
/// Where addresses are shown.
pub const ADDRESSES_PATH: &str = "/control/addresses";
/// What a router asks begins with this.
pub const ANNOUNCE_PREFIX: &str = "/announce/";
/// The longest body of a wish.
pub const MAX_BODY_BYTES: usize = 4096;

/// Answers these calls.
#[derive(Clone)]
pub struct PlacesApi {
    board: Board,
    verifier: Option<Arc<RequestVerifier>>,
}

fn to_json(value: &impl Serialize) -> String {
    // What is shown has nothing that JSON can't say.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

impl PlacesApi {
    /// Without a seal nothing is decided in common, and no wish is taken.
    pub fn new(board: Board, verifier: Option<Arc<RequestVerifier>>) -> Self {
        Self { board, verifier }
    }

    /// The answer to `GET /control/places`, by its query.
    pub fn handle_get(&self, query: Option<&str>) -> (StatusCode, String) {
        match query {
            None | Some("") => (StatusCode::OK, to_json(&self.board.places())),
            Some("history") => (StatusCode::OK, to_json(&self.board.history())),
            Some(query) => match query.strip_prefix("explain=").map(str::parse) {
                Some(Ok(epoch)) => match self.board.explain(epoch) {
                    Some(plan) => (StatusCode::OK, to_json(&plan)),
                    None => {
                        (StatusCode::NOT_FOUND, format!("plan {epoch} was not acted on here, or long ago\n"))
                    }
                },
                _ => (StatusCode::BAD_REQUEST, "?history or ?explain=EPOCH\n".into()),
            },
        }
    }

    /// The answer to `GET /control/addresses`.
    pub fn addresses(&self) -> (StatusCode, String) {
        (StatusCode::OK, to_json(&self.board.addresses()))
    }

    /// The answer to a router.
    pub fn announce(&self, name: &str) -> (StatusCode, String) {
        #[derive(Serialize)]
        struct Withdrawn {
            why: String,
        }
        match self.board.announce(name) {
            Some(Ok(announcement)) => (StatusCode::OK, to_json(&announcement)),
            Some(Err(why)) => (StatusCode::SERVICE_UNAVAILABLE, to_json(&Withdrawn { why })),
            None => {
                let why = format!("there is no address {name:?}");
                (StatusCode::NOT_FOUND, to_json(&Withdrawn { why }))
            }
        }
    }

    /// The answer to a `POST`.
    pub async fn handle_post(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        let Some(verifier) = &self.verifier else {
            return (
                StatusCode::SERVICE_UNAVAILABLE,
                "without [agreement] nothing is decided in common\n".into(),
            );
        };
        let request: Wish = match verifier.verify_and_parse(header, body) {
            Ok(request) => request,
            Err(answer) => return answer,
        };
        match self.board.wish(request).await {
            Reply::Done(number) => (StatusCode::OK, format!("{{\"number\":{number}}}\n")),
            Reply::Refused(why) => (StatusCode::CONFLICT, why + "\n"),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why + "\n"),
        }
    }
}
