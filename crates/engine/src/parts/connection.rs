//! One client-side connection: it knows how much of a request the kernel has taken.

use crate::parts::attempt_limits::WithheldReason;
use crate::parts::body::{Outbound, Payload, Written};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Size of a connection's buffer, the longest head: peers must not fill this machine's memory.
const BUFFER: usize = 32 * 1024;

/// The most that is read before the head of an answer is known: interim answers come before it, and some peers send them without
/// end. It is more than the longest head and what of a body may be read along with it.
const BEFORE_HEAD_MOST: usize = 256 * 1024;

/// Looked at in the moment in which a request's first byte would be written. hyper writes in a task of its own, later than
/// [`Connection::send`], and much may have changed by then.
pub type Permit = Box<dyn Fn() -> Result<(), WithheldReason>>;

/// When bytes last came on an idle connection, of all those that share this.
pub type Unasked = Rc<Cell<Option<Instant>>>;

/// What is known of the request that is out on a connection, or about to be.
#[derive(Default)]
struct Exchange {
    /// Kept until the kernel has taken the first byte.
    permit: RefCell<Option<Permit>>,
    /// No byte of it is written from then on.
    write_by: Cell<Option<Instant>>,
    withheld: Cell<Option<WithheldReason>>,
    /// What the connection had written when the first byte came back.
    written_when_heard: Cell<Option<u64>>,
    /// hyper holds bytes that the kernel has not taken.
    unflushed: Cell<bool>,
    /// How much more may be read before the head of the answer is known; `None`: it is.
    before_head: Cell<Option<usize>>,
    /// Where it is told that bytes have come, while no request is out.
    idle: RefCell<Option<Unasked>>,
}

impl Exchange {
    /// So many bytes were read; an error where that is too much for the head of an answer.
    fn read(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.before_head.get() else { return Ok(()) };
        let left = left
            .checked_sub(bytes)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "interim answers without end"))?;
        self.before_head.set(Some(left));
        Ok(())
    }

    /// Bytes have come.
    fn heard(&self, written: u64) {
        if let Some(unasked) = &*self.idle.borrow() {
            unasked.set(Some(Instant::now()));
        }
        if self.written_when_heard.get().is_none() {
            self.written_when_heard.set(Some(written));
        }
    }
}

/// A stream that counts what was written to it, and gives `slot` back when its descriptor is closed.
struct Counted<S> {
    stream: TcpStream,
    written: Rc<Written>,
    exchange: Rc<Exchange>,
    _slot: S,
}

impl<S> Counted<S> {
    /// An error where nothing may be written now. A request's first byte goes out with its permit alone, and on a connection
    /// that is silent and open.
    fn before_write(&self) -> io::Result<()> {
        self.exchange.unflushed.set(true);
        if let Some(permit) = &*self.exchange.permit.borrow() {
            self.hear()?;
            permit().map_err(|why| self.withhold(why))?;
        }
        match self.exchange.write_by.get() {
            Some(by) if by <= Instant::now() => Err(self.withhold(WithheldReason::TooLate)),
            _ => Ok(()),
        }
    }

    fn withhold(&self, why: WithheldReason) -> io::Error {
        self.exchange.withheld.set(Some(why));
        io::Error::other("withheld")
    }

    /// An error where something has come that nobody asked for, the end of the connection included. The
    /// kernel is asked, as this process may not have looked since: what came behind an earlier answer must
    /// not be taken for the answer to the next request, and a request written to a connection that has ended
    /// would be a reset, which an unsafe one does not survive.
    fn hear(&self) -> io::Result<()> {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.exchange.heard(self.written.count());
                Err(io::Error::new(io::ErrorKind::InvalidData, "bytes on an idle connection"))
            }
        }
    }

    fn count(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &poll {
            self.exchange.permit.take();
            self.exchange.idle.take();
            self.written.add(*n);
        }
        poll
    }
}

impl<S: Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.exchange.heard(self.written.count());
            self.exchange.read(read)?;
        }
        poll
    }
}

impl<S: Unpin> AsyncWrite for Counted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has nothing left to write.
        self.exchange.unflushed.set(false);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An open connection. Dropping it closes it, whatever is still out on it.
pub struct Connection {
    sender: SendRequest<Outbound>,
    task: AbortHandle,
    written: Rc<Written>,
    exchange: Rc<Exchange>,
    peer: SocketAddr,
}

impl Connection {
    /// Opens one; `slot` is held until its descriptor is closed.
    pub async fn open<S: Unpin + 'static>(peer: SocketAddr, slot: S) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (written, exchange) = <(Rc<Written>, Rc<Exchange>)>::default();
        let counted =
            Counted { stream, written: Rc::clone(&written), exchange: Rc::clone(&exchange), _slot: slot };
        let io = TokioIo::new(counted);
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BUFFER).handshake(io).await.map_err(io::Error::other)?;
        // How it ends shows at the sender.
        let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self { sender, task, written, exchange, peer })
    }

    /// Whom it leads to.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether it is known to have ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// It is idle from now on, until the first byte of its next request; what comes meanwhile is told here.
    pub fn rest(&self, unasked: &Unasked) {
        self.exchange.idle.replace(Some(Rc::clone(unasked)));
    }

    /// Waits until it can take a request; `false` if it has ended instead.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the kernel has taken all that was to be written.
    pub fn is_flushed(&self) -> bool {
        !self.exchange.unflushed.get()
    }

    /// Bytes that the kernel has taken so far.
    pub fn written(&self) -> u64 {
        self.written.count()
    }

    /// A request's body on this connection.
    pub fn outbound(&self, payload: &Payload) -> Outbound {
        Outbound::of(payload, &self.written)
    }

    /// The next request is counted once it has left whole: with its last of `length` bytes, or else with the end of a
    /// body that streams.
    pub fn counts(&self, length: Option<u64>, sends: Option<Counter>) {
        self.written.begin(length, sends);
    }

    /// Sends a request and waits for the head of its answer. Nothing of it goes out where something has come
    /// already.
    pub async fn send(&mut self, request: Request<Outbound>) -> hyper::Result<Response<Incoming>> {
        self.send_if(request, Box::new(|| Ok(())), None).await
    }

    /// The same; no first byte without its permit, and no byte at all at `write_by` or after that.
    pub async fn send_if(
        &mut self,
        request: Request<Outbound>,
        permit: Permit,
        write_by: Option<Instant>,
    ) -> hyper::Result<Response<Incoming>> {
        self.exchange.permit.replace(Some(permit));
        self.exchange.write_by.set(write_by);
        self.exchange.withheld.set(None);
        self.exchange.written_when_heard.set(None);
        self.exchange.before_head.set(Some(BEFORE_HEAD_MOST));
        let answer = self.sender.send_request(request).await;
        self.exchange.before_head.set(None);
        answer
    }

    /// Why nothing more was written of the request, if it was held back here.
    pub fn withheld(&self) -> Option<WithheldReason> {
        self.exchange.withheld.get()
    }

    /// What the connection had written, in all, when the first byte came back after the request was sent.
    pub fn written_when_heard(&self) -> Option<u64> {
        self.exchange.written_when_heard.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The bytes that hyper makes of a request's head, or fewer: where it streams, its framing is added.
pub fn head_length(request: &Request<Outbound>) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + path + " ".len() + " HTTP/1.1\r\n".len();
    let headers = request.headers().iter();
    let headers: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len()).sum();
    (line + headers + "\r\n".len()) as u64
}

/// The bytes that hyper makes of a request which states its own length: line, headers, body.
pub fn wire_length(request: &Request<Outbound>) -> u64 {
    use hyper::body::Body;
    head_length(request) + request.body().size_hint().exact().unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::{CONTENT_LENGTH, HOST};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Guards the proof that a request never ran: it rests on knowing how long the request is on the wire.
    #[tokio::test(flavor = "local")]
    async fn the_length_on_the_wire_is_known_beforehand() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        for (method, body) in [("GET", ""), ("POST", ""), ("POST", "some words")] {
            let mut connection = Connection::open(peer, ()).await.unwrap();
            let mut request = Request::builder().method(method).uri("/book/day?n=1").header(HOST, "app.svc");
            if method == "POST" {
                request = request.header(CONTENT_LENGTH, body.len());
            }
            let request = request.body(connection.outbound(&Payload::Buffered(body.into()))).unwrap();
            let length = wire_length(&request);
            let upstream = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut read = vec![0; length as usize];
                stream.read_exact(&mut read).await.unwrap();
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                String::from_utf8(read).unwrap()
            };
            let (answer, read) = tokio::join!(connection.send(request), upstream);
            assert!(answer.unwrap().status().is_success());
            assert!(read.ends_with(&format!("\r\n\r\n{body}")), "{read:?}");
            assert_eq!(connection.written(), length);
        }
    }
}
