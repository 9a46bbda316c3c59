//! What operators and whoever starts programs are answered: from what stands when they ask.

use crate::document::{Change, Content, Document, PastChange};
use crate::member::MemberTarget;
use crate::messages::{OperatorRequest, Reply};
use crate::status::{RolloutStatus, side};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// How long an operator waits for a wish.
const WISH: Duration = Duration::from_millis(3500);

/// How it stands here, as the thread knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// What was told last.
    pub document: Arc<Document>,
    /// Where this balancer is to be.
    pub wanted: Option<MemberTarget>,
    /// What the leader has told of the stage that runs.
    pub known: Vec<String>,
    /// The leader.
    pub leader: Option<String>,
}

/// Where this balancer is to be: what `GET /control/rollout/own` answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The change's number.
    pub number: u64,
    /// Counts what has happened to it.
    pub step: u64,
    /// `old` or `new`.
    pub side: String,
    /// Whether the change is not over yet.
    #[serde(rename = "runs")]
    pub is_active: bool,
    /// The program that `new` is, where one changes.
    pub program: Option<TargetProgram>,
    /// The state, in words.
    #[serde(rename = "word")]
    pub state_description: String,
}

/// A program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetProgram {
    /// Its path.
    pub path: String,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
}

pub(crate) type Wished = (OperatorRequest, oneshot::Sender<Reply>);

/// Answers, on any thread.
#[derive(Clone)]
pub struct StatusBoard {
    pub(crate) stands: watch::Receiver<LocalState>,
    pub(crate) wishes: mpsc::Sender<Wished>,
}

impl StatusBoard {
    /// How the change stands that runs, or ran last.
    pub fn status(&self) -> RolloutStatus {
        let stands = self.stands.borrow().clone();
        let own = stands.wanted.as_ref().map_or("", |wanted| side(wanted.side)).to_owned();
        RolloutStatus {
            target_side: own,
            leader: stands.leader,
            ..RolloutStatus::from_document(&stands.document, &stands.known)
        }
    }

    /// All changes, the latest last.
    pub fn history(&self) -> Vec<PastChange> {
        self.stands.borrow().document.history()
    }

    /// Where this balancer is to be; `None`: there was no change.
    pub fn target(&self) -> Option<TargetStatus> {
        let stands = self.stands.borrow();
        let MemberTarget { number, step, side: of, program, state_description: word } =
            stands.wanted.clone()?;
        let runs = stands.document.change.as_ref().is_some_and(Change::is_active);
        let program = program.map(|(path, digest)| TargetProgram { path, digest });
        Some(TargetStatus {
            number,
            step,
            side: side(of).into(),
            is_active: runs,
            program,
            state_description: word,
        })
    }

    /// Why no settings may be proposed: some are changed in stages.
    pub fn settings_lock_reason(&self) -> Option<String> {
        let stands = self.stands.borrow();
        let change = stands.document.change.as_ref().filter(|change| change.is_active())?;
        matches!(change.content, Content::Settings { .. }).then(|| {
            let number = change.rollout.number;
            format!("settings are changed in stages (change {number}): maplehook rollout status, or undo")
        })
    }

    /// An operator's wish.
    pub async fn request(&self, wish: OperatorRequest) -> Reply {
        let (reply, ended) = oneshot::channel();
        if self.wishes.try_send((wish, reply)).is_err() {
            return Reply::Unavailable("too many wishes are under way".into());
        }
        match timeout(WISH, ended).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Unavailable("no answer in time: it may be done, or not; ask for its status".into()),
        }
    }
}
