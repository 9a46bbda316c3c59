//! The experiment of the paper that the design rests on (Pencheva, Atanasov: Dynamic Admission Control for Improving
//! Utilization of Parlay X Gateway, sections IV to VII), as it is written: time goes in ticks, tokens and queues are
//! numbers. Formulas are called by their numbers in the paper.
//!
//! Further than the paper: several proxies, each with its own part of the traffic, that estimate the room W by
//! themselves. There the three troubles show that the design foresees: each grants the whole W, counters march in step,
//! figures are late.

use crate::arrivals::{Shape, Source, Stream};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// How tokens are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rates {
    /// The guarantee alone.
    Static,
    /// The guarantee and a share of W, as (12) has it.
    Adaptive,
    /// The same, of this proxy's part of W: what the paper leaves to one access controller.
    Shared,
}

/// How the paper's formulas for queues and admission are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// To the letter: a tick's requests of a provider pass all together or not at all (2), a converter takes what its
    /// buffer holds and works off half of its capacity, requests and responses in turn (7), (8).
    Printed,
    /// Requests pass one by one as far as tokens go; a converter takes what its buffer and the tick's work have room
    /// for.
    Plain,
}

/// The experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Paper {
    /// How its formulas are read.
    pub reading: Reading,
    /// How tokens are granted.
    pub rates: Rates,
    /// Proxies, each with a part of each provider's traffic.
    pub proxies: usize,
    /// Times the paper's traffic.
    pub crowd: f64,
    /// Whether all counters start at the same converter.
    pub in_step: bool,
    /// Ticks by which a proxy's view of the queues is late.
    pub late: usize,
    /// How long it lasts.
    pub lasts: Duration,
    /// The seed.
    pub seed: u64,
}

impl Default for Paper {
    fn default() -> Self {
        Self {
            reading: Reading::Plain,
            rates: Rates::Adaptive,
            proxies: 1,
            crowd: 1.0,
            in_step: false,
            late: 0,
            lasts: Duration::from_secs(600),
            seed: 1,
        }
    }
}

/// Section VI: converters, their rate, their buffers, ticks, the time of one request, the network's delay.
const CONVERTERS: usize = 4;
const RATE: f64 = 200.0;
const BUFFER: f64 = 9.0;
const TICK: f64 = 0.1;
const WORK_MS: f64 = 5.0;
const NETWORK_MS: f64 = 1.0;
/// Providers of high and of low priority: how many, guaranteed rate, bucket, rates of the four states.
const HIGH: (usize, f64, f64, [f64; 4]) = (2, 100.0, 30.0, [0.0, 50.0, 90.0, 130.0]);
const LOW: (usize, f64, f64, [f64; 4]) = (6, 75.0, 25.0, [0.0, 30.0, 60.0, 100.0]);
/// Mean time in a state.
const HOLD: Duration = Duration::from_secs(4);
/// Weights of losses at converters, of refusals and of queues in (10).
const WEIGHTS: (f64, f64, f64) = (10.0, 1.0, 1.0);

/// Tokens that a part of a bucket holds at the least.
const BUCKET_LEAST: f64 = 3.0;

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests that came.
    pub asked: f64,
    /// Refused for want of a token.
    pub refused: f64,
    /// Admitted, and lost at a full converter.
    pub lost: f64,
    /// The share of the converters' capacity that was used, (9).
    pub use_of: f64,
    /// The objective, (10).
    pub objective: f64,
    /// Mean delay of what was carried, in ms, there and back.
    pub delay_ms: f64,
    /// The longest.
    pub delay_most_ms: f64,
    /// The most that was admitted in a tick over what the converters had room for: 1 is all of it.
    pub over_room: f64,
}

struct Provider {
    guarantee: f64,
    bucket: f64,
    source: Source,
    next: Option<Duration>,
}

/// Plays it.
pub fn play(paper: &Paper) -> Outcome {
    let mut chance = ChaCha8Rng::seed_from_u64(paper.seed);
    let kinds = [HIGH, LOW].into_iter().flat_map(|kind| std::iter::repeat_n(kind, kind.0));
    let mut providers: Vec<Provider> = kinds
        .map(|(_, guarantee, bucket, rates)| {
            let rates = rates.map(|rate| rate * paper.crowd).to_vec();
            let shape = Shape::Mmpp { rates, hold: HOLD };
            let mut source = Source::new(Stream { rate: 1.0, tenant: None, shape });
            let next = source.next(Duration::ZERO, &mut chance);
            Provider { guarantee, bucket, source, next }
        })
        .collect();
    let (n, proxies) = (providers.len(), paper.proxies.max(1));
    let part = 1.0 / proxies as f64;
    // Strangers have a whole bucket each, as the design has it; those that share have a part, and a few tokens at least.
    let bucket = |p: &Provider| match paper.rates {
        Rates::Shared => (p.bucket * part).max(BUCKET_LEAST),
        _ => p.bucket,
    };
    // Of each proxy, the tokens of each provider; buckets start full.
    let mut tokens: Vec<Vec<f64>> = vec![providers.iter().map(bucket).collect(); proxies];
    let mut counters: Vec<usize> =
        (0..proxies).map(|p| if paper.in_step { 0 } else { p % CONVERTERS }).collect();
    let mut queues = [0.0_f64; CONVERTERS];
    let mut views: VecDeque<[f64; CONVERTERS]> = VecDeque::new();
    let mut out = Outcome::default();
    let (mut delays, mut carried) = (0.0, 0.0);
    let ticks = (paper.lasts.as_secs_f64() / TICK).round() as u64;
    let mut deal = 0_usize;
    for tick in 0..ticks {
        let until = Duration::from_secs_f64((tick + 1) as f64 * TICK);
        // V_i of each proxy: requests are dealt out among them.
        let mut demand = vec![vec![0.0; n]; proxies];
        for (i, provider) in providers.iter_mut().enumerate() {
            while let Some(at) = provider.next.filter(|at| *at < until) {
                // Scattered, so that a proxy's part is no fixed pattern.
                deal = deal.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                demand[(deal >> 33) % proxies][i] += 1.0;
                provider.next = provider.source.next(at, &mut chance);
            }
        }
        views.push_back(queues);
        while views.len() > paper.late + 1 {
            views.pop_front();
        }
        let seen = views.front().copied().unwrap_or(queues);
        // (11)
        let room: f64 = seen.iter().map(|q| RATE * TICK + (BUFFER - q)).sum();
        let actual: f64 = queues.iter().map(|q| RATE * TICK + (BUFFER - q)).sum();
        let mut sent = [0.0_f64; CONVERTERS];
        let mut admitted_all = 0.0;
        for proxy in 0..proxies {
            let total: f64 = demand[proxy].iter().sum();
            for (i, provider) in providers.iter().enumerate() {
                let v = demand[proxy][i];
                let mu = tokens[proxy][i];
                // (12); a negative grant counts as zero, an idle tick grants the guarantee (the design page).
                let spare = match paper.rates {
                    Rates::Static => 0.0,
                    Rates::Adaptive => room - mu,
                    Rates::Shared => room * part - mu,
                };
                let share = if total > 0.0 { v / total * spare.max(0.0) } else { 0.0 };
                let granted = provider.guarantee * TICK * part + share;
                let most = bucket(provider);
                // (1): no more is added than the bucket has room for.
                let have = mu + granted.min((most - mu).max(0.0));
                // (2): all of a tick or nothing; else as many as there are tokens.
                let admitted = match paper.reading {
                    Reading::Printed if v <= have => v,
                    Reading::Printed => 0.0,
                    Reading::Plain => v.min(have.floor()),
                };
                tokens[proxy][i] = have - admitted;
                out.asked += v;
                out.refused += v - admitted;
                admitted_all += admitted;
                // (4), (5): round robin.
                for k in 0..admitted as usize {
                    sent[(counters[proxy] + k) % CONVERTERS] += 1.0;
                }
                counters[proxy] = (counters[proxy] + admitted as usize) % CONVERTERS;
            }
        }
        out.over_room = out.over_room.max(admitted_all / actual.max(1.0));
        for (q, sent) in queues.iter_mut().zip(sent) {
            let (before, able) = (*q, RATE * TICK);
            let (taken, delay, most) = match paper.reading {
                Reading::Printed => {
                    // (8) takes as much as the buffer holds, (7) works off half.
                    let taken = sent.min(BUFFER - (before - able).max(0.0));
                    *q = ((before - able / 2.0).max(0.0) + taken).min(BUFFER);
                    // Each direction has the buffer's wait, the work and the network.
                    let wait = *q * WORK_MS;
                    (taken, wait + WORK_MS + NETWORK_MS, 2.0 * (wait + WORK_MS) + NETWORK_MS)
                }
                Reading::Plain => {
                    let taken = sent.min((able + BUFFER - before).max(0.0));
                    *q = (before + taken - able).clamp(0.0, BUFFER);
                    // Those taken come evenly over the tick: what one waits is the queue that it finds.
                    let wait = (before + *q) / 2.0 * WORK_MS;
                    let way = WORK_MS + NETWORK_MS;
                    (taken, 2.0 * (wait + way), 2.0 * (before.max(*q) * WORK_MS + way))
                }
            };
            out.lost += sent - taken;
            if taken > 0.0 {
                delays += delay * taken;
                carried += taken;
                out.delay_most_ms = out.delay_most_ms.max(most);
            }
            out.objective += WEIGHTS.2 * *q;
        }
    }
    out.objective += WEIGHTS.0 * out.lost + WEIGHTS.1 * out.refused;
    out.use_of = carried / (RATE * CONVERTERS as f64 * paper.lasts.as_secs_f64());
    out.delay_ms = delays / f64::max(carried, 1.0);
    out
}

/// The paper's ratios of a static and an adaptive run: the gain in throughput in per cent, and the losses of the one
/// over those of the other (Y).
pub fn ratios(fixed: &Outcome, adaptive: &Outcome) -> (f64, f64) {
    (100.0 * (adaptive.use_of / fixed.use_of - 1.0), fixed.objective / (1.0 + adaptive.objective))
}
