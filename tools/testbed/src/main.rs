//! `maplehook-testbed`: storms over real balancers.

use clap::builder::TypedValueParser;
use clap::{Parser, Subcommand};
use maplehook_testbed::nemesis::{Line, ZoneLine};
use maplehook_testbed::places::{self, Conduct, Front, Map};
use maplehook_testbed::{Setup, fleet, judge, measure, soak, storm};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Real balancers side by side, and the faults between them. All of it stays on loopback and ends by itself.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Draws faults from a seed and plays them, one storm after another.
    Storm {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many storms, each with the next seed: 1 to 1000.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        storms: u64,
        /// Minutes of faults in each: up to 60.
        #[arg(long, default_value_t = 0.5)]
        minutes: f64,
        #[command(flatten)]
        played: Played,
    },
    /// Plays the faults of a file.
    Play {
        /// The file; `tools/testbed/storms/` has some.
        file: PathBuf,
        #[command(flatten)]
        played: Played,
    },
    /// Measures single faults, how soon a drain acts at all, and what a tier costs, beside balancers that do not know each
    /// other: about four minutes.
    Measure {
        /// Rounds of the load.
        #[arg(long, default_value_t = 3)]
        rounds: u32,
        /// The load alone.
        #[arg(long)]
        load_alone: bool,
        #[command(flatten)]
        played: Played,
    },
    /// Measures what many balancers' agreement costs when nothing changes, and a long change: their parts alone, in this process.
    Fleet {
        /// How many: 4 to 500.
        #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u64).range(4..=500).map(|n| n as usize))]
        members: usize,
        /// The length of the list that is proposed: up to 1,000,000.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(100..=1_000_000).map(|n| n as usize))]
        bytes: usize,
        /// For how long two may contradict each other.
        #[arg(long, default_value_t = 20_000)]
        contradiction_ms: u64,
    },
    /// Plays storms over zones and regions, writes a history of each, and prints what became of each kind of fault.
    Places {
        /// How many storms, each with the next seed: 1 to 1000.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        storms: u64,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The directory of the histories.
        #[arg(long)]
        out: PathBuf,
        /// Faults in each storm, one after the other: 0 to 20.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=20).map(|n| n as usize))]
        faults: usize,
        /// A file with one storm, instead of drawn ones.
        #[arg(long, conflicts_with = "faults")]
        line: Option<PathBuf>,
        /// How many balancers, in four zones: 4 to 32.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(4..=32).map(|n| n as usize))]
        balancers: usize,
        /// Upstreams by zone: 1 to 16.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=16).map(|n| n as usize))]
        upstreams: usize,
        /// Requests a second that each upstream can take: up to 500.
        #[arg(long, default_value_t = 40.0)]
        room: f64,
        /// Each balancer for itself, without rules: what any program does.
        #[arg(long)]
        alone: bool,
        /// Rules, and each balancer for itself: fixed priorities and thresholds.
        #[arg(long, conflicts_with = "alone")]
        textbook: bool,
        /// Clients go to a balancer of their zone that runs, not through routers.
        #[arg(long)]
        direct: bool,
        /// The program; the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Plays short lives of one balancer, by seed: upstreams misbehave, signals come in series, and SIGKILL comes at the
    /// earliest time that the protocol allows.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many runs, each with the next seed: 1 to 1000.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
        runs: u64,
        /// How many runs at once: 1 to 8.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=8).map(|n| n as usize))]
        at_once: usize,
        /// The program; the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Judges histories from their files, without the run.
    Judge {
        /// The shortest part that still shows what is wrong, too.
        #[arg(long)]
        shrink: bool,
        /// The histories.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Shows the faults that a seed draws, as a file.
    Show {
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Minutes of faults.
        #[arg(long, default_value_t = 0.5)]
        minutes: f64,
        /// How many balancers.
        #[arg(long, default_value_t = 8)]
        balancers: usize,
    },
}

#[derive(clap::Args)]
struct Played {
    /// How many balancers: 1 to 32.
    #[arg(long, default_value_t = 8)]
    balancers: usize,
    /// Requests a second over all of them: up to 2000.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// The balancers do not know each other.
    #[arg(long)]
    alone: bool,
    /// They agree on versions, which are proposed all the time; contradictions may last so many milliseconds.
    #[arg(long, value_name = "MS", num_args = 0..=1, default_missing_value = "2000")]
    agreement: Option<u64>,
    /// What one does that has lost touch, with an agreement: careful, refuse or wait_for_all.
    #[arg(long, requires = "agreement")]
    when_cut_off: Option<String>,
    /// Versions all the time without an agreement: by files and restarts, one balancer after the other.
    #[arg(long, conflicts_with = "agreement")]
    by_files: bool,
    /// The program; the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Another program, which each second balancer runs: an older or a newer one.
    #[arg(long)]
    beside: Option<PathBuf>,
    /// The reports as JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// The program to run: the one beside this, unless another one is told.
fn program(told: Option<&PathBuf>) -> Result<PathBuf, String> {
    let neighbour = || {
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        Ok(own.with_file_name("maplehook"))
    };
    told.cloned().map_or_else(neighbour, Ok)
}

const UPSTREAMS: usize = 4;

impl Played {
    fn setup(&self) -> Result<Setup, String> {
        let program = program(self.program.as_ref())?;
        let rate = self.rate.clamp(1.0, 2000.0);
        let (balancers, tier) = (self.balancers, !self.alone);
        let cut_off =
            self.when_cut_off.as_ref().map_or(String::new(), |word| format!("when_cut_off = \"{word}\"\n"));
        let agreement = self.agreement.map(|ms| format!("contradiction_ms = {ms}\n{cut_off}"));
        let by_files = self.by_files;
        let beside = self.beside.clone();
        Ok(Setup {
            balancers,
            rate,
            tier,
            agreement,
            by_files,
            beside,
            upstreams: UPSTREAMS,
            ..Setup::new(&program)
        })
    }

    fn tell(&self, reports: &[storm::Report]) -> Result<bool, String> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(reports).map_err(|e| e.to_string())?);
        } else {
            print!("{}", storm::markdown(reports));
        }
        for report in reports.iter().filter(|report| !report.breaches.is_empty()) {
            eprintln!("seed {:?}:", report.seed);
            report.breaches.iter().take(20).for_each(|breach| eprintln!("  {breach}"));
        }
        Ok(reports.iter().all(|report| report.breaches.is_empty()))
    }
}

fn span(minutes: f64) -> Duration {
    Duration::from_secs_f64(minutes.clamp(0.05, 60.0) * 60.0)
}

fn run() -> Result<bool, String> {
    match Arguments::parse().command {
        Command::Storm { seed, storms, minutes, played } => {
            let mut reports = Vec::new();
            for seed in (seed..).take(storms as usize) {
                let setup = played.setup()?;
                let line = Line::draw(seed, setup.balancers, setup.upstreams, span(minutes));
                let report = storm::play(setup, &line, Some(seed))?;
                eprintln!("seed {seed}: {} breaches in {:.0} s", report.breaches.len(), report.seconds);
                reports.push(report);
            }
            played.tell(&reports)
        }
        Command::Play { file, played } => {
            let setup = played.setup()?;
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let line = Line::read(&text, setup.balancers, setup.upstreams)
                .map_err(|e| format!("{}: {e}", file.display()))?;
            played.tell(&[storm::play(setup, &line, None)?])
        }
        Command::Measure { rounds, load_alone, played } => {
            let setup = played.setup()?;
            if !load_alone {
                print!("{}", measure::markdown(&measure::faults(setup.clone())?));
            }
            if !load_alone {
                println!("{}", measure::flood(setup.clone(), Duration::from_secs(10))?);
            }
            for tier in [true, false].into_iter().filter(|_| !load_alone) {
                let took = measure::drain(Setup { tier, ..setup.clone() }, Duration::from_secs(10))?;
                let words =
                    took.map_or("more than 8 s".into(), |took| format!("{:.2} s", took.as_secs_f64()));
                println!(
                    "a drain told to one of {}, tier {tier}: last attempt after {words}",
                    setup.balancers
                );
            }
            for _ in 0..rounds.min(20) {
                let agreement = Some("contradiction_ms = 5000\n".to_owned());
                for (what, tier, agreement) in
                    [("agreement", true, agreement), ("tier", true, None), ("alone", false, None)]
                {
                    let rate = setup.rate.max(400.0);
                    let setup = Setup { tier, agreement, rate, ..setup.clone() };
                    println!("{what}: {:?}", measure::load(setup, Duration::from_secs(6))?);
                }
            }
            Ok(true)
        }
        Command::Fleet { members, bytes, contradiction_ms } => {
            println!("{}", fleet::measure(members, bytes, Duration::from_millis(contradiction_ms))?);
            Ok(true)
        }
        Command::Places {
            storms,
            seed,
            out,
            faults,
            line,
            balancers,
            upstreams,
            room,
            alone,
            textbook,
            direct,
            program: told,
        } => {
            let conduct = match (alone, textbook) {
                (true, _) => Conduct::Alone,
                (_, true) => Conduct::Textbook,
                _ => Conduct::Common,
            };
            let map = Map { conduct, ..Map::new(upstreams, room.clamp(1.0, 500.0)) };
            let setup = map.setup(&program(told.as_ref())?, balancers);
            let front = if direct || conduct != Conduct::Common { Front::Direct } else { Front::Routers };
            let regions = map.regions.iter().cloned().collect();
            let read = |file: PathBuf| {
                let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
                toml::from_str::<ZoneLine>(&text).map_err(|e| format!("{}: {e}", file.display()))
            };
            let stated = line.map(read).transpose()?;
            let mut played = Vec::new();
            for seed in (seed..).take(storms as usize) {
                let drawn = || ZoneLine::draw(seed, &regions, faults);
                let line = stated.clone().unwrap_or_else(drawn);
                let storm = places::storm::play(setup.clone(), seed, &line, front, &out)?;
                eprintln!("seed {seed}: {}", storm.file.display());
                played.push(storm);
            }
            print!("{}", places::storm::markdown(&played));
            Ok(true)
        }
        Command::Soak { seed, runs, at_once, program: told } => {
            let summaries = soak::play_all(&program(told.as_ref())?, seed..seed + runs, at_once)?;
            summaries.iter().for_each(|summary| println!("{summary}"));
            Ok(summaries.iter().all(|summary| summary.breaches.is_empty()))
        }
        Command::Judge { shrink, files } => {
            let judged = judge::report(&files, shrink)?;
            print!("{}", judged.text);
            Ok(judged.sound)
        }
        Command::Show { seed, minutes, balancers } => {
            let line = Line::draw(seed, balancers, UPSTREAMS, span(minutes));
            print!("{}", toml::to_string(&line).map_err(|e| e.to_string())?);
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("maplehook-testbed: {e}");
            ExitCode::FAILURE
        }
    }
}
