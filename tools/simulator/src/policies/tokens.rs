//! Token buckets of a fixed rate, before a round robin: admission by contract alone.

use super::Decides;
use super::peer::{Endpoints, Held, Manner, Peer, Pick};
use crate::world::World;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Seconds of its rate that a bucket holds.
const BURST: f64 = 0.3;

struct Tokens {
    /// Tokens a second.
    rate: f64,
    buckets: Vec<(f64, Duration)>,
    next: usize,
}

impl Pick for Tokens {
    fn admits(&mut self, now: Duration, tenant: u32, _: usize) -> bool {
        let most = (self.rate * BURST).max(1.0);
        let Some((tokens, at)) = self.buckets.get_mut(tenant as usize) else { return false };
        *tokens = (*tokens + self.rate * now.saturating_sub(*at).as_secs_f64()).min(most);
        *at = now;
        let has = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(has));
        has
    }

    fn pick(&mut self, _: Duration, to: &Endpoints, _: &Held, _: &mut ChaCha8Rng) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        to.ready.get(self.next.checked_rem(to.ready.len())?).copied()
    }
}

pub(super) fn make(world: &World, _: usize, seed: u64) -> Box<dyn Decides> {
    // Where nothing is promised, what there is counts as promised in equal parts.
    let all = if world.allowance > 0.0 { world.allowance } else { world.capacity() };
    let rate = all / f64::from(world.tenants.max(1)) / world.balancers.max(1) as f64;
    let buckets = vec![((rate * BURST).max(1.0), Duration::ZERO); world.tenants as usize];
    Box::new(Peer::new(world.classes.clone(), Manner::PLAIN, seed, Tokens { rate, buckets, next: 0 }))
}
