//! Traffic splits that the driver applies, and the locality observations that it returns, over real sockets.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use maplehook::label::Label;
use maplehook::parts::attempt::OutboundRequest;
use maplehook::parts::body::Payload;
use maplehook::parts::buffer_memory::BufferMemory;
use maplehook::parts::descriptors::Descriptors;
use maplehook::parts::driver::{Answer, Driver, RequestContext};
use maplehook::parts::upstream::{EndpointState, Upstreams};
use maplehook::source::{EndpointUpdate, Entry, Fixed};
use maplehook_core::{
    Availability, Balancer, CellId, Class, ClassId, Effect, GroupObservation, GroupSplit, KindId, Settings,
    Tenant, TenantId, TrafficSplit, TrafficSplitError, UpdateScope, UpstreamId, ZoneId,
};
use maplehook_http_semantics::{Forwarding, Passage};
use maplehook_test_servers::{LONG, OK, Then, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn start_driver(addresses_and_zones: &[(SocketAddr, u8)]) -> Rc<Driver> {
    let settings = Settings {
        zone: ZoneId(1),
        classes: vec![Class {
            latency_objective: LONG,
            deadline: LONG,
            effect: Effect::Idempotent,
            ..Class::default()
        }],
        tenants: vec![Tenant { allowance_per_s: 1e4 }],
        ..Settings::default()
    };
    let descriptors = Descriptors::for_upstreams(64).unwrap();
    let upstreams = Upstreams::new(
        &settings,
        descriptors,
        BufferMemory::new(1 << 20),
        Forwarding::platform(),
        Arc::default(),
    );
    let entry = |(n, (address, zone)): (usize, &(SocketAddr, u8))| Entry {
        id: UpstreamId(n as u64),
        zone: ZoneId(*zone),
        kind: KindId(0),
        cell: CellId(0),
        weight: 1.0,
        state: EndpointState { endpoint: Some(*address), availability: Availability::Ready, boot_ms: 0 },
    };
    let entries = addresses_and_zones.iter().enumerate().map(entry).collect();
    let balancer = Balancer::new(settings, 7).unwrap();
    let known = EndpointUpdate { scope: UpdateScope::Cached, entries };
    Driver::start(balancer, Rc::new(upstreams), Rc::new(Fixed::default()), known)
}

async fn send_request(driver: &Rc<Driver>) -> Answer {
    let outgoing = OutboundRequest {
        method: Method::GET,
        target: Uri::from_static("/look"),
        headers: HeaderMap::new(),
        body: Payload::Buffered(Bytes::new()),
        passage: Rc::new(Passage::general(Effect::Idempotent)),
    };
    let context = RequestContext {
        class: ClassId(0),
        tenant: TenantId(0),
        deadline: Instant::now() + LONG,
        work_ms: None,
        repeat: false,
        outgoing,
        label: Label::default(),
        presence: None,
    };
    driver.submit(context).answer().await.0
}

fn split_by_zone(zone_shares: &[(u8, f64)]) -> TrafficSplit {
    let shares = zone_shares.iter().map(|(zone, share)| (ZoneId(*zone), *share)).collect();
    let group = GroupSplit {
        zone_shares: shares,
        region: vec![ZoneId(1)],
        forbidden: Vec::new(),
        max_cross_region: 1.0,
    };
    TrafficSplit { groups: vec![0], tenants: 1, rows: vec![group] }
}

/// A split that is ignored, or counted in the wrong zone, would misdirect traffic and the decisions about it.
#[tokio::test(flavor = "local")]
async fn requests_follow_the_traffic_split_and_are_counted_by_zone() {
    let (near, far) = (Upstream::start(Then::Answer(OK)), Upstream::start(Then::Answer(OK)));
    let driver = start_driver(&[(near.address, 1), (far.address, 2)]);
    driver.set_traffic_split(Some(split_by_zone(&[(2, 0.75)]))).unwrap();
    let mut rejected_count = 0;
    for _ in 0..40 {
        rejected_count += u64::from(matches!(send_request(&driver).await, Answer::Rejected(_)));
    }
    assert_eq!((near.seen().len(), far.seen().len(), rejected_count), (0, 30, 10));
    let observations = driver.observations();
    assert_eq!(observations.groups, [GroupObservation { requests: 40, rejected: 10 }]);
    let by_zone: Vec<(u8, f64, u64, u64)> =
        observations.zones.iter().map(|z| (z.zone.0, z.usable_weight, z.sent, z.succeeded)).collect();
    assert_eq!(by_zone, [(1, 1.0, 0, 0), (2, 1.0, 30, 30)]);
    let [(ZoneId(2), connect_times)] = observations.connects[..] else {
        panic!("expected connects only to zone 2: {:?}", observations.connects)
    };
    assert!(connect_times.count >= 1 && connect_times.total_time > Duration::ZERO, "{connect_times:?}");

    // An invalid split is rejected and changes nothing.
    assert_eq!(
        driver.set_traffic_split(Some(split_by_zone(&[(1, 2.0)]))),
        Err(TrafficSplitError::OutOfRange(0))
    );
    driver.set_traffic_split(Some(split_by_zone(&[(1, 1.0)]))).unwrap();
    send_request(&driver).await;
    assert_eq!((near.seen().len(), far.seen().len()), (1, 30));
    driver.set_traffic_split(None).unwrap();
    for _ in 0..20 {
        send_request(&driver).await;
    }
    assert!(near.seen().len() > 5 && far.seen().len() > 35, "both zones get requests again without a split");
    assert!(driver.observations().groups.is_empty());
}
