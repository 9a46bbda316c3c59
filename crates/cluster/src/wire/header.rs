//! The header of a message: its kind, its receiver, and what follows.

use super::format::{MalformedDatagramError, read_name, read_u8, read_u16, read_u64, write_name};
use crate::identity::Identity;
use bytes::BufMut;
use foca::{Header, Message};

// Kinds of messages. The first byte of a body is its kind, the second the number of the probe.
/// The kind of a probe.
pub const PING: u8 = 0;
/// The kind of the acknowledgement of a probe.
pub const ACK: u8 = 1;
const PING_REQUEST: u8 = 2;
const INDIRECT_PING: u8 = 3;
const INDIRECT_ACK: u8 = 4;
const FORWARDED_ACK: u8 = 5;
const ANNOUNCE: u8 = 6;
const FEED: u8 = 7;
pub(super) const GOSSIP: u8 = 8;
const BROADCAST: u8 = 9;
pub(super) const TURN_UNDEAD: u8 = 10;

/// Returns whether a body is of a probe, or of its acknowledgement, direct or indirect.
pub fn is_probe_message(body: &[u8]) -> bool {
    body.first().is_some_and(|kind| *kind <= FORWARDED_ACK)
}

/// The header of a message.
pub(super) struct MessageHeader {
    pub(super) kind: u8,
    pub(super) probe_number: u8,
    /// The sender's incarnation.
    pub(super) incarnation: u16,
    /// The receiver, at the generation that the sender knows.
    pub(super) to: Identity,
    /// The target or the origin of an indirect probe.
    pub(super) third_party: Option<Identity>,
}

impl MessageHeader {
    pub(super) fn from_foca(header: &Header<Identity>) -> Self {
        let (kind, probe_number, third_party) = match &header.message {
            Message::Ping(number) => (PING, *number, None),
            Message::Ack(number) => (ACK, *number, None),
            Message::PingReq { target, probe_number } => (PING_REQUEST, *probe_number, Some(target)),
            Message::IndirectPing { origin, probe_number } => (INDIRECT_PING, *probe_number, Some(origin)),
            Message::IndirectAck { target, probe_number } => (INDIRECT_ACK, *probe_number, Some(target)),
            Message::ForwardedAck { origin, probe_number } => (FORWARDED_ACK, *probe_number, Some(origin)),
            Message::Announce => (ANNOUNCE, 0, None),
            Message::Feed => (FEED, 0, None),
            Message::Gossip => (GOSSIP, 0, None),
            Message::Broadcast => (BROADCAST, 0, None),
            Message::TurnUndead => (TURN_UNDEAD, 0, None),
        };
        let third_party = third_party.cloned();
        let (incarnation, to) = (header.src_incarnation, header.dst.clone());
        Self { kind, probe_number, incarnation, to, third_party }
    }

    /// Returns the message as `foca` has it.
    pub(super) fn message(&self) -> Result<Message<Identity>, MalformedDatagramError> {
        let probe_number = self.probe_number;
        Ok(match (self.kind, self.third_party.clone()) {
            (PING, None) => Message::Ping(probe_number),
            (ACK, None) => Message::Ack(probe_number),
            (PING_REQUEST, Some(target)) => Message::PingReq { target, probe_number },
            (INDIRECT_PING, Some(origin)) => Message::IndirectPing { origin, probe_number },
            (INDIRECT_ACK, Some(target)) => Message::IndirectAck { target, probe_number },
            (FORWARDED_ACK, Some(origin)) => Message::ForwardedAck { origin, probe_number },
            (ANNOUNCE, None) => Message::Announce,
            (FEED, None) => Message::Feed,
            (GOSSIP, None) => Message::Gossip,
            (BROADCAST, None) => Message::Broadcast,
            (TURN_UNDEAD, None) => Message::TurnUndead,
            _ => return Err(MalformedDatagramError),
        })
    }

    /// Appends the header to a body.
    pub(super) fn encode(&self, buf: &mut Vec<u8>) {
        buf.put_slice(&[self.kind, self.probe_number]);
        buf.put_u16(self.incarnation);
        for identity in std::iter::once(&self.to).chain(&self.third_party) {
            buf.put_u64(identity.generation);
            write_name(buf, &identity.name);
        }
    }

    /// Reads a header off the front of a body.
    pub(super) fn decode(buf: &mut &[u8]) -> Result<Self, MalformedDatagramError> {
        let (kind, probe_number) = (read_u8(buf)?, read_u8(buf)?);
        let incarnation = read_u16(buf)?;
        let to = read_identity(buf)?;
        let has_third_party = (PING_REQUEST..=FORWARDED_ACK).contains(&kind);
        let third_party = if has_third_party { Some(read_identity(buf)?) } else { None };
        Ok(Self { kind, probe_number, incarnation, to, third_party })
    }

    /// Returns whether member updates follow the header.
    pub(super) fn has_updates(&self) -> bool {
        self.has_announcements() && self.kind != BROADCAST
    }

    /// Returns whether announcements follow the header, or the updates.
    pub(super) fn has_announcements(&self) -> bool {
        !matches!(self.kind, ANNOUNCE | TURN_UNDEAD)
    }
}

fn read_identity(buf: &mut &[u8]) -> Result<Identity, MalformedDatagramError> {
    let generation = read_u64(buf)?;
    Ok(Identity::without_versions(read_name(buf)?, generation))
}
