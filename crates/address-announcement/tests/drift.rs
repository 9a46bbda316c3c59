//! Handovers with clocks that drift by 1 %, each in the worst direction.

mod common;

use common::{Run, address, ms, s};
use maplehook_address_announcement::{Announce, Answer, LocalBalancer, Order, State};
use maplehook_locality::Region;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(4);

/// Returns the time shown by a clock that runs at the given rate.
fn clock_time(rate: f64, real: Duration) -> Duration {
    real.mul_f64(rate)
}

fn holder(state: &State, requested_at: Duration) -> LocalBalancer {
    let lease_end = requested_at + LEASE.mul_f64(0.99);
    LocalBalancer {
        site: "a".into(),
        ready: true,
        served: 1.0,
        lease_until: Some(lease_end),
        state: Some(state.clone()),
    }
}

/// Returns the real time until which a router that polls now uses the answer.
fn announced_until(balancer: &LocalBalancer, rate: f64, router_rate: f64, real: Duration) -> Duration {
    match balancer.answer("front", clock_time(rate, real)) {
        Answer::Announces { good_for, .. } => real + good_for.div_f64(router_rate),
        Answer::Withdrawn { .. } => Duration::ZERO,
    }
}

/// Runs a leader with the given clock rate until 200 s of real time, with `a` as the holder.
fn run_leader(rate: f64) -> Run {
    let mut run = Run::new(address(Announce::One, 2, 1));
    run.run(s(5));
    run.now = clock_time(rate, s(200));
    run.tick();
    run
}

/// Returns the real time at which `b` holds the address. `behind` gives the remaining time of the balancer
/// that is behind.
fn time_of_takeover(run: &mut Run, rate: f64, behind: impl Fn(Duration) -> Option<Duration>) -> Duration {
    for real in (200_000..220_000).map(ms) {
        run.now = clock_time(rate, real);
        run.behind = behind(real).map(|remaining| (Region(0), remaining)).into_iter().collect();
        run.tick();
        if run.address_state().holder.as_deref() == Some("b") {
            return real;
        }
    }
    panic!("{:?}", run.address_state())
}

fn move_to_b(run: &mut Run) -> State {
    let old_state = run.decider.state().clone();
    let order = Order::Move { name: "front".into(), site: "b".into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
    old_state
}

#[test]
fn answers_of_a_cut_off_holder_expire_before_the_next_holder_starts() {
    for (balancer_rate, leader_rate, router_rate) in
        [(0.99, 1.01, 0.99), (1.01, 1.01, 0.99), (0.99, 0.99, 0.99)]
    {
        let mut run = run_leader(leader_rate);
        let old_state = move_to_b(&mut run);
        let balancer = holder(&old_state, clock_time(balancer_rate, s(200)));
        let lease_end = clock_time(leader_rate, s(200)) + LEASE.mul_f64(1.01 / 0.99);
        let new_start = time_of_takeover(&mut run, leader_rate, |real| {
            lease_end.checked_sub(clock_time(leader_rate, real)).filter(|d| !d.is_zero())
        });
        let old_end = (199_000..206_000)
            .map(ms)
            .map(|real| announced_until(&balancer, balancer_rate, router_rate, real))
            .max()
            .unwrap();
        assert!(
            old_end <= new_start,
            "{balancer_rate} {leader_rate}: answers end at {old_end:?}, next holder starts at {new_start:?}"
        );
        assert!(new_start <= s(200) + LEASE.mul_f64(1.05), "{new_start:?}");
        // In real time, no answer outlasts the lease.
        let lease_end = balancer.lease_until.unwrap().div_f64(balancer_rate);
        assert!(old_end <= lease_end, "{balancer_rate}: {old_end:?} {lease_end:?}");
    }
}

#[test]
fn answers_given_just_before_the_new_state_expire_before_the_next_holder_starts() {
    for received_at in [0, 1, 700] {
        let (balancer_rate, leader_rate, router_rate) = (1.0, 1.01, 0.99);
        let mut run = run_leader(leader_rate);
        let old_state = move_to_b(&mut run);
        let balancer = holder(&old_state, clock_time(balancer_rate, s(200)));
        let received_at = s(200) + ms(received_at);
        let new_start = time_of_takeover(&mut run, leader_rate, |real| (real < received_at).then_some(LEASE));
        let old_end = announced_until(&balancer, balancer_rate, router_rate, received_at);
        assert!(
            old_end <= new_start,
            "{received_at:?}: answers end at {old_end:?}, next holder starts at {new_start:?}"
        );
        assert!(
            new_start <= old_end + ms(5),
            "next holder starts too late: {new_start:?}, old answers end at {old_end:?}"
        );
    }
}
