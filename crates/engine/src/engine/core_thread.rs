//! The engine's thread: it owns the balancer, its connections and its ledger, and takes the commands of the
//! handles.

use super::forward_body::forward_body;
use super::{AdoptError, Caller, Command, FINAL_ANSWER_TIMEOUT, Version, rejected};
use crate::call::BodyStream;
use crate::label::Label;
use crate::ledger::{Identity, IdentityConflict};
use crate::parts::answer::{ResponseBody, UpstreamResponse};
use crate::parts::attempt::OutboundRequest;
use crate::parts::body::{Fault, Payload, Upload, receive_body};
use crate::parts::buffer_memory::BufferMemory;
use crate::parts::dispatcher::{Dispatcher, InFlightGuard};
use crate::parts::driver::{Answer, RequestContext, Trace};
use crate::parts::upstream::Upstreams;
use crate::{Call, CallBody, Outcome, Rejection, RejectionReason as Reason, Reply, ReplyBody};
use hyper::Uri;
use hyper::body::Body;
use maplehook_core::{Effect, Settings};
use maplehook_http_semantics::{Forwarding, Passage};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant as TokioInstant, sleep_until, timeout, timeout_at};

/// State of the engine's thread.
pub(super) struct Core {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) body_memory: BufferMemory,
    pub(super) forwarding: Forwarding,
    pub(super) upstreams: Rc<Upstreams>,
    pub(super) classes: RefCell<Vec<ClassRules>>,
    pub(super) tenant_count: Cell<usize>,
}

/// What the engine's thread knows of a class.
#[derive(Clone)]
pub(super) struct ClassRules {
    effect: Effect,
    deadline: Duration,
    passage: Rc<Passage>,
}

/// Returns the rules of each class, in the order of the classes.
pub(super) fn class_rules(settings: &Settings, passages: Vec<Passage>) -> Vec<ClassRules> {
    let classes = settings.classes.iter().zip(passages);
    let rules = |(class, passage): (&maplehook_core::Class, Passage)| ClassRules {
        effect: class.effect,
        deadline: class.deadline,
        passage: Rc::new(passage),
    };
    classes.map(rules).collect()
}

impl Core {
    fn adopt(self: &Rc<Self>, version: Version, reply: oneshot::Sender<Result<(), AdoptError>>) {
        let Version { mut settings, removed_tenants, passages, lease, list } = version;
        let has_removals = settings.classes.len() < self.classes.borrow().len()
            || settings.tenants.len() < self.tenant_count.get();
        let error = match passages.len() == settings.classes.len() {
            _ if has_removals => Some(AdoptError::ClassesOrTenantsRemoved),
            true => None,
            false => Some(AdoptError::PassageCountMismatch),
        };
        if let Some(error) = error {
            // The caller may have stopped waiting.
            let _ = reply.send(Err(error));
            return;
        }
        settings.has_endpoint_discovery = true;
        self.upstreams.set_lease(lease);
        let driver = self.dispatcher.driver();
        let mut full_lists = driver.full_list_count();
        let count_before = *full_lists.borrow_and_update();
        self.tenant_count.set(settings.tenants.len());
        let next_rules = class_rules(&settings, passages);
        driver.update_settings(settings, removed_tenants);
        *self.classes.borrow_mut() = next_rules;
        let list_changed = list.is_some_and(|(endpoint_list, entries)| endpoint_list.set(entries));
        spawn_local(async move {
            if list_changed {
                let _ = full_lists.wait_for(|count| *count > count_before).await;
            }
            let _ = reply.send(Ok(()));
        });
    }

    /// Takes commands until the engine is shut down, or until all handles are dropped.
    pub(super) async fn serve(self: Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        let mut stop_at: Option<Instant> = None;
        loop {
            let deadline = stop_at.map(TokioInstant::from_std);
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Call { reply, .. }) if stop_at.is_some() => {
                        let _ = reply.send(rejected(Reason::ShuttingDown));
                    }
                    Some(Command::Adopt { version, reply }) => self.adopt(*version, reply),
                    Some(Command::Lease(lease)) => self.upstreams.set_lease(lease),
                    Some(Command::Call { call, caller, sent, reply }) => {
                        Rc::clone(&self).start(*call, caller, sent, reply)
                    }
                    Some(Command::Shutdown(at)) => stop_at = Some(stop_at.map_or(at, |first| first.min(at))),
                    // All handles are dropped.
                    None => break,
                },
                () = self.dispatcher.wait_until_idle(), if stop_at.is_some() => break,
                () = sleep_until(deadline.unwrap_or_else(TokioInstant::now)), if stop_at.is_some() => break,
            }
        }
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let Command::Call { reply, .. } = command {
                let _ = reply.send(rejected(Reason::ShuttingDown));
            }
        }
        self.dispatcher.driver().abort_attempts();
        let _ = timeout(FINAL_ANSWER_TIMEOUT, self.dispatcher.wait_until_idle()).await;
    }

    fn start(self: Rc<Self>, call: Call, caller: Caller, sent: Instant, mut reply: oneshot::Sender<Outcome>) {
        let in_flight = self.dispatcher.track();
        spawn_local(async move {
            tokio::select! {
                biased;
                outcome = self.run_call(call, caller, sent) => match outcome {
                    Ok((answer, trace)) => self.reply(answer, trace, reply, in_flight),
                    Err(reason) => drop(reply.send(rejected(reason))),
                },
                () = reply.closed() => {}
            }
        });
    }

    async fn run_call(&self, call: Call, caller: Caller, sent: Instant) -> Result<(Answer, Trace), Reason> {
        let Call { class, tenant, wait, id, method, target, mut headers, body, peer } = call;
        let rules = self.classes.borrow().get(usize::from(class.0)).cloned().ok_or(Reason::InvalidCall)?;
        let wait = wait.min(rules.deadline);
        let deadline = TokioInstant::from_std(sent + wait);
        let passage = Rc::clone(&rules.passage);
        let body = match body {
            CallBody::Buffered(body) if body.len() as u64 > passage.body_most => {
                return Err(Reason::BodyTooLong);
            }
            CallBody::Buffered(body) => Payload::Buffered(body),
            CallBody::Stream(body) => {
                let read = timeout_at(deadline, receive_body(body, &passage, &self.body_memory, wait)).await;
                read.unwrap_or(Err(Fault::Slow)).map_err(|fault| match fault {
                    Fault::TooLong => Reason::BodyTooLong,
                    Fault::BrokeOff | Fault::Slow => Reason::BodyIncomplete,
                })?
            }
        };
        self.forwarding.request(&mut headers, &target, peer).map_err(|_| Reason::InvalidCall)?;
        let target = target.path_and_query().map(|p| Uri::from(p.clone())).unwrap_or_default();
        let upload = body.upload();
        // A streamed body has its own time limit in addition to the deadline.
        let deadline = if upload.is_some() { deadline + passage.patience().1 } else { deadline };
        let outgoing = OutboundRequest { method, target, headers, body, passage };
        let context = RequestContext {
            class,
            tenant,
            deadline,
            work_ms: None,
            repeat: false,
            outgoing,
            label: Label::default(),
            presence: Some(caller.presence()),
        };
        let identity = id.filter(|_| rules.effect != Effect::Idempotent);
        let identity = identity.map(|id| Identity { tenant: tenant.0, id });
        let traced_answer = self.dispatcher.dispatch(context, identity).await;
        upload.iter().for_each(Upload::discard_rest);
        match (&traced_answer.0, upload.and_then(|upload| upload.fault())) {
            // A request rejected after a body fault is idempotent, so it does not matter whether it ran.
            (Answer::Rejected(_), Some(Fault::TooLong)) => Err(Reason::BodyTooLong),
            (Answer::Rejected(_), Some(_)) => Err(Reason::BodyIncomplete),
            _ => Ok(traced_answer),
        }
    }

    /// Sends the answer to the caller. A streamed body is forwarded until its reader drops it.
    fn reply(&self, answer: Answer, trace: Trace, reply: oneshot::Sender<Outcome>, in_flight: InFlightGuard) {
        let outcome = match answer {
            Answer::Served(UpstreamResponse { status, headers, body }) => {
                let body = match body {
                    ResponseBody::Buffered(body) => ReplyBody::Buffered(body),
                    ResponseBody::Stream(_) => {
                        let (frames, receiver) = mpsc::channel(1);
                        let size_hint = body.size_hint();
                        spawn_local(forward_body(body, frames, in_flight));
                        ReplyBody::Stream(BodyStream::new(receiver, size_hint))
                    }
                };
                let Trace { attempts, upstream } = trace;
                Outcome::Served(Reply { status, headers, body, attempts, upstream })
            }
            Answer::Rejected(retry_after) => {
                Outcome::Rejected(Rejection { reason: Reason::NoCapacity, retry_after })
            }
            Answer::Failed => Outcome::Failed,
            Answer::Conflict(IdentityConflict::Open) => rejected(Reason::IdentityInUse),
            Answer::Conflict(IdentityConflict::Answered) => rejected(Reason::IdentityReused),
        };
        let _ = reply.send(outcome);
    }
}
