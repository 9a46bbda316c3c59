//! What all balancers agree on of places: how each zone stands, the plan, and operators' orders.
//!
//! It goes through the log of the agreement as one text of bytes, the whole at each change, and so survives whoever leads. Times
//! in it are ages at the moment of writing: clocks of two leaders can't be compared.

use maplehook_locality::Zone;
use serde::{Deserialize, Serialize};

/// All of a row: shares are counted in ten thousandths.
pub const FULL_SHARE: u16 = 10_000;
/// The most rows of a plan.
pub const ROWS_MOST: usize = 4096;

/// How a zone stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// It serves.
    #[default]
    Serving,
    /// Slow or failing for all who see it.
    #[serde(rename = "ill")]
    Unhealthy,
    /// Nothing of it can be used by anybody.
    #[serde(rename = "lost")]
    Unreachable,
    /// Fine in itself, out of reach from some.
    #[serde(rename = "cut")]
    Partitioned,
    /// Taken out by an operator.
    Evacuated,
    /// Well again, and given back slowly.
    Returning,
}

impl ZoneState {
    /// The word for it.
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

/// A zone in the document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// How it stands.
    pub state: ZoneState,
    /// Why, in words.
    #[serde(rename = "why")]
    pub reason: String,
    /// For how long.
    pub since_ms: u64,
    /// What can be used of it, in requests a second.
    pub usable: f32,
    /// Its load over what can be used.
    pub load: f32,
    /// Share of what it may be given, while it returns. 0 to 1.
    pub given: f32,
    /// What its flapping has cost it so far (RFC 2439's figure of merit).
    pub penalty: f32,
    /// Zones from which it is out of reach, where it is cut.
    pub cut_from: Vec<Zone>,
    /// How many zones' observers stand behind the state.
    pub observers: u16,
}

/// A part of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// To which zone.
    pub zone: Zone,
    /// How much, of [`WHOLE`].
    pub part: u16,
}

/// Where the requests of one rule go that come into one zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Position of the rule.
    pub rule: u16,
    /// The zone that they come into.
    pub from: Zone,
    /// Where they go, by zone. What is missing to [`WHOLE`] is refused where it comes in.
    pub to: Vec<Share>,
}

impl Row {
    /// Whether it is one: no zone twice, no more than the whole.
    pub fn is_sound(&self) -> bool {
        let total: u32 = self.to.iter().map(|share| u32::from(share.part)).sum();
        total <= u32::from(FULL_SHARE) && self.to.is_sorted_by(|a, b| a.zone < b.zone)
    }

    /// What goes to a zone.
    pub fn part(&self, zone: Zone) -> u16 {
        self.to.iter().find(|share| share.zone == zone).map_or(0, |share| share.part)
    }
}

/// Where requests go. A rule and zone without a row keep to the first step of the rule's ladder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Rises by one with each plan.
    pub epoch: u64,
    /// Sorted by rule and zone.
    pub rows: Vec<Row>,
    /// What each zone may be given beside the plan by balancers that have lost touch, all together, in requests a second; then,
    /// again by zone, the weight of its balancers in that; and then how many they are. A program that knows the first part alone
    /// takes an even part of it. Read it by [`Plan::lent`].
    pub spare: Vec<f32>,
}

impl Plan {
    /// The row of a rule and zone, where there is one.
    pub fn row(&self, rule: u16, from: Zone) -> Option<&Row> {
        let found = self.rows.binary_search_by_key(&(rule, from), |row| (row.rule, row.from));
        found.ok().map(|n| &self.rows[n])
    }

    /// A part of [`Plan::spare`]: 0 what zones may be given, 1 weights, 2 how many balancers; nothing where it is not known.
    pub fn spare_part(&self, part: usize, zones: usize) -> &[f32] {
        self.spare.get(part * zones..(part + 1) * zones).unwrap_or_default()
    }

    /// What one balancer of a zone may send to another beside the plan once it has lost touch, in requests a second. A zone's own
    /// balancers have its room by the plan, and no part in what it lends. `balancers`: how many there are, for a plan that does
    /// not say how many each zone has.
    pub fn lent(&self, zones: usize, from: Zone, to: usize, balancers: usize) -> f64 {
        let part = |part: usize| self.spare_part(part, zones);
        let (weights, crews) = (part(1), part(2));
        let spare = part(0).get(to).map_or(0.0, |spare| f64::from(*spare));
        let (Some(crew), Some(own)) = (crews.get(usize::from(from.0)), weights.get(usize::from(from.0)))
        else {
            return spare / balancers.max(1) as f64;
        };
        let others = weights.iter().enumerate().filter(|(zone, _)| *zone != to);
        let all: f64 = others.map(|(_, weight)| f64::from(*weight)).sum();
        if usize::from(from.0) == to || all <= 0.0 || *crew < 1.0 {
            return 0.0;
        }
        spare * f64::from(*own) / all / f64::from(*crew)
    }
}

/// A zone or region that an operator has taken out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Its zones.
    pub zones: Vec<Zone>,
    /// By whom.
    pub by: String,
    /// For how long still; `None`: until it is released.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Option<u64>,
}

/// By what an operator keeps the plan as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanHold {
    /// By whom.
    pub by: String,
}

/// What is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// A digest of the topology and rules by which zones and rules are counted.
    pub digest: u64,
    /// Names of the zones, in the order of the topology: whoever counts otherwise goes by them.
    pub zones: Vec<String>,
    /// Names of the rules.
    pub rules: Vec<String>,
    /// How each zone stands.
    #[serde(rename = "places")]
    pub zone_statuses: Vec<ZoneStatus>,
    /// Where requests go.
    pub plan: Plan,
    /// What operators have taken out.
    pub evacuations: Vec<Evacuation>,
    /// Whether the plan is held, and by whom.
    #[serde(rename = "held")]
    pub hold: Option<PlanHold>,
    /// Why nothing moves although much seems ill, if that is so.
    pub shared_cause: Option<String>,
}

impl Document {
    /// For the log.
    pub fn encode(&self) -> Vec<u8> {
        // Nothing in it is of a kind that can't be encoded.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// From the log; `None` for what is no document.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let document: Self = postcard::from_bytes(bytes).ok()?;
        document.is_sound().then_some(document)
    }

    /// Whether its plan is one: rows in order, and each of them sound.
    pub fn is_sound(&self) -> bool {
        let rows = &self.plan.rows;
        rows.is_sorted_by_key(|row| (row.rule, row.from)) && rows.iter().all(Row::is_sound)
    }
}
