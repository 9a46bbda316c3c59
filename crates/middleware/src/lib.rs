//! maplehook inside a program: the same core as the daemon's, as a [`tower_service::Service`] and a layer.
//!
//! A [`Balancing`] is an engine, with the rules by which its requests are read. It is made of the same file as the
//! daemon's, or of its parts. There are two ways in:
//!
//! - [`Client`], a service: requests in, upstreams' answers out, errors typed.
//! - [`Balance`], a layer: requests that one of the classes matches go to the upstreams, all others to the service
//!   inside, as an axum router's own handlers. What a client hears is what it would hear from the daemon.
//!
//! ```
//! use axum::{Router, routing::get};
//! use maplehook_tower::{Balance, Balancing};
//! use std::time::Duration;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let file = r#"
//!     [[class]]
//!     name = "book"
//!     path = "/book/**"
//!     methods = ["POST"]
//!     effect = "at_most_once"
//!     deadline_ms = 2000
//!     [[upstream]]
//!     name = "desk-1"
//!     address = "127.0.0.1:9"
//! "#;
//! let balancing = Balancing::from_file(file)?;
//! let app: Router = Router::new()
//!     .route("/hello", get(|| async { "the host's own page" }))
//!     .layer(Balance::new(&balancing));
//! // axum::serve(listener, app).with_graceful_shutdown(...).await, and after it:
//! # let runtime = tokio::runtime::Builder::new_current_thread().build()?;
//! runtime.block_on(balancing.shutdown(Duration::from_secs(3)));
//! # drop(app);
//! # Ok(())
//! # }
//! ```
//!
//! # Promises
//!
//! Each request gets one final answer, and no effect happens twice: a request of a class that may not run twice is
//! known by its key or id, and one that is repeated (by its client, by `tower::retry`, after `tower::timeout` dropped
//! it) joins the first, or gets the answer that the first one got. Dropping the host's runtime changes nothing of
//! that: the engine has a thread of its own.
//!
//! # What upstreams are told
//!
//! A host that knows who asked puts a [`Peer`] into the request's extensions; then `X-Forwarded-For` and the others
//! are set. Answers bear a [`Trace`] in their extensions.

mod client;
mod layer;
mod setup;

pub use client::{CallError, Client, Trace};
pub use layer::{Balance, Balanced};
pub use maplehook::{Rejection, RejectionReason, ReplyBody};
pub use maplehook_http_semantics::{Peer, Unfit};
pub use setup::{Balancing, SetupError};

/// The hosts' page, its example kept honest by the tests.
#[doc = include_str!("../../../docs/LIBRARY.md")]
#[cfg(doctest)]
struct Guide;
