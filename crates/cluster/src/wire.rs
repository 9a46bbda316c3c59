//! What stands in a datagram.
//!
//! ```text
//! "mh"  version  oldest  length of the head  head  body  (16 bytes of MAC, put on by the link)
//! head: sender's name, start, receiver's name, number, sender's program, and what later versions may add
//! body: kind, probe's number, sender's incarnation, receiver's start, a third member,
//!       a count of records, the records, words
//! record: length, state, incarnation, start, name, program, version, oldest, and what later versions may add
//! ```
//!
//! The first five bytes and the head stand for good, so that programs which can't speak with one another still see who
//! is there. Numbers are big-endian; a name has its length before it.

use crate::identity::{Identity, Program, Wire};
use crate::name::Name;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The longest datagram, MAC included.
pub const DATAGRAM_MOST: usize = 256;
/// The MAC's share of it.
pub const MAC: usize = 16;
/// What is left for this module.
pub const PAYLOAD_MOST: usize = DATAGRAM_MOST - MAC;
const MAGIC: [u8; 2] = *b"mh";
/// What the next wire version adds to each head and record; programs of this one skip it.
const ADDED: &[u8] = if cfg!(feature = "next-wire") { b"+2" } else { b"" };

/// Bytes that are no datagram of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not of the form of a datagram")
    }
}

impl std::error::Error for Malformed {}

fn byte(buf: &mut &[u8]) -> Result<u8, Malformed> {
    buf.try_get_u8().map_err(|_| Malformed)
}

fn name(buf: &mut &[u8]) -> Result<Name, Malformed> {
    let length = usize::from(byte(buf)?);
    let text = buf.get(..length).and_then(|text| std::str::from_utf8(text).ok()).ok_or(Malformed)?;
    let name = Name::new(text).ok_or(Malformed)?;
    buf.advance(length);
    Ok(name)
}

fn put_name(buf: &mut Vec<u8>, name: &Name) {
    buf.put_u8(name.as_str().len() as u8);
    buf.put_slice(name.as_str().as_bytes());
}

fn program(buf: &mut &[u8]) -> Result<Program, Malformed> {
    let mut part = || buf.try_get_u16().map_err(|_| Malformed);
    Ok(Program(part()?, part()?, part()?))
}

fn put_program(buf: &mut Vec<u8>, program: Program) {
    let Program(major, minor, patch) = program;
    [major, minor, patch].into_iter().for_each(|part| buf.put_u16(part));
}

/// Who says something to whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: Identity,
    /// For whom it is.
    pub to: Name,
    /// Counts what this start of the sender has sent to this receiver.
    pub number: u64,
}

impl Envelope {
    /// The datagram, without its MAC.
    pub fn around(&self, body: &[u8]) -> Vec<u8> {
        let mut buf = Vec::with_capacity(PAYLOAD_MOST);
        buf.put_slice(&MAGIC);
        buf.put_slice(&[self.from.wire.version, self.from.wire.oldest, 0]);
        let at = buf.len();
        put_name(&mut buf, &self.from.name);
        buf.put_u64(self.from.start);
        put_name(&mut buf, &self.to);
        buf.put_u64(self.number);
        put_program(&mut buf, self.from.program);
        buf.put_slice(ADDED);
        buf[at - 1] = (buf.len() - at) as u8;
        buf.put_slice(body);
        buf
    }

    /// Reads one, and what it is round.
    pub fn open(mut payload: &[u8]) -> Result<(Self, &[u8]), Malformed> {
        let buf = &mut payload;
        if [byte(buf)?, byte(buf)?] != MAGIC {
            return Err(Malformed);
        }
        let wire = Wire { version: byte(buf)?, oldest: byte(buf)? };
        let length = usize::from(byte(buf)?);
        let (mut head, body) = buf.split_at_checked(length).ok_or(Malformed)?;
        let head = &mut head;
        let from = name(head)?;
        let start = head.try_get_u64().map_err(|_| Malformed)?;
        let to = name(head)?;
        let number = head.try_get_u64().map_err(|_| Malformed)?;
        let program = program(head)?;
        Ok((Self { from: Identity { name: from, start, program, wire }, to, number }, body))
    }

    /// The room that is left for a body from this sender, whoever it is for.
    pub fn room(from: &Name) -> usize {
        let head = 1 + from.as_str().len() + 8 + 1 + crate::name::LONGEST + 8 + 6 + ADDED.len();
        PAYLOAD_MOST - 5 - head
    }
}

/// A member as one told another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Who.
    pub identity: Identity,
    /// How often that start has denied to be dead.
    pub incarnation: u16,
    /// What is believed.
    pub state: State,
    /// Whether it said itself that it goes.
    pub left: bool,
}

const LEFT: u8 = 4;

impl Record {
    fn put(&self, buf: &mut Vec<u8>) {
        let at = buf.len();
        let state = match self.state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        };
        buf.put_slice(&[0, state | if self.left { LEFT } else { 0 }]);
        buf.put_u16(self.incarnation);
        buf.put_u64(self.identity.start);
        put_name(buf, &self.identity.name);
        put_program(buf, self.identity.program);
        buf.put_slice(&[self.identity.wire.version, self.identity.wire.oldest]);
        buf.put_slice(ADDED);
        buf[at] = (buf.len() - at - 1) as u8;
    }

    fn take(buf: &mut &[u8]) -> Result<Self, Malformed> {
        let length = usize::from(byte(buf)?);
        let (mut record, rest) = buf.split_at_checked(length).ok_or(Malformed)?;
        *buf = rest;
        let record = &mut record;
        let flags = byte(record)?;
        let state = match flags & 3 {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            _ => return Err(Malformed),
        };
        let incarnation = record.try_get_u16().map_err(|_| Malformed)?;
        let start = record.try_get_u64().map_err(|_| Malformed)?;
        let name = name(record)?;
        let program = program(record)?;
        let wire = Wire { version: byte(record)?, oldest: byte(record)? };
        let identity = Identity { name, start, program, wire };
        Ok(Self { identity, incarnation, state, left: flags & LEFT != 0 })
    }
}

/// What kind of message it is, whom it is for, and what follows its head.
struct Head {
    kind: u8,
    number: u8,
    incarnation: u16,
    to: Identity,
    third: Option<Identity>,
}

const ANNOUNCE: u8 = 6;
const GOSSIP: u8 = 8;
const BROADCAST: u8 = 9;
const TURN_UNDEAD: u8 = 10;

impl Head {
    fn of(header: &Header<Identity>) -> Self {
        let (kind, number, third) = match &header.message {
            Message::Ping(number) => (0, *number, None),
            Message::Ack(number) => (1, *number, None),
            Message::PingReq { target, probe_number } => (2, *probe_number, Some(target)),
            Message::IndirectPing { origin, probe_number } => (3, *probe_number, Some(origin)),
            Message::IndirectAck { target, probe_number } => (4, *probe_number, Some(target)),
            Message::ForwardedAck { origin, probe_number } => (5, *probe_number, Some(origin)),
            Message::Announce => (ANNOUNCE, 0, None),
            Message::Feed => (7, 0, None),
            Message::Gossip => (GOSSIP, 0, None),
            Message::Broadcast => (BROADCAST, 0, None),
            Message::TurnUndead => (TURN_UNDEAD, 0, None),
        };
        let third = third.cloned();
        Self { kind, number, incarnation: header.src_incarnation, to: header.dst.clone(), third }
    }

    fn message(&self) -> Result<Message<Identity>, Malformed> {
        let (probe_number, third) = (self.number, self.third.clone());
        Ok(match (self.kind, third) {
            (0, None) => Message::Ping(probe_number),
            (1, None) => Message::Ack(probe_number),
            (2, Some(target)) => Message::PingReq { target, probe_number },
            (3, Some(origin)) => Message::IndirectPing { origin, probe_number },
            (4, Some(target)) => Message::IndirectAck { target, probe_number },
            (5, Some(origin)) => Message::ForwardedAck { origin, probe_number },
            (ANNOUNCE, None) => Message::Announce,
            (7, None) => Message::Feed,
            (GOSSIP, None) => Message::Gossip,
            (BROADCAST, None) => Message::Broadcast,
            (TURN_UNDEAD, None) => Message::TurnUndead,
            _ => return Err(Malformed),
        })
    }

    fn put(&self, buf: &mut Vec<u8>) {
        buf.put_slice(&[self.kind, self.number]);
        buf.put_u16(self.incarnation);
        for identity in std::iter::once(&self.to).chain(&self.third) {
            buf.put_u64(identity.start);
            put_name(buf, &identity.name);
        }
    }

    fn take(buf: &mut &[u8]) -> Result<Self, Malformed> {
        let (kind, number) = (byte(buf)?, byte(buf)?);
        let incarnation = buf.try_get_u16().map_err(|_| Malformed)?;
        let mut bare = || {
            let start = buf.try_get_u64().map_err(|_| Malformed)?;
            Ok(Identity::bare(name(buf)?, start))
        };
        let to = bare()?;
        let third = if (2..=5).contains(&kind) { Some(bare()?) } else { None };
        Ok(Self { kind, number, incarnation, to, third })
    }

    /// Whether records follow, and whether words do.
    fn carries(&self) -> (bool, bool) {
        let words = !matches!(self.kind, ANNOUNCE | TURN_UNDEAD);
        (words && self.kind != BROADCAST, words)
    }
}

/// A body that tells a member that it is suspected.
pub fn suspicion(suspect: &Identity, incarnation: u16, own_incarnation: u16) -> Vec<u8> {
    let head =
        Head { kind: GOSSIP, number: 0, incarnation: own_incarnation, to: suspect.clone(), third: None };
    let record = Record { identity: suspect.clone(), incarnation, state: State::Suspect, left: false };
    let mut body = Vec::with_capacity(96);
    head.put(&mut body);
    body.put_u16(1);
    record.put(&mut body);
    body
}

/// Whether a body is of a probe, or of its answer.
pub fn is_of_a_probe(body: &[u8]) -> bool {
    body.first().is_some_and(|kind| *kind <= 5)
}

/// Whether a datagram tells its receiver that it is taken for dead, or tells anybody of a death: for emulators that plant
/// flaws.
pub fn tells_of_a_death(payload: &[u8]) -> bool {
    let Ok((_, body)) = Envelope::open(payload) else { return false };
    let mut deaths = false;
    let sifted = sift(body, |record| {
        deaths |= record.state == State::Down;
        true
    });
    deaths || sifted.is_ok() && body.first() == Some(&TURN_UNDEAD)
}

/// A body whose records have been looked at.
#[derive(Debug)]
pub struct Sifted {
    /// For which start of the receiver it is.
    pub to: Identity,
    /// The body without what is not to be believed.
    pub body: Vec<u8>,
}

/// Goes through a body's records and leaves out those that `keep` refuses.
pub fn sift(mut body: &[u8], mut keep: impl FnMut(&Record) -> bool) -> Result<Sifted, Malformed> {
    let mut kept = Vec::with_capacity(body.len());
    let buf = &mut body;
    let head = Head::take(buf)?;
    head.message()?;
    head.put(&mut kept);
    let (records, words) = head.carries();
    if records && !buf.is_empty() {
        let count = buf.try_get_u16().map_err(|_| Malformed)?;
        let at = kept.len();
        kept.put_u16(0);
        let mut number = 0u16;
        for _ in 0..count {
            let record = Record::take(buf)?;
            if keep(&record) {
                record.put(&mut kept);
                number += 1;
            }
        }
        kept[at..at + 2].copy_from_slice(&number.to_be_bytes());
    }
    if words {
        kept.put_slice(buf);
    }
    Ok(Sifted { to: head.to, body: kept })
}

/// What the codec knows beside the message in hand.
#[derive(Debug, Default)]
pub struct Notes {
    /// Who has sent what is read now: the envelope says it, the body does not.
    pub sender: Option<Identity>,
    /// Starts that said themselves that they go.
    pub left: BTreeMap<Name, u64>,
    /// How often we have denied to be dead.
    pub incarnation: u16,
}

impl Notes {
    /// Whether this start said itself that it goes.
    pub fn has_left(&self, identity: &Identity) -> bool {
        self.left.get(&identity.name).is_some_and(|start| *start >= identity.start)
    }
}

/// Reads and writes messages for `foca`.
#[derive(Clone, Debug, Default)]
pub struct Scribe(pub Rc<RefCell<Notes>>);

impl Scribe {
    fn write(mut to: impl BufMut, bytes: &[u8]) -> Result<(), Malformed> {
        if to.remaining_mut() < bytes.len() {
            return Err(Malformed);
        }
        to.put_slice(bytes);
        Ok(())
    }

    /// The whole of a buffer as one slice: `foca` reads from slices alone.
    fn read<T>(
        mut from: impl Buf,
        take: impl FnOnce(&mut &[u8]) -> Result<T, Malformed>,
    ) -> Result<T, Malformed> {
        let mut rest = from.chunk();
        let before = rest.len();
        let taken = take(&mut rest)?;
        let used = before - rest.len();
        from.advance(used);
        Ok(taken)
    }
}

impl Codec<Identity> for Scribe {
    type Error = Malformed;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), Malformed> {
        self.0.borrow_mut().incarnation = header.src_incarnation;
        let mut bytes = Vec::with_capacity(64);
        Head::of(header).put(&mut bytes);
        Self::write(buf, &bytes)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, Malformed> {
        let head = Self::read(buf, Head::take)?;
        let src = self.0.borrow().sender.clone().ok_or(Malformed)?;
        let message = head.message()?;
        Ok(Header { src, src_incarnation: head.incarnation, dst: head.to, message })
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), Malformed> {
        let identity = member.id().clone();
        let left = member.state() == State::Down && self.0.borrow().has_left(&identity);
        let record = Record { identity, incarnation: member.incarnation(), state: member.state(), left };
        let mut bytes = Vec::with_capacity(64);
        record.put(&mut bytes);
        Self::write(buf, &bytes)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, Malformed> {
        let record = Self::read(buf, Record::take)?;
        Ok(Member::new(record.identity, record.incarnation, record.state))
    }
}
