//! Connections made for no other end than to see whether a zone is there.
//!
//! A zone that serves its own alone has no other observers; without them nobody could tell a lost zone from a balancer with a
//! bad network. A probe is a connection that is closed at once: it costs an upstream no request.

use crate::config::Config;
use maplehook_failover::Sight;
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

    /// Whom to probe: all zones but the own one, which its requests tell of.
    pub(crate) fn aim(&mut self, config: &Config) {
        self.targets.clear();
        for (zone, address) in config.upstreams.iter().filter(|(zone, _)| *zone != config.own) {
            self.targets.entry(*zone).or_default().push(*address);
        }
        self.last.clear();
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
    pub(crate) fn add(&self, sights: &mut [Sight]) {
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
            (sight.probed, sight.unprobed) = (probed, failed);
            if sight.connect_ms == 0.0 && probed > failed {
                sight.connect_ms = time.as_secs_f32() * 1e3 / (probed - failed);
            }
        }
    }
}
