//! Connections made for no other end than to see whether a zone is there.
//!
//! A zone that serves its own alone has no other observers; without them nobody could tell a lost zone from a balancer with a
//! bad network. A probe is a connection that is closed at once: it costs an upstream no request.

use maplehook_failover::ZoneObservation;
use maplehook_locality::Zone;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Zones that are probed in one round, and how often there is one.
const ZONES_AT_ONCE: usize = 8;
pub(crate) const ROUND: Duration = Duration::from_millis(500);
/// The last probes of a zone that are counted, and how old they may be.
const COUNTED: usize = 3;
const FRESH: Duration = Duration::from_secs(8);
/// Upstreams of one zone that are probed in turn: more of them say no more of whether it is there.
pub const MAX_PROBE_TARGETS: usize = 64;
/// The longest wait for a connection.
const WAIT_MOST: Duration = Duration::from_secs(1);

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Probed {
    zone: Zone,
    /// How long the connection took; `None`: there was none.
    took: Option<Duration>,
}

/// What is known by probes.
pub(crate) struct Prober {
    targets: BTreeMap<Zone, Vec<SocketAddr>>,
    turn: usize,
    /// The next upstream of each zone.
    next: usize,
    last: BTreeMap<Zone, VecDeque<(Instant, Probed)>>,
    tell: mpsc::Sender<Probed>,
    pub(crate) told: mpsc::Receiver<Probed>,
}

impl Prober {
    pub(crate) fn new() -> Self {
        // No more can be under way than are begun while the longest of them lasts.
        let (tell, told) = mpsc::channel(4 * ZONES_AT_ONCE);
        Self { targets: BTreeMap::new(), turn: 0, next: 0, last: BTreeMap::new(), tell, told }
    }

    /// Zones are counted anew: nothing is known of them.
    pub(crate) fn forget(&mut self) {
        self.targets.clear();
        self.last.clear();
    }

    /// Whom to probe from now on, by the list in force: all zones but the own one, which its requests tell of. What is known of a
    /// zone stays as long as any of it is listed.
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

    /// Begins the next round.
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
                // What does not fit is one look less.
                let _ = tell.try_send(Probed { zone, took });
            });
        }
        self.turn = (self.turn + many) % zones.len().max(1);
        self.next = self.next.wrapping_add(1);
    }

    /// A probe has ended.
    pub(crate) fn heard(&mut self, probed: Probed) {
        let of_it = self.last.entry(probed.zone).or_default();
        of_it.push_back((Instant::now(), probed));
        while of_it.len() > COUNTED {
            of_it.pop_front();
        }
    }

    /// Adds what is known to what requests have shown.
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

    /// What is known of a zone outlives a change of its list, and not its end; however long a list is, no more of it is kept.
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
