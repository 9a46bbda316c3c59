//! Operators' calls on changes in stages, and those of whoever starts programs: `GET` and `POST /control/rollout`,
//! `GET /control/rollout/own`.

use crate::signed::Seal;
use hyper::StatusCode;
use maplehook_rollout_agent::StatusBoard;
use maplehook_rollout_agent::messages::{OperatorRequest, Reply};
use serde::Serialize;
use std::sync::Arc;

/// Where changes are shown, and wishes taken.
pub const PATH: &str = "/control/rollout";
/// Where this balancer is to be.
pub const OWN: &str = "/control/rollout/own";
/// The longest body of a wish: a text of settings, escaped.
pub const BODY_MOST: usize = 512 << 10;

/// Answers these calls.
#[derive(Clone)]
pub struct Desk {
    board: StatusBoard,
    seal: Arc<Seal>,
}

fn json(shown: &impl Serialize) -> String {
    // What is shown has nothing that JSON can't say.
    serde_json::to_string(shown).unwrap_or_default() + "\n"
}

impl Desk {
    /// Of calls under this seal.
    pub fn new(board: StatusBoard, seal: Arc<Seal>) -> Self {
        Self { board, seal }
    }

    /// The answer to `GET /control/rollout`, by its query.
    pub fn show(&self, query: Option<&str>) -> (StatusCode, String) {
        match query {
            None | Some("") => (StatusCode::OK, json(&self.board.status())),
            Some("history") => (StatusCode::OK, json(&self.board.history())),
            Some(_) => (StatusCode::BAD_REQUEST, "?history\n".into()),
        }
    }

    /// The answer to `GET /control/rollout/own`.
    pub fn own(&self) -> (StatusCode, String) {
        match self.board.target() {
            Some(own) => (StatusCode::OK, json(&own)),
            None => (StatusCode::NOT_FOUND, "there was no change in stages\n".into()),
        }
    }

    /// The answer to a `POST`.
    pub async fn wish(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        let wish: OperatorRequest = match self.seal.opened(header, body) {
            Ok(wish) => wish,
            Err(answer) => return answer,
        };
        match self.board.request(wish).await {
            Reply::Done(number) => (StatusCode::OK, format!("{{\"number\":{number}}}\n")),
            Reply::Planned(preview) => (StatusCode::OK, json(&preview)),
            Reply::Refused(why) => (StatusCode::CONFLICT, why + "\n"),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why + "\n"),
        }
    }
}
