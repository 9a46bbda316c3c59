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
const MAX_ZONES_PER_ROUND: usize = 8;
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of recent probes per zone that count as evidence.
const MAX_RESULTS_PER_ZONE: usize = 3;
const MAX_RESULT_AGE: Duration = Duration::from_secs(8);
/// Maximum number of probed upstreams per zone; more targets add no evidence about reachability.
pub const MAX_PROBE_TARGETS: usize = 64;
/// Timeout of a probe's connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of one connection attempt to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ProbeResult {
    zone: Zone,
    /// Connection time; `None` if the connection failed.
    connect_time: Option<Duration>,
}

/// Probe targets and recent results, by zone.
pub(crate) struct Prober {
    targets: BTreeMap<Zone, Vec<SocketAddr>>,
    next_zone: usize,
    /// Index of the next target within each zone.
    next_target: usize,
    recent_results: BTreeMap<Zone, VecDeque<(Instant, ProbeResult)>>,
    result_sender: mpsc::Sender<ProbeResult>,
    pub(crate) results: mpsc::Receiver<ProbeResult>,
}

impl Prober {
    pub(crate) fn new() -> Self {
        // Four rounds of results fit: more probes cannot run within one connect timeout.
        let (result_sender, results) = mpsc::channel(4 * MAX_ZONES_PER_ROUND);
        Self {
            targets: BTreeMap::new(),
            next_zone: 0,
            next_target: 0,
            recent_results: BTreeMap::new(),
            result_sender,
            results,
        }
    }

    /// Clears all results, because zone numbers may have changed.
    pub(crate) fn clear(&mut self) {
        self.targets.clear();
        self.recent_results.clear();
    }

    /// Sets the probe targets from the current endpoint list. The local zone is excluded, because requests
    /// already provide its evidence. Results of a zone stay as long as the list contains an endpoint of it.
    pub(crate) fn set_targets(&mut self, own: Zone, listed: &[(Zone, SocketAddr)]) {
        self.targets.clear();
        for (zone, address) in listed.iter().filter(|(zone, _)| *zone != own) {
            let zone_targets = self.targets.entry(*zone).or_default();
            if zone_targets.len() < MAX_PROBE_TARGETS {
                zone_targets.push(*address);
            }
        }
        self.recent_results.retain(|zone, _| self.targets.contains_key(zone));
    }

    /// Starts the next probe round.
    pub(crate) fn start_round(&mut self) {
        let zones: Vec<Zone> = self.targets.keys().copied().collect();
        let count = zones.len().min(MAX_ZONES_PER_ROUND);
        for n in 0..count {
            let zone = zones[(self.next_zone + n) % zones.len()];
            let zone_targets = &self.targets[&zone];
            let address = zone_targets[self.next_target % zone_targets.len()];
            let result_sender = self.result_sender.clone();
            tokio::spawn(async move {
                let started_at = Instant::now();
                let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                let connect_time = matches!(connected, Ok(Ok(_))).then(|| started_at.elapsed());
                // A full queue drops this result.
                let _ = result_sender.try_send(ProbeResult { zone, connect_time });
            });
        }
        self.next_zone = (self.next_zone + count) % zones.len().max(1);
        self.next_target = self.next_target.wrapping_add(1);
    }

    /// Records a probe result.
    pub(crate) fn record_result(&mut self, result: ProbeResult) {
        let zone_results = self.recent_results.entry(result.zone).or_default();
        zone_results.push_back((Instant::now(), result));
        while zone_results.len() > MAX_RESULTS_PER_ZONE {
            zone_results.pop_front();
        }
    }

    /// Merges the probe results into the observations from requests.
    pub(crate) fn merge_into(&self, observations: &mut [ZoneObservation]) {
        for observation in observations {
            let Some(zone_results) = self.recent_results.get(&observation.zone) else { continue };
            let fresh = zone_results.iter().filter(|(at, _)| at.elapsed() < MAX_RESULT_AGE);
            let (mut probes, mut failed, mut connect_time_sum) = (0.0f32, 0.0f32, Duration::ZERO);
            for (_, result) in fresh {
                probes += 1.0;
                match result.connect_time {
                    Some(connect_time) => connect_time_sum += connect_time,
                    None => failed += 1.0,
                }
            }
            (observation.probes, observation.failed_probes) = (probes, failed);
            if observation.connect_ms == 0.0 && probes > failed {
                observation.connect_ms = connect_time_sum.as_secs_f32() * 1e3 / (probes - failed);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn target(zone: u16, n: u16) -> (Zone, SocketAddr) {
        (Zone(zone), SocketAddr::from(([192, 0, 2, zone as u8], 1000 + n)))
    }

    /// Results of a zone must survive a list change but not the removal of the zone, and a long list must not
    /// exceed the target limit.
    #[test]
    fn probes_follow_the_current_endpoint_list() {
        let mut prober = Prober::new();
        let listed: Vec<_> = (0..3).flat_map(|zone| (0..100).map(move |n| target(zone, n))).collect();
        prober.set_targets(Zone(0), &listed);
        assert_eq!(
            prober.targets.keys().copied().collect::<Vec<_>>(),
            [Zone(1), Zone(2)],
            "the local zone is not probed"
        );
        assert!(prober.targets.values().all(|zone_targets| zone_targets.len() == MAX_PROBE_TARGETS));
        for zone in [1, 2] {
            prober.record_result(ProbeResult { zone: Zone(zone), connect_time: None });
        }
        prober.set_targets(Zone(0), &[target(0, 1), target(1, 7)]);
        assert_eq!(prober.targets[&Zone(1)], [target(1, 7).1]);
        let failed_probes = |prober: &Prober, zone: u16| {
            let mut observations = [ZoneObservation { zone: Zone(zone), ..ZoneObservation::default() }];
            prober.merge_into(&mut observations);
            observations[0].failed_probes
        };
        assert_eq!((failed_probes(&prober, 1), failed_probes(&prober, 2)), (1.0, 0.0));
        prober.clear();
        assert!(prober.targets.is_empty() && failed_probes(&prober, 1) == 0.0);
    }
}
