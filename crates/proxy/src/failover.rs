//! Failover on the serving thread: sends observed zone health to the failover agent and applies the traffic
//! split that the agent returns. Classes, tenants and zones have ids of this process, which may differ from
//! those of a version.

use crate::versions::LocalityNotifier;
use maplehook::parts::driver::Driver;
use maplehook_config::Proxy;
use maplehook_consensus::ConsensusService;
use maplehook_core::{GroupSplit, TrafficSplit, ZoneId};
use maplehook_failover_agent::rates::{CounterSnapshot, RuleCounters, ZoneCounters};
use maplehook_failover_agent::{ActiveRouting, Agent, Config, Link, MAX_PROBE_TARGETS, Setup};
use maplehook_locality::Zone;
use maplehook_transport::MeasuredRtts;
use maplehook_versions::{ResolvedRules, StableIds};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Number of observations per update of the listed endpoints, which change seldom.
const OBSERVATIONS_PER_LISTING: u64 = 5;
/// Interval between observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);

/// Names of classes, tenants and zones by their ids in this process. Names are only added, so that ids stay
/// valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamesById {
    /// Class names, by class id.
    pub classes: Vec<String>,
    /// Tenant names, by tenant id.
    pub tenants: Vec<String>,
    /// Zone names, by zone id.
    pub zones: Vec<String>,
}

impl NamesById {
    /// Returns the names behind the ids that `resolved` assigns.
    pub fn from_rules(resolved: &ResolvedRules) -> Self {
        Self {
            classes: resolved.class_names.clone(),
            tenants: resolved.tenant_names.clone(),
            zones: resolved.zone_names.clone(),
        }
    }

    fn zone_id(&self, name: &str) -> Option<ZoneId> {
        let index = self.zones.iter().position(|other| other == name)?;
        u8::try_from(index).ok().map(ZoneId)
    }
}

/// Descriptors that the failover agent may use: for active probes, its poller and a history file.
pub const DESCRIPTORS: usize = 40;

/// The failover agent, started before clients are accepted.
pub struct FailoverAgent {
    /// The agent's thread, which stops when this is dropped.
    pub agent: Agent,
    /// Notifies the agent of the active configuration and its names.
    pub notifier: LocalityNotifier,
    /// The part that runs on the serving thread.
    pub serving: ServingSide,
}

/// The serving thread's ends of the channels to the agent.
pub struct ServingSide {
    plans: watch::Receiver<Option<Arc<ActiveRouting>>>,
    names: watch::Receiver<NamesById>,
    observations: watch::Sender<CounterSnapshot>,
    ready: Arc<AtomicBool>,
}

/// Options to start the failover agent with.
pub struct FailoverOptions<'a> {
    /// Name of the balancer in reports and histories.
    pub name: String,
    /// Configuration that is active at the start.
    pub proxy: &'a Proxy,
    /// Set while this balancer accepts clients.
    pub ready: Arc<AtomicBool>,
    /// Round-trip times to the other balancers; `None` without a tier.
    pub trips: Option<watch::Receiver<MeasuredRtts>>,
    /// Number of balancers, including this one.
    pub balancers: usize,
    /// File that the history is written to, if any.
    pub history: Option<PathBuf>,
}

impl FailoverAgent {
    /// Starts the agent; it takes part in consensus if `consensus` is given.
    pub fn start(
        options: FailoverOptions<'_>,
        consensus: Option<&mut ConsensusService>,
    ) -> Result<Self, String> {
        let FailoverOptions { name, proxy, ready, trips, balancers, history } = options;
        let (config, configs) = watch::channel(None);
        let (names_sender, names) = watch::channel(NamesById::default());
        let (observations, observation_updates) = watch::channel(CounterSnapshot::default());
        let notifier = LocalityNotifier { config, names: names_sender };
        // Assigns ids from the start, because later versions extend them.
        notifier.notify(proxy, &StableIds::default().assign(proxy));
        let link = consensus.and_then(|consensus| {
            let places = consensus.failover.take()?;
            let (document_status, applied_number) =
                (consensus.failover_status.clone(), consensus.applied_document.clone());
            Some(Link { document_status, applied_number, channels: places })
        });
        let generation = maplehook_transport::unix_ms();
        let setup = Setup {
            name,
            generation,
            config: configs,
            counters: observation_updates,
            link,
            rtts: trips,
            balancer_count: balancers,
            ready: Arc::clone(&ready),
            history,
        };
        let agent = Agent::start(setup)?;
        let serving = ServingSide { plans: agent.active_routing.clone(), names, observations, ready };
        Ok(Self { agent, notifier, serving })
    }
}

/// Converts a plan into the traffic split that the balancer applies.
pub fn traffic_split(plan: &ActiveRouting, names: &NamesById) -> TrafficSplit {
    let Config { topology, rules, own_zone, classes, tenants, .. } = &*plan.config;
    let zone = |zone: Zone| names.zone_id(topology.zone_name(zone));
    let position = |names: &[String], name: &String| names.iter().position(|other| other == name);
    let mut groups = Vec::with_capacity(names.classes.len() * names.tenants.len());
    for class in &names.classes {
        let class = position(classes, class).unwrap_or(usize::MAX);
        for tenant in &names.tenants {
            let tenant = position(tenants, tenant).unwrap_or(usize::MAX);
            groups.push(if class == usize::MAX { u16::MAX } else { rules.rule_index(class, tenant) as u16 });
        }
    }
    let region: Vec<ZoneId> =
        topology.zones_of(topology.region_of(*own_zone)).iter().filter_map(|id| zone(*id)).collect();
    let group_split = |(index, rule): (usize, &maplehook_locality::Rule)| {
        let excluded: Vec<ZoneId> = rule.never.iter().filter_map(|id| zone(*id)).collect();
        let zone_shares = plan.routing.rules.get(index).map_or(&[][..], |shares| &shares.to);
        let shares = zone_shares.iter().filter_map(|(to, share)| Some((zone(*to)?, *share)));
        GroupSplit {
            zone_shares: shares.filter(|(zone, _)| !excluded.contains(zone)).collect(),
            region: region.iter().filter(|zone| !excluded.contains(zone)).copied().collect(),
            max_cross_region: rule.beyond_region_most,
            forbidden: excluded,
        }
    };
    TrafficSplit {
        groups,
        tenants: names.tenants.len(),
        rows: rules.all().iter().enumerate().map(group_split).collect(),
    }
}

/// Returns the observed zone health and request counters, by the zones and rules of `config`.
pub fn observe(
    driver: &Driver,
    config: &Config,
    names: &NamesById,
    at: Duration,
    ready: bool,
) -> CounterSnapshot {
    let health = driver.observations();
    let zone = |zone: Zone| {
        let id = names.zone_id(config.topology.zone_name(zone));
        let zone_health = health.zones.iter().find(|zone_health| Some(zone_health.zone) == id);
        let capacity = config.capacity_per_weight.get(usize::from(zone.0)).copied().flatten();
        let to_capacity = |weight: f64| weight * capacity.unwrap_or(1.0);
        let mut observed = ZoneCounters { zone, stated: capacity.is_some(), ..ZoneCounters::default() };
        if let Some(zone_health) = zone_health {
            (observed.listed, observed.usable, observed.slow_start) = (
                to_capacity(zone_health.listed_weight),
                to_capacity(zone_health.usable_weight),
                to_capacity(zone_health.warming_weight),
            );
            (observed.sent, observed.ok, observed.slow) =
                (zone_health.sent, zone_health.succeeded, zone_health.lagging);
            (observed.failed, observed.unreached, observed.load) =
                (zone_health.failed, zone_health.unreachable, zone_health.load);
        }
        observed
    };
    CounterSnapshot {
        at,
        digest: config.digest,
        ready,
        zones: config.topology.zones().map(zone).collect(),
        upstreams: Arc::default(),
        rules: health
            .groups
            .iter()
            .map(|g| RuleCounters { requests: g.requests, rejected: g.rejected })
            .collect(),
    }
}

/// Returns the addresses of usable upstreams in the zones of `config`, whichever source listed them.
fn listed_endpoints(driver: &Driver, config: &Config, names: &NamesById) -> Vec<(Zone, SocketAddr)> {
    let zone = |id: ZoneId| config.topology.zone(names.zones.get(usize::from(id.0))?);
    let endpoints = driver.endpoints(MAX_PROBE_TARGETS).into_iter();
    endpoints.filter_map(|(id, address)| Some((zone(id)?, address))).collect()
}

impl ServingSide {
    /// Sends observations and applies plans until the agent ends.
    pub async fn run(mut self, driver: Rc<Driver>) {
        let started_at = Instant::now();
        let mut ticks = interval(OBSERVATION_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut config: Option<Arc<Config>> = None;
        let (mut upstreams, mut observation_count) = (Arc::new(Vec::new()), 0u64);
        loop {
            tokio::select! {
                changed = self.plans.changed() => if changed.is_err() { return },
                changed = self.names.changed() => if changed.is_err() { return },
                _ = ticks.tick(), if config.is_some() => {
                    if let Some(config) = &config {
                        let ready = self.ready.load(Ordering::Acquire);
                        let names = self.names.borrow();
                        if observation_count.is_multiple_of(OBSERVATIONS_PER_LISTING) {
                            let listed = listed_endpoints(&driver, config, &names);
                            if *upstreams != listed {
                                upstreams = Arc::new(listed);
                            }
                        }
                        observation_count += 1;
                        let observation = observe(&driver, config, &names, started_at.elapsed(), ready);
                        self.observations
                            .send_replace(CounterSnapshot { upstreams: Arc::clone(&upstreams), ..observation });
                    }
                    continue;
                }
            }
            let plan = self.plans.borrow_and_update().clone();
            let split = plan.as_ref().map(|plan| traffic_split(plan, &self.names.borrow_and_update()));
            config = plan.map(|plan| Arc::clone(&plan.config));
            // The new configuration may number its zones differently.
            observation_count = 0;
            if let Err(e) = driver.set_traffic_split(split) {
                tracing::error!("the traffic split can't be applied, the previous one stays active: {e}");
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_failover::{EffectiveRouting, Shares as ZoneShares};

    /// Guards processes that have seen earlier versions: their ids differ from those of the configuration
    /// file, so splits must map by name.
    #[test]
    fn traffic_split_maps_zones_classes_and_tenants_by_name() {
        let text = "[listen]\naddress = '127.0.0.1:0'\n[balancer]\nzone = 'b'\n[[region]]\nname = 'n'\nzones = ['a', 'b']\n\
            [[region]]\nname = 's'\nzones = ['c']\n[[class]]\nname = 'look'\npath = '/l'\n[[class]]\nname = 'book'\npath = '/b'\n\
            [[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\nzone = 'b'\nroom_per_s = 30.0\nweight = 2.0\n[locality]\nrules = '''\n\
            rule x { for class \"book\"; prefer own zone > anywhere; never zone \"c\"; beyond region at most 20%; }\n'''\n";
        let proxy = maplehook_config::parse(text).unwrap().proxy.unwrap();
        let config = Arc::new(Config::from_proxy(&proxy).unwrap());
        assert_eq!(config.capacity_per_weight, [None, Some(15.0), None]);
        let names = NamesById {
            classes: ["gone", "book", "look"].map(String::from).into(),
            tenants: vec![String::new()],
            zones: ["b", "gone", "c", "a"].map(String::from).into(),
        };
        let zone_shares = |to: &[(u16, f64)]| ZoneShares {
            to: to.iter().map(|(zone, share)| (Zone(*zone), *share)).collect(),
            rejected: 0.0,
        };
        let rules = vec![zone_shares(&[(0, 0.25), (1, 0.75)]), zone_shares(&[(1, 0.5), (2, 0.5)])];
        let plan =
            ActiveRouting { config, routing: EffectiveRouting { rules, ..EffectiveRouting::default() } };
        let split = traffic_split(&plan, &names);
        assert_eq!(split.check(), Ok(()));
        assert_eq!(split.groups, [u16::MAX, 0, 1], "a class that is not configured uses the last row");
        let (a, b, c) = (ZoneId(3), ZoneId(0), ZoneId(2));
        assert_eq!(split.rows[0].zone_shares, [(a, 0.25), (b, 0.75)]);
        assert_eq!((&split.rows[0].forbidden[..], split.rows[0].max_cross_region), (&[c][..], 0.2));
        assert_eq!(split.rows[1].zone_shares, [(b, 0.5), (c, 0.5)]);
        assert_eq!(split.rows[1].region, [a, b]);
    }
}
