//! A balancer's part in what is agreed on, as whoever serves sees it: a thread that is started, asked, and ends.

use crate::active_version::{ActiveVersion, LocalStatus, initial};
use crate::document_parts::PartKind;
use crate::messages::{AdminReply, AdminRequest};
use crate::runner::{Inputs, Runner, read};
use crate::shared_document::{PartChannels, SharedDocumentStatus, part_channels};
use maplehook_cluster::Name;
use maplehook_transport::PeerChannel;
use maplehook_versions::lease_manager::{LeaseExpiryPolicy, LeaseTimes};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread::JoinHandle;
use tokio::sync::{mpsc, oneshot, watch};

/// Who agrees, and how.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// This balancer.
    pub local_name: Name,
    /// The voters.
    pub voters: Vec<Name>,
    /// All that there may be, this one among them.
    pub members: BTreeSet<Name>,
    /// The times.
    pub lease_times: LeaseTimes,
    /// What one does that has lost touch.
    pub expiry_policy: LeaseExpiryPolicy,
    /// Where a voter keeps its log.
    pub directory: Option<PathBuf>,
    /// This balancer's file.
    pub file: String,
}

pub(crate) type AdminCall = (AdminRequest, oneshot::Sender<(LocalStatus, AdminReply)>);

/// A balancer's part, on a thread of its own; it ends when this is dropped.
pub struct ConsensusService {
    /// By what to act.
    pub active_version: watch::Receiver<ActiveVersion>,
    /// What the thread that serves acts on.
    pub applied_epoch: watch::Sender<u64>,
    /// How it stands with the common document's part of places.
    pub failover_status: watch::Receiver<SharedDocumentStatus>,
    /// The number of that part that the thread that serves acts on.
    pub applied_document: watch::Sender<u64>,
    /// The ways of whoever makes that part; taken once. Where they are dropped this balancer has no part in the common document:
    /// it is told of none, and nobody waits for it.
    pub failover: Option<PartChannels>,
    /// How it stands with the common document's part of changes in stages.
    pub rollout_status: watch::Receiver<SharedDocumentStatus>,
    /// The ways of whoever makes that part; taken once.
    pub rollout: Option<PartChannels>,
    admin_calls: mpsc::Sender<AdminCall>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Tells operators, and takes their wishes.
#[derive(Clone)]
pub struct AdminClient(mpsc::Sender<AdminCall>);

impl AdminClient {
    /// `None` where the thread does not answer.
    pub async fn request(&self, op: AdminRequest) -> Option<(LocalStatus, AdminReply)> {
        let (reply, ended) = oneshot::channel();
        self.0.try_send((op, reply)).ok()?;
        ended.await.ok()
    }
}

impl ConsensusService {
    /// Begins to agree. The file is known to be good.
    pub fn start(setup: ConsensusConfig, talk: PeerChannel) -> Result<Self, String> {
        let (_, here) = watch::channel(true);
        Self::start_when(setup, talk, here)
    }

    /// The same, once this balancer is `here`.
    pub fn start_when(
        setup: ConsensusConfig,
        talk: PeerChannel,
        mut here: watch::Receiver<bool>,
    ) -> Result<Self, String> {
        let (shared, _) = maplehook_config::shared(&setup.file).map_err(|e| e.to_string())?;
        let own = read(&setup.file, &shared)?;
        let (acting_to, acting) = watch::channel(initial(&own, setup.expiry_policy));
        let (applied, applies) = watch::channel(0);
        let (acts, acted) = watch::channel(0);
        let (places, standing, inner) = part_channels();
        let (rollout, rollout_standing, staged) = part_channels();
        let (asks, asked) = mpsc::channel(32);
        let (stop, mut stopped) = oneshot::channel();
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
        let thread = std::thread::Builder::new()
            .name("agreement".into())
            .stack_size(1024 * 1024)
            .spawn(move || {
                runtime.block_on(async {
                    // Until then another process may hold the directory.
                    tokio::select! {
                        here = here.wait_for(|here| *here) => if here.is_err() { return },
                        _ = &mut stopped => return,
                    }
                    let tells =
                        [(PartKind::Failover, inner.senders), (PartKind::Rollout, staged.senders)].into();
                    let runner = Runner::new(setup, shared, own, talk.outgoing, acting_to, tells);
                    let (places, rollout) = (inner.receivers, staged.receivers);
                    let ears = Inputs {
                        heard: talk.incoming,
                        applies,
                        acts: acted,
                        asked,
                        places,
                        rollout,
                        stopped,
                    };
                    runner.run(ears).await;
                });
            })
            .map_err(|e| e.to_string())?;
        Ok(Self {
            active_version: acting,
            applied_epoch: applied,
            failover_status: standing,
            applied_document: acts,
            failover: Some(places),
            rollout_status: rollout_standing,
            rollout: Some(rollout),
            admin_calls: asks,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// By which operators ask.
    pub fn admin_client(&self) -> AdminClient {
        AdminClient(self.admin_calls.clone())
    }
}

impl Drop for ConsensusService {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
