//! What a router has heard of one address, and whom it sends clients to: no I/O, no clock.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The longest that anything is held, whatever an answer says.
const HELD_MOST: Duration = Duration::from_secs(3600);

/// An answer to `GET /announce/NAME` of status 200.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Said {
    /// The address's name.
    pub name: String,
    /// What is announced.
    pub address: String,
    /// The site that announces it.
    pub site: String,
    /// More is better.
    pub preference: u32,
    /// The plan's number.
    pub epoch: u64,
    /// For how long it holds from when it was asked for.
    pub good_for_ms: u64,
}

/// One address as a router knows it. Times are the router's own, from any moment on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// What each announcer said last, and until when it holds.
    held: BTreeMap<String, (Said, Duration)>,
    /// To whom clients are sent.
    acted: BTreeSet<String>,
    /// To whom they will be, and from when on: routes take their time to converge.
    coming: Option<(Duration, BTreeSet<String>)>,
}

impl Table {
    /// An announcer has answered to a poll that was sent at `asked`: it counts from then, since the answer may have been under way
    /// for long. `None`: it announces nothing.
    pub fn heard(&mut self, from: &str, said: Option<Said>, asked: Duration) {
        match said {
            Some(said) => {
                let until = asked + Duration::from_millis(said.good_for_ms).min(HELD_MOST);
                self.held.insert(from.to_owned(), (said, until));
            }
            None => drop(self.held.remove(from)),
        }
    }

    /// Those who are no announcers any more are forgotten.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        self.held.retain(|name, _| known(name));
    }

    /// What an announcer said that still holds.
    pub fn said(&self, from: &str, now: Duration) -> Option<&Said> {
        self.held.get(from).filter(|(_, until)| *until > now).map(|(said, _)| said)
    }

    /// Whom it would send clients to now: the best preference, of these the nearest.
    pub fn wanted(&self, now: Duration, distance: impl Fn(&str) -> u8) -> BTreeSet<String> {
        let good = || self.held.iter().filter(|(_, (_, until))| *until > now);
        let rank = |name: &str, said: &Said| (u32::MAX - said.preference, distance(name));
        let best = good().map(|(name, (said, _))| rank(name, said)).min();
        good()
            .filter(|(name, (said, _))| Some(rank(name, said)) == best)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Time passes. `wait` says how long a change takes to converge; one that is under way is not begun anew.
    pub fn turn(&mut self, now: Duration, distance: impl Fn(&str) -> u8, wait: impl FnOnce() -> Duration) {
        let wanted = self.wanted(now, distance);
        if wanted == self.acted {
            self.coming = None;
            return;
        }
        let at = self.coming.as_ref().map_or_else(|| now + wait(), |(at, _)| *at);
        if at <= now {
            (self.acted, self.coming) = (wanted, None);
        } else {
            self.coming = Some((at, wanted));
        }
    }

    /// Whom clients are sent to: never by what has run out.
    pub fn acts(&self, now: Duration) -> Vec<&str> {
        self.acted.iter().map(String::as_str).filter(|name| self.said(name, now).is_some()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn said(preference: u32, good_for_ms: u64) -> Option<Said> {
        let (name, address, site) = ("book".into(), "203.0.113.10:443".into(), "north".into());
        Some(Said { name, address, site, preference, epoch: 1, good_for_ms })
    }

    fn near(name: &str) -> u8 {
        u8::from(name != "b1")
    }

    #[test]
    fn preference_goes_before_nearness() {
        let mut table = Table::default();
        table.heard("b1", said(10, 1000), ms(0));
        table.heard("b2", said(10, 1000), ms(0));
        assert_eq!(table.wanted(ms(1), near), ["b1".to_owned()].into());
        table.heard("b2", said(20, 1000), ms(0));
        assert_eq!(table.wanted(ms(1), near), ["b2".to_owned()].into());
        table.heard("b2", None, ms(0));
        assert_eq!(table.wanted(ms(1), near), ["b1".to_owned()].into());
    }

    #[test]
    fn what_it_heard_counts_from_before_it_asked_and_runs_out() {
        let mut table = Table::default();
        // Asked at 100, and the answer was held back until 900.
        table.heard("b1", said(1, 500), ms(100));
        assert!(table.wanted(ms(900), near).is_empty(), "it had run out on its way");
        table.heard("b1", said(1, 500), ms(1000));
        table.turn(ms(1001), near, || ms(0));
        assert_eq!(table.acts(ms(1499)), ["b1"]);
        assert!(table.acts(ms(1500)).is_empty(), "nothing is held longer than it is good for");
    }

    #[test]
    fn a_change_takes_its_time_but_never_past_the_end_of_what_was_heard() {
        let mut table = Table::default();
        table.heard("b1", said(1, 1000), ms(0));
        table.turn(ms(0), near, || ms(300));
        assert!(table.acts(ms(1)).is_empty());
        table.turn(ms(200), near, || ms(300));
        assert!(table.acts(ms(200)).is_empty(), "not begun anew, and not yet");
        table.turn(ms(300), near, || ms(300));
        assert_eq!(table.acts(ms(300)), ["b1"]);
        // Another one is better: until it has converged, clients still come to the first.
        table.heard("b2", said(5, 5000), ms(400));
        table.turn(ms(400), near, || ms(900));
        assert_eq!(table.acts(ms(500)), ["b1"]);
        table.turn(ms(1100), near, || ms(900));
        assert!(table.acts(ms(1100)).is_empty(), "the first has run out, the second has not converged");
        table.turn(ms(1300), near, || ms(900));
        assert_eq!(table.acts(ms(1300)), ["b2"]);
    }
}
