//! A balancer from its start to its planned end.

use crate::command;
use crate::config::Config;
use crate::entrance::Entrance;
use crate::requests::{Requests, Vouching};
use crate::server::{Phase, Server};
use hyper::header::HeaderName;
use lapisroute::Balancer;
use lapisroute_settings::Site;
use maplehook::descriptors::{self, Descriptors};
use maplehook::discovery::Discovery;
use maplehook::driver::Driver;
use maplehook::source::Source;
use maplehook::upstream::Upstreams;
use maplehook_admission::{Door, Part};
use maplehook_config::Operator;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// After SIGTERM the front goes on dealing out new connections for 0.4 s at most.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const KILL_DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// For the answers to what is then still held.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Serves until SIGTERM.
pub fn run(operator: Operator) -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    if let Some(limit) = operator.descriptors.limit {
        descriptors::set_limit(limit).map_err(|e| format!("descriptors.limit: {e}"))?;
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(serve(config, operator))
}

async fn serve(config: Config, operator: Operator) -> Result<(), Box<dyn Error>> {
    let settings = &config.site.settings;
    let balancer = Balancer::new(settings.clone(), config.seed)?;
    let vouching = vouching(&operator, &config.site)?;
    let mut term = signal(SignalKind::terminate())?;
    // Before anybody can know that this process is ready: unhandled, it would kill.
    let hangup = signal(SignalKind::hangup())?;
    let descriptors = Descriptors::new(config.limits.sockets, operator.descriptors.upstream_share)?;
    let listener =
        listen(config.listen, operator.backlog).map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let upstreams = Rc::new(Upstreams::new(settings, Rc::clone(&descriptors), config.long_answers()));
    let names = config.site.names.clone();
    let discovery = Rc::new(Discovery::new(config.discovery, names, Rc::clone(&descriptors)));
    let guarantees: Vec<f64> = settings.tenants.iter().map(|t| t.allowance_per_s).collect();
    let places = descriptors.of(Part::Clients);
    let entrance = Entrance::new(Door::new(operator.admission, places, &guarantees, config.seed));
    share_descriptors(&descriptors, &upstreams, &entrance);
    let known = discovery.known(&config.known);
    tracing::info!(
        listen = %listener.local_addr()?,
        upstreams = known.entries.len(),
        limits = ?config.limits,
        places,
        "serving"
    );
    let driver = Driver::start(balancer, upstreams, Rc::clone(&discovery) as Rc<dyn Source>, known);
    let (phase, phases) = watch::channel(Phase::Serving);
    let requests = Requests::new(&config.site, vouching);
    let server = Server::new(Rc::clone(&driver), requests, entrance, Rc::clone(&descriptors), phases);
    let mut accepting = spawn_local(server.run(listener));
    spawn_local(Rc::clone(&descriptors).watch());
    spawn_local(reload(hangup, Rc::clone(&driver), discovery, descriptors));

    term.recv().await;
    tracing::info!("leaving");
    phase.send_replace(Phase::Leaving);
    sleep(ACCEPT_AFTER_TERM).await;
    phase.send_replace(Phase::Closing);
    let deadlines = config.site.settings.classes.iter().map(|class| class.deadline);
    let longest = deadlines.max().unwrap_or_default().min(KILL_DEADLINE_MOST);
    let rest = (longest + KILL_AFTER_DEADLINE).saturating_sub(ACCEPT_AFTER_TERM + LAST_WORDS);
    if timeout(rest, &mut accepting).await.is_err() {
        driver.cut_off();
        let _ = timeout(LAST_WORDS, &mut accepting).await;
    }
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
fn vouching(operator: &Operator, site: &Site) -> Result<Vouching, Box<dyn Error>> {
    if let Some(name) = operator.known_tenants.iter().find(|name| !site.names.tenants.contains(name)) {
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

/// Reads the configuration anew at each SIGHUP. Only discovery's address is taken from it: all else stands
/// until the next start. A file that can't be read leaves everything as it is.
async fn reload(
    mut hangup: Signal,
    driver: Rc<Driver>,
    discovery: Rc<Discovery>,
    descriptors: Rc<Descriptors>,
) {
    while hangup.recv().await.is_some() {
        match descriptors.with_spare(Config::from_env) {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration read anew");
                if discovery.move_to(config.discovery) {
                    driver.watch_anew();
                }
            }
            Err(e) => tracing::warn!("the configuration stays as it is: {e}"),
        }
    }
}
