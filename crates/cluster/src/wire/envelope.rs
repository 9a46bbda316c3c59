//! The envelope of a datagram: its sender and its receiver.

use super::format::{
    MAX_PAYLOAD_BYTES, MalformedDatagramError, NEXT_VERSION_FIELDS, read_name, read_program, read_u8,
    read_u64, write_name, write_program,
};
use crate::identity::{Identity, WireVersions};
use crate::name::{MAX_NAME_BYTES, Name};
use bytes::BufMut;

const MAGIC: [u8; 2] = *b"mh";
/// The length of what precedes the head: magic, version, oldest, length of the head.
const PREFIX_BYTES: usize = 5;

/// The sender and the receiver of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: Identity,
    /// The receiver.
    pub to: Name,
    /// Counts the datagrams from this generation of the sender to this receiver.
    pub sequence: u64,
}

impl Envelope {
    /// Returns the datagram with this body, without its MAC.
    pub fn encode_with(&self, body: &[u8]) -> Vec<u8> {
        let mut buf = Vec::with_capacity(MAX_PAYLOAD_BYTES);
        buf.put_slice(&MAGIC);
        buf.put_slice(&[self.from.wire.version, self.from.wire.oldest, 0]);
        let head_start = buf.len();
        write_name(&mut buf, &self.from.name);
        buf.put_u64(self.from.generation);
        write_name(&mut buf, &self.to);
        buf.put_u64(self.sequence);
        write_program(&mut buf, self.from.program);
        buf.put_slice(NEXT_VERSION_FIELDS);
        buf[head_start - 1] = (buf.len() - head_start) as u8;
        buf.put_slice(body);
        buf
    }

    /// Reads the envelope of a datagram without its MAC, and returns it with the body.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no datagram of this protocol.
    pub fn decode(mut payload: &[u8]) -> Result<(Self, &[u8]), MalformedDatagramError> {
        let buf = &mut payload;
        if [read_u8(buf)?, read_u8(buf)?] != MAGIC {
            return Err(MalformedDatagramError);
        }
        let wire = WireVersions { version: read_u8(buf)?, oldest: read_u8(buf)? };
        let length = usize::from(read_u8(buf)?);
        let (mut head, body) = buf.split_at_checked(length).ok_or(MalformedDatagramError)?;
        let head = &mut head;
        let name = read_name(head)?;
        let generation = read_u64(head)?;
        let to = read_name(head)?;
        let sequence = read_u64(head)?;
        let program = read_program(head)?;
        Ok((Self { from: Identity { name, generation, program, wire }, to, sequence }, body))
    }

    /// Returns how many bytes are left for a body from this sender, whoever receives it.
    pub fn body_capacity(from: &Name) -> usize {
        let head = 1 + from.as_str().len() + 8 + 1 + MAX_NAME_BYTES + 8 + 6 + NEXT_VERSION_FIELDS.len();
        MAX_PAYLOAD_BYTES - PREFIX_BYTES - head
    }
}
