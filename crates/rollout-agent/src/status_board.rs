//! Answers operators and the supervisor from the state at the time of the request.

use crate::document::{Change, Content, Document, PastChange};
use crate::member::MemberTarget;
use crate::messages::{OperatorRequest, Reply};
use crate::status::{RolloutStatus, side_name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Timeout for an operator's request to this balancer.
const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_millis(3500);

/// State of this balancer, published by the agent thread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// Newest agreed document.
    pub document: Arc<Document>,
    /// Side and step that this balancer must apply.
    pub target: Option<MemberTarget>,
    /// Evidence lines of the running stage, received from the leader.
    pub evidence: Vec<String>,
    /// Name of the leader, if known.
    pub leader: Option<String>,
}

/// Target of this balancer, as `GET /control/rollout/own` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Number of the change.
    pub number: u64,
    /// Step of the rollout; rises with each event.
    pub step: u64,
    /// Target side: `old` or `new`.
    pub side: String,
    /// True until the change has ended.
    #[serde(rename = "runs")]
    pub is_active: bool,
    /// Program of the `new` side, if the change replaces the program.
    pub program: Option<TargetProgram>,
    /// Readable state of the rollout.
    #[serde(rename = "word")]
    pub state_description: String,
}

/// Program that a balancer must run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetProgram {
    /// File path of the program.
    pub path: String,
    /// SHA-256 of the program file in hexadecimal.
    pub digest: String,
}

pub(crate) type QueuedRequest = (OperatorRequest, oneshot::Sender<Reply>);

/// Answers operators and the supervisor; callable from any thread.
#[derive(Clone)]
pub struct StatusBoard {
    pub(crate) local_state: watch::Receiver<LocalState>,
    pub(crate) requests: mpsc::Sender<QueuedRequest>,
}

impl StatusBoard {
    /// Returns the status of the running or most recent change.
    pub fn status(&self) -> RolloutStatus {
        let local_state = self.local_state.borrow().clone();
        let target_side = local_state.target.as_ref().map_or("", |target| side_name(target.side)).to_owned();
        RolloutStatus {
            target_side,
            leader: local_state.leader,
            ..RolloutStatus::from_document(&local_state.document, &local_state.evidence)
        }
    }

    /// Returns all changes, the newest last.
    pub fn history(&self) -> Vec<PastChange> {
        self.local_state.borrow().document.history()
    }

    /// Returns the target of this balancer; `None` before the first change.
    pub fn target(&self) -> Option<TargetStatus> {
        let local_state = self.local_state.borrow();
        let MemberTarget { number, step, side: target_side, program, state_description } =
            local_state.target.clone()?;
        let is_active = local_state.document.change.as_ref().is_some_and(Change::is_active);
        let program = program.map(|(path, digest)| TargetProgram { path, digest });
        Some(TargetStatus {
            number,
            step,
            side: side_name(target_side).into(),
            is_active,
            program,
            state_description,
        })
    }

    /// Returns the reason why settings cannot be proposed now; `None` unless a rollout of settings is active.
    pub fn settings_lock_reason(&self) -> Option<String> {
        let local_state = self.local_state.borrow();
        let change = local_state.document.change.as_ref().filter(|change| change.is_active())?;
        matches!(change.content, Content::Settings { .. }).then(|| {
            let number = change.rollout.number;
            format!("settings are changed in stages (change {number}): maplehook rollout status, or undo")
        })
    }

    /// Passes an operator's request to the agent thread and waits for the reply.
    pub async fn request(&self, request: OperatorRequest) -> Reply {
        let (reply_sender, reply) = oneshot::channel();
        if self.requests.try_send((request, reply_sender)).is_err() {
            return Reply::Unavailable("too many wishes are under way".into());
        }
        match timeout(OPERATOR_REQUEST_TIMEOUT, reply).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Unavailable("no answer in time: it may be done, or not; ask for its status".into()),
        }
    }
}
