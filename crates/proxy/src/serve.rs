//! A balancer from its start to its planned end.

mod file;
mod parts;
mod platform;

pub use file::by_file;
pub use platform::on_platform;

use crate::client::ClientTimeouts;
use crate::command;
use crate::hearsay::Hearsay;
use crate::requests::{ClientAuthentication, RequestReader};
use crate::retune::Grace;
use crate::server::{Server, ShutdownPhase};
use crate::supervised::{Supervised, Tried};
use hyper::header::HeaderName;
use maplehook::ledger::Bounds;
use maplehook::metrics::RequestMetrics;
use maplehook::parts::body_memory::BodyMemory;
use maplehook::parts::dispatcher::Dispatcher;
use maplehook::parts::driver::Driver;
use maplehook::source::{EndpointUpdate, Source};
use maplehook_admission::DescriptorClass;
use maplehook_config::Operator;
use maplehook_core::Settings;
use maplehook_eureka::Registrar;
use maplehook_http_semantics::{Forwarding, Own};
use parts::Parts;
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
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const KILL_DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// Where the listening socket is shared, whoever follows accepts at once, and idle connections stay for this long: each
/// that is used meanwhile ends with its answer, so that hardly any request meets the end of its connection.
const IDLE_AFTER_TERM: Duration = Duration::from_millis(2000);
/// For the answers to what is then still held.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// What a balancer is made of, whoever describes it.
struct Plan {
    listen: SocketAddr,
    /// The socket that clients come to, where the platform holds it.
    inherited: Option<std::net::TcpListener>,
    /// How its supervisor reaches it, if it has one.
    supervised: Option<Supervised>,
    /// Where operators call, and how that is told in the log.
    control: Option<SocketAddr>,
    control_told: &'static str,
    /// What the classes are called.
    classes: Vec<String>,
    settings: Settings,
    seed: u64,
    sockets: usize,
    room: BodyMemory,
    forwarding: Forwarding,
    own: bool,
    client_timeouts: ClientTimeouts,
    /// From SIGTERM until the end.
    grace: Grace,
    operator: Operator,
    /// The operator's file, where it is there.
    file: Option<String>,
    /// Who is told that it serves, inside another program.
    told: Option<Told>,
}

/// Who is told that a balancer serves, and where, and what ends it beside SIGTERM.
pub struct Told {
    /// Told once.
    pub ready: Box<dyn FnOnce(SocketAddr) + Send>,
    /// Ends it, when it is sent or dropped.
    pub stop: oneshot::Receiver<()>,
}

fn block_on(served: impl Future<Output = Result<(), Box<dyn Error>>>) -> Result<(), Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(served)
}

async fn serve(
    plan: Plan,
    parts: Parts,
    requests: Rc<RequestReader>,
    (source, known): (Rc<dyn Source>, EndpointUpdate),
    begun: impl FnOnce(Rc<Driver>, Rc<RequestMetrics>),
    registrar: Option<Registrar>,
    rest: impl FnOnce() + Send + 'static,
) -> Result<(), Box<dyn Error>> {
    let Parts {
        mut term,
        listener,
        descriptors,
        upstreams,
        admission,
        balancer,
        board,
        shared,
        mut member,
        mut led,
        ..
    } = parts;
    let source = match (&member, &plan.operator.tier) {
        (Some(member), Some(tier)) => Hearsay::new(source, &known, member, tier.drains_most),
        _ => source,
    };
    let pushed = !plan.settings.has_endpoint_discovery;
    let address = listener.local_addr()?;
    tracing::info!(
        listen = %address,
        upstreams = known.entries.len(),
        places = descriptors.limit_of(DescriptorClass::Clients),
        "serving"
    );
    let driver = Driver::start(balancer, upstreams, source, known);
    if pushed {
        driver.follow_pushed_list();
    }
    let counting = RequestMetrics::new(Arc::clone(&board.tally), &plan.classes);
    let desk = Dispatcher::new(Rc::clone(&driver), Rc::clone(&counting), Bounds::default(), plan.seed)?;
    begun(Rc::clone(&driver), counting);
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let words = Own { signed: plan.own };
    let server = Server::new(desk, requests, admission, Rc::clone(&descriptors), words, phases);
    let (ready_to, knowing) = (Arc::clone(&board.ready), Rc::clone(&driver));
    let ready = spawn_local(async move {
        knowing.wait_for_list().await;
        ready_to.store(true, Ordering::Release);
    });
    spawn_local(Rc::clone(&descriptors).watch_process_limit());
    let mut accepts = None;
    if let Some(led) = &mut led {
        let trial = led.trial().map(|trial| spawn_local(Rc::clone(&server).run(trial)));
        match led.tried(&mut term).await? {
            Tried::Accepts(tell) => accepts = Some(tell),
            Tried::Ends => return Ok(()),
        }
        trial.inspect(JoinHandle::abort);
        tracing::info!("accepting");
    }
    let mut accepting = spawn_local(server.run(listener));
    if let Some(accepts) = accepts {
        // It has gone if it did not wait for so long.
        let _ = accepts.try_send(());
    }

    let registrar = registrar.map(Rc::new);
    let kept = registrar.clone().map(|registrar| spawn_local(async move { registrar.keep().await }));
    // Another process goes on with the registration, unless the whole balancer ends.
    let mut ends = led.is_none();
    match plan.told {
        Some(Told { ready, stop }) => {
            ready(address);
            tokio::select! { _ = term.recv() => {} _ = stop => {} }
        }
        None => match &mut led {
            Some(led) => tokio::select! { _ = term.recv() => {} () = led.ends() => ends = true },
            None => drop(term.recv().await),
        },
    }
    tracing::info!("leaving");
    // Whoever ends this process goes by the settings of this moment, whatever SIGHUP brings from here on.
    let grace = plan.grace.get();
    if let (Some(registrar), Some(kept)) = (registrar.filter(|_| ends), &kept) {
        // Whoever reads the registry sends nothing new from here on. Nothing else waits for it.
        kept.abort();
        spawn_local(async move {
            if !registrar.deregister().await {
                tracing::warn!("the registry did not take the deregistration; the lease ends by itself");
            }
        });
    }
    kept.inspect(JoinHandle::abort);
    let mut rest = Some(rest);
    if led.take().is_some() {
        // What the next process waits for; the threads' last steps may take a disk's time.
        let (first, member) = (rest.take(), member.take());
        std::thread::spawn(move || {
            if let Some(first) = first {
                first();
            }
            drop(member);
            if let Some(rest) = rest {
                rest();
            }
        });
    }
    ready.abort();
    board.ready.store(false, Ordering::Release);
    let until_idle_end = if shared { IDLE_AFTER_TERM } else { ACCEPT_AFTER_TERM };
    phase.send_replace(if shared { ShutdownPhase::Draining } else { ShutdownPhase::NotReady });
    if timeout(until_idle_end, &mut accepting).await.is_err() {
        phase.send_replace(ShutdownPhase::Closing);
        let rest = grace.saturating_sub(until_idle_end + LAST_WORDS);
        if timeout(rest, &mut accepting).await.is_err() {
            phase.send_replace(ShutdownPhase::Stopped);
            driver.abort_attempts();
            let _ = timeout(LAST_WORDS, &mut accepting).await;
        }
    }
    drop(member);
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
        let signer = command::signer(&token.secret_file).map_err(|e| format!("token.secret_file: {e}"))?;
        Ok::<_, Box<dyn Error>>((HeaderName::try_from(&token.header)?, signer))
    });
    Ok(ClientAuthentication { trusted_tenants: operator.known_tenants.clone(), token: token.transpose()? })
}
