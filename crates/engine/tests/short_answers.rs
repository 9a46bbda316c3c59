//! Short answers and error bodies for which there is no memory: they pass in another way, and end by the same time.

mod common;

use bytes::Bytes;
use common::timed_calls::{WAIT, call, engine, runtime};
use http_body_util::BodyExt;
use maplehook::{Engine, Outcome, Reply};
use maplehook_http_semantics::Passage;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time after a call's own within which its answer has to end.
const END_GRACE: Duration = Duration::from_millis(500);
/// Time of the sockets and of the test itself.
const SLACK: Duration = Duration::from_millis(150);
const ANSWER_BYTES: usize = 60_000;
const ENOUGH_MEMORY: usize = 16 << 20;
const DRIP_INTERVAL: Duration = Duration::from_millis(40);

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    Length,
    Chunked,
    Close,
}

const FORMS: [Form; 3] = [Form::Length, Form::Chunked, Form::Close];

impl Form {
    fn head(self) -> String {
        match self {
            Self::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"),
            Self::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            Self::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
        }
    }

    fn piece(self, bytes: usize) -> String {
        let data = "x".repeat(bytes);
        if self == Self::Chunked { format!("{bytes:x}\r\n{data}\r\n") } else { data }
    }

    /// Returns the bytes after which an answer stops: too few to become long at the rate of a byte now and then.
    fn beginning(self) -> usize {
        if self == Self::Length { ANSWER_BYTES / 2 } else { 2048 }
    }

    fn end(self) -> &'static str {
        if self == Self::Chunked { "0\r\n\r\n" } else { "" }
    }
}

/// Starts an upstream that reads the head of each request, and then does what a test says.
fn upstream(then: impl Fn(&mut TcpStream, String) + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, then) = (stream.unwrap(), then.clone());
            std::thread::spawn(move || {
                while let Some(head) = read_head(&mut stream) {
                    then(&mut stream, head);
                }
            });
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn engine_with(upstreams: &[SocketAddr], memory: usize) -> Engine {
    engine(upstreams, Passage::platform()).body_memory(memory).start().unwrap()
}

/// Reads an answer to its end, whole or not, and returns its body if it is whole.
async fn read(reply: Reply) -> Option<Bytes> {
    reply.body.collect().await.ok().map(|body| body.to_bytes())
}

/// Guards against answers that never end (postmortem 81-answers-without-an-end): an upstream falls silent, or goes on with
/// a byte now and then, in the middle of a short answer for which there was no memory.
#[test]
fn a_short_answer_that_stops_halfway_ends_in_time_with_memory_and_without() {
    let runtime = runtime();
    for (form, memory, drips) in
        FORMS.into_iter().flat_map(|form| [(form, ENOUGH_MEMORY, true), (form, 0, false), (form, 0, true)])
    {
        let address = upstream(move |stream, _| {
            stream.write_all((form.head() + &form.piece(form.beginning())).as_bytes()).unwrap();
            // Until the balancer closes the connection.
            while drips && stream.write_all(form.piece(1).as_bytes()).is_ok() {
                std::thread::sleep(DRIP_INTERVAL);
            }
            let _ = std::io::copy(stream, &mut std::io::sink());
        });
        let engine = engine_with(&[address], memory);
        let start = Instant::now();
        let body = runtime.block_on(async {
            match engine.handle().call(call(Bytes::new().into())).await {
                Outcome::Served(reply) => read(reply).await,
                Outcome::Rejected(_) | Outcome::Failed => None,
            }
        });
        assert!(body.is_none(), "{form:?}, memory {memory}: an answer that is not whole is taken for whole");
        let lasted = start.elapsed();
        assert!(lasted < WAIT + END_GRACE + SLACK, "{form:?}, memory {memory}, drips {drips}: {lasted:?}");
    }
}

/// Guards slow readers: an answer that its upstream has written in time stays whole, though its reader takes it later than
/// a late answer has to end.
#[test]
fn a_timely_short_answer_stays_whole_for_a_slow_reader() {
    let runtime = runtime();
    for form in FORMS {
        let address = upstream(move |stream, _| {
            stream.write_all((form.head() + &form.piece(ANSWER_BYTES / 2)).as_bytes()).unwrap();
            std::thread::sleep(WAIT / 4);
            stream.write_all((form.piece(ANSWER_BYTES / 2) + form.end()).as_bytes()).unwrap();
            if form == Form::Close {
                stream.shutdown(std::net::Shutdown::Write).unwrap();
            }
        });
        let engine = engine_with(&[address], 0);
        let body = runtime.block_on(async {
            let Outcome::Served(mut reply) = engine.handle().call(call(Bytes::new().into())).await else {
                panic!("{form:?}: not served")
            };
            let first = reply.body.frame().await.unwrap().unwrap().into_data().unwrap();
            tokio::time::sleep(WAIT + 2 * END_GRACE).await;
            first.len() + read(reply).await.map_or(0, |rest| rest.len())
        });
        assert_eq!(body, ANSWER_BYTES, "{form:?}");
    }
}

/// Guards against blaming upstreams for this process's shortage: a refusal whose text finds no memory still says that the
/// request never ran, so that it may be sent elsewhere.
#[test]
fn a_refusal_whose_body_finds_no_memory_is_still_a_refusal() {
    let refusing = upstream(|stream, _| {
        let text = "y".repeat(ANSWER_BYTES);
        let head = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 60000\r\n\r\n";
        stream.write_all((head.to_owned() + &text).as_bytes()).unwrap();
    });
    let serving = upstream(|stream, _| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
    });
    let (runtime, engine) = (runtime(), engine_with(&[refusing, serving], 0));
    for _ in 0..6 {
        let outcome = runtime.block_on(engine.handle().call(call(Bytes::new().into())));
        assert!(matches!(outcome, Outcome::Served(_)), "{outcome:?}");
    }
}
