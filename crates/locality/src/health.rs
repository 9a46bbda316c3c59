//! How a step of a rule's ladder stands at one instant: what is seen of its zones, together.
//!
//! Dwell times, hysteresis and the slow return are the planner's, who decides for all; here is only what a step looks like.

use crate::rules::Rule;
use serde::{Deserialize, Serialize};

/// A step of the ladder, as seen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalityHealth {
    /// Load over its room: 1 is full.
    pub load: f64,
    /// Share of its capacity that is usable. 0: it is lost.
    pub usable: f64,
}

impl LocalityHealth {
    /// Several zones as one: usable by their weights, load by what of these is usable. Lost where there are none.
    pub fn combine(parts: impl IntoIterator<Item = (Self, f64)>) -> Self {
        let (mut all, mut usable, mut load) = (0.0, 0.0, 0.0);
        for (seen, weight) in parts {
            all += weight;
            if !seen.is_unusable() {
                usable += weight * seen.usable;
                load += weight * seen.usable * seen.load;
            }
        }
        if usable > 0.0 {
            Self { load: load / usable, usable: usable / all }
        } else {
            Self { load: 0.0, usable: 0.0 }
        }
    }

    /// Nothing of it can be used.
    pub fn is_unusable(&self) -> bool {
        !matches!(self.usable.partial_cmp(&0.0), Some(std::cmp::Ordering::Greater))
    }

    /// Whether more may go there: neither lost nor over the rule's threshold.
    pub fn accepts_more(&self, rule: &Rule) -> bool {
        !self.is_unusable() && self.load < rule.spill.over
    }

    /// Whether the next step is to be asked.
    pub fn needs_next_step(&self, rule: &Rule) -> bool {
        !self.accepts_more(rule) || self.usable < rule.usable_least
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(load: f64, usable: f64) -> LocalityHealth {
        LocalityHealth { load, usable }
    }

    #[test]
    fn zones_together_are_their_usable_parts() {
        let both = LocalityHealth::combine([(seen(0.5, 1.0), 2.0), (seen(1.0, 0.5), 2.0)]);
        assert!((both.usable - 0.75).abs() < 1e-12 && (both.load - 2.0 / 3.0).abs() < 1e-12, "{both:?}");
        // What is lost bears nothing, and its load says nothing.
        let half = LocalityHealth::combine([(seen(0.5, 1.0), 1.0), (seen(9.0, 0.0), 1.0)]);
        assert_eq!(half, seen(0.5, 0.5));
        assert!(
            LocalityHealth::combine([]).is_unusable()
                && LocalityHealth::combine([(seen(0.0, f64::NAN), 1.0)]).is_unusable()
        );
    }

    #[test]
    fn the_next_step_is_asked_where_one_is_full_or_too_little_of_it_is_left() {
        let rule = Rule { usable_least: 0.5, ..Rule::near_first() };
        assert!(!seen(0.79, 0.5).needs_next_step(&rule) && seen(0.79, 0.5).accepts_more(&rule));
        assert!(seen(0.79, 0.49).needs_next_step(&rule) && seen(0.79, 0.49).accepts_more(&rule));
        // A figure that is no number counts as full, or as lost.
        for full in [seen(0.8, 1.0), seen(f64::NAN, 1.0), seen(0.0, 0.0), seen(0.0, f64::NAN)] {
            assert!(full.needs_next_step(&rule) && !full.accepts_more(&rule), "{full:?}");
        }
    }
}
