//! What a request is and what an answer means, without I/O, clock or chance.
//!
//! - [`Rules`] read a head: its class by method and path, its tenant, its id, its key, how long its client waits.
//!   What is no request is [`Unfit`], with the one answer that it gets.
//! - [`Passage`] says how messages of one class pass: how much is held, what a status means ([`Meaning`]).
//! - [`Forwarding`] takes off what speaks of one hop and sets what tells the upstream who asked.
//!
//! The platform's protocol is one fixed instance ([`Rules::platform`], [`Passage::platform`],
//! [`Forwarding::platform`]); an operator's file makes others.
//!
//! ```
//! use http::{HeaderMap, Method, Uri};
//! use maplehook_core::{ClassId, Effect};
//! use maplehook_http_semantics::{Headers, Pattern, Route, Rules};
//! use std::time::Duration;
//!
//! let route = |class, pattern: &str, methods: &[Method], effect| Route {
//!     class: ClassId(class),
//!     pattern: Pattern::new(pattern).unwrap(),
//!     methods: methods.to_vec(),
//!     effect,
//!     deadline: Duration::from_secs(3),
//! };
//! let rules = Rules::new(
//!     vec![
//!         route(0, "/days/*", &[Method::GET], Effect::Idempotent),
//!         route(1, "/**", &[], Effect::AtMostOnce),
//!     ],
//!     Vec::new(),
//!     Headers::default(),
//! );
//! let read = |method, target: &'static str| rules.read(&method, &Uri::from_static(target), &HeaderMap::new());
//! assert_eq!(read(Method::GET, "/days/2").unwrap().class, ClassId(0));
//! // However it is written: else a request could choose a class that lets it run twice.
//! assert_eq!(read(Method::GET, "/x/../%64ays/2").unwrap().class, ClassId(0));
//! assert_eq!(read(Method::POST, "/days/2").unwrap().class, ClassId(1));
//! ```

mod classify;
mod forward;
mod meaning;
mod own;
mod pattern;

pub use classify::{Fit, Headers, Route, Rules, Unfit};
pub use forward::{Forwarding, HostRule, Peer, strip_hop_by_hop};
pub use meaning::{Answers, Begins, Meaning, Means, Passage, SENDER_IDLE};
pub use own::{IDENTITY_IN_USE, IDENTITY_REUSED, Own};
pub use pattern::{Pattern, PatternError};

/// Names of headers that the platform's protocol has, and defaults elsewhere.
pub mod names {
    use http::HeaderName;

    /// A request's own id, new with each try.
    pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
    /// The tenant.
    pub const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
    /// How long the sender still waits, in whole milliseconds.
    pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
    /// Marks a client's retry.
    pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
    /// A guess at the work, in microseconds.
    pub const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
    /// Marks a keyed request.
    pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
    /// Set to 1: the request was turned away unseen.
    pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
    /// On answers that are the balancer's own: `refused`, `failed` or `unfit`.
    pub const OWN: HeaderName = HeaderName::from_static("x-maplehook");
}
