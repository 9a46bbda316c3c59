//! Clocks that go wrong by 1 %, each the worst way.

mod common;

use common::{Run, address, ms, s};
use maplehook_address_announcement::{Announce, Answer, LocalBalancer, Order, State};
use maplehook_locality::Region;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(4);

/// What a clock that goes wrong shows.
fn by(rate: f64, real: Duration) -> Duration {
    real.mul_f64(rate)
}

fn holder(state: &State, asked: Duration) -> LocalBalancer {
    let until = asked + LEASE.mul_f64(0.99);
    LocalBalancer {
        site: "a".into(),
        ready: true,
        served: 1.0,
        lease_until: Some(until),
        state: Some(state.clone()),
    }
}

/// Until when, in real time, a router goes on that asked now.
fn held(own: &LocalBalancer, rate: f64, router: f64, real: Duration) -> Duration {
    match own.answer("front", by(rate, real)) {
        Answer::Announces { good_for, .. } => real + good_for.div_f64(router),
        Answer::Withdrawn { .. } => Duration::ZERO,
    }
}

/// A leader whose clock goes at this rate, with `a` as the holder, at 200 s of real time.
fn leader(rate: f64) -> Run {
    let mut run = Run::new(address(Announce::One, 2, 1));
    run.run(s(5));
    run.now = by(rate, s(200));
    run.tick();
    run
}

/// When the other one holds it, in real time, if the leader is told what is behind by this.
fn taken(run: &mut Run, rate: f64, behind: impl Fn(Duration) -> Option<Duration>) -> Duration {
    for real in (200_000..220_000).map(ms) {
        run.now = by(rate, real);
        run.behind = behind(real).map(|left| (Region(0), left)).into_iter().collect();
        run.tick();
        if run.standing().holder.as_deref() == Some("b") {
            return real;
        }
    }
    panic!("{:?}", run.standing())
}

fn moved(run: &mut Run) -> State {
    let before = run.decider.state().clone();
    let order = Order::Move { name: "front".into(), site: "b".into(), by: "ops".into(), anyway: false };
    let state = run.decider.order(&order).unwrap();
    run.accept(state);
    before
}

#[test]
fn a_holder_with_a_slow_clock_that_is_cut_off_has_ended_before_the_next_begins() {
    for (own_rate, leader_rate, router) in [(0.99, 1.01, 0.99), (1.01, 1.01, 0.99), (0.99, 0.99, 0.99)] {
        let mut run = leader(leader_rate);
        let before = moved(&mut run);
        let own = holder(&before, by(own_rate, s(200)));
        let granted = by(leader_rate, s(200)) + LEASE.mul_f64(1.01 / 0.99);
        let next = taken(&mut run, leader_rate, |real| {
            granted.checked_sub(by(leader_rate, real)).filter(|d| !d.is_zero())
        });
        let last = (199_000..206_000).map(ms).map(|real| held(&own, own_rate, router, real)).max().unwrap();
        assert!(last <= next, "{own_rate} {leader_rate}: held until {last:?}, the next from {next:?}");
        assert!(next <= s(200) + LEASE.mul_f64(1.05), "{next:?}");
        // It never reaches past the lease itself, in real time.
        let end = own.lease_until.unwrap().div_f64(own_rate);
        assert!(last <= end, "{own_rate}: {last:?} {end:?}");
    }
}

#[test]
fn what_was_answered_a_moment_before_the_news_has_ended_before_the_next_begins() {
    for heard in [0, 1, 700] {
        let (own_rate, leader_rate, router) = (1.0, 1.01, 0.99);
        let mut run = leader(leader_rate);
        let before = moved(&mut run);
        let own = holder(&before, by(own_rate, s(200)));
        let heard = s(200) + ms(heard);
        let next = taken(&mut run, leader_rate, |real| (real < heard).then_some(LEASE));
        let last = held(&own, own_rate, router, heard);
        assert!(last <= next, "{heard:?}: held until {last:?}, the next from {next:?}");
        assert!(next <= last + ms(5), "and no later than it has to be: {last:?} {next:?}");
    }
}
