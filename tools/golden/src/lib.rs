//! Golden files for tests: samples of every form that leaves a process (on the wire, on disk, to operators), written once by an
//! earlier program. A test decodes the recorded bytes with today's types and expects the same bytes when it encodes them again, so
//! that renaming a serialized field, or moving a positional one, fails.
//!
//! A file lies in the folder `tools/golden/` of the crate that is tested. With `MAPLEHOOK_GOLDEN=write` in the environment, a file that
//! does not exist is written; an existing one is never overwritten.

#![deny(missing_docs)]

mod sample;

pub use sample::samples;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::path::PathBuf;

/// How a type is serialized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Postcard: by position. A line is the bytes in hexadecimal.
    Postcard,
    /// JSON: by name. A line is the text.
    Json,
}

impl Format {
    fn encode<T: Serialize>(self, value: &T) -> Result<String, String> {
        match self {
            Self::Postcard => postcard::to_stdvec(value).map(|bytes| hex(&bytes)).map_err(|e| e.to_string()),
            Self::Json => serde_json::to_string(value).map_err(|e| e.to_string()),
        }
    }

    fn decode<T: DeserializeOwned>(self, line: &str) -> Result<T, String> {
        match self {
            Self::Postcard => postcard::from_bytes(&unhex(line)?).map_err(|e| e.to_string()),
            Self::Json => serde_json::from_str(line).map_err(|e| e.to_string()),
        }
    }
}

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that a hexadecimal text stands for.
///
/// # Errors
///
/// If the text is no pairs of hexadecimal digits.
pub fn unhex(text: &str) -> Result<Vec<u8>, String> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(format!("not hexadecimal: {text}"));
    }
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).map_err(|e| format!("{text}: {e}"));
    (0..text.len()).step_by(2).map(byte).collect()
}

fn path(name: &str) -> PathBuf {
    let root = std::env::var_os("CARGO_MANIFEST_DIR").expect("cargo names the crate's folder");
    PathBuf::from(root).join("golden").join(name)
}

/// The recorded text of a golden file; where there is none yet and it may be written, what `record` gives.
///
/// # Panics
///
/// If there is no such file and it may not be written.
pub fn recorded(name: &str, record: impl FnOnce() -> String) -> String {
    let path = path(name);
    if let Ok(text) = std::fs::read_to_string(&path) {
        return text;
    }
    let may_write = std::env::var("MAPLEHOOK_GOLDEN").is_ok_and(|value| value == "write");
    assert!(may_write, "there is no golden file {}", path.display());
    let text = record();
    assert!(!text.is_empty(), "nothing to record in {}", path.display());
    std::fs::create_dir_all(path.parent().expect("a folder")).expect("the folder is made");
    std::fs::write(&path, &text).expect("the file is written");
    text
}

/// Expects a text to be the recorded one, line by line.
///
/// # Panics
///
/// If it differs.
pub fn assert_text(name: &str, text: &str) {
    let recorded = recorded(name, || text.to_owned());
    for (number, (now, before)) in text.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(now, before, "golden/{name}, line {}", number + 1);
    }
    assert_eq!(text.lines().count(), recorded.lines().count(), "golden/{name}: the number of lines");
}

/// Reads every recorded line of a type and expects the same line when it is written again.
///
/// # Errors
///
/// Which line of `lines` cannot be read, or reads and writes differently.
pub fn compare<T: Serialize + DeserializeOwned>(format: Format, lines: &str) -> Result<usize, String> {
    for (number, line) in lines.lines().enumerate() {
        let place = format!("line {}", number + 1);
        let value: T = format.decode(line).map_err(|e| format!("{place} cannot be read: {e}: {line}"))?;
        let again = format.encode(&value).map_err(|e| format!("{place} cannot be written: {e}"))?;
        if again != line {
            return Err(format!("{place} was\n  {line}\nand is written as\n  {again}"));
        }
    }
    Ok(lines.lines().count())
}

/// Expects the recorded samples of a type, in one format, to read and write as they did. `strings` are the texts that samples are
/// made of when they are recorded.
///
/// # Panics
///
/// If a sample differs, or there is none.
pub fn assert_type<T: Serialize + DeserializeOwned + Debug>(format: Format, name: &str, strings: &[&str]) {
    let record = || {
        let lines = samples::<T>(strings)
            .into_iter()
            .map(|value| format.encode(&value).expect("a sample is written"));
        lines.map(|line| line + "\n").collect()
    };
    let lines = recorded(name, record);
    match compare::<T>(format, &lines) {
        Ok(count) => assert!(count > 0, "golden/{name} is empty"),
        Err(difference) => panic!("golden/{name}: {difference}"),
    }
}

/// Texts for types that take any.
pub const TEXTS: &[&str] = &["b1", "zone-a", "", "quick \"brown\" é"];

/// Expects the samples of types by name: one file `TYPE.FORMAT` each.
#[macro_export]
macro_rules! golden_types {
    ($($test:ident: $format:ident $type:ty;)*) => {
        $(
            #[test]
            fn $test() {
                let name = concat!(stringify!($test), ".", stringify!($format));
                $crate::assert_type::<$type>($crate::Format::$format, name, $crate::TEXTS);
            }
        )*
    };
}
