//! Timeouts of streaming bodies, under a paused clock.

use super::*;
use hyper::body::Body;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use tokio::sync::mpsc;
use tokio::time::{Instant, advance};

const TIMEOUTS: UploadTimeouts = UploadTimeouts {
    idle: Duration::from_secs(10),
    sender: Duration::from_millis(2500),
    total: Duration::from_secs(60),
    answer: Duration::from_secs(5),
};
const TOLERANCE: Duration = Duration::from_millis(20);

/// Body that yields the pieces sent through a channel.
struct ChannelBody(mpsc::UnboundedReceiver<Bytes>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.0.poll_recv(cx).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// Upload in progress; the test sends its data.
struct UploadInProgress {
    upload: Rc<Upload>,
    body: UploadBody,
    sender: mpsc::UnboundedSender<Bytes>,
}

fn start_upload() -> UploadInProgress {
    let (sender, pieces) = mpsc::unbounded_channel();
    let remaining: BodySource = Box::pin(ChannelBody(pieces));
    let upload = Upload::new(Bytes::from_static(b"first"), remaining, None, 1 << 20, TIMEOUTS);
    let written = Rc::new(WriteCounter::default());
    let mut body = upload.send(Rc::clone(&written));
    assert!(poll_once(&mut body).is_ready());
    written.record(5);
    UploadInProgress { upload, body, sender }
}

fn poll_once(body: &mut UploadBody) -> Poll<()> {
    body.poll(&mut Context::from_waker(Waker::noop())).map(|_| ())
}

/// Polls once whether a timeout has expired.
async fn has_timed_out(upload: &Upload) -> bool {
    let mut expiry = std::pin::pin!(upload.wait_until_timed_out(AnswerDue::begin_by));
    poll_fn(|cx| Poll::Ready(expiry.as_mut().poll(cx).is_ready())).await
}

/// Guards against clients that stop inside a body: the sender timeout starts at the first unmet read.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_silent_sender_times_out_from_the_first_unmet_read() {
    let mut active = start_upload();
    for _ in 0..2 {
        assert!(poll_once(&mut active.body).is_pending());
        advance(TIMEOUTS.sender - TOLERANCE).await;
        assert!(!has_timed_out(&active.upload).await);
        active.sender.send(Bytes::from_static(b"more")).unwrap();
        assert!(poll_once(&mut active.body).is_ready());
    }
    assert!(poll_once(&mut active.body).is_pending());
    let start = Instant::now();
    active.upload.wait_until_timed_out(AnswerDue::begin_by).await;
    assert!((TIMEOUTS.sender..TIMEOUTS.sender + TOLERANCE).contains(&start.elapsed()));
    assert_eq!(active.upload.fault(), Some(Fault::Slow));
}

/// Guards against blaming a client for a slow upstream: the sender timeout starts when data is requested,
/// however long the upstream took before.
#[tokio::test(flavor = "local", start_paused = true)]
async fn a_slow_upstream_does_not_use_up_the_sender_timeout() {
    let mut active = start_upload();
    active.sender.send(Bytes::from_static(b"more")).unwrap();
    assert!(poll_once(&mut active.body).is_ready());
    advance(2 * TIMEOUTS.sender).await;
    assert!(!has_timed_out(&active.upload).await);
    assert!(poll_once(&mut active.body).is_pending());
    advance(TIMEOUTS.sender - TOLERANCE).await;
    assert!(!has_timed_out(&active.upload).await);
    active.sender.send(Bytes::from_static(b"more")).unwrap();
    assert!(poll_once(&mut active.body).is_ready());
    active.upload.wait_until_timed_out(AnswerDue::begin_by).await;
    assert_eq!(active.upload.fault(), None);
}
