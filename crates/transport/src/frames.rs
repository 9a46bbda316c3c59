//! What passes on a connection: a greeting each way, a proof each way, then numbered frames, each with its MAC.
//!
//! ```text
//! dialer   "mhl" version oldest, name, start, for whom, 16 drawn bytes                 ->
//!       <- the same of the other side, and its proof: a MAC over both greetings
//! dialer   its proof                                                                  ->
//! then     kind, what was heard last, topic, body, MAC over the frame's number and it <->
//! ```
//!
//! Keys are made of both sides' drawn bytes, one for each direction: what was recorded on one connection says nothing
//! on another, and a frame that is missing, repeated, reordered or turned back is found at once.

use crate::secret::Secret;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use maplehook_cluster::{MAC, Name, WIRE, Wire};
use std::fmt;

/// The longest greeting or proof.
pub const GREETING_MOST: usize = 160;
/// The longest body of a message.
pub const BODY_MOST: usize = 4 << 20;
/// The longest frame.
pub const FRAME_MOST: usize = BODY_MOST + 64;
const MAGIC: &[u8; 3] = b"mhl";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// What came has not the form of it.
    Malformed,
    /// Its MAC is wrong: another secret, or a frame that is missing, repeated or changed.
    Forged,
    /// The other side is not whom it should be, or is meant for somebody else.
    Misaddressed,
    /// It speaks no version that we do.
    Version,
    /// It is of an earlier start than one that is known.
    EarlierStart,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not of the form of a frame",
            Self::Forged => "its MAC is wrong: another secret, or a frame missing or changed",
            Self::Misaddressed => "meant for, or come from, somebody else",
            Self::Version => "it speaks no version that we speak",
            Self::EarlierStart => "of an earlier start",
        })
    }
}

impl std::error::Error for Broken {}

/// Who is at one end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Its name.
    pub name: Name,
    /// Its start.
    pub start: u64,
    /// Whom it wants.
    pub to: Name,
    /// What it speaks.
    pub wire: Wire,
    /// Drawn.
    pub nonce: [u8; 16],
}

impl Greeting {
    /// From a start of a name to another.
    pub fn new(name: Name, start: u64, to: Name, nonce: [u8; 16]) -> Self {
        Self { name, start, to, wire: WIRE, nonce }
    }

    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(GREETING_MOST);
        buf.put_slice(MAGIC);
        buf.put_slice(&[self.wire.version, self.wire.oldest]);
        for name in [&self.name, &self.to] {
            buf.put_u8(name.as_str().len() as u8);
            buf.put_slice(name.as_str().as_bytes());
        }
        buf.put_u64(self.start);
        buf.put_slice(&self.nonce);
        buf
    }

    /// Reads one; what later versions may have added is passed over.
    pub fn read(mut buf: &[u8]) -> Result<Self, Broken> {
        let magic = buf.get(..3).ok_or(Broken::Malformed)?;
        if magic != MAGIC {
            return Err(Broken::Malformed);
        }
        buf.advance(3);
        let mut byte = || buf.try_get_u8().map_err(|_| Broken::Malformed);
        let wire = Wire { version: byte()?, oldest: byte()? };
        let name = name(&mut buf)?;
        let to = self::name(&mut buf)?;
        let start = buf.try_get_u64().map_err(|_| Broken::Malformed)?;
        let nonce = buf.get(..16).and_then(|nonce| nonce.try_into().ok()).ok_or(Broken::Malformed)?;
        Ok(Self { name, start, to, wire, nonce })
    }

    /// Whether its sender may speak with us: it means us, speaks a version of ours, and no later start is known.
    pub fn fits(&self, us: &Name, known: Option<u64>) -> Result<(), Broken> {
        if self.to != *us || self.name == *us {
            return Err(Broken::Misaddressed);
        }
        WIRE.meets(self.wire).map_err(|_| Broken::Version)?;
        if known.is_some_and(|known| known > self.start) {
            return Err(Broken::EarlierStart);
        }
        Ok(())
    }
}

fn name(buf: &mut &[u8]) -> Result<Name, Broken> {
    let length = usize::from(buf.try_get_u8().map_err(|_| Broken::Malformed)?);
    let text = buf.get(..length).and_then(|text| std::str::from_utf8(text).ok());
    let name = text.and_then(Name::new).ok_or(Broken::Malformed)?;
    buf.advance(length);
    Ok(name)
}

/// Which end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one that called.
    Dialer,
    /// The one that was called.
    Listener,
}

impl Side {
    fn word(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Listener => b"listener",
        }
    }
}

/// What both greetings come to.
#[derive(Clone, Debug)]
pub struct Agreed {
    secret: Secret,
    dialer: Vec<u8>,
    listener: Vec<u8>,
}

impl Agreed {
    /// Under the tier's secret.
    pub fn new(secret: &Secret, dialer: &Greeting, listener: &Greeting) -> Self {
        let (dialer, listener) = (dialer.bytes(), listener.bytes());
        Self { secret: secret.derive(&[b"maplehook link 1"]), dialer, listener }
    }

    fn parts<'a>(&'a self, what: &'a [u8], side: Side) -> [&'a [u8]; 4] {
        [what, side.word(), &self.dialer, &self.listener]
    }

    /// What shows that a side has the secret.
    pub fn proof(&self, side: Side) -> [u8; MAC] {
        self.secret.sign(&self.parts(b"proof", side))
    }

    /// Whether it does.
    pub fn proves(&self, side: Side, proof: &[u8]) -> Result<(), Broken> {
        let right = self.secret.verifies(&self.parts(b"proof", side), proof);
        if right { Ok(()) } else { Err(Broken::Forged) }
    }

    /// The frames that a side sends.
    pub fn frames(&self, side: Side) -> Frames {
        Frames { key: self.secret.derive(&self.parts(b"frames", side)), number: 0 }
    }
}

/// A message, of one of several kinds of talk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Which kind.
    pub topic: u8,
    /// What.
    pub body: Bytes,
}

/// A frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The number of the last frame that its sender has had from the other side.
    pub heard: u64,
    /// Nothing, in a heartbeat.
    pub message: Option<Message>,
}

const BEAT: u8 = 0;
const MESSAGE: u8 = 1;

/// One direction of a connection.
#[derive(Debug)]
pub struct Frames {
    key: Secret,
    number: u64,
}

impl Frames {
    /// How many have passed.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The next one, as bytes.
    pub fn seal(&mut self, frame: &Frame) -> Bytes {
        let body = frame.message.as_ref().map_or(0, |message| message.body.len());
        let mut buf = BytesMut::with_capacity(body + 26);
        buf.put_u8(if frame.message.is_some() { MESSAGE } else { BEAT });
        buf.put_u64(frame.heard);
        if let Some(message) = &frame.message {
            buf.put_u8(message.topic);
            buf.put_slice(&message.body);
        }
        self.number += 1;
        let mac = self.key.sign(&[&self.number.to_be_bytes(), &buf]);
        buf.put_slice(&mac);
        buf.freeze()
    }

    /// Reads the next one.
    pub fn open(&mut self, bytes: &Bytes) -> Result<Frame, Broken> {
        let length = bytes.len().checked_sub(MAC).ok_or(Broken::Malformed)?;
        let (text, mac) = bytes.split_at(length);
        let number = self.number + 1;
        if !self.key.verifies(&[&number.to_be_bytes(), text], mac) {
            return Err(Broken::Forged);
        }
        self.number = number;
        let mut rest = bytes.slice(..length);
        let kind = rest.try_get_u8().map_err(|_| Broken::Malformed)?;
        let heard = rest.try_get_u64().map_err(|_| Broken::Malformed)?;
        let message = match kind {
            MESSAGE => {
                let topic = rest.try_get_u8().map_err(|_| Broken::Malformed)?;
                Some(Message { topic, body: rest })
            }
            // A kind that a later version may add says nothing to us.
            _ => None,
        };
        Ok(Frame { heard, message })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn agreed(secret: &[u8], nonce: u8) -> Agreed {
        let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
        let dialer = Greeting::new(a.clone(), 1, b.clone(), [nonce; 16]);
        let listener = Greeting::new(b, 2, a, [9; 16]);
        Agreed::new(&Secret::new(secret).unwrap(), &dialer, &listener)
    }

    const SECRET: &[u8] = b"the secret of the tier";

    fn message(text: &'static str) -> Frame {
        Frame { heard: 3, message: Some(Message { topic: 7, body: text.into() }) }
    }

    #[test]
    fn a_proof_is_one_sides_and_one_connections() {
        let one = agreed(SECRET, 1);
        assert!(one.proves(Side::Dialer, &one.proof(Side::Dialer)).is_ok());
        assert!(one.proves(Side::Listener, &one.proof(Side::Dialer)).is_err(), "turned back");
        assert!(agreed(SECRET, 2).proves(Side::Dialer, &one.proof(Side::Dialer)).is_err(), "recorded");
        assert!(agreed(b"another secret, longer", 1).proves(Side::Dialer, &one.proof(Side::Dialer)).is_err());
    }

    #[test]
    fn frames_pass_in_order_once_and_on_their_own_connection() {
        let agreed = agreed(SECRET, 1);
        let (mut out, mut into) = (agreed.frames(Side::Dialer), agreed.frames(Side::Dialer));
        let sealed: Vec<Bytes> = ["one", "two", "three"].map(|text| out.seal(&message(text))).into();
        assert_eq!(into.open(&sealed[0]), Ok(message("one")));
        assert_eq!(into.open(&sealed[0]), Err(Broken::Forged), "repeated");
        assert_eq!(into.open(&sealed[2]), Err(Broken::Forged), "one is missing");
        assert_eq!(into.open(&sealed[1]), Ok(message("two")));
        let mut other = super::tests::agreed(SECRET, 2).frames(Side::Dialer);
        assert_eq!(other.open(&sealed[0]), Err(Broken::Forged), "another connection's");
        let mut back = agreed.frames(Side::Listener);
        assert_eq!(back.open(&sealed[0]), Err(Broken::Forged), "turned back");
    }

    #[test]
    fn whoever_does_not_fit_is_told_apart() {
        let (a, b, c) = (Name::new("a").unwrap(), Name::new("b").unwrap(), Name::new("c").unwrap());
        let greeting = Greeting::new(a.clone(), 5, b.clone(), [0; 16]);
        assert_eq!(greeting.fits(&b, Some(5)), Ok(()));
        assert_eq!(greeting.fits(&b, Some(6)), Err(Broken::EarlierStart));
        assert_eq!(greeting.fits(&c, None), Err(Broken::Misaddressed));
        assert_eq!(Greeting::new(b.clone(), 5, b.clone(), [0; 16]).fits(&b, None), Err(Broken::Misaddressed));
        let newer = Greeting { wire: Wire { version: 9, oldest: 8 }, ..greeting.clone() };
        assert_eq!(newer.fits(&b, None), Err(Broken::Version));
        let side_by_side = Greeting { wire: Wire { version: 9, oldest: 1 }, ..greeting };
        assert_eq!(side_by_side.fits(&b, None), Ok(()));
    }

    proptest! {
        /// Random and changed bytes are errors, never a panic, and never a message.
        #[test]
        fn garbage_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..200), at in any::<u16>(), with in any::<u8>()) {
            let _ = Greeting::read(&bytes);
            let agreed = agreed(SECRET, 1);
            prop_assert!(agreed.frames(Side::Dialer).open(&bytes.clone().into()).is_err());
            let mut sealed = agreed.frames(Side::Dialer).seal(&message("text")).to_vec();
            let at = usize::from(at) % sealed.len();
            if sealed[at] != with {
                sealed[at] = with;
                prop_assert_eq!(agreed.frames(Side::Dialer).open(&sealed.into()), Err(Broken::Forged));
            }
            let greeting = Greeting::new(Name::new("a").unwrap(), 5, Name::new("b").unwrap(), [3; 16]);
            let mut longer = greeting.bytes();
            prop_assert_eq!(Greeting::read(&longer), Ok(greeting.clone()));
            longer.extend_from_slice(&bytes);
            prop_assert_eq!(Greeting::read(&longer), Ok(greeting.clone()));
            let short = greeting.bytes();
            prop_assert!(Greeting::read(&short[..usize::from(with) % short.len()]).is_err());
        }
    }
}
