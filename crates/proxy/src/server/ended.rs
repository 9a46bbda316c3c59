//! Why the connections of clients end, for the log and the figures.

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its client has ended it.
    Left,
    /// It was said with the last answer that it would end.
    Answered,
    /// What came on it can't be read, or the network broke it.
    Broken,
    /// Its client has asked for nothing more for long.
    Rested,
    /// Its client has never sent anything.
    Silent,
    /// Its client has sent a part of a request and then nothing, or too little, of the rest.
    Stopped,
    /// Its client has left an answer unread for too long.
    Unread,
    /// Another connection needs its place.
    Displaced,
    /// The process ends.
    Leaving,
}

impl End {
    /// What figures and the log call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Answered => "answered",
            Self::Broken => "broken",
            Self::Rested => "rested",
            Self::Silent => "silent",
            Self::Stopped => "stopped",
            Self::Unread => "unread",
            Self::Displaced => "displaced",
            Self::Leaving => "leaving",
        }
    }
}
