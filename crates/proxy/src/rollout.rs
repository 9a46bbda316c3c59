//! Operators' calls on changes in stages, and those of whoever starts programs: `GET` and `POST /control/rollout`,
//! `GET /control/rollout/own`.

use crate::request_signing::RequestVerifier;
use hyper::StatusCode;
use maplehook_rollout_agent::Board;
use maplehook_rollout_agent::talk::{Reply, Wish};
use serde::Serialize;
use std::sync::Arc;

/// Where changes are shown, and wishes taken.
pub const PATH: &str = "/control/rollout";
/// Where this balancer is to be.
pub const OWN_TARGET_PATH: &str = "/control/rollout/own";
/// The longest body of a wish: a text of settings, escaped.
pub const MAX_BODY_BYTES: usize = 512 << 10;

/// Answers these calls.
#[derive(Clone)]
pub struct RolloutApi {
    board: Board,
    verifier: Arc<RequestVerifier>,
}

fn to_json(value: &impl Serialize) -> String {
    // What is shown has nothing that JSON can't say.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

impl RolloutApi {
    /// Of calls under this seal.
    pub fn new(board: Board, verifier: Arc<RequestVerifier>) -> Self {
        Self { board, verifier }
    }

    /// The answer to `GET /control/rollout`, by its query.
    pub fn handle_get(&self, query: Option<&str>) -> (StatusCode, String) {
        match query {
            None | Some("") => (StatusCode::OK, to_json(&self.board.shown())),
            Some("history") => (StatusCode::OK, to_json(&self.board.history())),
            Some(_) => (StatusCode::BAD_REQUEST, "?history\n".into()),
        }
    }

    /// The answer to `GET /control/rollout/own`.
    pub fn own_target(&self) -> (StatusCode, String) {
        match self.board.own() {
            Some(target) => (StatusCode::OK, to_json(&target)),
            None => (StatusCode::NOT_FOUND, "there was no change in stages\n".into()),
        }
    }

    /// The answer to a `POST`.
    pub async fn handle_post(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        let request: Wish = match self.verifier.verify_and_parse(header, body) {
            Ok(request) => request,
            Err(answer) => return answer,
        };
        match self.board.wish(request).await {
            Reply::Done(number) => (StatusCode::OK, format!("{{\"number\":{number}}}\n")),
            Reply::Planned(preview) => (StatusCode::OK, to_json(&preview)),
            Reply::Refused(why) => (StatusCode::CONFLICT, why + "\n"),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why + "\n"),
        }
    }
}
