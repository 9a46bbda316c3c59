//! Rollout status as operators see it.

use crate::document::{Change, Document, state_text};
use crate::messages::Preview;
use maplehook_canary::Side;
use maplehook_rollout::RolloutState;
use serde::{Deserialize, Serialize};

/// Status of a balancer in a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the balancer.
    pub name: String,
    /// Zone of the balancer.
    pub zone: String,
    /// Applied side: `old`, `new`, or `unknown` until the balancer has reported it.
    pub side: String,
}

/// Members, times and evidence of a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStatus {
    /// Balancers that this stage adds to the previous stage.
    #[serde(rename = "who")]
    pub members: Vec<MemberStatus>,
    /// Start of the stage in Unix milliseconds; `None` if it has not begun.
    pub since_ms: Option<u64>,
    /// End of the stage in Unix milliseconds; `None` if it has not ended.
    pub until_ms: Option<u64>,
    /// Comparison of the old and new sides, one line per measure.
    pub evidence: Vec<String>,
    /// Readable verdict; empty until the stage has ended.
    pub verdict: String,
}

/// Status that `GET /control/rollout` shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Number of the change; 0 before the first change.
    pub number: u64,
    /// `planned`, `running`, `held`, `undoing`, `undone`, `done`, `failed to undo`; `none`.
    pub state: String,
    /// Readable state with its details.
    #[serde(rename = "word")]
    pub state_description: String,
    /// Step of the rollout; rises with each event.
    pub step: u64,
    /// Readable content of the change.
    #[serde(rename = "what")]
    pub content: String,
    /// Balancer at which the change was started.
    pub by: String,
    /// Start of the change in Unix milliseconds.
    pub at_ms: u64,
    /// Version number of the completed settings.
    pub version: Option<u64>,
    /// Status of each stage, in order.
    pub stages: Vec<StageStatus>,
    /// Conditions that the rollout waits for.
    #[serde(rename = "waits")]
    pub waiting_for: Vec<String>,
    /// Events of the rollout, in order.
    pub events: Vec<String>,
    /// True while no other change may begin.
    #[serde(rename = "runs")]
    pub is_active: bool,
    /// Target side of this balancer.
    #[serde(rename = "own")]
    pub target_side: String,
    /// Name of the leader, if known.
    pub leader: Option<String>,
}

/// Returns the outer name of a side.
pub fn side_name(side: Side) -> &'static str {
    match side {
        Side::Old => "old",
        Side::New => "new",
    }
}

impl RolloutStatus {
    /// Builds the status from the agreed document and the leader's evidence for the running stage.
    pub fn from_document(document: &Document, evidence: &[String]) -> Self {
        let Some(change) = &document.change else {
            return Self {
                state: "none".into(),
                state_description: "there was no change yet".into(),
                ..Self::default()
            };
        };
        let rollout = &change.rollout;
        Self {
            number: rollout.number,
            state: rollout.state.name().into(),
            state_description: state_text(&rollout.state),
            step: rollout.step,
            content: change.content.describe(),
            by: change.by.clone(),
            at_ms: change.started_at_ms,
            version: change.version,
            stages: stage_statuses(change, evidence),
            waiting_for: waiting_conditions(change, evidence),
            events: rollout.events.iter().map(|event| format!("{}: {}", event.step, event.text)).collect(),
            is_active: change.is_active(),
            ..Self::default()
        }
    }
}

fn stage_statuses(change: &Change, evidence: &[String]) -> Vec<StageStatus> {
    let rollout = &change.rollout;
    let mut listed_count = 0;
    let mut statuses = Vec::new();
    for stage in 0..rollout.order.stages() {
        let members = rollout.order.stage(stage);
        let added = members[listed_count..].iter().map(|member| MemberStatus {
            name: member.name.clone(),
            zone: member.zone.clone(),
            side: rollout
                .sides
                .get(&member.name)
                .map_or("unknown", |(applied, _)| side_name(*applied))
                .into(),
        });
        let record = change.stage_records.iter().find(|record| record.stage == stage);
        let is_running = rollout.stage() == Some(stage);
        statuses.push(StageStatus {
            members: added.collect(),
            since_ms: record.map(|record| record.since_ms),
            until_ms: record.and_then(|record| record.until_ms),
            evidence: if is_running {
                evidence.to_vec()
            } else {
                record.map(|record| record.evidence.clone()).unwrap_or_default()
            },
            verdict: record.map(|record| record.verdict.clone()).unwrap_or_default(),
        });
        listed_count = members.len();
    }
    statuses
}

fn waiting_conditions(change: &Change, evidence: &[String]) -> Vec<String> {
    let rollout = &change.rollout;
    match &rollout.state {
        RolloutState::Running(_) | RolloutState::Paused { .. } => {
            let mut conditions = Vec::new();
            let pending = rollout.pending_members();
            if !pending.is_empty() {
                conditions.push(format!("to be changed: {}", pending.join(", ")));
            }
            match &rollout.state {
                RolloutState::Paused { by_operator: true, .. } => {
                    conditions.push("an operator: maplehook rollout go, or undo".into())
                }
                RolloutState::Paused { why, .. } => conditions.push(format!("the end of this: {why}")),
                _ => conditions.extend(evidence.first().cloned()),
            }
            conditions
        }
        RolloutState::RollingBack { .. } | RolloutState::RollbackFailed { .. } => {
            vec![format!("to be as before: {}", rollout.unconfirmed_members().join(", "))]
        }
        RolloutState::Completed if change.is_active() => {
            vec!["the settings are proposed as the next version".into()]
        }
        _ => Vec::new(),
    }
}

impl Preview {
    /// Returns the preview as text, one line per stage or setting.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (n, names) in self.stages.iter().enumerate() {
            let names = if names.is_empty() { "nobody more".into() } else { names.join(", ") };
            text += &format!("stage {}: {names}\n", n + 1);
        }
        for setting in &self.staged {
            text += &format!("staged: {setting}\n");
        }
        for setting in &self.kept_back {
            text += &format!("at the end, read strictly until then on both sides: {setting}\n");
        }
        text
    }
}
