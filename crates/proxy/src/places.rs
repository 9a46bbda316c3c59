//! Admin API endpoints for localities and shared addresses: `GET` and `POST /control/places`,
//! `GET /control/addresses`, and `GET /announce/NAME` for routers.

use crate::request_signing::RequestVerifier;
use hyper::StatusCode;
use maplehook_failover_agent::StatusBoard;
use maplehook_failover_agent::messages::{OperatorRequest, Reply};
use serde::Serialize;
use std::sync::Arc;

/// Path of the localities' status (`GET`) and of admin requests (`POST`).
pub const PLACES_PATH: &str = "/control/places";
/// Path of the shared addresses' status.
pub const ADDRESSES_PATH: &str = "/control/addresses";
/// Prefix of the paths that routers request. The name of a shared address follows it.
pub const ANNOUNCE_PREFIX: &str = "/announce/";
/// Maximum size of an admin request's body.
pub const MAX_BODY_BYTES: usize = 4096;

/// Handlers of the locality and address endpoints.
#[derive(Clone)]
pub struct PlacesApi {
    board: StatusBoard,
    verifier: Option<Arc<RequestVerifier>>,
}

fn to_json(value: &impl Serialize) -> String {
    // Serialization can't fail for the types that are passed here.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

impl PlacesApi {
    /// Creates the handlers. `verifier` is `None` without a shared plan, and all `POST`s are then rejected.
    pub fn new(board: StatusBoard, verifier: Option<Arc<RequestVerifier>>) -> Self {
        Self { board, verifier }
    }

    /// Returns the response to `GET /control/places` with the given query string.
    pub fn handle_get(&self, query: Option<&str>) -> (StatusCode, String) {
        match query {
            None | Some("") => (StatusCode::OK, to_json(&self.board.status())),
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

    /// Returns the response to `GET /control/addresses`.
    pub fn addresses(&self) -> (StatusCode, String) {
        (StatusCode::OK, to_json(&self.board.addresses()))
    }

    /// Returns the response to a router that requests the announcement of the address `name`.
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

    /// Verifies and submits the admin request in a `POST`.
    pub async fn handle_post(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        let Some(verifier) = &self.verifier else {
            return (
                StatusCode::SERVICE_UNAVAILABLE,
                "without [agreement] nothing is decided in common\n".into(),
            );
        };
        let request: OperatorRequest = match verifier.verify_and_parse(header, body) {
            Ok(request) => request,
            Err(response) => return response,
        };
        match self.board.request(request).await {
            Reply::Done(number) => (StatusCode::OK, format!("{{\"number\":{number}}}\n")),
            Reply::Refused(why) => (StatusCode::CONFLICT, why + "\n"),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why + "\n"),
        }
    }
}
