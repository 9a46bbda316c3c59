//! A balancer's side: what it answers to whoever asks whether its site announces an address.
//!
//! An answer follows from the moment, the state and the end of the lease alone; nothing of it is kept. A balancer that was
//! stopped and is woken has therefore withdrawn before its next word.

use crate::state::{ALONE, Standing, State};
use crate::{Announce, DRIFT, health};
use std::time::Duration;

/// What is good for less than this is not announced: it would be over before anybody could act on it.
pub const FLOOR: Duration = Duration::from_millis(100);
/// For how long an answer is good that rests on own evidence alone.
pub const ALONE_FOR: Duration = Duration::from_secs(1);

/// What a balancer knows of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalBalancer {
    /// Name of its site.
    pub site: String,
    /// Whether it is ready for clients.
    pub ready: bool,
    /// Share of its own clients' demand that it can serve, by its own evidence. 0 to 1.
    pub served: f64,
    /// Until when it may act on the state, by its own clock, counted from before it asked and less what the clock may go wrong by.
    /// `None`: it has had no lease since its start.
    pub lease_until: Option<Duration>,
    /// The state that it was told last.
    pub state: Option<State>,
}

/// What it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The site announces the address.
    Announces {
        /// More is better.
        preference: u32,
        /// Of the address.
        epoch: u64,
        /// For how long this holds, from before it was asked for.
        good_for: Duration,
    },
    /// It does not.
    Withdrawn {
        /// Why, in words.
        why: String,
    },
}

fn withdrawn(why: impl Into<String>) -> Answer {
    Answer::Withdrawn { why: why.into() }
}

impl LocalBalancer {
    /// The answer for an address, now by its own clock, read after the question had come.
    pub fn answer(&self, name: &str, now: Duration) -> Answer {
        if !self.ready {
            return withdrawn("this balancer is not ready");
        }
        let Some(state) = &self.state else { return withdrawn("nothing has been agreed that is known here") };
        let Some(standing) = state.addresses.get(name) else { return withdrawn("there is no such address") };
        if let Some(by) = standing.withdrawn.get(&self.site)
            && !standing.announcing.contains_key(&self.site)
        {
            return withdrawn(format!("withdrawn by {by}"));
        }
        // Whoever counts it may have a clock that goes slow while this one goes fast.
        let left = self.lease_until.and_then(|until| until.checked_sub(now));
        let left = left.map_or(Duration::ZERO, |left| left.mul_f64((1.0 - DRIFT) / (1.0 + DRIFT)));
        let good_for = left.min(standing.announce.good_for_most());
        let holds = good_for >= FLOOR;
        match standing.announce {
            Announce::One if standing.holder.as_deref() != Some(self.site.as_str()) => {
                withdrawn(match &standing.holder {
                    Some(holder) => format!("{holder} announces it"),
                    None => "it is handed over".into(),
                })
            }
            Announce::One if !holds => withdrawn("the lease has run out"),
            Announce::Many if !holds => self.alone(standing),
            _ => match standing.announcing.get(&self.site) {
                Some(&preference) => Answer::Announces { preference, epoch: standing.epoch, good_for },
                None => withdrawn("this site is ill, or returns"),
            },
        }
    }

    /// Without a lease the others' word is old. An address that many may announce does no harm here as long as clients are served.
    fn alone(&self, standing: &Standing) -> Answer {
        if !standing.sites.contains_key(&self.site) {
            return withdrawn("this site is none of the address");
        }
        if standing.withdrawn.contains_key(&self.site) {
            return withdrawn("withdrawn by order, and out of touch");
        }
        if self.served.is_nan() || self.served < health::ILL_UNDER {
            return withdrawn("out of touch, and its own clients are not served well");
        }
        let preference = standing.announcing.get(&self.site).copied().unwrap_or(ALONE).max(ALONE);
        Answer::Announces { preference, epoch: standing.epoch, good_for: ALONE_FOR }
    }
}
