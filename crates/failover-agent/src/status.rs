//! Failover status as operators see it.

use crate::config::Config;
use crate::messages::AgreedState;
use maplehook_failover::FULL_SHARE;
use maplehook_failover::rtt::RttTable;
use maplehook_locality::Topology;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// State, capacity and load of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: String,
    /// Name of the region that contains the zone.
    pub region: String,
    /// One of `serving`, `ill`, `lost`, `cut`, `evacuated` and `returning`.
    pub state: String,
    /// Readable reason for the state.
    pub why: String,
    /// Usable capacity in requests per second.
    pub usable: f32,
    /// Ratio of the load to `usable`.
    pub load: f32,
    /// Duration of the current state in milliseconds.
    pub since_ms: u64,
    /// Number of zones whose observers support the state.
    pub observers: u16,
}

/// Share of a row that goes to one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// Name of the destination zone.
    pub zone: String,
    /// Fraction of the row's requests, 0 to 1.
    pub share: f64,
}

/// Row of the plan: the distribution of one rule's requests from one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowStatus {
    /// Name of the locality rule.
    pub rule: String,
    /// Zone in which the requests arrive.
    pub from: String,
    /// Destination zones; the missing part to 1 is rejected.
    #[serde(rename = "to")]
    pub shares: Vec<ShareStatus>,
}

/// Round-trip time between two zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RttStatus {
    /// First zone of the pair.
    pub a: String,
    /// Second zone of the pair.
    pub b: String,
    /// Round-trip time in milliseconds.
    #[serde(rename = "ms")]
    pub rtt_ms: f64,
    /// True if the value is configured; false if it was measured.
    pub stated: bool,
}

/// Status that `GET /control/places` shows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailoverStatus {
    /// Epoch of the plan that this balancer acts on; 0 before the first plan.
    pub epoch: u64,
    /// Number of the agreed state in the consensus log.
    pub number: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// True if this balancer acts on the agreed plan.
    #[serde(rename = "in_common")]
    pub uses_shared_plan: bool,
    /// Readable reason for the active routing.
    #[serde(rename = "by")]
    pub routing_reason: String,
    /// Zone of this balancer.
    pub own_zone: String,
    /// Region of this balancer.
    pub own_region: String,
    /// All zones with their states.
    #[serde(rename = "places")]
    pub zones: Vec<ZoneStatus>,
    /// Plan rows that differ from the first preference of their rule.
    pub plan: Vec<RowStatus>,
    /// Active rows on this balancer, one per rule.
    #[serde(rename = "acts")]
    pub active_rows: Vec<RowStatus>,
    /// Evacuations by operators: zones, requesting balancer, remaining milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<(Vec<String>, String, Option<u64>)>,
    /// Balancer at which an operator paused plan changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "held")]
    pub held_by: Option<String>,
    /// Reason why the plan does not change although many zones appear unhealthy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared_cause: Option<String>,
    /// Configured and measured round-trip times, in the order of the zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "trips")]
    pub rtts: Vec<RttStatus>,
    /// Lease holders whose program does not support failover.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "without")]
    pub members_without_failover: Vec<String>,
    /// Lease holders that act on the plan, as far as the leader knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "with")]
    pub members_on_plan: Vec<String>,
}

/// Returns the known round-trip times; configured values take precedence over measured ones.
pub(crate) fn rtt_statuses(topology: &Topology, measured: Option<&RttTable>) -> Vec<RttStatus> {
    let mut known = topology.clone();
    known.set_measured_rtts(measured.into_iter().flat_map(|measured| measured.resolve(topology)));
    let pairs = topology.zones().flat_map(|a| topology.zones().filter(move |b| a < *b).map(move |b| (a, b)));
    let rtt_status = |(a, b)| {
        Some(RttStatus {
            a: topology.zone_name(a).to_owned(),
            b: topology.zone_name(b).to_owned(),
            rtt_ms: known.rtt(a, b)?.as_secs_f64() * 1e3,
            stated: known.configured_rtt(a, b).is_some(),
        })
    };
    pairs.filter_map(rtt_status).collect()
}

impl FailoverStatus {
    /// Builds the part of the status that comes from an agreed state of the given age.
    pub fn from_agreed(config: &Config, agreed: &AgreedState, age: Duration) -> Self {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let document = &agreed.places;
        let topology = &config.topology;
        let zone = |n: usize| document.zones.get(n).cloned().unwrap_or_default();
        let zones = document.zone_statuses.iter().enumerate().map(|(n, zone_status)| {
            let name = zone(n);
            let region = topology.zone(&name).map(|zone| topology.region_name(topology.region_of(zone)));
            ZoneStatus {
                region: region.unwrap_or_default().to_owned(),
                zone: name,
                state: zone_status.state.as_str().into(),
                why: zone_status.reason.clone(),
                usable: zone_status.usable,
                load: zone_status.load,
                since_ms: zone_status.since_ms.saturating_add(age),
                observers: zone_status.observers,
            }
        });
        let rows = document.plan.rows.iter().map(|row| RowStatus {
            rule: document.rules.get(usize::from(row.rule)).cloned().unwrap_or_default(),
            from: zone(usize::from(row.from.0)),
            shares: row
                .to
                .iter()
                .map(|share| ShareStatus {
                    zone: zone(usize::from(share.zone.0)),
                    share: f64::from(share.part) / f64::from(FULL_SHARE),
                })
                .collect(),
        });
        let evacuated = document.evacuations.iter().map(|evacuation| {
            let zones = evacuation.zones.iter().map(|id| zone(usize::from(id.0))).collect();
            (
                zones,
                evacuation.by.clone(),
                evacuation.remaining_ms.map(|remaining| remaining.saturating_sub(age)),
            )
        });
        Self {
            epoch: document.plan.epoch,
            zones: zones.collect(),
            plan: rows.collect(),
            evacuated: evacuated.collect(),
            held_by: document.hold.as_ref().map(|hold| hold.by.clone()),
            shared_cause: document.shared_cause.clone(),
            ..Self::default()
        }
    }
}
