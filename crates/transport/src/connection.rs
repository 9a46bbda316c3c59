//! One connection: the greetings, then frames both ways until one of them is silent for too long.

use crate::frames::{Agreed, Broken, FRAME_MOST, Frame, Frames, GREETING_MOST, Greeting, Message, Side};
use crate::queue::Queue;
use crate::secret::Secret;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use maplehook_cluster::Name;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// How long the greetings may take, a connection included.
pub const GREETINGS: Duration = Duration::from_secs(2);
/// A side that has nothing to say says so this often.
const BEAT: Duration = Duration::from_secs(1);
/// A side that is silent for so long, or that has heard nothing for so long, is dead.
pub const SILENCE: Duration = Duration::from_secs(4);

/// Why a connection ended.
#[derive(Debug)]
pub enum Ended {
    /// The way broke.
    Io(io::Error),
    /// It took too long to greet, was silent, or heard nothing.
    Silent,
    /// What came is not to be believed.
    Broken(Broken),
    /// The other side closed it.
    Closed,
}

impl std::fmt::Display for Ended {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(e) => write!(f, "{e}"),
            Self::Silent => f.write_str("silent, or deaf, for too long"),
            Self::Broken(broken) => write!(f, "{broken}"),
            Self::Closed => f.write_str("closed by the other side"),
        }
    }
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<Broken> for Ended {
    fn from(broken: Broken) -> Self {
        Self::Broken(broken)
    }
}

/// Who we are to others.
#[derive(Clone, Debug)]
pub struct Us {
    /// The tier's secret.
    pub secret: Secret,
    /// Our name.
    pub name: Name,
    /// Our start.
    pub start: u64,
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// A connection on which both sides have shown who they are.
pub struct Open {
    /// The other side.
    pub name: Name,
    /// Its start.
    pub start: u64,
    reader: Reader,
    writer: Writer,
    incoming: Frames,
    outgoing: Frames,
}

fn halves(stream: TcpStream) -> (Reader, Writer) {
    // An unset option costs time, not truth.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(GREETING_MOST).new_codec();
    let (read, write) = stream.into_split();
    // Until it is known who is there nothing long is read.
    (FramedRead::new(read, codec.clone()), FramedWrite::new(write, codec))
}

async fn next(reader: &mut Reader) -> Result<Bytes, Ended> {
    match reader.next().await {
        Some(Ok(frame)) => Ok(frame.freeze()),
        Some(Err(e)) if e.kind() == io::ErrorKind::InvalidData => Err(Broken::Malformed.into()),
        Some(Err(e)) => Err(e.into()),
        None => Err(Ended::Closed),
    }
}

fn nonce() -> io::Result<[u8; 16]> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(io::Error::other)?;
    Ok(nonce)
}

/// Calls somebody and greets.
pub async fn dial(us: &Us, to: &Name, address: SocketAddr, known: Option<u64>) -> Result<Open, Ended> {
    let greeted = timeout(GREETINGS, async {
        let (mut reader, mut writer) = halves(TcpStream::connect(address).await?);
        let ours = Greeting::new(us.name.clone(), us.start, to.clone(), nonce()?);
        writer.send(Bytes::from(ours.bytes())).await?;
        let theirs = Greeting::read(&next(&mut reader).await?)?;
        theirs.fits(&us.name, known)?;
        if theirs.name != *to {
            return Err(Broken::Misaddressed.into());
        }
        let agreed = Agreed::new(&us.secret, &ours, &theirs);
        agreed.proves(Side::Listener, &next(&mut reader).await?)?;
        writer.send(Bytes::copy_from_slice(&agreed.proof(Side::Dialer))).await?;
        Ok(opened(theirs, &agreed, Side::Dialer, reader, writer))
    });
    greeted.await.unwrap_or(Err(Ended::Silent))
}

/// Is called by somebody, of whom `known` tells the latest start.
pub async fn accept(
    us: &Us,
    stream: TcpStream,
    known: impl Fn(&Name) -> Option<u64>,
    listed: impl Fn(&Name) -> bool,
) -> Result<Open, Ended> {
    let greeted = timeout(GREETINGS, async {
        let (mut reader, mut writer) = halves(stream);
        let theirs = Greeting::read(&next(&mut reader).await?)?;
        theirs.fits(&us.name, known(&theirs.name))?;
        if !listed(&theirs.name) {
            return Err(Broken::Misaddressed.into());
        }
        let ours = Greeting::new(us.name.clone(), us.start, theirs.name.clone(), nonce()?);
        let agreed = Agreed::new(&us.secret, &theirs, &ours);
        writer.send(Bytes::from(ours.bytes())).await?;
        writer.send(Bytes::copy_from_slice(&agreed.proof(Side::Listener))).await?;
        agreed.proves(Side::Dialer, &next(&mut reader).await?)?;
        Ok(opened(theirs, &agreed, Side::Listener, reader, writer))
    });
    greeted.await.unwrap_or(Err(Ended::Silent))
}

fn opened(theirs: Greeting, agreed: &Agreed, us: Side, mut reader: Reader, mut writer: Writer) -> Open {
    reader.decoder_mut().set_max_frame_length(FRAME_MOST);
    writer.encoder_mut().set_max_frame_length(FRAME_MOST);
    let them = if us == Side::Dialer { Side::Listener } else { Side::Dialer };
    let (incoming, outgoing) = (agreed.frames(them), agreed.frames(us));
    Open { name: theirs.name, start: theirs.start, reader, writer, incoming, outgoing }
}

/// What one side tells the other of the frames that have come.
#[derive(Default)]
struct Heard {
    /// The number of the last frame that has come.
    ours: Cell<u64>,
    /// The number of the last one of ours that the other side says it has had.
    theirs: Cell<u64>,
}

impl Open {
    /// Passes what waits in the queue, and tells `incoming` what comes, until the connection ends.
    pub async fn run(self, queue: Queue, incoming: mpsc::Sender<(Name, Message)>) -> Ended {
        let Self { name, reader, writer, incoming: opener, outgoing: sealer, .. } = self;
        let heard = Heard::default();
        tokio::select! {
            ended = read(name, reader, opener, &heard, incoming) => ended,
            ended = write(writer, sealer, &heard, queue) => ended,
        }
    }
}

async fn read(
    name: Name,
    mut reader: Reader,
    mut opener: Frames,
    heard: &Heard,
    incoming: mpsc::Sender<(Name, Message)>,
) -> Ended {
    loop {
        let bytes = match timeout(SILENCE, next(&mut reader)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(ended)) => return ended,
            Err(_) => return Ended::Silent,
        };
        let frame = match opener.open(&bytes) {
            Ok(frame) => frame,
            Err(broken) => return broken.into(),
        };
        heard.ours.set(opener.number());
        heard.theirs.set(heard.theirs.get().max(frame.heard));
        if let Some(message) = frame.message
            // A slow taker slows the sender: nothing is piled up here.
            && incoming.send((name.clone(), message)).await.is_err()
        {
            return Ended::Closed;
        }
    }
}

async fn write(mut writer: Writer, mut sealer: Frames, heard: &Heard, queue: Queue) -> Ended {
    let mut last = Instant::now();
    // The first frame that the other side has not yet said to have had, and when it went.
    let mut unheard: Option<(u64, Instant)> = None;
    loop {
        let message = tokio::select! {
            message = queue.next() => Some(message),
            () = sleep_until(last + BEAT) => None,
        };
        last = Instant::now();
        match unheard {
            Some((number, _)) if heard.theirs.get() >= number => unheard = None,
            // Theirs arrive, and ours do not.
            Some((_, since)) if since.elapsed() > SILENCE => return Ended::Silent,
            _ => {}
        }
        let bytes = sealer.seal(&Frame { heard: heard.ours.get(), message });
        unheard = unheard.or(Some((sealer.number(), last)));
        match timeout(SILENCE, writer.send(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return e.into(),
            Err(_) => return Ended::Silent,
        }
    }
}
