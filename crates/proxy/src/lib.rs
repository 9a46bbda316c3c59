//! Load balancer for HTTP/1.1, configured by the platform or by an operator's file.
//!
//! `maplehook_core` makes the balancing decisions, `maplehook-admission` admits clients, and
//! `maplehook-http-semantics` interprets requests and responses. Other programs start a balancer with [`Daemon`]:
//!
//! ```
//! let file = r#"
//!     [listen]
//!     address = "127.0.0.1:0"
//!     [[class]]
//!     name = "all"
//!     path = "/**"
//!     [[upstream]]
//!     name = "desk-1"
//!     address = "127.0.0.1:9"
//! "#;
//! let daemon = maplehook_proxy::Daemon::start(maplehook_config::parse(file)?)?;
//! assert!(std::net::TcpStream::connect(daemon.address).is_ok());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod admin_target;
mod admission;
mod client;
pub mod command;
pub mod config;
pub mod config_reload;
mod control;
mod counts;
mod daemon;
mod failover;
mod framing;
#[cfg(test)]
mod golden_tests;
mod gossip_source;
mod handover;
mod inbound;
pub mod inherited;
pub mod locality_command;
mod memory;
pub mod places;
pub mod places_command;
mod rejections;
mod request_signing;
mod requests;
mod responses;
pub mod rollout;
pub mod rollout_command;
pub mod serve;
mod server;
pub mod settings;
pub mod settings_api;
pub mod supervise_command;
pub mod supervised;
pub mod tier;
mod versions;

pub use daemon::Daemon;
