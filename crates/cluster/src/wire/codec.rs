//! The codec by which `foca` reads and writes messages.

use super::format::MalformedDatagramError;
use super::header::MessageHeader;
use super::member_update::MemberUpdate;
use crate::identity::Identity;
use crate::name::Name;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, State};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Room for a header or an update, in bytes.
const SCRATCH_BYTES: usize = 64;

/// What the codec knows beside the message that it reads or writes.
#[derive(Debug, Default)]
pub struct CodecContext {
    /// The sender of the message that is being read; the envelope has it, the body has not.
    pub sender: Option<Identity>,
    /// The latest generation of each name that has said itself that it leaves.
    pub left_generations: BTreeMap<Name, u64>,
    /// How often this process has refuted a suspicion.
    pub incarnation: u16,
}

impl CodecContext {
    /// Records that a member has said itself that it leaves.
    pub fn record_left(&mut self, identity: &Identity) {
        let generation = self.left_generations.entry(identity.name.clone()).or_default();
        *generation = (*generation).max(identity.generation);
    }

    /// Returns whether a member has said itself that it leaves.
    pub fn has_left(&self, identity: &Identity) -> bool {
        self.left_generations.get(&identity.name).is_some_and(|generation| *generation >= identity.generation)
    }
}

/// Reads and writes the headers and updates of messages for `foca`.
#[derive(Clone, Debug, Default)]
pub struct MessageCodec(pub Rc<RefCell<CodecContext>>);

impl MessageCodec {
    fn write(mut buf: impl BufMut, bytes: &[u8]) -> Result<(), MalformedDatagramError> {
        if buf.remaining_mut() < bytes.len() {
            return Err(MalformedDatagramError);
        }
        buf.put_slice(bytes);
        Ok(())
    }

    /// Reads off the front of a buffer that is one slice, as all of `foca`'s are.
    fn read<T>(
        mut buf: impl Buf,
        decode: impl FnOnce(&mut &[u8]) -> Result<T, MalformedDatagramError>,
    ) -> Result<T, MalformedDatagramError> {
        let mut rest = buf.chunk();
        let length = rest.len();
        let decoded = decode(&mut rest)?;
        let used = length - rest.len();
        buf.advance(used);
        Ok(decoded)
    }
}

impl Codec<Identity> for MessageCodec {
    type Error = MalformedDatagramError;

    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        buf: impl BufMut,
    ) -> Result<(), MalformedDatagramError> {
        self.0.borrow_mut().incarnation = header.src_incarnation;
        let mut bytes = Vec::with_capacity(SCRATCH_BYTES);
        MessageHeader::from_foca(header).encode(&mut bytes);
        Self::write(buf, &bytes)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, MalformedDatagramError> {
        let header = Self::read(buf, MessageHeader::decode)?;
        let src = self.0.borrow().sender.clone().ok_or(MalformedDatagramError)?;
        let message = header.message()?;
        Ok(Header { src, src_incarnation: header.incarnation, dst: header.to, message })
    }

    fn encode_member(
        &mut self,
        member: &Member<Identity>,
        buf: impl BufMut,
    ) -> Result<(), MalformedDatagramError> {
        let (identity, state) = (member.id().clone(), member.state());
        let has_left = state == State::Down && self.0.borrow().has_left(&identity);
        let update = MemberUpdate { identity, incarnation: member.incarnation(), state, has_left };
        let mut bytes = Vec::with_capacity(SCRATCH_BYTES);
        update.encode(&mut bytes);
        Self::write(buf, &bytes)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, MalformedDatagramError> {
        let update = Self::read(buf, MemberUpdate::decode)?;
        Ok(Member::new(update.identity, update.incarnation, update.state))
    }
}
