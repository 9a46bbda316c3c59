//! Sizes, and the fields that several parts of a datagram share.

use crate::identity::ProgramVersion;
use crate::name::Name;
use bytes::{Buf, BufMut};
use thiserror::Error;

/// The length of the longest datagram, in bytes, MAC included.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The length of the MAC at the end of a datagram, in bytes.
pub const MAC_BYTES: usize = 16;
/// The length of the longest datagram without its MAC, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - MAC_BYTES;
/// What the next wire version adds to each head and update; programs of this version skip it.
pub(super) const NEXT_VERSION_FIELDS: &[u8] = if cfg!(feature = "next-wire") { b"+2" } else { b"" };

/// The bytes are no datagram of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not of the form of a datagram")]
pub struct MalformedDatagramError;

pub(super) fn read_u8(buf: &mut &[u8]) -> Result<u8, MalformedDatagramError> {
    buf.try_get_u8().map_err(|_| MalformedDatagramError)
}

pub(super) fn read_u16(buf: &mut &[u8]) -> Result<u16, MalformedDatagramError> {
    buf.try_get_u16().map_err(|_| MalformedDatagramError)
}

pub(super) fn read_u64(buf: &mut &[u8]) -> Result<u64, MalformedDatagramError> {
    buf.try_get_u64().map_err(|_| MalformedDatagramError)
}

pub(super) fn read_name(buf: &mut &[u8]) -> Result<Name, MalformedDatagramError> {
    let length = usize::from(read_u8(buf)?);
    let text = buf.get(..length).and_then(|text| std::str::from_utf8(text).ok());
    let name = text.and_then(Name::new).ok_or(MalformedDatagramError)?;
    buf.advance(length);
    Ok(name)
}

pub(super) fn write_name(buf: &mut Vec<u8>, name: &Name) {
    buf.put_u8(name.as_str().len() as u8);
    buf.put_slice(name.as_str().as_bytes());
}

pub(super) fn read_program(buf: &mut &[u8]) -> Result<ProgramVersion, MalformedDatagramError> {
    Ok(ProgramVersion(read_u16(buf)?, read_u16(buf)?, read_u16(buf)?))
}

pub(super) fn write_program(buf: &mut Vec<u8>, program: ProgramVersion) {
    let ProgramVersion(major, minor, patch) = program;
    [major, minor, patch].into_iter().for_each(|part| buf.put_u16(part));
}
