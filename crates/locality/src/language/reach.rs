//! Reports steps that no request can use, whichever zone receives it, and `never` clauses that exclude all
//! zones of a rule.

use super::ast::{Spanned, StepSyntax};
use super::fault::Faults;
use crate::rules::Rule;
use crate::topology::Topology;
use std::ops::Range;
use std::time::Duration;

/// Result of a step for the receiving zone with the best result. Later variants are better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reach {
    /// The target includes no zone.
    NoZones,
    /// A `never` clause excludes all zones of the target.
    Excluded,
    /// Each zone that is not excluded has a round-trip time above `within`.
    TooFar,
    /// Earlier steps use each zone whose round-trip time is within the limit.
    UsedEarlier,
    /// The step uses a zone that no earlier step uses.
    Reachable,
}

/// Largest `within` of the earlier steps that use a zone; `Duration::MAX` if the zone is used at any
/// round-trip time. `None` if no earlier step uses the zone.
type UsedUpTo = Option<Duration>;

pub(super) fn check(
    rule: &Rule,
    steps: &[Spanned<StepSyntax>],
    never: Option<Range<usize>>,
    topology: &Topology,
    faults: &mut Faults,
) {
    let zones = topology.zones().count();
    if let Some(never) = &never
        && rule.never.len() == zones
    {
        return faults.add(never.start, || "`never` excludes all zones".into());
    }
    let mut reaches = vec![Reach::NoZones; rule.steps.len()];
    for from in topology.zones() {
        let mut used_up_to: Vec<UsedUpTo> = vec![None; zones];
        for (step, best) in rule.steps.iter().zip(&mut reaches) {
            // A step without `within` accepts any round-trip time.
            let within = step.within.unwrap_or(Duration::MAX);
            for zone in step.target.zones(topology, from) {
                let rtt = topology.rtt(from, zone);
                let used = &mut used_up_to[usize::from(zone.0)];
                // A known round-trip time within the limit is also within any larger limit.
                let limit = if rtt.is_some_and(|rtt| rtt <= within) { Duration::MAX } else { within };
                let here = if rule.never.binary_search(&zone).is_ok() {
                    Reach::Excluded
                } else if rtt.is_some_and(|rtt| rtt > within) {
                    Reach::TooFar
                } else if used.is_some_and(|used| used >= limit) {
                    Reach::UsedEarlier
                } else {
                    *used = Some(limit);
                    Reach::Reachable
                };
                *best = here.max(*best);
            }
        }
    }
    if let Some(never) = &never
        && !reaches.is_empty()
        && reaches.iter().all(|reach| *reach <= Reach::Excluded)
    {
        return faults.add(never.start, || "`never` excludes all zones that this rule prefers".into());
    }
    for (step, reach) in steps.iter().zip(reaches) {
        let why = match reach {
            Reach::Reachable => continue,
            Reach::NoZones => "its target has no zones",
            Reach::Excluded => "`never` excludes all of its zones",
            Reach::TooFar => "the round-trip times of all its zones exceed `within`",
            Reach::UsedEarlier => "earlier steps use all of its zones",
        };
        faults.add(step.span.start, || format!("step `{}` has no effect: {why}", step.node));
    }
}
