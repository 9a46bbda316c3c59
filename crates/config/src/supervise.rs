//! The parent of a balancer: which programs there are, how one is tried, and when it is given up.

use crate::reader::{Reader, Table};
use crate::values::{ms, ranged};
use std::path::PathBuf;
use std::time::Duration;

/// How a balancer's process is started, tried and changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Supervise {
    /// The directory of programs, each called by its SHA-256 in hexadecimal.
    pub programs: PathBuf,
    /// The directory of the supervisor's own.
    pub state: PathBuf,
    /// The program to run, by its SHA-256 in hexadecimal.
    pub program: String,
    /// What is asked of a new process before it may accept.
    pub trial: Option<Trial>,
    /// From its start until it is ready.
    pub ready: Duration,
    /// For the trial.
    pub trial_time: Duration,
    /// From SIGTERM until SIGKILL; a bit more than a drain takes if unset.
    pub grace: Option<Duration>,
    /// Wait after the first death, and the longest.
    pub backoff: Duration,
    /// The longest wait.
    pub backoff_most: Duration,
    /// Deaths in a row after which a program that is not good yet is given up.
    pub crashes: u32,
    /// How long a program has to serve to be good.
    pub good: Duration,
    /// How long a new program may have lost touch.
    pub cut_off: Duration,
}

/// A request, and the status that its answer has to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// The status.
    pub status: u16,
}

fn needed<'a, T: serde::de::DeserializeOwned>(
    reader: &mut Reader<'a>,
    table: &mut Table<'a>,
    key: &str,
    what: &str,
) -> Option<T> {
    let value = reader.take_in(table, key);
    if value.is_none() && !reader.has_fault(table, key) {
        reader.fault_in(table, key, what.to_owned());
    }
    value
}

/// Reads it; `None` where there is none, or where it is not fit.
pub fn read(reader: &mut Reader<'_>, served: bool) -> Option<Supervise> {
    let mut taken = reader.take_section("supervise")?;
    let table = &mut taken;
    if !served {
        reader.fault_in(table, "program", "of no use without listen.address and [[class]]".into());
    }
    let programs = needed(reader, table, "programs", "the directory of programs is needed");
    let state = needed(reader, table, "state", "a directory of the supervisor's own is needed");
    let program: Option<String> =
        needed(reader, table, "program", "the program is needed, by its SHA-256 in hexadecimal");
    let digest =
        |text: &String| text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if program.as_ref().is_some_and(|text| !digest(text)) {
        reader.fault_in(table, "program", "it has to be a SHA-256, 64 digits 0 to 9 and a to f".into());
    }
    let status = ranged!(reader, table, "trial_status", 200..=599u16, "200 to 599").unwrap_or(200);
    let trial: Option<String> = reader.take_in(table, "trial");
    let parsed = trial.as_deref().and_then(|text| {
        let (method, path) = text.split_once(' ')?;
        let plain = path.starts_with('/') && path.bytes().all(|b| (0x21..0x7f).contains(&b));
        let known = matches!(method, "GET" | "HEAD");
        (plain && known).then(|| Trial { method: method.into(), path: path.into(), status })
    });
    if trial.is_some() && parsed.is_none() {
        reader.fault_in(table, "trial", "it has to be \"GET /path\" or \"HEAD /path\"".into());
    }
    let seconds = Duration::from_secs;
    let ready = ms(reader, table, "ready_ms", seconds(30));
    let trial_time = ms(reader, table, "trial_ms", seconds(5));
    let grace = ms(reader, table, "grace_ms", Duration::ZERO);
    let backoff = ms(reader, table, "backoff_ms", Duration::from_millis(200));
    let backoff_most = ms(reader, table, "backoff_most_ms", seconds(30));
    if backoff_most < backoff {
        reader.fault_in(table, "backoff_most_ms", "it has to be backoff_ms at least".into());
    }
    let crashes = ranged!(reader, table, "crashes", 1..=100u32, "1 to 100").unwrap_or(3);
    let good = ms(reader, table, "good_ms", seconds(30));
    let cut_off = ms(reader, table, "cut_off_ms", seconds(60));
    reader.done(taken);
    Some(Supervise {
        programs: programs?,
        state: state?,
        program: program?,
        trial: parsed,
        ready,
        trial_time,
        grace: (!grace.is_zero()).then_some(grace),
        backoff,
        backoff_most,
        crashes,
        good,
        cut_off,
    })
}

#[cfg(test)]
mod tests {
    const SERVED: &str = "[listen]\naddress = '127.0.0.1:0'\n[[class]]\nname = 'all'\npath = '/**'\n\
        [[upstream]]\nname = 'u'\naddress = '127.0.0.1:9'\n";

    #[test]
    fn a_supervisor_needs_three_keys_and_each_fault_has_its_line() {
        let digest = "0a".repeat(32);
        let least = format!("{SERVED}[supervise]\nprograms = 'p'\nstate = 's'\nprogram = '{digest}'\n");
        let read = crate::parse(&least).unwrap().supervise.unwrap();
        assert_eq!((read.program, read.crashes, read.grace), (digest, 3, None));
        assert!(crate::parse(SERVED).unwrap().supervise.is_none());
        let bad = "[supervise]\nprogram = '../x'\ntrial = 'POST /x'\ntrial_status = 99\nbackoff_ms = 90\n\
            backoff_most_ms = 80\ncrashes = 0\nfetch = 'x'\n";
        let shown = crate::parse(&format!("{SERVED}{bad}")).unwrap_err().to_string();
        for part in [
            "line 9: supervise.programs: the directory",
            "line 9: supervise.state: a directory",
            "line 10: supervise.program: it has to be a SHA-256",
            "line 11: supervise.trial: it has to be \"GET /path\"",
            "line 12: supervise.trial_status: it has to be 200 to 599",
            "line 14: supervise.backoff_most_ms: it has to be backoff_ms",
            "line 15: supervise.crashes: it has to be 1 to 100",
            "line 16: supervise.fetch: no such key",
        ] {
            assert!(shown.contains(part), "{part:?} is not in\n{shown}");
        }
        let alone = crate::parse("[supervise]\nprograms = 'p'\n").unwrap_err().to_string();
        assert!(alone.contains("line 1: supervise.program: of no use without listen.address"), "{alone}");
    }
}
