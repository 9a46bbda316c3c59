//! What one balancer may leave to the next: what was learned, as plain figures. Times are seconds, as ages.

use crate::interface::UpstreamId;
use crate::state::{Balancer, Bucket, Learned, Upstream};

/// What a balancer has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heritage {
    /// Completions a second for each unit of turn weight, and in all.
    pub rates: Option<(f64, f64)>,
    /// By class.
    pub classes: Vec<Option<ClassHeritage>>,
    /// By tenant.
    pub tenants: Vec<Option<TenantHeritage>>,
    /// The upstreams of which anything is known.
    pub upstreams: Vec<UpstreamHeritage>,
}

/// What was learned of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassHeritage {
    /// Mean latency of its attempts.
    pub latency: f64,
    /// The same of those answered.
    pub answers: f64,
    /// What the mean has come down to when little was held.
    pub least: f64,
    /// What nearly all answers take at the most.
    pub usual: f64,
    /// Its share of the admitted.
    pub share: f64,
}

/// What a tenant has and wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantHeritage {
    /// Tokens in its bucket.
    pub tokens: f64,
    /// Requests a second.
    pub demand: f64,
}

/// What was learned of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamHeritage {
    /// Which.
    pub id: UpstreamId,
    /// For how long it has climbed from cold, if it does; negative as long as it has not begun.
    pub cold_for: Option<f64>,
    /// For how long it stays ejected.
    pub ejected_for: f64,
    /// Ejections in a row.
    pub ejections: u32,
    /// Its latency as a multiple of what is usual, and the answers behind that.
    pub pace: f64,
    /// See there.
    pub seen: f64,
}

impl Balancer {
    /// What the next process may know of this one.
    pub fn heritage(&self) -> Heritage {
        let class = |l: &Learned| {
            let Learned { latency, answers, least, usual, share, .. } = *l;
            Some(ClassHeritage { latency, answers, least, usual, share })
        };
        let upstream = |u: &Upstream| UpstreamHeritage {
            id: u.id,
            cold_for: u.started.map(|s| (self.at - s).max(0.0)),
            ejected_for: (u.ejected_until - self.at).max(0.0),
            ejections: u.ejections,
            pace: u.pace,
            seen: u.seen,
        };
        let tenant = |b: &Bucket| Some(TenantHeritage { tokens: b.tokens.max(0.0), demand: b.demand });
        Heritage {
            rates: Some((self.rate, self.rate_now)),
            classes: self.classes.iter().map(class).collect(),
            tenants: self.buckets.iter().map(tenant).collect(),
            upstreams: self.ring.iter().filter(|u| u.ready || u.draining).map(upstream).collect(),
        }
    }
}
