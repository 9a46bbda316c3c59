//! How long a body that streams may take, on a clock that the tests move.

use super::*;
use hyper::body::Body;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use tokio::sync::mpsc;
use tokio::time::advance;

const PATIENCE: UploadTimeouts = UploadTimeouts {
    idle: Duration::from_secs(10),
    sender: Duration::from_millis(2500),
    total: Duration::from_secs(60),
    answer: Duration::from_secs(5),
};
const A_BIT: Duration = Duration::from_millis(20);

/// A body of the pieces that come here.
struct Pieces(mpsc::UnboundedReceiver<Bytes>);

impl Body for Pieces {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.0.poll_recv(cx).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// A body whose sender is the test, on its way to one upstream.
struct Way {
    upload: Rc<Upload>,
    sending: Sending,
    sender: mpsc::UnboundedSender<Bytes>,
}

fn way() -> Way {
    let (sender, pieces) = mpsc::unbounded_channel();
    let rest: Source = Box::pin(Pieces(pieces));
    let upload = Upload::new(Bytes::from_static(b"first"), rest, None, 1 << 20, PATIENCE);
    let written = Rc::new(Written::default());
    let mut sending = upload.send(Rc::clone(&written));
    assert!(poll_once(&mut sending).is_ready());
    written.add(5);
    Way { upload, sending, sender }
}

fn poll_once(sending: &mut Sending) -> Poll<()> {
    sending.poll(&mut Context::from_waker(Waker::noop())).map(|_| ())
}

/// Whether its time is over now.
async fn is_over(upload: &Upload) -> bool {
    let mut over = std::pin::pin!(upload.is_over());
    poll_fn(|cx| Poll::Ready(over.as_mut().poll(cx).is_ready())).await
}

/// Guards against senders that stop in the middle of a body: their time counts from when they were first waited for.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_sender_that_stops_is_told_by_its_silence() {
    let mut way = way();
    for _ in 0..2 {
        assert!(poll_once(&mut way.sending).is_pending());
        advance(PATIENCE.sender - A_BIT).await;
        assert!(!is_over(&way.upload).await);
        way.sender.send(Bytes::from_static(b"more")).unwrap();
        assert!(poll_once(&mut way.sending).is_ready());
    }
    assert!(poll_once(&mut way.sending).is_pending());
    let waited = Instant::now();
    way.upload.is_over().await;
    assert!((PATIENCE.sender..PATIENCE.sender + A_BIT).contains(&waited.elapsed()));
    assert_eq!(way.upload.fault(), Some(Fault::Slow));
}

/// Guards senders against their upstreams: one that takes nothing for a while is not its sender's fault, and the sender's
/// silence counts from when it is asked for more, however long the upstream took before.
#[tokio::test(flavor = "local", start_paused = true)]
async fn an_upstream_that_takes_nothing_is_not_its_senders_fault() {
    let mut way = way();
    way.sender.send(Bytes::from_static(b"more")).unwrap();
    assert!(poll_once(&mut way.sending).is_ready());
    advance(2 * PATIENCE.sender).await;
    assert!(!is_over(&way.upload).await);
    assert!(poll_once(&mut way.sending).is_pending());
    advance(PATIENCE.sender - A_BIT).await;
    assert!(!is_over(&way.upload).await);
    way.sender.send(Bytes::from_static(b"more")).unwrap();
    assert!(poll_once(&mut way.sending).is_ready());
    way.upload.is_over().await;
    assert_eq!(way.upload.fault(), None);
}
