//! How the list is asked for: in time, whatever hangs, is refused or falls silent, and seldom enough for one service.

mod common;
use common::*;
use maplehook_core::discovery_timing::{
    CALL_TIMEOUT, PROPAGATION_LIMIT, PROPAGATION_RESERVE, WATCH_IDLE_TIMEOUT, call_interval,
};
use maplehook_core::*;
use proptest::prelude::*;
use std::time::Duration;

/// The step of these worlds' clocks.
const STEP: Duration = Duration::from_millis(5);
/// The module's tick and a step: how late a call may be made after its time.
const LATE: Duration = Duration::from_millis(30);
/// Part of the settings' time for asking within which an answer is heard for sure: after that a call may be made again.
const HEARD: f64 = 0.7;

/// What the list service does for some time.
#[derive(Clone, Copy, Debug)]
enum Service {
    /// Answers each call after this long.
    Up(Duration),
    /// The same, but for the first call, which it refuses.
    UpAfterRefusal(Duration),
    /// Refuses each call at once; watches end.
    Refuses,
    /// Says nothing, and never answers what was asked meanwhile; watches fall silent.
    Hangs,
    /// Watches that are open end; else it is up.
    Resets(Duration),
    /// Watches that are open fall silent for good; else it is up.
    Silences(Duration),
}

impl Service {
    fn answers_in(self) -> Option<Duration> {
        match self {
            Self::Up(d) | Self::UpAfterRefusal(d) | Self::Resets(d) | Self::Silences(d) => Some(d),
            Self::Refuses | Self::Hangs => None,
        }
    }
}

/// A call, or the watch that it has become.
#[derive(Clone, Copy, Debug)]
enum Call {
    None,
    /// Made; it is answered then, if at all.
    Out(Duration, Option<Duration>),
    /// Open.
    Watch,
    /// Broken, and found to be so then.
    Silent(Duration),
}

struct World {
    bench: Bench,
    call: Call,
    ask_every: Duration,
    made: usize,
    /// The service can be reached, and no watch on it works, since then.
    blind_since: Option<Duration>,
    longest_blind: Duration,
}

impl World {
    fn new(settings: Settings, seed: u64) -> Self {
        let ask_every = settings.endpoint_poll_interval;
        let mut bench = Bench::new(settings.clone(), &[]);
        bench.balancer = Balancer::new(settings, seed).unwrap();
        bench.timers.clear();
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &[listed(1)] });
        Self { bench, call: Call::None, ask_every, made: 0, blind_since: None, longest_blind: Duration::ZERO }
    }

    fn failed(&mut self) {
        self.call = Call::None;
        self.bench.tell(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
    }

    /// The service changes.
    fn turns(&mut self, service: Service) {
        let now = self.bench.now;
        match (service, self.call) {
            (Service::Refuses | Service::Resets(_), Call::Watch) => {
                self.failed();
                self.blind_since = Some(now);
            }
            (Service::Refuses, Call::Out(..)) => self.failed(),
            (Service::Hangs | Service::Silences(_), Call::Watch) => {
                self.call = Call::Silent(now + WATCH_IDLE_TIMEOUT);
                self.blind_since = Some(now);
            }
            (Service::Hangs, Call::Out(made, _)) => self.call = Call::Out(made, None),
            _ => {}
        }
        if service.answers_in().is_none() {
            self.blind_since = None;
        } else if !matches!(self.call, Call::Watch) {
            self.blind_since = self.blind_since.or(Some(now));
        }
    }

    /// Lives for so long with this service; `refused`: it has yet to refuse a call.
    fn live(&mut self, service: Service, span: Duration) {
        self.turns(service);
        // A call that hangs from before is trouble enough for one return.
        let hung = matches!(self.call, Call::Out(..) | Call::Silent(_));
        let mut refuses_one = matches!(service, Service::UpAfterRefusal(_)) && !hung;
        let end = self.bench.now + span;
        while self.bench.now < end {
            self.bench.run(STEP);
            let now = self.bench.now;
            if self.bench.list_calls.len() > self.made {
                match self.call {
                    Call::None => {}
                    // The first is given up for it.
                    Call::Out(made, _) => assert!(now - made >= call_interval(self.ask_every).mul_f64(0.9)),
                    _ => panic!("a call beside a watch: {:?}", self.call),
                }
                self.made = self.bench.list_calls.len();
                let answers_in = service.answers_in().map(|d| d.min(self.ask_every.mul_f64(HEARD)));
                self.call = Call::Out(now, answers_in.map(|d| now + d));
                if matches!(service, Service::Refuses) || std::mem::take(&mut refuses_one) {
                    self.failed();
                }
            }
            match self.call {
                Call::Out(_, Some(answer)) if now >= answer => {
                    self.call = Call::Watch;
                    self.blind_since = None;
                    self.bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[] });
                }
                Call::Out(made, None) if now >= made + CALL_TIMEOUT => self.failed(),
                Call::Silent(found) if now >= found => self.failed(),
                _ => {}
            }
            if let Call::Out(made, _) = self.call {
                assert!(now - made < self.ask_every.max(2 * LATE), "the list in hand is too old");
            }
            let blind = self.blind_since.map_or(Duration::ZERO, |since| now - since);
            self.longest_blind = self.longest_blind.max(blind);
        }
    }
}

fn settings(ask_every: Duration) -> Settings {
    let classes = vec![class(400, 1000, Effect::Idempotent)];
    Settings {
        classes,
        has_endpoint_discovery: true,
        endpoint_poll_interval: ask_every,
        ..Settings::default()
    }
}

fn service() -> impl Strategy<Value = (Service, Duration)> {
    let slow = (0u64..=2500).prop_map(ms);
    let kind = prop_oneof![
        slow.clone().prop_map(Service::Up),
        slow.clone().prop_map(Service::UpAfterRefusal),
        Just(Service::Refuses),
        Just(Service::Hangs),
        slow.clone().prop_map(Service::Resets),
        slow.prop_map(Service::Silences),
    ];
    (kind, (0u64..12_000).prop_map(ms))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]

    /// The term on a change that counts as told: from the moment in which the service can be reached, over any sequence
    /// of refusing, hanging, falling silent and answering slowly, and under any settings, a balancer is without the list
    /// for less than the protocol's time.
    #[test]
    fn the_list_is_known_in_time_whatever_came_before(
        services in prop::collection::vec(service(), 1..12),
        ask_every in 100u64..120_000,
        seed in any::<u64>(),
    ) {
        let mut world = World::new(settings(ms(ask_every)), seed);
        for (service, span) in &services {
            world.live(*service, *span);
        }
        world.live(Service::Up(ms(2500)), PROPAGATION_LIMIT + ms(500));
        prop_assert!(matches!(world.call, Call::Watch), "{:?}", world.call);
        let most = PROPAGATION_LIMIT - PROPAGATION_RESERVE + 3 * LATE;
        prop_assert!(world.longest_blind <= most, "{:?} without the list", world.longest_blind);
    }
}

/// Guards one slow service against its callers: 300 balancers whose watches ended together, when it went down for 8 s,
/// have each called it a few times, come back spread over the longest wait, and each within it.
#[test]
fn balancers_come_back_to_a_service_that_was_down_in_time_and_spread() {
    const BALANCERS: u64 = 300;
    let (down, back) = (ms(8000), ms(1500));
    let mut returns: Vec<Duration> = Vec::new();
    for seed in 0..BALANCERS {
        let mut world = World::new(settings(ms(10_000)), seed);
        world.live(Service::Up(ms(50)), ms(5000));
        let before = world.made;
        world.live(Service::Refuses, down);
        let calls = world.made - before;
        assert!((6..=11).contains(&calls), "{calls} calls while it was down");
        world.live(Service::Up(ms(50)), back + LATE);
        let called = world.bench.list_calls[world.made - 1];
        returns.push(called - (ms(5000) + down));
        assert!(returns.last() <= Some(&(back + LATE)), "{returns:?}");
    }
    for window in 0..5 {
        let (from, to) = (ms(window * 300), ms((window + 1) * 300));
        let calls = returns.iter().filter(|at| (from..to).contains(at)).count();
        assert!(calls <= BALANCERS as usize / 2, "{calls} of {BALANCERS} from {from:?} to {to:?}");
    }
}

/// Guards a call whose answer is slow: it is not made again while it may be answered, where the settings leave that time;
/// and the list in hand: where they leave less, the call is made again before that counts as too old.
#[test]
fn a_call_is_repeated_in_time_and_not_while_its_answer_may_come() {
    let mut bench = Bench::new(settings(ms(2050)), &[listed(1)]);
    bench.run(ms(400));
    let made = bench.list_calls[0];
    bench.run(made + ms(1400) - bench.now);
    assert_eq!(bench.list_calls.len(), 1);
    bench.run(made + ms(2050) - bench.now);
    assert_eq!(bench.list_calls.len(), 2, "before the list in hand is too old");

    let mut bench = Bench::new(settings(ms(10_000)), &[listed(1)]);
    bench.run(ms(1000) + LATE);
    assert_eq!(bench.list_calls.len(), 1);
    let made = bench.list_calls[0];
    bench.run(made + CALL_TIMEOUT - bench.now);
    assert_eq!(bench.list_calls.len(), 1);
    bench.run(ms(1000));
    assert_eq!(bench.list_calls.len(), 2, "an embedder that never tells is asked again");
}

/// Guards the first call of a new balancer, and the call at a new place, against settings that ask seldom: whether it
/// waits after a failure, waits for an answer, or watches.
#[test]
fn a_new_balancer_and_a_moved_service_are_asked_soon() {
    let mut bench = Bench::new(settings(ms(120_000)), &[listed(1)]);
    bench.run(ms(1000) + LATE);
    assert_eq!(bench.list_calls.len(), 1, "the first call");
    let moved = |bench: &mut Bench, when: &str| {
        let calls = bench.list_calls.len();
        bench.tell(Event::DiscoveryMoved);
        bench.run(LATE);
        assert_eq!(bench.list_calls.len(), calls + 1, "moved {when}");
    };
    moved(&mut bench, "while a call is out");
    for _ in 0..6 {
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
    }
    moved(&mut bench, "while it waits to call again");
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[] });
    bench.run(ms(10_000));
    moved(&mut bench, "while a watch is open");
}

/// Guards the first call after a watch that has ended in place of telling, soon after an outage in which many calls had
/// failed: the answer that came in between begins the waits anew.
#[test]
fn an_answer_begins_the_waits_anew() {
    let mut bench = Bench::new(settings(ms(2050)), &[listed(1)]);
    bench.run(ms(400));
    for _ in 0..8 {
        bench.tell(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
        bench.run(ms(1600));
    }
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[] });
    bench.run(ms(100));
    let calls = bench.list_calls.len();
    bench.tell(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
    bench.run(ms(2050) / 20 + LATE);
    assert_eq!(bench.list_calls.len(), calls + 1, "a first wait, not the longest");
}
