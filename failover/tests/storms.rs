//! Zones that are lost, ill, cut, flap, and all at once.

mod world;

use maplehook_failover::PlaceState;
use world::World;

#[test]
fn calm_is_near_and_plans_nothing() {
    let mut world = World::new();
    world.run(20.0);
    assert!(world.force.plan.rows.is_empty());
    assert_eq!(world.share_served(), 1.0);
    assert!(world.force.places.iter().all(|place| place.state == PlaceState::Serving));
    assert!(
        world.force.plan.spare.iter().all(|spare| (200.0..300.0).contains(spare)),
        "{:?}",
        world.force.plan.spare
    );
}

#[test]
fn a_lost_zone_is_known_within_three_seconds_and_its_clients_go_to_the_region() {
    let mut world = World::new();
    world.run(10.0);
    // Its upstreams go, its balancers stay.
    world.zones[0].up = 0.0;
    world.run(3.0);
    assert_eq!(world.part(0, 0), 0.0);
    assert!(world.part(0, 1) > 0.7, "{:?}", world.force.plan);
    world.count_anew();
    world.run(10.0);
    assert!(world.share_served() > 0.999 && world.worst <= 1.001, "{} {}", world.share_served(), world.worst);
}
