//! Round-trip times to other members, estimated from the probes that are sent anyway.
//!
//! A sample is the time from a probe to its acknowledgement. A probe that was sent twice gives none, since it is unknown
//! which one is acknowledged (Karn's algorithm, RFC 6298, section 3). The estimate for a member is the least of its last
//! samples, as in the clock filter of RFC 5905, section 10: busy machines and queues only ever add to a sample, so that a
//! mean (the SRTT of RFC 6298) measures how busy they were, and the minimum how long the path is.

use crate::name::Name;
use crate::wire::{ACK, Envelope, PING};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How many samples of one member are kept: four delayed probes in a row are a slower path.
pub const MAX_SAMPLES_PER_PEER: usize = 4;
/// How long a sample is valid.
pub const SAMPLE_TTL: Duration = Duration::from_secs(60);
/// How many probes may be unanswered.
const MAX_PENDING_PROBES: usize = 16;
/// How long an acknowledgement is waited for.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// A probe that was not acknowledged yet.
#[derive(Clone, Debug)]
struct PendingProbe {
    to: Name,
    number: u8,
    sent_at: Duration,
    is_retransmitted: bool,
}

/// One measured round trip.
#[derive(Clone, Copy, Debug)]
struct Sample {
    received_at: Duration,
    rtt: Duration,
}

/// Estimates round-trip times by member from the datagrams that pass.
#[derive(Clone, Debug, Default)]
pub struct RttEstimator {
    pending: VecDeque<PendingProbe>,
    samples: BTreeMap<Name, VecDeque<Sample>>,
}

impl RttEstimator {
    /// Takes note of a datagram that is sent.
    pub fn on_sent(&mut self, now: Duration, to: &Name, payload: &[u8]) {
        let Ok((_, [PING, number, ..])) = Envelope::decode(payload) else { return };
        self.pending.retain(|probe| now.saturating_sub(probe.sent_at) < PROBE_TIMEOUT);
        let first = self.pending.iter_mut().find(|probe| probe.to == *to && probe.number == *number);
        if let Some(first) = first {
            first.is_retransmitted = true;
            return;
        }
        if self.pending.len() >= MAX_PENDING_PROBES {
            self.pending.pop_front();
        }
        let probe = PendingProbe { to: to.clone(), number: *number, sent_at: now, is_retransmitted: false };
        self.pending.push_back(probe);
    }

    /// Takes note of a datagram that was received and accepted.
    pub fn on_received(&mut self, now: Duration, payload: &[u8]) {
        let Ok((envelope, [ACK, number, ..])) = Envelope::decode(payload) else { return };
        let from = envelope.from.name;
        let index = self.pending.iter().position(|probe| probe.to == from && probe.number == *number);
        let Some(probe) = index.and_then(|index| self.pending.remove(index)) else { return };
        let rtt = now.saturating_sub(probe.sent_at);
        if probe.is_retransmitted || rtt >= PROBE_TIMEOUT {
            return;
        }
        let samples = self.samples.entry(from).or_default();
        samples.push_back(Sample { received_at: now, rtt });
        while samples.len() > MAX_SAMPLES_PER_PEER {
            samples.pop_front();
        }
    }

    /// Returns the estimates for the members that were measured last, at most `max` of them, the latest first.
    pub fn latest(&mut self, now: Duration, max: usize) -> Vec<(Name, Duration)> {
        self.samples.retain(|_, samples| {
            samples.retain(|sample| now.saturating_sub(sample.received_at) < SAMPLE_TTL);
            !samples.is_empty()
        });
        let estimate = |(name, samples): (&Name, &VecDeque<Sample>)| {
            let min_rtt = samples.iter().map(|sample| sample.rtt).min()?;
            Some((samples.back()?.received_at, name.clone(), min_rtt))
        };
        let mut estimates: Vec<(Duration, Name, Duration)> =
            self.samples.iter().filter_map(estimate).collect();
        estimates.sort_by(|a, b| (b.0, &a.1).cmp(&(a.0, &b.1)));
        estimates.into_iter().take(max).map(|(_, name, rtt)| (name, rtt)).collect()
    }
}

#[cfg(test)]
mod tests;
