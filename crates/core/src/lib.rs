//! The decisions of a reverse proxy that spreads requests over HTTP upstreams: which request is
//! admitted, which upstream it goes to, and what happens when an attempt fails.
//!
//! The crate does no I/O and reads no clock. The embedder tells [`Balancer`] what happens, as [`Event`]s with
//! the time, and carries out the [`Action`]s it answers. The same settings, seed and events always give the
//! same actions.
//!
//! ```
//! use maplehook_core::*;
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: ms(200),
//!         deadline: ms(1000),
//!         effect: Effect::Idempotent,
//!         ..Class::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // A balancer's life starts with the list of upstreams it knows.
//! let listed = [Listed {
//!     id: UpstreamId(7),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: CellId(0),
//!     availability: Availability::Ready,
//!     weight: 1.0,
//!     started: None,
//! }];
//! balancer.handle(ms(0), Event::Fleet { scope: FleetScope::Cached, listed: &listed }, &mut actions);
//!
//! // A request comes: it is sent on, or refused at once.
//! actions.clear();
//! let request = Event::Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     time_left: ms(1000),
//!     work_ms: None,
//!     repeat: false,
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
//!     finished: true,
//!     report: &[],
//! };
//! balancer.handle(ms(35), ended, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! Two things an embedder must do: deliver the timers that [`Action::Timer`] asks for (the balancer's tick is
//! one of them), and end an attempt as [`Outcome::TimedOut`] at its time-out or, at the latest, at the client's
//! deadline. `Balancer` gives each request exactly one final answer on these terms.
//!
//! # What a cold upstream gets from all balancers together
//!
//! An upstream that has just started falls when it gets more than `N` and some for chance within
//! [`Settings::fall_time`] `T`; `N` is `fall_multiple` times its capacity, times its climb, times `T`. A balancer that
//! has it in its subset lets it earn `0.4 * fall_multiple * C * climb` turns a second, by the clock and not by the
//! round: `C` is what the balancer completes at a warm upstream of its subset a second (from the start on, its part
//! of the stated allowances). Over all subsets that it is in, the sum of `C` is what one warm upstream completes, so
//! at most its capacity: together they send `0.4 * N` in any window on average. What comes on top of that:
//!
//! | source | adds |
//! | --- | --- |
//! | credit at the start, 0 to 1 at random | nothing on average: it is what a balancer has earned at any moment, so a fleet that restarts goes on as it was. Nil after a hand-over |
//! | credit saved up, 1.5 at the most | one turn at once, and then a half: a balancer without requests saves no burst |
//! | `C` of thin traffic: the highest mean over 2 s of late | up to about three times, where a balancer sees under one request a second; `N` is small then, and what is left for chance (2 roots of `N`, and 2) is large |
//! | subsets in which all are cold | up to `1 / climb` times: completions are taken for those of fewer upstreams |
//! | an upstream back from ejection | nothing: it earns as one that has just started |
//! | trials of one ejected for a class | nothing: a cold one is tried by a turn that it has earned |
//! | further attempts, second copies | nothing: they never go to a cold one, inside the subset or outside |
//! | all ejected, or too many to spare them | nothing: what is cold still goes by its turns |
//!
//! Where the part of one balancer is under one request, the credit at the start lets one balancer after another send
//! it. `tests/cold.rs` plays this for 1 to 300 balancers.

mod attempts;
mod choice;
mod grant;
pub mod heritage;
mod interface;
mod learning;
mod shares;
mod sight;
mod state;
mod stats;
mod subset;
mod turns;
mod zones;

pub use interface::*;
pub use sight::{GroupSight, ZoneSight};
pub use state::Balancer;

/// README's embedding example, kept honest by the tests.
#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;
