//! Handle of the rollout agent: starts and stops its thread.

use crate::runner::Runner;
use crate::status_board::{LocalState, StatusBoard};
use maplehook_canary::{IntervalReport, Side};
use maplehook_config::Proxy;
use maplehook_consensus::{ActiveVersion, AdminClient, PartChannels, SharedDocumentStatus};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Maximum number of pending operator requests.
pub(crate) const MAX_PENDING_REQUESTS: usize = 16;
/// Capacity of the queue of interval reports from the serving thread.
const REPORT_QUEUE_CAPACITY: usize = 4;

/// Channels between the agent and the consensus service.
pub struct Link {
    /// Status of the shared document.
    pub document_status: watch::Receiver<SharedDocumentStatus>,
    /// Channels for messages and proposals.
    pub channels: PartChannels,
    /// Version in force on this balancer, with its rules.
    pub active_version: watch::Receiver<ActiveVersion>,
    /// Client that proposes settings versions.
    pub admin: AdminClient,
}

/// Identity, local settings and channels of a rollout agent.
pub struct Setup {
    /// Name of this balancer in the tier.
    pub name: String,
    /// Names of all possible balancers, including this one.
    pub names: Vec<String>,
    /// Zone that this balancer runs in.
    pub zone: String,
    /// Operator's settings file, whose shared sections a change replaces.
    pub file: String,
    /// SHA-256 of the running program in hexadecimal, if the supervisor provided it.
    pub digest: Option<String>,
    /// Number of crashed processes of this balancer, if the supervisor provided it; otherwise 0.
    pub crashes: u32,
    /// Connection to the consensus service.
    pub link: Link,
}

/// Settings that this balancer applies during a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct StagedSettings {
    /// Number of the change.
    pub number: u64,
    /// Rollout step that set the target side.
    pub step: u64,
    /// Target side of this balancer.
    pub side: Side,
    /// Label of the version that these settings replace; the settings apply while that version is in force.
    pub base_version: String,
    /// Rules that replace those of the version in force.
    pub rules: Arc<Proxy>,
}

/// Side that the serving thread has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedSide {
    /// Number of the change.
    pub number: u64,
    /// Rollout step of the applied settings.
    pub step: u64,
    /// Side whose rules the serving thread uses.
    pub side: Side,
}

/// Serving thread's end of the channels to the agent thread.
pub struct ServingChannels {
    /// Settings to apply; `None` applies the version in force.
    pub staged: watch::Receiver<Option<Arc<StagedSettings>>>,
    /// Acknowledges the applied side.
    pub applied: watch::Sender<Option<AppliedSide>>,
    /// Interval over which requests are counted; `None` disables counting.
    pub report_interval: watch::Receiver<Option<Duration>>,
    /// Receives the counts of each interval.
    pub reports: mpsc::Sender<IntervalReport>,
}

/// Handle of the running agent; dropping the handle stops the thread.
pub struct Agent {
    /// Answers operators and the supervisor.
    pub status_board: StatusBoard,
    /// Channels for the serving thread, which takes them once.
    pub serving: Option<ServingChannels>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Agent {
    /// Starts the agent thread.
    pub fn start(setup: Setup) -> Result<Self, String> {
        let (local_state, local_state_receiver) = watch::channel(LocalState::default());
        let (staged_sender, staged) = watch::channel(None);
        let (applied, applied_receiver) = watch::channel(None);
        let (interval_sender, report_interval) = watch::channel(None);
        let (report_sender, report_receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let (requests, request_receiver) = mpsc::channel(MAX_PENDING_REQUESTS);
        let (stop, stop_receiver) = oneshot::channel();
        let board = StatusBoard { local_state: local_state_receiver, requests };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let runner = Runner::new(setup, local_state, staged_sender, applied_receiver, interval_sender);
        let thread = std::thread::Builder::new()
            .name("staging".into())
            .stack_size(1024 * 1024)
            .spawn(move || runtime.block_on(runner.run(report_receiver, request_receiver, stop_receiver)))
            .map_err(|e| e.to_string())?;
        let serving = Some(ServingChannels { staged, applied, report_interval, reports: report_sender });
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
