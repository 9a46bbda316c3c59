//! Attempts that wait because all connections that upstreams may have are in use.

mod common;

use common::{BOOK, Peer, asked, driver, name, pass, settings, settle, upstreams};
use lapisroute::Settings;
use maplehook_standins::LONG;

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
        let all: Vec<_> = ids.map(|id| driver.ask(asked(BOOK, id))).into();
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
