use super::*;
use crate::cluster::Cluster;
use crate::events::Output;
use crate::identity::{Identity, ProgramVersion, WIRE_VERSIONS};
use crate::settings::ClusterSettings;
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn datagram(from: &str, to: &str, kind: u8, number: u8) -> Vec<u8> {
    let identity =
        Identity { name: name(from), generation: 1, program: ProgramVersion::default(), wire: WIRE_VERSIONS };
    Envelope { from: identity, to: name(to), sequence: 1 }.encode_with(&[kind, number, 0, 0])
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A probe of this number, and its acknowledgement after so long.
fn round_trip(estimator: &mut RttEstimator, at: u64, number: u8, rtt: u64) {
    estimator.on_sent(ms(at), &name("b2"), &datagram("b1", "b2", PING, number));
    estimator.on_received(ms(at + rtt), &datagram("b2", "b1", ACK, number));
}

#[test]
fn one_delayed_probe_does_not_raise_the_estimate_and_four_do() {
    let mut estimator = RttEstimator::default();
    round_trip(&mut estimator, 0, 1, 3);
    round_trip(&mut estimator, 500, 2, 40);
    assert_eq!(estimator.latest(ms(600), 8), [(name("b2"), ms(3))]);
    for n in 0..4 {
        round_trip(&mut estimator, 1000 + 500 * n, 3 + n as u8, 41 + n);
    }
    assert_eq!(estimator.latest(ms(3000), 8), [(name("b2"), ms(41))]);
    assert!(estimator.latest(ms(3000) + SAMPLE_TTL, 8).is_empty(), "all samples have expired");
}

#[test]
fn retransmitted_probe_gives_no_sample() {
    let mut estimator = RttEstimator::default();
    let ping = datagram("b1", "b2", PING, 7);
    estimator.on_sent(ms(0), &name("b2"), &ping);
    estimator.on_sent(ms(40), &name("b2"), &ping);
    estimator.on_received(ms(45), &datagram("b2", "b1", ACK, 7));
    assert!(estimator.latest(ms(50), 8).is_empty());
    // Acknowledgements of no probe, of another number, of another member, and a second one of the same.
    estimator.on_sent(ms(100), &name("b2"), &datagram("b1", "b2", PING, 8));
    estimator.on_received(ms(101), &datagram("b2", "b1", ACK, 9));
    estimator.on_received(ms(101), &datagram("b3", "b1", ACK, 8));
    estimator.on_received(ms(105), &datagram("b2", "b1", ACK, 8));
    estimator.on_received(ms(101), &datagram("b2", "b1", ACK, 8));
    assert_eq!(estimator.latest(ms(110), 8), [(name("b2"), ms(5))]);
}

/// The cluster's own datagrams, on paths that take 3 ms there and 9 ms back.
#[test]
fn cluster_probes_give_samples() {
    let mut clusters: Vec<Cluster> = (1..=3)
        .map(|n| {
            let peers = (1..=3).filter(|p| *p != n).map(|p| name(&format!("b{p}"))).collect();
            Cluster::new(ClusterSettings::new(name(&format!("b{n}")), 1, peers, n), Duration::ZERO)
        })
        .collect();
    let mut estimator = vec![RttEstimator::default(); 3];
    let mut in_flight: Vec<(u64, usize, Vec<u8>)> = Vec::new();
    for at in 0..20_000u64 {
        for n in 0..3 {
            clusters[n].poll(ms(at));
            let (due, later) =
                std::mem::take(&mut in_flight).into_iter().partition(|(t, to, _)| *t <= at && *to == n);
            in_flight = later;
            for (_, _, payload) in due {
                if clusters[n].handle_datagram(ms(at), &payload).is_ok() {
                    estimator[n].on_received(ms(at), &payload);
                }
            }
            for output in clusters[n].take_outputs() {
                let Output::Send(to, payload) = output else { continue };
                estimator[n].on_sent(ms(at), &to, &payload);
                let to = (1..=3).position(|p| to == name(&format!("b{p}"))).unwrap();
                in_flight.push((at + if n < to { 3 } else { 9 }, to, payload));
            }
        }
    }
    for estimator in &mut estimator {
        let newest = estimator.latest(ms(20_000), 8);
        assert_eq!(newest.len(), 2);
        assert!(newest.iter().all(|(_, rtt)| (ms(12)..=ms(14)).contains(rtt)), "{newest:?}");
    }
}

proptest! {
    /// Whatever arrives, the bounds hold, and no sample is longer than its timeout.
    #[test]
    fn estimator_stays_bounded(passes in prop::collection::vec((0u8..4, 0u8..4, any::<u8>(), 0u64..700), 0..300)) {
        let (mut estimator, mut at) = (RttEstimator::default(), 0);
        for (kind, peer, number, later) in passes {
            at += later;
            let peer = format!("b{peer}");
            match kind {
                0 | 2 => estimator.on_sent(ms(at), &name(&peer), &datagram("me", &peer, kind, number % 8)),
                _ => estimator.on_received(ms(at), &datagram(&peer, "me", kind, number % 8)),
            }
            prop_assert!(estimator.pending.len() <= MAX_PENDING_PROBES);
            prop_assert!(estimator.samples.values().all(|samples| samples.len() <= MAX_SAMPLES_PER_PEER));
            prop_assert!(estimator.latest(ms(at), 2).iter().all(|(_, rtt)| *rtt < PROBE_TIMEOUT && *rtt <= ms(at)));
        }
    }

    #[test]
    fn any_bytes_are_handled_safely(bytes in prop::collection::vec(any::<u8>(), 0..260)) {
        let mut estimator = RttEstimator::default();
        estimator.on_sent(ms(1), &name("b2"), &bytes);
        estimator.on_received(ms(2), &bytes);
    }
}
