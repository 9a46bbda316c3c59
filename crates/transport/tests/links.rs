//! Connections between two balancers, with a relay between them that does to them what ways do.

use bytes::Bytes;
use maplehook_cluster::Name;
use maplehook_testbed::relay::{Relay, Way};
use maplehook_transport::Secret;
use maplehook_transport::connection::{self, Ended, Us};
use maplehook_transport::frames::{Broken, Message};
use maplehook_transport::queue::Queue;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(30);

fn us(name: &str, start: u64) -> Us {
    let secret = Secret::new(b"the secret of the tier").unwrap();
    Us { secret, name: Name::new(name).unwrap(), start }
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(LONG, test).await.unwrap() });
}

/// A listener, a relay before it, and the two ways.
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
fn a_half_dead_way_counts_as_dead() {
    for dead in ["forward", "back"] {
        play(async move {
            let (listener, relay, forward, back) = relayed().await;
            let called = spawn_local(async move {
                let (stream, _) = listener.accept().await.unwrap();
                let open = connection::accept(&us("b", 5), stream, |_| None, |_| true).await.unwrap();
                let (incoming, mut taker) = mpsc::channel(8);
                let queue = Queue::default();
                queue.push(message(3));
                let run = spawn_local(open.run(queue, incoming));
                let sizes = [taker.recv().await, taker.recv().await].map(|got| got.unwrap().1.body.len());
                assert_eq!(sizes, [1, 100_000]);
                run.await.unwrap()
            });
            let to = Name::new("b").unwrap();
            let open = connection::dial(&us("a", 1), &to, relay.address, Some(5)).await.unwrap();
            assert_eq!((open.name.as_str(), open.start), ("b", 5));
            let (incoming, mut taker) = mpsc::channel(8);
            let queue = Queue::default();
            queue.push(message(1));
            queue.push(message(100_000));
            let run = spawn_local(open.run(queue, incoming));
            assert_eq!(taker.recv().await.unwrap().1.body.len(), 3);
            // It lives on by heartbeats alone,
            tokio::time::sleep(connection::SILENCE + Duration::from_secs(1)).await;
            assert!(!run.is_finished() && !called.is_finished());
            // until one direction falls silent.
            let way = if dead == "forward" { &forward } else { &back };
            way.set(|trouble| trouble.silent = true);
            let begun = Instant::now();
            let ended = run.await.unwrap();
            called.await.unwrap();
            assert!(begun.elapsed() < 3 * connection::SILENCE, "{dead}: {ended} after {:?}", begun.elapsed());
        });
    }
}

#[test]
fn whoever_lacks_the_secret_or_is_of_an_earlier_start_is_refused() {
    play(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = spawn_local(async move {
            let mut ends = Vec::new();
            for _ in 0..3 {
                let (stream, _) = listener.accept().await.unwrap();
                let accepted = connection::accept(&us("b", 5), stream, |_| Some(10), |_| true).await;
                ends.push(accepted.err().map(|e| e.to_string()));
            }
            ends
        });
        let to = Name::new("b").unwrap();
        let stranger = Us { secret: Secret::new(b"quite another secret").unwrap(), ..us("a", 10) };
        let refused = connection::dial(&stranger, &to, address, None).await;
        assert!(matches!(refused, Err(Ended::Broken(Broken::Forged))));
        assert!(connection::dial(&us("a", 9), &to, address, None).await.is_err());
        assert!(connection::dial(&us("a", 10), &to, address, None).await.is_ok());
        let ends = accepting.await.unwrap();
        assert!(
            ends[1].as_ref().is_some_and(|e| e.contains("earlier start")) && ends[2].is_none(),
            "{ends:?}"
        );
    });
}

/// Garbage, a frame without an end, and silence each end a greeting, soon and without much read.
#[test]
fn strangers_cost_little() {
    play(async {
        for say in [&[255u8; 64][..], b"GET / HTTP/1.1\r\n\r\n", &[0, 0, 0, 3, b'm', b'h', b'l'], b""] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut stranger = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            stranger.write_all(say).await.unwrap();
            let (stream, _) = listener.accept().await.unwrap();
            let begun = Instant::now();
            assert!(connection::accept(&us("b", 5), stream, |_| None, |_| true).await.is_err());
            assert!(begun.elapsed() < 2 * connection::GREETINGS, "{say:?}");
            // Not a byte to somebody who has shown nothing.
            let mut answer = Vec::new();
            let _ = stranger.read_to_end(&mut answer).await;
            assert!(answer.is_empty());
        }
    });
}

/// A peer that reads nothing holds up nobody for long, and what waits for it stays bounded.
#[test]
fn a_peer_that_reads_nothing_is_given_up() {
    play(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let deaf = spawn_local(async move {
            let to = Name::new("b").unwrap();
            let open = connection::dial(&us("a", 1), &to, address, None).await.unwrap();
            tokio::time::sleep(LONG).await;
            drop(open);
        });
        let (stream, _) = listener.accept().await.unwrap();
        let open = connection::accept(&us("b", 5), stream, |_| None, |_| true).await.unwrap();
        let queue = Queue::default();
        (0..200).for_each(|_| queue.push(message(1 << 20)));
        assert!(queue.dropped() > 190);
        let (incoming, _taker) = mpsc::channel(8);
        let begun = Instant::now();
        assert!(matches!(open.run(queue, incoming).await, Ended::Silent));
        assert!(begun.elapsed() < 3 * connection::SILENCE);
        deaf.abort();
    });
}
