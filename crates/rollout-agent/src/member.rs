//! Target side of a balancer.

use crate::document::{Content, Document, state_text};
use maplehook_canary::Side;
use maplehook_rollout::side_without_leader;
use maplehook_rollout::{Rollout, RolloutState};
use std::time::Duration;

/// Side and program that a balancer must apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTarget {
    /// Number of the change.
    pub number: u64,
    /// Rollout step that set this target.
    pub step: u64,
    /// Target side of the balancer.
    pub side: Side,
    /// Path and SHA-256 digest of the new program, for a program change.
    pub program: Option<(String, String)>,
    /// Readable state of the rollout.
    pub state_description: String,
}

/// Returns the target of a balancer that has held no lease for the given time; `None` before the first
/// change.
pub fn member_target(document: &Document, name: &str, silence: Duration) -> Option<MemberTarget> {
    let change = document.change.as_ref()?;
    let Rollout { number, step, state, plan, .. } = &change.rollout;
    let mut side = change.rollout.target_side(name);
    let program = match &change.content {
        Content::Settings { .. } => None,
        Content::Program { path, digest } => {
            // Balancers restart in turn, limited by the number per zone that may be away at the same time.
            if !change.released.contains(name) && *state != RolloutState::Completed {
                side = Side::Old;
            }
            Some((path.clone(), digest.clone()))
        }
    };
    let mut state_description = state_text(state);
    if side_without_leader(plan, side, *state == RolloutState::Completed, silence) != side {
        side = Side::Old;
        state_description = format!("cut off for {} s: as before ({state_description})", silence.as_secs());
    }
    Some(MemberTarget { number: *number, step: *step, side, program, state_description })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::document::Change;
    use maplehook_rollout::Command;
    use maplehook_rollout::order::Member;

    fn document(content: Content) -> Document {
        let plan =
            "[change]\nsettings = 'x'\ncut_off_s = 5\n[[stage]]\nnames = ['b1']\n[[stage]]\nshare = 1.0\n";
        let members = ["b1", "b2"].map(|name| Member { name: name.into(), zone: "a".into() });
        let mut rollout = Rollout::new(7, maplehook_rollout::plan::parse(plan).unwrap(), &members).unwrap();
        rollout.apply(&Command::Proceed { step: 0 }).unwrap();
        let change = Change {
            rollout,
            content,
            by: "b1".into(),
            started_at_ms: 0,
            stage_records: Vec::new(),
            baseline: None,
            released: Default::default(),
            version: None,
        };
        Document { number: 7, change: Some(change), past: Vec::new() }
    }

    #[test]
    fn a_stage_member_uses_the_new_side_until_it_loses_contact() {
        let document = document(Content::Settings { text: String::new(), base_version: 1 });
        let side = |name: &str, s: u64| member_target(&document, name, Duration::from_secs(s)).unwrap().side;
        assert_eq!((side("b1", 0), side("b2", 0)), (Side::New, Side::Old));
        assert_eq!((side("b1", 4), side("b1", 5)), (Side::New, Side::Old));
        assert_eq!(member_target(&Document::default(), "b1", Duration::ZERO), None);
    }

    #[test]
    fn a_program_change_waits_until_the_member_is_released() {
        let mut document = document(Content::Program { path: "p".into(), digest: "d".into() });
        let target = |document: &Document| member_target(document, "b1", Duration::ZERO).unwrap();
        assert_eq!(target(&document).side, Side::Old);
        document.change.as_mut().unwrap().released.insert("b1".into());
        let target = target(&document);
        assert_eq!((target.side, target.program), (Side::New, Some(("p".into(), "d".into()))));
    }
}
