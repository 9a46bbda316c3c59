//! Balancers that know each other, and that agree on versions.

use crate::Failure;
use maplehook_simulator::{agreed, members};
use rayon::prelude::*;
use std::process::ExitCode;
use std::time::Duration;

/// Storms over balancers that know each other, or single faults.
pub fn known(members: usize, storms: u64, seed: u64, cost: bool) -> Result<ExitCode, Failure> {
    if cost {
        let resident = || {
            let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:").map(str::to_owned));
            line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        let before = resident();
        let (datagrams, bytes, us) = members::faults::cost(members, seed);
        let each = resident().saturating_sub(before) / members as u64;
        println!(
            "{members} balancers, each a second: {datagrams:.1} datagrams, {bytes:.0} bytes, {us:.0} us of this machine; \
             each has {each} KiB, the emulator's part included"
        );
        return Ok(ExitCode::SUCCESS);
    }
    if storms == 0 {
        print!("{}", members::faults::markdown(members, &members::faults::table(members, seed)));
        return Ok(ExitCode::SUCCESS);
    }
    let played: Vec<(u64, members::storm::Storm)> = (seed..seed + storms)
        .into_par_iter()
        .map(|seed| (seed, members::storm::play(members, seed)))
        .collect();
    let broken: Vec<_> = played.iter().filter(|(_, storm)| !storm.breaches.is_empty()).collect();
    for (seed, storm) in &broken {
        storm.breaches.iter().for_each(|breach| println!("seed {seed}: {breach}"));
    }
    let faults: u32 = played.iter().flat_map(|(_, storm)| storm.faults.values()).sum();
    let mut times: Vec<Duration> = played.iter().filter_map(|(_, storm)| storm.converged).collect();
    times.sort_unstable();
    let at =
        |share: f64| times.get(((times.len() as f64 - 1.0) * share) as usize).copied().unwrap_or_default();
    println!(
        "{members} balancers, {storms} storms, {faults} faults: {} with breaches; all saw one another again after {:.1} s \
         (median), {:.1} s (longest; {:.1} s are promised)",
        broken.len(),
        at(0.5).as_secs_f64(),
        at(1.0).as_secs_f64(),
        members::storm::converges_within(members).as_secs_f64()
    );
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

/// Every order of events over three that agree on versions.
pub fn explored(bounds: &[u8]) -> Result<ExitCode, Failure> {
    let &[changes, elections, time, asks] = bounds else { return Err("four numbers".into()) };
    let bounds = agreed::Bounds { changes, elections, time, asks };
    let (states, found) = agreed::Agreement { bounds, flaw: None }.explore();
    println!(
        "{bounds:?}: {states} states, {}",
        if found.is_none() { "no contradiction" } else { "a contradiction" }
    );
    Ok(if found.is_none() { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

/// Storms over balancers that agree on versions.
pub fn agreed(members: usize, storms: u64, seed: u64, calm: bool) -> ExitCode {
    let played: Vec<agreed::storm::Storm> =
        (seed..seed + storms).into_par_iter().map(|seed| agreed::storm::play(members, seed, calm)).collect();
    let (text, sound) = agreed::storm::words(members, &played);
    println!("{text}");
    if sound { ExitCode::SUCCESS } else { ExitCode::from(2) }
}
