//! The paper's experiment, how fast worlds are played, and what came of an experiment, drawn.

use crate::{Failure, plan_of};
use maplehook_simulator::paper::{self, Paper, Rates, Reading};
use maplehook_simulator::{calibrate, experiment, page, policies, results};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

pub fn papers(replicates: u64) {
    let seeds = 1..=replicates.max(1);
    let mean = |paper: &Paper| {
        let all: Vec<_> = seeds.clone().map(|seed| paper::play(&Paper { seed, ..paper.clone() })).collect();
        move |of: &dyn Fn(&paper::Outcome) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64
    };
    println!(
        "{:<8} {:<9} {:>7} {:>8} {:>5} {:>7} {:>8} {:>8} {:>9} {:>8} {:>10}",
        "reading",
        "rates",
        "proxies",
        "in step",
        "late",
        "use",
        "refused",
        "lost",
        "delay ms",
        "most ms",
        "over room"
    );
    let mut rows = Vec::new();
    for reading in [Reading::Printed, Reading::Plain] {
        for rates in [Rates::Static, Rates::Adaptive] {
            rows.push(Paper { reading, rates, ..Paper::default() });
        }
    }
    // The troubles show where there is too little: with twice the traffic the room is what counts.
    for proxies in [1, 4, 16, 120] {
        let base = Paper { proxies, crowd: 2.0, ..Paper::default() };
        rows.push(base.clone());
        rows.push(Paper { in_step: true, ..base.clone() });
        rows.push(Paper { late: 5, ..base.clone() });
        rows.push(Paper { rates: Rates::Shared, ..base });
    }
    for row in &rows {
        let of = mean(row);
        println!(
            "{:<8} {:<9} {:>7} {:>8} {:>5} {:>7.4} {:>8.4} {:>8.4} {:>9.2} {:>8.1} {:>10.2}",
            if row.crowd > 1.0 { "crowded".into() } else { format!("{:?}", row.reading).to_lowercase() },
            format!("{:?}", row.rates).to_lowercase(),
            row.proxies,
            row.in_step,
            row.late,
            of(&|o| o.use_of),
            of(&|o| o.refused / o.asked),
            of(&|o| o.lost / o.asked),
            of(&|o| o.delay_ms),
            of(&|o| o.delay_most_ms),
            of(&|o| o.over_room),
        );
    }
    for reading in [Reading::Printed, Reading::Plain] {
        let both: Vec<_> = seeds
            .clone()
            .map(|seed| {
                let of = |rates| paper::play(&Paper { reading, rates, seed, ..Paper::default() });
                paper::ratios(&of(Rates::Static), &of(Rates::Adaptive))
            })
            .collect();
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| both.iter().map(of).sum::<f64>() / both.len() as f64;
        println!(
            "{reading:?}: gain in throughput {:.2} % (printed: 8.38), ratio of losses Y {:.2} (printed: 5.43)",
            mean(&|b| b.0),
            mean(&|b| b.1)
        );
    }
}

pub fn speed(requests: u64) -> Result<(), Failure> {
    println!(
        "{:>9} {:>9} {:>14} {:>12} {:>10}",
        "upstreams", "balancers", "policy", "requests/s", "events/s"
    );
    for (upstreams, balancers) in [(3, 1), (120, 18), (10_000, 120)] {
        for policy in ["maplehook", "round_robin", "least_request"] {
            let world = calibrate::calm(upstreams, balancers, requests);
            let named = policies::named(policy).ok_or("no such policy")?;
            let start = Instant::now();
            let report = experiment::one(&world, &named.make)?;
            let took = start.elapsed().max(Duration::from_nanos(1)).as_secs_f64();
            println!(
                "{upstreams:>9} {balancers:>9} {policy:>14} {:>12.0} {:>10.0}",
                report.asked as f64 / took,
                report.events as f64 / took
            );
        }
    }
    Ok(())
}

/// Draws results as SVG files.
pub fn plot(file: &Path, lines: &Path, out: &Path) -> Result<ExitCode, Failure> {
    let plan = plan_of(file)?;
    let lines = results::read(lines)?;
    std::fs::create_dir_all(out)?;
    for (name, chart) in page::charts(&plan, &lines) {
        if let Some(svg) = chart.svg() {
            std::fs::write(out.join(format!("{name}.svg")), svg)?;
            println!("{}", out.join(format!("{name}.svg")).display());
        }
    }
    Ok(ExitCode::SUCCESS)
}
