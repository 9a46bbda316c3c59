//! A balancer's part in changes in stages as whoever serves sees it: a thread that is started, watched, and ends.

use crate::runner::Runner;
use crate::status_board::{LocalState, StatusBoard};
use maplehook_canary::{IntervalReport, Side};
use maplehook_config::Proxy;
use maplehook_consensus::{ActiveVersion, AdminClient, PartChannels, SharedDocumentStatus};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Wishes that may be under way.
pub(crate) const WISHES_MOST: usize = 16;
/// Reports that may wait for the thread.
const REPORTS: usize = 4;

/// A balancer's part in the agreement, as far as changes in stages go.
pub struct Link {
    /// How it stands with what is agreed on.
    pub document_status: watch::Receiver<SharedDocumentStatus>,
    /// The ways.
    pub channels: PartChannels,
    /// The version in force.
    pub active_version: watch::Receiver<ActiveVersion>,
    /// Takes proposals.
    pub admin: AdminClient,
}

/// What it takes part with.
pub struct Setup {
    /// Its name.
    pub name: String,
    /// All balancers that there may be, this one among them.
    pub names: Vec<String>,
    /// Its zone.
    pub zone: String,
    /// The operator's file, into which texts of settings are read.
    pub file: String,
    /// The own program's SHA-256, in hexadecimal, where whoever started it has said so.
    pub digest: Option<String>,
    /// How often processes of this balancer have crashed, where whoever started it has said so.
    pub crashes: u32,
    /// The agreement.
    pub link: Link,
}

/// By what settings to act while they are changed in stages.
#[derive(Clone, Debug, PartialEq)]
pub struct StagedSettings {
    /// The change.
    pub number: u64,
    /// The step that this is by.
    pub step: u64,
    /// The side.
    pub side: Side,
    /// The label of the version that it takes the place of: it counts as long as that one is in force.
    pub base_version: String,
    /// The rules.
    pub rules: Arc<Proxy>,
}

/// What the thread that serves has come to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedSide {
    /// The change.
    pub number: u64,
    /// The step.
    pub step: u64,
    /// The side.
    pub side: Side,
}

/// What passes between the two threads, at the one that serves.
pub struct ServingChannels {
    /// By what to act; `None`: by the version in force alone.
    pub staged: watch::Receiver<Option<Arc<StagedSettings>>>,
    /// What is acted on.
    pub applied: watch::Sender<Option<AppliedSide>>,
    /// Over which interval to count; `None`: nothing is counted.
    pub report_interval: watch::Receiver<Option<Duration>>,
    /// What was counted.
    pub reports: mpsc::Sender<IntervalReport>,
}

/// A balancer's part in changes in stages; it ends when this is dropped.
pub struct Agent {
    /// Answers operators and whoever starts programs.
    pub status_board: StatusBoard,
    /// For the thread that serves; taken once.
    pub serving: Option<ServingChannels>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Agent {
    /// Begins.
    pub fn start(setup: Setup) -> Result<Self, String> {
        let (stands, shows) = watch::channel(LocalState::default());
        let (staged_to, staged) = watch::channel(None);
        let (acked, acks) = watch::channel(None);
        let (counts_to, counts) = watch::channel(None);
        let (counted, reports) = mpsc::channel(REPORTS);
        let (wishes, wished) = mpsc::channel(WISHES_MOST);
        let (stop, stopped) = oneshot::channel();
        let board = StatusBoard { stands: shows, wishes };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let runner = Runner::new(setup, stands, staged_to, acks, counts_to);
        let thread = std::thread::Builder::new()
            .name("staging".into())
            .stack_size(1024 * 1024)
            .spawn(move || runtime.block_on(runner.run(reports, wished, stopped)))
            .map_err(|e| e.to_string())?;
        let serving =
            Some(ServingChannels { staged, applied: acked, report_interval: counts, reports: counted });
        Ok(Self { status_board: board, serving, stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
