//! Connection probes that test whether a zone is reachable.
//!
//! A zone that serves only its local clients has no other observers. Without probes, an unreachable zone
//! could not be told from a balancer with a faulty network. A probe is a connection that is closed at once,
//! so it costs an upstream no request.

use maplehook_failover::ZoneObservation;
use maplehook_locality::Zone;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum number of zones in one probe round.
const ZONES_AT_ONCE: usize = 8;
pub(crate) const ROUND: Duration = Duration::from_millis(500);
/// Number of recent probes per zone that count as evidence.
const COUNTED: usize = 3;
const FRESH: Duration = Duration::from_secs(8);
/// Maximum number of probed upstreams per zone; more targets add no evidence about reachability.
pub const MAX_PROBE_TARGETS: usize = 64;
/// Timeout of a probe's connection attempt.
const WAIT_MOST: Duration = Duration::from_secs(1);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Probed {
    zone: Zone,
    /// Connection time; `None` if the connection failed.
    took: Option<Duration>,
}

/// Probe targets and recent results, by zone.
pub(crate) struct Prober {
    targets: BTreeMap<Zone, Vec<SocketAddr>>,
    turn: usize,
    /// Index of the next target within each zone.
    next: usize,
    last: BTreeMap<Zone, VecDeque<(Instant, Probed)>>,
    tell: mpsc::Sender<Probed>,
    pub(crate) told: mpsc::Receiver<Probed>,
}

impl Prober {
    pub(crate) fn new() -> Self {
        // Four rounds of results fit: more probes cannot run within one connect timeout.
        let (tell, told) = mpsc::channel(4 * ZONES_AT_ONCE);
        Self { targets: BTreeMap::new(), turn: 0, next: 0, last: BTreeMap::new(), tell, told }
    }

    /// Clears all results, because zone numbers may have changed.
    pub(crate) fn forget(&mut self) {
        self.targets.clear();
        self.last.clear();
    }

    /// Sets the probe targets from the current endpoint list. The local zone is excluded, because requests
    /// already provide its evidence. Results of a zone stay as long as the list contains an endpoint of it.
    pub(crate) fn aim(&mut self, own: Zone, listed: &[(Zone, SocketAddr)]) {
        self.targets.clear();
        for (zone, address) in listed.iter().filter(|(zone, _)| *zone != own) {
            let of_it = self.targets.entry(*zone).or_default();
            if of_it.len() < MAX_PROBE_TARGETS {
                of_it.push(*address);
            }
        }
        self.last.retain(|zone, _| self.targets.contains_key(zone));
    }

    /// Starts the next probe round.
    pub(crate) fn round(&mut self) {
        let zones: Vec<Zone> = self.targets.keys().copied().collect();
        let many = zones.len().min(ZONES_AT_ONCE);
        for n in 0..many {
            let zone = zones[(self.turn + n) % zones.len()];
            let of_it = &self.targets[&zone];
            let address = of_it[self.next % of_it.len()];
            let tell = self.tell.clone();
            tokio::spawn(async move {
                let begun = Instant::now();
                let made = timeout(WAIT_MOST, TcpStream::connect(address)).await;
                let took = matches!(made, Ok(Ok(_))).then(|| begun.elapsed());
                // A full queue drops this result.
                let _ = tell.try_send(Probed { zone, took });
            });
        }
        self.turn = (self.turn + many) % zones.len().max(1);
        self.next = self.next.wrapping_add(1);
    }

    /// Records a probe result.
    pub(crate) fn heard(&mut self, probed: Probed) {
        let of_it = self.last.entry(probed.zone).or_default();
        of_it.push_back((Instant::now(), probed));
        while of_it.len() > COUNTED {
            of_it.pop_front();
        }
    }

    /// Merges the probe results into the observations from requests.
    pub(crate) fn add(&self, sights: &mut [ZoneObservation]) {
        for sight in sights {
            let Some(of_it) = self.last.get(&sight.zone) else { continue };
            let fresh = of_it.iter().filter(|(at, _)| at.elapsed() < FRESH);
            let (mut probed, mut failed, mut time) = (0.0f32, 0.0f32, Duration::ZERO);
            for (_, one) in fresh {
                probed += 1.0;
                match one.took {
                    Some(took) => time += took,
                    None => failed += 1.0,
                }
            }
            (sight.probes, sight.failed_probes) = (probed, failed);
            if sight.connect_ms == 0.0 && probed > failed {
                sight.connect_ms = time.as_secs_f32() * 1e3 / (probed - failed);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(zone: u16, n: u16) -> (Zone, SocketAddr) {
        (Zone(zone), SocketAddr::from(([192, 0, 2, zone as u8], 1000 + n)))
    }

    /// Results of a zone must survive a list change but not the removal of the zone, and a long list must not
    /// exceed the target limit.
    #[test]
    fn it_aims_at_the_list_in_force() {
        let mut prober = Prober::new();
        let listed: Vec<_> = (0..3).flat_map(|zone| (0..100).map(move |n| at(zone, n))).collect();
        prober.aim(Zone(0), &listed);
        assert_eq!(prober.targets.keys().copied().collect::<Vec<_>>(), [Zone(1), Zone(2)], "not the own one");
        assert!(prober.targets.values().all(|of_it| of_it.len() == MAX_PROBE_TARGETS));
        for zone in [1, 2] {
            prober.heard(Probed { zone: Zone(zone), took: None });
        }
        prober.aim(Zone(0), &[at(0, 1), at(1, 7)]);
        assert_eq!(prober.targets[&Zone(1)], [at(1, 7).1]);
        let unprobed = |prober: &Prober, zone: u16| {
            let mut sights = [ZoneObservation { zone: Zone(zone), ..ZoneObservation::default() }];
            prober.add(&mut sights);
            sights[0].failed_probes
        };
        assert_eq!((unprobed(&prober, 1), unprobed(&prober, 2)), (1.0, 0.0));
        prober.forget();
        assert!(prober.targets.is_empty() && unprobed(&prober, 1) == 0.0);
    }
}
