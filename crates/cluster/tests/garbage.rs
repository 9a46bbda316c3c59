//! Bytes from anybody with the secret, and from a faulty program: no panic, nothing unbounded.

use maplehook_cluster::endpoint_gossip::Announcement;
use maplehook_cluster::{Cluster, ClusterSettings, MAC_BYTES, MAX_DATAGRAM_BYTES, Name, Output};
use proptest::prelude::*;
use std::time::Duration;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn cluster(own: &str, seed: u64) -> Cluster {
    let peers = ["a", "b", "c"].into_iter().filter(|other| *other != own).map(name).collect();
    Cluster::new(ClusterSettings::new(name(own), 1 + seed % 7, peers, seed), Duration::ZERO)
}

/// What three members send to `a` in their first seconds.
fn corpus() -> Vec<Vec<u8>> {
    let mut clusters = [cluster("a", 1), cluster("b", 2), cluster("c", 3)];
    let mut corpus = Vec::new();
    for ms in 0..3000u64 {
        let now = Duration::from_millis(ms);
        let mut sent = Vec::new();
        for cluster in &mut clusters {
            cluster.poll(now);
            if ms == 1000 {
                let claim = maplehook_cluster::endpoint_gossip::EndpointClaim {
                    upstream: 4,
                    boot_ms: 7,
                    is_draining: true,
                };
                cluster.set_local_claims(now, 5, vec![claim]);
            }
            sent.extend(cluster.take_outputs());
        }
        for output in sent {
            let Output::Send(to, datagram) = output else { continue };
            let n = ["a", "b", "c"].iter().position(|n| *n == to.as_str()).unwrap();
            clusters[n].handle_datagram(now, &datagram).unwrap();
            if n == 0 {
                corpus.push(datagram);
            }
        }
        if ms == 2900 {
            clusters[2].leave(now);
        }
    }
    corpus
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Datagrams that were sent, each mutated or truncated, in any order; and then time.
    #[test]
    fn mutated_datagrams_are_handled_safely(
        changes in prop::collection::vec((any::<u16>(), any::<u16>(), any::<u8>(), any::<u16>(), any::<u16>()), 1..60),
        noise in prop::collection::vec(any::<u8>(), 0..260),
    ) {
        thread_local!(static CORPUS: Vec<Vec<u8>> = corpus());
        let corpus = CORPUS.with(Clone::clone);
        prop_assert!(corpus.iter().all(|datagram| datagram.len() + MAC_BYTES <= MAX_DATAGRAM_BYTES));
        let mut ours = cluster("a", 9);
        let _ = ours.handle_datagram(Duration::ZERO, &noise);
        let _ = Announcement::decode(&noise);
        for (n, (which, at, with, cut, at2)) in changes.into_iter().enumerate() {
            let now = Duration::from_millis(n as u64 * 37);
            let mut datagram = corpus[usize::from(which) % corpus.len()].clone();
            let length = datagram.len();
            datagram[usize::from(at) % length] = with;
            datagram[usize::from(at2) % length] ^= with.rotate_left(3);
            if cut % 4 == 0 {
                datagram.truncate(usize::from(cut) % length);
            }
            // It may be rejected; it must not panic.
            let _ = ours.handle_datagram(now, &datagram);
            ours.poll(now);
            let sent = ours.take_outputs();
            prop_assert!(sent.len() < 100);
            for output in sent {
                if let Output::Send(_, datagram) = output {
                    prop_assert!(datagram.len() + MAC_BYTES <= MAX_DATAGRAM_BYTES);
                }
            }
        }
        for s in 3..40 {
            ours.poll(Duration::from_secs(s));
            ours.take_outputs();
        }
        prop_assert!(ours.member_statuses(Duration::from_secs(40)).len() <= 2 + 64);
    }
}
