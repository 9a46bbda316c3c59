//! A report of an experiment as one HTML page that needs nothing else: tables, and charts as SVG within it.

use crate::chart::{Chart, Curve};
use crate::experiment::Verdict;
use crate::faults::{Fault, When};
use crate::file::Plan;
use crate::results::{Line, Table, words};
use std::fmt::Write;

/// The measures that every table has.
pub const MEASURES: [&str; 13] = [
    "goodput",
    "worst_tenant",
    "worst_share",
    "worst_10s",
    "worst_class",
    "further",
    "tries",
    "refused",
    "failed",
    "p50_ms",
    "p99_ms",
    "load_peak",
    "breaches",
];
/// Lines of a chart of loads.
const LOADS_SHOWN: usize = 8;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem;color:#222}\
table{border-collapse:collapse;margin:1rem 0;font-variant-numeric:tabular-nums}\
td,th{border:1px solid #ddd;padding:.25rem .6rem;text-align:right}td:first-child,th:first-child{text-align:left}\
th{background:#f5f5f5}.no{color:#b00020;font-weight:600}.open{color:#946200}.yes{color:#1b6e32}\
svg{max-width:100%;height:auto}small{color:#666}";

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Where faults are, as marks on a time line: those that are stated.
fn marks(faults: &[Fault]) -> Vec<(f64, f64, String)> {
    let stated = faults.iter().filter_map(|f| match f.when {
        When::At(at) => {
            let end = at + f.lasts + f.spread;
            Some((at.as_secs_f64(), end.as_secs_f64(), f.name.clone()))
        }
        _ => None,
    });
    stated.collect()
}

/// All charts of an experiment, each with a name for its file.
pub fn charts(plan: &Plan, lines: &[Line]) -> Vec<(String, Chart)> {
    let table = Table::new(lines, plan.confidence);
    let mut all = sweeps(plan, &table);
    for (n, at) in table.points().into_iter().enumerate() {
        let first: Vec<&Line> = lines.iter().filter(|l| l.at == *at && !l.seconds.is_empty()).collect();
        if first.is_empty() {
            continue;
        }
        let place = words(at);
        let chart = |what: &str, x: &str, y: &str, curves, marks| Chart {
            title: format!("{what}, {place}"),
            x: x.into(),
            y: y.into(),
            curves,
            marks,
            from: Some(0.0),
        };
        let by = |of: &dyn Fn(&Line) -> Vec<(f64, f64)>| -> Vec<Curve> {
            let curve = |l: &&Line| Curve { name: l.policy.clone(), points: of(l), band: Vec::new() };
            first.iter().map(curve).collect()
        };
        let share = by(&|l| {
            let seconds = l.seconds.iter().enumerate().filter(|(_, s)| s.asked > 0.0);
            seconds.map(|(n, s)| (n as f64, s.in_time / s.asked)).collect()
        });
        let marks = marks(&plan.world.faults);
        all.push((format!("time-{n}"), chart("Served in time", "s", "share of worth", share, marks.clone())));
        let attempts = by(&|l| {
            let seconds = l.seconds.iter().enumerate();
            seconds.map(|(n, s)| (n as f64, f64::from(s.attempts))).collect()
        });
        all.push((format!("attempts-{n}"), chart("Attempts", "s", "a second", attempts, marks.clone())));
        let quantiles = by(&|l| {
            // The slow end is what matters: x is how rare a latency is.
            let nines = |q: f64| -(1.0 - q.min(0.99999)).log10();
            l.quantiles.iter().map(|(q, ms)| (nines(*q), *ms)).collect()
        });
        let title = "Latency by rarity";
        all.push((
            format!("latency-{n}"),
            chart(title, "nines: 1 is 90 %, 2 is 99 %", "ms", quantiles, vec![]),
        ));
        if let Some(line) = first.first().filter(|l| !l.loads.is_empty()) {
            let load = |(n, load): (usize, &Vec<u32>)| Curve {
                name: format!("upstream {n}"),
                points: load.iter().enumerate().map(|(s, c)| (s as f64, f64::from(*c))).collect(),
                band: Vec::new(),
            };
            let curves = line.loads.iter().enumerate().take(LOADS_SHOWN).map(load).collect();
            let what = format!("Load by upstream, {}", line.policy);
            all.push((format!("load-{n}"), chart(&what, "s", "attempts a second", curves, marks)));
        }
    }
    all
}

/// A chart of each main measure along each axis of numbers, where it is the only one.
fn sweeps(plan: &Plan, table: &Table<'_>) -> Vec<(String, Chart)> {
    let [axis] = &plan.axes[..] else { return Vec::new() };
    let mut all = Vec::new();
    for measure in ["goodput", "worst_tenant", "p99_ms", "further"] {
        let mut curves = Vec::new();
        for policy in table.policies() {
            let (mut points, mut band) = (Vec::new(), Vec::new());
            for at in table.points() {
                let x = at.get(&axis.key).and_then(serde_json::Value::as_f64);
                if let (Some(x), Some(mean)) = (x, table.mean(at, policy, measure)) {
                    points.push((x, mean.mean));
                    band.push(mean.half.unwrap_or(0.0));
                }
            }
            curves.push(Curve { name: policy.to_owned(), points, band });
        }
        let chart = Chart {
            title: format!("{measure} along {}", axis.key),
            x: axis.key.clone(),
            y: measure.into(),
            curves,
            marks: Vec::new(),
            from: None,
        };
        all.push((format!("sweep-{measure}"), chart));
    }
    all
}

/// Several experiments beside one another, as a Markdown table: a measure of each policy, and under it where another
/// than `own` does better, seed by seed, by more than chance.
pub fn comparison(all: &[Vec<Line>], measure: &str, own: &str, confidence: f64, low_is_good: bool) -> String {
    let tables: Vec<Table<'_>> = all.iter().map(|lines| Table::new(lines, confidence)).collect();
    let mut policies: Vec<&str> = Vec::new();
    for policy in tables.iter().flat_map(|t| t.policies()) {
        if !policies.contains(&policy) {
            policies.push(policy);
        }
    }
    let mut text =
        format!("| {measure} | {} |\n| --- |{}\n", policies.join(" | "), " --- |".repeat(policies.len()));
    let mut better = String::new();
    for (table, lines) in tables.iter().zip(all) {
        for at in table.points() {
            let name = lines.first().map_or("", |l| l.experiment.as_str());
            let name = if at.is_empty() { name.to_owned() } else { format!("{name}, {}", words(at)) };
            let _ = write!(text, "| {name} |");
            for policy in &policies {
                match table.mean(at, policy, measure) {
                    Some(mean) => {
                        let _ = write!(text, " {:.3} |", mean.mean);
                    }
                    None => text.push_str(" - |"),
                }
                if let Some(more) = table.difference(at, (policy, own), measure)
                    && *policy != own
                    && if low_is_good { more.most() < 0.0 } else { more.least() > 0.0 }
                {
                    let _ = writeln!(better, "- {name}: {policy} by {more}");
                }
            }
            text.push('\n');
        }
    }
    if better.is_empty() { text } else { format!("{text}\nBetter than {own}:\n\n{better}") }
}

/// The page.
pub fn html(plan: &Plan, lines: &[Line], verdicts: &[Verdict]) -> String {
    let mut page = String::new();
    let name = escaped(&plan.name);
    let _ = write!(
        page,
        "<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style><h1>{name}</h1>\
         <p>{} replicates from seed {}, intervals at {} %. <small>Figures of an emulator: of designs, not of \
         machines.</small></p>",
        plan.replicates,
        plan.seed,
        plan.confidence * 100.0
    );
    if !verdicts.is_empty() {
        page.push_str("<h2>Expected</h2><ul>");
        for verdict in verdicts {
            let (class, word) = match verdict.holds {
                Some(true) => ("yes", "holds"),
                Some(false) => ("no", "does not hold"),
                None => ("open", "not decided"),
            };
            let _ = write!(page, "<li><span class={class}>{word}</span>: {}", escaped(&verdict.words));
        }
        page.push_str("</ul>");
    }
    let table = Table::new(lines, plan.confidence);
    page.push_str("<h2>Measures</h2>");
    for at in table.points() {
        let _ = write!(page, "<h3>{}</h3><table><tr><th>policy", escaped(&words(at)));
        for measure in MEASURES {
            let _ = write!(page, "<th>{measure}");
        }
        for policy in table.policies() {
            let _ = write!(page, "<tr><td>{}", escaped(policy));
            for measure in MEASURES {
                match table.mean(at, policy, measure) {
                    Some(mean) => {
                        let _ = write!(page, "<td>{:.4}", mean.mean);
                        if let Some(half) = mean.half {
                            let _ = write!(page, "<br><small>&plusmn;{half:.4}</small>");
                        }
                    }
                    None => page.push_str("<td>-"),
                }
            }
        }
        page.push_str("</table>");
    }
    page.push_str("<h2>Charts</h2>");
    for (_, chart) in charts(plan, lines) {
        if let Some(svg) = chart.svg() {
            page.push_str(&svg);
        }
    }
    let _ = write!(page, "<h2>The file</h2><pre>{}</pre></html>", escaped(plan.text()));
    page
}
