//! An experiment's file: TOML, checked whole, every fault named with its line.
//!
//! ```
//! let text = r#"
//! [experiment]
//! format = 1
//! name = "two policies"
//! policies = ["maplehook", "round_robin"]
//! replicates = 3
//! [[upstream]]
//! count = 8
//! service = { shape = "exponential", mean_ms = 10.0 }
//! [[class]]
//! name = "look"
//! effect = "idempotent"
//! [[load]]
//! of_capacity = 0.7
//! [sweep]
//! "load[1].of_capacity" = [0.5, 0.9]
//! [[expect]]
//! policy = "maplehook"
//! measure = "breaches"
//! at_most = 0.0
//! "#;
//! let plan = maplehook_simulator::file::read(text)?;
//! assert_eq!(plan.points()?.len(), 2);
//! let faults = maplehook_simulator::file::read(&text.replace("count = 8", "count = 0")).unwrap_err();
//! assert_eq!(faults.to_string(), "line 8: upstream[1].count: it has to be 1 to 100000");
//! # Ok::<(), maplehook_config::Faults>(())
//! ```

mod faults;
mod values;
mod world;

use crate::policies;
use crate::report::measure_names;
use crate::world::World;
use maplehook_config::reader::{Form, Reader};
use maplehook_config::{Fault, Faults};
use std::collections::BTreeMap;
use toml::Value;
use values::Taken;

/// The newest format that is read.
const FORMAT: u32 = 1;

const FORM: Form = Form {
    sections: &[
        "experiment",
        "world",
        "tenants",
        "network",
        "connections",
        "discovery",
        "clients",
        "sweep",
        "hunt",
    ],
    lists: &["upstream", "class", "load", "fault", "expect"],
};

/// An experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The policies that are played.
    pub policies: Vec<String>,
    /// How often each, with another seed each time.
    pub replicates: u32,
    /// The first seed.
    pub seed: u64,
    /// How sure intervals are, from 0.5 to 0.999.
    pub confidence: f64,
    /// The world, before any axis.
    pub world: World,
    /// The axes that are swept.
    pub axes: Vec<Axis>,
    /// What is hunted for.
    pub hunt: Option<HuntFor>,
    /// What has to come of it.
    pub expects: Vec<Expect>,
    /// The names of the classes.
    pub classes: Vec<String>,
    text: String,
}

/// An axis: a key of the file, as faults name it (`load[1].of_capacity`), and its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Axis {
    /// The key.
    pub key: String,
    /// What it is set to.
    pub values: Vec<Value>,
}

/// One point of a sweep.
#[derive(Clone, Debug)]
pub struct Point {
    /// The value of each axis.
    pub at: BTreeMap<String, Value>,
    /// The world there.
    pub world: World,
}

/// A search for the worst day.
#[derive(Clone, Debug, PartialEq)]
pub struct HuntFor {
    /// Whose.
    pub policy: String,
    /// By which measure.
    pub measure: String,
    /// Whether less of it is worse.
    pub low_is_bad: bool,
    /// How many days are tried.
    pub tries: u32,
    /// What is searched: keys with the least and the most.
    pub ranges: BTreeMap<String, (f64, f64)>,
}

/// What has to come of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Expect {
    /// Of which policy.
    pub policy: String,
    /// Of which measure.
    pub measure: String,
    /// More than that of this policy by the bound, seed by seed; else the measure itself is held against it.
    pub than: Option<String>,
    /// No less.
    pub at_least: Option<f64>,
    /// No more.
    pub at_most: Option<f64>,
    /// Only at the points where these axes have these values.
    pub at: BTreeMap<String, Value>,
    /// Its line in the file.
    pub line: usize,
}

impl Plan {
    /// All points of its sweep; one, where nothing is swept.
    pub fn points(&self) -> Result<Vec<Point>, Faults> {
        let mut all = vec![BTreeMap::new()];
        for axis in &self.axes {
            all = all
                .iter()
                .flat_map(|at| {
                    axis.values.iter().map(|value| {
                        let mut at: BTreeMap<String, Value> = at.clone();
                        at.insert(axis.key.clone(), value.clone());
                        at
                    })
                })
                .collect();
        }
        all.into_iter().map(|at| Ok(Point { world: self.world_at(&at)?, at })).collect()
    }

    /// The world where these keys have these values.
    pub fn world_at(&self, at: &BTreeMap<String, Value>) -> Result<World, Faults> {
        if at.is_empty() {
            return Ok(self.world.clone());
        }
        Ok(read(&self.text_at(at)?)?.world)
    }

    /// The file's text where these keys have these values.
    pub fn text_at(&self, at: &BTreeMap<String, Value>) -> Result<String, Faults> {
        let mut table: toml::Table = toml::from_str(&self.text).map_err(|e| odd(e.message().to_owned()))?;
        for (key, value) in at {
            set(&mut table, key, value.clone())
                .map_err(|what| Faults(vec![Fault { line: 1, place: key.clone(), what }]))?;
        }
        toml::to_string(&table).map_err(|e| odd(e.to_string()))
    }

    /// The file's text.
    pub fn text(&self) -> &str {
        &self.text
    }
}

fn odd(what: String) -> Faults {
    Faults(vec![Fault { line: 1, place: String::new(), what }])
}

/// Sets a key, named as faults name it.
fn set(table: &mut toml::Table, key: &str, value: Value) -> Result<(), String> {
    let (section, key) = key.split_once('.').ok_or("a key has a section, as world.balancers")?;
    let table = match section.strip_suffix(']').and_then(|s| s.split_once('[')) {
        Some((list, number)) => {
            let number: usize = number.parse().map_err(|_| "a number in brackets, from 1")?;
            let entries = table.get_mut(list).and_then(Value::as_array_mut).ok_or("no such list")?;
            let entry = number.checked_sub(1).and_then(|n| entries.get_mut(n));
            entry.and_then(Value::as_table_mut).ok_or("no such entry")?
        }
        None => {
            let entry = table.entry(section).or_insert_with(|| Value::Table(toml::Table::new()));
            entry.as_table_mut().ok_or("no section")?
        }
    };
    match key.split_once('.') {
        Some((outer, inner)) => {
            let outer = table.get_mut(outer).and_then(Value::as_table_mut).ok_or("no such key")?;
            outer.insert(inner.to_owned(), value);
        }
        None => {
            table.insert(key.to_owned(), value);
        }
    }
    Ok(())
}

/// Reads a file's text.
pub fn read(text: &str) -> Result<Plan, Faults> {
    let mut reader = Reader::new(text, FORM)?;
    let mut head = Taken::section(&mut reader, "experiment");
    let format = head.take::<u32>("format");
    match format {
        Some(FORMAT) => {}
        Some(newer) if newer > FORMAT => {
            // A newer one may say things that would be named as faults: that is the one to name.
            let what = format!("this file has format {newer}, and {FORMAT} is the newest that is known here");
            head.fault("format", what.clone());
            return Err(Faults(vec![Fault {
                line: head.line_of("format"),
                place: "experiment.format".into(),
                what,
            }]));
        }
        Some(_) => head.fault("format", format!("it has to be {FORMAT}")),
        None => head.fault("format", format!("missing: format = {FORMAT}")),
    }
    let name: String = head.take("name").unwrap_or_else(|| "unnamed".into());
    let policies: Vec<String> = head.take("policies").unwrap_or_else(|| vec!["maplehook".into()]);
    for name in &policies {
        if policies::named(name).is_none() {
            head.fault("policies", no_policy(name));
        }
    }
    if policies.is_empty() {
        head.fault("policies", "one at least".into());
    }
    let replicates = head.number("replicates", 1.0, 10_000.0).unwrap_or(5.0) as u32;
    let seed = head.take::<u32>("seed").map_or(1, u64::from);
    let confidence = head.number("confidence", 0.5, 0.999).unwrap_or(0.95);
    head.done();

    let (world, classes) = world::read(&mut reader, seed);
    let axes = axes(&mut reader);
    let hunt = hunt(&mut reader);
    let expects = expects(&mut reader);
    reader.end()?;
    world.check().map_err(|e| odd(e.to_string()))?;
    let plan = Plan {
        name,
        policies,
        replicates,
        seed,
        confidence,
        world,
        axes,
        hunt,
        expects,
        classes,
        text: text.to_owned(),
    };
    plan.check_keys()?;
    Ok(plan)
}

impl Plan {
    /// Axes and ranges that name no key are found before anything is played.
    fn check_keys(&self) -> Result<(), Faults> {
        let mut faults = Vec::new();
        for axis in &self.axes {
            if let Some(value) = axis.values.first()
                && let Err(e) = self.world_alone(&axis.key, value.clone())
            {
                faults.push(Fault { line: 1, place: format!("sweep.{:?}", axis.key), what: e.to_string() });
            }
        }
        for (key, (least, _)) in self.hunt.iter().flat_map(|h| &h.ranges) {
            if let Err(e) = self.world_alone(key, Value::Float(*least)) {
                faults.push(Fault { line: 1, place: format!("hunt.{key:?}"), what: e.to_string() });
            }
        }
        for expect in &self.expects {
            for key in expect.at.keys().filter(|key| !self.axes.iter().any(|a| a.key == **key)) {
                let what = format!("{key:?} is no axis of [sweep]");
                faults.push(Fault { line: expect.line, place: "expect.at".into(), what });
            }
        }
        if faults.is_empty() { Ok(()) } else { Err(Faults(faults)) }
    }

    /// The world with one key set, read without the sweep: it is not to be checked again.
    fn world_alone(&self, key: &str, value: Value) -> Result<(), Faults> {
        let text = self.text_at(&BTreeMap::from([(key.to_owned(), value)]))?;
        let mut table: toml::Table = toml::from_str(&text).map_err(|e| odd(e.message().to_owned()))?;
        for section in ["sweep", "hunt", "expect"] {
            table.remove(section);
        }
        read(&toml::to_string(&table).map_err(|e| odd(e.to_string()))?).map(|_| ())
    }
}

fn no_policy(name: &str) -> String {
    let all: Vec<&str> = policies::all().iter().map(|p| p.name).collect();
    format!("{name:?} is no policy; there are {}", all.join(", "))
}

fn no_measure(name: &str) -> String {
    format!("{name:?} is no measure; there are {}", measure_names().join(", "))
}

fn axes(reader: &mut Reader<'_>) -> Vec<Axis> {
    let mut section = Taken::section(reader, "sweep");
    let mut axes = Vec::new();
    for key in section.keys() {
        let Some(values) = section.take::<Vec<Value>>(&key) else { continue };
        if values.is_empty() || values.len() > 1000 {
            section.fault(&key, "it has to be a list of 1 to 1000 values".into());
        }
        axes.push(Axis { key, values });
    }
    section.done();
    axes
}

fn hunt(reader: &mut Reader<'_>) -> Option<HuntFor> {
    if !reader.has("hunt") {
        return None;
    }
    let mut section = Taken::section(reader, "hunt");
    let policy: String = section.take("policy").unwrap_or_else(|| "maplehook".into());
    if policies::named(&policy).is_none() {
        section.fault("policy", no_policy(&policy));
    }
    let measure: String = section.take("measure").unwrap_or_else(|| "goodput".into());
    if !measure_names().contains(&measure.as_str()) {
        section.fault("measure", no_measure(&measure));
    }
    let low_is_bad = match section.take::<String>("worst").as_deref() {
        None | Some("least") => true,
        Some("most") => false,
        Some(_) => {
            section.fault("worst", "it has to be \"least\" or \"most\"".into());
            true
        }
    };
    let tries = section.number("tries", 1.0, 1e6).unwrap_or(100.0) as u32;
    let mut ranges = BTreeMap::new();
    for key in section.keys() {
        let Some((least, most)) = section.take::<(f64, f64)>(&key) else { continue };
        if least >= most || least.is_nan() || most.is_nan() {
            section.fault(&key, "it has to be [least, most]".into());
        }
        ranges.insert(key, (least, most));
    }
    section.done();
    Some(HuntFor { policy, measure, low_is_bad, tries, ranges })
}

fn expects(reader: &mut Reader<'_>) -> Vec<Expect> {
    let mut all = Vec::new();
    for mut entry in Taken::list(reader, "expect") {
        let policy: String = entry.needed("policy").unwrap_or_default();
        let than: Option<String> = entry.take("than");
        for (key, name) in [("policy", Some(&policy)), ("than", than.as_ref())] {
            if let Some(name) = name.filter(|n| !n.is_empty() && policies::named(n).is_none()) {
                entry.fault(key, no_policy(name));
            }
        }
        let measure: String = entry.needed("measure").unwrap_or_default();
        if !measure.is_empty() && !measure_names().contains(&measure.as_str()) {
            entry.fault("measure", no_measure(&measure));
        }
        let (at_least, at_most) = (entry.take("at_least"), entry.take("at_most"));
        if at_least.is_none() && at_most.is_none() {
            entry.fault("at_least", "at_least or at_most is needed".into());
        }
        let at = entry.take::<BTreeMap<String, Value>>("at").unwrap_or_default();
        let line = entry.line();
        all.push(Expect { policy, measure, than, at_least, at_most, at, line });
        entry.done();
    }
    all
}
