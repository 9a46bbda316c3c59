//! Metrics for operators about requests, attempts and the endpoint list. Any thread may read them.
//!
//! Each accepted request holds a [`PendingRequest`], which counts it exactly once when its answer ends: as
//! answered, deferred or errored. If the client disconnects earlier, none of the three counters changes.

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

/// Content type of [`Metrics::openmetrics_text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Group {
    group: String,
}

/// Metrics of one process. All start at zero, and counters never decrease.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answered: Family<Group, Counter>,
    deferred: Family<Group, Counter>,
    errored: Family<Group, Counter>,
    /// Number of attempts written completely to upstreams.
    pub sends: Counter,
    /// Number of requests in flight.
    pub current: Gauge,
    /// Number of upstreams in the endpoint list.
    pub cluster_size: Gauge,
    /// Number of listed upstreams that the balancer currently avoids.
    pub cluster_unhealthy: Gauge,
    /// Number of configurations loaded on SIGHUP.
    pub conf_loaded: Counter,
    /// Number of invalid configurations rejected on SIGHUP.
    pub conf_invalid: Counter,
    /// Number of closed client connections, by reason.
    pub clients_ended: ReasonCounters,
    /// Number of clients rejected before a request was read, by reason.
    pub clients_refused: ReasonCounters,
    /// Number of invalid requests, by response status.
    pub unfit: ReasonCounters,
    /// Number of completed attempts, by outcome.
    pub attempts_ended: ReasonCounters,
    /// Number of attempts after the first attempt of a request.
    pub retries: Counter,
    /// Number of connections to upstreams with unsolicited data, by state of the connection.
    pub unsolicited: ReasonCounters,
    /// Number of attempts that found no rested connection, by what they did.
    pub connection_rests: ReasonCounters,
    /// Number of responses that were held because they repeated the one before, by what became of them.
    pub responses_held: ReasonCounters,
    /// Number of exchanges with upstreams that a time limit ended, by limit.
    pub time_limits: ReasonCounters,
    /// Number of answers whose bodies failed, by what became of them.
    pub answers_broken: ReasonCounters,
    /// Number of endpoint lists that were not put in force, by reason.
    pub lists_turned_down: ReasonCounters,
    /// Memory that the process takes, in bytes.
    pub memory_resident: Gauge,
    /// Memory that is reserved for buffers, in bytes.
    pub memory_reserved: Gauge,
    /// Number of reservations of memory that were denied.
    pub memory_denied: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("balancer");
        let (answered, deferred, errored) = <(Family<_, _>, Family<_, _>, Family<_, _>)>::default();
        let (sends, conf_loaded, conf_invalid) = <(Counter, Counter, Counter)>::default();
        let [clients_ended, clients_refused, unfit, attempts_ended] = <[ReasonCounters; 4]>::default();
        let [unsolicited, connection_rests, responses_held, time_limits] = <[ReasonCounters; 4]>::default();
        let [answers_broken, lists_turned_down] = <[ReasonCounters; 2]>::default();
        let (retries, memory_denied) = <(Counter, Counter)>::default();
        let (memory_resident, memory_reserved) = <(Gauge, Gauge)>::default();
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
        registry.register(
            "unsolicited",
            "Connections with data that no request asked for",
            unsolicited.family(),
        );
        registry.register(
            "connection_rests",
            "Attempts that found no rested connection",
            connection_rests.family(),
        );
        registry.register(
            "responses_held",
            "Responses held because they repeated the one before",
            responses_held.family(),
        );
        registry.register(
            "time_limits",
            "Exchanges with upstreams that a time limit ended",
            time_limits.family(),
        );
        registry.register("answers_broken", "Answers whose bodies failed", answers_broken.family());
        registry.register(
            "lists_turned_down",
            "Endpoint lists that were not put in force",
            lists_turned_down.family(),
        );
        registry.register("memory_resident_bytes", "Memory of the process", memory_resident.clone());
        registry.register("memory_reserved_bytes", "Memory reserved for buffers", memory_reserved.clone());
        registry.register("memory_denied", "Reservations of memory denied", memory_denied.clone());
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
            unsolicited,
            connection_rests,
            responses_held,
            time_limits,
            answers_broken,
            lists_turned_down,
            memory_resident,
            memory_reserved,
            memory_denied,
        }
    }
}

impl Metrics {
    /// Returns all metrics in the OpenMetrics 1.0 text format.
    pub fn openmetrics_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Counters of one class.
struct ClassCounters {
    answered: Counter,
    deferred: Counter,
    errored: Counter,
}

/// Result of a request, as passed to a [`RequestObserver`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// An upstream served the request.
    Served,
    /// The request was rejected without running. It is safe to repeat it.
    Rejected,
    /// The request failed and may have run.
    Failed,
}

/// Observer of completed requests. It runs on the thread that serves requests and must not block.
pub trait RequestObserver {
    /// Called when a request has ended; `duration` is the time since the request was accepted.
    fn request_ended(&self, class: ClassId, tenant: TenantId, result: RequestResult, duration: Duration);
}

/// Updates the metrics of requests. It stays on the thread that serves the requests.
pub struct RequestMetrics {
    metrics: Arc<Metrics>,
    /// Counters of each class, by class index.
    classes: RefCell<Vec<Rc<ClassCounters>>>,
    observer: RefCell<Option<Rc<dyn RequestObserver>>>,
}

impl RequestMetrics {
    /// Creates counters in `metrics` for classes with these names, in the order of their indices.
    pub fn new(metrics: Arc<Metrics>, class_names: &[String]) -> Rc<Self> {
        let request_metrics = Self { metrics, classes: RefCell::default(), observer: RefCell::default() };
        request_metrics.set_classes(class_names);
        Rc::new(request_metrics)
    }

    /// Replaces the classes. A class that keeps its name keeps its counts.
    pub fn set_classes(&self, class_names: &[String]) {
        let class_counters = |name: &String| {
            let group = Group { group: name.clone() };
            let Metrics { answered, deferred, errored, .. } = &*self.metrics;
            let [answered, deferred, errored] =
                [answered, deferred, errored].map(|family| family.get_or_create(&group).clone());
            Rc::new(ClassCounters { answered, deferred, errored })
        };
        *self.classes.borrow_mut() = class_names.iter().map(class_counters).collect();
    }

    /// Returns the metrics that the requests are counted in.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Sets the observer of requests that start from now on, or removes it.
    pub fn set_observer(&self, observer: Option<Rc<dyn RequestObserver>>) {
        *self.observer.borrow_mut() = observer;
    }

    /// Counts an accepted request as in flight until the returned [`PendingRequest`] is dropped.
    pub fn start_request(&self, class: ClassId, tenant: TenantId) -> PendingRequest {
        let observed = self.observer.borrow().clone().map(|observer| ObservedRequest {
            observer,
            class,
            tenant,
            started_at: Instant::now(),
        });
        let class = self.classes.borrow().get(usize::from(class.0)).cloned();
        self.metrics.current.inc();
        PendingRequest { class, current: self.metrics.current.clone(), observed }
    }
}

/// A request that an observer is notified about.
struct ObservedRequest {
    observer: Rc<dyn RequestObserver>,
    class: ClassId,
    tenant: TenantId,
    started_at: Instant,
}

/// Request in flight. Dropping it without an answer means that the client has disconnected.
pub struct PendingRequest {
    class: Option<Rc<ClassCounters>>,
    current: Gauge,
    observed: Option<ObservedRequest>,
}

impl fmt::Debug for PendingRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Owed").finish_non_exhaustive()
    }
}

impl PendingRequest {
    /// Counts the answer. A streamed answer is counted later, at the end of its body.
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
            // Counted with the other invalid requests.
            Answer::Conflict(_) => {}
        }
    }

    /// Counts the outcome of a streamed answer. A cancelled stream is not counted because its client has
    /// disconnected.
    pub fn record_stream_end(self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.count(RequestResult::Served),
            Outcome::Cancelled => {}
            _ => self.count(RequestResult::Failed),
        }
    }

    fn count(self, result: RequestResult) {
        if let Some(class) = &self.class {
            match result {
                RequestResult::Served => class.answered.inc(),
                RequestResult::Rejected => class.deferred.inc(),
                RequestResult::Failed => class.errored.inc(),
            };
        }
        if let Some(ObservedRequest { observer, class, tenant, started_at }) = &self.observed {
            observer.request_ended(*class, *tenant, result, started_at.elapsed());
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.current.dec();
    }
}

#[cfg(test)]
mod tests;
