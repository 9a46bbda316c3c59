//! A balancer from its start to its planned end.

use crate::command;
use crate::config::Config;
use crate::control::{self, Board};
use crate::entrance::Entrance;
use crate::handover::{Handover, Remembered};
use crate::hearsay::Hearsay;
use crate::inherited;
use crate::requests::{Requests, Vouching};
use crate::retune::{Grace, Retuner};
use crate::server::{Phase, Server};
use crate::signed::Seal;
use crate::tier;
use crate::versions::Versions;
use crate::wishes::Guard;
use hyper::header::HeaderName;
use lapisroute::{Balancer, FleetScope, Settings};
use lapisroute_settings::Tuned;
use maplehook::ledger::Bounds;
use maplehook::lists::Lists;
use maplehook::parts::descriptors::{self, Descriptors};
use maplehook::parts::desk::Desk;
use maplehook::parts::discovery::Discovery;
use maplehook::parts::driver::Driver;
use maplehook::parts::room::Room;
use maplehook::parts::upstream::Upstreams;
use maplehook::source::{Fixed, News, Source};
use maplehook::tally::Counting;
use maplehook_admission::{Door, Part};
use maplehook_config::{CutOff, Operator};
use maplehook_eureka::{self as eureka, Eureka, Registrar, Registration};
use maplehook_link::{Member, Secret};
use maplehook_quorum::Agreeing;
use maplehook_routes::{Forwarding, Own};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::error::Error;
use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// After SIGTERM the front goes on dealing out new connections for 0.4 s at most.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const KILL_DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// Where the listening socket is shared, whoever follows accepts at once, and idle connections stay for this long: each
/// that is used meanwhile ends with its answer, so that hardly any request meets the end of its connection.
const IDLE_AFTER_TERM: Duration = Duration::from_millis(2000);
/// How long a platform's client may leave an answer unread.
const STALL: Duration = Duration::from_secs(20);
/// For the answers to what is then still held.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// What a balancer is made of, whoever describes it.
struct Plan {
    listen: SocketAddr,
    /// The socket that clients come to, where the platform holds it.
    inherited: Option<std::net::TcpListener>,
    /// Where operators call, and how that is told in the log.
    control: Option<SocketAddr>,
    control_told: &'static str,
    /// What the classes are called.
    classes: Vec<String>,
    settings: Settings,
    seed: u64,
    sockets: usize,
    room: Room,
    forwarding: Forwarding,
    own: bool,
    stall: Duration,
    /// From SIGTERM until the end.
    grace: Grace,
    operator: Operator,
    /// The operator's file, where it is there.
    file: Option<String>,
}

/// Who is told that a balancer serves, and where, and what ends it beside SIGTERM.
pub struct Told {
    /// Told once.
    pub ready: Box<dyn FnOnce(SocketAddr) + Send>,
    /// Ends it, when it is sent or dropped.
    pub stop: oneshot::Receiver<()>,
}

/// Serves as the platform says, until SIGTERM.
pub fn on_platform(
    config: Config,
    mut operator: Operator,
    inherited: Option<std::io::Result<std::net::TcpListener>>,
    told: Option<Told>,
) -> Result<(), Box<dyn Error>> {
    let inherited = inherited.and_then(|taken| {
        let fit = taken.and_then(|listener| inherited::serves(&listener, config.listen).map(|()| listener));
        // The balancer's own socket does as well, unless somebody holds that address.
        fit.map_err(|e| tracing::warn!("{}: {e}; binding {} instead", inherited::VARIABLE, config.listen))
            .ok()
    });
    if operator.tier.take().is_some() {
        tracing::warn!("[tier] has no effect on the platform, which says who speaks to whom");
    }
    let settings = config.tuned.site().settings.clone();
    let plan = Plan {
        listen: config.listen,
        inherited,
        control: config.operator,
        control_told: "control",
        classes: config.tuned.site().names.classes.clone(),
        seed: config.seed,
        sockets: config.limits.sockets,
        room: Room::new(config.long_answers()),
        forwarding: Forwarding::platform(),
        own: false,
        stall: STALL,
        grace: Rc::new(Cell::new(platform_grace(&config.tuned))),
        settings,
        operator,
        file: None,
    };
    block_on(async move {
        let vouching = vouching(&plan.operator, &config.tuned.site().names.tenants)?;
        let hangup = signal(SignalKind::hangup())?;
        let mut plan = plan;
        let parts = Parts::new(&mut plan)?;
        let discovery = Rc::new(Discovery::new(
            config.discovery,
            config.tuned.site().names.clone(),
            Rc::clone(&parts.descriptors),
        ));
        let mut known = discovery.known(&config.known);
        // Only then may another process of this balancer run before, beside or after this one.
        let handover = if parts.shared { Handover::of(&config.name) } else { None };
        let left = handover.as_ref().and_then(|handover| handover.take(&discovery.names()));
        let (follows, allowed) = (left.is_some(), plan.sockets);
        let heritage = left.as_ref().map(|left| left.heritage(&discovery.names()));
        if let Some(left) = left {
            known = left.list(known, &discovery);
        }
        let remembered = handover.is_some().then(|| Remembered::new(Rc::clone(&discovery), &known));
        let source = match &remembered {
            Some(remembered) => Rc::clone(remembered) as Rc<dyn Source>,
            None => Rc::clone(&discovery) as Rc<dyn Source>,
        };
        tracing::info!(limits = ?config.limits, "configured by the platform");
        let requests = Rc::new(Requests::platform(&config.tuned, vouching, plan.room.clone()));
        let descriptors = Rc::clone(&parts.descriptors);
        let retuner = Retuner {
            config,
            discovery,
            requests: Rc::clone(&requests),
            entrance: Rc::clone(&parts.entrance),
            descriptors: Rc::clone(&parts.descriptors),
            grace: Rc::clone(&plan.grace),
            grace_by: platform_grace,
        };
        let begun = |driver: Rc<Driver>, counting| {
            if let Some(heritage) = heritage {
                driver.inherit(heritage);
            }
            if let (Some(handover), Some(remembered)) = (handover, remembered) {
                spawn_local(handover.keep(remembered, Rc::clone(&driver), descriptors, allowed, follows));
            }
            spawn_local(retuner.run(hangup, driver, counting));
        };
        serve(plan, parts, requests, (source, known), begun, told, None).await
    })
}

/// From SIGTERM until the end.
fn platform_grace(tuned: &Tuned) -> Duration {
    let longest = tuned.classes().map(|(_, _, class)| class.deadline).max().unwrap_or_default();
    longest.min(KILL_DEADLINE_MOST) + KILL_AFTER_DEADLINE
}

/// Serves as the operator's file alone says, until SIGTERM.
pub fn by_file(
    mut operator: Operator,
    file: Option<String>,
    told: Option<Told>,
) -> Result<(), Box<dyn Error>> {
    let mut proxy =
        operator.proxy.take().ok_or("it names no listen.address, no [[class]] and no [[upstream]]")?;
    let agreement = operator.tier.as_ref().and_then(|tier| tier.agreement.as_ref());
    let refuses = agreement.is_some_and(|agreement| agreement.when_cut_off == CutOff::Refuse);
    let agrees = agreement.is_some();
    if agrees {
        // Until it is known what the others act on.
        proxy = maplehook_agreement::strict::careful(&proxy);
    }
    let longest = proxy.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let mut plan = Plan {
        listen: proxy.listen,
        inherited: None,
        control: operator.control,
        control_told: "operator_listen",
        classes: proxy.classes.clone(),
        settings: proxy.settings.clone(),
        seed: RandomState::new().build_hasher().finish(),
        sockets: proxy.sockets,
        room: Room::new(proxy.bodies),
        forwarding: proxy.forwarding.clone(),
        own: proxy.own,
        stall: proxy.stall,
        grace: Rc::new(Cell::new(longest.max(proxy.drain) + KILL_AFTER_DEADLINE)),
        operator,
        file,
    };
    block_on(async move {
        let vouching = vouching(&plan.operator, &proxy.tenants)?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut parts = Parts::new(&mut plan)?;
        let fronts = plan.operator.admission.fronts.clone();
        let requests = Rc::new(Requests::of(&proxy, fronts, vouching, plan.room.clone()));
        requests.refuse(refuses);
        parts.entrance.know(proxy.clients.known.clone());
        parts.board.refuses.store(refuses, Ordering::Release);
        let lists = Rc::new(Lists::new(Fixed::listed(proxy.listed(|zone| zone)).into_entries()));
        let known = News { scope: FleetScope::Cached, ..lists.news() };
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
        let versions = agreeing.as_ref().map(|agreeing| {
            let lists = proxy.eureka.is_none().then_some(lists);
            let versions = Versions::new(
                &proxy,
                lists,
                Rc::clone(&requests),
                Rc::clone(&parts.entrance),
                Rc::clone(&parts.upstreams),
                Arc::clone(&parts.board.refuses),
            );
            (versions, agreeing.acting.clone(), agreeing.applied.clone())
        });
        let begun = |driver, counting| {
            spawn_local(async move {
                while hangup.recv().await.is_some() {
                    tracing::warn!("nothing is read anew: the file is read at the start");
                }
            });
            if let Some((versions, acting, applied)) = versions {
                spawn_local(versions.follow(acting, applied, driver, counting));
            }
        };
        let served = serve(plan, parts, requests, (source, known), begun, told, registrar).await;
        drop(agreeing);
        served
    })
}

fn block_on(served: impl Future<Output = Result<(), Box<dyn Error>>>) -> Result<(), Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(served)
}

/// What is there before anybody is let in.
struct Parts {
    term: Signal,
    listener: TcpListener,
    descriptors: Rc<Descriptors>,
    upstreams: Rc<Upstreams>,
    entrance: Rc<Entrance>,
    balancer: Balancer,
    board: Board,
    /// Whether others accept on the listener too.
    shared: bool,
    /// Its part in a tier. It says that it goes when this is dropped.
    member: Option<Member>,
    /// Its part in agreeing on versions.
    agreeing: Option<Agreeing>,
}

impl Parts {
    fn new(plan: &mut Plan) -> Result<Self, Box<dyn Error>> {
        if let Some(limit) = plan.operator.descriptors.limit {
            descriptors::set_limit(limit).map_err(|e| format!("descriptors.limit: {e}"))?;
        }
        let balancer = Balancer::new(plan.settings.clone(), plan.seed)?;
        // Before anybody can know that this process is ready: unhandled, it would kill.
        let term = signal(SignalKind::terminate())?;
        let operators = if plan.control.is_some() { control::DESCRIPTORS } else { 0 };
        let aside = operators + plan.operator.tier.as_ref().map_or(0, tier::descriptors);
        let descriptors = Descriptors::new(plan.sockets, aside, plan.operator.descriptors.upstream_share)?;
        let (shared, listener) = match plan.inherited.take() {
            Some(listener) => (true, TcpListener::from_std(listener)),
            None => (false, listen(plan.listen, plan.operator.backlog)),
        };
        let listener = listener.map_err(|e| format!("listen on {}: {e}", plan.listen))?;
        let mut member = plan
            .operator
            .tier
            .as_ref()
            .map(|tier| maplehook_quorum::join(tier, env!("CARGO_PKG_VERSION")))
            .transpose()?;
        let mut board = Board { tier: member.as_ref().map(Member::asks), ..Board::default() };
        let mut agreeing = None;
        if let (Some(member), Some(tier)) = (&mut member, &plan.operator.tier)
            && let Some(agreement) = &tier.agreement
        {
            let file =
                plan.file.take().ok_or("[agreement] needs the file itself: maplehook run --config FILE")?;
            let began = maplehook_quorum::agree(tier, agreement, file, member)?;
            let secret = Secret::read(&tier.secret_file).map_err(|e| format!("tier.secret_file: {e}"))?;
            board.settings = Some(Arc::new(Guard::new(Arc::new(Seal::new(&secret)), began.wishes())));
            agreeing = Some(began);
        }
        if let Some(address) = plan.control {
            let bound = control::serve(address, board.clone())
                .map_err(|e| format!("operators' calls on {address}: {e}"))?;
            tracing::info!("operators may call {}={bound}", plan.control_told);
        }
        let (room, forwarding) = (plan.room.clone(), plan.forwarding.clone());
        let upstreams = Rc::new(Upstreams::new(
            &plan.settings,
            Rc::clone(&descriptors),
            room,
            forwarding,
            Arc::clone(&board.tally),
        ));
        let guarantees: Vec<f64> = plan.settings.tenants.iter().map(|t| t.allowance_per_s).collect();
        let places = descriptors.of(Part::Clients);
        let door = Door::new(plan.operator.admission.clone(), places, &guarantees, plan.seed);
        let entrance = Entrance::new(door, plan.stall);
        share_descriptors(&descriptors, &upstreams, &entrance);
        Ok(Self {
            term,
            listener,
            descriptors,
            upstreams,
            entrance,
            balancer,
            board,
            shared,
            member,
            agreeing,
        })
    }
}

async fn serve(
    plan: Plan,
    parts: Parts,
    requests: Rc<Requests>,
    (source, known): (Rc<dyn Source>, News),
    begun: impl FnOnce(Rc<Driver>, Rc<Counting>),
    told: Option<Told>,
    registrar: Option<Registrar>,
) -> Result<(), Box<dyn Error>> {
    let Parts {
        mut term, listener, descriptors, upstreams, entrance, balancer, board, shared, member, ..
    } = parts;
    let source = match (&member, &plan.operator.tier) {
        (Some(member), Some(tier)) => Hearsay::new(source, &known, member, tier.drains_most),
        _ => source,
    };
    let pushed = !plan.settings.ask_for_fleet;
    let address = listener.local_addr()?;
    tracing::info!(
        listen = %address,
        upstreams = known.entries.len(),
        places = descriptors.of(Part::Clients),
        "serving"
    );
    let driver = Driver::start(balancer, upstreams, source, known);
    if pushed {
        driver.follow();
    }
    let counting = Counting::new(Arc::clone(&board.tally), &plan.classes);
    let desk = Desk::new(Rc::clone(&driver), Rc::clone(&counting), Bounds::default(), plan.seed)?;
    begun(Rc::clone(&driver), counting);
    let (phase, phases) = watch::channel(Phase::Serving);
    let words = Own { signed: plan.own };
    let server = Server::new(desk, requests, entrance, Rc::clone(&descriptors), words, phases);
    let mut accepting = spawn_local(server.run(listener));
    let (ready_to, knowing) = (Arc::clone(&board.ready), Rc::clone(&driver));
    let ready = spawn_local(async move {
        knowing.knows_a_list().await;
        ready_to.store(true, Ordering::Release);
    });
    spawn_local(Rc::clone(&descriptors).watch());

    let registrar = registrar.map(Rc::new);
    let kept = registrar.clone().map(|registrar| spawn_local(async move { registrar.keep().await }));
    match told {
        Some(Told { ready, stop }) => {
            ready(address);
            tokio::select! { _ = term.recv() => {} _ = stop => {} }
        }
        None => drop(term.recv().await),
    }
    tracing::info!("leaving");
    if let (Some(registrar), Some(kept)) = (registrar, kept) {
        // Whoever reads the registry sends nothing new from here on. Nothing else waits for it.
        kept.abort();
        spawn_local(async move {
            if !registrar.deregister().await {
                tracing::warn!("the registry did not take the deregistration; the lease ends by itself");
            }
        });
    }
    ready.abort();
    board.ready.store(false, Ordering::Release);
    let until_idle_end = if shared { IDLE_AFTER_TERM } else { ACCEPT_AFTER_TERM };
    phase.send_replace(if shared { Phase::Draining } else { Phase::Leaving });
    if timeout(until_idle_end, &mut accepting).await.is_err() {
        phase.send_replace(Phase::Closing);
        let rest = plan.grace.get().saturating_sub(until_idle_end + LAST_WORDS);
        if timeout(rest, &mut accepting).await.is_err() {
            driver.cut_off();
            let _ = timeout(LAST_WORDS, &mut accepting).await;
        }
    }
    drop(member);
    tracing::info!("gone");
    Ok(())
}

fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // As after a crash: the address may still have connections that are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// By what clients show that they are known; a tenant that there is not is a slip worth a word.
fn vouching(operator: &Operator, tenants: &[String]) -> Result<Vouching, Box<dyn Error>> {
    if let Some(name) = operator.known_tenants.iter().find(|name| !tenants.contains(name)) {
        return Err(format!("admission.known_tenants: there is no tenant {name:?}").into());
    }
    let token = operator.token.as_ref().map(|token| {
        let signer = command::signer(&token.secret_file).map_err(|e| format!("token.secret_file: {e}"))?;
        Ok::<_, Box<dyn Error>>((HeaderName::try_from(&token.header)?, signer))
    });
    Ok(Vouching { tenants: operator.known_tenants.clone(), token: token.transpose()? })
}

/// Who gives descriptors up, and who has to know that there are fewer: an idle connection to an upstream
/// costs less than a client.
fn share_descriptors(descriptors: &Rc<Descriptors>, upstreams: &Rc<Upstreams>, entrance: &Rc<Entrance>) {
    let idle = Rc::clone(upstreams);
    descriptors.relieved_by(move || idle.close_oldest());
    let clients = Rc::clone(entrance);
    descriptors.relieved_by(move || clients.shed());
    let (of, upstreams, entrance) = (Rc::downgrade(descriptors), Rc::clone(upstreams), Rc::clone(entrance));
    descriptors.tells(move || {
        if let Some(descriptors) = of.upgrade() {
            entrance.resize(descriptors.of(Part::Clients));
            upstreams.resized();
        }
    });
}
