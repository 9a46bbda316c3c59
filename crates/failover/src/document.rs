//! The document that all balancers agree on: zone states, the plan and operators' orders.
//!
//! Each change writes the complete document to the log as one byte string, so that it survives a change of
//! leader. Times are stored as ages at the time of writing, because the clocks of two leaders can't be
//! compared.

use maplehook_locality::Zone;
use serde::{Deserialize, Serialize};

/// Sum of the shares of a complete row: shares are in units of 1/10000.
pub const FULL_SHARE: u16 = 10_000;
/// Maximum number of rows in a plan.
pub const MAX_ROWS: usize = 4096;

/// State of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone is in service.
    #[default]
    Serving,
    /// Requests to the zone are slow or fail for its observers.
    #[serde(rename = "ill")]
    Unhealthy,
    /// The zone is unreachable, or nothing in it is usable.
    #[serde(rename = "lost")]
    Unreachable,
    /// The zone is healthy but unreachable from some zones.
    #[serde(rename = "cut")]
    Partitioned,
    /// An operator took the zone out of service.
    Evacuated,
    /// The zone has recovered and its share grows back.
    Returning,
}

impl ZoneState {
    /// Returns the name of the state for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Unhealthy => "ill",
            Self::Unreachable => "lost",
            Self::Partitioned => "cut",
            Self::Evacuated => "evacuated",
            Self::Returning => "returning",
        }
    }
}

/// Status of a zone in the document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Current state of the zone.
    pub state: ZoneState,
    /// Reason for the state, for operators.
    #[serde(rename = "why")]
    pub reason: String,
    /// Age of the state, in milliseconds.
    pub since_ms: u64,
    /// Usable capacity, in requests per second.
    pub usable: f32,
    /// Load relative to the usable capacity; 1 is full.
    pub load: f32,
    /// Share of its capacity that a returning or failed zone may serve, 0 to 1.
    #[serde(rename = "given")]
    pub admitted_share: f32,
    /// Flap-damping penalty (the figure of merit of RFC 2439).
    pub penalty: f32,
    /// Zones from which this zone is unreachable.
    #[serde(rename = "cut_from")]
    pub unreachable_from: Vec<Zone>,
    /// Number of zones whose reports support the state.
    pub observers: u16,
}

/// The part of a row that goes to one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// Destination zone.
    pub zone: Zone,
    /// Part of the requests, in units of 1/[`FULL_SHARE`].
    pub part: u16,
}

/// Destinations of the requests of one rule that arrive in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Index of the rule.
    pub rule: u16,
    /// Zone in which the requests arrive.
    pub from: Zone,
    /// Shares, sorted by zone. If they add up to less than [`FULL_SHARE`], the rest is rejected on arrival.
    pub to: Vec<Share>,
}

impl Row {
    /// Returns true if no zone occurs twice and the shares do not exceed [`FULL_SHARE`].
    pub fn is_sound(&self) -> bool {
        let total: u32 = self.to.iter().map(|share| u32::from(share.part)).sum();
        total <= u32::from(FULL_SHARE) && self.to.is_sorted_by(|a, b| a.zone < b.zone)
    }

    /// Returns the share of a zone, or 0 if it has none.
    pub fn part(&self, zone: Zone) -> u16 {
        self.to.iter().find(|share| share.zone == zone).map_or(0, |share| share.part)
    }
}

/// Destinations of all requests. A rule and zone without a row use the first step of the rule's priority
/// list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Version of the plan, incremented with each new plan.
    pub epoch: u64,
    /// Rows, sorted by rule and zone.
    pub rows: Vec<Row>,
    /// Three sections, each by zone: the rate that all disconnected balancers together may send to the zone
    /// in addition to the plan, in requests per second; the weight of the zone's balancers in sharing it; and
    /// the number of these balancers. Older versions read only the first section and divide it evenly. Use
    /// [`Plan::spare_rate`] to read it.
    pub spare: Vec<f32>,
}

impl Plan {
    /// Returns the row of a rule and zone, if there is one.
    pub fn row(&self, rule: u16, from: Zone) -> Option<&Row> {
        let found = self.rows.binary_search_by_key(&(rule, from), |row| (row.rule, row.from));
        found.ok().map(|n| &self.rows[n])
    }

    /// Returns a section of [`Plan::spare`]: 0 rates, 1 weights, 2 numbers of balancers. The slice is empty
    /// if the section is missing.
    pub fn spare_section(&self, section: usize, zones: usize) -> &[f32] {
        self.spare.get(section * zones..(section + 1) * zones).unwrap_or_default()
    }

    /// Returns the rate that one disconnected balancer of zone `from` may send to zone `to` in addition to
    /// the plan, in requests per second. It is 0 for the balancer's own zone, whose capacity the plan already
    /// assigns. `balancers` is the total number of balancers, for plans without numbers per zone.
    pub fn spare_rate(&self, zones: usize, from: Zone, to: usize, balancers: usize) -> f64 {
        let section = |section: usize| self.spare_section(section, zones);
        let (weights, balancer_counts) = (section(1), section(2));
        let spare = section(0).get(to).map_or(0.0, |spare| f64::from(*spare));
        let (Some(count), Some(weight)) =
            (balancer_counts.get(usize::from(from.0)), weights.get(usize::from(from.0)))
        else {
            return spare / balancers.max(1) as f64;
        };
        let others = weights.iter().enumerate().filter(|(zone, _)| *zone != to);
        let total_weight: f64 = others.map(|(_, weight)| f64::from(*weight)).sum();
        if usize::from(from.0) == to || total_weight <= 0.0 || *count < 1.0 {
            return 0.0;
        }
        spare * f64::from(*weight) / total_weight / f64::from(*count)
    }
}

/// An evacuation of a zone or region ordered by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Evacuated zones.
    pub zones: Vec<Zone>,
    /// Name of the operator who ordered the evacuation.
    pub by: String,
    /// Remaining time in milliseconds; `None` lasts until the operator releases it.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Option<u64>,
}

/// An operator's order that freezes the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanHold {
    /// Name of the operator who ordered the hold.
    pub by: String,
}

/// The shared document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Digest of the topology and rules that the indexes of zones and rules refer to.
    pub digest: u64,
    /// Zone names in topology order. Readers with another topology map the indexes by these names.
    pub zones: Vec<String>,
    /// Rule names, in the order of the rules' indexes.
    pub rules: Vec<String>,
    /// Status of each zone, by zone index.
    #[serde(rename = "places")]
    pub zone_statuses: Vec<ZoneStatus>,
    /// The traffic plan.
    pub plan: Plan,
    /// Active evacuations.
    pub evacuations: Vec<Evacuation>,
    /// Hold on the plan, if an operator ordered one.
    #[serde(rename = "held")]
    pub hold: Option<PlanHold>,
    /// Reason why no traffic is moved, while a shared cause is assumed.
    pub shared_cause: Option<String>,
}

impl Document {
    /// Encodes the document for the log.
    pub fn encode(&self) -> Vec<u8> {
        // The types of the document have no values that postcard fails to encode.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a document from the log. Returns `None` if it is malformed or its plan is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let document: Self = postcard::from_bytes(bytes).ok()?;
        document.is_sound().then_some(document)
    }

    /// Returns true if the rows of the plan are sorted and each row is valid.
    pub fn is_sound(&self) -> bool {
        let rows = &self.plan.rows;
        rows.is_sorted_by_key(|row| (row.rule, row.from)) && rows.iter().all(Row::is_sound)
    }
}
