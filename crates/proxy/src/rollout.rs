//! Admin API endpoints for rollouts: `GET` and `POST /control/rollout` for operators, and
//! `GET /control/rollout/own` for the supervisor.

use crate::request_signing::RequestVerifier;
use hyper::StatusCode;
use maplehook_rollout_agent::StatusBoard;
use maplehook_rollout_agent::messages::{OperatorRequest, Reply};
use serde::Serialize;
use std::sync::Arc;

/// Path of the rollout's status (`GET`) and of admin requests (`POST`).
pub const PATH: &str = "/control/rollout";
/// Path at which the supervisor reads the program and the rollout side that this balancer should run.
pub const OWN_TARGET_PATH: &str = "/control/rollout/own";
/// Maximum size of an admin request's body. The body can hold a complete configuration as an escaped string.
pub const MAX_BODY_BYTES: usize = 512 << 10;

/// Handlers of the rollout endpoints.
#[derive(Clone)]
pub struct RolloutApi {
    board: StatusBoard,
    verifier: Arc<RequestVerifier>,
}

fn to_json(value: &impl Serialize) -> String {
    // Serialization can't fail for the types that are passed here.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

impl RolloutApi {
    /// Creates the handlers. `verifier` checks the signatures of admin requests.
    pub fn new(board: StatusBoard, verifier: Arc<RequestVerifier>) -> Self {
        Self { board, verifier }
    }

    /// Returns the response to `GET /control/rollout` with the given query string.
    pub fn handle_get(&self, query: Option<&str>) -> (StatusCode, String) {
        match query {
            None | Some("") => (StatusCode::OK, to_json(&self.board.status())),
            Some("history") => (StatusCode::OK, to_json(&self.board.history())),
            Some(_) => (StatusCode::BAD_REQUEST, "?history\n".into()),
        }
    }

    /// Returns the response to `GET /control/rollout/own`.
    pub fn own_target(&self) -> (StatusCode, String) {
        match self.board.target() {
            Some(target) => (StatusCode::OK, to_json(&target)),
            None => (StatusCode::NOT_FOUND, "there was no change in stages\n".into()),
        }
    }

    /// Verifies and submits the admin request in a `POST`.
    pub async fn handle_post(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        let request: OperatorRequest = match self.verifier.verify_and_parse(header, body) {
            Ok(request) => request,
            Err(response) => return response,
        };
        match self.board.request(request).await {
            Reply::Done(number) => (StatusCode::OK, format!("{{\"number\":{number}}}\n")),
            Reply::Planned(preview) => (StatusCode::OK, to_json(&preview)),
            Reply::Refused(why) => (StatusCode::CONFLICT, why + "\n"),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why + "\n"),
        }
    }
}
