//! What happens in a run, drawn from its seed.

use super::faults::FaultPair;
use super::long_bodies;
use fastrand::Rng;
use std::time::Duration;

/// Lateness of second answers, by how far they are beyond what the balancer has been fitted to, in milliseconds.
const SECOND_ANSWER_DELAYS_MS: [u64; 4] = [5, 15, 60, 250];
/// Memory limits of the balancer, by seed.
const MEMORY_LIMITS_MB: [u64; 3] = [32, 48, 64];
/// Lives of the balancer in one run.
const LIVES: usize = 2;

/// A signal to the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGTERM.
    Terminate,
    /// SIGHUP with an unchanged configuration.
    Reload,
    /// SIGSTOP, and SIGCONT after the longest hold-up that the rules allow for.
    HoldUp,
}

/// How an upstream treats a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers once.
    Good,
    /// Answers twice: the second time so long after the first, whatever has come meanwhile.
    SecondAnswer(Duration),
    /// Answers twice at once.
    SecondAnswerBehind,
    /// Answers, and sends bytes that are no answer a moment later.
    Noise,
    /// Answers, and sends the beginning of a second answer a moment later.
    PartOfSecondAnswer,
    /// Answers in pieces.
    Pieces,
    /// Answers with status 500.
    Error,
    /// Refuses the request without running it.
    Unprocessed,
    /// Answers and closes the connection.
    CloseAfterAnswer,
    /// Runs the request and resets the connection.
    Reset,
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and sends what is no answer.
    Spoilt,
}

/// An upstream of a run.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Shortest and longest work on a request.
    pub work: (Duration, Duration),
    /// Longest lateness of its second answers.
    pub second_answer_delay: Duration,
    /// Share of requests that are treated badly.
    pub bad_share: f64,
}

impl UpstreamPlan {
    /// Draws how the next request is treated.
    pub fn draw_behaviour(&self, rng: &mut Rng) -> Behaviour {
        if rng.f64() >= self.bad_share {
            return Behaviour::Good;
        }
        match rng.u32(..14) {
            0..=3 => Behaviour::SecondAnswer(self.second_answer_delay.mul_f64(rng.f64())),
            4 => Behaviour::SecondAnswerBehind,
            5 => Behaviour::Noise,
            6 => Behaviour::PartOfSecondAnswer,
            7 => Behaviour::Pieces,
            8 => Behaviour::Error,
            9 => Behaviour::Unprocessed,
            10 => Behaviour::CloseAfterAnswer,
            11 => Behaviour::Reset,
            12 => Behaviour::Hang,
            _ => Behaviour::Spoilt,
        }
    }

    /// Draws how long a request takes.
    pub fn draw_work(&self, rng: &mut Rng) -> Duration {
        let (shortest, longest) = self.work;
        shortest + (longest - shortest).mul_f64(rng.f64())
    }
}

/// One process of the balancer.
#[derive(Clone, Debug)]
pub struct Life {
    /// Signals before SIGTERM, by time since the start.
    pub signals: Vec<(Duration, SignalKind)>,
    /// Time from the start to SIGTERM.
    pub terminate_after: Duration,
    /// Signals after SIGTERM, by time since then.
    pub signals_after: Vec<(Duration, SignalKind)>,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// The upstreams.
    pub upstreams: Vec<UpstreamPlan>,
    /// The faults beside that misbehaviour.
    pub faults: FaultPair,
    /// Share of the requests that have a long body, or ask for a long answer.
    pub long_share: f64,
    /// Clients that send one request after the other.
    pub clients: usize,
    /// Connections of which every second says nothing, and the others stop in a long body; none in most runs.
    pub crowd: usize,
    /// Memory limit of the balancer, in MB.
    pub memory_mb: u64,
    /// Descriptors of the balancer.
    pub sockets: usize,
    /// Processes, one after the other.
    pub lives: Vec<Life>,
}

impl Plan {
    /// Draws the run of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let ms = Duration::from_millis;
        let is_short = rng.bool();
        let deadline = ms(if is_short { rng.u64(400..=900) } else { rng.u64(1500..=4000) });
        let upstreams = (0..rng.usize(2..=4)).map(|_| draw_upstream(&mut rng)).collect();
        let is_crowded = rng.u32(..4) == 0;
        let lives = (0..LIVES).map(|_| draw_life(&mut rng)).collect();
        Self {
            seed,
            deadline,
            upstreams,
            faults: FaultPair::draw(seed),
            long_share: long_bodies::share(seed),
            clients: rng.usize(4..=16),
            crowd: if is_crowded { rng.usize(60..=160) } else { 0 },
            memory_mb: MEMORY_LIMITS_MB[seed as usize % MEMORY_LIMITS_MB.len()],
            sockets: if is_crowded { 128 } else { 256 },
            lives,
        }
    }
}

fn draw_upstream(rng: &mut Rng) -> UpstreamPlan {
    let ms = Duration::from_millis;
    let shortest = rng.u64(0..=20);
    UpstreamPlan {
        work: (ms(shortest), ms(shortest + rng.u64(1..=40))),
        second_answer_delay: ms(SECOND_ANSWER_DELAYS_MS[rng.usize(..SECOND_ANSWER_DELAYS_MS.len())]),
        bad_share: [0.0, 0.1, 0.3][rng.usize(..3)],
    }
}

fn draw_life(rng: &mut Rng) -> Life {
    let ms = Duration::from_millis;
    let terminate_after = rng.u64(300..=1500);
    Life {
        signals: draw_signals(rng, 100..=terminate_after, &[SignalKind::Reload, SignalKind::HoldUp]),
        terminate_after: ms(terminate_after),
        signals_after: draw_signals(
            rng,
            0..=1000,
            &[SignalKind::Terminate, SignalKind::Reload, SignalKind::HoldUp],
        ),
    }
}

fn draw_signals(
    rng: &mut Rng,
    within_ms: std::ops::RangeInclusive<u64>,
    kinds: &[SignalKind],
) -> Vec<(Duration, SignalKind)> {
    let mut signals: Vec<_> = (0..rng.usize(..=3))
        .map(|_| (Duration::from_millis(rng.u64(within_ms.clone())), kinds[rng.usize(..kinds.len())]))
        .collect();
    signals.sort_by_key(|(after, _)| *after);
    signals
}
