//! Tests of the metrics of requests.

use super::*;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

fn served(status: StatusCode) -> Answer {
    let body = ResponseBody::Buffered(Bytes::new());
    Answer::Served(UpstreamResponse { status, headers: HeaderMap::new(), body })
}

fn has_line(metrics: &Metrics, line: &str) -> bool {
    metrics.openmetrics_text().lines().any(|l| l == line)
}

/// Tools of operators depend on the metric names. A request must count exactly once, however it ends.
#[test]
fn each_request_is_counted_once_in_its_class() {
    let metrics = Arc::new(Metrics::default());
    let request_metrics = RequestMetrics::new(Arc::clone(&metrics), &["look".into(), "bo\"ok".into()]);
    assert!(has_line(&metrics, "balancer_answered_total{group=\"look\"} 0"));
    let requests: Vec<PendingRequest> =
        (0..6).map(|n| request_metrics.start_request(ClassId(n % 2), TenantId(0))).collect();
    assert!(has_line(&metrics, "balancer_current 6"));
    let answers = [
        Some(served(StatusCode::OK)),
        Some(Answer::Rejected(None)),
        Some(Answer::Failed),
        Some(served(StatusCode::BAD_GATEWAY)),
        None,
        Some(served(StatusCode::NOT_FOUND)),
    ];
    for (request, answer) in requests.into_iter().zip(answers) {
        if let Some(mut answer) = answer {
            request.record_answer(&mut answer);
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
        assert!(has_line(&metrics, line), "missing line {line:?} in:\n{}", metrics.openmetrics_text());
    }
}

/// Counters must never decrease: a class that is removed and added again keeps its counts, and a request
/// in flight counts for the class it started with.
#[test]
fn counters_survive_the_removal_of_their_class() {
    let metrics = Arc::new(Metrics::default());
    let request_metrics = RequestMetrics::new(Arc::clone(&metrics), &["a".into(), "b".into()]);
    let (request_a, request_b) = (
        request_metrics.start_request(ClassId(0), TenantId(0)),
        request_metrics.start_request(ClassId(1), TenantId(0)),
    );
    request_metrics.set_classes(&["b".into()]);
    request_a.record_answer(&mut Answer::Failed);
    request_b.record_answer(&mut Answer::Failed);
    request_metrics.start_request(ClassId(0), TenantId(0)).record_answer(&mut Answer::Failed);
    request_metrics.set_classes(&["a".into(), "b".into()]);
    request_metrics.start_request(ClassId(0), TenantId(0)).record_answer(&mut Answer::Failed);
    assert!(has_line(&metrics, "balancer_errored_total{group=\"a\"} 2"));
    assert!(has_line(&metrics, "balancer_errored_total{group=\"b\"} 2"));
}

/// An observer must be notified once about each request that starts while it is set, and must be released
/// afterwards.
#[test]
fn observers_are_notified_once_per_request() {
    #[derive(Default)]
    struct Recorder(RefCell<Vec<(u16, RequestResult)>>);
    impl RequestObserver for Recorder {
        fn request_ended(&self, class: ClassId, _: TenantId, result: RequestResult, duration: Duration) {
            assert!(duration < Duration::from_secs(60));
            self.0.borrow_mut().push((class.0, result));
        }
    }
    let request_metrics = RequestMetrics::new(Arc::default(), &["a".into()]);
    let recorder = Rc::new(Recorder::default());
    let started_before = request_metrics.start_request(ClassId(0), TenantId(0));
    request_metrics.set_observer(Some(Rc::clone(&recorder) as Rc<dyn RequestObserver>));
    started_before.record_answer(&mut Answer::Failed);
    let [served_request, rejected, dropped, streamed] =
        [0; 4].map(|_| request_metrics.start_request(ClassId(0), TenantId(0)));
    request_metrics.set_observer(None);
    request_metrics.start_request(ClassId(0), TenantId(0)).record_answer(&mut Answer::Failed);
    served_request.record_answer(&mut served(StatusCode::OK));
    rejected.record_answer(&mut Answer::Rejected(None));
    streamed.record_stream_end(Outcome::Reset);
    drop(dropped);
    assert_eq!(
        *recorder.0.borrow(),
        [(0, RequestResult::Served), (0, RequestResult::Rejected), (0, RequestResult::Failed)]
    );
    assert_eq!(Rc::strong_count(&recorder), 1);
}
