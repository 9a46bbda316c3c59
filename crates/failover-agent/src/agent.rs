//! A balancer's part in places as whoever serves sees it: a thread that is started, watched, and ends.

use crate::config::Config;
use crate::history::Writer;
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

/// Wishes that may be under way.
pub(crate) const WISHES_MOST: usize = 16;

/// A balancer's part in the agreement, as far as places go.
pub struct Link {
    /// How it stands with what is agreed on.
    pub document_status: watch::Receiver<SharedDocumentStatus>,
    /// By which number is acted.
    pub applied_number: watch::Sender<u64>,
    /// The ways.
    pub channels: PartChannels,
}

/// What it takes part with.
pub struct Setup {
    /// Its name, in reports and histories.
    pub name: String,
    /// Its start, which rises with each.
    pub generation: u64,
    /// What is in force; another one whenever a version changes it. `None`: this version has no places.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// What is seen.
    pub counters: watch::Receiver<CounterSnapshot>,
    /// The agreement, where there is one.
    pub link: Option<Link>,
    /// Round trips to other balancers, where there is a tier.
    pub rtts: Option<watch::Receiver<MeasuredRtts>>,
    /// How many balancers there are, this one among them.
    pub balancer_count: usize,
    /// Whether this balancer takes clients.
    pub ready: Arc<AtomicBool>,
    /// The file that a history goes to.
    pub history: Option<PathBuf>,
}

/// A balancer's part in places; it ends when this is dropped.
pub struct Agent {
    /// By what to act; `None` before there is anything, and where the version has no places.
    pub active_routing: watch::Receiver<Option<Arc<ActiveRouting>>>,
    /// Answers operators and routers.
    pub status_board: StatusBoard,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What is acted on here.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRouting {
    /// What it rests on.
    pub config: Arc<Config>,
    /// Shares, rule by rule.
    pub routing: EffectiveRouting,
}

impl Agent {
    /// Begins.
    pub fn start(setup: Setup) -> Result<Self, String> {
        let writer = match &setup.history {
            Some(path) => Writer::open(path, &setup.name)
                .map_err(|e| format!("operator.history: {}: {e}", path.display()))?,
            None => Writer::default(),
        };
        let (stands, shows) = watch::channel(LocalState::default());
        let (acted_to, acted) = watch::channel(None);
        let (wishes, wished) = mpsc::channel(WISHES_MOST);
        let (stop, stopped) = oneshot::channel();
        let epoch = Instant::now();
        let board = StatusBoard {
            stands: shows,
            standing: setup.link.as_ref().map(|link| link.document_status.clone()),
            wishes,
            past: Arc::new(Mutex::new(VecDeque::new())),
            writer: writer.clone(),
            epoch,
            ready: Arc::clone(&setup.ready),
        };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let runner = Runner::new(setup, board.clone(), stands, acted_to);
        let thread = std::thread::Builder::new()
            .name("places".into())
            .stack_size(1024 * 1024)
            .spawn(move || runtime.block_on(runner.run(wished, stopped)))
            .map_err(|e| e.to_string())?;
        Ok(Self { active_routing: acted, status_board: board, stop: Some(stop), thread: Some(thread) })
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
