//! Runs a balancer from its start to its graceful shutdown.

mod components;
mod departure;
mod file;
mod platform;

pub use file::run_from_file;
pub use platform::run_on_platform;

use crate::client::ClientTimeouts;
use crate::command;
use crate::config_reload::SharedGrace;
use crate::gossip_source::GossipSource;
use crate::memory::{self, MemoryLimit};
use crate::requests::{ClientAuthentication, RequestReader};
use crate::server::{Server, ShutdownPhase};
use crate::supervised::{SupervisorChannel, SupervisorEnvironment, TrialOutcome};
use components::Components;
use departure::{ActiveRegistration, Departure, wait_for_departure, wait_for_successor};
use hyper::header::HeaderName;
use maplehook::ledger::Bounds;
use maplehook::metrics::RequestMetrics;
use maplehook::parts::dispatcher::Dispatcher;
use maplehook::parts::driver::Driver;
use maplehook::source::{EndpointUpdate, Source};
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
use tokio::time::{Instant, timeout, timeout_at};

/// Longest class deadline for which the platform delays SIGKILL. The platform sends SIGKILL 0.7 s after the
/// longest class deadline, or after this limit if it is shorter.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the longest class deadline and the end of a shutdown, which is 0.1 s before the platform's
/// SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// Time for sending the last responses after the attempts in flight are aborted.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Settings of a balancer, from the operator's file or the platform.
struct BalancerSetup {
    listen: SocketAddr,
    /// Listener that was passed by the parent process; `None` if the balancer binds its own.
    inherited: Option<std::net::TcpListener>,
    /// Environment from the supervisor, if one started this process.
    supervisor: Option<SupervisorEnvironment>,
    /// Address of the admin API, and the key under which the log names it.
    control: Option<SocketAddr>,
    control_log_key: &'static str,
    /// Names of the classes by id.
    classes: Vec<String>,
    settings: Settings,
    seed: u64,
    sockets: usize,
    memory: MemoryLimit,
    forwarding: Forwarding,
    signs_own_responses: bool,
    client_timeouts: ClientTimeouts,
    /// Longest time from SIGTERM to the end of the process.
    grace: SharedGrace,
    /// Time beyond that for answers that are being passed on.
    stream_grace: Duration,
    operator: Operator,
    /// Text of the operator's file, if it was read from a file.
    operator_file_text: Option<String>,
    /// Callbacks for a balancer inside another program.
    hooks: Option<ServingHooks>,
}

/// Callbacks of a program that runs a balancer on one of its threads.
pub struct ServingHooks {
    /// Called once with the listener's address when the balancer serves.
    pub on_ready: Box<dyn FnOnce(SocketAddr) + Send>,
    /// Shuts the balancer down when a message is sent or the sender is dropped.
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
    request_reader: Rc<RequestReader>,
    (source, known): (Rc<dyn Source>, EndpointUpdate),
    on_start: impl FnOnce(Rc<Driver>, Rc<RequestMetrics>),
    registrar: Option<Registrar>,
    finish: impl FnOnce() + Send + 'static,
) -> Result<(), Box<dyn Error>> {
    let Components {
        mut sigterm,
        listener,
        descriptors,
        memory,
        upstreams,
        admission,
        balancer,
        admin_state,
        is_listener_shared,
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
    let counting = RequestMetrics::new(Arc::clone(&admin_state.tally), &setup.classes);
    let dispatcher =
        Dispatcher::new(Rc::clone(&driver), Rc::clone(&counting), Bounds::default(), &memory, setup.seed)?;
    on_start(Rc::clone(&driver), counting);
    let (phase, phase_receiver) = watch::channel(ShutdownPhase::Serving);
    let own = Own { signed: setup.signs_own_responses };
    let server = Server::new(
        dispatcher,
        request_reader,
        admission,
        Rc::clone(&descriptors),
        &memory,
        own,
        phase_receiver,
    );
    let (ready_flag, driver_for_ready) = (Arc::clone(&admin_state.is_ready), Rc::clone(&driver));
    let ready = spawn_local(async move {
        driver_for_ready.wait_for_list().await;
        ready_flag.store(true, Ordering::Release);
    });
    spawn_local(Rc::clone(&descriptors).watch_process_limit());
    spawn_local(memory::watch(memory, Rc::clone(&descriptors), Arc::clone(&admin_state.tally)));
    let mut accept_acknowledgement = None;
    if let Some(supervisor) = &mut supervisor {
        let trial = supervisor
            .take_trial_listener()
            .map(|listener| spawn_local(Rc::clone(&server).run(listener, drop)));
        match supervisor.wait_for_trial_outcome(&mut sigterm).await? {
            TrialOutcome::Accept(acknowledge) => accept_acknowledgement = Some(acknowledge),
            TrialOutcome::Shutdown => return Ok(()),
        }
        trial.inspect(JoinHandle::abort);
        tracing::info!("accepting");
    }
    let control_socket = supervisor.as_ref().map(SupervisorChannel::control_socket);
    let mut accepting = spawn_local(server.run(listener, move |listener| {
        // The supervisor and other processes can hold the same listener open.
        control_socket.inspect(|control_socket| control_socket.stop_listening());
        drop(listener);
    }));
    if let Some(accept_acknowledgement) = accept_acknowledgement {
        // Sending fails if the supervisor's request has timed out.
        let _ = accept_acknowledgement.try_send(());
    }

    let registration = registrar.map(ActiveRegistration::start);
    let mut departure =
        wait_for_departure(address, setup.hooks, &mut sigterm, supervisor.as_mut(), is_listener_shared).await;
    tracing::info!("leaving");
    let left_at = Instant::now();
    // A SIGHUP during the shutdown must not change its time limit.
    let grace = setup.grace.get();
    registration.as_ref().inspect(|registration| registration.release());
    let mut finish = Some(finish);
    if let Some(supervisor) = &mut supervisor {
        // The next process waits until these resources are released. Releasing them can block on the disk, so
        // it runs on a separate thread.
        supervisor.release_admin_address();
        let (finish, node) = (finish.take(), node.take());
        std::thread::spawn(move || {
            finish.into_iter().for_each(|finish| finish());
            drop(node);
        });
    }
    ready.abort();
    admin_state.is_ready.store(false, Ordering::Release);
    phase.send_replace(departure.first_phase());
    if let Some(supervisor) = &mut supervisor {
        departure = wait_for_successor(departure, supervisor).await;
        phase.send_replace(departure.first_phase());
    }
    // The next process of a supervisor keeps the registration alive.
    if let Some(registration) = registration
        && (departure == Departure::Final || supervisor.is_none())
    {
        registration.deregister();
    }
    let drain_time = departure.drain_time();
    if timeout_at(left_at + drain_time, &mut accepting).await.is_err() {
        phase.send_replace(ShutdownPhase::Closing);
        let remaining = grace.saturating_sub(drain_time + FINAL_RESPONSE_TIME);
        if timeout(remaining, &mut accepting).await.is_err() {
            phase.send_replace(ShutdownPhase::Stopped);
            driver.abort_attempts();
            let _ = timeout(FINAL_RESPONSE_TIME + setup.stream_grace, &mut accepting).await;
        }
    }
    drop(node);
    tracing::info!("gone");
    Ok(())
}

/// Returns the settings by which clients authenticate.
///
/// # Errors
///
/// If `admission.known_tenants` names an unknown tenant, or the secret of the token can't be read.
fn client_authentication(
    operator: &Operator,
    tenants: &[String],
) -> Result<ClientAuthentication, Box<dyn Error>> {
    if let Some(name) = operator.known_tenants.iter().find(|name| !tenants.contains(name)) {
        return Err(format!("admission.known_tenants: unknown tenant {name:?}").into());
    }
    let token = operator.token.as_ref().map(|token| {
        let signer =
            command::token_signer(&token.secret_file).map_err(|e| format!("token.secret_file: {e}"))?;
        Ok::<_, Box<dyn Error>>((HeaderName::try_from(&token.header)?, signer))
    });
    Ok(ClientAuthentication { trusted_tenants: operator.known_tenants.clone(), token: token.transpose()? })
}
