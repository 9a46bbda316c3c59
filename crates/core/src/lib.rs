//! Decision engine of a reverse proxy that spreads requests over HTTP upstreams: it admits or rejects
//! requests, chooses the upstream of each attempt, and handles failed attempts.
//!
//! The crate does no I/O and reads no clock. The embedder reports [`Event`]s with their time to a
//! [`Balancer`] and carries out the [`Action`]s that it returns. The same settings, seed and events always
//! give the same actions.
//!
//! # Modules
//!
//! | module | responsibility |
//! | --- | --- |
//! | `interface` | public types: [`Settings`], [`Event`], [`Action`] |
//! | `balancer` | event dispatch and the tick |
//! | `admission`, `token_bucket`, `quota`, `headroom` | admission of requests |
//! | `round_robin`, `upstream_weights`, `slow_start` | choice of the next upstream in the subset |
//! | `zone_routing`, `split_table` | choice of the zone where a [`TrafficSplit`] is in force |
//! | `attempts`, `retry`, `hedging` | attempts, and the reaction to failed or slow ones |
//! | `outlier_detection`, `latency_estimator`, `idle_connections`, `load_reports` | evaluation of results and load reports |
//! | [`connection_reuse`] | when a connection may carry its next request; for the embedder's connection pool |
//! | [`repeated_responses`] | responses that may answer the request before; for the embedder's connections |
//! | [`exchange_time`] | when the final answer to a request is due; for the embedder's requests |
//! | [`unsized_answer`] | whether an answer without a length may go on; for the embedder's streams |
//! | `discovery`, `endpoints`, `subsetting` | list of upstreams, and the subset in use |
//! | `state_transfer`, `settings_change` | continuity over a restart or a change of settings |
//! | `observations`, `zone_observations` | counters that a failover plan is based on |
//! | `state`, `upstream`, `request`, `rotation`, `throughput`, `refresh_queue` | data that the other modules read and write |
//!
//! ```
//! use maplehook_core::*;
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: ms(200),
//!         deadline: ms(1000),
//!         effect: Effect::Idempotent,
//!         ..Class::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The first event lists the cached endpoints.
//! let endpoints = [Endpoint {
//!     id: UpstreamId(7),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     availability: Availability::Ready,
//!     weight: 1.0,
//!     started: None,
//! }];
//! let update = Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &endpoints };
//! balancer.handle(ms(0), update, &mut actions);
//!
//! // A request arrives: the balancer forwards or rejects it at once.
//! actions.clear();
//! let request = Event::Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     time_left: ms(1000),
//!     work_ms: None,
//!     is_repeat: false,
//! };
//! balancer.handle(ms(5), request, &mut actions);
//! assert!(matches!(actions[..], [Action::Attempt { id: RequestId(1), upstream: UpstreamId(7), .. }]));
//!
//! // The upstream has answered: the embedder forwards the answer and reports the end of the attempt.
//! actions.clear();
//! let ended = Event::AttemptEnded {
//!     id: RequestId(1),
//!     attempt: AttemptNo(0),
//!     upstream: UpstreamId(7),
//!     outcome: Outcome::Ok,
//!     latency: ms(30),
//!     is_finished: true,
//!     report: &[],
//! };
//! balancer.handle(ms(35), ended, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! An embedder has to deliver the timers that [`Action::Timer`] requests (the balancer's tick is one of
//! them), and to end an attempt as [`Outcome::TimedOut`] at its timeout or, at the latest, at the client's
//! deadline. `Balancer` then gives each request exactly one final answer.
//!
//! # Load of all balancers together on an upstream in slow start
//!
//! An upstream that has just started fails when it receives more than `N` requests, plus an allowance for
//! chance, within [`Settings::overload_window`] `T`. `N` is `overload_multiple` times its capacity, times its
//! slow-start share, times `T`. A balancer that has the upstream in its subset lets it earn `0.4 *
//! overload_multiple * C * share` slots per second, by the clock and not by passes of the rotation. `C` is
//! the balancer's completion rate at a warm upstream of its subset (at the start, its part of the configured
//! allowances). Over all subsets with the upstream, the sum of `C` is the completion rate of one warm
//! upstream, so at most its capacity: the balancers together send `0.4 * N` in any window on average.
//! Additions to that:
//!
//! | source | addition |
//! | --- | --- |
//! | initial credit, 0 to 1 at random | nothing on average: it is the credit that a balancer has earned at any moment, so that restarted balancers behave as before. None after a restart with learned state |
//! | saved credit, at most 1.5 | one slot at once, and then a half: a balancer without requests saves no burst |
//! | `C` of sparse traffic: the highest recent mean over 2 s | up to about three times, where a balancer sees under one request per second; `N` is small then, and the allowance for chance (2 roots of `N`, and 2) is large |
//! | subsets in which all are in slow start | up to `1 / share` times: completions are attributed to fewer upstreams |
//! | an upstream back from ejection | nothing: it earns slots like one that has just started |
//! | trials of an upstream ejected for a class | nothing: one in slow start is tried with a slot that it has earned |
//! | retries, hedges | nothing: they never go to an upstream in slow start, inside the subset or outside |
//! | all ejected, or too many to respect the ejections | nothing: an upstream in slow start still gets only its slots |
//!
//! If the part of one balancer is under one request, the initial credits make one balancer after another send
//! it. `tests/slow_start.rs` checks this for 1 to 300 balancers.

#![deny(
    missing_docs,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::missing_errors_doc,
    clippy::result_large_err
)]
#![cfg_attr(not(test), deny(clippy::unwrap_used))]

mod admission;
mod attempt_result;
mod attempts;
mod balancer;
pub mod connection_reuse;
mod discovery;
mod endpoints;
pub mod exchange_time;
mod headroom;
mod hedging;
mod idle_connections;
mod interface;
mod latency_estimator;
mod load_reports;
mod observations;
mod outlier_detection;
mod quota;
mod random;
mod refresh_queue;
pub mod repeated_responses;
mod request;
pub mod request_lifecycle;
mod retry;
mod rotation;
mod round_robin;
mod settings_change;
mod slow_start;
mod split_table;
mod state;
mod state_transfer;
mod subsetting;
mod throughput;
mod tick;
mod token_bucket;
pub mod unsized_answer;
mod upstream;
mod upstream_weights;
mod zone_observations;
mod zone_routing;

pub use interface::*;
pub use observations::{GroupObservation, ZoneObservation};
pub use state::{Balancer, UpstreamCounts};

/// The README's embedding example, which the tests compile.
#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;
