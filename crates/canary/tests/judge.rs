//! The judge of a stage, fed with reports of both sides: what goes on, what stops, what holds.

use maplehook_canary::judge::ExternalObservation;
use maplehook_canary::report::Reports;
use maplehook_canary::{IntervalReport, Judge, RequestCounts, Side, Thresholds, Verdict};
use maplehook_cluster::Name;
use std::collections::BTreeMap;

fn name(n: usize) -> Name {
    Name::new(&format!("b{n}")).unwrap()
}

/// What a balancer has: requests, and of each hundred how many fail.
struct World {
    judge: Judge,
    sides: BTreeMap<Name, Side>,
    interval: u64,
}

impl World {
    /// Four old ones and one new.
    fn new() -> Self {
        let sides = (0..5).map(|n| (name(n), if n == 0 { Side::New } else { Side::Old })).collect();
        let judge = Judge::new(Thresholds::default(), &[0.01; 10]);
        Self { judge, sides, interval: 0 }
    }

    fn play(&mut self, intervals: u64, report: impl Fn(usize, u64, &mut IntervalReport) -> bool) {
        for _ in 0..intervals {
            self.interval += 1;
            let mut reports = Reports::new();
            for n in 0..5 {
                let mut told = IntervalReport::new(self.interval, if n % 2 == 0 { "a" } else { "b" });
                (told.cpu_us, told.memory_kb, told.descriptors) = (200_000, 9000, 60);
                for tenant in ["x", "y"] {
                    for k in 0..100u64 {
                        // A spread of times, the same for all.
                        let us = 5_000 + 400 * ((k * 37 + self.interval * 11 + n as u64 * 53) % 100);
                        told.counts_mut("look", tenant).record_served(us, false);
                    }
                    told.counts_mut("look", tenant).failed += self.interval % 2;
                }
                if report(n, self.interval, &mut told) {
                    reports.insert(name(n), told);
                }
            }
            self.judge.record_interval(&self.sides, &reports);
        }
    }

    fn verdict(&self) -> Verdict {
        self.judge.verdict(20, 1000)
    }

    fn worse(&self, part: &str) {
        let verdict = self.verdict();
        assert!(matches!(&verdict, Verdict::Regression(why) if why.contains(part)), "{verdict}");
    }
}

#[test]
fn a_good_one_goes_on_once_there_is_enough() {
    let mut world = World::new();
    world.play(10, |_, _, _| true);
    assert!(matches!(world.verdict(), Verdict::Inconclusive(_)), "{}", world.verdict());
    // Each of the two is needed.
    world.play(110, |_, _, _| true);
    assert!(matches!(world.judge.verdict(500, 1000), Verdict::Inconclusive(_)));
    assert!(matches!(world.judge.verdict(20, 1_000_000), Verdict::Inconclusive(_)));
    let mut world = World::new();
    world.play(120, |_, _, _| true);
    assert_eq!(world.verdict(), Verdict::Pass);
}

#[test]
fn harm_is_found_and_named() {
    let mut world = World::new();
    world.play(60, |n, _, report| {
        if n == 0 {
            report.counts_mut("look", "x").failed += 5;
        }
        true
    });
    world.worse("failed");
    // At one tenant's requests alone, of which there are few.
    let mut world = World::new();
    world.play(80, |n, _, report| {
        let cell = report.counts_mut("look", "rare");
        cell.served += 10;
        if n == 0 {
            (cell.served, cell.failed) = (9, 1);
        }
        true
    });
    world.worse("tenant rare");
    // 30 ms slower.
    let mut world = World::new();
    world.play(60, |n, interval, report| {
        if n == 0 {
            *report.counts_mut("look", "x") = RequestCounts::default();
            for k in 0..100u64 {
                report
                    .counts_mut("look", "x")
                    .record_served(35_000 + 400 * ((k * 37 + interval) % 100), false);
            }
        }
        true
    });
    world.worse("slow");
    // It leaks.
    let mut world = World::new();
    world.play(120, |n, interval, report| {
        if n == 0 {
            report.descriptors += 5 * interval;
        }
        true
    });
    world.worse("descriptors");
}

#[test]
fn gross_harm_needs_no_long_look() {
    let mut world = World::new();
    world.play(4, |n, _, report| {
        if n == 0 {
            let cell = report.counts_mut("look", "x");
            (cell.failed, cell.served) = (cell.total(), 0);
        }
        true
    });
    world.worse("failed");
}

/// Of a third that fail at the new one, while the old one has four requests an interval, three intervals say nothing: one in six that
/// fails on both sides looks like that now and then. That all fail is seen all the same.
#[test]
fn few_old_requests_are_no_gross_harm() {
    let judged = |failed: u64| {
        let mut judge = Judge::new(Thresholds::default(), &[]);
        let sides = BTreeMap::from([(name(0), Side::New), (name(1), Side::Old)]);
        for interval in 0..5u64 {
            let mut reports = Reports::new();
            for (n, served, failed) in [(0, 30 - failed, failed), (1, 4, 0)] {
                let mut report = IntervalReport::new(interval, "a");
                let cell = report.counts_mut("look", "x");
                (cell.served, cell.failed) = (served, failed);
                reports.insert(name(n), report);
            }
            judge.record_interval(&sides, &reports);
        }
        judge.verdict(20, 1000)
    };
    assert!(matches!(judged(10), Verdict::Inconclusive(_)), "{}", judged(10));
    assert!(matches!(judged(30), Verdict::Regression(_)), "{}", judged(30));
}

#[test]
fn crashes_lies_broken_drains_and_silence_are_evidence() {
    let mut world = World::new();
    world.play(1, |n, _, report| {
        report.crashes = u32::from(n == 0);
        true
    });
    world.worse("crashes");
    let mut world = World::new();
    world.play(1, |n, _, report| {
        report.drain_violations = u32::from(n == 0);
        true
    });
    world.worse("drain");
    let mut world = World::new();
    world.play(2, |_, _, _| true);
    world.judge.record_external_observation(
        &name(0),
        ExternalObservation { served: 20, failed: 60 },
        ExternalObservation { served: 200, failed: 0 },
    );
    world.worse("reports other figures");
    let mut world = World::new();
    world.play(3, |_, _, _| true);
    world.play(6, |n, _, _| n != 0);
    assert!(matches!(world.verdict(), Verdict::Regression(_)), "{}", world.verdict());
}

#[test]
fn shared_trouble_blames_nobody_and_holds() {
    let mut world = World::new();
    world.play(10, |_, _, _| true);
    world.play(40, |_, interval, report| {
        // All upstreams fail a third of all, now and then more.
        for tenant in ["x", "y"] {
            report.counts_mut("look", tenant).failed += 40 + interval % 7;
        }
        true
    });
    assert!(matches!(world.verdict(), Verdict::SharedFault(_)), "{}", world.verdict());
    // Everybody crashes: by the machines, or by what is asked.
    let mut world = World::new();
    world.play(30, |_, interval, report| {
        report.crashes = u32::from(interval == 3);
        true
    });
    assert!(matches!(world.verdict(), Verdict::SharedFault(_)), "{}", world.verdict());
    // An old one that is silent: nothing goes on, and nobody is blamed.
    let mut world = World::new();
    world.play(5, |_, _, _| true);
    world.play(40, |n, _, _| n != 3);
    assert!(matches!(world.verdict(), Verdict::SharedFault(_)), "{}", world.verdict());
}

/// The old ones are the bad ones: the change may go on.
#[test]
fn old_ones_that_do_worse_stop_nothing() {
    let mut world = World::new();
    world.play(200, |n, _, report| {
        if n > 0 {
            report.counts_mut("look", "x").failed += 6;
        }
        true
    });
    assert_eq!(world.verdict(), Verdict::Pass);
}

/// Without a word from the new ones nothing ever goes on.
#[test]
fn too_little_never_advances() {
    let mut world = World::new();
    world.play(200, |n, _, report| {
        if n == 0 {
            report.groups.clear();
        }
        true
    });
    assert!(matches!(world.verdict(), Verdict::Inconclusive(_)), "{}", world.verdict());
}

/// The last stage: nobody is left to compare with, but for what the old ones did just before.
#[test]
fn the_last_stage_is_judged_by_what_was_just_before() {
    let of = |failed: u64| {
        let mut report = IntervalReport::new(1, "a");
        (report.cpu_us, report.memory_kb, report.descriptors) = (200_000, 9000, 60);
        for k in 0..200u64 {
            report.counts_mut("look", "x").record_served(5_000 + 400 * ((k * 37) % 100), false);
        }
        report.counts_mut("look", "x").failed = failed;
        report
    };
    let sides: BTreeMap<Name, Side> = (0..2).map(|n| (name(n), Side::New)).collect();
    let before = IntervalReport::merged(&[of(0), of(1), of(0)]).unwrap();
    assert_eq!((before.total(), before.memory_kb), (601, 9000));
    let judged = |failed: u64, before: Option<&IntervalReport>| {
        let mut judge = match before {
            Some(before) => Judge::with_reference(Thresholds::default(), before.clone()),
            None => Judge::new(Thresholds::default(), &[]),
        };
        for interval in 0..150u64 {
            let reports: Reports =
                sides.keys().map(|name| (name.clone(), of(failed * (interval % 2)))).collect();
            judge.record_interval(&sides, &reports);
        }
        judge.verdict(20, 1000)
    };
    assert_eq!(judged(1, Some(&before)), Verdict::Pass);
    let worse = judged(12, Some(&before));
    assert!(matches!(&worse, Verdict::Regression(why) if why.contains("failed")), "{worse}");
    // Without that nothing goes on.
    assert!(matches!(judged(0, None), Verdict::Inconclusive(_)));
}

/// Few requests an interval, so that the time a request is known now and then only: nothing waits for that without an end.
#[test]
fn few_requests_go_on_without_their_time() {
    let mut judge = Judge::new(Thresholds::default(), &[]);
    let sides: BTreeMap<Name, Side> =
        (0..2).map(|n| (name(n), if n == 0 { Side::New } else { Side::Old })).collect();
    for interval in 0..4000u64 {
        let mut reports = Reports::new();
        for n in 0..2 {
            let mut report = IntervalReport::new(interval, "a");
            (report.cpu_us, report.memory_kb, report.descriptors) = (20_000, 9000, 60);
            let many = if interval % 1000 == 500 { 25 } else { 15 };
            for k in 0..many {
                let us = 5_000 + 400 * ((k * 37 + interval * 11 + n as u64 * 53) % 100);
                report.counts_mut("look", "x").record_served(us, false);
            }
            reports.insert(name(n), report);
        }
        judge.record_interval(&sides, &reports);
    }
    assert_eq!(judge.verdict(20, 1000), Verdict::Pass);
}
