//! What operators and routers are answered: computed when it is asked for, from what stands then.

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

/// How long an operator waits for a wish.
const WISH: Duration = Duration::from_millis(3500);
/// Plans that are remembered for operators.
const REMEMBERED: usize = 64;

/// A plan that was in force, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PastPlan {
    /// When this balancer began to act by it, in Unix milliseconds.
    pub at_ms: u64,
    /// How it stood then.
    pub shown: FailoverStatus,
}

/// How it stands here, as the thread of places knows it.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// What it rests on.
    pub config: Option<Arc<Config>>,
    /// What was told last, and when.
    pub agreed: Option<(Arc<AgreedState>, Instant)>,
    /// Its number in the log.
    pub number: u64,
    /// Whether it is acted on.
    pub uses_shared_plan: bool,
    /// By what, in words.
    pub routing_reason: String,
    /// What is acted on here, rule by rule.
    pub active_rows: Vec<RowStatus>,
    /// Share of the own clients' demand that is served, by own evidence.
    pub served: f64,
}

/// An address as `GET /control/addresses` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressStatus {
    /// Its name.
    pub name: String,
    /// What is announced.
    pub address: String,
    /// `one` or `many`.
    pub announce: Announce,
    /// Rises with each change of it.
    pub epoch: u64,
    /// Its sites, the first first.
    pub sites: Vec<SiteStatus>,
    /// Of `one`: who holds it.
    pub holder: Option<String>,
    /// Of `one`: who is to hold it next, once the one before can announce no more.
    pub next: Option<String>,
    /// Why all stay although they seem ill, if that is so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub all_stay: Option<String>,
}

/// A site of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Its name.
    pub site: String,
    /// Its preference; none if it does not announce.
    pub preference: Option<u32>,
    /// How it stands.
    pub phase: String,
    /// By whose order it is withdrawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_by: Option<String>,
}

/// What a router is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The address's name.
    pub name: String,
    /// What is announced.
    pub address: String,
    /// The site.
    pub site: String,
    /// More is better.
    pub preference: u32,
    /// Rises with each change.
    pub epoch: u64,
    /// For how long from before it was asked.
    pub good_for_ms: u64,
}

pub(crate) type Wished = (OperatorRequest, oneshot::Sender<Reply>);

/// Answers operators and routers, on any thread.
#[derive(Clone)]
pub struct StatusBoard {
    pub(crate) stands: watch::Receiver<LocalState>,
    pub(crate) standing: Option<watch::Receiver<SharedDocumentStatus>>,
    pub(crate) wishes: mpsc::Sender<Wished>,
    pub(crate) past: Arc<Mutex<VecDeque<PastPlan>>>,
    pub(crate) writer: Writer,
    pub(crate) epoch: Instant,
    /// Whether this balancer takes clients.
    pub ready: Arc<AtomicBool>,
}

impl StatusBoard {
    /// What `GET /control/places` shows.
    pub fn status(&self) -> FailoverStatus {
        let stands = self.stands.borrow().clone();
        let standing = self.standing.as_ref().map(|standing| standing.borrow().clone());
        shown(&stands, standing.as_ref())
    }

    /// The plans that were acted on here, the newest last.
    pub fn history(&self) -> Vec<PastPlan> {
        self.past.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// The plan of an epoch, if it is remembered.
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

    /// What `GET /control/addresses` shows.
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

    /// What a router is answered: an announcement, or why there is none. `None`: there is no such address. The clock is read here,
    /// after the question has come, and nothing of an answer is kept: whoever was stopped and is woken has withdrawn.
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

    /// An operator's wish.
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
