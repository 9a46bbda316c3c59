//! What came of a run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth asked for, by what clients wished first in it.
    pub asked: f64,
    /// Of that, what was answered within its aim.
    pub in_time: f64,
    /// Answers in it that refused.
    pub refused: u32,
    /// Answers in it that failed.
    pub failed: u32,
    /// Attempts sent in it.
    pub attempts: u32,
}

/// What a tenant asked for and got, in worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Got {
    /// Asked for.
    pub asked: f64,
    /// Answered within its aim.
    pub in_time: f64,
    /// Of what it asked for, as much as was promised to it; all, where nothing was.
    pub promised: f64,
}

impl Got {
    /// Of what was promised and asked for, the share that was answered in time.
    pub fn share_of_promised(&self) -> f64 {
        let owed = self.asked.min(self.promised);
        if owed > 0.0 { (self.in_time / owed).min(1.0) } else { 1.0 }
    }

    /// The share that was answered in time; all, where nothing was asked.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.in_time / self.asked } else { 1.0 }
    }
}

/// Breaches of the rules. Every policy is held to the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breaches {
    /// Effects that happened twice.
    pub twice: u64,
    /// Requests without a final answer in time.
    pub lost: u64,
    /// Answers to what had its answer.
    pub answered_twice: u64,
    /// Attempts beside one that was out, where that is not allowed.
    pub two_out: u64,
    /// Attempts at an upstream over 500 ms after its balancer was told that it drains or is gone.
    pub after_drain: u64,
    /// Cold upstreams that fell over.
    pub pushed_over: u64,
}

impl Breaches {
    /// All together.
    pub fn sum(&self) -> u64 {
        self.twice + self.lost + self.answered_twice + self.two_out + self.after_drain + self.pushed_over
    }
}

/// What came of a run. Histograms are in microseconds.
#[derive(Clone, Debug)]
pub struct Report {
    /// What clients wished.
    pub asked: u64,
    /// What they sent for it, further tries included.
    pub tries: u64,
    /// Wishes served within their aim.
    pub in_time: u64,
    /// Wishes served.
    pub served: u64,
    /// Answers that refused.
    pub refused: u64,
    /// Answers that failed.
    pub failed: u64,
    /// Tries that found no balancer, or whose balancer died.
    pub unreached: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts beyond the first of a request.
    pub further: u64,
    /// Attempts that found their upstream full.
    pub full: u64,
    /// Connections opened.
    pub opened: u64,
    /// Breaches of the rules.
    pub breaches: Breaches,
    /// From a wish to its answer, of those served.
    pub latency: Histogram<u64>,
    /// From an attempt's arrival at its upstream to the begin of its service.
    pub waited: Histogram<u64>,
    /// Time that all servers worked, together.
    pub worked: Duration,
    /// When the last wish had its end.
    pub lasted: Duration,
    /// By tenant.
    pub tenants: Vec<Got>,
    /// By class.
    pub classes: Vec<Got>,
    /// By second.
    pub seconds: Vec<Second>,
    /// The most that an upstream was sent in a second, over what it could do when warm.
    pub load_peak: f64,
    /// What each upstream was sent, by second; of the first upstreams alone.
    pub loads: Vec<Vec<u32>>,
    /// Events that were played.
    pub events: u64,
    /// Of everything that happened, in its order: two runs that agree here were the same.
    pub digest: u64,
    /// It had more in hand than it may hold, and ended before its time.
    pub jammed: bool,
    /// What was asked for before this second counts in no figure.
    pub settles: usize,
    /// Until this second clients asked.
    pub until: usize,
}

/// Upstreams whose load by second is kept.
pub(crate) const LOADS_MOST: usize = 32;

impl Report {
    pub(crate) fn new(
        tenants: u32,
        classes: usize,
        settles: Duration,
        until: Duration,
    ) -> Result<Self, String> {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string());
        Ok(Self {
            asked: 0,
            tries: 0,
            in_time: 0,
            served: 0,
            refused: 0,
            failed: 0,
            unreached: 0,
            attempts: 0,
            further: 0,
            full: 0,
            opened: 0,
            breaches: Breaches::default(),
            latency: histogram()?,
            waited: histogram()?,
            worked: Duration::ZERO,
            lasted: Duration::ZERO,
            tenants: vec![Got::default(); tenants as usize],
            classes: vec![Got::default(); classes],
            seconds: Vec::new(),
            load_peak: 0.0,
            loads: Vec::new(),
            events: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            jammed: false,
            settles: settles.as_secs() as usize,
            until: until.as_secs() as usize,
        })
    }

    pub(crate) fn note(&mut self, at: Duration, what: u64) {
        for word in [at.as_nanos() as u64, what] {
            self.digest = (self.digest ^ word).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(23);
        }
    }

    pub(crate) fn second(&mut self, at: Duration) -> &mut Second {
        // A day of seconds; what is later counts as the last.
        let n = (at.as_secs() as usize).min(86_400);
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    /// The share of the worth that was answered within its aim.
    pub fn goodput(&self) -> f64 {
        let all = self.classes.iter().fold(Got::default(), |all, got| Got {
            asked: all.asked + got.asked,
            in_time: all.in_time + got.in_time,
            promised: 0.0,
        });
        all.share()
    }

    /// The same in the worst ten seconds on end.
    pub fn worst_10s(&self) -> f64 {
        let counted = self.seconds.get(self.settles..self.until.min(self.seconds.len())).unwrap_or_default();
        let windows = counted.windows(10.min(counted.len().max(1)));
        let share = |w: &[Second]| {
            let got = w.iter().fold(Got::default(), |got, s| Got {
                asked: got.asked + s.asked,
                in_time: got.in_time + s.in_time,
                promised: 0.0,
            });
            got.share()
        };
        windows.map(share).fold(1.0, f64::min)
    }

    /// All measures, by name.
    pub fn measures(&self) -> BTreeMap<&'static str, f64> {
        let ms = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        let worst = |all: &[Got]| all.iter().map(Got::share).fold(1.0, f64::min);
        let each = |n: u64| n as f64 / (self.asked.max(1)) as f64;
        BTreeMap::from([
            ("goodput", self.goodput()),
            ("worst_10s", self.worst_10s()),
            ("worst_tenant", worst(&self.tenants)),
            ("worst_class", worst(&self.classes)),
            ("worst_share", self.tenants.iter().map(Got::share_of_promised).fold(1.0, f64::min)),
            ("served", each(self.served)),
            ("refused", each(self.refused)),
            ("failed", each(self.failed)),
            ("unreached", each(self.unreached)),
            ("tries", each(self.tries)),
            ("attempts", each(self.attempts)),
            ("further", each(self.further)),
            ("turned_away", each(self.full)),
            ("opened", each(self.opened)),
            ("twice", self.breaches.twice as f64),
            ("lost", self.breaches.lost as f64),
            ("after_drain", self.breaches.after_drain as f64),
            ("pushed_over", self.breaches.pushed_over as f64),
            ("breaches", self.breaches.sum() as f64),
            ("p50_ms", ms(0.5)),
            ("p90_ms", ms(0.9)),
            ("p99_ms", ms(0.99)),
            ("p999_ms", ms(0.999)),
            ("mean_ms", self.latency.mean() / 1000.0),
            ("wait_mean_ms", self.waited.mean() / 1000.0),
            ("load_peak", self.load_peak),
            ("asked", self.asked as f64),
            ("jammed", f64::from(u8::from(self.jammed))),
        ])
    }
}

/// The names of all measures.
pub fn measure_names() -> Vec<&'static str> {
    Report::new(1, 1, Duration::ZERO, Duration::ZERO)
        .map(|report| report.measures().into_keys().collect())
        .unwrap_or_default()
}
