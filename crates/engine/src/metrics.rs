//! What operators count: requests by class and final answer, attempts, the list. Read from any thread.
//!
//! A request is counted where its answer ends, by the [`PendingRequest`] that it holds from when it was taken: exactly once, whatever
//! way it goes. One whose client has left before is counted by none of the three.

mod reason_counters;

pub use reason_counters::ReasonCounters;

use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::driver::Answer;
use maplehook_core::{ClassId, Outcome, TenantId};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The content type of [`Metrics::text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Group {
    group: String,
}

/// The figures of one process. They begin at nought, and those that count only rise.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answered: Family<Group, Counter>,
    deferred: Family<Group, Counter>,
    errored: Family<Group, Counter>,
    /// Attempts written whole to upstreams.
    pub sends: Counter,
    /// Requests taken and not ended.
    pub current: Gauge,
    /// Upstreams in the list.
    pub cluster_size: Gauge,
    /// Those of them that are avoided now.
    pub cluster_unhealthy: Gauge,
    /// Configurations taken at SIGHUP.
    pub conf_loaded: Counter,
    /// Configurations turned down at SIGHUP.
    pub conf_invalid: Counter,
    /// Connections of clients that have ended, by why.
    pub clients_ended: ReasonCounters,
    /// Clients that were turned away before a request of theirs was read, by why.
    pub clients_refused: ReasonCounters,
    /// What was answered as no fit request, by status.
    pub unfit: ReasonCounters,
    /// Attempts that have ended, by outcome.
    pub attempts_ended: ReasonCounters,
    /// Attempts after a request's first.
    pub retries: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("balancer");
        let (answered, deferred, errored) = <(Family<_, _>, Family<_, _>, Family<_, _>)>::default();
        let (sends, conf_loaded, conf_invalid) = <(Counter, Counter, Counter)>::default();
        let [clients_ended, clients_refused, unfit, attempts_ended] = <[ReasonCounters; 4]>::default();
        let retries = Counter::default();
        let (current, cluster_size, cluster_unhealthy) = <(Gauge, Gauge, Gauge)>::default();
        registry.register("answered", "Requests served", Family::clone(&answered));
        registry.register("deferred", "Requests refused: trying again is harmless", Family::clone(&deferred));
        registry.register("errored", "Requests failed", Family::clone(&errored));
        registry.register("sends", "Attempts written whole to upstreams", sends.clone());
        registry.register("current", "Requests taken and not ended", current.clone());
        registry.register("cluster_size", "Upstreams in the list", cluster_size.clone());
        registry.register("cluster_unhealthy", "Listed upstreams avoided now", cluster_unhealthy.clone());
        registry.register("conf_loaded", "Configurations taken at SIGHUP", conf_loaded.clone());
        registry.register("conf_invalid", "Configurations turned down at SIGHUP", conf_invalid.clone());
        registry.register("clients_ended", "Connections of clients that ended", clients_ended.family());
        registry.register("clients_refused", "Clients turned away at the door", clients_refused.family());
        registry.register("unfit", "What was answered as no fit request", unfit.family());
        registry.register("attempts_ended", "Attempts that ended", attempts_ended.family());
        registry.register("retries", "Attempts after a request's first", retries.clone());
        Self {
            registry,
            answered,
            deferred,
            errored,
            sends,
            current,
            cluster_size,
            cluster_unhealthy,
            conf_loaded,
            conf_invalid,
            clients_ended,
            clients_refused,
            unfit,
            attempts_ended,
            retries,
        }
    }
}

impl Metrics {
    /// All figures, in the text form of OpenMetrics 1.0.
    pub fn openmetrics_text(&self) -> String {
        let mut text = String::new();
        // A string takes whatever is written to it.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The counts of one class.
struct Class {
    answered: Counter,
    deferred: Counter,
    errored: Counter,
}

/// How a request ended, for whoever observer closely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// It was served.
    Served,
    /// It was refused: trying again is harmless.
    Rejected,
    /// It failed.
    Failed,
}

/// RequestObserver closely, on the thread that serves: it must not wait for anything.
pub trait RequestObserver {
    /// A request of this class and tenant has ended, so long after it was taken.
    fn request_ended(&self, class: ClassId, tenant: TenantId, end: RequestResult, after: Duration);
}

/// Counts requests, on the thread that serves them.
pub struct RequestMetrics {
    metrics: Arc<Metrics>,
    /// By their ids.
    classes: RefCell<Vec<Rc<Class>>>,
    observer: RefCell<Option<Rc<dyn RequestObserver>>>,
}

impl RequestMetrics {
    /// Counts in this metrics, by classes of these names.
    pub fn new(metrics: Arc<Metrics>, names: &[String]) -> Rc<Self> {
        let counting = Self { metrics, classes: RefCell::default(), observer: RefCell::default() };
        counting.set_classes(names);
        Rc::new(counting)
    }

    /// The classes are these from now on. What was counted under a name goes on under it.
    pub fn set_classes(&self, names: &[String]) {
        let class = |name: &String| {
            let group = Group { group: name.clone() };
            let Metrics { answered, deferred, errored, .. } = &*self.metrics;
            let [answered, deferred, errored] =
                [answered, deferred, errored].map(|family| family.get_or_create(&group).clone());
            Rc::new(Class { answered, deferred, errored })
        };
        *self.classes.borrow_mut() = names.iter().map(class).collect();
    }

    /// The figures.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// From now on somebody observer closely at each request that is taken, or nobody does any more.
    pub fn set_observer(&self, observer: Option<Rc<dyn RequestObserver>>) {
        *self.observer.borrow_mut() = observer;
    }

    /// A request of this class and tenant has been taken.
    pub fn start_request(&self, class: ClassId, tenant: TenantId) -> PendingRequest {
        let look = self.observer.borrow().clone().map(|observer| ObservedRequest {
            observer,
            class,
            tenant,
            since: Instant::now(),
        });
        let class = self.classes.borrow().get(usize::from(class.0)).cloned();
        self.metrics.current.inc();
        PendingRequest { class, current: self.metrics.current.clone(), look }
    }
}

/// A request that is looked at closely.
struct ObservedRequest {
    observer: Rc<dyn RequestObserver>,
    class: ClassId,
    tenant: TenantId,
    since: Instant,
}

/// A request that is owed its answer. When it is dropped before, its client has left.
pub struct PendingRequest {
    class: Option<Rc<Class>>,
    current: Gauge,
    look: Option<ObservedRequest>,
}

impl fmt::Debug for PendingRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Owed").finish_non_exhaustive()
    }
}

impl PendingRequest {
    /// It has this answer; one that streams ends later, with its last byte.
    pub fn record_answer(self, answer: &mut Answer) {
        match answer {
            Answer::Served(UpstreamResponse { body: ResponseBody::Stream(stream), .. }) => {
                stream.track_outcome(self)
            }
            Answer::Served(UpstreamResponse { status, .. }) if status.is_server_error() => {
                self.count(RequestResult::Failed)
            }
            Answer::Served(_) => self.count(RequestResult::Served),
            Answer::Rejected(_) => self.count(RequestResult::Rejected),
            Answer::Failed => self.count(RequestResult::Failed),
        }
    }

    /// Its answer, which streamed, has ended like this. A reader that let go has left.
    pub fn record_stream_end(self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.count(RequestResult::Served),
            Outcome::Cancelled => {}
            _ => self.count(RequestResult::Failed),
        }
    }

    fn count(self, end: RequestResult) {
        if let Some(class) = &self.class {
            match end {
                RequestResult::Served => class.answered.inc(),
                RequestResult::Rejected => class.deferred.inc(),
                RequestResult::Failed => class.errored.inc(),
            };
        }
        if let Some(ObservedRequest { observer, class, tenant, since }) = &self.look {
            observer.request_ended(*class, *tenant, end, since.elapsed());
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.current.dec();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use hyper::{HeaderMap, StatusCode};

    fn served(status: StatusCode) -> Answer {
        let body = ResponseBody::Buffered(Bytes::new());
        Answer::Served(UpstreamResponse { status, headers: HeaderMap::new(), body })
    }

    fn has(metrics: &Metrics, line: &str) -> bool {
        metrics.openmetrics_text().lines().any(|l| l == line)
    }

    /// Guards the names that operators' tools look for, and that each request counts once, whatever ends it.
    #[test]
    fn each_request_counts_once_under_its_class() {
        let metrics = Arc::new(Metrics::default());
        let counting = RequestMetrics::new(Arc::clone(&metrics), &["look".into(), "bo\"ok".into()]);
        assert!(has(&metrics, "balancer_answered_total{group=\"look\"} 0"));
        let owed: Vec<PendingRequest> =
            (0..6).map(|n| counting.start_request(ClassId(n % 2), TenantId(0))).collect();
        assert!(has(&metrics, "balancer_current 6"));
        let answers = [
            Some(served(StatusCode::OK)),
            Some(Answer::Rejected(None)),
            Some(Answer::Failed),
            Some(served(StatusCode::BAD_GATEWAY)),
            None,
            Some(served(StatusCode::NOT_FOUND)),
        ];
        for (owed, answer) in owed.into_iter().zip(answers) {
            if let Some(mut answer) = answer {
                owed.record_answer(&mut answer);
            }
        }
        for line in [
            "balancer_answered_total{group=\"look\"} 1",
            "balancer_deferred_total{group=\"bo\\\"ok\"} 1",
            "balancer_errored_total{group=\"look\"} 1",
            "balancer_errored_total{group=\"bo\\\"ok\"} 1",
            "balancer_answered_total{group=\"bo\\\"ok\"} 1",
            "balancer_current 0",
            "balancer_sends_total 0",
            "balancer_cluster_size 0",
            "balancer_cluster_unhealthy 0",
            "balancer_conf_loaded_total 0",
            "balancer_conf_invalid_total 0",
        ] {
            assert!(has(&metrics, line), "{line} in {}", metrics.openmetrics_text());
        }
    }

    /// Guards counts that only rise: a class that vanishes and comes back goes on where it was, and a request under way
    /// keeps the class that it was taken under.
    #[test]
    fn counts_outlive_their_classes() {
        let metrics = Arc::new(Metrics::default());
        let counting = RequestMetrics::new(Arc::clone(&metrics), &["a".into(), "b".into()]);
        let (of_a, of_b) = (
            counting.start_request(ClassId(0), TenantId(0)),
            counting.start_request(ClassId(1), TenantId(0)),
        );
        counting.set_classes(&["b".into()]);
        of_a.record_answer(&mut Answer::Failed);
        of_b.record_answer(&mut Answer::Failed);
        counting.start_request(ClassId(0), TenantId(0)).record_answer(&mut Answer::Failed);
        counting.set_classes(&["a".into(), "b".into()]);
        counting.start_request(ClassId(0), TenantId(0)).record_answer(&mut Answer::Failed);
        assert!(has(&metrics, "balancer_errored_total{group=\"a\"} 2"));
        assert!(has(&metrics, "balancer_errored_total{group=\"b\"} 2"));
    }

    /// Guards that a close look sees each request once, as it ends, and costs nothing once it is over.
    #[test]
    fn whoever_looks_sees_each_end_once() {
        #[derive(Default)]
        struct Seen(RefCell<Vec<(u16, RequestResult)>>);
        impl RequestObserver for Seen {
            fn request_ended(&self, class: ClassId, _: TenantId, end: RequestResult, after: Duration) {
                assert!(after < Duration::from_secs(60));
                self.0.borrow_mut().push((class.0, end));
            }
        }
        let counting = RequestMetrics::new(Arc::default(), &["a".into()]);
        let seen = Rc::new(Seen::default());
        let before = counting.start_request(ClassId(0), TenantId(0));
        counting.set_observer(Some(Rc::clone(&seen) as Rc<dyn RequestObserver>));
        before.record_answer(&mut Answer::Failed);
        let [one, two, left, streams] = [0; 4].map(|_| counting.start_request(ClassId(0), TenantId(0)));
        counting.set_observer(None);
        counting.start_request(ClassId(0), TenantId(0)).record_answer(&mut Answer::Failed);
        one.record_answer(&mut served(StatusCode::OK));
        two.record_answer(&mut Answer::Rejected(None));
        streams.record_stream_end(Outcome::Reset);
        drop(left);
        assert_eq!(
            *seen.0.borrow(),
            [(0, RequestResult::Served), (0, RequestResult::Rejected), (0, RequestResult::Failed)]
        );
        assert_eq!(Rc::strong_count(&seen), 1);
    }
}
