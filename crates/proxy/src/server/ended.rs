//! Reasons for the end of client connections, as reported in the log and in metrics.

/// Reason for the end of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The client closed the connection.
    ClosedByClient,
    /// The last response announced that the connection would close.
    ClosedWithResponse,
    /// The client sent bytes that are not HTTP, or the network connection failed.
    ConnectionFailed,
    /// The client sent no further request before the idle timeout.
    Idle,
    /// The client never sent a byte.
    NothingReceived,
    /// The client sent part of a request, and then the rest too slowly or not at all.
    RequestStalled,
    /// The client left a response unread for too long.
    ResponseUnread,
    /// There was no memory for the request that the client was sending.
    OutOfMemory,
    /// The connection was closed to free its slot for another one.
    Evicted,
    /// The process is shutting down.
    Shutdown,
}

impl EndReason {
    /// Returns the name of the reason in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClosedByClient => "left",
            Self::ClosedWithResponse => "answered",
            Self::ConnectionFailed => "broken",
            Self::Idle => "rested",
            Self::NothingReceived => "silent",
            Self::RequestStalled => "stopped",
            Self::ResponseUnread => "unread",
            Self::OutOfMemory => "memory",
            Self::Evicted => "displaced",
            Self::Shutdown => "leaving",
        }
    }
}
