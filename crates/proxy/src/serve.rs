//! A balancer from its start to its planned end.

mod components;
mod file;
mod platform;

pub use file::run_from_file;
pub use platform::run_on_platform;

use crate::client::ClientTimeouts;
use crate::command;
use crate::config_reload::SharedGrace;
use crate::gossip_source::GossipSource;
use crate::requests::{ClientAuthentication, RequestReader};
use crate::server::{Server, ShutdownPhase};
use crate::supervised::{SupervisorEnvironment, TrialOutcome};
use components::Components;
use hyper::header::HeaderName;
use maplehook::ledger::Bounds;
use maplehook::parts::body_memory::BodyMemory;
use maplehook::parts::dispatcher::Dispatcher;
use maplehook::parts::driver::Driver;
use maplehook::source::{EndpointUpdate, Source};
use maplehook::tally::Counting;
use maplehook_admission::DescriptorClass;
use maplehook_config::Operator;
use maplehook_core::Settings;
use maplehook_eureka::Registrar;
use maplehook_http_semantics::{Forwarding, Own};
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::runtime::LocalOptions;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// After SIGTERM the front goes on dealing out new connections for 0.4 s at most.
const UNSHARED_DRAIN_TIME: Duration = Duration::from_millis(600);
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// Where the listening socket is shared, whoever follows accepts at once, and idle connections stay for this long: each
/// that is used meanwhile ends with its answer, so that hardly any request meets the end of its connection.
const SHARED_DRAIN_TIME: Duration = Duration::from_millis(2000);
/// For the answers to what is then still held.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// What a balancer is made of, whoever describes it.
struct BalancerSetup {
    listen: SocketAddr,
    /// The socket that clients come to, where the platform holds it.
    inherited: Option<std::net::TcpListener>,
    /// How its supervisor reaches it, if it has one.
    supervisor: Option<SupervisorEnvironment>,
    /// Where operators call, and how that is told in the log.
    control: Option<SocketAddr>,
    control_log_key: &'static str,
    /// What the classes are called.
    classes: Vec<String>,
    settings: Settings,
    seed: u64,
    sockets: usize,
    body_memory: BodyMemory,
    forwarding: Forwarding,
    signs_own_responses: bool,
    client_timeouts: ClientTimeouts,
    /// From SIGTERM until the end.
    grace: SharedGrace,
    operator: Operator,
    /// The operator's file, where it is there.
    file: Option<String>,
    /// Who is told that it serves, inside another program.
    hooks: Option<ServingHooks>,
}

/// Who is told that a balancer serves, and where, and what ends it beside SIGTERM.
pub struct ServingHooks {
    /// Told once.
    pub on_ready: Box<dyn FnOnce(SocketAddr) + Send>,
    /// Ends it, when it is sent or dropped.
    pub stop: oneshot::Receiver<()>,
}

fn block_on(served: impl Future<Output = Result<(), Box<dyn Error>>>) -> Result<(), Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(served)
}

async fn serve(
    setup: BalancerSetup,
    components: Components,
    requests: Rc<RequestReader>,
    (source, known): (Rc<dyn Source>, EndpointUpdate),
    on_start: impl FnOnce(Rc<Driver>, Rc<Counting>),
    registrar: Option<Registrar>,
    finish: impl FnOnce() + Send + 'static,
) -> Result<(), Box<dyn Error>> {
    let Components {
        mut term,
        listener,
        descriptors,
        upstreams,
        admission,
        balancer,
        admin_state,
        shared,
        mut node,
        mut supervisor,
        ..
    } = components;
    let source = match (&node, &setup.operator.tier) {
        (Some(node), Some(tier)) => GossipSource::new(source, &known, node, tier.drains_most),
        _ => source,
    };
    let is_list_pushed = !setup.settings.has_endpoint_discovery;
    let address = listener.local_addr()?;
    tracing::info!(
        listen = %address,
        upstreams = known.entries.len(),
        places = descriptors.limit_of(DescriptorClass::Clients),
        "serving"
    );
    let driver = Driver::start(balancer, upstreams, source, known);
    if is_list_pushed {
        driver.follow_pushed_list();
    }
    let counting = Counting::new(Arc::clone(&admin_state.tally), &setup.classes);
    let dispatcher =
        Dispatcher::new(Rc::clone(&driver), Rc::clone(&counting), Bounds::default(), setup.seed)?;
    on_start(Rc::clone(&driver), counting);
    let (phase, phase_receiver) = watch::channel(ShutdownPhase::Serving);
    let own = Own { signed: setup.signs_own_responses };
    let server = Server::new(dispatcher, requests, admission, Rc::clone(&descriptors), own, phase_receiver);
    let (ready_flag, driver_for_ready) = (Arc::clone(&admin_state.ready), Rc::clone(&driver));
    let ready = spawn_local(async move {
        driver_for_ready.wait_for_list().await;
        ready_flag.store(true, Ordering::Release);
    });
    spawn_local(Rc::clone(&descriptors).watch_process_limit());
    let mut accept_acknowledgement = None;
    if let Some(supervisor) = &mut supervisor {
        let trial = supervisor.trial().map(|trial| spawn_local(Rc::clone(&server).run(trial)));
        match supervisor.wait_for_trial_outcome(&mut term).await? {
            TrialOutcome::Accept(acknowledge) => accept_acknowledgement = Some(acknowledge),
            TrialOutcome::Shutdown => return Ok(()),
        }
        trial.inspect(JoinHandle::abort);
        tracing::info!("accepting");
    }
    let mut accepting = spawn_local(server.run(listener));
    if let Some(accept_acknowledgement) = accept_acknowledgement {
        // It has gone if it did not wait for so long.
        let _ = accept_acknowledgement.try_send(());
    }

    let registrar = registrar.map(Rc::new);
    let registration_task =
        registrar.clone().map(|registrar| spawn_local(async move { registrar.keep().await }));
    // Another process goes on with the registration, unless the whole balancer ends.
    let mut is_shutting_down = supervisor.is_none();
    match setup.hooks {
        Some(ServingHooks { on_ready, stop }) => {
            on_ready(address);
            tokio::select! { _ = term.recv() => {} _ = stop => {} }
        }
        None => match &mut supervisor {
            Some(supervisor) => {
                tokio::select! { _ = term.recv() => {} () = supervisor.wait_for_shutdown() => is_shutting_down = true }
            }
            None => drop(term.recv().await),
        },
    }
    tracing::info!("leaving");
    // Whoever ends this process goes by the settings of this moment, whatever SIGHUP brings from here on.
    let grace = setup.grace.get();
    if let (Some(registrar), Some(registration_task)) =
        (registrar.filter(|_| is_shutting_down), &registration_task)
    {
        // Whoever reads the registry sends nothing new from here on. Nothing else waits for it.
        registration_task.abort();
        spawn_local(async move {
            if !registrar.deregister().await {
                tracing::warn!("the registry did not take the deregistration; the lease ends by itself");
            }
        });
    }
    registration_task.inspect(JoinHandle::abort);
    let mut finish = Some(finish);
    if supervisor.take().is_some() {
        // What the next process waits for; the threads' last steps may take a disk's time.
        let (first_finish, node) = (finish.take(), node.take());
        std::thread::spawn(move || {
            if let Some(first_finish) = first_finish {
                first_finish();
            }
            drop(node);
            if let Some(finish) = finish {
                finish();
            }
        });
    }
    ready.abort();
    admin_state.ready.store(false, Ordering::Release);
    let drain_time = if shared { SHARED_DRAIN_TIME } else { UNSHARED_DRAIN_TIME };
    phase.send_replace(if shared { ShutdownPhase::Draining } else { ShutdownPhase::NotReady });
    if timeout(drain_time, &mut accepting).await.is_err() {
        phase.send_replace(ShutdownPhase::Closing);
        let remaining = grace.saturating_sub(drain_time + FINAL_RESPONSE_TIME);
        if timeout(remaining, &mut accepting).await.is_err() {
            phase.send_replace(ShutdownPhase::Stopped);
            driver.abort_attempts();
            let _ = timeout(FINAL_RESPONSE_TIME, &mut accepting).await;
        }
    }
    drop(node);
    tracing::info!("gone");
    Ok(())
}

/// By what clients show that they are known; a tenant that there is not is a slip worth a word.
fn client_authentication(
    operator: &Operator,
    tenants: &[String],
) -> Result<ClientAuthentication, Box<dyn Error>> {
    if let Some(name) = operator.known_tenants.iter().find(|name| !tenants.contains(name)) {
        return Err(format!("admission.known_tenants: there is no tenant {name:?}").into());
    }
    let token = operator.token.as_ref().map(|token| {
        let signer =
            command::token_signer(&token.secret_file).map_err(|e| format!("token.secret_file: {e}"))?;
        Ok::<_, Box<dyn Error>>((HeaderName::try_from(&token.header)?, signer))
    });
    Ok(ClientAuthentication { trusted_tenants: operator.known_tenants.clone(), token: token.transpose()? })
}
