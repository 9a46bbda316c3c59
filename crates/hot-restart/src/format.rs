//! The form of the file: a header line and a body of JSON.

use crate::error::SnapshotError;
use maplehook_core::fleet_size::MAX_LIST_ENTRIES;

/// The length of the longest record of an upstream, in bytes.
const MAX_UPSTREAM_BYTES: usize = 320;
/// The length of everything beside the upstreams, in bytes: the names, and what was learned of classes and tenants.
const MAX_REST_BYTES: usize = 256 * 1024;
/// The length of the longest file, in bytes: any list that is read can be handed over.
pub const MAX_SNAPSHOT_BYTES: usize = MAX_LIST_ENTRIES * MAX_UPSTREAM_BYTES + MAX_REST_BYTES;
/// The version of the format.
const FORMAT_VERSION: u32 = 1;
/// The name of the format, the first word of the file.
const FORMAT_NAME: &str = "maplehook-handover";
/// The length of the longest header line, in bytes.
const MAX_HEADER_BYTES: usize = 128;

/// Returns the file with this body, or `None` if it would be too long.
pub(crate) fn encode(body: Vec<u8>) -> Option<Vec<u8>> {
    let checksum = crc32fast::hash(&body);
    let header = format!("{FORMAT_NAME} {FORMAT_VERSION} {checksum:08x} {}\n", body.len());
    let mut file = body;
    file.splice(..0, header.into_bytes());
    (file.len() <= MAX_SNAPSHOT_BYTES).then_some(file)
}

/// Returns the body of a file that is complete and not corrupt.
pub(crate) fn decode(file: &[u8]) -> Result<&[u8], SnapshotError> {
    if file.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::Corrupt);
    }
    let header = Header::read(file)?;
    let is_intact = header.body.len() == header.body_bytes && crc32fast::hash(header.body) == header.checksum;
    if is_intact { Ok(header.body) } else { Err(SnapshotError::Corrupt) }
}

/// What the first line says, and what follows it.
struct Header<'a> {
    checksum: u32,
    body_bytes: usize,
    body: &'a [u8],
}

impl<'a> Header<'a> {
    fn read(file: &'a [u8]) -> Result<Self, SnapshotError> {
        let end = file.iter().take(MAX_HEADER_BYTES).position(|byte| *byte == b'\n');
        let end = end.ok_or(SnapshotError::UnknownFormat)?;
        let line = std::str::from_utf8(&file[..end]).map_err(|_| SnapshotError::UnknownFormat)?;
        let mut fields = line.split(' ');
        let name = fields.next();
        let version = fields.next().and_then(|version| version.parse().ok());
        if name != Some(FORMAT_NAME) || version != Some(FORMAT_VERSION) {
            return Err(SnapshotError::UnknownFormat);
        }
        let checksum = fields.next().and_then(|checksum| u32::from_str_radix(checksum, 16).ok());
        let checksum = checksum.ok_or(SnapshotError::Corrupt)?;
        let body_bytes = fields.next().and_then(|length| length.parse().ok());
        let body_bytes = body_bytes.ok_or(SnapshotError::Corrupt)?;
        Ok(Self { checksum, body_bytes, body: &file[end + 1..] })
    }
}
