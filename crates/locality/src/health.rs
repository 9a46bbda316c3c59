//! Load and usable capacity of a zone or of a step, at one instant.
//!
//! The planner adds dwell times, hysteresis and gradual recovery.

use crate::rules::Rule;
use serde::{Deserialize, Serialize};

/// Load and usable capacity of a zone, or of the zones of a step combined.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalityHealth {
    /// Load divided by the usable capacity; 1 is full.
    pub load: f64,
    /// Usable share of the total capacity, 0 to 1. With 0, nothing is usable.
    pub usable: f64,
}

impl LocalityHealth {
    /// Combines pairs of zone health and weight. The usable share is averaged by weight. The load is
    /// averaged by the product of weight and usable share. The result is unusable if no zone is usable.
    pub fn combine(parts: impl IntoIterator<Item = (Self, f64)>) -> Self {
        let (mut total, mut usable, mut load) = (0.0, 0.0, 0.0);
        for (health, weight) in parts {
            total += weight;
            if !health.is_unusable() {
                usable += weight * health.usable;
                load += weight * health.usable * health.load;
            }
        }
        if usable > 0.0 {
            Self { load: load / usable, usable: usable / total }
        } else {
            Self { load: 0.0, usable: 0.0 }
        }
    }

    /// Returns true if the usable share is not above 0, or not a number.
    pub fn is_unusable(&self) -> bool {
        !matches!(self.usable.partial_cmp(&0.0), Some(std::cmp::Ordering::Greater))
    }

    /// Returns true if some capacity is usable and the load is below the rule's `spill over` threshold.
    pub fn accepts_more(&self, rule: &Rule) -> bool {
        !self.is_unusable() && self.load < rule.spill.over
    }

    /// Returns true if the rule's next step has to take requests as well, because the load is too high or the
    /// usable share too low.
    pub fn needs_next_step(&self, rule: &Rule) -> bool {
        !self.accepts_more(rule) || self.usable < rule.usable_least
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn health(load: f64, usable: f64) -> LocalityHealth {
        LocalityHealth { load, usable }
    }

    #[test]
    fn combines_zones_by_weight_and_usable_share() {
        let combined = LocalityHealth::combine([(health(0.5, 1.0), 2.0), (health(1.0, 0.5), 2.0)]);
        assert!(
            (combined.usable - 0.75).abs() < 1e-12 && (combined.load - 2.0 / 3.0).abs() < 1e-12,
            "{combined:?}"
        );
        // An unusable zone adds no load.
        let with_unusable = LocalityHealth::combine([(health(0.5, 1.0), 1.0), (health(9.0, 0.0), 1.0)]);
        assert_eq!(with_unusable, health(0.5, 0.5));
        assert!(
            LocalityHealth::combine([]).is_unusable()
                && LocalityHealth::combine([(health(0.0, f64::NAN), 1.0)]).is_unusable()
        );
    }

    #[test]
    fn needs_the_next_step_when_full_or_below_the_usable_share() {
        let rule = Rule { usable_least: 0.5, ..Rule::near_first() };
        assert!(!health(0.79, 0.5).needs_next_step(&rule) && health(0.79, 0.5).accepts_more(&rule));
        assert!(health(0.79, 0.49).needs_next_step(&rule) && health(0.79, 0.49).accepts_more(&rule));
        // A load that is not a number counts as full; a usable share that is not a number counts as 0.
        for health in [health(0.8, 1.0), health(f64::NAN, 1.0), health(0.0, 0.0), health(0.0, f64::NAN)] {
            assert!(health.needs_next_step(&rule) && !health.accepts_more(&rule), "{health:?}");
        }
    }
}
