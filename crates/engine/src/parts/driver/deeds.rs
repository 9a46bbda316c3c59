//! What a driver does: the module's actions, carried out in order.

use super::held::{Attempt, Held};
use super::{Answer, Core, Driver, Happening, Trace};
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::body::Payload;
use crate::source::EndpointUpdate;
use maplehook_core::{Action, AttemptNo, Endpoint, Outcome, RequestId, UpdateScope, UpstreamId};
use rustc_hash::FxHashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How soon the watch on a pushed list is begun again: its agent is near and answers at no cost.
const FOLLOW_AGAIN: Duration = Duration::from_millis(50);

impl Driver {
    pub(super) fn carry_out_all(self: &Rc<Self>, core: &mut Core, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            self.carry_out(core, action);
        }
        core.actions = actions;
    }

    /// Hands an answer to whoever waits for it, if it is one. How a stream ends is told later.
    pub(super) fn pass_on(
        self: &Rc<Self>,
        held: &mut Held,
        id: RequestId,
        no: AttemptNo,
        upstream: UpstreamId,
        served: Option<UpstreamResponse>,
    ) {
        let Some(mut served) = served else { return };
        let Some(reply) = held.reply.take() else { return };
        tracing::debug!(id = id.0, no = no.0, upstream = upstream.0, "served");
        if let ResponseBody::Stream(stream) = &mut served.body {
            let driver = Rc::clone(self);
            stream.on_end(Box::new(move |outcome| {
                driver.happened(Happening::StreamEnded(id, no, outcome));
            }));
        }
        let trace = Trace { attempts: held.attempts.len() as u8, upstream: Some(upstream) };
        // Where the client has just gone, nobody waits for it.
        let _ = reply.send((Answer::Served(served), trace));
    }

    /// Applies news to the connections and words them for the module.
    pub(super) fn fleet(&self, news: &EndpointUpdate) -> Vec<Endpoint> {
        if matches!(news.scope, UpdateScope::Full | UpdateScope::Cached) {
            let ids: FxHashSet<UpstreamId> = news.entries.iter().map(|e| e.id).collect();
            self.upstreams.retain_listed(|id| ids.contains(&id));
        }
        let listed = news.entries.iter().map(|entry| {
            self.upstreams.update_endpoint(entry.id, entry.zone, &entry.state);
            Endpoint {
                id: entry.id,
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                availability: entry.state.availability,
                weight: entry.weight,
                started: self.clock.at_unix_ms(entry.state.boot_ms),
            }
        });
        listed.collect()
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Attempt { id, upstream, timeout } => self.attempt(core, id, upstream, timeout),
            Action::Cancel { id, attempt } => {
                let out = core.requests.get(&id).and_then(|held| held.attempts.get(usize::from(attempt.0)));
                if let Some(out) = out.filter(|a| a.out) {
                    out.task.abort();
                    let cancelled = Happening::AttemptEnded(id, attempt, Outcome::Cancelled.into());
                    self.queue.borrow_mut().push_back(cancelled);
                }
            }
            Action::Reject { id, retry_after } => self.answer(core, id, Answer::Rejected(retry_after)),
            Action::Fail { id } => self.answer(core, id, Answer::Failed),
            Action::Timer { after, timer } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(after).await;
                    driver.happened(Happening::Timer(timer));
                });
            }
            Action::WatchEndpoints => self.watch(),
            Action::FetchEndpoints => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    let news = driver.source.fetch().await;
                    driver.happened(Happening::Fleet(news));
                });
            }
            Action::CloseIdle { upstream } => self.upstreams.close_idle(upstream),
            Action::Probe { upstream } => {
                let (driver, sent) = (Rc::clone(self), Instant::now());
                spawn_local(async move {
                    let ended = driver.upstreams.probe(upstream).await;
                    driver.happened(Happening::ProbeEnded(upstream, sent.elapsed(), ended));
                });
            }
            Action::Log { line } => tracing::info!("{line}"),
        }
    }

    pub(super) fn watch(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        let watch = spawn_local(async move {
            let mut tell = |news| driver.happened(Happening::Fleet(news));
            driver.source.watch(&mut tell).await;
            while driver.follows.get() {
                sleep(FOLLOW_AGAIN).await;
                driver.source.watch(&mut tell).await;
            }
        });
        // The old one ends without a word: a planned move is no failure, and nothing that is said there later
        // undoes it.
        if let Some(before) = self.watching.borrow_mut().replace(watch.abort_handle()) {
            before.abort();
        }
    }

    /// Follows a list that is pushed to an agent on this machine. The module asks for none there, and all that the
    /// agent holds counts as told, so the watch begins at once and is begun again soon after each end.
    pub fn follow_pushed_list(self: &Rc<Self>) {
        self.follows.set(true);
        self.watch();
    }

    /// The source has moved. What was out at its old place is given up without a word, and it is asked anew at once,
    /// whether a call was out, a failed one is to be made again later, or a watch was open.
    pub fn restart_watch(self: &Rc<Self>) {
        if self.follows.get() {
            self.watch();
            return;
        }
        if let Some(before) = self.watching.take() {
            before.abort();
        }
        self.happened(Happening::DiscoveryMoved);
    }

    fn attempt(
        self: &Rc<Self>,
        core: &mut Core,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(held) = core.requests.get_mut(&id) else { return };
        let (sent, no) = (Instant::now(), AttemptNo(held.attempts.len() as u8));
        // The time of a body that streams is its own.
        let timeout = timeout.filter(|_| matches!(held.asked.outgoing.body, Payload::Buffered(_)));
        let give_up = timeout.map_or(held.asked.deadline, |t| held.asked.deadline.min(sent + t));
        let terms = held.terms(give_up, self.upstreams.window(held.asked.class));
        let (driver, asked, bound) = (Rc::clone(self), Rc::clone(&held.asked), terms.clone());
        let mut cut_off = self.cut_off.subscribe();
        let task = spawn_local(async move {
            let ended = if *cut_off.borrow() {
                Outcome::NotSent.into()
            } else {
                let uploads = async {
                    if let Payload::Upload(upload) = &asked.outgoing.body {
                        upload.begun().await;
                        driver.happened(Happening::Uploads(id, no));
                    }
                    std::future::pending().await
                };
                tokio::select! {
                    biased;
                    () = uploads => return,
                    ended = driver.upstreams.attempt(upstream, &asked.outgoing, bound.clone()) => ended,
                    _ = cut_off.wait_for(|cut| *cut) => {
                        if bound.has_begun() { Outcome::TimedOut.into() } else { Outcome::NotSent.into() }
                    }
                }
            };
            driver.happened(Happening::AttemptEnded(id, no, ended));
        });
        if no.0 > 0 {
            self.upstreams.tally.retries.inc();
        }
        tracing::debug!(id = id.0, no = no.0, upstream = upstream.0, "attempt");
        held.attempts.push(Attempt::new(upstream, sent, terms, task.abort_handle()));
    }

    fn answer(&self, core: &mut Core, id: RequestId, answer: Answer) {
        if let Some(held) = core.requests.get_mut(&id)
            && let Some(reply) = held.reply.take()
        {
            let attempts = held.attempts.len() as u8;
            tracing::debug!(id = id.0, attempts, ?answer, "given up");
            // Nothing is left to try: an upstream's own words on why say more than ours.
            let answer = match held.words.take() {
                Some((words, upstream)) => {
                    (Answer::Served(words), Trace { attempts, upstream: Some(upstream) })
                }
                None => (answer, Trace { attempts, upstream: None }),
            };
            let _ = reply.send(answer);
        }
        self.forget_if_over(core, id);
    }

    /// Lets go of a request that has its answer and no attempt out. Of one that is over nothing more is written, also where the
    /// settings don't let an attempt be called back: one that was never written is none.
    pub(super) fn forget_if_over(&self, core: &mut Core, id: RequestId) {
        for (k, attempt) in core.requests.get(&id).iter().flat_map(|held| held.left_over()) {
            attempt.task.abort();
            let ended = Happening::AttemptEnded(id, AttemptNo(k as u8), Outcome::Cancelled.into());
            self.queue.borrow_mut().push_back(ended);
        }
        let over = |held: &Held| held.reply.is_none() && held.attempts.iter().all(|a| !a.out);
        if core.requests.get(&id).is_some_and(over) {
            core.requests.remove(&id);
        }
    }
}
