//! Histories as files: one JSON object a line. A whole history has its [`Header`] first, a process's part has records alone.

use crate::record::{Header, Record, What};
use serde::Deserialize;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Read as _, Write};
use std::path::{Path, PathBuf};

/// The most records of a history.
pub const RECORDS_MOST: usize = 4_000_000;
/// The most bytes of a line.
pub const LINE_MOST: usize = 256 * 1024;

/// What records may say in this schema; another word is of a later one.
pub const KNOWN: [&str; 13] = [
    "acts",
    "ceases",
    "agreed",
    "announces",
    "withdraws",
    "routes",
    "sent",
    "ended",
    "ran",
    "health",
    "drains",
    "did",
    "note",
];

/// What many processes did, in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// What the run was.
    pub header: Header,
    /// By time, not falling.
    pub records: Vec<Record>,
}

/// A process's records as they were read, and what had to be overlooked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// In the order of the file.
    pub records: Vec<Record>,
    /// Records of a later schema, each kept as a note.
    pub unknown: usize,
    /// 1 if the last line had no end and no sense: its writer was killed.
    pub torn: usize,
}

/// What is wrong with a file.
#[derive(Debug)]
pub enum Wrong {
    /// It can't be read or written.
    Io(io::Error),
    /// The first line is no header.
    Header(String),
    /// A line is no record.
    Record(String),
    /// More than [`RECORDS_MOST`] records.
    TooMany,
    /// A line of more than [`LINE_MOST`] bytes.
    TooLong,
}

/// A fault in a file, and where.
#[derive(Debug)]
pub struct Fault {
    /// The file; empty for a merge.
    pub file: PathBuf,
    /// The line, from 1; 0 if it is none of them.
    pub line: usize,
    /// What.
    pub wrong: Wrong,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        match &self.wrong {
            Wrong::Io(error) => write!(f, ": {error}"),
            Wrong::Header(error) => write!(f, ": no header: {error}"),
            Wrong::Record(error) => write!(f, ": no record: {error}"),
            Wrong::TooMany => write!(f, ": more than {RECORDS_MOST} records"),
            Wrong::TooLong => write!(f, ": a line of more than {LINE_MOST} bytes"),
        }
    }
}

impl std::error::Error for Fault {}

/// What every record has, whatever it says.
#[derive(Deserialize)]
struct Loose {
    at_us: u64,
    by: String,
    what: String,
}

struct Lines<R> {
    reader: R,
    name: PathBuf,
    line: usize,
    buffer: Vec<u8>,
}

impl<R: BufRead> Lines<R> {
    fn fault(&self, wrong: Wrong) -> Fault {
        Fault { file: self.name.clone(), line: self.line, wrong }
    }

    /// The next line without its end, and whether it had one.
    fn next(&mut self) -> Result<Option<(&[u8], bool)>, Fault> {
        self.buffer.clear();
        self.line += 1;
        let most = LINE_MOST as u64 + 1;
        if let Err(error) = self.reader.by_ref().take(most).read_until(b'\n', &mut self.buffer) {
            return Err(self.fault(Wrong::Io(error)));
        }
        let ended = self.buffer.last() == Some(&b'\n');
        if ended {
            self.buffer.pop();
        } else if self.buffer.is_empty() {
            return Ok(None);
        }
        if self.buffer.len() > LINE_MOST {
            return Err(self.fault(Wrong::TooLong));
        }
        Ok(Some((&self.buffer, ended)))
    }

    fn records(&mut self) -> Result<Part, Fault> {
        let mut part = Part::default();
        while let Some((line, ended)) = self.next()? {
            match record(line) {
                Ok((record, known)) => {
                    part.records.push(record);
                    part.unknown += usize::from(!known);
                }
                Err(_) if !ended => part.torn += 1,
                Err(error) => return Err(self.fault(Wrong::Record(error.to_string()))),
            }
            if part.records.len() > RECORDS_MOST {
                return Err(self.fault(Wrong::TooMany));
            }
        }
        Ok(part)
    }
}

/// A record, and whether this schema knows it.
fn record(line: &[u8]) -> Result<(Record, bool), serde_json::Error> {
    let error = match serde_json::from_slice::<Record>(line) {
        Ok(record) => return Ok((record, true)),
        Err(error) => error,
    };
    let loose: Loose = serde_json::from_slice(line)?;
    if KNOWN.contains(&loose.what.as_str()) {
        return Err(error);
    }
    let text = String::from_utf8_lossy(line).into_owned();
    Ok((Record { at_us: loose.at_us, by: loose.by, what: What::Note { text } }, false))
}

fn lines<R: BufRead>(reader: R, name: &Path) -> Lines<R> {
    Lines { reader, name: name.into(), line: 0, buffer: Vec::new() }
}

fn open(path: &Path) -> Result<BufReader<File>, Fault> {
    let file = File::open(path);
    file.map(BufReader::new).map_err(|error| Fault { file: path.into(), line: 0, wrong: Wrong::Io(error) })
}

/// Reads a whole history; its records come sorted. Beside it, in a [`Part`] without records, what was overlooked.
pub fn read_from(reader: impl BufRead, name: &Path) -> Result<(History, Part), Fault> {
    let mut lines = lines(reader, name);
    let header = match lines.next()? {
        None => Err("the file is empty".to_owned()),
        Some((line, _)) => serde_json::from_slice::<Header>(line).map_err(|error| error.to_string()),
    };
    let header = header.map_err(|error| lines.fault(Wrong::Header(error)))?;
    if header.schema == 0 {
        return Err(lines.fault(Wrong::Header("schema 0".into())));
    }
    let mut part = lines.records()?;
    let mut records = std::mem::take(&mut part.records);
    records.sort_by_key(|record| record.at_us);
    Ok((History { header, records }, part))
}

/// Reads a whole history from a file.
pub fn read(path: &Path) -> Result<(History, Part), Fault> {
    read_from(open(path)?, path)
}

/// Reads the records of one process, that have no header.
pub fn read_part_from(reader: impl BufRead, name: &Path) -> Result<Part, Fault> {
    lines(reader, name).records()
}

/// Reads the records of one process from a file.
pub fn read_part(path: &Path) -> Result<Part, Fault> {
    read_part_from(open(path)?, path)
}

/// One history of many processes' records: by time, and those of one moment in the order given.
pub fn merge(header: Header, parts: impl IntoIterator<Item = Vec<Record>>) -> Result<History, Fault> {
    let mut records: Vec<Record> = Vec::new();
    for part in parts {
        if records.len() + part.len() > RECORDS_MOST {
            return Err(Fault { file: PathBuf::new(), line: 0, wrong: Wrong::TooMany });
        }
        records.extend(part);
    }
    records.sort_by_key(|record| record.at_us);
    Ok(History { header, records })
}

/// Writes one record as a line.
pub fn write_record(mut writer: impl Write, record: &Record) -> io::Result<()> {
    serde_json::to_writer(&mut writer, record)?;
    writer.write_all(b"\n")
}

/// Writes a whole history.
pub fn write_to(mut writer: impl Write, history: &History) -> io::Result<()> {
    serde_json::to_writer(&mut writer, &history.header)?;
    writer.write_all(b"\n")?;
    history.records.iter().try_for_each(|record| write_record(&mut writer, record))
}

/// Writes a whole history to a file.
pub fn write(path: &Path, history: &History) -> Result<(), Fault> {
    let written = File::create(path).and_then(|file| {
        let mut writer = BufWriter::new(file);
        write_to(&mut writer, history)?;
        writer.flush()
    });
    written.map_err(|error| Fault { file: path.into(), line: 0, wrong: Wrong::Io(error) })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note(at_us: u64, by: &str, text: &str) -> Record {
        Record { at_us, by: by.into(), what: What::Note { text: text.into() } }
    }

    fn written(history: &History) -> Vec<u8> {
        let mut bytes = Vec::new();
        write_to(&mut bytes, history).unwrap();
        bytes
    }

    fn history() -> History {
        let header = Header { schema: 1, ..Header::default() };
        let health = What::Health { zone: "a".into(), share: 0.0, from: None };
        let health = Record { at_us: 2, by: "rig".into(), what: health };
        merge(
            header,
            [vec![note(3, "x", "third"), note(1, "x", "first")], vec![health, note(1, "y", "second")]],
        )
        .unwrap()
    }

    #[test]
    fn a_merge_is_by_time_and_stable_and_comes_back_as_written() {
        let history = history();
        let texts: Vec<u64> = history.records.iter().map(|record| record.at_us).collect();
        assert_eq!(texts, [1, 1, 2, 3]);
        assert_eq!((history.records[0].by.as_str(), history.records[1].by.as_str()), ("x", "y"));
        let (back, part) = read_from(&written(&history)[..], Path::new("h")).unwrap();
        assert_eq!((back, part), (history, Part::default()));
    }

    #[test]
    fn a_torn_last_line_is_counted_and_one_in_the_midst_is_a_fault_with_its_line() {
        let bytes = written(&history());
        let torn = &bytes[..bytes.len() - 4];
        let (back, part) = read_from(torn, Path::new("h")).unwrap();
        assert_eq!((back.records.len(), part.torn), (3, 1));
        let mut midst = torn.to_vec();
        midst.extend_from_slice(b"\n{}\n");
        let fault = read_from(&midst[..], Path::new("h.jsonl")).unwrap_err();
        assert_eq!(fault.line, 5);
        assert!(fault.to_string().starts_with("h.jsonl:5: no record: "), "{fault}");
    }

    #[test]
    fn a_later_word_is_kept_as_a_note_and_a_known_one_that_is_wrong_is_a_fault() {
        let later = br#"{"at_us":7,"by":"x","what":"sings","song":[1]}"#;
        let part = read_part_from(&later[..], Path::new("p")).unwrap();
        assert_eq!((part.unknown, part.torn, part.records[0].at_us), (1, 0, 7));
        assert!(matches!(&part.records[0].what, What::Note { text } if text.contains("sings")));
        let wrong = b"{\"at_us\":7,\"by\":\"x\",\"what\":\"ran\",\"id\":\"no number\"}\n";
        assert!(matches!(read_part_from(&wrong[..], Path::new("p")).unwrap_err().wrong, Wrong::Record(_)));
    }

    #[test]
    fn all_words_of_the_schema_are_known() {
        // Serde names what it expects where a word is none.
        let error = serde_json::from_str::<What>(r#"{"what":"no such word"}"#).unwrap_err().to_string();
        let (_, words) = error.split_once("expected one of ").unwrap();
        let words: Vec<&str> = words.split(", ").map(|word| word.split('`').nth(1).unwrap()).collect();
        assert_eq!(words, KNOWN);
    }

    #[test]
    fn bounds_hold() {
        let long = vec![b' '; LINE_MOST + 1];
        let fault = read_part_from(&long[..], Path::new("p")).unwrap_err();
        assert!(matches!(fault.wrong, Wrong::TooLong));
        assert!(matches!(read_from(&b""[..], Path::new("p")).unwrap_err().wrong, Wrong::Header(_)));
    }
}
