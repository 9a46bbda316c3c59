//! The frames of a connection: numbered, each with its MAC.
//!
//! ```text
//! frame: kind, number of the last frame received, topic, body, MAC over the frame's number and all of that
//! ```
//!
//! Each direction has a key of its own, which the [`crate::handshake`] derives: a frame that is missing, repeated,
//! reordered or reflected is found at once.

use crate::secret_key::SecretKey;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use maplehook_cluster::MAC_BYTES;
use thiserror::Error;

/// The length of the longest body of a message, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// The length of the longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 64;
/// What a frame has beside its body, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 1 + 8 + 1 + MAC_BYTES;

// Kinds of frames.
const HEARTBEAT: u8 = 0;
const MESSAGE: u8 = 1;

/// Why what a peer sends on a connection is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The bytes are no frame or handshake message of this protocol.
    #[error("not of the form of a frame")]
    Malformed,
    /// The MAC is wrong: the peer has another secret, or a frame is missing, repeated or changed.
    #[error("its MAC is wrong: another secret, or a frame missing or changed")]
    Forged,
    /// The peer is not the expected one, or wants another balancer.
    #[error("meant for, or come from, somebody else")]
    Misaddressed,
    /// The peer speaks no version that this program speaks.
    #[error("it speaks no version that we speak")]
    Version,
    /// The peer is of an earlier generation than one that is known.
    #[error("of an earlier start")]
    EarlierGeneration,
}

/// A message of some topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The topic, by which the receiver knows who handles the message.
    pub topic: u8,
    /// The content, in the form of its topic.
    pub body: Bytes,
}

/// A frame: a message or a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The number of the last frame that the sender has received from the other side.
    pub acknowledged: u64,
    /// The message, or `None` in a heartbeat.
    pub message: Option<Message>,
}

/// Writes or reads the frames of one direction of a connection.
#[derive(Debug)]
pub struct FrameCodec {
    key: SecretKey,
    number: u64,
}

impl FrameCodec {
    /// Returns the codec of a direction with this key.
    pub(crate) fn new(key: SecretKey) -> Self {
        Self { key, number: 0 }
    }

    /// Returns the number of the last frame, which counts all frames.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the next frame as bytes.
    pub fn encode(&mut self, frame: &Frame) -> Bytes {
        let body_bytes = frame.message.as_ref().map_or(0, |message| message.body.len());
        let mut buf = BytesMut::with_capacity(body_bytes + FRAME_OVERHEAD_BYTES);
        buf.put_u8(if frame.message.is_some() { MESSAGE } else { HEARTBEAT });
        buf.put_u64(frame.acknowledged);
        if let Some(message) = &frame.message {
            buf.put_u8(message.topic);
            buf.put_slice(&message.body);
        }
        self.number += 1;
        let mac = self.key.sign(&[&self.number.to_be_bytes(), &buf]);
        buf.put_slice(&mac);
        buf.freeze()
    }

    /// Verifies and reads the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the MAC is wrong or the bytes are no frame of this protocol.
    pub fn decode(&mut self, bytes: &Bytes) -> Result<Frame, ProtocolError> {
        let length = bytes.len().checked_sub(MAC_BYTES).ok_or(ProtocolError::Malformed)?;
        let (text, mac) = bytes.split_at(length);
        let number = self.number + 1;
        if !self.key.verify(&[&number.to_be_bytes(), text], mac) {
            return Err(ProtocolError::Forged);
        }
        self.number = number;
        let mut rest = bytes.slice(..length);
        let kind = rest.try_get_u8().map_err(|_| ProtocolError::Malformed)?;
        let acknowledged = rest.try_get_u64().map_err(|_| ProtocolError::Malformed)?;
        let message = match kind {
            MESSAGE => {
                let topic = rest.try_get_u8().map_err(|_| ProtocolError::Malformed)?;
                Some(Message { topic, body: rest })
            }
            // A kind that a later version may add is ignored.
            _ => None,
        };
        Ok(Frame { acknowledged, message })
    }
}

#[cfg(test)]
mod tests;
