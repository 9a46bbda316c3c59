//! A plan as its file says it, checked: all that is wrong with it, with its lines.
//!
//! ```toml
//! [change]
//! settings = "new.toml"           # or program = "PATH"
//! when_short = "hold"             # or "undo": too little to judge by after short_s
//! short_s = 1800
//! when_cut_off = "go_back"        # or "stay": what a changed balancer does that has lost touch for cut_off_s
//! cut_off_s = 60
//! interval_ms = 1000              # over which each balancer counts what it reports
//! zone_share = 0.34               # of a zone's balancers that may be away at once
//! missing_share = 0.1             # of a stage that may be out of reach
//!
//! [[stage]]
//! names = ["b1"]                  # or share = 0.05
//! least_s = 120
//! least_requests = 2000
//!
//! [bounds]                        # what counts as worse; all have defaults
//! failed = 0.005
//! false_stops = 0.01
//! ```

use maplehook_canary::{Metric, Thresholds};
use maplehook_cluster::Name;
use maplehook_config::reader::{Fault, Faults, Form, Reader};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

const FORM: Form = Form { sections: &["change", "bounds"], lists: &["stage"] };
/// The most stages.
const STAGES_MOST: usize = 16;

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The shared sections of this operator's file.
    Settings(PathBuf),
    /// This program.
    Program(PathBuf),
}

/// Who is in a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Whom {
    /// A share of all, spread over the zones.
    Share(f64),
    /// These, and all of the stages before.
    Names(Vec<String>),
}

/// A stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Who.
    pub whom: Whom,
    /// For how long at least it is watched.
    pub least: Duration,
    /// With how many requests at least at the changed ones.
    pub least_requests: u64,
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WhenShort {
    /// It waits for an operator.
    Hold,
    /// It is undone.
    Undo,
}

/// What a changed balancer does that has lost touch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WhenCutOff {
    /// It goes back by itself: nobody judges it any more.
    GoBack,
    /// It stays as it is.
    Stay,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What changes.
    pub change: Change,
    /// In which stages; the last one is everybody.
    pub stages: Vec<Stage>,
    /// What counts as worse.
    pub bounds: Thresholds,
    /// What is done where there is too little to judge by.
    pub when_short: WhenShort,
    /// After this time.
    pub short: Duration,
    /// What a changed balancer does that has lost touch.
    pub when_cut_off: WhenCutOff,
    /// After this time.
    pub cut_off: Duration,
    /// Over which each balancer counts what it reports.
    pub interval: Duration,
    /// Share of a zone's balancers that may be away at once.
    pub zone_share: f64,
    /// Share of a stage's balancers that may be out of reach.
    pub missing_share: f64,
}

/// Reads a plan.
pub fn read(text: &str) -> Result<Plan, Faults> {
    let mut reader = Reader::new(text, FORM)?;
    let settings: Option<PathBuf> = reader.take("change", "settings");
    let program: Option<PathBuf> = reader.take("change", "program");
    let change = match (settings, program) {
        (Some(file), None) => Some(Change::Settings(file)),
        (None, Some(file)) => Some(Change::Program(file)),
        (Some(_), Some(_)) => {
            reader.fault("change", "program", "either settings or a program: one change at a time".into());
            None
        }
        (None, None) => {
            reader.fault_at(1, "change".into(), "it needs settings = FILE or program = PATH".into());
            None
        }
    };
    let mut word = |key: &str, words: [&str; 2]| -> usize {
        let word: Option<String> = reader.take("change", key);
        match word.as_deref() {
            None => 0,
            Some(word) => words.iter().position(|known| *known == word).unwrap_or_else(|| {
                reader.fault("change", key, format!("{word:?} is none of {:?}, {:?}", words[0], words[1]));
                0
            }),
        }
    };
    let when_short = [WhenShort::Hold, WhenShort::Undo][word("when_short", ["hold", "undo"])];
    let when_cut_off = [WhenCutOff::GoBack, WhenCutOff::Stay][word("when_cut_off", ["go_back", "stay"])];
    let mut seconds = |key: &str, or: u64| -> Duration {
        let seconds = reader.take("change", key).unwrap_or(or);
        if !(1..=604_800).contains(&seconds) {
            reader.fault("change", key, "it has to be 1 to 604,800 s".into());
        }
        Duration::from_secs(seconds)
    };
    let (short, cut_off) = (seconds("short_s", 1800), seconds("cut_off_s", 60));
    let interval = reader.take("change", "interval_ms").unwrap_or(1000u64);
    if !(100..=10_000).contains(&interval) {
        reader.fault("change", "interval_ms", "it has to be 100 to 10,000 ms".into());
    }
    let interval = Duration::from_millis(interval);
    let mut part = |key: &str, or: f64, least: f64| -> f64 {
        let part = reader.take("change", key).unwrap_or(or);
        if !(least..=1.0).contains(&part) {
            reader.fault("change", key, format!("it has to be {least} to 1"));
        }
        part
    };
    let (zone_share, missing_share) = (part("zone_share", 0.34, 0.01), part("missing_share", 0.1, 0.0));
    let mut stages = Vec::new();
    for mut table in reader.take_tables("stage") {
        let names: Option<Vec<String>> = reader.take_in(&mut table, "names");
        let of_all: Option<f64> = reader.take_in(&mut table, "share");
        let whom = match (names, of_all) {
            (Some(names), None) => {
                if names.is_empty() || names.len() > 1000 {
                    reader.fault_in(&table, "names", "1 to 1,000 names".into());
                }
                for name in names.iter().filter(|name| Name::new(name).is_none()) {
                    reader.fault_in(&table, "names", format!("{name:?} is no name"));
                }
                Whom::Names(names)
            }
            (None, Some(share)) => {
                if !(share > 0.0 && share <= 1.0) {
                    reader.fault_in(&table, "share", "it has to be more than 0, up to 1".into());
                }
                Whom::Share(share)
            }
            _ => {
                reader.fault_in(&table, "share", "it needs a share or names, one of them".into());
                Whom::Share(1.0)
            }
        };
        let least: u64 = reader.take_in(&mut table, "least_s").unwrap_or(120);
        if !(1..=604_800).contains(&least) {
            reader.fault_in(&table, "least_s", "it has to be 1 to 604,800 s".into());
        }
        let least_requests: u64 = reader.take_in(&mut table, "least_requests").unwrap_or(1000);
        if !(1..=1 << 40).contains(&least_requests) {
            reader.fault_in(&table, "least_requests", "it has to be 1 to 2^40".into());
        }
        stages.push(Stage { whom, least: Duration::from_secs(least), least_requests });
        reader.done(table);
    }
    if stages.is_empty() || stages.len() > STAGES_MOST {
        reader.fault_at(1, "stage".into(), format!("1 to {STAGES_MOST} stages: [[stage]]"));
    }
    let shares: Vec<f64> = stages
        .iter()
        .filter_map(|stage| match stage.whom {
            Whom::Share(share) => Some(share),
            Whom::Names(_) => None,
        })
        .collect();
    if shares.windows(2).any(|pair| pair[1] <= pair[0]) {
        reader.fault_at(1, "stage".into(), "each share has to be larger than the one before".into());
    }
    let mut bounds = Thresholds { stages: stages.len() as u32, ..Thresholds::default() };
    for (key, measure) in Metric::ALL {
        if let Some(allowed) = reader.take::<f64>("bounds", key) {
            if !(0.0..=10.0).contains(&allowed) {
                reader.fault("bounds", key, "it has to be 0 to 10".into());
            }
            bounds.allowed.insert(measure, allowed);
        }
    }
    for (key, value, least, most) in [
        ("gross", &mut bounds.gross, 0.01, 1.0),
        ("false_stops", &mut bounds.false_stop_rate, 0.000_1, 0.2),
        ("lies", &mut bounds.max_misreported_share, 0.001, 1.0),
    ] {
        if let Some(set) = reader.take::<f64>("bounds", key) {
            if !(least..=most).contains(&set) {
                reader.fault("bounds", key, format!("it has to be {least} to {most}"));
            }
            *value = set;
        }
    }
    if let Some(silence) = reader.take::<u64>("bounds", "silence") {
        if !(2..=600).contains(&silence) {
            reader.fault("bounds", "silence", "it has to be 2 to 600 intervals".into());
        }
        bounds.max_missed_intervals = silence;
    }
    reader.end()?;
    let nothing = Fault { line: 1, place: "change".into(), what: "nothing changes".into() };
    let change = change.ok_or_else(|| Faults(vec![nothing]))?;
    Ok(Plan {
        change,
        stages,
        bounds,
        when_short,
        short,
        when_cut_off,
        cut_off,
        interval,
        zone_share,
        missing_share,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_read() {
        let plan = read(
            "[change]\nsettings = 'new.toml'\nwhen_short = 'undo'\ncut_off_s = 5\n[[stage]]\nnames = ['b1']\nleast_s = 3\n\
             [[stage]]\nshare = 0.25\n[[stage]]\nshare = 1.0\n[bounds]\nfailed = 0.1\nfalse_stops = 0.05\n",
        )
        .unwrap();
        assert_eq!(plan.change, Change::Settings("new.toml".into()));
        assert_eq!((plan.when_short, plan.when_cut_off), (WhenShort::Undo, WhenCutOff::GoBack));
        assert_eq!((plan.stages.len(), plan.bounds.stages), (3, 3));
        assert_eq!(plan.stages[0].least, Duration::from_secs(3));
        assert_eq!(plan.interval, Duration::from_secs(1));
        assert_eq!(plan.bounds.allowed[&Metric::Failed], 0.1);
        assert_eq!(plan.bounds.allowed[&Metric::Rejected], Thresholds::default().allowed[&Metric::Rejected]);
    }

    /// The example says the defaults.
    #[test]
    fn the_example_is_good() {
        let plan = read(include_str!("../../../deploy/rollout.toml")).unwrap();
        assert_eq!(plan.bounds, Thresholds { stages: 3, ..Thresholds::default() });
        let bare = read("[change]\nsettings = 'x'\n[[stage]]\nshare = 1.0\n").unwrap();
        assert_eq!(
            (plan.when_short, plan.short, plan.when_cut_off),
            (bare.when_short, bare.short, bare.when_cut_off)
        );
        assert_eq!((plan.cut_off, plan.interval), (bare.cut_off, bare.interval));
        assert_eq!((plan.zone_share, plan.missing_share), (bare.zone_share, bare.missing_share));
    }

    #[test]
    fn each_fault_has_its_line() {
        let shown = read(
            "[change]\nsettings = 'a'\nprogram = 'b'\nwhen_short = 'go'\nzone_share = 0\ninterval_ms = 5\n[[stage]]\nnames = ['b 1']\nshare = 0.1\n\
             [[stage]]\nshare = 0.5\nwho = 'me'\n[[stage]]\nshare = 0.2\n[bounds]\nfailed = -1\nslower = 2\n",
        )
        .unwrap_err()
        .to_string();
        for part in [
            "line 3: change.program: either settings",
            "line 4: change.when_short: \"go\" is none of \"hold\", \"undo\"",
            "line 5: change.zone_share: it has to be 0.01 to 1",
            "line 6: change.interval_ms: it has to be 100 to 10,000 ms",
            "line 9: stage[1].share: it needs a share or names, one of them",
            "line 12: stage[2].who: no such key",
            "stage: each share has to be larger",
            "line 16: bounds.failed: it has to be 0 to 10",
            "line 17: bounds.slower: no such key",
        ] {
            assert!(shown.contains(part), "{part:?} is not in\n{shown}");
        }
        assert!(
            read("[change]\n")
                .unwrap_err()
                .to_string()
                .contains("it needs settings = FILE or program = PATH")
        );
    }
}
