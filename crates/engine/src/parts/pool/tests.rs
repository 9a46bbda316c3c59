//! Tests of the connection pool.

use super::*;
use crate::parts::buffer_memory::BufferMemory;
use tokio::net::TcpListener;

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a budget in which upstreams get exactly `n` descriptors.
pub fn descriptors(n: usize) -> Rc<Descriptors> {
    use maplehook_admission::descriptor_budget::{
        BASE_DESCRIPTORS, DISCOVERY_DESCRIPTORS, MIN_DESCRIPTORS, REJECTION_DESCRIPTORS,
    };
    let divisible = MIN_DESCRIPTORS - BASE_DESCRIPTORS - DISCOVERY_DESCRIPTORS - REJECTION_DESCRIPTORS;
    let descriptors = Descriptors::new(MIN_DESCRIPTORS, 0, (n as f64 + 0.5) / divisible as f64).unwrap();
    assert_eq!(descriptors.limit_of(DescriptorClass::Upstreams), n);
    descriptors
}

/// Guards recently used connections at the limit: the one that has been idle longest is closed, whichever
/// upstream it belongs to.
#[tokio::test(flavor = "local")]
async fn the_longest_idle_connection_is_closed_at_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let pool = Pool::new(descriptors(9), LONG_TIMEOUT);
    let order = [3, 8, 1, 7, 2, 9, 4, 6, 5].map(UpstreamId);
    for upstream in order {
        pool.store_idle(
            upstream,
            Connection::open(peer, pool.reserve_slot().await, &BufferMemory::new(1 << 20)).await.unwrap(),
        );
    }
    let mut slots = Vec::new();
    for (n, upstream) in order.into_iter().enumerate() {
        assert!(pool.idle.borrow().by_upstream.contains_key(&upstream));
        slots.push(pool.reserve_slot().await);
        assert!(!pool.idle.borrow().by_upstream.contains_key(&upstream), "connection {n} was not closed");
        assert_eq!((pool.idle.borrow().by_age.len(), pool.open_count()), (8 - n, 9));
    }
}

/// Guards attempts that wait at the limit: an idle connection that its upstream has closed frees no slot, so that
/// another one has to be closed.
#[tokio::test(flavor = "local")]
async fn a_connection_closed_by_its_upstream_does_not_count_as_room_at_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let pool = Pool::new(descriptors(2), LONG_TIMEOUT);
    for upstream in [1, 2].map(UpstreamId) {
        pool.store_idle(
            upstream,
            Connection::open(peer, pool.reserve_slot().await, &BufferMemory::new(1 << 20)).await.unwrap(),
        );
    }
    drop(listener.accept().await.unwrap());
    while pool.open_count() == 2 {
        tokio::task::yield_now().await;
    }
    let _slot = pool.reserve_slot().await;
    let next = tokio::time::timeout(LONG_TIMEOUT, pool.reserve_slot()).await;
    assert!(next.is_ok(), "the connection to the second upstream was not closed");
}

/// Guards drains, moves and restarts: a connection that an attempt waits for is closed with the idle ones, whether
/// the attempt goes on waiting or not.
#[tokio::test(flavor = "local")]
async fn a_reserved_connection_is_closed_with_the_idle_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let (upstream, pool) = (UpstreamId(1), Pool::new(descriptors(9), LONG_TIMEOUT));
    let reuse = ReuseGuard::new(upstream, Rc::default(), ReasonCounters::default());
    for is_cancelled in [true, false] {
        pool.store_idle(
            upstream,
            Connection::open(peer, pool.reserve_slot().await, &BufferMemory::new(1 << 20)).await.unwrap(),
        );
        let mut acquired = Box::pin(pool.acquire(upstream, &reuse, LONG_TIMEOUT));
        assert!(poll_once(&mut acquired).await.is_none(), "the connection has not rested");
        pool.close_idle(upstream);
        if is_cancelled {
            drop(acquired);
            assert!(pool.idle.borrow().by_age.is_empty(), "the connection was returned");
        } else {
            assert!(matches!(acquired.await, Acquired::Slot(_)), "the connection was reused");
        }
    }
}

/// Polls a future once.
async fn poll_once<F: Future + Unpin>(future: &mut F) -> Option<F::Output> {
    std::future::poll_fn(|cx| match std::pin::Pin::new(&mut *future).poll(cx) {
        std::task::Poll::Ready(output) => std::task::Poll::Ready(Some(output)),
        std::task::Poll::Pending => std::task::Poll::Ready(None),
    })
    .await
}
