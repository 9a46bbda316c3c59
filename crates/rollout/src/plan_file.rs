//! The file of a plan, read and checked: all that is wrong with it is reported at once, with its lines.
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

use crate::plan::{Change, InconclusivePolicy, LostContactPolicy, Plan, Stage, StageMembers};
use maplehook_canary::{Metric, Thresholds};
use maplehook_cluster::Name;
use maplehook_config::reader::{Fault, Faults, Form, Reader, Table};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

const FORM: Form = Form { sections: &["change", "bounds"], lists: &["stage"] };
/// The most stages of a plan, and names of a stage.
const MAX_STAGES: usize = 16;
const MAX_NAMES: usize = 1000;
/// Times that may be set, in seconds: up to a week.
const SECONDS: RangeInclusive<u64> = 1..=604_800;
const REPORT_INTERVAL_MS: RangeInclusive<u64> = 100..=10_000;
const MIN_REQUESTS: RangeInclusive<u64> = 1..=1 << 40;
const MISSED_INTERVALS: RangeInclusive<u64> = 2..=600;

/// Reads a plan.
///
/// # Errors
///
/// All faults of the text, each with its line.
pub fn parse(text: &str) -> Result<Plan, Faults> {
    let mut reader = Reader::new(text, FORM)?;
    let change = take_change(&mut reader);
    let inconclusive_policies = [InconclusivePolicy::Pause, InconclusivePolicy::RollBack];
    let inconclusive_policy = inconclusive_policies[take_choice(&mut reader, "when_short", ["hold", "undo"])];
    let lost_contact_policies = [LostContactPolicy::RollBack, LostContactPolicy::Stay];
    let lost_contact_policy =
        lost_contact_policies[take_choice(&mut reader, "when_cut_off", ["go_back", "stay"])];
    let inconclusive_after = take_seconds(&mut reader, "short_s", 1800);
    let lost_contact_after = take_seconds(&mut reader, "cut_off_s", 60);
    let report_interval = take_report_interval(&mut reader);
    let max_zone_share = take_share(&mut reader, "zone_share", 0.34, 0.01);
    let max_missing_share = take_share(&mut reader, "missing_share", 0.1, 0.0);
    let stages = take_stages(&mut reader);
    let thresholds = take_thresholds(&mut reader, stages.len() as u32);
    reader.end()?;
    let no_change =
        || Faults(vec![Fault { line: 1, place: "change".into(), what: "nothing changes".into() }]);
    Ok(Plan {
        change: change.ok_or_else(no_change)?,
        stages,
        thresholds,
        inconclusive_policy,
        inconclusive_after,
        lost_contact_policy,
        lost_contact_after,
        report_interval,
        max_zone_share,
        max_missing_share,
    })
}

fn take_change(reader: &mut Reader<'_>) -> Option<Change> {
    let settings: Option<PathBuf> = reader.take("change", "settings");
    let program: Option<PathBuf> = reader.take("change", "program");
    match (settings, program) {
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
    }
}

/// The index of the value of a key among those that it may have; the first one is the default.
fn take_choice(reader: &mut Reader<'_>, key: &str, choices: [&str; 2]) -> usize {
    let value: Option<String> = reader.take("change", key);
    let Some(value) = value else { return 0 };
    let chosen = choices.iter().position(|choice| *choice == value);
    chosen.unwrap_or_else(|| {
        reader.fault("change", key, format!("{value:?} is none of {:?}, {:?}", choices[0], choices[1]));
        0
    })
}

fn take_seconds(reader: &mut Reader<'_>, key: &str, default: u64) -> Duration {
    let seconds = reader.take("change", key).unwrap_or(default);
    if !SECONDS.contains(&seconds) {
        reader.fault("change", key, "it has to be 1 to 604,800 s".into());
    }
    Duration::from_secs(seconds)
}

fn take_report_interval(reader: &mut Reader<'_>) -> Duration {
    let interval = reader.take("change", "interval_ms").unwrap_or(1000u64);
    if !REPORT_INTERVAL_MS.contains(&interval) {
        reader.fault("change", "interval_ms", "it has to be 100 to 10,000 ms".into());
    }
    Duration::from_millis(interval)
}

fn take_share(reader: &mut Reader<'_>, key: &str, default: f64, min: f64) -> f64 {
    let share = reader.take("change", key).unwrap_or(default);
    if !(min..=1.0).contains(&share) {
        reader.fault("change", key, format!("it has to be {min} to 1"));
    }
    share
}

fn take_stages(reader: &mut Reader<'_>) -> Vec<Stage> {
    let tables = reader.take_tables("stage");
    let stages: Vec<Stage> = tables.into_iter().map(|table| take_stage(reader, table)).collect();
    if stages.is_empty() || stages.len() > MAX_STAGES {
        reader.fault_at(1, "stage".into(), format!("1 to {MAX_STAGES} stages: [[stage]]"));
    }
    let share = |stage: &Stage| match stage.members {
        StageMembers::Share(share) => Some(share),
        StageMembers::Names(_) => None,
    };
    let shares: Vec<f64> = stages.iter().filter_map(share).collect();
    if shares.windows(2).any(|pair| pair[1] <= pair[0]) {
        reader.fault_at(1, "stage".into(), "each share has to be larger than the one before".into());
    }
    stages
}

fn take_stage<'a>(reader: &mut Reader<'a>, mut table: Table<'a>) -> Stage {
    let members = take_members(reader, &mut table);
    let min_seconds: u64 = reader.take_in(&mut table, "least_s").unwrap_or(120);
    if !SECONDS.contains(&min_seconds) {
        reader.fault_in(&table, "least_s", "it has to be 1 to 604,800 s".into());
    }
    let min_requests: u64 = reader.take_in(&mut table, "least_requests").unwrap_or(1000);
    if !MIN_REQUESTS.contains(&min_requests) {
        reader.fault_in(&table, "least_requests", "it has to be 1 to 2^40".into());
    }
    reader.done(table);
    Stage { members, min_duration: Duration::from_secs(min_seconds), min_requests }
}

fn take_members<'a>(reader: &mut Reader<'a>, table: &mut Table<'a>) -> StageMembers {
    let names: Option<Vec<String>> = reader.take_in(table, "names");
    let share: Option<f64> = reader.take_in(table, "share");
    match (names, share) {
        (Some(names), None) => {
            if names.is_empty() || names.len() > MAX_NAMES {
                reader.fault_in(table, "names", "1 to 1,000 names".into());
            }
            for name in names.iter().filter(|name| Name::new(name).is_none()) {
                reader.fault_in(table, "names", format!("{name:?} is no name"));
            }
            StageMembers::Names(names)
        }
        (None, Some(share)) => {
            if !(share > 0.0 && share <= 1.0) {
                reader.fault_in(table, "share", "it has to be more than 0, up to 1".into());
            }
            StageMembers::Share(share)
        }
        _ => {
            reader.fault_in(table, "share", "it needs a share or names, one of them".into());
            StageMembers::Share(1.0)
        }
    }
}

fn take_thresholds(reader: &mut Reader<'_>, stages: u32) -> Thresholds {
    let mut thresholds = Thresholds { stages, ..Thresholds::default() };
    for (key, metric) in Metric::ALL {
        if let Some(allowed) = reader.take::<f64>("bounds", key) {
            if !(0.0..=10.0).contains(&allowed) {
                reader.fault("bounds", key, "it has to be 0 to 10".into());
            }
            thresholds.allowed.insert(metric, allowed);
        }
    }
    for (key, value, min, max) in [
        ("gross", &mut thresholds.gross, 0.01, 1.0),
        ("false_stops", &mut thresholds.false_stop_rate, 0.000_1, 0.2),
        ("lies", &mut thresholds.max_misreported_share, 0.001, 1.0),
    ] {
        if let Some(set) = reader.take::<f64>("bounds", key) {
            if !(min..=max).contains(&set) {
                reader.fault("bounds", key, format!("it has to be {min} to {max}"));
            }
            *value = set;
        }
    }
    if let Some(missed) = reader.take::<u64>("bounds", "silence") {
        if !MISSED_INTERVALS.contains(&missed) {
            reader.fault("bounds", "silence", "it has to be 2 to 600 intervals".into());
        }
        thresholds.max_missed_intervals = missed;
    }
    thresholds
}

#[cfg(test)]
mod tests;
