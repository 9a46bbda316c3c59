//! What an application can bear: so many requests a second, with a queue before them; and how it behaves.

use crate::router::unix_us;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Runs that are kept: some hours of a storm.
const RUNS_MOST: usize = 4_000_000;

/// How an application behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behaviour {
    /// Well.
    #[default]
    Well,
    /// All work takes so many times as long: it bears as much less.
    Slow(f64),
    /// So large a share of requests end in an error of its own. 0 to 1.
    Failing(f64),
    /// It takes requests and answers nothing.
    Hanging,
}

/// It began to work for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// When, in microseconds of the Unix clock.
    pub at_us: u64,
    /// The request's id.
    pub id: String,
    /// The last name in its `Via`.
    pub through: String,
}

/// What it is to do about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// It works, and has done so after this time.
    Works(Duration),
    /// The same, with an error.
    Fails(Duration),
    /// Its queue is full: it turns it away.
    Full,
}

struct State {
    free_at: Instant,
    /// So many have come since it fails; by this failures are spread evenly.
    come: u64,
    runs: Vec<Run>,
}

/// The room of an application: one after the other, each as long as its room says.
pub struct Room {
    per_s: f64,
    queue: Duration,
    state: Mutex<State>,
    behaviour: watch::Sender<Behaviour>,
}

impl Room {
    /// One for so many requests a second, who wait no longer than this.
    pub fn new(per_s: f64, queue: Duration) -> Self {
        let state = State { free_at: Instant::now(), come: 0, runs: Vec::new() };
        let behaviour = watch::Sender::new(Behaviour::Well);
        Self { per_s: per_s.max(0.001), queue, state: Mutex::new(state), behaviour }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on it behaves so.
    pub fn behaves(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Since when it has worked for whom.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// A request has come.
    pub fn takes(&self, now: Instant, id: &str, through: &str) -> Does {
        let behaviour = *self.behaviour.borrow();
        let mut state = self.lock();
        let work = match behaviour {
            Behaviour::Slow(times) => Duration::from_secs_f64(times.clamp(1.0, 1e6) / self.per_s),
            _ => Duration::from_secs_f64(1.0 / self.per_s),
        };
        let begins = state.free_at.max(now);
        let wait = begins - now;
        if wait > self.queue {
            return Does::Full;
        }
        state.free_at = begins + work;
        if state.runs.len() < RUNS_MOST {
            state.runs.push(Run { at_us: unix_us(), id: id.to_owned(), through: through.to_owned() });
        }
        if let Behaviour::Failing(share) = behaviour {
            let share = share.clamp(0.0, 1.0);
            let fails = |come: u64| (come as f64 * share).floor();
            state.come += 1;
            if fails(state.come) > fails(state.come - 1) {
                return Does::Fails(wait + work);
            }
        }
        Does::Works(wait + work)
    }

    /// Waits as long as it hangs.
    pub async fn goes_on(&self) {
        // Its sender is its own: it can't be gone.
        let _ = self.behaviour.subscribe().wait_for(|now| *now != Behaviour::Hanging).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn beyond_its_room_it_queues_and_then_turns_away() {
        let room = Room::new(10.0, Duration::from_millis(250));
        let now = Instant::now() + Duration::from_secs(1);
        let ms = |ms| Does::Works(Duration::from_millis(ms));
        let four: Vec<Does> = (0..4).map(|n| room.takes(now, &n.to_string(), "b1")).collect();
        assert_eq!(four, [ms(100), ms(200), ms(300), Does::Full]);
        assert_eq!(room.takes(now + Duration::from_millis(100), "4", "b1"), ms(300), "room is there again");
        let ids: Vec<String> = room.runs().into_iter().map(|run| run.id).collect();
        assert_eq!(ids, ["0", "1", "2", "4"], "what was turned away has not run");
    }

    #[test]
    fn slow_is_less_room_and_failures_are_spread() {
        let room = Room::new(10.0, Duration::from_secs(10));
        let now = Instant::now() + Duration::from_secs(1);
        room.behaves(Behaviour::Slow(3.0));
        assert_eq!(room.takes(now, "0", "b1"), Does::Works(Duration::from_millis(300)));
        room.behaves(Behaviour::Failing(0.5));
        let failed = (0..10).filter(|_| matches!(room.takes(now, "1", "b1"), Does::Fails(_))).count();
        assert_eq!(failed, 5);
    }
}
