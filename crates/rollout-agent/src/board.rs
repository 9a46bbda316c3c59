//! What operators and whoever starts programs are answered: from what stands when they ask.

use crate::document::{Change, Content, Document, Past};
use crate::member::Wanted;
use crate::shown::{Shown, side};
use crate::talk::{Reply, Wish};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// How long an operator waits for a wish.
const WISH: Duration = Duration::from_millis(3500);

/// How it stands here, as the thread knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stands {
    /// What was told last.
    pub document: Arc<Document>,
    /// Where this balancer is to be.
    pub wanted: Option<Wanted>,
    /// What the leader has told of the stage that runs.
    pub known: Vec<String>,
    /// The leader.
    pub leader: Option<String>,
}

/// Where this balancer is to be: what `GET /control/rollout/own` answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Own {
    /// The change's number.
    pub number: u64,
    /// Counts what has happened to it.
    pub step: u64,
    /// `old` or `new`.
    pub side: String,
    /// Whether the change is not over yet.
    pub runs: bool,
    /// The program that `new` is, where one changes.
    pub program: Option<OwnProgram>,
    /// The state, in words.
    pub word: String,
}

/// A program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnProgram {
    /// Its path.
    pub path: String,
    /// SHA-256 of its bytes, in hexadecimal.
    pub digest: String,
}

pub(crate) type Wished = (Wish, oneshot::Sender<Reply>);

/// Answers, on any thread.
#[derive(Clone)]
pub struct Board {
    pub(crate) stands: watch::Receiver<Stands>,
    pub(crate) wishes: mpsc::Sender<Wished>,
}

impl Board {
    /// How the change stands that runs, or ran last.
    pub fn shown(&self) -> Shown {
        let stands = self.stands.borrow().clone();
        let own = stands.wanted.as_ref().map_or("", |wanted| side(wanted.side)).to_owned();
        Shown { own, leader: stands.leader, ..Shown::of(&stands.document, &stands.known) }
    }

    /// All changes, the latest last.
    pub fn history(&self) -> Vec<Past> {
        self.stands.borrow().document.history()
    }

    /// Where this balancer is to be; `None`: there was no change.
    pub fn own(&self) -> Option<Own> {
        let stands = self.stands.borrow();
        let Wanted { number, step, side: of, program, word } = stands.wanted.clone()?;
        let runs = stands.document.change.as_ref().is_some_and(Change::runs);
        let program = program.map(|(path, digest)| OwnProgram { path, digest });
        Some(Own { number, step, side: side(of).into(), runs, program, word })
    }

    /// Why no settings may be proposed: some are changed in stages.
    pub fn shuts_settings(&self) -> Option<String> {
        let stands = self.stands.borrow();
        let change = stands.document.change.as_ref().filter(|change| change.runs())?;
        matches!(change.content, Content::Settings { .. }).then(|| {
            let number = change.rollout.number;
            format!("settings are changed in stages (change {number}): maplehook rollout status, or undo")
        })
    }

    /// An operator's wish.
    pub async fn wish(&self, wish: Wish) -> Reply {
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
