//! `maplehook`: a load balancer on real sockets. Every decision is the `lapisroute` library's.

mod client;
mod config;
mod connection;
mod discovery;
mod driver;
mod headers;
mod pool;
mod requests;
mod seldom;
mod server;
mod upstream;

use config::Config;
use discovery::Discovery;
use driver::Driver;
use lapisroute::Balancer;
use server::{Phase, Server};
use std::error::Error;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::level_filters::LevelFilter;
use upstream::Upstreams;

/// After SIGTERM the front goes on dealing out new connections for 0.4 s at most.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// SIGKILL may come when the longest deadline, 3 s at most, and 0.7 s more have passed; this is a bit before.
const KILL_DEADLINE_MOST: Duration = Duration::from_secs(3);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(600);
/// For the answers to what is then still held.
const LAST_WORDS: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let level = std::env::var("NODE_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("maplehook: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), Box<dyn Error>> {
    let balancer = Balancer::new(config.site.settings.clone(), config.seed)?;
    let mut term = signal(SignalKind::terminate())?;
    // Before anybody can know that this process is ready: unhandled, it would kill.
    let hangup = signal(SignalKind::hangup())?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let upstreams =
        Upstreams::new(&config.site.settings, config.upstream_connections(), config.long_answers());
    let discovery = Discovery::new(config.discovery, config.site.names.clone());
    let known = discovery.known(&config.known);
    tracing::info!(
        listen = %listener.local_addr()?,
        upstreams = known.entries.len(),
        limits = ?config.limits,
        "serving"
    );
    let driver = Driver::start(balancer, upstreams, discovery, known);
    let (phase, phases) = watch::channel(Phase::Serving);
    let server = Server::new(driver.clone(), &config.site, phases);
    let mut accepting = spawn_local(server.run(listener, config.client_connections()));
    spawn_local(reload(hangup, driver.clone()));

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

/// Reads the configuration anew at each SIGHUP. Only discovery's address is taken from it: all else stands
/// until the next start. A file that can't be read leaves everything as it is.
async fn reload(mut hangup: Signal, driver: Rc<Driver>) {
    while hangup.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration read anew");
                driver.discovery_moved(config.discovery);
            }
            Err(e) => tracing::warn!("the configuration stays as it is: {e}"),
        }
    }
}
