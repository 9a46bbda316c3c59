//! Random exploration of the states of attempts and connections. Clients disconnect; upstreams answer once,
//! twice, partially or never; connections are closed or reset; the endpoint list changes; attempts are
//! aborted. The rules must hold for every order of these events, independent of their timing.

mod common;

use common::pushed_source::PushedSource;
use common::{
    AT_MOST_ONCE, DEDUP_WINDOW, DEDUPLICATED, ERROR_RESPONSE, IDEMPOTENT, ManualUpstream,
    UNPROCESSED_RESPONSE, entry, ok_response, request_context, settings, upstreams,
};
use maplehook::parts::answer::ResponseBody;
use maplehook::parts::driver::{Answer, Driver};
use maplehook::source::{EndpointUpdate, Entry};
use maplehook_core::{Availability, Balancer, Settings, UpdateScope, ZoneId};
use maplehook_http_semantics::Passage;
use maplehook_test_servers::LONG;
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Number of upstream servers. Servers 0 and 1 share a zone and therefore deduplicate keys together.
const SERVER_COUNT: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    /// A client submits a request of this class.
    Submit(u16),
    Disconnect(usize),
    /// An upstream responds to a request that it has received.
    Respond(usize, Response),
    SetAvailability(usize, Availability),
    RestartUpstream(usize),
    AbortAttempts,
    Wait,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Response {
    Answer,
    /// A complete answer, followed by a second one that the balancer does not expect.
    AnswerTwice,
    Error,
    RejectUnprocessed,
    /// The head and less of the body than `Content-Length` states.
    PartialBody,
    /// The beginning of an answer without `Content-Length`, followed by a reset.
    PartialBodyThenReset,
    Close,
    Reset,
}

fn event() -> impl Strategy<Value = Event> {
    use Response::{
        Answer, AnswerTwice, Close, Error, PartialBody, PartialBodyThenReset, RejectUnprocessed, Reset,
    };
    let response = prop::sample::select(vec![
        Answer,
        Answer,
        AnswerTwice,
        Error,
        RejectUnprocessed,
        PartialBody,
        PartialBodyThenReset,
        Close,
        Reset,
    ]);
    let state =
        prop::sample::select(vec![Availability::Ready, Availability::Draining, Availability::Removed]);
    prop_oneof![
        6 => (0_u16..3).prop_map(Event::Submit),
        1 => any::<usize>().prop_map(Event::Disconnect),
        8 => (any::<usize>(), response).prop_map(|(pick, response)| Event::Respond(pick, response)),
        1 => (0..SERVER_COUNT, state).prop_map(|(server, state)| Event::SetAvailability(server, state)),
        1 => (0..SERVER_COUNT).prop_map(Event::RestartUpstream),
        1 => Just(Event::AbortAttempts),
        1 => Just(Event::Wait),
    ]
}

/// Request that a client has submitted.
struct ClientRequest {
    class: u16,
    task: JoinHandle<(&'static str, String)>,
    has_disconnected: bool,
    passage: Rc<Passage>,
    /// Attempts that upstreams have received, in order.
    executions: Vec<Execution>,
}

/// Attempt that an upstream has received completely.
struct Execution {
    server: usize,
    connection: usize,
    received_at: Instant,
    /// True if the upstream has finished its response or closed the connection.
    is_answered: bool,
    /// True if the upstream has declared that it did not process the request.
    is_unprocessed: bool,
}

struct Simulation {
    driver: Rc<Driver>,
    updates: mpsc::UnboundedSender<EndpointUpdate>,
    servers: Vec<ManualUpstream>,
    listed_entries: Vec<Entry>,
    requests: Vec<ClientRequest>,
    /// Request whose client is disconnecting.
    leaving: Option<usize>,
    /// Server and connection indices of the connections that must not carry another request.
    unusable: HashSet<(usize, usize)>,
    /// Bodies of all complete answers; each is unique.
    sent_answers: HashSet<String>,
}

impl Simulation {
    fn start(settings: Settings, max_open: usize) -> Self {
        let servers: Vec<_> = (0..SERVER_COUNT).map(|_| ManualUpstream::start()).collect();
        let ready = |(n, server): (usize, &ManualUpstream)| Entry {
            zone: ZoneId(u8::from(n == 2)),
            ..entry(n, server.address, Availability::Ready, 0)
        };
        let listed_entries: Vec<_> = servers.iter().enumerate().map(ready).collect();
        let known = EndpointUpdate { scope: UpdateScope::Cached, entries: listed_entries.clone() };
        let (updates, receiver) = mpsc::unbounded_channel();
        let (upstreams, balancer) = (upstreams(&settings, max_open), Balancer::new(settings, 7).unwrap());
        let source = Rc::new(PushedSource(RefCell::new(receiver)));
        let driver = Driver::start(balancer, upstreams, source, known);
        driver.follow_pushed_list();
        let (requests, unusable, sent_answers) = Default::default();
        Self { driver, updates, servers, listed_entries, requests, leaving: None, unusable, sent_answers }
    }

    /// Returns the request and attempt indices of all unanswered attempts.
    fn open_executions(&self) -> Vec<(usize, usize)> {
        let executions =
            self.requests.iter().enumerate().flat_map(|(n, a)| (0..a.executions.len()).map(move |k| (n, k)));
        executions.filter(|(n, k)| !self.requests[*n].executions[*k].is_answered).collect()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit(class) => self.submit_request(*class),
            Event::Disconnect(pick) => {
                let open: Vec<_> =
                    (0..self.requests.len()).filter(|n| !self.requests[*n].has_disconnected).collect();
                if let Some(n) = open.get(pick % open.len().max(1)) {
                    self.requests[*n].task.abort();
                    self.leaving = Some(*n);
                }
            }
            Event::Respond(pick, response) => {
                let open_executions = self.open_executions();
                if let Some((n, k)) = open_executions.get(pick % open_executions.len().max(1)).copied() {
                    self.respond(n, k, *response);
                }
            }
            Event::SetAvailability(server, state) => {
                self.listed_entries[*server].state.availability = *state;
                self.push_update(*server);
            }
            Event::RestartUpstream(server) => {
                self.listed_entries[*server].state.boot_ms += 1;
                self.push_update(*server);
            }
            Event::AbortAttempts => self.driver.abort_attempts(),
            Event::Wait => {}
        }
    }

    fn submit_request(&mut self, class: u16) {
        let context = request_context(class, &self.requests.len().to_string());
        let passage = Rc::clone(&context.outgoing.passage);
        let pending = self.driver.submit(context);
        let task = spawn_local(async move {
            match pending.answer().await.0 {
                Answer::Served(served) => match served.body {
                    ResponseBody::Buffered(body) => ("served", String::from_utf8(body.to_vec()).unwrap()),
                    ResponseBody::Stream(_) => ("streamed", String::new()),
                },
                Answer::Rejected(_) => ("rejected", String::new()),
                Answer::Failed => ("failed", String::new()),
                Answer::Conflict(_) => panic!("only the ledger finds conflicts"),
            }
        });
        self.requests.push(ClientRequest {
            class,
            task,
            has_disconnected: false,
            passage,
            executions: Vec::new(),
        });
    }

    fn push_update(&self, server: usize) {
        let entries = vec![self.listed_entries[server].clone()];
        self.updates.send(EndpointUpdate { scope: UpdateScope::Changes, entries }).unwrap();
    }

    /// Lets an upstream respond to attempt `k` of request `n`.
    fn respond(&mut self, n: usize, k: usize, response: Response) {
        let execution = &mut self.requests[n].executions[k];
        let (server, connection) = (execution.server, execution.connection);
        // After a partial or second answer, nothing valid can follow on the connection.
        let response = if self.unusable.contains(&(server, connection)) { Response::Close } else { response };
        execution.is_answered = response != Response::PartialBody;
        execution.is_unprocessed = response == Response::RejectUnprocessed;
        let body = format!("{n} by {server}");
        let upstream = &mut self.servers[server];
        match response {
            Response::Answer => upstream.answer(connection, &body),
            Response::AnswerTwice => upstream.write(connection, &ok_response(&body).repeat(2)),
            Response::Error => upstream.write(connection, ERROR_RESPONSE),
            Response::RejectUnprocessed => upstream.write(connection, UNPROCESSED_RESPONSE),
            Response::PartialBody => {
                upstream.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            }
            Response::PartialBodyThenReset => {
                upstream.write(connection, "HTTP/1.1 200 OK\r\n\r\nhalf");
                upstream.reset(connection);
            }
            Response::Close => upstream.close(connection),
            Response::Reset => upstream.reset(connection),
        }
        if matches!(response, Response::Answer | Response::AnswerTwice) {
            self.sent_answers.insert(body);
        }
        if matches!(response, Response::AnswerTwice | Response::PartialBody) {
            self.unusable.insert((server, connection));
        }
    }

    /// Completes a disconnect. A timer may have fired together with it, so that an attempt that waited for its
    /// connection to rest is already on its way to the socket; what is written after these tasks is too late.
    async fn complete_disconnect(&mut self) {
        const WOKEN_TASKS: usize = 3;
        let Some(n) = self.leaving.take() else { return };
        for _ in 0..WOKEN_TASKS {
            common::yield_once().await;
        }
        self.read_received();
        self.requests[n].has_disconnected = true;
    }

    /// Runs the tasks, reads the requests that upstreams have received and checks them against the rules.
    async fn check_received(&mut self) {
        common::run_tasks().await;
        self.read_received();
    }

    fn read_received(&mut self) {
        let mut received = Vec::new();
        loop {
            let new_requests = self
                .servers
                .iter_mut()
                .enumerate()
                .filter_map(|(n, server)| Some((n, server.next_request()?)));
            let count_before = received.len();
            received.extend(new_requests);
            if received.len() == count_before {
                break;
            }
        }
        for (server, request) in received {
            let n: usize = request.id.parse().unwrap();
            self.check_execution(n, server, request.connection);
            let execution = Execution {
                server,
                connection: request.connection,
                received_at: Instant::now(),
                is_answered: false,
                is_unprocessed: false,
            };
            self.requests[n].executions.push(execution);
        }
    }

    fn check_execution(&self, n: usize, server: usize, connection: usize) {
        let ClientRequest { class, has_disconnected, executions, .. } = &self.requests[n];
        assert!(!has_disconnected, "request {n} was sent after its client had disconnected");
        assert!(
            !self.unusable.contains(&(server, connection)),
            "request {n} was sent on an unusable connection"
        );
        assert_eq!(
            self.listed_entries[server].state.availability,
            Availability::Ready,
            "request {n} was sent to server {server}, which is not ready"
        );
        assert!(executions.len() < usize::from(settings().max_attempts), "request {n}: too many attempts");
        let in_flight = |execution: &Execution| {
            !execution.is_answered
                && !self.servers[execution.server].connections[execution.connection].is_closed
        };
        assert!(!executions.iter().any(in_flight), "request {n}: two attempts in flight");
        for execution in executions.iter().filter(|execution| !execution.is_unprocessed) {
            match *class {
                IDEMPOTENT => {}
                DEDUPLICATED => {
                    assert!(
                        execution.received_at.elapsed() < DEDUP_WINDOW,
                        "request {n}: repeated after the deduplication window"
                    );
                    assert_eq!(
                        execution.server == 2,
                        server == 2,
                        "request {n}: repeated outside the deduplication group"
                    );
                }
                AT_MOST_ONCE => panic!("request {n}: its effect may happen twice"),
                _ => unreachable!(),
            }
        }
    }

    /// Closes all attempts, checks the final answers and checks that the driver has released every request.
    async fn finish(mut self) {
        let start = Instant::now();
        loop {
            for (n, k) in self.open_executions() {
                self.respond(n, k, Response::Close);
            }
            for (server, connection) in self.unusable.clone() {
                self.servers[server].close(connection);
            }
            self.check_received().await;
            if self.requests.iter().all(|request| request.task.is_finished()) {
                break;
            }
            assert!(start.elapsed() < LONG, "timed out waiting for the final answers");
        }
        for (n, request) in self.requests.into_iter().enumerate() {
            let answer = request.task.await;
            assert_eq!(
                answer.is_err(),
                request.has_disconnected && answer.is_err(),
                "request {n} panicked or was aborted"
            );
            if let Ok(("served", body)) = &answer {
                assert!(
                    body.starts_with(&format!("{n} by ")),
                    "request {n} got the answer of another request: {body}"
                );
                assert!(self.sent_answers.contains(body), "request {n} got an answer that no upstream sent");
            }
            if let Ok(("rejected", _)) = &answer {
                let may_have_run = request.executions.iter().any(|execution| !execution.is_unprocessed);
                assert!(
                    !may_have_run || request.class == IDEMPOTENT,
                    "request {n} was rejected but may have run"
                );
            }
            common::wait_until("the driver releases the request", || Rc::strong_count(&request.passage) == 1)
                .await;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    /// Checks for every order of events: one final answer per request, no forbidden repeats or hedges, no
    /// reuse of unusable connections, nothing sent for disconnected clients, no leaked requests.
    #[test]
    fn attempts_follow_the_rules_for_every_order_of_events(
        // The flag states whether tasks run before the next event.
        events in prop::collection::vec((event(), any::<bool>()), 1..60),
        allow_cancel in any::<bool>(),
        max_open in 1_usize..8,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build_local(Default::default());
        runtime.unwrap().block_on(async {
            let mut simulation =
                Simulation::start(Settings { can_cancel: allow_cancel, ..settings() }, max_open);
            for (event, runs_tasks) in &events {
                simulation.apply(event);
                simulation.complete_disconnect().await;
                if *runs_tasks {
                    simulation.check_received().await;
                }
            }
            simulation.finish().await;
        });
    }
}
