//! Outcomes of attempts and probes.

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream served the request.
    Ok,
    /// The upstream answered with an error; the request may have run.
    Error,
    /// The upstream rejected the request without running it, because its queue was full or it is draining.
    Rejected,
    /// No answer arrived in time; the request may have run, or may still run.
    TimedOut,
    /// No connection was established in time; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The upstream reported that it is overloaded; the request may have run nevertheless.
    Overloaded,
}

impl Outcome {
    /// Returns true if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// Returns the stable lower-case name of the outcome in metrics.
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
