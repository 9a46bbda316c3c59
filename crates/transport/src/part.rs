//! What a balancer takes part with, and how it stands.

use crate::frames::Message;
use crate::hub;
use crate::secret::Secret;
use maplehook_cluster::words::Effect;
use maplehook_cluster::{Name, Program, Seen};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Messages of topics other than words, to and from other balancers. What does not fit into the queues is dropped: whoever
/// talks must be able to say it again.
pub struct Talk {
    /// What goes to others.
    pub say: mpsc::Sender<(Name, Message)>,
    /// What comes from them.
    pub heard: mpsc::Receiver<(Name, Message)>,
}

/// What a balancer takes part with.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its name.
    pub name: Name,
    /// Where it listens, for datagrams and connections.
    pub listen: SocketAddr,
    /// What the tier shares.
    pub secret: Secret,
    /// Its own directory, if it has one.
    pub state: Option<PathBuf>,
    /// The others, each at the address that this one is to use.
    pub peers: BTreeMap<Name, SocketAddr>,
    /// Its program.
    pub program: Program,
    /// Whether it waits for its port, which another process of its own may still hold.
    pub waits: bool,
}

/// How it stands.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its name.
    pub name: Name,
    /// Its start.
    pub start: u64,
    /// Its program.
    pub program: Program,
    /// Since when it takes part.
    pub since: Duration,
    /// Whether it speaks: not after a later start of its name was seen.
    pub speaks: bool,
    /// The others that were seen.
    pub members: Vec<Seen>,
    /// Those of its file that are not here.
    pub away: Vec<Name>,
    /// Datagrams.
    pub datagrams: maplehook_cluster::Counts,
    /// Datagrams that nobody with the secret has sent.
    pub forged: u64,
    /// Connections.
    pub links: hub::Counts,
    /// By how much its own health stretches its probes.
    pub health: u32,
    /// Upstreams that there are words of.
    pub words: usize,
}

/// What the words of others come to, on a clock that begins at `epoch`.
#[derive(Clone, Debug)]
pub struct Told {
    /// Where the clock begins.
    pub epoch: Instant,
    /// What they come to.
    pub effects: Arc<Vec<Effect>>,
}
