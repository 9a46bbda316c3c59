//! Long bodies of calls whose upstream is slow: an upload that is not read is answered in time, and an answer without
//! a length that is still written is passed on.

mod common;

use bytes::Bytes;
use common::timed_calls::{WAIT, call, engine, runtime};
use futures_util::stream::{self, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use maplehook::{CallBody, Outcome};
use maplehook_core::Effect;
use maplehook_http_semantics::Passage;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Time after a call's own within which its final answer counts as one.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
const FRAME: &[u8] = &[b'x'; 16 * 1024];

/// An upstream that reads `read` bytes of its first request, and then does what a test says.
fn upstream(read: usize, then: impl FnOnce(&mut std::net::TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = vec![0; read];
        stream.read_exact(&mut buffer).unwrap();
        then(&mut stream);
        // The connection stays open until the engine has closed it.
        let _ = std::io::copy(&mut stream, &mut std::io::sink());
    });
    address
}

fn passages() -> [Passage; 2] {
    [Passage::platform(), Passage::general(Effect::AtMostOnce)]
}

/// Guards a host's time: nothing of the upload says when its sender has ended but the body itself.
#[test]
fn a_call_whose_upload_is_not_read_is_answered_in_time() {
    let runtime = runtime();
    for passage in passages() {
        let engine = engine(&[upstream(20_000, |_| std::thread::sleep(Duration::from_secs(3)))], passage)
            .start()
            .unwrap();
        let frames = stream::iter(std::iter::repeat_n(Bytes::from_static(FRAME), 1024));
        let frames = frames.map(|data| Ok::<_, Infallible>(Frame::data(data)));
        let start = Instant::now();
        let outcome = runtime.block_on(engine.handle().call(call(CallBody::stream(StreamBody::new(frames)))));
        assert!(!matches!(outcome, Outcome::Served(_)), "{outcome:?}");
        assert!(start.elapsed() < WAIT + ANSWER_MARGIN, "{:?}", start.elapsed());
    }
}

/// Guards a slow host: its time counts from the end of what it sends.
#[test]
fn a_call_whose_upload_is_made_slowly_is_served() {
    const PIECES: usize = 12;
    let runtime = runtime();
    for passage in passages() {
        let address = upstream(PIECES * FRAME.len(), |stream| {
            std::thread::sleep(WAIT / 2);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
        });
        let engine = engine(&[address], passage).start().unwrap();
        let frames = stream::iter(0..PIECES).then(|_| async {
            tokio::time::sleep(WAIT / 8).await;
            Ok::<_, Infallible>(Frame::data(Bytes::from_static(FRAME)))
        });
        let body = CallBody::stream(StreamBody::new(frames));
        // The pieces of the body are made on the host's runtime while the call is awaited.
        let served = runtime.block_on(engine.handle().call(call(body)));
        assert!(matches!(served, Outcome::Served(_)), "{served:?}");
    }
}

/// Guards long answers without a length, whether the class holds short ones or not.
#[test]
fn a_call_whose_answer_is_written_slowly_gets_all_of_it() {
    const PIECES: usize = 50;
    let runtime = runtime();
    for passage in passages() {
        let address = upstream(10, |stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").unwrap();
            for _ in 0..PIECES {
                std::thread::sleep(Duration::from_millis(30));
                stream.write_all(&FRAME[..2048]).unwrap();
            }
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        });
        let engine = engine(&[address], passage).start().unwrap();
        let start = Instant::now();
        let Outcome::Served(reply) = runtime.block_on(engine.handle().call(call(Bytes::new().into()))) else {
            panic!("not served")
        };
        assert!(start.elapsed() < WAIT + ANSWER_MARGIN, "{:?}", start.elapsed());
        let body = runtime.block_on(reply.body.collect()).unwrap().to_bytes();
        assert_eq!(body.len(), PIECES * 2048);
    }
}
