//! Answers of a balancer to routers that ask whether its site announces an address.
//!
//! An answer depends only on the current time, the state and the end of the lease, and is never cached. A
//! balancer that resumes after its process was stopped therefore never repeats an answer from before the
//! stop.

use crate::state::{AddressState, PREFERENCE_WITHOUT_LEASE, State};
use crate::{Announce, MAX_CLOCK_DRIFT, health};
use std::time::Duration;

/// Minimum validity of an announcement. One with a shorter validity would expire before a router could act on
/// it.
pub const MIN_VALIDITY: Duration = Duration::from_millis(100);
/// Validity of an answer given without a lease.
pub const VALIDITY_WITHOUT_LEASE: Duration = Duration::from_secs(1);

/// Status of a balancer that determines its answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalBalancer {
    /// Name of the balancer's site.
    pub site: String,
    /// True if the balancer accepts clients.
    pub ready: bool,
    /// Share of its own clients' demand that the balancer can serve, as measured by the balancer, from
    /// 0 to 1.
    pub served: f64,
    /// Time on the balancer's clock until which it may act on the state. Counted from before the lease was
    /// requested and reduced by the clock drift. `None` if the balancer has had no lease since its start.
    pub lease_until: Option<Duration>,
    /// Latest state that the balancer received.
    pub state: Option<State>,
}

/// Answer to a router that polls a balancer for an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The site announces the address.
    Announces {
        /// Preference of the site; a higher value is preferred.
        preference: u32,
        /// Epoch of the address.
        epoch: u64,
        /// Validity of the answer, counted from before the router sent its poll.
        good_for: Duration,
    },
    /// The site does not announce the address.
    Withdrawn {
        /// Reason in plain text, for operators.
        why: String,
    },
}

fn withdrawn(why: impl Into<String>) -> Answer {
    Answer::Withdrawn { why: why.into() }
}

impl LocalBalancer {
    /// Returns the answer for an address. `now` is the balancer's clock, read after the poll was received.
    pub fn answer(&self, name: &str, now: Duration) -> Answer {
        if !self.ready {
            return withdrawn("this balancer is not ready");
        }
        let Some(state) = &self.state else { return withdrawn("nothing has been agreed that is known here") };
        let Some(address_state) = state.addresses.get(name) else {
            return withdrawn("there is no such address");
        };
        if let Some(by) = address_state.withdrawn.get(&self.site)
            && !address_state.announcing.contains_key(&self.site)
        {
            return withdrawn(format!("withdrawn by {by}"));
        }
        // The router's clock may run slow while this balancer's clock runs fast.
        let remaining = self.lease_until.and_then(|until| until.checked_sub(now));
        let remaining = remaining.map_or(Duration::ZERO, |remaining| {
            remaining.mul_f64((1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT))
        });
        let good_for = remaining.min(address_state.announce.max_validity());
        let is_valid = good_for >= MIN_VALIDITY;
        match address_state.announce {
            Announce::One if address_state.holder.as_deref() != Some(self.site.as_str()) => {
                withdrawn(match &address_state.holder {
                    Some(holder) => format!("{holder} announces it"),
                    None => "it is handed over".into(),
                })
            }
            Announce::One if !is_valid => withdrawn("the lease has run out"),
            Announce::Many if !is_valid => self.answer_without_lease(address_state),
            _ => match address_state.announcing.get(&self.site) {
                Some(&preference) => Answer::Announces { preference, epoch: address_state.epoch, good_for },
                None => withdrawn("this site is ill, or returns"),
            },
        }
    }

    /// Returns the answer for an address of kind `Many` without a lease. The state may be outdated then, but
    /// announcing the address does no harm as long as the balancer's clients are served.
    fn answer_without_lease(&self, address_state: &AddressState) -> Answer {
        if !address_state.sites.contains_key(&self.site) {
            return withdrawn("this site is none of the address");
        }
        if address_state.withdrawn.contains_key(&self.site) {
            return withdrawn("withdrawn by order, and out of touch");
        }
        if self.served.is_nan() || self.served < health::UNHEALTHY_BELOW {
            return withdrawn("out of touch, and its own clients are not served well");
        }
        let preference = address_state
            .announcing
            .get(&self.site)
            .copied()
            .unwrap_or(PREFERENCE_WITHOUT_LEASE)
            .max(PREFERENCE_WITHOUT_LEASE);
        Answer::Announces { preference, epoch: address_state.epoch, good_for: VALIDITY_WITHOUT_LEASE }
    }
}
