//! The decisions of a reverse proxy that spreads requests over HTTP upstreams: which request is
//! admitted, which upstream it goes to, and what happens when an attempt fails.
//!
//! The crate does no I/O and reads no clock. The embedder tells [`Balancer`] what happens, as [`Event`]s with
//! the time, and carries out the [`Action`]s it answers. The same settings, seed and events always give the
//! same actions.
//!
//! # Who owns what
//!
//! | module | what it owns |
//! | --- | --- |
//! | `interface` | the public types: [`Settings`], [`Event`], [`Action`] |
//! | `balancer` | the dispatch of events, and the tick |
//! | `admission`, `token_bucket`, `quota`, `headroom` | which request is admitted |
//! | `round_robin`, `upstream_weights`, `slow_start` | which upstream of the subset is next |
//! | `zone_routing`, `split_table` | which zone a request goes to where a [`TrafficSplit`] is in force |
//! | `attempts`, `retry`, `hedging` | attempts, and what follows when they fail or are slow |
//! | `outlier_detection`, `latency_estimator`, `idle_connections`, `load_reports` | what results and reports tell |
//! | `discovery`, `endpoints`, `subsetting` | which upstreams there are, and which of them are used |
//! | `state_transfer`, `settings_change` | what goes on over a restart or a change of settings |
//! | `observations`, `zone_observations` | the counters that a failover plan is made from |
//! | `state`, `upstream`, `request`, `rotation`, `throughput`, `refresh_queue` | the data that the others fill and read |
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
//! // A balancer's life starts with the endpoints it knows.
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
//! // A request arrives: it is sent on, or rejected at once.
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
//! // The upstream has answered: the embedder passes the answer on, and tells.
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
//! Two things an embedder must do: deliver the timers that [`Action::Timer`] asks for (the balancer's tick is
//! one of them), and end an attempt as [`Outcome::TimedOut`] at its time-out or, at the latest, at the
//! client's deadline. `Balancer` gives each request exactly one final answer on these terms.
//!
//! # What an upstream in slow start gets from all balancers together
//!
//! An upstream that has just started fails when it gets more than `N`, and some for chance, within
//! [`Settings::overload_window`] `T`; `N` is `overload_multiple` times its capacity, times its slow-start
//! share, times `T`. A balancer that has it in its subset lets it earn `0.4 * overload_multiple * C * share`
//! slots a second, by the clock and not by the round: `C` is what the balancer completes at a warm upstream
//! of its subset a second (from the start on, its part of the stated allowances). Over all subsets that it is
//! in, the sum of `C` is what one warm upstream completes, so at most its capacity: together they send `0.4 *
//! N` in any window on average. What comes on top of that:
//!
//! | source | adds |
//! | --- | --- |
//! | credit at the start, 0 to 1 at random | nothing on average: it is what a balancer has earned at any moment, so that balancers that restart go on as they were. None after a restart with learned state |
//! | credit saved up, 1.5 at the most | one slot at once, and then a half: a balancer without requests saves no burst |
//! | `C` of thin traffic: the highest mean over 2 s of late | up to about three times, where a balancer sees under one request a second; `N` is small then, and what is left for chance (2 roots of `N`, and 2) is large |
//! | subsets in which all are in slow start | up to `1 / share` times: completions are taken for those of fewer upstreams |
//! | an upstream back from ejection | nothing: it earns as one that has just started |
//! | trials of one ejected for a class | nothing: one in slow start is tried by a slot that it has earned |
//! | retries, hedges | nothing: they never go to an upstream in slow start, inside the subset or outside |
//! | all ejected, or too many to respect the ejections | nothing: one in slow start still goes by its slots |
//!
//! Where the part of one balancer is under one request, the credit at the start lets one balancer after
//! another send it. `tests/slow_start.rs` plays this for 1 to 300 balancers.

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
mod discovery;
mod endpoints;
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
mod request;
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
