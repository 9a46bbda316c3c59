//! One connection: the handshake, then frames both ways until one side is silent for too long.

use crate::frames::{Frame, FrameCodec, MAX_FRAME_BYTES, Message, ProtocolError};
use crate::handshake::{Handshake, Hello, MAX_HANDSHAKE_BYTES, Nonce, Side};
use crate::secret_key::SecretKey;
use crate::send_queue::SendQueue;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use maplehook_cluster::Name;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// How long the handshake may take, with the time to connect.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a side with nothing else to send sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A side that is silent for this long, or that has acknowledged nothing for this long, counts as dead.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a connection was not made, or has ended.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// Reading, writing or connecting failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The handshake took too long, or the peer was silent or acknowledged nothing for too long.
    #[error("silent, or deaf, for too long")]
    TimedOut,
    /// The peer violated the protocol.
    #[error("{0}")]
    Protocol(#[from] ProtocolError),
    /// The peer closed the connection.
    #[error("closed by the other side")]
    Closed,
}

/// Who this node is to its peers.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The cluster's secret.
    pub secret: SecretKey,
    /// The node's name.
    pub name: Name,
    /// The node's generation.
    pub generation: u64,
}

impl LocalNode {
    fn hello(&self, to: &Name) -> io::Result<Hello> {
        let mut nonce = Nonce::default();
        getrandom::fill(&mut nonce).map_err(io::Error::other)?;
        Ok(Hello::new(self.name.clone(), self.generation, to.clone(), nonce))
    }
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// A connection on which both sides have proved who they are.
pub struct Connection {
    /// The peer's name.
    pub name: Name,
    /// The peer's generation.
    pub generation: u64,
    reader: Reader,
    writer: Writer,
    incoming: FrameCodec,
    outgoing: FrameCodec,
}

fn split(stream: TcpStream) -> (Reader, Writer) {
    // Without the option messages are slower and none is lost.
    let _ = stream.set_nodelay(true);
    // Nothing long is read until the peer has proved who it is.
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_BYTES).new_codec();
    let (read, write) = stream.into_split();
    (FramedRead::new(read, codec.clone()), FramedWrite::new(write, codec))
}

async fn read_frame(reader: &mut Reader) -> Result<Bytes, ConnectionError> {
    match reader.next().await {
        Some(Ok(frame)) => Ok(frame.freeze()),
        Some(Err(e)) if e.kind() == io::ErrorKind::InvalidData => Err(ProtocolError::Malformed.into()),
        Some(Err(e)) => Err(e.into()),
        None => Err(ConnectionError::Closed),
    }
}

/// Connects to a peer, of which a generation may be known, and does the handshake.
///
/// # Errors
///
/// Fails if the peer can't be reached, is not the expected one, or violates the protocol.
pub async fn dial(
    local: &LocalNode,
    to: &Name,
    address: SocketAddr,
    known_generation: Option<u64>,
) -> Result<Connection, ConnectionError> {
    let handshake = timeout(HANDSHAKE_TIMEOUT, async {
        let (mut reader, mut writer) = split(TcpStream::connect(address).await?);
        let ours = local.hello(to)?;
        writer.send(Bytes::from(ours.encode())).await?;
        let theirs = Hello::decode(&read_frame(&mut reader).await?)?;
        theirs.validate(&local.name, known_generation)?;
        if theirs.name != *to {
            return Err(ProtocolError::Misaddressed.into());
        }
        let handshake = Handshake::new(&local.secret, &ours, &theirs);
        handshake.verify_proof(Side::Listener, &read_frame(&mut reader).await?)?;
        writer.send(Bytes::copy_from_slice(&handshake.proof(Side::Dialer))).await?;
        Ok(Connection::new(theirs, &handshake, Side::Dialer, reader, writer))
    });
    handshake.await.unwrap_or(Err(ConnectionError::TimedOut))
}

/// Does the handshake with a peer that has connected. `known_generation` returns the latest known generation of a name,
/// and `is_configured` whether it is a peer.
///
/// # Errors
///
/// Fails if the caller is no configured peer, or violates the protocol.
pub async fn accept(
    local: &LocalNode,
    stream: TcpStream,
    known_generation: impl Fn(&Name) -> Option<u64>,
    is_configured: impl Fn(&Name) -> bool,
) -> Result<Connection, ConnectionError> {
    let handshake = timeout(HANDSHAKE_TIMEOUT, async {
        let (mut reader, mut writer) = split(stream);
        let theirs = Hello::decode(&read_frame(&mut reader).await?)?;
        theirs.validate(&local.name, known_generation(&theirs.name))?;
        if !is_configured(&theirs.name) {
            return Err(ProtocolError::Misaddressed.into());
        }
        let ours = local.hello(&theirs.name)?;
        let handshake = Handshake::new(&local.secret, &theirs, &ours);
        writer.send(Bytes::from(ours.encode())).await?;
        writer.send(Bytes::copy_from_slice(&handshake.proof(Side::Listener))).await?;
        handshake.verify_proof(Side::Dialer, &read_frame(&mut reader).await?)?;
        Ok(Connection::new(theirs, &handshake, Side::Listener, reader, writer))
    });
    handshake.await.unwrap_or(Err(ConnectionError::TimedOut))
}

/// The numbers of the frames that have arrived at one side or the other.
#[derive(Default)]
struct Acknowledgements {
    /// The number of the last frame that has arrived here.
    received: Cell<u64>,
    /// The number of the last frame of ours that the peer has acknowledged.
    by_peer: Cell<u64>,
}

impl Connection {
    fn new(
        theirs: Hello,
        handshake: &Handshake,
        local_side: Side,
        mut reader: Reader,
        mut writer: Writer,
    ) -> Self {
        reader.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
        writer.encoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
        let incoming = handshake.frame_codec(local_side.peer());
        let outgoing = handshake.frame_codec(local_side);
        Self { name: theirs.name, generation: theirs.generation, reader, writer, incoming, outgoing }
    }

    /// Sends what is in the queue, and passes on what arrives, until the connection ends.
    pub async fn run(self, queue: SendQueue, incoming: mpsc::Sender<(Name, Message)>) -> ConnectionError {
        let Self { name, reader, writer, incoming: decoder, outgoing: encoder, .. } = self;
        let acknowledgements = Acknowledgements::default();
        tokio::select! {
            error = receive(name, reader, decoder, &acknowledgements, incoming) => error,
            error = send(writer, encoder, &acknowledgements, queue) => error,
        }
    }
}

async fn receive(
    name: Name,
    mut reader: Reader,
    mut decoder: FrameCodec,
    acknowledgements: &Acknowledgements,
    incoming: mpsc::Sender<(Name, Message)>,
) -> ConnectionError {
    loop {
        let bytes = match timeout(IDLE_TIMEOUT, read_frame(&mut reader)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(e)) => return e,
            Err(_) => return ConnectionError::TimedOut,
        };
        let frame = match decoder.decode(&bytes) {
            Ok(frame) => frame,
            Err(e) => return e.into(),
        };
        acknowledgements.received.set(decoder.number());
        acknowledgements.by_peer.set(acknowledgements.by_peer.get().max(frame.acknowledged));
        if let Some(message) = frame.message
            // A slow receiver slows the sender: nothing is piled up here.
            && incoming.send((name.clone(), message)).await.is_err()
        {
            return ConnectionError::Closed;
        }
    }
}

/// A frame that was sent and not acknowledged.
struct Unacknowledged {
    number: u64,
    sent_at: Instant,
}

async fn send(
    mut writer: Writer,
    mut encoder: FrameCodec,
    acknowledgements: &Acknowledgements,
    queue: SendQueue,
) -> ConnectionError {
    let mut last_sent_at = Instant::now();
    let mut oldest: Option<Unacknowledged> = None;
    loop {
        let message = tokio::select! {
            message = queue.next() => Some(message),
            () = sleep_until(last_sent_at + HEARTBEAT_INTERVAL) => None,
        };
        last_sent_at = Instant::now();
        match &oldest {
            Some(frame) if acknowledgements.by_peer.get() >= frame.number => oldest = None,
            // The peer's frames arrive, and ours do not.
            Some(frame) if frame.sent_at.elapsed() > IDLE_TIMEOUT => return ConnectionError::TimedOut,
            _ => {}
        }
        let bytes = encoder.encode(&Frame { acknowledged: acknowledgements.received.get(), message });
        oldest = oldest.or(Some(Unacknowledged { number: encoder.number(), sent_at: last_sent_at }));
        match timeout(IDLE_TIMEOUT, writer.send(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return e.into(),
            Err(_) => return ConnectionError::TimedOut,
        }
    }
}
