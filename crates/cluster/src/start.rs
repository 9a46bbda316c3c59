//! The number of a start. For a name it only rises, whatever happens to clock and disk, as far as one of the two holds.
//!
//! It is the Unix time in milliseconds times 1024, and ten drawn bits below: two starts of one name in one
//! millisecond still differ, and the number stays below 2^53, so that any reader of JSON has it exactly. Where an
//! earlier start is on record the number is at least the next one, so that a clock set back does no harm; a record
//! that is lost, or an old copy, does none as long as the clock goes forward.

use crate::name::Name;

/// Drawn bits below the time.
const DRAWN: u32 = 10;
/// The largest number.
const LARGEST: u64 = (1 << 53) - 1;

/// A start's number, by the time, drawn bits and the start on record.
pub fn next(unix_ms: u64, drawn: u64, recorded: Option<u64>) -> u64 {
    let by_time = (unix_ms << DRAWN) | (drawn & ((1 << DRAWN) - 1));
    by_time.max(recorded.map_or(0, |recorded| recorded + 1)).min(LARGEST)
}

/// Why a record is not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// It is cut short, spoilt or of another form.
    Garbled,
    /// It is another balancer's.
    Anothers(String),
}

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Garbled => f.write_str("it is cut short, spoilt or of another form"),
            Self::Anothers(name) => write!(f, "it is of the balancer {name:?}"),
        }
    }
}

/// The record of a start, as text.
pub fn record(name: &Name, start: u64) -> String {
    let line = format!("maplehook-start 1 {name} {start}");
    let check = checksum(&line);
    format!("{line} {check:016x}\n")
}

/// Reads a record.
pub fn read(text: &str, name: &Name) -> Result<u64, Unfit> {
    let line = text.strip_suffix('\n').ok_or(Unfit::Garbled)?;
    let (line, check) = line.rsplit_once(' ').ok_or(Unfit::Garbled)?;
    if check != format!("{:016x}", checksum(line)) {
        return Err(Unfit::Garbled);
    }
    match line.split(' ').collect::<Vec<_>>()[..] {
        ["maplehook-start", "1", of, start] => {
            let start = start.parse().ok().filter(|start| *start < LARGEST).ok_or(Unfit::Garbled)?;
            if of == name.as_str() { Ok(start) } else { Err(Unfit::Anothers(of.to_owned())) }
        }
        _ => Err(Unfit::Garbled),
    }
}

/// FNV-1a: against torn writes, not against people.
fn checksum(text: &str) -> u64 {
    crate::words::fnv(text.as_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn starts_rise_with_clock_or_record() {
        let now = 1_796_000_000_000;
        let first = next(now, 77, None);
        assert!(next(now + 1, 0, None) > first, "the clock alone");
        assert_eq!(next(now - 3_600_000, 5, Some(first)), first + 1, "a clock set back, with a record");
        let old_copy = next(now - 60_000, 1023, None);
        assert!(next(now + 1, 0, Some(old_copy)) > first, "a record that is an old copy");
        assert!(first < 1 << 53);
    }

    proptest! {
        /// A record that was cut or changed anywhere is no record.
        #[test]
        fn a_spoilt_record_is_not_believed(start in 0..LARGEST, at in 0usize..60, with in 0u8..128) {
            let name = Name::new("b1").unwrap();
            let good = record(&name, start);
            prop_assert_eq!(read(&good, &name), Ok(start));
            let mut bytes = good.clone().into_bytes();
            let at = at % bytes.len();
            prop_assert!(read(&good[..at], &name).is_err());
            if bytes[at] != with {
                bytes[at] = with;
                prop_assert!(read(std::str::from_utf8(&bytes).unwrap(), &name).is_err());
            }
        }
    }

    #[test]
    fn anothers_record_is_told_as_such() {
        let (b1, b2) = (Name::new("b1").unwrap(), Name::new("b2").unwrap());
        assert_eq!(read(&record(&b2, 7), &b1), Err(Unfit::Anothers("b2".into())));
    }
}
