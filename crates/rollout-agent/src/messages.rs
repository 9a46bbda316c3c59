//! What balancers say to one another of changes in stages, and what operators want.

use maplehook_canary::{IntervalReport, Side};
use serde::{Deserialize, Serialize};

/// What is to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestedContent {
    /// The shared sections of an operator's file.
    Settings {
        /// Their text.
        text: String,
    },
    /// A program, which is on each machine already.
    Program {
        /// Its path there.
        path: String,
        /// SHA-256 of its bytes, in hexadecimal.
        digest: String,
    },
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    /// It is said what would be done.
    Plan {
        /// The plan's file.
        plan: String,
        /// What changes.
        #[serde(rename = "what")]
        content: RequestedContent,
    },
    /// It is begun.
    Start {
        /// The plan's file.
        plan: String,
        /// What changes.
        #[serde(rename = "what")]
        content: RequestedContent,
    },
    /// It waits at its stage.
    Hold,
    /// It goes on.
    Go,
    /// All go back.
    Undo,
}

/// Who would be in which stage, and what of it is staged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preview {
    /// Who is added by each stage.
    pub stages: Vec<Vec<String>>,
    /// What differs between the stages.
    pub staged: Vec<String>,
    /// What contradicts: its strictest reading holds on both sides until the last stage has been judged.
    pub kept_back: Vec<String>,
}

/// How a wish ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It is agreed on; the change's number.
    Done(u64),
    /// What would be done.
    Planned(Preview),
    /// It is not done, and why; asking again is of no use as long as things stand so.
    Refused(String),
    /// It is not done, or nobody knows; asking again is harmless.
    Unavailable(String),
}

/// Where a balancer stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its zone.
    pub zone: String,
    /// The change's number, the side, and the latest step that it has heard of; none while no change runs.
    pub side: Option<(u64, Side, u64)>,
    /// What became of requests since the last one.
    pub report: Option<IntervalReport>,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Where a balancer stands.
    #[serde(rename = "Stands")]
    MemberReport(Box<MemberReport>),
    /// What the leader knows of the stage that runs.
    #[serde(rename = "Known")]
    StageEvidence {
        /// The change's number.
        number: u64,
        /// Line by line.
        lines: Vec<String>,
    },
    /// An operator's wish, passed on to the leader.
    #[serde(rename = "Wish")]
    ForwardedRequest {
        /// By which its end is known.
        ticket: u64,
        /// Who passes it on.
        by: String,
        /// What.
        #[serde(rename = "wish")]
        request: OperatorRequest,
    },
    /// Its end.
    #[serde(rename = "End")]
    RequestOutcome {
        /// Which.
        ticket: u64,
        /// How.
        reply: Reply,
    },
}
