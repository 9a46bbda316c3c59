//! Zones and regions.

use crate::Failure;
use clap::Args;
use maplehook_simulator::places::table;
use std::process::ExitCode;
use std::time::Instant;

/// What is asked of the zones.
#[derive(Args)]
pub struct Asked {
    /// How many seeds.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many balancers, one table each: 4 to 1000.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 16, 120, 300],
          value_parser = clap::value_parser!(u64).range(4..=1000))]
    balancers: Vec<u64>,
    /// Each seed plays one fault in so many, so that many seeds take less time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100))]
    one_in: u64,
    /// How long a plan takes, instead: 300 balancers, 64 zones, 256 rules.
    #[arg(long)]
    plan_time: bool,
}

/// Does it.
pub fn places(asked: &Asked) -> Result<ExitCode, Failure> {
    if asked.plan_time {
        print!("{}", table::plan_time());
        return Ok(ExitCode::SUCCESS);
    }
    let begun = Instant::now();
    let balancers: Vec<usize> = asked.balancers.iter().map(|n| *n as usize).collect();
    let outcomes = table::outcomes(asked.seed..asked.seed + asked.seeds, &balancers, asked.one_in);
    print!("{}{}", table::markdown(&outcomes), table::bytes(&outcomes));
    eprintln!("{} plays in {:.1} s", table::plays(&outcomes), begun.elapsed().as_secs_f64());
    Ok(if table::is_sound(&outcomes) { ExitCode::SUCCESS } else { ExitCode::from(2) })
}
