//! What stands in a datagram's payload.
//!
//! ```text
//! "ms"  version  oldest  kind  then
//! figures: entries of teller, start, topic, subject, stamp, age, two values
//! digests: whether they answer others; entries of teller, start, hash
//! asks, grants: from, start, to, start; entries of kind, subject, number, two amounts
//! ```
//!
//! Each entry has its length before it, so that later versions can add fields; one of a topic or kind that is not known is
//! passed over. Numbers are big-endian. The payload is [`PAYLOAD_MOST`] bytes at most: 256 less a MAC of 16.

use crate::told::{Digest, Figure, Topic};
use crate::{Ask, Grant, Key, Kind, Member};
use bytes::{Buf, BufMut};
use std::fmt;

/// The most bytes of a payload.
pub const PAYLOAD_MOST: usize = 240;
/// This program's version.
pub const VERSION: u8 = 1;
/// The oldest version that can read it.
pub const OLDEST: u8 = 1;
const MAGIC: [u8; 2] = *b"ms";

/// Why a payload is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is not of this form.
    Malformed,
    /// Its sender's program is too new to be understood.
    TooNew,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not of the form of a message",
            Self::TooNew => "from a program that is too new",
        })
    }
}

impl std::error::Error for Refused {}

impl From<bytes::TryGetError> for Refused {
    fn from(_: bytes::TryGetError) -> Self {
        Self::Malformed
    }
}

/// What one balancer says to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Figures, of whoever told them.
    Figures(Vec<(Member, Figure)>),
    /// What is known in short; `true`: in answer to digests, and to be answered with figures alone.
    Digests(bool, Vec<Digest>),
    /// Asks from one to one.
    Asks(Vec<Ask>),
    /// Answers from one to one.
    Grants(Vec<Grant>),
}

fn put_member(buf: &mut Vec<u8>, member: Member) {
    buf.put_u64(member.id);
    buf.put_u64(member.start);
}

fn member(buf: &mut &[u8]) -> Result<Member, Refused> {
    Ok(Member { id: buf.try_get_u64()?, start: buf.try_get_u64()? })
}

fn put_lease(buf: &mut Vec<u8>, key: Key, number: u64, amounts: [u32; 2]) {
    buf.put_u8(key.kind as u8);
    buf.put_u64(key.subject);
    buf.put_u64(number);
    amounts.into_iter().for_each(|amount| buf.put_u32(amount));
}

/// Of what, which number, how much.
type Lease = (Key, u64, [u32; 2]);

/// An entry of asks or grants; `None`: of a kind of promise that is not known.
fn lease(buf: &mut &[u8]) -> Result<Option<Lease>, Refused> {
    let kind = [Kind::Tenant, Kind::Room, Kind::Cold].get(usize::from(buf.try_get_u8()?)).copied();
    let (subject, number) = (buf.try_get_u64()?, buf.try_get_u64()?);
    let amounts = [buf.try_get_u32()?, buf.try_get_u32()?];
    Ok(kind.map(|kind| (Key { kind, subject }, number, amounts)))
}

fn figure(buf: &mut &[u8]) -> Result<Option<(Member, Figure)>, Refused> {
    let teller = member(buf)?;
    let topic = Topic::read(buf.try_get_u8()?);
    let (subject, stamp) = (buf.try_get_u64()?, buf.try_get_u64()?);
    let age = buf.try_get_u32()?;
    let values = [buf.try_get_u32()?, buf.try_get_u32()?];
    Ok(topic.map(|topic| (teller, Figure { topic, subject, stamp, age, values })))
}

/// Entries in as many payloads as it takes, each with this head.
fn pack<T>(head: &[u8], entries: &[T], put: impl Fn(&mut Vec<u8>, &T)) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for entry in entries {
        let mut bytes = vec![0];
        put(&mut bytes, entry);
        bytes[0] = (bytes.len() - 1) as u8;
        match payloads.last_mut() {
            Some(last) if last.len() + bytes.len() <= PAYLOAD_MOST => last.extend_from_slice(&bytes),
            _ => payloads.push([head, bytes.as_slice()].concat()),
        }
    }
    payloads
}

fn unpack<T>(
    mut rest: &[u8],
    read: impl Fn(&mut &[u8]) -> Result<Option<T>, Refused>,
) -> Result<Vec<T>, Refused> {
    let mut all = Vec::new();
    while rest.has_remaining() {
        let length = usize::from(rest.try_get_u8()?);
        let (mut entry, after) = rest.split_at_checked(length).ok_or(Refused::Malformed)?;
        rest = after;
        all.extend(read(&mut entry)?);
    }
    Ok(all)
}

impl Message {
    /// As payloads. Asks and grants are all from the first one's sender to its receiver.
    pub fn payloads(&self) -> Vec<Vec<u8>> {
        let head = |kind: u8, ends: Option<(Member, Member)>| {
            let mut head = Vec::with_capacity(PAYLOAD_MOST);
            head.put_slice(&MAGIC);
            head.put_slice(&[VERSION, OLDEST, kind]);
            for end in ends.into_iter().flat_map(|(from, to)| [from, to]) {
                put_member(&mut head, end);
            }
            head
        };
        match self {
            Self::Figures(figures) => pack(&head(0, None), figures, |buf, (teller, figure)| {
                put_member(buf, *teller);
                buf.put_u8(figure.topic as u8);
                buf.put_u64(figure.subject);
                buf.put_u64(figure.stamp);
                buf.put_u32(figure.age);
                figure.values.into_iter().for_each(|value| buf.put_u32(value));
            }),
            Self::Digests(answer, digests) => {
                let kind = if *answer { 2 } else { 1 };
                pack(&head(kind, None), digests, |buf, digest| {
                    put_member(buf, digest.teller);
                    buf.put_u64(digest.hash);
                })
            }
            Self::Asks(asks) => {
                let ends = asks.first().map(|ask| (ask.from, ask.to));
                pack(&head(3, ends), asks, |buf, ask| {
                    put_lease(buf, ask.key, ask.number, [ask.want, ask.held]);
                })
            }
            Self::Grants(grants) => {
                let ends = grants.first().map(|grant| (grant.from, grant.to));
                pack(&head(4, ends), grants, |buf, grant| {
                    put_lease(buf, grant.key, grant.number, [grant.amount, grant.offer]);
                })
            }
        }
    }

    /// Reads a payload.
    pub fn read(mut payload: &[u8]) -> Result<Self, Refused> {
        let buf = &mut payload;
        if buf.len() > PAYLOAD_MOST || [buf.try_get_u8()?, buf.try_get_u8()?] != MAGIC {
            return Err(Refused::Malformed);
        }
        let (_, oldest, kind) = (buf.try_get_u8()?, buf.try_get_u8()?, buf.try_get_u8()?);
        if oldest > VERSION {
            return Err(Refused::TooNew);
        }
        match kind {
            0 => Ok(Self::Figures(unpack(buf, figure)?)),
            1 | 2 => {
                let read =
                    |buf: &mut &[u8]| Ok(Some(Digest { teller: member(buf)?, hash: buf.try_get_u64()? }));
                Ok(Self::Digests(kind == 2, unpack(buf, read)?))
            }
            3 | 4 => {
                let (from, to) = (member(buf)?, member(buf)?);
                let entries = unpack(buf, lease)?.into_iter();
                Ok(if kind == 3 {
                    let ask = |(key, number, [want, held]): Lease| Ask { from, to, key, number, want, held };
                    Self::Asks(entries.map(ask).collect())
                } else {
                    let grant = |(key, number, [amount, offer]): Lease| Grant {
                        from,
                        to,
                        key,
                        number,
                        amount,
                        offer,
                    };
                    Self::Grants(entries.map(grant).collect())
                })
            }
            _ => Err(Refused::Malformed),
        }
    }
}
