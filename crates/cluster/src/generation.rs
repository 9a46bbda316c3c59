//! The generation of a process: a number that only rises for a name, as long as either the clock or the record of the
//! last generation on disk can be relied on.
//!
//! It is the Unix time in milliseconds times 1024, with ten random bits below: two starts of one name in one millisecond
//! still differ, and the number stays below 2^53, so that any JSON reader has it exactly. Where an earlier generation is
//! on record the number is at least the next one, so that a clock set back does no harm; a record that is lost, or an
//! old copy, does none as long as the clock goes forward.

use crate::hash::fnv1a;
use crate::name::Name;
use thiserror::Error;

/// The number of random bits below the time.
const RANDOM_BITS: u32 = 10;
/// The largest generation.
const MAX_GENERATION: u64 = (1 << 53) - 1;
/// The first words of a record: its format and version.
const RECORD_FORMAT: &str = "maplehook-start";
const RECORD_VERSION: &str = "1";

/// Returns the generation of a process that starts at this time; `random` gives its lowest bits.
pub fn next(unix_ms: u64, random: u64, recorded: Option<u64>) -> u64 {
    let by_time = (unix_ms << RANDOM_BITS) | (random & ((1 << RANDOM_BITS) - 1));
    by_time.max(recorded.map_or(0, |recorded| recorded + 1)).min(MAX_GENERATION)
}

/// Why the record of a generation is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum GenerationRecordError {
    /// The record is cut short, corrupt or of another format.
    #[error("it is cut short, spoilt or of another form")]
    Corrupt,
    /// The record is of another balancer, of this name.
    #[error("it is of the balancer {0:?}")]
    OtherNode(String),
}

/// Returns the record of a generation, as text with a checksum.
pub fn encode_record(name: &Name, generation: u64) -> String {
    let line = format!("{RECORD_FORMAT} {RECORD_VERSION} {name} {generation}");
    let checksum = fnv1a(line.as_bytes());
    format!("{line} {checksum:016x}\n")
}

/// Reads the record of a generation.
///
/// # Errors
///
/// Fails if the record is corrupt or another balancer's.
pub fn decode_record(text: &str, name: &Name) -> Result<u64, GenerationRecordError> {
    let line = text.strip_suffix('\n').ok_or(GenerationRecordError::Corrupt)?;
    let (line, checksum) = line.rsplit_once(' ').ok_or(GenerationRecordError::Corrupt)?;
    if checksum != format!("{:016x}", fnv1a(line.as_bytes())) {
        return Err(GenerationRecordError::Corrupt);
    }
    let [RECORD_FORMAT, RECORD_VERSION, recorded_name, generation] = line.split(' ').collect::<Vec<_>>()[..]
    else {
        return Err(GenerationRecordError::Corrupt);
    };
    let generation = generation.parse().ok().filter(|generation| *generation < MAX_GENERATION);
    let generation = generation.ok_or(GenerationRecordError::Corrupt)?;
    if recorded_name != name.as_str() {
        return Err(GenerationRecordError::OtherNode(recorded_name.to_owned()));
    }
    Ok(generation)
}

#[cfg(test)]
mod tests;
