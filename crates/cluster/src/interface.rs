//! What a part in the tier is made with, what it takes and what it says.

use crate::identity::{Program, WIRE, Wire};
use crate::name::Name;
use crate::roster::{Apart, State};
use crate::window::Stale;
use crate::wire::Malformed;
use std::fmt;
use std::time::Duration;

/// Between two probes, as long as all goes well.
pub const PERIOD: Duration = Duration::from_millis(500);
/// What a balancer takes part with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: Name,
    /// The number of its start; see [`crate::start`].
    pub start: u64,
    /// The start on record before this one, if there is one: its late echo is no second process.
    pub before: Option<u64>,
    /// Its program.
    pub program: Program,
    /// What that speaks.
    pub wire: Wire,
    /// The others, as its file lists them.
    pub peers: Vec<Name>,
    /// Of all that is drawn.
    pub seed: u64,
}

impl Settings {
    /// This program, under a name.
    pub fn new(name: Name, start: u64, peers: Vec<Name>, seed: u64) -> Self {
        Self { name, start, before: None, program: Program::default(), wire: WIRE, peers, seed }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is here.
    Up(Name, u64),
    /// A member is believed dead, or has said that it goes.
    Down(Name, u64, State),
    /// This process was declared dead, and goes on under this start.
    Renewed(u64),
    /// There is a later start of this name: this process speaks no more.
    Superseded(u64),
    /// There is an earlier process of this name, of this start.
    Doubled(u64),
    /// This process was stopped for so long.
    Stopped(Duration),
    /// Somebody was seen who takes no part.
    Beside(Name, Apart),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram, without its MAC, for the address that the file has for this name.
    Send(Name, Vec<u8>),
    /// News.
    Happened(Event),
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It has not the form of one.
    Malformed,
    /// It is for somebody else.
    Misaddressed,
    /// It is under our own name.
    Own,
    /// It was seen before, or is of an earlier start.
    Stale(Stale),
    /// Its sender takes no part here.
    Apart(Apart),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not of the form of a datagram",
            Self::Misaddressed => "for somebody else",
            Self::Own => "under our own name",
            Self::Stale(Stale::Repeated) => "seen before",
            Self::Stale(Stale::EarlierStart) => "of an earlier start",
            Self::Apart(why) => why.words(),
        })
    }
}

impl From<Malformed> for Refused {
    fn from(Malformed: Malformed) -> Self {
        Self::Malformed
    }
}

/// Counts for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams refused.
    pub refused: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without MACs.
    pub sent_bytes: u64,
    /// Times that this process was declared dead while it lived.
    pub renewed: u64,
    /// Times that this process was found to have been stopped.
    pub stopped: u64,
}
