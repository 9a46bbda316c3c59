//! A hunt finds a planted weakness, and shrinks the day to it.

mod common;

use common::*;
use maplehook_core::{Action, Event, UpdateScope};
use maplehook_simulator::file::read;
use maplehook_simulator::hunt::hunt;
use maplehook_simulator::policies::{Decides, named};
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const TEXT: &str = r#"
[experiment]
format = 1
seed = 3
[world]
lasts_s = 8.0
[[upstream]]
count = 6
servers = 2
[[class]]
name = "look"
effect = "idempotent"
[[load]]
of_capacity = 0.3
[[fault]]
name = "slow"
at_s = 1.0
lasts_s = 2.0
does = "slow"
factor = 1.5
count = 1
[[fault]]
name = "list"
at_s = 5.0
does = "discovery_empty"
lasts_s = 0.0
[[fault]]
name = "delay"
at_s = 2.0
lasts_s = 1.0
does = "delay"
factor = 2.0
[hunt]
policy = "round_robin"
measure = "goodput"
tries = 80
"fault[2].lasts_s" = [0.0, 3.0]
"load[1].of_capacity" = [0.2, 0.5]
"clients.backoff_ms" = [10.0, 100.0]
"#;

/// Refuses everything for as long as its list is empty, as most do.
struct Trusting(Box<dyn Decides>);

impl Decides for Trusting {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
    }
}

/// The same, but does not believe an empty list.
struct Doubting(Box<dyn Decides>);

impl Decides for Doubting {
    fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        if !matches!(&event, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints } if endpoints.is_empty())
        {
            self.0.handle(now, event, actions);
        }
    }
}

#[test]
fn the_weakness_is_found_and_the_rest_shrunk_away() {
    let plan = read(TEXT).unwrap();
    let wanted = plan.hunt.clone().unwrap();
    let make = named("round_robin").unwrap().make;
    let (stop, told) = (AtomicBool::new(false), |_: u32, _: f64| {});
    let found = hunt(&plan, &wanted, &|w, n, s| Box::new(Trusting(make(w, n, s))), &stop, &told).unwrap();
    assert!(found.usual > 0.98 && found.worst < 0.7, "{found:?}");
    assert!(found.shrunk < found.usual - 0.85 * (found.usual - found.worst), "{found:?}");
    // The empty list alone: nothing else is set, and no other fault is left.
    assert_eq!(found.at.keys().collect::<Vec<_>>(), ["fault[2].lasts_s"], "{found:?}");
    assert_eq!(found.needless.len(), 2, "{found:?}");
    let day = read(&found.text).unwrap();
    assert_eq!(day.world.faults.iter().map(|f| f.name.as_str()).collect::<Vec<_>>(), ["list"]);
    assert!(by("round_robin", &day.world).goodput() < 0.7);

    let doubting = hunt(&plan, &wanted, &|w, n, s| Box::new(Doubting(make(w, n, s))), &stop, &told).unwrap();
    assert!(doubting.worst > 0.98, "{doubting:?}");
    assert_eq!(doubting.played, 80);
}
