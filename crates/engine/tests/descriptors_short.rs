//! Attempts that wait because all connections that upstreams may have are in use.

mod common;

use common::{BOOK, Peer, asked, driver, name, pass, settings, settle, upstreams};
use maplehook_core::Settings;
use maplehook_test_servers::LONG;

/// Guards those that wait for a connection: one that falls idle is room, for the same upstream and for others. Before, only a
/// connection that closed woke them, and they waited until their time was over beside one that stood idle.
#[tokio::test(flavor = "local")]
async fn a_connection_that_falls_idle_serves_whoever_waits() {
    for upstreams_in_all in [1, 2] {
        let mut peers: Vec<_> = (0..upstreams_in_all).map(|_| Peer::start()).collect();
        let settings = Settings { connect_timeout: LONG, ..settings() };
        let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
        let driver = driver(settings.clone(), upstreams(&settings, 1), &addresses);
        let ids = ["one", "two", "three"];
        let all: Vec<_> = ids.map(|id| driver.submit(asked(BOOK, id))).into();
        pass().await;
        for _ in ids {
            let mut came = None;
            settle("one comes", || {
                came = peers.iter_mut().enumerate().find_map(|(n, peer)| Some((n, peer.next()?)));
                came.is_some()
            })
            .await;
            let (n, come) = came.unwrap();
            peers[n].answer(come.link, &come.id);
        }
        for pending in all {
            assert_eq!(name(&pending.answer().await.0), "served", "of {upstreams_in_all}");
        }
    }
}

/// Guards clients at the end of the process: an attempt that is cut off before its first byte never ran, so that trying again is
/// harmless; one that was written has failed.
#[tokio::test(flavor = "local")]
async fn what_is_cut_off_while_it_waits_is_refused() {
    let mut peer = Peer::start();
    let settings = Settings { connect_timeout: LONG, ..settings() };
    let driver = driver(settings.clone(), upstreams(&settings, 1), &[peer.address]);
    let [written, waits] = ["one", "two"].map(|id| driver.submit(asked(BOOK, id)));
    settle("the first comes", || peer.next().is_some()).await;
    pass().await;
    driver.abort_attempts();
    assert_eq!(name(&written.answer().await.0), "failed");
    assert_eq!(name(&waits.answer().await.0), "refused");
    assert!(peer.next().is_none());
}
