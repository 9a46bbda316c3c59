//! Time and memory of the largest text over the largest deployment: `cargo run --release -p maplehook-locality --example compile`.

use maplehook_locality::rules::MAX_RULES;
use maplehook_locality::topology::MAX_ZONES;
use maplehook_locality::{Names, Rule, Topology, compile, language, strictest};
use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 50;

fn timed<T>(what: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    println!("{what}: median {:?}, most {:?}", times[times.len() / 2], times[times.len() - 1]);
}

fn main() {
    let regions: Vec<String> = (0..8).map(|n| format!("region{n}")).collect();
    let zones: Vec<String> = (0..MAX_ZONES).map(|n| format!("zone{n}")).collect();
    let of = |n: usize| zones[n * 8..n * 8 + 8].iter().map(String::as_str).collect();
    let Ok(topology) = Topology::new(regions.iter().enumerate().map(|(n, name)| (name.as_str(), of(n))))
    else {
        return println!("the topology is none");
    };
    let classes: Vec<String> = (0..32).map(|n| format!("class{n}")).collect();
    let tenants: Vec<String> = (0..256).map(|n| format!("tenant{n}")).collect();
    let names = Names { topology: &topology, classes: &classes, tenants: &tenants };
    let mut text = String::new();
    for n in 0..MAX_RULES - 1 {
        let _ = writeln!(
            text,
            "rule r{n} {{ for tenant \"tenant{n}\"; prefer own zone > own region within 3ms > region \"region{}\" \
             within 40ms > anywhere; spill over 80% for 1s, back under 60% for 5s; beyond region at most 30%; \
             never zone \"zone{}\"; }}",
            n % 8,
            n % MAX_ZONES
        );
    }
    text.push_str("rule rest { prefer own zone > own region > anywhere; }\n");
    println!(
        "{MAX_RULES} rules, {MAX_ZONES} zones, {} x {} cells, {} bytes",
        classes.len(),
        tenants.len(),
        text.len()
    );
    let rules = match compile(&text, &names) {
        Ok(rules) => rules,
        Err(faults) => return faults.iter().for_each(|fault| println!("{fault}")),
    };
    timed("compile", || compile(&text, &names));
    timed("format", || language::format(&text));
    timed("strictest of it and itself", || strictest(&rules, &rules));
    timed("all ladders", || {
        let of = |rule: &Rule| {
            topology.zones().map(|zone| rule.priority_list(&topology, zone).len()).sum::<usize>()
        };
        rules.all().iter().map(of).sum::<usize>()
    });
    let heap = |rule: &Rule| {
        rule.name.capacity()
            + rule.steps.capacity() * size_of_val(&rule.steps[0])
            + rule.never.capacity() * size_of::<maplehook_locality::Zone>()
    };
    let held: usize = rules.all().iter().map(|rule| size_of::<Rule>() + heap(rule)).sum();
    println!("memory: rules {held} bytes, table {} bytes", size_of_val(rules.table().0));
}
