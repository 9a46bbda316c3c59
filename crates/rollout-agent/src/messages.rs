//! Messages between the agents, and operators' requests.

use maplehook_canary::{IntervalReport, Side};
use serde::{Deserialize, Serialize};

/// Content of a requested change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestedContent {
    /// Shared sections of an operator's settings file.
    Settings {
        /// Text of the shared sections.
        text: String,
    },
    /// Program that is already installed on each machine.
    Program {
        /// File path of the program on each machine.
        path: String,
        /// SHA-256 of the program file in hexadecimal.
        digest: String,
    },
}

/// Request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    /// Returns a preview without starting the change.
    Plan {
        /// Text of the plan file.
        plan: String,
        /// Content of the change.
        #[serde(rename = "what")]
        content: RequestedContent,
    },
    /// Starts the change with its first stage.
    Start {
        /// Text of the plan file.
        plan: String,
        /// Content of the change.
        #[serde(rename = "what")]
        content: RequestedContent,
    },
    /// Pauses the rollout at its stage.
    Hold,
    /// Resumes a paused rollout.
    Go,
    /// Rolls all balancers back.
    Undo,
}

/// Stages and settings of a requested change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preview {
    /// Names of the balancers that each stage adds.
    pub stages: Vec<Vec<String>>,
    /// Readable differences between the stages.
    pub staged: Vec<String>,
    /// Conflicting settings; both sides use their strictest reading until the last stage has passed.
    pub kept_back: Vec<String>,
}

/// Outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Agreed on; contains the number of the change.
    Done(u64),
    /// Preview of the requested change.
    Planned(Preview),
    /// Rejected for the given reason; a repeated request fails until the state changes.
    Refused(String),
    /// Not done, or the outcome is unknown; the request may be repeated safely.
    Unavailable(String),
}

/// Applied side and request counts of a balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Zone of the balancer.
    pub zone: String,
    /// Number of the change, applied side, and newest step that the balancer knows; `None` without a change.
    pub side: Option<(u64, Side, u64)>,
    /// Request counts since the previous report.
    pub report: Option<IntervalReport>,
}

/// Message between two agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Applied side and request counts of a balancer.
    #[serde(rename = "Stands")]
    MemberReport(Box<MemberReport>),
    /// Leader's evidence for the running stage.
    #[serde(rename = "Known")]
    StageEvidence {
        /// Number of the change.
        number: u64,
        /// Evidence, one line per measure.
        lines: Vec<String>,
    },
    /// Operator request that is forwarded to the leader.
    #[serde(rename = "Wish")]
    ForwardedRequest {
        /// Identifier that the outcome refers to.
        ticket: u64,
        /// Name of the forwarding balancer.
        by: String,
        /// Request to apply on the leader.
        #[serde(rename = "wish")]
        request: OperatorRequest,
    },
    /// Outcome of a forwarded request.
    #[serde(rename = "End")]
    RequestOutcome {
        /// Identifier of the forwarded request.
        ticket: u64,
        /// Reply to pass on to the operator.
        reply: Reply,
    },
}
