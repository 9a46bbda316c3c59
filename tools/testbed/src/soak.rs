//! Soak runs: one real balancer between clients that use their connections until it is killed, and upstreams that
//! misbehave.
//!
//! A run is drawn from its seed. It has two lives of the balancer: each starts a fresh process, sends it signals in
//! series, and ends with SIGTERM and with SIGKILL at the earliest time that the protocol allows. Beside them each run
//! has a pair of faults. `check` holds what the clients and the upstreams recorded against the rules.

mod balancer;
mod broken;
mod check;
mod clients;
mod discovery;
mod faults;
mod long_bodies;
mod plan;
mod upstream;

pub use check::{Breach, Summary};
pub use faults::{Fault, FaultPair};
pub use plan::{Behaviour, Life, Plan, SignalKind};

use balancer::Balancer;
use clients::Clients;
use discovery::Discovery;
use maplehook_test_servers::nobody;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use upstream::Upstream;

/// Time from SIGTERM to SIGKILL in addition to the longest deadline.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Longest deadline that counts for the time of SIGKILL.
pub const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after its deadline within which a request still has to get its final answer.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time within which an attempt may still begin after its client has left or has its answer.
pub const BEGUN_AFTER_END_MARGIN: Duration = Duration::from_millis(100);
/// Time within which an attempt may still begin after the request's own.
pub const BEGUN_AFTER_TIME_MARGIN: Duration = Duration::from_millis(150);
/// Lateness of the machine's timers beyond which a run shows nothing.
pub const MAX_LATENESS: Duration = Duration::from_millis(150);
/// Interval for reading the memory that a balancer holds after SIGTERM.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a stopped balancer stands still: the longest hold-up that the rules allow for.
const HOLD_UP: Duration = Duration::from_millis(150);

/// Plays the runs of these seeds, some at once, and returns what came of them in the order of the seeds.
pub fn play_all(program: &Path, seeds: Range<u64>, at_once: usize) -> Result<Vec<Summary>, String> {
    let (next, played) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    let summary = play(program, seed);
                    balancer::lock(&played).push((seed, summary));
                }
            });
        }
    });
    let mut played = played.into_inner().unwrap_or_else(PoisonError::into_inner);
    played.sort_by_key(|(seed, _)| *seed);
    played.into_iter().map(|(_, summary)| summary).collect()
}

/// Plays the run of one seed.
pub fn play(program: &Path, seed: u64) -> Result<Summary, String> {
    let plan = Plan::draw(seed);
    let upstreams: Vec<Upstream> = plan
        .upstreams
        .iter()
        .enumerate()
        .map(|(n, upstream)| Upstream::start(upstream.clone(), seed + n as u64, plan.long_share, plan.faults))
        .collect();
    let discovery = Discovery::start(upstreams.iter().map(|upstream| upstream.address));
    let discovery_address = if plan.faults.has(Fault::ListsChange) { discovery.address } else { nobody() };
    let lateness = Lateness::start();
    let mut summary = Summary::new(seed, plan.faults);
    for (n, life) in plan.lives.iter().enumerate() {
        let mut balancer = Balancer::start(program, &plan, &upstreams, discovery_address, n)?;
        let clients = Clients::start(&plan, balancer.address, seed * 1000 + n as u64);
        let faults_end = Instant::now() + life.terminate_after + plan.deadline.min(MAX_COUNTED_DEADLINE);
        let rng = faults::generator(seed * 1000 + n as u64);
        let (end, peak_memory) = thread::scope(|scope| {
            let play_faults =
                || faults::play_upstream_faults(plan.faults, rng, &upstreams, &discovery, faults_end);
            scope.spawn(play_faults);
            play_life(&plan, life, &mut balancer)
        })?;
        summary.add_peak_memory(&plan, peak_memory);
        let requests = clients.stop(end.killed_at);
        let executions: Vec<_> = upstreams.iter().flat_map(Upstream::take_executions).collect();
        summary.add(check::check(&plan, &requests, &executions, end, lateness.longest()));
    }
    summary.finish(lateness.longest());
    Ok(summary)
}

/// When a balancer was told to end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndOfLife {
    /// Time of SIGTERM.
    pub(crate) terminated_at: Instant,
    /// Time of SIGKILL.
    pub(crate) killed_at: Instant,
}

/// Sends the signals of one life, and returns its end and the most memory that was held, in KiB.
fn play_life(plan: &Plan, life: &Life, balancer: &mut Balancer) -> Result<(EndOfLife, u64), String> {
    let start = Instant::now();
    send_signals(&life.signals, start, balancer)?;
    if !balancer.is_running() {
        return Err(format!("seed {}: the balancer ended before SIGTERM", plan.seed));
    }
    sleep_until(start + life.terminate_after);
    balancer.signal(SignalKind::Terminate)?;
    let terminated_at = Instant::now();
    send_signals(&life.signals_after, terminated_at, balancer)?;
    let kill_at = terminated_at + plan.deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
    let mut peak_memory = balancer.peak_memory_kib();
    while Instant::now() + MEMORY_CHECK_INTERVAL < kill_at {
        thread::sleep(MEMORY_CHECK_INTERVAL);
        peak_memory = balancer.peak_memory_kib().or(peak_memory);
    }
    sleep_until(kill_at);
    let killed_at = Instant::now();
    balancer.kill();
    Ok((EndOfLife { terminated_at, killed_at }, peak_memory.unwrap_or_default()))
}

fn send_signals(
    signals: &[(Duration, SignalKind)],
    start: Instant,
    balancer: &mut Balancer,
) -> Result<(), String> {
    for (after, kind) in signals {
        sleep_until(start + *after);
        // It may have ended by itself after SIGTERM.
        if balancer.is_running() {
            balancer.signal(*kind)?;
        }
    }
    Ok(())
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Measures how late timers fire on this machine.
struct Lateness {
    longest: Arc<Mutex<Duration>>,
}

impl Lateness {
    fn start() -> Self {
        const INTERVAL: Duration = Duration::from_millis(5);
        let longest: Arc<Mutex<Duration>> = Default::default();
        let weak = Arc::downgrade(&longest);
        thread::spawn(move || {
            while let Some(longest) = weak.upgrade() {
                let before = Instant::now();
                thread::sleep(INTERVAL);
                let late = before.elapsed().saturating_sub(INTERVAL);
                let mut longest = balancer::lock(&longest);
                *longest = longest.max(late);
            }
        });
        Self { longest }
    }

    fn longest(&self) -> Duration {
        *balancer::lock(&self.longest)
    }
}
