//! Tests of response bodies as callers read them.

use super::*;
use std::task::Waker;

fn poll(body: &mut ReplyBody) -> Poll<StreamItem> {
    Pin::new(body).poll_frame(&mut Context::from_waker(Waker::noop()))
}

fn stream_of(items: Vec<StreamItem>) -> ReplyBody {
    let (sender, frames) = mpsc::channel(items.len().max(1));
    items.into_iter().for_each(|item| sender.try_send(item).unwrap());
    ReplyBody::Stream(BodyStream::new(frames, SizeHint::new()))
}

/// Guards the head of a response whose body has failed by the time that it is read.
#[test]
fn a_failed_body_lets_its_reader_send_the_head_first() {
    let data = || Some(Ok(Frame::data(Bytes::from_static(b"data"))));
    for items in [vec![Some(Err("reset".into()))], vec![data(), Some(Err("reset".into()))], vec![data()]] {
        let has_data = items.len() > 1 || matches!(items[0], Some(Ok(_)));
        let mut body = stream_of(items);
        if has_data {
            assert!(matches!(poll(&mut body), Poll::Ready(Some(Ok(_)))));
        }
        assert!(poll(&mut body).is_pending());
        assert!(!body.is_end_stream());
        assert!(matches!(poll(&mut body), Poll::Ready(Some(Err(_)))));
        assert!(matches!(poll(&mut body), Poll::Ready(None)));
    }
}
