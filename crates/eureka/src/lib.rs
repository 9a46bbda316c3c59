//! Membership from a Eureka registry, by its published REST API.
//!
//! - [`model`] reads its documents, JSON and XML, with the quirks that real servers have. Pure.
//! - [`Mirror`] keeps the list: the whole of it, the changes since, the hash of both. Pure.
//! - [`Eureka`] follows a registry of several replicas and is a [`Source`](maplehook::source::Source): what it hears
//!   goes through [`maplehook_endpoints`], so that neither an error nor an empty list empties the fleet.
//! - [`Registrar`] registers the balancer itself.

mod client;
mod mirror;
pub mod model;
mod registrar;
mod source;
mod tree;

pub use client::{Client, Failed, Manner};
pub use mirror::{Mirror, Step, What};
pub use registrar::{Registrar, Registration};
pub use source::{Eureka, Settings};
pub use tree::{Node, TreeError};
