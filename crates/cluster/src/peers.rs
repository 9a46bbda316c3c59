//! Whom to call that is not here: each listed balancer that is not believed alive, at a pace that backs off.

use crate::name::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// The first pause between two calls.
const FIRST: Duration = Duration::from_millis(300);
/// Calls at once.
const BURST: usize = 8;

/// The longest pause, for so many listed: together they call one that is away once or twice a second, however many
/// they are; of few each has to call often itself.
pub fn longest(listed: usize) -> Duration {
    Duration::from_millis((listed as u64 * 250).clamp(2000, 30_000))
}

#[derive(Clone, Copy, Debug)]
struct Call {
    next: Duration,
    wait: Duration,
}

/// Those who are away.
#[derive(Clone, Debug)]
pub struct Away {
    calls: BTreeMap<Name, Call>,
    listed: usize,
}

impl Away {
    /// At the start everybody is, and is called in an order that `jitter` draws.
    pub fn new(listed: impl IntoIterator<Item = Name>, mut jitter: impl FnMut() -> f64) -> Self {
        let mut call = || Call { next: Duration::from_millis(1).mul_f64(jitter()), wait: FIRST };
        let calls: BTreeMap<Name, Call> = listed.into_iter().map(|name| (name, call())).collect();
        Self { listed: calls.len(), calls }
    }

    /// It is here.
    pub fn here(&mut self, name: &Name) {
        self.calls.remove(name);
    }

    /// It was here and is not any more: called soon, then seldom.
    pub fn gone(&mut self, now: Duration, name: &Name) {
        self.calls.insert(name.clone(), Call { next: now + FIRST, wait: FIRST });
    }

    /// Those whose turn it is, who wait longest first. `jitter` gives 0 to 1.
    pub fn due(&mut self, now: Duration, mut jitter: impl FnMut() -> f64) -> Vec<Name> {
        let longest = longest(self.listed);
        let mut ready: Vec<(Duration, &Name)> =
            self.calls.iter().filter(|(_, call)| call.next <= now).map(|(name, c)| (c.next, name)).collect();
        ready.sort_unstable();
        let chosen: Vec<Name> = ready.into_iter().take(BURST).map(|(_, name)| name.clone()).collect();
        for name in &chosen {
            if let Some(call) = self.calls.get_mut(name) {
                call.next = now + call.wait.mul_f64(0.75 + 0.5 * jitter());
                call.wait = (call.wait * 2).min(longest);
            }
        }
        chosen
    }

    /// Their names.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.calls.keys()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_back_off_and_stay_bounded() {
        let names: Vec<Name> = (0..120).map(|n| Name::new(&format!("b{n}")).unwrap()).collect();
        let mut away = Away::new(names.iter().cloned(), || 0.5);
        let (mut calls, mut late) = (0, 0);
        let mut heard = std::collections::BTreeSet::new();
        for tick in 0..6000u64 {
            let due = away.due(Duration::from_millis(tick * 100), || 0.5);
            assert!(due.len() <= BURST);
            heard.extend(due.iter().cloned());
            calls += due.len();
            late += if tick >= 3000 { due.len() } else { 0 };
            if tick == 30 {
                assert_eq!(heard.len(), 120, "everybody is called once within 3 s");
            }
        }
        // 300 s at one call each 30 s to each of 120.
        assert!((1000..=1400).contains(&late), "{late} of {calls}");
        away.here(&names[3]);
        assert!((0..100).all(|n| !away.due(Duration::from_secs(700 + n), || 0.1).contains(&names[3])));
        away.gone(Duration::from_secs(900), &names[3]);
        let due = away.due(Duration::from_secs(900), || 0.5);
        assert!(!due.contains(&names[3]), "not at once");
    }
}
