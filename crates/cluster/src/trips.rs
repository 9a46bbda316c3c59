//! How long the way to another balancer takes, there and back, by the probes that go out anyway.
//!
//! A sample is the time from a probe to its answer. Of a probe that was sent twice nobody knows which one is answered: it gives
//! none (Karn's algorithm, RFC 6298, section 3). What stands for a balancer is the least of its last samples, as in the clock
//! filter of RFC 5905, section 10: busy machines and queues only ever add to a sample, so that a mean (the SRTT of RFC 6298) says
//! how busy they were, and the least how long the way is.

use crate::name::Name;
use crate::wire::Envelope;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Samples of one balancer that are kept: four probes in a row that were held up are a slower way.
pub const KEPT: usize = 4;
/// How old they may be.
pub const FRESH: Duration = Duration::from_secs(60);
/// Probes that may be under way, and for how long their answers are waited for.
const OUT_MOST: usize = 16;
const OUT_FOR: Duration = Duration::from_secs(10);
/// Kinds of a body, which its first byte names; the second is the probe's number.
const PING: u8 = 0;
const ACK: u8 = 1;

#[derive(Clone, Debug)]
struct Probe {
    to: Name,
    number: u8,
    at: Duration,
    twice: bool,
}

/// Round trips by balancer, from the datagrams that pass.
#[derive(Clone, Debug, Default)]
pub struct Trips {
    out: VecDeque<Probe>,
    samples: BTreeMap<Name, VecDeque<(Duration, Duration)>>,
}

impl Trips {
    /// A datagram goes out.
    pub fn sent(&mut self, now: Duration, to: &Name, payload: &[u8]) {
        let Ok((_, [PING, number, ..])) = Envelope::open(payload) else { return };
        self.out.retain(|probe| now.saturating_sub(probe.at) < OUT_FOR);
        if let Some(before) = self.out.iter_mut().find(|probe| probe.to == *to && probe.number == *number) {
            before.twice = true;
            return;
        }
        if self.out.len() >= OUT_MOST {
            self.out.pop_front();
        }
        self.out.push_back(Probe { to: to.clone(), number: *number, at: now, twice: false });
    }

    /// A datagram has come in that the tier has taken.
    pub fn heard(&mut self, now: Duration, payload: &[u8]) {
        let Ok((envelope, [ACK, number, ..])) = Envelope::open(payload) else { return };
        let from = envelope.from.name;
        let found = self.out.iter().position(|probe| probe.to == from && probe.number == *number);
        let Some(probe) = found.and_then(|n| self.out.remove(n)) else { return };
        if probe.twice || now.saturating_sub(probe.at) >= OUT_FOR {
            return;
        }
        let of_it = self.samples.entry(from).or_default();
        of_it.push_back((now, now.saturating_sub(probe.at)));
        while of_it.len() > KEPT {
            of_it.pop_front();
        }
    }

    /// What stands for those that answered last, the latest first, so many at the most.
    pub fn newest(&mut self, now: Duration, most: usize) -> Vec<(Name, Duration)> {
        self.samples.retain(|_, of_it| {
            of_it.retain(|(at, _)| now.saturating_sub(*at) < FRESH);
            !of_it.is_empty()
        });
        let stands = |(name, of_it): (&Name, &VecDeque<(Duration, Duration)>)| {
            let least = of_it.iter().map(|(_, took)| *took).min()?;
            Some((of_it.back()?.0, name.clone(), least))
        };
        let mut all: Vec<(Duration, Name, Duration)> = self.samples.iter().filter_map(stands).collect();
        all.sort_by(|a, b| (b.0, &a.1).cmp(&(a.0, &b.1)));
        all.into_iter().take(most).map(|(_, name, least)| (name, least)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::identity::{Identity, Program, WIRE};
    use crate::interface::{Output, Settings};
    use crate::tier::Tier;
    use proptest::prelude::*;

    fn name(text: &str) -> Name {
        Name::new(text).unwrap()
    }

    fn datagram(from: &str, to: &str, kind: u8, number: u8) -> Vec<u8> {
        let identity = Identity { name: name(from), start: 1, program: Program::default(), wire: WIRE };
        Envelope { from: identity, to: name(to), number: 1 }.around(&[kind, number, 0, 0])
    }

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// A probe of this number, and its answer after so long.
    fn trip(trips: &mut Trips, at: u64, number: u8, took: u64) {
        trips.sent(ms(at), &name("b2"), &datagram("b1", "b2", PING, number));
        trips.heard(ms(at + took), &datagram("b2", "b1", ACK, number));
    }

    #[test]
    fn one_held_up_is_no_slower_way_and_four_are() {
        let mut trips = Trips::default();
        trip(&mut trips, 0, 1, 3);
        trip(&mut trips, 500, 2, 40);
        assert_eq!(trips.newest(ms(600), 8), [(name("b2"), ms(3))]);
        for n in 0..4 {
            trip(&mut trips, 1000 + 500 * n, 3 + n as u8, 41 + n);
        }
        assert_eq!(trips.newest(ms(3000), 8), [(name("b2"), ms(41))]);
        assert!(trips.newest(ms(3000) + FRESH, 8).is_empty(), "nobody knows any more");
    }

    #[test]
    fn what_can_be_two_trips_is_none() {
        let mut trips = Trips::default();
        let ping = datagram("b1", "b2", PING, 7);
        trips.sent(ms(0), &name("b2"), &ping);
        trips.sent(ms(40), &name("b2"), &ping);
        trips.heard(ms(45), &datagram("b2", "b1", ACK, 7));
        assert!(trips.newest(ms(50), 8).is_empty());
        // Answers to nothing, of another number, of somebody else, and a second one to the same.
        trips.sent(ms(100), &name("b2"), &datagram("b1", "b2", PING, 8));
        trips.heard(ms(101), &datagram("b2", "b1", ACK, 9));
        trips.heard(ms(101), &datagram("b3", "b1", ACK, 8));
        trips.heard(ms(105), &datagram("b2", "b1", ACK, 8));
        trips.heard(ms(101), &datagram("b2", "b1", ACK, 8));
        assert_eq!(trips.newest(ms(110), 8), [(name("b2"), ms(5))]);
    }

    /// The tier's own datagrams, on ways that take 3 ms there and 9 ms back.
    #[test]
    fn the_tiers_own_probes_tell_it() {
        let mut tiers: Vec<Tier> = (1..=3)
            .map(|n| {
                let peers = (1..=3).filter(|p| *p != n).map(|p| name(&format!("b{p}"))).collect();
                Tier::new(Settings::new(name(&format!("b{n}")), 1, peers, n), Duration::ZERO)
            })
            .collect();
        let mut trips = vec![Trips::default(); 3];
        let mut ways: Vec<(u64, usize, Vec<u8>)> = Vec::new();
        for at in 0..20_000u64 {
            for n in 0..3 {
                tiers[n].poll(ms(at));
                let (due, later) =
                    std::mem::take(&mut ways).into_iter().partition(|(t, to, _)| *t <= at && *to == n);
                ways = later;
                for (_, _, payload) in due {
                    if tiers[n].handle(ms(at), &payload).is_ok() {
                        trips[n].heard(ms(at), &payload);
                    }
                }
                for output in tiers[n].take() {
                    let Output::Send(to, payload) = output else { continue };
                    trips[n].sent(ms(at), &to, &payload);
                    let to = (1..=3).position(|p| to == name(&format!("b{p}"))).unwrap();
                    ways.push((at + if n < to { 3 } else { 9 }, to, payload));
                }
            }
        }
        for trips in &mut trips {
            let newest = trips.newest(ms(20_000), 8);
            assert_eq!(newest.len(), 2);
            assert!(newest.iter().all(|(_, took)| (ms(12)..=ms(14)).contains(took)), "{newest:?}");
        }
    }

    proptest! {
        /// Whatever comes, no more is kept than is said, and no sample is longer than its time.
        #[test]
        fn it_stays_bounded(passes in prop::collection::vec((0u8..4, 0u8..4, any::<u8>(), 0u64..700), 0..300)) {
            let (mut trips, mut at) = (Trips::default(), 0);
            for (kind, peer, number, later) in passes {
                at += later;
                let peer = format!("b{peer}");
                match kind {
                    0 | 2 => trips.sent(ms(at), &name(&peer), &datagram("me", &peer, kind, number % 8)),
                    _ => trips.heard(ms(at), &datagram(&peer, "me", kind, number % 8)),
                }
                prop_assert!(trips.out.len() <= OUT_MOST);
                prop_assert!(trips.samples.values().all(|of_it| of_it.len() <= KEPT));
                prop_assert!(trips.newest(ms(at), 2).iter().all(|(_, took)| *took < OUT_FOR && *took <= ms(at)));
            }
        }

        #[test]
        fn any_bytes_are_looked_at_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..260)) {
            let mut trips = Trips::default();
            trips.sent(ms(1), &name("b2"), &bytes);
            trips.heard(ms(2), &bytes);
        }
    }
}
