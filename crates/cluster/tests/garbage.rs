//! Bytes from anybody with the secret, and from a program that has gone wrong: no panic, nothing unbounded.

use maplehook_cluster::words::Word;
use maplehook_cluster::{DATAGRAM_MOST, MAC, Name, Output, Settings, Tier};
use proptest::prelude::*;
use std::time::Duration;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn tier(own: &str, seed: u64) -> Tier {
    let peers = ["a", "b", "c"].into_iter().filter(|other| *other != own).map(name).collect();
    Tier::new(Settings::new(name(own), 1 + seed % 7, peers, seed), Duration::ZERO)
}

/// What three tiers say to `a` in their first seconds.
fn corpus() -> Vec<Vec<u8>> {
    let mut tiers = [tier("a", 1), tier("b", 2), tier("c", 3)];
    let mut corpus = Vec::new();
    for ms in 0..3000u64 {
        let now = Duration::from_millis(ms);
        let mut sent = Vec::new();
        for tier in &mut tiers {
            tier.poll(now);
            if ms == 1000 {
                let claim = maplehook_cluster::words::Claim { upstream: 4, boot_ms: 7, drained: true };
                tier.claim(now, 5, vec![claim]);
            }
            sent.extend(tier.take());
        }
        for output in sent {
            let Output::Send(to, datagram) = output else { continue };
            let n = ["a", "b", "c"].iter().position(|n| *n == to.as_str()).unwrap();
            tiers[n].handle(now, &datagram).unwrap();
            if n == 0 {
                corpus.push(datagram);
            }
        }
        if ms == 2900 {
            tiers[2].leave(now);
        }
    }
    corpus
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Datagrams that were said, each changed here and there, cut, or put together, in any order; and then time.
    #[test]
    fn changed_datagrams_do_no_harm(
        changes in prop::collection::vec((any::<u16>(), any::<u16>(), any::<u8>(), any::<u16>(), any::<u16>()), 1..60),
        noise in prop::collection::vec(any::<u8>(), 0..260),
    ) {
        thread_local!(static CORPUS: Vec<Vec<u8>> = corpus());
        let corpus = CORPUS.with(Clone::clone);
        prop_assert!(corpus.iter().all(|datagram| datagram.len() + MAC <= DATAGRAM_MOST));
        let mut ours = tier("a", 9);
        let _ = ours.handle(Duration::ZERO, &noise);
        let _ = Word::read(&noise);
        for (n, (which, at, with, cut, at2)) in changes.into_iter().enumerate() {
            let now = Duration::from_millis(n as u64 * 37);
            let mut datagram = corpus[usize::from(which) % corpus.len()].clone();
            let length = datagram.len();
            datagram[usize::from(at) % length] = with;
            datagram[usize::from(at2) % length] ^= with.rotate_left(3);
            if cut % 4 == 0 {
                datagram.truncate(usize::from(cut) % length);
            }
            // What is refused is refused; it must only not panic.
            let _ = ours.handle(now, &datagram);
            ours.poll(now);
            let sent = ours.take();
            prop_assert!(sent.len() < 100);
            for output in sent {
                if let Output::Send(_, datagram) = output {
                    prop_assert!(datagram.len() + MAC <= DATAGRAM_MOST);
                }
            }
        }
        for s in 3..40 {
            ours.poll(Duration::from_secs(s));
            ours.take();
        }
        prop_assert!(ours.seen(Duration::from_secs(40)).len() <= 2 + 64);
    }
}
