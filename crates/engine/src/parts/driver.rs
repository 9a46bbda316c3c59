//! The embedder of the decision module: sole owner of the `Balancer`. It turns what happens into events and
//! carries out the actions, in order. It decides nothing.
//!
//! Everything that happens is put in a queue and played from there, one event at a time, so that the module
//! is never entered twice; tasks only ever add to the queue.

mod clock;
mod deeds;
mod held;
mod pending;
mod places;

use clock::Clock;
use held::Held;
pub use pending::PendingAnswer;
pub use places::{ConnectStats, Observations};

use crate::label::Label;
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt::{AttemptResult, OutboundRequest};
use crate::parts::attempt_limits::Presence;
use crate::parts::upstream::Upstreams;
use crate::source::{EndpointUpdate, Reachability, Source};
use maplehook_core::{
    Action, AttemptNo, Balancer, ClassId, Event, LearnedState, Outcome, RequestId, Settings, TenantId,
    TimerId, TrafficSplit, UpdateScope, UpstreamCounts, UpstreamId,
};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// An upstream's.
    Served(UpstreamResponse),
    /// Trying again is harmless, after some time if one is given.
    Rejected(Option<Duration>),
    /// Nothing is promised.
    Failed,
}

/// How an answer came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Attempts that were begun.
    pub attempts: u8,
    /// Who served it.
    pub upstream: Option<UpstreamId>,
}

/// A request for the module to decide on.
pub struct RequestContext {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Expected work in milliseconds, where the client says so.
    pub work_ms: Option<f64>,
    /// The client says that it has tried this before.
    pub repeat: bool,
    /// What is passed on.
    pub outgoing: OutboundRequest,
    /// What its client calls it, for the log.
    pub label: Label,
    /// Its client, where no attempt may begin once that has gone.
    pub presence: Option<Presence>,
}

enum Happening {
    Fleet(EndpointUpdate),
    /// The source of the list is elsewhere.
    DiscoveryMoved,
    Asked(RequestId),
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// The body of this attempt has begun to stream.
    Uploads(RequestId, AttemptNo),
    /// The answer that streams has ended.
    StreamEnded(RequestId, AttemptNo, Outcome),
    ProbeEnded(UpstreamId, Duration, AttemptResult),
    Gone(RequestId),
    Timer(TimerId),
    Retuned(Box<Settings>, Vec<TenantId>),
    Shared(Option<Box<TrafficSplit>>),
    Inherited(Box<LearnedState>),
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, Held>,
    actions: Vec<Action>,
    next_id: u32,
}

/// How often the list is counted for the figures.
const COUNT_EVERY: Duration = Duration::from_millis(200);

/// The driver of one `Balancer`.
pub struct Driver {
    clock: Clock,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<Happening>>,
    playing: Cell<bool>,
    upstreams: Rc<Upstreams>,
    source: Rc<dyn Source>,
    watching: RefCell<Option<AbortHandle>>,
    /// The list is pushed: a watch that ends is begun again here.
    follows: Cell<bool>,
    /// Whether a list is known.
    knows: watch::Sender<bool>,
    /// Whole lists that the module has been told.
    lists: watch::Sender<u64>,
    /// Set when what is held has to end.
    cut_off: watch::Sender<bool>,
}

impl Driver {
    /// A driver with the list of upstreams known before the start.
    pub fn start(
        balancer: Balancer,
        upstreams: Rc<Upstreams>,
        source: Rc<dyn Source>,
        known: EndpointUpdate,
    ) -> Rc<Self> {
        let core = Core { balancer, requests: FxHashMap::default(), actions: Vec::new(), next_id: 0 };
        let driver = Rc::new(Self {
            clock: Clock::start(),
            core: RefCell::new(core),
            queue: RefCell::default(),
            playing: Cell::new(false),
            upstreams,
            source,
            watching: RefCell::default(),
            follows: Cell::new(false),
            knows: watch::Sender::new(false),
            lists: watch::Sender::new(0),
            cut_off: watch::Sender::new(false),
        });
        let counter = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                counter.count_listed();
                sleep(COUNT_EVERY).await;
            }
        });
        let sweeper = Rc::clone(&driver);
        spawn_local(async move { sweeper.upstreams.sweep().await });
        driver.happened(Happening::Fleet(known));
        driver
    }

    /// Tells the figures of the list as the module sees it.
    fn count_listed(&self) {
        let UpstreamCounts { listed, avoided } = self.core.borrow().balancer.upstream_counts();
        let figure = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.upstreams.tally.cluster_size.set(figure(listed));
        self.upstreams.tally.cluster_unhealthy.set(figure(avoided));
    }

    /// Hands a request to the module. Its final answer comes from what is returned; when that is dropped
    /// before, the client has gone.
    pub fn submit(self: &Rc<Self>, asked: RequestContext) -> PendingAnswer {
        let (reply, answer) = oneshot::channel();
        let id = {
            let core = &mut *self.core.borrow_mut();
            // Ids are not reused while one may be in use: they go round only after 2^32 requests.
            let id = RequestId(core.next_id);
            core.next_id = core.next_id.wrapping_add(1);
            tracing::debug!(id = id.0, label = %asked.label, class = asked.class.0, "taken");
            let window = self.upstreams.window(asked.class);
            let held = Held::new(asked, reply, window);
            core.requests.insert(id, held);
            id
        };
        self.happened(Happening::Asked(id));
        PendingAnswer::new(Rc::clone(self), id, answer)
    }

    /// The settings have changed; see [`Event::SettingsChanged`].
    pub fn update_settings(self: &Rc<Self>, settings: Settings, gone: Vec<TenantId>) {
        self.happened(Happening::Retuned(Box::new(settings), gone));
    }

    /// What the process before this one had learned.
    pub fn restore_learned_state(self: &Rc<Self>, heritage: LearnedState) {
        self.happened(Happening::Inherited(Box::new(heritage)));
    }

    /// What the next process may know of this one.
    pub fn learned_state(&self) -> LearnedState {
        self.core.borrow().balancer.learned_state()
    }

    /// Waits until a list is known, were it an empty one.
    pub async fn wait_for_list(&self) {
        let _ = self.knows.subscribe().wait_for(|knows| *knows).await;
    }

    /// Counts the whole lists that the module has been told: whoever changes the list sees here when that acts.
    pub fn full_list_count(&self) -> watch::Receiver<u64> {
        self.lists.subscribe()
    }

    /// The time on the module's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Ends all attempts that are out, and each that may follow, so that the module gives what it holds its
    /// final answer: the process is about to end.
    pub fn abort_attempts(&self) {
        self.cut_off.send_replace(true);
    }

    /// Takes in what has happened and does what follows from it.
    fn happened(self: &Rc<Self>, happening: Happening) {
        self.queue.borrow_mut().push_back(happening);
        if self.playing.replace(true) {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { break };
            self.play(&mut self.core.borrow_mut(), next);
        }
        self.playing.set(false);
    }

    /// Plays one event into the module and carries out its actions.
    fn play(self: &Rc<Self>, core: &mut Core, happening: Happening) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        match happening {
            Happening::Fleet(news) => {
                let listed = self.fleet(&news);
                if !listed.is_empty() || matches!(news.scope, UpdateScope::Full | UpdateScope::Changes) {
                    self.knows.send_replace(true);
                }
                let event = Event::EndpointUpdate { scope: news.scope, endpoints: &listed };
                core.balancer.handle(now, event, &mut actions);
                if news.scope == UpdateScope::Full {
                    self.lists.send_modify(|lists| *lists += 1);
                }
            }
            Happening::DiscoveryMoved => core.balancer.handle(now, Event::DiscoveryMoved, &mut actions),
            Happening::Asked(id) => {
                let Some(held) = core.requests.get(&id) else { return };
                let asked = &held.asked;
                let event = Event::Request {
                    id,
                    class: asked.class,
                    tenant: asked.tenant,
                    time_left: asked.deadline.saturating_duration_since(Instant::now()),
                    work_ms: asked.work_ms,
                    is_repeat: asked.repeat,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            Happening::AttemptEnded(id, no, ended) => {
                let Some(held) = core.requests.get_mut(&id) else { return };
                // One event for each: a cancelled attempt may have ended by itself just before.
                let Some(attempt) = held.attempts.get_mut(usize::from(no.0)).filter(|a| a.out) else {
                    return;
                };
                let (upstream, latency) = (attempt.upstream, attempt.sent.elapsed());
                tracing::debug!(
                    id = id.0,
                    no = no.0,
                    upstream = upstream.0,
                    ?latency,
                    outcome = ended.outcome.name(),
                    "attempt ended"
                );
                match ended.outcome {
                    Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Overloaded => {
                        self.source.record_reachability(upstream, Reachability::Answered);
                    }
                    Outcome::ConnectFailed => {
                        self.source.record_reachability(upstream, Reachability::Unreachable)
                    }
                    _ => {}
                }
                let streams =
                    matches!(&ended.response, Some(UpstreamResponse { body: ResponseBody::Stream(_), .. }));
                if streams && held.reply.is_some() {
                    let latency = (!std::mem::replace(&mut attempt.streams, true)).then_some(latency);
                    self.pass_on(held, id, no, upstream, ended.response);
                    let event = Event::StreamStarted { id, attempt: no, latency };
                    core.balancer.handle(now, event, &mut actions);
                    self.forget_if_over(core, id);
                    self.carry_out_all(core, actions);
                    return;
                }
                attempt.end(ended.outcome);
                self.upstreams.tally.attempts_ended.count(ended.outcome.name());
                // A second copy's answer comes to a request that is over: it is dropped.
                if held.reply.is_some() {
                    self.pass_on(held, id, no, upstream, ended.response);
                    held.words = ended.words.map(|words| (words, upstream)).or(held.words.take());
                }
                let finished = held.reply.is_none();
                let event = Event::AttemptEnded {
                    id,
                    attempt: no,
                    upstream,
                    outcome: ended.outcome,
                    latency,
                    is_finished: finished,
                    report: &ended.report,
                };
                core.balancer.handle(now, event, &mut actions);
                self.forget_if_over(core, id);
            }
            Happening::Uploads(id, no) => {
                let Some(held) = core.requests.get_mut(&id) else { return };
                let Some(attempt) = held.attempts.get_mut(usize::from(no.0)).filter(|a| a.out) else {
                    return;
                };
                if !std::mem::replace(&mut attempt.streams, true) {
                    let event = Event::StreamStarted { id, attempt: no, latency: None };
                    core.balancer.handle(now, event, &mut actions);
                }
            }
            Happening::StreamEnded(id, no, outcome) => {
                let Some(held) = core.requests.get_mut(&id) else { return };
                let Some(attempt) = held.attempts.get_mut(usize::from(no.0)).filter(|a| a.out) else {
                    return;
                };
                attempt.end(outcome);
                self.upstreams.tally.attempts_ended.count(outcome.name());
                let (upstream, latency) = (attempt.upstream, attempt.sent.elapsed());
                let event = Event::AttemptEnded {
                    id,
                    attempt: no,
                    upstream,
                    outcome,
                    latency,
                    is_finished: true,
                    report: &[],
                };
                core.balancer.handle(now, event, &mut actions);
                self.forget_if_over(core, id);
            }
            Happening::ProbeEnded(upstream, latency, ended) => {
                let event =
                    Event::ProbeEnded { upstream, outcome: ended.outcome, latency, report: &ended.report };
                core.balancer.handle(now, event, &mut actions);
            }
            Happening::Gone(id) => {
                let Some(held) = core.requests.get_mut(&id) else { return };
                if held.reply.take().is_some() {
                    tracing::debug!(id = id.0, "left by its client");
                    core.balancer.handle(now, Event::RequestCancelled { id }, &mut actions);
                }
                self.forget_if_over(core, id);
            }
            Happening::Inherited(heritage) => {
                core.balancer.handle(now, Event::LearnedStateRestored { learned: &heritage }, &mut actions);
            }
            Happening::Retuned(settings, gone) => {
                self.upstreams.retune(&settings);
                let event = Event::SettingsChanged { settings: &settings, removed_tenants: &gone };
                core.balancer.handle(now, event, &mut actions);
            }
            Happening::Shared(shares) => {
                let event = Event::TrafficSplit { split: shares.as_deref() };
                core.balancer.handle(now, event, &mut actions);
            }
            Happening::Timer(timer) => core.balancer.handle(now, Event::Timer { timer }, &mut actions),
        }
        self.carry_out_all(core, actions);
    }
}
