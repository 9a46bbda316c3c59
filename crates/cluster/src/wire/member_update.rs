//! The update by which one member reports the state of another.

use super::format::{
    MalformedDatagramError, NEXT_VERSION_FIELDS, read_name, read_program, read_u8, read_u16, read_u64,
    write_name, write_program,
};
use crate::identity::{Identity, WireVersions};
use bytes::BufMut;
use foca::State;

/// The bits of the flags that hold the state.
const STATE_MASK: u8 = 3;
/// The bit of the flags that is set if the member has left.
const LEFT_FLAG: u8 = 4;

/// The state of a member, as one member reports it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member.
    pub identity: Identity,
    /// How often that generation has refuted a suspicion.
    pub incarnation: u16,
    /// The state as believed by the sender.
    pub state: State,
    /// Whether the member has said itself that it leaves.
    pub has_left: bool,
}

impl MemberUpdate {
    /// Appends the update to a body.
    pub(super) fn encode(&self, buf: &mut Vec<u8>) {
        let length_at = buf.len();
        let state = match self.state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        };
        buf.put_slice(&[0, state | if self.has_left { LEFT_FLAG } else { 0 }]);
        buf.put_u16(self.incarnation);
        buf.put_u64(self.identity.generation);
        write_name(buf, &self.identity.name);
        write_program(buf, self.identity.program);
        buf.put_slice(&[self.identity.wire.version, self.identity.wire.oldest]);
        buf.put_slice(NEXT_VERSION_FIELDS);
        buf[length_at] = (buf.len() - length_at - 1) as u8;
    }

    /// Reads an update off the front of a body, and skips what later versions may have added to it.
    pub(super) fn decode(buf: &mut &[u8]) -> Result<Self, MalformedDatagramError> {
        let length = usize::from(read_u8(buf)?);
        let (mut update, rest) = buf.split_at_checked(length).ok_or(MalformedDatagramError)?;
        *buf = rest;
        let update = &mut update;
        let flags = read_u8(update)?;
        let state = match flags & STATE_MASK {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            _ => return Err(MalformedDatagramError),
        };
        let incarnation = read_u16(update)?;
        let generation = read_u64(update)?;
        let name = read_name(update)?;
        let program = read_program(update)?;
        let wire = WireVersions { version: read_u8(update)?, oldest: read_u8(update)? };
        let identity = Identity { name, generation, program, wire };
        Ok(Self { identity, incarnation, state, has_left: flags & LEFT_FLAG != 0 })
    }
}
