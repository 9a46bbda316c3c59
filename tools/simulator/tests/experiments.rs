//! Experiments: the same bytes in any number of threads, going on where they stopped, expectations that hold or don't,
//! faults of the file named at once.

use maplehook_simulator::experiment::{How, Verdict, judge, play};
use maplehook_simulator::file::{Plan, read};
use maplehook_simulator::policies::{Decides, Maker, named};
use maplehook_simulator::{chart, page, results};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

const TEXT: &str = r#"
[experiment]
format = 1
name = "slow <one>"
policies = ["maplehook", "round_robin"]
replicates = 3
[world]
lasts_s = 6.0
settles_s = 1.0
balancers = 2
[[upstream]]
count = 6
servers = 2
queue = 30
speed = [0.6, 1.4]
service = { shape = "exponential", mean_ms = 8.0 }
[[class]]
name = "look"
effect = "idempotent"
aim_ms = 200.0
[[class]]
name = "book"
effect = "at_most_once"
share = 0.5
worth = 3.0
[tenants]
count = 3
zipf = 1.0
allowance = 0.8
[[load]]
of_capacity = 0.7
[[fault]]
name = "slow one"
at_s = 2.0
lasts_s = 2.0
does = "slow"
factor = 6.0
count = 1
[sweep]
"load[1].of_capacity" = [0.4, 0.7]
[[expect]]
policy = "maplehook"
measure = "breaches"
at_most = 0.0
[[expect]]
policy = "maplehook"
measure = "worst_10s"
than = "round_robin"
at_least = -0.2
at = { "load[1].of_capacity" = 0.4 }
"#;

fn out(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("maplehook-simulator-{}-{name}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

/// Whether two files hold the same bytes.
fn same(one: &Path, other: &Path) -> bool {
    std::fs::read(one).unwrap() == std::fs::read(other).unwrap()
}

fn plan(text: &str) -> Plan {
    read(text).unwrap_or_else(|e| panic!("{e}"))
}

fn played(plan: &Plan, path: &Path, threads: usize) -> Vec<results::Line> {
    let how = How { threads, stop: &AtomicBool::new(false), told: &|_, _| {}, makers: None };
    play(plan, path, &how).unwrap()
}

/// Guards against threads and hash maps that decide: one thread and four write the same bytes.
#[test]
fn any_number_of_threads_writes_the_same() {
    let plan = plan(TEXT);
    let (one, four) = (out("one"), out("four"));
    let lines = played(&plan, &one, 1);
    played(&plan, &four, 4);
    assert!(same(&one, &four));
    assert_eq!(lines.len(), 2 * 2 * 3);
    let digests: std::collections::HashSet<&String> = lines.iter().map(|l| &l.digest).collect();
    assert_eq!(digests.len(), 12, "each run is one of its own");
    let verdicts = judge(&plan, &lines);
    assert!(verdicts.iter().all(|v| v.holds == Some(true)), "{verdicts:?}");
    let page = page::html(&plan, &lines, &verdicts);
    assert!(page.contains("<svg") && page.contains("slow &lt;one&gt;") && !page.contains("slow <one>"));
    assert!(!page.contains("http://") || !page.contains("src="), "nothing is fetched");
    for path in [one, four] {
        std::fs::remove_file(path).unwrap();
    }
}

/// An experiment that was stopped, or cut off in the middle of a line, goes on there: what is done is not done again,
/// and the end is as if it had never stopped. Results of another text are not taken for its own.
#[test]
fn an_experiment_goes_on_where_it_stopped() {
    let plan = plan(TEXT);
    let (whole, path) = (out("whole"), out("stopped"));
    played(&plan, &whole, 2);
    let stop = AtomicBool::new(false);
    let told = |done: usize, _: usize| stop.store(done >= 4, Ordering::Relaxed);
    let how = How { threads: 1, stop: &stop, told: &told, makers: None };
    let first = play(&plan, &path, &how).unwrap();
    assert_eq!(first.len(), 4);
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, &text[..text.len() - 40]).unwrap();
    let made = AtomicUsize::new(0);
    let makers = |name: &str| -> Option<Box<Maker<'_>>> {
        made.fetch_add(1, Ordering::Relaxed);
        Some(Box::new(named(name)?.make))
    };
    let how = How { threads: 2, stop: &AtomicBool::new(false), told: &|_, _| {}, makers: Some(&makers) };
    play(&plan, &path, &how).unwrap();
    assert_eq!(made.load(Ordering::Relaxed), 12 - 3, "three were whole");
    assert!(same(&whole, &path));

    let other = self::plan(&TEXT.replace("factor = 6.0", "factor = 2.0"));
    let lines = played(&other, &path, 2);
    assert_eq!(lines.len(), 12);
    assert!(!same(&whole, &path));

    std::fs::write(&path, "{\n{}\n").unwrap();
    let how = How { threads: 1, stop: &AtomicBool::new(false), told: &|_, _| {}, makers: None };
    let error = play(&plan, &path, &how).unwrap_err().to_string();
    assert!(error.contains("line 1"), "{error}");
    for path in [whole, path] {
        std::fs::remove_file(path).unwrap();
    }
}

struct Panics;

impl Decides for Panics {
    fn handle(
        &mut self,
        _: std::time::Duration,
        event: maplehook_core::Event<'_>,
        _: &mut Vec<maplehook_core::Action>,
    ) {
        assert!(!matches!(event, maplehook_core::Event::Request { .. }), "a planted panic");
    }
}

/// A policy that panics is reported with its seed, and all others are played.
#[test]
fn a_policy_that_panics_ends_its_own_run_alone() {
    let mut plan = plan(TEXT);
    plan.axes.clear();
    let path = out("panics");
    let makers = |name: &str| -> Option<Box<Maker<'_>>> {
        if name == "round_robin" {
            return Some(Box::new(|_, _, _| Box::new(Panics)));
        }
        Some(Box::new(named(name)?.make))
    };
    let how = How { threads: 2, stop: &AtomicBool::new(false), told: &|_, _| {}, makers: Some(&makers) };
    let lines = play(&plan, &path, &how).unwrap();
    let (broken, well): (Vec<_>, Vec<_>) = lines.iter().partition(|l| l.panicked.is_some());
    assert_eq!((broken.len(), well.len()), (3, 3));
    assert!(well.iter().all(|l| l.policy == "maplehook" && !l.measures.is_empty()));
    let told = judge(&plan, &lines);
    let told: Vec<&Verdict> = told.iter().filter(|v| v.words.contains("a planted panic")).collect();
    assert!(told.len() == 3 && told.iter().all(|v| v.holds == Some(false)), "{told:?}");
    std::fs::remove_file(path).unwrap();
}

/// An expectation holds or does not where the whole interval says so, and is left open else.
#[test]
fn expectations_are_judged_by_intervals() {
    let expect = |bound: &str| {
        let text = TEXT.split("[[expect]]").next().unwrap();
        plan(&format!("{text}[[expect]]\npolicy = \"maplehook\"\nmeasure = \"p50_ms\"\n{bound}\n"))
    };
    let path = out("judged");
    let first = expect("at_most = 1000.0");
    let lines = played(&first, &path, 2);
    let table = results::Table::new(&lines, 0.95);
    let at = table.points()[0];
    let mean = table.mean(at, "maplehook", "p50_ms").unwrap();
    assert!(mean.half.unwrap() > 0.0);
    for (bound, expected) in [
        ("at_most = 1000.0".to_owned(), Some(true)),
        ("at_most = 0.1".to_owned(), Some(false)),
        ("at_least = 0.1".to_owned(), Some(true)),
        (format!("at_least = {}", mean.mean), None),
        ("at_least = 0.1\nat_most = 0.2".to_owned(), Some(false)),
    ] {
        let verdict = judge(&expect(&bound), &lines).remove(0);
        assert_eq!(verdict.holds, expected, "{}", verdict.words);
    }
    let nowhere = plan(&TEXT.replace("= 0.4 }", "= 0.55 }"));
    let open = judge(&nowhere, &lines).into_iter().find(|v| v.words.contains("no point"));
    assert_eq!(open.unwrap().holds, None);
    std::fs::remove_file(path).unwrap();
}

/// All that is wrong with a file is named at once, each with its line; a newer format is named alone.
#[test]
fn faults_of_a_file_are_named_with_their_lines() {
    let faults = |from: &str, to: &str| read(&TEXT.replacen(from, to, 1)).unwrap_err().to_string();
    let line = |what: &str| TEXT[..TEXT.find(what).unwrap()].lines().count() + 1;
    for (from, to, place, what) in [
        ("count = 6", "count = 0", "upstream[1].count", "1 to 100000"),
        ("speed = [0.6, 1.4]", "speed = [2.0, 1.0]", "upstream[1].speed", "least"),
        ("mean_ms = 8.0", "mean_ms = -8.0", "upstream[1].service", "86400000"),
        ("shape = \"exponential\"", "shape = \"normal\"", "upstream[1].service", "unknown variant"),
        ("effect = \"idempotent\"", "effect = \"none\"", "class[1].effect", "at_most_once"),
        ("aim_ms = 200.0", "aim_ms = 200.0\nnothing = 3", "class[1].nothing", "no such key"),
        ("does = \"slow\"", "does = \"rot\"", "fault[1].does", "crash, vanish"),
        ("at_s = 2.0", "after = \"nobody\"", "fault[1].after", "nobody"),
        ("of_capacity = 0.7", "of_capacity = 0.7\nrate = 3.0", "load[1].rate", "not both"),
        ("\"round_robin\"]", "\"square_robin\"]", "experiment.policies", "leastconn"),
        ("measure = \"breaches\"", "measure = \"beauty\"", "expect[1].measure", "goodput"),
        ("load[1].of_capacity\" = [0.4", "load[2].of_capacity\" = [0.4", "sweep", "no such entry"),
        ("lasts_s = 6.0", "lasts_s = 6.0\nlasts_s = 7.0", "", "duplicate key"),
    ] {
        let said = faults(from, to);
        assert!(said.contains(place) && said.contains(what), "{to}: {said}");
    }
    let two = faults("count = 6\nservers = 2", "count = 0\nservers = 0");
    assert_eq!(two.lines().count(), 2, "{two}");
    assert!(two.starts_with(&format!("line {}: upstream[1].count", line("count = 6"))), "{two}");
    let newer = faults("format = 1", "format = 2\nknows = \"more\"");
    assert_eq!(
        newer,
        format!(
            "line {}: experiment.format: this file has format 2, and 1 is the newest that is known here",
            line("format = 1")
        )
    );
    let none = read("").unwrap_err().to_string();
    assert!(none.contains("format"), "{none}");
}

/// A chart without height, without points, or with what is no number, is drawn or left out, and never an error.
#[test]
fn charts_take_whatever_comes() {
    let of = |points: Vec<(f64, f64)>| chart::Chart {
        title: "a & b <c>".into(),
        curves: vec![chart::Curve { name: "one".into(), points, band: Vec::new() }],
        marks: vec![(0.0, 1.0, "fault".into())],
        ..chart::Chart::default()
    };
    assert!(of(Vec::new()).svg().is_none());
    assert!(of(vec![(f64::NAN, f64::NAN)]).svg().is_none());
    for points in [vec![(1.0, 1.0)], vec![(0.0, 2.0), (1.0, 2.0)], vec![(0.0, f64::INFINITY), (1.0, 2.0)]] {
        let svg = of(points).svg().unwrap();
        assert!(svg.starts_with("<svg") && svg.contains("a &amp; b"), "{svg}");
    }
}

/// The experiments that come with the laboratory are sound, and what they expect of the module holds on a short form of
/// each day.
#[test]
fn the_experiments_beside_it_hold() {
    let mut days = 0;
    for entry in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/experiments")).unwrap() {
        let path = entry.unwrap().path();
        let whole = plan(&std::fs::read_to_string(&path).unwrap());
        assert!(!whole.points().unwrap().is_empty());
        if whole.expects.is_empty() || !whole.axes.is_empty() {
            continue;
        }
        let short = std::collections::BTreeMap::from([
            ("world.lasts_s".to_owned(), toml::Value::Float(24.0)),
            ("experiment.replicates".to_owned(), toml::Value::Integer(2)),
            ("experiment.policies".to_owned(), toml::Value::Array(vec!["maplehook".into()])),
        ]);
        let short = plan(&whole.text_at(&short).unwrap());
        let results = out(path.file_stem().unwrap().to_str().unwrap());
        let verdicts = judge(&short, &played(&short, &results, 2));
        assert!(verdicts.iter().all(|v| v.holds == Some(true)), "{}: {verdicts:?}", path.display());
        std::fs::remove_file(results).unwrap();
        days += 1;
    }
    assert_eq!(days, 12);
}
