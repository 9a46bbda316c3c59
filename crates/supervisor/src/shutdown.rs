//! The end of the whole balancer: one process goes on accepting clients for a while, and after that nobody listens any more. Where no
//! process accepts yet, one is waited for if clients wait: the system has let them in.

use crate::interface::{Action, ManagedProcess, Phase, Shutdown};
use crate::state_machine::StateMachine;
use std::time::Duration;

/// The longest time that the last process may accept. A balancer does so for less, and then ends listening itself; one that is stopped,
/// or of an earlier program, does not.
const ACCEPT_PERIOD: Duration = Duration::from_secs(2);

impl StateMachine {
    /// Begins the shutdown. Once it has begun, only a process that was told to accept is waited for any longer.
    pub(crate) fn shut_down(&mut self, now: Duration, has_waiting_clients: bool) {
        let has_begun = self.shutdown.is_some();
        let is_accepting = self.candidate.as_ref().is_some_and(|candidate| candidate.may_have_accepted);
        if !has_begun {
            self.shutdown = Some(Shutdown {
                awaits_acceptor: self.serving.is_none() && (is_accepting || has_waiting_clients),
                last_acceptor: None,
                accepts_until: now,
            });
        }
        let last = match self.serving.take() {
            None if !is_accepting && !has_begun => self.take_leaving(now),
            serving => serving,
        };
        if let Some(last) = last {
            self.drop_candidate(now);
            self.terminate_last(now, last);
        } else if !self.awaits_acceptor() || (has_begun && !is_accepting) {
            self.stop_awaiting(now);
        } else {
            self.not_before = now;
        }
    }

    /// The process that leaves without being told to, if it still accepts clients.
    fn take_leaving(&mut self, now: Duration) -> Option<ManagedProcess> {
        let (id, _) = self.leaving.take_if(|(_, accepts_until)| now < *accepts_until)?;
        let at = self.terminating.iter().position(|process| process.id == id)?;
        Some(self.terminating.remove(at))
    }

    /// Whether clients wait for a process that does not accept yet, which is to serve them before the end.
    pub(crate) fn awaits_acceptor(&self) -> bool {
        self.shutdown.as_ref().is_some_and(|shutdown| shutdown.awaits_acceptor)
    }

    /// Ends without a process that accepts: there is none, or it has failed.
    pub(crate) fn stop_awaiting(&mut self, now: Duration) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.awaits_acceptor = false;
            self.drop_candidate(now);
        }
    }

    /// Ends the process that accepts the last clients.
    pub(crate) fn terminate_last(&mut self, now: Duration, mut last: ManagedProcess) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.awaits_acceptor = false;
            shutdown.last_acceptor = Some(last.id);
            shutdown.accepts_until = now + ACCEPT_PERIOD;
        }
        last.phase = Phase::Terminating(now + self.settings.termination_grace);
        self.actions.push(Action::Terminate(last.id, false));
        self.terminating.push(last);
    }

    /// Ends the supervisor once all processes have ended.
    pub(crate) fn finish_shutdown(&mut self) {
        let is_over = self.shutdown.is_some() && !self.awaits_acceptor();
        if is_over && self.serving.is_none() && self.candidate.is_none() && self.terminating.is_empty() {
            self.actions.push(Action::Exit);
        }
    }
}
