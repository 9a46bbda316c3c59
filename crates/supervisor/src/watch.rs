//! Threads that watch one process: until it is gone, and what it says meanwhile.

use crate::ask::ask;
use crate::hand::Link;
use crate::memory::{Digest, Told};
use crate::process::Handle;
use crate::shell::{News, Trial};
use crate::words::{ACCEPTS, Event, Own, POLL};
use serde::Deserialize;
use std::io;
use std::path::PathBuf;
use std::process::Child;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// How often a new process is looked for, and asked whether it is ready.
const LOOK: Duration = Duration::from_millis(20);
/// How long an answer of the operators' address may take.
const ANSWER: Duration = Duration::from_secs(2);
/// What is asked where nothing else was set.
const ANY: &str = "/";
const READY: &str = "/control/ready";
const OWN: &str = "/control/rollout/own";

/// What is to be done with the process.
pub(crate) enum Order {
    /// Make requests of it; `strict`: the answer has to be the expected one.
    Try { strict: bool },
    /// Tell it to accept.
    Accept,
}

/// The way to the thread that speaks with a process; the thread ends when this is dropped.
pub(crate) struct Watch(Sender<Order>);

struct Speaker {
    id: u64,
    path: PathBuf,
    trial: (Trial, Duration),
    orders: Receiver<Order>,
    news: Sender<News>,
}

/// Which program a balancer says that it should run.
#[derive(Deserialize)]
struct Said {
    number: u64,
    side: Side,
    /// Earlier programs do not say it.
    #[serde(default = "runs")]
    runs: bool,
    program: Option<SaidProgram>,
}

fn runs() -> bool {
    true
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Side {
    Old,
    New,
}

#[derive(Deserialize)]
struct SaidProgram {
    digest: Digest,
}

/// Reads what a balancer says of its roll-out; `None` for no answer.
fn own(status: u16, body: &[u8]) -> Option<Own> {
    if status == 404 {
        return Some(Own::Nothing);
    }
    let said = (status == 200).then(|| serde_json::from_slice::<Said>(body).ok()).flatten()?;
    let Said { number, side, runs, program } = said;
    // A change of something else than the program is none here.
    let change = |program: SaidProgram| {
        Own::Change(Told { number, program: program.digest, new: side == Side::New, runs })
    };
    Some(program.map_or(Own::Nothing, change))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(256 * 1024).spawn(run).map(drop)
}

/// Waits for the end of a child.
pub(crate) fn reaps(mut child: Child, id: u64, news: Sender<News>) -> io::Result<()> {
    spawn("reaps", move || {
        match child.wait() {
            Ok(status) => tracing::info!(id, "ended: {status}"),
            Err(e) => tracing::warn!(id, "its end: {e}"),
        }
        // Nobody reads it once the supervisor ends.
        let _ = news.send(News::Event(Event::Died(id)));
    })
}

/// Waits for the end of a process that is no child.
pub(crate) fn waits(handle: Arc<Handle>, id: u64, news: Sender<News>) -> io::Result<()> {
    spawn("waits", move || {
        handle.gone();
        tracing::info!(id, "ended");
        let _ = news.send(News::Event(Event::Died(id)));
    })
}

impl Watch {
    /// Begins to speak with a process: a new one, or one that there is a link to, which serves.
    pub(crate) fn begin(
        id: u64,
        path: PathBuf,
        trial: (Trial, Duration),
        link: Option<Arc<Link>>,
        news: Sender<News>,
    ) -> io::Result<Self> {
        let (order, orders) = channel();
        let speaker = Speaker { id, path, trial, orders, news };
        spawn("speaks", move || match link {
            Some(link) if link.shown.accepts => speaker.polls(&link),
            // One that is only found to be ended.
            Some(_) => {}
            None => speaker.speaks(),
        })?;
        Ok(Self(order))
    }

    pub(crate) fn order(&self, order: Order) {
        // Its process is gone if the thread is.
        let _ = self.0.send(order);
    }
}

impl Speaker {
    fn tell(&self, event: Event) {
        let _ = self.news.send(News::Event(event));
    }

    /// Pauses; `false` once the process is gone.
    fn pauses(&self, time: Duration) -> bool {
        !matches!(self.orders.recv_timeout(time), Err(RecvTimeoutError::Disconnected))
    }

    fn speaks(self) {
        let link = loop {
            match Link::connect(&self.path) {
                // The socket is the supervisor's own.
                Ok((link, _listener)) => break Arc::new(link),
                Err(_) if self.pauses(LOOK) => {}
                Err(_) => return,
            }
        };
        let operators = link.shown.operators;
        let _ = self.news.send(News::Linked(self.id, Arc::clone(&link)));
        while !ask(operators, "GET", READY, ANSWER).is_ok_and(|answer| answer.status == 200) {
            if !self.pauses(LOOK) {
                return;
            }
        }
        self.tell(Event::Ready(self.id));
        while let Ok(order) = self.orders.recv() {
            match order {
                Order::Try { strict } => {
                    let event = match self.tries(&link, strict) {
                        Ok(()) => Event::Passed(self.id),
                        Err(why) => Event::Failed(self.id, why),
                    };
                    self.tell(event);
                }
                Order::Accept => match link.say("accept").and_then(|()| link.hears_accepts(ACCEPTS)) {
                    Ok(()) => {
                        self.tell(Event::Accepts(self.id));
                        return self.polls(&link);
                    }
                    Err(e) => return self.tell(Event::Failed(self.id, format!("it does not accept: {e}"))),
                },
            }
        }
    }

    fn tries(&self, link: &Link, strict: bool) -> Result<(), String> {
        let (Trial { method, path, status }, most) = &self.trial;
        let path = if path.is_empty() { ANY } else { path };
        let answer = ask(link.shown.trial, method, path, *most)
            .map_err(|e| format!("its trial, {method} {path}: {e}"))?;
        match status {
            Some(status) if strict && *status != answer.status => {
                Err(format!("its trial, {method} {path}: {} instead of {status}", answer.status))
            }
            _ => Ok(()),
        }
    }

    /// Asks again and again which program it should run.
    fn polls(&self, link: &Link) {
        while self.pauses(POLL) {
            let answer = ask(link.shown.operators, "GET", OWN, ANSWER).ok();
            self.tell(match answer.and_then(|answer| own(answer.status, &answer.body)) {
                Some(own) => Event::Said(self.id, own),
                None => Event::Unanswered(self.id),
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_balancer_says_of_its_roll_out_is_read_as_it_is_agreed() {
        let digest = "c".repeat(64);
        let of = |side: &str, program: &str| {
            let text = format!(
                "{{\"number\":3,\"step\":7,\"side\":\"{side}\",\"program\":{program},\"word\":\"on\"}}"
            );
            own(200, text.as_bytes())
        };
        let program = format!("{{\"path\":\"/x\",\"digest\":\"{digest}\"}}");
        let told = |new| Told { number: 3, program: Digest::new(&digest).unwrap(), new, runs: true };
        assert_eq!(of("new", &program), Some(Own::Change(told(true))));
        assert_eq!(of("old", &program), Some(Own::Change(told(false))));
        let over = format!("{program},\"runs\":false");
        assert_eq!(of("new", &over), Some(Own::Change(Told { runs: false, ..told(true) })));
        assert_eq!(of("old", "null"), Some(Own::Nothing));
        assert_eq!(of("new", "null"), Some(Own::Nothing));
        assert_eq!(of("newer", &program), None);
        assert_eq!(of("new", "{\"path\":\"/x\",\"digest\":\"../../bin/sh\"}"), None);
        assert_eq!(own(404, b""), Some(Own::Nothing));
        assert_eq!(own(503, b"{}"), None);
    }
}
