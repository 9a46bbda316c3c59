//! Admin API endpoints for configuration versions: `GET` and `POST /control/settings`.

use crate::request_signing::RequestVerifier;
use hyper::StatusCode;
use maplehook_consensus::messages::{AdminReply, AdminRequest, ClusterStatus};
use maplehook_consensus::{AdminClient, LocalStatus};
use maplehook_rollout_agent::StatusBoard as RolloutBoard;
use maplehook_versions::Phase;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Path of the endpoints.
pub const PATH: &str = "/control/settings";
/// Maximum size of an admin request's body, which can hold a complete configuration.
pub const MAX_BODY_BYTES: usize = 3 << 20;

/// Handlers of the settings endpoints.
pub struct SettingsApi {
    verifier: Arc<RequestVerifier>,
    admin_client: AdminClient,
    rollout_board: Option<RolloutBoard>,
}

impl SettingsApi {
    /// Creates the handlers. While `rollout_board` reports a rollout of settings, proposals and undos are rejected.
    pub fn new(
        verifier: Arc<RequestVerifier>,
        admin_client: AdminClient,
        rollout_board: Option<RolloutBoard>,
    ) -> Self {
        Self { verifier, admin_client, rollout_board }
    }

    /// Returns the response to `GET /control/settings` with the given query string.
    pub async fn handle_get(&self, query: Option<&str>) -> (StatusCode, String) {
        let request = match query {
            None | Some("") => AdminRequest::Status,
            Some("history") => AdminRequest::History,
            Some(query) => match query.strip_prefix("show=").and_then(|number| number.parse().ok()) {
                Some(number) => AdminRequest::Show { number },
                None => return (StatusCode::BAD_REQUEST, "?history or ?show=NUMBER\n".into()),
            },
        };
        self.submit(request).await
    }

    /// Verifies and submits the admin request in a `POST`.
    pub async fn handle_post(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        if !header.is_some_and(|header| self.verifier.is_signature_valid(header, body)) {
            let why = "not signed with the tier's secret within the last minute, or made before\n";
            return (StatusCode::FORBIDDEN, why.into());
        }
        match serde_json::from_slice(body) {
            Ok(request @ (AdminRequest::Propose { .. } | AdminRequest::Undo)) => {
                match self.rollout_board.as_ref().and_then(RolloutBoard::settings_lock_reason) {
                    Some(why) => (StatusCode::CONFLICT, why + "\n"),
                    None => self.submit(request).await,
                }
            }
            Ok(request) => self.submit(request).await,
            Err(e) => (StatusCode::BAD_REQUEST, format!("no wish: {e}\n")),
        }
    }

    async fn submit(&self, request: AdminRequest) -> (StatusCode, String) {
        let is_status = request == AdminRequest::Status;
        let Some((local, reply)) = self.admin_client.request(request).await else {
            return (StatusCode::SERVICE_UNAVAILABLE, "the agreement's thread does not answer\n".into());
        };
        let (status, body) = match reply {
            AdminReply::Status(overview) => {
                (StatusCode::OK, to_json(&SettingsStatus::from_local_and_cluster(&local, Some(&overview))))
            }
            // Without a leader, the response holds the local status only.
            AdminReply::Unavailable(_) if is_status => {
                (StatusCode::OK, to_json(&SettingsStatus::from_local_and_cluster(&local, None)))
            }
            AdminReply::Done(version) => (StatusCode::OK, to_json(&VersionReply { version })),
            AdminReply::Versions(versions) => (StatusCode::OK, to_json(&versions)),
            AdminReply::Rejected(why) => (StatusCode::CONFLICT, why),
            AdminReply::Unavailable(why) => (StatusCode::SERVICE_UNAVAILABLE, why),
        };
        (status, body + "\n")
    }
}

fn to_json(value: &impl Serialize) -> String {
    // Serialization can't fail for the types that are passed here.
    serde_json::to_string(value).unwrap_or_default()
}

#[derive(Serialize, Deserialize)]
pub(crate) struct VersionReply {
    pub(crate) version: u64,
}

/// Tier member in the settings status.
#[derive(Debug, Serialize, Deserialize)]
pub struct SettingsMember {
    /// Name of the member's balancer.
    pub name: String,
    /// Label of the phase that the member enforces, such as `3` or `3-4`; `None` if unknown.
    pub version: Option<String>,
    /// Epoch that the member enforces; `None` if unknown.
    pub epoch: Option<u64>,
    /// True while the transition to the next phase waits for this member.
    #[serde(rename = "waits")]
    pub is_pending: bool,
    /// Longest remaining wait for the member, in milliseconds; `None` if the wait has no limit.
    #[serde(rename = "waits_ms")]
    pub max_wait_ms: Option<u64>,
}

/// Status that `GET /control/settings` returns.
#[derive(Debug, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// Version that this balancer enforces; 0 before the first version.
    pub in_force: u64,
    /// Phase of the local version: `settled`, `strictest` or `unsettled`.
    #[serde(rename = "step")]
    pub phase: String,
    /// Label of the local phase: `3`, or `3-4` during a transition.
    pub label: String,
    /// Epoch that this balancer enforces.
    pub epoch: u64,
    /// Epoch of the leader; `None` if the leader does not answer.
    #[serde(rename = "epoch_agreed")]
    pub leader_epoch: Option<u64>,
    /// Digest of the enforced version's text.
    pub digest: String,
    /// Remaining time of the lease, in milliseconds; `None` without a lease.
    pub lease_ms_left: Option<u64>,
    /// True while this balancer has no valid lease.
    #[serde(rename = "careful")]
    pub lacks_lease: bool,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Problem that prevents voting or the application of the current phase; `None` if there is none.
    #[serde(rename = "trouble", default, skip_serializing_if = "Option::is_none")]
    pub voter_problem: Option<String>,
    /// Tier members; empty if the leader does not answer.
    pub members: Vec<SettingsMember>,
    /// Names of the voters; empty if the leader does not answer.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Label of the leader's phase; `None` if the leader does not answer.
    #[serde(rename = "agreed", default, skip_serializing_if = "Option::is_none")]
    pub leader_phase: Option<String>,
    /// Digests of the balancers' files, each with the balancers that have that file. Empty unless files
    /// differ before the first version.
    #[serde(rename = "differ", default, skip_serializing_if = "Vec::is_empty")]
    pub differing_files: Vec<(String, Vec<String>)>,
}

fn phase_label(phase: Phase) -> String {
    match phase {
        Phase::Initial => "0".into(),
        Phase::Stable(number) => number.to_string(),
        Phase::Transition { from, to } => format!("{from}-{to}"),
    }
}

impl SettingsStatus {
    fn from_local_and_cluster(local: &LocalStatus, overview: Option<&ClusterStatus>) -> Self {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let members = overview.map(|overview| {
            let member = |status: &maplehook_consensus::messages::MemberStatus| SettingsMember {
                name: status.name.clone(),
                version: status
                    .epoch
                    .filter(|epoch| *epoch == overview.epoch)
                    .map(|_| phase_label(overview.phase)),
                epoch: status.epoch,
                is_pending: status.is_pending,
                max_wait_ms: status.max_wait_ms,
            };
            overview.members.iter().map(member).collect()
        });
        Self {
            in_force: local.active_version,
            phase: local.phase.to_string(),
            label: phase_label(local.phase),
            epoch: local.epoch,
            leader_epoch: overview.map(|overview| overview.epoch),
            digest: local.digest.clone(),
            lease_ms_left: local.lease_remaining.map(ms),
            lacks_lease: local.lacks_lease,
            leader: local.leader.clone(),
            voter_problem: local.voter_problem.clone(),
            members: members.unwrap_or_default(),
            voters: overview.map(|overview| overview.voters.clone()).unwrap_or_default(),
            leader_phase: overview.map(|overview| phase_label(overview.phase)),
            differing_files: overview.map(|overview| overview.differing_files.clone()).unwrap_or_default(),
        }
    }

    /// Returns true if all members enforce `version` and no transition is in progress.
    pub(crate) fn is_in_force_everywhere(&self, version: u64) -> bool {
        self.phase == "settled"
            && self.in_force == version
            && !self.members.is_empty()
            && self.members.iter().all(|m| !m.is_pending)
    }

    pub(crate) fn table(&self) -> String {
        let mut text = format!(
            "version {} is in force here ({}); epoch {}, leader {}\n",
            self.in_force,
            self.phase,
            self.epoch,
            self.leader.as_deref().unwrap_or("unknown")
        );
        // Writing to a string can't fail.
        if self.lacks_lease {
            let _ = writeln!(
                text,
                "no valid lease: conservative rules apply, or all requests are rejected, until there is one"
            );
        }
        if let Some(problem) = &self.voter_problem {
            let _ = writeln!(text, "{problem}");
        }
        if !self.voters.is_empty() {
            let _ = writeln!(text, "voters: {}", self.voters.join(", "));
        }
        for member in &self.members {
            let waits = match (member.is_pending, member.max_wait_ms) {
                (false, _) => String::new(),
                (true, Some(ms)) => format!("  pending for at most {ms} ms"),
                (true, None) => "  pending until it answers or is forgotten".into(),
            };
            let version = member.version.clone().unwrap_or_else(|| "-".into());
            let _ = writeln!(text, "{:<32} {version:>8}{waits}", member.name);
        }
        for (digest, names) in &self.differing_files {
            let _ = writeln!(text, "file {}: {}", &digest[..digest.len().min(12)], names.join(", "));
        }
        if self.members.is_empty() {
            let _ = writeln!(text, "no leader is known, or the leader does not answer");
        }
        text
    }
}
