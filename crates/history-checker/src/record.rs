//! The schema: one JSON object a line, the header first. All times are microseconds on one clock, the Unix clock of the machine that
//! the run was on.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The schema's version.
pub const SCHEMA: u32 = 1;

/// The first line of a merged history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`SCHEMA`].
    pub schema: u32,
    /// By which the run was drawn.
    pub seed: u64,
    /// Digest of the program that was run.
    pub program: String,
    /// Zones by region.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The zone of each balancer.
    pub balancers: BTreeMap<String, String>,
    /// The zone of each upstream, and what it can really take, in requests a second.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Service addresses: `one` or `many`, and the sites.
    pub addresses: BTreeMap<String, Address>,
    /// The longest time for which two plans that contradict may be acted on.
    pub contradiction_us: u64,
    /// What the judge holds the run to.
    pub bounds: Bounds,
    /// Balancers that vote on plans; none named: all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<String>,
    /// In a corpus: the rule that this history must show broken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<String>,
}

/// An upstream in the header.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its zone.
    pub zone: String,
    /// Requests a second that it can take.
    pub room_per_s: f64,
}

/// An address in the header.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Address {
    /// Whether one site alone may announce it.
    pub one: bool,
    /// Its sites: regions.
    pub sites: Vec<String>,
    /// For how long a site may be ill before it has to have withdrawn, all told.
    pub withdrawn_within_us: u64,
    /// For how long at the most nobody may announce although a site is healthy.
    pub gap_us: u64,
    /// How many sites go on announcing however ill they seem; 0 counts as 1.
    #[serde(default)]
    pub keep_at_least: usize,
}

/// What a run is held to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// The least share of attempts in their own zone while that had room and was well.
    pub near_least: f64,
    /// The load of a zone by spill, over its room, at the most.
    pub load_most: f64,
    /// Over which time load and nearness are counted.
    pub window_us: u64,
    /// How long after a change of a place's health nearness and load are not judged.
    pub settle_us: u64,
    /// How long after such a change requests may still leave a zone that is well again: it is given back slowly. As long as
    /// `settle_us`, if that is longer.
    #[serde(default)]
    pub return_us: u64,
    /// Swings of one zone's plan in a minute, at the most.
    pub swings_most: u32,
    /// Requests: how long a final answer may take.
    pub answer_us: u64,
    /// How long after a drain was told an upstream may still get something new.
    pub drain_us: u64,
    /// Load of a zone, over its room, from which requests may leave it.
    #[serde(default = "spill_over")]
    pub spill_over: f64,
    /// Load under which they have to stay again once it has lasted for `settle_us`.
    #[serde(default = "spill_back")]
    pub spill_back: f64,
}

fn spill_over() -> f64 {
    0.8
}

fn spill_back() -> f64 {
    0.6
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            near_least: 0.99,
            load_most: 1.1,
            window_us: 1_000_000,
            settle_us: 5_000_000,
            return_us: 0,
            swings_most: 2,
            answer_us: 4_000_000,
            drain_us: 2_000_000,
            spill_over: spill_over(),
            spill_back: spill_back(),
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Served.
    Ok,
    /// Refused, and nothing has run.
    Refused,
    /// An error; it may have run.
    Failed,
    /// No answer at all.
    Lost,
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When, in microseconds.
    pub at_us: u64,
    /// Who says it: a balancer, an upstream, a client, a router, or `rig`.
    pub by: String,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A balancer began to act by a plan; `until_us`: its lease as it stands then.
    Acts {
        /// The plan's epoch.
        epoch: u64,
        /// Its rows: rule, zone, and parts of 10,000 by zone.
        rows: Vec<ActedRow>,
        /// Whether it is the common plan (else its own evidence, cut off).
        in_common: bool,
    },
    /// A balancer no longer acts by a plan: its lease has run out, or it ends.
    Ceases {
        /// The plan's epoch.
        epoch: u64,
    },
    /// A leader has had a plan agreed on: it stands in the log.
    Agreed {
        /// The plan's epoch.
        epoch: u64,
        /// A digest of the plan.
        digest: String,
    },
    /// A balancer answered a poll with 200: it announces for so long from when it was asked.
    Announces {
        /// The address.
        address: String,
        /// The site.
        site: String,
        /// The preference; more is better.
        preference: u32,
        /// Until when, on this clock.
        until_us: u64,
    },
    /// It answered with 503, or has withdrawn.
    Withdraws {
        /// The address.
        address: String,
        /// The site.
        site: String,
        /// Why.
        why: String,
    },
    /// A router sends clients of a zone to a site from here on; `None`: to nobody.
    Routes {
        /// The address.
        address: String,
        /// The zone of the clients.
        zone: String,
        /// The site.
        site: Option<String>,
    },
    /// A client has sent a request to a balancer.
    Sent {
        /// Its number.
        id: u64,
        /// The balancer.
        to: String,
        /// Its class.
        class: String,
        /// Whether it must not run twice.
        once: bool,
    },
    /// It has ended.
    Ended {
        /// Which.
        id: u64,
        /// How.
        outcome: Outcome,
    },
    /// An upstream began to work for a request.
    Ran {
        /// Whose.
        id: u64,
        /// By which balancer.
        through: String,
    },
    /// A place's upstreams came to this health, by the rig's doing: 1 well, 0 gone. `from`: as seen from these zones alone; such
    /// a view stands beside the place's own health until one from the same zones ends it.
    Health {
        /// The zone.
        zone: String,
        /// Share of its room that is there.
        share: f64,
        /// Seen from where, if not from everywhere.
        from: Option<Vec<String>>,
    },
    /// An upstream was told to drain (or, `false`, no more), and balancers could hear of it.
    Drains {
        /// The upstream.
        upstream: String,
        /// Whether.
        drains: bool,
    },
    /// A balancer was started, killed, stopped, woken, cut off or joined again by the rig.
    Did {
        /// `start`, `kill`, `stop`, `wake`, `cut`, `heal`, `term`; of a place: `evacuate`, `release`; of the run: `end`, after which
        /// nothing is expected any more. Any other counts as a
        /// disturbance of that moment.
        act: String,
        /// To whom: a balancer, or a zone or region for all of its balancers.
        to: String,
    },
    /// Something that people may want to read.
    Note {
        /// What.
        text: String,
    },
}

/// A row of a plan in a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActedRow {
    /// The rule's name.
    pub rule: String,
    /// The zone that requests come into.
    pub from: String,
    /// Parts of 10,000, by zone.
    pub to: BTreeMap<String, u16>,
}
