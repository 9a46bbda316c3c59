//! The consensus service of one member: a thread that is started, asked, and stopped by dropping the handle.

use crate::active_version::ActiveVersion;
use crate::admin::{AdminCall, AdminClient};
use crate::config::ConsensusConfig;
use crate::document_parts::PartKind;
use crate::error::{RulesError, StartError};
use crate::event_loop::Inputs;
use crate::part_channels::{PartChannels, PartEndpoints, SharedDocumentStatus};
use crate::rules::parse_rules;
use crate::runner::Runner;
use maplehook_transport::PeerChannel;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot, watch};

/// Operators' requests that may be queued.
const ADMIN_QUEUE: usize = 32;
const THREAD_NAME: &str = "agreement";
const STACK_BYTES: usize = 1024 * 1024;

/// The handle of the consensus thread, which ends when this is dropped.
pub struct ConsensusService {
    /// The version that this member acts on.
    pub active_version: watch::Receiver<ActiveVersion>,
    /// The epoch that the thread that serves requests acts on, to be set by it.
    pub applied_epoch: watch::Sender<u64>,
    /// The status of the failover part of the shared document.
    pub failover_status: watch::Receiver<SharedDocumentStatus>,
    /// The number of that part that the thread that serves requests acts on, to be set by it.
    pub applied_document: watch::Sender<u64>,
    /// The channels of the failover part's proposer, to be taken once. If they are dropped, this member has no part in the shared
    /// document: it receives none, and no other member waits for it.
    pub failover: Option<PartChannels>,
    /// The status of the rollout part of the shared document.
    pub rollout_status: watch::Receiver<SharedDocumentStatus>,
    /// The channels of the rollout part's proposer, to be taken once.
    pub rollout: Option<PartChannels>,
    admin_calls: mpsc::Sender<AdminCall>,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ConsensusService {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// If the member's file is invalid, or the thread can't be created.
    pub fn start(config: ConsensusConfig, talk: PeerChannel) -> Result<Self, StartError> {
        let (_, ready) = watch::channel(true);
        Self::start_when(config, talk, ready)
    }

    /// Starts the thread, which takes part once `ready` is true: until then another process may hold the directory.
    ///
    /// # Errors
    ///
    /// If the member's file is invalid, or the thread can't be created.
    pub fn start_when(
        config: ConsensusConfig,
        talk: PeerChannel,
        ready: watch::Receiver<bool>,
    ) -> Result<Self, StartError> {
        let (shared_text, _) = maplehook_config::shared(&config.file).map_err(RulesError::File)?;
        let file_rules = parse_rules(&config.file, &shared_text)?;
        let initial = ActiveVersion::initial(&file_rules, config.expiry_policy);
        let (active_sender, active_version) = watch::channel(initial);
        let (applied_epoch, applied_epoch_receiver) = watch::channel(0);
        let (applied_document, applied_document_receiver) = watch::channel(0);
        let (failover, rollout) = (PartEndpoints::new(), PartEndpoints::new());
        let (admin_calls, admin_receiver) = mpsc::channel(ADMIN_QUEUE);
        let (shutdown, shutdown_receiver) = oneshot::channel();
        let inputs = Inputs {
            messages: talk.incoming,
            applied_epoch: applied_epoch_receiver,
            applied_document: applied_document_receiver,
            admin_calls: admin_receiver,
            failover: failover.receivers,
            rollout: rollout.receivers,
            shutdown: shutdown_receiver,
        };
        let part_senders =
            [(PartKind::Failover, failover.senders), (PartKind::Rollout, rollout.senders)].into();
        let new_runner =
            move || Runner::new(config, shared_text, file_rules, talk.outgoing, active_sender, part_senders);
        let thread = spawn(ready, inputs, new_runner)?;
        Ok(Self {
            active_version,
            applied_epoch,
            failover_status: failover.status,
            applied_document,
            failover: Some(failover.proposer),
            rollout_status: rollout.status,
            rollout: Some(rollout.proposer),
            admin_calls,
            shutdown: Some(shutdown),
            thread: Some(thread),
        })
    }

    /// Returns a handle for operators' requests.
    pub fn admin_client(&self) -> AdminClient {
        AdminClient(self.admin_calls.clone())
    }
}

fn spawn(
    mut ready: watch::Receiver<bool>,
    mut inputs: Inputs,
    new_runner: impl FnOnce() -> Runner + Send + 'static,
) -> Result<JoinHandle<()>, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name(THREAD_NAME.into()).stack_size(STACK_BYTES);
    let run = move || {
        runtime.block_on(async {
            tokio::select! {
                ready = ready.wait_for(|ready| *ready) => if ready.is_err() { return },
                _ = &mut inputs.shutdown => return,
            }
            let mut runner = new_runner();
            runner.open_voter();
            runner.run(inputs).await;
        });
    };
    Ok(thread.spawn(run)?)
}

impl Drop for ConsensusService {
    fn drop(&mut self) {
        drop(self.shutdown.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
