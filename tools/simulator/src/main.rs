//! The laboratory's command line.

mod commands;

use clap::builder::TypedValueParser;
use clap::{Args, Parser, Subcommand};
use commands::{balancers, measures, places, rollout};
use indicatif::{ProgressBar, ProgressStyle};
use maplehook_simulator::experiment::{self, How, Verdict};
use maplehook_simulator::file::{Plan, read};
use maplehook_simulator::results::{self, Line, Table, words};
use maplehook_simulator::{World, calibrate, hunt, load, page, policies, rules};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Plays designs of load balancing in emulated time, asks real servers as emulated clients would, and draws what came.
#[derive(Parser)]
#[command(version)]
struct Typed {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Played {
    /// The experiment's file.
    file: PathBuf,
    /// Where results go: FILE.jsonl beside the file if it is not named. What stands there already is not played again.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Threads; 0: one a core.
    #[arg(long, default_value_t = 0)]
    threads: usize,
    /// Replicates instead of those of the file.
    #[arg(long)]
    replicates: Option<u32>,
    /// Where a page with tables and charts goes.
    #[arg(long)]
    html: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Reads an experiment's file and names all that is wrong with it.
    Check { file: PathBuf },
    /// Plays an experiment, without its sweep, and holds it against what it expects.
    Run(Played),
    /// Plays an experiment at all points of its sweep.
    Sweep(Played),
    /// Compares two policies of an experiment, seed by seed.
    Compare {
        a: String,
        b: String,
        #[command(flatten)]
        played: Played,
    },
    /// Plays one seed of an experiment by one policy, and tells it second by second.
    Replay {
        file: PathBuf,
        seed: u64,
        #[arg(long, default_value = "maplehook")]
        policy: String,
    },
    /// Searches the ranges of [hunt] for the worst day, and shrinks it to what matters.
    Hunt {
        file: PathBuf,
        /// Where the worst day goes, as an experiment's file.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Several experiments' results beside one another, as a Markdown table.
    Table {
        /// The results.
        #[arg(required = true)]
        results: Vec<PathBuf>,
        #[arg(long, default_value = "goodput")]
        measure: String,
        /// Less of the measure is better.
        #[arg(long)]
        low: bool,
        /// Whom the others are held against.
        #[arg(long, default_value = "maplehook")]
        own: String,
    },
    /// Draws results as SVG files.
    Plot {
        file: PathBuf,
        /// The results.
        results: PathBuf,
        /// The folder that they go into.
        out: PathBuf,
    },
    /// Asks a real server on this machine as an experiment's clients would, at stated times.
    Load {
        file: PathBuf,
        /// http://ADDRESS:PORT/PATH
        #[arg(long)]
        target: String,
        /// What came, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Plays an experiment on real sockets (a daemon and stand-ins on loopback) and in the emulator, and tells the
    /// difference.
    Calibrate {
        file: PathBuf,
        /// The daemon.
        #[arg(long, default_value = "target/release/maplehook")]
        daemon: PathBuf,
    },
    /// Plays the paper's own experiment, and the troubles of several proxies that the design foresees.
    Paper {
        /// Seeds of each figure.
        #[arg(long, default_value_t = 5)]
        replicates: u64,
    },
    /// Explores the rules on drains, deadlines and repeats as a small state machine, exhaustively.
    Rules,
    /// Balancers that know each other: single faults, or storms of drawn ones.
    Members {
        /// How many: 2 to 2000.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(2..=2000).map(|n| n as usize))]
        members: usize,
        /// How many storms; 0: each single fault once.
        #[arg(long, default_value_t = 0)]
        storms: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// What it costs a balancer when nothing happens, instead.
        #[arg(long)]
        cost: bool,
    },
    /// Drawn storms over balancers that agree on versions: the longest contradiction, and how long changes take.
    Versions {
        /// How many balancers: 3 to 1000.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(3..=1000).map(|n| n as usize))]
        members: usize,
        /// How many storms.
        #[arg(long, default_value_t = 100)]
        storms: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Without faults.
        #[arg(long)]
        calm: bool,
        /// Every order of events over three, instead: changes, elections, steps of time, requests of each (2,1,3,1: minutes).
        #[arg(long, value_delimiter = ',')]
        explore: Option<Vec<u8>>,
    },
    /// Zones and regions: faults, by who decides; and how orders of events are explored.
    Places(places::Asked),
    /// Changes in stages: what is stopped, how soon, and what it cost.
    Rollout(rollout::Asked),
    /// Measures how fast worlds are played, at 3, 120 and 10,000 upstreams.
    Speed {
        /// Requests of each.
        #[arg(long, default_value_t = 1_000_000)]
        requests: u64,
    },
    /// Names the policies that there are, and where each is written.
    Policies,
}

pub(crate) type Failure = Box<dyn Error>;

pub(crate) fn plan_of(file: &Path) -> Result<Plan, Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    read(&text).map_err(|e| format!("{}:\n{e}", file.display()).into())
}

/// Set by Ctrl-C: what is in hand ends, and what is done is kept.
fn interrupted() -> Result<Arc<AtomicBool>, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    let heard = Arc::clone(&stop);
    ctrlc::set_handler(move || heard.store(true, Ordering::Relaxed))?;
    Ok(stop)
}

fn play(plan: &Plan, played: &Played) -> Result<Vec<Line>, Failure> {
    if cfg!(panic = "abort") {
        eprintln!("built so that a policy's panic ends everything: use --profile lab to go on after one");
    }
    let stop = interrupted()?;
    let out = played.out.clone().unwrap_or_else(|| played.file.with_extension("jsonl"));
    let bar = ProgressBar::new(0);
    bar.set_style(ProgressStyle::with_template("{bar:30} {pos}/{len} runs, {elapsed} so far, {eta} left")?);
    let told = |done: usize, of: usize| {
        bar.set_length(of as u64);
        bar.set_position(done as u64);
    };
    let how = How { threads: played.threads, stop: &stop, told: &told, makers: None };
    let lines = experiment::play(plan, &out, &how)?;
    bar.finish_and_clear();
    if stop.load(Ordering::Relaxed) {
        eprintln!(
            "stopped: {} runs are in {}; the same command goes on from there",
            lines.len(),
            out.display()
        );
    }
    Ok(lines)
}

fn table(plan: &Plan, lines: &[Line]) {
    let table = Table::new(lines, plan.confidence);
    for at in table.points() {
        println!("{}", words(at));
        print!("{:<15}", "policy");
        page::MEASURES.iter().for_each(|m| print!(" {m:>17}"));
        println!();
        for policy in table.policies() {
            print!("{policy:<15}");
            for measure in page::MEASURES {
                let mean = table.mean(at, policy, measure).map_or("-".into(), |m| m.to_string());
                print!(" {mean:>17}");
            }
            println!();
        }
    }
}

fn verdicts(all: &[Verdict]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for verdict in all {
        let word = match verdict.holds {
            Some(true) => "holds",
            Some(false) => "BROKEN",
            None => "NOT DECIDED (more replicates?)",
        };
        println!("{word}: {}", verdict.words);
        if verdict.holds != Some(true) {
            code = ExitCode::FAILURE;
        }
    }
    code
}

fn whole(mut plan: Plan, played: &Played, sweeps: bool) -> Result<ExitCode, Failure> {
    if let Some(replicates) = played.replicates {
        plan.replicates = replicates.clamp(1, 10_000);
    }
    if !sweeps {
        plan.axes.clear();
        plan.expects.retain(|e| e.at.is_empty());
    }
    let lines = play(&plan, played)?;
    table(&plan, &lines);
    let all = experiment::judge(&plan, &lines);
    if let Some(html) = &played.html {
        std::fs::write(html, page::html(&plan, &lines, &all))?;
    }
    Ok(verdicts(&all))
}

fn compare(a: String, b: String, played: &Played) -> Result<ExitCode, Failure> {
    let mut plan = plan_of(&played.file)?;
    for name in [&a, &b] {
        policies::named(name).ok_or_else(|| format!("{name:?} is no policy; see the command policies"))?;
    }
    plan.policies = vec![a.clone(), b.clone()];
    if let Some(replicates) = played.replicates {
        plan.replicates = replicates.clamp(1, 10_000);
    }
    let lines = play(&plan, played)?;
    let table = Table::new(&lines, plan.confidence);
    for at in table.points() {
        println!("{}\n{:<14} {:>20} {:>20} {:>20}", words(at), "measure", a, b, "difference");
        for measure in page::MEASURES {
            let mean = |p: &str| table.mean(at, p, measure).map_or("-".into(), |m| m.to_string());
            let difference = table.difference(at, (&a, &b), measure);
            // The interval leaves nil out: it is no chance.
            let sure = difference.is_some_and(|d| d.half.is_some() && (d.least() > 0.0 || d.most() < 0.0));
            let said = difference.map_or("-".into(), |m| m.to_string());
            let mark = if sure { "*" } else { "" };
            println!("{measure:<14} {:>20} {:>20} {said:>20}{mark}", mean(&a), mean(&b));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn replay(file: &Path, seed: u64, policy: &str) -> Result<ExitCode, Failure> {
    let plan = plan_of(file)?;
    let named = policies::named(policy).ok_or_else(|| format!("{policy:?} is no policy"))?;
    let world = World { seed, ..plan.world };
    let report = experiment::one(&world, &named.make)?;
    println!("{:>5} {:>9} {:>8} {:>8} {:>8} {:>9}", "s", "asked", "in time", "refused", "failed", "attempts");
    for (n, s) in report.seconds.iter().enumerate() {
        let share = if s.asked > 0.0 { s.in_time / s.asked } else { 1.0 };
        println!("{n:>5} {:>9.1} {share:>8.3} {:>8} {:>8} {:>9}", s.asked, s.refused, s.failed, s.attempts);
    }
    for (name, value) in report.measures() {
        println!("{name:<14} {value:.4}");
    }
    println!("digest         {:016x}", report.digest);
    Ok(ExitCode::SUCCESS)
}

fn hunted(file: &Path, out: Option<PathBuf>) -> Result<ExitCode, Failure> {
    let plan = plan_of(file)?;
    let wanted = plan.hunt.clone().ok_or("the file has no [hunt]")?;
    let named = policies::named(&wanted.policy).ok_or("no such policy")?;
    let stop = interrupted()?;
    let told = |played: u32, worst: f64| eprintln!("{played} days, worst {worst:.4}");
    let found = hunt::hunt(&plan, &wanted, &named.make, &stop, &told)?;
    println!("{} by {}: {:.4} as written", wanted.measure, wanted.policy, found.usual);
    println!("worst of {} days: {:.4}; shrunk: {:.4}, with", found.played, found.worst, found.shrunk);
    found.at.iter().for_each(|(key, value)| println!("  {key} = {value}"));
    if !found.needless.is_empty() {
        println!("these do not matter to it: {}", found.needless.join(", "));
    }
    if let Some(out) = out {
        std::fs::write(&out, &found.text)?;
        println!("the day is in {}", out.display());
    }
    Ok(ExitCode::SUCCESS)
}

fn loaded(file: &Path, target: &str, json: Option<PathBuf>) -> Result<ExitCode, Failure> {
    let plan = plan_of(file)?;
    let target = load::Target::new(target, plan.classes.clone())?;
    let stop = interrupted()?;
    let told = |done: u64, out: u64| eprint!("\r{done} answered, {out} out   ");
    let runtime = tokio::runtime::Runtime::new()?;
    let loaded = runtime.block_on(load::run(&plan.world, target, &stop, &told))?;
    eprintln!();
    let text = serde_json::to_string_pretty(&loaded)?;
    match json {
        Some(path) => std::fs::write(path, text)?,
        None => println!("{text}"),
    }
    Ok(ExitCode::SUCCESS)
}

fn go(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Check { file } => {
            let plan = plan_of(&file)?;
            let points = plan.points()?.len();
            let runs = points * plan.policies.len() * plan.replicates as usize;
            println!("{}: {points} points, {} policies, {runs} runs", plan.name, plan.policies.len());
        }
        Command::Run(played) => return whole(plan_of(&played.file)?, &played, false),
        Command::Sweep(played) => return whole(plan_of(&played.file)?, &played, true),
        Command::Compare { a, b, played } => return compare(a, b, &played),
        Command::Replay { file, seed, policy } => return replay(&file, seed, &policy),
        Command::Hunt { file, out } => return hunted(&file, out),
        Command::Table { results, measure, low, own } => {
            let all: Vec<Vec<Line>> =
                results.iter().map(|path| results::read(path)).collect::<Result<_, _>>()?;
            print!("{}", page::comparison(&all, &measure, &own, 0.95, low));
        }
        Command::Plot { file, results, out } => return measures::plot(&file, &results, &out),
        Command::Load { file, target, json } => return loaded(&file, &target, json),
        Command::Calibrate { file, daemon } => {
            let runtime = tokio::runtime::Runtime::new()?;
            print!("{}", runtime.block_on(calibrate::run(&plan_of(&file)?, &daemon))?);
        }
        Command::Paper { replicates } => measures::papers(replicates),
        Command::Members { members, storms, seed, cost } => {
            return balancers::known(members, storms, seed, cost);
        }
        Command::Versions { explore: Some(bounds), .. } => return balancers::explored(&bounds),
        Command::Versions { members, storms, seed, calm, explore: None } => {
            return Ok(balancers::agreed(members, storms, seed, calm));
        }
        Command::Places(asked) => return places::places(&asked),
        Command::Rollout(asked) => return rollout::rollout(&asked),
        Command::Rules => {
            let (report, sound) = rules::explore_all();
            print!("{report}");
            return Ok(if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        Command::Speed { requests } => measures::speed(requests)?,
        Command::Policies => {
            policies::all().iter().for_each(|p| println!("{:<14} {}", p.name, p.what));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    match go(Typed::parse().command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
