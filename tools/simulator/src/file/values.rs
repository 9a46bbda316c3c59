//! Tables of a file that is being read, and the values in them.

use crate::time::Time;
use maplehook_config::reader::{Reader, Table};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A table in hand: a section, or one of a list. What is not taken of it in the end is unknown.
pub(super) struct Taken<'r, 'a> {
    reader: Rc<RefCell<&'r mut Reader<'a>>>,
    table: Option<Table<'a>>,
    name: String,
}

impl<'r, 'a> Taken<'r, 'a> {
    /// A section, which may be missing.
    pub(super) fn section(reader: &'r mut Reader<'a>, name: &str) -> Self {
        let table = reader.take_section(name);
        Self { reader: Rc::new(RefCell::new(reader)), table, name: name.to_owned() }
    }

    /// All of a list.
    pub(super) fn list(reader: &'r mut Reader<'a>, name: &str) -> Vec<Self> {
        let tables = reader.take_tables(name);
        let reader = Rc::new(RefCell::new(reader));
        let taken = |table| Self { reader: Rc::clone(&reader), table: Some(table), name: name.to_owned() };
        tables.into_iter().map(taken).collect()
    }

    /// A value, if there is one.
    pub(super) fn take<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let table = self.table.as_mut()?;
        self.reader.borrow_mut().take_in(table, key)
    }

    /// A value that has to be there.
    pub(super) fn needed<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let there = self.table.as_ref().is_some_and(|t| Reader::keys(t).iter().any(|k| k == key));
        if !there {
            self.fault(key, "missing".into());
        }
        self.take(key)
    }

    /// A number within its range.
    pub(super) fn number(&mut self, key: &str, least: f64, most: f64) -> Option<f64> {
        let value: f64 = self.take(key)?;
        if !(least..=most).contains(&value) {
            self.fault(key, format!("it has to be {least} to {most}"));
            return None;
        }
        Some(value)
    }

    /// A time in seconds, of a day at the most.
    pub(super) fn seconds(&mut self, key: &str) -> Option<Duration> {
        self.number(key, 0.0, 86_400.0).map(Duration::from_secs_f64)
    }

    /// A time in milliseconds, of a day at the most.
    pub(super) fn ms(&mut self, key: &str) -> Option<Duration> {
        self.number(key, 0.0, 86_400_000.0).map(|ms| Duration::from_secs_f64(ms / 1000.0))
    }

    /// A distribution of times.
    pub(super) fn time(&mut self, key: &str) -> Option<Time> {
        match self.take::<Spec>(key)?.time() {
            Ok(time) => Some(time),
            Err(what) => {
                self.fault(key, what);
                None
            }
        }
    }

    /// What its keys are called.
    pub(super) fn keys(&self) -> Vec<String> {
        self.table.as_ref().map(Reader::keys).unwrap_or_default()
    }

    /// Something is wrong with a key.
    pub(super) fn fault(&mut self, key: &str, what: String) {
        let mut reader = self.reader.borrow_mut();
        match &self.table {
            Some(table) => reader.fault_in(table, key, what),
            None => reader.fault(&self.name, key, what),
        }
    }

    /// The line of a key that was taken.
    pub(super) fn line_of(&self, key: &str) -> usize {
        self.table.as_ref().map_or(1, |table| self.reader.borrow().line_in(table, key))
    }

    /// Its own line.
    pub(super) fn line(&self) -> usize {
        self.line_of("")
    }

    /// It has been read.
    pub(super) fn done(self) {
        if let Some(table) = self.table {
            self.reader.borrow_mut().done(table);
        }
    }
}

/// A number, or the ends of a range of them.
#[derive(Clone, Copy, Deserialize)]
#[serde(untagged)]
pub(super) enum Span {
    One(f64),
    Between(f64, f64),
}

impl Span {
    /// Spread evenly over so many.
    pub(super) fn of(self, n: usize, count: usize) -> f64 {
        match self {
            Self::One(value) => value,
            Self::Between(from, to) => from + (to - from) * (n as f64 + 0.5) / count.max(1) as f64,
        }
    }

    pub(super) fn is_within(self, least: f64, most: f64) -> bool {
        let within = |x: f64| (least..=most).contains(&x);
        match self {
            Self::One(value) => within(value),
            Self::Between(from, to) => within(from) && within(to) && from <= to,
        }
    }
}

#[derive(Deserialize)]
#[serde(tag = "shape", rename_all = "snake_case", deny_unknown_fields)]
enum Spec {
    Fixed { mean_ms: f64 },
    Exponential { mean_ms: f64 },
    Lognormal { mean_ms: f64, sigma: f64 },
    Pareto { mean_ms: f64, alpha: f64 },
    Bimodal { usual_ms: f64, other_ms: f64, share: f64 },
    Recorded { upto_ms: Vec<f64>, counts: Vec<f64> },
}

impl Spec {
    fn time(self) -> Result<Time, String> {
        let ms = |ms: f64| {
            let sound = (0.0..=86_400_000.0).contains(&ms);
            sound.then(|| Duration::from_secs_f64(ms / 1000.0)).ok_or("a time has to be 0 to 86400000 ms")
        };
        Ok(match self {
            Self::Fixed { mean_ms } => Time::Fixed(ms(mean_ms)?),
            Self::Exponential { mean_ms } => Time::Exponential(ms(mean_ms)?),
            Self::Lognormal { mean_ms, sigma } if (0.0..=10.0).contains(&sigma) => {
                Time::LogNormal(ms(mean_ms)?, sigma)
            }
            Self::Lognormal { .. } => return Err("sigma has to be 0 to 10".into()),
            Self::Pareto { mean_ms, alpha } if alpha > 1.0 && alpha <= 1000.0 => {
                Time::Pareto(ms(mean_ms)?, alpha)
            }
            Self::Pareto { .. } => {
                return Err("alpha has to be over 1, to 1000: else there is no mean".into());
            }
            Self::Bimodal { usual_ms, other_ms, share } if (0.0..=1.0).contains(&share) => {
                Time::Bimodal(ms(usual_ms)?, ms(other_ms)?, share)
            }
            Self::Bimodal { .. } => return Err("share has to be 0 to 1".into()),
            Self::Recorded { upto_ms, counts } => {
                if upto_ms.len() != counts.len() || !upto_ms.is_sorted() {
                    return Err("upto_ms and counts have to be as long as one another, upto_ms rising".into());
                }
                let ends: Result<Vec<Duration>, &str> = upto_ms.into_iter().map(ms).collect();
                Time::recorded(ends?.into_iter().zip(counts)).ok_or("counts hold nothing")?
            }
        })
    }
}
