//! What was seen, as lines of a history file: the rig's own, and those that balancers write by themselves, merged by time.

use maplehook_history_checker::{Header, Record, What};
use maplehook_test_servers::router::unix_us;
use std::fs;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Lines that are kept: hours of a storm.
const LINES_MOST: usize = 8_000_000;

/// All that the rig has seen itself.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<Vec<Record>>);

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something was seen now.
    pub fn note(&self, by: &str, what: What) {
        self.note_at(unix_us(), by, what);
    }

    /// Something was seen then.
    pub fn note_at(&self, at_us: u64, by: &str, what: What) {
        let mut lines = self.lock();
        if lines.len() < LINES_MOST {
            lines.push(Record { at_us, by: by.to_owned(), what });
        }
    }

    /// The rig has done this to somebody.
    pub fn did(&self, act: &str, to: &str) {
        self.note("rig", What::Did { act: act.to_owned(), to: to.to_owned() });
    }

    /// All of it.
    pub fn lines(&self) -> Vec<Record> {
        self.lock().clone()
    }
}

/// The lines of a balancer's own file, and how many could not be read: one that is killed may leave half a line.
pub fn own(file: &Path) -> (Vec<Record>, usize) {
    let Ok(file) = fs::File::open(file) else { return (Vec::new(), 0) };
    let (mut lines, mut torn) = (Vec::new(), 0);
    // Bytes that are no text are a torn line, too.
    for line in BufReader::new(file).split(b'\n').map_while(Result::ok).filter(|line| !line.is_empty()) {
        match serde_json::from_slice(&line) {
            Ok(record) if lines.len() < LINES_MOST => lines.push(record),
            Ok(_) => {}
            Err(_) => torn += 1,
        }
    }
    (lines, torn)
}

/// Sorts by time; what is of one moment stays in its order.
pub fn merged(parts: Vec<Vec<Record>>) -> Vec<Record> {
    let mut all: Vec<Record> = parts.into_iter().flatten().collect();
    all.sort_by_key(|record| record.at_us);
    all
}

/// Writes a history: the header, then a line each.
pub fn write(file: &Path, header: &Header, lines: &[Record]) -> std::io::Result<()> {
    let mut out = BufWriter::new(fs::File::create(file)?);
    serde_json::to_writer(&mut out, header)?;
    out.write_all(b"\n")?;
    for line in lines {
        serde_json::to_writer(&mut out, line)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

/// Reads one.
pub fn read(file: &Path) -> Result<(Header, Vec<Record>), String> {
    let text = fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut lines = text.lines().enumerate();
    let wrong = |n: usize, e: serde_json::Error| format!("{}:{}: {e}", file.display(), n + 1);
    let (n, header) = lines.next().ok_or_else(|| format!("{}: it is empty", file.display()))?;
    let header = serde_json::from_str(header).map_err(|e| wrong(n, e))?;
    let records = lines.map(|(n, line)| serde_json::from_str(line).map_err(|e| wrong(n, e)));
    Ok((header, records.collect::<Result<_, _>>()?))
}

/// A digest of a program (FNV-1a, 64 bits): which one a history is of, not a proof.
pub fn digest(program: &Path) -> std::io::Result<String> {
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;
    for byte in fs::read(program)? {
        digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    Ok(format!("fnv1a64:{digest:016x}"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplehook_history_checker::Outcome;

    #[test]
    fn what_is_written_is_read_again_in_the_order_of_time() {
        let record = |at_us, by: &str, what| Record { at_us, by: by.into(), what };
        let rig = vec![
            record(5, "client-a", What::Sent { id: 1, to: "b1".into(), class: "look".into(), once: false }),
            record(9, "client-a", What::Ended { id: 1, outcome: Outcome::Ok }),
        ];
        let directory = std::env::temp_dir().join(format!("maplehook-recorder-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let file = directory.join("own.jsonl");
        let acts = record(7, "b1", What::Ceases { epoch: 4 });
        let text = format!("{}\n{{\"at_us\":8,\"by\":\"b1", serde_json::to_string(&acts).unwrap());
        fs::write(&file, text).unwrap();
        let (lines, torn) = own(&file);
        assert_eq!((&lines, torn), (&vec![acts.clone()], 1), "half a line is told");
        let all = merged(vec![rig, lines]);
        assert_eq!(all.iter().map(|record| record.at_us).collect::<Vec<_>>(), [5, 7, 9]);
        let header = Header { schema: 1, seed: 3, ..Header::default() };
        write(&file, &header, &all).unwrap();
        assert_eq!(read(&file), Ok((header, all)));
        fs::remove_dir_all(&directory).unwrap();
    }
}
