//! How a change stands, as operators are shown it.

use crate::document::{Change, Document, words};
use crate::messages::Preview;
use maplehook_canary::Side;
use maplehook_rollout::RolloutState;
use serde::{Deserialize, Serialize};

/// A balancer of a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// `old`, `new`, or `unknown` as long as it has not said.
    pub side: String,
}

/// A stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStatus {
    /// Whom it adds.
    #[serde(rename = "who")]
    pub members: Vec<MemberStatus>,
    /// Since when, in Unix milliseconds; none if it has not begun.
    pub since_ms: Option<u64>,
    /// Until when.
    pub until_ms: Option<u64>,
    /// Old against new, measure by measure.
    pub evidence: Vec<String>,
    /// What it came to.
    pub verdict: String,
}

/// What `GET /control/rollout` shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The change's number; 0 if there was none.
    pub number: u64,
    /// `planned`, `running`, `held`, `undoing`, `undone`, `done`, `failed to undo`; `none`.
    pub state: String,
    /// The same, with what there is to say.
    #[serde(rename = "word")]
    pub state_description: String,
    /// Counts what has happened to it.
    pub step: u64,
    /// What changes.
    #[serde(rename = "what")]
    pub content: String,
    /// At which balancer it was begun.
    pub by: String,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// Of settings: the version that they have become.
    pub version: Option<u64>,
    /// The stages.
    pub stages: Vec<StageStatus>,
    /// What it waits for.
    #[serde(rename = "waits")]
    pub waiting_for: Vec<String>,
    /// What happened.
    pub events: Vec<String>,
    /// Whether no other change may begin.
    #[serde(rename = "runs")]
    pub is_active: bool,
    /// The side on which this balancer is to be.
    #[serde(rename = "own")]
    pub target_side: String,
    /// The leader.
    pub leader: Option<String>,
}

/// A side's word.
pub fn side(side: Side) -> &'static str {
    match side {
        Side::Old => "old",
        Side::New => "new",
    }
}

impl RolloutStatus {
    /// By what is agreed on, and by what the leader has told of the stage that runs.
    pub fn from_document(document: &Document, known: &[String]) -> Self {
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
            state_description: words(&rollout.state),
            step: rollout.step,
            content: change.content.words(),
            by: change.by.clone(),
            at_ms: change.started_at_ms,
            version: change.version,
            stages: stages(change, known),
            waiting_for: waits(change, known),
            events: rollout.events.iter().map(|event| format!("{}: {}", event.step, event.text)).collect(),
            is_active: change.is_active(),
            ..Self::default()
        }
    }
}

fn stages(change: &Change, known: &[String]) -> Vec<StageStatus> {
    let rollout = &change.rollout;
    let mut told = 0;
    let mut shown = Vec::new();
    for stage in 0..rollout.order.stages() {
        let members = rollout.order.stage(stage);
        let who = members[told..].iter().map(|member| MemberStatus {
            name: member.name.clone(),
            zone: member.zone.clone(),
            side: rollout.sides.get(&member.name).map_or("unknown", |(of, _)| side(*of)).into(),
        });
        let watched = change.stage_records.iter().find(|watched| watched.stage == stage);
        let runs = rollout.stage() == Some(stage);
        shown.push(StageStatus {
            members: who.collect(),
            since_ms: watched.map(|watched| watched.since_ms),
            until_ms: watched.and_then(|watched| watched.until_ms),
            evidence: if runs {
                known.to_vec()
            } else {
                watched.map(|watched| watched.evidence.clone()).unwrap_or_default()
            },
            verdict: watched.map(|watched| watched.verdict.clone()).unwrap_or_default(),
        });
        told = members.len();
    }
    shown
}

fn waits(change: &Change, known: &[String]) -> Vec<String> {
    let rollout = &change.rollout;
    match &rollout.state {
        RolloutState::Running(_) | RolloutState::Paused { .. } => {
            let mut waits = Vec::new();
            let unplaced = rollout.pending_members();
            if !unplaced.is_empty() {
                waits.push(format!("to be changed: {}", unplaced.join(", ")));
            }
            match &rollout.state {
                RolloutState::Paused { by_operator: true, .. } => {
                    waits.push("an operator: maplehook rollout go, or undo".into())
                }
                RolloutState::Paused { why, .. } => waits.push(format!("the end of this: {why}")),
                _ => waits.extend(known.first().cloned()),
            }
            waits
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
    /// Line by line.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (n, who) in self.stages.iter().enumerate() {
            let who = if who.is_empty() { "nobody more".into() } else { who.join(", ") };
            text += &format!("stage {}: {who}\n", n + 1);
        }
        for part in &self.staged {
            text += &format!("staged: {part}\n");
        }
        for part in &self.kept_back {
            text += &format!("at the end, read strictly until then on both sides: {part}\n");
        }
        text
    }
}
