//! A balancer as the operator's file alone describes it.

use super::parts::Parts;
use super::{KILL_AFTER_DEADLINE, Plan, Told, block_on, client_authentication, serve};
use crate::client::ClientTimeouts;
use crate::counts::{self, IntervalCounts};
use crate::failover::FailoverAgent;
use crate::inherited;
use crate::requests::RequestReader;
use crate::supervised::{self, Led, Supervised};
use crate::versions::Versions;
use maplehook::endpoint_list::EndpointList;
use maplehook::parts::body_memory::BodyMemory;
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

/// The longest silence of a client in the middle of a request, but for a body that streams, whose class says it.
const SILENCE: Duration = Duration::from_secs(5);

/// Serves as the operator's file alone says, until SIGTERM.
pub fn by_file(
    mut operator: Operator,
    file: Option<String>,
    inherited: Option<std::io::Result<std::net::TcpListener>>,
    supervised: Option<Supervised>,
    told: Option<Told>,
) -> Result<(), Box<dyn Error>> {
    let mut proxy =
        operator.proxy.take().ok_or("it names no listen.address, no [[class]] and no [[upstream]]")?;
    let agreement = operator.tier.as_ref().and_then(|tier| tier.agreement.as_ref());
    let refuses = agreement.is_some_and(|agreement| agreement.when_cut_off == CutOff::Refuse);
    let agrees = agreement.is_some();
    if agrees {
        // Until it is known what the others act on.
        proxy = maplehook_versions::compatibility::conservative(&proxy);
    }
    let longest = proxy.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let mut plan = Plan {
        listen: proxy.listen,
        inherited: inherited::matching_listener(inherited, proxy.listen),
        supervised,
        control: operator.control,
        control_told: "operator_listen",
        classes: proxy.classes.clone(),
        settings: proxy.settings.clone(),
        seed: RandomState::new().build_hasher().finish(),
        sockets: proxy.sockets,
        room: BodyMemory::new(proxy.bodies),
        forwarding: proxy.forwarding.clone(),
        own: proxy.own,
        client_timeouts: ClientTimeouts { request_idle: SILENCE, response_unread: proxy.stall },
        grace: Rc::new(Cell::new(longest.max(proxy.drain) + KILL_AFTER_DEADLINE)),
        operator,
        file,
        told,
    };
    block_on(async move {
        let client_authentication = client_authentication(&plan.operator, &proxy.tenants)?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut parts = Parts::new(&mut plan, Some(&proxy))?;
        let fronts = plan.operator.admission.fronts.clone();
        let requests =
            Rc::new(RequestReader::from_file(&proxy, fronts, client_authentication, plan.room.clone()));
        requests.set_reject_all(refuses);
        parts.admission.set_known_networks(proxy.clients.known.clone());
        parts.board.refuses.store(refuses, Ordering::Release);
        let lists = Rc::new(EndpointList::new(Fixed::listed(proxy.listed(|zone| zone)).into_entries()));
        let known = EndpointUpdate { scope: UpdateScope::Cached, ..lists.full_update() };
        let (source, registrar) = match &proxy.eureka {
            None => (Rc::clone(&lists) as Rc<dyn Source>, None),
            Some(file) => {
                let settings = eureka::Settings::by_file(file, &proxy.zones)?;
                let registrar = file.registration.as_ref().map(|own| {
                    let address = own.address.map_or_else(|| parts.listener.local_addr(), Ok)?;
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
        let agreeing = parts.agreeing.take();
        // The thread of places ends when this does, and hears of versions as long as this lives.
        let (agent, mut notifier, serving_side) = match parts.places.take() {
            Some(FailoverAgent { agent, notifier, serving }) => (Some(agent), Some(notifier), Some(serving)),
            None => (None, None, None),
        };
        let mut taking_stages = parts.staging.take();
        let serving = taking_stages.as_mut().and_then(|taking| taking.serving.take());
        let names = notifier.as_ref().map(|notifier| notifier.names.subscribe());
        let stages = serving
            .zip(names)
            .map(|(channels, names)| counts::RolloutLink { channels, counts: IntervalCounts::new(names) });
        let counts = stages.as_ref().map(|part| {
            let channels = &part.channels;
            (Rc::clone(&part.counts), channels.report_interval.clone(), channels.reports.clone())
        });
        let versions =
            agreeing.as_ref().zip(notifier.take_if(|_| agreeing.is_some())).map(|(agreeing, notifier)| {
                let lists = proxy.eureka.is_none().then_some(lists);
                let mut versions = Versions::new(
                    &proxy,
                    lists,
                    Rc::clone(&requests),
                    Rc::clone(&parts.admission),
                    Rc::clone(&parts.upstreams),
                    Arc::clone(&parts.board.refuses),
                    notifier,
                );
                versions.stages = stages;
                (versions, agreeing.active_version.clone(), agreeing.applied_epoch.clone())
            });
        let beside = parts.led.as_ref().map(Led::beside);
        let settings = plan.settings.clone();
        let begun = |driver: Rc<Driver>, counting| {
            if let Some((counts, each, counted)) = counts {
                spawn_local(counts.run(each, counted, Rc::clone(&counting)));
            }
            if let Some(serving_side) = serving_side {
                spawn_local(serving_side.run(Rc::clone(&driver)));
            }
            spawn_local(async move {
                while hangup.recv().await.is_some() {
                    tracing::warn!("nothing is read anew: the file is read at the start");
                }
            });
            if let Some((versions, acting, applied)) = versions {
                spawn_local(versions.follow(acting, applied, driver, counting, beside));
            } else if let Some(beside) = beside {
                spawn_local(supervised::follow(settings, beside, driver));
            }
        };
        let rest = move || drop((agent, taking_stages, agreeing));
        let served = serve(plan, parts, requests, (source, known), begun, registrar, rest).await;
        drop(notifier);
        served
    })
}
