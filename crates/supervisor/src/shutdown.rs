//! The end of the whole balancer: one process goes on accepting clients for a while, and after that nobody listens any more.

use crate::interface::{Action, Phase, Shutdown};
use crate::state_machine::StateMachine;
use std::time::Duration;

/// The longest time that the last process may accept. A balancer does so for less, and then ends listening itself; one that is stopped,
/// or of an earlier program, does not.
const ACCEPT_PERIOD: Duration = Duration::from_secs(2);

impl StateMachine {
    /// Begins the shutdown. Repeating it changes nothing.
    pub(crate) fn shut_down(&mut self, now: Duration) {
        if self.shutdown.is_some() {
            return;
        }
        self.drop_candidate(now);
        let last_acceptor = self.serving.take().map(|mut serving| {
            serving.phase = Phase::Terminating(now + self.settings.termination_grace);
            let id = serving.id;
            self.actions.push(Action::Terminate(id, false));
            self.terminating.push(serving);
            id
        });
        self.shutdown =
            Some(Shutdown { last_acceptor, accepts_until: now + ACCEPT_PERIOD, is_listening: true });
    }

    /// Ends listening once nobody accepts any more, and the supervisor once all processes have ended.
    pub(crate) fn finish_shutdown(&mut self, now: Duration) {
        let Some(shutdown) = &mut self.shutdown else { return };
        let accepts = |id| self.terminating.iter().any(|process| process.id == id);
        let is_served = shutdown.last_acceptor.is_some_and(accepts) && now < shutdown.accepts_until;
        if shutdown.is_listening && !is_served {
            shutdown.is_listening = false;
            self.actions.push(Action::StopListening);
        }
        if self.serving.is_none() && self.candidate.is_none() && self.terminating.is_empty() {
            self.actions.push(Action::Exit);
        }
    }
}
