//! A reader of the wire's numbers that names the byte of a fault.

use super::WireError;
use maplehook_core::{Outcome, UpstreamId};
use maplehook_platform_settings::duration_from_ms;
use std::time::Duration;

/// A batch, and how far it has been read.
pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// Returns how many bytes have been read.
    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    /// Returns whether all bytes have been read.
    pub(crate) fn is_at_end(&self) -> bool {
        self.offset >= self.bytes.len()
    }

    /// Reads so many bytes; `what` names them in an error.
    pub(crate) fn take(&mut self, count: usize, what: &str) -> Result<&'a [u8], WireError> {
        let end = self.offset.checked_add(count).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            let remaining = self.bytes.len() - self.offset;
            let reason = format!("{what} needs {count} bytes, {remaining} are left");
            return Err(WireError { offset: self.offset, reason });
        };
        let taken = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], WireError> {
        let taken = self.take(N, what)?;
        Ok(std::array::from_fn(|i| taken[i]))
    }

    pub(crate) fn u8(&mut self, what: &str) -> Result<u8, WireError> {
        Ok(self.array::<1>(what)?[0])
    }

    pub(crate) fn u16(&mut self, what: &str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(what)?))
    }

    pub(crate) fn u32(&mut self, what: &str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(what)?))
    }

    pub(crate) fn u64(&mut self, what: &str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(what)?))
    }

    pub(crate) fn f32(&mut self, what: &str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(what)?))
    }

    pub(crate) fn f64(&mut self, what: &str) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array(what)?))
    }

    pub(crate) fn duration(&mut self, what: &str) -> Result<Duration, WireError> {
        Ok(duration_from_ms(self.f64(what)?))
    }

    /// Reads an upstream's id: an address and a port, six bytes.
    pub(crate) fn upstream(&mut self) -> Result<UpstreamId, WireError> {
        let bytes: [u8; 6] = self.array("upstream")?;
        Ok(UpstreamId(bytes.iter().fold(0, |id, b| id << 8 | u64::from(*b))))
    }

    /// Reads a load report.
    pub(crate) fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let length = self.u8("load report's length")?;
        (0..length).map(|_| self.f32("load report")).collect()
    }

    /// Reads a count of entries of `size` bytes each. Fails, before memory is set aside for them, if they
    /// can't be there.
    pub(crate) fn count(&mut self, size: usize, what: &str) -> Result<usize, WireError> {
        let offset = self.offset;
        let count = self.u32(what)? as usize;
        let remaining = self.bytes.len() - self.offset;
        if count.checked_mul(size).is_none_or(|needed| needed > remaining) {
            let reason = format!("{what} is {count}, but only {remaining} bytes are left");
            return Err(WireError { offset, reason });
        }
        Ok(count)
    }

    pub(crate) fn outcome(&mut self) -> Result<Outcome, WireError> {
        let offset = self.offset;
        Ok(match self.u16("outcome")? {
            100 => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::TimedOut,
            304 => Outcome::ConnectFailed,
            305 => Outcome::Reset,
            306 => Outcome::Cancelled,
            307 => Outcome::NotSent,
            other => return Err(WireError { offset, reason: format!("unknown outcome {other}") }),
        })
    }
}
