//! Operators' calls on versions: `GET` and `POST /control/settings`.

use crate::request_signing::RequestVerifier;
use hyper::StatusCode;
use maplehook_consensus::messages::{AdminReply, AdminRequest, ClusterStatus};
use maplehook_consensus::{AdminClient, LocalStatus};
use maplehook_rollout_agent::Board as RolloutBoard;
use maplehook_versions::Phase;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Where it is.
pub const PATH: &str = "/control/settings";
/// The longest body.
pub const MAX_BODY_BYTES: usize = 3 << 20;

/// Takes operators' wishes, from whoever has the secret.
pub struct SettingsApi {
    verifier: Arc<RequestVerifier>,
    admin_client: AdminClient,
    rollout_board: Option<RolloutBoard>,
}

impl SettingsApi {
    /// Of calls under this seal; while settings are changed in stages there is no other change of them.
    pub fn new(
        verifier: Arc<RequestVerifier>,
        admin_client: AdminClient,
        rollout_board: Option<RolloutBoard>,
    ) -> Self {
        Self { verifier, admin_client, rollout_board }
    }

    /// The answer to a `GET`, by its query.
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

    /// The answer to a `POST`.
    pub async fn handle_post(&self, header: Option<&str>, body: &[u8]) -> (StatusCode, String) {
        if !header.is_some_and(|header| self.verifier.is_valid(header, body)) {
            let why = "not signed with the tier's secret within the last minute, or made before\n";
            return (StatusCode::FORBIDDEN, why.into());
        }
        match serde_json::from_slice(body) {
            Ok(request @ (AdminRequest::Propose { .. } | AdminRequest::Undo)) => {
                match self.rollout_board.as_ref().and_then(RolloutBoard::shuts_settings) {
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
                (StatusCode::OK, to_json(&SettingsStatus::of(&local, Some(&overview))))
            }
            // What is known here is worth something.
            AdminReply::Unavailable(_) if is_status => {
                (StatusCode::OK, to_json(&SettingsStatus::of(&local, None)))
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
    // What is shown has nothing that JSON can't say.
    serde_json::to_string(value).unwrap_or_default()
}

#[derive(Serialize, Deserialize)]
pub(crate) struct VersionReply {
    pub(crate) version: u64,
}

/// A member as it is shown.
#[derive(Debug, Serialize, Deserialize)]
pub struct SettingsMember {
    /// Its name.
    pub name: String,
    /// What it acts on: a version, or two between which a change stands; none if that is not known.
    pub version: Option<String>,
    /// The epoch that it acts on.
    pub epoch: Option<u64>,
    /// Whether it is waited for.
    pub waits: bool,
    /// For how long at the most, if not for good.
    pub waits_ms: Option<u64>,
}

/// What `GET /control/settings` shows.
#[derive(Debug, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// The version in force here; 0 before the first.
    pub in_force: u64,
    /// `settled`, `strictest` or `unsettled`.
    pub step: String,
    /// The step as a label: `3`, or `3-4`.
    pub label: String,
    /// The epoch that this balancer acts on, and the leader's.
    pub epoch: u64,
    /// The leader's.
    pub epoch_agreed: Option<u64>,
    /// The digest of the version in force.
    pub digest: String,
    /// What is left of the lease.
    pub lease_ms_left: Option<u64>,
    /// Whether there is none.
    pub careful: bool,
    /// The leader.
    pub leader: Option<String>,
    /// What is wrong with this balancer's part, if anything is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trouble: Option<String>,
    /// The members, where the leader answers.
    pub members: Vec<SettingsMember>,
    /// The voters, where the leader answers.
    #[serde(default)]
    pub voters: Vec<String>,
    /// The step that the leader stands at, as a label.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agreed: Option<String>,
    /// Before the first version: whose files differ, by digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub differ: Vec<(String, Vec<String>)>,
}

fn phase_label(step: Phase) -> String {
    match step {
        Phase::Initial => "0".into(),
        Phase::Stable(number) => number.to_string(),
        Phase::Transition { from, to } => format!("{from}-{to}"),
    }
}

impl SettingsStatus {
    fn of(local: &LocalStatus, overview: Option<&ClusterStatus>) -> Self {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let members = overview.map(|overview| {
            let member = |status: &maplehook_consensus::messages::MemberStatus| SettingsMember {
                name: status.name.clone(),
                version: status
                    .epoch
                    .filter(|epoch| *epoch == overview.epoch)
                    .map(|_| phase_label(overview.phase)),
                epoch: status.epoch,
                waits: status.is_pending,
                waits_ms: status.max_wait_ms,
            };
            overview.members.iter().map(member).collect()
        });
        Self {
            in_force: local.active_version,
            step: local.phase.to_string(),
            label: phase_label(local.phase),
            epoch: local.epoch,
            epoch_agreed: overview.map(|overview| overview.epoch),
            digest: local.digest.clone(),
            lease_ms_left: local.lease_remaining.map(ms),
            careful: local.lacks_lease,
            leader: local.leader.clone(),
            trouble: local.voter_problem.clone(),
            members: members.unwrap_or_default(),
            voters: overview.map(|overview| overview.voters.clone()).unwrap_or_default(),
            agreed: overview.map(|overview| phase_label(overview.phase)),
            differ: overview.map(|overview| overview.differing_files.clone()).unwrap_or_default(),
        }
    }

    /// Whether this version is in force everywhere.
    pub(crate) fn is_in_force_everywhere(&self, version: u64) -> bool {
        self.step == "settled"
            && self.in_force == version
            && !self.members.is_empty()
            && self.members.iter().all(|m| !m.waits)
    }

    pub(crate) fn table(&self) -> String {
        let mut text = format!(
            "version {} is in force here ({}); epoch {}, leader {}\n",
            self.in_force,
            self.step,
            self.epoch,
            self.leader.as_deref().unwrap_or("unknown")
        );
        // Writing to a string can't fail.
        if self.careful {
            let _ = writeln!(text, "no lease: nothing is sent twice, or all is refused, until there is one");
        }
        if let Some(trouble) = &self.trouble {
            let _ = writeln!(text, "{trouble}");
        }
        if !self.voters.is_empty() {
            let _ = writeln!(text, "voters: {}", self.voters.join(", "));
        }
        for member in &self.members {
            let waits = match (member.waits, member.waits_ms) {
                (false, _) => String::new(),
                (true, Some(ms)) => format!("  waited for, {ms} ms at the most"),
                (true, None) => "  waited for, until it answers or is forgotten".into(),
            };
            let version = member.version.clone().unwrap_or_else(|| "-".into());
            let _ = writeln!(text, "{:<32} {version:>8}{waits}", member.name);
        }
        for (digest, names) in &self.differ {
            let _ = writeln!(text, "file {}: {}", &digest[..digest.len().min(12)], names.join(", "));
        }
        if self.members.is_empty() {
            let _ = writeln!(text, "nobody leads, or the leader does not answer");
        }
        text
    }
}
