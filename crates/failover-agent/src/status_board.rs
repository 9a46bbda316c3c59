//! Answers operators and routers from the state at the time of the request.

use crate::config::Config;
use crate::history::{Writer, unix_us};
use crate::messages::{AgreedState, OperatorRequest, Reply};
use crate::status::{FailoverStatus, RowStatus, trips};
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
const WISH: Duration = Duration::from_millis(3500);
/// Number of past plans that are stored for operators.
const REMEMBERED: usize = 64;

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

pub(crate) type Wished = (OperatorRequest, oneshot::Sender<Reply>);

/// Answers operators and routers; callable from any thread.
#[derive(Clone)]
pub struct StatusBoard {
    pub(crate) stands: watch::Receiver<LocalState>,
    pub(crate) standing: Option<watch::Receiver<SharedDocumentStatus>>,
    pub(crate) wishes: mpsc::Sender<Wished>,
    pub(crate) past: Arc<Mutex<VecDeque<PastPlan>>>,
    pub(crate) writer: Writer,
    pub(crate) epoch: Instant,
    /// True while this balancer accepts clients.
    pub ready: Arc<AtomicBool>,
}

impl StatusBoard {
    /// Returns the status for `GET /control/places`.
    pub fn status(&self) -> FailoverStatus {
        let stands = self.stands.borrow().clone();
        let standing = self.standing.as_ref().map(|standing| standing.borrow().clone());
        shown(&stands, standing.as_ref())
    }

    /// Returns the plans that this balancer acted on, the newest last.
    pub fn history(&self) -> Vec<PastPlan> {
        self.past.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Returns the stored plan of an epoch.
    pub fn explain(&self, epoch: u64) -> Option<PastPlan> {
        self.history().into_iter().rev().find(|past| past.shown.epoch == epoch)
    }

    pub(crate) fn remember(&self, shown: FailoverStatus) {
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        past.push_back(PastPlan { at_ms: unix_us() / 1000, shown });
        while past.len() > REMEMBERED {
            past.pop_front();
        }
    }

    /// Returns the service addresses for `GET /control/addresses`.
    pub fn addresses(&self) -> Vec<AddressStatus> {
        let stands = self.stands.borrow().clone();
        let Some(config) = &stands.config else { return Vec::new() };
        let agreed = stands.agreed.as_ref().map(|(agreed, _)| &agreed.addresses);
        let shown = |address: &maplehook_address_announcement::Address| {
            let standing = agreed.and_then(|state| state.addresses.get(&address.name));
            let site = |region: &maplehook_locality::Region| {
                let site = config.topology.region_name(*region).to_owned();
                let record = standing.and_then(|standing| standing.sites.get(&site));
                SiteStatus {
                    preference: standing.and_then(|standing| standing.announcing.get(&site).copied()),
                    phase: record
                        .map_or("unknown".into(), |record| format!("{:?}", record.phase).to_lowercase()),
                    withdrawn_by: standing.and_then(|standing| standing.withdrawn.get(&site).cloned()),
                    site,
                }
            };
            AddressStatus {
                name: address.name.clone(),
                address: address.address.clone(),
                announce: address.announce,
                epoch: standing.map_or(0, |standing| standing.epoch),
                sites: address.sites.iter().map(site).collect(),
                holder: standing.and_then(|standing| standing.holder.clone()),
                next: standing.and_then(|standing| standing.next.clone()),
                all_stay: standing.and_then(|standing| standing.all_stay.clone()),
            }
        };
        config.addresses.iter().map(shown).collect()
    }

    /// Returns the announcement for a router, or the reason for a withdrawal; `None` if the address does not
    /// exist. The clock is read after the request arrives and no answer is cached, so a process that was
    /// suspended withdraws when it resumes.
    pub fn announce(&self, name: &str) -> Option<Result<Announcement, String>> {
        let stands = self.stands.borrow().clone();
        let config = stands.config.as_ref()?;
        let address = config.addresses.iter().find(|address| address.name == name)?;
        let lease = self.standing.as_ref().and_then(|standing| standing.borrow().lease_end);
        let now = Instant::now();
        let since = |at: Instant| at.saturating_duration_since(self.epoch);
        let site = config.topology.region_name(config.topology.region_of(config.own_zone)).to_owned();
        let own = LocalBalancer {
            site: site.clone(),
            ready: self.ready.load(Ordering::Acquire),
            served: stands.served,
            lease_until: lease.map(since),
            state: stands.agreed.as_ref().map(|(agreed, _)| agreed.addresses.clone()),
        };
        let at_us = unix_us();
        let answer = match own.answer(name, since(now)) {
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
            Answer::Withdrawn { why } => Err(why),
        };
        if self.writer.is_on() {
            let address = name.to_owned();
            let what = match &answer {
                Ok(said) => {
                    let until_us = at_us + said.good_for_ms * 1000;
                    What::Announces { address, site, preference: said.preference, until_us }
                }
                Err(why) => What::Withdraws { address, site, why: why.clone() },
            };
            self.writer.note_at(at_us, what);
        }
        Some(answer)
    }

    /// Passes an operator's request to the agent thread and waits for the reply.
    pub async fn request(&self, wish: OperatorRequest) -> Reply {
        let (reply, ended) = oneshot::channel();
        if self.wishes.try_send((wish, reply)).is_err() {
            return Reply::Unavailable("too many wishes are under way".into());
        }
        match timeout(WISH, ended).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Unavailable(
                "no answer in time: it may be done, or not; look before you ask again".into(),
            ),
        }
    }
}

pub(crate) fn shown(stands: &LocalState, standing: Option<&SharedDocumentStatus>) -> FailoverStatus {
    let Some(config) = &stands.config else { return FailoverStatus::default() };
    let topology = &config.topology;
    let mut shown = match &stands.agreed {
        Some((agreed, since)) => FailoverStatus::from_agreed(config, agreed, since.elapsed()),
        None => FailoverStatus::default(),
    };
    shown.number = stands.number;
    shown.uses_shared_plan = stands.uses_shared_plan;
    shown.routing_reason = stands.routing_reason.clone();
    shown.active_rows = stands.active_rows.clone();
    shown.rtts = trips(topology, stands.agreed.as_ref().map(|(agreed, _)| &agreed.rtts));
    shown.own_zone = topology.zone_name(config.own_zone).to_owned();
    shown.own_region = topology.region_name(topology.region_of(config.own_zone)).to_owned();
    if let Some(standing) = standing {
        shown.leader = standing.leader.as_ref().map(ToString::to_string);
        let newest = standing.received.as_ref().map_or(0, |common| common.number);
        for (name, acts) in &standing.members {
            match acts {
                None => shown.members_without_failover.push(name.to_string()),
                Some(acts) if *acts >= newest => shown.members_on_plan.push(name.to_string()),
                Some(_) => {}
            }
        }
    }
    shown
}
