//! How attempts and probes end.

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream served the request.
    Ok,
    /// The upstream answered with an error; the request may have run.
    Error,
    /// The upstream turned the request away unseen: its queue was full, or it drains.
    Rejected,
    /// No answer came in time; the request may have run, or may still run.
    TimedOut,
    /// No connection was made in time; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was not sent at all.
    NotSent,
    /// The upstream said that it is overloaded; the request may have run all the same.
    Overloaded,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// Returns the stable lower-case name that metrics use for the outcome.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Error => "error",
            Self::Rejected => "rejected",
            Self::TimedOut => "timed_out",
            Self::ConnectFailed => "connect_failed",
            Self::Reset => "reset",
            Self::Cancelled => "cancelled",
            Self::NotSent => "not_sent",
            Self::Overloaded => "overloaded",
        }
    }
}
