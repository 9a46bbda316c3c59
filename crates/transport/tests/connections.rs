//! Connections between two balancers, with a relay between them that impairs the path.

use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_testbed::relay::{Relay, Way};
use maplehook_transport::SecretKey;
use maplehook_transport::connection::{self, ConnectionError, LocalNode};
use maplehook_transport::frames::{Message, ProtocolError};
use maplehook_transport::send_queue::SendQueue;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(30);

fn local(name: &str, generation: u64) -> LocalNode {
    let secret = SecretKey::new(b"the secret of the tier").unwrap();
    LocalNode { secret, name: Name::new(name).unwrap(), generation }
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(LONG, test).await.unwrap() });
}

/// A listener, a relay before it, and both directions of the path.
async fn relayed() -> (TcpListener, Relay, Arc<Way>, Arc<Way>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (forward, back) = (Arc::new(Way::default()), Arc::new(Way::default()));
    let relay = Relay::start(Arc::clone(&forward), Arc::clone(&back)).await.unwrap();
    relay.leads_to(Some(listener.local_addr().unwrap()));
    (listener, relay, forward, back)
}

fn message(length: usize) -> Message {
    Message { topic: 1, body: Bytes::from(vec![7; length]) }
}

/// Messages pass both ways, in order; then one direction falls silent, and both ends find out.
#[test]
fn half_dead_path_counts_as_dead() {
    for dead in ["forward", "back"] {
        run_local(async move {
            let (listener, relay, forward, back) = relayed().await;
            let accepted = spawn_local(async move {
                let (stream, _) = listener.accept().await.unwrap();
                let open = connection::accept(&local("b", 5), stream, |_| None, |_| true).await.unwrap();
                let (incoming, mut receiver) = mpsc::channel(8);
                let queue = SendQueue::default();
                queue.push(message(3));
                let run = spawn_local(open.run(queue, incoming));
                let sizes =
                    [receiver.recv().await, receiver.recv().await].map(|got| got.unwrap().1.body.len());
                assert_eq!(sizes, [1, 100_000]);
                run.await.unwrap()
            });
            let to = Name::new("b").unwrap();
            let open = connection::dial(&local("a", 1), &to, relay.address, Some(5)).await.unwrap();
            assert_eq!((open.name.as_str(), open.generation), ("b", 5));
            let (incoming, mut receiver) = mpsc::channel(8);
            let queue = SendQueue::default();
            queue.push(message(1));
            queue.push(message(100_000));
            let run = spawn_local(open.run(queue, incoming));
            assert_eq!(receiver.recv().await.unwrap().1.body.len(), 3);
            // It lives on by heartbeats alone,
            tokio::time::sleep(connection::IDLE_TIMEOUT + Duration::from_secs(1)).await;
            assert!(!run.is_finished() && !accepted.is_finished());
            // until one direction falls silent.
            let way = if dead == "forward" { &forward } else { &back };
            way.set(|trouble| trouble.silent = true);
            let started_at = Instant::now();
            let ended = run.await.unwrap();
            accepted.await.unwrap();
            assert!(
                started_at.elapsed() < 3 * connection::IDLE_TIMEOUT,
                "{dead}: {ended} after {:?}",
                started_at.elapsed()
            );
        });
    }
}

#[test]
fn wrong_secret_and_earlier_generation_are_rejected() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = spawn_local(async move {
            let mut ends = Vec::new();
            for _ in 0..3 {
                let (stream, _) = listener.accept().await.unwrap();
                let accepted = connection::accept(&local("b", 5), stream, |_| Some(10), |_| true).await;
                ends.push(accepted.err().map(|e| e.to_string()));
            }
            ends
        });
        let to = Name::new("b").unwrap();
        let caller = LocalNode { secret: SecretKey::new(b"quite another secret").unwrap(), ..local("a", 10) };
        let refused = connection::dial(&caller, &to, address, None).await;
        assert!(matches!(refused, Err(ConnectionError::Protocol(ProtocolError::Forged))));
        assert!(connection::dial(&local("a", 9), &to, address, None).await.is_err());
        assert!(connection::dial(&local("a", 10), &to, address, None).await.is_ok());
        let ends = accepting.await.unwrap();
        assert!(
            ends[1].as_ref().is_some_and(|e| e.contains("earlier start")) && ends[2].is_none(),
            "{ends:?}"
        );
    });
}

/// Garbage, a frame without an end, and silence each end a handshake, soon and without much read.
#[test]
fn unauthenticated_callers_cost_little() {
    run_local(async {
        for say in [&[255u8; 64][..], b"GET / HTTP/1.1\r\n\r\n", &[0, 0, 0, 3, b'm', b'h', b'l'], b""] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            caller.write_all(say).await.unwrap();
            let (stream, _) = listener.accept().await.unwrap();
            let started_at = Instant::now();
            assert!(connection::accept(&local("b", 5), stream, |_| None, |_| true).await.is_err());
            assert!(started_at.elapsed() < 2 * connection::HANDSHAKE_TIMEOUT, "{say:?}");
            // Not a byte is sent to a caller that has proved nothing.
            let mut answer = Vec::new();
            let _ = caller.read_to_end(&mut answer).await;
            assert!(answer.is_empty());
        }
    });
}

/// A peer that reads nothing blocks nobody for long, and what waits for it stays bounded.
#[test]
fn peer_that_reads_nothing_times_out() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let dialer = spawn_local(async move {
            let to = Name::new("b").unwrap();
            let open = connection::dial(&local("a", 1), &to, address, None).await.unwrap();
            tokio::time::sleep(LONG).await;
            drop(open);
        });
        let (stream, _) = listener.accept().await.unwrap();
        let open = connection::accept(&local("b", 5), stream, |_| None, |_| true).await.unwrap();
        let queue = SendQueue::default();
        (0..200).for_each(|_| queue.push(message(1 << 20)));
        assert!(queue.dropped() > 190);
        let (incoming, _taker) = mpsc::channel(8);
        let started_at = Instant::now();
        assert!(matches!(open.run(queue, incoming).await, ConnectionError::TimedOut));
        assert!(started_at.elapsed() < 3 * connection::IDLE_TIMEOUT);
        dialer.abort();
    });
}
