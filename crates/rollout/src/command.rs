//! What is said to a change, and why it may change nothing.

use maplehook_canary::Side;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a verdict says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Judged {
    /// The stage is not worse.
    Well,
    /// It is.
    Worse(String),
    /// Both sides have trouble.
    Shared(String),
    /// They have none any more.
    Clear,
    /// There was too little for too long.
    Short(String),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// It begins, or goes on after it was held.
    Go {
        /// The step that is known.
        step: u64,
    },
    /// It is held by an operator.
    Hold {
        /// The step that is known.
        step: u64,
    },
    /// It is undone.
    Undo {
        /// The step that is known.
        step: u64,
        /// Why.
        why: String,
    },
    /// A member says on which side it is.
    Stands {
        /// Who.
        name: String,
        /// Where.
        side: Side,
        /// The latest step that it has heard of: one that has not heard of an undoing may still change.
        heard: u64,
    },
    /// The stage is judged.
    Judge {
        /// The step that is known.
        step: u64,
        /// The stage.
        stage: usize,
        /// What the verdict is.
        judged: Judged,
    },
    /// The time in which all should have gone back is over.
    GiveUp {
        /// The step that is known.
        step: u64,
    },
}

/// Why a command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refused {
    /// Something else came first.
    Late {
        /// The step that holds.
        step: u64,
    },
    /// Not in this state.
    State(String),
    /// The stage is not changed yet.
    Unplaced {
        /// Who is missing.
        who: Vec<String>,
    },
    /// There is no such member.
    Unknown(String),
    /// Going back is not possible any more.
    Floor(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late { step } => write!(f, "something else came first: step {step} holds"),
            Self::State(word) => write!(f, "not while it is {word}"),
            Self::Unplaced { who } => write!(f, "not changed yet: {}", who.join(", ")),
            Self::Unknown(name) => write!(f, "there is no balancer {name:?}"),
            Self::Floor(why) => write!(f, "there is no way back: {why}"),
        }
    }
}
