//! Round robin over the upstreams of the subset, skipping upstreams with high load.

use crate::rotation::Rotation;
use crate::state::Balancer;

/// Number of upstreams that the skip rule compares; the original design compares two.
const LOOKAHEAD_LEN: usize = 5;
/// An upstream is skipped if its load exceeds the least load in the lookahead times this factor plus this
/// margin.
const SKIP_FACTOR: f64 = 1.5;
const SKIP_MARGIN: f64 = 0.5;
/// Passes over a rotation after which no upstream in it is expected to earn a slot.
const MAX_PASSES: usize = 8;

impl Balancer {
    /// Returns the next upstream in a rotation for a request of a class, or `None` if no upstream can take
    /// the request. Takes the first one whose load is not clearly higher than the least in the lookahead. An
    /// upstream ejected for this class keeps its slot for the others.
    pub(crate) fn next_slot(&mut self, class: usize, rotation: usize) -> Option<usize> {
        let mut rotations = std::mem::take(&mut self.rotations);
        let slot = rotations.get_mut(rotation).and_then(|r| self.next_slot_in(class, r));
        self.rotations = rotations;
        slot
    }

    fn next_slot_in(&mut self, class: usize, rotation: &mut Rotation) -> Option<usize> {
        rotation.lookahead.retain(|index| {
            let upstream = &self.upstreams[*index];
            upstream.weight > 0.0 && upstream.is_ready
        });
        if let Some(trial) = self.take_trial(class, rotation) {
            return Some(trial);
        }
        let all_ejected = self.classes[class].ejected_count >= self.subset.len();
        self.fill_lookahead(class, rotation, all_ejected);
        self.take_least_loaded(class, rotation, all_ejected)
    }

    /// Returns true if an upstream may take requests of a class.
    fn serves_class(&self, index: usize, class: usize, all_ejected: bool) -> bool {
        all_ejected || !self.upstreams[index].health[class].is_ejected
    }

    /// Advances the rotation until the lookahead has enough upstreams that serve the class.
    fn fill_lookahead(&mut self, class: usize, rotation: &mut Rotation, all_ejected: bool) {
        let max_len = LOOKAHEAD_LEN + rotation.len;
        let serving =
            rotation.lookahead.iter().filter(|index| self.serves_class(**index, class, all_ejected));
        let mut serving_count = serving.count();
        while serving_count < LOOKAHEAD_LEN && rotation.lookahead.len() < max_len {
            let Some(index) = self.advance(rotation) else { break };
            rotation.lookahead.push_back(index);
            serving_count += usize::from(self.serves_class(index, class, all_ejected));
        }
        if rotation.lookahead.len() >= max_len {
            rotation.lookahead.pop_front();
        }
    }

    /// Takes the first upstream out of the lookahead whose load is not clearly higher than the least.
    fn take_least_loaded(&self, class: usize, rotation: &mut Rotation, all_ejected: bool) -> Option<usize> {
        let serves = |index: &usize| self.serves_class(*index, class, all_ejected);
        let compared = rotation.lookahead.iter().filter(|index| serves(index)).take(LOOKAHEAD_LEN);
        let least_load = compared.map(|index| self.load(*index)).fold(f64::INFINITY, f64::min);
        while let Some(position) = rotation.lookahead.iter().position(serves) {
            let index = rotation.lookahead.remove(position)?;
            if self.load(index) <= least_load * SKIP_FACTOR + SKIP_MARGIN {
                return Some(index);
            }
        }
        None
    }

    /// Returns the load of an upstream in requests per unit of capacity.
    pub(crate) fn load(&self, index: usize) -> f64 {
        self.upstreams[index].load(self.last_tick_s)
    }

    /// Advances a rotation to the next upstream that has earned a slot.
    fn advance(&mut self, rotation: &mut Rotation) -> Option<usize> {
        for _ in 0..rotation.len * MAX_PASSES {
            rotation.position = (rotation.position + 1) % rotation.len;
            let index = self.subset[rotation.start + rotation.position];
            let upstream = &mut self.upstreams[index];
            if upstream.weight <= 0.0 {
                continue;
            }
            upstream.earn_round_credit();
            if upstream.credit >= 1.0 {
                upstream.credit -= 1.0;
                return Some(index);
            }
        }
        None
    }
}
