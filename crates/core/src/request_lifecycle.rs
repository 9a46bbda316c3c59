//! Life cycle of one request, from its arrival until its final answer has left the process.
//!
//! A request has one owner at a time: the attempts, until one of them has given the final answer, then the
//! writer of that answer, until its last byte has left. Whoever acts for the request asks its life cycle
//! first: whether an attempt may still begin, and what becomes of an answer whose body fails.

use std::cell::Cell;

/// Stage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// The final answer is not known. Attempts may begin.
    #[default]
    Open,
    /// The final answer is known, and nothing of it was given to the writer.
    Answered,
    /// The writer has the head of the answer, which has not left the process.
    HeadQueued,
    /// The head of the answer has left the process.
    Begun,
    /// The answer has left the process, or nobody waits for it any more.
    Ended,
}

/// What becomes of a final answer whose body fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenAnswer {
    /// Nothing of it has left: a failure with a status takes its place.
    Replaced,
    /// Its head has to leave before the connection ends, or the client would see no answer at all.
    AwaitsHead,
    /// The connection ends, so that the client sees that the answer is not whole.
    BrokenOff,
}

impl BrokenAnswer {
    /// Returns the name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::AwaitsHead => "awaits_head",
            Self::BrokenOff => "broken_off",
        }
    }
}

/// Life cycle of one request. It only moves forward: what comes late changes nothing.
#[derive(Debug, Default)]
pub struct RequestLifecycle {
    stage: Cell<Stage>,
}

impl RequestLifecycle {
    fn advance(&self, stage: Stage) {
        self.stage.set(self.stage.get().max(stage));
    }

    /// Returns true if the first byte of an attempt may be written.
    pub fn may_begin_attempt(&self) -> bool {
        self.stage.get() == Stage::Open
    }

    /// Records that the final answer is known.
    pub fn on_answered(&self) {
        self.advance(Stage::Answered);
    }

    /// Records that the writer has the head of the answer.
    pub fn on_head_queued(&self) {
        self.advance(Stage::HeadQueued);
    }

    /// Records that everything that the writer had has left the process.
    pub fn on_flushed(&self) {
        if self.stage.get() == Stage::HeadQueued {
            self.advance(Stage::Begun);
        }
    }

    /// Records that the answer has left the process, or that the client has left.
    pub fn on_ended(&self) {
        self.advance(Stage::Ended);
    }

    /// Returns what becomes of the final answer if its body fails now.
    pub fn broken_answer(&self) -> BrokenAnswer {
        match self.stage.get() {
            Stage::Open | Stage::Answered => BrokenAnswer::Replaced,
            Stage::HeadQueued => BrokenAnswer::AwaitsHead,
            Stage::Begun | Stage::Ended => BrokenAnswer::BrokenOff,
        }
    }
}
