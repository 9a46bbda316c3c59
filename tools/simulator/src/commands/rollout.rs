//! Changes in stages.

use crate::Failure;
use clap::Args;
use maplehook_simulator::rollout::{Harm, Way, table};
use std::process::ExitCode;
use std::time::Instant;

/// What is asked of changes in stages.
#[derive(Args)]
pub struct Asked {
    /// How many seeds of each change.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many balancers, one table each: 3 to 300.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 16, 120],
          value_parser = clap::value_parser!(u64).range(3..=300))]
    balancers: Vec<u64>,
    /// Good changes alone.
    #[arg(long)]
    good: bool,
    /// By the leader's own part alone.
    #[arg(long)]
    judged: bool,
    /// Reports are lost, and leaders change.
    #[arg(long)]
    faults: bool,
    /// Why they were stopped, or wait.
    #[arg(long)]
    why: bool,
}

/// Does it.
pub fn rollout(asked: &Asked) -> Result<ExitCode, Failure> {
    let harms = if asked.good { &Harm::ALL[..1] } else { &Harm::ALL[..] };
    let ways = if asked.judged { &Way::ALL[..1] } else { &Way::ALL[..] };
    for balancers in &asked.balancers {
        let begun = Instant::now();
        let cases = table::cases(*balancers as usize, harms, ways, asked.faults, asked.seed);
        print!("{}", table::HEAD);
        for case in &cases {
            let row = table::row(case, asked.seeds)?;
            print!("{}", row.line());
            for (n, why) in row.reasons().iter().take(6).filter(|_| asked.why) {
                println!("{}, {}: {n} x {why}", case.harm, case.way.word());
            }
        }
        eprintln!("{} changes in {:.1} s", cases.len() as u64 * asked.seeds, begun.elapsed().as_secs_f64());
    }
    Ok(ExitCode::SUCCESS)
}
