//! Handle of the failover agent: starts and stops its thread.

use crate::config::Config;
use crate::history::HistoryWriter;
use crate::rates::CounterSnapshot;
use crate::runner::Runner;
use crate::status_board::{LocalState, StatusBoard};
use maplehook_consensus::{PartChannels, SharedDocumentStatus};
use maplehook_failover::EffectiveRouting;
use maplehook_transport::MeasuredRtts;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot, watch};

/// Maximum number of pending operator requests.
pub(crate) const MAX_PENDING_REQUESTS: usize = 16;

/// Channels between the agent and the consensus service.
pub struct Link {
    /// Status of the shared document.
    pub document_status: watch::Receiver<SharedDocumentStatus>,
    /// Reports the number of the state that this balancer acts on.
    pub applied_number: watch::Sender<u64>,
    /// Channels for messages and proposals.
    pub channels: PartChannels,
}

/// Identity, settings and channels of a failover agent.
pub struct Setup {
    /// Balancer name in reports and histories.
    pub name: String,
    /// Generation of this process; rises with each start.
    pub generation: u64,
    /// Current configuration, updated by each version; `None` if the version has no zones.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// Counter snapshots from the serving thread.
    pub counters: watch::Receiver<CounterSnapshot>,
    /// Connection to the consensus service, if configured.
    pub link: Option<Link>,
    /// Round-trip times to the peers, if this balancer is in a tier.
    pub rtts: Option<watch::Receiver<MeasuredRtts>>,
    /// Number of balancers, including this one.
    pub balancer_count: usize,
    /// True while this balancer accepts clients.
    pub ready: Arc<AtomicBool>,
    /// Path of the history file.
    pub history: Option<PathBuf>,
}

/// Handle of the running agent; dropping the handle stops the thread.
pub struct Agent {
    /// Active routing; `None` before the first routing and for a version without zones.
    pub active_routing: watch::Receiver<Option<Arc<ActiveRouting>>>,
    /// Answers operators and routers.
    pub status_board: StatusBoard,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Routing that this balancer acts on.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRouting {
    /// Configuration that the routing was computed from.
    pub config: Arc<Config>,
    /// Destination shares by rule.
    pub routing: EffectiveRouting,
}

impl Agent {
    /// Starts the agent thread.
    pub fn start(setup: Setup) -> Result<Self, String> {
        let writer = match &setup.history {
            Some(path) => HistoryWriter::open(path, &setup.name)
                .map_err(|e| format!("operator.history: {}: {e}", path.display()))?,
            None => HistoryWriter::default(),
        };
        let (local_state, local_state_receiver) = watch::channel(LocalState::default());
        let (routing_sender, active_routing) = watch::channel(None);
        let (requests, request_receiver) = mpsc::channel(MAX_PENDING_REQUESTS);
        let (stop, stop_receiver) = oneshot::channel();
        let epoch = Instant::now();
        let board = StatusBoard {
            local_state: local_state_receiver,
            document_status: setup.link.as_ref().map(|link| link.document_status.clone()),
            requests,
            past_plans: Arc::new(Mutex::new(VecDeque::new())),
            writer: writer.clone(),
            epoch,
            ready: Arc::clone(&setup.ready),
        };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let runner = Runner::new(setup, board.clone(), local_state, routing_sender);
        let thread = std::thread::Builder::new()
            .name("places".into())
            .stack_size(1024 * 1024)
            .spawn(move || runtime.block_on(runner.run(request_receiver, stop_receiver)))
            .map_err(|e| e.to_string())?;
        Ok(Self { active_routing, status_board: board, stop: Some(stop), thread: Some(thread) })
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
