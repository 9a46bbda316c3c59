//! The handshake of a connection: a hello each way, then a proof each way.
//!
//! ```text
//! dialer   "mhl" version oldest, name, receiver's name, generation, 16 random bytes  ->
//!       <- the same of the listener, and its proof: a MAC over both hellos
//! dialer   its proof                                                                 ->
//! ```
//!
//! The keys of the frames that follow are derived from both hellos: what was recorded on one connection is worth nothing
//! on another.

use crate::frames::{FrameCodec, ProtocolError};
use crate::secret_key::SecretKey;
use bytes::{Buf, BufMut};
use maplehook_cluster::{MAC_BYTES, Name, WIRE_VERSIONS, WireVersions};

/// The length of the longest hello or proof, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 160;
const MAGIC: &[u8; 3] = b"mhl";
const NONCE_BYTES: usize = 16;

/// The random bytes of a hello.
pub type Nonce = [u8; NONCE_BYTES];

/// The first message of each side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The sender's name.
    pub name: Name,
    /// The sender's generation.
    pub generation: u64,
    /// The balancer that the sender wants.
    pub to: Name,
    /// The wire versions that the sender speaks.
    pub wire: WireVersions,
    /// Random bytes, which make the connection's keys unique.
    pub nonce: Nonce,
}

impl Hello {
    /// Returns a hello of this program.
    pub fn new(name: Name, generation: u64, to: Name, nonce: Nonce) -> Self {
        Self { name, generation, to, wire: WIRE_VERSIONS, nonce }
    }

    /// Returns the wire form.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(MAX_HANDSHAKE_BYTES);
        buf.put_slice(MAGIC);
        buf.put_slice(&[self.wire.version, self.wire.oldest]);
        for name in [&self.name, &self.to] {
            buf.put_u8(name.as_str().len() as u8);
            buf.put_slice(name.as_str().as_bytes());
        }
        buf.put_u64(self.generation);
        buf.put_slice(&self.nonce);
        buf
    }

    /// Reads the wire form; what later versions may have added is skipped.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no hello of this protocol.
    pub fn decode(mut buf: &[u8]) -> Result<Self, ProtocolError> {
        let magic = buf.get(..MAGIC.len()).ok_or(ProtocolError::Malformed)?;
        if magic != MAGIC {
            return Err(ProtocolError::Malformed);
        }
        buf.advance(MAGIC.len());
        let mut byte = || buf.try_get_u8().map_err(|_| ProtocolError::Malformed);
        let wire = WireVersions { version: byte()?, oldest: byte()? };
        let name = read_name(&mut buf)?;
        let to = read_name(&mut buf)?;
        let generation = buf.try_get_u64().map_err(|_| ProtocolError::Malformed)?;
        let nonce = buf.get(..NONCE_BYTES).and_then(|nonce| nonce.try_into().ok());
        Ok(Self { name, generation, to, wire, nonce: nonce.ok_or(ProtocolError::Malformed)? })
    }

    /// Checks that the sender wants this balancer, speaks a version of this program, and is of no earlier generation
    /// than the known one.
    ///
    /// # Errors
    ///
    /// Tells which of these does not hold.
    pub fn validate(&self, own_name: &Name, known_generation: Option<u64>) -> Result<(), ProtocolError> {
        if self.to != *own_name || self.name == *own_name {
            return Err(ProtocolError::Misaddressed);
        }
        WIRE_VERSIONS.check_compatible(self.wire).map_err(|_| ProtocolError::Version)?;
        if known_generation.is_some_and(|known| known > self.generation) {
            return Err(ProtocolError::EarlierGeneration);
        }
        Ok(())
    }
}

fn read_name(buf: &mut &[u8]) -> Result<Name, ProtocolError> {
    let length = usize::from(buf.try_get_u8().map_err(|_| ProtocolError::Malformed)?);
    let text = buf.get(..length).and_then(|text| std::str::from_utf8(text).ok());
    let name = text.and_then(Name::new).ok_or(ProtocolError::Malformed)?;
    buf.advance(length);
    Ok(name)
}

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that has dialed.
    Dialer,
    /// The end that has accepted.
    Listener,
}

impl Side {
    /// Returns the other end.
    pub fn peer(self) -> Self {
        match self {
            Self::Dialer => Self::Listener,
            Self::Listener => Self::Dialer,
        }
    }

    /// Returns what stands for the side in a MAC.
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Listener => b"listener",
        }
    }
}

/// The transcript of a handshake, from which proofs and keys are derived.
#[derive(Clone, Debug)]
pub struct Handshake {
    key: SecretKey,
    dialer: Vec<u8>,
    listener: Vec<u8>,
}

impl Handshake {
    /// Returns the handshake of these hellos under a cluster's secret.
    pub fn new(secret: &SecretKey, dialer: &Hello, listener: &Hello) -> Self {
        let (dialer, listener) = (dialer.encode(), listener.encode());
        Self { key: secret.derive(&[b"maplehook link 1"]), dialer, listener }
    }

    fn parts<'a>(&'a self, purpose: &'a [u8], side: Side) -> [&'a [u8]; 4] {
        [purpose, side.label(), &self.dialer, &self.listener]
    }

    /// Returns the proof that a side has the secret.
    pub fn proof(&self, side: Side) -> [u8; MAC_BYTES] {
        self.key.sign(&self.parts(b"proof", side))
    }

    /// Verifies the proof of a side.
    ///
    /// # Errors
    ///
    /// Fails if the side has another secret, or the proof is of another handshake.
    pub fn verify_proof(&self, side: Side, proof: &[u8]) -> Result<(), ProtocolError> {
        let is_valid = self.key.verify(&self.parts(b"proof", side), proof);
        if is_valid { Ok(()) } else { Err(ProtocolError::Forged) }
    }

    /// Returns the codec of the frames that a side sends.
    pub fn frame_codec(&self, side: Side) -> FrameCodec {
        FrameCodec::new(self.key.derive(&self.parts(b"frames", side)))
    }
}
