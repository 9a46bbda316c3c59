//! Progress of a final answer: by when it has to end, in whatever form it comes.

use crate::parts::exchange_time::ExchangeTime;
use maplehook_core::exchange_time::LateWait;
use maplehook_core::unsized_answer::UnsizedAnswer;
use std::time::Duration;
use tokio::time::Instant;

/// What an answer's head says of its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerLength {
    /// Stated, and short: the time of the answer is that of its last byte.
    Short,
    /// Stated, and long: the time of the answer is that of its first bytes.
    Long,
    /// Not stated. The answer is short up to `max_short_bytes`; `None` if it may last as long as it comes,
    /// however short it is.
    Unstated {
        /// Longest short answer, in bytes.
        max_short_bytes: Option<u64>,
    },
}

/// Progress of a final answer, from its head on. It owns the time by which the answer has to end, whether the
/// answer is held in memory or passed on while it comes.
#[derive(Debug)]
pub struct AnswerProgress {
    head_at: Instant,
    length: AnswerLength,
    answer: UnsizedAnswer,
    late_wait: LateWait,
    time: ExchangeTime,
}

impl AnswerProgress {
    /// Starts the progress of an answer whose head has come.
    pub fn new(length: AnswerLength, time: ExchangeTime) -> Self {
        Self {
            head_at: Instant::now(),
            length,
            answer: UnsizedAnswer::default(),
            late_wait: LateWait::default(),
            time,
        }
    }

    /// Records that the upstream is waited for.
    pub fn on_wait(&mut self) {
        let now = self.head_at.elapsed();
        self.answer.on_wait(now);
        self.late_wait.on_wait(now);
    }

    /// Records that `bytes` were received.
    pub fn on_data(&mut self, bytes: usize) {
        let now = self.head_at.elapsed();
        let end_by = self.since_head(self.end_by());
        self.late_wait.on_data(now, end_by);
        self.answer.on_data(now, bytes);
    }

    /// Returns true if the answer may be passed on though its time has come.
    pub fn may_go_on(&self) -> bool {
        self.may_last() || self.answer.is_coming(self.head_at.elapsed())
    }

    /// Returns true if the answer must be passed on once answers have to have begun, though it has stopped.
    pub fn may_become_long(&self) -> bool {
        self.may_last() || self.answer.may_become_long()
    }

    /// Returns when the answer is cut off unless more of it comes; `None` if it may go on, or if nobody waits
    /// for the upstream now.
    pub fn cut_off_at(&self) -> Option<Instant> {
        let end_by = self.since_head(self.end_by());
        let short_by = self.late_wait.cut_off_at(end_by)?;
        let cut_off_at = match self.length {
            AnswerLength::Short => short_by,
            AnswerLength::Unstated { max_short_bytes: Some(most) } if self.answer.received() <= most => {
                self.answer.cut_off_at(end_by)?.max(short_by)
            }
            AnswerLength::Long | AnswerLength::Unstated { .. } => return None,
        };
        Some(self.head_at + cut_off_at)
    }

    /// Returns true if the answer may last as long as it comes.
    fn may_last(&self) -> bool {
        matches!(self.length, AnswerLength::Long | AnswerLength::Unstated { max_short_bytes: None })
    }

    /// Returns by when the answer has to end if it is short.
    fn end_by(&self) -> Instant {
        if self.length == AnswerLength::Short || self.may_become_long() {
            self.time.end_by()
        } else {
            self.time.begin_held_by()
        }
    }

    fn since_head(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.head_at)
    }
}
