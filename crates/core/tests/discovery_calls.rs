//! Timing of discovery calls. Calls have to be early enough even if the discovery service hangs, rejects
//! calls or goes silent, and spread out enough for a single service.

mod common;
use common::*;
use maplehook_core::discovery_timing::{
    CALL_TIMEOUT, PROPAGATION_LIMIT, PROPAGATION_RESERVE, WATCH_IDLE_TIMEOUT, call_interval,
};
use maplehook_core::*;
use proptest::prelude::*;
use std::time::Duration;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// Longest delay of a call after it is due: one tick of the balancer and one step of the clock.
const MAX_CALL_DELAY: Duration = Duration::from_millis(30);
/// Share of the poll interval within which each answer arrives; a call may be repeated after that.
const ANSWERED_SHARE: f64 = 0.7;

/// Behavior of the discovery service for some time.
#[derive(Clone, Copy, Debug)]
enum Service {
    /// Answers each call after this time.
    Up(Duration),
    /// Rejects the first call, then answers each call after this time.
    RejectsOnce(Duration),
    /// Rejects each call at once and ends open watches.
    Rejects,
    /// Answers neither new nor pending calls, and sends nothing on open watches.
    Hangs,
    /// Ends open watches, and answers new calls after this time.
    EndsWatches(Duration),
    /// Sends nothing more on open watches, and answers new calls after this time.
    SilencesWatches(Duration),
}

impl Service {
    fn answer_delay(self) -> Option<Duration> {
        match self {
            Self::Up(d) | Self::RejectsOnce(d) | Self::EndsWatches(d) | Self::SilencesWatches(d) => Some(d),
            Self::Rejects | Self::Hangs => None,
        }
    }
}

/// State of the current call, or of the watch that it has opened.
#[derive(Clone, Copy, Debug)]
enum Call {
    None,
    /// Time of the call, and time of its answer if it gets one.
    Pending(Duration, Option<Duration>),
    /// The watch is open and works.
    Watch,
    /// The watch is silent; the balancer detects it at this time.
    SilentWatch(Duration),
}

struct Simulation {
    harness: Harness,
    call: Call,
    poll_interval: Duration,
    call_count: usize,
    /// Time since which the service is reachable but no watch works.
    no_watch_since: Option<Duration>,
    max_time_without_watch: Duration,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        let poll_interval = settings.endpoint_poll_interval;
        let mut harness = Harness::new(settings.clone(), &[]);
        harness.balancer = Balancer::new(settings, seed).unwrap();
        harness.timers.clear();
        harness.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &[endpoint(1)] });
        Self {
            harness,
            call: Call::None,
            poll_interval,
            call_count: 0,
            no_watch_since: None,
            max_time_without_watch: Duration::ZERO,
        }
    }

    fn fail_call(&mut self) {
        self.call = Call::None;
        self.harness.handle(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
    }

    /// Switches to another behavior of the service.
    fn switch_service(&mut self, service: Service) {
        let now = self.harness.now;
        match (service, self.call) {
            (Service::Rejects | Service::EndsWatches(_), Call::Watch) => {
                self.fail_call();
                self.no_watch_since = Some(now);
            }
            (Service::Rejects, Call::Pending(..)) => self.fail_call(),
            (Service::Hangs | Service::SilencesWatches(_), Call::Watch) => {
                self.call = Call::SilentWatch(now + WATCH_IDLE_TIMEOUT);
                self.no_watch_since = Some(now);
            }
            (Service::Hangs, Call::Pending(called_at, _)) => self.call = Call::Pending(called_at, None),
            _ => {}
        }
        if service.answer_delay().is_none() {
            self.no_watch_since = None;
        } else if !matches!(self.call, Call::Watch) {
            self.no_watch_since = self.no_watch_since.or(Some(now));
        }
    }

    /// Simulates a behavior of the service for `span`.
    fn run_service(&mut self, service: Service, span: Duration) {
        self.switch_service(service);
        // A recovery includes at most one failed call: a call that still hangs, or else a rejected one.
        let is_call_hanging = matches!(self.call, Call::Pending(..) | Call::SilentWatch(_));
        let mut rejects_next_call = matches!(service, Service::RejectsOnce(_)) && !is_call_hanging;
        let end = self.harness.now + span;
        while self.harness.now < end {
            self.harness.advance(STEP);
            let now = self.harness.now;
            if self.harness.discovery_calls.len() > self.call_count {
                match self.call {
                    Call::None => {}
                    // The balancer gives up the pending call.
                    Call::Pending(t, _) => assert!(now - t >= call_interval(self.poll_interval).mul_f64(0.9)),
                    _ => panic!("a call while a watch is open: {:?}", self.call),
                }
                self.call_count = self.harness.discovery_calls.len();
                let answer_delay =
                    service.answer_delay().map(|d| d.min(self.poll_interval.mul_f64(ANSWERED_SHARE)));
                self.call = Call::Pending(now, answer_delay.map(|d| now + d));
                if matches!(service, Service::Rejects) || std::mem::take(&mut rejects_next_call) {
                    self.fail_call();
                }
            }
            match self.call {
                Call::Pending(_, Some(answered_at)) if now >= answered_at => {
                    self.call = Call::Watch;
                    self.no_watch_since = None;
                    self.harness
                        .handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[] });
                }
                Call::Pending(called_at, None) if now >= called_at + CALL_TIMEOUT => self.fail_call(),
                Call::SilentWatch(detected_at) if now >= detected_at => self.fail_call(),
                _ => {}
            }
            if let Call::Pending(called_at, _) = self.call {
                assert!(
                    now - called_at < self.poll_interval.max(2 * MAX_CALL_DELAY),
                    "the cached list is older than the poll interval"
                );
            }
            let time_without_watch = self.no_watch_since.map_or(Duration::ZERO, |since| now - since);
            self.max_time_without_watch = self.max_time_without_watch.max(time_without_watch);
        }
    }
}

fn settings(poll_interval: Duration) -> Settings {
    let classes = vec![class(400, 1000, Effect::Idempotent)];
    Settings {
        classes,
        has_endpoint_discovery: true,
        endpoint_poll_interval: poll_interval,
        ..Settings::default()
    }
}

fn any_service() -> impl Strategy<Value = (Service, Duration)> {
    let answer_delay = (0u64..=2500).prop_map(ms);
    let kind = prop_oneof![
        answer_delay.clone().prop_map(Service::Up),
        answer_delay.clone().prop_map(Service::RejectsOnce),
        Just(Service::Rejects),
        Just(Service::Hangs),
        answer_delay.clone().prop_map(Service::EndsWatches),
        answer_delay.prop_map(Service::SilencesWatches),
    ];
    (kind, (0u64..12_000).prop_map(ms))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]

    /// A change counts as known to all balancers after `PROPAGATION_LIMIT`. Once the service is reachable, a
    /// balancer must therefore get a working watch within this limit minus the reserve, after any sequence of
    /// rejected calls, hanging calls, silent watches and slow answers, and for any poll interval.
    #[test]
    fn gets_a_working_watch_in_time_after_any_failures(
        services in prop::collection::vec(any_service(), 1..12),
        poll_interval in 100u64..120_000,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(settings(ms(poll_interval)), seed);
        for (service, span) in &services {
            simulation.run_service(*service, *span);
        }
        simulation.run_service(Service::Up(ms(2500)), PROPAGATION_LIMIT + ms(500));
        prop_assert!(matches!(simulation.call, Call::Watch), "{:?}", simulation.call);
        let max_time = PROPAGATION_LIMIT - PROPAGATION_RESERVE + 3 * MAX_CALL_DELAY;
        prop_assert!(
            simulation.max_time_without_watch <= max_time,
            "no working watch for {:?}",
            simulation.max_time_without_watch
        );
    }
}

/// Calls must not overload a service that comes back after 8 s. The watches of 300 balancers ended together;
/// while the service is down, each balancer calls it only a few times, and afterwards their calls are spread
/// over the longest backoff, each of them within it.
#[test]
fn calls_are_spread_over_the_backoff_after_an_outage() {
    const BALANCERS: u64 = 300;
    let (downtime, max_return_delay) = (ms(8000), ms(1500));
    let mut return_delays: Vec<Duration> = Vec::new();
    for seed in 0..BALANCERS {
        let mut simulation = Simulation::new(settings(ms(10_000)), seed);
        simulation.run_service(Service::Up(ms(50)), ms(5000));
        let calls_before = simulation.call_count;
        simulation.run_service(Service::Rejects, downtime);
        let calls = simulation.call_count - calls_before;
        assert!((6..=11).contains(&calls), "{calls} calls while the service was down");
        simulation.run_service(Service::Up(ms(50)), max_return_delay + MAX_CALL_DELAY);
        let returned_at = simulation.harness.discovery_calls[simulation.call_count - 1];
        return_delays.push(returned_at - (ms(5000) + downtime));
        assert!(
            return_delays.last() <= Some(&(max_return_delay + MAX_CALL_DELAY)),
            "calls after the service was up: {return_delays:?}"
        );
    }
    for window in 0..5 {
        let (from, to) = (ms(window * 300), ms((window + 1) * 300));
        let calls = return_delays.iter().filter(|at| (from..to).contains(at)).count();
        assert!(calls <= BALANCERS as usize / 2, "{calls} of {BALANCERS} calls from {from:?} to {to:?}");
    }
}

/// A slow call must not be repeated while its answer may still arrive, if the poll interval is long enough.
/// If the poll interval is shorter, the call must be repeated before the cached list is too old.
#[test]
fn repeats_a_slow_call_only_when_the_poll_interval_requires_it() {
    let mut harness = Harness::new(settings(ms(2050)), &[endpoint(1)]);
    harness.advance(ms(400));
    let called_at = harness.discovery_calls[0];
    harness.advance(called_at + ms(1400) - harness.now);
    assert_eq!(harness.discovery_calls.len(), 1);
    harness.advance(called_at + ms(2050) - harness.now);
    assert_eq!(harness.discovery_calls.len(), 2, "the call is repeated before the cached list is too old");

    let mut harness = Harness::new(settings(ms(10_000)), &[endpoint(1)]);
    harness.advance(ms(1000) + MAX_CALL_DELAY);
    assert_eq!(harness.discovery_calls.len(), 1);
    let called_at = harness.discovery_calls[0];
    harness.advance(called_at + CALL_TIMEOUT - harness.now);
    assert_eq!(harness.discovery_calls.len(), 1);
    harness.advance(ms(1000));
    assert_eq!(harness.discovery_calls.len(), 2, "the call is repeated if the embedder reports no result");
}

/// A long poll interval must delay neither the first call of a new balancer nor the call to a service with a
/// new address, whether the balancer waits to retry, waits for an answer or has an open watch.
#[test]
fn calls_at_once_after_a_start_and_after_an_address_change() {
    let mut harness = Harness::new(settings(ms(120_000)), &[endpoint(1)]);
    harness.advance(ms(1000) + MAX_CALL_DELAY);
    assert_eq!(harness.discovery_calls.len(), 1, "the first call is made within a second");
    let assert_called_after_move = |harness: &mut Harness, when: &str| {
        let calls = harness.discovery_calls.len();
        harness.handle(Event::DiscoveryMoved);
        harness.advance(MAX_CALL_DELAY);
        assert_eq!(
            harness.discovery_calls.len(),
            calls + 1,
            "the service is called after its address changed {when}"
        );
    };
    assert_called_after_move(&mut harness, "while a call is pending");
    for _ in 0..6 {
        harness.handle(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
    }
    assert_called_after_move(&mut harness, "while the balancer waits to retry");
    harness.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[] });
    harness.advance(ms(10_000));
    assert_called_after_move(&mut harness, "while a watch is open");
}

/// An answer resets the backoff. A watch that ends soon after an outage with many failed calls must be
/// followed by a call after the first backoff, not after the longest.
#[test]
fn an_answer_resets_the_backoff() {
    let mut harness = Harness::new(settings(ms(2050)), &[endpoint(1)]);
    harness.advance(ms(400));
    for _ in 0..8 {
        harness.handle(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
        harness.advance(ms(1600));
    }
    harness.handle(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &[] });
    harness.advance(ms(100));
    let calls = harness.discovery_calls.len();
    harness.handle(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
    harness.advance(ms(2050) / 20 + MAX_CALL_DELAY);
    assert_eq!(harness.discovery_calls.len(), calls + 1, "the first backoff applies, not the longest");
}
