//! Decisions of the leader: collects reports, decides on zones and addresses, and proposes the result. One
//! proposal is in flight at a time; later decisions go into the next proposal.

use crate::config::Config;
use crate::messages::{AgreedState, OperatorRequest, Reply};
use maplehook_address_announcement::{self as addresses, SiteHealth};
use maplehook_cluster::hash::fnv1a;
use maplehook_failover::rtt::{PeerRtt, RttEstimator, RttTable};
use maplehook_failover::{self as failover, Report};
use maplehook_locality::{Region, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of a leader; starts from the state in the log, whichever balancer proposed it.
pub struct LeaderState {
    config: Config,
    places: failover::Decider,
    addresses: addresses::Decider,
    rtt_estimator: RttEstimator,
    /// Newest state in the log that this leader knows.
    committed: AgreedState,
    /// Proposal that is in flight.
    proposed: Option<AgreedState>,
    /// Zone, readiness and time of the last report, by balancer name.
    balancers: BTreeMap<String, (Zone, bool, Duration)>,
}

/// Age up to which a balancer's report counts for the health of its site.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Time for which a silent balancer still counts as a member of its zone.
const SILENT_MEMBER_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of balancers in the table of reports.
const MAX_TRACKED_BALANCERS: usize = 4096;

impl LeaderState {
    /// Starts leading from the committed state, without reports.
    pub fn new(config: Config, committed: AgreedState, now: Duration) -> Self {
        let mut places = failover::Decider::new(
            config.topology.clone(),
            config.rules.clone(),
            config.bounds,
            Some(&committed.places).filter(|places| !places.zones.is_empty()),
            now,
        );
        let addresses = addresses::Decider::new(
            config.addresses.clone(),
            config.sites(),
            Some(&committed.addresses),
            now,
        );
        places.set_rtt_table(&committed.rtts);
        let rtt_estimator = RttEstimator::new(&committed.rtts, &config.topology);
        Self {
            config,
            places,
            addresses,
            rtt_estimator,
            committed,
            proposed: None,
            balancers: BTreeMap::new(),
        }
    }

    /// Applies changed rules or zones.
    pub fn reconfigure(&mut self, config: Config, now: Duration) {
        self.places.reconfigure(config.topology.clone(), config.rules.clone(), now);
        self.places.set_bounds(config.bounds);
        self.addresses.reconfigure(config.addresses.clone(), config.sites(), now);
        self.rtt_estimator =
            RttEstimator::new(&self.rtt_estimator.table(&self.config.topology), &config.topology);
        self.config = config;
        // Zone numbers may differ in the new configuration.
        self.balancers.clear();
    }

    /// Sets the maximum duration of a lease, measured on this leader's clock.
    pub fn set_max_lease(&mut self, max_lease: Duration) {
        self.addresses.set_max_lease(max_lease);
    }

    /// Updates the decider and the table of balancers from a report.
    pub fn record_report(&mut self, now: Duration, from: &str, report: Report) {
        let is_known = self.balancers.len() < MAX_TRACKED_BALANCERS || self.balancers.contains_key(from);
        if is_known && report.digest == self.config.digest {
            self.balancers.insert(from.to_owned(), (report.zone, report.ready, now));
        }
        self.places.record_report(now, from, report);
    }

    /// Records the round-trip times that a balancer measured to its peers.
    pub fn record_rtts(&mut self, now: Duration, from: &str, rtts: &[PeerRtt]) {
        if self.balancers.contains_key(from) {
            self.rtt_estimator.record(now, from, rtts);
        }
    }

    /// Returns the next proposal if anything has changed and no proposal is in flight. `behind` lists
    /// balancers that may still act on the previous state, with the maximum remaining time. `in_touch` lists
    /// the lease holders and whether their program supports failover.
    pub fn tick(
        &mut self,
        now: Duration,
        behind: &[(String, Duration)],
        in_touch: &[(String, bool)],
    ) -> Option<Vec<u8>> {
        if self.proposed.is_some() {
            return None;
        }
        let without = in_touch.iter().filter(|(_, knows)| !knows).count();
        // A silent balancer stays a member of its zone for a while: silence of a complete zone is evidence.
        self.balancers
            .retain(|_, (.., reported_at)| now.saturating_sub(*reported_at) < SILENT_MEMBER_RETENTION);
        let members: Vec<(String, Zone)> =
            self.balancers.iter().map(|(name, (zone, ..))| (name.clone(), *zone)).collect();
        self.places.set_members(&members, without);
        let places = self.places.tick(now);
        let sites = self.sites(now);
        let lagging = self.lagging_regions(behind);
        let addresses = self.addresses.tick(now, &sites, &lagging);
        let rtts = self.rtt_table_change(now);
        if places.is_none() && addresses.is_none() && rtts.is_none() {
            return None;
        }
        let committed = self.committed.clone();
        Some(self.propose(AgreedState {
            places: places.unwrap_or(committed.places),
            addresses: addresses.unwrap_or(committed.addresses),
            rtts: rtts.unwrap_or(committed.rtts),
        }))
    }

    /// Returns the table of round-trip times if it differs from the table in the log.
    fn rtt_table_change(&mut self, now: Duration) -> Option<RttTable> {
        let by_digest =
            self.balancers.iter().map(|(name, (zone, ..))| (fnv1a(name.as_bytes()), *zone)).collect();
        self.rtt_estimator.tick(now, |name| self.balancers.get(name).map(|(zone, ..)| *zone), &by_digest);
        Some(self.rtt_estimator.table(&self.config.topology)).filter(|table| *table != self.committed.rtts)
    }

    fn propose(&mut self, agreed: AgreedState) -> Vec<u8> {
        let bytes = agreed.encode();
        self.proposed = Some(agreed);
        bytes
    }

    /// Applies an operator's request; returns the proposal for it.
    pub fn handle_request(
        &mut self,
        now: Duration,
        by: &str,
        request: &OperatorRequest,
    ) -> Result<Vec<u8>, Reply> {
        if self.proposed.is_some() {
            return Err(Reply::Unavailable("another change is on its way; ask again".into()));
        }
        let (mut agreed, by) = (self.committed.clone(), by.to_owned());
        match request {
            OperatorRequest::Evacuate { place, for_ms, anyway } => {
                let zones = self.zones_of(place)?;
                let order = failover::Order::Evacuate { zones, by, for_ms: *for_ms, anyway: *anyway };
                agreed.places = self.places.order(now, order).map_err(order_error_reply)?;
            }
            OperatorRequest::Hold => {
                agreed.places =
                    self.places.order(now, failover::Order::Hold { by }).map_err(order_error_reply)?;
            }
            OperatorRequest::Release { place } => {
                let zones = place.as_ref().map(|place| self.zones_of(place)).transpose()?.unwrap_or_default();
                let order = failover::Order::Release { by, zones };
                agreed.places = self.places.order(now, order).map_err(order_error_reply)?;
            }
            OperatorRequest::Move { name, site, anyway } => {
                let (name, site) = (name.clone(), site.clone());
                let order = addresses::Order::Move { name, site, by, anyway: *anyway };
                agreed.addresses = self.addresses.order(&order).map_err(rejection_reply)?;
            }
            OperatorRequest::Withdraw { name, site, anyway } => {
                let (name, site) = (name.clone(), site.clone());
                let order = addresses::Order::Withdraw { name, site, by, anyway: *anyway };
                agreed.addresses = self.addresses.order(&order).map_err(rejection_reply)?;
            }
            OperatorRequest::Restore { name, site } => {
                let (name, site) = (name.clone(), site.clone());
                let order = addresses::Order::Restore { name, site, by };
                agreed.addresses = self.addresses.order(&order).map_err(rejection_reply)?;
            }
        }
        Ok(self.propose(agreed))
    }

    fn zones_of(&self, place: &str) -> Result<Vec<Zone>, Reply> {
        let topology = &self.config.topology;
        match (topology.zone(place), topology.region(place)) {
            (Some(zone), _) => Ok(vec![zone]),
            (None, Some(region)) => Ok(topology.zones_of(region).to_vec()),
            (None, None) => Err(Reply::Refused(format!("there is no zone and no region {place:?}"))),
        }
    }

    /// Handles the outcome of the proposal; `committed` is true if the proposal is in the log.
    pub fn finish_proposal(&mut self, committed: bool) -> Option<&AgreedState> {
        let proposed = self.proposed.take()?;
        if !committed {
            return None;
        }
        self.places.accepted(&proposed.places);
        self.places.set_rtt_table(&proposed.rtts);
        self.addresses.accepted(&proposed.addresses);
        self.committed = proposed;
        Some(&self.committed)
    }

    /// Computes the health of each site: the part of its demand that it can serve by the plan, and its
    /// reachable balancers.
    fn sites(&self, now: Duration) -> Vec<SiteHealth> {
        let topology = &self.config.topology;
        let is_recent = |reported_at: Duration| now.saturating_sub(reported_at) < MAX_REPORT_AGE;
        let health = |region: Region| {
            let members: Vec<_> =
                self.balancers.values().filter(|(zone, ..)| topology.region_of(*zone) == region).collect();
            let in_touch = members.iter().filter(|(.., reported_at)| is_recent(*reported_at)).count();
            let ready =
                members.iter().filter(|(_, ready, reported_at)| *ready && is_recent(*reported_at)).count();
            let (served, near) = self.places.served(region);
            SiteHealth { region, served, near, ready, cut_off: in_touch == 0 }
        };
        topology.regions().map(health).collect()
    }

    /// Returns, by region, the time for which a balancer may still act on the previous state. A balancer of
    /// unknown zone counts in all regions.
    fn lagging_regions(&self, behind: &[(String, Duration)]) -> BTreeMap<Region, Duration> {
        let topology = &self.config.topology;
        let mut regions: BTreeMap<Region, Duration> = BTreeMap::new();
        for (name, remaining) in behind {
            let region = self.balancers.get(name).map(|(zone, ..)| topology.region_of(*zone));
            let affected: Vec<Region> =
                region.map_or_else(|| topology.regions().collect(), |region| vec![region]);
            for region in affected {
                let longest = regions.entry(region).or_default();
                *longest = (*longest).max(*remaining);
            }
        }
        regions
    }
}

/// Maps a missing report to a retryable reply, because reports may arrive soon.
fn order_error_reply(reason: failover::OrderError) -> Reply {
    match reason {
        failover::OrderError::NoReportsYet => Reply::Unavailable(reason.to_string()),
        _ => rejection_reply(reason),
    }
}

fn rejection_reply(reason: impl std::fmt::Display) -> Reply {
    Reply::Refused(reason.to_string())
}
