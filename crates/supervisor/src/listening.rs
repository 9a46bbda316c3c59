//! Whether clients may connect: not where nobody would serve them in time.

use crate::interface::Action;
use crate::state_machine::StateMachine;
use std::time::Duration;

impl StateMachine {
    /// Ends listening once nobody accepts any more, or will in time. The start of a process listens anew.
    pub(crate) fn update_listening(&mut self, now: Duration) {
        if self.candidate.is_some() {
            self.is_listening = true;
        }
        if self.is_listening && !self.is_served(now) {
            self.is_listening = false;
            if self.shutdown.is_none() {
                self.log("clients are refused until a process is started".into());
            }
            self.actions.push(Action::StopListening);
        }
    }

    /// The next time at which listening may end by itself.
    pub(crate) fn listening_deadline(&self) -> Option<Duration> {
        let shutdown = self.shutdown.as_ref().map(|shutdown| shutdown.accepts_until);
        let leaving = self.leaving.map(|(_, accepts_until)| accepts_until);
        shutdown.or(leaving).filter(|_| self.is_listening)
    }

    /// Whether who connects now is served: by a process that accepts, or one that is to accept in time.
    fn is_served(&self, now: Duration) -> bool {
        let is_running = |id| self.terminating.iter().any(|process| process.id == id);
        if let Some(shutdown) = &self.shutdown {
            let is_accepting = shutdown.last_acceptor.is_some_and(is_running) && now < shutdown.accepts_until;
            return shutdown.awaits_acceptor || is_accepting;
        }
        let is_leaving = self.leaving.is_some_and(|(id, until)| is_running(id) && now < until);
        let is_soon = self.not_before < now + self.settings.max_client_wait;
        self.serving.is_some() || self.candidate.is_some() || is_leaving || is_soon
    }
}
