//! What operators are shown of places.

use crate::config::Config;
use crate::talk::Agreed;
use maplehook_failover::FULL_SHARE;
use maplehook_failover::rtt::RttTable;
use maplehook_locality::Topology;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownPlace {
    /// Its name.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// `serving`, `ill`, `lost`, `cut`, `evacuated` or `returning`.
    pub state: String,
    /// Why.
    pub why: String,
    /// What can be used of it, in requests a second.
    pub usable: f32,
    /// Its load over that.
    pub load: f32,
    /// For how long it has stood so.
    pub since_ms: u64,
    /// Zones whose observers stand behind it.
    pub observers: u16,
}

/// A part of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownShare {
    /// To which zone.
    pub zone: String,
    /// How much of the row, 0 to 1.
    pub share: f64,
}

/// A row of the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownRow {
    /// The rule.
    pub rule: String,
    /// The zone that requests come into.
    pub from: String,
    /// Where they go; what is missing to 1 is refused.
    pub to: Vec<ShownShare>,
}

/// The way between two zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownTrip {
    /// One of them.
    pub a: String,
    /// The other one.
    pub b: String,
    /// There and back, in milliseconds.
    pub ms: f64,
    /// Whether the file says so; else it was measured.
    pub stated: bool,
}

/// What `GET /control/places` shows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// The epoch of the plan that is acted on here; 0 before the first.
    pub epoch: u64,
    /// The number of what is agreed on, in the log.
    pub number: u64,
    /// Who leads, as far as is known.
    pub leader: Option<String>,
    /// Whether the plan that is agreed on is acted on here.
    pub in_common: bool,
    /// By what else, if it is not.
    pub by: String,
    /// The own zone.
    pub own_zone: String,
    /// The own region.
    pub own_region: String,
    /// All zones.
    pub places: Vec<ShownPlace>,
    /// Rows that differ from the first step of their rule.
    pub plan: Vec<ShownRow>,
    /// What this balancer acts on itself, rule by rule.
    pub acts: Vec<ShownRow>,
    /// What operators have taken out: zones, by whom, for how long still.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<(Vec<String>, String, Option<u64>)>,
    /// Who holds the plan as it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<String>,
    /// Why nothing moves though much seems ill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared_cause: Option<String>,
    /// Ways between zones that are stated or measured, in the order of the zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trips: Vec<ShownTrip>,
    /// Balancers in touch whose program knows no places.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub without: Vec<String>,
    /// Balancers in touch that act on the plan, as the leader knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub with: Vec<String>,
}

/// Ways that are known, by these zones and by what was measured in common.
pub(crate) fn trips(topology: &Topology, measured: Option<&RttTable>) -> Vec<ShownTrip> {
    let mut known = topology.clone();
    known.set_measured_rtts(measured.into_iter().flat_map(|measured| measured.resolve(topology)));
    let pairs = topology.zones().flat_map(|a| topology.zones().filter(move |b| a < *b).map(move |b| (a, b)));
    let trip = |(a, b)| {
        Some(ShownTrip {
            a: topology.zone_name(a).to_owned(),
            b: topology.zone_name(b).to_owned(),
            ms: known.rtt(a, b)?.as_secs_f64() * 1e3,
            stated: known.configured_rtt(a, b).is_some(),
        })
    };
    pairs.filter_map(trip).collect()
}

impl Shown {
    /// The part that stands in what is agreed on, which came so long ago.
    pub fn of(config: &Config, agreed: &Agreed, age: Duration) -> Self {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let document = &agreed.places;
        let topology = &config.topology;
        let zone = |n: usize| document.zones.get(n).cloned().unwrap_or_default();
        let places = document.zone_statuses.iter().enumerate().map(|(n, place)| {
            let name = zone(n);
            let region = topology.zone(&name).map(|zone| topology.region_name(topology.region_of(zone)));
            ShownPlace {
                region: region.unwrap_or_default().to_owned(),
                zone: name,
                state: place.state.as_str().into(),
                why: place.reason.clone(),
                usable: place.usable,
                load: place.load,
                since_ms: place.since_ms.saturating_add(age),
                observers: place.observers,
            }
        });
        let rows = document.plan.rows.iter().map(|row| ShownRow {
            rule: document.rules.get(usize::from(row.rule)).cloned().unwrap_or_default(),
            from: zone(usize::from(row.from.0)),
            to: row
                .to
                .iter()
                .map(|share| ShownShare {
                    zone: zone(usize::from(share.zone.0)),
                    share: f64::from(share.part) / f64::from(FULL_SHARE),
                })
                .collect(),
        });
        let evacuated = document.evacuations.iter().map(|evacuation| {
            let zones = evacuation.zones.iter().map(|of| zone(usize::from(of.0))).collect();
            (zones, evacuation.by.clone(), evacuation.remaining_ms.map(|left| left.saturating_sub(age)))
        });
        Self {
            epoch: document.plan.epoch,
            places: places.collect(),
            plan: rows.collect(),
            evacuated: evacuated.collect(),
            held: document.hold.as_ref().map(|held| held.by.clone()),
            shared_cause: document.shared_cause.clone(),
            ..Self::default()
        }
    }
}
