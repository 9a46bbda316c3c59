//! Clients that leave at every point of an attempt's way: what has not been written by then is not written any more, also where
//! the settings don't let an attempt be called back.

mod common;

use common::{BOOK, ERROR, LOOK, Peer, asked, driver, name, pass, settings, settle, turn, upstreams};
use maplehook::parts::driver::PendingAnswer;
use maplehook_core::{Class, Settings};
use std::time::Duration;
use tokio::task::spawn_local;

/// The request that has come to one of these peers: whose, and on which connection.
async fn comes(peers: &mut [Peer], id: &str) -> (usize, usize) {
    let mut came = None;
    settle("it comes", || {
        came = peers.iter_mut().enumerate().find_map(|(n, peer)| peer.next().map(|come| (n, come)));
        came.is_some()
    })
    .await;
    let (n, come) = came.unwrap();
    assert_eq!(come.id, id);
    (n, come.link)
}

/// The client leaves when its connection to this peer has been made on the peer's side, and this side has not looked yet. The
/// others stay as they are.
async fn leaves_as_it_connects<const N: usize>(
    peers: [Peer; N],
    which: usize,
    pending: PendingAnswer,
) -> ([Peer; N], usize) {
    let left = spawn_local(async move {
        let mut peers = peers;
        while !peers[which].accept() {
            turn().await;
        }
        drop(pending);
        peers
    });
    (left.await.unwrap(), which)
}

/// The connection ends with nothing on it.
async fn is_not_written<const N: usize>((mut peers, which): ([Peer; N], usize)) {
    settle("the connection ends", || {
        assert!(peers[which].next().is_none(), "it was written");
        peers[which].links[0].ended
    })
    .await;
}

fn all_settings() -> impl Iterator<Item = Settings> {
    [false, true].into_iter().map(|cancelling| Settings { can_cancel: cancelling, ..settings() })
}

/// Guards upstreams from work for nobody: an attempt that waits for a descriptor when its client leaves is never written.
#[tokio::test(flavor = "local")]
async fn one_that_waits_for_a_descriptor_is_not_written() {
    for settings in all_settings() {
        let mut peers = [Peer::start()];
        let driver = driver(settings.clone(), upstreams(&settings, 1), &[peers[0].address]);
        let first = driver.submit(asked(BOOK, "first"));
        let (_, link) = comes(&mut peers, "first").await;
        let second = driver.submit(asked(BOOK, "second"));
        pass().await;
        drop(second);
        peers[0].answer(link, "done");
        assert_eq!(name(&first.answer().await.0), "served");
        let third = driver.submit(asked(BOOK, "third"));
        let (_, link) = comes(&mut peers, "third").await;
        peers[0].answer(link, "done");
        assert_eq!(name(&third.answer().await.0), "served");
        pass().await;
        assert!(peers[0].next().is_none());
    }
}

/// Guards them where the connection comes up after its client has left.
#[tokio::test(flavor = "local")]
async fn one_whose_connection_comes_up_later_is_not_written() {
    for settings in all_settings() {
        let peer = Peer::start();
        let driver = driver(settings.clone(), upstreams(&settings, 8), &[peer.address]);
        let pending = driver.submit(asked(BOOK, "one"));
        let peer = leaves_as_it_connects([peer], 0, pending).await;
        is_not_written(peer).await;
    }
}

/// Guards them between two attempts: the first has failed and the next one is on its way when the client leaves.
#[tokio::test(flavor = "local")]
async fn a_further_attempt_is_not_written() {
    for settings in all_settings() {
        let mut peers = [Peer::start(), Peer::start()];
        let driver =
            driver(settings.clone(), upstreams(&settings, 8), &peers.each_ref().map(|peer| peer.address));
        let pending = driver.submit(asked(LOOK, "one"));
        let (n, link) = comes(&mut peers, "one").await;
        peers[n].write(link, ERROR);
        let other = leaves_as_it_connects(peers, 1 - n, pending).await;
        is_not_written(other).await;
    }
}

/// Guards them from second copies: one that is on its way when the client leaves is not written.
#[tokio::test(flavor = "local")]
async fn a_second_copy_is_not_written() {
    for base in all_settings() {
        let aim = Duration::from_millis(200);
        let classes =
            base.classes.iter().map(|class| Class { latency_objective: aim, ..class.clone() }).collect();
        let settings = Settings { can_hedge: true, classes, ..base };
        let mut peers = [Peer::start(), Peer::start()];
        let driver =
            driver(settings.clone(), upstreams(&settings, 8), &peers.each_ref().map(|peer| peer.address));
        let pending = driver.submit(asked(LOOK, "one"));
        let (n, _) = comes(&mut peers, "one").await;
        let other = leaves_as_it_connects(peers, 1 - n, pending).await;
        is_not_written(other).await;
    }
}
