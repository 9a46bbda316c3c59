//! What came of many plays, as a table.

use super::compare;
use super::faults::Fault;
use super::watch::Outcome;
use super::ways::Mode;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// All outcomes of a fault, a mode and a number of balancers, by seed.
pub type Outcomes = BTreeMap<(usize, Fault, Mode), Vec<(u64, Outcome)>>;

/// Plays seeds; each plays every `stride`-th fault, so that many seeds cover all faults.
pub fn outcomes(seeds: std::ops::Range<u64>, balancers: &[usize], stride: u64) -> Outcomes {
    let mut cases: Vec<(usize, Fault, u64)> = Vec::new();
    for balancers in balancers {
        for seed in seeds.clone() {
            for (n, fault) in Fault::ALL.into_iter().enumerate() {
                if (n as u64 + seed).is_multiple_of(stride.max(1)) {
                    cases.push((*balancers, fault, seed));
                }
            }
        }
    }
    let played: Vec<Vec<(Mode, Outcome)>> =
        cases.par_iter().map(|(balancers, fault, seed)| compare(*fault, *balancers, *seed)).collect();
    let mut outcomes = Outcomes::new();
    for ((balancers, fault, seed), modes) in cases.into_iter().zip(played) {
        for (mode, outcome) in modes {
            outcomes.entry((balancers, fault, mode)).or_default().push((seed, outcome));
        }
    }
    outcomes
}

/// One row's figures.
struct Row<'a>(&'a [(u64, Outcome)]);

impl Row<'_> {
    fn mean(&self, of: impl Fn(&Outcome) -> f64) -> f64 {
        self.0.iter().map(|(_, outcome)| of(outcome)).sum::<f64>() / self.0.len().max(1) as f64
    }

    fn most(&self, of: impl Fn(&Outcome) -> f64) -> f64 {
        self.0.iter().map(|(_, outcome)| of(outcome)).fold(0.0, f64::max)
    }

    /// Median and longest, and how often it never came.
    fn time(&self, of: impl Fn(&Outcome) -> Option<Duration>, counts: impl Fn(&Outcome) -> bool) -> String {
        let all: Vec<Option<Duration>> =
            self.0.iter().filter(|(_, outcome)| counts(outcome)).map(|(_, outcome)| of(outcome)).collect();
        let mut times: Vec<Duration> = all.iter().flatten().copied().collect();
        times.sort_unstable();
        let never = all.len() - times.len();
        let Some(longest) = times.last() else { return if never > 0 { "never".into() } else { "-".into() } };
        let median = times[(times.len() - 1) / 2];
        let missing = if never > 0 { format!(", never {never}/{}", all.len()) } else { String::new() };
        format!("{:.1} / {:.1}{missing}", median.as_secs_f64(), longest.as_secs_f64())
    }
}

/// The table, in Markdown.
pub fn markdown(outcomes: &Outcomes) -> String {
    let mut text = String::new();
    let mut last = None;
    for ((balancers, fault, mode), played) in outcomes {
        if last != Some(*balancers) {
            let _ = writeln!(
                text,
                "\n{balancers} balancers; times in seconds, median / longest\n\n| fault | decides | plan in force | full service | \
                 served of all-knowing | worst seed | near when calm | worst load by spill | swings a minute | \
                 pours s | breaches |\n|---|---|---|---|---|---|---|---|---|---|---|"
            );
            last = Some(*balancers);
        }
        let row = Row(played);
        let worst = played.iter().map(|(_, o)| o.share()).fold(f64::INFINITY, f64::min);
        let breaches: u32 = played.iter().map(|(_, o)| o.unsound + o.two + o.nobody).sum();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {:.4} | {:.4} | {:.4} | {:.2} | {:.1} | {:.1} | {} |",
            fault.words(),
            mode.word(),
            row.time(|o| o.plan, |o| o.bad_place),
            row.time(|o| o.full, |_| true),
            row.mean(Outcome::share),
            worst,
            row.mean(|o| o.near),
            row.most(|o| o.worst),
            row.most(|o| o.swings),
            row.most(|o| o.pours.as_secs_f64()),
            breaches,
        );
    }
    text
}

/// Bytes a second that a balancer sends and is sent, by how many there are: calm, and with a zone lost.
pub fn bytes(outcomes: &Outcomes) -> String {
    let mut text = String::from("\n| balancers | bytes/s, calm | bytes/s, zone lost |\n|---|---|---|\n");
    let of = |balancers: usize, fault: Fault| {
        outcomes.get(&(balancers, fault, Mode::Common)).map(|played| Row(played).mean(|o| o.bytes))
    };
    let mut known: Vec<usize> = outcomes.keys().map(|(balancers, ..)| *balancers).collect();
    known.dedup();
    for balancers in known {
        let cell = |fault| of(balancers, fault).map_or("-".into(), |bytes| format!("{bytes:.0}"));
        let _ = writeln!(text, "| {balancers} | {} | {} |", cell(Fault::Calm), cell(Fault::ZoneLost));
    }
    text
}

/// How many plays these are.
pub fn plays(outcomes: &Outcomes) -> usize {
    outcomes.values().map(Vec::len).sum()
}

/// Whether no breach was seen: rows and epochs sound, one announcer at the most of what one may announce, never none of what all may.
pub fn is_sound(outcomes: &Outcomes) -> bool {
    outcomes.values().flatten().all(|(_, o)| o.unsound + o.two + o.nobody == 0)
}

/// How long a leader's looks take, with plans and without, where there is most to decide on.
pub fn plan_time() -> String {
    use maplehook_failover::{Bounds, Decider, Demand, Report, ZoneObservation};
    use maplehook_locality::{Rule, Rules, Topology, Zone};
    let (balancers, zones, rules) = (300usize, 64usize, 256usize);
    let names: Vec<String> = (0..zones).map(|n| format!("zone{n}")).collect();
    let regions: Vec<String> = (0..8).map(|n| format!("region{n}")).collect();
    let of = |(n, region): (usize, &'_ String)| (region.clone(), names[n * 8..n * 8 + 8].to_vec());
    let listed: Vec<(String, Vec<String>)> = regions.iter().enumerate().map(of).collect();
    let borrowed = listed.iter().map(|(r, zones)| (r.as_str(), zones.iter().map(String::as_str).collect()));
    let Ok(topology) = Topology::new(borrowed) else { return String::new() };
    // Rules that differ, so that none can be planned for together.
    let rule = |n: usize| {
        let mut rule = Rule::near_first();
        rule.name = format!("rule{n}");
        rule.spill.over = 0.7 + 0.001 * n as f64;
        rule.beyond_region_most = 1.0 - 0.001 * n as f64;
        rule
    };
    let rules = Rules::new((0..rules).map(rule).collect(), rules, 1, |class, _| class);
    let mut decider = Decider::new(topology, rules, Bounds::default(), None, Duration::ZERO);
    let members: Vec<(String, Zone)> =
        (0..balancers).map(|n| (format!("b{n:03}"), Zone((n % zones) as u16))).collect();
    let digest = decider.digest();
    let (mut now, mut number) = (Duration::ZERO, 0);
    let (mut plain, mut planned): (Vec<Duration>, Vec<Duration>) = Default::default();
    for look in 0..80u32 {
        // From the twentieth on zones fall, one after the other.
        let lost = (look.saturating_sub(20) / 8) as usize;
        number += 1;
        decider.set_members(&members, 0);
        for (n, (name, zone)) in members.iter().enumerate() {
            let sight = |to: usize| {
                let (own, up) = (to == usize::from(zone.0), to >= lost);
                let sent = if own { 128.0 } else { 0.0 };
                ZoneObservation {
                    zone: Zone(to as u16),
                    stated: true,
                    listed: 1200.0,
                    usable: if up { 1200.0 } else { 0.0 },
                    sent,
                    ok: if up { sent } else { 0.0 },
                    unreached: if up { 0.0 } else { sent },
                    probes: 3.0,
                    failed_probes: if up { 0.0 } else { 3.0 },
                    load: if own { 0.5 } else { 0.0 },
                    ..ZoneObservation::default()
                }
            };
            let demand = |rule: usize| Demand { rule: rule as u16, asked: 0.5, rejected: 0.0 };
            let observations: Vec<ZoneObservation> = (0..zones).map(sight).collect();
            let demand = (0..256).filter(|rule| (rule + n) % 4 == 0).map(demand).collect();
            let zone = *zone;
            let report = Report {
                number,
                start: 1,
                zone,
                digest,
                ready: true,
                observations,
                demand,
                ..Report::default()
            };
            decider.record_report(now, name, report);
        }
        let begun = Instant::now();
        let document = decider.tick(now);
        let took = begun.elapsed();
        let (before, after) = (decider.document().plan.epoch, document.as_ref().map(|d| d.plan.epoch));
        if after.is_some_and(|after| after > before) {
            planned.push(took)
        } else {
            plain.push(took)
        }
        if let Some(document) = document {
            decider.accepted(&document);
        }
        now += Duration::from_millis(400);
    }
    let words = |mut all: Vec<Duration>| {
        all.sort_unstable();
        let at =
            |share: f64| all.get(((all.len() as f64 - 1.0) * share) as usize).copied().unwrap_or_default();
        format!("{} looks, median {:.2} ms, longest {:.2} ms", all.len(), ms(at(0.5)), ms(at(1.0)))
    };
    format!(
        "{balancers} balancers, {zones} zones, 256 rules\nwithout a new plan: {}\nwith one: {}\n",
        words(plain),
        words(planned)
    )
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
