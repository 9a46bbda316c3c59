//! Timing of calls to the discovery service. Calls must be early enough even if the service hangs, rejects
//! calls or goes silent, and spread out enough not to overload a single service.

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
/// Longest time from when a call is due until it is made: one tick of the balancer and one step of the clock.
const MAX_CALL_DELAY: Duration = Duration::from_millis(30);
/// Longest delay of an answer, as a fraction of the poll interval. Balancers may repeat a call after this
/// delay.
const MAX_ANSWER_DELAY_FRACTION: f64 = 0.7;

/// Behavior of the simulated discovery service.
#[derive(Clone, Copy, Debug)]
enum Service {
    /// Answers each call after this delay.
    Up(Duration),
    /// Rejects the first call, then answers each call after this delay.
    RejectsOnce(Duration),
    /// Rejects each call at once and ends open watches.
    Rejects,
    /// Answers neither new nor pending calls, and sends nothing on open watches.
    Hangs,
    /// Ends open watches, and answers new calls after this delay.
    EndsWatches(Duration),
    /// Sends nothing on open watches, and answers new calls after this delay.
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

/// State of the last discovery call, or of the watch that this call has opened.
#[derive(Clone, Copy, Debug)]
enum Call {
    None,
    /// Time of the call, and time of its answer, or `None` if the service does not answer.
    Pending(Duration, Option<Duration>),
    /// The watch is open and delivers updates.
    Watch,
    /// The watch is open but silent. The balancer detects the silence at this time.
    SilentWatch(Duration),
}

struct Simulation {
    harness: Harness,
    call: Call,
    poll_interval: Duration,
    call_count: usize,
    /// Time since which the service has been reachable without a working watch.
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

    /// Changes the behavior of the service and updates the pending call or the open watch accordingly.
    fn change_service(&mut self, service: Service) {
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

    /// Runs the simulation for `span` with this behavior of the service.
    fn run_service(&mut self, service: Service, span: Duration) {
        self.change_service(service);
        // During a recovery at most one call fails: the service rejects none if a call or a watch still
        // hangs.
        let is_call_hanging = matches!(self.call, Call::Pending(..) | Call::SilentWatch(_));
        let mut rejects_next_call = matches!(service, Service::RejectsOnce(_)) && !is_call_hanging;
        let end = self.harness.now + span;
        while self.harness.now < end {
            self.harness.advance(STEP);
            let now = self.harness.now;
            if self.harness.discovery_calls.len() > self.call_count {
                match self.call {
                    Call::None => {}
                    // The balancer may abandon a pending call only after about one call interval.
                    Call::Pending(t, _) => assert!(now - t >= call_interval(self.poll_interval).mul_f64(0.9)),
                    _ => panic!("called while a watch is open: {:?}", self.call),
                }
                self.call_count = self.harness.discovery_calls.len();
                let answer_delay = service
                    .answer_delay()
                    .map(|d| d.min(self.poll_interval.mul_f64(MAX_ANSWER_DELAY_FRACTION)));
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
                    "a call is pending for longer than the poll interval, so the cached list is too old"
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
    let service = prop_oneof![
        answer_delay.clone().prop_map(Service::Up),
        answer_delay.clone().prop_map(Service::RejectsOnce),
        Just(Service::Rejects),
        Just(Service::Hangs),
        answer_delay.clone().prop_map(Service::EndsWatches),
        answer_delay.prop_map(Service::SilencesWatches),
    ];
    (service, (0u64..12_000).prop_map(ms))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]

    /// A change counts as known to all balancers after `PROPAGATION_LIMIT`. Once the service is reachable, a
    /// balancer must therefore open a working watch within this limit minus a reserve. This must hold for any
    /// poll interval, and after rejected calls, hanging calls, silent watches and slow answers in any order.
    #[test]
    fn opens_a_working_watch_within_the_propagation_limit_after_any_failures(
        services in prop::collection::vec(any_service(), 1..12),
        poll_interval in 100u64..120_000,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(settings(ms(poll_interval)), seed);
        for (service, span) in &services {
            simulation.run_service(*service, *span);
        }
        simulation.run_service(Service::Up(ms(2500)), PROPAGATION_LIMIT + ms(500));
        prop_assert!(matches!(simulation.call, Call::Watch), "no working watch: {:?}", simulation.call);
        let max_time = PROPAGATION_LIMIT - PROPAGATION_RESERVE + 3 * MAX_CALL_DELAY;
        prop_assert!(
            simulation.max_time_without_watch <= max_time,
            "the service was reachable for {:?} without a working watch, at most {max_time:?} are allowed",
            simulation.max_time_without_watch
        );
    }
}

/// 300 balancers lose their watches together when the service goes down for 8 s, and must not overload it
/// when it is back. Each balancer calls the service 6 to 11 times during the outage. The calls after the
/// outage are spread over the longest backoff, and each balancer calls within that time.
#[test]
fn calls_are_spread_over_the_backoff_after_an_outage() {
    const BALANCERS: u64 = 300;
    let (downtime, max_backoff) = (ms(8000), ms(1500));
    let mut call_delays: Vec<Duration> = Vec::new();
    for seed in 0..BALANCERS {
        let mut simulation = Simulation::new(settings(ms(10_000)), seed);
        simulation.run_service(Service::Up(ms(50)), ms(5000));
        let calls_before = simulation.call_count;
        simulation.run_service(Service::Rejects, downtime);
        let calls = simulation.call_count - calls_before;
        assert!((6..=11).contains(&calls), "a balancer made {calls} calls during the outage");
        simulation.run_service(Service::Up(ms(50)), max_backoff + MAX_CALL_DELAY);
        let called_at = simulation.harness.discovery_calls[simulation.call_count - 1];
        call_delays.push(called_at - (ms(5000) + downtime));
        assert!(
            call_delays.last() <= Some(&(max_backoff + MAX_CALL_DELAY)),
            "a balancer did not call within the longest backoff after the outage: {call_delays:?}"
        );
    }
    for window in 0..5 {
        let (from, to) = (ms(window * 300), ms((window + 1) * 300));
        let calls = call_delays.iter().filter(|at| (from..to).contains(at)).count();
        assert!(
            calls <= BALANCERS as usize / 2,
            "{calls} of {BALANCERS} balancers call {from:?} to {to:?} after the outage"
        );
    }
}

/// A call without an answer must not be repeated before its timeout, unless the poll interval is shorter.
/// Then the call must be repeated before the cached list is older than the poll interval.
#[test]
fn repeats_an_unanswered_call_after_its_timeout_or_the_poll_interval() {
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

/// A long poll interval must not delay the first call of a new balancer. It must not delay the call after a
/// change of the service's address either, whether a call is pending, a retry is due later or a watch is
/// open.
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
            "the balancer calls at once if the address changes {when}"
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

/// The failed calls of an outage raise the backoff to its maximum, and the first answer must reset it. If a
/// watch ends soon after an outage, the next call must follow after the shortest backoff.
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
    assert_eq!(harness.discovery_calls.len(), calls + 1, "the call follows after the shortest backoff");
}
