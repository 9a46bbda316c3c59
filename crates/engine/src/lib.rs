//! An embeddable load balancer. The `maplehook_core` library decides; this crate carries the decisions out. It
//! runs the attempts, manages connections, hides discovery behind one trait and keeps a ledger of
//! non-repeatable requests. Every call gets exactly one final answer, and no effect happens twice.
//!
//! ```
//! use maplehook_core::{Class, ClassId, Effect, Settings, Tenant, TenantId};
//! use maplehook::source::Fixed;
//! use maplehook::{Call, Engine, Outcome};
//! use std::time::Duration;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings {
//!     classes: vec![Class { effect: Effect::AtMostOnce, ..Class::default() }],
//!     tenants: vec![Tenant { allowance_per_s: 50.0 }],
//!     ..Settings::default()
//! };
//! // No server listens on this address: the call is rejected because it never ran.
//! let upstreams = Fixed::new([("desk-1", "127.0.0.1:9".parse()?)]);
//! let engine = Engine::builder(settings).seed(7).upstreams(upstreams).start()?;
//! let handle = engine.handle();
//! let call = Call {
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     wait: Duration::from_secs(1),
//!     id: Some(b"booking-17".to_vec().into()),
//!     method: "POST".parse()?,
//!     target: "/book".parse()?,
//!     headers: [(hyper::header::HOST, "desk".parse()?)].into_iter().collect(),
//!     body: "two beds".into(),
//!     peer: None,
//! };
//! // Calls work from any runtime; the engine runs on its own thread.
//! let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
//! let outcome = runtime.block_on(async {
//!     let outcome = handle.call(call).await;
//!     engine.shutdown(Duration::from_secs(3)).await;
//!     outcome
//! });
//! assert!(matches!(outcome, Outcome::Rejected(_)));
//! # Ok(())
//! # }
//! ```

pub mod call;
pub mod endpoint_list;
pub mod engine;
pub mod label;
pub mod ledger;
pub mod metrics;
pub mod parts;
pub mod source;

pub use call::{Call, CallBody, Outcome, Rejection, RejectionReason, Reply, ReplyBody};
pub use engine::{AdoptError, Builder, Engine, Handle, StartError, Version};
pub use parts::upstream::Lease;
