//! The handle by which operators' requests reach the consensus thread, and the status that comes back with each reply.

use crate::messages::{AdminReply, AdminRequest};
use maplehook_versions::Phase;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The status of this member.
#[derive(Clone, Debug)]
pub struct LocalStatus {
    /// The number of the version that this member acts on; 0 if there is none.
    pub active_version: u64,
    /// The epoch that this member acts on.
    pub epoch: u64,
    /// The phase that this member was last told.
    pub phase: Phase,
    /// The digest of the active version, or of the member's own file before the first version.
    pub digest: String,
    /// The remaining time of the lease; `None` if there is none or it has expired.
    pub lease_remaining: Option<Duration>,
    /// Whether the member acts without a lease.
    pub lacks_lease: bool,
    /// The leader, as far as this member knows.
    pub leader: Option<String>,
    /// What prevents this member from voting or from applying a version, if anything does.
    pub voter_problem: Option<String>,
}

/// A request with the channel for its reply.
pub(crate) type AdminCall = (AdminRequest, oneshot::Sender<(LocalStatus, AdminReply)>);

/// Sends operators' requests to the consensus thread.
#[derive(Clone)]
pub struct AdminClient(pub(crate) mpsc::Sender<AdminCall>);

impl AdminClient {
    /// Sends a request and waits for its reply. Returns `None` if the thread does not answer.
    pub async fn request(&self, request: AdminRequest) -> Option<(LocalStatus, AdminReply)> {
        let (reply_to, reply) = oneshot::channel();
        self.0.try_send((request, reply_to)).ok()?;
        reply.await.ok()
    }
}
