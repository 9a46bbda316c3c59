//! Runs a balancer that is configured by the operator's file alone.

use super::components::Components;
use super::{BalancerSetup, KILL_AFTER_DEADLINE, ServingHooks, block_on, client_authentication, serve};
use crate::client::ClientTimeouts;
use crate::counts::{self, IntervalCounts};
use crate::failover::FailoverAgent;
use crate::inherited;
use crate::memory::MemoryLimit;
use crate::requests::RequestReader;
use crate::supervised::{self, SupervisorChannel, SupervisorEnvironment};
use crate::versions::VersionApplier;
use maplehook::endpoint_list::EndpointList;
use maplehook::parts::driver::Driver;
use maplehook::source::{EndpointUpdate, Fixed, Source};
use maplehook_config::{CutOff, Operator};
use maplehook_core::UpdateScope;
use maplehook_eureka::{self as eureka, Eureka, Registrar, Registration};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::error::Error;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

/// Longest time without data from a client within a request. A streaming body has the limit of its class
/// instead.
const REQUEST_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves according to the operator's file until SIGTERM.
pub fn run_from_file(
    mut operator: Operator,
    operator_file_text: Option<String>,
    inherited: Option<std::io::Result<std::net::TcpListener>>,
    supervisor: Option<SupervisorEnvironment>,
    hooks: Option<ServingHooks>,
) -> Result<(), Box<dyn Error>> {
    let mut proxy =
        operator.proxy.take().ok_or("the file has no listen.address, [[class]] and [[upstream]]")?;
    let agreement = operator.tier.as_ref().and_then(|tier| tier.agreement.as_ref());
    let rejects_all = agreement.is_some_and(|agreement| agreement.when_cut_off == CutOff::Refuse);
    let has_agreement = agreement.is_some();
    if has_agreement {
        // Conservative rules apply until the version in force is known.
        proxy = maplehook_versions::compatibility::conservative(&proxy);
    }
    let max_class_deadline =
        proxy.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let mut setup = BalancerSetup {
        listen: proxy.listen,
        inherited: inherited::matching_listener(inherited, proxy.listen),
        supervisor,
        control: operator.control,
        control_log_key: "operator_listen",
        classes: proxy.classes.clone(),
        settings: proxy.settings.clone(),
        seed: RandomState::new().build_hasher().finish(),
        sockets: proxy.sockets,
        memory: MemoryLimit::Buffers(proxy.bodies),
        forwarding: proxy.forwarding.clone(),
        signs_own_responses: proxy.own,
        client_timeouts: ClientTimeouts { request_idle: REQUEST_IDLE_TIMEOUT, response_unread: proxy.stall },
        stream_grace: Duration::ZERO,
        grace: Rc::new(Cell::new(max_class_deadline.max(proxy.drain) + KILL_AFTER_DEADLINE)),
        operator,
        operator_file_text,
        hooks,
    };
    block_on(async move {
        let client_authentication = client_authentication(&setup.operator, &proxy.tenants)?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut components = Components::new(&mut setup, Some(&proxy))?;
        let fronts = setup.operator.admission.fronts.clone();
        let request_reader = Rc::new(RequestReader::from_file(
            &proxy,
            fronts,
            client_authentication,
            components.memory.clone(),
        ));
        request_reader.set_reject_all(rejects_all);
        components.admission.set_known_networks(proxy.clients.known.clone());
        components.admin_state.rejects_all.store(rejects_all, Ordering::Release);
        let lists = Rc::new(EndpointList::new(Fixed::listed(proxy.listed(|zone| zone)).into_entries()));
        let known = EndpointUpdate { scope: UpdateScope::Cached, ..lists.full_update() };
        let (source, registrar) = match &proxy.eureka {
            None => (Rc::clone(&lists) as Rc<dyn Source>, None),
            Some(file) => {
                let settings = eureka::Settings::by_file(file, &proxy.zones)?;
                let registrar = file.registration.as_ref().map(|own| {
                    let address = own.address.map_or_else(|| components.listener.local_addr(), Ok)?;
                    let registration = Registration {
                        app: own.app.clone(),
                        id: own.id.clone(),
                        address,
                        vip: own.vip.clone(),
                        renew: own.renew,
                        metadata: BTreeMap::new(),
                    };
                    Ok::<_, std::io::Error>(Registrar::new(
                        registration,
                        &settings.manner,
                        &settings.replicas,
                    ))
                });
                let names: Vec<String> = proxy.upstreams.iter().map(|u| u.name.clone()).collect();
                let source = Eureka::new(settings, &known.entries, &names);
                (Rc::new(source) as Rc<dyn Source>, registrar.transpose()?)
            }
        };
        let consensus = components.consensus.take();
        // The failover agent ends when its handle is dropped. The notifier must live as long as the agent.
        let (agent, mut notifier, serving_side) = match components.failover_agent.take() {
            Some(FailoverAgent { agent, notifier, serving }) => (Some(agent), Some(notifier), Some(serving)),
            None => (None, None, None),
        };
        let mut rollout_member = components.rollout.take();
        let serving = rollout_member.as_mut().and_then(|member| member.serving.take());
        let names = notifier.as_ref().map(|notifier| notifier.names.subscribe());
        let rollout_link = serving
            .zip(names)
            .map(|(channels, names)| counts::RolloutLink { channels, counts: IntervalCounts::new(names) });
        let counts = rollout_link.as_ref().map(|link| {
            let channels = &link.channels;
            (Rc::clone(&link.counts), channels.report_interval.clone(), channels.reports.clone())
        });
        let versions =
            consensus.as_ref().zip(notifier.take_if(|_| consensus.is_some())).map(|(consensus, notifier)| {
                let lists = proxy.eureka.is_none().then_some(lists);
                let mut versions = VersionApplier::new(
                    &proxy,
                    lists,
                    Rc::clone(&request_reader),
                    Rc::clone(&components.admission),
                    Rc::clone(&components.upstreams),
                    Arc::clone(&components.admin_state.rejects_all),
                    notifier,
                );
                versions.rollout = rollout_link;
                (versions, consensus.active_version.clone(), consensus.applied_epoch.clone())
            });
        let sibling = components.supervisor.as_ref().map(SupervisorChannel::watch_sibling);
        let settings = setup.settings.clone();
        let on_start = |driver: Rc<Driver>, counting| {
            if let Some((counts, each, counted)) = counts {
                spawn_local(counts.run(each, counted, Rc::clone(&counting)));
            }
            if let Some(serving_side) = serving_side {
                spawn_local(serving_side.run(Rc::clone(&driver)));
            }
            spawn_local(async move {
                while hangup.recv().await.is_some() {
                    tracing::warn!("SIGHUP is ignored: the operator's file is read only at the start");
                }
            });
            if let Some((versions, active_version, applied_epoch)) = versions {
                spawn_local(versions.follow(active_version, applied_epoch, driver, counting, sibling));
            } else if let Some(sibling) = sibling {
                spawn_local(supervised::follow_sibling(settings, sibling, driver));
            }
        };
        let finish = move || drop((agent, rollout_member, consensus));
        let served =
            serve(setup, components, request_reader, (source, known), on_start, registrar, finish).await;
        drop(notifier);
        served
    })
}
