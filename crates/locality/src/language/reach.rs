//! Steps that lead nowhere, whichever zone a request came into, and a `never` that leaves a rule nothing.

use super::ast::{Spanned, StepSyntax};
use super::fault::Faults;
use crate::rules::Rule;
use crate::topology::Topology;
use std::ops::Range;
use std::time::Duration;

/// How far a step comes: the best of all zones that a request may come into.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Comes {
    /// It names no zone.
    Nowhere,
    /// All that it names is forbidden.
    Forbidden,
    /// None of that is near enough.
    TooFar,
    /// Steps before it lead there.
    Taken,
    /// It leads to a zone that none before it does.
    New,
}

/// What of a zone is taken by steps before: all, or only if its way, which is not known, is within a time.
type Taken = Option<Duration>;

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
        return faults.add(never.start, || "`never` forbids all zones".into());
    }
    let mut comes = vec![Comes::Nowhere; rule.steps.len()];
    for from in topology.zones() {
        let mut taken: Vec<Taken> = vec![None; zones];
        for (step, comes) in rule.steps.iter().zip(&mut comes) {
            // No bound is further than any that can be written.
            let within = step.within.unwrap_or(Duration::MAX);
            for zone in step.target.zones(topology, from) {
                let rtt = topology.rtt(from, zone);
                let place = &mut taken[usize::from(zone.0)];
                // A known way is as good as any longer bound once it is within one.
                let reach = if rtt.is_some_and(|rtt| rtt <= within) { Duration::MAX } else { within };
                let here = if rule.never.binary_search(&zone).is_ok() {
                    Comes::Forbidden
                } else if rtt.is_some_and(|rtt| rtt > within) {
                    Comes::TooFar
                } else if place.is_some_and(|place| place >= reach) {
                    Comes::Taken
                } else {
                    *place = Some(reach);
                    Comes::New
                };
                *comes = here.max(*comes);
            }
        }
    }
    if let Some(never) = &never
        && !comes.is_empty()
        && comes.iter().all(|comes| *comes <= Comes::Forbidden)
    {
        return faults.add(never.start, || "`never` forbids all that this rule prefers".into());
    }
    for (step, comes) in steps.iter().zip(comes) {
        let why = match comes {
            Comes::New => continue,
            Comes::Nowhere => "there is no such zone",
            Comes::Forbidden => "`never` forbids all of its zones",
            Comes::TooFar => "no zone is as near as that",
            Comes::Taken => "steps before it lead to all of its zones",
        };
        faults.add(step.span.start, || format!("step `{}` leads nowhere: {why}", step.node));
    }
}
