//! Answers operators and routers from the state at the time of the request.

use crate::config::Config;
use crate::history::{HistoryWriter, unix_us};
use crate::messages::{AgreedState, OperatorRequest, Reply};
use crate::status::{FailoverStatus, RowStatus, rtt_statuses};
use maplehook_address_announcement::{Announce, Answer, LocalBalancer};
use maplehook_consensus::SharedDocumentStatus;
use maplehook_history_checker::What;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Timeout for an operator's request to this balancer.
const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_millis(3500);
/// Number of past plans that are stored for operators.
const MAX_PAST_PLANS: usize = 64;

/// A plan that was in force, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastPlan {
    /// Unix time in milliseconds at which this balancer began to act on the plan.
    pub at_ms: u64,
    /// Status of this balancer at that time.
    pub shown: FailoverStatus,
}

/// State of this balancer, published by the agent thread.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// Settings that the state was computed from.
    pub config: Option<Arc<Config>>,
    /// Newest agreed state and the time at which it was received.
    pub agreed: Option<(Arc<AgreedState>, Instant)>,
    /// Number of the agreed state in the consensus log.
    pub number: u64,
    /// True if this balancer acts on the shared plan.
    pub uses_shared_plan: bool,
    /// Readable reason for the active routing.
    pub routing_reason: String,
    /// Active rows on this balancer, one per rule.
    pub active_rows: Vec<RowStatus>,
    /// Part of the demand of this balancer's clients that is served, 0 to 1, by local evidence.
    pub served: f64,
}

/// Status of a service address, as `GET /control/addresses` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressStatus {
    /// Configured name of the address.
    pub name: String,
    /// IP address and port that are announced.
    pub address: String,
    /// Announcement mode: `one` site or `many` sites.
    pub announce: Announce,
    /// Epoch of the address; rises with each change.
    pub epoch: u64,
    /// Sites of the address, the preferred site first.
    pub sites: Vec<SiteStatus>,
    /// Site that holds the address, in mode `one`.
    pub holder: Option<String>,
    /// Next holder in mode `one`; takes over once the previous holder can no longer announce.
    pub next: Option<String>,
    /// Reason why all sites keep announcing although they appear unhealthy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub all_stay: Option<String>,
}

/// Status of one site of an address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Name of the region that the site serves.
    pub site: String,
    /// Preference of the announcement; `None` if the site does not announce.
    pub preference: Option<u32>,
    /// Phase of the site in lower case, or `unknown`.
    pub phase: String,
    /// Balancer at which an operator withdrew the site.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_by: Option<String>,
}

/// Announcement that a router receives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Configured name of the address.
    pub name: String,
    /// IP address and port to announce.
    pub address: String,
    /// Site of this balancer.
    pub site: String,
    /// Routing preference; a larger value is better.
    pub preference: u32,
    /// Epoch of the address; rises with each change.
    pub epoch: u64,
    /// Validity in milliseconds, counted from before the router sent its request.
    pub good_for_ms: u64,
}

pub(crate) type QueuedRequest = (OperatorRequest, oneshot::Sender<Reply>);

/// Answers operators and routers; callable from any thread.
#[derive(Clone)]
pub struct StatusBoard {
    pub(crate) local_state: watch::Receiver<LocalState>,
    pub(crate) document_status: Option<watch::Receiver<SharedDocumentStatus>>,
    pub(crate) requests: mpsc::Sender<QueuedRequest>,
    pub(crate) past_plans: Arc<Mutex<VecDeque<PastPlan>>>,
    pub(crate) writer: HistoryWriter,
    pub(crate) epoch: Instant,
    /// True while this balancer accepts clients.
    pub ready: Arc<AtomicBool>,
}

impl StatusBoard {
    /// Returns the status for `GET /control/places`.
    pub fn status(&self) -> FailoverStatus {
        let local_state = self.local_state.borrow().clone();
        let document_status = self.document_status.as_ref().map(|status| status.borrow().clone());
        build_status(&local_state, document_status.as_ref())
    }

    /// Returns the plans that this balancer acted on, the newest last.
    pub fn history(&self) -> Vec<PastPlan> {
        self.past_plans.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Returns the stored plan of an epoch.
    pub fn explain(&self, epoch: u64) -> Option<PastPlan> {
        self.history().into_iter().rev().find(|past_plan| past_plan.shown.epoch == epoch)
    }

    pub(crate) fn record_plan(&self, status: FailoverStatus) {
        let mut past_plans = self.past_plans.lock().unwrap_or_else(PoisonError::into_inner);
        past_plans.push_back(PastPlan { at_ms: unix_us() / 1000, shown: status });
        while past_plans.len() > MAX_PAST_PLANS {
            past_plans.pop_front();
        }
    }

    /// Returns the service addresses for `GET /control/addresses`.
    pub fn addresses(&self) -> Vec<AddressStatus> {
        let local_state = self.local_state.borrow().clone();
        let Some(config) = &local_state.config else { return Vec::new() };
        let agreed = local_state.agreed.as_ref().map(|(agreed, _)| &agreed.addresses);
        let address_status = |address: &maplehook_address_announcement::Address| {
            let agreed_address = agreed.and_then(|state| state.addresses.get(&address.name));
            let site_status = |region: &maplehook_locality::Region| {
                let site = config.topology.region_name(*region).to_owned();
                let record = agreed_address.and_then(|agreed| agreed.sites.get(&site));
                SiteStatus {
                    preference: agreed_address.and_then(|agreed| agreed.announcing.get(&site).copied()),
                    phase: record
                        .map_or("unknown".into(), |record| format!("{:?}", record.phase).to_lowercase()),
                    withdrawn_by: agreed_address.and_then(|agreed| agreed.withdrawn.get(&site).cloned()),
                    site,
                }
            };
            AddressStatus {
                name: address.name.clone(),
                address: address.address.clone(),
                announce: address.announce,
                epoch: agreed_address.map_or(0, |agreed| agreed.epoch),
                sites: address.sites.iter().map(site_status).collect(),
                holder: agreed_address.and_then(|agreed| agreed.holder.clone()),
                next: agreed_address.and_then(|agreed| agreed.next.clone()),
                all_stay: agreed_address.and_then(|agreed| agreed.all_stay.clone()),
            }
        };
        config.addresses.iter().map(address_status).collect()
    }

    /// Returns the announcement for a router, or the reason for a withdrawal; `None` if the address does not
    /// exist. The clock is read after the request arrives and no answer is cached, so a process that was
    /// suspended withdraws when it resumes.
    pub fn announce(&self, name: &str) -> Option<Result<Announcement, String>> {
        let local_state = self.local_state.borrow().clone();
        let config = local_state.config.as_ref()?;
        let address = config.addresses.iter().find(|address| address.name == name)?;
        let lease = self.document_status.as_ref().and_then(|status| status.borrow().lease_end);
        let now = Instant::now();
        let since = |at: Instant| at.saturating_duration_since(self.epoch);
        let site = config.topology.region_name(config.topology.region_of(config.own_zone)).to_owned();
        let local_balancer = LocalBalancer {
            site: site.clone(),
            ready: self.ready.load(Ordering::Acquire),
            served: local_state.served,
            lease_until: lease.map(since),
            state: local_state.agreed.as_ref().map(|(agreed, _)| agreed.addresses.clone()),
        };
        let at_us = unix_us();
        let answer = match local_balancer.answer(name, since(now)) {
            Answer::Announces { preference, epoch, good_for } => {
                let good_for_ms = good_for.as_millis() as u64;
                Ok(Announcement {
                    name: name.to_owned(),
                    address: address.address.clone(),
                    site: site.clone(),
                    preference,
                    epoch,
                    good_for_ms,
                })
            }
            Answer::Withdrawn { why: reason } => Err(reason),
        };
        if self.writer.is_enabled() {
            let address = name.to_owned();
            let what = match &answer {
                Ok(announced) => {
                    let until_us = at_us + announced.good_for_ms * 1000;
                    What::Announces { address, site, preference: announced.preference, until_us }
                }
                Err(reason) => What::Withdraws { address, site, why: reason.clone() },
            };
            self.writer.record_at(at_us, what);
        }
        Some(answer)
    }

    /// Passes an operator's request to the agent thread and waits for the reply.
    pub async fn request(&self, request: OperatorRequest) -> Reply {
        let (reply_sender, reply) = oneshot::channel();
        if self.requests.try_send((request, reply_sender)).is_err() {
            return Reply::Unavailable("too many wishes are under way".into());
        }
        match timeout(OPERATOR_REQUEST_TIMEOUT, reply).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Unavailable(
                "no answer in time: it may be done, or not; look before you ask again".into(),
            ),
        }
    }
}

pub(crate) fn build_status(
    local_state: &LocalState,
    document_status: Option<&SharedDocumentStatus>,
) -> FailoverStatus {
    let Some(config) = &local_state.config else { return FailoverStatus::default() };
    let topology = &config.topology;
    let mut status = match &local_state.agreed {
        Some((agreed, since)) => FailoverStatus::from_agreed(config, agreed, since.elapsed()),
        None => FailoverStatus::default(),
    };
    status.number = local_state.number;
    status.uses_shared_plan = local_state.uses_shared_plan;
    status.routing_reason = local_state.routing_reason.clone();
    status.active_rows = local_state.active_rows.clone();
    status.rtts = rtt_statuses(topology, local_state.agreed.as_ref().map(|(agreed, _)| &agreed.rtts));
    status.own_zone = topology.zone_name(config.own_zone).to_owned();
    status.own_region = topology.region_name(topology.region_of(config.own_zone)).to_owned();
    if let Some(document_status) = document_status {
        status.leader = document_status.leader.as_ref().map(ToString::to_string);
        let newest = document_status.received.as_ref().map_or(0, |shared_document| shared_document.number);
        for (name, applied) in &document_status.members {
            match applied {
                None => status.members_without_failover.push(name.to_string()),
                Some(applied) if *applied >= newest => status.members_on_plan.push(name.to_string()),
                Some(_) => {}
            }
        }
    }
    status
}
