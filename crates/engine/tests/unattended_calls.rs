//! Calls whose callers leave: what runs goes on, nothing further begins, and a repeat that joins brings the call back.

mod common;

use common::{AT_MOST_ONCE, DEDUPLICATED, IDEMPOTENT, ManualUpstream, UNPROCESSED_RESPONSE, settings};
use maplehook::source::Fixed;
use maplehook::{Call, Engine, Handle, Outcome};
use maplehook_core::{ClassId, TenantId};
use maplehook_test_servers::{LONG, until};
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Time in which a further attempt would begin, several times over.
const NOTHING_BEGINS: Duration = Duration::from_millis(400);

fn call(class: u16, id: Option<&str>) -> Call {
    let mut headers = hyper::HeaderMap::new();
    headers.insert(hyper::header::HOST, "desk".parse().unwrap());
    headers.insert("x-correlation-id", id.unwrap_or("none").parse().unwrap());
    Call {
        class: ClassId(class),
        tenant: TenantId(0),
        wait: LONG,
        id: id.map(|id| id.as_bytes().into()),
        method: if class == IDEMPOTENT { "GET" } else { "POST" }.parse().unwrap(),
        target: "/book".parse().unwrap(),
        headers,
        body: if class == IDEMPOTENT { "" } else { "body" }.into(),
        peer: None,
    }
}

/// An engine in front of two upstreams that answer when the test says so.
struct Rig {
    engine: Engine,
    host: Runtime,
    upstreams: [ManualUpstream; 2],
}

impl Rig {
    fn start() -> Self {
        let upstreams = [ManualUpstream::start(), ManualUpstream::start()];
        let names = ["desk-0", "desk-1"].into_iter();
        let fixed = Fixed::new(names.zip(upstreams.iter().map(|upstream| upstream.address)));
        let engine = Engine::builder(settings()).seed(7).upstreams(fixed).start().unwrap();
        let host =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        Self { engine, host, upstreams }
    }

    fn call(&self, class: u16, id: Option<&'static str>) -> JoinHandle<Outcome> {
        let handle: Handle = self.engine.handle();
        self.host.spawn(async move { handle.call(call(class, id)).await })
    }

    /// Returns the upstream and the connection on which a request has arrived, if one has.
    fn arrived(&mut self) -> Option<(usize, usize)> {
        let mut upstreams = self.upstreams.iter_mut().enumerate();
        upstreams.find_map(|(n, upstream)| upstream.next_request().map(|request| (n, request.connection)))
    }

    fn wait_for_request(&mut self) -> (usize, usize) {
        let mut arrived = None;
        until("a request arrives", || {
            arrived = self.arrived();
            arrived.is_some()
        });
        arrived.unwrap()
    }

    fn assert_nothing_begins(&mut self, what: &str) {
        std::thread::sleep(NOTHING_BEGINS);
        assert_eq!(self.arrived(), None, "{what}: an attempt begins for nobody");
    }

    fn is_served(&self, call: JoinHandle<Outcome>) -> bool {
        matches!(self.host.block_on(call).unwrap(), Outcome::Served(_))
    }
}

/// Guards against attempts for nobody (postmortem 81-attempts-for-nobody): an upstream turns the request away after its
/// caller has left. The call has not run, and a repeat of it is a first try.
#[test]
fn no_attempt_begins_after_the_last_caller_has_left() {
    for (class, id) in
        [(AT_MOST_ONCE, Some("one")), (DEDUPLICATED, Some("one")), (AT_MOST_ONCE, None), (IDEMPOTENT, None)]
    {
        let mut rig = Rig::start();
        let first = rig.call(class, id);
        let (n, connection) = rig.wait_for_request();
        first.abort();
        std::thread::sleep(NOTHING_BEGINS);
        rig.upstreams[n].write(connection, UNPROCESSED_RESPONSE);
        rig.assert_nothing_begins(&format!("class {class}, id {id:?}"));
        let repeat = rig.call(class, id);
        let (n, connection) = rig.wait_for_request();
        rig.upstreams[n].answer(connection, "done");
        assert!(rig.is_served(repeat), "class {class}, id {id:?}");
    }
}

/// Guards keyed requests: an attempt that may have run is not tried again for nobody, though its class allows that.
#[test]
fn a_broken_attempt_is_not_retried_after_its_caller_has_left() {
    let mut rig = Rig::start();
    let first = rig.call(DEDUPLICATED, Some("one"));
    let (n, connection) = rig.wait_for_request();
    first.abort();
    std::thread::sleep(NOTHING_BEGINS);
    rig.upstreams[n].reset(connection);
    rig.assert_nothing_begins("keyed");
    let repeat = rig.call(DEDUPLICATED, Some("one"));
    assert!(matches!(rig.host.block_on(repeat).unwrap(), Outcome::Failed), "it may have run");
}

/// Guards callers that share a call: it goes on for the last one, and a repeat that joins brings it back.
#[test]
fn a_call_goes_on_for_whoever_still_waits() {
    let mut rig = Rig::start();
    // One of two callers leaves.
    let first = rig.call(AT_MOST_ONCE, Some("one"));
    let (n, connection) = rig.wait_for_request();
    let second = rig.call(AT_MOST_ONCE, Some("one"));
    std::thread::sleep(NOTHING_BEGINS);
    first.abort();
    rig.upstreams[n].write(connection, UNPROCESSED_RESPONSE);
    let (n, connection) = rig.wait_for_request();
    // The last one leaves, and another one comes, while the second attempt is out.
    second.abort();
    std::thread::sleep(NOTHING_BEGINS);
    let third = rig.call(AT_MOST_ONCE, Some("one"));
    std::thread::sleep(NOTHING_BEGINS);
    rig.upstreams[n].answer(connection, "done");
    assert!(rig.is_served(third));
    rig.assert_nothing_begins("it has run");
    // What runs goes on for nobody, and its answer is kept.
    let fourth = rig.call(AT_MOST_ONCE, Some("two"));
    let (n, connection) = rig.wait_for_request();
    fourth.abort();
    std::thread::sleep(NOTHING_BEGINS);
    rig.upstreams[n].answer(connection, "done");
    std::thread::sleep(NOTHING_BEGINS);
    let fifth = rig.call(AT_MOST_ONCE, Some("two"));
    assert!(rig.is_served(fifth));
    rig.assert_nothing_begins("it is kept");
}
