//! Measures time and memory of compiling the largest allowed text for the largest deployment:
//! `cargo run --release -p maplehook-locality --example compile`.

use maplehook_locality::rules::MAX_RULES;
use maplehook_locality::topology::MAX_ZONES;
use maplehook_locality::{Names, Rule, Topology, compile, language, strictest};
use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 50;

fn print_timing<T>(label: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    println!("{label}: median {:?}, maximum {:?}", times[times.len() / 2], times[times.len() - 1]);
}

fn main() {
    let regions: Vec<String> = (0..8).map(|n| format!("region{n}")).collect();
    let zones: Vec<String> = (0..MAX_ZONES).map(|n| format!("zone{n}")).collect();
    let zones_of_region = |n: usize| zones[n * 8..n * 8 + 8].iter().map(String::as_str).collect();
    let Ok(topology) =
        Topology::new(regions.iter().enumerate().map(|(n, name)| (name.as_str(), zones_of_region(n))))
    else {
        return println!("the topology is invalid");
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
        "{MAX_RULES} rules, {MAX_ZONES} zones, {} classes x {} tenants, {} bytes of text",
        classes.len(),
        tenants.len(),
        text.len()
    );
    let rules = match compile(&text, &names) {
        Ok(rules) => rules,
        Err(faults) => return faults.iter().for_each(|fault| println!("{fault}")),
    };
    print_timing("compile", || compile(&text, &names));
    print_timing("format", || language::format(&text));
    print_timing("merge the rules with themselves", || strictest(&rules, &rules));
    print_timing("all priority lists", || {
        let zones_in_lists = |rule: &Rule| {
            topology.zones().map(|zone| rule.priority_list(&topology, zone).len()).sum::<usize>()
        };
        rules.all().iter().map(zones_in_lists).sum::<usize>()
    });
    let heap = |rule: &Rule| {
        rule.name.capacity()
            + rule.steps.capacity() * size_of_val(&rule.steps[0])
            + rule.never.capacity() * size_of::<maplehook_locality::Zone>()
    };
    let rule_bytes: usize = rules.all().iter().map(|rule| size_of::<Rule>() + heap(rule)).sum();
    println!("memory: rules {rule_bytes} bytes, table {} bytes", size_of_val(rules.table().0));
}
