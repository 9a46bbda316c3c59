//! Configured peers that are not alive: each is announced to with exponential backoff and jitter.

use crate::name::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// The first delay between two announces to a peer.
const INITIAL_DELAY: Duration = Duration::from_millis(300);
/// How many peers are announced to at once.
const MAX_ANNOUNCES_AT_ONCE: usize = 8;

/// Returns the longest delay between two announces. It grows with the number of configured peers, so that all of them
/// together announce to an absent one once or twice a second, however many they are.
fn max_delay(configured: usize) -> Duration {
    Duration::from_millis((configured as u64 * 250).clamp(2000, 30_000))
}

/// When a peer is announced to next, and the delay after that.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    next_at: Duration,
    delay: Duration,
}

/// The configured peers that are not alive.
#[derive(Clone, Debug)]
pub struct AbsentPeers {
    backoffs: BTreeMap<Name, Backoff>,
    configured: usize,
}

impl AbsentPeers {
    /// Starts with every configured peer absent, in an order that `jitter` (0 to 1) draws.
    pub fn new(configured: impl IntoIterator<Item = Name>, mut jitter: impl FnMut() -> f64) -> Self {
        let mut backoff =
            || Backoff { next_at: Duration::from_millis(1).mul_f64(jitter()), delay: INITIAL_DELAY };
        let backoffs: BTreeMap<Name, Backoff> =
            configured.into_iter().map(|name| (name, backoff())).collect();
        Self { configured: backoffs.len(), backoffs }
    }

    /// Removes a peer that is alive.
    pub fn on_member_up(&mut self, name: &Name) {
        self.backoffs.remove(name);
    }

    /// Adds a peer that is no longer alive; it is announced to soon, then seldom.
    pub fn on_member_down(&mut self, now: Duration, name: &Name) {
        self.backoffs.insert(name.clone(), Backoff { next_at: now + INITIAL_DELAY, delay: INITIAL_DELAY });
    }

    /// Returns the peers to announce to now, longest due first, and schedules their next announce. `jitter` gives 0 to 1.
    pub fn take_due(&mut self, now: Duration, mut jitter: impl FnMut() -> f64) -> Vec<Name> {
        let max_delay = max_delay(self.configured);
        let mut due: Vec<(Duration, &Name)> = self
            .backoffs
            .iter()
            .filter(|(_, backoff)| backoff.next_at <= now)
            .map(|(name, backoff)| (backoff.next_at, name))
            .collect();
        due.sort_unstable();
        let chosen: Vec<Name> =
            due.into_iter().take(MAX_ANNOUNCES_AT_ONCE).map(|(_, name)| name.clone()).collect();
        for name in &chosen {
            if let Some(backoff) = self.backoffs.get_mut(name) {
                backoff.next_at = now + backoff.delay.mul_f64(0.75 + 0.5 * jitter());
                backoff.delay = (backoff.delay * 2).min(max_delay);
            }
        }
        chosen
    }

    /// Returns the names of the absent peers.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.backoffs.keys()
    }
}

#[cfg(test)]
mod tests;
