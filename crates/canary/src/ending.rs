//! What a judge says of what it has seen, and in which words.

use crate::bounds::{Measure, Verdict};
use crate::judge::{APART_MOST, GROSS_INTERVALS, GROSS_REQUESTS, Judge, Of, Test};
use crate::report::Side;
use maplehook_cluster::Name;
use std::collections::VecDeque;

impl Judge {
    fn alpha(&self, of: &Of) -> f64 {
        let each = self.bounds.false_stops / f64::from(self.bounds.stages.max(1));
        let measures = (Measure::SHARES.len() + Measure::RATIOS.len()) as f64;
        // Half for what is over all, half for what is looked at apart.
        match of {
            Of::All => each / 2.0 / measures,
            _ => each / 2.0 / (Measure::SHARES.len() * APART_MOST) as f64,
        }
    }

    fn words(&self, of: &Of, measure: Measure, test: &Test, low: f64) -> String {
        let sure = 100.0 * (1.0 - self.alpha(of));
        let ratio = Measure::RATIOS.contains(&measure);
        if ratio {
            return format!(
                "{}: {:.2} times the old ones' over {} intervals; at least {:.2} times ({sure:.2} % sure)",
                measure.words(),
                test.sequence.mean().exp(),
                test.sequence.len(),
                low.exp()
            );
        }
        let [(a, n), (b, m)] = test.counts;
        let percent = |a: u64, n: u64| 100.0 * a as f64 / n.max(1) as f64;
        format!(
            "{}, {of}: new {:.2} % of {m}, old {:.2} % of {n} over the same {} intervals; at least {:.2} points more ({sure:.2} % sure)",
            measure.words(),
            percent(b, m),
            percent(a, n),
            test.sequence.len(),
            100.0 * low
        )
    }

    /// What it comes to so far. `least`: intervals and requests on the new side without which nothing goes on.
    pub fn verdict(&self, least_intervals: u64, least_requests: u64) -> Verdict {
        if self.crashes[1] > 0 && self.crashes[0] == 0 {
            return Verdict::Worse(format!("{} crashes of new processes, none of old ones", self.crashes[1]));
        }
        if self.broken[1] > 0 && self.broken[0] == 0 {
            return Verdict::Worse(format!(
                "{} attempts of new ones at upstreams that drain",
                self.broken[1]
            ));
        }
        if let Some((name, why)) = self.lies() {
            return Verdict::Worse(format!("{name} reports other figures than its clients see: {why}"));
        }
        for ((of, measure), test) in &self.tests {
            if test.gross >= GROSS_INTERVALS {
                let low = self.bounds.gross;
                return Verdict::Worse(self.words(of, *measure, test, low));
            }
            if let Some((low, _)) = test.sequence.bounds(self.alpha(of))
                && low > self.allowed(*measure) / 2.0
            {
                return Verdict::Worse(self.words(of, *measure, test, low));
            }
        }
        let silent = |side: Side| {
            let long = |(name, n): &(&Name, &u64)| **n >= self.bounds.silence && self.side_of(name) == side;
            let silent = self.silent.iter().find(long);
            silent.map(|(name, n)| format!("{name} has told nothing for {n} intervals"))
        };
        if let Some(why) = silent(Side::New) {
            return Verdict::Worse(why);
        }
        if let Some(why) = silent(Side::Old) {
            return Verdict::Shared(why);
        }
        if let Some(why) = self.unusual() {
            return Verdict::Shared(why);
        }
        if self.crashes[1] > 0 {
            return Verdict::Shared(format!(
                "{} crashes of new processes, {} of old ones",
                self.crashes[1], self.crashes[0]
            ));
        }
        if self.intervals < least_intervals || self.requests[1] < least_requests {
            return Verdict::Short(format!(
                "{} of {least_intervals} intervals, {} of {least_requests} requests at the new ones",
                self.intervals, self.requests[1]
            ));
        }
        for measure in Measure::SHARES.into_iter().chain(Measure::RATIOS) {
            // Where nothing is served nothing can be late.
            let Some(test) = self.tests.get(&(Of::All, measure)) else {
                if matches!(measure, Measure::Failed | Measure::Refused) {
                    return Verdict::Short(format!(
                        "nothing that both sides have in common: {}",
                        measure.words()
                    ));
                }
                continue;
            };
            // A balancer with few requests has a time a request now and then only: that would be waited for without an end.
            if measure == Measure::Cpu && test.sequence.len() * 2 < self.intervals {
                continue;
            }
            match test.sequence.bounds(self.alpha(&Of::All)) {
                Some((_, high)) if high <= self.allowed(measure) => {}
                Some((_, high)) => {
                    return Verdict::Short(format!(
                        "{} may still be worse by {:.2}, allowed is {:.2}",
                        measure.words(),
                        high,
                        self.allowed(measure)
                    ));
                }
                None => return Verdict::Short(format!("{}: too few intervals", measure.words())),
            }
        }
        Verdict::Well
    }

    /// What is known so far, old against new, measure by measure over all requests.
    pub fn evidence(&self) -> Vec<String> {
        let of_all = self.tests.iter().filter(|((of, _), _)| *of == Of::All);
        let told = |((of, measure), test): (&(Of, Measure), &Test)| {
            let sequence = &test.sequence;
            let bounds = sequence.bounds(self.alpha(of));
            let ratio = Measure::RATIOS.contains(measure);
            let shown = |value: f64| {
                if ratio {
                    format!("{:.2} times", value.exp())
                } else {
                    format!("{:+.2} points", 100.0 * value)
                }
            };
            let sides = if ratio {
                shown(sequence.mean())
            } else {
                let [(a, n), (b, m)] = test.counts;
                let percent = |a: u64, n: u64| 100.0 * a as f64 / n.max(1) as f64;
                format!("new {:.2} % of {m}, old {:.2} % of {n}", percent(b, m), percent(a, n))
            };
            let sure = match bounds {
                Some((low, high)) => format!("between {} and {}", shown(low), shown(high)),
                None => "too few intervals to be sure of anything".into(),
            };
            format!("{}: {sides} over {} intervals; {sure}", measure.words(), sequence.len())
        };
        of_all.map(told).collect()
    }

    fn allowed(&self, measure: Measure) -> f64 {
        self.bounds.allowed.get(&measure).copied().unwrap_or(0.0)
    }

    pub(crate) fn side_of(&self, name: &Name) -> Side {
        self.sides.get(name).copied().unwrap_or(Side::Old)
    }

    /// Whoever says that it serves, and does not.
    fn lies(&self) -> Option<(&Name, String)> {
        self.outside.iter().filter(|(name, _)| self.side_of(name) == Side::New).find_map(
            |(name, (seen, served, failed))| {
                let (all, said) = (seen.served + seen.failed, served + failed);
                if all < GROSS_REQUESTS || said == 0 {
                    return None;
                }
                let (seen, said) = (seen.failed as f64 / all as f64, *failed as f64 / said as f64);
                // Counting alone may differ by a little.
                let noise = 4.0 * ((seen * (1.0 - seen) + 0.01) / all as f64).sqrt();
                (seen - said > self.bounds.lies + noise)
                    .then(|| (name, format!("{:.1} % failed, it says {:.1} %", 100.0 * seen, 100.0 * said)))
            },
        )
    }

    /// Whether the old side does much worse than it usually does.
    pub(crate) fn unusual(&self) -> Option<String> {
        if self.usual.len() < 5 || self.recent.len() < 3 {
            return None;
        }
        let mean = |shares: &VecDeque<f64>| shares.iter().sum::<f64>() / shares.len() as f64;
        let (usual, now) = (mean(&self.usual), mean(&self.recent));
        (now > usual * 2.0 + 0.02).then(|| {
            format!(
                "{:.1} % of the old ones' requests fail or are refused, usually {:.1} %",
                100.0 * now,
                100.0 * usual
            )
        })
    }
}
