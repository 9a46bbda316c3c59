//! Policies: the decision module, and those of other proxies, written from their public documentation.
//!
//! All stand behind [`Decides`], the decision module's own events and actions, so that one world plays any of them. A
//! new one is a file with a `Pick` of its own, and a line in [`all`].

mod balanced;
mod gradient;
mod hashing;
mod leastconn;
mod peer;
mod rotation;
mod tokens;

use crate::world::World;
use maplehook_core::{Action, Balancer, Event};
use std::time::Duration;

/// A policy: events in, actions out, as the decision module has them.
pub trait Decides {
    /// Takes in one event and adds what is to be done about it.
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>);
}

impl Decides for Balancer {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        Self::handle(self, now, event, actions);
    }
}

/// Decides nothing: a request gets no answer. What settings permit no decision gets.
struct Mute;

impl Decides for Mute {
    fn handle(&mut self, _: Duration, _: Event<'_>, _: &mut Vec<Action>) {}
}

/// Makes the policy of a balancer: of its world, its number and a seed.
pub type Maker<'a> = dyn Fn(&World, usize, u64) -> Box<dyn Decides> + Sync + 'a;

/// A policy by its name.
pub struct Named {
    /// How experiments call it.
    pub name: &'static str,
    /// What it is, and where that is written.
    pub what: &'static str,
    /// Makes it.
    pub make: fn(&World, usize, u64) -> Box<dyn Decides>,
}

fn module(world: &World, index: usize, seed: u64) -> Box<dyn Decides> {
    match Balancer::new(world.settings(index), seed) {
        Ok(balancer) => Box::new(balancer),
        Err(_) => Box::new(Mute),
    }
}

/// All policies that there are.
pub fn all() -> [Named; 11] {
    [
        Named {
            name: "maplehook",
            what: "the decision module: token buckets by tenant, round robin with a skip rule (crates/core/src/admission.rs)",
            make: module,
        },
        Named {
            name: "round_robin",
            what: "one after another; nginx's default (ngx_http_upstream_module)",
            make: rotation::round_robin,
        },
        Named {
            name: "weighted",
            what: "smooth weighted round robin by listed weight, two tries (nginx, proxy_next_upstream)",
            make: rotation::weighted,
        },
        Named { name: "random", what: "any (Envoy, \"Random\")", make: rotation::random },
        Named {
            name: "least_request",
            what: "better of two by requests out, outlier detection, panic threshold, retry budget (Envoy's defaults)",
            make: balanced::envoy,
        },
        Named {
            name: "better_of_two",
            what: "better of two by requests out, nothing else: the textbook's",
            make: balanced::textbook,
        },
        Named {
            name: "peak_ewma",
            what: "better of two by peak EWMA of latency times requests out, failure accrual (Linkerd, Finagle)",
            make: balanced::linkerd,
        },
        Named {
            name: "leastconn",
            what: "fewest out, at most maxconn each, the rest waits in a queue (HAProxy)",
            make: leastconn::make,
        },
        Named {
            name: "bounded_hash",
            what: "consistent hashing by tenant with bounded load 1.25 (Mirrokni et al.; HAProxy hash-balance-factor)",
            make: hashing::make,
        },
        Named {
            name: "static_tokens",
            what: "token buckets of a fixed rate before a round robin (the paper without its control)",
            make: tokens::make,
        },
        Named {
            name: "gradient",
            what: "adaptive concurrency by the gradient of latency before better of two (Envoy, adaptive_concurrency)",
            make: gradient::make,
        },
    ]
}

/// A policy by its name.
pub fn named(name: &str) -> Option<Named> {
    all().into_iter().find(|p| p.name == name)
}
