//! Operators' and routers' calls on places: `GET` and `POST /control/places`, `GET /control/addresses`, `GET /announce/NAME`.

use crate::signed::Seal;
use hyper::StatusCode;
use maplehook_failover_agent::StatusBoard;
use maplehook_failover_agent::messages::{OperatorRequest, Reply};
use serde::Serialize;
use std::sync::Arc;

/// Where places are shown, and wishes taken.
pub const PLACES: &str = "/control/places";
/// Where addresses are shown.
pub const ADDRESSES: &str = "/control/addresses";
/// What a router asks begins with this.
pub const ANNOUNCE: &str = "/announce/";
/// The longest body of a wish.
pub const BODY_MOST: usize = 4096;

/// Answers these calls.
#[derive(Clone)]
pub struct Desk {
    board: StatusBoard,
    seal: Option<Arc<Seal>>,
}

fn json(shown: &impl Serialize) -> String {
    // What is shown has nothing that JSON can't say.
    serde_json::to_string(shown).unwrap_or_default() + "\n"
}

impl Desk {
    /// Without a seal nothing is decided in common, and no wish is taken.
    pub fn new(board: StatusBoard, seal: Option<Arc<Seal>>) -> Self {
        Self { board, seal }
    }

    /// The answer to `GET /control/places`, by its query.
    pub fn places(&self, query: Option<&str>) -> (StatusCode, String) {
        match query {
            None | Some("") => (StatusCode::OK, json(&self.board.status())),
            Some("history") => (StatusCode::OK, json(&self.board.history())),
            Some(query) => match query.strip_prefix("explain=").map(str::parse) {
                Some(Ok(epoch)) => match self.board.explain(epoch) {
                    Some(past) => (StatusCode::OK, json(&past)),
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
        (StatusCode::OK, json(&self.board.addresses()))
    }

    /// The answer to a router.
    pub fn announce(&self, name: &str) -> (StatusCode, String) {
        #[derive(Serialize)]
        struct Withdrawn {
            why: String,
        }
        match self.board.announce(name) {
            Some(Ok(announced)) => (StatusCode::OK, json(&announced)),
            Some(Err(why)) => (StatusCode::SERVICE_UNAVAILABLE, json(&Withdrawn { why })),
            None => {
                let why = format!("there is no address {name:?}");
                (StatusCode::NOT_FOUND, json(&Withdrawn { why }))
            }
        }
    }

    /// The answer to a `POST`.
    pub async fn wish(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        let Some(seal) = &self.seal else {
            return (
                StatusCode::SERVICE_UNAVAILABLE,
                "without [agreement] nothing is decided in common\n".into(),
            );
        };
        let wish: OperatorRequest = match seal.opened(header, body) {
            Ok(wish) => wish,
            Err(answer) => return answer,
        };
        match self.board.request(wish).await {
            Reply::Done(number) => (StatusCode::OK, format!("{{\"number\":{number}}}\n")),
            Reply::Refused(why) => (StatusCode::CONFLICT, why + "\n"),
            Reply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why + "\n"),
        }
    }
}
