//! Results of an experiment as JSON lines, one a run: they can be read while it goes on, and it goes on where it
//! stopped.

use crate::report::{Report, Second};
use crate::stats::Mean;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

/// Measures by name.
pub type Measures = BTreeMap<String, f64>;

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The experiment's name.
    pub experiment: String,
    /// Of its file's text: results of another text are not mixed with these.
    pub file: String,
    /// The values of its axes, as JSON.
    pub at: BTreeMap<String, serde_json::Value>,
    /// The policy.
    pub policy: String,
    /// The replicate, from 0.
    pub replicate: u32,
    /// Its seed.
    pub seed: u64,
    /// Of everything that happened.
    pub digest: String,
    /// What came of it; empty if it broke off.
    pub measures: Measures,
    /// Why it broke off, if it did.
    pub panicked: Option<String>,
    /// By second; of the first replicate alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<Second>,
    /// What the first upstreams were sent by second; of the first replicate alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Vec<u32>>,
    /// Quantiles of latency in ms; of the first replicate alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quantiles: Vec<(f64, f64)>,
}

impl Line {
    /// What tells it from all others of its experiment.
    pub fn key(&self) -> String {
        let at: Vec<String> = self.at.iter().map(|(k, v)| format!("{k}={v}")).collect();
        format!("{}|{}|{}", at.join(","), self.policy, self.replicate)
    }

    /// Takes over what came of a run; `whole`: with what is drawn of it.
    pub(crate) fn fill(&mut self, report: &Report, whole: bool) {
        self.digest = format!("{:016x}", report.digest);
        self.measures = report.measures().into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        if whole {
            let at = |q: f64| (q, report.latency.value_at_quantile(q) as f64 / 1000.0);
            self.seconds = report.seconds.clone();
            self.loads = report.loads.clone();
            self.quantiles = (1..200).map(|n| at(f64::from(n) / 200.0)).collect();
            self.quantiles.extend([0.999, 0.9999, 1.0].map(at));
        }
    }
}

/// Reads the lines of a file. The last may have been cut off; any other that can't be read is an error.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let file = match File::open(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        file => file?,
    };
    let texts: Vec<String> = BufReader::new(file).lines().collect::<io::Result<_>>()?;
    let mut lines = Vec::new();
    for (n, text) in texts.iter().enumerate() {
        match serde_json::from_str(text) {
            Ok(line) => lines.push(line),
            Err(_) if n + 1 == texts.len() => {}
            Err(e) => {
                let what = format!("{}: line {}: {e}", path.display(), n + 1);
                return Err(io::Error::new(io::ErrorKind::InvalidData, what));
            }
        }
    }
    Ok(lines)
}

/// A file that lines are added to.
pub struct Out(File);

impl Out {
    /// Opens it; what it holds stays, but for a last line that was cut off.
    pub fn open(path: &Path, kept: &[Line]) -> io::Result<Self> {
        write_all(path, kept)?;
        Ok(Self(OpenOptions::new().append(true).open(path)?))
    }

    /// Adds a line, whole.
    pub fn add(&mut self, line: &Line) -> io::Result<()> {
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        self.0.write_all(&text)
    }
}

/// Writes all lines, through a file beside it, so that it is never half there.
pub fn write_all(path: &Path, lines: &[Line]) -> io::Result<()> {
    let mut text = Vec::new();
    for line in lines {
        serde_json::to_writer(&mut text, line)?;
        text.push(b'\n');
    }
    let beside = path.with_extension("part");
    std::fs::write(&beside, text)?;
    std::fs::rename(beside, path)
}

/// Results by point and policy.
pub struct Table<'a> {
    lines: &'a [Line],
    confidence: f64,
}

impl<'a> Table<'a> {
    /// Of these lines.
    pub fn new(lines: &'a [Line], confidence: f64) -> Self {
        Self { lines, confidence }
    }

    /// The points that there are, as `key=value` each, in the order in which they came.
    pub fn points(&self) -> Vec<&'a BTreeMap<String, serde_json::Value>> {
        let mut seen = BTreeSet::new();
        let new = |line: &&Line| seen.insert(serde_json::to_string(&line.at).unwrap_or_default());
        self.lines.iter().filter(new).map(|line| &line.at).collect()
    }

    /// The policies that there are, in the order in which they came.
    pub fn policies(&self) -> Vec<&'a str> {
        let mut seen = BTreeSet::new();
        self.lines.iter().map(|l| l.policy.as_str()).filter(|p| seen.insert(*p)).collect()
    }

    /// The values of a measure, by replicate.
    pub fn values(
        &self,
        at: &BTreeMap<String, serde_json::Value>,
        policy: &str,
        measure: &str,
    ) -> BTreeMap<u32, f64> {
        let fit = self.lines.iter().filter(|l| l.at == *at && l.policy == policy);
        fit.filter_map(|l| Some((l.replicate, *l.measures.get(measure)?))).collect()
    }

    /// The mean of a measure.
    pub fn mean(
        &self,
        at: &BTreeMap<String, serde_json::Value>,
        policy: &str,
        measure: &str,
    ) -> Option<Mean> {
        let values: Vec<f64> = self.values(at, policy, measure).into_values().collect();
        Mean::of(&values, self.confidence)
    }

    /// The mean of the differences of two policies, replicate by replicate.
    pub fn difference(
        &self,
        at: &BTreeMap<String, serde_json::Value>,
        (policy, than): (&str, &str),
        measure: &str,
    ) -> Option<Mean> {
        let others = self.values(at, than, measure);
        let own = self.values(at, policy, measure);
        let both: Vec<f64> = own.iter().filter_map(|(r, v)| Some(v - others.get(r)?)).collect();
        Mean::of(&both, self.confidence)
    }
}

/// A point in words.
pub fn words(at: &BTreeMap<String, serde_json::Value>) -> String {
    let parts: Vec<String> = at.iter().map(|(key, value)| format!("{key}={value}")).collect();
    if parts.is_empty() { "as written".into() } else { parts.join(", ") }
}
